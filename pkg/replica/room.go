package replica

import (
	"slices"
	"time"
)

// RoomFunc reports whether a leaf has room for another request. record is the number of the leaf's
// record, and slots the number of requests that the leaf runs at the same time, 0 if unknown.
//
// A record belongs to one incarnation of a leaf: a leaf that restarts, or is removed and listed
// again, gets a new number even if its ID is the same. State that is kept by this number therefore
// never outlives the process that it describes.
type RoomFunc func(record uint64, slots int) bool

// PlaceWithRoom is like Place, but passes over the leafs for which hasRoom returns false. It calls
// hasRoom only for leafs that could get the request otherwise, so that AllBusy means that some
// leaf is usable but has no room, and NoLeaf and AllDown mean that waiting for room is pointless.
// hasRoom must not call the table.
func (t *Table) PlaceWithRoom(
	serviceName, className string, tried []string, hasRoom RoomFunc, now time.Time,
) (Placement, PlaceResult) {
	return t.place(serviceName, className, now, func(id string) bool { return !slices.Contains(tried, id) }, hasRoom)
}
