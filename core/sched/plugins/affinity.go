package plugins

import "github.com/hyssopreel/hyssopreel/core/sched/framework"

// affinity serves calls in the order of arrival and prefers the worker that holds the longest cached
// prefix of the program, then the least loaded one.
type affinity struct{}

func (affinity) Name() string { return "affinity" }

func (affinity) Rank(*framework.Group, *framework.Call) float64 { return 0 }

func (affinity) Filter(*framework.Group, *framework.Call, *framework.Worker) bool { return true }

func (affinity) Score(_ *framework.Group, c *framework.Call, w *framework.Worker) float64 {
	// The load is at most 1, so any cached token outweighs it.
	return float64(c.Program.CachedTokens(w)) - utilization(w)
}

func (affinity) Reserve(*framework.Group, *framework.Call, *framework.Worker) int { return 0 }
