//go:build ignore

// Compare prints a paired comparison of decision policies. It reads journal entries whose
// reason has the form "trial POLICY: DAY". For each policy it lists the days that both the
// policy and the baseline ran, with the score of each and their difference, and prints the
// median and the range of the differences.
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

// journalEntry is the part of a journal entry that is used here. Score is the score that the
// users' evaluation program gave to the day.
type journalEntry struct {
	Why  string `json:"why"`
	Days []struct {
		Score  float64 `json:"G"`
		Served float64 `json:"served"`
	} `json:"days"`
}

// trialReason matches the reason of a trial and captures its policy and day.
var trialReason = regexp.MustCompile(`^trial (\S+): (.+)$`)

// noiseThreshold is the smallest absolute median that counts as a difference.
const noiseThreshold = 0.01

func main() {
	base := flag.String("base", "W0", "the baseline policy")
	flag.Parse()
	scores, err := readScores(flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, policy := range otherPolicies(scores, *base) {
		report(policy, scores[*base], scores[policy])
	}
}

// readScores returns the scores in the journal entries at paths, by policy and day.
func readScores(paths []string) (map[string]map[string]float64, error) {
	out := make(map[string]map[string]float64)
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var e journalEntry
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		m := trialReason.FindStringSubmatch(e.Why)
		if m == nil || len(e.Days) != 1 {
			continue
		}
		if out[m[1]] == nil {
			out[m[1]] = make(map[string]float64)
		}
		out[m[1]][m[2]] = e.Days[0].Score
	}
	return out, nil
}

// otherPolicies returns the policies except the baseline, sorted by name.
func otherPolicies(scores map[string]map[string]float64, base string) []string {
	var out []string
	for policy := range scores {
		if policy != base {
			out = append(out, policy)
		}
	}
	slices.Sort(out)
	return out
}

// report prints the comparison of one policy with the baseline. The days are sorted by name.
func report(policy string, base, other map[string]float64) {
	var diffs []float64
	var lines []string
	for day, baseScore := range base {
		otherScore, ok := other[day]
		if !ok {
			continue
		}
		diffs = append(diffs, otherScore-baseScore)
		lines = append(lines, fmt.Sprintf("  %-28s %.3f %.3f %+.3f",
			day, baseScore, otherScore, otherScore-baseScore))
	}
	if len(diffs) == 0 {
		return
	}
	slices.Sort(diffs)
	slices.Sort(lines)
	median := (diffs[len(diffs)/2] + diffs[(len(diffs)-1)/2]) / 2
	verdict := "a difference"
	if median > -noiseThreshold && median < noiseThreshold {
		verdict = "none"
	}
	fmt.Printf("%s: %d days, median %+.3f, from %+.3f to %+.3f: %s\n%s\n",
		policy, len(diffs), median, diffs[0], diffs[len(diffs)-1], verdict,
		strings.Join(lines, "\n"))
}
