package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restartSchedules are the ways in which instances end. Each function is called in every step.
var restartSchedules = map[string]func(s *restartSim, since time.Duration){
	"rolling restart": func(s *restartSim, since time.Duration) {
		for n, i := range s.instances {
			switch since {
			case time.Duration(12+n) * time.Second:
				i.stopping = true
			case time.Duration(14+n) * time.Second:
				s.stop(i, true)
			}
		}
	},
	"killed in turn": func(s *restartSim, since time.Duration) {
		for n, i := range s.instances {
			if since == 12*time.Second+time.Duration(n)*700*time.Millisecond {
				s.stop(i, false)
			}
		}
	},
	"all killed": func(s *restartSim, since time.Duration) {
		if since == 14*time.Second {
			for _, i := range s.instances {
				s.stop(i, false)
			}
		}
	},
	"all killed twice": func(s *restartSim, since time.Duration) {
		if since == 14*time.Second || since == 17*time.Second {
			for _, i := range s.instances {
				s.stop(i, false)
			}
		}
	},
	"each killed twice": func(s *restartSim, since time.Duration) {
		for n, i := range s.instances {
			first := 12*time.Second + time.Duration(n)*300*time.Millisecond
			if since == first || since == first+3*time.Second {
				s.stop(i, false)
			}
		}
	},
	"one crashes again and again": func(s *restartSim, since time.Duration) {
		if since >= 11*time.Second && since%(2*time.Second) == 0 {
			s.stop(s.instances[0], false)
		}
	},
}

// Guards against second requests in excess of the published limit around restarts: a process that
// starts counted from zero, and took itself for the only one of its zone.
func TestRestartsDoNotGrantTheBudgetAgain(t *testing.T) {
	for name, schedule := range restartSchedules {
		for _, shard := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, shard %t", name, shard), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					s := newRestartSim(seed, shard)
					s.failFrom = burstStart.Add(10 * time.Second)
					s.run(30*time.Second, func(since time.Duration) { schedule(s, since) })
					require.LessOrEqual(t, s.excess(), 0.0, "seed %d", seed)
				}
			})
		}
	}
}

// Guards against instances that send no second requests after a planned restart, although others know
// what their previous processes have sent.
func TestSecondRequestsGoOnAfterRollingRestart(t *testing.T) {
	s := newRestartSim(1, false)
	s.failFrom = burstStart.Add(10 * time.Second)
	waiting := 0
	s.run(30*time.Second, func(since time.Duration) {
		restartSchedules["rolling restart"](s, since)
		for _, i := range s.instances {
			if i.down.IsZero() && i.successor.Waiting(s.now) {
				waiting++
			}
		}
	})
	require.Less(t, time.Duration(waiting)*simStep, 6*time.Second, "sum over 6 instances")
}
