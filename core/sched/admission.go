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
	// maxBacklogWait bounds the expected wait of a program's first call, in milliseconds: callers of an event that
	// lasts for tens of minutes are better served by an answer than by a longer wait.
	maxBacklogWait clock.Millis = 900_000
	// minRetryAfter is the shortest time after which a refused caller is asked to return, in milliseconds.
	minRetryAfter clock.Millis = 1000
	// startBucketPeriod and rateBuckets make the window of one minute in which the rate of starts is measured.
	startBucketPeriod clock.Millis = 10_000
	// defaultServiceMS stands for the length of a call before any has finished.
	defaultServiceMS = 2000.0
)

const startBucketCount = 6

// throughputEstimator estimates how fast the group works off its queue.
type throughputEstimator struct {
	serviceTimeMS framework.RunningMean
	// starts counts programs started per bucket; since is the start of the latest bucket.
	starts        [startBucketCount]int
	bucketStart   clock.Millis
	filledBuckets int
	currentBucket int
}

func (o *throughputEstimator) addServiceTime(ms float64) { o.serviceTimeMS.Add(ms) }

// addStart counts the start of a program.
func (o *throughputEstimator) addStart(now clock.Millis) {
	o.advance(now)
	o.starts[o.currentBucket]++
}

func (o *throughputEstimator) advance(now clock.Millis) {
	if o.filledBuckets == 0 || now-o.bucketStart >= startBucketPeriod*startBucketCount {
		*o = throughputEstimator{serviceTimeMS: o.serviceTimeMS, bucketStart: now, filledBuckets: 1}
		return
	}
	for now-o.bucketStart >= startBucketPeriod {
		o.bucketStart += startBucketPeriod
		o.currentBucket = (o.currentBucket + 1) % startBucketCount
		o.starts[o.currentBucket] = 0
		o.filledBuckets = min(o.filledBuckets+1, startBucketCount)
	}
}

// startsPerMS returns the rate of starts in the window; false as long as there is too little to go by.
func (o *throughputEstimator) startsPerMS(now clock.Millis) (float64, bool) {
	o.advance(now)
	if o.filledBuckets < 2 {
		return 0, false
	}
	var sum int
	for _, n := range o.starts {
		sum += n
	}
	span := float64(startBucketPeriod)*float64(o.filledBuckets-1) + float64(now-o.bucketStart)
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
			free += w.FreeSlots()
		}
	}
	if places == 0 {
		return 0
	}
	newer := 0
	if c.StartsNewWork() {
		newer = callsAhead(g.queue.newWork, c)
	}
	calls := newer + callsAhead(g.queue.startedWork, c)
	if calls == 0 && free > 0 {
		return 0
	}
	var wait float64
	if calls >= free {
		wait = float64(calls-free+1) * g.throughput.serviceTimeMS.ValueOr(defaultServiceMS) / float64(places)
	}
	if rate, ok := g.throughput.startsPerMS(g.Now); ok && c.StartsNewWork() {
		wait = max(wait, float64(newer)/rate)
	}
	return clock.Millis(wait)
}

// callsAhead returns how many calls of a sorted list go before c.
func callsAhead(list []*call, c *call) int {
	return sort.Search(len(list), func(i int) bool { return compareCalls(list[i], c) >= 0 })
}

// checkAdmission decides whether a call is turned away as it arrives: when its deadline passes before it is
// expected to run, or when it opens a program and the backlog of programs is full. The time after which to retry is when
// the calls that are now ahead are expected to have run, or the backlog to be within its bound.
func (g *group) checkAdmission(c *call) (reason string, retryAfter clock.Millis) {
	wait := g.expectedWait(c)
	if d := c.Program.Deadline; d > 0 && g.Now+wait > d {
		return ReasonDeadline, max(wait, minRetryAfter)
	}
	if c.StartsNewWork() && !c.urgent && wait > maxBacklogWait {
		return ReasonBacklog, max(wait-maxBacklogWait, minRetryAfter)
	}
	return "", 0
}

// refuseOverdue refuses waiting calls whose program's deadline has passed.
func (g *group) refuseOverdue() {
	for _, list := range [][]*call{g.queue.newWork, g.queue.startedWork} {
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
	g.refusedCalls[c.id] = refusedCall{reason, g.Now + retryAfter}
	g.emit(Refuse{Call: c.id, Home: c.home, Reason: reason, RetryAfterMS: int64(retryAfter)})
	if p := c.Program; !p.Started && p.Waiting == 0 {
		g.removeProgram(p)
	}
}

// refusedCall is what a copy of a refused call is told until the time to retry has come.
type refusedCall struct {
	reason  string
	retryAt clock.Millis
}
