// Package quota keeps the requests of a team, through all hosts together, within its quota. One host keeps the account of a
// team and leases tokens to the others for a short time, so that what a lost host holds expires by itself. It is pure: times
// are arguments, by a clock that counts while the host is suspended.
package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxLeaseTime is the longest time for which tokens are leased, and minLeaseTime the shortest: tokens must outlive a
	// round trip.
	maxLeaseTime = 400 * time.Millisecond
	minLeaseTime = 50 * time.Millisecond
	// leaseFraction is the part of the tolerance that leases use up: tokens that were granted before an interval are used
	// in it. The rest covers the time between the use of a token and the arrival of the request at the server.
	leaseFraction = 0.8
	// slackFraction is the part of the slack that is granted beyond the burst, because requests of a team within its quota
	// reach the servers less evenly than callers send them.
	slackFraction = 0.5
	// MaxWanted bounds the tokens that a host may ask for at once.
	MaxWanted = 4096
	// minAskDelay and maxAskDelay bound the time after which a host asks again that got fewer tokens than it wanted.
	minAskDelay = 5 * time.Millisecond
	maxAskDelay = 100 * time.Millisecond
	// maxRetryAfter bounds the time after which callers are told to come again.
	maxRetryAfter = 2 * time.Second
	// programTime is the time over which the requests of a program are spread: programs of several turns take seconds.
	programTime = 5 * time.Second
	// askerTTL is how long a host that got fewer tokens than it wanted counts as one that waits.
	askerTTL = time.Second
)

// Limit is a quota in requests per second, and what may be sent beyond it after a pause.
type Limit struct{ PerSecond, Burst float64 }

// Bounds say how exactly quotas must hold: in any window, by up to the tolerance (a fraction) and the slack (requests).
type Bounds struct {
	Window    time.Duration
	Tolerance float64
	Slack     float64
}

// LeaseTime returns how long tokens are leased.
func (b Bounds) LeaseTime() time.Duration {
	if b.Window <= 0 {
		return maxLeaseTime
	}
	return min(max(time.Duration(leaseFraction*b.Tolerance*float64(b.Window)), minLeaseTime), maxLeaseTime)
}

// capacity returns the tokens that an account holds at most.
func (b Bounds) capacity(l Limit) int { return max(int(l.Burst+slackFraction*b.Slack), 1) }

// Account grants the tokens of one team. It is not safe for concurrent use.
type Account struct {
	bounds  Bounds
	limit   Limit
	limiter *rate.Limiter
	// starts limits the programs that start; nil until the first one.
	starts *rate.Limiter
	askers map[string]time.Duration
	usedAt time.Duration
}

// at translates times of the host's clock to those of the limiter.
func at(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// NewAccount returns an account at the time now. It is full unless another host may have granted tokens lately.
func NewAccount(now time.Duration, l Limit, b Bounds, full bool) *Account {
	a := &Account{bounds: b, limit: l, limiter: rate.NewLimiter(rate.Limit(l.PerSecond), b.capacity(l)), askers: map[string]time.Duration{}, usedAt: now}
	if !full {
		a.limiter.AllowN(at(now), b.capacity(l))
	}
	return a
}

// NewAdoptedAccount returns an account with the tokens that another host's account had when it was handed over.
func NewAdoptedAccount(now time.Duration, l Limit, b Bounds, tokens float64) *Account {
	a := NewAccount(now, l, b, true)
	a.limiter.AllowN(at(now), b.capacity(l)-int(min(max(tokens, 0), float64(b.capacity(l)))))
	return a
}

// Grant is what a host gets of the tokens that it asked for.
type Grant struct {
	Tokens int
	// AskAfter is the time after which the host should ask again, and RetryAfter that after which callers should come again.
	// Both are 0 if the host got all tokens.
	AskAfter, RetryAfter time.Duration
}

// Grant grants the host up to that many tokens of a team with the limit l.
func (a *Account) Grant(now time.Duration, host string, tokens int, l Limit) Grant {
	if l != a.limit {
		a.limit = l
		a.limiter.SetLimitAt(at(now), rate.Limit(l.PerSecond))
		a.limiter.SetBurstAt(at(now), a.bounds.capacity(l))
	}
	a.usedAt = now
	level := a.limiter.TokensAt(at(now))
	granted := max(min(tokens, int(level), MaxWanted), 0)
	if granted > 0 && !a.limiter.AllowN(at(now), granted) {
		granted = 0 // a rounding error of the limiter
	}
	if granted >= tokens {
		delete(a.askers, host)
		return Grant{Tokens: granted}
	}
	a.askers[host] = now
	for other, askedAt := range a.askers {
		if now-askedAt > askerTTL {
			delete(a.askers, other)
		}
	}
	missing := max(1-(level-float64(granted)), 0)
	return Grant{
		Tokens:     granted,
		AskAfter:   min(max(a.duration(missing), minAskDelay), maxAskDelay),
		RetryAfter: min(a.duration(missing+float64(len(a.askers)-1)/2), maxRetryAfter),
	}
}

// duration returns the time in which that many tokens accrue.
func (a *Account) duration(tokens float64) time.Duration {
	if a.limit.PerSecond <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(tokens/a.limit.PerSecond, 60) * float64(time.Second))
}

