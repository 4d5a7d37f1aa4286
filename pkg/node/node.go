// Package node assembles an entry instance on the users' platform: the callers' listener, the
// gateway, the follower of the store, readiness, control and metrics, and the order in which they
// start and stop.
package node

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/indigoyoke/indigoyoke/pkg/discovery"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/front"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/leafconn"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/peers"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// Adapter connects the node to one platform.
type Adapter struct {
	// ReadyPath is the path on which the load balancer probes readiness.
	ReadyPath     string
	Source        func(storeAddress string, log *oplog.Log) discovery.Source
	Leafs         func(pool *leafconn.Pool) gateway.LeafClient
	CallerHandler func(g *gateway.Gateway, log *oplog.Log) http.Handler
	// PeerCodec encodes messages for peers; nil if instances work alone.
	PeerCodec peers.Codec
}

// logFlushTimeout is how long writing buffered log lines may take at shutdown.
const logFlushTimeout = 100 * time.Millisecond

// initialLimits apply to callers until a configuration is known.
var initialLimits = routing.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Node is one entry instance.
type Node struct {
	path     string
	set      atomic.Pointer[settings.Node]
	log      *oplog.Log
	metrics  *metrics.Set
	pool     *leafconn.Pool
	table    *replica.Table
	gateway  *gateway.Gateway
	follower *discovery.Follower
	front    *front.Server
	status   *statusServers
	draining atomic.Bool
	leafs    gateway.LeafClient
	peering  *peering
	started  time.Time
	cancel   context.CancelFunc
}

// New builds an instance from the settings file at path.
func New(path string, adapter Adapter) (*Node, error) {
	set, err := settings.LoadNode(path)
	if err != nil {
		return nil, err
	}
	level, err := oplog.ParseLevel(set.Log.Level)
	if err != nil {
		return nil, err
	}
	n := &Node{path: path, metrics: metrics.NewSet(), started: time.Now()}
	n.set.Store(set)
	n.log = oplog.New(os.Stdout, oplog.Fields{"instance": set.Name, "zone": set.Zone}, oplog.Options{
		LinesPerSecond: set.Log.LinesPerSecond, Burst: set.Log.Burst, Buffer: set.Log.Buffer, MinLevel: level,
	})
	n.pool = leafconn.New(leafconn.Options{
		DialTimeout:     settings.Duration(set.Leafs.DialTimeoutMs),
		IdleTimeout:     settings.Duration(set.Leafs.IdleTimeoutMs),
		MaxReplyBytes:   int64(set.Leafs.MaxReplyBytes),
		MaxHeaderBytes:  int64(set.Leafs.MaxHeaderBytes),
		MaxRepliesBytes: int64(set.Leafs.MaxRepliesBytes),
		Log:             n.log,
	})
	n.table = replica.NewTable(tableOptions(set))
	n.leafs = adapter.Leafs(n.pool)
	if n.gateway, err = gateway.New(gatewayOptions(set), n.table, n.leafs, n.log, gateway.NewStats(n.metrics)); err != nil {
		return nil, err
	}
	n.gateway.Quarantine().StartProbation(settings.Duration(set.Limits.ProbationMs), time.Now())
	n.gateway.Quarantine().SetMaxDuration(settings.Duration(set.Limits.MaxQuarantineMs), time.Now())
	n.follower = discovery.NewFollower(adapter.Source(set.Store.Address, n.log), n, storeOptions(set), n.log)
	gaps := n.metrics.NewHistogram("node_store_proof_gap_seconds")
	n.follower.OnCurrent(func(gap time.Duration) { gaps.Update(gap.Seconds()) })
	if n.front, err = front.New(set.Listen.Callers, adapter.CallerHandler(n.gateway, n.log), initialLimits, set.Limits.MaxConnections); err != nil {
		return nil, err
	}
	n.front.Backlog().SetLimit(int64(set.Limits.MaxHeldBytes))
	n.gateway.UseBacklog(n.front.Backlog())
	if n.status, err = n.newStatusServers(set, adapter.ReadyPath); err != nil {
		return nil, err
	}
	if n.peering, err = n.newPeering(set, adapter.PeerCodec); err != nil {
		return nil, err
	}
	if n.peering == nil {
		n.table.SetWarmUpAssignment(replica.WarmUpAssignment{IsolatedInstances: set.Leafs.Instances})
		if !set.Peers.FirstStart {
			n.table.HoldSecondRequests(n.started.Add(settings.Duration(set.Declared.SecondRequestWindowMs)))
		}
	}
	n.registerGauges()
	n.registerPeerGauges()
	return n, nil
}

func tableOptions(set *settings.Node) replica.Options {
	return replica.Options{
		Zone:            set.Zone,
		Regions:         set.Declared.Regions,
		LapseGrace:      settings.Duration(set.Leafs.LapseGraceMs),
		ConnsPerLeaf:    set.Leafs.ConnsPerLeaf,
		Instances:       set.Leafs.Instances,
		OtherZoneFactor: set.Leafs.OtherZoneFactor,
		Budget: replica.BudgetOptions{
			Ratio:  set.Declared.SecondRequestRatio,
			Window: settings.Duration(set.Declared.SecondRequestWindowMs),
			Burst:  set.SecondRequests.Burst,
		},
	}
}

