package settings

// Node holds the settings of an entry instance on the users' platform. Fields whose names end in
// Ms are in milliseconds. docs/SETTINGS.md lists all settings.
type Node struct {
	Name           string             `yaml:"name"`
	Zone           string             `yaml:"zone"`
	Listen         NodeListen         `yaml:"listen"`
	Store          NodeStore          `yaml:"store"`
	Stop           NodeStop           `yaml:"stop"`
	SecondRequests NodeSecondRequests `yaml:"second_requests"`
	Answers        NodeAnswers        `yaml:"answers"`
	Leafs          NodeLeafs          `yaml:"leafs"`
	Peers          NodePeers          `yaml:"peers"`
	// Machine describes the hardware resources of the instance.
	Machine  NodeMachine  `yaml:"machine"`
	Limits   NodeLimits   `yaml:"limits"`
	Overload NodeOverload `yaml:"overload"`
	Log      NodeLog      `yaml:"log"`
	// TickMs is the interval of periodic maintenance.
	TickMs   int          `yaml:"tick_ms"`
	Reload   NodeReload   `yaml:"reload"`
	Declared NodeDeclared `yaml:"declared"`
}

// NodeListen holds the addresses (host:port) that an instance listens on.
type NodeListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Control is the address of the state dump and the metrics; "" disables it.
	Control string `yaml:"control"`
	// Metrics is a second address of the metrics, with a port that does not change; "" disables
	// it.
	Metrics string `yaml:"metrics"`
}

// NodeStore configures how an instance reads the platform's store.
type NodeStore struct {
	Address string `yaml:"address"`
	// WatchWaitMs is how long a watch waits for a change before it returns without one.
	WatchWaitMs int `yaml:"watch_wait_ms"`
	// CoalesceMs is the pause after a watch that returned changes, so that the next call
	// returns the changes of that time together.
	CoalesceMs int `yaml:"coalesce_ms"`
	// FreshnessIntervalMs is the maximum age of the last confirmed state before the store is
	// asked again.
	FreshnessIntervalMs int `yaml:"proof_ms"`
	// FirstTimeoutMs is the timeout of a call, counted after the wait that the call requests.
	// RetryTimeoutMs is that of a call that follows a failed one.
	FirstTimeoutMs int `yaml:"first_timeout_ms"`
	RetryTimeoutMs int `yaml:"call_timeout_ms"`
	// MinBackoffMs and MaxBackoffMs bound the growing delay between failed calls.
	MinBackoffMs int `yaml:"retry_first_ms"`
	MaxBackoffMs int `yaml:"retry_most_ms"`
	// OutageThresholdMs is how long calls must fail before the entries of leafs that are missing
	// afterwards are taken to have expired because of the outage.
	OutageThresholdMs int `yaml:"away_after_ms"`
}

// NodeStop sets the phases of a graceful stop.
type NodeStop struct {
	// LameDuckMs is how long new connections are still accepted after the stop signal, so that
	// the load balancer can take the instance out of rotation.
	LameDuckMs int `yaml:"leave_ms"`
	// KillMarginMs is the part of the platform's termination grace period that is left unused
	// before the kill.
	KillMarginMs int `yaml:"margin_ms"`
}

// NodeSecondRequests limits second requests (hedges and retries) to a shard or service.
type NodeSecondRequests struct {
	// Burst is the number of second requests that the instance may send in any window beyond
	// the declared ratio.
	Burst float64 `yaml:"burst"`
	// HedgeTypicalFactor times the typical reply time is the delay after which a hedge is sent.
	HedgeTypicalFactor float64 `yaml:"hedge_at_typical"`
	// HedgeTargetFraction is the lower bound of that delay as a fraction of the target latency,
	// and MinHedgeDelayMs its lower bound as a time.
	HedgeTargetFraction float64 `yaml:"hedge_at_target"`
	MinHedgeDelayMs     int     `yaml:"hedge_least_ms"`
}

