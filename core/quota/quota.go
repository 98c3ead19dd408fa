// Package quota keeps the requests of a team, through all hosts together, within its quota. One host keeps the account of a
// team and leases tokens to the others for a short time, so that what a lost host holds expires by itself. It is pure: times
// are arguments, by a clock that counts while the host is suspended.
package quota

import (
	"math"
	"time"
)

const (
	// maxLeaseTime is the longest time for which tokens are leased, and minLeaseTime the shortest: tokens must outlive a
	// round trip.
	maxLeaseTime = 400 * time.Millisecond
	minLeaseTime = 50 * time.Millisecond
	// defaultWindow is the window of a quota for which the settings have none.
	defaultWindow = 5 * time.Second
	// leaseFraction is the part of the window, as a fraction of the tolerance, for which tokens are leased: tokens that were
	// granted before an interval are used in it.
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
	// scarceFraction is the part of its capacity below which an account keeps its tokens for programs in progress: a
	// program that is refused midway is lost with all that it has used. Teams usually use 1/1.6 of their quotas.
	scarceFraction = 0.2
	// scarceTTL is how long a host takes the tokens to be scarce after it was told so.
	scarceTTL = 500 * time.Millisecond
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

// span returns the time in which the grants of an account are counted: a token that is used at the end of its lease in one
// window may have been granted that much earlier.
func (b Bounds) span() time.Duration {
	window := b.Window
	if window <= 0 {
		window = defaultWindow
	}
	return window + b.LeaseTime() + window/windowSlots
}

// capacity returns the tokens that are granted within the window at most.
func (b Bounds) capacity(l Limit) int {
	window := b.Window
	if window <= 0 {
		window = defaultWindow
	}
	return max(int(l.PerSecond*window.Seconds()+l.Burst+slackFraction*b.Slack), 1)
}

// Account grants the tokens of one team. It is not safe for concurrent use.
type Account struct {
	bounds  Bounds
	limit   Limit
	granted window
	askers  map[string]time.Duration
	usedAt  time.Duration
}

// NewAccount returns an account at the time now. It has all tokens unless another host may have granted some lately.
func NewAccount(now time.Duration, l Limit, b Bounds, full bool) *Account {
	tokens := b.capacity(l)
	if !full {
		tokens = 0
	}
	return NewAdoptedAccount(now, l, b, float64(tokens))
}

// NewAdoptedAccount returns an account with the tokens that another host's account had when it was handed over. When the others
// were granted is not known; they are taken to have been granted at a constant rate.
func NewAdoptedAccount(now time.Duration, l Limit, b Bounds, tokens float64) *Account {
	used := b.capacity(l) - min(int(max(tokens, 0)), b.capacity(l))
	return &Account{bounds: b, limit: l, granted: spread(now, b.span(), used), askers: map[string]time.Duration{}, usedAt: now}
}

// Grant is what a host gets of the tokens that it asked for.
type Grant struct {
	Tokens int
	// AskAfter is the time after which the host should ask again, and RetryAfter that after which callers should come again.
	// Both are 0 if the host got all tokens.
	AskAfter, RetryAfter time.Duration
	// Scarce is set if what is left is kept for programs in progress.
	Scarce bool
}

// Grant grants the host up to that many tokens of a team with the limit l.
func (a *Account) Grant(now time.Duration, host string, tokens int, l Limit) Grant {
	a.limit, a.usedAt = l, now
	a.granted.expire(now)
	capacity := a.bounds.capacity(l)
	granted := max(min(tokens, capacity-a.granted.total, MaxWanted), 0)
	a.granted.add(now, granted)
	left := capacity - a.granted.total
	scarce := float64(left) < scarceFraction*float64(capacity)
	if granted >= tokens {
		delete(a.askers, host)
		return Grant{Tokens: granted, Scarce: scarce}
	}
	a.askers[host] = now
	for other, askedAt := range a.askers {
		if now-askedAt > askerTTL {
			delete(a.askers, other)
		}
	}
	return Grant{
		Tokens:     granted,
		Scarce:     scarce,
		AskAfter:   min(max(a.granted.freeIn(now, 1-left), minAskDelay), maxAskDelay),
		RetryAfter: min(a.granted.freeIn(now, (len(a.askers)+1)/2-left), maxRetryAfter),
	}
}

// IsIdle reports whether the account can be forgotten: it has all tokens again, so that a new one is the same.
func (a *Account) IsIdle(now time.Duration) bool { return now-a.usedAt > a.granted.span }

// Tokens returns the tokens of the account.
func (a *Account) Tokens(now time.Duration) float64 {
	a.granted.expire(now)
	return float64(max(a.bounds.capacity(a.limit)-a.granted.total, 0))
}

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
	// scarceUntil is until when programs should not start.
	scarceUntil time.Duration
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
	h.deniedUntil, h.retryAfter, h.scarceUntil = 0, 0, 0
	if g.Scarce {
		h.scarceUntil = now + scarceTTL
	}
	if g.AskAfter > 0 {
		h.deniedUntil, h.retryAfter = now+g.AskAfter, g.RetryAfter
	}
}

// Scarce reports whether the tokens are kept for programs in progress.
func (h *Holder) Scarce(now time.Duration) bool { return now < h.scarceUntil }

// DeniedFor returns for how long the host asks for no more tokens; 0 if it was not denied any.
func (h *Holder) DeniedFor(now time.Duration) time.Duration { return max(h.deniedUntil-now, 0) }

// Denied reports whether the quota is used up for now, and after which time callers should come again.
func (h *Holder) Denied(now time.Duration) (retryAfter time.Duration, denied bool) {
	return h.retryAfter, now < h.deniedUntil
}
