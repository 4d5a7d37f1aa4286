package settings

// NodeDefaults returns the settings with the default of every field that a file may omit.
func NodeDefaults() Node {
	return Node{
		Store: NodeStore{
			// When the store drops its history, watches that are waiting are not notified and
			// return only when their wait is over. The wait and the call timeout together stay
			// below the 4 s within which an instance must be up to date again; a shorter
			// declared catch-up time shortens the wait further.
			WatchWaitMs: 2400,
			// One call returns all changes of this time. The declared times within which a
			// change must take effect shorten it further.
			CoalesceMs: 2000,
			// The declared times shorten it further.
			FreshnessIntervalMs: 1000,
			// The first timeout is at least twice the response time of a slow store; the
			// timeout is longer once a call has failed.
			FirstTimeoutMs: 750,
			RetryTimeoutMs: 1500,
			MinBackoffMs:   150,
			MaxBackoffMs:   1000,
			// Leafs renew their entries every 1.2 s, so no entry expires in a shorter outage.
			OutageThresholdMs: 1000,
		},
		Stop: NodeStop{
			// The load balancer checks readiness every second and removes an instance after
			// two failed checks.
			LameDuckMs:   2500,
			KillMarginMs: 500,
		},
		SecondRequests: NodeSecondRequests{
			Burst:               2,
			HedgeTypicalFactor:  2.5,
			HedgeTargetFraction: 0.25,
			// Small compared with a leaf's pause and the target latencies.
			MinHedgeDelayMs: 15,
		},
		Answers: NodeAnswers{
			Partial:               true,
			MarginMs:              5,
			RequestDeadlineFactor: 1.0,
			MinAdmitProbability:   0.25,
			// Budgets refill over ten seconds. Waiting for half of the time leaves the caller
			// the other half to retry.
			LateWaitFraction:      0.5,
			MinReleaseProbability: 0.87,
			HeldWaitFraction:      0.7,
			DefaultTimeoutMs:      5000,
			RetryAfterMs:          300,
		},
		Leafs: NodeLeafs{
			ConnsPerLeaf: 8,
			Instances:    10,
			// A leaf in another zone must be faster by this factor, because traffic between
			// zones is billed and takes an additional round trip.
			OtherZoneFactor: 1.6,
			DialTimeoutMs:   250,
			IdleTimeoutMs:   30000,
			LapseGraceMs:    2300,
			MaxReplyBytes:   4 << 20,
			MaxHeaderBytes:  64 << 10,
			MaxRepliesBytes: 32 << 20,
		},
		Peers: NodePeers{
			Batches: true, Gather: true, Feed: true,
			// Enough to join, to open a connection and to receive a page of the store's
			// entries. Callers wait as long when instances start at the same time.
			StartWaitMs: 150,
			// By then the members of a zone have discovered each other.
			FirstStartWaitMs: 2000,
		},
		Machine: NodeMachine{CPUs: 1},
		// Of 4,100 file descriptors, several hundred remain for files, leafs, the store and
		// operators.
		Limits:   NodeLimits{MaxInFlight: 400, Workers: 4096, MaxConnections: 3000, MaxPeerConnections: 400, MaxQuarantineMs: defaultMaxQuarantineMs, ProbationMs: defaultProbationMs, MaxHeldBytes: 32 << 20},
		Overload: NodeOverload{Priorities: "auto", SingleQueue: "auto", Returns: "auto", MinAdmittedShare: 0.3, ShortTimeoutTargets: 12},
		Log:      NodeLog{Level: "debug", LinesPerSecond: 5, Burst: 20, Buffer: 512},
		TickMs:   50,
		Reload:   NodeReload{IntervalMs: 2000},
		Declared: NodeDeclared{CatchUpMs: 4000, TerminationGraceMs: 6000, ApplyMs: 3000, DrainMs: 3000, SecondRequestRatio: 0.2, SecondRequestWindowMs: 10000, ColdFactor: 1},
	}
}
