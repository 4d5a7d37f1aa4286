package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// leaf is a stand-in of one leaf: it runs at most slots requests at a time, echoes the request's
// ID, adds its proof and answers with a fixed body.
type leaf struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	body                    []byte
	rec                     *record
	places                  chan struct{}
	stamps                  atomic.Int64
	sequence                atomic.Int64
	server                  *http.Server

	mu   sync.Mutex
	runs map[string]int
}

func newLeaf(id, service, zone, ip string, slots int, work time.Duration, body []byte, rec *record) (*leaf, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &leaf{
		id: id, service: service, zone: zone, addr: ln.Addr().String(), slots: slots, work: work, body: body, rec: rec,
		places: make(chan struct{}, slots), runs: map[string]int{},
	}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	go func() { _ = l.server.Serve(ln) }()
	return l, nil
}

// crash ends the leaf while it runs a request: its listener and all of its connections are closed.
func (l *leaf) crash() {
	for len(l.places) == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	_ = l.server.Close()
}

// entry returns the leaf's entry in the store.
func (l *leaf) entry(state string) map[string]any {
	return map[string]any{
		"backend": l.service, "address": l.addr, "zone": l.zone, "version": "v1", "slots": l.slots,
		"state": state, "coldRemainingMs": 0, "sequence": l.sequence.Add(1),
	}
}

// ran returns how many requests with the ID the leaf has begun to run.
func (l *leaf) ran(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", l.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != l.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case l.places <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-l.places }()
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
	l.rec.add("leaf %s runs %s", l.id, id)
	time.Sleep(l.work)
	w.Header().Set("X-Response-Stamp", fmt.Sprintf("%s.%d", l.id, l.stamps.Add(1)))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(len(l.body)))
	_, _ = w.Write(l.body)
}
