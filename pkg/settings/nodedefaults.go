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
			ProofMs: 1000,
			// Twice as long as a slow store takes, and more once a call has failed.
			FirstTimeoutMs: 750,
			CallTimeoutMs:  1500,
			RetryFirstMs:   150,
			RetryMostMs:    1000,
			// Leafs report every 1.2 s; an outage shorter than that lets no
			// entry lapse.
			AwayAfterMs: 1000,
		},
		Stop: NodeStop{
			// The balancer asks each second and takes an instance out after
			// two misses.
			LeaveMs:  2500,
			MarginMs: 500,
		},
		Second: NodeSecond{
			Burst:          2,
			HedgeAtTypical: 2.5,
			HedgeAtTarget:  0.25,
			// Small against a leaf's pause and the target latencies.
			HedgeLeastMs: 15,
		},
		Answer: NodeAnswer{
			Partial:      true,
			MarginMs:     5,
			UsefulTarget: 1.0,
			LeastChance:  0.25,
			// Budgets refill over ten seconds; half of the time leaves the caller
			// the other half to come again.
			LateWait:          0.5,
			HeldChance:        0.87,
			HeldWait:          0.7,
			DefaultPatienceMs: 5000,
			RetryAfterMs:      300,
		},
		Leafs: NodeLeafs{
			ConnsPerLeaf: 8,
			Instances:    10,
			// A leaf in another zone must be faster by this much: bytes
			// between zones are billed and take a round trip longer.
			OtherZoneFactor: 1.6,
			DialTimeoutMs:   250,
			IdleMs:          30000,
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
		Machine: NodeMachine{Processor: 1},
		// Of 4,100 descriptors some hundred are left for files, leafs, the store and
		// operators.
		Limits: NodeLimits{MaxInFlight: 400, Workers: 4096, MaxConnections: 3000, MaxPeerConnections: 400, QuarantineMostMs: defaultQuarantineMost},
		Log:    NodeLog{Level: "debug", LinesPerSecond: 5, Burst: 20, Buffer: 512},
		Tick:   50,
		Reload: NodeReload{EveryMs: 2000},
		Bounds: NodeDeclared{ContactMs: 4000, GraceMs: 6000, ApplyMs: 3000, DrainMs: 3000, SecondRatio: 0.2, SecondWindowMs: 10000, ColdFactor: 1},
	}
}
