package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/caller"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

var update = flag.Bool("update", false, "rewrite golden files")

// session runs requests and faults on a cluster and records them, with the answers, for the
// comparison with a golden file.
type session struct {
	t   *testing.T
	c   *Cluster
	out strings.Builder
}

func newSession(t *testing.T, u User, overrides ...func(*Layout)) *session {
	c, err := StartCluster(u, io.Discard, overrides...)
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	return &session{t: t, c: c}
}

// note records a comment.
func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n", args...)
}

// recordSearch sends a search and records it with its answer.
func (s *session) recordSearch(entryName, app, key string, req wire.SearchRequest) wire.Answer {
	a := s.sendSearchAs(app, key, entryName, req)
	fmt.Fprintf(&s.out, "> search %s/%s %q as %s via %s\n< %s", req.Deployment, req.Index, req.Text, app, entryName, caller.Render(a))
	return a
}

// recordHold sends a hold and records it with its answer.
func (s *session) recordHold(entryName, app, key string, req wire.HoldRequest) wire.Answer {
	a := s.sendHoldAs(app, key, entryName, req)
	fmt.Fprintf(&s.out, "> hold %s/%s/%s %s key=%s as %s via %s\n< %s", req.Deployment, req.Index, req.Shard, req.Item, req.IdempotencyKey, app, entryName, caller.Render(a))
	return a
}

// sendSearch sends a search as Lipovec Vizija's client application cad-viewer, without
// recording it.
func (s *session) sendSearch(entryName string, req wire.SearchRequest) wire.Answer {
	return s.sendSearchAs("cad-viewer", "cad-viewer-key", entryName, req)
}

// sendSearchAs sends a search as the given client application, without recording it.
func (s *session) sendSearchAs(app, key, entryName string, req wire.SearchRequest) wire.Answer {
	cl, err := caller.New(app, key)
	require.NoError(s.t, err)
	a, err := cl.Search(context.Background(), s.c.Entries[entryName].Addr(), req)
	require.NoError(s.t, err)
	return a
}

// sendHold sends a hold as Lakeshore Haven's client application outreach-van, without
// recording it.
func (s *session) sendHold(entryName string, req wire.HoldRequest) wire.Answer {
	return s.sendHoldAs("outreach-van", "outreach-van-key", entryName, req)
}

// sendHoldAs sends a hold as the given client application, without recording it.
func (s *session) sendHoldAs(app, key, entryName string, req wire.HoldRequest) wire.Answer {
	cl, err := caller.New(app, key)
	require.NoError(s.t, err)
	a, err := cl.Hold(context.Background(), s.c.Entries[entryName].Addr(), req)
	require.NoError(s.t, err)
	return a
}

// holdsExecuted returns the number of holds that all backend servers have executed.
func (s *session) holdsExecuted() uint64 {
	var n uint64
	for _, b := range s.c.Backends {
		n += b.HoldsExecuted()
	}
	return n
}

// configVersions renders the configuration version in force on each entry instance.
func (s *session) configVersions() string {
	out := ""
	for _, name := range s.c.EntryNames() {
		out += fmt.Sprintf(" %s=v%d", name, s.c.Entries[name].Watcher().Version())
	}
	return out
}

// applyControl performs and records a control action on a backend server.
func (s *session) applyControl(name string, ctl backend.Control) {
	require.NoError(s.t, s.c.Backends[name].Apply(ctl))
	fmt.Fprintf(&s.out, "! backend %s %s delay_ms=%d shards=%v\n", name, ctl.Action, ctl.DelayMs, ctl.Shards)
}

// applyPatch submits a patch, waits until it is in force on every entry instance, and
// records it.
func (s *session) applyPatch(p topology.Patch) {
	next, err := s.c.Platform.Current().Apply(p)
	require.NoError(s.t, err)
	_, err = s.c.Platform.Submit(p)
	require.NoError(s.t, err)
	require.NoError(s.t, s.c.WaitVersion(next.Version, 5*time.Second))
	fmt.Fprintf(&s.out, "! patch on v%d accepted as v%d, in force on every entry instance\n", p.BaseVersion, next.Version)
}