func gatewayOptions(set *settings.Node) gateway.Options {
	margin := settings.Duration(set.Answers.MarginMs)
	return gateway.Options{
		Fanout: fanout.Options{
			AnswerMargin: margin, PartialAnswers: set.Answers.Partial,
			HedgeTypicalFactor: set.SecondRequests.HedgeTypicalFactor, HedgeTargetFraction: set.SecondRequests.HedgeTargetFraction,
			MinHedgeDelay:         settings.Duration(set.SecondRequests.MinHedgeDelayMs),
			RequestDeadlineFactor: set.Answers.RequestDeadlineFactor, MinAdmitProbability: set.Answers.MinAdmitProbability, LateWaitFraction: set.Answers.LateWaitFraction, MinReleaseProbability: set.Answers.MinReleaseProbability, HeldWaitFraction: set.Answers.HeldWaitFraction,
		},
		MaxInFlight: set.Limits.MaxInFlight, Workers: set.Limits.Workers,
		DefaultTimeout: settings.Duration(set.Answers.DefaultTimeoutMs),
		AnswerMargin:   margin,
		ColdFactor:     set.Declared.ColdFactor, ColdSlack: set.Declared.ColdSlack,
		RetryAfter: settings.Duration(set.Answers.RetryAfterMs),
		Overload: gateway.Overload{
			Priorities: gateway.ParseMode(set.Overload.Priorities), SingleQueue: gateway.ParseMode(set.Overload.SingleQueue), Returns: gateway.ParseMode(set.Overload.Returns),
			MinAdmittedShare: set.Overload.MinAdmittedShare, ShortTimeoutTargets: set.Overload.ShortTimeoutTargets,
		},
	}
}

func storeOptions(set *settings.Node) discovery.Options {
	return discovery.Options{
		LongPoll: set.LongPollOptions(), OutageThreshold: settings.Duration(set.Store.OutageThresholdMs),
		LostEntryGrace: settings.Duration(set.Leafs.LapseGraceMs),
	}
}

// Signals returns the signals that Run handles. It is to be called before anything else: a signal
// that arrives before ends the process.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	return signals
}

// Run serves until a stop signal and then shuts down gracefully.
func (n *Node) Run(signals <-chan os.Signal) {
	n.Start()
	n.waitForStop(signals)
	n.Stop()
}

// CallersAddr returns the bound address for callers.
func (n *Node) CallersAddr() string { return n.front.Addr() }

// ReadinessAddr returns the bound address that the load balancer probes.
func (n *Node) ReadinessAddr() string { return n.status.all[0].Addr() }

// Start serves in the background.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	set := n.set.Load()
	n.log.State("started", oplog.Fields{"callers": set.Listen.Callers, "store": set.Store.Address, "took_ms": time.Since(n.started).Milliseconds()})
	n.status.start(n.log)
	go n.front.Run()
	n.peering.start()
	go n.follower.Run(ctx)
	go n.runTicks(ctx)
}

// Stop first reports not ready to the load balancer, then refuses new connections and waits for
// the requests in flight.
//
// The load balancer keeps sending connections until 2 readiness probes have failed. Closing the
// listener at once would refuse them, which shows as failed connects around each planned stop.
func (n *Node) Stop() {
	set := n.set.Load()
	n.draining.Store(true)
	n.peering.leave()
	n.front.Drain()
	time.Sleep(settings.Duration(set.Stop.LameDuckMs))
	ctx, cancel := context.WithTimeout(context.Background(), set.StopBudget())
	defer cancel()
	n.front.Stop(ctx)
	n.peering.drain(ctx)
	n.cancel()
	n.peering.close()
	n.gateway.Close()
	n.log.State("stopped", oplog.Fields{"in_flight": n.gateway.InFlight()})
	n.log.Close(logFlushTimeout)
}

// waitForStop reloads the settings on SIGHUP and when the file has changed, until a stop signal
// arrives.
func (n *Node) waitForStop(signals <-chan os.Signal) {
	changes := newFileWatch(n.path, n.log)
	poll := time.NewTicker(settings.Duration(n.set.Load().Reload.IntervalMs))
	defer poll.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				n.log.State("stopping", oplog.Fields{"signal": s.String(), "in_flight": n.gateway.InFlight()})
				return
			}
			changes.changed()
			n.reload("signal")
		case <-poll.C:
			if changes.changed() {
				n.reload("file changed")
			}
		}
	}
}

// runTicks runs the periodic work.
func (n *Node) runTicks(ctx context.Context) {
	ticker := time.NewTicker(settings.Duration(n.set.Load().TickMs))
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			n.gateway.Tick(now)
			n.pool.Sweep(now)
			n.sweepBacklog(now)
			n.follower.Sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

// sweepBacklog disconnects the callers that read nothing of their answers.
func (n *Node) sweepBacklog(now time.Time) {
	for _, s := range n.front.Backlog().Sweep(now) {
		n.log.Decision("caller_stalled", oplog.Fields{
			"caller": s.Caller.String(), "unread_bytes": s.Unread, "after_ms": s.For.Milliseconds(),
		})
	}
}

// ready reports whether callers should be sent to this instance.
func (n *Node) ready() bool {
	now := time.Now()
	return n.gateway.Config() != nil && !n.draining.Load() && !n.gateway.Isolated(now) && !n.peering.isolated(now)
}
