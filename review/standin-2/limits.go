package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Case "limits": a configuration that raises the limit of the request header.
const (
	limitsClients = 40
	limitsTimeout = 5 * time.Second
)

func limitsConfig(version, headerBytes int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "fetch", "host": "a.example", "prefix": "/fetch/", "type": "safe", "backend": "console",
			"timeoutMs": 10000, "targetLatencyMs": 600, "priority": 2, "maxAttempts": 2,
		}},
		"backends": []any{map[string]any{"name": "console", "healthPath": "/health", "maxConnections": 42}},
		"limits":   map[string]any{"maxHeaderBytes": headerBytes, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// runLimits keeps connections open across a configuration that raises maxHeaderBytes. Later than
// configApplyMs after it, each client sends a request whose header needs the new limit.
func runLimits(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.addLeafs("console", 7, 4, 5*time.Millisecond, make([]byte, 3000), siteZones...); err != nil {
		return false, err
	}
	first := 16384
	if !trouble {
		first = 32768
	}
	f.store.put("op/config", limitsConfig(7, first))
	if err := f.addInstances(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var clients []*client
	statuses := map[string]int{}
	request := func(c *client, extra string) {
		sent := time.Now()
		id, err := c.send("a.example", "/fetch/x", limitsTimeout, extra)
		if err != nil {
			statuses["not sent"]++
			return
		}
		a := c.receive(id, sent, limitsTimeout, 0)
		statuses[fmt.Sprintf("%d", a.status)]++
	}
	for n := range limitsClients {
		c, err := dial(clientName(n), f.nodes[n%len(f.nodes)].callers(), 0, f.rec)
		if err != nil {
			return false, err
		}
		defer c.close()
		clients = append(clients, c)
		request(c, "")
	}
	f.rec.say("before the change: %v", statuses)
	if trouble {
		f.store.put("op/config", limitsConfig(9, 32768))
		f.rec.say("version 9 with maxHeaderBytes 32768 is confirmed")
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		for _, c := range clients {
			request(c, "")
		}
	}
	statuses = map[string]int{}
	cookie := "Cookie: session=" + strings.Repeat("x", 20<<10) + "\r\n"
	for _, c := range clients {
		request(c, cookie)
	}
	f.rec.say("6 s after the change, with a header of 20 KB: %v", statuses)
	denied := statuses[fmt.Sprint(http.StatusRequestHeaderFieldsTooLarge)]
	all := limitsClients * 8
	f.rec.say("refused for good with 431: %d of %d requests (more than 5 and one in 500 break DENIED)", denied, all)
	return float64(denied) > 5+float64(all)/500, nil
}
