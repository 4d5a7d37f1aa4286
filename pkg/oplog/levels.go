package oplog

import "github.com/sirupsen/logrus"

// Level is the severity of a line.
type Level = logrus.Level

// ParseLevel parses a level of the settings: debug, info, warn or error.
func ParseLevel(text string) (Level, error) { return logrus.ParseLevel(text) }

// eventLevels holds the levels of all events whose level is not info. A warning reports a lost
// dependency, an unreadable message, or a request that started but got no answer; an error
// requires an operator to act.
var eventLevels = map[string]Level{
	"second_request":   logrus.DebugLevel,
	"leaf_call_failed": logrus.DebugLevel,
	"caller_left":      logrus.DebugLevel,
	"query_asked":      logrus.DebugLevel,
	"single_queued":    logrus.DebugLevel,
	"peer_connected":   logrus.DebugLevel,

	"request_handed_off": logrus.DebugLevel,
	"request_granted":    logrus.DebugLevel,

	"store_lost":                logrus.WarnLevel,
	"store_history_gone":        logrus.WarnLevel,
	"store_restored":            logrus.WarnLevel,
	"store_era_changed":         logrus.WarnLevel,
	"store_behind_feed":         logrus.WarnLevel,
	"store_feed_contradicted":   logrus.WarnLevel,
	"store_entry_unreadable":    logrus.WarnLevel,
	"feed_page_refused":         logrus.WarnLevel,
	"zone_lost":                 logrus.WarnLevel,
	"isolated":                  logrus.WarnLevel,
	"leaf_down":                 logrus.WarnLevel,
	"leaf_ended":                logrus.WarnLevel,
	"leaf_keep_alive_malformed": logrus.WarnLevel,
	"deadline_malformed":        logrus.WarnLevel,
	"member_suspect":            logrus.WarnLevel,
	"member_dead":               logrus.WarnLevel,
	"member_message_malformed":  logrus.WarnLevel,
	"member_message_failed":     logrus.WarnLevel,
	"peer_lost":                 logrus.WarnLevel,
	"peer_silent":               logrus.WarnLevel,
	"peer_unreached":            logrus.WarnLevel,
	"peer_connection_ended":     logrus.WarnLevel,
	"peer_accept_failed":        logrus.WarnLevel,
	"peer_connections_too_many": logrus.WarnLevel,
	"gatherer_lost":             logrus.WarnLevel,
	"query_taken_back":          logrus.WarnLevel,
	"query_taken_late":          logrus.WarnLevel,
	"query_not_granted":         logrus.WarnLevel,
	"request_taken_back":        logrus.WarnLevel,
	"request_taken_late":        logrus.WarnLevel,
	"request_not_granted":       logrus.WarnLevel,
	"request_peer_lost":         logrus.WarnLevel,
	"request_ended_elsewhere":   logrus.WarnLevel,
	"request_failed":            logrus.WarnLevel,
	"caller_stalled":            logrus.WarnLevel,
	"request_suspect":           logrus.WarnLevel,
	"route_rank_invalid":        logrus.WarnLevel,
	"query_given_up":            logrus.WarnLevel,
	"query_failed":              logrus.WarnLevel,
	"query_ended_elsewhere":     logrus.WarnLevel,

	"request_quarantined":      logrus.ErrorLevel,
	"reload_failed":            logrus.ErrorLevel,
	"settings_file_unreadable": logrus.ErrorLevel,
	"status_server_ended":      logrus.ErrorLevel,
}

// levelOf returns the level of an event.
func levelOf(event string) Level {
	if l, ok := eventLevels[event]; ok {
		return l
	}
	return logrus.InfoLevel
}