// IsIdle reports whether the account can be forgotten: it is full again, so that a new one is the same.
func (a *Account) IsIdle(now time.Duration) bool {
	return now-a.usedAt > a.duration(float64(a.bounds.capacity(a.limit)))+time.Second
}

// Tokens returns the tokens of the account.
func (a *Account) Tokens(now time.Duration) float64 { return a.limiter.TokensAt(at(now)) }

const (
	// demandTime is the time over which the demand of a host is averaged.
	demandTime = 500 * time.Millisecond
	// aheadTime is the time for which a host asks for tokens in advance, and lowTime the time for which its tokens last when
	// it asks for more. Together they are shorter than a lease, so that few tokens expire.
	aheadTime = 200 * time.Millisecond
	lowTime   = 100 * time.Millisecond
	// minAhead is the least number of tokens that a host asks for in advance. With fewer, many expire: of a team with 100
	// requests a second through 39 hosts, 3 in 100 were refused at 0.95 of its quota.
	minAhead = 3
)

// Holder holds the tokens that one host has leased for one team. The zero value holds none. It is not safe for concurrent
// use.
type Holder struct {
	leases []lease // in the order of their ends
	// demand is the weighted number of requests until demandAt.
	demand   float64
	demandAt time.Duration
	// deniedUntil is until when the host got fewer tokens than it wanted, and retryAfter what it was told then.
	deniedUntil, retryAfter time.Duration
}

type lease struct {
	tokens int
	end    time.Duration
}

// Available returns the tokens that may be used now.
func (h *Holder) Available(now time.Duration) int {
	for len(h.leases) > 0 && (h.leases[0].end <= now || h.leases[0].tokens == 0) {
		h.leases = h.leases[1:]
	}
	n := 0
	for _, l := range h.leases {
		n += l.tokens
	}
	return n
}

// Use uses one token, or reports false if there is none.
func (h *Holder) Use(now time.Duration) bool {
	if h.Available(now) == 0 {
		return false
	}
	h.leases[0].tokens--
	return true
}

// RecordRequest records a request of the team, for the demand.
func (h *Holder) RecordRequest(now time.Duration) {
	h.demand = h.demand*math.Exp(-float64(now-h.demandAt)/float64(demandTime)) + 1
	h.demandAt = now
}

// expected returns the requests that are expected within d.
func (h *Holder) expected(now, d time.Duration) float64 {
	decayed := h.demand * math.Exp(-float64(now-h.demandAt)/float64(demandTime))
	return decayed * float64(d) / float64(demandTime)
}

// Wanted returns how many tokens the host should ask for now; 0 for none. claimed is the number of requests that are to use a
// token, with or without one.
func (h *Holder) Wanted(now time.Duration, claimed int) int {
	available := h.Available(now) - claimed
	ahead := int(h.expected(now, aheadTime))
	if ahead < minAhead {
		ahead = 0
	}
	if now < h.deniedUntil || available >= 0 && (ahead == 0 || float64(available) >= h.expected(now, lowTime)) {
		return 0
	}
	return min(max(ahead-available, 0), MaxWanted)
}

// Lease adds the tokens of a grant that was asked for at askedAt. The account granted them later, so that they are used
// within the time of a lease after that, however long the answer took.
func (h *Holder) Lease(now, askedAt, leaseTime time.Duration, g Grant) {
	if g.Tokens > 0 && askedAt+leaseTime > now {
		h.leases = append(h.leases, lease{tokens: g.Tokens, end: askedAt + leaseTime})
	}
	h.deniedUntil, h.retryAfter = 0, 0
	if g.AskAfter > 0 {
		h.deniedUntil, h.retryAfter = now+g.AskAfter, g.RetryAfter
	}
}

// Denied reports whether the quota is used up for now, and after which time callers should come again.
func (h *Holder) Denied(now time.Duration) (retryAfter time.Duration, denied bool) {
	return h.retryAfter, now < h.deniedUntil
}

// AskableIn returns the time after which the host may ask again; 0 if it may ask now.
func (h *Holder) AskableIn(now time.Duration) time.Duration { return max(h.deniedUntil-now, 0) }
