// Package sched decides which waiting call runs next on which worker of a group. It runs on one host, the group's
// scheduler; homes on other hosts exchange these messages with it as peer frames. Its state is soft: after the
// loss of the scheduler, homes enqueue their waiting calls again at the next scheduler and report their running
// calls.
package sched

import (
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/poison"
)

// Classes of programs, the most urgent first.
const (
	ClassUrgent      = "urgent"
	ClassInteractive = "interactive"
	ClassBatch       = "batch"
)

// CallID identifies one attempt of a call at the scheduler.
type CallID struct {
	Program ids.Program `msgpack:"p"`
	Key     string      `msgpack:"k"`
	// Home and Attempt distinguish an attempt from earlier ones of the same key, also after the outcome "not run"
	// and after a takeover by a successor. The scheduler ignores the IDs of attempts that have ended.
	Home ids.Journal `msgpack:"h"`
	// Attempt counts the attempts of all calls at Home.
	Attempt int `msgpack:"a"`
}

// Enqueued requests a worker for a call of a program. All durations are in milliseconds.
type Enqueued struct {
	Call  CallID `msgpack:"c"`
	Group string `msgpack:"g"` // "<pool>/<group number>"
	// Home is the journal of the program's home host, to which the grant goes.
	Home ids.Journal `msgpack:"h"`
	// RootProgram is the program that a caller opened, if Call.Program is a child program of it; else empty. The
	// calls of child programs, also the first, are not new work.
	RootProgram ids.Program `json:"Root" msgpack:"rt"`
	Agent       string      `msgpack:"ag"`
	Class       string      `msgpack:"cl"`
	// Turns is the number of calls that the program has finished in any pool.
	Turns int `json:"Turn" msgpack:"t"`
	// AttainedTokens is the number of tokens that the program has spent so far.
	AttainedTokens int64 `msgpack:"at"`
	// PromptTokens is the estimated length of the whole prompt with the history; 0 for plain services.
	PromptTokens int64 `msgpack:"pt"`
	MaxTokens    int64 `msgpack:"mt"`
	// AgeMS is the time since the program was opened.
	AgeMS int64 `msgpack:"age"`
	// TimeLeftMS is the time until the program's deadline; 0 is no deadline.
	TimeLeftMS int64 `msgpack:"tl"`
	// PausedMS is the time since the program's previous call ended; PauseTool is the tool of the pause.
	PausedMS  int64  `msgpack:"pm"`
	PauseTool string `msgpack:"ptl"`
	// ServedBy lists the workers that served the program, the latest last. They may have its prefix cached.
	ServedBy []string `json:"Workers" msgpack:"w"`
	// RunningOn names the worker that already runs the call; empty for a waiting call. Homes set it when they report
	// running calls to a new scheduler, which counts the call and sends no grant.
	RunningOn string `json:"Running" msgpack:"r"`
	// AvoidWorkers lists workers that failed this call.
	AvoidWorkers []string `json:"Avoid" msgpack:"av"`
	// Fingerprints identifies the request whichever program, home or attempt sends it.
	Fingerprints poison.Chain `json:",omitempty" msgpack:"fp,omitempty"`
}

// Finished reports the end of a granted call.
type Finished struct {
	Call            CallID `msgpack:"c"`
	Group           string `msgpack:"g"`
	Worker          string `msgpack:"w"`
	PromptTokens    int64  `msgpack:"pt"`
	CachedTokens    int64  `msgpack:"ct"`
	GeneratedTokens int64  `msgpack:"gt"`
	// NextTool names the tool that the program is expected to wait for now; empty if unknown.
	NextTool string `msgpack:"nt"`
	Failed   bool   `msgpack:"f"`
	// WorkerEnded is set if the worker ended while the call was there, and Began if it had begun to run it by then and had
	// not produced anything.
	WorkerEnded bool `json:",omitempty" msgpack:"we,omitempty"`
	Began       bool `json:",omitempty" msgpack:"b,omitempty"`
}

// Withdrawn cancels a waiting call (its program was canceled or its caller's deadline passed). A home that
// receives a grant for a call that is no longer pending also answers with Withdrawn, which frees the slot.
type Withdrawn struct {
	Call  CallID `msgpack:"c"`
	Group string `msgpack:"g"`
}

// ProgramEnded reports the end of a program, whose cache is then released.
type ProgramEnded struct {
	Program ids.Program `msgpack:"p"`
	Group   string      `msgpack:"g"`
	Agent   string      `msgpack:"a"`
	Turns   int         `msgpack:"t"`
}

// Worker describes a backend server to the scheduler.
type Worker struct {
	Name string `msgpack:"n"`
	// Usable is false while the worker is leaving, loading or unreachable: it gets no new calls.
	Usable              bool  `msgpack:"u"`
	MaxRunning          int   `msgpack:"m"`
	CacheCapacityTokens int64 `json:"CacheTokens" msgpack:"c"`
}

