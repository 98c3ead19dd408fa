package plugins

import "github.com/hyssopreel/hyssopreel/core/sched/framework"

// affinity serves calls first come, first served, each on the worker with the longest cached prefix of the program
// (cache affinity), which saves computing the history again. Ties go to the worker with the lowest utilization.
type affinity struct{}

func (affinity) Name() string { return "affinity" }

func (affinity) Rank(*framework.Group, *framework.Call) float64 { return 0 }

func (affinity) Filter(*framework.Group, *framework.Call, *framework.Worker) bool { return true }

func (affinity) Score(_ *framework.Group, c *framework.Call, w *framework.Worker) float64 {
	// The utilization is at most 1, so one cached token outweighs it.
	return float64(c.Program.CachedTokens(w)) - utilization(w)
}

func (affinity) Reserve(*framework.Group, *framework.Call, *framework.Worker) int { return 0 }
