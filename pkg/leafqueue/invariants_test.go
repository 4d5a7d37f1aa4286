package leafqueue

import (
	"go/ast"
	"go/parser"
	"go/token"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Guards against a request that gets two final decisions or none, and against sums and orders that
// disagree, under any sequence of events.
func TestRandomEventsKeepStateConsistent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := newTable(4, 3)
	q := New("s", table, 8)
	now := t0
	waiting, running := map[*Request]bool{}, []*Request{}
	final := func(d Decision) {
		require.True(t, waiting[d.Request])
		delete(waiting, d.Request)
		if d.Verdict == Started {
			require.True(t, now.Before(d.Request.StartBy), "started after its time")
			running = append(running, d.Request)
		}
	}
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		switch rng.IntN(6) {
		case 0, 1, 2:
			r := attemptAt(now)
			r.Rank, r.Returning = rng.IntN(3), rng.IntN(2) == 0
			r.StartBy = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			switch q.Submit(r, now).Verdict {
			case Started:
				running = append(running, r)
			case Waiting:
				waiting[r] = true
			}
		case 3, 4:
			if len(running) > 0 {
				i := rng.IntN(len(running))
				r := running[i]
				running = append(running[:i], running[i+1:]...)
				end(q, table, r, replica.Outcome(rng.IntN(13)), time.Duration(rng.IntN(700))*time.Millisecond, now)
			}
		case 5:
			for r := range waiting {
				d, left := q.Leave(r, now)
				require.True(t, left)
				final(d)
				break
			}
		}
		if rng.IntN(200) == 0 {
			i := rng.IntN(4)
			leaf := leafOf(i, 3)
			leaf.StartedAt = now
			table.Upsert(leaf, now)
			q.Sweep(now)
		}
		for _, d := range q.Next(now, nil) {
			final(d)
		}
		requireConsistent(t, q, len(waiting), len(running))
	}
}

// requireConsistent checks the sums and the orders of a queue.
func requireConsistent(t *testing.T, q *Queue, waiting, running int) {
	require.Equal(t, waiting, q.order.count)
	require.Len(t, q.deadlines, waiting)
	require.Equal(t, running, q.inFlight)
	sum, inFlight := 0.0, 0
	for _, l := range q.leafs {
		sum += l.window
		inFlight += l.inFlight
		require.GreaterOrEqual(t, l.window, 1.0)
		require.GreaterOrEqual(t, l.inFlight, 0)
	}
	require.InDelta(t, sum, q.windowSum, 1e-6)
	require.Equal(t, running, inFlight)
	for i, r := range q.deadlines {
		require.Equal(t, i, r.heapIndex)
	}
}

// Guards against decisions that depend on the wall clock, which may jump: the package must not read
// the clock, nor strip or convert times.
func TestOnlyMonotonicTimeIsUsed(t *testing.T) {
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		ast.Inspect(parsed, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				require.NotContains(t, []string{"Now", "Since", "Until", "Unix", "UnixNano", "UnixMilli", "Round", "Truncate", "UTC", "In", "Local"}, s.Sel.Name)
			}
			return true
		})
	}
}
