package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of the case.
const (
	requestsPerSecond = 110
	deadline          = 3 * time.Second
)

// plan says how long a case plays with how many leafs, when its disruption begins, from the start of
// traffic, how long it takes, how many leafs it affects and which share of their answers.
type plan struct {
	playTime, disruptionTime time.Duration
	starts                   []time.Duration
	leafs, affectedLeafs     int
	share                    float64
}

// newPlan returns a plan in which the disruption comes every 10 s, times times.
func newPlan(times int, disruptionTime time.Duration, leafs, affectedLeafs int, share float64) plan {
	p := plan{disruptionTime: disruptionTime, leafs: leafs, affectedLeafs: affectedLeafs, share: share, playTime: time.Duration(10*times+5) * time.Second}
	for i := range times {
		p.starts = append(p.starts, time.Duration(10*i+5)*time.Second)
	}
	return p
}

// playAdditionalBytes sends requests that may run once at most, while some leafs send additional
// bytes after complete responses.
func playAdditionalBytes(rec *record, dir string, trouble bool) (broken bool, err error) {
	var trafficStart atomic.Pointer[time.Time]
	p := newPlan(3, 5*time.Second, 4, 2, 0.03)
	share := p.disruptionShare(&trafficStart, trouble)
	nodes, err := startDeployment(rec, dir, p.leafs, func(l *leaf, i int) {
		if i < p.affectedLeafs {
			l.strayShare = share
		}
	})
	defer killAll(nodes)
	if err != nil {
		return false, err
	}
	now := time.Now()
	trafficStart.Store(&now)
	sendRequests(rec, nodes, p.playTime)
	return judgeOnce(rec), nil
}

// startDeployment starts the store, some leafs and three nodes, and returns once the nodes are ready.
// setUp is called for each leaf with its number.
func startDeployment(rec *record, dir string, leafs int, setUp func(l *leaf, i int)) ([]*node, error) {
	port, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	s := newStore()
	storeAddr := fmt.Sprintf("127.0.0.1:%d", port)
	if err := s.serve(storeAddr); err != nil {
		return nil, err
	}
	work := func() time.Duration { return time.Duration(20+rand.IntN(30)) * time.Millisecond }
	for i := range leafs {
		l := &leaf{id: fmt.Sprintf("i-%d", i+1), addr: "127.0.0.1:0", service: "orders", zone: zones[i%len(zones)], slots: 3, queue: 12, work: work, rec: rec}
		setUp(l, i)
		if err := l.serve(); err != nil {
			return nil, err
		}
		s.put("servers/"+l.id, l.entry())
	}
	s.put("op/config", configOf())
	nodes, err := newNodes(dir, storeAddr)
	if err != nil {
		return nil, err
	}
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return nodes, err
		}
	}
	return nodes, awaitReady(nodes)
}

// killAll ends the processes.
func killAll(nodes []*node) {
	for _, n := range nodes {
		n.kill()
	}
}

// configOf returns the operator's configuration: one route whose requests may run once at most.
func configOf() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-orders", "host": "shop.example", "prefix": "/orders/", "type": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 200, "priority": 1, "backend": "orders", "maxAttempts": 2,
		}},
		"backends": []map[string]any{{"name": "orders", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// sendRequests sends requests at a constant rate, each with an id of its own, and none again.
func sendRequests(rec *record, nodes []*node, playTime time.Duration) {
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(playTime); time.Now().Before(end); i++ {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			sendOne(rec, client, nodes[i%len(nodes)], fmt.Sprintf("%08x%08x", rand.Uint32(), i))
		}()
	}
	wg.Wait()
}

// sendOne sends one request and records its answer.
func sendOne(rec *record, client *http.Client, n *node, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/orders/new", bytes.NewReader([]byte("one bracket")))
	if err != nil {
		panic(err) // The URL is built from constants.
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	rec.event("client: POST /orders/new %s to %s", id, n.name)
	resp, err := client.Do(req)
	if err != nil {
		rec.answered(id, 0, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		rec.answered(id, 0, err.Error())
		return
	}
	rec.answered(id, resp.StatusCode, string(body))
}

// judgeOnce checks TWICE and REFUSED on all requests.
func judgeOnce(rec *record) (broken bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	twice, refused, ok := 0, 0, 0
	for id, status := range rec.answers {
		runs := rec.runs[id]
		if status == http.StatusOK {
			ok++
		}
		if len(runs) > 1 {
			twice++
			rec.eventLocked("TWICE: %s ran at %v; the client got %d", id, runs, status)
		}
		if len(runs) > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
			refused++
			rec.eventLocked("REFUSED: %s ran at %v; the client got %d", id, runs, status)
		}
	}
	summary := fmt.Sprintf("%d requests, %d answered 200, %d ran more than once (TWICE), %d ran and were answered as not run (REFUSED)", len(rec.answers), ok, twice, refused)
	rec.eventLocked("%s", summary)
	fmt.Println(summary)
	return twice+refused > 0
}
