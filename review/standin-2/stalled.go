package main

import (
	"net/http"
	"sync"
	"time"
)

// Case "stalled": clients that read their answers slowly.
const (
	stalledClients = 30
	stalledBytes   = 1 << 20
	stalledPause   = 4 * time.Second
	stalledTimeout = 10 * time.Second
	stalledBuffer  = 64 << 10
)

// runStalled sends two requests on each of some kept connections. The first answer is read at once.
// With trouble, the clients read nothing for stalledPause in the middle of the second one.
func runStalled(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.addLeafs("console", 7, 4, 50*time.Millisecond, make([]byte, stalledBytes), siteZones...); err != nil {
		return false, err
	}
	f.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "fetch", "host": "a.example", "prefix": "/fetch/", "type": "safe", "backend": "console",
			"timeoutMs": 10000, "targetLatencyMs": 600, "priority": 2, "maxAttempts": 2,
		}},
		"backends": []any{map[string]any{"name": "console", "healthPath": "/health", "maxConnections": 42}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := f.addInstances(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	lost, served, refused := 0, 0, 0
	var wg sync.WaitGroup
	for n := range stalledClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dial(clientName(n), f.nodes[0].callers(), stalledBuffer, f.rec)
			if err != nil {
				f.rec.add("client %d: %v", n, err)
				return
			}
			defer c.close()
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			for k := range 2 {
				pause := time.Duration(0)
				if k == 1 {
					time.Sleep(2 * time.Second)
					if trouble {
						pause = stalledPause
					}
				}
				sent := time.Now()
				id, err := c.send("a.example", "/fetch/x", stalledTimeout, "")
				if err != nil {
					return
				}
				a := c.receive(id, sent, stalledTimeout, pause)
				mu.Lock()
				switch {
				case a.err != nil && k > 0 && f.ran(id) > 0:
					lost++
				case a.err == nil && a.status == http.StatusOK && a.bytes == stalledBytes:
					served++
				default:
					refused++
				}
				mu.Unlock()
				if a.err != nil {
					return
				}
			}
		}()
	}
	wg.Wait()
	f.rec.say("served in full %d, refused or failed %d, run by a leaf and cut off on a kept connection %d (more than 3 break LOST)", served, refused, lost)
	return lost > 3, nil
}
