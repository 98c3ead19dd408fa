package main

import (
	"strings"
	"sync"
	"time"
)

const (
	// catchUp is catchUpS of a site that bears the loss of one machine with a disk. Such a machine counts as lost until
	// catchUp after it is back.
	catchUp = 4 * time.Second
	// margin is added to catchUp between the two losses.
	margin = time.Second
	// downTime is how long a machine that lost its disk is down.
	downTime = 2 * time.Second
	// inputBytes is the largest body of a turn on the sheets.
	inputBytes = 26_000
	// firstTurns and turnsPerSecond give the programs that begin before the losses; fewer than on the sheets.
	firstTurns, turnsPerSecond = 3200, 110
)

// disksLostInTurn starts programs, lets one machine lose its disk, and another one when the first one counts as back. Then
// each program goes on with a second turn.
func disksLostInTurn(r *rig) (bool, error) {
	disks, c, addresses, err := r.startDeployment(1, 1)
	if err != nil {
		return false, err
	}
	turns := c.firstTurns(addresses, firstTurns, inputBytes)
	if r.trouble {
		if err := disks[0].loseDisk(downTime); err != nil {
			return false, err
		}
		time.Sleep(catchUp + margin)
		r.note("%s has been back for %v, and counts no longer as lost", disks[0].name, catchUp+margin)
		if err := disks[1].loseDisk(downTime); err != nil {
			return false, err
		}
		time.Sleep(catchUp + margin)
		r.note("%s has been back for %v, and counts no longer as lost", disks[1].name, catchUp+margin)
	} else {
		time.Sleep(2 * (downTime + catchUp + margin))
	}
	return c.goOn(addresses, turns), nil
}

// machineReplaced replaces a machine with a disk as planned: a new one is added, and once it counts no longer as lost, the old
// one is stopped for good. Then as many machines as are to be borne lose their disks. In the end each program goes on with a
// second turn.
func machineReplaced(r *rig) (bool, error) {
	const (
		count  = 600
		losses = 2
		// catchUp and seedLag are catchUpS and seedLagS of the site: a new machine counts as lost for catchUpS after its
		// start; the bench waits seedLagS in addition.
		catchUp, seedLag = 6 * time.Second, 3 * time.Second
		// settleTime is the time after the stop by which the stopped machine is forgotten, or its copies are made again.
		settleTime = 16 * time.Second
	)
	disks, c, addresses, err := r.startDeployment(2, losses)
	if err != nil {
		return false, err
	}
	turns := c.firstTurns(addresses, count, 2100)
	old := disks[0]
	if r.trouble {
		successor := r.addHost("disk", 1, 3, losses)
		successor.firstStart = false
		if err := successor.start(); err != nil {
			return false, err
		}
		if err := successor.awaitOpen(r.ports.peer); err != nil {
			return false, err
		}
		r.note("%s is there, which is to take the place of %s", successor.name, old.name)
		time.Sleep(catchUp + seedLag + margin)
		r.note("%s has been there for %v, and counts no longer as lost", successor.name, catchUp+seedLag+margin)
		if err := old.stop(); err != nil {
			return false, err
		}
		r.note("%s was stopped with SIGTERM, and is removed for good", old.name)
	} else {
		time.Sleep(catchUp + seedLag + margin)
	}
	stoppedAt := time.Now()
	time.Sleep(margin)
	if r.trouble {
		var group sync.WaitGroup
		for _, h := range []*host{disks[2], disks[4]} { // the first ones of the other zones
			group.Go(func() {
				if err := h.loseDisk(downTime); err != nil {
					r.note("%v", err)
				}
			})
		}
		group.Wait()
		time.Sleep(catchUp + margin)
		r.note("%s and %s have been back for %v, and count no longer as lost", disks[2].name, disks[4].name, catchUp+margin)
	}
	time.Sleep(time.Until(stoppedAt.Add(settleTime)))
	return c.goOn(addresses, turns), nil
}

