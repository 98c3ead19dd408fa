// Package orders decides which order goes to which engine, so that the workers of each engine pool reach
// the model, version, adapters and role of the configuration in force.
//
// One host per pool, the order manager, sends orders. It is elected through the lease object
// orders/<pool>. Its fencing number rises with each holder.
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
	// Fence is the fencing number: the number of holders so far.
	Fence uint64 `json:"fence" msgpack:"f"`
	// Seq counts the writes of one holder. It tells whether a write whose answer was lost took effect.
	Seq uint64 `json:"seq" msgpack:"s"`
}

// OrderKind is the kind of an order, as in the protocol of the engines.
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

// String returns the order for people, for example "load_model m v2".
func (o Order) String() string {
	parts := []string{string(o.Kind)}
	for _, s := range []string{o.Model, o.Version, o.Adapter, o.Role} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, " ")
}

// EngineState is what an engine reports of itself.
type EngineState struct {
	Model    string   `json:"model" msgpack:"m"`
	Version  string   `json:"version" msgpack:"v"`
	Adapters []string `json:"adapters" msgpack:"a"`
	Role     string   `json:"role" msgpack:"r"`
	Loading  bool     `json:"loading" msgpack:"l"`
	Fence    uint64   `json:"fence" msgpack:"f"`
}

// NamedPool is an engine pool of the configuration.
type NamedPool struct {
	Name string      `msgpack:"n"`
	Pool config.Pool `msgpack:"p"`
}

// Started is the first event. Holder identifies this process.
type Started struct {
	Holder string `msgpack:"h"`
	Times  Times  `msgpack:"t"`
}

// Configured gives all engine pools, in name order.
type Configured struct {
	Pools []NamedPool `msgpack:"p"`
}

// Engine is a live worker of an engine pool.
type Engine struct {
	Name    string `msgpack:"n"`
	Pool    string `msgpack:"p"`
	Address string `msgpack:"a"`
}

// EnginesListed gives all live engines.
type EnginesListed struct {
	Engines []Engine `msgpack:"e"`
}

// PoolRank is this host's place in the rank of a pool, from 0.
type PoolRank struct {
	Pool string `msgpack:"p"`
	Rank int    `msgpack:"r"`
}

// Ticked lets time pass. It names the pools for which this host is a candidate.
type Ticked struct {
	Ranks []PoolRank `msgpack:"r"`
}

// LeaseSeen is the result of ReadLease.
type LeaseSeen struct {
	Pool   string `msgpack:"p"`
	Failed bool   `msgpack:"e"`
	// Version is 0 if there is no lease yet.
	Version uint64 `msgpack:"v"`
	Lease   Lease  `msgpack:"l"`
}

// WriteResult is the result of a conditional write.
type WriteResult string

const (
	Written        WriteResult = "written"
	Conflict       WriteResult = "conflict"
	NotWritten     WriteResult = "not written"
	UnknownOutcome WriteResult = "unknown"
)

// LeaseWritten is the result of WriteLease.
type LeaseWritten struct {
	Pool   string      `msgpack:"p"`
	Result WriteResult `msgpack:"r"`
	// SentAt is the time right before the write was sent. The lease runs from then on.
	SentAt  clock.Millis `msgpack:"s"`
	Version uint64       `msgpack:"v"`
	Lease   Lease        `msgpack:"l"`
}

// EngineSeen is the result of ReadEngine.
type EngineSeen struct {
	Pool   string      `msgpack:"p"`
	Engine string      `msgpack:"e"`
	Read   uint64      `msgpack:"n"`
	Error  string      `msgpack:"er"`
	State  EngineState `msgpack:"s"`
}

// Prepared is the result of Prepare.
type Prepared struct {
	Pool string `msgpack:"p"`
	Op   uint64 `msgpack:"o"`
}

// OrderResult is what became of an order.
type OrderResult string

const (
	Accepted OrderResult = "accepted"
	Fenced   OrderResult = "fenced"  // the engine knows a higher fencing number
	Refused  OrderResult = "refused" // the engine did not take the order
	Lapsed   OrderResult = "lapsed"  // the lease was over right before the order; nothing was sent
	Unclear  OrderResult = "unclear" // the engine may have taken the order
)

