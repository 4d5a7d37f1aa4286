package demo

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Guards against missing shards and holds with an unknown outcome during the planned stop of
// a backend server, because the server closes before its slots are empty or because entry
// instances send requests to a server that has reported itself as leaving. Searches and
// holds of 80 ms on detroit-hall-unit-1 run through all four entry instances during its stop.
func TestBackendStopDropsNoRequestInFlight(t *testing.T) {
	s := newSession(t, Lakeshore, func(l *Layout) { l.Backends[0].Slots = 16 })
	dep := DeploymentName(Lakeshore)
	s.applyControl("detroit-hall-unit-1", backend.Control{Action: backend.ActSlow, DelayMs: 80})
	stop := make(chan struct{})
	var mu sync.Mutex
	counts := map[string]int{}
	count := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		counts[what]++
	}
	var callers sync.WaitGroup
	for i, via := range s.c.EntryNames() {
		callers.Add(2)
		go func() {
			defer callers.Done()
			for s.isRunning(stop) {
				a := s.sendSearchAs("outreach-van", "outreach-van-key", via, wire.SearchRequest{Deployment: dep, Index: "shelter-console", Text: "open", TimeoutMs: 1000})
				count(fmt.Sprintf("search covered %d of 4", len(a.Covered)))
			}
		}()
		go func() {
			defer callers.Done()
			for n := 0; s.isRunning(stop); n++ {
				a := s.sendHold(via, wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s01", Item: "s01-room-0", IdempotencyKey: fmt.Sprintf("van-%d-%d", i, n), TimeoutMs: 1000})
				switch {
				case a.Code == errcode.OK:
					count("hold granted or full")
				case a.Code.NotRun() && a.RetryAfterMs > 0:
					count("hold refused unrun with a hint")
				default:
					count("hold cut off: " + a.Code.String())
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, s.c.Backends["detroit-hall-unit-1"].Stop(context.Background()))
	time.Sleep(300 * time.Millisecond)
	close(stop)
	callers.Wait()
	s.note("detroit-hall-unit-1 stopped under load")
	for what := range counts {
		require.Contains(t, []string{"search covered 4 of 4", "hold granted or full", "hold refused unrun with a hint"}, what, "%v", counts)
	}
	require.Equal(t, uint64(counts["hold granted or full"]), s.holdsExecuted())
	s.note("every search covered 4 of 4; every hold was answered, or refused unrun with a hint; executed = answered: true")
	s.requireGolden("backend-graceful-stop")
}

// isRunning reports whether stop is still open.
func (s *session) isRunning(stop chan struct{}) bool {
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// Guards against a hold that is answered with IY4001, outcome unknown, although its killed
// primary refused the connection; its caller can then not safely hold another bed until the
// primary is replaced. Every error of a leaf call once counted as sent, including a refused
// connection, over which nothing can have been sent.
func TestHoldOnKilledPrimaryIsReportedNotRun(t *testing.T) {
	s := newSession(t, Lakeshore)
	s.c.Backends["detroit-hall-unit-1"].Kill()
	s.note("detroit-hall-unit-1, s03's primary, killed")
	a := s.recordHold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", wire.HoldRequest{
		Deployment: DeploymentName(Lakeshore), Index: "shelter-console", Shard: "s03", Item: "s03-room-0", IdempotencyKey: "van1-dusk-1", TimeoutMs: 300,
	})
	require.True(t, a.Code.NotRun(), "answered %s", a.Code)
	require.Positive(t, a.RetryAfterMs)
	s.requireGolden("hold-killed-primary")
}
