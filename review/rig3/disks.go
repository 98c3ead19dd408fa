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
	// inputBytes is the largest body of a turn on the sheet of cedarline-quote-grown.
	inputBytes = 13_000
	// firstTurns and turnsPerSecond give the programs that begin before the losses; fewer than on the sheet.
	firstTurns, turnsPerSecond = 6400, 220
)

// disksLostInTurn starts programs, lets one machine lose its disk, and another one when the first one counts as back. Then
// each program goes on with a second turn.
func disksLostInTurn(r *rig) (bool, error) {
	disks, c, addresses, err := r.startDeployment()
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

// machineReplaced removes a machine with a disk for good while another one takes its place, and lets a second one lose its
// disk when the removed one counts no longer as lost. Then each program goes on with a second turn.
func machineReplaced(r *rig) (bool, error) {
	const (
		count = 600
		// seedLag is seedLagS, which is also the time in which the core is not stable after the change. The bench adds it to
		// catchUp.
		seedLag = 3 * time.Second
		// startDelay is the time until the successor starts, and lossDelay that from its start to the second loss.
		startDelay = time.Second
		lossDelay  = catchUp + seedLag + 300*time.Millisecond
		// settleTime is the time after the removal by which the removed machine is forgotten.
		settleTime = 18 * time.Second
	)
	disks, c, addresses, err := r.startDeployment()
	if err != nil {
		return false, err
	}
	turns := c.firstTurns(addresses, count, 2100)
	removedAt := time.Now()
	if r.trouble {
		disks[0].kill()
		r.note("%s is removed for good", disks[0].name)
		time.Sleep(startDelay)
		successor := r.addHost("disk", 1, 2)
		successor.firstStart = false
		startedAt := time.Now()
		if err := successor.start(); err != nil {
			return false, err
		}
		if err := successor.awaitOpen(r.ports.peer); err != nil {
			return false, err
		}
		r.note("%s is there in its place, at another address", successor.name)
		time.Sleep(time.Until(startedAt.Add(lossDelay)))
		r.note("%s started %v ago: the removed machine counts no longer as lost", successor.name, lossDelay)
		if err := disks[1].loseDisk(downTime); err != nil {
			return false, err
		}
		time.Sleep(catchUp + margin)
		r.note("%s has been back for %v, and counts no longer as lost", disks[1].name, catchUp+margin)
	}
	time.Sleep(time.Until(removedAt.Add(settleTime)))
	return c.goOn(addresses, turns), nil
}

// startDeployment starts three zones with an entry host, a host with a disk and two workers each. The loss of one disk is to be
// borne. It returns the hosts with a disk and a consumer with the addresses that the directory names.
func (r *rig) startDeployment() (disks []*host, c *consumer, addresses []string, err error) {
	for zone := 1; zone <= 3; zone++ {
		for i := 1; i <= 2; i++ {
			if _, err := r.addWorker(modelService, zone, i, 16); err != nil {
				return nil, nil, nil, err
			}
		}
	}
	for zone := 1; zone <= 3; zone++ {
		disks = append(disks, r.addHost("disk", zone, 1))
		r.addHost("entry", zone, 1)
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
