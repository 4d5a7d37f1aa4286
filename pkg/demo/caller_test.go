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

// Guards against a caller with short deadlines that makes backend servers unavailable to
// other callers. Every backend server answers in 30 ms, and a few searches with a deadline
// of 10 ms time out. Each such leaf call once counted as a failure of the backend server,
// and two failures mark it down for a second, so that other callers' searches, with a
// deadline of 300 ms, got every shard as missing with IY3002.
func TestShortDeadlinesDoNotMarkBackendsDown(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	for _, name := range []string{"lj-a-unit-1", "lj-a-unit-2", "lj-b-unit-1", "lj-b-unit-2"} {
		s.applyControl(name, backend.Control{Action: backend.ActSlow, DelayMs: 30})
	}
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 10}
	s.note("an impatient caller: four searches with a 10 ms deadline against backend servers that take 30 ms")
	for i := 0; i < 4; i++ {
		a := s.sendSearch("lj-a-entry-1", q)
		require.Empty(t, a.Covered)
		time.Sleep(40 * time.Millisecond)
	}
	q.TimeoutMs = 1000
	a := s.recordSearch("lj-a-entry-1", "cad-viewer", "cad-viewer-key", q)
	require.Len(t, a.Covered, 4, "backend servers were marked down because of another caller's short deadline")
	s.requireGolden("impatient-caller")
}

// Guards against backend servers that keep their slots occupied with searches whose caller
// has disconnected. Every backend server takes 400 ms; a caller sends a search with a
// timeout of 2 s and closes its connection after 100 ms. The entry instance once neither
// noticed the closed connection nor cancelled the leaf requests.
func TestLeafRequestsAreCancelledWhenCallerDisconnects(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "bolt", TimeoutMs: 2000}
	// An unproven search would reach the backend servers one after the other.
	require.Len(t, s.sendSearch("lj-a-entry-1", q).Covered, 4)
	var before, receivedBefore uint64
	for _, name := range []string{"lj-a-unit-1", "lj-a-unit-2", "lj-b-unit-1", "lj-b-unit-2"} {
		s.applyControl(name, backend.Control{Action: backend.ActSlow, DelayMs: 400})
		before += s.c.Backends[name].Executed()
		receivedBefore += s.c.Backends[name].Received()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := s.sendAndLeave(ctx, s.c.Entries["lj-a-entry-1"].Addr(), entry.PathSearch, "cad-viewer", "cad-viewer-key", q)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	time.Sleep(time.Second)
	var executed, received uint64
	for _, b := range s.c.Backends {
		executed += b.Executed()
		received += b.Received()
	}
	require.GreaterOrEqual(t, received-receivedBefore, uint64(4))
	s.note("the caller left after 100 ms; leaf requests that ran to the end anyway: %d", executed-before)
	require.Equal(t, before, executed, "leaf requests ran to the end although their caller had disconnected")
	s.requireGolden("caller-leaves")
}

// sendAndLeave sends a request on a new connection and closes the connection when ctx ends.
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
