package plugins

import (
	"math"

	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

const (
	// cacheOvercommit is above 1 because not all programs reach their final size at the same time. 1.0 starts too
	// few programs, and above 1.2 recomputation grows quickly; docs/decisions.md has the figures.
	cacheOvercommit = 1.15
	// localityWaitMS is how long a call waits for the worker that holds its prefix. After waits of 0.5 s and 2 s,
	// programs moved and recomputed their history although their worker was about to have room.
	localityWaitMS = 16_000
	// defaultServiceMS stands for the length of a call of an agent before any has finished.
	defaultServiceMS = 1000
	// stepsPerOctave is how finely expected work is told apart. Programs of about the same expected work go
	// by age: with the exact value, small changes of the estimate swap programs in and out of the cache.
	stepsPerOctave = 2
	// stepRankWeight is larger than any time in milliseconds since 1970, so that age decides within a step only.
	stepRankWeight = 1e13
)

// newShipped returns the default policy: the program that is expected to end soonest first, by the Gittins
// index of its agent's turns and the length of its calls, among the programs that the cache can hold.
func newShipped() framework.Policy {
	return ProgramPolicy{PolicyName: Default, RankFunc: rankByRemainingWork, CacheOvercommit: cacheOvercommit, LocalityWait: localityWaitMS}
}

func rankByRemainingWork(g *framework.Group, c *framework.Call) float64 {
	a := c.Program.Agent
	work := a.TurnStats.GittinsIndex(c.Program.Turns, g.Now) * max(1, a.ServiceMS.ValueOr(defaultServiceMS))
	return math.Floor(math.Log2(work)*stepsPerOctave)*stepRankWeight + float64(c.Program.OpenedAt)
}
