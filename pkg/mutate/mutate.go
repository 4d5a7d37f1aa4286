// Package mutate makes inputs for tests of decoders: the same ones each time, so that a test
// run has the same verdict each time. Fresh inputs are drawn by the fuzzer, by hand.
package mutate

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// MutationsPerSeed is how many mutations Add makes of each seed.
const MutationsPerSeed = 3000

// AddSeeds adds seeds, and deterministic mutations of them, to a fuzz target's inputs.
func AddSeeds(f *testing.F, seeds ...[]byte) {
	f.Helper()
	for i, seed := range seeds {
		f.Add(seed)
		rng := rand.New(rand.NewPCG(uint64(i), uint64(len(seed))))
		for range MutationsPerSeed {
			f.Add(Bytes(rng, seed))
		}
	}
}

// stepsMost is how many changes a mutation has at most.
const stepsMost = 6

// Bytes returns a mutation of an input: bytes that are changed, dropped, doubled or moved.
func Bytes(rng *rand.Rand, seed []byte) []byte {
	out := slices.Clone(seed)
	for range 1 + rng.IntN(stepsMost) {
		out = step(rng, out)
	}
	return out
}

// step makes one change.
func step(rng *rand.Rand, in []byte) []byte {
	if len(in) == 0 {
		return []byte{byte(rng.IntN(256))}
	}
	from := rng.IntN(len(in))
	to := from + rng.IntN(min(len(in)-from, 16)+1)
	switch rng.IntN(5) {
	case 0:
		in[from] = byte(rng.IntN(256))
	case 1:
		in[from] ^= 1 << rng.IntN(8)
	case 2:
		return slices.Delete(in, from, to)
	case 3:
		return slices.Insert(in, from, slices.Clone(in[from:to])...)
	case 4:
		return in[:to]
	}
	return in
}