// startDeployment starts three zones with an entry host, two workers and some hosts with a disk each, of which so many may be
// lost at once. It returns the hosts with a disk and a consumer with the addresses that the directory names.
func (r *rig) startDeployment(disksInZone, losses int) (disks []*host, c *consumer, addresses []string, err error) {
	for zone := 1; zone <= 3; zone++ {
		for i := 1; i <= 2; i++ {
			if _, err := r.addWorker(modelService, zone, i, 16); err != nil {
				return nil, nil, nil, err
			}
		}
	}
	for zone := 1; zone <= 3; zone++ {
		for i := 1; i <= disksInZone; i++ {
			disks = append(disks, r.addHost("disk", zone, i, losses))
		}
		r.addHost("entry", zone, 1, losses)
	}
	r.putConfig()
	if err := r.start(); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(3 * time.Second)
	c = newConsumer(r)
	addresses, err = c.addresses()
	r.note("the directory names %v", addresses)
	return disks, c, addresses, err
}

// firstTurns sends the first turns of programs, and returns those that were answered whole.
func (c *consumer) firstTurns(addresses []string, count, inputBytes int) []turn {
	var mu sync.Mutex
	var group sync.WaitGroup
	var turns []turn
	ticker := time.NewTicker(time.Second / turnsPerSecond)
	defer ticker.Stop()
	for i := range count {
		<-ticker.C
		group.Go(func() {
			t := turn{attempt: newID(), program: newID(), input: strings.Repeat(newID(), inputBytes/16)}
			a := c.send(addresses[i%len(addresses)], t.attempt, t.program, "", t.input)
			if !a.whole {
				c.rig.note("turn %s of program %s: status %d, whole %v, %v", t.attempt, t.program, a.status, a.whole, a.err)
				return
			}
			t.output, t.answeredAt = a.output, time.Now()
			mu.Lock()
			defer mu.Unlock()
			turns = append(turns, t)
		})
	}
	group.Wait()
	c.rig.note("%d of %d first turns were answered whole, with inputs of %d bytes", len(turns), count, inputBytes)
	return turns
}

// goOn continues each turn that is retained, the last ones first, and reports whether one was answered 404 or 410, or was
// put together wrongly. The tries that a consumer makes after a refusal are made, too.
func (c *consumer) goOn(addresses []string, turns []turn) (broken bool) {
	const (
		parallel = 24
		tries    = 3
	)
	var mu sync.Mutex
	var group sync.WaitGroup
	served, lost, wrong, refused, late := 0, 0, 0, 0, 0
	queue := make(chan turn)
	for range parallel {
		group.Go(func() {
			for t := range queue {
				result := "refused"
				for try := 0; try < tries && result == "refused"; try++ {
					attempt, input := newID(), "and then "+t.program
					if time.Since(t.answeredAt) > retention-5*time.Second {
						result = "late"
						break
					}
					a := c.send(addresses[(try+len(t.program))%len(addresses)], attempt, t.program, t.attempt, input)
					switch {
					case a.status == 404 || a.status == 410:
						result = "lost"
						c.rig.note("LOST: turn %s of program %s continues turn %s, which was answered whole %.1f s ago, and is answered %d",
							attempt, t.program, t.attempt, time.Since(t.answeredAt).Seconds(), a.status)
					case a.whole:
						result = "served"
						if run, ok := c.rig.execution(attempt); !ok || run.body != t.input+t.output+input {
							result = "wrong"
							c.rig.note("UNASKED: turn %s runs with another body than its chain's", attempt)
						}
					default:
						c.rig.note("turn %s, which continues turn %s: status %d, whole %v, %v", attempt, t.attempt, a.status, a.whole, a.err)
						time.Sleep(300 * time.Millisecond)
					}
				}
				mu.Lock()
				switch result {
				case "served":
					served++
				case "lost":
					lost++
				case "wrong":
					wrong++
				case "late":
					late++
				default:
					refused++
				}
				mu.Unlock()
			}
		})
	}
	for i := len(turns) - 1; i >= 0; i-- {
		queue <- turns[i]
	}
	close(queue)
	group.Wait()
	c.rig.note("second turns: %d served, %d answered 404 or 410, %d with a wrong body, %d not served in %d tries, %d not tried because their first turn is too old",
		served, lost, wrong, refused, tries, late)
	return lost+wrong > 0
}
