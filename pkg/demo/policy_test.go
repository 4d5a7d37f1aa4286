package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/backend"
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
	dep := Deployment(Lipovec)
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
