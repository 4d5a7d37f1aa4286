// Package demo owns the embedded default installation: for each of the two
// users of the brief (Lipovec Vizija and Lakeshore Haven) a platform
// stand-in, two availability zones with two backend server stand-ins and two
// entry instances each, the deployment configuration that ties them
// together, and the queries the demo sends. The same layout feeds the
// run script (as YAML files) and the golden-file session tests (in-process
// listeners).
package demo

import (
	"fmt"
	"slices"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// User names one of the brief's two users.
type User string

// The two users.
const (
	Lipovec   User = "lipovec"
	Lakeshore User = "lakeshore"
)

// Users lists both users in demo order.
var Users = []User{Lipovec, Lakeshore}

// Layout is every process's settings for one user's installation.
type Layout struct {
	User     User
	Platform settings.Platform
	Backends []settings.Backend
	Entries  []settings.Entry
}

// indexSpec describes one index of a brand deployment in the demo.
type indexSpec struct {
	name    string
	shards  int
	dataset string
}

type userSpec struct {
	deployment string
	slots      int
	zones      []string
	indexes    []indexSpec
	clients    []topology.ClientApp
}

var specs = map[User]userSpec{
	Lipovec: {
		deployment: "lipovec-vizija",
		slots:      2, // viewer-api units: 2 slots each
		zones:      []string{"lj-a", "lj-b"},
		indexes: []indexSpec{
			{name: "viewer-api", shards: 4, dataset: settings.DatasetParts},
			{name: "archive-svc", shards: 2, dataset: settings.DatasetParts},
		},
		clients: []topology.ClientApp{
			{ID: "cad-viewer", Key: "cad-viewer-key", Indexes: []string{"viewer-api", "archive-svc"}},
			{ID: "bom-panel", Key: "bom-panel-key", Indexes: []string{"viewer-api"}, Holds: true},
		},
	},
	Lakeshore: {
		deployment: "lakeshore-haven",
		slots:      4, // shelter-console leafs: 4 slots each
		zones:      []string{"detroit-hall", "cleveland-hall"},
		indexes: []indexSpec{
			{name: "shelter-console", shards: 4, dataset: settings.DatasetBeds},
			{name: "funder-reports", shards: 2, dataset: settings.DatasetBeds},
		},
		clients: []topology.ClientApp{
			{ID: "outreach-van", Key: "outreach-van-key", Indexes: []string{"shelter-console"}, Holds: true},
			{ID: "crisis-line", Key: "crisis-line-key", Indexes: []string{"shelter-console", "funder-reports"}},
		},
	},
}

// Shape of the demo installation.
const (
	backendsPerZone = 2
	entriesPerZone  = 2
	demoConns       = 25
	demoSnapshots   = 2
	// demoRelaySecret is public; a real installation makes its own.
	demoRelaySecret = "demo-only-relay-secret"
)

// DeploymentName is the brand deployment name of user u.
func DeploymentName(u User) string { return specs[u].deployment }

// BuildLayout lays out user u's installation; addr hands out one listen address
// per call, platform first, then backend servers, then entry instances.
// wide, when not 0, is the number of shards of the user's first index in
// place of the default, for measuring how cost grows with the fan-out.
func BuildLayout(u User, wide int, addr func() string) (*Layout, error) {
	spec, ok := specs[u]
	if !ok {
		return nil, fmt.Errorf("unknown user %q", u)
	}
	if wide > 0 {
		spec.indexes = slices.Clone(spec.indexes)
		spec.indexes[0].shards = wide
	}
	l := &Layout{User: u}
	l.Platform = settings.Platform{Listen: addr(), InstanceLagMs: 1500}
	cfg := topology.Config{Version: 1}
	dep := topology.Deployment{Name: spec.deployment, Clients: spec.clients}
	for _, ix := range spec.indexes {
		dep.Indexes = append(dep.Indexes, topology.Index{Name: ix.name, Snapshot: 1, Shards: shards(ix.shards)})
	}
	for _, zone := range spec.zones {
		for n := 1; n <= backendsPerZone; n++ {
			b := backendFor(spec, zone, n, addr(), l.Platform.Listen)
			l.Backends = append(l.Backends, b)
			cfg.Backends = append(cfg.Backends, topology.BackendServer{Name: b.Name, Zone: zone, Addr: b.Listen, MaxConns: b.MaxConns})
			place(&dep, b)
		}
	}
	cfg.Deployments = []topology.Deployment{dep}
	l.Platform.Configuration = cfg
	for _, zone := range spec.zones {
		for n := 1; n <= entriesPerZone; n++ {
			listen := addr()
			l.Entries = append(l.Entries, settings.Entry{
				Name: fmt.Sprintf("%s-entry-%d", zone, n), Zone: zone, Listen: listen, Platform: l.Platform.Listen,
				EntryInstances: entriesPerZone * len(spec.zones), RelayListen: listen, RelaySecret: demoRelaySecret,
			})
		}
	}
	l.introducePeers()
	return l, l.check()
}

// introducePeers lists every other entry instance as each one's peer.
func (l *Layout) introducePeers() {
	for i := range l.Entries {
		for j := range l.Entries {
			if i != j {
				l.Entries[i].Peers = append(l.Entries[i].Peers, l.Entries[j].RelayListen)
			}
		}
	}
}

func shards(n int) []topology.Shard {
	out := make([]topology.Shard, n)
	for i := range out {
		out[i] = topology.Shard{ID: fmt.Sprintf("s%02d", i+1)}
	}
	return out
}

// backendFor gives backend server n of a zone every other shard of each
// index, so each zone holds one leaf of every shard.
func backendFor(spec userSpec, zone string, n int, listen, platform string) settings.Backend {
	b := settings.Backend{
		Name: fmt.Sprintf("%s-unit-%d", zone, n), Zone: zone, Listen: listen, Platform: platform,
		Slots: spec.slots, MaxConns: demoConns, HealthLagMs: 1000,
	}
	for _, ix := range spec.indexes {
		leaf := settings.BackendLeafSpec{Index: ix.name, Dataset: ix.dataset}
		for i := 1; i <= ix.shards; i++ {
			if (i-1)%backendsPerZone == n-1 {
				leaf.Shards = append(leaf.Shards, fmt.Sprintf("s%02d", i))
			}
		}
		for v := int64(1); v <= demoSnapshots; v++ {
			leaf.Snapshots = append(leaf.Snapshots, v)
		}
		b.Leafs = append(b.Leafs, leaf)
	}
	return b
}

func place(dep *topology.Deployment, b settings.Backend) {
	for _, spec := range b.Leafs {
		ix, _ := dep.Index(spec.Index)
		for _, id := range spec.Shards {
			s, _ := ix.Shard(id)
			s.Leafs = append(s.Leafs, b.Name)
		}
	}
}

func (l *Layout) check() error {
	if err := l.Platform.Check(); err != nil {
		return err
	}
	for i := range l.Backends {
		if err := l.Backends[i].Check(); err != nil {
			return err
		}
	}
	for i := range l.Entries {
		if err := l.Entries[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
