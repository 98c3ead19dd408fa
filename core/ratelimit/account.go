package ratelimit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxWait is the longest time for which a request is granted in advance.
	MaxWait = 500 * time.Millisecond
	// HandoverDelay is how long a new keeper of an account grants nothing: until then, the requests that a former keeper
	// granted in advance have been sent, and all hosts have heard of the change.
	HandoverDelay = 2 * MaxWait
	// burstTime is the time for which unused requests may be made up for, and minBurst the least number of them: hosts ask
	// at random times.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// minPerSecond is the rate at which a server that takes none is still asked, because only its responses end a limit.
	minPerSecond = 0.2
	// askerTTL is how long a host that has asked counts as waiting.
	askerTTL = 2 * time.Second
)

// Account grants the requests that one server takes from all hosts. It starts without any. It is not safe for concurrent
// use.
type Account struct {
	limiter   *rate.Limiter
	perSecond float64
	// askers holds when each host last asked.
	askers map[string]time.Time
}

// NewAccount returns an account for a server that takes perSecond requests.
func NewAccount(now time.Time, perSecond float64) *Account {
	a := &Account{limiter: rate.NewLimiter(rateLimit(perSecond), burst(perSecond)), perSecond: perSecond, askers: map[string]time.Time{}}
	a.limiter.AllowN(now, burst(perSecond))
	return a
}

func rateLimit(perSecond float64) rate.Limit { return rate.Limit(max(perSecond, minPerSecond)) }

func burst(perSecond float64) int { return max(int(perSecond*burstTime.Seconds()), minBurst) }

// Grant grants the host one request that it may send after wait, at most maxWait from now and not before notBefore. If it
// is not granted, wait is the time after which the host should ask again: the more hosts ask, the later, so that most of
// their requests to the account are granted.
func (a *Account) Grant(now, notBefore time.Time, host string, perSecond float64, maxWait time.Duration) (wait time.Duration, granted bool) {
	at := now
	if notBefore.After(now) {
		at = notBefore
	}
	if perSecond != a.perSecond {
		a.perSecond = perSecond
		a.limiter.SetLimitAt(at, rateLimit(perSecond))
		a.limiter.SetBurstAt(at, burst(perSecond))
	}
	a.askers[host] = now
	reservation := a.limiter.ReserveN(at, 1)
	wait = at.Sub(now) + reservation.DelayFrom(at)
	if wait <= min(maxWait, MaxWait) {
		return wait, true
	}
	reservation.CancelAt(at)
	return wait + a.spread(now), false
}

// spread returns half of the time in which each host that lately asked gets one request.
func (a *Account) spread(now time.Time) time.Duration {
	waiting := 0
	for host, askedAt := range a.askers {
		if now.Sub(askedAt) > askerTTL {
			delete(a.askers, host)
			continue
		}
		waiting++
	}
	return time.Duration(float64(waiting-1) / 2 / float64(rateLimit(a.perSecond)) * float64(time.Second))
}
