package peers

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
)

// Queries runs whole queries for peers of this instance's zone.
type Queries interface {
	// Gather runs a query under a version of the configuration and calls taken before
	// anything is sent. ok is false if it did not run and will not.
	Gather(ctx context.Context, req *gateway.Request, configVersion int64, taken func()) (a gateway.Answer, ok bool)
}

// query asks a peer of the same zone to run a whole query.
type query struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Request requestFrame
	// ConfigVersion is the configuration that the query is run under, or not at all.
	ConfigVersion int64
	// AgeUs is how long ago the request was read, WayUs how long it and its answer spend
	// between the caller and the peer, PatienceUs how long the caller waits (0: not said).
	AgeUs, WayUs, PatienceUs uint64
}

// answer is the outcome of a query.
type answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// HeldUs is how long the peer has had the query.
	HeldUs       uint64
	Code         uint16
	RetryAfterUs uint64
	// Lacks says of each shard why it has no part (fanout.Lack).
	Lacks []byte
	// Proofs are those of the covered shards in their order, and Body their records.
	Proofs []string
	Body   []byte
}

// Times of queries that peers run.
const (
	// takenWithin is how soon a peer says that it runs a query: a round trip in a zone
	// is below 1 ms, and a small processor that has used up its share waits for up to
	// 80 ms. Longer, and a target latency of 80 ms is lost with the wait alone.
	takenWithin = 40 * time.Millisecond
	// timerLate is how late a timer may be before this process itself is taken to have
	// stood still.
	timerLate = 15 * time.Millisecond
	// beatEvery is how often a peer with open queries says that it is well.
	beatEvery = 100 * time.Millisecond
	// beatsMissed is how long a peer with open queries may be silent: three beats, and
	// 100 ms for a processor that has used up its share.
	beatsMissed = 4 * beatEvery
	// answerSlack is how long after the end of a query its answer may come.
	answerSlack = 50 * time.Millisecond
)

// query decodes a query and returns the function that runs it.
func (c *serverConn) query(q query) (func(), error) {
	request, err := c.texts.decode(q.Request)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	path, _, _ := strings.Cut(request.Target, "?")
	req := &gateway.Request{
		ID: q.Request.ID, Host: request.Host, Path: path, Content: c.s.codec.Content(request),
		Arrived: now.Add(-micros(q.AgeUs)), OnTheWay: micros(q.WayUs), Patience: micros(q.PatienceUs),
	}
	ctx, end := c.begin(q.Number)
	return func() {
		defer c.forget(q.Number)
		defer end()
		c.gather(ctx, q, req, now)
	}, nil
}

// gather runs a query that has come at a time and sends its answer. A write that fails ends the connection, and
// with it the query's caller knows.
func (c *serverConn) gather(ctx context.Context, q query, req *gateway.Request, came time.Time) {
	c.s.active.Add(1)
	defer c.s.active.Add(-1)
	if c.s.queries == nil || ctx.Err() != nil {
		_ = c.write(kindDeclined, numbered{Number: q.Number})
		return
	}
	a, ok := c.s.queries.Gather(ctx, req, q.ConfigVersion, func() {
		c.s.Gathered.Add(1)
		c.beat()
		_ = c.write(kindTaken, numbered{Number: q.Number})
	})
	switch {
	case !ok:
		_ = c.write(kindDeclined, numbered{Number: q.Number})
	case ctx.Err() == nil:
		f := c.answer(q.Number, a)
		f.HeldUs = uint64(time.Since(came).Microseconds())
		_ = c.write(kindAnswer, f)
	}
}

// answer encodes an answer with the records of all parts merged.
func (c *serverConn) answer(number uint64, a gateway.Answer) answer {
	f := answer{Number: number, Code: uint16(a.Code), RetryAfterUs: uint64(a.RetryAfter.Microseconds()), Lacks: make([]byte, len(a.Shards))}
	var bodies [][]byte
	for i, shard := range a.Shards {
		f.Lacks[i] = byte(shard.Lack)
		if shard.Reply == nil || a.Code != errcode.OK {
			continue
		}
		proof, body := c.s.codec.Part(*shard.Reply)
		f.Lacks[i] = byte(fanout.Covered)
		f.Proofs = append(f.Proofs, proof)
		bodies = append(bodies, body)
	}
	if len(bodies) > 0 {
		f.Body = c.s.codec.Merge(bodies, a.Route.TopK)
	}
	return f
}

// beat keeps telling the caller that this instance is well while work is open.
func (c *serverConn) beat() {
	if c.beating.Swap(true) {
		return
	}
	time.AfterFunc(beatEvery, func() {
		c.beating.Store(false)
		if c.ctx.Err() != nil || !c.busy() {
			return
		}
		c.beat()
		_ = c.write(kindBeat, numbered{}) // Its failure ends the connection.
	})
}

