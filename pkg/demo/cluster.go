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

// Cluster is one user's installation running in this process on loopback
// listeners: real servers and real HTTP, without child processes.
type Cluster struct {
	Layout   *Layout
	Platform *configservice.Server
	Backends map[string]*backend.Server
	Entries  map[string]*entry.Entry
	order    []string
	logs     io.Writer
}

// configWait bounds how long Start waits for every entry instance to read
// the first configuration.
const configWait = 5 * time.Second

// loopbackAny binds a free loopback port; the layout learns the real
// address from the listener, so no port is guessed and raced for.
func loopbackAny() string { return "127.0.0.1:0" }

// StartCluster starts user u's installation in this process, with logs to
// logs, and waits until every entry instance has a configuration. Backend
// servers bind first, the platform then publishes their real addresses,
// and entry instances are pointed at the platform's. Each tweak may change
// the layout's settings before anything starts.
func StartCluster(u User, logs io.Writer, tweaks ...func(*Layout)) (*Cluster, error) {
	return StartClusterWithShards(u, 0, logs, tweaks...)
}

// StartClusterWithShards is StartCluster with wide shards in the user's first
// index (0: the default).
func StartClusterWithShards(u User, wide int, logs io.Writer, tweaks ...func(*Layout)) (*Cluster, error) {
	l, err := BuildLayout(u, wide, loopbackAny)
	if err != nil {
		return nil, err
	}
	for _, t := range tweaks {
		t(l)
	}
	c := &Cluster{Layout: l, Backends: map[string]*backend.Server{}, Entries: map[string]*entry.Entry{}, logs: logs}
	report := func(i wire.Instance) { c.Platform.Report(i) }
	for i := range l.Backends {
		s := &l.Backends[i]
		b, err := backend.New(s, logger(logs, "backend", s.Name, s.Zone), report)
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
	return c, c.WaitVersion(l.Platform.Configuration.Version, configWait)
}

// AddEntry starts an entry instance with settings s on free loopback
// addresses, reading the cluster's platform and asking its other entry
// instances as peers.
func (c *Cluster) AddEntry(s settings.Entry) error {
	s.Platform = c.Platform.Addr()
	if s.Listen == "" {
		s.Listen = loopbackAny()
	}
	s.RelayListen, s.RelaySecret, s.Peers = loopbackAny(), demoRelaySecret, nil
	if err := s.Check(); err != nil {
		return err
	}
	e, err := entry.New(&s, logger(c.logs, "entry", s.Name, s.Zone))
	if err != nil {
		return err
	}
	c.Entries[s.Name] = e
	c.order = append(c.order, s.Name)
	c.ConnectPeers()
	e.Start()
	return nil
}

// RestartBackend starts a backend server that has ended again, at its address.
func (c *Cluster) RestartBackend(name string) error {
	ended := c.Backends[name]
	for i := range c.Layout.Backends {
		if c.Layout.Backends[i].Name != name {
			continue
		}
		s := c.Layout.Backends[i]
		s.Listen = ended.Addr()
		b, err := backend.New(&s, logger(c.logs, "backend", s.Name, s.Zone), c.Platform.Report)
		if err != nil {
			return err
		}
		c.Backends[name] = b
		b.Start()
	}
	return nil
}

// ConnectPeers makes every entry instance ask every other one, but those in
// the cut zones only each other's zone: a partition between zones.
func (c *Cluster) ConnectPeers(cutZones ...string) {
	for _, e := range c.Entries {
		var peers []string
		for _, p := range c.Entries {
			apart := e.Zone() != p.Zone() && (slices.Contains(cutZones, e.Zone()) || slices.Contains(cutZones, p.Zone()))
			if p != e && !apart {
				peers = append(peers, p.RelayAddr())
			}
		}
		e.SetPeers(peers)
	}
}

func logger(w io.Writer, process, name, zone string) *service.Log {
	log := service.Logger(process, name, zone)
	log.Logger.SetOutput(w)
	return log
}

// EntryNames lists the entry instances in layout order.
func (c *Cluster) EntryNames() []string { return c.order }

// WaitVersion waits until every entry instance has configuration version v
// or newer in force.
func (c *Cluster) WaitVersion(v int64, within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		if c.minVersion() >= v {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("entry instances at v%d after %s, want v%d", c.minVersion(), within, v)
}

func (c *Cluster) minVersion() int64 {
	lowest := int64(-1)
	for _, e := range c.Entries {
		if v := e.Watcher().Version(); lowest < 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

// Stop stops entry instances first, then backend servers, then the
// platform, each gracefully.
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
