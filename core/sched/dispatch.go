package sched

import (
	"slices"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

const (
	// maxSkipped bounds the calls at the front of the queue that a dispatch passes over because their policy
	// filtered every worker; without it one event could cost a scan of the whole queue.
	maxSkipped = 64
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
	if free > 0 && len(g.queue) > 0 && g.fairness.sinceAged >= agedShare {
		if c := g.oldest(); c != nil {
			if w := g.choose(c, true); w != nil {
				g.fairness.sinceAged = 0
				g.grant(c, w)
				free--
			}
		}
	}
	for i, skipped := 0, 0; free > 0 && i < len(g.queue) && skipped < maxSkipped; {
		c := g.queue[i]
		w := g.choose(c, false)
		if w == nil {
			i++
			skipped++
			continue
		}
		g.fairness.sinceAged++
		g.grant(c, w)
		free--
	}
}

// oldest returns the call that has waited longest if it is aged, or nil.
func (g *group) oldest() *call {
	var old *call
	for _, c := range g.queue {
		if old == nil || c.Seq < old.Seq {
			old = c
		}
	}
	if old == nil || g.Now-old.EnqueuedAt < agedAfter {
		return nil
	}
	return old
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
	g.unqueue(c)
	priority := g.policy.Reserve(&g.Group, &c.Call, w)
	waited := int64(g.Now - c.EnqueuedAt)
	g.start(c, w)
	g.emit(Grant{Call: c.id, Group: g.name, Home: c.home, Worker: w.Name, Priority: priority, WaitedMS: waited})
}
