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

// WaiterID identifies a request that waits at this host for a Reply. 0 means that no reply is wanted.
type WaiterID uint64

// CommitSeq is the sequence number of a commit. It rises by one with each Commit, and the journal commits in order.
type CommitSeq uint64

// Events.

// Started is the first event. Journal is the journal of this incarnation.
type Started struct {
	Journal ids.Journal `msgpack:"j"`
	Limits  Limits      `msgpack:"l"`
}

// OpenRequested requests a new program.
type OpenRequested struct {
	Waiter  WaiterID        `msgpack:"w"`
	Request api.OpenProgram `msgpack:"r"`
}

// CallSubmitted requests a call of a program.
type CallSubmitted struct {
	Waiter  WaiterID    `msgpack:"w"`
	Program ids.Program `msgpack:"p"`
	Call    api.Call    `msgpack:"c"`
	// Trace is the W3C traceparent of the caller's request.
	Trace string `msgpack:"t"`
}

// EndRequested ends or cancels a program. Without Cancel it is refused while calls of the program have not ended.
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

// ReadRequested reads a program, one of its calls, or a list of programs. Key is set for QueryCall only, Programs for
// QueryOpen only.
type ReadRequested struct {
	Waiter   WaiterID      `msgpack:"w"`
	Query    Query         `msgpack:"q"`
	Program  ids.Program   `msgpack:"p"`
	Key      string        `msgpack:"k"`
	Programs []ids.Program `msgpack:"ps"`
}

// WaiterGone reports that a request no longer waits for its reply. The call continues.
type WaiterGone struct {
	Waiter WaiterID `msgpack:"w"`
}

// Granted assigns a worker to a call.
type Granted struct {
	Call     sched.CallID `msgpack:"c"`
	Group    string       `msgpack:"g"`
	Worker   string       `msgpack:"w"`
	Priority int          `msgpack:"p"`
}

// Refused is the scheduler's refusal of a call.
type Refused struct {
	Call         sched.CallID `msgpack:"c"`
	Reason       string       `msgpack:"r"`
	RetryAfterMS int64        `msgpack:"ra"`
}

// DispatchResult is the way in which a dispatch ended.
type DispatchResult string

const (
	ResultCompleted   DispatchResult = "done"    // the answer is complete
	ResultNotRun      DispatchResult = "not_run" // nothing was sent, or the server reported that it did not execute the call
	ResultInterrupted DispatchResult = "broken"  // sent, and the answer is missing or cut off
)

// DispatchEnded reports the end of a dispatch.
type DispatchEnded struct {
	Call   sched.CallID   `msgpack:"c"`
	Result DispatchResult `msgpack:"r"`
	// Text is the whole text received so far, including ResumeText of the dispatch.
	Text       string       `msgpack:"t"`
	Usage      api.Usage    `msgpack:"u"`
	StatusCode int          `json:"Status" msgpack:"s"`
	Error      *fault.Error `msgpack:"e"`
	// WorkerEnded and Began are those of sched.Finished.
	WorkerEnded bool `json:",omitempty" msgpack:"we,omitempty"`
	Began       bool `json:",omitempty" msgpack:"b,omitempty"`
}

// Committed reports that all commits up to UpTo are durable.
type Committed struct {
	UpTo CommitSeq `msgpack:"t"`
}

// StoreAvailabilityChanged reports whether the store is available. Down is set when a commit has been waiting for
// longer than the store's wait limit.
type StoreAvailabilityChanged struct {
	Down bool `msgpack:"d"`
}

// Fenced reports that this incarnation lost its journal: it can commit nothing more.
type Fenced struct {
	Reason string `msgpack:"r"`
}

// ConfigChanged carries the configuration in force.
type ConfigChanged struct {
	Config config.Config `msgpack:"c"`
}

// GroupsChanged carries the number of worker groups by pool.
type GroupsChanged struct {
	GroupCounts map[string]int `json:"Groups" msgpack:"g"`
}

// SchedulerChanged reports that another host schedules the group now, or that messages to its scheduler may have
// been lost: calls that wait for a grant are enqueued again, and granted calls are reported.
type SchedulerChanged struct {
	Group string `msgpack:"g"` // empty for all groups
	// WaitingOnly leaves out the granted calls, because the scheduler that granted them counts them already.
	WaitingOnly bool `msgpack:"w"`
}

// AdoptionRequested carries the records of a sealed journal whose programs this home adopts.
type AdoptionRequested struct {
	Waiter  WaiterID    `msgpack:"w"`
	Journal ids.Journal `msgpack:"j"`
	Records []Record    `msgpack:"r"`
}

// CacheReleased confirms that a worker has released the cache of an ended program.
type CacheReleased struct {
	Program ids.Program `msgpack:"p"`
	Worker  string      `msgpack:"w"`
}

