package priority

import (
	"math"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/fanout"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// This file simulates the leafs of the replay.

// simLeaf is a leaf with slots and a queue.
type simLeaf struct {
	index int
	busy  int
	queue []*simJob
}

// simJob is one request at a leaf.
type simJob struct {
	run      *simQuery
	request  fanout.Request
	work     time.Duration
	deadline time.Duration
}

// send delivers requests to their leafs.
func (r *replay) send(run *simQuery, requests []fanout.Request) {
	for _, request := range requests {
		work := millis(r.load.classes[run.class].serviceTimeMs * math.Exp(0.35*r.rng.NormFloat64()-0.35*0.35/2))
		job := &simJob{run: run, request: request, work: work, deadline: request.Deadline.Sub(epoch)}
		r.after(networkDelay, func() { r.arriveAtLeaf(r.leafs[request.Call.Leaf.ID], job) })
	}
}

// arriveAtLeaf makes a leaf run, queue or refuse a request.
func (r *replay) arriveAtLeaf(l *simLeaf, job *simJob) {
	switch {
	case l.busy < r.load.slots:
		r.execute(l, job)
	case len(l.queue) < r.load.queue:
		l.queue = append(l.queue, job)
	default:
		r.reply(job, replica.Refused)
	}
}

// execute runs a request on a slot until its end or its deadline.
func (r *replay) execute(l *simLeaf, job *simJob) {
	l.busy++
	took, outcome := job.work, replica.Answered
	if r.load.slowdown != nil {
		took = time.Duration(float64(took) * r.load.slowdown(l.index, r.now))
	}
	if r.now+took > job.deadline {
		took, outcome = max(job.deadline-r.now, 0), replica.Failed
	}
	r.after(took, func() {
		l.busy--
		r.reply(job, outcome)
		r.next(l)
	})
}

// next runs the next requests of the queue. Requests whose deadline has passed are refused without
// running.
func (r *replay) next(l *simLeaf) {
	for len(l.queue) > 0 && l.busy < r.load.slots {
		job := l.queue[0]
		l.queue = l.queue[1:]
		if r.now >= job.deadline {
			r.reply(job, replica.Refused)
			continue
		}
		r.execute(l, job)
	}
}
