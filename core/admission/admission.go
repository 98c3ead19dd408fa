// Package admission decides whether a program that has not begun may begin while the engines are overloaded. In an
// overload that lasts longer than the callers wait, serving everybody serves nobody in time; programs that are under
// way are finished first, and new ones are told at once when to come back.
package admission

import "time"

const (
	// shedStartLoad is the load of the engines, in requests per slot, above which new programs are refused in part:
	// queues are then a third of a batch, and a turn still begins within its objective.
	shedStartLoad = 1.3
	// shedAllLoad is the load above which all are refused: a turn waits for more than a batch to end.
	shedAllLoad = 2.0
	// minRetryAfter is the least time after which a refused caller is asked to come back: a few turns' time.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the longest: a third of the time that a turn has on the deployments' pages, after which callers
	// do not come back.
	maxRetryAfter = time.Second
	// remainingTurns is the number of turns that a program under way still wants, on average: half of those of a program.
	remainingTurns = 3
)

// ServiceLoad is how busy the engines of a service are.
type ServiceLoad struct {
	// Requests is the number of requests at the engines, those that wait there included.
	Requests float64
	// Slots is the number of requests that they run at once.
	Slots int
	// TurnTime is how long a turn takes at present.
	TurnTime time.Duration
}

func (p ServiceLoad) requestsPerSlot() float64 {
	if p.Slots == 0 {
		return 0
	}
	return p.Requests / float64(p.Slots)
}

// ShouldShed reports whether a program that has not begun is refused, and when its caller may come back. draw is a random
// number from 0 to 1, so that hosts refuse a part of the programs without knowing of each other.
func ShouldShed(p ServiceLoad, draw float64) (retryAfter time.Duration, refused bool) {
	share := (p.requestsPerSlot() - shedStartLoad) / (shedAllLoad - shedStartLoad)
	if draw >= share {
		return 0, false
	}
	return queueDrainTime(p), true
}

// queueDrainTime returns the time after which the engines have worked off what is above startPressure: each excess request
// belongs to a program that wants more turns.
func queueDrainTime(p ServiceLoad) time.Duration {
	excess := p.requestsPerSlot() - shedStartLoad
	// At this load a slot ends perSlot requests in the time of a turn.
	d := time.Duration(excess / p.requestsPerSlot() * remainingTurns * float64(p.TurnTime))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
