// Package framework defines what a scheduling policy sees and decides. Policies are plugins in
// core/sched/plugins; core/sched owns the state and calls them. The imports run one way only:
// core/sched -> plugins -> framework. The framework therefore has its own types for calls, programs and
// workers instead of the messages of core/sched.
//
// A decision has three verbs. Filter rules out workers for a call, Score compares the rest, and Reserve
// takes note of the grant. Limits that hold under every policy (capacity, unusable workers, classes,
// bounded waits, overload) are enforced by core/sched and need no code in a policy.
package framework

import (
	"slices"
	"sort"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
)

// Class is the class of a program as a number; a lower class is served first.
type Class int

// The classes, the most urgent first.
const (
	Urgent Class = iota
	Interactive
	Batch
	// Classes is the number of classes.
	Classes
)

// Worker is a backend server of the group.
type Worker struct {
	Name string
	// Usable is false while the worker is leaving, loading or unreachable, or after it left the group.
	Usable     bool
	MaxRunning int
	// CacheTokens is the size of the prefix cache in tokens; 0 for plain services.
	CacheTokens int64
	// Running is the exact number of calls granted and not finished.
	Running int
	// Held is the estimated cache in use, in tokens: the sum over its entries.
	Held int64
	// Active is the cache that the calls running now need at their end, in tokens.
	Active int64

	oldest, newest *Entry
	programs       []*Program // sorted by standing
}

// Free returns the number of calls that the worker can take.
func (w *Worker) Free() int {
	if !w.Usable || w.Running >= w.MaxRunning {
		return 0
	}
	return w.MaxRunning - w.Running
}

// Program is what the group knows of a program that has called it.
type Program struct {
	ID    ids.Program
	Agent *Agent
	Class Class
	// Turn is the number of calls that the program finished in any pool.
	Turn int
	// Attained is what the program spent so far, in tokens.
	Attained int64
	// OpenedAt is when the program was opened.
	OpenedAt clock.Millis
	// Deadline is 0 for a program without one.
	Deadline clock.Millis
	// Started is set by the first grant and stays set: the program is under way.
	Started bool
	// History is the length of prompt and answer of the last call, in tokens.
	History int64
	// Waiting and Running count the program's calls in the group.
	Waiting, Running int
	// LastFinished is when its last call in the group ended; PauseTool is the tool expected to be running since.
	LastFinished clock.Millis
	PauseTool    string
	// Last is the worker that ran the latest call; nil before the first grant.
	Last *Worker
	// LastSeen is the time of the latest message about the program.
	LastSeen clock.Millis
	// Served lists the workers that ran a call of the program.
	Served []*Worker

	// Helper is set for a program that works for another one.
	Helper bool

	entries  []*Entry
	resident *Worker
	standing float64
}

// NextNeed is the cache that the program needs for its next call, in tokens.
func (p *Program) NextNeed() int64 { return p.History + int64(p.Agent.growth()) }

// FinalNeed is the cache that the program is expected to hold when it ends, in tokens: what it has, and
// what its agent adds per turn over the turns that are expected to be left.
func (p *Program) FinalNeed(now clock.Millis) int64 {
	return p.History + int64(p.Agent.growth()*p.Agent.Turns.Left(p.Turn, now))
}

// Settle makes the program a resident of the worker with the given standing, the policy's rank of its latest
// call; nil makes it a resident of no worker.
func (p *Program) Settle(w *Worker, standing float64) {
	if old := p.resident; old != nil {
		i := sort.Search(len(old.programs), func(i int) bool { return old.programs[i].standing >= p.standing })
		for old.programs[i] != p {
			i++
		}
		old.programs = slices.Delete(old.programs, i, i+1)
	}
	p.resident, p.standing = w, standing
	if w != nil {
		i := sort.Search(len(w.programs), func(i int) bool { return w.programs[i].standing > standing })
		w.programs = slices.Insert(w.programs, i, p)
	}
}

// Resident returns the worker whose cache is meant to hold the program, or nil.
func (p *Program) Resident() *Worker { return p.resident }

// Fits reports whether the cache of w holds the call in addition to what the residents that stand before it
// need. The program of the call does not count among them.
func (w *Worker) Fits(c *Call, size, limit int64, need func(*Program) int64) bool {
	for _, p := range w.programs {
		if p.standing >= c.Rank || size > limit {
			break
		}
		if p != c.Program {
			size += need(p)
		}
	}
	return size <= limit
}

// Call is a call that waits for a worker or runs on one.
type Call struct {
	Program *Program
	// Seq is the order of arrival at the scheduler.
	Seq          uint64
	EnqueuedAt   clock.Millis
	PromptTokens int64
	MaxTokens    int64
	// Avoid lists workers that failed this call.
	Avoid []string
	// Rank is the policy's latest rank.
	Rank float64
	// Worker is set while the call runs.
	Worker *Worker
	// GrantedAt is when the call got its worker.
	GrantedAt clock.Millis
}

// Size is the cache that the call needs at its end, in tokens.
func (c *Call) Size() int64 { return c.PromptTokens + int64(c.Program.Agent.Generated.Or(0)) }

// First reports whether the call opens new work: its program has not run anything yet, and no program under
// way waits for it.
func (c *Call) First() bool {
	return c.Program.Turn == 0 && !c.Program.Started && !c.Program.Helper
}

// Group is the state of one worker group as policies see it. Policies read it and never change it.
type Group struct {
	Now     clock.Millis
	Workers []*Worker // sorted by name
	// Programs holds every program that called the group and has not ended.
	Programs map[ids.Program]*Program
	// UnderWay is the number of programs that have started and not ended.
	UnderWay int
	// Agents and Tools hold what was learned from programs and pauses.
	Agents map[string]*Agent
	Tools  map[string]*Tool
}

// Policy decides the order of waiting calls and the worker of each. Its methods are deterministic functions of
// their arguments and of the policy's own state.
type Policy interface {
	Name() string
	// Rank orders the waiting calls; the lowest goes first and ties go by arrival. Urgent calls go before
	// all others whatever their rank. It is evaluated when a call is enqueued and again about once a
	// second.
	Rank(g *Group, c *Call) float64
	// Filter reports whether the call may run on the worker now. The worker has a free place.
	Filter(g *Group, c *Call, w *Worker) bool
	// Score compares workers that passed Filter; the highest wins and ties go by name.
	Score(g *Group, c *Call, w *Worker) float64
	// Reserve is told of the grant and returns the priority for the engine; lower runs first.
	Reserve(g *Group, c *Call, w *Worker) int
}

// Pauser is implemented by policies that give up the place of a program in the cache during a long pause.
type Pauser interface {
	// Keep reports whether a program that has paused for the given time keeps its place. It is asked about once a second.
	Keep(g *Group, p *Program, elapsed clock.Millis) bool
}

// EachResident calls fn for every resident of w in the order of standing. fn may move the program.
func (w *Worker) EachResident(fn func(*Program)) {
	for _, p := range slices.Clone(w.programs) {
		fn(p)
	}
}
