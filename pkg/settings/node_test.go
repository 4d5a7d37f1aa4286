package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

const nodeYAML = "name: n\nzone: z\nlisten: {callers: '127.0.0.1:0', readiness: '127.0.0.1:0'}\nstore: {address: '127.0.0.1:1'}\n"

func loadNode(t *testing.T, extra string) (*Node, error) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte(nodeYAML+extra), 0o644))
	return LoadNode(path)
}

func TestNodeDefaultsAreValid(t *testing.T) {
	n, err := loadNode(t, "")
	require.NoError(t, err)
	require.True(t, n.Answers.Partial)
	require.Equal(t, 3*time.Second, n.StopBudget())
}

func TestInvalidNodeSettingIsRefusedByFieldName(t *testing.T) {
	for extra, field := range map[string]string{
		"tick_ms: -1\n":                           "tick_ms",
		"answers: {margin_ms: 0}\n":               "answers.margin_ms",
		"stop: {leave_ms: 7000}\n":                "stop.leave_ms",
		"unheard_of: 1\n":                         "unheard_of",
		"second_requests: {hedge_at_target: 0}\n": "second_requests.hedge_at_target",
		"log: {lines_per_second: 0}\n":            "log.lines_per_second",
		"overload: {priorities: maybe}\n":         "overload.priorities",
		"overload: {single_queue: true}\n":        "overload.single_queue",
		"overload: {returns: never}\n":            "overload.returns",
		"overload: {least_share: 1.5}\n":          "overload.least_share",
		"overload: {short_timeout_targets: 0}\n":  "overload.short_timeout_targets",
		"limits: {max_held_bytes: 0}\n":           "limits.max_held_bytes",
	} {
		_, err := loadNode(t, extra)
		require.Error(t, err, extra)
		require.Equal(t, errcode.SettingsInvalid, errcode.Of(err))
		require.Contains(t, err.Error(), field)
	}
}

// Guards against a watch that, together with the timeout of its call, takes longer than the time
// within which an instance must be up to date again after a disturbance of the store. A shorter
// declared time must shorten the wait, down to its minimum.
func TestWatchWaitIsShortenedByDeclaredCatchUpTime(t *testing.T) {
	for extra, want := range map[string]time.Duration{
		"":                               2400 * time.Millisecond,
		"declared: {contact_ms: 5000}\n": 2400 * time.Millisecond,
		"declared: {contact_ms: 3000}\n": 1500 * time.Millisecond,
		"declared: {contact_ms: 1000}\n": 500 * time.Millisecond,
	} {
		n, err := loadNode(t, extra)
		require.NoError(t, err)
		require.Equal(t, want, n.WatchWait(), extra)
	}
}

// Guards against a coalescing delay that uses up the time within which a change must take effect:
// however long the setting is, the delay is capped at a fraction of the shortest declared time.
func TestCoalesceDelayIsCappedByDeclaredDeadlines(t *testing.T) {
	for _, tc := range []struct{ coalesce, apply, drain, want int }{
		{2000, 3000, 3000, 1000}, {2000, 5000, 2400, 800}, {800, 3000, 3000, 800}, {2000, 60000, 60000, 1000},
	} {
		n := NodeDefaults()
		n.Store.CoalesceMs = tc.coalesce
		n.Declared.ApplyMs = tc.apply
		n.Declared.DrainMs = tc.drain
		require.Equal(t, Duration(tc.want), n.CoalesceDelay(), "%v", tc)
	}
}

// Guards against waits, timeouts and pauses that add up to more than the time within which a change
// must take effect, and against accepting settings whose declared time is too short for them.
func TestPropagationDelayStaysWithinDeclaredDeadlines(t *testing.T) {
	for apply := 100; apply <= 60000; apply += 100 {
		n := NodeDefaults()
		n.Declared.ApplyMs = apply
		require.NoError(t, n.checkPropagationDelay(), "%d ms", apply)
		require.LessOrEqual(t, n.MaxPropagationDelay(), Duration(2000), "%d ms", apply)
	}
	_, err := loadNode(t, "declared: {apply_ms: 3000, drain_ms: 1}\n")
	require.ErrorContains(t, err, "drain_ms")
}
