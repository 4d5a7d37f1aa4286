package demo

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// TestColdStartedBackendKeepsCoverage proves that a backend server that
// starts cold costs no coverage while another replica is warm, and shows the
// naive fan-out losing it.
//
// Symptom: after a release, every search lists the shards of the restarted
// backend server missing with IY3001.
// Sequence: lj-a-unit-1 has just started and takes over a second a request;
// searches with a 150 ms deadline go through lj-a's entry instance.
// Cause it guards against: sending to the nearest replica and waiting.
func TestColdStartedBackendKeepsCoverage(t *testing.T) {
	var out *session
	whole := map[string]int{}
	for _, policy := range []string{settings.PolicyNaive, settings.PolicyHedged} {
		s := newSession(t, Lipovec, func(l *Layout) {
			l.Backends[0].ColdStartMs = 30000
			for i := range l.Entries {
				l.Entries[i].Policy = policy
			}
		})
		q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: "bolt", TimeoutMs: 150}
		for i := 0; i < 20; i++ {
			if a := s.quietSearch("lj-a-entry-1", q); len(a.Covered) == 4 {
				whole[policy]++
			}
		}
		out = s
	}
	out.note("searches of 20 that cover every shard beside a cold lj-a-unit-1: hedged %d, naive fewer: %t",
		whole[settings.PolicyHedged], whole[settings.PolicyNaive] < 20)
	require.Equal(t, 20, whole[settings.PolicyHedged])
	require.Less(t, whole[settings.PolicyNaive], 20)
	out.golden("cold-start")
}

// TestShedHoldsDidNotRun proves "when a request is refused as not run, it
// really did not run" while a backend server sheds load.
//
// Symptom: holds executed outnumber the holds granted, so a cot is promised
// to a caller that was told to come back.
// Sequence: s03's primary takes 60 ms a request in one slot; twelve callers
// send a hold each at the same moment; those refused ask again with the same
// key after the hint until they are granted.
// Cause it guards against: a refusal given after the work has begun.
func TestShedHoldsDidNotRun(t *testing.T) {
	s := newSession(t, Lakeshore, func(l *Layout) { l.Backends[0].Slots = 1 })
	dep := DeploymentName(Lakeshore)
	s.control("detroit-hall-unit-1", backend.Control{Action: backend.ActSlow, DelayMs: 60})
	const callers = 12
	hold := func(i int) wire.Answer {
		via := s.c.EntryNames()[i%4]
		return s.quietHold(via, wire.HoldRequest{
			Deployment: dep, Index: "shelter-console", Shard: "s03", Item: fmt.Sprintf("s03-room-%d", i%4),
			IdempotencyKey: fmt.Sprintf("van%d-dusk-1", i), TimeoutMs: 2000,
		})
	}
	answers := make([]wire.Answer, callers)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() { defer wg.Done(); answers[i] = hold(i) }()
	}
	wg.Wait()
	granted, refused := 0, 0
	for _, a := range answers {
		switch {
		case a.Code == errcode.OK:
			granted++
		case a.Code.NotRun() && a.RetryAfterMs > 0:
			refused++
		}
	}
	require.Equal(t, callers, granted+refused, "an answer neither granted nor refused unrun with a hint")
	require.Positive(t, refused, "nothing was shed")
	require.Equal(t, uint64(granted), s.holdsExecuted(), "a hold refused as not run did run")
	s.note("twelve holds at once on one slot: each granted, or refused unrun with a hint; executed = granted: %t", uint64(granted) == s.holdsExecuted())
	for i, a := range answers {
		for end := time.Now().Add(10 * time.Second); a.Code != errcode.OK && time.Now().Before(end); {
			time.Sleep(time.Duration(a.RetryAfterMs) * time.Millisecond)
			a = hold(i)
		}
		require.Equal(t, errcode.OK, a.Code)
	}
	s.note("the refused asked again with their keys: executed %d", s.holdsExecuted())
	require.Equal(t, uint64(callers), s.holdsExecuted())
	s.golden("shed-holds")
}

// TestConnectionLimitKept proves that the entry instances together stay
// within a backend server's connection limit under a burst.
//
// Symptom: backend servers reset connections; healthy servers are marked
// down and shards are missing with IY3002.
// Sequence: sixty-four callers search at once through four entry instances,
// each backend server taking 20 ms a request and 25 connections.
// Cause: each entry instance capped its own pool at 16 connections, so two
// of them already exceed the 25 that all share.
func TestConnectionLimitKept(t *testing.T) {
	s := newSession(t, Lipovec, func(l *Layout) {
		for i := range l.Backends {
			l.Backends[i].Slots = 64
		}
	})
	for _, b := range s.c.Layout.Backends {
		s.control(b.Name, backend.Control{Action: backend.ActSlow, DelayMs: 20})
	}
	q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: "bolt", TimeoutMs: 5000}
	var wg sync.WaitGroup
	var mu sync.Mutex
	covered := 0
	for i := 0; i < 64; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := s.quietSearch(s.c.EntryNames()[i%4], q)
			mu.Lock()
			covered += len(a.Covered)
			mu.Unlock()
		}()
	}
	wg.Wait()
	var refused int64
	for _, b := range s.c.Backends {
		refused += b.State().(backend.State).ConnsRefused
	}
	s.note("64 searches at once: shards covered %d of 256, connections refused by backend servers: %d", covered, refused)
	require.Zero(t, refused, "the entry instances opened more connections than a backend server takes")
	require.Equal(t, 256, covered)
	s.golden("connection-limit")
}
