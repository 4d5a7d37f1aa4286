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

// BenchmarkDrawRoles is what each instance of a fleet does ten times a second.
func BenchmarkDrawRoles(b *testing.B) {
	for _, n := range []int{8, 60, 195} {
		var all []membership.Member
		for i := range n {
			all = append(all, membership.Member{Name: fmt.Sprintf("instance-%d", i), Zone: fmt.Sprint("zone-", i%3), Capacity: uint32(19 + i%2*60)})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				drawRoles(all[0], all[1:], never)
			}
		})
		b.Run(fmt.Sprint(n, " unchanged"), func(b *testing.B) {
			var d roleDrawer
			for range b.N {
				d.draw(all[0], all[1:], never)
			}
		})
	}
}

// Guards against: roles that outlive the members, addresses or troubles that they were drawn for.
func TestRolesAreDrawnAnewWhenSomethingChanges(t *testing.T) {
	all := append(members("x", 19, 80, 19, 80, 19, 19), members("y", 19, 40, 19)...)
	rng := rand.New(rand.NewPCG(1, 1))
	var d roleDrawer
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
		got, want := d.draw(all[0], all[1:], avoid), drawRoles(all[0], all[1:], avoid)
		for _, r := range []*roles{&got, &want} {
			for _, list := range append(slices.Collect(maps.Values(r.batchers)), r.gatherers, r.ahead, r.behind, r.far) {
				for i := range list {
					list[i].Incarnation = 0
				}
			}
		}
		require.Equal(t, want, got)
	}
}
