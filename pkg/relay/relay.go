// Package relay owns the one protocol between entry instances: each asks its
// peers in turn, one a second, over QUIC, for a deployment configuration newer
// than its own. It is how an entry instance that starts while the platform's
// configuration service is down gets a configuration at all, and how an
// accepted change reaches a zone that has lost the service, or sees a stale
// replica of it, but not its peers. Nothing is written anywhere: a peer hands
// on what it has in force, and versions only go forward.
package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// Protocol limits.
const (
	exchangeTimeout = time.Second
	// maxRequests bounds the requests that one side tells of, about 200 bytes each.
	maxRequests = 64
	// maxAskBytes and maxReplyBytes bound what one side reads; a
	// configuration of 5,200 leafs is about 340 KB.
	maxAskBytes   = 32 << 10
	maxReplyBytes = 16 << 20
	idleTimeout   = 30 * time.Second
	// startInterval replaces the interval while there is no configuration.
	startInterval = 100 * time.Millisecond
)

// Application error codes on a relay connection.
const (
	codeStopping quic.ApplicationErrorCode = 0
	codeFailed   quic.ApplicationErrorCode = 1
)

// ConfigStore is where a relay takes from and gives to: the configuration watch.
type ConfigStore interface {
	// Current is the configuration in force, nil before the first.
	Current() *topology.Config
	// ApplyIfNewer puts a configuration in force if it is newer, and reports
	// whether it did.
	ApplyIfNewer(*topology.Config) bool
}

// Options are a relay's settings. Listen is host:port (UDP); Peers are the
// other entry instances' relay addresses; Secret is shared by all of them;
// Interval is the time between questions.
type Options struct {
	Listen   string
	Peers    []string
	Secret   string
	Interval time.Duration
}

// Relay answers its peers and asks them.
type Relay struct {
	interval time.Duration
	source   ConfigStore
	// quarantine knows the requests that end leafs.
	quarantine *quarantine.Table
	log        *logrus.Entry
	transport  *quic.Transport
	listener   *quic.Listener
	dialer     dialer
	mu         sync.Mutex
	peers      []string
	next       int
	wg         sync.WaitGroup

	asked  *metrics.Counter
	failed *metrics.Counter
	taken  *metrics.Counter
	served *metrics.Counter
}

// New binds the relay's address.
func New(o Options, src ConfigStore, held *quarantine.Table, set *metrics.Set, log *logrus.Entry) (*Relay, error) {
	tlsConf, err := tlsConfig(o.Secret)
	if err != nil {
		return nil, err
	}
	conn, err := listenUDP(o.Listen)
	if err != nil {
		return nil, err
	}
	// Path MTU probes of 1.4 KB would be most of what an idle relay sends.
	quicConf := &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: exchangeTimeout, DisablePathMTUDiscovery: true}
	tr := &quic.Transport{Conn: conn}
	ln, err := tr.Listen(tlsConf, quicConf)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Relay{
		interval: o.Interval, source: src, quarantine: held, log: log, transport: tr, listener: ln, peers: shuffled(o.Peers),
		dialer: dialer{transport: tr, tls: tlsConf, quic: quicConf, conns: map[string]*quic.Conn{}},
		asked:  set.NewCounter("relay_asked_total"),
		failed: set.NewCounter("relay_ask_failures_total"),
		taken:  set.NewCounter("relay_configs_taken_total"),
		served: set.NewCounter("relay_configs_served_total"),
	}, nil
}

// Addr is the bound address.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetPeers replaces the peers that are asked.
func (r *Relay) SetPeers(peers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = shuffled(peers)
	r.next = 0
}

func shuffled(peers []string) []string {
	out := slices.Clone(peers)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Run answers and asks until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	r.wg.Add(1)
	go func() { defer r.wg.Done(); r.accept(ctx) }()
	for ctx.Err() == nil {
		r.askSomeone(ctx)
		r.waitForTurn(ctx)
	}
	r.dialer.closeAll()
	_ = r.listener.Close()
	r.wg.Wait()
	_ = r.transport.Close()
	_ = r.transport.Conn.Close()
}

// tellStep is how often is looked for requests that have ended leafs.
const tellStep = 20 * time.Millisecond

// waitForTurn waits until the next question is due. Meanwhile it asks all peers at once when
// a request has ended leafs: its caller may come back at any entry instance.
func (r *Relay) waitForTurn(ctx context.Context) {
	due := time.Now().Add(r.pause())
	for ctx.Err() == nil && time.Now().Before(due) {
		service.Sleep(ctx, min(tellStep, time.Until(due)))
		if changes := r.quarantine.PendingReports(maxRequests, time.Now()); len(changes) > 0 {
			r.askAll(ctx, changes)
		}
	}
}

// askAll asks every peer once, and tells them of changed requests.
func (r *Relay) askAll(ctx context.Context, changes []quarantine.Report) {
	r.mu.Lock()
	peers := slices.Clone(r.peers)
	r.mu.Unlock()
	var all sync.WaitGroup
	for _, addr := range peers {
		all.Add(1)
		go func() {
			defer all.Done()
			r.ask(ctx, addr, changes)
		}()
	}
	all.Wait()
}

// pause is the time until the next question: the interval, give or take a
// quarter so that peers started together do not ask together.
func (r *Relay) pause() time.Duration {
	d := r.interval
	if r.source.Current() == nil {
		d = min(d, startInterval)
	}
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// peer returns the next peer to ask. Peers are asked in turn, in an order of
// this relay's own, so that a version that any reachable peer has is met
// after at most one round.
func (r *Relay) peer() (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.peers) == 0 {
		return "", false
	}
	addr := r.peers[r.next%len(r.peers)]
	r.next++
	return addr, true
}

// askSomeone asks the next peer.
func (r *Relay) askSomeone(ctx context.Context) {
	addr, ok := r.peer()
	if !ok {
		return
	}
	r.ask(ctx, addr, r.requests())
}

// ask asks one peer, tells it of requests, and puts a newer configuration in force.
func (r *Relay) ask(ctx context.Context, addr string, requests []quarantine.Report) {
	r.asked.Inc()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	cfg, err := r.exchange(ctx, addr, requests)
	if err != nil {
		r.failed.Inc()
		r.dialer.drop(addr)
		return
	}
	if cfg != nil && cfg.Validate() == nil && r.source.ApplyIfNewer(cfg) {
		r.taken.Inc()
		r.log.WithField("peer", addr).WithField("version", cfg.Version).Info("configuration taken from a peer")
	}
}

// accept serves peers' connections until ctx ends.
func (r *Relay) accept(ctx context.Context) {
	for {
		conn, err := r.listener.Accept(ctx)
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.serve(ctx, conn) }()
	}
}

func (r *Relay) serve(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(codeStopping, "") }()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		_ = stream.SetDeadline(time.Now().Add(exchangeTimeout))
		if r.answer(stream, conn.RemoteAddr().String()) != nil {
			stream.CancelRead(quic.StreamErrorCode(codeFailed))
			stream.CancelWrite(quic.StreamErrorCode(codeFailed))
		}
	}
}
