package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// simSeeds is how many seeds of each kind are played.
const simSeeds = 40

// Guards against: a configuration that is late because the one call that is open is never answered.
func TestSwallowedCallDelaysNoConfiguration(t *testing.T) {
	for deployment, set := range simDeployments() {
		for fleet, sources := range simFleets() {
			t.Run(deployment+" "+fleet, func(t *testing.T) {
				for phase := time.Duration(0); phase < 4*time.Second; phase += 190 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						f := newSimFleet(set, sources)
						time.Sleep(6*time.Second + phase)
						f.store.swallow()
						f.store.write()
						time.Sleep(10 * time.Second)
						f.end()
						f.requireKnown(t, "phase", phase)
					})
				}
			})
		}
	}
}

// Guards against: a configuration that is late because calls that fell into an outage of the store
// are still waited for when it is back.
func TestConfigurationsAreKnownSoonAfterAnOutage(t *testing.T) {
	for deployment, set := range simDeployments() {
		for fleet, sources := range simFleets() {
			t.Run(deployment+" "+fleet, func(t *testing.T) {
				for seed := range uint64(simSeeds) {
					synctest.Test(t, func(t *testing.T) {
						rng := rand.New(rand.NewPCG(seed, 1))
						f := newSimFleet(set, sources)
						f.store.answer = []time.Duration{4, 50, 240}[rng.IntN(3)] * time.Millisecond
						what := playOutages(f, rng)
						f.end()
						f.requireKnown(t, "seed", seed, what)
					})
				}
			})
		}
	}
}

// playOutages lets the store fail some times, with changes before and after, and says how.
func playOutages(f *simFleet, rng *rand.Rand) string {
	time.Sleep(4 * time.Second)
	what := ""
	for range 1 + rng.IntN(2) {
		sleepRandom(rng, 4*time.Second)
		f.store.write()
		sleepRandom(rng, 3*time.Second)
		lasts := time.Duration(rng.Int64N(int64(9 * time.Second)))
		kind := rng.IntN(4)
		what += fmt.Sprint(" ", []string{"silent", "refusing", "reset", "history lost"}[kind], " for ", lasts)
		switch kind {
		case 0:
			f.store.fail(storeSilent, false, lasts)
		case 1:
			f.store.fail(storeRefusing, false, lasts)
		case 2:
			f.store.fail(storeRefusing, true, lasts)
		case 3:
			f.store.loseHistory(time.Second)
		}
		for range rng.IntN(4) {
			sleepRandom(rng, 800*time.Millisecond)
			f.store.write()
		}
	}
	time.Sleep(8 * time.Second)
	return what
}
