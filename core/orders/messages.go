// Package orders decides which order is sent to which engine, so that the workers of each engine pool reach the model,
// version, adapters and role of the ticket in force.
//
// One host per pool, the order manager, sends orders. It is elected through the lease object orders/<pool>, whose
// fencing token rises with each holder.
package orders

import (
	"strings"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// Lease is the value of the object orders/<pool>.
type Lease struct {
	// Holder identifies a process, not only its host; empty after a release.
	Holder string `json:"holder" msgpack:"h"`
	// FencingToken rises with each claim of the lease.
	FencingToken uint64 `json:"fence" msgpack:"f"`
	// Seq counts the writes of one holder. It shows whether a write whose response was lost took effect.
	Seq uint64 `json:"seq" msgpack:"s"`
}

// OrderKind is the kind of an order in the protocol of the engines.
type OrderKind string

const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order is one order to an engine.
type Order struct {
	Kind    OrderKind `json:"kind" msgpack:"k"`
	Model   string    `json:"model,omitempty" msgpack:"m"`
	Version string    `json:"version,omitempty" msgpack:"v"`
	Adapter string    `json:"adapter,omitempty" msgpack:"a"`
	Role    string    `json:"role,omitempty" msgpack:"r"`
}

// String returns the order as text, for example "load_model m v2".
func (o Order) String() string {
	parts := []string{string(o.Kind)}
	for _, s := range []string{o.Model, o.Version, o.Adapter, o.Role} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, " ")
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Model        string   `json:"model" msgpack:"m"`
	Version      string   `json:"version" msgpack:"v"`
	Adapters     []string `json:"adapters" msgpack:"a"`
	Role         string   `json:"role" msgpack:"r"`
	Loading      bool     `json:"loading" msgpack:"l"`
	FencingToken uint64   `json:"fence" msgpack:"f"`
}

// NamedPool is an engine pool of the configuration.
type NamedPool struct {
	Name string      `msgpack:"n"`
	Pool config.Pool `msgpack:"p"`
}

// Started is the first event. Holder identifies this process.
type Started struct {
	Holder   string   `msgpack:"h"`
	Settings Settings `json:"Times" msgpack:"t"`
}

// PoolsConfigured reports all engine pools of the configuration, sorted by name.
type PoolsConfigured struct {
	Pools []NamedPool `msgpack:"p"`
}

// Engine is a live worker of an engine pool.
type Engine struct {
	Name    string `msgpack:"n"`
	Pool    string `msgpack:"p"`
	Address string `msgpack:"a"`
}

// EnginesListed reports all live engines.
type EnginesListed struct {
	Engines []Engine `msgpack:"e"`
}

// PoolRank is this host's rank in the rendezvous order of a pool, from 0.
type PoolRank struct {
	Pool string `msgpack:"p"`
	Rank int    `msgpack:"r"`
}

// Ticked triggers whatever is due. Ranks lists the pools for which this host is a candidate.
type Ticked struct {
	Ranks []PoolRank `msgpack:"r"`
}

// LeaseRead is the result of ReadLease.
type LeaseRead struct {
	Pool   string `msgpack:"p"`
	Failed bool   `msgpack:"e"`
	// Version is 0 if the lease does not exist.
	Version uint64 `msgpack:"v"`
	Lease   Lease  `msgpack:"l"`
}

// WriteResult is the result of a conditional write.
type WriteResult string

const (
	WriteSucceeded      WriteResult = "written"
	WriteConflict       WriteResult = "conflict"
	WriteFailed         WriteResult = "not written"
	WriteOutcomeUnknown WriteResult = "unknown"
)

// LeaseWritten is the result of WriteLease.
type LeaseWritten struct {
	Pool   string      `msgpack:"p"`
	Result WriteResult `msgpack:"r"`
	// SentAt is the time right before the write was sent. The lease duration counts from it.
	SentAt  clock.Millis `msgpack:"s"`
	Version uint64       `msgpack:"v"`
	Lease   Lease        `msgpack:"l"`
}

