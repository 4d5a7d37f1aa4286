package longpoll

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func options() Options {
	return Options{
		Wait: 2400 * ms, ProbeWait: ms, CoalesceDelay: 1000 * ms, FreshnessInterval: 1000 * ms, FreshnessSlack: 400 * ms, Jitter: 200 * ms,
		Timeout: 700 * ms, RetryTimeout: 1500 * ms, MinBackoff: 150 * ms, MaxBackoff: 1000 * ms,
	}
}

// always draws the same random number.
func always(v float64) func() float64 { return func() float64 { return v } }

func TestWaitOfACall(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(*Pacer)
		age    time.Duration
		group  PeerGroup
		want   Call
	}{
		"alone":                {age: 0, want: Call{Wait: 1000 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms}},
		"alone, after a pause": {age: 1000 * ms, want: Call{Wait: ms, Timeout: 700 * ms}},
		"hears of one":         {age: 100 * ms, group: PeerGroup{Reporting: 1}, want: Call{Wait: 1900 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms}},
		"hears of many":        {group: PeerGroup{Reporting: 9}, want: Call{Wait: 2400 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms}},
		"what is known is old": {age: 1400 * ms, group: PeerGroup{Reporting: 9}, want: Call{Wait: ms, Timeout: 700 * ms}},
		"given up": {
			before: func(p *Pacer) { p.RecordAbandoned() }, group: PeerGroup{Reporting: 9}, want: Call{Wait: ms, Timeout: 700 * ms},
		},
		"failed": {
			before: func(p *Pacer) { p.RecordFailure(0) }, group: PeerGroup{Reporting: 9}, want: Call{Wait: ms, Timeout: 1500 * ms},
		},
		"woken with others, first": {
			before: func(p *Pacer) { p.RecordAnswer(true, false) }, group: PeerGroup{Reporting: 9, RelativeRank: 0.25},
			want: Call{Wait: ms + 2399*ms/4, Timeout: 700 * ms, MaxAge: 1500 * ms},
		},
		"woken with others, last": {
			before: func(p *Pacer) { p.RecordAnswer(true, false) }, group: PeerGroup{Reporting: 9, RelativeRank: 1},
			want: Call{Wait: 2400 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms},
		},
		"answered after it was given up": {
			before: func(p *Pacer) { p.RecordAbandoned(); p.RecordAnswer(false, false) }, group: PeerGroup{Reporting: 9, RelativeRank: 1},
			want: Call{Wait: 1900 * ms, Timeout: 700 * ms, MaxAge: 1500 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(options(), always(0.5))
			if tc.before != nil {
				tc.before(p)
			}
			require.Equal(t, tc.want, p.NextCall(tc.age, tc.group))
		})
	}
}

// Guards against: instances that were woken by the same change and go on in step.
func TestPlaceCountsOnlyOnce(t *testing.T) {
	p := New(options(), always(0))
	p.RecordAnswer(true, false)
	group := PeerGroup{Reporting: 9, RelativeRank: 0.5}
	require.Less(t, p.NextCall(0, group).Wait, 2400*ms)
	p.RecordAnswer(false, false)
	require.Equal(t, 2400*ms, p.NextCall(0, group).Wait)
}

func TestPauses(t *testing.T) {
	p := New(options(), always(1))
	require.Equal(t, 1000*ms, p.RecordAnswer(true, false))
	require.Zero(t, p.RecordAnswer(true, true), "more is waiting")
	require.Zero(t, p.RecordAnswer(false, false))
	for i, want := range []time.Duration{150, 300, 600, 1000, 1000} {
		require.Equal(t, want*ms, p.RecordFailure(0), i)
	}
	require.Equal(t, 150*ms, p.RecordFailure(1500*ms), "a call that hung has used up the pause")
	require.Equal(t, 6, p.ConsecutiveFailures())
	p.RecordAnswer(false, false)
	require.Zero(t, p.ConsecutiveFailures())
	require.Equal(t, 150*ms, p.RecordFailure(0))
	require.Equal(t, 75*ms, New(options(), always(0)).RecordFailure(0), "not all come back at the same moment")
}

func TestBoundIsTheWorstCase(t *testing.T) {
	o := options()
	require.Equal(t, (1+1500+150+300)*ms, o.MaxPropagationDelay(300*ms), "a call that was made just before the return")
	o.RetryTimeout = 1000 * ms
	require.Equal(t, (1000+400+200+300)*ms, o.MaxPropagationDelay(300*ms), "a call that is never answered")
	o.FreshnessInterval = 0
	require.Equal(t, (2400+700+150)*ms, o.MaxPropagationDelay(0), "one that nothing gives up")
}
