package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: the entry instances as processes of their own, and stand-ins of the
// store and the leafs in this process.
type fleet struct {
	rec    *record
	dir    string
	binary string
	net    string
	store  *store
	nodes  []*instance
	leafs  []*leaf
}

// instance is one entry instance.
type instance struct {
	name, zone, ip string
	settings       string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// The ports of every instance; each has a loopback address of its own.
const (
	callersPort   = 8104
	controlPort   = 8106
	readinessPort = 8108
	peersPort     = 7380
	metricsPort   = 9464
)

// newFleet finds free loopback addresses and starts the store.
func newFleet(rec *record, binary string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, binary: binary, net: freeNet()}
	f.store, err = newStore(f.net + "200")
	return f, err
}

// maxHosts is the maximum number of instances of a fleet.
const maxHosts = 9

// freeNet returns the first three bytes of loopback addresses on which the instances' ports are
// free.
func freeNet() string {
	for {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if portsFree(prefix) {
			return prefix
		}
	}
}

func portsFree(prefix string) bool {
	for host := 1; host <= maxHosts; host++ {
		for _, port := range []int{callersPort, controlPort, readinessPort, peersPort, metricsPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, host, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// addLeafs starts n leafs of a service, in turn in each of the zones, and registers them.
func (f *fleet) addLeafs(service string, n, slots int, work time.Duration, body []byte, zones ...string) error {
	for i := range n {
		l, err := newLeaf(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], f.net+"201", slots, work, body, f.rec)
		if err != nil {
			return err
		}
		f.leafs = append(f.leafs, l)
		f.store.put("servers/"+l.id, l.entry("ready"))
	}
	return nil
}

// ran returns how many leafs have begun to run a request.
func (f *fleet) ran(id string) int {
	n := 0
	for _, l := range f.leafs {
		n += l.ran(id)
	}
	return n
}

// addInstances starts the site's instances, in turn in each of its zones, and waits until they are
// ready.
func (f *fleet) addInstances() error {
	for n := range siteMachines {
		if err := f.addInstance(siteZones[n%len(siteZones)]); err != nil {
			return err
		}
	}
	if !f.waitReady(20 * time.Second) {
		return errNotReady
	}
	for _, i := range f.nodes {
		// Only the first start of the whole system is a bootstrap.
		if err := f.writeSettings(i, siteZones, false); err != nil {
			return err
		}
	}
	return nil
}

// addInstance writes the settings of an instance as deploy/node.yaml.tmpl gives them on the small
// deployments, and starts it.
func (f *fleet) addInstance(zone string) error {
	n := len(f.nodes) + 1
	i := &instance{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: f.net + fmt.Sprint(n)}
	i.settings = filepath.Join(f.dir, i.name+".yaml")
	f.nodes = append(f.nodes, i)
	if err := f.writeSettings(i, siteZones, true); err != nil {
		return err
	}
	return f.start(i)
}

func (f *fleet) writeSettings(i *instance, zones []string, firstStart bool) error {
	var regions, quoted []string
	for _, z := range zones {
		regions = append(regions, fmt.Sprintf("%q: \"great-lakes\"", z))
		quoted = append(quoted, fmt.Sprintf("%q", z))
	}
	text := fmt.Sprintf(`name: %q
zone: %q
listen:
  callers: "%s:%d"
  readiness: "%s:%d"
  control: "%s:%d"
  metrics: "%s:%d"
peers:
  listen: "%s:%d"
  seeds: ["%s1:%d","%s2:%d"]
  first_start: %t
machine:
  processor: 0.4
store:
  address: %q
declared:
  contact_ms: 4000
  grace_ms: 6000
  apply_ms: 3000
  drain_ms: 3000
  second_ratio: 0.2
  second_window_ms: 10000
  second_slack: 52
  regions: { %s }
  zones: [%s]
`, i.name, i.zone, i.ip, callersPort, i.ip, readinessPort, i.ip, controlPort, i.ip, metricsPort, i.ip, peersPort,
		f.net, controlPort, f.net, controlPort, firstStart, f.store.addr, strings.Join(regions, ","), strings.Join(quoted, ","))
	return os.WriteFile(i.settings, []byte(text), 0o644)
}

// start starts the process of an instance with the command of the deploy file.
func (f *fleet) start(i *instance) error {
	out, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "INDIGOYOKE_NODE_FILE=" + i.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of an instance.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(sig)
	}
}

func (i *instance) callers() string { return fmt.Sprintf("%s:%d", i.ip, callersPort) }

// ready reports whether the instance answers the platform's readiness check with 200.
func (i *instance) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", i.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready.
func (f *fleet) waitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range f.nodes {
			if i.ready() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return true
		}
	}
	return false
}

// close ends the processes that the fleet started.
func (f *fleet) close() {
	for _, i := range f.nodes {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		if i.exited != nil {
			<-i.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
