package quarantine

import "github.com/indigoyoke/indigoyoke/pkg/oplog"

// Event is the log event of a change.
func (u VerdictChange) Event() string {
	switch u.To {
	case Suspect:
		return "request_suspect"
	case Quarantined:
		return "request_quarantined"
	}
	return "request_cleared"
}

// Fields are those of a log line about a change.
func (u VerdictChange) Fields() oplog.Fields {
	return oplog.Fields{
		"content": u.Key.String(), "was": u.From.String(), "leafs_ended": u.LeafsEnded, "service": u.Service,
		"trials": u.Trials, "quarantined_ms": u.QuarantinedFor.Milliseconds(),
	}
}
