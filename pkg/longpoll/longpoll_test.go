package longpoll

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func testOptions() Options {
	return Options{
		Wait: 2400 * ms, ProbeWait: ms, CoalesceDelay: 1000 * ms,
		FreshnessInterval: 1000 * ms, FreshnessSlack: 400 * ms, Jitter: 200 * ms,
		Timeout: 700 * ms, RetryTimeout: 1500 * ms, MinBackoff: 150 * ms, MaxBackoff: 1000 * ms,
	}
}

// constantRandom returns a random source that always returns v.
func constantRandom(v float64) func() float64 { return func() float64 { return v } }

func TestNextCall(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(*Pacer)
		age    time.Duration
		group  PeerGroup
		want   Call
	}{
		"no peers":                {age: 0, want: Call{Wait: 1000 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms}},
		"no peers, after a pause": {age: 1000 * ms, want: Call{Wait: ms, Timeout: 700 * ms}},
		"one peer reports":        {age: 100 * ms, group: PeerGroup{Reporting: 1}, want: Call{Wait: 1900 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms}},
		"many peers report":       {group: PeerGroup{Reporting: 9}, want: Call{Wait: 2400 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms}},
		"data is too old":         {age: 1400 * ms, group: PeerGroup{Reporting: 9}, want: Call{Wait: ms, Timeout: 700 * ms}},
		"after an abandoned call": {
			before: func(p *Pacer) { p.RecordAbandoned() }, group: PeerGroup{Reporting: 9}, want: Call{Wait: ms, Timeout: 700 * ms},
		},
		"after a failed call": {
			before: func(p *Pacer) { p.RecordFailure(0) }, group: PeerGroup{Reporting: 9}, want: Call{Wait: ms, Timeout: 1500 * ms},
		},
		"woken with peers, first rank": {
			before: func(p *Pacer) { p.RecordAnswer(true, false) }, group: PeerGroup{Reporting: 9, RelativeRank: 0.25},
			want: Call{Wait: ms + 2399*ms/4, Timeout: 700 * ms, MaxAge: 1500 * ms},
		},
		"woken with peers, last rank": {
			before: func(p *Pacer) { p.RecordAnswer(true, false) }, group: PeerGroup{Reporting: 9, RelativeRank: 1},
			want: Call{Wait: 2400 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms},
		},
		"probe answered after an abandoned call": {
			before: func(p *Pacer) { p.RecordAbandoned(); p.RecordAnswer(false, false) }, group: PeerGroup{Reporting: 9, RelativeRank: 1},
			want: Call{Wait: 1900 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(testOptions(), constantRandom(0.5))
			if tc.before != nil {
				tc.before(p)
			}
			require.Equal(t, tc.want, p.NextCall(tc.age, tc.group))
		})
	}
}

// Guards against instances that stay in step after the same change has woken them. The rank
// shortens only the first wait after the change.
func TestRankShortensOnlyTheFirstWaitAfterAChange(t *testing.T) {
	p := New(testOptions(), constantRandom(0))
	p.RecordAnswer(true, false)
	group := PeerGroup{Reporting: 9, RelativeRank: 0.5}
	require.Less(t, p.NextCall(0, group).Wait, 2400*ms)
	p.RecordAnswer(false, false)
	require.Equal(t, 2400*ms, p.NextCall(0, group).Wait)
}

func TestPausesBetweenCalls(t *testing.T) {
	p := New(testOptions(), constantRandom(1))
	require.Equal(t, 1000*ms, p.RecordAnswer(true, false))
	require.Zero(t, p.RecordAnswer(true, true), "no pause if there are more changes")
	require.Zero(t, p.RecordAnswer(false, false))
	for i, want := range []time.Duration{150, 300, 600, 1000, 1000} {
		require.Equal(t, want*ms, p.RecordFailure(0), i)
	}
	require.Equal(t, 150*ms, p.RecordFailure(1500*ms), "the time taken by a call counts towards the pause")
	require.Equal(t, 6, p.ConsecutiveFailures())
	p.RecordAnswer(false, false)
	require.Zero(t, p.ConsecutiveFailures())
	require.Equal(t, 150*ms, p.RecordFailure(0))
	require.Equal(t, 75*ms, New(testOptions(), constantRandom(0)).RecordFailure(0),
		"pauses vary so that instances do not retry at the same moment")
}

func TestMaxPropagationDelayIsTheWorstCase(t *testing.T) {
	o := testOptions()
	require.Equal(t, (1+1500+150+300)*ms, o.MaxPropagationDelay(300*ms),
		"a call that was made just before the service returned")
	o.RetryTimeout = 1000 * ms
	require.Equal(t, (1000+400+200+300)*ms, o.MaxPropagationDelay(300*ms), "a call that is never answered")
	o.FreshnessInterval = 0
	require.Equal(t, (2400+700+150)*ms, o.MaxPropagationDelay(0), "a call that is never abandoned")
}
