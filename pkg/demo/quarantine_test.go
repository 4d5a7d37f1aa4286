package demo

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// crashText is the search text or hold item of requests that crash the backend servers
// that run them.
const crashText = "s01-deadly-0"

// crashSession is a session whose backend servers crash when they run a request for
// crashText.
type crashSession struct {
	*session
	mu sync.Mutex
	// crashed holds the names of the backend servers that have crashed and are not
	// restarted yet.
	crashed []string
	// crashes is the number of crashes so far.
	crashes int
}

func newCrashSession(t *testing.T) *crashSession {
	cs := &crashSession{session: newSession(t, Lakeshore, func(l *Layout) {
		for i := range l.Entries {
			l.Entries[i].RelayIntervalMs, l.Entries[i].ProbationMs = 50, 1
		}
	})}
	for name := range cs.c.Backends {
		cs.armCrash(name)
	}
	return cs
}

// armCrash makes a backend server crash when it runs a request for crashText.
func (cs *crashSession) armCrash(name string) {
	b := cs.c.Backends[name]
	require.NoError(cs.t, b.Apply(backend.Control{Action: backend.ActCrashOn, Text: crashText}))
	b.OnKill(func() {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.crashed = append(cs.crashed, name)
		cs.crashes++
	})
}

// crashCount returns the number of crashes so far.
func (cs *crashSession) crashCount() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.crashes
}

// restartCrashed restarts the backend servers that have crashed.
func (cs *crashSession) restartCrashed() {
	cs.mu.Lock()
	ended := cs.crashed
	cs.crashed = nil
	cs.mu.Unlock()
	for _, name := range ended {
		require.NoError(cs.t, cs.c.RestartBackend(name))
		cs.armCrash(name)
	}
}

// waitForRecovery restarts crashed backend servers until a harmless search through each
// entry instance covers all shards.
func (cs *crashSession) waitForRecovery() {
	harmless := wire.SearchRequest{Deployment: DeploymentName(Lakeshore), Index: "shelter-console", Text: "open", TimeoutMs: 300}
	for _, name := range cs.c.EntryNames() {
		require.Eventually(cs.t, func() bool {
			cs.restartCrashed()
			return len(cs.sendSearchAs("outreach-van", "outreach-van-key", name, harmless).Covered) == 4
		}, 20*time.Second, 20*time.Millisecond)
	}
}

// Guards against a request that crashes backend servers again and again. A search or hold
// that crashes every backend server that runs it is retried through all entry instances.
// Entry instances once identified a request by an ID that is new for each attempt and did
// not share what they knew, so that 11 of 12 searches crashed backend servers, 34 crashes
// in total.
func TestRequestThatCrashesBackendsIsQuarantined(t *testing.T) {
	dep := DeploymentName(Lakeshore)
	for name, send := range map[string]func(cs *crashSession, entry string){
		"search": func(cs *crashSession, entry string) {
			cs.sendSearchAs("outreach-van", "outreach-van-key", entry, wire.SearchRequest{Deployment: dep, Index: "shelter-console", Text: crashText, TimeoutMs: 300})
		},
		"hold": func(cs *crashSession, entry string) {
			cs.sendHold(entry, wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s01", Item: crashText, IdempotencyKey: "van-1", TimeoutMs: 300})
		},
	} {
		t.Run(name, func(t *testing.T) {
			const crashesToQuarantine, maxTrialCrashes = 3, 3
			cs := newCrashSession(t)
			entries := cs.c.EntryNames()
			trialCrashes := 0
			for attempt := range 3 * len(entries) {
				before := cs.crashCount()
				send(cs, entries[attempt%len(entries)])
				cs.waitForRecovery()
				if before >= crashesToQuarantine && cs.crashCount() > before {
					trialCrashes++
				}
			}
			require.GreaterOrEqual(t, cs.crashCount(), crashesToQuarantine)
			require.LessOrEqual(t, trialCrashes, maxTrialCrashes, "backend servers crashed %d times", cs.crashCount())
		})
	}
}
