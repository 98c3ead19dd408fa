package main

import (
	"errors"
	"strings"
	"sync"
	"time"
)

// The bounds are those of demands/cedarline-quote-grown, the deployment in force whose turns are retained.
const (
	catchUp      = 6 * time.Second // catchUpS
	stableWindow = 4 * time.Second // stableWindowMs
	// lostFor is how long after its last impairment a machine with a disk counts as lost: catchUpS starts again once the store
	// is stable, which it isn't for stableWindowMs after impairment on such a machine.
	lostFor = stableWindow + catchUp + 500*time.Millisecond
	// downTime is how long a machine that lost its disk is down.
	downTime = 2 * time.Second
	// copyTime is the time in which the machines that lost their disks last can copy what is left.
	copyTime = 13 * time.Second
	// inputBytes is the largest body of a turn on the sheet.
	inputBytes = 13_000
	// firstTurns and turnsPerSecond give the programs that begin before the losses.
	firstTurns, turnsPerSecond = 8400, 400
)

var cedarline = map[string]string{
	"faultTolerance.machines": "2", "bounds.configApplyMs": "3000", "bounds.drainMs": "3000", "bounds.stableWindowMs": "4000", "bounds.graceS": "8",
}

// disksLostInTurn starts programs, lets two machines lose their disks at once, and the third one when these count as back.
// Then each program goes on with a second turn.
func disksLostInTurn(r *rig) (bool, error) {
	disks, c, addresses, err := r.startCedarline()
	if err != nil {
		return false, err
	}
	turns := c.firstTurns(addresses, firstTurns, inputBytes)
	if r.trouble {
		if err := loseDisks(disks[:2]); err != nil {
			return false, err
		}
		time.Sleep(lostFor)
		r.note("both have been back for %v, and count no longer as lost", lostFor)
		if err := loseDisks(disks[2:]); err != nil {
			return false, err
		}
	} else {
		time.Sleep(2*downTime + lostFor)
	}
	time.Sleep(copyTime)
	return c.goOn(addresses, turns), nil
}

// machineReplaced removes a machine with a disk for good while another one takes its place, and lets the two others lose
// their disks when the removed one counts no longer as lost. Then each program goes on with a second turn.
func machineReplaced(r *rig) (bool, error) {
	// startDelay is the time until the successor starts.
	const startDelay = time.Second
	disks, c, addresses, err := r.startCedarline()
	if err != nil {
		return false, err
	}
	turns := c.firstTurns(addresses, firstTurns, inputBytes)
	if r.trouble {
		disks[0].kill()
		r.note("%s is removed for good", disks[0].name)
		time.Sleep(startDelay)
		successor := r.addHost("disk", 1, 2)
		successor.firstStart = false
		if err := successor.start(); err != nil {
			return false, err
		}
		if err := successor.awaitOpen(r.ports.peer); err != nil {
			return false, err
		}
		r.note("%s is there in its place, at another address", successor.name)
		time.Sleep(lostFor)
		r.note("%s has been there for %v: the removed machine counts no longer as lost", successor.name, lostFor)
		if err := loseDisks(disks[1:]); err != nil {
			return false, err
		}
	} else {
		time.Sleep(startDelay + lostFor + downTime)
	}
	time.Sleep(copyTime)
	return c.goOn(addresses, turns), nil
}

// loseDisks lets machines lose their disks at the same time, and returns once all are back.
func loseDisks(hosts []*host) error {
	results := make(chan error, len(hosts))
	for _, h := range hosts {
		go func() { results <- h.loseDisk(downTime) }()
	}
	var err error
	for range hosts {
		err = errors.Join(err, <-results)
	}
	return err
}

// startCedarline is startDeployment with the bounds and disks of that site.
func (r *rig) startCedarline() (disks []*host, c *consumer, addresses []string, err error) {
	r.bounds, r.diskMB, r.diskMemoryMB = cedarline, "340", "154"
	return r.startDeployment()
}

// startDeployment starts three zones with an entry host, a host with a disk and two workers each. It returns the hosts with a disk and a consumer with the addresses that the directory names.
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
		parallel = 48
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
