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

// Action is the kind of a control request.
type Action string

// Control actions that tests and operators can request.
const (
	// ActSlow adds a delay to leaf requests; Control selects which ones.
	ActSlow Action = "slow"
	// ActFreeze suspends leaf requests and health checks until ActThaw, like a paused process.
	ActFreeze Action = "freeze"
	ActThaw   Action = "thaw"
	// ActRefuse makes the server refuse every leaf request without running it.
	ActRefuse Action = "refuse"
	// ActHeal removes all faults.
	ActHeal  Action = "heal"
	ActDrain Action = "drain"
	ActKill  Action = "kill"
	// ActPublish and ActDrop add and remove a snapshot of an index.
	ActPublish Action = "publish"
	ActDrop    Action = "drop"
	// ActServeNewest makes the server answer from its newest snapshot instead of the pinned
	// one, like a server that resumes after a long pause with an outdated view of the cluster.
	ActServeNewest Action = "serve_newest"
	// ActCrossReplies makes the server answer each request with the reply to the previous
	// one, as happens when replies on a connection are matched to the wrong requests.
	ActCrossReplies Action = "cross_replies"
	// ActPartition drops every leaf request from the listed availability zones
	// without a reply, as a network partition between zones does.
	ActPartition Action = "cut"
	// ActLoseReplies runs every request but loses the reply to Percent of them, as happens
	// when the connection breaks before the reply arrives.
	ActLoseReplies Action = "lose_replies"
	// ActCrashOn makes the server crash when it starts to run a request for Text: a search
	// for that text or a hold of that item.
	ActCrashOn Action = "end_on"
	// ActHandOff moves the single shard in Shards, of index Index, and its hold records to
	// the backend server at To, which receives them in an ActAdopt request.
	ActHandOff Action = "hand_off"
	ActAdopt   Action = "adopt"
)

// Control is the body of a control request. Apart from Action, each field is used only by
// the actions named beside it.
type Control struct {
	Action Action `json:"action"`
	// DelayMs is the delay that slow adds to a request.
	DelayMs int `json:"delay_ms,omitempty"`
	// Percent is the share of requests affected by slow (0: every request) and lose_replies
	// (0: none).
	Percent int `json:"percent,omitempty"`
	// Shards lists the shards affected by slow (empty: all) and the shard moved by hand_off.
	Shards []string `json:"shards,omitempty"`
	// Index is the index that publish, drop and hand_off apply to.
	Index string `json:"index,omitempty"`
	// Snapshot is the version that publish adds and drop removes.
	Snapshot int64 `json:"snapshot,omitempty"`
	// Zones lists the availability zones whose leaf requests are dropped under cut.
	Zones []string `json:"zones,omitempty"`
	// To is the address of the backend server that takes over the shard in hand_off.
	To string `json:"to,omitempty"`
	// Text is the search text or hold item on which the server crashes under end_on.
	Text string `json:"text,omitempty"`
	// State is the shard that the server takes over in adopt, with its hold records.
	State *shardState `json:"state,omitempty"`
}

// Faults holds the faults in force.
type Faults struct {
	// DelayMs is the delay added to slowed requests; 0 means that none is slowed.
	DelayMs int `json:"delay_ms,omitempty"`
	// SlowPercent is the share of requests that are slowed; 0 means all.
	SlowPercent int `json:"slow_percent,omitempty"`
	// SlowShards lists the shards whose requests are slowed; empty means all.
	SlowShards       []string `json:"slow_shards,omitempty"`
	Refuse           bool     `json:"refuse,omitempty"`
	Frozen           bool     `json:"frozen,omitempty"`
	ServeNewest      bool     `json:"serve_newest,omitempty"`
	CrossReplies     bool     `json:"cross_replies,omitempty"`
	PartitionedZones []string `json:"cut_zones,omitempty"`
	// LosePercent is the share of replies that are lost; 0 means none.
	LosePercent int `json:"lose_percent,omitempty"`
	// CrashOn is the search text or hold item on which the server crashes; empty means none.
	CrashOn string `json:"end_on,omitempty"`
}

// shouldSlow decides at random whether one request to shard is slowed. This applies to
// SlowPercent of the requests to the shards in SlowShards.
func (f Faults) shouldSlow(shard string) bool {
	if len(f.SlowShards) > 0 && !slices.Contains(f.SlowShards, shard) {
		return false
	}
	return f.SlowPercent == 0 || rand.IntN(100) < f.SlowPercent
}

// OnKill sets a function that Kill calls after dropping every connection. The backend
// command exits its process in it.
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

// Apply performs a control action.
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
			return errcode.New(errcode.BadRequest, "hand_off requires exactly one shard")
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
			return errcode.New(errcode.UnknownIndex, "server hosts no shard of index %q", ctl.Index)
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

// thawLocked releases the requests that wait for the end of a freeze. b.mu must be held.
func (b *Server) thawLocked() {
	if b.faults.Frozen {
		b.faults.Frozen = false
		close(b.thawed)
	}
}

// waitUntilThawed blocks while the server is frozen.
func (b *Server) waitUntilThawed() {
	b.mu.Lock()
	ch := b.thawed
	b.mu.Unlock()
	<-ch
}

// Drain marks the server as leaving. It then refuses new requests without running them,
// sets the draining flag in every reply and reports itself as leaving to the platform,
// whose instance list shows the change after its lag.
func (b *Server) Drain() {
	b.mu.Lock()
	already := b.draining
	b.draining = true
	b.mu.Unlock()
	if already {
		return
	}
	b.log.Info("draining")
	b.recordHealth("draining")
	b.reportState(wire.InstanceLeaving)
}

// Kill closes the listener and every connection abruptly, like a crashed process.
func (b *Server) Kill() {
	b.mu.Lock()
	if b.killed {
		b.mu.Unlock()
		return
	}
	b.killed = true
	b.thawLocked()
	b.mu.Unlock()
	b.log.Info("killed")
	_ = b.ln.Close()
	b.ln.closeAll()
	if b.onKill != nil {
		b.onKill()
	}
	_ = b.srv.Hertz.Close()
}
