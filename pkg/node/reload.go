package node

import (
	"os"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

// fileWatch notices changes of a file by its time and size: the platform has
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

// changed reports whether the file differs from the last call. A file that cannot
// be looked at, as while it is being replaced, is unchanged until the next call.
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

// reload takes over the settings that may change while running. A file that
// does not check leaves the old ones in force.
func (n *Node) reload(why string) {
	set, err := settings.LoadNode(n.path)
	if err != nil {
		n.log.State("reload_failed", oplog.Fields{"why": why, "error": err.Error()})
		return
	}
	was := n.set.Load()
	needsRestart := set.Listen != was.Listen || set.Store != was.Store || set.Name != was.Name || set.Zone != was.Zone
	n.set.Store(set)
	n.table.SetOptions(tableOptions(set))
	n.gateway.SetOptions(gatewayOptions(set))
	n.gateway.Quarantine().SetMaxDuration(settings.Duration(set.Limits.MaxQuarantineMs), time.Now())
	n.log.State("reloaded", oplog.Fields{"why": why, "needs_restart": needsRestart})
}
