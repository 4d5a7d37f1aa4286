package settings

// LoadNode reads and checks an instance's settings file.
func LoadNode(path string) (*Node, error) {
	n := NodeDefaults()
	if err := decode(path, &n); err != nil {
		return nil, err
	}
	return &n, n.Check()
}

// Check validates every field and the combination of the timing settings.
func (n *Node) Check() error {
	if err := n.checkFields(); err != nil {
		return err
	}
	return n.checkPropagationDelay()
}

// checkFields validates each field on its own.
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
		positive("machine.processor", n.Machine.CPUs),
		hostPort("store.address", n.Store.Address),
		between("store.watch_wait_ms", n.Store.WatchWaitMs, 100, 30000),
		between("store.coalesce_ms", n.Store.CoalesceMs, 0, 10000),
		positive("store.proof_ms", n.Store.FreshnessIntervalMs),
		positive("store.first_timeout_ms", n.Store.FirstTimeoutMs),
		positive("store.call_timeout_ms", n.Store.RetryTimeoutMs),
		positive("store.retry_first_ms", n.Store.MinBackoffMs),
		atLeast("store.retry_most_ms", n.Store.MaxBackoffMs, n.Store.MinBackoffMs),
		positive("store.away_after_ms", n.Store.OutageThresholdMs),
		between("stop.leave_ms", n.Stop.LameDuckMs, 0, n.Declared.TerminationGraceMs),
		between("stop.margin_ms", n.Stop.KillMarginMs, 0, n.Declared.TerminationGraceMs),
		positive("second_requests.hedge_at_typical", n.SecondRequests.HedgeTypicalFactor),
		positive("second_requests.hedge_at_target", n.SecondRequests.HedgeTargetFraction),
		positive("second_requests.hedge_least_ms", n.SecondRequests.MinHedgeDelayMs),
		positive("answers.margin_ms", n.Answers.MarginMs),
		positive("answers.useful_target", n.Answers.RequestDeadlineFactor),
		fraction("answers.least_chance", n.Answers.MinAdmitProbability),
		fraction("answers.late_wait", n.Answers.LateWaitFraction),
		fraction("answers.held_chance", n.Answers.MinReleaseProbability),
		fraction("answers.held_wait", n.Answers.HeldWaitFraction),
		positive("answers.default_patience_ms", n.Answers.DefaultTimeoutMs),
		positive("answers.retry_after_ms", n.Answers.RetryAfterMs),
		positive("leafs.conns_per_leaf", n.Leafs.ConnsPerLeaf),
		positive("leafs.instances", n.Leafs.Instances),
		atLeast("leafs.other_zone_factor", n.Leafs.OtherZoneFactor, 1),
		positive("leafs.dial_timeout_ms", n.Leafs.DialTimeoutMs),
		positive("leafs.idle_ms", n.Leafs.IdleTimeoutMs),
		nonNegative("leafs.lapse_grace_ms", n.Leafs.LapseGraceMs),
		positive("leafs.max_reply_bytes", n.Leafs.MaxReplyBytes),
		between("leafs.max_header_bytes", n.Leafs.MaxHeaderBytes, 4096, 1<<20),
		// One leaf may use a quarter of it, which has to fit the largest reply.
		atLeast("leafs.max_replies_bytes", n.Leafs.MaxRepliesBytes, 4*(n.Leafs.MaxReplyBytes+n.Leafs.MaxHeaderBytes)),
		positive("limits.max_in_flight", n.Limits.MaxInFlight),
		positive("limits.workers", n.Limits.Workers),
		positive("limits.max_connections", n.Limits.MaxConnections),
		positive("limits.max_peer_connections", n.Limits.MaxPeerConnections),
		positive("limits.quarantine_most_ms", n.Limits.MaxQuarantineMs),
		positive("limits.probation_ms", n.Limits.ProbationMs),
		positive("limits.max_held_bytes", n.Limits.MaxHeldBytes),
		oneOf("overload.priorities", n.Overload.Priorities, "auto", "on", "off"),
		oneOf("overload.single_queue", n.Overload.SingleQueue, "auto", "on", "off"),
		oneOf("overload.returns", n.Overload.Returns, "auto", "on", "off"),
		fraction("overload.least_share", n.Overload.MinAdmittedShare),
		positive("overload.short_timeout_targets", n.Overload.ShortTimeoutTargets),
		oneOf("log.level", n.Log.Level, "debug", "info", "warn", "error"),
		positive("log.lines_per_second", n.Log.LinesPerSecond),
		positive("log.burst", n.Log.Burst),
		positive("log.buffer", n.Log.Buffer),
		positive("tick_ms", n.TickMs),
		positive("reload.every_ms", n.Reload.IntervalMs),
		positive("declared.contact_ms", n.Declared.CatchUpMs),
		positive("declared.grace_ms", n.Declared.TerminationGraceMs),
		positive("declared.apply_ms", n.Declared.ApplyMs),
		positive("declared.drain_ms", n.Declared.DrainMs),
		positive("declared.second_window_ms", n.Declared.SecondRequestWindowMs),
		atLeast("declared.second_slack", n.Declared.SecondRequestBurst, 0),
		atLeast("declared.cold_factor", n.Declared.ColdFactor, 0),
		atLeast("declared.cold_slack", n.Declared.ColdSlack, 0),
		nonNegative("declared.evacuate_ms", n.Declared.EvacuateMs),
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
