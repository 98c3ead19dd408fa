// Package placement chooses the backend server for a request. It is pure: a policy receives a snapshot of the
// servers and returns an index.
package placement

import (
	"slices"
	"time"
)

// Server is one backend server as its entry in the store describes it.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// WarmupRemaining is the rest of the server's warm-up at the time of the entry.
	WarmupRemaining time.Duration
	// StartedAtMS is the start of the server in Unix milliseconds, 0 if it reports none. It tells apart servers that
	// use the same ID one after the other.
	StartedAtMS int64
}

// Candidate is a server with this host's view of its load and failures.
type Candidate struct {
	Server Server
	// InFlight is the number of this host's active requests at the server.
	InFlight int
	// Load is the estimated number of active requests at the server, those of this host included.
	Load float64
	// CachedTokens is the estimated number of the request's prompt tokens in the server's cache.
	CachedTokens int
	// WorkTime is how long work takes at the server now; 1 is usual, 0 is not known. See core/speed.
	WorkTime float64
	// ObjectRank is the server's rank for the object of the request; see RankForObject.
	ObjectRank int
	// Ejected is set by outlier detection; see AllowEjectedPolicy.
	Ejected bool
	// AtCapacity is set if this host has as many requests at the server as it may, or the server refused one
	// recently.
	AtCapacity bool
	// RateLimited is set if the server names a limit on the rate of requests, and PermitDeferred if this host may not send
	// it any now.
	RateLimited, PermitDeferred bool
	// FailureRate is the fraction of this host's recent requests to the server that failed, from 0 to 1.
	FailureRate float64
}

// Request is the part of a request that placement uses.
type Request struct {
	PromptTokens  int
	FailureDomain string // of this host
	// TransferBytes is the expected size of the request and its response, and OpenDomain the failure domain to which they
	// may be sent without paying for these bytes, because this host's own domain is short of servers; see core/spill.
	TransferBytes int
	OpenDomain    string
	// NonRetryable is set if the request must not be sent again after a failure.
	NonRetryable bool
	// Suspect is set if the request may end the server that runs it.
	Suspect bool
	// ExcludedServers has the IDs of the servers that refused or failed this request.
	ExcludedServers map[string]bool
}

// Filter passes the candidates that may get a request. Its name says why the others may not.
type Filter struct {
	Name string
	Pass func(r *Request, c *Candidate) bool
}

// Cost is one part of the cost of a candidate for a request, in milliseconds of expected delay.
type Cost struct {
	Name string
	Of   func(r *Request, c *Candidate) float64
}

// Policy selects the candidates that pass all filters, and among them the one with the lowest sum of costs.
type Policy struct {
	Filters []Filter
	Costs   []Cost
}

// Choose returns the index of the candidate with the lowest cost, or -1 if none passes the filters. Of equal
// candidates it returns the first, so callers shuffle them.
func (p Policy) Choose(r Request, candidates []Candidate) int {
	best, lowestCost := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !p.Passes(&r, c) {
			continue
		}
		total := 0.0
		for i := range p.Costs {
			total += p.Costs[i].Of(&r, c)
		}
		if best < 0 || total < lowestCost {
			best, lowestCost = i, total
		}
	}
	return best
}

// Passes reports whether the candidate passes all filters.
func (p Policy) Passes(r *Request, c *Candidate) bool {
	for i := range p.Filters {
		if !p.Filters[i].Pass(r, c) {
			return false
		}
	}
	return true
}

// NotExcluded passes servers that have not refused or failed the request.
func NotExcluded(r *Request, c *Candidate) bool { return !r.ExcludedServers[c.Server.ID] }

// NotDraining passes servers that are not draining.
func NotDraining(_ *Request, c *Candidate) bool { return !c.Server.Draining }

// BelowCapacity passes servers to which this host may send one more request.
func BelowCapacity(_ *Request, c *Candidate) bool { return !c.AtCapacity }

