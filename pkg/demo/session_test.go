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

// session records a whole session: every request in, every answer out.
type session struct {
	t   *testing.T
	c   *Cluster
	out strings.Builder
}

func newSession(t *testing.T, u User, tweaks ...func(*Layout)) *session {
	c, err := StartCluster(u, io.Discard, tweaks...)
	require.NoError(t, err)
	t.Cleanup(c.Stop)
	return &session{t: t, c: c}
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n", args...)
}

func (s *session) search(entryName, app, key string, req wire.SearchRequest) wire.Answer {
	a := s.searchAs(app, key, entryName, req)
	fmt.Fprintf(&s.out, "> search %s/%s %q as %s via %s\n< %s", req.Deployment, req.Index, req.Text, app, entryName, caller.Render(a))
	return a
}

func (s *session) hold(entryName, app, key string, req wire.HoldRequest) wire.Answer {
	a := s.quietHoldAs(app, key, entryName, req)
	fmt.Fprintf(&s.out, "> hold %s/%s/%s %s key=%s as %s via %s\n< %s", req.Deployment, req.Index, req.Shard, req.Item, req.IdempotencyKey, app, entryName, caller.Render(a))
	return a
}

func (s *session) quietSearch(entryName string, req wire.SearchRequest) wire.Answer {
	return s.searchAs("cad-viewer", "cad-viewer-key", entryName, req)
}

func (s *session) searchAs(app, key, entryName string, req wire.SearchRequest) wire.Answer {
	cl, err := caller.New(app, key)
	require.NoError(s.t, err)
	a, err := cl.Search(context.Background(), s.c.Entries[entryName].Addr(), req)
	require.NoError(s.t, err)
	return a
}

func (s *session) quietHold(entryName string, req wire.HoldRequest) wire.Answer {
	return s.quietHoldAs("outreach-van", "outreach-van-key", entryName, req)
}

func (s *session) quietHoldAs(app, key, entryName string, req wire.HoldRequest) wire.Answer {
	cl, err := caller.New(app, key)
	require.NoError(s.t, err)
	a, err := cl.Hold(context.Background(), s.c.Entries[entryName].Addr(), req)
	require.NoError(s.t, err)
	return a
}

func (s *session) holdsExecuted() uint64 {
	var n uint64
	for _, b := range s.c.Backends {
		n += b.HoldsExecuted()
	}
	return n
}

func (s *session) versions() string {
	out := ""
	for _, name := range s.c.EntryNames() {
		out += fmt.Sprintf(" %s=v%d", name, s.c.Entries[name].Watcher().Version())
	}
	return out
}

func (s *session) control(name string, ctl backend.Control) {
	require.NoError(s.t, s.c.Backends[name].Apply(ctl))
	fmt.Fprintf(&s.out, "! backend %s %s delay_ms=%d shards=%v\n", name, ctl.Action, ctl.DelayMs, ctl.Shards)
}

func (s *session) patch(p topology.Patch) {
	next, err := s.c.Platform.Current().Apply(p)
	require.NoError(s.t, err)
	_, err = s.c.Platform.Submit(p)
	require.NoError(s.t, err)
	require.NoError(s.t, s.c.WaitVersion(next.Version, 5*time.Second))
	fmt.Fprintf(&s.out, "! patch on v%d accepted as v%d, in force on every entry instance\n", p.BaseVersion, next.Version)
}

func (s *session) golden(name string) {
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(s.t, os.WriteFile(path, []byte(s.out.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(s.t, err)
	require.Equal(s.t, string(want), s.out.String())
}

// TestWholePathLipovec serves Lipovec Vizija's part search from end to end:
// a full answer, refusals that did not run, an order entry that runs once
// across two entry instances, a straggler shown as missing, and a new
// snapshot put in force by a patch.
func TestWholePathLipovec(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bracket", TimeoutMs: 300}
	s.note("part-number suggestions across all four shards")
	s.search("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	s.note("unknown client and wrong key: refused, nothing ran")
	s.search("lj-a-entry-1", "intruder", "x", q)
	s.search("lj-a-entry-1", "cad-viewer", "wrong", q)
	s.note("bom-panel may not search archive-svc")
	s.search("lj-b-entry-1", "bom-panel", "bom-panel-key", wire.SearchRequest{Deployment: dep, Index: "archive-svc", Text: "bolt"})
	h := wire.HoldRequest{Deployment: dep, Index: "viewer-api", Shard: "s01", Item: "PN-s01-100", IdempotencyKey: "order-7781"}
	s.note("a purchase-driving entry, then the client's retry through another entry instance")
	s.hold("lj-a-entry-1", "bom-panel", "bom-panel-key", h)
	s.hold("lj-b-entry-2", "bom-panel", "bom-panel-key", h)
	s.note("a straggler: shard s02 is slow on both replicas")
	s.control("lj-a-unit-2", backend.Control{Action: backend.ActSlow, DelayMs: 1000, Shards: []string{"s02"}})
	s.control("lj-b-unit-2", backend.Control{Action: backend.ActSlow, DelayMs: 1000, Shards: []string{"s02"}})
	s.search("lj-a-entry-2", "cad-viewer", "cad-viewer-key", q)
	s.control("lj-a-unit-2", backend.Control{Action: backend.ActHeal})
	s.control("lj-b-unit-2", backend.Control{Action: backend.ActHeal})
	s.note("a new revision is published: snapshot 2 in force")
	s.patch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	s.search("lj-b-entry-2", "cad-viewer", "cad-viewer-key", q)
	s.golden("session-lipovec")
}

// TestWholePathLakeshore serves Lakeshore Haven's bed availability from end
// to end: open beds, a bed hold that is retried by the client and runs once,
// and a hold without an idempotency key refused unrun.
func TestWholePathLakeshore(t *testing.T) {
	s := newSession(t, Lakeshore)
	dep := DeploymentName(Lakeshore)
	q := wire.SearchRequest{Deployment: dep, Index: "shelter-console", Text: "open", Limit: 2, TimeoutMs: 300}
	s.note("open beds across all shelter shards")
	s.search("detroit-hall-entry-1", "outreach-van", "outreach-van-key", q)
	h := wire.HoldRequest{Deployment: dep, Index: "shelter-console", Shard: "s03", Item: "s03-room-0", IdempotencyKey: "van12-dusk-1"}
	s.note("a bed hold, retried by the van through the other zone")
	s.hold("detroit-hall-entry-1", "outreach-van", "outreach-van-key", h)
	s.hold("cleveland-hall-entry-2", "outreach-van", "outreach-van-key", h)
	s.note("a hold without a key is refused and did not run")
	h.IdempotencyKey = ""
	s.hold("detroit-hall-entry-2", "outreach-van", "outreach-van-key", h)
	s.note("crisis-line may search but not hold")
	h.IdempotencyKey = "crisis-1"
	s.hold("detroit-hall-entry-2", "crisis-line", "crisis-line-key", h)
	s.golden("session-lakeshore")
}
