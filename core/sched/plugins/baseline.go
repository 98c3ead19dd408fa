package plugins

import "github.com/hyssopreel/hyssopreel/core/sched/framework"

// baseline serves calls first come, first served, each on the worker with the lowest utilization. It schedules
// single calls without regard to their programs.
type baseline struct{}

func (baseline) Name() string { return "baseline" }

func (baseline) Rank(*framework.Group, *framework.Call) float64 { return 0 }

func (baseline) Filter(*framework.Group, *framework.Call, *framework.Worker) bool { return true }

func (baseline) Score(_ *framework.Group, _ *framework.Call, w *framework.Worker) float64 {
	return -utilization(w)
}

func (baseline) Reserve(*framework.Group, *framework.Call, *framework.Worker) int { return 0 }

// utilization returns the fraction of the worker's slots in use.
func utilization(w *framework.Worker) float64 { return float64(w.Running) / float64(w.MaxRunning) }