// NotEjected passes servers that outlier detection has not ejected.
func NotEjected(_ *Request, c *Candidate) bool { return !c.Ejected }

// NotRateLimited passes servers that name no rate limit.
func NotRateLimited(_ *Request, c *Candidate) bool { return !c.RateLimited }

// PermitNotDeferred passes servers to which a request may be sent now as far as rate limits are known.
func PermitNotDeferred(_ *Request, c *Candidate) bool { return !c.PermitDeferred }

// HasFreeSlot passes servers whose estimated load leaves a free slot.
func HasFreeSlot(_ *Request, c *Candidate) bool { return c.Load < float64(c.Server.Slots) }

// Parameters of the cost functions, most of them in milliseconds of expected delay.
const (
	// crossDomainCostMS is the cost of the way to another failure domain: the round trip, 2.8 ms in the wider of the two
	// deployments.
	crossDomainCostMS = 3.0
	// transferCostMSPerKiB is the price of the bytes between domains. A turn of 10 KiB pays about as much as for one more
	// request in a full server's queue: it leaves the domain if it would wait there, and not for a lower load.
	transferCostMSPerKiB = 0.7
	// maxTransferCostMS bounds the price of the bytes: a long request does not wait for more than a quarter of the latency
	// objective of a turn either.
	maxTransferCostMS = 50.0
	// prefillTokensPerMS is the rate at which an engine reads a prompt that is not in its cache; the pages of the
	// deployments state 85 and 101.
	prefillTokensPerMS = 85.0
	// prefillWeight is the weight of the time to read a prompt: it delays the request and the others at the server.
	prefillWeight = 4.0
	// runningRequestCostMS is the delay by one more running request. A turn takes 210 ms at 2 requests, 316 ms at 12.
	runningRequestCostMS = 1.0
	// ownWorkCostMS is the weight of the request's own work at a server that takes twice the usual time, in proportion to
	// runningRequestCostMS: of two idle servers the faster one is chosen. With 15, queues formed at the faster servers while
	// slower ones had free slots, and turns took 3 to 5 in 100 longer near saturation (model of core/speed).
	ownWorkCostMS = 3.0
	// queuedRequestCostMS is the delay by one more request in a full server's queue: a turn of 400 ms over 16 slots.
	queuedRequestCostMS = 10.0
	// rateLimitCostMS is the cost of a server that names a rate limit: a round trip for the permit, which may be denied.
	rateLimitCostMS = 2.0
	// suspectCostMS is the cost, for each request at the server, of a request that may end it and all of them.
	suspectCostMS = 20.0
	// failureCostMS is the delay by a failure of a request that is then sent again: the latency objective of a turn.
	failureCostMS = 200.0
	// nonRetryableFailureCostMS is the cost of a failure of a non-retryable request: all its time is lost.
	nonRetryableFailureCostMS = 2000.0
)

// LoadCost is the expected delay by the running and queued requests at the server.
func LoadCost(_ *Request, c *Candidate) float64 {
	running := min(c.Load, float64(c.Server.Slots))
	queued := max(c.Load-float64(c.Server.Slots)+1, 0)
	return c.workTime() * (running*runningRequestCostMS + queued*queuedRequestCostMS)
}

// workTime returns how long work takes at the server, 1 if that is not known.
func (c *Candidate) workTime() float64 {
	if c.WorkTime <= 0 {
		return 1
	}
	return c.WorkTime
}

// OwnWorkCost is the expected delay of the request's own work by a server that is slower than usual. It is negative for a
// faster one.
func OwnWorkCost(_ *Request, c *Candidate) float64 { return ownWorkCostMS * (c.workTime() - 1) }

// PrefillCost is the weighted time to read the part of the prompt that is not in the server's cache. Only the request's own
// part of the delay depends on the server's speed: with all of it, turns queued at a fast server while a slow one was idle.
func PrefillCost(r *Request, c *Candidate) float64 {
	return (prefillWeight - 1 + c.workTime()) * float64(r.PromptTokens-c.CachedTokens) / prefillTokensPerMS
}

