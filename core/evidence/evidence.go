// Package evidence judges a backend server by what became of the requests that one host sent to it. A server that
// fails at once looks idle, so that without it placement would send everything there.
package evidence

import (
	"math"
	"time"
)

const (
	// OutFor is how long a server that fails is left out: a few beats of the platform's list.
	OutFor = 1500 * time.Millisecond
	// maxOutFor bounds the time for a server that fails again each time it returns. On the played days a fault of a
	// server lasts 5 s, so that a sound one is missed for less than that.
	maxOutFor = 3 * time.Second
	// breaksInRow is the number of answers in a row that break off before the server is left out. One may be a
	// connection that was reset while it was idle.
	breaksInRow = 2
	// trialFor is the time between two requests to a server that has returned and not answered yet: longer than a
	// turn's objective, after which a sound server has answered.
	trialFor = 250 * time.Millisecond
	// failureGain is the weight of one outcome in the rate of failures: about five recent ones count.
	failureGain = 0.2
	// rateHalfLife is the time in which a rate of failures without new requests falls to a half, so that a server
	// that recovered is tried again. It is half of the time that a fault lasts on the played days.
	rateHalfLife = 2500 * time.Millisecond
)

// Record is what a host knows of one server. The zero value is that of a server without failures.
type Record struct {
	// failures counts those since the last success.
	failures int
	out      time.Duration
	until    time.Time
	trial    time.Time // end of the time that a trial request has for itself
	rate     float64
	rated    time.Time
}

// Failed records a failure that shows that the server does not serve. It reports whether the server is left out
// from now on and was not before.
func (r *Record) Failed(now time.Time) bool {
	r.count(now, 1)
	r.failures = max(r.failures+1, breaksInRow)
	return r.leaveOut(now)
}

// Broke records an answer that broke off or that is no answer. It reports whether the server is left out from now on
// and was not before.
func (r *Record) Broke(now time.Time) bool {
	r.count(now, 1)
	r.failures++
	return r.failures >= breaksInRow && r.leaveOut(now)
}

// Succeeded records an answer.
func (r *Record) Succeeded(now time.Time) {
	if r.rate > 0 {
		r.count(now, 0)
	}
	r.failures, r.out, r.until, r.trial = 0, 0, time.Time{}, time.Time{}
}

// leaveOut extends the time only if the server had returned: requests that were under way together fail together.
func (r *Record) leaveOut(now time.Time) bool {
	if now.Before(r.until) {
		return false
	}
	r.out = min(max(2*r.out, OutFor), maxOutFor)
	r.until = now.Add(r.out)
	return true
}

func (r *Record) count(now time.Time, outcome float64) {
	r.rate = r.Rate(now)*(1-failureGain) + outcome*failureGain
	r.rated = now
}

// Chosen records that the server is given a request. One that is doubtful gets no other until it answers or the time
// of the trial is over.
func (r *Record) Chosen(now time.Time) {
	if r.Doubtful() {
		r.trial = now.Add(trialFor)
	}
}

// Out reports whether the server is left out.
func (r *Record) Out(now time.Time) bool { return now.Before(r.until) || now.Before(r.trial) }

// Doubtful reports whether the server was left out and has not answered since.
func (r *Record) Doubtful() bool { return r.failures >= breaksInRow }

// Rate returns the share of recent requests that failed, from 0 to 1.
func (r *Record) Rate(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp2(-float64(now.Sub(r.rated))/float64(rateHalfLife))
}
