package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// TestHoldRunsOnceAcrossEntryInstances proves "a request marked as not
// repeatable runs at most once, also across entry instances and client
// retries".
//
// Symptom: a bed promised twice; two holds executed for one key.
// Sequence: the van's hold reaches detroit-hall's entry instance and runs on
// detroit-hall's replica of shard s03; the van never sees the reply and
// retries with the same idempotency key through cleveland-hall's entry
// instance, which sends it to cleveland-hall's replica.
// Cause: a hold went to the nearest replica, and each replica keeps its own
// record of idempotency keys, so the second replica ran it again.
func TestHoldRunsOnceAcrossEntryInstances(t *testing.T) {
	s := newSession(t, Lakeshore)
	dep := DeploymentName(Lakeshore)
	h := wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s03", Item: "s03-room-0", IdempotencyKey: "van12-dusk-1", TimeoutMs: 300}
	s.note("the van holds a bed; its retry goes through the other zone")
	first := s.hold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", h)
	second := s.hold("cleveland-hall-entry-2", "outreach-van", "outreach-van-key", h)
	s.note("holds executed on all backend servers: %d", s.holdsExecuted())
	require.Equal(t, uint64(1), s.holdsExecuted(), "a not-repeatable request ran more than once")
	require.Equal(t, first.Held.Remaining, second.Held.Remaining)
	require.True(t, second.Held.Replayed)
	s.golden("hold-once-across-entries")
}

// TestFrozenPrimaryWokenLateDoesNotRunHold proves "when a request is refused
// as not run, it really did not run" and "a not-repeatable request runs at
// most once" for a backend server that pauses and wakes up late.
//
// Symptom: a hold answered "outcome unknown" runs later anyway, and the
// client's retry with the same key then runs it a second time.
// Sequence: shard s03's primary freezes holding the van's request; the entry
// instance answers at the deadline; the primary wakes, still holding the
// request it read before the freeze.
// Cause: a server that starts work past the caller's deadline acts after the
// entry has already answered for it.
func TestFrozenPrimaryWokenLateDoesNotRunHold(t *testing.T) {
	s := newSession(t, Lakeshore)
	dep := DeploymentName(Lakeshore)
	h := wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s03", Item: "s03-room-1", IdempotencyKey: "van3-night-2", TimeoutMs: 100}
	s.control("detroit-hall-unit-1", backend.Control{Action: backend.ActFreeze})
	s.hold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", h)
	s.control("detroit-hall-unit-1", backend.Control{Action: backend.ActThaw})
	time.Sleep(50 * time.Millisecond)
	s.note("holds executed after the late wake-up: %d", s.holdsExecuted())
	require.Zero(t, s.holdsExecuted(), "a hold ran after its deadline")
	s.note("the van asks again with the same key")
	s.hold("detroit-hall-entry-2", "outreach-van", "outreach-van-key", h)
	s.hold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", h)
	s.note("holds executed: %d", s.holdsExecuted())
	require.Equal(t, uint64(1), s.holdsExecuted())
	s.golden("frozen-primary-hold")
}
