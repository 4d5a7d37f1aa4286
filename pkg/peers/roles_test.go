package peers

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/membership"
)

// BenchmarkAssignRoles measures what each instance of a fleet does 10 times a second.
func BenchmarkAssignRoles(b *testing.B) {
	for _, n := range []int{8, 60, 195} {
		var all []membership.Member
		for i := range n {
			all = append(all, membership.Member{Name: fmt.Sprintf("instance-%d", i), Zone: fmt.Sprint("zone-", i%3), Capacity: uint32(19 + i%2*60)})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				assignRoles(all[0], all[1:], neverAvoided)
			}
		})
		b.Run(fmt.Sprint(n, " unchanged"), func(b *testing.B) {
			var d roleAssigner
			for range b.N {
				d.assign(all[0], all[1:], neverAvoided)
			}
		})
	}
}

// Guards against cached roles that remain after members, addresses or avoided peers have changed.
func TestRolesAreReassignedWhenInputsChange(t *testing.T) {
	all := append(newMembers("x", 19, 80, 19, 80, 19, 19), newMembers("y", 19, 40, 19)...)
	rng := rand.New(rand.NewPCG(1, 1))
	var d roleAssigner
	avoided := map[string]bool{}
	for range 2000 {
		m := &all[1+rng.IntN(len(all)-1)]
		switch rng.IntN(6) {
		case 0:
			m.Status = []membership.Status{membership.Alive, membership.Suspect, membership.Dead}[rng.IntN(3)]
		case 1:
			m.Capacity = uint32(10 + 10*rng.IntN(4))
		case 2:
			m.Addr = fmt.Sprint("10.0.0.", rng.IntN(3))
		case 3:
			avoided[m.Name] = !avoided[m.Name]
		case 4:
			m.Incarnation++
		}
		avoid := func(m membership.Member) bool { return avoided[m.Name] }
		got, want := d.assign(all[0], all[1:], avoid), assignRoles(all[0], all[1:], avoid)
		for _, r := range []*roles{&got, &want} {
			for _, list := range append(slices.Collect(maps.Values(r.batchers)), r.gatherers, r.ahead, r.behind, r.remoteReaders, r.keepers) {
				for i := range list {
					list[i].Incarnation = 0
				}
			}
		}
		require.Equal(t, want, got)
	}
}
