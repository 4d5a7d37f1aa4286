package quarantine

import "github.com/indigoyoke/indigoyoke/pkg/oplog"

// Event returns the name of the log event for the change.
func (c VerdictChange) Event() string {
	switch c.To {
	case Suspect:
		return "request_suspect"
	case Quarantined:
		return "request_quarantined"
	}
	return "request_cleared"
}

// Fields returns the fields of the log line for the change.
func (c VerdictChange) Fields() oplog.Fields {
	return oplog.Fields{
		"content": c.Key.String(), "was": c.From.String(), "leafs_ended": c.LeafsCrashed, "service": c.Service,
		"trials": c.Trials, "quarantined_ms": c.QuarantinedFor.Milliseconds(),
	}
}
