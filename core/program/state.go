// Package program is the reducer for the programs of one home: it orders their calls, records their history and
// budgets, and decides which records must be durable before which effects.
//
// A call takes these steps, in this order:
//
//  1. Budget tokens for its worst case are reserved in the journal.
//  2. The group's scheduler grants a worker.
//  3. The intent of a non-idempotent call is committed.
//  4. The call is dispatched.
//  5. Its turn is committed.
//  6. The answer is sent to the caller.
//
// A record changes the state when it is written, before it is committed. Effects that are visible outside wait for
// the commit, except answers during an outage of the store, which are marked as not durable. The journal commits
// in order, so a crash loses only the latest records.
package program

import (
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/poison"
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
	MaxQueuedCalls      int           `msgpack:"q"`                   // waiting calls of one program
	OrderTimeout        time.Duration `json:"OrderWait" msgpack:"o"`  // maximum wait of a call for the calls before it
	IdleTimeout         time.Duration `msgpack:"i"`                   // a program without calls for this time is ended
	Retention           time.Duration `msgpack:"r"`                   // time for which an ended program can be read
	MaxUncommittedBytes int           `json:"MaxUnsaved" msgpack:"u"` // size of the uncommitted records at which calls are refused during an outage of the store
}

// State is the state of all programs at this home. Child programs always have the same home as their parents, so
// that one home manages the budget of both.
type State struct {
	journal        ids.Journal
	limits         Limits
	lastProgramSeq uint64 // counter of the last program opened here

	programs    map[ids.Program]*program
	openByTeam  map[string]int // open programs by team
	config      config.Config
	groupCounts map[string]int // worker groups by pool

	lastAttempt      int // number of the latest attempt of any call
	lastCommitSeq    CommitSeq
	pendingCommits   []pendingCommit // commits that are not durable yet, in the order of their sequence numbers
	uncommittedBytes int             // estimated bytes of pendingCommits
	storeDown        bool
	draining         bool
	fenced           bool

	retryBudgets map[string]*retryBudget // by pool

	// Indexes, so that the cost of an event of one program does not depend on the number of programs.
	children            map[ids.Program][]ids.Program // by parent
	callsByWaiter       map[WaiterID]*call
	programsWithWaiting map[ids.Program]struct{} // may also have programs whose calls no longer wait
	programsWithCurrent map[ids.Program]struct{}
	sweptAt             clock.Millis // last sweep for idle and expired programs
}

// pendingCommit is a commit that is not durable yet, with the action that follows it.
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

// commitAction is the action that follows a commit once it is durable.
type commitAction int

const (
	actionNone             commitAction = iota
	actionReplyOpened                   // reply to the request that opened the program
	actionContinueReserved              // continue the call, whose reservation is durable
	actionDispatch                      // dispatch the call, whose intent is durable
	actionFinishCall                    // reply to the callers
	actionReplyEnded                    // reply to the request that ended the program
	actionReplyAdopted                  // reply to the adoption request
)

// program is one agent program. spentTokens + reservedTokens never exceeds header.BudgetTokens.
type program struct {
	id           ids.Program
	header       Header
	state        string
	endedAt      clock.Millis
	lastActiveAt clock.Millis // time of the last submitted call, recorded turn or adoption

	spentTokens    int64 // cost of recorded turns, and budgets of children
	reservedTokens int64 // reserved in the journal and not settled
	usage          api.Usage

	turns        []api.Turn
	pendingCalls map[string]*call       // calls that are not finished or not durable, by key
	durableCalls map[string]durableCall // finished and durable calls, by key
	waiting      []*call                // in arrival order
	current      *call

	openIntents       map[string]Record // intents without an outcome, by key; an adoption records them as outcome unknown
	workers           []string          // workers that may have the program cached, the latest last
	unreleasedWorkers []string          // workers that have not confirmed the release of the ended program's cache

	contextTokens int64  // length of the last model call, prompt and answer, as counted by the engine
	lastTool      string // tool of the last turn, if it was a tool call
}