// requireGolden requires that the record of the session equals a golden file. With -update
// it rewrites the file first.
func (s *session) requireGolden(name string) {
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(s.t, os.WriteFile(path, []byte(s.out.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(s.t, err)
	require.Equal(s.t, string(want), s.out.String())
}

// Covers the part search of Lipovec Vizija from end to end: a complete answer, not-run
// refusals, an order entry that runs once although it is retried through another entry
// instance, a straggler that is reported as missing, and a new snapshot.
func TestEndToEndLipovec(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bracket", TimeoutMs: 300}
	s.note("part-number suggestions across all four shards")
	s.recordSearch("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	s.note("unknown client and wrong key: refused, nothing ran")
	s.recordSearch("lj-a-entry-1", "intruder", "x", q)
	s.recordSearch("lj-a-entry-1", "cad-viewer", "wrong", q)
	s.note("bom-panel may not search archive-svc")
	s.recordSearch("lj-b-entry-1", "bom-panel", "bom-panel-key", wire.SearchRequest{Deployment: dep, Index: "archive-svc", Text: "bolt"})
	h := wire.HoldRequest{Deployment: dep, Index: "viewer-api", Shard: "s01", Item: "PN-s01-100", IdempotencyKey: "order-7781"}
	s.note("a purchase-driving entry, then the client's retry through another entry instance")
	s.recordHold("lj-a-entry-1", "bom-panel", "bom-panel-key", h)
	s.recordHold("lj-b-entry-2", "bom-panel", "bom-panel-key", h)
	s.note("a straggler: shard s02 is slow on both replicas")
	s.applyControl("lj-a-unit-2", backend.Control{Action: backend.ActSlow, DelayMs: 1000, Shards: []string{"s02"}})
	s.applyControl("lj-b-unit-2", backend.Control{Action: backend.ActSlow, DelayMs: 1000, Shards: []string{"s02"}})
	s.recordSearch("lj-a-entry-2", "cad-viewer", "cad-viewer-key", q)
	s.applyControl("lj-a-unit-2", backend.Control{Action: backend.ActHeal})
	s.applyControl("lj-b-unit-2", backend.Control{Action: backend.ActHeal})
	s.note("a new revision is published: snapshot 2 in force")
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	s.recordSearch("lj-b-entry-2", "cad-viewer", "cad-viewer-key", q)
	s.requireGolden("session-lipovec")
}

// Covers the bed search of Lakeshore Haven from end to end: open beds, a hold that runs once
// although the client retries it, and not-run refusals of a hold without an idempotency key
// and of a client application that may not hold.
func TestEndToEndLakeshore(t *testing.T) {
	s := newSession(t, Lakeshore)
	dep := DeploymentName(Lakeshore)
	q := wire.SearchRequest{Deployment: dep, Index: "shelter-console", Text: "open", Limit: 2, TimeoutMs: 300}
	s.note("open beds across all shelter shards")
	s.recordSearch("detroit-hall-entry-1", "outreach-van", "outreach-van-key", q)
	h := wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s03", Item: "s03-room-0", IdempotencyKey: "van12-dusk-1"}
	s.note("a bed hold, retried by the van through the other zone")
	s.recordHold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", h)
	s.recordHold("cleveland-hall-entry-2", "outreach-van", "outreach-van-key", h)
	s.note("a hold without a key is refused and did not run")
	h.IdempotencyKey = ""
	s.recordHold("detroit-hall-entry-2", "outreach-van", "outreach-van-key", h)
	s.note("crisis-line may search but not hold")
	h.IdempotencyKey = "crisis-1"
	s.recordHold("detroit-hall-entry-2", "crisis-line", "crisis-line-key", h)
	s.requireGolden("session-lakeshore")
}
