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

// memoryStore is a ConfigStore that keeps the newest version in memory.
type memoryStore struct {
	mu  sync.Mutex
	cfg *topology.Config
}

func (s *memoryStore) Current() *topology.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}

func (s *memoryStore) ApplyIfNewer(c *topology.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg != nil && c.Version <= s.cfg.Version {
		return false
	}
	s.cfg = c
	return true
}

// startRelay runs a relay that has the given version of the configuration (0: none) until the test
// ends.
func startRelay(t *testing.T, secret string, version int64, peers ...string) (*Relay, *memoryStore) {
	store := &memoryStore{}
	if version > 0 {
		store.cfg = &topology.Config{Version: version}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{Listen: "127.0.0.1:0", Peers: peers, Secret: secret, Interval: 20 * time.Millisecond}
	r, err := New(o, store, quarantine.NewTable(), metrics.NewSet(), logrus.NewEntry(log))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return r, store
}

// Guards against a configuration that one peer has and that does not reach the others, and against
// a newer configuration being replaced by an older one, when a peer with the older one is queried.
func TestNewestConfigurationReachesAllPeers(t *testing.T) {
	newest, _ := startRelay(t, testSecret, 7)
	older, olderStore := startRelay(t, testSecret, 3, newest.Addr())
	_, emptyStore := startRelay(t, testSecret, 0, older.Addr())
	require.Eventually(t, func() bool { return versionOf(olderStore.Current()) == 7 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return versionOf(emptyStore.Current()) == 7 }, 5*time.Second, time.Millisecond)
	newest.SetPeers([]string{older.Addr()})
	require.Eventually(t, func() bool { return newest.queriesSent.Get() > 3 }, 5*time.Second, time.Millisecond)
	require.Zero(t, newest.configsTaken.Get(), "put a configuration in force that is not newer")
}

// Guards against putting a configuration in force that no operator has submitted, and against
// sending a configuration to a process outside the installation. This happens if whatever process
// answers at a peer's address is trusted. Two processes here have another secret: one is a peer of
// the entry instance and has version 99; the other has no configuration and queries the instance.
func TestPeerWithAnotherSecretNeitherSendsNorReceivesConfiguration(t *testing.T) {
	const otherSecret = "another installation's secret"
	untrustedSender, _ := startRelay(t, otherSecret, 99)
	trusted, trustedStore := startRelay(t, testSecret, 1, untrustedSender.Addr())
	untrustedReceiver, untrustedStore := startRelay(t, otherSecret, 0, trusted.Addr())
	require.Eventually(t, func() bool { return trusted.queriesFailed.Get() >= 3 && untrustedReceiver.queriesFailed.Get() >= 3 }, 10*time.Second, time.Millisecond)
	require.Equal(t, int64(1), versionOf(trustedStore.Current()))
	require.Zero(t, versionOf(untrustedStore.Current()))
	require.Zero(t, trusted.configsServed.Get())
	require.Zero(t, untrustedSender.configsServed.Get())
}

// BenchmarkGzipConfig5200Leafs measures the size of the configuration that a node without a
// connection to the configuration service receives from a peer for each change, for an
// installation of the size that is expected in two years.
func BenchmarkGzipConfig5200Leafs(b *testing.B) {
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
		packed, err := gzipConfig(cfg)
		require.NoError(b, err)
		size = len(packed)
	}
	plain, err := json.Marshal(cfg)
	require.NoError(b, err)
	b.ReportMetric(float64(size), "packed_bytes")
	b.ReportMetric(float64(len(plain)), "json_bytes")
}

// FuzzReadResponse checks that no response of a peer crashes the decoder.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte{})
	mutate.AddSeeds(f,
		[]byte(`{"version":3}`),
		[]byte(`{"version":3,"requests":[{"key":[1,2],"ends":[7],"left_ms":9}]}`),
		[]byte(`{"version":3,"config_gz":"H4sIAAAAAAAA"}`),
	)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _, _ = readResponse(bytes.NewReader(raw))
	})
}
