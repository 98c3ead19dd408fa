package program

import (
	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// WaiterID names one request that waits at this host for a Reply. 0 is nobody.
type WaiterID uint64

// CommitSeq names a commit. Tokens rise by one with each Commit effect; the journal commits in that order.
type CommitSeq uint64

// Events.

// Started is the first event: it names the journal of this incarnation.
type Started struct {
	Journal ids.Journal `msgpack:"j"`
	Limits  Limits      `msgpack:"l"`
}

// OpenRequested asks for a new program.
type OpenRequested struct {
	Waiter  WaiterID        `msgpack:"w"`
	Request api.OpenProgram `msgpack:"r"`
}

// CallSubmitted asks for a call of a program.
type CallSubmitted struct {
	Waiter  WaiterID    `msgpack:"w"`
	Program ids.Program `msgpack:"p"`
	Call    api.Call    `msgpack:"c"`
	// Trace is the W3C traceparent of the caller's request.
	Trace string `msgpack:"t"`
}

// EndRequested ends a program, or cancels it.
type EndRequested struct {
	Waiter  WaiterID    `msgpack:"w"`
	Program ids.Program `msgpack:"p"`
	Cancel  bool        `msgpack:"c"`
}

// Query selects what ReadRequested reads.
type Query string

const (
	QueryStatus  Query = "status"
	QueryHistory Query = "history"
	QueryCall    Query = "call"
	QueryList    Query = "list"
	QueryOpen    Query = "alive" // which of Programs are open
)

// ReadRequested reads the state.
type ReadRequested struct {
	Waiter   WaiterID      `msgpack:"w"`
	Query    Query         `msgpack:"q"`
	Program  ids.Program   `msgpack:"p"`
	Key      string        `msgpack:"k"`
	Programs []ids.Program `msgpack:"ps"`
}

// WaiterGone says that nobody waits for the reply any more. The call goes on.
type WaiterGone struct {
	Waiter WaiterID `msgpack:"w"`
}

// Granted gives a waiting call its worker.
type Granted struct {
	Call     sched.CallID `msgpack:"c"`
	Group    string       `msgpack:"g"`
	Worker   string       `msgpack:"w"`
	Priority int          `msgpack:"p"`
}

// Refused turns a waiting call away.
type Refused struct {
	Call         sched.CallID `msgpack:"c"`
	Reason       string       `msgpack:"r"`
	RetryAfterMS int64        `msgpack:"ra"`
}

// DispatchResult says how a dispatch ended.
type DispatchResult string

const (
	ResultCompleted   DispatchResult = "done"    // the answer is complete
	ResultNotRun      DispatchResult = "not_run" // nothing was sent, or the server said that it did not run
	ResultInterrupted DispatchResult = "broken"  // sent, and the answer is missing or cut off
)

// DispatchEnded reports the end of a dispatch.
type DispatchEnded struct {
	Call   sched.CallID   `msgpack:"c"`
	Result DispatchResult `msgpack:"r"`
	// Text is the whole text so far, including the text that the dispatch resumed from.
	Text       string       `msgpack:"t"`
	Usage      api.Usage    `msgpack:"u"`
	StatusCode int          `json:"Status" msgpack:"s"`
	Error      *fault.Error `msgpack:"e"`
}

// Committed says that all commits up to the token are durable.
type Committed struct {
	UpTo CommitSeq `msgpack:"t"`
}

// StoreAvailabilityChanged says whether commits get through. Down is set when a commit has been waiting for longer
// than the store's wait limit.
type StoreAvailabilityChanged struct {
	Down bool `msgpack:"d"`
}

// Fenced says that this incarnation lost its journal: nothing more can be committed.
type Fenced struct {
	Reason string `msgpack:"r"`
}

// ConfigChanged gives the configuration in force.
type ConfigChanged struct {
	Config config.Config `msgpack:"c"`
}

// GroupsChanged gives the number of worker groups of each pool.
type GroupsChanged struct {
	GroupCounts map[string]int `json:"Groups" msgpack:"g"`
}

// SchedulerChanged says that another host schedules the group now, or that messages to its scheduler may have been
// lost: waiting calls are enqueued again, and calls in flight are reported.
type SchedulerChanged struct {
	Group string `msgpack:"g"` // empty for all groups
	// WaitingOnly leaves out the calls that were granted: the scheduler that granted them counts them already.
	WaitingOnly bool `msgpack:"w"`
}

// AdoptionRequested carries the records of a sealed journal that this host takes over.
type AdoptionRequested struct {
	Waiter  WaiterID    `msgpack:"w"`
	Journal ids.Journal `msgpack:"j"`
	Records []Record    `msgpack:"r"`
}

// CacheReleased confirms that a worker holds no cache of an ended program.
type CacheReleased struct {
	Program ids.Program `msgpack:"p"`
	Worker  string      `msgpack:"w"`
}

// DrainStarted says that the host shuts down: new programs are refused.
type DrainStarted struct{}

// SnapshotRequested asks for a commit of the whole state, so that the journal can be cut.
type SnapshotRequested struct{}

// Ticked lets time pass.
type Ticked struct{}

// Effects.

// Commit appends records to the journal. A snapshot replaces what the journal has before it.
type Commit struct {
	Seq      CommitSeq `json:"Token" msgpack:"t"`
	Records  []Record  `msgpack:"r"`
	Snapshot bool      `msgpack:"s"`
	// Trace is the W3C traceparent of the call that the commit belongs to, if there is one.
	Trace string `msgpack:"tr"`
}

// Reply answers a waiter. Exactly one of the fields besides Waiter is set.
type Reply struct {
	Waiter       WaiterID            `msgpack:"w"`
	Error        *fault.Error        `msgpack:"e,omitempty"`
	Opened       ids.Program         `msgpack:"o,omitempty"`
	Answer       *api.CallAnswer     `msgpack:"a,omitempty"`
	Status       *api.ProgramStatus  `msgpack:"s,omitempty"`
	History      *api.History        `msgpack:"h,omitempty"`
	List         []api.ProgramStatus `msgpack:"l,omitempty"`
	OpenPrograms []ids.Program       `json:"Alive" msgpack:"al,omitempty"`
	Adopted      int                 `msgpack:"ad,omitempty"`
}

// AttachStream lets a waiter hear the pieces of a call's stream, from its beginning.
type AttachStream struct {
	Waiter  WaiterID    `msgpack:"w"`
	Program ids.Program `msgpack:"p"`
	Key     string      `msgpack:"k"`
}

// Enqueue asks the group's scheduler for a worker.
type Enqueue struct {
	Request sched.Enqueued `msgpack:"r"`
	Trace   string         `msgpack:"tr"`
}

// Withdraw takes a waiting call back from the group's scheduler.
type Withdraw struct {
	Request sched.Withdrawn `msgpack:"r"`
}

// ReportFinished reports the end of a granted call to the group's scheduler.
type ReportFinished struct {
	Request sched.Finished `msgpack:"r"`
}

// NotifyProgramEnded tells the group's scheduler that a program has ended.
type NotifyProgramEnded struct {
	Request sched.ProgramEnded `msgpack:"r"`
}

// Dispatch sends a call to its backend server.
type Dispatch struct {
	Call   sched.CallID `msgpack:"c"`
	Kind   api.CallKind `msgpack:"k"`
	Worker string       `msgpack:"w"` // empty for tools
	Group  string       `msgpack:"g"`
	// Idempotent is false for calls whose intent was committed: they are sent only under a valid lease.
	Idempotent  bool   `msgpack:"i"`
	TimeLimitMS int64  `msgpack:"tl"`
	Priority    int    `msgpack:"pr"`
	ResumeText  string `msgpack:"rt"`
	Trace       string `msgpack:"tr"`

	// Model calls.
	Model     string        `msgpack:"m"`
	Messages  []ChatMessage `msgpack:"ms"`
	MaxTokens int           `msgpack:"mt"`

	// Tool and service calls.
	Name    string `msgpack:"n"`
	Address string `msgpack:"a"`
	Method  string `msgpack:"me"`
	Path    string `msgpack:"pa"`
	Body    []byte `msgpack:"b"`
}

// ChatMessage is one message of a model call.
type ChatMessage struct {
	Role    string `msgpack:"r"`
	Content string `msgpack:"c"`
}

// CancelDispatch stops a dispatch whose answer is no longer wanted.
type CancelDispatch struct {
	Call   sched.CallID `msgpack:"c"`
	Worker string       `msgpack:"w"`
}

// ReleaseCache drops the cache of an ended program on a worker; the adapter repeats it until it succeeds
// and then publishes CacheReleased.
type ReleaseCache struct {
	Program ids.Program `msgpack:"p"`
	Group   string      `msgpack:"g"`
	Worker  string      `msgpack:"w"`
}

// Kinds of the messages.
const (
	KindStarted                  event.Kind = "program.started"
	KindOpenRequested            event.Kind = "program.open_requested"
	KindCallSubmitted            event.Kind = "program.call_submitted"
	KindEndRequested             event.Kind = "program.end_requested"
	KindReadRequested            event.Kind = "program.read_requested"
	KindWaiterGone               event.Kind = "program.waiter_gone"
	KindGranted                  event.Kind = "program.granted"
	KindRefused                  event.Kind = "program.refused"
	KindDispatchEnded            event.Kind = "program.dispatch_ended"
	KindCommitted                event.Kind = "program.committed"
	KindStoreAvailabilityChanged event.Kind = "program.store_changed"
	KindFenced                   event.Kind = "program.deposed"
	KindConfigChanged            event.Kind = "program.config_changed"
	KindGroupsChanged            event.Kind = "program.groups_changed"
	KindSchedulerChanged         event.Kind = "program.scheduler_changed"
	KindAdoptionRequested        event.Kind = "program.journal_read"
	KindCacheReleased            event.Kind = "program.cache_released"
	KindDrainStarted             event.Kind = "program.drain_started"
	KindSnapshotRequested        event.Kind = "program.snapshot_requested"
	KindTicked                   event.Kind = "program.ticked"

	KindCommit             event.Kind = "program.commit"
	KindReply              event.Kind = "program.reply"
	KindAttachStream       event.Kind = "program.attach"
	KindEnqueue            event.Kind = "program.enqueue"
	KindWithdraw           event.Kind = "program.withdraw"
	KindReportFinished     event.Kind = "program.finish"
	KindNotifyProgramEnded event.Kind = "program.notify_ended"
	KindDispatch           event.Kind = "program.dispatch"
	KindCancelDispatch     event.Kind = "program.cancel_dispatch"
	KindReleaseCache       event.Kind = "program.release_cache"
)

func (Started) EventKind() event.Kind                  { return KindStarted }
func (OpenRequested) EventKind() event.Kind            { return KindOpenRequested }
func (CallSubmitted) EventKind() event.Kind            { return KindCallSubmitted }
func (EndRequested) EventKind() event.Kind             { return KindEndRequested }
func (ReadRequested) EventKind() event.Kind            { return KindReadRequested }
func (WaiterGone) EventKind() event.Kind               { return KindWaiterGone }
func (Granted) EventKind() event.Kind                  { return KindGranted }
func (Refused) EventKind() event.Kind                  { return KindRefused }
func (DispatchEnded) EventKind() event.Kind            { return KindDispatchEnded }
func (Committed) EventKind() event.Kind                { return KindCommitted }
func (StoreAvailabilityChanged) EventKind() event.Kind { return KindStoreAvailabilityChanged }
func (Fenced) EventKind() event.Kind                   { return KindFenced }
func (ConfigChanged) EventKind() event.Kind            { return KindConfigChanged }
func (GroupsChanged) EventKind() event.Kind            { return KindGroupsChanged }
func (SchedulerChanged) EventKind() event.Kind         { return KindSchedulerChanged }
func (AdoptionRequested) EventKind() event.Kind        { return KindAdoptionRequested }
func (CacheReleased) EventKind() event.Kind            { return KindCacheReleased }
func (DrainStarted) EventKind() event.Kind             { return KindDrainStarted }
func (SnapshotRequested) EventKind() event.Kind        { return KindSnapshotRequested }
func (Ticked) EventKind() event.Kind                   { return KindTicked }

func (Commit) EffectKind() event.Kind             { return KindCommit }
func (Reply) EffectKind() event.Kind              { return KindReply }
func (AttachStream) EffectKind() event.Kind       { return KindAttachStream }
func (Enqueue) EffectKind() event.Kind            { return KindEnqueue }
func (Withdraw) EffectKind() event.Kind           { return KindWithdraw }
func (ReportFinished) EffectKind() event.Kind     { return KindReportFinished }
func (NotifyProgramEnded) EffectKind() event.Kind { return KindNotifyProgramEnded }
func (Dispatch) EffectKind() event.Kind           { return KindDispatch }
func (CancelDispatch) EffectKind() event.Kind     { return KindCancelDispatch }
func (ReleaseCache) EffectKind() event.Kind       { return KindReleaseCache }

func init() {
	for _, e := range []event.Event{
		Started{},
		OpenRequested{},
		CallSubmitted{},
		EndRequested{},
		ReadRequested{},
		WaiterGone{},
		Granted{},
		Refused{},
		DispatchEnded{},
		Committed{},
		StoreAvailabilityChanged{},
		Fenced{},
		ConfigChanged{},
		GroupsChanged{},
		SchedulerChanged{},
		AdoptionRequested{},
		CacheReleased{},
		DrainStarted{},
		SnapshotRequested{},
		Ticked{},
	} {
		event.Register(e)
	}
}

// Op is the kind of a journal record.
type Op string

const (
	OpOpened             Op = "opened"    // a program was opened
	OpReserved           Op = "reserved"  // budget tokens were reserved
	OpChildBudgetCharged Op = "charged"   // a child's budget was taken from the program, or given back if negative
	OpIntent             Op = "intent"    // a call that may not be repeated is about to be sent
	OpIntentAborted      Op = "withdrawn" // the intent's call did not run
	OpTurn               Op = "turn"      // a call ended with a recorded outcome
	OpEnded              Op = "ended"     // the program ended
	OpCacheReleased      Op = "released"  // a worker holds no cache of the ended program
	OpExpired            Op = "forgotten" // the retention of the ended program passed
	OpImported           Op = "imported"  // all programs of a journal that was taken over are in this one
	OpSeal               Op = "seal"      // the journal's last record, written by the heir

	// OpSnapshotStart and OpSnapshotEnd enclose records of the whole state: what precedes them in the
	// journal is not needed any more once the end is there.
	OpSnapshotStart Op = "snapshot_start"
	OpSnapshotEnd   Op = "snapshot_end"
)

// Record is one entry of a journal. A program can be rebuilt from its records alone.
type Record struct {
	Op      Op          `msgpack:"o"`
	Program ids.Program `msgpack:"p,omitempty"`

	// OpOpened.
	Header *Header `msgpack:"h,omitempty"`
	// OpReserved and OpCharged: budget tokens.
	Tokens int64 `msgpack:"t,omitempty"`
	// OpIntent, OpWithdrawn and OpTurn.
	Key  string `msgpack:"k,omitempty"`
	Hash uint64 `msgpack:"hs,omitempty"`
	// OpIntent.
	Call *api.Call `msgpack:"c,omitempty"`
	// OpTurn.
	Turn       *api.Turn `msgpack:"tu,omitempty"`
	StatusCode int       `json:"Status" msgpack:"st,omitempty"`
	// OpEnded.
	State   string       `msgpack:"s,omitempty"`
	At      clock.Millis `msgpack:"at,omitempty"`
	Workers []string     `msgpack:"w,omitempty"` // also OpReleased
	// OpSeal.
	Successor ids.Journal `json:"Heir" msgpack:"he,omitempty"`
	// OpImported.
	Journal ids.Journal `msgpack:"j,omitempty"`
}

// Header is the immutable part of a program, with the totals that a restored program begins with.
type Header struct {
	Team         string       `msgpack:"t"`
	Agent        string       `msgpack:"a"`
	Class        string       `msgpack:"c"`
	Group        string       `msgpack:"g"`
	Parent       ids.Program  `msgpack:"p,omitempty"`
	ParentKey    string       `msgpack:"pk,omitempty"`
	BudgetTokens int64        `json:"Budget" msgpack:"b"`
	OpenedAt     clock.Millis `msgpack:"o"`
	DeadlineAt   clock.Millis `msgpack:"d,omitempty"`
	// SpentTokens and Workers are set for programs that were taken over.
	SpentTokens int64 `json:"Spent" msgpack:"s,omitempty"`
	// ImportedFrom is the journal that the program was taken over from. Until the OpImported record of that
	// journal, the program's records may be incomplete.
	ImportedFrom ids.Journal `msgpack:"i,omitempty"`
	Workers      []string    `msgpack:"w,omitempty"`
}
