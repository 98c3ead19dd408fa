package plugins

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// ProgramPolicy is the common part of the policies that look at whole programs: they differ in the order. It
// admits new programs by the cache memory that programs under way need, and keeps a program on its worker.
type ProgramPolicy struct {
	PolicyName string
	// RankFunc is the rank of a call; the lowest goes first.
	RankFunc func(*framework.Group, *framework.Call) float64
	// CacheOvercommit is the part of a worker's cache that programs may be expected to need at their end before a new program
	// has to wait; 0 admits without regard to memory.
	CacheOvercommit float64
	// LocalityWait is how long a call waits for the worker that holds its prefix, in milliseconds.
	LocalityWait clock.Millis
	// MaxResidualPause is the longest expected rest of a pause for which a program keeps its place in the cache, in
	// milliseconds; 0 keeps it always.
	MaxResidualPause clock.Millis
}

func (p ProgramPolicy) Name() string { return p.PolicyName }

func (p ProgramPolicy) Rank(g *framework.Group, c *framework.Call) float64 { return p.RankFunc(g, c) }

// Filter lets a call run on a worker when its cache holds the programs that stand before this one and the
// call. What they are expected to grow to counts for a new program, and their next call for one under way.
// A program under way stays on its worker for a while when that is full.
func (p ProgramPolicy) Filter(g *framework.Group, c *framework.Call, w *framework.Worker) bool {
	if c.Program.Class == framework.Urgent {
		return true
	}
	home := c.Program.LastWorker
	away := home != nil && home != w && home.Usable
	if away && c.Program.CachedTokens(home) > 0 && g.Now-c.EnqueuedAt < p.LocalityWait {
		return false
	}
	return p.CacheOvercommit == 0 || w.CacheCapacityTokens == 0 || w.Running == 0 || p.fitsCache(g, c, w)
}

func (p ProgramPolicy) fitsCache(g *framework.Group, c *framework.Call, w *framework.Worker) bool {
	size := c.PeakCacheTokens()
	if w.ReservedTokens+size > w.CacheCapacityTokens {
		return false // the engine would preempt a running call or keep this one waiting
	}
	if c.Program.Started && c.Program.LastWorker == w {
		return w.FitsCache(c, size, w.CacheCapacityTokens, (*framework.Program).NextCallTokens)
	}
	if !c.Program.Started {
		size += c.Program.ExpectedFinalTokens(g.Now)
	}
	limit := int64(p.CacheOvercommit * float64(w.CacheCapacityTokens))
	return w.FitsCache(c, size, limit, func(o *framework.Program) int64 { return o.ExpectedFinalTokens(g.Now) })
}

// Score prefers the cached prefix, then the least loaded worker.
func (p ProgramPolicy) Score(_ *framework.Group, c *framework.Call, w *framework.Worker) float64 {
	score := -utilization(w)
	if w.CacheCapacityTokens > 0 {
		score += float64(c.Program.CachedTokens(w)) - float64(w.ReservedTokens)/float64(w.CacheCapacityTokens)
	}
	return score
}

// Reserve lets engines run urgent calls before the others, which keep the order of their grants.
func (p ProgramPolicy) Reserve(_ *framework.Group, c *framework.Call, _ *framework.Worker) int {
	if c.Program.Class == framework.Urgent {
		return 0
	}
	return 1
}

// KeepResident implements framework.Pauser by the learned lengths of the tool's pauses.
func (p ProgramPolicy) KeepResident(g *framework.Group, pr *framework.Program, elapsed clock.Millis) bool {
	tool := g.Tools[pr.PauseTool]
	return p.MaxResidualPause == 0 || tool == nil || tool.ExpectedResidualMS(float64(elapsed)) <= float64(p.MaxResidualPause)
}
