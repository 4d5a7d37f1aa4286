package backend

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// handOffTimeout bounds the transfer of one shard between backend servers.
const handOffTimeout = 2 * time.Second

// holdRecord is one not-repeatable request that ran: what a repeat of its
// idempotency key is answered from.
type holdRecord struct {
	Index  string          `json:"index"`
	Shard  string          `json:"shard"`
	Result wire.HoldResult `json:"result"`
}

// shardState is what moves with a shard to another backend server: its
// snapshots, the beds left and the record of every hold that ran.
type shardState struct {
	Index     string                `json:"index"`
	Shard     string                `json:"shard"`
	Dataset   string                `json:"dataset"`
	Snapshots []int64               `json:"snapshots"`
	Beds      map[string]int        `json:"beds"`
	Holds     map[string]holdRecord `json:"holds"`
}

// handOff moves a shard of this server to the one at addr. This server
// stops holding the shard before the other starts, so that in the moment
// between, with entry instances on either side of the configuration change,
// a hold finds at most one server that will run it.
func (b *Server) handOff(index, shard, addr string) error {
	state, err := b.takeOut(index, shard)
	if err != nil {
		return err
	}
	c, err := service.NewClient(1, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	body := Control{Action: ActAdopt, State: state}
	_, err = c.Do(context.Background(), "POST", "http://"+addr+PathControl, nil, body, nil, time.Now().Add(handOffTimeout))
	return err
}

// takeOut removes a shard and returns its state.
func (b *Server) takeOut(index, shard string) (*shardState, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.leafs[index]
	if !ok || !l.shards[shard] {
		return nil, errcode.New(errcode.ShardNotHosted, "no leaf of %s/%s", index, shard)
	}
	s := &shardState{Index: index, Shard: shard, Dataset: l.dataset, Beds: map[string]int{}, Holds: map[string]holdRecord{}}
	for v := range l.snapshots {
		s.Snapshots = append(s.Snapshots, v)
	}
	for _, it := range items(l.dataset, shard, 0) {
		if n, ok := b.beds[it.name]; ok {
			s.Beds[it.name] = n
			delete(b.beds, it.name)
		}
	}
	for key, h := range b.holds {
		if h.Index == index && h.Shard == shard {
			s.Holds[key] = h
			delete(b.holds, key)
		}
	}
	delete(l.shards, shard)
	return s, nil
}

// adopt takes over a shard handed off by another backend server.
func (b *Server) adopt(s *shardState) error {
	if s == nil {
		return errcode.New(errcode.BadRequest, "adopt needs a state")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.leafs[s.Index]
	if !ok {
		l = &leaf{dataset: s.Dataset, shards: map[string]bool{}, snapshots: map[int64]bool{}}
		b.leafs[s.Index] = l
	}
	for _, v := range s.Snapshots {
		l.snapshots[v] = true
	}
	for item, n := range s.Beds {
		b.beds[item] = n
	}
	for key, h := range s.Holds {
		b.holds[key] = h
	}
	l.shards[s.Shard] = true
	return nil
}

// ExecutedHoldKeys lists the idempotency keys of the holds on this server's record.
func (b *Server) ExecutedHoldKeys() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.holds))
}
