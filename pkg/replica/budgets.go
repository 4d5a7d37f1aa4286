package replica

import "time"

// SetBurstLimits sets this instance's share of the second requests that all instances together
// may send in excess of the ratio.
func (t *Table) SetBurstLimits(b BurstLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.burstLimits = b
	t.applyBudgetOptions()
}

// BurstLimits returns this instance's share, or the zero value if it is not known.
func (t *Table) BurstLimits() BurstLimits {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.burstLimits
}

// SecondRequestBudget returns the state of the service's budget of second requests.
func (t *Table) SecondRequestBudget(serviceName string, now time.Time) BudgetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(serviceName).budget.State(now)
}

// SetShards sets which services are used only as shards of gather queries.
func (t *Table) SetShards(shards map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shards = shards
	t.applyBudgetOptions()
}

// applyBudgetOptions updates the limits of all services. The caller holds mu.
func (t *Table) applyBudgetOptions() {
	for name, s := range t.services {
		s.budget.SetOptions(t.budgetOptions(name))
	}
}

// budgetOptions returns the limits of a service. The caller holds mu.
func (t *Table) budgetOptions(serviceName string) BudgetOptions {
	opts := t.opts.Budget
	switch {
	case t.burstLimits == BurstLimits{}:
	case t.shards[serviceName]:
		opts.Burst = t.burstLimits.Shard
	default:
		opts.Burst = t.burstLimits.Single
	}
	return opts
}

// CountRequest counts one request towards the service's budget of second requests, whether or
// not it is sent.
func (t *Table) CountRequest(serviceName string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	s.budget.CountRequest(now)
	s.recordRequest(now)
}

// HasSecondRequestBudget reports whether the service's budget allows a second request.
func (t *Table) HasSecondRequestBudget(serviceName string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.secondRequestsHeldUntil) && t.service(serviceName).budget.Available(now)
}

// TakeSecondRequestBudget takes one second request out of the service's budget. It returns
// false if the budget is exhausted or second requests are held.
func (t *Table) TakeSecondRequestBudget(serviceName string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.secondRequestsHeldUntil) && t.service(serviceName).budget.TryTake(now)
}
