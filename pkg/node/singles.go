package node

// SinglesHandedOff returns how many requests to a single leaf peers were asked to run.
func (n *Node) SinglesHandedOff() int64 {
	if n.peering == nil {
		return 0
	}
	return n.peering.agent.Singles.HandedOff.Load()
}

// registerSingleGauges registers the metrics about single requests that peers run.
func (n *Node) registerSingleGauges(gauge func(name string, f func() float64)) {
	counts, server := &n.peering.agent.Singles, n.peering.server
	gauge("node_singles_handed", func() float64 { return float64(counts.HandedOff.Load()) })
	gauge("node_singles_declined", func() float64 { return float64(counts.Declined.Load()) })
	gauge("node_singles_taken_back", func() float64 { return float64(counts.TakenBack.Load()) })
	gauge("node_singles_taken_late", func() float64 { return float64(counts.AcceptedLate.Load()) })
	gauge("node_singles_lost", func() float64 { return float64(counts.Lost.Load()) })
	gauge("node_singles_served", func() float64 { return float64(server.SinglesServed.Load()) })
}