// NodeAnswers configures when queries are admitted and answered.
type NodeAnswers struct {
	// Partial enables partial answers at the target latency. Without it, an answer waits for
	// every shard until the deadline.
	Partial bool `yaml:"partial"`
	// MarginMs is subtracted from target latencies and deadlines, to merge and write the answer.
	MarginMs int `yaml:"margin_ms"`
	// RequestDeadlineFactor times the target latency is the deadline of the requests to leafs that
	// are sent before the target latency has passed.
	RequestDeadlineFactor float64 `yaml:"useful_target"`
	// MinAdmitProbability is the minimum probability (0 to 1) of covering enough shards by the
	// target latency with which a query is admitted.
	MinAdmitProbability float64 `yaml:"least_chance"`
	// LateWaitFraction, MinReleaseProbability and HeldWaitFraction (all 0 to 1) configure queries
	// that can only be answered after the target latency; see fanout.Options.
	LateWaitFraction      float64 `yaml:"late_wait"`
	MinReleaseProbability float64 `yaml:"held_chance"`
	HeldWaitFraction      float64 `yaml:"held_wait"`

	// DefaultTimeoutMs is the timeout of callers that send none.
	DefaultTimeoutMs int `yaml:"default_patience_ms"`
	// RetryAfterMs is the retry hint of refusals that have no better estimate.
	RetryAfterMs int `yaml:"retry_after_ms"`
}

// NodeLeafs limits connections and traffic to leafs.
type NodeLeafs struct {
	ConnsPerLeaf int `yaml:"conns_per_leaf"`
	// Instances is the number of entry instances that share a leaf's connections and, if they
	// work without peers, the request rate of a cold leaf.
	Instances int `yaml:"instances"`
	// OtherZoneFactor multiplies the cost of a leaf in another zone.
	OtherZoneFactor float64 `yaml:"other_zone_factor"`
	DialTimeoutMs   int     `yaml:"dial_timeout_ms"`
	IdleTimeoutMs   int     `yaml:"idle_ms"`
	// LapseGraceMs is how long after an outage or a restore of the store a leaf whose entry has
	// expired or was lost stays in use. The leaf writes its entry again in that time.
	LapseGraceMs  int `yaml:"lapse_grace_ms"`
	MaxReplyBytes int `yaml:"max_reply_bytes"`
	// MaxHeaderBytes is the maximum size of a reply's header in bytes, and MaxRepliesBytes the
	// maximum number of bytes of large replies that are being read at the same time.
	MaxHeaderBytes  int `yaml:"max_header_bytes"`
	MaxRepliesBytes int `yaml:"max_replies_bytes"`
}

// NodePeers configures how the instances of a deployment reach each other.
type NodePeers struct {
	// Listen (host:port, with the same port on all instances) receives datagrams and connections
	// of peers. If it is "", the instance works without peers.
	Listen string `yaml:"listen"`
	// Seeds lists addresses of some instances, which may be out of date. Only the hosts are used.
	Seeds []string `yaml:"seeds"`
	// Batches sends the leaf requests of queries to other zones through peers in those zones.
	Batches bool `yaml:"batches"`
	// Gather lets a few instances of each zone run the queries of all instances.
	Gather bool `yaml:"gather"`
	// Feed lets a few instances of each zone read the store on behalf of all.
	Feed bool `yaml:"feed"`
	// StartWaitMs is how long a starting instance waits for a feed from its peers before it
	// reads the store. FirstStartWaitMs replaces it if FirstStart is set: all instances start
	// for the first time and there are no callers yet.
	StartWaitMs      int  `yaml:"start_wait_ms"`
	FirstStartWaitMs int  `yaml:"first_start_wait_ms"`
	FirstStart       bool `yaml:"first_start"`
}

// NodeMachine describes the resources of an instance, by which work is distributed.
type NodeMachine struct {
	// CPUs is the number of processors available to the instance, or its share of one.
	CPUs float64 `yaml:"processor"`
}

