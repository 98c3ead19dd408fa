package placement

import "time"

// Ranks of requests at an engine; 0 is the first. A rank of the most urgent routes is one less.
const (
	// DefaultUrgency is the rank that an engine gives a request that names none.
	DefaultUrgency = 5
	// inProgress programs go first: they hold cache, and the longer they run, the more they hold.
	inProgress = 3
	// fresh programs wait while engines are full.
	fresh = 5
	// late programs can no longer be finished in time; those that can go before them.
	late = 7
)

const (
	// slackShare is the part of a program's time that is not needed on idle engines: callers allow 1.3 to 1.7 times
	// what idle engines take.
	slackShare = 1.0 / 3
	// stepMS is the time of one token on an idle engine; the deployments' pages say 2.8 and 3.0 ms.
	stepMS = 3.0
	// turnMS is the rest of a turn on an idle engine: the way, and reading what is new in the prompt.
	turnMS = 25.0
)

// Progress is what is known of a program when one of its turns is placed.
type Progress struct {
	// Turns is the number of turns before this one.
	Turns int
	// Aim is the time that the program had at its first turn, and Left what is left of it.
	Aim, Left time.Duration
	// Lost is what its turns took beyond an idle engine's time.
	Lost time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
}

// Urgency returns the rank of a turn at an engine.
func Urgency(p Progress) int {
	rank := fresh
	switch {
	case p.Turns > 0 && (p.Left <= 0 || float64(p.Lost) > float64(p.Aim)*slackShare):
		rank = late
	case p.Turns > 0:
		rank = inProgress
	}
	if p.Priority == 0 {
		rank--
	}
	return rank
}

// LostTime returns what a turn that generated the tokens took beyond an idle engine's time.
func LostTime(took time.Duration, tokens int) time.Duration {
	idle := time.Duration((turnMS + stepMS*float64(tokens)) * float64(time.Millisecond))
	return max(took-idle, 0)
}
