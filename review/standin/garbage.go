package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linkBytesPerSecond is less than a machine's link of 1,000 Mbit/s; all streams of wrong bytes
	// share it.
	linkBytesPerSecond = 110 << 20
	garbageChunk       = 256 << 10
	// memoryLimit is memoryMb of the settings; the platform kills a process that exceeds it.
	memoryLimit = 284 << 20
	// A fault: on a tenth of the machines, two at least, processes end by themselves three times.
	endsPerMachine  = 3
	machinesAtLeast = 2
	restartDelay    = 500 * time.Millisecond
)

// link spreads what is sent over time.
type link struct {
	mu   sync.Mutex
	next time.Time
}

// wait returns when n more bytes may be sent.
func (l *link) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	at := l.next
	l.next = l.next.Add(time.Duration(float64(n) / linkBytesPerSecond * float64(time.Second)))
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// sendGarbage sends bytes that are not a response until the caller closes the connection.
func (l *link) sendGarbage(conn net.Conn) (sent int) {
	chunk := bytes.Repeat([]byte("wrong bytes "), garbageChunk/len("wrong bytes "))
	for {
		l.wait(len(chunk))
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			return sent
		}
	}
}

// playGarbage sends requests while some leafs send bytes that are not a response.
func playGarbage(rec *record, dir string, trouble bool) (broken bool, err error) {
	var l link
	var trafficStart atomic.Pointer[time.Time]
	p := newPlan(10, 5500*time.Millisecond, 3, 1, 0.02)
	share := p.disruptionShare(&trafficStart, trouble)
	nodes, err := startDeployment(rec, dir, p.leafs, func(lf *leaf, i int) {
		if i < p.affectedLeafs {
			lf.garbageShare = share
			lf.sendGarbage = l.sendGarbage
		}
	})
	defer killAll(nodes)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	ends := make([]int, len(nodes))
	peaks := make([]int64, len(nodes))
	for i, n := range nodes {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			ends[i], peaks[i] = enforceMemory(rec, n, stop)
		}()
	}
	now := time.Now()
	trafficStart.Store(&now)
	sendRequests(rec, nodes, p.playTime)
	close(stop)
	watchers.Wait()
	return judgeEnds(rec, nodes, ends, peaks), nil
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory, and starts
// it again after a short delay. It returns how often, and the peak in bytes.
func enforceMemory(rec *record, n *node, stop chan struct{}) (ends int, peak int64) {
	for {
		select {
		case <-stop:
			return ends, peak
		case <-time.After(10 * time.Millisecond):
		}
		rss := residentBytes(n.cmd.Process.Pid)
		peak = max(peak, rss)
		if rss <= memoryLimit {
			continue
		}
		ends++
		rec.event("platform: %s uses %d MB, over its %d MB: killed (end %d)", n.name, rss>>20, memoryLimit>>20, ends)
		n.kill()
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			rec.event("platform: %s did not start: %v", n.name, err)
			return ends, peak
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if value, ok := strings.CutPrefix(sc.Text(), "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// judgeEnds checks the fault "processes end by themselves three times".
func judgeEnds(rec *record, nodes []*node, ends []int, peaks []int64) (broken bool) {
	machines := 0
	text := ""
	for i, n := range nodes {
		if ends[i] >= endsPerMachine {
			machines++
		}
		text += fmt.Sprintf("; %s ended %d times, peak %d MB", n.name, ends[i], peaks[i]>>20)
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	unanswered := 0
	for _, status := range rec.answers {
		if status == 0 {
			unanswered++
		}
	}
	summary := fmt.Sprintf("%d requests, %d without an answer%s", len(rec.answers), unanswered, text)
	rec.eventLocked("%s", summary)
	fmt.Println(summary)
	return machines >= machinesAtLeast
}

// disruptionShare returns the share of the answers that are spoiled now.
func (p plan) disruptionShare(trafficStart *atomic.Pointer[time.Time], trouble bool) func() float64 {
	return func() float64 {
		at := trafficStart.Load()
		if at == nil || !trouble {
			return 0
		}
		for _, from := range p.starts {
			if since := time.Since(*at); since >= from && since < from+p.disruptionTime {
				return p.share
			}
		}
		return 0
	}
}

// isSpoiled draws whether an answer is spoiled.
func isSpoiled(share func() float64) bool { return share != nil && rand.Float64() < share() }
