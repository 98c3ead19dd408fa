package sched

import (
	"slices"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

const (
	// maxFreshSkipped bounds the first calls that a dispatch passes over because the policy filtered every
	// worker. The policy mostly holds back all of them at once.
	maxFreshSkipped = 2
	// maxMovesTried bounds the calls per dispatch that are tried on workers other than their own.
	maxMovesTried = 2
	// triedAlone is the wait in milliseconds below which a call is not tried on other workers while its own is
	// blocked.
	triedAlone clock.Millis = 1000
	// agedAfter is the wait, in milliseconds, after which a call counts as aged, whatever its class or rank.
	agedAfter clock.Millis = 30_000
	// agedShare gives one grant in this many to the call that has waited longest, once it is aged. With n
	// calls ahead of it in order of arrival, an aged call waits for at most n*agedShare grants.
	agedShare = 16
)

// fairness counts grants, so that a fixed share of them goes to aged calls.
type fairness struct {
	sinceAged int
}

// dispatch grants waiting calls until no call fits anywhere.
func (g *group) dispatch() {
	free := 0
	for _, w := range g.Workers {
		free += w.Free()
	}
	if free > 0 && g.fairness.sinceAged >= agedShare && g.grantAged() {
		free--
	}
	g.blocked, g.moves = g.blocked[:0], 0
	for fresh, underWay := 0, 0; free > 0; {
		next, list := &underWay, g.queue.underWay
		if fresh < len(g.queue.fresh) && (underWay >= len(list) || compare(g.queue.fresh[fresh], list[underWay]) < 0) {
			next, list = &fresh, g.queue.fresh
		}
		if *next >= len(list) {
			return
		}
		c := list[*next]
		if w := g.consider(c); w != nil {
			g.fairness.sinceAged++
			g.grant(c, w)
			free--
			continue
		}
		*next++
		if fresh >= maxFreshSkipped {
			fresh = len(g.queue.fresh)
		}
	}
}

// consider returns the worker for a call of the queue in a dispatch, or nil. Once a worker turned down a
// program that last ran on it, it is not asked again for those that rank lower: smaller calls do not
// overtake, and the dispatch stays short.
func (g *group) consider(c *call) *framework.Worker {
	home := c.Program.Last
	if c.fresh || c.urgent || home == nil {
		return g.choose(c, false)
	}
	if slices.Contains(g.blocked, home) {
		if g.moves >= maxMovesTried || g.Now-c.EnqueuedAt < triedAlone {
			return nil
		}
		g.moves++
	}
	w := g.choose(c, false)
	if w == nil {
		g.blocked = append(g.blocked, home)
	}
	return w
}

// grantNew grants a call that was just enqueued if it fits. Nothing else changed, so no other call is
// tried.
func (g *group) grantNew(c *call) {
	if w := g.choose(c, false); w != nil {
		g.fairness.sinceAged++
		g.grant(c, w)
	}
}

// grantAged gives a place to the call that has waited longest if it is aged.
func (g *group) grantAged() bool {
	c := g.queue.oldest()
	if c == nil || g.Now-c.EnqueuedAt < agedAfter {
		return false
	}
	w := g.choose(c, true)
	if w == nil {
		return false
	}
	g.fairness.sinceAged = 0
	g.grant(c, w)
	return true
}

// choose returns the best worker with a free place for the call, or nil. An aged call goes to any usable
// worker, so that the policy's Filter can delay a call but not stop it.
func (g *group) choose(c *call, aged bool) *framework.Worker {
	var best *framework.Worker
	var bestScore float64
	avoidAll := g.avoidsAll(c)
	for _, w := range g.Workers {
		if w.Free() == 0 || !avoidAll && slices.Contains(c.Avoid, w.Name) {
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

// avoidsAll reports whether the call has failed on every usable worker; it may then use any of them.
func (g *group) avoidsAll(c *call) bool {
	if len(c.Avoid) == 0 {
		return true
	}
	for _, w := range g.Workers {
		if w.Usable && !slices.Contains(c.Avoid, w.Name) {
			return false
		}
	}
	return true
}

func (g *group) grant(c *call, w *framework.Worker) {
	g.queue.remove(c)
	priority := g.policy.Reserve(&g.Group, &c.Call, w)
	waited := int64(g.Now - c.EnqueuedAt)
	c.priority = priority
	g.start(c, w)
	g.emit(Grant{Call: c.id, Group: g.name, Home: c.home, Worker: w.Name, Priority: priority, WaitedMS: waited})
}
