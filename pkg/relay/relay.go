// Package relay implements the protocol between entry instances. Each instance queries
// its peers in turn over QUIC, one per Options.Interval (1 s by default), for a deployment
// configuration that is newer than its own. So an entry instance that starts while the
// platform's configuration service is down still gets a configuration, and an accepted
// change reaches a zone that has lost the service, or that sees a stale replica of it, but
// can reach its peers. Nothing is stored: a peer sends the configuration that it has in
// force, and no configuration is replaced by an older version.
//
// Queries and responses also carry quarantine reports: what an instance knows of requests
// that crash leafs.
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

// Limits of the protocol.
const (
	// exchangeTimeout is the maximum time for a query and its response, and for a handshake.
	exchangeTimeout = time.Second
	// maxReports is the maximum number of quarantine reports in a message; each takes about
	// 200 bytes.
	maxReports = 64
	// maxQueryBytes and maxResponseBytes are the maximum number of bytes that are read of
	// a message; a configuration of 5,200 leafs takes about 340 KB.
	maxQueryBytes    = 32 << 10
	maxResponseBytes = 16 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// initialInterval is the maximum interval between queries while there is no configuration.
	initialInterval = 100 * time.Millisecond
)

// Application error codes on a relay connection.
const (
	codeStopping quic.ApplicationErrorCode = 0
	codeFailed   quic.ApplicationErrorCode = 1
)

// ConfigStore holds the configuration that a relay sends to its peers and that it replaces
// by newer ones; configwatch.Watcher implements it.
type ConfigStore interface {
	// Current returns the configuration in force, nil before the first one.
	Current() *topology.Config
	// ApplyIfNewer puts a configuration in force if it is newer than the one in
	// force, and reports whether it did.
	ApplyIfNewer(*topology.Config) bool
}

// Options are a relay's settings. Listen is the host:port of its UDP socket. Peers are the
// relay addresses of the other entry instances, and Secret is shared by all of them.
// Interval is the mean time between two queries.
type Options struct {
	Listen   string
	Peers    []string
	Secret   string
	Interval time.Duration
}

// Relay answers the queries of its peers and queries them.
type Relay struct {
	interval time.Duration
	store    ConfigStore
	// quarantine holds the requests that are suspected or known to crash leafs.
	quarantine *quarantine.Table
	log        *logrus.Entry
	transport  *quic.Transport
	listener   *quic.Listener
	dialer     dialer
	// mu guards peers and nextPeerIndex.
	mu            sync.Mutex
	peers         []string
	nextPeerIndex int
	wg            sync.WaitGroup

	// queriesSent and queriesFailed count the queries to peers. configsTaken counts the
	// configurations received from peers and put in force, and configsServed those sent
	// to peers.
	queriesSent   *metrics.Counter
	queriesFailed *metrics.Counter
	configsTaken  *metrics.Counter
	configsServed *metrics.Counter
}

// New returns a relay that listens on the address given in the options.
func New(o Options, store ConfigStore, quarantined *quarantine.Table, set *metrics.Set, log *logrus.Entry) (*Relay, error) {
	quarantined.EnableSharing()
	tlsConf, err := tlsConfig(o.Secret)
	if err != nil {
		return nil, err
	}
	conn, err := listenUDP(o.Listen)
	if err != nil {
		return nil, err
	}
	// Path MTU discovery is disabled, because its probes of 1.4 KB would be most of the
	// traffic of an idle relay.
	quicConf := &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: exchangeTimeout, DisablePathMTUDiscovery: true}
	tr := &quic.Transport{Conn: conn}
	ln, err := tr.Listen(tlsConf, quicConf)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Relay{
		interval: o.Interval, store: store, quarantine: quarantined, log: log, transport: tr, listener: ln, peers: shuffled(o.Peers),
		dialer:        dialer{transport: tr, tls: tlsConf, quic: quicConf, conns: map[string]*quic.Conn{}},
		queriesSent:   set.NewCounter("relay_asked_total"),
		queriesFailed: set.NewCounter("relay_ask_failures_total"),
		configsTaken:  set.NewCounter("relay_configs_taken_total"),
		configsServed: set.NewCounter("relay_configs_served_total"),
	}, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetPeers replaces the peers that are queried.
