// Command review-harness runs the scripted cases of the review: the stand-ins of the store, the workers and the callers,
// and the project's own daemons as processes of their own.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a script that hangs.
const maxDuration = 115 * time.Second

// scenario runs a case and reports whether the rule was broken. trouble is false if the disruption is left out.
type scenario func(l *lab, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"uploads":      runUploads,
	"left":         runLeft,
	"lapse":        runLapse,
	"twice-killed": runTwiceKilled,
	"deadly":       runDeadly,
	"outage":       runOutage,
	"cell":         runCell,
	"second":       runSecond,
	"failing":      runFailing,
	"isolated":     runIsolated,
	"returned":     runReturned,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness SCENARIO RECORD")
		return exitNotRun
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := scenarios[os.Args[1]](l, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	r := result{err: fmt.Errorf("not ended after %v", maxDuration)}
	select {
	case r = <-done:
	case <-time.After(maxDuration):
	}
	code := exitHeld
	switch {
	case r.err != nil:
		l.logf("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		code = exitNotRun
	case r.broken:
		l.logf("the rule was broken")
		fmt.Println("the rule was broken")
		code = exitBroken
	default:
		l.logf("the rule held")
		fmt.Println("the rule held")
	}
	l.stop()
	return code
}