// Ordered is the result of Send.
type Ordered struct {
	Pool   string      `msgpack:"p"`
	Op     uint64      `msgpack:"o"`
	Result OrderResult `msgpack:"r"`
	// Fence is the engine's fencing number if the result is Fenced.
	Fence uint64 `msgpack:"f"`
	// RetryAfterMS is set if the engine or the weight store is over its rate.
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

// ReadEngine is the effect that asks an engine for its state.
type ReadEngine struct {
	Pool    string `msgpack:"p"`
	Engine  string `msgpack:"e"`
	Address string `msgpack:"a"`
	Read    uint64 `msgpack:"n"`
}

// Prepare is the effect that waits until a worker runs no calls, before an order.
type Prepare struct {
	Pool   string `msgpack:"p"`
	Op     uint64 `msgpack:"o"`
	Engine string `msgpack:"e"`
	Order  Order  `msgpack:"or"`
}

// Send is the effect that sends an order. It is sent only before ValidUntil.
type Send struct {
	Pool       string       `msgpack:"p"`
	Op         uint64       `msgpack:"o"`
	Engine     string       `msgpack:"e"`
	Address    string       `msgpack:"a"`
	Fence      uint64       `msgpack:"f"`
	Order      Order        `msgpack:"or"`
	ValidUntil clock.Millis `msgpack:"v"`
}

// Usable is the effect that tells whether a worker may get calls. Of two reports about a worker, the
// one with the higher Fence counts.
type Usable struct {
	Pool   string `msgpack:"p"`
	Engine string `msgpack:"e"`
	Fence  uint64 `msgpack:"f"`
	Usable bool   `msgpack:"u"`
}

// Held is the effect that tells that this host became or ceased to be the order manager of a pool.
type Held struct {
	Pool  string `msgpack:"p"`
	Fence uint64 `msgpack:"f"`
	Held  bool   `msgpack:"h"`
}

// WriteStatus is the effect that writes the object status/<pool>.
type WriteStatus struct {
	Pool  string `msgpack:"p"`
	Fence uint64 `msgpack:"f"`
	// Value is a Status as JSON.
	Value []byte `msgpack:"v"`
}

// Status is the value of the object status/<pool>.
type Status struct {
	Pool    string         `json:"pool"`
	Manager string         `json:"manager"`
	Fence   uint64         `json:"fence"`
	Workers []WorkerStatus `json:"workers"`
}

// States of a worker in a Status.
const (
	StateReady       = "ready"
	StateLoading     = "loading"
	StateWaiting     = "waiting" // for its turn or for a retry
	StateFailed      = "failed"  // the last order failed; it is retried
	StateUnreachable = "unreachable"
)

// WorkerStatus is what one worker has and what is under way.
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

// Kinds of the messages.
const (
	KindStarted       event.Kind = "orders.started"
	KindConfigured    event.Kind = "orders.configured"
	KindEnginesListed event.Kind = "orders.engines_listed"
	KindTicked        event.Kind = "orders.ticked"
	KindLeaseSeen     event.Kind = "orders.lease_seen"
	KindLeaseWritten  event.Kind = "orders.lease_written"
	KindEngineSeen    event.Kind = "orders.engine_seen"
	KindPrepared      event.Kind = "orders.prepared"
	KindOrdered       event.Kind = "orders.ordered"
	KindStatusWritten event.Kind = "orders.status_written"
	KindReadLease     event.Kind = "orders.read_lease"
	KindWriteLease    event.Kind = "orders.write_lease"
	KindReadEngine    event.Kind = "orders.read_engine"
	KindPrepare       event.Kind = "orders.prepare"
	KindSend          event.Kind = "orders.send"
	KindUsable        event.Kind = "orders.usable"
	KindHeld          event.Kind = "orders.held"
	KindWriteStatus   event.Kind = "orders.write_status"
)

func (Started) EventKind() event.Kind       { return KindStarted }
func (Configured) EventKind() event.Kind    { return KindConfigured }
func (EnginesListed) EventKind() event.Kind { return KindEnginesListed }
func (Ticked) EventKind() event.Kind        { return KindTicked }
func (LeaseSeen) EventKind() event.Kind     { return KindLeaseSeen }
func (LeaseWritten) EventKind() event.Kind  { return KindLeaseWritten }
func (EngineSeen) EventKind() event.Kind    { return KindEngineSeen }
func (Prepared) EventKind() event.Kind      { return KindPrepared }
func (Ordered) EventKind() event.Kind       { return KindOrdered }
func (StatusWritten) EventKind() event.Kind { return KindStatusWritten }
func (ReadLease) EffectKind() event.Kind    { return KindReadLease }
func (WriteLease) EffectKind() event.Kind   { return KindWriteLease }
func (ReadEngine) EffectKind() event.Kind   { return KindReadEngine }
func (Prepare) EffectKind() event.Kind      { return KindPrepare }
func (Send) EffectKind() event.Kind         { return KindSend }
func (Usable) EffectKind() event.Kind       { return KindUsable }
func (Held) EffectKind() event.Kind         { return KindHeld }
func (WriteStatus) EffectKind() event.Kind  { return KindWriteStatus }

func init() {
	for _, e := range []event.Event{
		Started{},
		Configured{},
		EnginesListed{},
		Ticked{},
		LeaseSeen{},
		LeaseWritten{},
		EngineSeen{},
		Prepared{},
		Ordered{},
		StatusWritten{},
	} {
		event.Register(e)
	}
}