// callState is the step that a call has reached. The package comment gives the order of the steps.
type callState string

const (
	callWaiting          callState = "queued"     // waits for the calls before it
	callReserving        callState = "reserving"  // waits for the commit of its reservation
	callScheduling       callState = "scheduling" // waits for a grant
	callCommittingIntent callState = "intent"     // waits for the commit of its intent
	callDispatched       callState = "dispatched"
	callAwaitingChild    callState = "child"      // waits for the child program of an agent call
	callCommittingTurn   callState = "committing" // waits for the commit of its turn
	callFinished         callState = "finished"
)

type call struct {
	request       api.Call
	hash          uint64
	state         callState
	waitingSince  clock.Millis // start of its wait for a missing earlier call; reset while another call runs
	attemptID     sched.CallID // of the latest attempt
	attempts      int          // number of attempts of this call
	fingerprints  poison.Chain // set when the call is first enqueued
	interruptions int          // number of interrupted dispatches
	worker        string
	priority      int
	avoidWorkers  []string
	partialText   string // received from interrupted dispatches; the next one resumes from it
	intentDurable bool
	maxTokens     int
	trace         string
	waiters       []WaiterID

	turn       api.Turn
	statusCode int
	durable    bool
	turnIndex  int // of its turn in program.turns, once it is recorded
}

// durableCall is all that is kept of a finished and durable call besides its turn. It is small because a program
// may have 280 of them.
type durableCall struct {
	hash       uint64
	turnIndex  int32 // in program.turns
	statusCode int32
}

// New returns the state of a home without programs. The event Started sets its journal and limits.
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

// reduction has the state, the time and the effects of one event.
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

func (r *reduction) replyError(waiter WaiterID, err *fault.Error) {
	if waiter != 0 {
		r.emit(Reply{Waiter: waiter, Error: err})
	}
}

// applyAndCommit applies the records and emits their commit. The action of pending runs when they are durable.
func (r *reduction) applyAndCommit(pending pendingCommit, records ...Record) {
	for i := range records {
		r.applyRecord(&records[i])
		pending.bytes += estimateRecordBytes(&records[i])
	}
	r.lastCommitSeq++
	pending.seq = r.lastCommitSeq
	r.uncommittedBytes += pending.bytes
	r.pendingCommits = append(r.pendingCommits, pending)
	r.emit(Commit{Seq: pending.seq, Records: records, Trace: r.traceOf(pending.program, pending.key)})
}

// traceOf returns the W3C traceparent of a pending call; it is empty for other keys.
func (r *reduction) traceOf(id ids.Program, key string) string {
	if p, ok := r.programs[id]; ok {
		if c, ok := p.pendingCalls[key]; ok {
			return c.trace
		}
	}
	return ""
}

// commitSnapshot commits the whole state. Its records are not applied, because the state has them already.
func (r *reduction) commitSnapshot() {
	records := append([]Record{{Op: OpSnapshotStart}}, r.Export()...)
	records = append(records, Record{Op: OpSnapshotEnd})
	r.lastCommitSeq++
	r.pendingCommits = append(r.pendingCommits, pendingCommit{seq: r.lastCommitSeq})
	r.emit(Commit{Seq: r.lastCommitSeq, Records: records, Snapshot: true})
}

func estimateRecordBytes(rec *Record) int {
	const envelopeBytes = 100 // bytes of a record or call without its texts
	n := envelopeBytes
	if rec.Turn != nil {
		n += len(rec.Turn.Request) + len(rec.Turn.Answer)
	}
	if rec.Call != nil {
		n += len(rec.Key) + envelopeBytes
	}
	return n
}

func (r *reduction) handleCommitted(e Committed) {
	for len(r.pendingCommits) > 0 && r.pendingCommits[0].seq <= e.UpTo {
		pending := r.pendingCommits[0]
		r.pendingCommits = r.pendingCommits[1:]
		r.uncommittedBytes -= pending.bytes
		r.runCommitAction(pending)
	}
}

