// Command review-3 plays the cases of the third review on processes of the system: it serves a stand-in of the platform's
// store and of workers on loopback addresses, starts the roles of the deploy file as processes, and sends requests as
// consumers do. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts by the number of their folder, and one that is no case. Each reports whether the rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){
	"11": machineReplaced,
	"12": answerCutShort,
	"13": headSpoiled,
	"14": disksLostInTurn,
	"15": foreignEntry,
	// Not a case, because of the limit of five.
	"memory": chainsAtOnce,
}

func main() { os.Exit(run()) }

func run() int {
	number := flag.String("case", "", "number of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*number]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *number)
		return exitFailed
	}
	r, err := newRig(*record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	if err := r.serve(r.storeAddress(), r.store); err != nil {
		r.note("the case could not run: %v", err)
		return exitFailed
	}
	broken, err := play(r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}
