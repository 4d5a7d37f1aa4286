package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Guards against a hold that runs twice, so that a bed is promised to two callers. A caller
// does not receive the reply to a hold and retries with the same idempotency key through an
// entry instance in the other zone. Holds once went to the nearest replica, and each replica
// has its own record of idempotency keys, so that the second replica ran the hold again.
func TestHoldRunsOnceAcrossEntryInstances(t *testing.T) {
	s := newSession(t, Lakeshore)
	dep := DeploymentName(Lakeshore)
	h := wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s03", Item: "s03-room-0", IdempotencyKey: "van12-dusk-1", TimeoutMs: 300}
	s.note("the van holds a bed; its retry goes through the other zone")
	first := s.recordHold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", h)
	second := s.recordHold("cleveland-hall-entry-2", "outreach-van", "outreach-van-key", h)
	s.note("holds executed on all backend servers: %d", s.holdsExecuted())
	require.Equal(t, uint64(1), s.holdsExecuted(), "the hold ran more than once")
	require.Equal(t, first.Held.Remaining, second.Held.Remaining)
	require.True(t, second.Held.Replayed)
	s.requireGolden("hold-once-across-entries")
}

// Guards against a backend server that runs a hold after its deadline, when the entry
// instance has already answered that its outcome is unknown; a retry with the same key then
// runs it a second time. The primary of shard s03 pauses with a hold that it has read, the
// entry instance answers at the deadline, and the primary resumes.
func TestResumedPrimaryDoesNotRunExpiredHold(t *testing.T) {
	s := newSession(t, Lakeshore)
	dep := DeploymentName(Lakeshore)
	h := wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s03", Item: "s03-room-1", IdempotencyKey: "van3-night-2", TimeoutMs: 100}
	s.applyControl("detroit-hall-unit-1", backend.Control{Action: backend.ActFreeze})
	s.recordHold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", h)
	s.applyControl("detroit-hall-unit-1", backend.Control{Action: backend.ActThaw})
	time.Sleep(50 * time.Millisecond)
	s.note("holds executed after the late wake-up: %d", s.holdsExecuted())
	require.Zero(t, s.holdsExecuted(), "a hold ran after its deadline")
	s.note("the van asks again with the same key")
	s.recordHold("detroit-hall-entry-2", "outreach-van", "outreach-van-key", h)
	s.recordHold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", h)
	s.note("holds executed: %d", s.holdsExecuted())
	require.Equal(t, uint64(1), s.holdsExecuted())
	s.requireGolden("frozen-primary-hold")
}