// busy reports whether batches or queries are open.
func (c *serverConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cancels) > 0
}

// asked is a query that a peer was asked to run.
type asked struct {
	// events has room for all that can come: taken, and the outcome.
	events chan queryEvent
	sent   time.Time
}

// queryEvent is news of a query.
type queryEvent struct {
	kind   queryEventKind
	answer answer
}

type queryEventKind int

const (
	queryTaken queryEventKind = iota
	queryDeclined
	queryAnswered
	// queryLost: the connection has ended.
	queryLost
)

// errPeerMalformed: a peer's answer does not fit its query.
var errPeerMalformed = errors.New("answer does not fit the query")

// errPeerBeats: a peer with open queries has stopped saying that it is well.
var errPeerBeats = errors.New("no word of a peer that runs queries")

// queryFrame takes over news of a query.
func (c *clientConn) queryFrame(k kind, raw []byte) error {
	var event queryEvent
	var number uint64
	var err error
	switch k {
	case kindTaken, kindDeclined:
		var n numbered
		n, err = decode[numbered](raw)
		number = n.Number
		event.kind = queryTaken
		if k == kindDeclined {
			event.kind = queryDeclined
		}
	case kindAnswer:
		event.kind = queryAnswered
		event.answer, err = decode[answer](raw)
		number = event.answer.Number
	default:
		return errKind
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	q := c.asked[number]
	if event.kind != queryTaken {
		delete(c.asked, number)
	}
	if event.kind == queryAnswered && q != nil {
		c.hop.learn(time.Since(q.sent) - micros(event.answer.HeldUs))
	}
	c.mu.Unlock()
	if q == nil {
		return nil
	}
	select {
	case q.events <- event:
	default:
		return errPeerMalformed // It says the same again.
	}
	return nil
}

// hop is how long a query and its answer are on their way to and from a peer.
type hop struct{ mean, deviation time.Duration }

const (
	// hopWeight is the weight of one query in the smoothed values.
	hopWeight = 0.1
	// hopDeviations covers nine hops in ten.
	hopDeviations = 2
	// hopFirst stands in until the first answer: a round trip in a zone, and 5 KB over a
	// link of 20 Mbit/s.
	hopFirst = 3 * time.Millisecond
	// hopMost is where a peer counts as short of processor time instead.
	hopMost = 10 * time.Millisecond
)

// learn takes over one value.
func (h *hop) learn(took time.Duration) {
	if h.mean == 0 {
		h.mean, h.deviation = took, took/4
		return
	}
	off := took - h.mean
	h.mean += time.Duration(hopWeight * float64(off))
	h.deviation += time.Duration(hopWeight * float64(off.Abs()-h.deviation))
}

// hopLocked is how much longer queries and answers are on their way through the peer; mu
// is held.
//
// The peer gives an answer just before the target latency is over, as seen from there.
// Without the hop it reaches its caller just after it; one notices that the median of a
// kind of query comes to lie on its target (80 ms), and half of them late.
func (c *clientConn) hopLocked() time.Duration {
	if c.hop.mean == 0 {
		return hopFirst
	}
	return min(c.hop.mean+hopDeviations*c.hop.deviation, hopMost)
}

// ask sends a query; ok is false if nothing was sent.
func (c *clientConn) ask(q gateway.GatherQuery) (number uint64, a *asked, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, false
	}
	c.number++
	a = &asked{events: make(chan queryEvent, 3), sent: time.Now()}
	c.asked[c.number] = a
	req := q.Request
	f := query{
		Number: c.number, Request: c.texts.encode(req.ID, c.codec.Request(req.Content)), ConfigVersion: q.ConfigVersion,
		AgeUs: uint64(time.Since(req.Arrived).Microseconds()), WayUs: uint64((req.OnTheWay + c.hopLocked()).Microseconds()),
		PatienceUs: uint64(req.Patience.Microseconds()),
	}
	if err := c.writeLocked(kindQuery, f); err != nil {
		go c.end(err)
	}
	return c.number, a, true
}

// drop tells the peer that nobody waits for a query any more.
func (c *clientConn) drop(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.asked[number] == nil {
		return
	}
	delete(c.asked, number)
	if err := c.writeLocked(kindCancel, numbered{Number: number}); err != nil {
		go c.end(err)
	}
}

// Ask implements gateway.Gatherers.
func (p *Peers) Ask(ctx context.Context, q gateway.GatherQuery) (gateway.Answer, bool) {
	c := p.gatherer(time.Now())
	if c == nil {
		return gateway.Answer{}, false
	}
	number, a, ok := c.ask(q)
	if !ok {
		return gateway.Answer{}, false
	}
	p.Handed.Add(1)
	wait := &queryWait{p: p, c: c, number: number, asked: a, query: q}
	return wait.run(ctx)
}

