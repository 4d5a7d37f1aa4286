// Package topology defines the deployment configuration that operators publish on the
// platform's configuration service: brand deployments, their indexes and shards, the
// leafs that hold each shard on backend servers, and the client applications that may
// search. A Config is immutable once built; every change is a new Config with a higher
// Version.
package topology

import (
	"fmt"
	"slices"
	"sort"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

// Config is one version of the whole deployment configuration.
type Config struct {
	Version     int64           `json:"version" yaml:"version"`
	Deployments []Deployment    `json:"deployments" yaml:"deployments"`
	Backends    []BackendServer `json:"backends" yaml:"backends"`
	// EvacuatedZones lists the availability zones whose backend servers get no new requests.
	EvacuatedZones []string `json:"evacuated,omitempty" yaml:"evacuated,omitempty"`
}

// Deployment is a brand deployment: the indexes of one storefront and the client
// applications that may search them.
type Deployment struct {
	Name    string      `json:"name" yaml:"name"`
	Indexes []Index     `json:"indexes" yaml:"indexes"`
	Clients []ClientApp `json:"clients" yaml:"clients"`
}

// Index is a searchable index that is split into shards. Snapshot is the version of the
// index snapshot in force: every answer comes from this version only.
type Index struct {
	Name     string  `json:"name" yaml:"name"`
	Snapshot int64   `json:"snapshot" yaml:"snapshot"`
	Shards   []Shard `json:"shards" yaml:"shards"`
}

// Shard is one partition of an index. Leafs lists the names of the backend servers that
// hold a replica of it. Leafs[0] is the primary, the only replica that receives
// not-repeatable requests.
type Shard struct {
	ID    string   `json:"id" yaml:"id"`
	Leafs []string `json:"leafs" yaml:"leafs"`
}

// Primary returns a copy of the shard with its primary leaf only.
func (s Shard) Primary() Shard {
	if len(s.Leafs) == 0 {
		return s
	}
	return Shard{ID: s.ID, Leafs: s.Leafs[:1]}
}

// ClientApp is a client application: its ID, its shared key and the names of the indexes
// that it may search. MayHold reports whether it may send not-repeatable requests.
type ClientApp struct {
	ID      string   `json:"id" yaml:"id"`
	Key     string   `json:"key" yaml:"key"`
	Indexes []string `json:"indexes" yaml:"indexes"`
	MayHold bool     `json:"holds" yaml:"holds"`
}

// BackendServer is one backend server in an availability zone. MaxConns is the
// maximum number of connections that it accepts from all callers together; 0: not
// published.
type BackendServer struct {
	Name     string `json:"name" yaml:"name"`
	Zone     string `json:"zone" yaml:"zone"`
	Addr     string `json:"addr" yaml:"addr"`
	MaxConns int    `json:"max_conns,omitempty" yaml:"max_conns,omitempty"`
}

// find returns a pointer to the first item whose key is want.
func find[T any](items []T, key func(*T) string, want string) (*T, bool) {
	for i := range items {
		if key(&items[i]) == want {
			return &items[i], true
		}
	}
	return nil, false
}

// Deployment returns the named brand deployment.
func (c *Config) Deployment(name string) (*Deployment, bool) {
	return find(c.Deployments, func(d *Deployment) string { return d.Name }, name)
}

// Backend returns the named backend server.
func (c *Config) Backend(name string) (*BackendServer, bool) {
	return find(c.Backends, func(b *BackendServer) string { return b.Name }, name)
}

// Index returns the named index of the deployment.
func (d *Deployment) Index(name string) (*Index, bool) {
	return find(d.Indexes, func(ix *Index) string { return ix.Name }, name)
}

// Client returns the client application with the given ID.
func (d *Deployment) Client(id string) (*ClientApp, bool) {
	return find(d.Clients, func(a *ClientApp) string { return a.ID }, id)
}

// Shard returns the shard with the given ID.
func (ix *Index) Shard(id string) (*Shard, bool) {
	return find(ix.Shards, func(s *Shard) string { return s.ID }, id)
}

// MayAccess reports whether the client application may send requests to the index.
func (a *ClientApp) MayAccess(index string) bool { return slices.Contains(a.Indexes, index) }

// Validate checks that the names of backend servers, deployments and indexes are unique,
// that backend servers have all required fields, and that leafs, clients and evacuated
// zones refer only to existing backend servers, indexes and zones. Its errors have the
// code errcode.PatchInvalid.
func (c *Config) Validate() error {
	backends := map[string]bool{}
	for _, b := range c.Backends {
		if b.Name == "" || b.Addr == "" || b.Zone == "" {
			return errcode.New(errcode.PatchInvalid, "backend server %q needs name, zone and addr", b.Name)
		}
		if backends[b.Name] {
			return errcode.New(errcode.PatchInvalid, "backend server %q listed twice", b.Name)
		}
		backends[b.Name] = true
	}
	for _, zone := range c.EvacuatedZones {
		if !slices.Contains(c.Zones(), zone) {
			return errcode.New(errcode.PatchInvalid, "evacuated zone %q has no backend server", zone)
		}
	}
	seen := map[string]bool{}
	for _, d := range c.Deployments {
		if seen[d.Name] {
			return errcode.New(errcode.PatchInvalid, "deployment %q listed twice", d.Name)
		}
		seen[d.Name] = true
		if err := d.validate(backends); err != nil {
			return err
		}
	}
	return nil
}

// validate checks the indexes and client applications of a deployment. backends is the set of
// names of all backend servers.
func (d *Deployment) validate(backends map[string]bool) error {
	indexes := map[string]bool{}
	for _, ix := range d.Indexes {
		if indexes[ix.Name] {
			return errcode.New(errcode.PatchInvalid, "%s: index %q listed twice", d.Name, ix.Name)
		}
		indexes[ix.Name] = true
		for _, s := range ix.Shards {
			for _, l := range s.Leafs {
				if !backends[l] {
					return errcode.New(errcode.PatchInvalid, "%s/%s/%s: leaf on unknown backend server %q", d.Name, ix.Name, s.ID, l)
				}
			}
		}
	}
	for _, a := range d.Clients {
		for _, n := range a.Indexes {
			if !indexes[n] {
				return errcode.New(errcode.PatchInvalid, "%s: client %q names unknown index %q", d.Name, a.ID, n)
			}
		}
	}
	return nil
}

// Zones returns the availability zones of the backend servers in sorted order.
func (c *Config) Zones() []string {
	set := map[string]bool{}
	for _, b := range c.Backends {
		set[b.Zone] = true
	}
	out := make([]string, 0, len(set))
	for z := range set {
		out = append(out, z)
	}
	sort.Strings(out)
	return out
}

// String returns a short description for logs.
func (c *Config) String() string {
	return fmt.Sprintf("config v%d (%d deployments, %d backend servers)", c.Version, len(c.Deployments), len(c.Backends))
}
