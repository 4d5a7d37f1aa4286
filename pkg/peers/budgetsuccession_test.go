package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// newSuccessionAgent returns an agent with a table of budgets that allow 50 second requests.
func newSuccessionAgent(t *testing.T, name string, hasPredecessor bool, peers ...*Peers) *Peers {
	p := newAgent(t, name)
	table := replica.NewTable(replica.Options{Budget: replica.BudgetOptions{Window: 10 * time.Second, Burst: 50}})
	p.EnableBudgetSuccession(table, 10*time.Second, hasPredecessor)
	for _, other := range peers {
		p.members.Receive(membership.Message{Kind: membership.Gossip, From: other.self}, time.Now())
	}
	go p.receive()
	p.updateConnections(time.Now())
	return p
}

// Guards against a restarted instance that sends its share of second requests again, and against
// one that sends none for a window although a peer knows what its previous process has sent.
func TestRestartedInstanceInheritsSecondRequests(t *testing.T) {
	keeper := newSuccessionAgent(t, "n2", false)
	// With so many services the counts take several datagrams.
	const services, each = 150, 3
	old := newSuccessionAgent(t, "n1", false, keeper)
	for range each {
		for i := range services {
			require.True(t, old.succession.table.TakeSecondRequestBudget(fmt.Sprint("service-", i), time.Now()))
		}
	}
	old.tickBudgetSuccession(time.Now())
	old.Close()

	started := newSuccessionAgent(t, "n1", true, keeper)
	require.False(t, started.succession.table.TakeSecondRequestBudget("service-0", time.Now()), "held until the counts are known")
	require.Eventually(t, func() bool {
		started.tickBudgetSuccession(time.Now())
		return !started.succession.table.SecondRequestsHeld(time.Now())
	}, 5*time.Second, time.Millisecond)
	for i := range services {
		require.Equal(t, each, started.succession.table.SecondRequestBudget(fmt.Sprint("service-", i), time.Now()).SecondRequests)
	}
}

// Guards against an instance that uses its share after a restart, although its previous process may
// have used it in the same window: nobody knows what that process has sent.
func TestInstanceWithoutKnownPredecessorHoldsSecondRequests(t *testing.T) {
	before := time.Now()
	stranger := newSuccessionAgent(t, "n2", false)
	started := newSuccessionAgent(t, "n1", true, stranger)
	for range 5 {
		started.tickBudgetSuccession(time.Now())
	}
	table := started.succession.table
	require.False(t, table.HasSecondRequestBudget("s", before.Add(10*time.Second-time.Millisecond)))
	require.True(t, table.HasSecondRequestBudget("s", time.Now().Add(10*time.Second)))
	require.Never(t, func() bool { return !started.succession.table.SecondRequestsHeld(time.Now()) }, 300*time.Millisecond, 10*time.Millisecond)
}
