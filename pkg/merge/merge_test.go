package merge

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/mutate"
)

func TestGreatest(t *testing.T) {
	for name, tc := range map[string]struct {
		bodies []string
		k      int
		want   string
	}{
		"descending order":               {[]string{"bbaa", "cc"}, 3, "ccbbaa"},
		"only k":                         {[]string{"bbaa", "ccdd"}, 2, "ddcc"},
		"equal records are all included": {[]string{"aa", "aa"}, 3, "aaaa"},
		"a remainder is ignored":         {[]string{"aaz", "z"}, 3, "aa"},
		"no bodies":                      {nil, 3, ""},
		"k is zero":                      {[]string{"aa"}, 0, ""},
		"bytes compare unsigned":         {[]string{"\x7f\x00\xff\x00"}, 2, "\xff\x00\x7f\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			var bodies [][]byte
			for _, b := range tc.bodies {
				bodies = append(bodies, []byte(b))
			}
			require.Equal(t, tc.want, string(Greatest(bodies, 2, tc.k)))
		})
	}
}

// FuzzGreatest compares the result with that of sorting all records.
func FuzzGreatest(f *testing.F) {
	inputs := rand.New(rand.NewPCG(5, 6))
	f.Add([]byte("abcdefgh"), uint64(3), 4)
	for range mutate.MutationsPerSeed {
		f.Add(mutate.Bytes(inputs, []byte("abcdefghabcdabcdefgh")), inputs.Uint64(), inputs.IntN(70)-2)
	}
	f.Fuzz(func(t *testing.T, data []byte, seed uint64, k int) {
		k = max(min(k, 64), 0)
		rng := rand.New(rand.NewPCG(seed, 1))
		var bodies, all [][]byte
		for len(data) > 0 {
			n := min(len(data), 1+rng.IntN(9))
			bodies = append(bodies, data[:n])
			for b := data[:n]; len(b) >= 4; b = b[4:] {
				all = append(all, b[:4])
			}
			data = data[n:]
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		require.Equal(t, string(bytes.Join(all[:min(k, len(all))], nil)), string(Greatest(bodies, 4, k)))
	})
}
