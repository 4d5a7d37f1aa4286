package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// execute runs a command with the given input and arguments and returns its output.
func execute(cmd *cobra.Command, in string, args ...string) (string, error) {
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetIn(strings.NewReader(in))
	cmd.SetArgs(args)
	cmd.SilenceUsage = true
	err := cmd.Execute()
	return out.String(), err
}

func TestCheckConfigNamesInvalidField(t *testing.T) {
	good := "name: n\nzone: z\nlisten: {callers: '127.0.0.1:0', readiness: '127.0.0.1:0'}\nstore: {address: '127.0.0.1:1'}\n"
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte(good), 0o644))
	out, err := execute(CheckConfigCmd(), "", path)
	require.NoError(t, err)
	require.Contains(t, out, "IY0000")
	require.NoError(t, os.WriteFile(path, []byte(good+"tick_ms: -5\n"), 0o644))
	_, err = execute(CheckConfigCmd(), "", path)
	require.ErrorContains(t, err, "tick_ms")
	require.ErrorContains(t, err, "-5")
}

// Guards against a process that a SIGHUP ends while it starts.
func TestSignalDuringStartDoesNotEndTheProcess(t *testing.T) {
	settings := "name: n\nzone: z\nlisten: {callers: '127.0.0.1:0', readiness: '127.0.0.1:0'}\nstore: {address: '127.0.0.1:1'}\nstop: {leave_ms: 10, margin_ms: 10}\n"
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	ended := make(chan error, 1)
	go func() {
		_, err := execute(NodeCmd(), "", "--config", path)
		ended <- err
	}()
	// The command has begun to read its settings when the pipe can be opened.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600)) // Read again by the reload.
	_, err = pipe.WriteString(settings)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-ended)
}

func TestExplainReadsStandardInput(t *testing.T) {
	log := `{"time":"2026-05-04T15:39:29.300Z","event":"partial_answer","instance":"a","request":"r1","covered":18}` + "\n"
	out, err := execute(ExplainCmd(), log, "--request", "r1")
	require.NoError(t, err)
	require.Equal(t, "15:39:29.300 a partial_answer covered=18\n", out)
	_, err = execute(ExplainCmd(), log, "--request", "r2")
	require.ErrorContains(t, err, "no line names")
}

// optionalSection matches a section of the template that is rendered only if the platform has a
// value for it.
var optionalSection = regexp.MustCompile(`(?s)\{\{#bounds\.(\w+)\}\}(.*?)\{\{/bounds\.\w+\}\}`)

// renderTemplate renders the template as the platform does, with the given bounds in addition to
// those that every deployment has.
func renderTemplate(t *testing.T, bounds map[string]string) string {
	raw, err := os.ReadFile("../../deploy/node.yaml.tmpl")
	require.NoError(t, err)
	text := optionalSection.ReplaceAllStringFunc(string(raw), func(section string) string {
		m := optionalSection.FindStringSubmatch(section)
		value, ok := bounds[m[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	rendered := strings.NewReplacer(
		"{{nodeName|json}}", `"front-a-1"`, "{{zone|json}}", `"a"`, "{{listenAddrs.front|json}}", `"127.0.0.1:1"`,
		"{{listenAddrs.readiness|json}}", `"127.0.0.1:2"`, "{{listenAddrs.control|json}}", `"127.0.0.1:3"`,
		"{{platform.address|json}}", `"127.0.0.1:4"`, "{{ip}}", "127.0.0.1", "{{internalPorts.0}}", "7380", "{{seeds|json}}", `["10.1.0.9:8106","10.2.0.21:8106"]`, "{{bounds.graceS}}", "6",
		"{{bounds.contactMs}}", "4000", "{{bounds.configApplyMs}}", "3000", "{{bounds.drainMs}}", "3000", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindowS}}", "10",
		"{{limits.cpuShare}}", "0.4", "{{bounds.budgetSlack}}", "56", `{{#zones}}"{{@}}"{{,}}{{/zones}}`, `"a","b"`, "{{bootstrap}}", "true",
		`{{#zones}}"{{@}}": {{.|json}}{{,}}{{/zones}}`, `"a": "north","b": "north"`,
	).Replace(text)
	require.NotContains(t, rendered, "{{")
	return rendered
}

// Guards against a template with which a node does not start if the deployment declares more or
// fewer bounds.
func TestDeployTemplatePassesCheckWithAnyDeclaredBounds(t *testing.T) {
	declared := map[string]string{"coldOverage": "1.5", "coldSlack": "5", "evacuateMs": "5000"}
	for name, bounds := range map[string]map[string]string{"few bounds": nil, "all bounds": declared} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.yaml")
			require.NoError(t, os.WriteFile(path, []byte(renderTemplate(t, bounds)), 0o644))
			_, err := execute(CheckConfigCmd(), "", path)
			require.NoError(t, err)
			set, err := settings.LoadNode(path)
			require.NoError(t, err)
			require.Equal(t, map[string]string{"a": "north", "b": "north"}, set.Declared.Regions)
			if bounds != nil {
				require.Equal(t, []any{1.5, 5.0, 5000}, []any{set.Declared.ColdFactor, set.Declared.ColdSlack, set.Declared.EvacuateMs})
			}
		})
	}
}

func TestVersionIsNotEmpty(t *testing.T) { require.NotEmpty(t, Version()) }
