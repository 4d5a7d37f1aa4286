// Package mutate generates inputs for fuzz tests of decoders. The inputs are the same in each
// run, so that a test run is deterministic. New random inputs come from the fuzzer, which is
// run manually.
package mutate

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// MutationsPerSeed is the number of mutations of each seed that AddSeeds adds.
const MutationsPerSeed = 3000

// AddSeeds adds seeds and deterministic mutations of them to the corpus of a fuzz target.
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

// maxChanges is the maximum number of changes in a mutation.
const maxChanges = 6

// Bytes returns a mutation of seed, which is not modified. A mutation sets, flips, deletes or
// duplicates bytes, or truncates the input.
func Bytes(rng *rand.Rand, seed []byte) []byte {
	out := slices.Clone(seed)
	for range 1 + rng.IntN(maxChanges) {
		out = applyChange(rng, out)
	}
	return out
}

// applyChange makes one random change. It may modify in.
func applyChange(rng *rand.Rand, in []byte) []byte {
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
