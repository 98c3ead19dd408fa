package main

import (
	"fmt"
	"time"

	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// downFor is how long a killed entry process is away.
const downFor = 3500 * time.Millisecond

// runOutage kills two entry processes one after the other during an outage of the store, and lets programs go on after it.
func runOutage(l *lab, trouble bool) (bool, error) {
	if err := newTobyl(l); err != nil {
		return false, err
	}
	entry := l.hosts[6]
	programs := programsOf(l, 8, l.hosts[0], l.hosts[1])
	time.Sleep(7 * time.Second)
	turnAll(l, programs, entry)
	restarted := make(chan error, 2)
	killFor := func(h *host) {
		l.kill(h)
		time.AfterFunc(downFor, func() { restarted <- l.restart(h) })
	}
	if trouble {
		l.setStoreDown(true)
		time.Sleep(300 * time.Millisecond)
		killFor(l.hosts[0])
	}
	time.Sleep(500 * time.Millisecond)
	turnAll(l, programs, entry)
	if trouble {
		killFor(l.hosts[1])
		time.Sleep(300 * time.Millisecond)
		l.setStoreDown(false)
	}
	for range 4 {
		time.Sleep(300 * time.Millisecond)
		turnAll(l, programs, entry)
	}
	if trouble {
		for range 2 {
			if err := <-restarted; err != nil {
				return false, err
			}
		}
	}
	return judgeBudgets(l, programs), nil
}

// programsOf returns n programs whose home is the first host, and the second one after its loss.
func programsOf(l *lab, n int, first, second *host) []*program {
	var hosts []fleet.Host
	for _, h := range l.hosts {
		hosts = append(hosts, fleet.Host{Name: h.name})
	}
	var programs []*program
	for i := 0; len(programs) < n; i++ {
		id := fmt.Sprintf("%06x", 0x3fa81c+i)
		if order := fleet.RendezvousOrder(hosts, id); order[0].Name == first.name && order[1].Name == second.name {
			programs = append(programs, &program{id: id, budget: programBudget, most: turnTokens})
		}
	}
	return programs
}
