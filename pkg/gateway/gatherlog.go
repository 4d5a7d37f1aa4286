package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// logAsked records which leafs were asked for the query, where that is not told elsewhere: its
// caller has left, or another instance was to run it or may be running it.
func (r *gathering) logAsked() {
	asked := make(map[string][]string)
	for i, service := range r.route.Shards {
		if leafs := r.query.AskedLeafs(i); len(leafs) > 0 {
			asked[service] = leafs
		}
	}
	r.g.log.Decision("query_asked", r.req.about(r.route.Name, oplog.Fields{
		"asked": asked, "max_attempts": r.route.MaxAttempts, "after_ms": time.Since(r.req.Arrived).Milliseconds(),
	}))
}

// logLeftOut records which shards an answer lacks, and why.
func (r *gathering) logLeftOut(event string, code errcode.Code) {
	left := make(map[string]string)
	for i, service := range r.route.Shards {
		if lack := r.query.ShardStatus(i); lack != fanout.Covered {
			left[service] = lack.String()
		}
	}
	r.g.log.Decision(event, r.req.about(r.route.Name, oplog.Fields{
		"code":    code.String(),
		"covered": r.query.CoveredShards(), "needed": r.query.RequiredShards(), "shards": len(r.route.Shards),
		"missing": left, "after_ms": time.Since(r.req.Arrived).Milliseconds(), "config_version": r.g.version(),
	}))
}