// GroupChanged carries the complete list of workers of a group, and the policy of the pool.
type GroupChanged struct {
	Group   string   `msgpack:"g"`
	Workers []Worker `msgpack:"w"`
	Policy  string   `msgpack:"p"`
	// CallTTLMS is the time in milliseconds after which a call that its home has not refreshed is dropped; 0 keeps
	// calls until they end. Homes refresh all their calls every few seconds.
	CallTTLMS int64 `json:"ExpireMS" msgpack:"x"`
}

// LoadReported is a worker's own load report, AgeMS milliseconds old.
type LoadReported struct {
	Group           string `msgpack:"g"`
	Worker          string `msgpack:"w"`
	AgeMS           int64  `msgpack:"a"`
	Running         int    `msgpack:"r"`
	Waiting         int    `msgpack:"q"`
	CacheUsedTokens int64  `json:"CacheTokens" msgpack:"c"`
}

// CacheReported is a worker's own report of the programs that it has cached.
type CacheReported struct {
	Group    string         `msgpack:"g"`
	Worker   string         `msgpack:"w"`
	Programs []ProgramCache `msgpack:"p"`
	// AgeMS is the age of the report in milliseconds; what the scheduler recorded since then takes precedence.
	AgeMS int64 `msgpack:"a"`
}

// ProgramCache is the number of tokens of one program in a worker's cache.
type ProgramCache struct {
	Program ids.Program `msgpack:"p"`
	Tokens  int64       `msgpack:"t"`
}

// GroupReset drops the state of a group: this host no longer schedules it.
type GroupReset struct {
	Group string `msgpack:"g"`
}

// HomeLost reports that the journal of a home was sealed: its waiting calls will not be dispatched and its running
// calls will not be finished. The successor enqueues the calls of adopted programs itself.
type HomeLost struct {
	Group string      `msgpack:"g"`
	Home  ids.Journal `msgpack:"h"`
}

// Ticked advances the time of a group. Adapters publish one per group about every 100 ms.
type Ticked struct {
	Group string `msgpack:"g"`
}

// Grant is the effect that assigns a worker to a call.
type Grant struct {
	Call   CallID      `msgpack:"c"`
	Group  string      `msgpack:"g"`
	Home   ids.Journal `msgpack:"h"`
	Worker string      `msgpack:"w"`
	// Priority is passed to engines that support priorities; the lowest runs first.
	Priority int `msgpack:"p"`
	// WaitedMS is the time that the call waited at the scheduler, in milliseconds; 0 in a repeated grant.
	WaitedMS int64 `msgpack:"wm"`
}

// Refuse is the effect that rejects a call that has not run.
type Refuse struct {
	Call         CallID      `msgpack:"c"`
	Home         ids.Journal `msgpack:"h"`
	Reason       string      `msgpack:"r"`
	RetryAfterMS int64       `msgpack:"ra"`
}

// ReleaseCache is the effect that drops the cache of a program on a worker.
type ReleaseCache struct {
	Group   string      `msgpack:"g"`
	Worker  string      `msgpack:"w"`
	Program ids.Program `msgpack:"p"`
}

// Kinds of the events and effects.
const (
	KindEnqueued      event.Kind = "sched.enqueued"
	KindFinished      event.Kind = "sched.finished"
	KindWithdrawn     event.Kind = "sched.withdrawn"
	KindProgramEnded  event.Kind = "sched.program_ended"
	KindGroupChanged  event.Kind = "sched.group_changed"
	KindLoadReported  event.Kind = "sched.load_reported"
	KindCacheReported event.Kind = "sched.cache_reported"
	KindGroupReset    event.Kind = "sched.group_reset"
	KindHomeLost      event.Kind = "sched.home_lost"
	KindTicked        event.Kind = "sched.ticked"
	KindGrant         event.Kind = "sched.grant"
	KindRefuse        event.Kind = "sched.refuse"
	KindReleaseCache  event.Kind = "sched.release_cache"
)

func (Enqueued) EventKind() event.Kind      { return KindEnqueued }
func (Finished) EventKind() event.Kind      { return KindFinished }
func (Withdrawn) EventKind() event.Kind     { return KindWithdrawn }
func (ProgramEnded) EventKind() event.Kind  { return KindProgramEnded }
func (GroupChanged) EventKind() event.Kind  { return KindGroupChanged }
func (LoadReported) EventKind() event.Kind  { return KindLoadReported }
func (CacheReported) EventKind() event.Kind { return KindCacheReported }
func (GroupReset) EventKind() event.Kind    { return KindGroupReset }
func (HomeLost) EventKind() event.Kind      { return KindHomeLost }
func (Ticked) EventKind() event.Kind        { return KindTicked }
func (Grant) EffectKind() event.Kind        { return KindGrant }
func (Refuse) EffectKind() event.Kind       { return KindRefuse }
func (ReleaseCache) EffectKind() event.Kind { return KindReleaseCache }

func init() {
	for _, e := range []event.Event{
		Enqueued{},
		Finished{},
		Withdrawn{},
		ProgramEnded{},
		GroupChanged{},
		LoadReported{},
		CacheReported{},
		GroupReset{},
		HomeLost{},
		Ticked{},
	} {
		event.Register(e)
	}
}
