package sched

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// Reasons of refusals.
const (
	reasonDeadline = "expected_wait_exceeds_time_left"
	reasonBacklog  = "backlog_full"
)

const (
	// backlogWait bounds the expected wait of a program's first call, in milliseconds. A program that would
	// wait longer is refused before it runs.
	backlogWait clock.Millis = 60_000
	// minRetryAfter is the shortest time after which a refused caller is asked to return, in milliseconds.
	minRetryAfter clock.Millis = 1000
	// defaultServiceMS stands for the length of a call before any has finished.
	defaultServiceMS = 2000.0
)

// overload estimates how fast the group works off its queue.
type overload struct {
	service framework.Mean
}

func (o *overload) served(ms float64) { o.service.Add(ms) }

// expectedWait returns the time until n calls ahead in the queue have been granted.
func (g *group) expectedWait(n int) clock.Millis {
	places, free := 0, 0
	for _, w := range g.Workers {
		if w.Usable {
			places += w.MaxRunning
			free += w.Free()
		}
	}
	if n < free {
		return 0
	}
	if places == 0 {
		return 0
	}
	return clock.Millis(float64(n-free+1) * g.overload.service.Or(defaultServiceMS) / float64(places))
}

// refusal decides whether a call is turned away as it arrives. Calls of programs under way are refused only
// when their own deadline cannot be met.
func (g *group) refusal(c *call) (reason string, retryAfter clock.Millis) {
	if c.Program.Class == framework.Urgent {
		return "", 0
	}
	wait := g.expectedWait(g.queue.len())
	if c.First() && wait > backlogWait {
		return reasonBacklog, max(wait-backlogWait, minRetryAfter)
	}
	return "", 0
}

// refuseOverdue refuses waiting calls whose program's deadline has passed.
func (g *group) refuseOverdue() {
	for _, c := range g.queue.all() {
		if c.Program.Deadline > 0 && g.Now > c.Program.Deadline {
			delete(g.calls, c.id)
			g.queue.remove(c)
			g.refuse(c, reasonDeadline, minRetryAfter)
		}
	}
}

func (g *group) refuse(c *call, reason string, retryAfter clock.Millis) {
	g.refused[c.id] = g.Now + retryAfter
	g.emit(Refuse{Call: c.id, Home: c.home, Reason: reason, RetryAfterMS: int64(retryAfter)})
	if p := c.Program; !p.Started && p.Waiting == 0 {
		g.forget(p)
	}
}
