package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. It answers kv-range and kv-watch as PROTOCOL.md
// describes them.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	changed chan struct{}
}

// item is one entry or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{rev: 100, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes an entry as JSON.
func (s *store) put(key string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // The values are constants of this program.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: raw, Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve listens on addr and serves in the background.
func (s *store) serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	go func() { _ = http.Serve(ln, mux) }()
	return nil
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, it := range s.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "currentRev": s.rev})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitMs < 0 || waitMs > 30000 {
		http.Error(w, fmt.Sprintf("waitMs %d", waitMs), http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		writeJSON(w, map[string]any{"events": events, "currentRev": rev})
		return
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // Fails only if the caller has disconnected.
}
