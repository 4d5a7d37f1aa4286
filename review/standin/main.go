// Command standin plays the cases of this folder that are scripts: it starts the project's program
// as separate processes on loopback addresses, with stand-ins for the store, the leafs and the
// clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of run.sh.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	cases := map[string]func(rec *record, dir string, trouble bool) (broken bool, err error){
		"additional-bytes": playAdditionalBytes,
		"garbage":          playGarbage,
	}
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin [-record FILE] [-trouble=false] CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, *recordPath, *trouble))
}

// run plays a case in a temporary folder and returns the exit code.
func run(play func(*record, string, bool) (bool, error), recordPath string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	broken, err := play(rec, dir, trouble)
	switch {
	case err != nil:
		rec.event("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
