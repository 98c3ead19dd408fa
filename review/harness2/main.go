package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout is the longest time of a case; its processes are ended within it.
const caseTimeout = 115 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

var cases = map[string]func(w *world) (broken bool, err error){
	"poison":  runPoison,
	"drain":   runDrain,
	"freeze":  runFreeze,
	"lost":    runLost,
	"verdict": runVerdict,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		return exitCannot
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer w.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](w)
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var broken bool
	select {
	case o := <-done:
		broken, err = o.broken, o.err
	case <-stop:
		err = errors.New("stopped")
	case <-time.After(caseTimeout):
		err = errors.New("the case took too long")
	}
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		return exitCannot
	case broken:
		w.logf("result: the rule was broken")
		return exitBroken
	}
	w.logf("result: the rule held")
	return exitHeld
}
