package demo

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// requestsReceived returns the number of leaf requests that the backend servers of a zone
// have received.
func (s *session) requestsReceived(zone string) uint64 {
	var n uint64
	for _, b := range s.c.Layout.Backends {
		if b.Zone == zone {
			n += s.c.Backends[b.Name].Received()
		}
	}
	return n
}

// Guards against searches that reach the backend servers of an evacuated zone, and against
// a zone that receives none after it is readmitted. A patch that evacuates an unknown zone
// must be refused.
func TestEvacuatedZoneReceivesNoRequests(t *testing.T) {
	s := newSession(t, Lipovec)
	zone, entry := s.c.Layout.Backends[0].Zone, s.c.EntryNames()[0]
	q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: "flange", TimeoutMs: 300}
	search := func() {
		for range 10 {
			require.Equal(t, errcode.OK, s.sendSearch(entry, q).Code)
		}
	}
	search()
	require.Positive(t, s.requestsReceived(zone))
	s.applyPatch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpEvacuate, Zone: zone}}})
	before := s.requestsReceived(zone)
	search()
	require.Equal(t, before, s.requestsReceived(zone))
	_, err := s.c.Platform.Submit(topology.Patch{BaseVersion: 2, Ops: []topology.Op{{Kind: topology.OpEvacuate, Zone: "no-such-zone"}}})
	require.Error(t, err)
	s.applyPatch(topology.Patch{BaseVersion: 2, Ops: []topology.Op{{Kind: topology.OpReadmit, Zone: zone}}})
	search()
	require.Greater(t, s.requestsReceived(zone), before)
}
