// Package wire defines the JSON messages between processes: between callers and entry
// instances, between entry instances and backend servers, and those of the platform's
// configuration service and instance list.
package wire

import (
	"sort"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// HTTP headers between callers and entry instances.
const (
	HeaderClientID       = "X-Client-App"
	HeaderClientKey      = "X-Client-Key"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
)

// SearchRequest is a caller's query, which is fanned out to every shard of Index.
// Limit is the maximum number of hits per shard; 0: no limit.
// TimeoutMs is the time that the caller waits, in milliseconds; 0: the entry
// instance's default.
type SearchRequest struct {
	Deployment string `json:"deployment"`
	Index      string `json:"index"`
	Text       string `json:"text"`
	Limit      int    `json:"limit,omitempty"`
	TimeoutMs  int    `json:"timeout_ms,omitempty"`
}

// HoldRequest is a not-repeatable request to one shard, for example to hold a bed or
// to add an entry that drives purchases. It runs at most once per IdempotencyKey.
// TimeoutMs is as in SearchRequest.
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

// MissingShard is a shard that an answer does not cover, with the reason as a code
// and as text.
type MissingShard struct {
	Shard  string       `json:"shard"`
	Code   errcode.Code `json:"code"`
	Reason string       `json:"reason"`
}

// Answer is the answer to a caller's request. Code is IY0000 for a search that was
// admitted, even if shards are missing, and for a hold that ran for this request.
// In the answer to a search, Covered and Missing together list every shard of the
// index, and Partial is set if Missing is not empty; the caller's policy decides
// whether to use a partial answer. Held is the result of a hold. RetryAfterMs is the
// time in milliseconds after which the caller should retry; 0: no hint.
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

// HoldResult is the outcome of a hold as the backend server recorded it. Remaining is
// the number of units of the item that are left. Replayed reports that the hold ran for
// an earlier request with the same idempotency key.
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

// LeafRequest is the request of an entry instance to one leaf. DeadlineUnixMs is an
// absolute time; a backend server does not start to work on the request after it.
// FromZone is the availability zone of the entry instance.
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

// LeafResponse is a leaf's reply. It repeats RequestID, Shard and Snapshot of the
// request, so that the entry instance can reject a reply to another request.
// Draining reports that the backend server is draining and should get no new requests.
type LeafResponse struct {
	RequestID string       `json:"request_id"`
	Shard     string       `json:"shard"`
	Snapshot  int64        `json:"snapshot"`
	Code      errcode.Code `json:"code"`
	Message   string       `json:"message,omitempty"`
	Hits      []Hit        `json:"hits,omitempty"`
	Held      *HoldResult  `json:"held,omitempty"`
	Draining  bool         `json:"draining,omitempty"`
	// Load is the load that the backend server reports; nil: it reports none.
	Load *Load `json:"load,omitempty"`
}

// Load is the load that the requests of all callers put on a backend server. Running and Waiting
// are the numbers of requests that run and that wait to run, and Slots is the maximum number that
// run at once. Slowdown is the current duration of work in multiples of the usual duration; 0:
// unknown.
type Load struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Slots    int     `json:"slots"`
	Slowdown float64 `json:"pace,omitempty"`
}

// CancelRequest tells a backend server that the entry instance no longer waits for
// the replies to one search for the listed shards. A hold is never cancelled.
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

// InstanceDelta is the reply to a watch of the instance list: the rows that were reported
// after the reader's version, oldest first, and the version that the reader has once it
// has applied them. A later row for the same instance replaces an earlier one.
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

// ConfigReply is the reply to a read or a watch of the configuration. Version is the
// version that the service has. The reply to a watch has Patches, to be applied in order
// to the reader's version, if these are cheaper than the whole Config. It has neither
// Patches nor Config if the watch ended without a newer version. Digest is the digest of
// the configuration that results from the patches. It is needed because a service that
// was restored from a backup issues version numbers again that it had already used.
type ConfigReply struct {
	Version int64            `json:"version"`
	Config  *topology.Config `json:"config,omitempty"`
	Patches []topology.Patch `json:"patches,omitempty"`
	Digest  uint64           `json:"digest,omitempty"`
}

// Health is the reply of a process's health endpoint.
type Health struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	InFlight int64  `json:"in_flight"`
}

// SortHits sorts hits by descending score, then by shard and item, so that a merged
// answer does not depend on the order in which the shards replied.
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
