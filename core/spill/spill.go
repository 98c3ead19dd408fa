// Package spill decides which part of a failure domain's requests to a service may leave the domain for lack of servers.
// It is pure: times and random numbers are arguments.
//
// In normal operation a request pays for the bytes that it would send to another domain (see placement.CrossDomainCost),
// so that it stays unless a cached prompt or a clearly shorter completion is worth more. The price is waived for a share
// of the requests while the domain's load exceeds what its servers can take and another domain has room. Each request
// draws at random whether it belongs to the share, so that the hosts of a domain neither leave nor return together.
package spill

import (
	"math"
	"time"
)

const (
	// leaveAbove is the load, in requests per slot, above which requests begin to leave: beyond it a request often finds
	// all slots of the domain's engines of 6 slots taken.
	leaveAbove = 0.9
	// returnBelow is the load, counting the requests that left, below which none leaves any more. While requests leave,
	// the domain is relieved down to this load.
	returnBelow = 0.8
	// overloadMargin is how far above the load of all domains together a domain must be for requests to leave it while all
	// are overloaded.
	overloadMargin = 0.05
	// riseTime and fallTime are the times in which the share grows from 0 to 1 and falls from 1 to 0. Other hosts see the
	// requests that left after a heartbeat interval, 250 ms; a share that falls more slowly keeps the domain from
	// filling up again at once.
	riseTime = 500 * time.Millisecond
	fallTime = 2 * time.Second
	// fastAverage and slowAverage are the time constants of the averages of the load. Their difference is the trend, which
	// is added once: the load expected after about half a second, the time of two turns.
	fastAverage = 300 * time.Millisecond
	slowAverage = 900 * time.Millisecond
	// UpdateInterval is the shortest time between two updates. Load reports are as old on average.
	UpdateInterval = 50 * time.Millisecond
)

// Domain is the state of a service's usable servers in one failure domain.
type Domain struct {
	Name string
	// Load is the number of active requests at the servers, whichever domain sent them, and FromHome the number of those
	// that the hosts of the home domain sent.
	Load, FromHome float64
	// Capacity is the number of requests that the servers run at once. It is not weighted by their speed, because slower
	// servers show more load already.
	Capacity float64
}

// Controller decides for one service and one home domain, that of the host. The zero value lets no request leave.
type Controller struct {
	updatedAt time.Time
	leaving   bool
	domains   []domainState
}

// domainState holds the averages of one domain, and the share of requests that may leave for it.
type domainState struct {
	name           string
	load, fromHome average
	capacity       float64
	room           float64 // requests that the domain can take from the home domain
	share          float64
}

// average is a number of requests with its trend.
type average struct{ fast, slow float64 }

func newAverage(n float64) average { return average{n, n} }

func (a *average) add(n, fastWeight, slowWeight float64) {
	a.fast += fastWeight * (n - a.fast)
	a.slow += slowWeight * (n - a.slow)
}

// expected returns the average with its trend.
func (a average) expected() float64 { return max(2*a.fast-a.slow, 0) }

// DueForUpdate reports whether UpdateInterval has passed since the last update.
func (c *Controller) DueForUpdate(now time.Time) bool {
	return c.updatedAt.IsZero() || now.Sub(c.updatedAt) >= UpdateInterval
}

// Update takes a new snapshot of the domains into account.
func (c *Controller) Update(now time.Time, home string, snapshot []Domain) {
	elapsed := now.Sub(c.updatedAt)
	if c.updatedAt.IsZero() {
		elapsed = 0
	}
	c.updatedAt = now
	c.average(elapsed, snapshot)

	// offered is the load that the home domain would have if no request had left.
	offered, homeCapacity, fleetLoad, fleetCapacity := 0.0, 0.0, 0.0, 0.0
	for _, d := range c.domains {
		fleetLoad, fleetCapacity = fleetLoad+d.load.expected(), fleetCapacity+d.capacity
		if d.name == home {
			offered, homeCapacity = offered+d.load.expected(), d.capacity
		} else {
			offered += d.fromHome.expected()
		}
	}
	overload := 0.0
	if fleetCapacity > 0 {
		overload = fleetLoad/fleetCapacity + overloadMargin
	}
	threshold := leaveAbove
	if c.leaving {
		threshold = returnBelow
	}
	c.leaving = homeCapacity <= 0 || offered > max(threshold, overload)*homeCapacity
	target := max(returnBelow, overload)

	room := 0.0
	for i := range c.domains {
		d := &c.domains[i]
		d.room = 0
		if d.name != home {
			d.room = max(target*d.capacity-d.load.expected()+d.fromHome.expected(), 0)
		}
		room += d.room
	}
	wanted := 0.0 // the share of all requests
	switch {
	case !c.leaving || room <= 0:
	case homeCapacity <= 0:
		wanted = 1
	default:
		wanted = min(offered-target*homeCapacity, room) / offered
	}
	rise, fall := float64(elapsed)/float64(riseTime), float64(elapsed)/float64(fallTime)
	for i := range c.domains {
		d := &c.domains[i]
		share := 0.0
		if wanted > 0 {
			share = wanted * d.room / room
		}
		d.share = min(max(share, d.share-fall), d.share+rise)
	}
}

// average updates the averages, and keeps the states of the domains of the snapshot only.
func (c *Controller) average(elapsed time.Duration, snapshot []Domain) {
	fast, slow := 1-math.Exp(-float64(elapsed)/float64(fastAverage)), 1-math.Exp(-float64(elapsed)/float64(slowAverage))
	states := make([]domainState, 0, len(snapshot))
	for _, d := range snapshot {
		state := domainState{name: d.Name, load: newAverage(d.Load), fromHome: newAverage(d.FromHome)}
		for _, known := range c.domains {
			if known.name == d.Name {
				state = known
			}
		}
		state.load.add(d.Load, fast, slow)
		state.fromHome.add(d.FromHome, fast, slow)
		state.capacity = d.Capacity
		states = append(states, state)
	}
	c.domains = states
}

// Leaving reports whether the home domain is short of servers.
func (c *Controller) Leaving() bool { return c.leaving }

// Choose returns the domain for which a request may leave without paying for its bytes; empty if it may not. draw is
// uniform in [0, 1).
func (c *Controller) Choose(draw float64) string {
	for _, d := range c.domains {
		if draw < d.share {
			return d.name
		}
		draw -= d.share
	}
	return ""
}

// Share returns the share of requests that may leave for the domain without paying for their bytes.
func (c *Controller) Share(domain string) float64 {
	for _, d := range c.domains {
		if d.name == domain {
			return d.share
		}
	}
	return 0
}

// State is the state of one domain for operators: its expected load, and the share of requests that may leave for it
// without paying for their bytes.
type State struct {
	Domain
	Share float64
}

// States returns the states of all domains, in the order of the last snapshot.
func (c *Controller) States() []State {
	out := make([]State, 0, len(c.domains))
	for _, d := range c.domains {
		out = append(out, State{Domain{d.name, d.load.expected(), d.fromHome.expected(), d.capacity}, d.share})
	}
	return out
}
