package demo

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// deadly is the text, or item, of requests that end the backend servers that run them.
const deadly = "s01-deadly-0"

// mortals are a session whose backend servers end under deadly requests.
type mortals struct {
	*session
	mu    sync.Mutex
	ended []string
	total int
}

func newMortals(t *testing.T) *mortals {
	m := &mortals{session: newSession(t, Lakeshore, func(l *Layout) {
		for i := range l.Entries {
			l.Entries[i].RelayIntervalMs = 50
		}
	})}
	for name := range m.c.Backends {
		m.arm(name)
	}
	return m
}

// arm lets a backend server end under deadly requests.
func (m *mortals) arm(name string) {
	b := m.c.Backends[name]
	require.NoError(m.t, b.Apply(backend.Control{Action: backend.ActCrashOn, Text: deadly}))
	b.OnKill(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ended = append(m.ended, name)
		m.total++
	})
}

// endedSoFar is how many backend servers have ended.
func (m *mortals) endedSoFar() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}

// restart starts the servers that have ended again.
func (m *mortals) restart() {
	m.mu.Lock()
	ended := m.ended
	m.ended = nil
	m.mu.Unlock()
	for _, name := range ended {
		require.NoError(m.t, m.c.RestartBackend(name))
		m.arm(name)
	}
}

// revive waits until no server is ended and every entry instance covers all shards.
func (m *mortals) revive() {
	sound := wire.SearchRequest{Deployment: DeploymentName(Lakeshore), Index: "shelter-console", Text: "open", TimeoutMs: 300}
	for _, name := range m.c.EntryNames() {
		require.Eventually(m.t, func() bool {
			m.restart()
			return len(m.searchAs("outreach-van", "outreach-van-key", name, sound).Covered) == 4
		}, 20*time.Second, 20*time.Millisecond)
	}
}

// A search, or a hold, ended each backend server that ran it; it came again through every
// entry instance and ended all of them each time, because an entry instance knows a request by
// an ID that is made anew for each attempt, and told the others nothing: 11 of 12 searches
// ended backend servers, 34 in all.
func TestRequestThatEndsBackendServersIsHeldBack(t *testing.T) {
	dep := DeploymentName(Lakeshore)
	for name, ask := range map[string]func(m *mortals, entry string){
		"search": func(m *mortals, entry string) {
			m.searchAs("outreach-van", "outreach-van-key", entry, wire.SearchRequest{Deployment: dep, Index: "shelter-console", Text: deadly, TimeoutMs: 300})
		},
		"hold": func(m *mortals, entry string) {
			m.quietHold(entry, wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s01", Item: deadly, IdempotencyKey: "van-1", TimeoutMs: 300})
		},
	} {
		t.Run(name, func(t *testing.T) {
			const endedMost, retriesAllowed = 3, 3
			m := newMortals(t)
			entries := m.c.EntryNames()
			retries := 0
			for attempt := range 3 * len(entries) {
				before := m.endedSoFar()
				ask(m, entries[attempt%len(entries)])
				m.revive()
				if before >= endedMost && m.endedSoFar() > before {
					retries++
				}
			}
			require.GreaterOrEqual(t, m.endedSoFar(), endedMost)
			require.LessOrEqual(t, retries, retriesAllowed, "%d backend servers ended", m.endedSoFar())
		})
	}
}