// CrossDomainCost is the cost of a server in another failure domain than this host: the way, and the price of the bytes
// unless the domain is Request.OpenDomain.
func CrossDomainCost(r *Request, c *Candidate) float64 {
	switch c.Server.FailureDomain {
	case r.FailureDomain:
		return 0
	case r.OpenDomain:
		return crossDomainCostMS
	}
	return crossDomainCostMS + min(float64(r.TransferBytes)/1024*transferCostMSPerKiB, maxTransferCostMS)
}

// FailureCost is the expected cost of a failure of the request at the server.
func FailureCost(r *Request, c *Candidate) float64 {
	if r.NonRetryable {
		return c.FailureRate * nonRetryableFailureCostMS
	}
	return c.FailureRate * failureCostMS
}

// SuspectCost is the cost of a suspect request to the others at the server.
func SuspectCost(r *Request, c *Candidate) float64 {
	if r.Suspect {
		return c.Load * suspectCostMS
	}
	return 0
}

// RateLimitCost is the cost of a server that names a rate limit.
func RateLimitCost(_ *Request, c *Candidate) float64 {
	if c.RateLimited {
		return rateLimitCostMS
	}
	return 0
}

// WarmupCost is the cost of a server that still warms up.
func WarmupCost(_ *Request, c *Candidate) float64 {
	if c.Server.WarmupRemaining > 0 {
		return queuedRequestCostMS
	}
	return 0
}

var (
	notExcluded       = Filter{"excluded", NotExcluded}
	notDraining       = Filter{"draining", NotDraining}
	belowCapacity     = Filter{"at capacity", BelowCapacity}
	permitNotDeferred = Filter{"permit deferred", PermitNotDeferred}
	notEjected        = Filter{"ejected", NotEjected}
	notRateLimited    = Filter{"rate limited", NotRateLimited}
	hasFreeSlot       = Filter{"no free slot", HasFreeSlot}
)

// DefaultPolicy returns the policy for engines and plain services: servers that are neither draining nor ejected,
// by expected delay.
func DefaultPolicy() Policy {
	return Policy{
		Filters: []Filter{notExcluded, notDraining, belowCapacity, permitNotDeferred, notEjected},
		Costs: []Cost{
			{"load", LoadCost},
			{"own work", OwnWorkCost},
			{"prompt", PrefillCost},
			{"object", ObjectCost},
			{"domain", CrossDomainCost},
			{"warm-up", WarmupCost},
			{"failures", FailureCost},
			{"rate limit", RateLimitCost},
			{"suspect", SuspectCost},
		},
	}
}

// AllowEjectedPolicy returns the policy for when DefaultPolicy has no candidate: ejected servers are allowed.
func AllowEjectedPolicy() Policy {
	p := DefaultPolicy()
	p.Filters = []Filter{notExcluded, notDraining, belowCapacity, permitNotDeferred}
	return p
}

// WithoutRateLimited returns the policy without servers that name a rate limit.
func (p Policy) WithoutRateLimited() Policy {
	p.Filters = append(slices.Clone(p.Filters), notRateLimited)
	return p
}

// RateLimitedPolicy returns the policy for requests that wait for a permit: servers that name a rate limit.
func RateLimitedPolicy() Policy {
	p := DefaultPolicy()
	isRateLimited := Filter{"not rate limited", func(_ *Request, c *Candidate) bool { return c.RateLimited }}
	p.Filters = []Filter{notExcluded, notDraining, belowCapacity, notEjected, isRateLimited}
	return p
}

// HedgePolicy returns the policy for hedged requests, which must not delay others: DefaultPolicy with a free slot, and
// without servers that name a rate limit.
func HedgePolicy() Policy {
	p := DefaultPolicy()
	p.Filters = append(p.Filters, hasFreeSlot, notRateLimited)
	return p
}
