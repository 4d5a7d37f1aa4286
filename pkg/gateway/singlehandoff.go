package gateway

import (
	"context"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/routing"
)

// This file hands requests that go to a single leaf off to the instances that run the zone's
// queries. A small instance sends a service one such request every few seconds and cannot know how
// busy its leafs are; the few instances that run all of a zone's requests can.

// serveSingle runs a request that goes to one leaf, here or at a gatherer.
func (g *Gateway) serveSingle(ctx context.Context, req *Request, route *routing.Route, version int64, deadline time.Time) Answer {
	if !g.handsOffSingle(route) {
		return g.runSingle(ctx, req, route, deadline)
	}
	a, ok := g.gatherers.HandOffSingle(ctx, GatherQuery{Request: req, Route: route, ConfigVersion: version, Deadline: deadline})
	if !ok {
		return g.runSingle(ctx, req, route, deadline)
	}
	g.recordHandedOff("request_ended_elsewhere", req, route, a)
	if a.Code == errcode.CallerDisconnected {
		a.Code = leftCallerCode(route, true)
	}
	return a
}

// handsOffSingle reports whether the single requests of a route are handed off.
func (g *Gateway) handsOffSingle(route *routing.Route) bool {
	return g.gatherers != nil && g.queuesSingle(route) && g.table.OwnZoneAllowed(route.Name)
}

// RunSingle runs a request that goes to one leaf for another instance of the zone. granted and ok
// are as for Gather.
//
// ctx ends when the caller has disconnected or the other instance is lost. A repeatable request is
// then cancelled, and an at-most-once request that waits is dropped unrun. One that was sent to a
// leaf is completed and stays in flight until it has ended, so that a stopping instance waits for it.
func (g *Gateway) RunSingle(ctx context.Context, req *Request, version int64, granted func() bool) (a Answer, ok bool) {
	return g.runForPeer(req, version, granted, isSingle, func(route *routing.Route) Answer {
		if route.Kind == routing.AtMostOnce {
			req.abandoned = ctx.Done()
			ctx = context.WithoutCancel(ctx)
		}
		return g.runSingle(ctx, req, route, g.deadline(req, route))
	})
}

// isSingle reports whether requests of a kind of route go to one leaf.
func isSingle(kind routing.Kind) bool { return kind != routing.Gather }

// isGather reports whether requests of a kind of route are queries over all shards.
func isGather(kind routing.Kind) bool { return kind == routing.Gather }

// runForPeer runs a request for another instance. It declines another version of the configuration,
// an unknown route, a route of another kind, and any request while MaxInFlight are in flight.
func (g *Gateway) runForPeer(req *Request, version int64, granted func() bool, accepts func(routing.Kind) bool, run func(*routing.Route) Answer) (a Answer, ok bool) {
	c := g.config.Load()
	if c == nil || c.Version != version {
		return a, false
	}
	route := c.Match(req.Host, req.Path)
	if route == nil || !accepts(route.Kind) {
		return a, false
	}
	defer g.inFlight.Add(-1)
	if g.inFlight.Add(1) > int64(g.opts.Load().MaxInFlight) {
		return a, false
	}
	if !granted() {
		return a, false
	}
	a = run(route)
	a.Route = route
	return a, true
}
