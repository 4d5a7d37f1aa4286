//go:build ignore

// Compare prints a paired table of ways to decide, from journal entries whose reason reads
// "trial WAY: DAY": for each day that the baseline and another way played, the difference of worth,
// and their median and spread.
//
//	go run scripts/compare.go -base W0 journal/*.json
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
)

// entry is what is read of a journal entry. Worth is the day's, by the users' program.
type entry struct {
	Why  string `json:"why"`
	Days []struct {
		Worth  float64 `json:"G"`
		Served float64 `json:"served"`
	} `json:"days"`
}

// reason matches the reason of a trial.
var reason = regexp.MustCompile(`^trial (\S+): (.+)$`)

// noise is the largest median that counts as no difference.
const noise = 0.01

func main() {
	base := flag.String("base", "W0", "the way that others are compared with")
	flag.Parse()
	worth, err := read(flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, way := range ways(worth, *base) {
		report(way, worth[*base], worth[way])
	}
}

// read collects the worth of each day of each way.
func read(paths []string) (map[string]map[string]float64, error) {
	out := make(map[string]map[string]float64)
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		m := reason.FindStringSubmatch(e.Why)
		if m == nil || len(e.Days) != 1 {
			continue
		}
		if out[m[1]] == nil {
			out[m[1]] = make(map[string]float64)
		}
		out[m[1]][m[2]] = e.Days[0].Worth
	}
	return out, nil
}

// ways lists the ways but the baseline.
func ways(worth map[string]map[string]float64, base string) []string {
	var out []string
	for way := range worth {
		if way != base {
			out = append(out, way)
		}
	}
	slices.Sort(out)
	return out
}

// report prints the days that both played, in the order of the differences.
func report(way string, base, other map[string]float64) {
	var diffs []float64
	var lines []string
	for day, was := range base {
		now, ok := other[day]
		if !ok {
			continue
		}
		diffs = append(diffs, now-was)
		lines = append(lines, fmt.Sprintf("  %-28s %.3f %.3f %+.3f", day, was, now, now-was))
	}
	if len(diffs) == 0 {
		return
	}
	slices.Sort(diffs)
	slices.Sort(lines)
	median := (diffs[len(diffs)/2] + diffs[(len(diffs)-1)/2]) / 2
	verdict := "a difference"
	if median > -noise && median < noise {
		verdict = "none"
	}
	fmt.Printf("%s: %d days, median %+.3f, from %+.3f to %+.3f: %s\n%s\n", way, len(diffs), median, diffs[0], diffs[len(diffs)-1], verdict, strings.Join(lines, "\n"))
}