func (r *reduction) runCommitAction(pending pendingCommit) {
	switch pending.action {
	case actionReplyOpened:
		r.emit(Reply{Waiter: pending.waiter, Opened: pending.program})
	case actionContinueReserved, actionDispatch, actionFinishCall:
		r.runCallAction(pending)
	case actionReplyEnded:
		if pending.waiter != 0 {
			r.replyStatus(pending.waiter, pending.program)
		}
	case actionReplyAdopted:
		r.emit(Reply{Waiter: pending.waiter, Adopted: pending.adopted})
	}
}

func (r *reduction) runCallAction(pending pendingCommit) {
	p, ok := r.programs[pending.program]
	if !ok {
		return
	}
	c, ok := p.pendingCalls[pending.key]
	if !ok {
		return
	}
	switch {
	case pending.action == actionContinueReserved && c.state == callReserving && p.current == c:
		r.continueReserved(p, c)
	case pending.action == actionDispatch && c.state == callCommittingIntent && c.attemptID.Attempt == pending.attempt:
		c.intentDurable = true
		r.dispatch(p, c)
	case pending.action == actionFinishCall:
		c.durable = true
		delete(p.pendingCalls, pending.key)
		p.durableCalls[pending.key] = durableCall{hash: c.hash, turnIndex: int32(c.turnIndex), statusCode: int32(c.statusCode)}
		if c.state == callCommittingTurn {
			r.finishCall(p, c)
		}
	}
}

// handleStoreAvailabilityChanged ends the waits for commits when an outage of the store begins: calls that need a
// commit before their dispatch are refused, and finished calls are answered as not durable.
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

// refusePendingOpens refuses the requests to open a program whose commit is pending. The program itself stays: its
// commit may become durable later, and the idle timeout then ends the program.
func (r *reduction) refusePendingOpens() {
	for i := range r.pendingCommits {
		pending := &r.pendingCommits[i]
		if pending.action == actionReplyOpened && pending.waiter != 0 {
			r.replyError(pending.waiter, errStoreDown("open program"))
			pending.action = actionNone
		}
	}
}

func errStoreDown(step string) *fault.Error {
	const retryAfter = 2 * time.Second
	return fault.New(fault.CodeStoreUnavailable, step, "the object store is unavailable").WithRetryAfter(retryAfter)
}

// handleFenced replies "moved" to every waiter and drops all programs, because the successor has them now. A call
// that was not dispatched is refused as not run: this home dispatches nothing more.
func (r *reduction) handleFenced(e Fenced) {
	r.fenced = true
	moved := fault.New(fault.CodeMoved, "home", "the program moved to another host: %s", e.Reason)
	for _, pending := range r.pendingCommits {
		r.replyError(pending.waiter, moved.WithOutcome(fault.OutcomeUnknown))
	}
	r.pendingCommits = nil
	for _, p := range r.sortedPrograms() {
		for _, c := range p.unfinishedCalls() {
			ferr := moved
			if c.mayHaveRun() {
				ferr = moved.WithOutcome(fault.OutcomeUnknown)
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

// findCall returns a call by its key. A durable call is a copy, built from its turn.
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

// mayHaveRun reports whether a backend server or a child program may have started work on the call.
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

// unfinishedCalls returns the current call, if there is one, and the waiting calls.
func (p *program) unfinishedCalls() []*call {
	calls := make([]*call, 0, len(p.waiting)+1)
	if p.current != nil {
		calls = append(calls, p.current)
	}
	return append(calls, p.waiting...)
}

// poolOf returns the pool of a group, whose name is "<pool>/<index>".
func poolOf(group string) string {
	for i := len(group) - 1; i >= 0; i-- {
		if group[i] == '/' {
			return group[:i]
		}
	}
	return group
}
