package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
)

// newSender returns a relay that only shares the changes of its quarantine table, at once and never
// a second time.
func newSender(t *testing.T, peers ...string) *Relay {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{Listen: "127.0.0.1:0", Peers: peers, Secret: testSecret, Interval: time.Hour}
	r, err := New(o, &memoryStore{}, quarantine.NewTable(), metrics.NewSet(), logrus.NewEntry(log))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r.wg.Go(func() { r.shareQuarantine(ctx, time.Hour) })
	t.Cleanup(func() {
		cancel()
		r.wg.Wait()
		r.dialer.closeAll()
		_ = r.listener.Close()
		_ = r.transport.Close()
		_ = r.transport.Conn.Close()
	})
	return r
}

// recordCrashes records that n leafs crashed while they had a request.
func recordCrashes(r *Relay, k quarantine.Key, attempt string, n int) {
	now := time.Now()
	for range n {
		now = now.Add(time.Millisecond)
		r.quarantine.RecordLeafCrash(k, attempt, "leaf-"+now.String(), "s", now, now)
	}
}

func becomesSuspect(t *testing.T, r *Relay, k quarantine.Key) {
	require.Eventually(t, func() bool { return r.quarantine.Verdict(k, time.Now()) == quarantine.Suspect }, 10*time.Second, time.Millisecond)
}

// Guards against a request that crashes leafs at one entry instance after the other. The crashes
// seen by one instance once waited for its next poll, up to 20 ms, and the caller's retry at the
// next instance arrived sooner.
func TestCrashesAreSentWithoutWaitingForPoll(t *testing.T) {
	receiver, _ := startRelay(t, testSecret, 1)
	sender := newSender(t, receiver.Addr())
	k := quarantine.KeyOf("deadly")
	recordCrashes(sender, k, "a1", 2)
	becomesSuspect(t, receiver, k)
}

// Guards against an unreachable peer that delays reports to the others until its exchange times
// out.
func TestUnreachablePeerDoesNotDelayCrashReports(t *testing.T) {
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	receiver, _ := startRelay(t, testSecret, 1)
	sender := newSender(t, silent.LocalAddr().String(), receiver.Addr())
	for _, name := range []string{"first", "second", "third"} {
		k := quarantine.KeyOf(name)
		recordCrashes(sender, k, "a1", 2)
		becomesSuspect(t, receiver, k)
	}
	require.Zero(t, sender.queriesFailed.Get(), "a report waited for the exchange with the unreachable peer")
}
