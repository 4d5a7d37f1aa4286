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
	h := wire.Health{Name: e.set.Name, State: "live", InFlight: e.gateway.InFlight()}
	status := 200
	if e.state.Load() != stateServing || e.pause.check() {
		h.State, status = "leaving", 503
	}
	c.JSON(status, h)
}

// call is what every request shares once admitted: its ID, the index of the
// pinned configuration and how long it may take.
type call struct {
	id      string
	plan    *plan
	index   *topology.Index
	name    string
	arrived time.Time
	timeout time.Duration
}

// run completes what a call asks of the leafs and runs it on a route.
func (e *Entry) run(ctx context.Context, cl *call, route *routing.Route, message wire.LeafRequest) gateway.Answer {
	message.RequestID = cl.id
	message.Index = cl.index.Name
	message.Snapshot = cl.index.Snapshot
	message.FromZone = e.set.Zone
	return e.gateway.Serve(ctx, &gateway.Request{
		ID: cl.id, Key: contentKey(cl.name, &message), Arrived: cl.arrived, Timeout: cl.timeout,
		Content: &leafWork{message: message, plan: cl.plan},
	}, route)
}

// contentKey names what a request asks of the leafs of an index.
func contentKey(index string, m *wire.LeafRequest) quarantine.Key {
	return quarantine.KeyOf(index, string(m.Kind), m.Text, strconv.Itoa(m.Limit), m.Item, m.IdempotencyKey)
}

// overloaded answers a call that was one too many in flight.
func (e *Entry) overloaded(cl *call) wire.Answer {
	e.stats.shed.Inc()
	return e.refusal(cl.id, errcode.EntryOverloaded, "too many requests in flight")
}

// quarantined answers a call that is kept from the backend servers.
func (e *Entry) quarantined(cl *call, a *gateway.Answer) wire.Answer {
	answer := e.refusal(cl.id, a.Code, a.Code.Name())
	answer.RetryAfterMs = int(a.RetryAfter.Milliseconds())
	return answer
}

func (e *Entry) handleSearch(ctx context.Context, c *app.RequestContext) {
	defer e.stats.latency.UpdateDuration(time.Now())
	var req wire.SearchRequest
	if err := service.DecodeBody(c, &req); err != nil {
		e.reply(c, PathSearch, e.refusal("", errcode.BadRequest, err.Error()))
		return
	}
	cl, ans := e.admit(ctx, c, req.Deployment, req.Index, req.TimeoutMs, false)
	if ans != nil {
		e.reply(c, PathSearch, *ans)
		return
	}
	e.reply(c, PathSearch, e.search(ctx, cl, req))
}

func (e *Entry) handleHold(ctx context.Context, c *app.RequestContext) {
	defer e.stats.latency.UpdateDuration(time.Now())
	var req wire.HoldRequest
	if err := service.DecodeBody(c, &req); err != nil {
		e.reply(c, PathHold, e.refusal("", errcode.BadRequest, err.Error()))
		return
	}
	if k := string(c.GetHeader(wire.HeaderIdempotencyKey)); k != "" {
		req.IdempotencyKey = k
	}
	if req.IdempotencyKey == "" {
		e.reply(c, PathHold, e.refusal("", errcode.MissingIdempotencyKey, "send an Idempotency-Key"))
		return
	}
	cl, ans := e.admit(ctx, c, req.Deployment, req.Index, req.TimeoutMs, true)
	if ans != nil {
		e.reply(c, PathHold, *ans)
		return
	}
	e.reply(c, PathHold, e.hold(ctx, cl, req))
}

// admit authenticates the client application and checks that the request
// can run here; on refusal it returns the final answer, which is "not run".
func (e *Entry) admit(ctx context.Context, c *app.RequestContext, deployment, index string, timeoutMs int, holds bool) (*call, *wire.Answer) {
	id := e.newID()
	if e.state.Load() == stateStopping {
		return nil, ptr(e.refusal(id, errcode.EntryDraining, "entry instance is stopping"))
	}
	if e.pause.check() {
		return nil, ptr(e.refusal(id, errcode.EntrySettling, errcode.EntrySettling.Name()))
	}
	if service.CallerDisconnected(ctx) {
		e.stats.callersLeft.Inc()
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
	if !app.May(index) || (holds && !app.Holds) {
		return nil, ptr(e.refusal(id, errcode.NotAuthorised, index))
	}
	timeout, code := e.timeout(timeoutMs)
	if code != errcode.OK {
		return nil, ptr(e.refusal(id, code, "timeout_ms below the minimum"))
	}
	return &call{id: id, plan: p, index: ix, name: indexName(deployment, index), arrived: time.Now(), timeout: timeout}, nil
}

func (e *Entry) timeout(ms int) (time.Duration, errcode.Code) {
	switch {
	case ms == 0:
		return settings.Duration(e.set.DefaultTimeoutMs), errcode.OK
	case ms < e.set.MinTimeoutMs:
		return 0, errcode.DeadlineTooShort
	}
	return settings.Duration(min(ms, e.set.MaxTimeoutMs)), errcode.OK
}

// refusal builds the final answer for a request that did not run. Codes
// that are about load or lifecycle carry a hint of when to come back.
func (e *Entry) refusal(id string, code errcode.Code, msg string) wire.Answer {
	a := wire.Answer{RequestID: id, Code: code, Message: msg}
	switch code {
	case errcode.EntryOverloaded, errcode.EntryDraining, errcode.NoConfiguration, errcode.EntrySettling:
		a.RetryAfterMs = e.set.RetryAfterMs
	}
	return a
}

func (e *Entry) reply(c *app.RequestContext, path string, a wire.Answer) {
	code := a.Code
	e.stats.answered(path, code)
	if a.RetryAfterMs > 0 {
		c.Header(wire.HeaderRetryAfter, strconv.Itoa((a.RetryAfterMs+999)/1000))
	}
	c.JSON(code.HTTPStatus(), a)
}

func (e *Entry) newID() string {
	return fmt.Sprintf("%s-%d", e.set.Name, e.seq.Add(1))
}

func ptr[T any](v T) *T { return &v }
