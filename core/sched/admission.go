package sched

import (
	"sort"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// Reasons for which a call is refused.
const (
	// ReasonDeadline: the call is not expected to start before its program's deadline, or the deadline has passed.
	ReasonDeadline = "expected_wait_exceeds_time_left"
	// ReasonBacklog: a program's first call is expected to wait for longer than maxBacklogWait.
	ReasonBacklog = "backlog_full"
	// ReasonQuarantined: the call ends the workers that run it.
	ReasonQuarantined = "ends_workers"
)

const (
	// maxBacklogWait bounds the expected wait of a program's first call, in milliseconds: callers of an event that
	// lasts for tens of minutes are better served by an answer than by a longer wait.
	maxBacklogWait clock.Millis = 900_000
	// minRetryAfter is the shortest retry delay given with a refusal, in milliseconds.
	minRetryAfter clock.Millis = 1000
	// startBucketPeriod and startBucketCount make up the window of one minute over which the rate of program starts
	// is measured.
	startBucketPeriod clock.Millis = 10_000
	// defaultServiceMS is the assumed service time of a call before any has finished.
	defaultServiceMS = 2000.0
)

const startBucketCount = 6

// throughputEstimator measures the mean service time of calls and the rate at which programs start.
type throughputEstimator struct {
	serviceTimeMS framework.RunningMean
	// starts counts the started programs per bucket; bucketStart is when the current bucket began.
	starts        [startBucketCount]int
	bucketStart   clock.Millis
	filledBuckets int
	currentBucket int
}

func (o *throughputEstimator) addServiceTime(ms float64) { o.serviceTimeMS.Add(ms) }

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

// startsPerMS returns the rate of program starts per millisecond in the window; false before the second bucket
// and while no program started in the window.
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

// expectedWait estimates how long the call will wait, in milliseconds: until the calls ahead of it free a slot, and
// for new work until the new programs ahead of it have started. New programs don't count for a call of a started
// program, which is never refused in their favor, even when the policy serves them first. It is 0 while no worker is
// usable, since there is no basis for an estimate.
func (g *group) expectedWait(c *call) clock.Millis {
	slots, freeSlots := 0, 0
	for _, w := range g.Workers {
		if w.Usable {
			slots += w.MaxRunning
			freeSlots += w.FreeSlots()
		}
	}
	if slots == 0 {
		return 0
	}
	newWorkAhead := 0
	if c.StartsNewWork() {
		newWorkAhead = callsAhead(g.queue.newWork, c)
	}
	ahead := newWorkAhead + callsAhead(g.queue.startedWork, c)
	if ahead == 0 && freeSlots > 0 {
		return 0
	}
	var waitMS float64
	if ahead >= freeSlots {
		waitMS = float64(ahead-freeSlots+1) * g.throughput.serviceTimeMS.ValueOr(defaultServiceMS) / float64(slots)
	}
	if rate, ok := g.throughput.startsPerMS(g.Now); ok && c.StartsNewWork() {
		waitMS = max(waitMS, float64(newWorkAhead)/rate)
	}
	return clock.Millis(waitMS)
}

// callsAhead returns how many calls of a list in queue order precede c.
func callsAhead(list []*call, c *call) int {
	return sort.Search(len(list), func(i int) bool { return compareCalls(list[i], c) >= 0 })
}

// checkAdmission returns the reason to refuse an arriving call, or "" to admit it. A call is refused when its
// deadline passes before it is expected to start, and new work that isn't urgent when its expected wait exceeds
// maxBacklogWait. retryAfter, in milliseconds, is the time until the calls now ahead are expected to have run, or
// the backlog to be within its bound.
func (g *group) checkAdmission(c *call) (reason string, retryAfter clock.Millis) {
	if verdict, _ := g.poison.Verdict(g.time(), c.fingerprints); verdict == poison.Quarantined {
		return ReasonQuarantined, 0
	}
	wait := g.expectedWait(c)
	if d := c.Program.Deadline; d > 0 && g.Now+wait > d {
		return ReasonDeadline, max(wait, minRetryAfter)
	}
	if c.StartsNewWork() && !c.urgent && wait > maxBacklogWait {
		return ReasonBacklog, max(wait-maxBacklogWait, minRetryAfter)
	}
	return "", 0
}

// refuseOverdue refuses the waiting calls whose program's deadline has passed.
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

// refusedCall is the refusal that a repeated Enqueued of the call receives until retryAt.
type refusedCall struct {
	reason  string
	retryAt clock.Millis
}
