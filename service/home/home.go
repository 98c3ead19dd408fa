// Package home runs the programs that live at this host: it connects the program reducer with the
// journal, the group schedulers, the backend servers and the callers that wait.
package home

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/service/membership"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

const (
	// tickInterval lets time pass in the reducer; it bounds how late a call that waits for its turn is refused.
	tickInterval = 250 * time.Millisecond
)

// Options are what a Home needs.
type Options struct {
	Store         objectapi.Store
	View          membership.View
	Node          *wire.Node
	Runtime       *runtime.Runtime
	Backends      Backends
	BatchInterval time.Duration
	// OnFenced is called once when this incarnation has lost its journal.
	OnFenced func(reason string)
	Limits   program.Limits
}

// Home runs the programs of one host incarnation.
type Home struct {
	opts       Options
	rt         *runtime.Runtime
	journalID  ids.Journal
	hub        *hub
	journal    *JournalWriter
	dispatcher *dispatcher
	link       *schedLink
	propagator propagation.TextMapPropagator
	fencedOnce sync.Once
}

// New registers the home's effect handlers at the runtime. It is called before the runtime runs.
func New(o Options) *Home {
	h := &Home{opts: o, rt: o.Runtime, propagator: propagation.TraceContext{}}
	h.hub = newHub(func(e program.WaiterGone) { h.rt.Publish(e) })
	h.dispatcher = newDispatcher(o.Backends, o.View.LeaseValid, h.hub, func(e program.DispatchEnded) { h.rt.Publish(e) })
	h.link = newSchedLink(o.View, o.Node, o.Runtime)
	h.registerHandlers()
	return h
}

// Start begins the journal of this incarnation. It is called once, when the lease is held and before any
// request.
func (h *Home) Start(id ids.Journal) error {
	j, err := NewJournalWriter(id, h.opts.Store, h.opts.BatchInterval, JournalHooks{
		Committed:                func(t program.CommitSeq) { h.rt.Publish(program.Committed{UpTo: t}) },
		StoreAvailabilityChanged: func(down bool) { h.rt.Publish(program.StoreAvailabilityChanged{Down: down}) },
		Fenced:                   h.Fenced,
	})
	if err != nil {
		return err
	}
	h.journalID, h.journal = id, j
	h.rt.Publish(program.Started{Journal: id, Limits: h.opts.Limits})
	return nil
}

func (h *Home) registerHandlers() {
	h.rt.Handle(program.KindCommit, func(_ clock.Millis, e event.Effect) { h.journal.Append(e.(program.Commit)) })
	h.rt.Handle(program.KindReply, func(_ clock.Millis, e event.Effect) { h.hub.deliverReply(e.(program.Reply)) })
	h.rt.Handle(program.KindAttachStream, func(_ clock.Millis, e event.Effect) { h.hub.attachStream(e.(program.AttachStream)) })
	h.rt.Handle(program.KindDispatch, func(_ clock.Millis, e event.Effect) { h.dispatcher.start(e.(program.Dispatch)) })
	h.rt.Handle(program.KindCancelDispatch, func(_ clock.Millis, e event.Effect) { h.dispatcher.cancel(e.(program.CancelDispatch)) })
	h.rt.Handle(program.KindReleaseCache, func(_ clock.Millis, e event.Effect) { h.releaseCache(e.(program.ReleaseCache)) })
}

// errIncarnationEnded answers the requests that are left when the incarnation ends. They may have been dispatched.
var errIncarnationEnded = fault.New(fault.CodeMoved, "home", "this incarnation of the host has ended").WithOutcome(fault.OutcomeUnknown)

// Run writes the journal and lets time pass until ctx is done. Then it answers the requests that still wait.
func (h *Home) Run(ctx context.Context) {
	defer h.failWaiters()
	go h.journal.Run(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	asked := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.rt.Publish(program.Ticked{})
			h.link.tick()
			h.hub.removeIdleStreams()
			// The next snapshot is not asked for before this one has cut the journal.
			if !h.journal.SnapshotDue() {
				asked = false
			} else if !asked {
				asked = true
				h.rt.Publish(program.SnapshotRequested{})
			}
		}
	}
}

// failWaiters answers the requests whose events the runtime has dropped because it ended.
func (h *Home) failWaiters() {
	if n := h.hub.closeWithError(errIncarnationEnded); n > 0 {
		logging.Emit(logging.WaitingRequestsMoved, logging.Fields{"journal": string(h.journalID), "requests": n})
	}
}

