package settings

import "time"

// Node holds the settings of an entry instance on the users' platform. Fields
// that end in Ms are milliseconds. docs/SETTINGS.md tables them.
type Node struct {
	Name   string     `yaml:"name"`
	Zone   string     `yaml:"zone"`
	Listen NodeListen `yaml:"listen"`
	Store  NodeStore  `yaml:"store"`
	Stop   NodeStop   `yaml:"stop"`
	Second NodeSecond `yaml:"second_requests"`
	Answer NodeAnswer `yaml:"answers"`
	Leafs  NodeLeafs  `yaml:"leafs"`
	Peers  NodePeers  `yaml:"peers"`
	// Machine is what the instance runs on.
	Machine NodeMachine  `yaml:"machine"`
	Limits  NodeLimits   `yaml:"limits"`
	Log     NodeLog      `yaml:"log"`
	Tick    int          `yaml:"tick_ms"`
	Reload  NodeReload   `yaml:"reload"`
	Bounds  NodeDeclared `yaml:"declared"`
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
	Address       string `yaml:"address"`
	WatchWaitMs   int    `yaml:"watch_wait_ms"`
	CoalesceMs    int    `yaml:"coalesce_ms"`
	CallTimeoutMs int    `yaml:"call_timeout_ms"`
	RetryFirstMs  int    `yaml:"retry_first_ms"`
	RetryMostMs   int    `yaml:"retry_most_ms"`
	AwayAfterMs   int    `yaml:"away_after_ms"`
}

// NodeStop paces the graceful stop.
type NodeStop struct {
	// LeaveMs is how long callers are still accepted after the stop signal,
	// until the balancer has noticed.
	LeaveMs int `yaml:"leave_ms"`
	// MarginMs is kept back from the platform's grace before the kill.
	MarginMs int `yaml:"margin_ms"`
}

// NodeSecond bounds second requests to a shard or service.
type NodeSecond struct {
	Burst          float64 `yaml:"burst"`
	HedgeAtTypical float64 `yaml:"hedge_at_typical"`
	HedgeAtTarget  float64 `yaml:"hedge_at_target"`
	HedgeLeastMs   int     `yaml:"hedge_least_ms"`
}

// NodeAnswer says when answers are given.
type NodeAnswer struct {
	Partial      bool    `yaml:"partial"`
	MarginMs     int     `yaml:"margin_ms"`
	UsefulTarget float64 `yaml:"useful_target"`
	LeastChance  float64 `yaml:"least_chance"`
	// LateWait, HeldChance and HeldWait say what becomes of queries that can only be
	// answered late (fanout.Options).
	LateWait   float64 `yaml:"late_wait"`
	HeldChance float64 `yaml:"held_chance"`
	HeldWait   float64 `yaml:"held_wait"`

	DefaultPatienceMs int `yaml:"default_patience_ms"`
	RetryAfterMs      int `yaml:"retry_after_ms"`
}

// NodeLeafs bounds what is held toward leafs.
type NodeLeafs struct {
	ConnsPerLeaf int `yaml:"conns_per_leaf"`
	Instances    int `yaml:"instances"`
	// OtherZoneFactor multiplies the cost of a leaf in another zone.
	OtherZoneFactor float64 `yaml:"other_zone_factor"`
	DialTimeoutMs   int     `yaml:"dial_timeout_ms"`
	IdleMs          int     `yaml:"idle_ms"`
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
	// Processor is the instance's share of a processor, or how many it has.
	Processor float64 `yaml:"processor"`
}

// NodeLimits bounds what an instance holds at once.
type NodeLimits struct {
	MaxInFlight    int `yaml:"max_in_flight"`
	Workers        int `yaml:"workers"`
	MaxConnections int `yaml:"max_connections"`
	// MaxPeerConnections bounds the connections of peers.
	MaxPeerConnections int `yaml:"max_peer_connections"`
	// QuarantineMostMs bounds how long a request that ends leafs is sent to none.
	QuarantineMostMs int `yaml:"quarantine_most_ms"`
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
	EveryMs int `yaml:"every_ms"`
}

