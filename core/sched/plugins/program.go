package plugins

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// Program is the common part of the policies that look at whole programs: they differ in the order. It
// admits new programs by the cache memory that programs under way need, and keeps a program on its worker.
type Program struct {
	PolicyName string
	// Order is the rank of a call; the lowest goes first.
	Order func(*framework.Group, *framework.Call) float64
	// Share is the part of a worker's cache that programs may be expected to need at their end before a new program
	// has to wait; 0 admits without regard to memory.
	Share float64
	// Stick is how long a call waits for the worker that holds its prefix, in milliseconds.
	Stick clock.Millis
	// Hold is the longest expected rest of a pause for which a program keeps its place in the cache, in
	// milliseconds; 0 keeps it always.
	Hold clock.Millis
}

func (p Program) Name() string { return p.PolicyName }

func (p Program) Rank(g *framework.Group, c *framework.Call) float64 { return p.Order(g, c) }

// Filter lets a call run on a worker when its cache holds the programs that stand before this one and the
// call. What they are expected to grow to counts for a new program, and their next call for one under way.
// A program under way stays on its worker for a while when that is full.
func (p Program) Filter(g *framework.Group, c *framework.Call, w *framework.Worker) bool {
	if c.Program.Class == framework.Urgent {
		return true
	}
	home := c.Program.Last
	away := home != nil && home != w && home.Usable
	if away && c.Program.Cached(home) > 0 && g.Now-c.EnqueuedAt < p.Stick {
		return false
	}
	return p.Share == 0 || w.CacheTokens == 0 || w.Running == 0 || p.fits(g, c, w)
}

func (p Program) fits(g *framework.Group, c *framework.Call, w *framework.Worker) bool {
	size := c.Size()
	if w.Active+size > w.CacheTokens {
		return false // the engine would preempt a running call or keep this one waiting
	}
	if c.Program.Started && c.Program.Last == w {
		return w.Fits(c, size, w.CacheTokens, (*framework.Program).NextNeed)
	}
	if !c.Program.Started {
		size += c.Program.FinalNeed(g.Now)
	}
	limit := int64(p.Share * float64(w.CacheTokens))
	return w.Fits(c, size, limit, func(o *framework.Program) int64 { return o.FinalNeed(g.Now) })
}

// Score prefers the cached prefix, then the least loaded worker.
func (p Program) Score(_ *framework.Group, c *framework.Call, w *framework.Worker) float64 {
	score := -load(w)
	if w.CacheTokens > 0 {
		score += float64(c.Program.Cached(w)) - float64(w.Active)/float64(w.CacheTokens)
	}
	return score
}

// Reserve lets engines run urgent calls before the others, which keep the order of their grants.
func (p Program) Reserve(_ *framework.Group, c *framework.Call, _ *framework.Worker) int {
	if c.Program.Class == framework.Urgent {
		return 0
	}
	return 1
}

// Keep implements framework.Pauser by the learned lengths of the tool's pauses.
func (p Program) Keep(g *framework.Group, pr *framework.Program, elapsed clock.Millis) bool {
	tool := g.Tools[pr.PauseTool]
	return p.Hold == 0 || tool == nil || tool.Residual(float64(elapsed)) <= float64(p.Hold)
}
