// Package demo defines the sample installations of the project's two users, Lipovec Vizija
// and Lakeshore Haven. Each installation has a platform stand-in, two availability zones
// with two backend server stand-ins and two entry instances each, and the deployment
// configuration for them. The demo script runs the installations as separate processes,
// from settings in YAML files. The golden-file tests run them inside the test process.
package demo

import (
	"fmt"
	"slices"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// User identifies an organisation that runs the system.
type User string

// Users with a sample installation.
const (
	Lipovec   User = "lipovec"
	Lakeshore User = "lakeshore"
)

// Users lists all users in the order in which the demo starts their installations.
var Users = []User{Lipovec, Lakeshore}

// Layout holds the settings of every process of a user's installation.
type Layout struct {
	User     User
	Platform settings.Platform
	Backends []settings.Backend
	Entries  []settings.Entry
}

// indexSpec describes one index of a brand deployment.
type indexSpec struct {
	name    string
	shards  int
	dataset string
}

// installationSpec describes the installation of one user.
type installationSpec struct {
	deployment string
	// slots is the number of requests that a backend server runs at the same time.
	slots   int
	zones   []string
	indexes []indexSpec
	clients []topology.ClientApp
}

var installationSpecs = map[User]installationSpec{
	Lipovec: {
		deployment: "lipovec-vizija",
		slots:      2, // as on the backend servers of viewer-api
		zones:      []string{"lj-a", "lj-b"},
		indexes: []indexSpec{
			{name: "viewer-api", shards: 4, dataset: settings.DatasetParts},
			{name: "archive-svc", shards: 2, dataset: settings.DatasetParts},
		},
		clients: []topology.ClientApp{
			{ID: "cad-viewer", Key: "cad-viewer-key", Indexes: []string{"viewer-api", "archive-svc"}},
			{ID: "bom-panel", Key: "bom-panel-key", Indexes: []string{"viewer-api"}, MayHold: true},
		},
	},
	Lakeshore: {
		deployment: "lakeshore-haven",
		slots:      4, // as on the leafs of shelter-console
		zones:      []string{"detroit-hall", "cleveland-hall"},
		indexes: []indexSpec{
			{name: "shelter-console", shards: 4, dataset: settings.DatasetBeds},
			{name: "funder-reports", shards: 2, dataset: settings.DatasetBeds},
		},
		clients: []topology.ClientApp{
			{ID: "outreach-van", Key: "outreach-van-key", Indexes: []string{"shelter-console"}, MayHold: true},
			{ID: "crisis-line", Key: "crisis-line-key", Indexes: []string{"shelter-console", "funder-reports"}},
		},
	},
}

// Dimensions of each installation.
const (
	backendsPerZone   = 2
	entriesPerZone    = 2
	backendMaxConns   = 25
	snapshotsPerIndex = 2
	// demoRelaySecret is public. A real installation must generate its own secret.
	demoRelaySecret = "demo-only-relay-secret"
)

// DeploymentName returns the name of the brand deployment of user u.
func DeploymentName(u User) string { return installationSpecs[u].deployment }

// BuildLayout returns the layout of the installation of user u. Each call of nextAddr
// returns the listen address of one process: first of the platform, then of the backend
// servers, then of the entry instances. If shardCount is not 0, it replaces the default
// number of shards in the first index, to measure how cost grows with the fan-out.
func BuildLayout(u User, shardCount int, nextAddr func() string) (*Layout, error) {
	spec, ok := installationSpecs[u]
	if !ok {
		return nil, fmt.Errorf("unknown user %q", u)
	}
	if shardCount > 0 {
		spec.indexes = slices.Clone(spec.indexes)
		spec.indexes[0].shards = shardCount
	}
	l := &Layout{User: u}
	l.Platform = settings.Platform{Listen: nextAddr(), InstanceLagMs: 1500}
	cfg := topology.Config{Version: 1}
	dep := topology.Deployment{Name: spec.deployment, Clients: spec.clients}
	for _, ix := range spec.indexes {
		dep.Indexes = append(dep.Indexes, topology.Index{Name: ix.name, Snapshot: 1, Shards: newShards(ix.shards)})
	}
	for _, zone := range spec.zones {
		for n := 1; n <= backendsPerZone; n++ {
			b := newBackendSettings(spec, zone, n, nextAddr(), l.Platform.Listen)
			l.Backends = append(l.Backends, b)
			cfg.Backends = append(cfg.Backends, topology.BackendServer{Name: b.Name, Zone: zone, Addr: b.Listen, MaxConns: b.MaxConns})
			assignLeafs(&dep, b)
		}
	}
	cfg.Deployments = []topology.Deployment{dep}
	l.Platform.Configuration = cfg
	for _, zone := range spec.zones {
		for n := 1; n <= entriesPerZone; n++ {
			listen := nextAddr()
			l.Entries = append(l.Entries, settings.Entry{
				Name: fmt.Sprintf("%s-entry-%d", zone, n), Zone: zone, Listen: listen, Platform: l.Platform.Listen,
				EntryInstances: entriesPerZone * len(spec.zones), RelayListen: listen, RelaySecret: demoRelaySecret,
			})
		}
	}
	l.connectPeers()
	return l, l.check()
}

// connectPeers makes all entry instances peers of each other.
func (l *Layout) connectPeers() {
	for i := range l.Entries {
		for j := range l.Entries {
			if i != j {
				l.Entries[i].Peers = append(l.Entries[i].Peers, l.Entries[j].RelayListen)
			}
		}
	}
}

// newShards returns n shards without leafs.
func newShards(n int) []topology.Shard {
	out := make([]topology.Shard, n)
	for i := range out {
		out[i] = topology.Shard{ID: fmt.Sprintf("s%02d", i+1)}
	}
	return out
}

// newBackendSettings returns the settings of backend server n of a zone. Each of the
// backendsPerZone servers hosts an equal share of the shards of every index, so that each
// zone has exactly one leaf of every shard.
func newBackendSettings(spec installationSpec, zone string, n int, listen, platform string) settings.Backend {
	b := settings.Backend{
		Name: fmt.Sprintf("%s-unit-%d", zone, n), Zone: zone, Listen: listen, Platform: platform,
		Slots: spec.slots, MaxConns: backendMaxConns, HealthLagMs: 1000,
	}
	for _, ix := range spec.indexes {
		leaf := settings.BackendLeafSpec{Index: ix.name, Dataset: ix.dataset}
		for i := 1; i <= ix.shards; i++ {
			if (i-1)%backendsPerZone == n-1 {
				leaf.Shards = append(leaf.Shards, fmt.Sprintf("s%02d", i))
			}
		}
		for v := int64(1); v <= snapshotsPerIndex; v++ {
			leaf.Snapshots = append(leaf.Snapshots, v)
		}
		b.Leafs = append(b.Leafs, leaf)
	}
	return b
}

// assignLeafs adds backend server b to the leafs of the shards that it hosts.
func assignLeafs(dep *topology.Deployment, b settings.Backend) {
	for _, spec := range b.Leafs {
		ix, _ := dep.Index(spec.Index)
		for _, id := range spec.Shards {
			s, _ := ix.Shard(id)
			s.Leafs = append(s.Leafs, b.Name)
		}
	}
}

// check validates the settings of all processes.
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