// NodeLimits bounds the concurrent work and the connections of an instance.
type NodeLimits struct {
	MaxInFlight int `yaml:"max_in_flight"`
	Workers     int `yaml:"workers"`
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int `yaml:"max_connections"`
	// MaxPeerConnections is the maximum number of open connections of peers.
	MaxPeerConnections int `yaml:"max_peer_connections"`
	// MaxQuarantineMs is the maximum time for which a request that crashes leafs is quarantined,
	// that is, sent to no leaf.
	MaxQuarantineMs int `yaml:"quarantine_most_ms"`
	// ProbationMs is how long after its start the instance sends requests that no leaf has
	// answered to few leafs first, unless its peers know longer which requests crash leafs. Read
	// only at start.
	ProbationMs int `yaml:"probation_ms"`
	// MaxHeldBytes is the maximum number of bytes of answers that callers have not yet read.
	MaxHeldBytes int `yaml:"max_held_bytes"`
}

// NodeOverload configures the decisions for routes whose leafs have too little capacity.
// docs/design/hard-load.md describes them.
type NodeOverload struct {
	// Priorities, SingleQueue and Returns switch on admission by priority, the queue for requests
	// that go to one leaf, and planned returns of refused callers: "auto" for the routes whose
	// published configuration calls for it, "on" for all routes, or "off".
	Priorities  string `yaml:"priorities"`
	SingleQueue string `yaml:"single_queue"`
	Returns     string `yaml:"returns"`
	// MinAdmittedShare is the minimum fraction (0 to 1) of the queries of a less urgent rank that
	// is admitted.
	MinAdmittedShare float64 `yaml:"least_share"`
	// ShortTimeoutTargets is the number of target latencies up to which a route's timeout is short.
	ShortTimeoutTargets float64 `yaml:"short_timeout_targets"`
}

// NodeLog limits the volume of the log.
type NodeLog struct {
	// Level is the minimum level of the lines that are written: debug, info, warn or error.
	Level string `yaml:"level"`
	// LinesPerSecond and Burst limit the lines of each kind of event.
	LinesPerSecond float64 `yaml:"lines_per_second"`
	Burst          int     `yaml:"burst"`
	// Buffer is the maximum number of lines that wait for the output.
	Buffer int `yaml:"buffer"`
}

// NodeReload sets how often the settings file is checked for changes.
type NodeReload struct {
	IntervalMs int `yaml:"every_ms"`
}

// NodeDeclared holds the limits that the platform declares for the instances it runs.
type NodeDeclared struct {
	// CatchUpMs is the time within which an instance must be up to date again after a
	// disturbance of the store.
	CatchUpMs int `yaml:"contact_ms"`
	// TerminationGraceMs is the time from the stop signal to the kill.
	TerminationGraceMs int `yaml:"grace_ms"`
	// ApplyMs is the time from publication within which a configuration must be in force, and
	// DrainMs the time within which a draining leaf must stop receiving new requests.
	ApplyMs int `yaml:"apply_ms"`
	DrainMs int `yaml:"drain_ms"`
	// SecondRequestRatio is the maximum number of second requests to a service per request,
	// over all instances, in any window of SecondRequestWindowMs.
	SecondRequestRatio    float64 `yaml:"second_ratio"`
	SecondRequestWindowMs int     `yaml:"second_window_ms"`
	// SecondRequestBurst is the number of further second requests allowed in a window, over all
	// instances; zero means that it is not declared.
	SecondRequestBurst float64 `yaml:"second_slack"`
	// A cold leaf may receive, from all instances together, ColdFactor times the rate that its
	// service publishes for cold leafs, plus ColdSlack requests per second.
	ColdFactor float64 `yaml:"cold_factor"`
	ColdSlack  float64 `yaml:"cold_slack"`
	// EvacuateMs is the time from the evacuation of an availability zone within which its leafs
	// must stop receiving new requests; zero means that it is not declared.
	EvacuateMs int `yaml:"evacuate_ms"`
	// Regions maps availability zones to their regions; a zone without an entry has no region.
	Regions map[string]string `yaml:"regions"`
	// Zones lists the availability zones that have instances.
	Zones []string `yaml:"zones"`
}
