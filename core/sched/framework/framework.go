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
	// ClassCount is the number of classes.
	ClassCount
)

// Worker is a backend server of the group.
type Worker struct {
	Name string
	// Usable is false while the worker is leaving, loading or unreachable, or after it left the group.
	Usable     bool
	MaxRunning int
	// CacheCapacityTokens is the size of the prefix cache in tokens; 0 for plain services.
	CacheCapacityTokens int64
	// Running is the exact number of calls granted and not finished.
	Running int
	// CacheUsedTokens is the estimated cache in use, in tokens: the sum over its entries.
	CacheUsedTokens int64
	// ReservedTokens is the cache that the calls running now need at their end, in tokens.
	ReservedTokens int64

	oldestEntry, newestEntry *CacheEntry
	residents                []*Program // sorted by standing
}

// FreeSlots returns the number of calls that the worker can take.
func (w *Worker) FreeSlots() int {
	if !w.Usable || w.Running >= w.MaxRunning {
		return 0
	}
	return w.MaxRunning - w.Running
}

// Program is what the group knows of a program that has called it.
type Program struct {
	ID    ids.Program
	Agent *AgentStats
	Class Class
	// Turns is the number of calls that the program finished in any pool.
	Turns int
	// AttainedTokens is what the program spent so far, in tokens.
	AttainedTokens int64
	// OpenedAt is when the program was opened.
	OpenedAt clock.Millis
	// Deadline is 0 for a program without one.
	Deadline clock.Millis
	// Started is set by the first grant and stays set: the program is under way.
	Started bool
	// HistoryTokens is the length of prompt and answer of the last call, in tokens.
	HistoryTokens int64
	// Waiting and Running count the program's calls in the group.
	Waiting, Running int
	// LastFinished is when its last call in the group ended; PauseTool is the tool expected to be running since.
	LastFinished clock.Millis
	PauseTool    string
	// LastWorker is the worker that ran the latest call; nil before the first grant.
	LastWorker *Worker
	// LastSeen is the time of the latest message about the program.
	LastSeen clock.Millis
	// ServedBy lists the workers that ran a call of the program.
	ServedBy []*Worker

	// IsChild is set for a program that works for another one.
	IsChild bool

	cacheEntries   []*CacheEntry
	residentWorker *Worker
	residentRank   float64
}

// NextCallTokens is the cache that the program needs for its next call, in tokens.
func (p *Program) NextCallTokens() int64 { return p.HistoryTokens + int64(p.Agent.growthPerTurn()) }

// ExpectedFinalTokens is the cache that the program is expected to hold when it ends, in tokens: what it has, and
// what its agent adds per turn over the turns that are expected to be left.
func (p *Program) ExpectedFinalTokens(now clock.Millis) int64 {
	return p.HistoryTokens + int64(p.Agent.growthPerTurn()*p.Agent.TurnStats.ExpectedTurnsLeft(p.Turns, now))
}

// SetResidentWorker makes the program a resident of the worker with the given standing, the policy's rank of its latest
// call; nil makes it a resident of no worker.
func (p *Program) SetResidentWorker(w *Worker, standing float64) {
	if old := p.residentWorker; old != nil {
		i := sort.Search(len(old.residents), func(i int) bool { return old.residents[i].residentRank >= p.residentRank })
		for old.residents[i] != p {
			i++
		}
		old.residents = slices.Delete(old.residents, i, i+1)
	}
	p.residentWorker, p.residentRank = w, standing
	if w != nil {
		i := sort.Search(len(w.residents), func(i int) bool { return w.residents[i].residentRank > standing })
		w.residents = slices.Insert(w.residents, i, p)
	}
}

// ResidentWorker returns the worker whose cache is meant to hold the program, or nil.
func (p *Program) ResidentWorker() *Worker { return p.residentWorker }

// FitsCache reports whether the cache of w holds the call in addition to what the residents that stand before it
// need. The program of the call does not count among them.
func (w *Worker) FitsCache(c *Call, size, limit int64, need func(*Program) int64) bool {
	for _, p := range w.residents {
		if p.residentRank >= c.Rank || size > limit {
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
	// AvoidWorkers lists workers that failed this call.
	AvoidWorkers []string
	// Rank is the policy's latest rank.
	Rank float64
	// Worker is set while the call runs.
	Worker *Worker
	// GrantedAt is when the call got its worker.
	GrantedAt clock.Millis
}

// PeakCacheTokens is the cache that the call needs at its end, in tokens.
func (c *Call) PeakCacheTokens() int64 {
	return c.PromptTokens + int64(c.Program.Agent.GeneratedTokens.ValueOr(0))
}

// StartsNewWork reports whether the call opens new work: its program has not run anything yet, and no program under
// way waits for it.
func (c *Call) StartsNewWork() bool {
	return c.Program.Turns == 0 && !c.Program.Started && !c.Program.IsChild
}

// Group is the state of one worker group as policies see it. Policies read it and never change it.
type Group struct {
	Now     clock.Millis
	Workers []*Worker // sorted by name
	// Programs holds every program that called the group and has not ended.
	Programs map[ids.Program]*Program
	// StartedPrograms is the number of programs that have started and not ended.
	StartedPrograms int
	// Agents and Tools hold what was learned from programs and pauses.
	Agents map[string]*AgentStats
	Tools  map[string]*ToolStats
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

// ResidencyPolicy is implemented by policies that give up the place of a program in the cache during a long pause.
type ResidencyPolicy interface {
	// KeepResident reports whether a program that has paused for the given time keeps its place. It is asked about once a second.
	KeepResident(g *Group, p *Program, elapsed clock.Millis) bool
}

// EachResident calls fn for every resident of w in the order of standing. fn may move the program.
func (w *Worker) EachResident(fn func(*Program)) {
	for _, p := range slices.Clone(w.residents) {
		fn(p)
	}
}
