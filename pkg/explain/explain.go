// Package explain reconstructs the history of one request from the logs of
// entry instances, in time order: the decisions about the request, the state
// changes shortly before that concern its leafs, and the lines of other
// requests with the same content.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// contextWindow is how long before the request state changes are included. It is the longest pause
// of a leaf after a failure, and the half-life of the slowness recorded for a leaf.
const contextWindow = 4 * time.Second

// line is one parsed log line.
type line struct {
	at     time.Time
	event  string
	fields map[string]any
}

// maxLineBytes is the maximum size of a log line, which names up to a few hundred shards.
const maxLineBytes = 1 << 20

// Request writes the history of the request with the given ID and returns the
// number of lines that name the request. Lines that are not JSON are skipped,
// and so are prefixes before the first brace, such as those of a log collector.
func Request(id string, logs []io.Reader, w io.Writer) (int, error) {
	lines, err := parseAll(logs)
	if err != nil {
		return 0, err
	}
	var matching []line
	instances, leafs, contents := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.fieldText("request") != id {
			continue
		}
		matching = append(matching, l)
		instances[l.fieldText("instance")] = true
		leafs[l.fieldText("leaf")] = true
		contents[l.fieldText("content")] = true
		if requested, ok := l.fields["leafs"].([]any); ok {
			for _, leaf := range requested {
				leafs[fmt.Sprint(leaf)] = true
			}
		}
	}
	if len(matching) == 0 {
		return 0, nil
	}
	first, last := matching[0].at, matching[len(matching)-1].at
	for _, l := range lines {
		if l.fieldText("request") == id {
			writeLine(w, l, "")
			continue
		}
		if content := l.fieldText("content"); content != "" && contents[content] {
			writeLine(w, l, "  (same content) ")
			continue
		}
		recent := !l.at.Before(first.Add(-contextWindow)) && !l.at.After(last)
		if recent && instances[l.fieldText("instance")] && l.concerns(leafs) {
			writeLine(w, l, "  (before) ")
		}
	}
	writeExcessRequests(w, matching)
	return len(matching), nil
}

// writeExcessRequests reports the shards that were sent to more leafs than their route allows,
// counted over all instances that ran the request.
func writeExcessRequests(w io.Writer, matching []line) {
	// sentBy holds the instance that sent the request, by shard and leaf.
	sentBy := map[string]map[string]string{}
	allowed := 0.0
	for _, l := range matching {
		maxAttempts, _ := l.fields["max_attempts"].(float64)
		allowed = max(allowed, maxAttempts)
		shards, _ := l.fields["asked"].(map[string]any)
		for shard, leafs := range shards {
			if sentBy[shard] == nil {
				sentBy[shard] = map[string]string{}
			}
			list, _ := leafs.([]any)
			for _, leaf := range list {
				sentBy[shard][fmt.Sprint(leaf)] = l.fieldText("instance")
			}
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(sentBy)) {
		if len(sentBy[shard]) <= int(allowed) {
			continue
		}
		var senders []string
		for _, leaf := range slices.Sorted(maps.Keys(sentBy[shard])) {
			senders = append(senders, leaf+" by "+sentBy[shard][leaf])
		}
		fmt.Fprintf(w, "shard %s was sent to %d leafs of %d that its route allows: %s\n", shard, len(senders), int(allowed), strings.Join(senders, ", "))
	}
}

// concerns reports whether the line is a state change that may have affected a request to the given
// leafs.
func (l line) concerns(leafs map[string]bool) bool {
	if l.fieldText("request") != "" {
		return false
	}
	if leaf := l.fieldText("leaf"); leaf != "" {
		return leafs[leaf]
	}
	return true
}

// fieldText returns a field as text, or "" if it is missing.
func (l line) fieldText(field string) string {
	v, ok := l.fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// parseAll reads all logs and sorts their lines by time.
func parseAll(logs []io.Reader) ([]line, error) {
	var out []line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			if l, ok := parseLine(s.Text()); ok {
				out = append(out, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(out, func(a, b line) int { return a.at.Compare(b.at) })
	return out, nil
}

// parseLine parses one log line and reports whether it is one.
func parseLine(text string) (line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339, fmt.Sprint(fields["time"]))
	event, ok := fields["event"].(string)
	if err != nil || !ok {
		return line{}, false
	}
	return line{at: at, event: event, fields: fields}, true
}

// hiddenFields are the fields that are written at the start of a line, or that
// add nothing to it.
var hiddenFields = map[string]bool{"time": true, "event": true, "level": true, "instance": true, "zone": true, "request": true}

// writeLine writes one log line in readable form.
func writeLine(w io.Writer, l line, prefix string) {
	var rest []string
	for _, name := range slices.SortedFunc(maps.Keys(l.fields), cmp.Compare) {
		if !hiddenFields[name] {
			rest = append(rest, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	fmt.Fprintf(w, "%s%s %s %s %s\n", prefix, l.at.Format("15:04:05.000"), l.fieldText("instance"), l.event, strings.Join(rest, " "))
}
