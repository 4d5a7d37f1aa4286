package entry

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// maxAttempts is the maximum number of leafs tried for one shard of a search.
const maxAttempts = 3

// routingPlan is one configuration translated for the gateway: a route for the searches
// of each index and a route for the holds of each shard. It is immutable.
type routingPlan struct {
	config *topology.Config
	// searchRoutes holds the route of each index by its indexKey, and holdRoutes the
	// route of each shard by its shardService.
	searchRoutes map[string]*routing.Route
	holdRoutes   map[string]*routing.Route
	// shardIDs maps the name of a service to the ID of the shard that it represents.
	shardIDs map[string]string
	// servicesByBackend maps the name of a backend server to its services.
	servicesByBackend map[string][]string
}

// indexKey returns a name of an index that is unique among all deployments.
func indexKey(deployment, index string) string { return deployment + "/" + index }

// shardService returns the name of the service that represents all replicas of a shard.
func shardService(index, shard string) string { return index + "/" + shard }

// primaryService returns the name of the service that represents only the primary of a
// shard, which receives the holds.
func primaryService(index, shard string) string { return index + "/" + shard + "/primary" }

// newRoutingPlan builds the routing plan of a configuration.
func newRoutingPlan(cfg *topology.Config) *routingPlan {
	p := &routingPlan{
		config:            cfg,
		searchRoutes:      make(map[string]*routing.Route),
		holdRoutes:        make(map[string]*routing.Route),
		shardIDs:          make(map[string]string),
		servicesByBackend: make(map[string][]string),
	}
	for i := range cfg.Deployments {
		d := &cfg.Deployments[i]
		for j := range d.Indexes {
			p.addIndex(indexKey(d.Name, d.Indexes[j].Name), &d.Indexes[j])
		}
	}
	return p
}

// addIndex adds the routes of one index.
func (p *routingPlan) addIndex(name string, index *topology.Index) {
	search := &routing.Route{Name: name, Kind: routing.Gather, MaxAttempts: maxAttempts}
	for _, shard := range index.Shards {
		service := shardService(name, shard.ID)
		p.addService(service, shard.ID, shard.Leafs)
		search.Shards = append(search.Shards, service)
		primary := primaryService(name, shard.ID)
		p.addService(primary, shard.ID, shard.Primary().Leafs)
		p.holdRoutes[service] = &routing.Route{
			Name: name + " holds", Kind: routing.AtMostOnce, MaxAttempts: 1,
			Targets: []routing.Target{{Service: primary, Weight: 1}},
		}
	}
	p.searchRoutes[name] = search
}

func (p *routingPlan) addService(service, shard string, backends []string) {
	p.shardIDs[service] = shard
	for _, name := range backends {
		p.servicesByBackend[name] = append(p.servicesByBackend[name], service)
	}
}

// leaf returns the gateway's description of a backend server for one of the given number
// of entry instances. Its sequence number is the version of the configuration, so that
// the table ignores outdated descriptions.
func (p *routingPlan) leaf(b topology.BackendServer, instances int) replica.Leaf {
	return replica.Leaf{
		ID: b.Name, Services: p.servicesByBackend[b.Name], Addr: b.Addr, Zone: b.Zone,
		MaxConns: evenlyDivisibleLimit(b.MaxConns, instances), Sequence: p.config.Version,
	}
}

// evenlyDivisibleLimit rounds a published connection limit down to a multiple of the
// number of instances, so that their equal shares together stay within the limit. Each
// instance gets at least one connection, even if the limit is lower than the number of
// instances. It returns 0 if no limit is published.
func evenlyDivisibleLimit(limit, instances int) int {
	if limit <= 0 {
		return 0
	}
	return max(limit-limit%instances, instances)
}

// applyConfig updates the leaf table, the evacuated zones and the routing plan to a
// configuration that is about to be put in force.
func (e *Entry) applyConfig(cfg *topology.Config) {
	p := newRoutingPlan(cfg)
	now := time.Now()
	listed := make(map[string]bool, len(cfg.Backends))
	for _, b := range cfg.Backends {
		listed[b.Name] = true
		e.table.Upsert(p.leaf(b, e.settings.EntryInstances), now)
	}
	for _, name := range e.table.IDs() {
		if !listed[name] {
			e.table.Remove(name, now)
		}
	}
	e.gateway.ReadmitExcept(func(zone string) bool { return slices.Contains(cfg.EvacuatedZones, zone) })
	for _, zone := range cfg.EvacuatedZones {
		e.gateway.SetEvacuated(zone, true)
	}
	e.plan.Store(p)
	e.log.WithField("version", cfg.Version).Info("tables follow configuration")
}

// tableOptions returns the options of the leaf table, which chooses a leaf for each call.
func tableOptions(s *settings.Entry) replica.Options {
	return replica.Options{
		Zone: s.Zone, ConnsPerLeaf: s.ConnsPerBackend, Instances: s.EntryInstances,
		ReservedConns:    reservedCancelConns,
		OtherZonePenalty: time.Duration(s.ZonePenaltyMs * float64(time.Millisecond)),
		NearestFirst:     s.Policy == settings.PolicyNaive,
		Budget:           secondRequestBudget(s.SecondRequestPercent),
	}
}
