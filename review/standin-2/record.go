package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
