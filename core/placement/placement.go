// Package placement decides which backend server runs a request. It is pure: policies see a snapshot of the
// servers and return a choice.
package placement

import (
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
	// WarmupRemaining is how long the server was to stay slow, as of the entry.
	WarmupRemaining time.Duration
	// StartedAtMS is the start of the server in Unix milliseconds; 0 if it does not say. An ID may be used again by a
	// later start.
	StartedAtMS int64
}

// Candidate is a server with what this host knows of its load.
type Candidate struct {
	Server Server
	// InFlight is the number of requests that this host has at the server.
	InFlight int
	// Load is the estimate of all requests at the server, those of this host included.
	Load float64
	// CachedTokens is the number of the request's prompt tokens that the server is believed to keep.
	CachedTokens int
	// Ejected servers failed lately; they are used only if all are suspect.
	Ejected bool
	// AtCapacity servers have no free connection for this host.
	AtCapacity bool
	// FailureRate is the share of this host's recent requests to the server that failed, from 0 to 1.
	FailureRate float64
}

// Request is what placement needs to know of a request.
type Request struct {
	PromptTokens  int
	FailureDomain string // of this host
	// NonRetryable is set if the request may run only once, so that a failure is its end.
	NonRetryable bool
	// ExcludedServers are servers that refused or failed this request.
	ExcludedServers map[string]bool
}

// CostFunc rates a candidate for a request; the lowest total wins.
type CostFunc func(r Request, c Candidate) float64

// Policy is a list of filters and scores.
type Policy struct {
	Filters []func(r Request, c Candidate) bool
	Costs   []CostFunc
}

// Choose returns the index of the best candidate, or -1 if no candidate passes the filters. Ties go to the earlier
// candidate, so callers shuffle.
func (p Policy) Choose(r Request, candidates []Candidate) int {
	best, bestScore := -1, 0.0
	for i, c := range candidates {
		if !p.passes(r, c) {
			continue
		}
		total := 0.0
		for _, s := range p.Costs {
			total += s(r, c)
		}
		if best < 0 || total < bestScore {
			best, bestScore = i, total
		}
	}
	return best
}

func (p Policy) passes(r Request, c Candidate) bool {
	for _, f := range p.Filters {
		if !f(r, c) {
			return false
		}
	}
	return true
}

// NotExcluded passes servers that have not refused or failed the request.
func NotExcluded(r Request, c Candidate) bool { return !r.ExcludedServers[c.Server.ID] }

// NotDraining passes servers that are not about to leave.
func NotDraining(_ Request, c Candidate) bool { return !c.Server.Draining }

// BelowCapacity passes servers to which this host may send one more request.
func BelowCapacity(_ Request, c Candidate) bool { return !c.AtCapacity }

// NotEjected passes servers that have not failed lately.
func NotEjected(_ Request, c Candidate) bool { return !c.Ejected }

// HasFreeSlot passes servers that are believed to run one more request at once.
func HasFreeSlot(_ Request, c Candidate) bool { return c.Load < float64(c.Server.Slots) }

// Weights of the scores, in milliseconds of expected delay.
const (
	// crossDomainCostMS is the cost of another failure domain: its round trip on the wider of the two deployments, 2.8 ms,
	// and the price of the bytes between domains.
	crossDomainCostMS = 3.0
	// prefillTokensPerMS is the rate at which an engine reads a prompt that it does not keep; the deployments'
	// pages say 85 and 101.
	prefillTokensPerMS = 85.0
	// prefillWeight counts the reading of a prompt twice: it delays the request, and the others at the server.
	prefillWeight = 4.0
	// runningRequestCostMS is the delay by one more running request: on the played days a turn took 210 ms at 2 requests and
	// 316 ms at 12.
	runningRequestCostMS = 1.0
	// queuedRequestCostMS is the delay by one more request in a full server's queue: a turn's 400 ms over 16 slots.
	queuedRequestCostMS = 10.0
	// failureCostMS is the delay by a failure of a request that is then sent again: a turn's objective.
	failureCostMS = 200.0
	// nonRetryableFailureCostMS is the cost of a failure of a request that may run only once: its whole time.
	nonRetryableFailureCostMS = 2000.0
)

// LoadCost scores the expected delay from the server's load.
func LoadCost(_ Request, c Candidate) float64 {
	running := min(c.Load, float64(c.Server.Slots))
	queued := max(c.Load-float64(c.Server.Slots)+1, 0)
	return running*runningRequestCostMS + queued*queuedRequestCostMS
}

// PrefillCost scores the time to read the part of the prompt that the server does not keep.
func PrefillCost(r Request, c Candidate) float64 {
	return prefillWeight * float64(r.PromptTokens-c.CachedTokens) / prefillTokensPerMS
}

// CrossDomainCost scores servers in other failure domains.
func CrossDomainCost(r Request, c Candidate) float64 {
	if r.FailureDomain == c.Server.FailureDomain {
		return 0
	}
	return crossDomainCostMS
}

// FailureCost scores servers that failed lately by the expected cost of one more failure.
func FailureCost(r Request, c Candidate) float64 {
	if r.NonRetryable {
		return c.FailureRate * nonRetryableFailureCostMS
	}
	return c.FailureRate * failureCostMS
}

// WarmupCost scores servers that were started lately.
func WarmupCost(_ Request, c Candidate) float64 {
	if c.Server.WarmupRemaining > 0 {
		return queuedRequestCostMS
	}
	return 0
}

// DefaultPolicy returns the policy of engines and plain services: sound servers that are not about to leave, by expected
// delay.
func DefaultPolicy() Policy {
	return Policy{
		Filters: []func(Request, Candidate) bool{NotExcluded, NotDraining, BelowCapacity, NotEjected},
		Costs:   []CostFunc{LoadCost, PrefillCost, CrossDomainCost, WarmupCost, FailureCost},
	}
}

// AllowEjectedPolicy returns the policy for when Default has no candidate: suspect servers are allowed.
func AllowEjectedPolicy() Policy {
	p := DefaultPolicy()
	p.Filters = []func(Request, Candidate) bool{NotExcluded, NotDraining, BelowCapacity}
	return p
}

// HedgePolicy returns the policy for a request's second copy, which must not delay others: sound servers with a free slot.
func HedgePolicy() Policy {
	p := DefaultPolicy()
	p.Filters = append(p.Filters, HasFreeSlot)
	return p
}
