package settings

// Node holds the settings of an entry instance on the users' platform. Fields
// that end in Ms are milliseconds. docs/SETTINGS.md tables them.
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
	// Machine is what the instance runs on.
	Machine  NodeMachine  `yaml:"machine"`
	Limits   NodeLimits   `yaml:"limits"`
	Log      NodeLog      `yaml:"log"`
	TickMs   int          `yaml:"tick_ms"`
	Reload   NodeReload   `yaml:"reload"`
	Declared NodeDeclared `yaml:"declared"`
}

// NodeListen are the addresses (host:port) an instance listens on.
type NodeListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Control serves the state dump and the metrics.
	Control string `yaml:"control"`
	// Metrics serves the metrics too, at a port that does not change; "" for
	// none.
	Metrics string `yaml:"metrics"`
}

// NodeStore says where the platform's store is and how it is read.
type NodeStore struct {
	Address     string `yaml:"address"`
	WatchWaitMs int    `yaml:"watch_wait_ms"`
	CoalesceMs  int    `yaml:"coalesce_ms"`
	// FreshnessIntervalMs is how old what is known may be until the store is asked.
	FreshnessIntervalMs int `yaml:"proof_ms"`
	// FirstTimeoutMs bounds a call beyond its wait, CallTimeoutMs one that follows a failed one.
	FirstTimeoutMs    int `yaml:"first_timeout_ms"`
	RetryTimeoutMs    int `yaml:"call_timeout_ms"`
	MinBackoffMs      int `yaml:"retry_first_ms"`
	MaxBackoffMs      int `yaml:"retry_most_ms"`
	OutageThresholdMs int `yaml:"away_after_ms"`
}

// NodeStop paces the graceful stop.
type NodeStop struct {
	// LameDuckMs is how long callers are still accepted after the stop signal,
	// until the balancer has noticed.
	LameDuckMs int `yaml:"leave_ms"`
	// KillMarginMs is kept back from the platform's grace before the kill.
	KillMarginMs int `yaml:"margin_ms"`
}

// NodeSecondRequests bounds second requests to a shard or service.
type NodeSecondRequests struct {
	Burst               float64 `yaml:"burst"`
	HedgeTypicalFactor  float64 `yaml:"hedge_at_typical"`
	HedgeTargetFraction float64 `yaml:"hedge_at_target"`
	MinHedgeDelayMs     int     `yaml:"hedge_least_ms"`
}

// NodeAnswers says when answers are given.
type NodeAnswers struct {
	Partial               bool    `yaml:"partial"`
	MarginMs              int     `yaml:"margin_ms"`
	RequestDeadlineFactor float64 `yaml:"useful_target"`
	MinAdmitProbability   float64 `yaml:"least_chance"`
	// LateWaitFraction, HeldChance and HeldWait say what becomes of queries that can only be
	// answered late (fanout.Options).
	LateWaitFraction      float64 `yaml:"late_wait"`
	MinReleaseProbability float64 `yaml:"held_chance"`
	HeldWaitFraction      float64 `yaml:"held_wait"`

	DefaultTimeoutMs int `yaml:"default_patience_ms"`
	RetryAfterMs     int `yaml:"retry_after_ms"`
}

// NodeLeafs bounds what is held toward leafs.
type NodeLeafs struct {
	ConnsPerLeaf int `yaml:"conns_per_leaf"`
	Instances    int `yaml:"instances"`
	// OtherZoneFactor multiplies the cost of a leaf in another zone.
	OtherZoneFactor float64 `yaml:"other_zone_factor"`
	DialTimeoutMs   int     `yaml:"dial_timeout_ms"`
	IdleTimeoutMs   int     `yaml:"idle_ms"`
	LapseGraceMs    int     `yaml:"lapse_grace_ms"`
	MaxReplyBytes   int     `yaml:"max_reply_bytes"`
}

