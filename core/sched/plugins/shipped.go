package plugins

import (
	"math"

	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

const (
	// cacheOvercommit is above 1 because programs don't reach their final size at the same time. 1.0 starts too few
	// programs, and above 1.2 recomputation grows quickly; docs/decisions.md has the figures.
	cacheOvercommit = 1.15
	// cacheAffinityDelayMS is how long a call waits for the worker that has its prefix cached. With 0.5 s and 2 s,
	// programs moved and recomputed their history although their worker was about to have a free slot and cache.
	cacheAffinityDelayMS = 16_000
	// defaultServiceMS is the assumed service time of an agent's calls before any has finished.
	defaultServiceMS = 1000
	// stepsPerOctave is the number of rank steps per doubling of the expected work. Within a step the oldest
	// program goes first: with the exact value, small changes of the estimate would swap programs in and out of
	// the cache.
	stepsPerOctave = 2
	// stepRankWeight exceeds any time in milliseconds since 1970, so that age decides within a step only.
	stepRankWeight = 1e13
)

// newShipped returns the default policy: the program that is expected to end soonest goes first, by the Gittins
// index of its agent's turns and the mean service time of its calls, with the admission by cache and the cache
// affinity of ProgramPolicy. The number of turns of a program is unknown but its distribution is estimated; for such
// jobs the Gittins index policy minimizes the mean completion time in the M/G/1 queue.
func newShipped() framework.Policy {
	return ProgramPolicy{PolicyName: Default, RankFunc: rankByRemainingWork, CacheOvercommit: cacheOvercommit, CacheAffinityDelay: cacheAffinityDelayMS}
}

func rankByRemainingWork(g *framework.Group, c *framework.Call) float64 {
	a := c.Program.Agent
	work := a.TurnStats.GittinsIndex(c.Program.Turns, g.Now) * max(1, a.ServiceMS.ValueOr(defaultServiceMS))
	return math.Floor(math.Log2(work)*stepsPerOctave)*stepRankWeight + float64(c.Program.OpenedAt)
}
