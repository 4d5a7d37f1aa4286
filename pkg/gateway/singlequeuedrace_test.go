package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/leafqueue"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Guards against a request that is sent after its caller was told that it did not run, and against a
// place at a leaf that is never returned: the queue starts the request at the moment at which the
// caller leaves or the deadline passes, and the decision arrives after that.
func TestRequestStartedAsItLeavesIsNotSent(t *testing.T) {
	for name, tc := range map[string]struct {
		timeout time.Duration
		leave   bool
		want    errcode.Code
	}{
		"caller leaves":   {time.Minute, true, errcode.CallerDisconnected},
		"deadline passes": {100 * time.Millisecond, false, errcode.QueueFull},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBlockingLeafs()
			g := newQueuedGateway(t, b.answer)
			occupying := occupy(t, g, b)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			answer := make(chan Answer, 1)
			go func() {
				answer <- g.Handle(ctx, &Request{ID: "r", Host: "h", Path: "/hold/left", Arrived: time.Now(), Timeout: tc.timeout})
			}()
			awaitWaiting(t, g, 1)
			q := g.singles.all()[0]
			q.mu.Lock()
			q.timer.Stop() // The test calls Next instead of the timer.
			q.mu.Unlock()
			g.table.Upsert(replica.Leaf{ID: "onec", Services: []string{"one"}, Zone: "z", Slots: 1}, time.Now())
			var started []leafqueue.Decision
			require.Eventually(t, func() bool {
				started = q.Next(time.Now(), nil)
				return len(started) == 1
			}, 10*time.Second, time.Millisecond)
			require.Equal(t, leafqueue.Started, started[0].Verdict)
			if tc.leave {
				leave()
			}
			time.Sleep(2 * max(tc.timeout%time.Minute, 20*time.Millisecond))
			started[0].Request.Owner.(*queuedRun).decided <- started[0]
			require.Equal(t, tc.want, (<-answer).Code)
			require.Zero(t, b.count("/hold/left"))
			close(b.release)
			<-occupying
			<-occupying
			require.Zero(t, g.SingleQueues(time.Now())[0].InFlight)
			require.Zero(t, g.table.InFlightIn("z"))
		})
	}
}
