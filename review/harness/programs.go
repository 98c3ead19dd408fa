package main

import (
	"fmt"
	"sync"
	"time"
)

// tobylZones are the failure domains of the seven entry machines of tobyl-benches.
var tobylZones = []string{"almaty-a", "almaty-a", "almaty-a", "almaty-b", "almaty-b", "almaty-c", "almaty-c"}

// newTobyl starts the entry machines of tobyl-benches, and engines.
func newTobyl(l *lab) error {
	if err := l.addHosts(tobylZones...); err != nil {
		return err
	}
	l.putConfig(1, app)
	for _, zone := range []string{"almaty-a", "almaty-b", "almaty-c"} {
		if _, err := l.addWorker(engines, zone, 16, time.Millisecond); err != nil {
			return err
		}
	}
	return l.startAll()
}

// Sizes of the programs: one that runs away has a budget of two or three turns.
const (
	turnTokens    = 300
	programBudget = 2 * turnTokens
)

// turnAll sends one turn of each program at the same time, through the host.
func turnAll(l *lab, programs []*program, h *host) {
	var group sync.WaitGroup
	for _, p := range programs {
		group.Go(func() {
			before := p.delivered
			l.turn(p, h, 5)
			p.phases = append(p.phases, p.delivered-before)
		})
	}
	group.Wait()
}

// judgeBudgets reports whether a program got more tokens than its budget and the most of one turn.
func judgeBudgets(l *lab, programs []*program) bool {
	broken := 0
	for _, p := range programs {
		over := p.delivered > p.budget+p.most
		l.logf("program %s: budget %d, one turn %d, delivered %d (by turn: %v), last status %d, over: %v", p.id, p.budget, p.most, p.delivered, p.phases, p.lastStatus, over)
		if over {
			broken++
		}
	}
	fmt.Printf("%d of %d programs got more than their budget and one turn\n", broken, len(programs))
	return broken > 0
}
