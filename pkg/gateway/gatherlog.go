package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// logQueriedLeafs logs the leafs that were called for the query, for the cases that no other
// log line covers: the caller disconnected, or the query was handed off to another instance
// that may be running it.
func (r *gatherRun) logQueriedLeafs() {
	asked := make(map[string][]string)
	for i, service := range r.route.Shards {
		if leafs := r.query.AskedLeafs(i); len(leafs) > 0 {
			asked[service] = leafs
		}
	}
	r.g.log.Decision("query_asked", r.req.logFields(r.route.Name, oplog.Fields{
		"asked": asked, "max_attempts": r.route.MaxAttempts, "after_ms": time.Since(r.req.Arrived).Milliseconds(),
	}))
}

// logMissingShards logs the shards that are missing from an answer, and why.
func (r *gatherRun) logMissingShards(event string, code errcode.Code) {
	missing := make(map[string]string)
	for i, service := range r.route.Shards {
		if lack := r.query.ShardStatus(i); lack != fanout.Covered {
			missing[service] = lack.String()
		}
	}
	r.g.log.Decision(event, r.req.logFields(r.route.Name, oplog.Fields{
		"code":    code.String(),
		"covered": r.query.CoveredShards(), "needed": r.query.RequiredShards(), "shards": len(r.route.Shards),
		"missing": missing, "after_ms": time.Since(r.req.Arrived).Milliseconds(), "config_version": r.g.version(),
	}))
}

// logFields adds the fields that identify the request to the fields of a log line.
func (r *Request) logFields(route string, f oplog.Fields) oplog.Fields {
	f["request"] = r.ID
	f["route"] = route
	if content := r.Key.String(); content != "" {
		f["content"] = content
	}
	r.plan.addTo(f)
	return f
}
