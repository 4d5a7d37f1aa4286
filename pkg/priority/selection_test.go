package priority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against uneven selection, such as the refusal of all callers that arrive at the same moment.
func TestSelectionIsEven(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(5*time.Second, missed, "urgent", "other")
	inRow := 0
	for range 300 {
		if h.Admit("other", NewCaller, h.now).Admitted {
			inRow = 0
			continue
		}
		inRow++
		require.LessOrEqual(t, inRow, 3)
	}
}

// Guards against returning callers that are refused again while new ones are admitted, against
// returning callers that use up all admissions, and against a credit without bound.
func TestReturningCallersBeforeNewOnes(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(5*time.Second, missed, "urgent", "other")
	const n = 1000
	var news, returns, promised int
	for range n {
		if h.Admit("other", NewCaller, h.now).Admitted {
			news++
		}
		if h.Admit("other", ReturningCaller, h.now).Admitted {
			returns++
		}
	}
	require.InDelta(t, 0.3*n, news+returns, 0.02*n, "returning callers use the credit of the share")
	require.InDelta(t, 0.1*float64(news+returns), returns, 0.02*n, "most admissions are left for new callers")

	for range 20 {
		h.Admit("other", NewCaller, h.now) // Their returns accrue no credit.
	}
	require.True(t, h.Admit("other", PromisedCaller, h.now).Admitted, "a promise is kept past the share")
	for h.Admit("other", PromisedCaller, h.now).Admitted {
		promised++
		require.LessOrEqual(t, promised, int(overdrafts[PromisedCaller]), "promises are kept within the bound")
	}
}

// Guards against callers that retry at once and are admitted before those that waited, and against
// retries that raise the admitted share.
func TestEarlyReturnsHaveNoPrecedence(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(5*time.Second, missed, "urgent", "other")
	const n = 1000
	admitted := 0
	for range n {
		if h.Admit("other", NewCaller, h.now).Admitted {
			admitted++
			continue
		}
		require.False(t, h.Admit("other", EarlyCaller, h.now).Admitted, "no capacity has become free since the refusal")
	}
	require.InDelta(t, 0.3*n, admitted, 5)
}

// Guards against a minimum share that depends on whether refused callers return: they must be
// counted once.
func TestReturnsAreNotCountedTwice(t *testing.T) {
	h := newHarness(defaults(), twoRanks()...)
	h.run(5*time.Second, missed, "urgent", "other")
	const n = 1000
	admitted := 0
	for range n {
		for _, c := range []Caller{NewCaller, ReturningCaller} {
			if h.Admit("other", c, h.now).Admitted {
				admitted++
				break
			}
		}
	}
	require.InDelta(t, 0.3*n, admitted, 5)
}
