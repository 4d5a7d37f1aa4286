package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is one process of the system: the command of deploy/system.toml with the settings that
// deploy/node.yaml.tmpl gives on a small deployment.
type node struct {
	name, zone, ip   string
	callers, ready   string
	control, metrics string
	settings, log    string
	store            string
	seeds            []string
	cmd              *exec.Cmd
	logFile          *os.File
}

// freePort returns a port that is free on ip.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// settingsText renders deploy/node.yaml.tmpl for a deployment of three zones.
func (n *node) settingsText(peerPort int) string {
	seeds := ""
	for i, s := range n.seeds {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf(`name: %q
zone: %q
listen:
  callers: %q
  readiness: %q
  control: %q
  metrics: %q
peers:
  listen: "%s:%d"
  seeds: [%s]
  first_start: true
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
  second_slack: 56
  regions: { "za": "r", "zb": "r", "zc": "r" }
  zones: ["za","zb","zc"]
`, n.name, n.zone, n.callers, n.ready, n.control, n.metrics, n.ip, peerPort, seeds, n.store)
}

// zones are the availability zones of the deployment.
var zones = []string{"za", "zb", "zc"}

// newNodes prepares one node in each of three zones, on the loopback addresses 127.0.N.1 to .3.
func newNodes(dir, store string) ([]*node, error) {
	net3 := 20 + os.Getpid()%200
	var ports [5]int
	for i := range ports {
		p, err := freePort(fmt.Sprintf("127.0.%d.1", net3))
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	var nodes []*node
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.%d.%d", net3, i+1)
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		nodes = append(nodes, &node{
			name: "front-" + zone + "-1", zone: zone, ip: ip, store: store,
			callers: at(ports[0]), ready: at(ports[1]), control: at(ports[2]), metrics: at(ports[3]),
			settings: filepath.Join(dir, zone+".yaml"), log: filepath.Join(dir, zone+".log"),
		})
	}
	for _, n := range nodes {
		for _, m := range nodes {
			n.seeds = append(n.seeds, m.control)
		}
		if err := os.WriteFile(n.settings, []byte(n.settingsText(ports[4])), 0o600); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// start starts the process.
func (n *node) start() error {
	f, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.logFile = f
	n.cmd = exec.Command("target/yoke", "node")
	n.cmd.Env = []string{"INDIGOYOKE_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = f, f
	// The process ends with this one, whatever happens.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

// kill ends the process.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill() // It may have ended.
	_ = n.cmd.Wait()
	_ = n.logFile.Close()
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(nodes []*node) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range nodes {
			all = all && n.isReady()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready after 20 s")
}