// DrainStarted reports that the host is shutting down: new programs are refused.
type DrainStarted struct{}

// SnapshotRequested requests a commit of the whole state, so that the journal can be truncated.
type SnapshotRequested struct{}

// Ticked is the periodic event that checks timeouts.
type Ticked struct{}

// Effects.

// Commit appends records to the journal. A snapshot replaces all records before it.
type Commit struct {
	Seq      CommitSeq `json:"Token" msgpack:"t"`
	Records  []Record  `msgpack:"r"`
	Snapshot bool      `msgpack:"s"`
	// Trace is the W3C traceparent of the call that the records belong to, if there is one.
	Trace string `msgpack:"tr"`
}

// Reply answers a waiter: Error is set if its request failed, else the field for this kind of request.
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

// AttachStream sends the stream of a call to a waiter, from the beginning of the stream.
type AttachStream struct {
	Waiter  WaiterID    `msgpack:"w"`
	Program ids.Program `msgpack:"p"`
	Key     string      `msgpack:"k"`
}

// Enqueue requests a worker from the group's scheduler, or reports a granted call if Request.RunningOn is set.
type Enqueue struct {
	Request sched.Enqueued `msgpack:"r"`
	Trace   string         `msgpack:"tr"`
}

// Withdraw removes a waiting call from the queue of the group's scheduler.
type Withdraw struct {
	Request sched.Withdrawn `msgpack:"r"`
}

// ReportFinished reports the end of a granted call to the group's scheduler.
type ReportFinished struct {
	Request sched.Finished `msgpack:"r"`
}

// NotifyProgramEnded reports the end of a program to the group's scheduler.
type NotifyProgramEnded struct {
	Request sched.ProgramEnded `msgpack:"r"`
}

// Dispatch sends a call to its backend server.
type Dispatch struct {
	Call   sched.CallID `msgpack:"c"`
	Kind   api.CallKind `msgpack:"k"`
	Worker string       `msgpack:"w"` // empty for tools
	Group  string       `msgpack:"g"`
	// Idempotent is false for calls with a committed intent, which are sent only under a valid lease.
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

// CancelDispatch stops a dispatch because its program was canceled or its home was fenced.
type CancelDispatch struct {
	Call   sched.CallID `msgpack:"c"`
	Worker string       `msgpack:"w"`
}

// ReleaseCache releases the cache of an ended program on a worker. The adapter retries until it succeeds and then
// publishes CacheReleased.
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
	OpChildBudgetCharged Op = "charged"   // a child's budget was charged to the program; negative: its rest was returned
	OpIntent             Op = "intent"    // a non-idempotent call is about to be sent
	OpIntentAborted      Op = "withdrawn" // the call of the intent did not run
	OpTurn               Op = "turn"      // a call ended with a recorded outcome
	OpEnded              Op = "ended"     // the program ended
	OpCacheReleased      Op = "released"  // workers have released the cache of the ended program
	OpExpired            Op = "forgotten" // the retention of the ended program is over
	OpImported           Op = "imported"  // all programs of an adopted journal are in this one
	OpSeal               Op = "seal"      // the journal's last record, written by the successor

	// OpSnapshotStart and OpSnapshotEnd enclose records of the whole state. Once OpSnapshotEnd is durable, the
	// earlier records of the journal are not needed.
	OpSnapshotStart Op = "snapshot_start"
	OpSnapshotEnd   Op = "snapshot_end"
)

// Record is one entry of a journal. A program can be rebuilt from its records alone.
type Record struct {
	Op      Op          `msgpack:"o"`
	Program ids.Program `msgpack:"p,omitempty"`

	// OpOpened.
	Header *Header `msgpack:"h,omitempty"`
	// OpReserved, OpChildBudgetCharged and OpTurn: budget tokens.
	Tokens int64 `msgpack:"t,omitempty"`
	// OpIntent, OpIntentAborted and OpTurn.
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
	Workers []string     `msgpack:"w,omitempty"` // also OpCacheReleased
	// OpSeal.
	Successor ids.Journal `json:"Heir" msgpack:"he,omitempty"`
	// OpImported.
	Journal ids.Journal `msgpack:"j,omitempty"`
}

// Header is the immutable part of a program, with the totals with which a restored program begins.
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
	// SpentTokens and Workers are set in snapshots and for adopted programs.
	SpentTokens int64 `json:"Spent" msgpack:"s,omitempty"`
	// ImportedFrom is the journal that the program was adopted from. Until the OpImported record of that journal,
	// the program's records may be incomplete.
	ImportedFrom ids.Journal `msgpack:"i,omitempty"`
	Workers      []string    `msgpack:"w,omitempty"`
}
