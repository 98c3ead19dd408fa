package plugins

import "github.com/hyssopreel/hyssopreel/core/sched/framework"

const (
	// memoryShare is above 1 because not all programs reach their final size at the same time. Of 0.9, 1.0,
	// 1.1, 1.2 and 1.4, docs/decisions.md has the figures: above 1.1 recomputation grows quickly.
	memoryShare = 1.1
	// stickMS is how long a call waits for the worker that holds its prefix. Waits of 0.5 s and 2 s were
	// shorter than the time that a place takes to become free, so that programs moved and recomputed.
	stickMS = 8000
	// defaultCallMS stands for the length of a call of an agent before any has finished.
	defaultCallMS = 1000
)

// newShipped returns the default policy: the program that is expected to end soonest first, by the Gittins index of its
// agent's turns and the length of its calls, among the programs that the cache can hold.
func newShipped() framework.Policy {
	return Program{PolicyName: Default, Order: byRemaining, Share: memoryShare, Stick: stickMS}
}

func byRemaining(g *framework.Group, c *framework.Call) float64 {
	a := c.Program.Agent
	return a.Turns.Index(c.Program.Turn, g.Now) * max(1, a.ServiceMS.Or(defaultCallMS))
}
