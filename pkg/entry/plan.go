package entry

import (
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// maxAttempts bounds the leafs tried for one shard of a search.
const maxAttempts = 3

// plan is one configuration as the gateway runs it: a route for the searches of
// each index and one for the holds of each shard. It is immutable.
type plan struct {
	config   *topology.Config
	searches map[string]*routing.Route
	holds    map[string]*routing.Route
	// shards are the shard IDs by the name of the service that stands for
	// them.
	shards map[string]string
	// services are what each backend server serves, by its name.
	services map[string][]string
}

// indexName names an index among all deployments.
func indexName(deployment, index string) string { return deployment + "/" + index }

// shardService names the service that stands for all replicas of a shard, and
// primaryService the one for its primary alone, which takes the holds.
func shardService(index, shard string) string { return index + "/" + shard }

func primaryService(index, shard string) string { return index + "/" + shard + "/primary" }

// newPlan lays out a configuration.
func newPlan(cfg *topology.Config) *plan {
	p := &plan{
		config:   cfg,
		searches: make(map[string]*routing.Route),
		holds:    make(map[string]*routing.Route),
		shards:   make(map[string]string),
		services: make(map[string][]string),
	}
	for i := range cfg.Deployments {
		d := &cfg.Deployments[i]
		for j := range d.Indexes {
			p.addIndex(indexName(d.Name, d.Indexes[j].Name), &d.Indexes[j])
		}
	}
	return p
}

// addIndex adds the routes of one index.
func (p *plan) addIndex(name string, index *topology.Index) {
	search := &routing.Route{Name: name, Kind: routing.Gather, MaxAttempts: maxAttempts}
	for _, shard := range index.Shards {
		service := shardService(name, shard.ID)
		p.addService(service, shard.ID, shard.Leafs)
		search.Shards = append(search.Shards, service)
		primary := primaryService(name, shard.ID)
		p.addService(primary, shard.ID, shard.Primary().Leafs)
		p.holds[service] = &routing.Route{
			Name: name + " holds", Kind: routing.AtMostOnce, MaxAttempts: 1,
			Targets: []routing.Target{{Service: primary, Weight: 1}},
		}
	}
	p.searches[name] = search
}

func (p *plan) addService(service, shard string, backends []string) {
	p.shards[service] = shard
	for _, name := range backends {
		p.services[name] = append(p.services[name], service)
	}
}

// leaf is a backend server as the gateway knows it. The version of the
// configuration orders its reports.
func (p *plan) leaf(b topology.BackendServer, instances int) replica.Leaf {
	return replica.Leaf{
		ID: b.Name, Services: p.services[b.Name], Addr: b.Addr, Zone: b.Zone,
		MaxConns: evenShare(b.MaxConns, instances), Sequence: p.config.Version,
	}
}

// evenShare rounds a published connection limit down to what the instances can
// divide evenly, one for each at least, so that all together stay within it.
func evenShare(published, instances int) int {
	if published <= 0 {
		return 0
	}
	return max(published-published%instances, instances)
}

// followConfig lets the tables follow a configuration about to be put in force.
func (e *Entry) followConfig(cfg *topology.Config) {
	p := newPlan(cfg)
	now := time.Now()
	listed := make(map[string]bool, len(cfg.Backends))
	for _, b := range cfg.Backends {
		listed[b.Name] = true
		e.table.Upsert(p.leaf(b, e.set.EntryInstances), now)
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

// tableOptions are the settings that shape placement.
func tableOptions(s *settings.Entry) replica.Options {
	return replica.Options{
		Zone: s.Zone, ConnsPerLeaf: s.ConnsPerBackend, Instances: s.EntryInstances,
		ReservedConns:    cancelConns,
		OtherZonePenalty: time.Duration(s.ZonePenaltyMs * float64(time.Millisecond)),
		NearestFirst:     s.Policy == settings.PolicyNaive,
		Budget:           secondBudget(s.HedgeBudgetPct),
	}
}
