package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// programsMemory is the time over which the requests and starts of programs are averaged.
	programsMemory = 20 * time.Second
	// minStarts is the number of starts from which the requests of a program are estimated.
	minStarts = 5
)

// Programs estimates how many requests a program makes. The zero value knows nothing. It is not safe for concurrent use.
type Programs struct {
	requests, starts float64
	at               time.Duration
}

func (p *Programs) decay(now time.Duration) {
	factor := math.Exp(-float64(now-p.at) / float64(programsMemory))
	p.requests, p.starts, p.at = p.requests*factor, p.starts*factor, now
}

// RecordRequests records requests of programs.
func (p *Programs) RecordRequests(now time.Duration, n int) {
	p.decay(now)
	p.requests += float64(n)
}

// RecordStart records that a program starts.
func (p *Programs) RecordStart(now time.Duration) {
	p.decay(now)
	p.starts++
}

// RequestsPerProgram returns the estimate; 0 if too few programs have started.
func (p *Programs) RequestsPerProgram(now time.Duration) float64 {
	p.decay(now)
	if p.starts < minStarts {
		return 0
	}
	return max(p.requests/p.starts, 1)
}

// StartProgram reports whether a program of the team with the limit l may start. Programs start at the rate at which the
// quota completes them, so that few are refused midway: those would be lost with all that they have used. If it may not,
// retryAfter is the time after which it may come again. requestsPerProgram is 0 if it is not known.
func (a *Account) StartProgram(now time.Duration, l Limit, requestsPerProgram float64) (retryAfter time.Duration, ok bool) {
	if requestsPerProgram <= 0 || l.PerSecond <= 0 {
		return 0, true
	}
	perSecond := rate.Limit(l.PerSecond / requestsPerProgram)
	// The requests of a program are spread over programTime, in which tokens accrue.
	burst := max(int((float64(a.bounds.capacity(l))+l.PerSecond*programTime.Seconds())/requestsPerProgram), 1)
	if a.starts == nil {
		a.starts = rate.NewLimiter(perSecond, burst)
	}
	a.starts.SetLimitAt(at(now), perSecond)
	a.starts.SetBurstAt(at(now), burst)
	a.usedAt = now
	if a.starts.AllowN(at(now), 1) {
		return 0, true
	}
	missing := 1 - a.starts.TokensAt(at(now))
	return min(time.Duration(missing/float64(perSecond)*float64(time.Second)), maxRetryAfter), false
}