// EngineRead is the result of ReadEngine.
type EngineRead struct {
	Pool   string      `msgpack:"p"`
	Engine string      `msgpack:"e"`
	ReadID uint64      `json:"Read" msgpack:"n"`
	Error  string      `msgpack:"er"`
	State  EngineState `msgpack:"s"`
}

// WorkerDrained is the result of Prepare.
type WorkerDrained struct {
	Pool    string `msgpack:"p"`
	OrderID uint64 `json:"Op" msgpack:"o"`
}

// OrderResult is the result of sending an order.
type OrderResult string

const (
	OrderAccepted       OrderResult = "accepted"
	OrderFenced         OrderResult = "fenced"  // the engine has seen a higher fencing token
	OrderRejected       OrderResult = "refused" // the engine rejected the order
	OrderLeaseExpired   OrderResult = "lapsed"  // the lease had expired; nothing was sent
	OrderOutcomeUnknown OrderResult = "unclear" // the engine may have accepted the order
)

// SendOrderCompleted is the result of Send.
type SendOrderCompleted struct {
	Pool    string      `msgpack:"p"`
	OrderID uint64      `json:"Op" msgpack:"o"`
	Result  OrderResult `msgpack:"r"`
	// FencingToken is the engine's fencing token if the result is OrderFenced.
	FencingToken uint64 `json:"Fence" msgpack:"f"`
	// RetryAfterMS is the delay in milliseconds that the engine or the weight store requests at its rate limit; else 0.
	RetryAfterMS int64  `msgpack:"ra"`
	Error        string `msgpack:"e"`
}

// StatusWritten is the result of WriteStatus.
type StatusWritten struct {
	Pool    string `msgpack:"p"`
	Written bool   `msgpack:"w"`
}

// ReadLease is the effect that reads the lease of a pool.
type ReadLease struct {
	Pool string `msgpack:"p"`
}

// WriteLease is the effect that claims, renews or releases the lease of a pool.
type WriteLease struct {
	Pool    string `msgpack:"p"`
	Lease   Lease  `msgpack:"l"`
	Version uint64 `msgpack:"v"` // expected version; 0 creates the object
}

// ReadEngine is the effect that reads the state of an engine.
type ReadEngine struct {
	Pool    string `msgpack:"p"`
	Engine  string `msgpack:"e"`
	Address string `msgpack:"a"`
	ReadID  uint64 `json:"Read" msgpack:"n"`
}

// DrainWorker is the effect that waits, before an order, until a worker has no running calls.
type DrainWorker struct {
	Pool    string `msgpack:"p"`
	OrderID uint64 `json:"Op" msgpack:"o"`
	Engine  string `msgpack:"e"`
	Order   Order  `msgpack:"or"`
}

// SendOrder is the effect that sends an order, unless ValidUntil has passed.
type SendOrder struct {
	Pool         string       `msgpack:"p"`
	OrderID      uint64       `json:"Op" msgpack:"o"`
	Engine       string       `msgpack:"e"`
	Address      string       `msgpack:"a"`
	FencingToken uint64       `json:"Fence" msgpack:"f"`
	Order        Order        `msgpack:"or"`
	ValidUntil   clock.Millis `msgpack:"v"`
}

// SetWorkerUsable is the effect that sets whether a worker may get calls. Of two effects for one worker, the one with
// the higher FencingToken takes precedence.
type SetWorkerUsable struct {
	Pool         string `msgpack:"p"`
	Engine       string `msgpack:"e"`
	FencingToken uint64 `json:"Fence" msgpack:"f"`
	Usable       bool   `msgpack:"u"`
}

// OrderManagerChanged is the effect that reports that this host became or ceased to be the order manager of a pool.
type OrderManagerChanged struct {
	Pool         string `msgpack:"p"`
	FencingToken uint64 `json:"Fence" msgpack:"f"`
	IsManager    bool   `json:"Held" msgpack:"h"`
}

