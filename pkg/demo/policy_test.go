package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/entry"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// TestImpatientCallerTakesNoBackendOut proves that one caller's short
// deadline costs no other caller its coverage.
//
// Symptom: searches with a 300 ms deadline list every shard missing with
// IY3002, though every backend server answers in 30 ms.
// Sequence: a caller sends a few searches with a 10 ms deadline through one
// entry instance; they all run out of time; another caller then searches
// through the same entry instance with time enough.
// Cause: every leaf call that ran into its caller's deadline counted as a
// failure of the backend server, and two failures mark it down for a second.
func TestImpatientCallerTakesNoBackendOut(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	for _, name := range []string{"lj-a-unit-1", "lj-a-unit-2", "lj-b-unit-1", "lj-b-unit-2"} {
		s.control(name, backend.Control{Action: backend.ActSlow, DelayMs: 30})
	}
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 10}
	s.note("an impatient caller: four searches with a 10 ms deadline against backend servers that take 30 ms")
	for i := 0; i < 4; i++ {
		a := s.quietSearch("lj-a-entry-1", q)
		require.Empty(t, a.Covered)
		time.Sleep(40 * time.Millisecond)
	}
	q.TimeoutMs = 1000
	a := s.search("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	require.Len(t, a.Covered, 4, "another caller's short deadline took backend servers out")
	s.golden("impatient-caller")
}

// TestCallerLeavesLeafsStop proves that leafs stop working for a caller
// that has gone.
//
// Symptom: backend servers go on working, slots taken, for searches nobody
// waits for.
// Sequence: every backend server takes 400 ms; a caller sends a search with
// 2 s and closes its connection after 100 ms.
// Cause: the entry instance neither noticed the closed connection nor told
// the leafs.
func TestCallerLeavesLeafsStop(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	var before uint64
	for _, name := range []string{"lj-a-unit-1", "lj-a-unit-2", "lj-b-unit-1", "lj-b-unit-2"} {
		s.control(name, backend.Control{Action: backend.ActSlow, DelayMs: 400})
		before += s.c.Backends[name].Executed()
	}
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 2000}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := s.sendAndLeave(ctx, s.c.Entries["lj-a-entry-1"].Addr(), entry.PathSearch, "cad-viewer", "cad-viewer-key", q)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	time.Sleep(time.Second)
	var ran, received uint64
	for _, b := range s.c.Backends {
		ran += b.Executed()
		received += b.Received()
	}
	require.GreaterOrEqual(t, received, uint64(4))
	s.note("the caller left after 100 ms; leaf requests that ran to the end anyway: %d", ran-before)
	require.Equal(t, before, ran, "leafs went on working for a caller that has gone")
	s.golden("caller-leaves")
}

// sendAndLeave sends a request on a connection of its own and closes it
// when ctx ends.
func (s *session) sendAndLeave(ctx context.Context, addr, path, app, key string, q any) error {
	body, err := json.Marshal(q)
	require.NoError(s.t, err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set(wire.HeaderClientID, app)
	req.Header.Set(wire.HeaderClientKey, key)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	return err
}
