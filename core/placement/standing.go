package placement

import "time"

// DefaultUrgency is the rank that an engine gives a request that names none.
const DefaultUrgency = 5

// Class says how a program stands when one of its requests is placed.
type Class int

const (
	// UnderWay programs have begun and can still be finished in time: they hold cache, and they go first.
	UnderWay Class = iota
	// Fresh programs have not begun. They wait while the engines are full, so that those under way stay in time.
	Fresh
	// Late programs can no longer be finished in time. Those that can go before them.
	Late
)

// String returns the name of the class in logs.
func (c Class) String() string { return [...]string{"under way", "fresh", "late"}[c] }

const (
	// slackShare is the part of a program's time that is not needed on idle engines: callers allow 1.3 to 1.7 times
	// what idle engines take.
	slackShare = 1.0 / 3
	// stepMS is the time of one token on an idle engine; the deployments' pages say 2.8 and 3.0 ms.
	stepMS = 3.0
	// turnMS is the rest of a turn on an idle engine: the way, and reading what is new in the prompt.
	turnMS = 25.0
	// freshLoad is the part of a server's slots up to which fresh programs are let in: the rest is for the next turns
	// of programs under way, which spend part of their time at tools.
	freshLoad = 0.85
	// holdShare is the part of a request's time that it may wait for a place.
	holdShare = 0.6
)

// Progress is what is known of a program when one of its turns is placed.
type Progress struct {
	// Turns is the number of turns before this one.
	Turns int
	// Aim is the time that the program had at its first turn, and Left what is left of it.
	Aim, Left time.Duration
	// Lost is what its turns took beyond an idle engine's time.
	Lost time.Duration
}

// Standing is how a program stands.
type Standing struct {
	Class Class
	// Slack is how long a fresh program may wait and still be finished in time.
	Slack time.Duration
}

// StandingOf returns how a program stands.
func StandingOf(p Progress) Standing {
	slack := time.Duration(float64(p.Aim) * slackShare)
	switch {
	case p.Turns == 0:
		return Standing{Class: Fresh, Slack: slack - (p.Aim - p.Left)}
	case p.Left <= 0 || p.Lost > slack:
		return Standing{Class: Late}
	}
	return Standing{Class: UnderWay}
}

// Rank returns the order in which waiting requests get places, lowest first, after a request has waited so long.
func Rank(s Standing, waited time.Duration) int {
	if s.Class == Fresh && waited > s.Slack {
		return int(Late)
	}
	return int(s.Class)
}

// Plan says how a request is placed.
type Plan struct {
	// Policies are tried in order; if none finds a server, the request waits.
	Policies []Policy
	// Hold bounds the wait, and Last is tried at its end; nil refuses the request.
	Hold time.Duration
	Last []Policy
}

// PlanFor returns the plan for a request that has so much time left.
func PlanFor(s Standing, left time.Duration) Plan {
	hold := time.Duration(float64(left) * holdShare)
	switch s.Class {
	case Fresh:
		return Plan{Policies: []Policy{upTo(freshLoad)}, Hold: hold}
	case Late:
		return Plan{Policies: []Policy{upTo(1)}, Hold: hold, Last: []Policy{Default(), LastResort()}}
	}
	return Plan{Policies: []Policy{Default(), LastResort()}, Hold: hold}
}

// upTo returns the default policy for servers whose load is below a part of their slots.
func upTo(share float64) Policy {
	p := Default()
	p.Filters = append(p.Filters, func(_ Request, c Candidate) bool {
		return c.Load < float64(c.Server.Slots)*share
	})
	return p
}

// LostTime returns what a turn that generated the tokens took beyond an idle engine's time.
func LostTime(took time.Duration, tokens int) time.Duration {
	idle := time.Duration((turnMS + stepMS*float64(tokens)) * float64(time.Millisecond))
	return max(took-idle, 0)
}
