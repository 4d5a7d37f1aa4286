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

// handOffTimeout is the maximum duration of the transfer of one shard between backend
// servers.
const handOffTimeout = 2 * time.Second

// holdRecord is the result of a hold that was executed. A repeated request with the same
// idempotency key is answered from it.
type holdRecord struct {
	Index  string          `json:"index"`
	Shard  string          `json:"shard"`
	Result wire.HoldResult `json:"result"`
}

// shardState is the data transferred when a shard moves to another backend server.
type shardState struct {
	Index     string  `json:"index"`
	Shard     string  `json:"shard"`
	Dataset   string  `json:"dataset"`
	Snapshots []int64 `json:"snapshots"`
	// Beds holds the number of free beds by item.
	Beds map[string]int `json:"beds"`
	// Holds holds the executed holds by idempotency key.
	Holds map[string]holdRecord `json:"holds"`
}

// handOff moves a shard of this server to the server at addr. This server gives up the
// shard before the other one takes it over. While some entry instances already have the
// new configuration and others still have the old one, at most one server thus executes a
// hold.
func (b *Server) handOff(index, shard, addr string) error {
	state, err := b.removeShard(index, shard)
	if err != nil {
		return err
	}
	c, err := service.NewClient(1, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	body := Control{Action: ActAdopt, State: state}
	_, err = c.Do(context.Background(), "POST", "http://"+addr+PathControl,
		nil, body, nil, time.Now().Add(handOffTimeout))
	return err
}

// removeShard removes a shard from this server and returns its state.
func (b *Server) removeShard(index, shard string) (*shardState, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.leafs[index]
	if !ok || !l.shards[shard] {
		return nil, errcode.New(errcode.ShardNotHosted, "shard %s/%s is not hosted here", index, shard)
	}
	s := &shardState{Index: index, Shard: shard, Dataset: l.dataset, Beds: map[string]int{}, Holds: map[string]holdRecord{}}
	for v := range l.snapshots {
		s.Snapshots = append(s.Snapshots, v)
	}
	for _, it := range items(l.dataset, shard, 0) {
		if n, ok := b.bedsLeft[it.name]; ok {
			s.Beds[it.name] = n
			delete(b.bedsLeft, it.name)
		}
	}
	for key, h := range b.holdRecords {
		if h.Index == index && h.Shard == shard {
			s.Holds[key] = h
			delete(b.holdRecords, key)
		}
	}
	delete(l.shards, shard)
	return s, nil
}

// adopt takes over a shard handed off by another backend server.
func (b *Server) adopt(s *shardState) error {
	if s == nil {
		return errcode.New(errcode.BadRequest, "adopt requires the state of a shard")
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
		b.bedsLeft[item] = n
	}
	for key, h := range s.Holds {
		b.holdRecords[key] = h
	}
	l.shards[s.Shard] = true
	return nil
}

// ExecutedHoldKeys returns the idempotency keys of the holds recorded on this server.
func (b *Server) ExecutedHoldKeys() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.holdRecords))
}
