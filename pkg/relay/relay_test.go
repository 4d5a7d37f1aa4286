package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/mutate"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

const testSecret = "a secret for these tests"

// store is a Source that keeps the newest version offered.
type store struct {
	mu  sync.Mutex
	cfg *topology.Config
}

func (s *store) Current() *topology.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}

func (s *store) Offer(c *topology.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg != nil && c.Version <= s.cfg.Version {
		return false
	}
	s.cfg = c
	return true
}

// startRelay runs a relay holding version v (0: none) until the test ends.
func startRelay(t *testing.T, secret string, v int64, peers ...string) (*Relay, *store) {
	src := &store{}
	if v > 0 {
		src.cfg = &topology.Config{Version: v}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{Listen: "127.0.0.1:0", Peers: peers, Secret: secret, Interval: 20 * time.Millisecond}
	r, err := New(o, src, quarantine.NewTable(), metrics.NewSet(), logrus.NewEntry(log))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return r, src
}

// TestNewerConfigurationSpreads checks that a version held by one peer
// reaches the others, that an older one replaces nothing, and that a peer
// restarted on the same address is asked again.
func TestNewerConfigurationSpreads(t *testing.T) {
	newest, _ := startRelay(t, testSecret, 7)
	older, olderSrc := startRelay(t, testSecret, 3, newest.Addr())
	_, fresh := startRelay(t, testSecret, 0, older.Addr())
	require.Eventually(t, func() bool { return version(olderSrc.Current()) == 7 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return version(fresh.Current()) == 7 }, 5*time.Second, time.Millisecond)
	newest.SetPeers([]string{older.Addr()})
	require.Eventually(t, func() bool { return newest.asked.Get() > 3 }, 5*time.Second, time.Millisecond)
	require.Zero(t, newest.taken.Get(), "took a configuration it had")
}

// TestPeerWithoutTheSecretGetsAndGivesNothing proves that only entry
// instances of the installation relay configurations.
//
// Symptom: a configuration nobody accepted is in force.
// Sequence: two processes with another secret are among an entry instance's
// peers; one offers version 99, the other has nothing and asks.
// Cause it guards against: trusting whoever answers at a peer's address.
func TestPeerWithoutTheSecretGetsAndGivesNothing(t *testing.T) {
	const otherSecret = "another installation's secret"
	giver, _ := startRelay(t, otherSecret, 99)
	honest, honestSrc := startRelay(t, testSecret, 1, giver.Addr())
	taker, takerSrc := startRelay(t, otherSecret, 0, honest.Addr())
	require.Eventually(t, func() bool { return honest.failed.Get() >= 3 && taker.failed.Get() >= 3 }, 10*time.Second, time.Millisecond)
	require.Equal(t, int64(1), version(honestSrc.Current()))
	require.Zero(t, version(takerSrc.Current()))
	require.Zero(t, honest.served.Get())
	require.Zero(t, giver.served.Get())
}

// BenchmarkPack5200Leafs measures what a node that has lost the service
// takes from a peer per change, at the two-year size.
func BenchmarkPack5200Leafs(b *testing.B) {
	const leafs = 5200
	cfg := &topology.Config{Version: 1, Deployments: []topology.Deployment{{Name: "d", Indexes: []topology.Index{{Name: "i", Snapshot: 1}}}}}
	ix := &cfg.Deployments[0].Indexes[0]
	for i := range leafs {
		name := fmt.Sprintf("zone-%d-unit-%d", i%10, i/2)
		if i%2 == 0 {
			cfg.Backends = append(cfg.Backends, topology.BackendServer{Name: name, Zone: fmt.Sprintf("zone-%d", i%10), Addr: fmt.Sprintf("10.%d.%d.%d:8104", i%10, i/256, i%256), MaxConns: 25})
			ix.Shards = append(ix.Shards, topology.Shard{ID: fmt.Sprintf("s%04d", i), Leafs: []string{name}})
		}
	}
	var size int
	for b.Loop() {
		packed, err := pack(cfg)
		require.NoError(b, err)
		size = len(packed)
	}
	plain, err := json.Marshal(cfg)
	require.NoError(b, err)
	b.ReportMetric(float64(size), "packed_bytes")
	b.ReportMetric(float64(len(plain)), "json_bytes")
}

// FuzzReadReply checks that no bytes from a peer crash the reader.
func FuzzReadReply(f *testing.F) {
	f.Add([]byte{})
	mutate.AddSeeds(f,
		[]byte(`{"version":3}`),
		[]byte(`{"version":3,"requests":[{"key":[1,2],"ends":[7],"left_ms":9}]}`),
		[]byte(`{"version":3,"config_gz":"H4sIAAAAAAAA"}`),
	)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _, _ = readReply(bytes.NewReader(raw))
	})
}
