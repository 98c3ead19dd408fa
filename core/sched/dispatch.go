package sched

import (
	"slices"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

const (
	// maxNewWorkSkipped bounds the first calls that a dispatch passes over because the policy filtered every
	// worker. The policy mostly holds back all of them at once.
	maxNewWorkSkipped = 2
	// maxMoveAttempts bounds the calls per dispatch that are tried on workers other than their own.
	maxMoveAttempts = 2
	// minWaitBeforeMove is the wait in milliseconds below which a call is not tried on other workers while its own is
	// blocked.
	minWaitBeforeMove clock.Millis = 1000
	// agingThreshold is the wait, in milliseconds, after which a call counts as aged, whatever its class or rank.
	agingThreshold clock.Millis = 30_000
	// agedGrantInterval gives one grant in this many to the call that has waited longest, once it is aged. With n
	// calls ahead of it in order of arrival, an aged call waits for at most n*agedShare grants.
	agedGrantInterval = 16
)

// agingCounter counts grants, so that a fixed share of them goes to aged calls.
type agingCounter struct {
	grantsSinceAged int
}

// dispatch grants waiting calls until no call fits anywhere.
func (g *group) dispatch() {
	free := 0
	for _, w := range g.Workers {
		free += w.FreeSlots()
	}
	if free > 0 && g.aging.grantsSinceAged >= agedGrantInterval && g.grantAged() {
		free--
	}
	g.blockedWorkers, g.moveAttempts = g.blockedWorkers[:0], 0
	for fresh, underWay := 0, 0; free > 0; {
		next, list := &underWay, g.queue.startedWork
		if fresh < len(g.queue.newWork) && (underWay >= len(list) || compareCalls(g.queue.newWork[fresh], list[underWay]) < 0) {
			next, list = &fresh, g.queue.newWork
		}
		if *next >= len(list) {
			return
		}
		c := list[*next]
		if w := g.selectForDispatch(c); w != nil {
			g.aging.grantsSinceAged++
			g.grant(c, w)
			free--
			continue
		}
		*next++
		if fresh >= maxNewWorkSkipped {
			fresh = len(g.queue.newWork)
		}
	}
}

// selectForDispatch returns the worker for a call of the queue in a dispatch, or nil. Once a worker turned down a
// program that last ran on it, it is not asked again for those that rank lower: smaller calls do not
// overtake, and the dispatch stays short.
func (g *group) selectForDispatch(c *call) *framework.Worker {
	home := c.Program.LastWorker
	if c.startsNewWork || c.urgent || home == nil {
		return g.selectWorker(c, false)
	}
	if slices.Contains(g.blockedWorkers, home) {
		if g.moveAttempts >= maxMoveAttempts || g.Now-c.EnqueuedAt < minWaitBeforeMove {
			return nil
		}
		g.moveAttempts++
	}
	w := g.selectWorker(c, false)
	if w == nil {
		g.blockedWorkers = append(g.blockedWorkers, home)
	}
	return w
}

// grantOnArrival grants a call that was just enqueued if it fits. Nothing else changed, so no other call is
// tried.
func (g *group) grantOnArrival(c *call) {
	if w := g.selectWorker(c, false); w != nil {
		g.aging.grantsSinceAged++
		g.grant(c, w)
	}
}

// grantAged gives a place to the call that has waited longest if it is aged.
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

// selectWorker returns the best worker with a free place for the call, or nil. An aged call goes to any usable
// worker, so that the policy's Filter can delay a call but not stop it.
func (g *group) selectWorker(c *call, aged bool) *framework.Worker {
	var best *framework.Worker
	var bestScore float64
	avoidAll := g.ignoresAvoidList(c)
	for _, w := range g.Workers {
		if w.FreeSlots() == 0 || !avoidAll && slices.Contains(c.AvoidWorkers, w.Name) {
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

// ignoresAvoidList reports whether the call has failed on every usable worker; it may then use any of them.
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
