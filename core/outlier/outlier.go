// Package outlier detects failing backend servers by the outcomes of one host's requests, and ejects them. Without
// it, placement would prefer a server that fails at once, since such a server has the least load.
package outlier

import (
	"math"
	"time"
)

const (
	// BaseEjectionTime is the first ejection time of a failing server: a few updates of the platform's server list.
	BaseEjectionTime = 1500 * time.Millisecond
	// maxEjectionTime bounds the ejection time, which doubles each time that the server fails again. A fault of a
	// server lasts 5 s in the load tests; a recovered server stays ejected for less than that.
	maxEjectionTime = 3 * time.Second
	// consecutiveFailureThreshold is the number of failed responses in a row that eject a server. A single one may
	// come from a connection that was reset while it was idle.
	consecutiveFailureThreshold = 2
	// probeInterval is the time between two probes of a server whose ejection time is over: longer than the latency
	// objective of a turn, within which a healthy server responds.
	probeInterval = 250 * time.Millisecond
	// failureRateWeight is the weight of one outcome in the failure rate: about five recent ones count.
	failureRateWeight = 0.2
	// failureRateHalfLife is the half-life of the failure rate while no requests are sent, so that a recovered server
	// is used again. It is half of the duration of a fault in the load tests.
	failureRateHalfLife = 2500 * time.Millisecond
)

// State is the state of one server. The zero value is that of a server without failures.
type State struct {
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	probeUntil          time.Time // no second probe before this time
	failureRate         float64
	failureRateAt       time.Time
}

// RecordConnectFailure records that the server accepts no connection, which ejects it at once. It reports whether
// the server was not ejected before.
func (r *State) RecordConnectFailure(now time.Time) bool {
	r.updateFailureRate(now, 1)
	r.consecutiveFailures = max(r.consecutiveFailures+1, consecutiveFailureThreshold)
	return r.eject(now)
}

// RecordResponseFailure records a response that is missing, cut off or an error of the server. It reports whether
// this ejects the server.
func (r *State) RecordResponseFailure(now time.Time) bool {
	r.updateFailureRate(now, 1)
	r.consecutiveFailures++
	return r.consecutiveFailures >= consecutiveFailureThreshold && r.eject(now)
}

// RecordSuccess records a valid response, which ends an ejection.
func (r *State) RecordSuccess(now time.Time) {
	if r.failureRate > 0 {
		r.updateFailureRate(now, 0)
	}
	r.consecutiveFailures, r.ejectionTime, r.ejectedUntil, r.probeUntil = 0, 0, time.Time{}, time.Time{}
}

// eject ejects the server unless it is ejected already: concurrent requests fail together and count once.
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

// RecordSelection records that a request is sent to the server. If the server was ejected and has not responded
// since, the request is a probe, and the server receives no other until it responds or probeInterval is over.
func (r *State) RecordSelection(now time.Time) {
	if r.RecentlyEjected() {
		r.probeUntil = now.Add(probeInterval)
	}
}

// Ejected reports whether the server is ejected or a probe is running.
func (r *State) Ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil) || now.Before(r.probeUntil)
}

// RecentlyEjected reports whether the server was ejected and has not responded since.
func (r *State) RecentlyEjected() bool { return r.consecutiveFailures >= consecutiveFailureThreshold }

// FailureRate returns the fraction of recent requests that failed, from 0 to 1.
func (r *State) FailureRate(now time.Time) float64 {
	if r.failureRate == 0 {
		return 0
	}
	return r.failureRate * math.Exp2(-float64(now.Sub(r.failureRateAt))/float64(failureRateHalfLife))
}
