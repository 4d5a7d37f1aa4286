package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
	// runs holds the leafs that ran each request, answers the status of each answer.
	runs    map[string][]string
	answers map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string][]string), answers: make(map[string]int)}, nil
}

// event writes one line.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventLocked(format, args...)
}

func (r *record) eventLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a leaf began to work on a request, and returns how many have.
func (r *record) ran(id, leaf string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], leaf)
	r.eventLocked("leaf %s runs %s (run %d)", leaf, id, len(r.runs[id]))
	return len(r.runs[id])
}

// answered records the answer to a request; status 0: the connection ended without one.
func (r *record) answered(id string, status int, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = status
	r.eventLocked("client: answer to %s: %d %q", id, status, body)
}

// close writes everything to the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
