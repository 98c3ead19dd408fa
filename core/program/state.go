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
	MaxQueuedCalls int           `msgpack:"q"` // calls of one program that wait
	OrderWait      time.Duration `msgpack:"o"` // how long a call waits for the calls before it
	IdleTimeout    time.Duration `msgpack:"i"` // a program without calls for this long is ended
	Retention      time.Duration `msgpack:"r"` // how long an ended program can be read
	MaxUnsaved     int           `msgpack:"u"` // bytes of records that wait for the store
}

// State is the state of all programs at this home. Programs that are children stand beside their
// parents in the same map and always have the same home, so that a budget has one owner.
type State struct {
	self   ids.Journal
	limits Limits
	next   uint64 // counter of the last program opened here

	programs map[ids.Program]*program
	open     map[string]int // open programs by team
	config   config.Config
	groups   map[string]int // worker groups by pool

	attempts  int // of all calls at this home
	lastToken Token
	pending   []pendingCommit // commits that are not durable yet, in token order
	unsaved   int             // estimated bytes of pending commits
	storeDown bool
	draining  bool
	deposed   bool

	retries map[string]*retryBudget // by pool

	// Indexes, so that an event costs the same whatever the number of programs.
	children map[ids.Program][]ids.Program // by parent
	callOf   map[WaiterID]*call            // waiters for calls
	queued   map[ids.Program]struct{}      // programs with waiting calls
	running  map[ids.Program]struct{}      // programs with a running call
	sweptAt  clock.Millis                  // last look at all programs for idle and expired ones
}

// pendingCommit says what goes on when the commit is durable.
type pendingCommit struct {
	token   Token
	bytes   int
	next    step
	program ids.Program
	key     string
	attempt int
	waiter  WaiterID
	count   int
}

// step is what follows a commit.
type step int

const (
	stepNone     step = iota
	stepOpened        // answer the opener
	stepReserved      // go on with the call
	stepIntent        // dispatch the call
	stepTurn          // answer the callers
	stepEnded         // answer the one who ended the program
	stepAdopted       // answer the adopter
)

// program is one agent program. The sum of spent and chunk never exceeds budget.
type program struct {
	id     ids.Program
	header Header
	state  string
	ended  clock.Millis
	active clock.Millis // last time a call came or ended

	spent int64 // settled tokens, and budgets of children
	chunk int64 // tokens reserved in the journal and not settled
	usage api.Usage

	turns   []api.Turn
	calls   map[string]*call       // calls that are not finished or not durable, by key
	settled map[string]settledCall // all other calls, by key
	waiting []*call                // in arrival order
	running *call

	intents  map[string]Record // by key: intents without an outcome; used when records are replayed
	workers  []string          // workers that served the program, the latest last
	releases []string          // workers that still have to release the ended program's cache

	promptTokens int64  // length of the prompt of the last model call with its answer, from the engine
	lastTool     string // tool of the last turn, if it was a tool call
}

// callState is where a call stands in the order of steps given in the package comment.
type callState string

const (
	callWaiting    callState = "queued"     // for the calls before it
	callReserving  callState = "reserving"  // for the commit of its budget
	callScheduling callState = "scheduling" // for a grant
	callIntent     callState = "intent"     // for the commit of its intent
	callDispatched callState = "dispatched"
	callChild      callState = "child"      // for the child program of an agent call
	callCommitting callState = "committing" // for the commit of its turn
	callFinished   callState = "finished"
)

type call struct {
	request    api.Call
	hash       uint64
	state      callState
	since      clock.Millis // when it came, or when the calls before it last moved
	id         sched.CallID // of the latest attempt
	attempt    int          // number of the latest attempt of this call
	failures   int          // dispatches that broke
	worker     string
	priority   int
	avoid      []string
	text       string // received so far, to resume from
	intentDone bool
	maxTokens  int
	trace      string
	waiters    []WaiterID

	turn    api.Turn
	status  int
	durable bool
	index   int // of its turn in the program's history, once it is recorded
}

// settledCall is what is kept of a finished and durable call besides its turn; a program has up to 280 of them.
type settledCall struct {
	hash   uint64
	turn   int32 // index of its turn
	status int32
}

