// Package admission sheds new programs while the engines are overloaded. If an overload lasts longer than callers
// wait and all programs are admitted, none is served in time. Started programs are therefore finished first, and
// new ones are refused at once with the time after which to retry.
package admission

import "time"

const (
	// shedStartLoad is the load of the engines, in requests per slot, above which a fraction of the new programs is
	// refused: the queue of an engine is then a third of its slots, and a turn still begins within its objective.
	shedStartLoad = 1.3
	// shedAllLoad is the load above which all new programs are refused: a turn waits until all running requests of an
	// engine have ended.
	shedAllLoad = 2.0
	// minRetryAfter bounds the retry time from below: the time of a few turns.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds the retry time from above: a third of the time limit of a turn on the deployments' pages;
	// callers do not retry after that.
	maxRetryAfter = time.Second
	// remainingTurns is the average number of turns that a started program still needs: half of a program's turns.
	remainingTurns = 3
)

// ServiceLoad is the load of the engines of a service.
type ServiceLoad struct {
	// Requests is the number of running and queued requests at the engines.
	Requests float64
	// Slots is the number of requests that the engines can run at once.
	Slots int
	// TurnTime is the present duration of a turn.
	TurnTime time.Duration
}

func (p ServiceLoad) requestsPerSlot() float64 {
	if p.Slots == 0 {
		return 0
	}
	return p.Requests / float64(p.Slots)
}

// ShouldShed reports whether a new program is refused, and after what time its caller should retry. draw is a
// random number, uniform in [0, 1), so that all hosts together refuse the intended fraction without coordination.
func ShouldShed(load ServiceLoad, draw float64) (retryAfter time.Duration, refused bool) {
	fraction := (load.requestsPerSlot() - shedStartLoad) / (shedAllLoad - shedStartLoad)
	if draw >= fraction {
		return 0, false
	}
	return queueDrainTime(load), true
}

// queueDrainTime returns the time in which the load falls to shedStartLoad if no program starts, within the bounds
// of the retry time. Each excess request belongs to a program that still needs remainingTurns turns.
func queueDrainTime(load ServiceLoad) time.Duration {
	excess := load.requestsPerSlot() - shedStartLoad
	// A slot completes requestsPerSlot requests within TurnTime (Little's law).
	d := time.Duration(excess / load.requestsPerSlot() * remainingTurns * float64(load.TurnTime))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
