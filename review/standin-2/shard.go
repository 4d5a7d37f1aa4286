package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Case "shard": all instances are killed and started again, and one shard of twenty is lost.
const (
	shardCount    = 20
	shardInterval = 15 * time.Millisecond
	shardWork     = 20 * time.Millisecond
	shardTimeout  = 2500 * time.Millisecond
	// shardBefore is how long the clients send before all instances are killed, shardDown how long
	// these are away, and shardAfter how long the clients go on.
	shardBefore = 8 * time.Second
	shardDown   = 500 * time.Millisecond
	shardAfter  = 34 * time.Second
	// shardLoss is when the leafs of the shard crash, counted from the start of the instances.
	shardLoss = 5 * time.Second
	// entryLife is how long the entry of a silent leaf stays: three liveness intervals.
	entryLife = 3600 * time.Millisecond
	recoveryS = 12 * time.Second
)

// shardOutcome is the result of one request.
type shardOutcome struct {
	sent   time.Time
	result string
}

// runShard plays the case.
func runShard(f *fleet, trouble bool) (broken bool, err error) {
	return f.playShard(trouble, trouble)
}

// runLostShard loses the shard without the final fault.
func runLostShard(f *fleet, trouble bool) (broken bool, err error) {
	return f.playShard(false, trouble)
}

// playShard sends one and the same query over all shards at a constant rate. Meanwhile all
// instances are killed and a shard is lost, or one of the two, or neither.
func (f *fleet) playShard(killAll, loseShard bool) (broken bool, err error) {
	var shards []string
	for n := range shardCount {
		shards = append(shards, fmt.Sprintf("s%02d", n))
		if err := f.addLeafs(shards[n], 2, 2, shardWork, make([]byte, 1000), siteZones...); err != nil {
			return false, err
		}
	}
	f.store.put("op/config", shardConfig(shards))
	if err := f.addInstances(); err != nil {
		return false, err
	}
	time.Sleep(11 * time.Second)
	killAt := time.Now().Add(shardBefore)
	var outcomes []shardOutcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		outcomes = f.sendSweeps(killAt.Add(shardDown + shardAfter))
	}()
	time.Sleep(time.Until(killAt))
	if killAll {
		if err := f.killAll(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(shardLoss)
	if loseShard {
		f.loseShard()
	}
	<-done
	return f.judgeRecovery(outcomes, killAt, back), nil
}

func shardConfig(shards []string) map[string]any {
	var backends []any
	for _, s := range shards {
		backends = append(backends, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 25})
	}
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "sweep", "host": "a.example", "prefix": "/sweep/", "type": "safe", "gather": shards,
			"timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2, "topK": 50, "minShardShare": 0.89,
		}},
		"backends": backends,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// killAll kills all instances and starts them again.
func (f *fleet) killAll() error {
	for _, i := range f.nodes {
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
	f.rec.say("all instances are killed")
	time.Sleep(shardDown)
	for _, i := range f.nodes {
		if err := f.start(i); err != nil {
			return err
		}
	}
	f.rec.say("all instances are started again")
	return nil
}

// loseShard ends both leafs of the first shard for good; their entries expire.
func (f *fleet) loseShard() {
	for _, l := range f.leafs[:2] {
		l.crash()
	}
	f.rec.say("both leafs of shard s00 have crashed for good, 19 of 20 shards are left")
	time.AfterFunc(entryLife, func() {
		for _, l := range f.leafs[:2] {
			f.store.put("servers/"+l.id, nil)
		}
	})
}

// sendSweeps sends queries to the instances in turn until the given time.
func (f *fleet) sendSweeps(until time.Time) []shardOutcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []shardOutcome
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(shardInterval)
		wg.Add(1)
		go func() {
			defer wg.Done()
			o := shardOutcome{sent: time.Now(), result: "no connection"}
			if c, err := dial(clientName(n), f.nodes[n%len(f.nodes)].callers(), 0, f.rec); err == nil {
				o.result = sweep(c)
				c.close()
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, o)
		}()
	}
	wg.Wait()
	return out
}

// served is the result of a query that was answered with success.
const served = "served"

// sweep sends the query on a connection and returns its result.
func sweep(c *client) string {
	sent := time.Now()
	id, err := c.send("a.example", "/sweep/all", shardTimeout, "")
	if err != nil {
		return "not sent"
	}
	a := c.receive(id, sent, shardTimeout, 0)
	switch {
	case a.err != nil:
		return "no answer"
	case a.status != http.StatusOK:
		return fmt.Sprint(a.status)
	}
	return served
}

// judgeRecovery applies RECOVER.
func (f *fleet) judgeRecovery(outcomes []shardOutcome, killAt, back time.Time) bool {
	before, after := map[string]int{}, map[string]int{}
	allBefore, allAfter := 0, 0
	for _, o := range outcomes {
		switch {
		case o.sent.Before(killAt):
			before[o.result]++
			allBefore++
		case o.sent.After(back.Add(recoveryS)):
			after[o.result]++
			allAfter++
		}
	}
	f.rec.say("before the final fault: %v", before)
	f.rec.say("later than %v after the instances are back: %v (less than a quarter served breaks RECOVER)", recoveryS, after)
	return 4*before[served] >= allBefore && 4*after[served] < allAfter
}
