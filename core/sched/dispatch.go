package sched

import (
	"slices"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

const (
	// maxNewWorkSkipped bounds the first calls of programs that a dispatch skips because the policy filtered out
	// every worker. A policy that filters one first call mostly filters all of them.
	maxNewWorkSkipped = 2
	// maxMoveAttempts bounds the calls per dispatch that are tried on other workers while the program's last
	// worker is blocked.
	maxMoveAttempts = 2
	// minWaitBeforeMove is the wait, in milliseconds, before a call is tried on other workers while the program's
	// last worker is blocked.
	minWaitBeforeMove clock.Millis = 1000
	// agingThreshold is the wait, in milliseconds, after which a call counts as aged, whatever its class or rank.
	agingThreshold clock.Millis = 30_000
	// agedGrantInterval is the number of grants of which one goes to the call that has waited longest, once it is
	// aged. With n calls ahead of it in order of arrival, an aged call waits for at most n*agedGrantInterval
	// grants.
	agedGrantInterval = 16
)

// agingCounter counts the grants since the last one by aging, so that a fixed fraction goes to aged calls.
type agingCounter struct {
	grantsSinceAged int
}

// dispatch grants waiting calls, in queue order across both lists, until no slot is free or no further call can be
// granted.
func (g *group) dispatch() {
	freeSlots := 0
	for _, w := range g.Workers {
		freeSlots += w.FreeSlots()
	}
	if freeSlots > 0 && g.aging.grantsSinceAged >= agedGrantInterval && g.grantAged() {
		freeSlots--
	}
	g.blockedWorkers, g.moveAttempts = g.blockedWorkers[:0], 0
	for newNext, startedNext := 0, 0; freeSlots > 0; {
		next, list := &startedNext, g.queue.startedWork
		if newNext < len(g.queue.newWork) && (startedNext >= len(list) || compareCalls(g.queue.newWork[newNext], list[startedNext]) < 0) {
			next, list = &newNext, g.queue.newWork
		}
		if *next >= len(list) {
			return
		}
		c := list[*next]
		if w := g.selectForDispatch(c); w != nil {
			g.aging.grantsSinceAged++
			g.grant(c, w)
			freeSlots--
			continue
		}
		*next++
		if newNext >= maxNewWorkSkipped {
			newNext = len(g.queue.newWork)
		}
	}
}

// selectForDispatch returns the worker for a queued call, or nil. Once a call got no worker, the last worker of
// its program is blocked for the rest of the dispatch: later calls of programs that last ran there are skipped,
// except for a few that have waited long enough to be tried elsewhere. So smaller calls don't overtake, and the
// dispatch is short.
func (g *group) selectForDispatch(c *call) *framework.Worker {
	lastWorker := c.Program.LastWorker
	if c.startsNewWork || c.urgent || lastWorker == nil {
		return g.selectWorker(c, false)
	}
	if slices.Contains(g.blockedWorkers, lastWorker) {
		if g.moveAttempts >= maxMoveAttempts || g.Now-c.EnqueuedAt < minWaitBeforeMove {
			return nil
		}
		g.moveAttempts++
	}
	w := g.selectWorker(c, false)
	if w == nil {
		g.blockedWorkers = append(g.blockedWorkers, lastWorker)
	}
	return w
}

// grantOnArrival grants a call that was just enqueued if a worker passes. No slot was freed, so no other call is
// tried.
func (g *group) grantOnArrival(c *call) {
	if w := g.selectWorker(c, false); w != nil {
		g.aging.grantsSinceAged++
		g.grant(c, w)
	}
}

// grantAged grants the call that has waited longest if it is aged, and reports whether it did.
func (g *group) grantAged() bool {
	c := g.queue.longestWaiting()
	if c == nil || g.Now-c.EnqueuedAt < agingThreshold {
		return false
	}
	w := g.selectWorker(c, true)
	if w == nil {
		return false
	}
	g.aging.grantsSinceAged = 0
	g.grant(c, w)
	return true
}

// selectWorker returns the worker with a free slot that passes the policy's Filter and has the highest score, or
// nil. Filter isn't applied to an aged call, so that it can delay a call but never starve it.
func (g *group) selectWorker(c *call, aged bool) *framework.Worker {
	var best *framework.Worker
	var bestScore float64
	ignoreAvoidList := g.ignoresAvoidList(c)
	for _, w := range g.Workers {
		if w.FreeSlots() == 0 || !ignoreAvoidList && slices.Contains(c.AvoidWorkers, w.Name) {
			continue
		}
		if !aged && !g.policy.Filter(&g.Group, &c.Call, w) {
			continue
		}
		score := g.policy.Score(&g.Group, &c.Call, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// ignoresAvoidList reports whether the call may run on any usable worker: it has failed on none or on all of them.
func (g *group) ignoresAvoidList(c *call) bool {
	if len(c.AvoidWorkers) == 0 {
		return true
	}
	for _, w := range g.Workers {
		if w.Usable && !slices.Contains(c.AvoidWorkers, w.Name) {
			return false
		}
	}
	return true
}

func (g *group) grant(c *call, w *framework.Worker) {
	g.queue.remove(c)
	priority := g.policy.Reserve(&g.Group, &c.Call, w)
	waited := int64(g.Now - c.EnqueuedAt)
	c.enginePriority = priority
	g.addToWorker(c, w)
	g.emit(Grant{Call: c.id, Group: g.name, Home: c.home, Worker: w.Name, Priority: priority, WaitedMS: waited})
}
