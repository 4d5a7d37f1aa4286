package settings

// LoadNode reads and checks an instance's settings file.
func LoadNode(path string) (*Node, error) {
	n := NodeDefaults()
	if err := decode(path, &n); err != nil {
		return nil, err
	}
	return &n, n.Check()
}

// Check validates every field.
func (n *Node) Check() error {
	if err := n.checkFields(); err != nil {
		return err
	}
	return n.checkKnownWithin()
}

// checkFields validates each field for itself.
func (n *Node) checkFields() error {
	return firstErr(
		required("name", n.Name),
		required("zone", n.Zone),
		hostPort("listen.callers", n.Listen.Callers),
		hostPort("listen.readiness", n.Listen.Readiness),
		optionalHostPort("listen.control", n.Listen.Control),
		optionalHostPort("listen.metrics", n.Listen.Metrics),
		optionalHostPort("peers.listen", n.Peers.Listen),
		hostPorts("peers.seeds", n.Peers.Seeds),
		nonNegative("peers.start_wait_ms", n.Peers.StartWaitMs),
		nonNegative("peers.first_start_wait_ms", n.Peers.FirstStartWaitMs),
		positive("machine.processor", n.Machine.Processor),
		hostPort("store.address", n.Store.Address),
		between("store.watch_wait_ms", n.Store.WatchWaitMs, 100, 30000),
		between("store.coalesce_ms", n.Store.CoalesceMs, 0, 10000),
		positive("store.proof_ms", n.Store.ProofMs),
		positive("store.first_timeout_ms", n.Store.FirstTimeoutMs),
		positive("store.call_timeout_ms", n.Store.CallTimeoutMs),
		positive("store.retry_first_ms", n.Store.RetryFirstMs),
		atLeast("store.retry_most_ms", n.Store.RetryMostMs, n.Store.RetryFirstMs),
		positive("store.away_after_ms", n.Store.AwayAfterMs),
		between("stop.leave_ms", n.Stop.LeaveMs, 0, n.Bounds.GraceMs),
		between("stop.margin_ms", n.Stop.MarginMs, 0, n.Bounds.GraceMs),
		positive("second_requests.hedge_at_typical", n.Second.HedgeAtTypical),
		positive("second_requests.hedge_at_target", n.Second.HedgeAtTarget),
		positive("second_requests.hedge_least_ms", n.Second.HedgeLeastMs),
		positive("answers.margin_ms", n.Answer.MarginMs),
		positive("answers.useful_target", n.Answer.UsefulTarget),
		fraction("answers.least_chance", n.Answer.LeastChance),
		fraction("answers.late_wait", n.Answer.LateWait),
		fraction("answers.held_chance", n.Answer.HeldChance),
		fraction("answers.held_wait", n.Answer.HeldWait),
		positive("answers.default_patience_ms", n.Answer.DefaultPatienceMs),
		positive("answers.retry_after_ms", n.Answer.RetryAfterMs),
		positive("leafs.conns_per_leaf", n.Leafs.ConnsPerLeaf),
		positive("leafs.instances", n.Leafs.Instances),
		atLeast("leafs.other_zone_factor", n.Leafs.OtherZoneFactor, 1),
		positive("leafs.dial_timeout_ms", n.Leafs.DialTimeoutMs),
		positive("leafs.idle_ms", n.Leafs.IdleMs),
		nonNegative("leafs.lapse_grace_ms", n.Leafs.LapseGraceMs),
		positive("leafs.max_reply_bytes", n.Leafs.MaxReplyBytes),
		positive("limits.max_in_flight", n.Limits.MaxInFlight),
		positive("limits.workers", n.Limits.Workers),
		positive("limits.max_connections", n.Limits.MaxConnections),
		positive("limits.max_peer_connections", n.Limits.MaxPeerConnections),
		positive("limits.quarantine_most_ms", n.Limits.QuarantineMostMs),
		oneOf("log.level", n.Log.Level, "debug", "info", "warn", "error"),
		positive("log.lines_per_second", n.Log.LinesPerSecond),
		positive("log.burst", n.Log.Burst),
		positive("log.buffer", n.Log.Buffer),
		positive("tick_ms", n.Tick),
		positive("reload.every_ms", n.Reload.EveryMs),
		positive("declared.contact_ms", n.Bounds.ContactMs),
		positive("declared.grace_ms", n.Bounds.GraceMs),
		positive("declared.apply_ms", n.Bounds.ApplyMs),
		positive("declared.drain_ms", n.Bounds.DrainMs),
		positive("declared.second_window_ms", n.Bounds.SecondWindowMs),
		atLeast("declared.second_slack", n.Bounds.SecondSlack, 0),
		atLeast("declared.cold_factor", n.Bounds.ColdFactor, 0),
		atLeast("declared.cold_slack", n.Bounds.ColdSlack, 0),
		nonNegative("declared.evacuate_ms", n.Bounds.EvacuateMs),
	)
}

func hostPorts(field string, list []string) error {
	for _, v := range list {
		if err := hostPort(field, v); err != nil {
			return err
		}
	}
	return nil
}

func optionalHostPort(field, v string) error {
	if v == "" {
		return nil
	}
	return hostPort(field, v)
}
