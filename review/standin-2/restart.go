package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case "restart": one instance is killed and started again.
const (
	restartClients = 40
	restartTimeout = 5 * time.Second
	// restartDown is how long the instance is away. The platform misses no two readiness checks and
	// goes on forwarding connections to it.
	restartDown = 300 * time.Millisecond
	// restartAge is the time from a client's first request to its second one. It is longer than
	// contactMs, so that the instance is in touch again, and than configApplyMs.
	restartAge = 6 * time.Second
	// restartSpacing is the time between the second requests of two clients.
	restartSpacing = 20 * time.Millisecond
	// reconnectInterval is the time between two attempts of a client to connect.
	reconnectInterval = 5 * time.Millisecond
)

// runRestart kills an instance. Its clients connect again as soon as it listens, and keep their
// connections. Later each of them sends a request whose header needs the published limit of 32 KiB.
func runRestart(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.addLeafs("console", 7, 4, 5*time.Millisecond, make([]byte, 3000), siteZones...); err != nil {
		return false, err
	}
	f.store.put("op/config", limitsConfig(7, 32768))
	if err := f.addInstances(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	killed := f.nodes[0]
	if trouble {
		killed.signal(syscall.SIGKILL)
		<-killed.exited
		f.rec.say("%s is killed", killed.name)
		time.Sleep(restartDown)
		if err := f.start(killed); err != nil {
			return false, err
		}
		f.rec.say("%s is started again", killed.name)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	first, later := map[string]int{}, map[string]int{}
	cookie := "Cookie: session=" + strings.Repeat("x", 20<<10) + "\r\n"
	for n := range restartClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := dialUntil(clientName(n), killed.callers(), f.rec)
			if c == nil {
				return
			}
			defer c.close()
			ask := func(statuses map[string]int, extra string) {
				sent := time.Now()
				id, err := c.send("a.example", "/fetch/x", restartTimeout, extra)
				if err != nil {
					return
				}
				a := c.receive(id, sent, restartTimeout, 0)
				mu.Lock()
				defer mu.Unlock()
				statuses[fmt.Sprint(a.status)]++
			}
			ask(first, "")
			time.Sleep(restartAge + time.Duration(n)*restartSpacing)
			ask(later, cookie)
		}()
	}
	wg.Wait()
	f.rec.say("first requests, without the cookie: %v", first)
	f.rec.say("%v later, with a header of 20 KB: %v", restartAge, later)
	denied := later[fmt.Sprint(http.StatusRequestHeaderFieldsTooLarge)]
	all := 2 * restartClients
	f.rec.say("refused for good with 431: %d of %d requests (more than 5 and one in 500 break DENIED)", denied, all)
	return float64(denied) > 5+float64(all)/500, nil
}

// dialUntil connects a client as soon as the instance listens, or returns nil after 5 s.
func dialUntil(name, addr string, rec *record) *client {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(reconnectInterval) {
		if c, err := dial(name, addr, 0, rec); err == nil {
			return c
		}
	}
	return nil
}
