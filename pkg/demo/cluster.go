package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/entry"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/standin/configservice"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Cluster is a user's installation that runs in this process: real servers that communicate
// over HTTP on loopback addresses, without child processes.
type Cluster struct {
	Layout   *Layout
	Platform *configservice.Server
	// Backends and Entries hold the servers by name.
	Backends map[string]*backend.Server
	Entries  map[string]*entry.Entry
	// entryNames lists the entry instances in the order of their start.
	entryNames []string
	logs       io.Writer
}

// startTimeout is the maximum time that StartCluster waits until every entry instance has
// the first configuration.
const startTimeout = 5 * time.Second

// anyLoopbackAddr returns the address that binds a listener to a free loopback port. The
// actual address is read from the listener, which avoids a race for a port that was chosen
// beforehand.
func anyLoopbackAddr() string { return "127.0.0.1:0" }

// StartCluster starts the installation of user u in this process, writes its logs to logs,
// and waits until every entry instance has a configuration. The backend servers bind their
// ports first, so that the platform can publish their actual addresses; the entry instances
// then get the address of the platform. Each override may change the settings of the layout
// before anything starts.
func StartCluster(u User, logs io.Writer, overrides ...func(*Layout)) (*Cluster, error) {
	return StartClusterWithShards(u, 0, logs, overrides...)
}

// StartClusterWithShards is like StartCluster, but with shardCount shards in the first index
// of the user. A shardCount of 0 means the default.
func StartClusterWithShards(
	u User, shardCount int, logs io.Writer, overrides ...func(*Layout),
) (*Cluster, error) {
	l, err := BuildLayout(u, shardCount, anyLoopbackAddr)
	if err != nil {
		return nil, err
	}
	for _, override := range overrides {
		override(l)
	}
	c := &Cluster{Layout: l, Backends: map[string]*backend.Server{}, Entries: map[string]*entry.Entry{}, logs: logs}
	report := func(i wire.Instance) { c.Platform.Report(i) }
	for i := range l.Backends {
		s := &l.Backends[i]
		b, err := backend.New(s, newLogger(logs, "backend", s.Name, s.Zone), report)
		if err != nil {
			return nil, err
		}
		c.Backends[s.Name] = b
		l.Platform.Configuration.Backends[i].Addr = b.Addr()
	}
	if c.Platform, err = configservice.New(&l.Platform); err != nil {
		return nil, err
	}
	c.Platform.Start()
	for _, b := range c.Backends {
		b.Start()
	}
	for i := range l.Entries {
		if err := c.AddEntry(l.Entries[i]); err != nil {
			return nil, err
		}
	}
	return c, c.WaitVersion(l.Platform.Configuration.Version, startTimeout)
}

// AddEntry starts an entry instance with settings s on free loopback addresses. It uses the
// platform of the cluster and has all other entry instances as peers.
func (c *Cluster) AddEntry(s settings.Entry) error {
	s.Platform = c.Platform.Addr()
	if s.Listen == "" {
		s.Listen = anyLoopbackAddr()
	}
	s.RelayListen, s.RelaySecret, s.Peers = anyLoopbackAddr(), demoRelaySecret, nil
	if err := s.Check(); err != nil {
		return err
	}
	e, err := entry.New(&s, newLogger(c.logs, "entry", s.Name, s.Zone))
	if err != nil {
		return err
	}
	c.Entries[s.Name] = e
	c.entryNames = append(c.entryNames, s.Name)
	c.ConnectPeers()
	e.Start()
	return nil
}

// RestartBackend starts a crashed backend server again at its previous address.
func (c *Cluster) RestartBackend(name string) error {
	crashed := c.Backends[name]
	for i := range c.Layout.Backends {
		if c.Layout.Backends[i].Name != name {
			continue
		}
		s := c.Layout.Backends[i]
		s.Listen = crashed.Addr()
		b, err := backend.New(&s, newLogger(c.logs, "backend", s.Name, s.Zone), c.Platform.Report)
		if err != nil {
			return err
		}
		c.Backends[name] = b
		b.Start()
	}
	return nil
}

// ConnectPeers makes all entry instances peers of each other, except across the border of a
// zone in partitionedZones. This simulates a network partition that separates each of these
// zones from the rest.
func (c *Cluster) ConnectPeers(partitionedZones ...string) {
	for _, e := range c.Entries {
		var peers []string
		for _, p := range c.Entries {
			partitioned := e.Zone() != p.Zone() &&
				(slices.Contains(partitionedZones, e.Zone()) || slices.Contains(partitionedZones, p.Zone()))
			if p != e && !partitioned {
				peers = append(peers, p.RelayAddr())
			}
		}
		e.SetPeers(peers)
	}
}

// newLogger returns a logger of one process of the installation that writes to w.
func newLogger(w io.Writer, process, name, zone string) *service.Log {
	log := service.Logger(process, name, zone)
	log.Logger.SetOutput(w)
	return log
}

// EntryNames returns the names of the entry instances in the order of their start.
func (c *Cluster) EntryNames() []string { return c.entryNames }

// WaitVersion waits until configuration version v or a newer one is in force on every entry
// instance. It returns an error if that takes longer than within.
func (c *Cluster) WaitVersion(v int64, within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		if c.minVersion() >= v {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("oldest configuration of an entry instance is v%d after %s, want v%d",
		c.minVersion(), within, v)
}

// minVersion returns the oldest configuration version in force on an entry instance.
func (c *Cluster) minVersion() int64 {
	lowest := int64(-1)
	for _, e := range c.Entries {
		if v := e.Watcher().Version(); lowest < 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

// Stop shuts down the entry instances, then the backend servers and then the platform, each
// gracefully.
func (c *Cluster) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, e := range c.Entries {
		wg.Add(1)
		go func() { defer wg.Done(); _ = e.Stop(ctx) }()
	}
	wg.Wait()
	for _, b := range c.Backends {
		wg.Add(1)
		go func() { defer wg.Done(); _ = b.Stop(ctx) }()
	}
	wg.Wait()
	_ = c.Platform.Stop(ctx)
}
