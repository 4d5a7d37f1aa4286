package gateway

import (
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// refuse answers a request of which nothing has run.
func (g *Gateway) refuse(req *Request, route *routing.Route, code errcode.Code, retryAfter time.Duration) Answer {
	return g.refuseWith(req, route, code, retryAfter, oplog.Fields{})
}

// refuseWith is like refuse and adds fields to the log line.
func (g *Gateway) refuseWith(req *Request, route *routing.Route, code errcode.Code, retryAfter time.Duration, f oplog.Fields) Answer {
	name := ""
	if route != nil {
		name = route.Name
	}
	g.stats.refused(code)
	f["code"], f["reason"] = code.String(), code.Name()
	f["retry_after_ms"], f["config_version"], f["in_flight"] = retryAfter.Milliseconds(), g.version(), g.inFlight.Load()
	g.log.Decision("request_refused", req.logFields(name, f))
	return Answer{Code: code, RetryAfter: retryAfter}
}
