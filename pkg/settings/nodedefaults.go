package settings

// NodeDefaults are the settings of fields that a file leaves out.
func NodeDefaults() Node {
	return Node{
		Store: NodeStore{
			// A store that drops its history lets waiting watches hear nothing
			// until their wait is over. With the call timeout this stays
			// below the 4 s within which an instance must have caught up;
			// a declared contact time shortens it further.
			WatchWaitMs: 2400,
			// One call for all changes of that time, shortened further by the
			// declared time for a change to be in force.
			CoalesceMs: 2000,
			// Shortened further by the declared times.
			FreshnessIntervalMs: 1000,
			// Twice as long as a slow store takes, and more once a call has failed.
			FirstTimeoutMs: 750,
			RetryTimeoutMs: 1500,
			MinBackoffMs:   150,
			MaxBackoffMs:   1000,
			// Leafs report every 1.2 s; an outage shorter than that lets no
			// entry lapse.
			OutageThresholdMs: 1000,
		},
		Stop: NodeStop{
			// The balancer asks each second and takes an instance out after
			// two misses.
			LameDuckMs:   2500,
			KillMarginMs: 500,
		},
		SecondRequests: NodeSecondRequests{
			Burst:               2,
			HedgeTypicalFactor:  2.5,
			HedgeTargetFraction: 0.25,
			// Small against a leaf's pause and the target latencies.
			MinHedgeDelayMs: 15,
		},
		Answers: NodeAnswers{
			Partial:               true,
			MarginMs:              5,
			RequestDeadlineFactor: 1.0,
			MinAdmitProbability:   0.25,
			// Budgets refill over ten seconds; half of the time leaves the caller
			// the other half to come again.
			LateWaitFraction:      0.5,
			MinReleaseProbability: 0.87,
			HeldWaitFraction:      0.7,
			DefaultTimeoutMs:      5000,
			RetryAfterMs:          300,
		},
		Leafs: NodeLeafs{
			ConnsPerLeaf: 8,
			Instances:    10,
			// A leaf in another zone must be faster by this much: bytes
			// between zones are billed and take a round trip longer.
			OtherZoneFactor: 1.6,
			DialTimeoutMs:   250,
			IdleTimeoutMs:   30000,
			LapseGraceMs:    2300,
			MaxReplyBytes:   4 << 20,
		},
		Peers: NodePeers{
			Batches: true, Gather: true, Feed: true,
			// A join, a connection and a page of the store's entries; callers of
			// instances that start together wait as long.
			StartWaitMs: 150,
			// By then the members of a zone know each other.
			FirstStartWaitMs: 2000,
		},
		Machine: NodeMachine{CPUs: 1},
		// Of 4,100 descriptors some hundred are left for files, leafs, the store and
		// operators.
		Limits:   NodeLimits{MaxInFlight: 400, Workers: 4096, MaxConnections: 3000, MaxPeerConnections: 400, MaxQuarantineMs: defaultQuarantineMost},
		Log:      NodeLog{Level: "debug", LinesPerSecond: 5, Burst: 20, Buffer: 512},
		TickMs:   50,
		Reload:   NodeReload{IntervalMs: 2000},
		Declared: NodeDeclared{CatchUpMs: 4000, TerminationGraceMs: 6000, ApplyMs: 3000, DrainMs: 3000, SecondRequestRatio: 0.2, SecondRequestWindowMs: 10000, ColdFactor: 1},
	}
}
