package cli

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/demo"
)

// Guards against an operator command that has no effect, or that hides that the configuration
// service refused the change.
func TestEvacuateCommandAppliesOrReportsRefusal(t *testing.T) {
	c, err := demo.StartCluster(demo.Lipovec, io.Discard)
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	run := func(args ...string) error {
		cmd := EvacuateCmd()
		cmd.SetOut(&bytes.Buffer{})
		cmd.SetErr(&bytes.Buffer{})
		cmd.SetArgs(append(args, "--platform", c.Platform.Addr()))
		return cmd.Execute()
	}
	zone := c.Layout.Backends[0].Zone
	require.NoError(t, run(zone))
	require.NoError(t, c.WaitVersion(2, 5*time.Second))
	require.Equal(t, []string{zone}, c.Platform.Current().EvacuatedZones)
	require.Error(t, run("no-such-zone"))
	require.NoError(t, run(zone, "--readmit"))
	require.NoError(t, c.WaitVersion(3, 5*time.Second))
	require.Empty(t, c.Platform.Current().EvacuatedZones)
}