// Fenced gives up all programs of this incarnation. The journal and the membership both find out; only the first
// report counts, because a second one would cut short the wait for requests that are under way.
func (h *Home) Fenced(reason string) {
	h.fencedOnce.Do(func() {
		h.rt.Publish(program.Fenced{Reason: reason})
		h.opts.OnFenced(reason)
	})
}

// Adopt takes over the programs of a dead incarnation. It returns when they are durable in this host's
// journal, and can be repeated.
func (h *Home) Adopt(ctx context.Context, dead ids.Journal) error {
	records, err := SealJournal(ctx, h.opts.Store, dead, h.journalID)
	if err != nil {
		return err
	}
	_, err = h.publishAndWait(ctx, func(w program.WaiterID) event.Event {
		return program.AdoptionRequested{Waiter: w, Journal: dead, Records: records}
	})
	return err
}

// publishAndWait publishes an event with a waiter and returns its reply.
func (h *Home) publishAndWait(ctx context.Context, make func(w program.WaiterID) event.Event) (*program.Reply, error) {
	w := h.hub.newWaiter()
	h.rt.Publish(make(w.id))
	for {
		_, reply, err := w.Next(ctx)
		if err != nil {
			return nil, err
		}
		if reply == nil {
			continue
		}
		if reply.Error != nil {
			return nil, reply.Error
		}
		return reply, nil
	}
}

// Open opens a program and returns when it is durable.
func (h *Home) Open(ctx context.Context, q api.OpenProgram) (ids.Program, error) {
	r, err := h.publishAndWait(ctx, func(w program.WaiterID) event.Event { return program.OpenRequested{Waiter: w, Request: q} })
	if err != nil {
		return "", err
	}
	return r.Opened, nil
}

// Call submits a call; the waiter hears its pieces, if the call asks for a stream, and its answer.
func (h *Home) Call(ctx context.Context, id ids.Program, c api.Call) *Waiter {
	w := h.hub.newWaiter()
	carrier := propagation.MapCarrier{}
	h.propagator.Inject(ctx, carrier)
	h.rt.Publish(program.CallSubmitted{Waiter: w.id, Program: id, Call: c, Trace: carrier["traceparent"]})
	return w
}

// End ends or cancels a program and returns when that is durable.
func (h *Home) End(ctx context.Context, id ids.Program, cancel bool) (*api.ProgramStatus, error) {
	r, err := h.publishAndWait(ctx, func(w program.WaiterID) event.Event {
		return program.EndRequested{Waiter: w, Program: id, Cancel: cancel}
	})
	if err != nil {
		return nil, err
	}
	return r.Status, nil
}

// Read answers a query about one program, or about all of them.
func (h *Home) Read(ctx context.Context, q program.Query, id ids.Program, key string) (*program.Reply, error) {
	return h.publishAndWait(ctx, func(w program.WaiterID) event.Event {
		return program.ReadRequested{Waiter: w, Query: q, Program: id, Key: key}
	})
}

// OpenPrograms returns which of the programs are open here.
func (h *Home) OpenPrograms(ctx context.Context, programs []ids.Program) ([]ids.Program, error) {
	r, err := h.publishAndWait(ctx, func(w program.WaiterID) event.Event {
		return program.ReadRequested{Waiter: w, Query: program.QueryOpen, Programs: programs}
	})
	if err != nil {
		return nil, err
	}
	return r.OpenPrograms, nil
}

// StartDrain refuses new programs.
func (h *Home) StartDrain() { h.rt.Publish(program.DrainStarted{}) }

// Idle says whether no request waits and nothing is dispatched.
func (h *Home) Idle() bool { return h.hub.waiterCount() == 0 && h.dispatcher.activeDispatches() == 0 }

// AllDurable says whether everything is durable.
func (h *Home) AllDurable() bool { return h.journal.AllDurable() }

// StoreAvailable says whether commits get through.
func (h *Home) StoreAvailable() bool { return !h.journal.StoreUnavailable() }

// releaseCache drops the cache of an ended program; the record that it is released lets a later home forget it.
func (h *Home) releaseCache(e program.ReleaseCache) {
	h.opts.Backends.ReleaseCache(e.Worker, e.Program, func() {
		h.rt.Publish(program.CacheReleased{Program: e.Program, Worker: e.Worker})
	})
}
