package peers

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/membership"
	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// Guards against leafs that crash because the instance that runs a query does not know yet that the
// request is quarantined. A peer in another zone that knows it must not send it to its leafs.
func TestPeerRefusesQuarantinedRequests(t *testing.T) {
	b := newServerFixture(t, func(_ context.Context, call gateway.LeafCall) gateway.LeafReply { return successReply(call) })
	table := quarantine.NewTable()
	b.server.SetQuarantine(table)
	m := newTestBatch(time.Second, leafCalls("a", "b"))
	table.Merge(quarantine.Report{Key: textCodec{}.Key(m.Request.Content), CrashIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, time.Now())
	got := make(replySink, 4)
	_, ok := b.conn.sendBatch(m, got.take)
	require.True(t, ok)
	for seen := 0; seen < 2; {
		for _, r := range <-got {
			require.Equal(t, replica.PeerRefused, r.Reply.Outcome)
			seen++
		}
	}
	require.Empty(t, b.leafs.calls())
}

// The crash of a leaf during a call through a peer is reported to the instance that runs the query.
func TestLeafCrashIsReportedThroughPeer(t *testing.T) {
	b := newServerFixture(t, func(context.Context, gateway.LeafCall) gateway.LeafReply {
		return gateway.LeafReply{Outcome: replica.LeafCrashed}
	})
	got := make(replySink, 4)
	_, ok := b.conn.sendBatch(newTestBatch(time.Second, leafCalls("a")), got.take)
	require.True(t, ok)
	require.Equal(t, replica.LeafCrashed, (<-got)[0].Reply.Outcome)
}

// Guards against a request that crashes leafs at one instance after the other. The crashes seen by
// one instance once waited for the next tick of its membership, up to 100 ms, and the caller's retry
// at the next instance arrived sooner: it was sent to a leaf of every shard, or tried once more.
func TestCrashesAreSentWithoutWaitingForTick(t *testing.T) {
	sender, receiver := newAgent(t, "n1"), newAgent(t, "n2")
	sender.members.Receive(membership.Message{Kind: membership.Gossip, From: receiver.self}, time.Now())
	go receiver.receive()
	go sender.shareQuarantine(time.Hour)
	k := quarantine.KeyOf("deadly")
	sender.quarantine.RecordLeafCrash(k, "a1", "l1", "s1", time.Now(), time.Now())
	sender.quarantine.RecordLeafCrash(k, "a1", "l2", "s2", time.Now(), time.Now())
	becomes := func(v quarantine.Verdict) {
		require.Eventually(t, func() bool { return receiver.quarantine.Verdict(k, time.Now()) == v }, 10*time.Second, time.Millisecond)
	}
	becomes(quarantine.Suspect)
	sender.quarantine.RecordTrial(k, quarantine.LeafCrashed, time.Now())
	becomes(quarantine.Quarantined)
}

// Guards against an instance that serves callers for a second after its start without knowing which
// requests crash leafs. The answer to its first message held no reports; they came with later gossip,
// a few in each message.
func TestStartedInstanceLearnsQuarantineFromFirstAnswer(t *testing.T) {
	old, now := newAgent(t, "n1"), time.Now()
	old.quarantine.StartProbation(10*time.Second, now.Add(-time.Hour))
	keys := make([]quarantine.Key, 20)
	for i := range keys {
		keys[i] = quarantine.KeyOf("deadly", strconv.Itoa(i))
		old.quarantine.Merge(quarantine.Report{Key: keys[i], CrashIDs: []uint64{1, 2, 3}, RemainingMs: 60000}, now)
	}
	go old.receive()
	for _, kind := range []membership.Kind{membership.Join, membership.Ping, membership.Join} {
		started := newAgent(t, "n2") // Started again each time.
		go started.receive()
		started.sendPacket(old.self.Addr, packet{Message: membership.Message{Kind: kind, From: started.self}})
		require.Eventually(t, func() bool {
			return started.quarantine.Count(quarantine.Quarantined, now) == len(keys)
		}, 10*time.Second, time.Millisecond)
	}
}

// Guards against reports that are lost because their message is larger than a receiver accepts: twelve
// requests with service names of sixty bytes and more did not fit into a datagram.
func TestReportsWithLongServiceNamesArrive(t *testing.T) {
	sender, receiver := newAgent(t, "n1"), newAgent(t, "n2")
	go receiver.receive()
	now := time.Now()
	var reports []quarantine.Report
	for i := range maxReportsPerMessage {
		reports = append(reports, quarantine.Report{
			Key: quarantine.KeyOf(strconv.Itoa(i)), CrashIDs: []uint64{1 << 60, 2 << 60, 3 << 60, 4 << 60},
			Service: strings.Repeat("s", 128), RemainingMs: 60000, ClaimID: 1 << 62,
		})
	}
	sender.sendPacket(receiver.self.Addr, packet{Message: membership.Message{From: sender.self}, Requests: reports})
	require.Eventually(t, func() bool {
		return receiver.quarantine.Count(quarantine.Quarantined, now) == len(reports)
	}, 10*time.Second, time.Millisecond)
}

// The answer to the first message of an instance ends its probation if all that the sender knows is
// in it.
func TestFirstAnswerEndsProbation(t *testing.T) {
	old, started, now := newAgent(t, "n1"), newAgent(t, "n2"), time.Now()
	old.quarantine.StartProbation(10*time.Second, now.Add(-time.Hour))
	started.quarantine.StartProbation(10*time.Second, now)
	k := quarantine.KeyOf("any")
	require.True(t, started.quarantine.Admit(k, now).Unproven)
	go old.receive()
	go started.receive()
	started.sendPacket(old.self.Addr, packet{Message: membership.Message{Kind: membership.Join, From: started.self}})
	require.Eventually(t, func() bool { return !started.quarantine.Admit(k, now).Unproven }, 10*time.Second, time.Millisecond)
}

// newAgent returns an agent on a loopback port that shares a quarantine table and is not running.
func newAgent(t *testing.T, name string) *Peers {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	self := membership.Member{Name: name, Zone: "z1", Addr: udp.LocalAddr().String(), Incarnation: 1}
	p := New(self, nil, udp, textCodec{}, discardLog())
	p.EnableQuarantineSharing(quarantine.NewTable())
	t.Cleanup(p.Close)
	return p
}
