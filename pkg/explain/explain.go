// Package explain tells the story of one request from the logs of entry
// instances: the decisions that name the request, in order, the changes of
// belief shortly before that bear on its leafs, and what other requests with the same
// content met.
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

// contextBefore is how far back changes of belief are told: the longest time
// that a leaf is left alone after a failure, and in which its slowness is half forgotten.
const contextBefore = 4 * time.Second

// line is one parsed log line.
type line struct {
	at     time.Time
	event  string
	fields map[string]any
}

// maxLine bounds a log line; one names up to a few hundred shards.
const maxLine = 1 << 20

// Request writes the story of the request with the given ID. It returns how
// many lines named the request. What is no JSON line is passed over, and so are
// prefixes before the first brace, such as those of a log collector.
func Request(id string, logs []io.Reader, w io.Writer) (int, error) {
	lines, err := parseAll(logs)
	if err != nil {
		return 0, err
	}
	var own []line
	instances, leafs, contents := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.text("request") != id {
			continue
		}
		own = append(own, l)
		instances[l.text("instance")] = true
		leafs[l.text("leaf")] = true
		contents[l.text("content")] = true
		if tried, ok := l.fields["leafs"].([]any); ok {
			for _, leaf := range tried {
				leafs[fmt.Sprint(leaf)] = true
			}
		}
	}
	if len(own) == 0 {
		return 0, nil
	}
	first, last := own[0].at, own[len(own)-1].at
	for _, l := range lines {
		if l.text("request") == id {
			tell(w, l, "")
			continue
		}
		if content := l.text("content"); content != "" && contents[content] {
			tell(w, l, "  (same content) ")
			continue
		}
		near := !l.at.Before(first.Add(-contextBefore)) && !l.at.After(last)
		if near && instances[l.text("instance")] && l.bearsOn(leafs) {
			tell(w, l, "  (before) ")
		}
	}
	tellOver(w, own)
	return len(own), nil
}

// tellOver writes which shards were sent to more leafs than their route allows, over all
// instances that ran the request.
func tellOver(w io.Writer, own []line) {
	asked := map[string]map[string]string{}
	allowed := 0.0
	for _, l := range own {
		most, _ := l.fields["max_attempts"].(float64)
		allowed = max(allowed, most)
		shards, _ := l.fields["asked"].(map[string]any)
		for shard, leafs := range shards {
			if asked[shard] == nil {
				asked[shard] = map[string]string{}
			}
			list, _ := leafs.([]any)
			for _, leaf := range list {
				asked[shard][fmt.Sprint(leaf)] = l.text("instance")
			}
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(asked)) {
		if len(asked[shard]) <= int(allowed) {
			continue
		}
		var by []string
		for _, leaf := range slices.Sorted(maps.Keys(asked[shard])) {
			by = append(by, leaf+" by "+asked[shard][leaf])
		}
		fmt.Fprintf(w, "shard %s was sent to %d leafs of %d that its route allows: %s\n", shard, len(by), int(allowed), strings.Join(by, ", "))
	}
}

// bearsOn reports whether a change of belief may explain the request's fate.
func (l line) bearsOn(leafs map[string]bool) bool {
	if l.text("request") != "" {
		return false
	}
	if leaf := l.text("leaf"); leaf != "" {
		return leafs[leaf]
	}
	return true
}

// text is a field as text, "" when it is missing.
func (l line) text(field string) string {
	v, ok := l.fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// parseAll reads all logs and orders their lines by time.
func parseAll(logs []io.Reader) ([]line, error) {
	var out []line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			if l, ok := parse(s.Text()); ok {
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

// parse reads one line.
func parse(text string) (line, bool) {
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

// shownApart are the fields that stand at the start of a told line, or say
// nothing more.
var shownApart = map[string]bool{"time": true, "event": true, "level": true, "instance": true, "zone": true, "request": true}

// tell writes one line.
func tell(w io.Writer, l line, prefix string) {
	var rest []string
	for _, name := range slices.SortedFunc(maps.Keys(l.fields), cmp.Compare) {
		if !shownApart[name] {
			rest = append(rest, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	fmt.Fprintf(w, "%s%s %s %s %s\n", prefix, l.at.Format("15:04:05.000"), l.text("instance"), l.event, strings.Join(rest, " "))
}
