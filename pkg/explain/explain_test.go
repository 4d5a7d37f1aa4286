package explain

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logA = `  33.1 front-a {"time":"2026-05-04T15:39:27.000Z","event":"leaf_down","instance":"a","leaf":"i-1"}
{"time":"2026-05-04T15:39:27.500Z","event":"leaf_gone","instance":"a","leaf":"i-2"}
not a line
{"time":"2026-05-04T15:39:28.000Z","event":"leaf_down","instance":"a","leaf":"i-9"}
{"time":"2026-05-04T15:39:29.300Z","event":"partial_answer","instance":"a","request":"r1","covered":18,"leafs":["i-2"]}
{"time":"2026-05-04T15:39:29.100Z","event":"second_request","instance":"a","request":"r1","leaf":"i-1","why":"slow"}
{"time":"2026-05-04T15:39:29.200Z","event":"second_request","instance":"a","request":"r2","leaf":"i-1","why":"slow"}
{"time":"2026-05-04T15:39:20.000Z","event":"store_lost","instance":"a"}
`

const logB = `{"time":"2026-05-04T15:39:29.000Z","event":"store_lost","instance":"b"}`

func TestRequestIsExplainedInTimeOrder(t *testing.T) {
	var out bytes.Buffer
	n, err := Request("r1", []io.Reader{strings.NewReader(logA), strings.NewReader(logB)}, &out)
	require.NoError(t, err)
	require.Equal(t, 2, n)
	require.Equal(t, strings.Join([]string{
		"  (before) 15:39:27.000 a leaf_down leaf=i-1",
		"  (before) 15:39:27.500 a leaf_gone leaf=i-2",
		"15:39:29.100 a second_request leaf=i-1 why=slow",
		"15:39:29.300 a partial_answer covered=18 leafs=[i-2]",
	}, "\n")+"\n", out.String())
}

func TestUnknownRequestMatchesNoLine(t *testing.T) {
	n, err := Request("r9", []io.Reader{strings.NewReader(logA)}, io.Discard)
	require.NoError(t, err)
	require.Zero(t, n)
}

// A retry has another request ID: lines of earlier requests with the same content must be included.
func TestRequestsWithSameContentAreIncluded(t *testing.T) {
	log := `{"time":"2026-05-04T15:39:20.000Z","event":"leaf_ended","instance":"b","request":"r0","content":"c1","leaf":"i-1"}
{"time":"2026-05-04T15:39:29.100Z","event":"leaf_ended","instance":"a","request":"r1","content":"c1","leaf":"i-2"}
{"time":"2026-05-04T15:39:29.200Z","event":"leaf_ended","instance":"a","request":"r2","content":"c2","leaf":"i-2"}
`
	var out bytes.Buffer
	n, err := Request("r1", []io.Reader{strings.NewReader(log)}, &out)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	require.Equal(t, "  (same content) 15:39:20.000 b leaf_ended content=c1 leaf=i-1\n15:39:29.100 a leaf_ended content=c1 leaf=i-2\n", out.String())
}

// Requests for a query that two instances ran are counted together: the output must name the shards
// that were sent to too many leafs, and the instances that sent them.
func TestShardsSentToTooManyLeafsAreReported(t *testing.T) {
	log := `{"time":"2026-05-04T15:39:29.100Z","event":"query_asked","instance":"a","request":"r1","max_attempts":2,"asked":{"s1":["i-1","i-2"],"s2":["i-5"]}}
{"time":"2026-05-04T15:39:29.200Z","event":"query_asked","instance":"b","request":"r1","max_attempts":2,"asked":{"s1":["i-3"],"s2":["i-5","i-6"]}}
`
	var out bytes.Buffer
	_, err := Request("r1", []io.Reader{strings.NewReader(log)}, &out)
	require.NoError(t, err)
	require.Contains(t, out.String(), "shard s1 was sent to 3 leafs of 2 that its route allows: i-1 by a, i-2 by a, i-3 by b\n")
	require.NotContains(t, out.String(), "shard s2 was sent")
}
