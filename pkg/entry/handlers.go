package entry

import (
	"context"
	"crypto/subtle"
	"fmt"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

func (e *Entry) routes() {
	e.srv.Hertz.POST(PathSearch, e.handleSearch)
	e.srv.Hertz.POST(PathHold, e.handleHold)
	e.srv.Hertz.GET(service.PathHealth, e.handleHealth)
}

func (e *Entry) handleHealth(_ context.Context, c *app.RequestContext) {
	h := wire.Health{Name: e.settings.Name, State: "live", InFlight: e.gateway.InFlight()}
	status := 200
	if e.state.Load() != stateServing || e.pauseDetector.isSettling() {
		h.State, status = "leaving", 503
	}
	c.JSON(status, h)
}

// admittedRequest holds what is known of every request once it is admitted.
type admittedRequest struct {
	id string
	// plan is the routing plan of the configuration that is pinned for the
	// request, and index the index in that configuration.
	plan  *routingPlan
	index *topology.Index
	// indexKey identifies the index among all deployments; see indexKey.
	indexKey string
	arrived  time.Time
	timeout  time.Duration
}

// run completes the leaf message of a request and runs the request on a route.
func (e *Entry) run(ctx context.Context, ar *admittedRequest, route *routing.Route, message wire.LeafRequest) gateway.Answer {
	message.RequestID = ar.id
	message.Index = ar.index.Name
	message.Snapshot = ar.index.Snapshot
	message.FromZone = e.settings.Zone
	return e.gateway.Serve(ctx, &gateway.Request{
		ID: ar.id, Key: contentKey(ar.indexKey, &message), Arrived: ar.arrived, Timeout: ar.timeout,
		Content: &leafRequestTemplate{request: message, plan: ar.plan},
	}, route)
}

// contentKey returns the quarantine key of a request to an index. Requests that ask
// the same of the leafs have the same key.
func contentKey(index string, m *wire.LeafRequest) quarantine.Key {
	return quarantine.KeyOf(index, string(m.Kind), m.Text, strconv.Itoa(m.Limit), m.Item, m.IdempotencyKey)
}

// refuseOverloaded returns the answer to a request that exceeds the limit of
// requests in flight.
func (e *Entry) refuseOverloaded(ar *admittedRequest) wire.Answer {
	e.stats.shedRequests.Inc()
	return e.refusal(ar.id, errcode.EntryOverloaded, "too many requests in flight")
}

// refuseQuarantined returns the answer to a request that is quarantined and therefore
// not sent to backend servers.
func (e *Entry) refuseQuarantined(ar *admittedRequest, a *gateway.Answer) wire.Answer {
	answer := e.refusal(ar.id, a.Code, a.Code.Name())
	answer.RetryAfterMs = int(a.RetryAfter.Milliseconds())
	return answer
}

func (e *Entry) handleSearch(ctx context.Context, c *app.RequestContext) {
	defer e.stats.answerLatency.UpdateDuration(time.Now())
	var req wire.SearchRequest
	if err := service.DecodeBody(c, &req); err != nil {
		e.writeAnswer(c, PathSearch, e.refusal("", errcode.BadRequest, err.Error()))
		return
	}
	ar, refusal := e.admit(ctx, c, req.Deployment, req.Index, req.TimeoutMs, false)
	if refusal != nil {
		e.writeAnswer(c, PathSearch, *refusal)
		return
	}
	e.writeAnswer(c, PathSearch, e.search(ctx, ar, req))
}

func (e *Entry) handleHold(ctx context.Context, c *app.RequestContext) {
	defer e.stats.answerLatency.UpdateDuration(time.Now())
	var req wire.HoldRequest
	if err := service.DecodeBody(c, &req); err != nil {
		e.writeAnswer(c, PathHold, e.refusal("", errcode.BadRequest, err.Error()))
		return
	}
	if k := string(c.GetHeader(wire.HeaderIdempotencyKey)); k != "" {
		req.IdempotencyKey = k
	}
	if req.IdempotencyKey == "" {
		e.writeAnswer(c, PathHold, e.refusal("", errcode.MissingIdempotencyKey, "send an Idempotency-Key"))
		return
	}
	ar, refusal := e.admit(ctx, c, req.Deployment, req.Index, req.TimeoutMs, true)
	if refusal != nil {
		e.writeAnswer(c, PathHold, *refusal)
		return
	}
	e.writeAnswer(c, PathHold, e.hold(ctx, ar, req))
}

// admit authenticates the client application and checks that this instance can run
// the request. If not, it returns the final answer, whose code says that the request
// did not run.
func (e *Entry) admit(ctx context.Context, c *app.RequestContext, deployment, index string, timeoutMs int, isHold bool) (*admittedRequest, *wire.Answer) {
	id := e.newRequestID()
	if e.state.Load() == stateStopping {
		return nil, ptr(e.refusal(id, errcode.EntryDraining, "entry instance is stopping"))
	}
	if e.pauseDetector.isSettling() {
		return nil, ptr(e.refusal(id, errcode.EntrySettling, errcode.EntrySettling.Name()))
	}
	if service.CallerDisconnected(ctx) {
		e.stats.callerDisconnects.Inc()
		return nil, ptr(e.refusal(id, errcode.CallerDisconnected, errcode.CallerDisconnected.Name()))
	}
	p := e.plan.Load()
	if p == nil {
		return nil, ptr(e.refusal(id, errcode.NoConfiguration, "no configuration yet"))
	}
	dep, ok := p.config.Deployment(deployment)
	if !ok {
		return nil, ptr(e.refusal(id, errcode.UnknownDeployment, deployment))
	}
	app, ok := dep.Client(string(c.GetHeader(wire.HeaderClientID)))
	if !ok || subtle.ConstantTimeCompare([]byte(app.Key), c.GetHeader(wire.HeaderClientKey)) != 1 {
		return nil, ptr(e.refusal(id, errcode.UnknownClient, "client application not known to this deployment"))
	}
	ix, ok := dep.Index(index)
	if !ok {
		return nil, ptr(e.refusal(id, errcode.UnknownIndex, index))
	}
	if !app.MayAccess(index) || (isHold && !app.MayHold) {
		return nil, ptr(e.refusal(id, errcode.NotAuthorised, index))
	}
	timeout, code := e.effectiveTimeout(timeoutMs)
	if code != errcode.OK {
		return nil, ptr(e.refusal(id, code, "timeout_ms below the minimum"))
	}
	return &admittedRequest{id: id, plan: p, index: ix, indexKey: indexKey(deployment, index), arrived: time.Now(), timeout: timeout}, nil
}

// effectiveTimeout returns the timeout of a request whose caller asked for ms: the default
// for 0, and never more than the maximum. A value below the minimum is refused with
// DeadlineTooShort.
func (e *Entry) effectiveTimeout(ms int) (time.Duration, errcode.Code) {
	switch {
	case ms == 0:
		return settings.Duration(e.settings.DefaultTimeoutMs), errcode.OK
	case ms < e.settings.MinTimeoutMs:
		return 0, errcode.DeadlineTooShort
	}
	return settings.Duration(min(ms, e.settings.MaxTimeoutMs)), errcode.OK
}

// refusal returns the final answer to a request that did not run. Codes that are
// about load or lifecycle carry a retry hint.
func (e *Entry) refusal(id string, code errcode.Code, msg string) wire.Answer {
	a := wire.Answer{RequestID: id, Code: code, Message: msg}
	switch code {
	case errcode.EntryOverloaded, errcode.EntryDraining, errcode.NoConfiguration, errcode.EntrySettling:
		a.RetryAfterMs = e.settings.RetryAfterMs
	}
	return a
}

// writeAnswer writes an answer to the caller and counts it.
func (e *Entry) writeAnswer(c *app.RequestContext, path string, a wire.Answer) {
	code := a.Code
	e.stats.countAnswer(path, code)
	if a.RetryAfterMs > 0 {
		c.Header(wire.HeaderRetryAfter, strconv.Itoa((a.RetryAfterMs+999)/1000))
	}
	c.JSON(code.HTTPStatus(), a)
}

func (e *Entry) newRequestID() string {
	return fmt.Sprintf("%s-%d", e.settings.Name, e.seq.Add(1))
}

func ptr[T any](v T) *T { return &v }
