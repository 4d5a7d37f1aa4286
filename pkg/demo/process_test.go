package demo

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"github.com/indigoyoke/indigoyoke/pkg/caller"
	"github.com/indigoyoke/indigoyoke/pkg/entry"
	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// entryProcess is an entry instance that runs as a child process beside the session's
// in-process cluster, so that it can be suspended with a signal.
type entryProcess struct {
	t    *testing.T
	cmd  *exec.Cmd
	addr string
}

// startEntryProcess builds the yoke command and starts it as an entry instance that uses
// the session's platform.
func (s *session) startEntryProcess(entrySettings settings.Entry) *entryProcess {
	dir := s.t.TempDir()
	bin := filepath.Join(dir, "yoke")
	build := exec.Command("go", "build", "-o", bin, "github.com/indigoyoke/indigoyoke/cmd/yoke")
	out, err := build.CombinedOutput()
	require.NoError(s.t, err, string(out))
	entrySettings.Listen, entrySettings.Platform = freeAddr(s.t), s.c.Platform.Addr()
	raw, err := yaml.Marshal(entrySettings)
	require.NoError(s.t, err)
	config := filepath.Join(dir, "entry.yaml")
	require.NoError(s.t, os.WriteFile(config, raw, 0o644))
	p := &entryProcess{t: s.t, cmd: exec.Command(bin, "serve", "--config", config), addr: entrySettings.Listen}
	require.NoError(s.t, p.cmd.Start())
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

// freeAddr returns a loopback address with a port that is free at the moment.
func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// freeze suspends the process and waits until each of its threads has stopped, because a
// running thread can continue for a moment after the signal.
func (p *entryProcess) freeze() {
	p.signal(syscall.SIGSTOP)
	tasks := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "task", "*", "stat")
	require.Eventually(p.t, func() bool {
		stats, err := filepath.Glob(tasks)
		require.NoError(p.t, err)
		for _, path := range stats {
			raw, err := os.ReadFile(path)
			if err != nil || !strings.Contains(string(raw), ") T ") {
				return false
			}
		}
		return len(stats) > 0
	}, 10*time.Second, time.Millisecond)
}

func (p *entryProcess) signal(sig syscall.Signal) {
	require.NoError(p.t, p.cmd.Process.Signal(sig))
}

// searchUntilServed repeats a search until it succeeds. It returns the answer and the codes
// of the refusals before it.
func (p *entryProcess) searchUntilServed(q wire.SearchRequest) (wire.Answer, []errcode.Code) {
	cl, err := caller.New("cad-viewer", "cad-viewer-key")
	require.NoError(p.t, err)
	var refused []errcode.Code
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		a, err := cl.Search(context.Background(), p.addr, q)
		if err == nil && a.Code == errcode.OK {
			return a, refused
		}
		if err == nil {
			refused = append(refused, a.Code)
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatal("entry process did not answer a search successfully within 10 s")
	return wire.Answer{}, nil
}

// Guards against an entry instance that resumes after a long pause and then runs a hold
// whose caller has given up, or answers searches from the configuration before the pause.
// The hold waits in the socket buffer, and its timeout starts only when it is read; the new
// configuration arrives only with the next watch. An entry process is suspended (SIGSTOP),
// a caller sends it a hold and disconnects after 300 ms, snapshot 2 is put in force on the
// other entry instances, and the process is resumed (SIGCONT) and searched immediately.
func TestResumedEntryDropsExpiredRequestsAndOldConfig(t *testing.T) {
	s := newSession(t, Lipovec)
	dep := DeploymentName(Lipovec)
	q := wire.SearchRequest{Deployment: dep, Index: "viewer-api", Text: "PN", Limit: 1, TimeoutMs: 300}
	h := wire.HoldRequest{Deployment: dep, Index: "viewer-api", Shard: "s01", Item: "PN-s01-100", IdempotencyKey: "order-frozen-1", TimeoutMs: 300}
	p := s.startEntryProcess(settings.Entry{Name: "lj-a-entry-9", Zone: "lj-a"})
	a, _ := p.searchUntilServed(q)
	require.Equal(t, int64(1), a.Snapshot)
	s.note("lj-a-entry-9, a process of its own, serves snapshot 1; it is frozen")
	p.freeze()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err := s.sendAndLeave(ctx, p.addr, entry.PathHold, "bom-panel", "bom-panel-key", h)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	s.note("a caller sends it a hold and leaves after 300 ms without an answer")
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpSetSnapshot, Deployment: dep, Index: "viewer-api", Snapshot: 2}}})
	time.Sleep(3 * time.Second)
	p.signal(syscall.SIGCONT)
	a, refused := p.searchUntilServed(q)
	for _, code := range refused {
		require.True(t, code.NotRun(), "refused with %s", code)
	}
	s.note("woken: every search until the first answer was refused unrun; first answer drawn from snapshot %d", a.Snapshot)
	require.Equal(t, int64(2), a.Snapshot, "the answer comes from the configuration before the pause")
	time.Sleep(500 * time.Millisecond)
	s.note("holds executed after the wake-up: %d", s.holdsExecuted())
	require.Zero(t, s.holdsExecuted(), "a hold ran after its caller had disconnected")
	s.recordHold("lj-b-entry-1", "bom-panel", "bom-panel-key", h)
	require.Equal(t, uint64(1), s.holdsExecuted())
	s.note("the caller's retry through lj-b: holds executed: %d", s.holdsExecuted())
	s.requireGolden("frozen-entry")
}
