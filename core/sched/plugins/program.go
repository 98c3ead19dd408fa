package plugins

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// ProgramPolicy is the common part of the policies that schedule whole programs and differ in the order of calls
// only. It admits a new program only to a worker whose cache can hold it besides the residents that rank before it,
// so that programs don't evict each other's prefixes (thrashing), and it keeps a program on the worker that has its
// prefix cached (delay scheduling).
type ProgramPolicy struct {
	PolicyName string
	// RankFunc returns the rank of a call; the lowest goes first.
	RankFunc func(*framework.Group, *framework.Call) float64
	// CacheOvercommit is the ratio of the cache that a worker's residents are expected to need at their end to its
	// cache capacity, above which new and moving programs wait; 0 admits every call without regard to the cache.
	CacheOvercommit float64
	// CacheAffinityDelay is how long a call waits for the worker that has its prefix cached, in milliseconds.
	CacheAffinityDelay clock.Millis
	// MaxResidualPause is the longest expected residual time of a pause for which a program stays resident, in
	// milliseconds; 0 keeps every program resident.
	MaxResidualPause clock.Millis
}

func (p ProgramPolicy) Name() string { return p.PolicyName }

func (p ProgramPolicy) Rank(g *framework.Group, c *framework.Call) float64 { return p.RankFunc(g, c) }

// Filter passes a worker whose cache can hold the call and the residents with a lower rank. If the program last ran
// on this worker, each resident counts with its next call; else it counts with its expected size at its end, and the
// limit is CacheOvercommit times the capacity. While its last worker has its prefix cached, a call waits up to
// CacheAffinityDelay for that worker. Urgent calls pass everywhere, and an idle worker takes any other call.
func (p ProgramPolicy) Filter(g *framework.Group, c *framework.Call, w *framework.Worker) bool {
	if c.Program.Class == framework.Urgent {
		return true
	}
	lastWorker := c.Program.LastWorker
	moves := lastWorker != nil && lastWorker != w && lastWorker.Usable
	if moves && c.Program.CachedTokens(lastWorker) > 0 && g.Now-c.EnqueuedAt < p.CacheAffinityDelay {
		return false
	}
	return p.CacheOvercommit == 0 || w.CacheCapacityTokens == 0 || w.Running == 0 || p.fitsCache(g, c, w)
}

func (p ProgramPolicy) fitsCache(g *framework.Group, c *framework.Call, w *framework.Worker) bool {
	size := c.PeakCacheTokens()
	if w.ReservedTokens+size > w.CacheCapacityTokens {
		return false // the engine would preempt a running call or queue this one
	}
	if c.Program.Started && c.Program.LastWorker == w {
		return w.FitsCache(c, size, w.CacheCapacityTokens, (*framework.Program).NextCallTokens)
	}
	if !c.Program.Started {
		size += c.Program.ExpectedFinalTokens(g.Now)
	}
	limit := int64(p.CacheOvercommit * float64(w.CacheCapacityTokens))
	return w.FitsCache(c, size, limit, func(resident *framework.Program) int64 { return resident.ExpectedFinalTokens(g.Now) })
}

// Score prefers the longest cached prefix, then the lowest utilization of slots and cache.
func (p ProgramPolicy) Score(_ *framework.Group, c *framework.Call, w *framework.Worker) float64 {
	score := -utilization(w)
	if w.CacheCapacityTokens > 0 {
		score += float64(c.Program.CachedTokens(w)) - float64(w.ReservedTokens)/float64(w.CacheCapacityTokens)
	}
	return score
}

// Reserve gives urgent calls the higher priority at engines; all others have the same and keep the order of grants.
func (p ProgramPolicy) Reserve(_ *framework.Group, c *framework.Call, _ *framework.Worker) int {
	if c.Program.Class == framework.Urgent {
		return 0
	}
	return 1
}

// KeepResident implements framework.ResidencyPolicy by the expected residual time of the pause, from the recorded
// pauses of its tool.
func (p ProgramPolicy) KeepResident(g *framework.Group, program *framework.Program, elapsed clock.Millis) bool {
	tool := g.Tools[program.PauseTool]
	return p.MaxResidualPause == 0 || tool == nil || tool.ExpectedResidualMS(float64(elapsed)) <= float64(p.MaxResidualPause)
}
