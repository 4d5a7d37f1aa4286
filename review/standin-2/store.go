package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an entry of the store, or the deletion of one.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store with listings and watches.
type store struct {
	addr string

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func newStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes an entry, or removes it if value is nil.
func (s *store) put(key string, value any) {
	var raw []byte
	if value != nil {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: raw, Revision: s.revision, Created: s.revision, Deleted: value == nil}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	if more {
		keys = keys[:pageSize]
	}
	items := []storeItem{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				expired = true
			}
		}
		if expired || len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
