// Package wire owns the typed JSON messages that cross process boundaries:
// caller to entry instance, entry instance to backend server, and the
// platform's configuration service and instance list.
package wire

import (
	"sort"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// Header names used between callers and entry instances.
const (
	HeaderClientID       = "X-Client-App"
	HeaderClientKey      = "X-Client-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
)

// SearchRequest is a caller's query, fanned out to every shard of Index.
// TimeoutMs is the caller's budget in milliseconds; 0 takes the entry
// instance's default.
type SearchRequest struct {
	Deployment string `json:"deployment"`
	Index      string `json:"index"`
	Text       string `json:"text"`
	Limit      int    `json:"limit,omitempty"`
	TimeoutMs  int    `json:"timeout_ms,omitempty"`
}

// HoldRequest is a not-repeatable request (a bed hold, a purchase-driving
// entry) against one shard. It runs at most once per IdempotencyKey.
type HoldRequest struct {
	Deployment     string `json:"deployment"`
	Index          string `json:"index"`
	Shard          string `json:"shard"`
	Item           string `json:"item"`
	IdempotencyKey string `json:"idempotency_key"`
	TimeoutMs      int    `json:"timeout_ms,omitempty"`
}

// Hit is one search result from one shard.
type Hit struct {
	Shard string `json:"shard"`
	Item  string `json:"item"`
	Score int    `json:"score"`
}

// MissingShard names a shard that an answer does not cover and why.
type MissingShard struct {
	Shard  string       `json:"shard"`
	Code   errcode.Code `json:"code"`
	Reason string       `json:"reason"`
}

// Answer is the one answer a caller gets. Code is IY0000 when the request
// ran; Covered and Missing together list every shard of the index, and
// Partial is set when Missing is not empty (the caller's policy decides
// whether a partial answer is used or dropped).
// RetryAfterMs, when set, tells the caller when to come back.
type Answer struct {
	RequestID    string         `json:"request_id"`
	Code         errcode.Code   `json:"code"`
	Message      string         `json:"message,omitempty"`
	Snapshot     int64          `json:"snapshot,omitempty"`
	Partial      bool           `json:"partial,omitempty"`
	Hits         []Hit          `json:"hits,omitempty"`
	Covered      []string       `json:"covered,omitempty"`
	Missing      []MissingShard `json:"missing,omitempty"`
	Held         *HoldResult    `json:"held,omitempty"`
	RetryAfterMs int            `json:"retry_after_ms,omitempty"`
}

// HoldResult is the outcome of a hold as the backend server recorded it.
type HoldResult struct {
	Item      string `json:"item"`
	Granted   bool   `json:"granted"`
	Remaining int    `json:"remaining"`
	Replayed  bool   `json:"replayed,omitempty"`
}

// LeafKind is the kind of work a leaf request asks for.
type LeafKind string

// Leaf request kinds.
const (
	LeafSearch LeafKind = "search"
	LeafHold   LeafKind = "hold"
)

// LeafRequest is what an entry instance sends to one leaf. DeadlineUnixMs
// is absolute; a backend server does not start work past it.
type LeafRequest struct {
	RequestID      string   `json:"request_id"`
	Kind           LeafKind `json:"kind"`
	Index          string   `json:"index"`
	Shard          string   `json:"shard"`
	Snapshot       int64    `json:"snapshot"`
	Text           string   `json:"text,omitempty"`
	Limit          int      `json:"limit,omitempty"`
	Item           string   `json:"item,omitempty"`
	IdempotencyKey string   `json:"idempotency_key,omitempty"`
	DeadlineUnixMs int64    `json:"deadline_unix_ms"`
	FromZone       string   `json:"from_zone,omitempty"`
}

// LeafResponse is a leaf's reply. It echoes RequestID, Shard and Snapshot so
// the entry instance can refuse a reply meant for another request.
// Draining tells the entry instance that the backend server is leaving.
type LeafResponse struct {
	RequestID string       `json:"request_id"`
	Shard     string       `json:"shard"`
	Snapshot  int64        `json:"snapshot"`
	Code      errcode.Code `json:"code"`
	Message   string       `json:"message,omitempty"`
	Hits      []Hit        `json:"hits,omitempty"`
	Held      *HoldResult  `json:"held,omitempty"`
	Draining  bool         `json:"draining,omitempty"`
	// Load is what the backend server says of its own load; nil: nothing.
	Load *Load `json:"load,omitempty"`
}

// Load is a backend server's load: its requests of all callers, and how many run at once. Pace is
// how long work takes there now, in multiples of the usual time; 0: not said.
type Load struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Slots    int     `json:"slots"`
	Slowdown float64 `json:"pace,omitempty"`
}

// CancelRequest tells a backend server that the replies of one search for
// the listed shards are no longer waited for. A hold is never cancelled.
type CancelRequest struct {
	RequestID string   `json:"request_id"`
	Shards    []string `json:"shards"`
}

// InstanceState is an instance's state on the platform's instance list.
type InstanceState string

// Instance states.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	Name  string        `json:"name"`
	Zone  string        `json:"zone"`
	Addr  string        `json:"addr"`
	State InstanceState `json:"state"`
}

// InstanceList is the platform's list of live and leaving instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// InstanceDelta is an instance-list watch reply: the rows reported since
// the reader's version, oldest first (a later row for the same instance
// replaces an earlier one), and the version they bring the reader to.
type InstanceDelta struct {
	Version int64      `json:"version"`
	Rows    []Instance `json:"rows,omitempty"`
}

// PatchResult is the configuration service's answer to a patch.
type PatchResult struct {
	Code    errcode.Code `json:"code"`
	Message string       `json:"message,omitempty"`
	Version int64        `json:"version"`
}

// ConfigReply wraps a configuration read or watch. Version is the version
// the service has. A watch answers with Patches, applied in order to the
// reader's version, when that is cheaper than the whole Config; with
// neither when it ends with nothing newer than the reader's. Digest is that of
// the configuration to which the patches lead: a service that was restored from
// a backup gives out versions again.
type ConfigReply struct {
	Version int64            `json:"version"`
	Config  *topology.Config `json:"config,omitempty"`
	Patches []topology.Patch `json:"patches,omitempty"`
	Digest  uint64           `json:"digest,omitempty"`
}

// Health is a process's health endpoint reply.
type Health struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	InFlight int64  `json:"in_flight"`
}

// SortHits orders hits best score first, then by shard and item, so that a
// merged answer is the same whatever order the shards replied in.
func SortHits(h []Hit) {
	sort.Slice(h, func(i, j int) bool {
		if h[i].Score != h[j].Score {
			return h[i].Score > h[j].Score
		}
		if h[i].Shard != h[j].Shard {
			return h[i].Shard < h[j].Shard
		}
		return h[i].Item < h[j].Item
	})
}
