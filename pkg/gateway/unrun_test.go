package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// unrunStatuses tell the caller of an at-most-once request that it did not run and never will.
var unrunStatuses = []int{408, 421, 429, 503}

// Guards against a code whose status says that the request did not run although it may have.
func TestStatusesOfUnrunRequestsHaveCodesOfUnrunRequests(t *testing.T) {
	for _, code := range errcode.All() {
		if slices.Contains(unrunStatuses, code.HTTPStatus()) {
			require.True(t, code.NotRun(), "%s", code)
		}
	}
}

// Guards against an at-most-once request that is sent again by its caller, because it was answered
// as not run, although a leaf ran it or still may. Each pair of outcomes of its two attempts is
// tried, among them a leaf that replies only after the caller's timeout.
func TestAtMostOnceRequestThatMayRunIsNotAnsweredAsUnrun(t *testing.T) {
	for first := replica.Answered; first.Valid(); first++ {
		for second := replica.Answered; second.Valid(); second++ {
			outcomes := []replica.Outcome{first, second}
			t.Run(fmt.Sprint(outcomes), func(t *testing.T) {
				t.Parallel()
				code, calls := askHold(t, outcomes)
				proven := !slices.ContainsFunc(outcomes[:calls], func(o replica.Outcome) bool { return !o.NotRun() })
				require.Equal(t, proven, code.NotRun(), "%v: %s after %d calls", outcomes, code, calls)
				if !proven {
					require.NotContains(t, unrunStatuses, code.HTTPStatus(), "%v: %s", outcomes, code)
				}
			})
		}
	}
}

// askHold sends an at-most-once request whose attempts have the given outcomes, and returns its code
// and the number of attempts. An attempt that times out has no outcome before the caller's timeout.
func askHold(t *testing.T, outcomes []replica.Outcome) (code errcode.Code, calls int) {
	// Only an attempt that times out needs the caller's timeout to pass. On a busy machine a short
	// one passes before the reply of the first attempt is handled.
	timeout := time.Minute
	if slices.Contains(outcomes, replica.TimedOut) {
		timeout = time.Second
	}
	var mu sync.Mutex
	g := newGateway(t, 1, func(ctx context.Context, call LeafCall) LeafReply {
		mu.Lock()
		o := outcomes[calls]
		calls++
		mu.Unlock()
		if o == replica.TimedOut {
			time.Sleep(time.Until(call.Deadline) + 10*time.Millisecond)
		}
		return LeafReply{Outcome: o}
	})
	a := g.Handle(context.Background(), &Request{ID: "r", Host: "h", Path: "/hold/", Arrived: time.Now(), Timeout: timeout})
	mu.Lock()
	defer mu.Unlock()
	return a.Code, calls
}
