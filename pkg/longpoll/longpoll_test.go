package longpoll

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func options() Options {
	return Options{
		Wait: 2400 * ms, Look: ms, Pause: 1000 * ms, Proof: 1000 * ms, Slack: 400 * ms, Spread: 200 * ms,
		TimeoutFirst: 700 * ms, TimeoutMost: 1500 * ms, RetryFirst: 150 * ms, RetryMost: 1000 * ms,
	}
}

// always draws the same random number.
func always(v float64) func() float64 { return func() float64 { return v } }

func TestWaitOfACall(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(*Pacer)
		age    time.Duration
		group  Group
		want   Call
	}{
		"alone":                {age: 0, want: Call{Wait: 1000 * ms, Timeout: 700 * ms, Stale: 1500 * ms}},
		"alone, after a pause": {age: 1000 * ms, want: Call{Wait: ms, Timeout: 700 * ms}},
		"hears of one":         {age: 100 * ms, group: Group{Heard: 1}, want: Call{Wait: 1900 * ms, Timeout: 700 * ms, Stale: 1500 * ms}},
		"hears of many":        {group: Group{Heard: 9}, want: Call{Wait: 2400 * ms, Timeout: 700 * ms, Stale: 1500 * ms}},
		"what is known is old": {age: 1400 * ms, group: Group{Heard: 9}, want: Call{Wait: ms, Timeout: 700 * ms}},
		"given up": {
			before: func(p *Pacer) { p.GaveUp() }, group: Group{Heard: 9}, want: Call{Wait: ms, Timeout: 700 * ms},
		},
		"failed": {
			before: func(p *Pacer) { p.Failed(0) }, group: Group{Heard: 9}, want: Call{Wait: ms, Timeout: 1500 * ms},
		},
		"woken with others, first": {
			before: func(p *Pacer) { p.Answered(true, false) }, group: Group{Heard: 9, Place: 0.25},
			want: Call{Wait: ms + 2399*ms/4, Timeout: 700 * ms, Stale: 1500 * ms},
		},
		"woken with others, last": {
			before: func(p *Pacer) { p.Answered(true, false) }, group: Group{Heard: 9, Place: 1},
			want: Call{Wait: 2400 * ms, Timeout: 700 * ms, Stale: 1500 * ms},
		},
		"answered after it was given up": {
			before: func(p *Pacer) { p.GaveUp(); p.Answered(false, false) }, group: Group{Heard: 9, Place: 1},
			want: Call{Wait: 1900 * ms, Timeout: 700 * ms, Stale: 1500 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(options(), always(0.5))
			if tc.before != nil {
				tc.before(p)
			}
			require.Equal(t, tc.want, p.Next(tc.age, tc.group))
		})
	}
}

// Guards against: instances that were woken by the same change and go on in step.
func TestPlaceCountsOnlyOnce(t *testing.T) {
	p := New(options(), always(0))
	p.Answered(true, false)
	group := Group{Heard: 9, Place: 0.5}
	require.Less(t, p.Next(0, group).Wait, 2400*ms)
	p.Answered(false, false)
	require.Equal(t, 2400*ms, p.Next(0, group).Wait)
}

func TestPauses(t *testing.T) {
	p := New(options(), always(1))
	require.Equal(t, 1000*ms, p.Answered(true, false))
	require.Zero(t, p.Answered(true, true), "more is waiting")
	require.Zero(t, p.Answered(false, false))
	for i, want := range []time.Duration{150, 300, 600, 1000, 1000} {
		require.Equal(t, want*ms, p.Failed(0), i)
	}
	require.Equal(t, 150*ms, p.Failed(1500*ms), "a call that hung has used up the pause")
	require.Equal(t, 6, p.Attempts())
	p.Answered(false, false)
	require.Zero(t, p.Attempts())
	require.Equal(t, 150*ms, p.Failed(0))
	require.Equal(t, 75*ms, New(options(), always(0)).Failed(0), "not all come back at the same moment")
}

func TestBoundIsTheWorstCase(t *testing.T) {
	o := options()
	require.Equal(t, (1+1500+150+300)*ms, o.Bound(300*ms), "a call that was made just before the return")
	o.TimeoutMost = 1000 * ms
	require.Equal(t, (1000+400+200+300)*ms, o.Bound(300*ms), "a call that is never answered")
	o.Proof = 0
	require.Equal(t, (2400+700+150)*ms, o.Bound(0), "one that nothing gives up")
}