// NodePeers says how the instances of a deployment reach each other.
type NodePeers struct {
	// Listen (host:port, the same port on all instances) takes datagrams and
	// connections of peers; "": this instance works alone.
	Listen string `yaml:"listen"`
	// Seeds are addresses of some instances, which may be stale. Only the hosts
	// count.
	Seeds []string `yaml:"seeds"`
	// Batches sends queries' requests to other zones through peers there.
	Batches bool `yaml:"batches"`
	// Gather lets a few instances of each zone run the queries of all.
	Gather bool `yaml:"gather"`
	// Feed lets a few instances of each zone read the store for all.
	Feed bool `yaml:"feed"`
	// StartWaitMs is how long an instance that starts waits for peers that feed it before
	// it reads the store, and FirstStartWaitMs the same where all start for the first
	// time and no callers come yet, as FirstStart says.
	StartWaitMs      int  `yaml:"start_wait_ms"`
	FirstStartWaitMs int  `yaml:"first_start_wait_ms"`
	FirstStart       bool `yaml:"first_start"`
}

// NodeMachine says what an instance runs on. Work is placed by it.
type NodeMachine struct {
	// CPUs is the instance's share of a processor, or how many it has.
	CPUs float64 `yaml:"processor"`
}

// NodeLimits bounds what an instance holds at once.
type NodeLimits struct {
	MaxInFlight    int `yaml:"max_in_flight"`
	Workers        int `yaml:"workers"`
	MaxConnections int `yaml:"max_connections"`
	// MaxPeerConnections bounds the connections of peers.
	MaxPeerConnections int `yaml:"max_peer_connections"`
	// MaxQuarantineMs bounds how long a request that ends leafs is sent to none.
	MaxQuarantineMs int `yaml:"quarantine_most_ms"`
}

// NodeLog bounds the log.
type NodeLog struct {
	// Level is the least level of lines that are written: debug, info, warn or error.
	Level          string  `yaml:"level"`
	LinesPerSecond float64 `yaml:"lines_per_second"`
	Burst          int     `yaml:"burst"`
	Buffer         int     `yaml:"buffer"`
}

// NodeReload says how often the settings file is looked at.
type NodeReload struct {
	IntervalMs int `yaml:"every_ms"`
}

// NodeDeclared are bounds that the platform declares to what runs on it.
type NodeDeclared struct {
	// CatchUpMs is how soon after a disturbance of the store an instance must
	// have caught up.
	CatchUpMs int `yaml:"contact_ms"`
	// TerminationGraceMs is the time from the stop signal to the kill.
	TerminationGraceMs int `yaml:"grace_ms"`
	// ApplyMs is how soon after its publication a configuration must be in
	// force, and DrainMs how soon a leaf that leaves must get no new requests.
	ApplyMs int `yaml:"apply_ms"`
	DrainMs int `yaml:"drain_ms"`
	// SecondRequestRatio is how many second requests to a service there may be for
	// each request, over all instances, in any window of SecondWindowMs.
	SecondRequestRatio    float64 `yaml:"second_ratio"`
	SecondRequestWindowMs int     `yaml:"second_window_ms"`
	// SecondRequestSlack is how many more there may be in a window, over all instances; zero:
	// not declared.
	SecondRequestSlack float64 `yaml:"second_slack"`
	// ColdFactor times what a service publishes for cold leafs, and ColdSlack more, is what a
	// cold leaf may get in a second from all instances.
	ColdFactor float64 `yaml:"cold_factor"`
	ColdSlack  float64 `yaml:"cold_slack"`
	// EvacuateMs is how soon after an availability zone is evacuated its leafs must get no new
	// requests; zero: not declared.
	EvacuateMs int `yaml:"evacuate_ms"`
	// Regions are the regions of the availability zones; a zone without one is in none.
	Regions map[string]string `yaml:"regions"`
	// Zones are the availability zones that have instances.
	Zones []string `yaml:"zones"`
}
