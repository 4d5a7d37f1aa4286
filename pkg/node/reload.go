package node

import (
	"os"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// fileWatch detects changes of a file by its modification time and size, because the platform has
// no change notification for files.
type fileWatch struct {
	path string
	time time.Time
	size int64
	log  *oplog.Log
}

func newFileWatch(path string, log *oplog.Log) *fileWatch {
	w := &fileWatch{path: path, log: log}
	w.changed()
	return w
}

// changed reports whether the file differs from the previous call. A file that cannot be
// examined, such as one that is being replaced, counts as unchanged until the next call.
func (w *fileWatch) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		w.log.Decision("settings_file_unreadable", oplog.Fields{"path": w.path, "error": err.Error()})
		return false
	}
	same := info.ModTime().Equal(w.time) && info.Size() == w.size
	w.time, w.size = info.ModTime(), info.Size()
	return !same
}

// reload applies the settings that may change at run time. If the file is invalid, the previous
// settings remain in force.
func (n *Node) reload(reason string) {
	set, err := settings.LoadNode(n.path)
	if err != nil {
		n.log.State("reload_failed", oplog.Fields{"why": reason, "error": err.Error()})
		return
	}
	previous := n.set.Load()
	needsRestart := set.Listen != previous.Listen || set.Store != previous.Store ||
		set.Name != previous.Name || set.Zone != previous.Zone
	n.set.Store(set)
	n.table.SetOptions(tableOptions(set))
	n.gateway.SetOptions(gatewayOptions(set))
	n.front.Backlog().SetLimit(int64(set.Limits.MaxHeldBytes))
	n.gateway.Quarantine().SetMaxDuration(settings.Duration(set.Limits.MaxQuarantineMs), time.Now())
	n.log.State("reloaded", oplog.Fields{
		"why": reason, "needs_restart": needsRestart,
		"priorities": set.Overload.Priorities, "single_queue": set.Overload.SingleQueue, "returns": set.Overload.Returns,
	})
}
