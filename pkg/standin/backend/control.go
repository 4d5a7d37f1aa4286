package backend

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Action names a control action.
type Action string

// Control actions a test or operator can drive.
const (
	ActSlow    Action = "slow"
	ActFreeze  Action = "freeze"
	ActThaw    Action = "thaw"
	ActRefuse  Action = "refuse"
	ActHeal    Action = "heal"
	ActDrain   Action = "drain"
	ActKill    Action = "kill"
	ActPublish Action = "publish"
	ActDrop    Action = "drop"
	// ActServeNewest makes the server answer from its newest snapshot
	// whatever the request pinned, as a server woken late that still
	// believes its old view of the world.
	ActServeNewest Action = "serve_newest"
	// ActCrossReplies makes the server answer each request with the reply
	// it made for the previous one, as a connection mix-up would.
	ActCrossReplies Action = "cross_replies"
	// ActPartition drops every leaf request from the listed availability zones
	// without a reply, as a network partition between zones does.
	ActPartition Action = "cut"
	// ActLoseReplies runs every request but loses the replies of Percent of
	// them, as a connection lost on the way back does.
	ActLoseReplies Action = "lose_replies"
	// ActCrashOn lets the server end, as a crashed process, when it begins to run a request
	// for Text: a search for it, or a hold of that item.
	// ActHandOff moves the shard named first in Shards, of index Index, to
	// the backend server at To with its hold records; that server gets it
	// by ActAdopt.
	ActCrashOn Action = "end_on"
	ActHandOff Action = "hand_off"
	ActAdopt   Action = "adopt"
)

// Control is the body of a control request. DelayMs, Shards and Percent go
// with slow (no shards: every shard; no percent: every request); Percent
// alone with lose_replies; Index and
// Snapshot with publish and drop.
type Control struct {
	Action   Action   `json:"action"`
	DelayMs  int      `json:"delay_ms,omitempty"`
	Percent  int      `json:"percent,omitempty"`
	Shards   []string `json:"shards,omitempty"`
	Index    string   `json:"index,omitempty"`
	Snapshot int64    `json:"snapshot,omitempty"`
	Zones    []string `json:"zones,omitempty"`
	To       string   `json:"to,omitempty"`
	Text     string   `json:"text,omitempty"`
	// State goes with adopt, from one backend server to another.
	State *shardState `json:"state,omitempty"`
}

// Faults are the faults in force.
type Faults struct {
	DelayMs          int      `json:"delay_ms,omitempty"`
	SlowPercent      int      `json:"slow_percent,omitempty"`
	SlowShards       []string `json:"slow_shards,omitempty"`
	Refuse           bool     `json:"refuse,omitempty"`
	Frozen           bool     `json:"frozen,omitempty"`
	ServeNewest      bool     `json:"serve_newest,omitempty"`
	CrossReplies     bool     `json:"cross_replies,omitempty"`
	PartitionedZones []string `json:"cut_zones,omitempty"`
	LosePercent      int      `json:"lose_percent,omitempty"`
	CrashOn          string   `json:"end_on,omitempty"`
}

// slows decides whether one request to shard is slowed: stragglers come
// from the listed shards, on SlowPct percent of requests (all when 0).
func (f Faults) slows(shard string) bool {
	if len(f.SlowShards) > 0 && !slices.Contains(f.SlowShards, shard) {
		return false
	}
	return f.SlowPercent == 0 || rand.IntN(100) < f.SlowPercent
}

// OnKill sets what the kill action does besides dropping every connection;
// the process binary exits there.
func (b *Server) OnKill(f func()) { b.onKill = f }

func (b *Server) handleControl(_ context.Context, c *app.RequestContext) {
	var ctl Control
	if err := service.DecodeBody(c, &ctl); err != nil {
		c.JSON(400, wire.PatchResult{Code: errcode.BadRequest, Message: err.Error()})
		return
	}
	if ctl.Action == ActKill {
		c.JSON(200, wire.PatchResult{Code: errcode.OK})
		go b.Kill()
		return
	}
	if err := b.Apply(ctl); err != nil {
		c.JSON(400, wire.PatchResult{Code: errcode.BadRequest, Message: err.Error()})
		return
	}
	c.JSON(200, b.State())
}

// Apply carries out a control action other than kill.
func (b *Server) Apply(ctl Control) error {
	switch ctl.Action {
	case ActDrain:
		b.Drain()
		return nil
	case ActKill:
		b.Kill()
		return nil
	case ActHandOff:
		if len(ctl.Shards) != 1 {
			return errcode.New(errcode.BadRequest, "hand_off needs one shard")
		}
		return b.handOff(ctl.Index, ctl.Shards[0], ctl.To)
	case ActAdopt:
		return b.adopt(ctl.State)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch ctl.Action {
	case ActSlow:
		b.faults.DelayMs, b.faults.SlowShards, b.faults.SlowPercent = ctl.DelayMs, ctl.Shards, ctl.Percent
	case ActFreeze:
		if !b.faults.Frozen {
			b.faults.Frozen = true
			b.thawed = make(chan struct{})
		}
	case ActThaw:
		b.thawLocked()
	case ActRefuse:
		b.faults.Refuse = true
	case ActServeNewest:
		b.faults.ServeNewest = true
	case ActCrossReplies:
		b.faults.CrossReplies = true
	case ActLoseReplies:
		b.faults.LosePercent = ctl.Percent
	case ActCrashOn:
		b.faults.CrashOn = ctl.Text
	case ActPartition:
		b.faults.PartitionedZones = ctl.Zones
	case ActHeal:
		b.thawLocked()
		b.faults = Faults{}
	case ActPublish, ActDrop:
		l, ok := b.leafs[ctl.Index]
		if !ok {
			return errcode.New(errcode.UnknownIndex, "no leaf of index %q", ctl.Index)
		}
		if ctl.Action == ActPublish {
			l.snapshots[ctl.Snapshot] = true
		} else {
			delete(l.snapshots, ctl.Snapshot)
		}
	default:
		return errcode.New(errcode.BadRequest, "unknown action %q", ctl.Action)
	}
	return nil
}

func (b *Server) thawLocked() {
	if b.faults.Frozen {
		b.faults.Frozen = false
		close(b.thawed)
	}
}

func (b *Server) waitThawed() {
	b.mu.Lock()
	ch := b.thawed
	b.mu.Unlock()
	<-ch
}

// Drain marks the server leaving: it refuses new work unrun, says so in
// every reply, and the platform's instance list learns of it after its lag.
func (b *Server) Drain() {
	b.mu.Lock()
	already := b.draining
	b.draining = true
	b.mu.Unlock()
	if already {
		return
	}
	b.log.Info("draining")
	b.setHealth("draining")
	b.announce(wire.InstanceLeaving)
}

// Kill drops every connection and stops accepting, as a crashed process.
func (b *Server) Kill() {
	b.mu.Lock()
	if b.dead {
		b.mu.Unlock()
		return
	}
	b.dead = true
	b.thawLocked()
	b.mu.Unlock()
	b.log.Info("killed")
	_ = b.ln.Close()
	b.ln.closeAll()
	if b.onKill != nil {
		b.onKill()
	}
	_ = b.srv.H.Close()
}
