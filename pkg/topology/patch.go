package topology

import (
	"encoding/json"
	"slices"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

// OpKind is the kind of a patch operation.
type OpKind string

// The kinds of patch operations that an operator can submit.
const (
	// OpSetSnapshot puts version Snapshot of an index in force.
	OpSetSnapshot OpKind = "set_snapshot"
	// OpSetLeafs replaces the leafs of one shard, for repartitioning.
	OpSetLeafs OpKind = "set_leafs"
	// OpPutClient adds or replaces a client application.
	OpPutClient OpKind = "put_client"
	// OpRemoveClient removes a client application.
	OpRemoveClient OpKind = "remove_client"
	// OpEvacuate stops new requests to the backend servers of an availability zone, until
	// OpReadmit ends the evacuation. Neither has a deployment, because all deployments of an
	// installation share its zones.
	OpEvacuate OpKind = "evacuate"
	OpReadmit  OpKind = "readmit"
)

// Op is one operation of a patch. Kind determines which of the other fields are used.
type Op struct {
	Kind       OpKind     `json:"kind" yaml:"kind"`
	Deployment string     `json:"deployment" yaml:"deployment"`
	Index      string     `json:"index,omitempty" yaml:"index,omitempty"`
	Shard      string     `json:"shard,omitempty" yaml:"shard,omitempty"`
	Snapshot   int64      `json:"snapshot,omitempty" yaml:"snapshot,omitempty"`
	Leafs      []string   `json:"leafs,omitempty" yaml:"leafs,omitempty"`
	Client     *ClientApp `json:"client,omitempty" yaml:"client,omitempty"`
	ClientID   string     `json:"client_id,omitempty" yaml:"client_id,omitempty"`
	Zone       string     `json:"zone,omitempty" yaml:"zone,omitempty"`
}

// Patch is a list of operations for version BaseVersion of the configuration. It is
// accepted only while BaseVersion is the current version.
type Patch struct {
	BaseVersion int64 `json:"base_version" yaml:"base_version"`
	Ops         []Op  `json:"ops" yaml:"ops"`
}

// Clone returns a deep copy of c.
func (c *Config) Clone() *Config {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	var out Config
	if err := json.Unmarshal(raw, &out); err != nil {
		panic(err)
	}
	return &out
}

// Apply returns the configuration that results from applying p to c, with Version one
// higher. The error is errcode.PatchConflict if p was made for another version, and
// errcode.PatchInvalid if an operation refers to an unknown object or the result fails
// Validate.
func (c *Config) Apply(p Patch) (*Config, error) {
	if p.BaseVersion != c.Version {
		return nil, errcode.New(errcode.PatchConflict, "patch made against v%d, current is v%d", p.BaseVersion, c.Version)
	}
	next := c.Clone()
	next.Version = c.Version + 1
	for i, op := range p.Ops {
		if err := next.apply(op); err != nil {
			return nil, errcode.New(errcode.PatchInvalid, "op %d (%s): %v", i, op.Kind, err)
		}
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return next, nil
}

// apply changes c by one operation.
func (c *Config) apply(op Op) error {
	switch op.Kind {
	case OpEvacuate:
		c.readmit(op.Zone)
		c.EvacuatedZones = append(c.EvacuatedZones, op.Zone)
		return nil
	case OpReadmit:
		c.readmit(op.Zone)
		return nil
	}
	d, ok := c.Deployment(op.Deployment)
	if !ok {
		return errcode.New(errcode.PatchInvalid, "unknown deployment %q", op.Deployment)
	}
	switch op.Kind {
	case OpSetSnapshot:
		ix, ok := d.Index(op.Index)
		if !ok {
			return errcode.New(errcode.PatchInvalid, "unknown index %q", op.Index)
		}
		ix.Snapshot = op.Snapshot
	case OpSetLeafs:
		ix, ok := d.Index(op.Index)
		if !ok {
			return errcode.New(errcode.PatchInvalid, "unknown index %q", op.Index)
		}
		s, ok := ix.Shard(op.Shard)
		if !ok {
			return errcode.New(errcode.PatchInvalid, "unknown shard %q", op.Shard)
		}
		s.Leafs = append([]string(nil), op.Leafs...)
	case OpPutClient:
		if op.Client == nil || op.Client.ID == "" {
			return errcode.New(errcode.PatchInvalid, "put_client needs a client with an id")
		}
		d.removeClient(op.Client.ID)
		d.Clients = append(d.Clients, *op.Client)
	case OpRemoveClient:
		d.removeClient(op.ClientID)
	default:
		return errcode.New(errcode.PatchInvalid, "unknown op kind %q", op.Kind)
	}
	return nil
}

// readmit removes an availability zone from the evacuated zones.
func (c *Config) readmit(zone string) {
	c.EvacuatedZones = slices.DeleteFunc(c.EvacuatedZones, func(z string) bool { return z == zone })
}

// removeClient removes the client application with the given ID, if there is one.
func (d *Deployment) removeClient(id string) {
	kept := d.Clients[:0]
	for _, a := range d.Clients {
		if a.ID != id {
			kept = append(kept, a)
		}
	}
	d.Clients = kept
}
