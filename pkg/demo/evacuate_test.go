package demo

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// received is how many requests the backend servers of a zone have got.
func (s *session) received(zone string) uint64 {
	var n uint64
	for _, b := range s.c.Layout.Backends {
		if b.Zone == zone {
			n += s.c.Backends[b.Name].Received()
		}
	}
	return n
}

// TestEvacuatedZoneOfAnInstallationGetsNothing guards against searches that reach the backend
// servers of a zone that the operator evacuates, and against one that gets none when it is back.
func TestEvacuatedZoneOfAnInstallationGetsNothing(t *testing.T) {
	s := newSession(t, Lipovec)
	zone, entry := s.c.Layout.Backends[0].Zone, s.c.EntryNames()[0]
	q := wire.SearchRequest{Deployment: DeploymentName(Lipovec), Index: "viewer-api", Text: "flange", TimeoutMs: 300}
	search := func() {
		for range 10 {
			require.Equal(t, errcode.OK, s.quietSearch(entry, q).Code)
		}
	}
	search()
	require.Positive(t, s.received(zone))
	s.patch(topology.Patch{BaseVersion: 1, Ops: []topology.Op{{Kind: topology.OpEvacuate, Zone: zone}}})
	before := s.received(zone)
	search()
	require.Equal(t, before, s.received(zone))
	_, err := s.c.Platform.Submit(topology.Patch{BaseVersion: 2, Ops: []topology.Op{{Kind: topology.OpEvacuate, Zone: "no-such-zone"}}})
	require.Error(t, err)
	s.patch(topology.Patch{BaseVersion: 2, Ops: []topology.Op{{Kind: topology.OpReadmit, Zone: zone}}})
	search()
	require.Greater(t, s.received(zone), before)
}