// New returns the state of a home without programs. Started tells it its journal.
func New() *State {
	return &State{
		programs: map[ids.Program]*program{},
		open:     map[string]int{},
		groups:   map[string]int{},
		retries:  map[string]*retryBudget{},
		children: map[ids.Program][]ids.Program{},
		callOf:   map[WaiterID]*call{},
		queued:   map[ids.Program]struct{}{},
		running:  map[ids.Program]struct{}{},
	}
}

// reduction is one run of Reduce.
type reduction struct {
	*State
	at      clock.Millis
	effects []event.Effect
}

func (r *reduction) emit(e event.Effect) { r.effects = append(r.effects, e) }

// Reduce implements core.Subsystem.
func (s *State) Reduce(at clock.Millis, ev event.Event) []event.Effect {
	r := &reduction{State: s, at: at}
	switch e := ev.(type) {
	case Started:
		s.self, s.limits = e.Journal, e.Limits
	case OpenRequested:
		r.openRequested(e)
	case CallSubmitted:
		r.callSubmitted(e)
	case EndRequested:
		r.endRequested(e)
	case ReadRequested:
		r.readRequested(e)
	case WaiterGone:
		r.waiterGone(e)
	case Granted:
		r.granted(e)
	case Refused:
		r.refused(e)
	case DispatchEnded:
		r.dispatchEnded(e)
	case Committed:
		r.committed(e)
	case StoreChanged:
		r.storeChanged(e)
	case Deposed:
		r.deposedFrom(e)
	case ConfigChanged:
		s.config = e.Config
	case GroupsChanged:
		s.groups = e.Groups
	case SchedulerChanged:
		r.schedulerChanged(e)
	case JournalRead:
		r.journalRead(e)
	case CacheReleased:
		r.cacheReleased(e)
	case DrainStarted:
		s.draining = true
	case SnapshotRequested:
		r.snapshot()
	case Ticked:
		r.ticked()
	}
	return r.effects
}

func (r *reduction) fail(w WaiterID, err *fault.Error) {
	if w != 0 {
		r.emit(Reply{Waiter: w, Error: err})
	}
}

// write applies the records and asks for their commit; next goes on when they are durable.
func (r *reduction) write(next pendingCommit, records ...Record) {
	for i := range records {
		r.apply(&records[i])
		next.bytes += recordBytes(&records[i])
	}
	r.lastToken++
	next.token = r.lastToken
	r.unsaved += next.bytes
	r.pending = append(r.pending, next)
	r.emit(Commit{Token: next.token, Records: records, Trace: r.traceOf(next.program, next.key)})
}

// traceOf returns the trace of a call; it is empty for other keys.
func (r *reduction) traceOf(id ids.Program, key string) string {
	if p, ok := r.programs[id]; ok {
		if c, ok := p.calls[key]; ok {
			return c.trace
		}
	}
	return ""
}

// snapshot commits the state as it is. The records describe the state and are not applied to it again.
func (r *reduction) snapshot() {
	records := append([]Record{{Op: OpSnapshotStart}}, r.Export()...)
	records = append(records, Record{Op: OpSnapshotEnd})
	r.lastToken++
	r.pending = append(r.pending, pendingCommit{token: r.lastToken})
	r.emit(Commit{Token: r.lastToken, Records: records, Snapshot: true})
}

