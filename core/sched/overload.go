package sched

import (
	"sort"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// Reasons of refusals.
const (
	// ReasonDeadline is the reason when the expected wait exceeds the time left.
	ReasonDeadline = "expected_wait_exceeds_time_left"
	// ReasonBacklog is the reason when too many programs wait to start.
	ReasonBacklog = "backlog_full"
)

const (
	// backlogWait bounds the expected wait of a program's first call, in milliseconds: callers of an event that
	// lasts for tens of minutes are better served by an answer than by a longer wait.
	backlogWait clock.Millis = 900_000
	// minRetryAfter is the shortest time after which a refused caller is asked to return, in milliseconds.
	minRetryAfter clock.Millis = 1000
	// rateBucket and rateBuckets make the window of one minute in which the rate of starts is measured.
	rateBucket clock.Millis = 10_000
	// defaultServiceMS stands for the length of a call before any has finished.
	defaultServiceMS = 2000.0
)

const rateBuckets = 6

// overload estimates how fast the group works off its queue.
type overload struct {
	service framework.Mean
	// starts counts programs started per bucket; since is the start of the latest bucket.
	starts  [rateBuckets]int
	since   clock.Millis
	filled  int
	current int
}

func (o *overload) served(ms float64) { o.service.Add(ms) }

// started counts the start of a program.
func (o *overload) started(now clock.Millis) {
	o.advance(now)
	o.starts[o.current]++
}

func (o *overload) advance(now clock.Millis) {
	if o.filled == 0 || now-o.since >= rateBucket*rateBuckets {
		*o = overload{service: o.service, since: now, filled: 1}
		return
	}
	for now-o.since >= rateBucket {
		o.since += rateBucket
		o.current = (o.current + 1) % rateBuckets
		o.starts[o.current] = 0
		o.filled = min(o.filled+1, rateBuckets)
	}
}

// startsPerMS returns the rate of starts in the window; false as long as there is too little to go by.
func (o *overload) startsPerMS(now clock.Millis) (float64, bool) {
	o.advance(now)
	if o.filled < 2 {
		return 0, false
	}
	var sum int
	for _, n := range o.starts {
		sum += n
	}
	span := float64(rateBucket)*float64(o.filled-1) + float64(now-o.since)
	return float64(sum) / span, sum > 0
}

// expectedWait estimates how long the call will wait: for the places that the calls ahead of it take, and for
// the programs that start before it. New programs do not count for a call of a program under way, which is never
// refused in their favour, even when the policy serves them first. It is 0 while no worker is usable, since nothing is known then.
func (g *group) expectedWait(c *call) clock.Millis {
	places, free := 0, 0
	for _, w := range g.Workers {
		if w.Usable {
			places += w.MaxRunning
			free += w.Free()
		}
	}
	if places == 0 {
		return 0
	}
	newer := 0
	if c.First() {
		newer = ahead(g.queue.fresh, c)
	}
	calls := newer + ahead(g.queue.underWay, c)
	if calls == 0 && free > 0 {
		return 0
	}
	var wait float64
	if calls >= free {
		wait = float64(calls-free+1) * g.overload.service.Or(defaultServiceMS) / float64(places)
	}
	if rate, ok := g.overload.startsPerMS(g.Now); ok && c.First() {
		wait = max(wait, float64(newer)/rate)
	}
	return clock.Millis(wait)
}

// ahead returns how many calls of a sorted list go before c.
func ahead(list []*call, c *call) int {
	return sort.Search(len(list), func(i int) bool { return compare(list[i], c) >= 0 })
}

// refusal decides whether a call is turned away as it arrives: when its deadline passes before it is
// expected to run, or when it opens a program and the backlog of programs is full. The time after which to retry is when
// the calls that are now ahead are expected to have run, or the backlog to be within its bound.
func (g *group) refusal(c *call) (reason string, retryAfter clock.Millis) {
	wait := g.expectedWait(c)
	if d := c.Program.Deadline; d > 0 && g.Now+wait > d {
		return ReasonDeadline, max(wait, minRetryAfter)
	}
	if c.First() && !c.urgent && wait > backlogWait {
		return ReasonBacklog, max(wait-backlogWait, minRetryAfter)
	}
	return "", 0
}

// refuseOverdue refuses waiting calls whose program's deadline has passed.
func (g *group) refuseOverdue() {
	for _, list := range [][]*call{g.queue.fresh, g.queue.underWay} {
		var overdue []*call
		for _, c := range list {
			if c.Program.Deadline > 0 && g.Now > c.Program.Deadline {
				overdue = append(overdue, c)
			}
		}
		for _, c := range overdue {
			delete(g.calls, c.id)
			g.queue.remove(c)
			g.refuse(c, ReasonDeadline, max(g.expectedWait(c), minRetryAfter))
		}
	}
}

func (g *group) refuse(c *call, reason string, retryAfter clock.Millis) {
	g.refused[c.id] = refusedCall{reason, g.Now + retryAfter}
	g.emit(Refuse{Call: c.id, Home: c.home, Reason: reason, RetryAfterMS: int64(retryAfter)})
	if p := c.Program; !p.Started && p.Waiting == 0 {
		g.forget(p)
	}
}

// refusedCall is what a copy of a refused call is told until the time to retry has come.
type refusedCall struct {
	reason string
	until  clock.Millis
}
