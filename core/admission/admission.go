// Package admission decides whether a program that has not begun may begin while the engines are overloaded. In an
// overload that lasts longer than the callers wait, serving everybody serves nobody in time; programs that are under
// way are finished first, and new ones are told at once when to come back.
package admission

import "time"

const (
	// startPressure is the load of the engines, in requests per slot, above which new programs are refused in part:
	// queues are then a third of a batch, and a turn still begins within its objective.
	startPressure = 1.3
	// fullPressure is the load above which all are refused: a turn waits for more than a batch to end.
	fullPressure = 2.0
	// minRetry is the least time after which a refused caller is asked to come back: a few turns' time.
	minRetry = 200 * time.Millisecond
	// maxRetry is the longest: a third of the time that a turn has on the deployments' pages, after which callers
	// do not come back.
	maxRetry = time.Second
	// turnsLeft is the number of turns that a program under way still wants, on average: half of those of a program.
	turnsLeft = 3
)

// Pressure is how busy the engines of a service are.
type Pressure struct {
	// Load is the number of requests at the engines, those that wait there included.
	Load float64
	// Slots is the number of requests that they run at once.
	Slots int
	// Turn is how long a turn takes at present.
	Turn time.Duration
}

func (p Pressure) perSlot() float64 {
	if p.Slots == 0 {
		return 0
	}
	return p.Load / float64(p.Slots)
}

// Refuse reports whether a program that has not begun is refused, and when its caller may come back. draw is a random
// number from 0 to 1, so that hosts refuse a part of the programs without knowing of each other.
func Refuse(p Pressure, draw float64) (retryAfter time.Duration, refused bool) {
	share := (p.perSlot() - startPressure) / (fullPressure - startPressure)
	if draw >= share {
		return 0, false
	}
	return drain(p), true
}

// drain returns the time after which the engines have worked off what is above startPressure: each excess request
// belongs to a program that wants more turns.
func drain(p Pressure) time.Duration {
	excess := p.perSlot() - startPressure
	// At this load a slot ends perSlot requests in the time of a turn.
	d := time.Duration(excess / p.perSlot() * turnsLeft * float64(p.Turn))
	return min(max(d, minRetry), maxRetry)
}