func recordBytes(rec *Record) int {
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

func (r *reduction) committed(e Committed) {
	for len(r.pending) > 0 && r.pending[0].token <= e.UpTo {
		p := r.pending[0]
		r.pending = r.pending[1:]
		r.unsaved -= p.bytes
		r.proceed(p)
	}
}

func (r *reduction) proceed(p pendingCommit) {
	switch p.next {
	case stepOpened:
		r.emit(Reply{Waiter: p.waiter, Opened: p.program})
	case stepReserved, stepIntent, stepTurn:
		r.proceedCall(p)
	case stepEnded:
		if p.waiter != 0 {
			r.replyStatus(p.waiter, p.program)
		}
	case stepAdopted:
		r.emit(Reply{Waiter: p.waiter, Adopted: p.count})
	}
}

func (r *reduction) proceedCall(p pendingCommit) {
	prog, ok := r.programs[p.program]
	if !ok {
		return
	}
	c, ok := prog.calls[p.key]
	if !ok {
		return
	}
	switch {
	case p.next == stepReserved && c.state == callReserving && prog.running == c:
		r.reserved(prog, c)
	case p.next == stepIntent && c.state == callIntent && c.id.Attempt == p.attempt:
		c.intentDone = true
		r.dispatch(prog, c)
	case p.next == stepTurn:
		c.durable = true
		delete(prog.calls, p.key)
		prog.settled[p.key] = settledCall{hash: c.hash, turn: int32(c.index), status: int32(c.status)}
		if c.state == callCommitting {
			r.finish(prog, c)
		}
	}
}

// storeChanged stops what must not wait for an unavailable store: calls that need a commit before they
// are sent are refused, and finished calls are answered as not durable yet.
func (r *reduction) storeChanged(e StoreChanged) {
	if r.storeDown == e.Down {
		return
	}
	r.storeDown = e.Down
	if !e.Down {
		return
	}
	r.refuseOpening()
	for _, p := range r.sorted() {
		c := p.running
		if c == nil {
			continue
		}
		switch c.state {
		case callReserving, callIntent:
			r.notRun(p, c, errStoreDown("commit before dispatch"))
		case callCommitting:
			r.finish(p, c)
		}
	}
}

// refuseOpening answers the openers whose program waits for its commit. The program itself stays: the
// commit may take effect later, and the idle timeout then ends it.
func (r *reduction) refuseOpening() {
	for i := range r.pending {
		p := &r.pending[i]
		if p.next == stepOpened && p.waiter != 0 {
			r.fail(p.waiter, errStoreDown("open program"))
			p.next = stepNone
		}
	}
}

func errStoreDown(step string) *fault.Error {
	const retryAfter = 2 * time.Second
	return fault.New(fault.CodeStoreDown, step, "the platform's store does not take writes").RetryAfter(retryAfter)
}

// deposedFrom answers every waiter with "moved" and drops all programs: the heir has them now. A call that
// was not dispatched never will be.
func (r *reduction) deposedFrom(e Deposed) {
	r.deposed = true
	moved := fault.New(fault.CodeMoved, "home", "the program moved to another host: %s", e.Reason)
	for _, p := range r.pending {
		r.fail(p.waiter, moved.With(fault.Unknown))
	}
	r.pending = nil
	for _, p := range r.sorted() {
		for _, c := range p.liveCalls() {
			ferr := moved
			if c.attempted() {
				ferr = moved.With(fault.Unknown)
			}
			for _, w := range c.waiters {
				r.fail(w, ferr)
			}
			if c.state == callDispatched && c.request.Kind == api.CallModel {
				r.emit(CancelDispatch{Call: c.id, Worker: c.worker})
			}
		}
	}
	r.programs = map[ids.Program]*program{}
	r.open = map[string]int{}
	r.children = map[ids.Program][]ids.Program{}
	r.callOf = map[WaiterID]*call{}
	r.queued = map[ids.Program]struct{}{}
	r.running = map[ids.Program]struct{}{}
}

// call returns a call by its key. That of a settled one is a copy.
func (p *program) call(key string) (*call, bool) {
	if c, ok := p.calls[key]; ok {
		return c, true
	}
	s, ok := p.settled[key]
	if !ok {
		return nil, false
	}
	t := p.turns[s.turn]
	return &call{
		request: api.Call{Key: key, Seq: t.Seq, Kind: t.Kind}, hash: s.hash, state: callFinished, turn: t, status: int(s.status),
		durable: true, index: int(s.turn),
	}, true
}

// attempted says whether the call may have run.
func (c *call) attempted() bool {
	switch c.state {
	case callWaiting:
		return false
	case callReserving, callScheduling, callIntent:
		return c.failures > 0
	}
	return true
}

// newAttempt gives the call an ID that no earlier attempt had.
func (r *reduction) newAttempt(p *program, c *call) {
	r.attempts++
	c.attempt++
	c.id = sched.CallID{Program: p.id, Key: c.request.Key, Home: r.self, Attempt: r.attempts}
}

// liveCalls returns the calls that somebody may wait for, the running one first.
func (p *program) liveCalls() []*call {
	calls := make([]*call, 0, len(p.waiting)+1)
	if p.running != nil {
		calls = append(calls, p.running)
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
