// Package program is the reducer for the programs of one home: it orders their calls, keeps their
// history and budgets, and decides what must be durable before what.
//
// The order of the steps of a call is the package's reason to exist:
//
//  1. budget for the worst case is reserved in the journal,
//  2. the group's scheduler grants a worker,
//  3. the intent of a call that may not be repeated is committed,
//  4. the call is dispatched,
//  5. its turn is committed,
//  6. the answer goes to the caller.
//
// State changes are applied when their record is written and before it is committed; everything that
// can be seen from outside waits for the commit. Since the journal commits in order, the state that is
// ahead of the journal is lost as a whole or not at all.
package program

import (
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// States of a program.
const (
	StateOpen     = "open"
	StateEnded    = "ended"
	StateCanceled = "canceled"
)

// Limits are the host's limits for programs.
type Limits struct {
	MaxQueuedCalls      int           `msgpack:"q"`                   // calls of one program that wait
	OrderTimeout        time.Duration `json:"OrderWait" msgpack:"o"`  // how long a call waits for the calls before it
	IdleTimeout         time.Duration `msgpack:"i"`                   // a program without calls for this long is ended
	Retention           time.Duration `msgpack:"r"`                   // how long an ended program can be read
	MaxUncommittedBytes int           `json:"MaxUnsaved" msgpack:"u"` // bytes of records that wait for the store
}

// State is the state of all programs at this home. Programs that are children stand beside their
// parents in the same map and always have the same home, so that a budget has one owner.
type State struct {
	journal        ids.Journal
	limits         Limits
	lastProgramSeq uint64 // counter of the last program opened here

	programs    map[ids.Program]*program
	openByTeam  map[string]int // open programs by team
	config      config.Config
	groupCounts map[string]int // worker groups by pool

	lastAttempt      int // of all calls at this home
	lastCommitSeq    CommitSeq
	pendingCommits   []pendingCommit // commits that are not durable yet, in token order
	uncommittedBytes int             // estimated bytes of pending commits
	storeDown        bool
	draining         bool
	fenced           bool

	retryBudgets map[string]*retryBudget // by pool

	// Indexes, so that an event costs the same whatever the number of programs.
	children            map[ids.Program][]ids.Program // by parent
	callsByWaiter       map[WaiterID]*call            // waiters for calls
	programsWithWaiting map[ids.Program]struct{}      // programs with waiting calls
	programsWithCurrent map[ids.Program]struct{}      // programs with a running call
	sweptAt             clock.Millis                  // last look at all programs for idle and expired ones
}

// pendingCommit says what goes on when the commit is durable.
type pendingCommit struct {
	seq     CommitSeq
	bytes   int
	action  commitAction
	program ids.Program
	key     string
	attempt int
	waiter  WaiterID
	adopted int
}

// commitAction is what follows a commit.
type commitAction int

const (
	actionNone             commitAction = iota
	actionReplyOpened                   // answer the opener
	actionContinueReserved              // go on with the call
	actionDispatch                      // dispatch the call
	actionFinishCall                    // answer the callers
	actionReplyEnded                    // answer the one who ended the program
	actionReplyAdopted                  // answer the adopter
)

// program is one agent program. The sum of spent and chunk never exceeds budget.
type program struct {
	id           ids.Program
	header       Header
	state        string
	endedAt      clock.Millis
	lastActiveAt clock.Millis // last time a call came or ended

	spentTokens    int64 // settled tokens, and budgets of children
	reservedTokens int64 // tokens reserved in the journal and not settled
	usage          api.Usage

	turns        []api.Turn
	pendingCalls map[string]*call       // calls that are not finished or not durable, by key
	durableCalls map[string]durableCall // all other calls, by key
	waiting      []*call                // in arrival order
	current      *call

	openIntents       map[string]Record // by key: intents without an outcome; used when records are replayed
	workers           []string          // workers that served the program, the latest last
	unreleasedWorkers []string          // workers that still have to release the ended program's cache

	contextTokens int64  // length of the prompt of the last model call with its answer, from the engine
	lastTool      string // tool of the last turn, if it was a tool call
}

// callState is where a call stands in the order of steps given in the package comment.
type callState string

const (
	callWaiting          callState = "queued"     // for the calls before it
	callReserving        callState = "reserving"  // for the commit of its budget
	callScheduling       callState = "scheduling" // for a grant
	callCommittingIntent callState = "intent"     // for the commit of its intent
	callDispatched       callState = "dispatched"
	callAwaitingChild    callState = "child"      // for the child program of an agent call
	callCommittingTurn   callState = "committing" // for the commit of its turn
	callFinished         callState = "finished"
)

type call struct {
	request       api.Call
	hash          uint64
	state         callState
	waitingSince  clock.Millis // when it came, or when the calls before it last moved
	attemptID     sched.CallID // of the latest attempt
	attempts      int          // number of the latest attempt of this call
	interruptions int          // dispatches that broke
	worker        string
	priority      int
	avoidWorkers  []string
	partialText   string // received so far, to resume from
	intentDurable bool
	maxTokens     int
	trace         string
	waiters       []WaiterID

	turn       api.Turn
	statusCode int
	durable    bool
	turnIndex  int // of its turn in the program's history, once it is recorded
}

// durableCall is what is kept of a finished and durable call besides its turn; a program has up to 280 of them.
type durableCall struct {
	hash       uint64
	turnIndex  int32 // index of its turn
	statusCode int32
}

// New returns the state of a home without programs. Started tells it its journal.
func New() *State {
	return &State{
		programs:            map[ids.Program]*program{},
		openByTeam:          map[string]int{},
		groupCounts:         map[string]int{},
		retryBudgets:        map[string]*retryBudget{},
		children:            map[ids.Program][]ids.Program{},
		callsByWaiter:       map[WaiterID]*call{},
		programsWithWaiting: map[ids.Program]struct{}{},
		programsWithCurrent: map[ids.Program]struct{}{},
	}
}

// reduction is one run of Reduce.
type reduction struct {
	*State
	now     clock.Millis
	effects []event.Effect
}

func (r *reduction) emit(e event.Effect) { r.effects = append(r.effects, e) }

// Reduce implements core.Subsystem.
func (s *State) Reduce(at clock.Millis, ev event.Event) []event.Effect {
	r := &reduction{State: s, now: at}
	switch e := ev.(type) {
	case Started:
		s.journal, s.limits = e.Journal, e.Limits
	case OpenRequested:
		r.handleOpenRequested(e)
	case CallSubmitted:
		r.handleCallSubmitted(e)
	case EndRequested:
		r.handleEndRequested(e)
	case ReadRequested:
		r.handleReadRequested(e)
	case WaiterGone:
		r.handleWaiterGone(e)
	case Granted:
		r.handleGranted(e)
	case Refused:
		r.handleRefused(e)
	case DispatchEnded:
		r.handleDispatchEnded(e)
	case Committed:
		r.handleCommitted(e)
	case StoreAvailabilityChanged:
		r.handleStoreAvailabilityChanged(e)
	case Fenced:
		r.handleFenced(e)
	case ConfigChanged:
		s.config = e.Config
	case GroupsChanged:
		s.groupCounts = e.GroupCounts
	case SchedulerChanged:
		r.handleSchedulerChanged(e)
	case AdoptionRequested:
		r.handleAdoptionRequested(e)
	case CacheReleased:
		r.handleCacheReleased(e)
	case DrainStarted:
		s.draining = true
	case SnapshotRequested:
		r.commitSnapshot()
	case Ticked:
		r.handleTicked()
	}
	return r.effects
}

func (r *reduction) replyError(w WaiterID, err *fault.Error) {
	if w != 0 {
		r.emit(Reply{Waiter: w, Error: err})
	}
}

// applyAndCommit applies the records and asks for their commit; next goes on when they are durable.
func (r *reduction) applyAndCommit(next pendingCommit, records ...Record) {
	for i := range records {
		r.applyRecord(&records[i])
		next.bytes += estimateRecordBytes(&records[i])
	}
	r.lastCommitSeq++
	next.seq = r.lastCommitSeq
	r.uncommittedBytes += next.bytes
	r.pendingCommits = append(r.pendingCommits, next)
	r.emit(Commit{Seq: next.seq, Records: records, Trace: r.traceOf(next.program, next.key)})
}

// traceOf returns the trace of a call; it is empty for other keys.
func (r *reduction) traceOf(id ids.Program, key string) string {
	if p, ok := r.programs[id]; ok {
		if c, ok := p.pendingCalls[key]; ok {
			return c.trace
		}
	}
	return ""
}

// commitSnapshot commits the state as it is. The records describe the state and are not applied to it again.
func (r *reduction) commitSnapshot() {
	records := append([]Record{{Op: OpSnapshotStart}}, r.Export()...)
	records = append(records, Record{Op: OpSnapshotEnd})
	r.lastCommitSeq++
	r.pendingCommits = append(r.pendingCommits, pendingCommit{seq: r.lastCommitSeq})
	r.emit(Commit{Seq: r.lastCommitSeq, Records: records, Snapshot: true})
}

func estimateRecordBytes(rec *Record) int {
	const envelope = 100 // bytes of a record without its texts
	n := envelope
	if rec.Turn != nil {
		n += len(rec.Turn.Request) + len(rec.Turn.Answer)
	}
	if rec.Call != nil {
		n += len(rec.Key) + envelope
	}
	return n
}

func (r *reduction) handleCommitted(e Committed) {
	for len(r.pendingCommits) > 0 && r.pendingCommits[0].seq <= e.UpTo {
		p := r.pendingCommits[0]
		r.pendingCommits = r.pendingCommits[1:]
		r.uncommittedBytes -= p.bytes
		r.runCommitAction(p)
	}
}

func (r *reduction) runCommitAction(p pendingCommit) {
	switch p.action {
	case actionReplyOpened:
		r.emit(Reply{Waiter: p.waiter, Opened: p.program})
	case actionContinueReserved, actionDispatch, actionFinishCall:
		r.runCallAction(p)
	case actionReplyEnded:
		if p.waiter != 0 {
			r.replyStatus(p.waiter, p.program)
		}
	case actionReplyAdopted:
		r.emit(Reply{Waiter: p.waiter, Adopted: p.adopted})
	}
}

func (r *reduction) runCallAction(p pendingCommit) {
	prog, ok := r.programs[p.program]
	if !ok {
		return
	}
	c, ok := prog.pendingCalls[p.key]
	if !ok {
		return
	}
	switch {
	case p.action == actionContinueReserved && c.state == callReserving && prog.current == c:
		r.continueReserved(prog, c)
	case p.action == actionDispatch && c.state == callCommittingIntent && c.attemptID.Attempt == p.attempt:
		c.intentDurable = true
		r.dispatch(prog, c)
	case p.action == actionFinishCall:
		c.durable = true
		delete(prog.pendingCalls, p.key)
		prog.durableCalls[p.key] = durableCall{hash: c.hash, turnIndex: int32(c.turnIndex), statusCode: int32(c.statusCode)}
		if c.state == callCommittingTurn {
			r.finishCall(prog, c)
		}
	}
}

// handleStoreAvailabilityChanged stops what must not wait for an unavailable store: calls that need a commit before they
// are sent are refused, and finished calls are answered as not durable yet.
func (r *reduction) handleStoreAvailabilityChanged(e StoreAvailabilityChanged) {
	if r.storeDown == e.Down {
		return
	}
	r.storeDown = e.Down
	if !e.Down {
		return
	}
	r.refusePendingOpens()
	for _, p := range r.sortedPrograms() {
		c := p.current
		if c == nil {
			continue
		}
		switch c.state {
		case callReserving, callCommittingIntent:
			r.failNotRun(p, c, errStoreDown("commit before dispatch"))
		case callCommittingTurn:
			r.finishCall(p, c)
		}
	}
}

// refusePendingOpens answers the openers whose program waits for its commit. The program itself stays: the
// commit may take effect later, and the idle timeout then ends it.
func (r *reduction) refusePendingOpens() {
	for i := range r.pendingCommits {
		p := &r.pendingCommits[i]
		if p.action == actionReplyOpened && p.waiter != 0 {
			r.replyError(p.waiter, errStoreDown("open program"))
			p.action = actionNone
		}
	}
}

func errStoreDown(step string) *fault.Error {
	const retryAfter = 2 * time.Second
	return fault.New(fault.CodeStoreDown, step, "the platform's store does not take writes").RetryAfter(retryAfter)
}

// handleFenced answers every waiter with "moved" and drops all programs: the heir has them now. A call that
// was not dispatched never will be.
func (r *reduction) handleFenced(e Fenced) {
	r.fenced = true
	moved := fault.New(fault.CodeMoved, "home", "the program moved to another host: %s", e.Reason)
	for _, p := range r.pendingCommits {
		r.replyError(p.waiter, moved.With(fault.Unknown))
	}
	r.pendingCommits = nil
	for _, p := range r.sortedPrograms() {
		for _, c := range p.unfinishedCalls() {
			ferr := moved
			if c.mayHaveRun() {
				ferr = moved.With(fault.Unknown)
			}
			for _, w := range c.waiters {
				r.replyError(w, ferr)
			}
			if c.state == callDispatched && c.request.Kind == api.CallModel {
				r.emit(CancelDispatch{Call: c.attemptID, Worker: c.worker})
			}
		}
	}
	r.programs = map[ids.Program]*program{}
	r.openByTeam = map[string]int{}
	r.children = map[ids.Program][]ids.Program{}
	r.callsByWaiter = map[WaiterID]*call{}
	r.programsWithWaiting = map[ids.Program]struct{}{}
	r.programsWithCurrent = map[ids.Program]struct{}{}
}

// findCall returns a call by its key. That of a settled one is a copy.
func (p *program) findCall(key string) (*call, bool) {
	if c, ok := p.pendingCalls[key]; ok {
		return c, true
	}
	s, ok := p.durableCalls[key]
	if !ok {
		return nil, false
	}
	t := p.turns[s.turnIndex]
	return &call{
		request: api.Call{Key: key, Seq: t.Seq, Kind: t.Kind}, hash: s.hash, state: callFinished, turn: t, statusCode: int(s.statusCode),
		durable: true, turnIndex: int(s.turnIndex),
	}, true
}

// mayHaveRun says whether the call may have run.
func (c *call) mayHaveRun() bool {
	switch c.state {
	case callWaiting:
		return false
	case callReserving, callScheduling, callCommittingIntent:
		return c.interruptions > 0
	}
	return true
}

// newAttempt gives the call an ID that no earlier attempt had.
func (r *reduction) newAttempt(p *program, c *call) {
	r.lastAttempt++
	c.attempts++
	c.attemptID = sched.CallID{Program: p.id, Key: c.request.Key, Home: r.journal, Attempt: r.lastAttempt}
}

// unfinishedCalls returns the calls that somebody may wait for, the running one first.
func (p *program) unfinishedCalls() []*call {
	calls := make([]*call, 0, len(p.waiting)+1)
	if p.current != nil {
		calls = append(calls, p.current)
	}
	return append(calls, p.waiting...)
}

// poolOf returns the pool of the group, "<pool>/<index>".
func poolOf(group string) string {
	for i := len(group) - 1; i >= 0; i-- {
		if group[i] == '/' {
			return group[:i]
		}
	}
	return group
}
