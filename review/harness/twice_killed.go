package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// calm is how long a host runs before the caller goes on: stableWindowMs of the sites and a second.
const calm = 4 * time.Second

// runTwiceKilled kills one host twice while programs pause, and counts the tokens that each program's caller got. The
// disruption is the kills; without them, the programs pause for as long.
func runTwiceKilled(l *lab, trouble bool) (bool, error) {
	const (
		budget, most = 2400, 300 // eight turns
		turnsAtOnce  = 3
		maxTurns     = 30
	)
	for _, zone := range []string{"almaty-a", "almaty-b", "almaty-c"} {
		if _, err := l.addWorker(engines, zone, 16, 2*time.Millisecond); err != nil {
			return false, err
		}
	}
	l.putConfig(1, app)
	if err := l.addHosts("almaty-a", "almaty-a", "almaty-a", "almaty-b", "almaty-b", "almaty-c", "almaty-c"); err != nil {
		return false, err
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	time.Sleep(calm)
	var programs []*program
	for i := range 16 {
		programs = append(programs, &program{id: fmt.Sprintf("%06x", 0x3fa800+i), budget: budget, most: most})
	}
	// runTurns runs up to n turns of each program, until the budget is spent; turns go to all hosts but the first.
	runTurns := func(n int) {
		var group sync.WaitGroup
		for i, p := range programs {
			group.Go(func() {
				for turn := range n {
					if p.lastStatus == http.StatusPaymentRequired {
						return
					}
					l.turn(p, l.hosts[1+(i+turn)%(len(l.hosts)-1)], 3)
				}
			})
		}
		group.Wait()
	}
	for kill := 1; kill <= 2; kill++ {
		runTurns(turnsAtOnce)
		if trouble {
			l.kill(l.hosts[0])
			time.Sleep(500 * time.Millisecond)
			if err := l.restart(l.hosts[0]); err != nil {
				return false, err
			}
		}
		time.Sleep(calm)
	}
	runTurns(maxTurns)
	broken, finished := false, 0
	for _, p := range programs {
		over := p.delivered > p.budget+p.most
		l.logf("program %s: %d tokens in %d requests, budget %d, most of a turn %d, last status %d, over the bound: %v", p.id, p.delivered, p.turns, p.budget, p.most, p.lastStatus, over)
		broken = broken || over
		if p.lastStatus == http.StatusPaymentRequired {
			finished++
		}
	}
	if finished == 0 {
		return false, fmt.Errorf("no program spent its budget")
	}
	return broken, nil
}
