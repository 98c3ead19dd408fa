// Package framework defines the interface of scheduling policies and the state that they read. Policies are
// plugins in core/sched/plugins; core/sched owns the state and invokes them. Imports go one way only: core/sched
// -> plugins -> framework. The framework therefore has its own types for calls, programs and workers instead of
// the messages of core/sched.
//
// Rank orders the waiting calls. For each call Filter excludes workers, Score compares the remaining ones, and
// Reserve records the grant. Limits that hold under every policy (capacity, unusable workers, classes, bounded
// waits, overload) are enforced by core/sched and need no code in a policy.
package framework

import (
	"slices"
	"sort"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
)

// Class is the priority class of a program; a lower number is more urgent.
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
	Usable bool
	// MaxRunning is the number of slots: the calls that may run at the same time.
	MaxRunning int
	// CacheCapacityTokens is the size of the prefix cache in tokens; 0 for plain services.
	CacheCapacityTokens int64
	// Running is the exact number of calls granted and not finished.
	Running int
	// CacheUsedTokens is the estimated cache in use, in tokens: the sum over its entries.
	CacheUsedTokens int64
	// ReservedTokens is the cache that the running calls need at their end, in tokens.
	ReservedTokens int64

	oldestEntry, newestEntry *CacheEntry
	residents                []*Program // sorted by residentRank, the lowest first
}

// FreeSlots returns the number of further calls that the worker can run; 0 if it isn't usable.
func (w *Worker) FreeSlots() int {
	if !w.Usable || w.Running >= w.MaxRunning {
		return 0
	}
	return w.MaxRunning - w.Running
}

// Program is the group's state of a program that has called it.
type Program struct {
	ID    ids.Program
	Agent *AgentStats
	Class Class
	// Turns is the number of calls that the program has finished in any pool.
	Turns int
	// AttainedTokens is the attained service: the tokens that the program has spent so far.
	AttainedTokens int64
	OpenedAt       clock.Millis
	// Deadline is 0 for a program without one.
	Deadline clock.Millis
	// Started is set by the first grant and stays set.
	Started bool
	// HistoryTokens is the length of the last call's prompt and answer, in tokens.
	HistoryTokens int64
	// Waiting and Running count the program's calls in the group.
	Waiting, Running int
	// LastFinished is when its last call in the group ended; PauseTool is the tool that it is expected to wait for
	// since.
	LastFinished clock.Millis
	PauseTool    string
	// LastWorker is the worker that ran the latest call; nil before the first grant.
	LastWorker *Worker
	// LastSeen is the time of the last message about one of its calls.
	LastSeen clock.Millis
	// ServedBy lists the workers that ran a call of the program or reported it as cached.
	ServedBy []*Worker

	// IsChild is set for a program that was opened by a call of another one.
	IsChild bool

	cacheEntries   []*CacheEntry
	residentWorker *Worker
	residentRank   float64
}

// NextCallTokens returns the cache that the program is expected to need for its next call, in tokens.
func (p *Program) NextCallTokens() int64 { return p.HistoryTokens + int64(p.Agent.growthPerTurn()) }

// ExpectedFinalTokens returns the cache that the program is expected to need when it ends, in tokens: its history,
// and its agent's growth per turn over the turns that are expected to be left.
func (p *Program) ExpectedFinalTokens(now clock.Millis) int64 {
	return p.HistoryTokens + int64(p.Agent.growthPerTurn()*p.Agent.TurnStats.ExpectedTurnsLeft(p.Turns, now))
}

// SetResidentWorker makes the program a resident of w, with the policy's rank of its latest call; with nil it is no
// longer resident on any worker.
func (p *Program) SetResidentWorker(w *Worker, rank float64) {
	if previous := p.residentWorker; previous != nil {
		i := sort.Search(len(previous.residents), func(i int) bool { return previous.residents[i].residentRank >= p.residentRank })
		for previous.residents[i] != p {
			i++
		}
		previous.residents = slices.Delete(previous.residents, i, i+1)
	}
	p.residentWorker, p.residentRank = w, rank
	if w != nil {
		i := sort.Search(len(w.residents), func(i int) bool { return w.residents[i].residentRank > rank })
		w.residents = slices.Insert(w.residents, i, p)
	}
}

// ResidentWorker returns the worker that is meant to keep the program's prefix cached, or nil.
func (p *Program) ResidentWorker() *Worker { return p.residentWorker }

// FitsCache reports whether size tokens for the call, and the tokens that need returns for each resident with a
// lower rank, are within limit. The program of the call itself doesn't count as a resident.
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

// Call is a waiting or running call.
type Call struct {
	Program *Program
	// Seq numbers the calls in the order of arrival at the scheduler.
	Seq          uint64
	EnqueuedAt   clock.Millis
	PromptTokens int64
	MaxTokens    int64
	// AvoidWorkers lists workers that failed this call.
	AvoidWorkers []string
	// Rank is the policy's last rank of the call.
	Rank float64
	// Worker is nil unless the call runs.
	Worker    *Worker
	GrantedAt clock.Millis
}

// PeakCacheTokens returns the cache that the call is expected to need at its end, in tokens.
func (c *Call) PeakCacheTokens() int64 {
	return c.PromptTokens + int64(c.Program.Agent.GeneratedTokens.ValueOr(0))
}

// StartsNewWork reports whether the call is new work: the first call of a program that is no child. The first call
// of a child program isn't, since a started program waits for it.
func (c *Call) StartsNewWork() bool {
	return c.Program.Turns == 0 && !c.Program.Started && !c.Program.IsChild
}

// Group is the state of one worker group, read-only for policies.
type Group struct {
	Now     clock.Millis
	Workers []*Worker // sorted by name
	// Programs holds every open program that has called the group.
	Programs map[ids.Program]*Program
	// StartedPrograms is the number of started programs that are open.
	StartedPrograms int
	// Agents and Tools hold the statistics of past programs and pauses, by name.
	Agents map[string]*AgentStats
	Tools  map[string]*ToolStats
}

// Policy decides the order of waiting calls and the worker of each. Its methods are deterministic functions of
// their arguments and of the policy's own state.
type Policy interface {
	Name() string
	// Rank orders the waiting calls: the lowest goes first, and ties are broken by arrival. Urgent calls go before
	// all others whatever their rank. It is evaluated when a call is enqueued, about once a second while it waits,
	// and when it finishes, for the residency of its program.
	Rank(g *Group, c *Call) float64
	// Filter reports whether the call may run on the worker now. The worker has a free slot.
	Filter(g *Group, c *Call, w *Worker) bool
	// Score compares the workers that passed Filter: the highest wins, and ties are broken by name.
	Score(g *Group, c *Call, w *Worker) float64
	// Reserve records the grant and returns the call's priority for the engine; the lowest runs first.
	Reserve(g *Group, c *Call, w *Worker) int
}

// ResidencyPolicy is implemented by policies that can end a program's residency during a long pause.
type ResidencyPolicy interface {
	// KeepResident reports whether a program that has paused for elapsed milliseconds stays resident. It is
	// evaluated about once a second.
	KeepResident(g *Group, p *Program, elapsed clock.Millis) bool
}

// EachResident calls fn for every resident of w, the lowest rank first. fn may change the program's residency.
func (w *Worker) EachResident(fn func(*Program)) {
	for _, p := range slices.Clone(w.residents) {
		fn(p)
	}
}