// queryWait waits for the answer to a query that a peer was asked to run.
type queryWait struct {
	p      *Peers
	c      *clientConn
	number uint64
	asked  *asked
	query  gateway.GatherQuery
	// taken: the peer has said that it runs the query.
	taken bool
	// due is when the next word of the peer is expected at the latest.
	due time.Time
}

// run waits for the answer.
//
// The peer may be killed, stand still or be cut off. As long as it has not said that it
// runs the query this instance may run it itself, and does so soon. After that a second
// run could reach more leafs of a shard than the route allows, and would double the load
// of an overload; the caller is told at once that the query may have run, and comes
// again.
func (w *queryWait) run(ctx context.Context) (gateway.Answer, bool) {
	timer := time.NewTimer(takenWithin)
	defer timer.Stop()
	w.due = time.Now().Add(takenWithin)
	for {
		select {
		case e := <-w.asked.events:
			if a, ok, done := w.event(e); done {
				return a, ok
			}
			w.due = time.Now().Add(beatsMissed)
			timer.Reset(beatsMissed)
		case <-timer.C:
			if a, ok, done := w.overdue(timer); done {
				return a, ok
			}
		case <-ctx.Done():
			w.c.drop(w.number)
			return gateway.Answer{Code: errcode.CallerLeft}, true
		}
	}
}

// event takes over news of the query.
func (w *queryWait) event(e queryEvent) (a gateway.Answer, ok, done bool) {
	switch e.kind {
	case queryTaken:
		w.taken = true
		return a, false, false
	case queryAnswered:
		a, err := w.answer(e.answer)
		if err != nil {
			w.c.end(err)
			return w.lost(), true, true
		}
		return a, true, true
	case queryLost:
		if w.taken {
			return w.lost(), true, true
		}
	}
	w.p.Declined.Add(1)
	return a, false, true
}

// overdue is called when the peer should have been heard of.
func (w *queryWait) overdue(timer *time.Timer) (a gateway.Answer, ok, done bool) {
	now := time.Now()
	if now.Sub(w.due) > timerLate {
		// This process has stood still, and the word may be waiting to be read.
		w.due = now.Add(takenWithin)
		timer.Reset(takenWithin)
		return a, false, false
	}
	switch {
	case !w.taken:
		w.c.drop(w.number)
		w.p.silent(w.c)
		return a, false, true
	case now.After(w.query.End.Add(answerSlack)):
		w.c.drop(w.number)
		return gateway.Answer{Code: errcode.RequestTimeout}, true, true
	}
	silent := now.Sub(time.Unix(0, w.c.heard.Load()))
	if silent >= beatsMissed {
		w.c.end(errPeerBeats)
		return w.lost(), true, true
	}
	next := min(beatsMissed-silent, max(w.query.End.Add(answerSlack).Sub(now), time.Millisecond))
	w.due = now.Add(next)
	timer.Reset(next)
	return a, false, false
}

// lost is the answer to a query whose peer is gone.
func (w *queryWait) lost() gateway.Answer {
	req := w.query.Request
	w.p.log.Decision("gatherer_lost", oplog.Fields{
		"request": req.ID, "route": w.query.Route.Name, "peer": w.c.peer.Name, "code": errcode.PeerLost.String(),
		"after_ms": time.Since(req.Arrived).Milliseconds(),
	})
	return gateway.Answer{Code: errcode.PeerLost}
}

// answer decodes an answer. The merged records go with the first part.
func (w *queryWait) answer(f answer) (gateway.Answer, error) {
	a := gateway.Answer{Code: errcode.Code(f.Code), RetryAfter: micros(f.RetryAfterUs)}
	if !a.Code.Known() || len(f.Lacks) != len(w.query.Route.Shards) || slices.ContainsFunc(f.Lacks, unknownLack) {
		return a, errPeerMalformed
	}
	a.Shards = make([]gateway.ShardAnswer, len(f.Lacks))
	proofs, body := f.Proofs, f.Body
	for i, lack := range f.Lacks {
		a.Shards[i].Lack = fanout.Lack(lack)
		if a.Shards[i].Lack != fanout.Covered || a.Code != errcode.OK {
			continue
		}
		if len(proofs) == 0 {
			return a, errPeerMalformed
		}
		a.Shards[i].Reply = &gateway.LeafReply{Content: w.c.codec.Reply(proofs[0], body)}
		proofs, body = proofs[1:], nil
	}
	if len(proofs) > 0 {
		return a, errPeerMalformed
	}
	return a, nil
}

// unknownLack reports whether a reason is none that this instance knows.
func unknownLack(lack byte) bool { return fanout.Lack(lack) > fanout.AllBusy }

// micros is a number of microseconds as a duration.
func micros(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