// NodeDeclared are bounds that the platform declares to what runs on it.
type NodeDeclared struct {
	// ContactMs is how soon after a disturbance of the store an instance must
	// have caught up.
	ContactMs int `yaml:"contact_ms"`
	// GraceMs is the time from the stop signal to the kill.
	GraceMs int `yaml:"grace_ms"`
	// ApplyMs is how soon after its publication a configuration must be in
	// force, and DrainMs how soon a leaf that leaves must get no new requests.
	ApplyMs int `yaml:"apply_ms"`
	DrainMs int `yaml:"drain_ms"`
	// SecondRatio is how many second requests to a service there may be for
	// each request, over all instances, in any window of SecondWindowMs.
	SecondRatio    float64 `yaml:"second_ratio"`
	SecondWindowMs int     `yaml:"second_window_ms"`
	// SecondSlack is how many more there may be in a window, over all instances; zero:
	// not declared.
	SecondSlack float64 `yaml:"second_slack"`
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
			// The store answers in 4 ms, up to 0.4 s when slow.
			CallTimeoutMs: 1500,
			RetryFirstMs:  150,
			RetryMostMs:   1000,
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
			// The slack declared by the platform is over 2 for each instance
			// on every size known.
			Burst:          2,
			HedgeAtTypical: 2.5,
			HedgeAtTarget:  0.25,
			// Small against a leaf's pause and the target latencies (60 ms
			// and up).
			HedgeLeastMs: 15,
		},
		Answer: NodeAnswer{
			Partial:      true,
			MarginMs:     5,
			UsefulTarget: 1.0,
			LeastChance:  0.25,
			// Budgets refill over ten seconds; half of the time leaves the caller
			// the other half to come again.
			LateWait: 0.5,
			// Replayed overloads of 1 s in 8: at 0.87 as many are in time as
			// without holding (0.776 of 0.781) and 45 % fewer lost; at 0.8 fewer
			// are in time (0.769), at 0.9 more are lost.
			HeldChance: 0.87,
			// Trials with 0.4 lost 0.004 of mean worth.
			HeldWait:          0.7,
			DefaultPatienceMs: 5000,
			RetryAfterMs:      300,
		},
		Leafs: NodeLeafs{
			ConnsPerLeaf: 8,
			// Today's fleets are 6 to 8 instances and a few spare ones.
			Instances: 10,
			// A leaf in another zone must be faster by this much: bytes
			// between zones are billed and take a round trip longer.
			OtherZoneFactor: 1.6,
			// A round trip between zones is 3 ms, a new connection 6 ms.
			DialTimeoutMs: 250,
			IdleMs:        30000,
			LapseGraceMs:  2300,
			MaxReplyBytes: 4 << 20,
		},
		Peers: NodePeers{
			Batches: true, Gather: true, Feed: true,
			// A join and its answer, a connection and a page of the store's entries
			// take about 60 ms; callers of instances that start together wait too.
			StartWaitMs: 150,
			// The members of a zone know each other after 1.5 s.
			FirstStartWaitMs: 2000,
		},
		Machine: NodeMachine{Processor: 1},
		// An instance may open 4,100 descriptors, 200 of them for files; 500
		// are left for leafs, the store and operators. Of 195 instances one has 150
		// peers at most.
		Limits: NodeLimits{MaxInFlight: 400, Workers: 4096, MaxConnections: 3000, MaxPeerConnections: 400, QuarantineMostMs: defaultQuarantineMost},
		Log:    NodeLog{Level: "debug", LinesPerSecond: 5, Burst: 20, Buffer: 512},
		Tick:   50,
		Reload: NodeReload{EveryMs: 2000},
		Bounds: NodeDeclared{ContactMs: 4000, GraceMs: 6000, ApplyMs: 3000, DrainMs: 3000, SecondRatio: 0.2, SecondWindowMs: 10000, ColdFactor: 1},
	}
}

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

// WatchWait is how long a watch of the store waits for a change: together with
// the timeout of a call it stays within the declared contact time.
func (n *Node) WatchWait() time.Duration {
	const leastWait = 500
	within := max(n.Bounds.ContactMs-n.Store.CallTimeoutMs, leastWait)
	return Duration(min(n.Store.WatchWaitMs, within))
}

// changeMs is how soon after its publication the most urgent kind of change must have effect.
func (n *Node) changeMs() int {
	within := min(n.Bounds.ApplyMs, n.Bounds.DrainMs)
	if n.Bounds.EvacuateMs > 0 {
		within = min(within, n.Bounds.EvacuateMs)
	}
	return within
}

// coalescePart is the part of the time in which a change must be in force that
// changes are collected for. The rest covers a call that times out and the one
// after it.
const coalescePart = 0.4

// Coalesce is the pause after a watch of the store that brought changes.
func (n *Node) Coalesce() time.Duration {
	return Duration(min(n.Store.CoalesceMs, int(coalescePart*float64(n.changeMs()))))
}

// freshPart is the part of the time in which a change must be in force that news of the
// store may be old at those that feed others. The rest covers the next ones in line, if the
// store turns those away.
const freshPart = 0.4

// FeedCycle is how often the store answers one that feeds others, at least.
func (n *Node) FeedCycle() time.Duration {
	return min(n.WatchWait(), Duration(int(freshPart*float64(n.changeMs()))))
}

// StartWait is how long an instance that starts waits for peers that feed it.
func (n *Node) StartWait() time.Duration {
	if n.Peers.FirstStart {
		return Duration(n.Peers.FirstStartWaitMs)
	}
	return Duration(n.Peers.StartWaitMs)
}

// StopBudget is how long requests in flight may take after the leave time.
func (n *Node) StopBudget() time.Duration {
	return Duration(max(n.Bounds.GraceMs-n.Stop.LeaveMs-n.Stop.MarginMs, 0))
}