// WriteStatus is the effect that writes the object status/<pool>.
type WriteStatus struct {
	Pool         string `msgpack:"p"`
	FencingToken uint64 `json:"Fence" msgpack:"f"`
	// Value is a PoolStatus as JSON.
	Value []byte `msgpack:"v"`
}

// PoolStatus is the value of the object status/<pool>.
type PoolStatus struct {
	Pool         string         `json:"pool"`
	Manager      string         `json:"manager"`
	FencingToken uint64         `json:"fence"`
	Workers      []WorkerStatus `json:"workers"`
}

// States of a worker in a PoolStatus.
const (
	StateReady       = "ready"
	StateLoading     = "loading"
	StateWaiting     = "waiting" // for the orders of other workers or for a retry
	StateFailed      = "failed"  // the last order failed; it is retried
	StateUnreachable = "unreachable"
)

// WorkerStatus is the state of one worker and its current order, if any.
type WorkerStatus struct {
	Name     string   `json:"name"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	State    string   `json:"state"`
	Order    *Order   `json:"order,omitempty"`
	Error    string   `json:"error,omitempty"`
}

// Kinds of events and effects.
const (
	KindStarted             event.Kind = "orders.started"
	KindPoolsConfigured     event.Kind = "orders.configured"
	KindEnginesListed       event.Kind = "orders.engines_listed"
	KindTicked              event.Kind = "orders.ticked"
	KindLeaseRead           event.Kind = "orders.lease_seen"
	KindLeaseWritten        event.Kind = "orders.lease_written"
	KindEngineRead          event.Kind = "orders.engine_seen"
	KindWorkerDrained       event.Kind = "orders.prepared"
	KindSendOrderCompleted  event.Kind = "orders.ordered"
	KindStatusWritten       event.Kind = "orders.status_written"
	KindReadLease           event.Kind = "orders.read_lease"
	KindWriteLease          event.Kind = "orders.write_lease"
	KindReadEngine          event.Kind = "orders.read_engine"
	KindDrainWorker         event.Kind = "orders.prepare"
	KindSendOrder           event.Kind = "orders.send"
	KindSetWorkerUsable     event.Kind = "orders.usable"
	KindOrderManagerChanged event.Kind = "orders.held"
	KindWriteStatus         event.Kind = "orders.write_status"
)

func (Started) EventKind() event.Kind              { return KindStarted }
func (PoolsConfigured) EventKind() event.Kind      { return KindPoolsConfigured }
func (EnginesListed) EventKind() event.Kind        { return KindEnginesListed }
func (Ticked) EventKind() event.Kind               { return KindTicked }
func (LeaseRead) EventKind() event.Kind            { return KindLeaseRead }
func (LeaseWritten) EventKind() event.Kind         { return KindLeaseWritten }
func (EngineRead) EventKind() event.Kind           { return KindEngineRead }
func (WorkerDrained) EventKind() event.Kind        { return KindWorkerDrained }
func (SendOrderCompleted) EventKind() event.Kind   { return KindSendOrderCompleted }
func (StatusWritten) EventKind() event.Kind        { return KindStatusWritten }
func (ReadLease) EffectKind() event.Kind           { return KindReadLease }
func (WriteLease) EffectKind() event.Kind          { return KindWriteLease }
func (ReadEngine) EffectKind() event.Kind          { return KindReadEngine }
func (DrainWorker) EffectKind() event.Kind         { return KindDrainWorker }
func (SendOrder) EffectKind() event.Kind           { return KindSendOrder }
func (SetWorkerUsable) EffectKind() event.Kind     { return KindSetWorkerUsable }
func (OrderManagerChanged) EffectKind() event.Kind { return KindOrderManagerChanged }
func (WriteStatus) EffectKind() event.Kind         { return KindWriteStatus }

func init() {
	for _, e := range []event.Event{
		Started{},
		PoolsConfigured{},
		EnginesListed{},
		Ticked{},
		LeaseRead{},
		LeaseWritten{},
		EngineRead{},
		WorkerDrained{},
		SendOrderCompleted{},
		StatusWritten{},
	} {
		event.Register(e)
	}
}