func (r *Relay) SetPeers(peers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = shuffled(peers)
	r.nextPeerIndex = 0
}

// shuffled returns a copy of peers in random order.
func shuffled(peers []string) []string {
	out := slices.Clone(peers)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Run answers queries and queries the peers until ctx ends, and then closes the relay.
func (r *Relay) Run(ctx context.Context) {
	r.wg.Go(func() { r.acceptConns(ctx) })
	r.wg.Go(func() { r.shareQuarantine(ctx, quarantine.RepeatDelay) })
	for ctx.Err() == nil {
		r.queryNextPeer(ctx)
		service.Sleep(ctx, r.nextDelay())
	}
	r.dialer.closeAll()
	_ = r.listener.Close()
	r.wg.Wait()
	_ = r.transport.Close()
	_ = r.transport.Conn.Close()
}

// shareQuarantine sends changes of the quarantine table to all peers until ctx ends, each a second
// time after repeatDelay.
//
// It does not wait for the peers: an unreachable one would delay the next change for the others
// by exchangeTimeout.
func (r *Relay) shareQuarantine(ctx context.Context, repeatDelay time.Duration) {
	send := func(reports []quarantine.Report) { r.queryAllPeers(ctx, reports) }
	quarantine.NewReportPacer(r.quarantine).Run(ctx.Done(), repeatDelay, maxReports, send)
}

// queryAllPeers starts a query to every peer that sends it the given reports.
func (r *Relay) queryAllPeers(ctx context.Context, reports []quarantine.Report) {
	r.mu.Lock()
	peers := slices.Clone(r.peers)
	r.mu.Unlock()
	for _, addr := range peers {
		r.wg.Go(func() { r.queryPeer(ctx, addr, reports) })
	}
}

// nextDelay returns the time until the next query: the interval with a jitter of ±25 %, so
// that peers that were started together do not send their queries together.
func (r *Relay) nextDelay() time.Duration {
	d := r.interval
	if r.store.Current() == nil {
		d = min(d, initialInterval)
	}
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// nextPeer returns the next peer to query, or false if there is none. Peers are queried in
// turn, in a random order that each relay draws for itself, so that a version held by any
// reachable peer is found within one round.
func (r *Relay) nextPeer() (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.peers) == 0 {
		return "", false
	}
	addr := r.peers[r.nextPeerIndex%len(r.peers)]
	r.nextPeerIndex++
	return addr, true
}

// queryNextPeer queries the peer whose turn it is.
func (r *Relay) queryNextPeer(ctx context.Context) {
	addr, ok := r.nextPeer()
	if !ok {
		return
	}
	r.queryPeer(ctx, addr, r.quarantineReports())
}

// queryPeer queries one peer, sends it the given reports, and puts the peer's configuration in
// force if it is newer.
func (r *Relay) queryPeer(ctx context.Context, addr string, reports []quarantine.Report) {
	r.queriesSent.Inc()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := r.dialer.conn(ctx, addr)
	if err != nil {
		r.queriesFailed.Inc()
		return
	}
	cfg, err := r.exchange(ctx, conn, addr, reports)
	if err != nil {
		r.queriesFailed.Inc()
		r.dialer.drop(addr, conn)
		return
	}
	if cfg != nil && cfg.Validate() == nil && r.store.ApplyIfNewer(cfg) {
		r.configsTaken.Inc()
		r.log.WithField("peer", addr).WithField("version", cfg.Version).Info("configuration taken from a peer")
	}
}

// acceptConns accepts and serves the connections of peers until ctx ends.
func (r *Relay) acceptConns(ctx context.Context) {
	for {
		conn, err := r.listener.Accept(ctx)
		if err != nil {
			return
		}
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.serveConn(ctx, conn) }()
	}
}

// serveConn answers the queries on a peer's connection until the connection or ctx ends.
func (r *Relay) serveConn(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(codeStopping, "") }()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		_ = stream.SetDeadline(time.Now().Add(exchangeTimeout))
		if r.handleQuery(stream, conn.RemoteAddr().String()) != nil {
			stream.CancelRead(quic.StreamErrorCode(codeFailed))
			stream.CancelWrite(quic.StreamErrorCode(codeFailed))
		}
	}
}
