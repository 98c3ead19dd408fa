// Package outlier judges a backend server by what became of the requests that one host sent to it. A server that
// fails at once looks idle, so that without it placement would send everything there.
package outlier

import (
	"math"
	"time"
)

const (
	// BaseEjectionTime is how long a server that fails is left out: a few beats of the platform's list.
	BaseEjectionTime = 1500 * time.Millisecond
	// maxEjectionTime bounds the time for a server that fails again each time it returns. On the played days a fault of a
	// server lasts 5 s, so that a sound one is missed for less than that.
	maxEjectionTime = 3 * time.Second
	// consecutiveFailureThreshold is the number of answers in a row that break off before the server is left out. One may be a
	// connection that was reset while it was idle.
	consecutiveFailureThreshold = 2
	// probeInterval is the time between two requests to a server that has returned and not answered yet: longer than a
	// turn's objective, after which a sound server has answered.
	probeInterval = 250 * time.Millisecond
	// failureRateWeight is the weight of one outcome in the rate of failures: about five recent ones count.
	failureRateWeight = 0.2
	// failureRateHalfLife is the time in which a rate of failures without new requests falls to a half, so that a server
	// that recovered is tried again. It is half of the time that a fault lasts on the played days.
	failureRateHalfLife = 2500 * time.Millisecond
)

// State is what a host knows of one server. The zero value is that of a server without failures.
type State struct {
	// consecutiveFailures counts those since the last success.
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	probeUntil          time.Time // end of the time that a trial request has for itself
	failureRate         float64
	failureRateAt       time.Time
}

// RecordConnectFailure records a failure that shows that the server does not serve. It reports whether the server is left out
// from now on and was not before.
func (r *State) RecordConnectFailure(now time.Time) bool {
	r.updateFailureRate(now, 1)
	r.consecutiveFailures = max(r.consecutiveFailures+1, consecutiveFailureThreshold)
	return r.eject(now)
}

// RecordResponseFailure records an answer that broke off or that is no answer. It reports whether the server is left out from now on
// and was not before.
func (r *State) RecordResponseFailure(now time.Time) bool {
	r.updateFailureRate(now, 1)
	r.consecutiveFailures++
	return r.consecutiveFailures >= consecutiveFailureThreshold && r.eject(now)
}

// RecordSuccess records an answer.
func (r *State) RecordSuccess(now time.Time) {
	if r.failureRate > 0 {
		r.updateFailureRate(now, 0)
	}
	r.consecutiveFailures, r.ejectionTime, r.ejectedUntil, r.probeUntil = 0, 0, time.Time{}, time.Time{}
}

// eject extends the time only if the server had returned: requests that were under way together fail together.
func (r *State) eject(now time.Time) bool {
	if now.Before(r.ejectedUntil) {
		return false
	}
	r.ejectionTime = min(max(2*r.ejectionTime, BaseEjectionTime), maxEjectionTime)
	r.ejectedUntil = now.Add(r.ejectionTime)
	return true
}

func (r *State) updateFailureRate(now time.Time, outcome float64) {
	r.failureRate = r.FailureRate(now)*(1-failureRateWeight) + outcome*failureRateWeight
	r.failureRateAt = now
}

// RecordSelection records that the server is given a request. One that is doubtful gets no other until it answers or the time
// of the trial is over.
func (r *State) RecordSelection(now time.Time) {
	if r.RecentlyEjected() {
		r.probeUntil = now.Add(probeInterval)
	}
}

// Ejected reports whether the server is left out.
func (r *State) Ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil) || now.Before(r.probeUntil)
}

// RecentlyEjected reports whether the server was left out and has not answered since.
func (r *State) RecentlyEjected() bool { return r.consecutiveFailures >= consecutiveFailureThreshold }

// FailureRate returns the share of recent requests that failed, from 0 to 1.
func (r *State) FailureRate(now time.Time) float64 {
	if r.failureRate == 0 {
		return 0
	}
	return r.failureRate * math.Exp2(-float64(now.Sub(r.failureRateAt))/float64(failureRateHalfLife))
}
