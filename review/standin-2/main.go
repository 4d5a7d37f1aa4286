// Command standin2 runs the cases of an independent review: it starts entry instances as separate
// processes, plays their clients, leafs and store, and checks one rule.
//
//	standin2 CASE BINARY RECORD
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errNotReady = errors.New("the instances are not ready in time")

var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"stalled":    runStalled,
	"limits":     runLimits,
	"restart":    runRestart,
	"shard":      runShard,
	"lost-shard": runLostShard,
}

// siteZones are the availability zones of the site bedfinder-glk, siteMachines the number of its
// entry instances.
var siteZones = []string{"detroit-hall", "cleveland-hall", "chicago-hall", "milwaukee-hall"}

const siteMachines = 6

func clientName(n int) string { return fmt.Sprintf("c%03d", n) }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE BINARY RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	go func() {
		c := make(chan os.Signal, 1)
		signal.Notify(c, os.Interrupt, syscall.SIGTERM)
		<-c
		f.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule is broken")
		return exitBroken
	}
	rec.say("the rule holds")
	return exitHeld
}
