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

// Guards against shards that are missing with IY3001 after a release, because the entry
// instance waits for the restarted backend server although another replica is warm.
// lj-a-unit-1 has a cold start and takes more than a second for each request; searches
// through lj-a have a deadline of 150 ms. The naive policy, which sends to the nearest
// replica and waits, must lose coverage, as proof that the test detects it.
func TestColdBackendDoesNotReduceCoverage(t *testing.T) {
	var out *session
	fullAnswers := map[string]int{}
	for _, policy := range []string{settings.PolicyNaive, settings.PolicyHedged} {
		s := newSession(t, Lipovec, func(l *Layout) {
			l.Backends[0].ColdStartMs = 30000
			for i := range l.Entries {
				l.Entries[i].Policy = policy
			}
		})
		q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: "bolt", TimeoutMs: 150}
		for i := 0; i < 20; i++ {
			if a := s.sendSearch("lj-a-entry-1", q); len(a.Covered) == 4 {
				fullAnswers[policy]++
			}
		}
		out = s
	}
	out.note("searches of 20 that cover every shard beside a cold lj-a-unit-1: hedged %d, naive fewer: %t",
		fullAnswers[settings.PolicyHedged], fullAnswers[settings.PolicyNaive] < 20)
	require.Equal(t, 20, fullAnswers[settings.PolicyHedged])
	require.Less(t, fullAnswers[settings.PolicyNaive], 20)
	out.requireGolden("cold-start")
}

// Guards against a backend server that sheds a hold after it has started to run it, so that
// a bed is taken for a caller that was told to retry. The primary of s03 takes 60 ms for
// each request in a single slot, and 12 callers send a hold at the same time. Callers that
// are refused retry with the same key after the hinted time until the hold is granted.
func TestShedHoldsDidNotRun(t *testing.T) {
	s := newSession(t, Lakeshore, func(l *Layout) { l.Backends[0].Slots = 1 })
	dep := DeploymentName(Lakeshore)
	s.applyControl("detroit-hall-unit-1", backend.Control{Action: backend.ActSlow, DelayMs: 60})
	const callers = 12
	hold := func(i int) wire.Answer {
		via := s.c.EntryNames()[i%4]
		return s.sendHold(via, wire.HoldRequest{
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
	require.Equal(t, callers, granted+refused, "an answer is neither granted nor a not-run refusal with a retry hint")
	require.Positive(t, refused, "no hold was shed")
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
	s.requireGolden("shed-holds")
}

// Guards against entry instances that together exceed the connection limit of a backend
// server, which then resets connections, so that healthy servers are marked down and shards
// are missing with IY3002. 64 callers search at the same time through 4 entry instances;
// each backend server takes 20 ms for a request and accepts 25 connections. Each entry
// instance once had a pool of up to 16 connections, so that two of them exceeded the limit.
func TestBackendConnectionLimitIsNotExceeded(t *testing.T) {
	s := newSession(t, Lipovec, func(l *Layout) {
		for i := range l.Backends {
			l.Backends[i].Slots = 64
		}
	})
	for _, b := range s.c.Layout.Backends {
		s.applyControl(b.Name, backend.Control{Action: backend.ActSlow, DelayMs: 20})
	}
	q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: "bolt", TimeoutMs: 5000}
	var wg sync.WaitGroup
	var mu sync.Mutex
	covered := 0
	for i := 0; i < 64; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := s.sendSearch(s.c.EntryNames()[i%4], q)
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
	require.Zero(t, refused, "the entry instances exceeded the connection limit of a backend server")
	require.Equal(t, 256, covered)
	s.requireGolden("connection-limit")
}
