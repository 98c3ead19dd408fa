// Package home runs the programs whose home is this host: it connects the program reducer with the journal, the
// group schedulers, the backend servers and the waiting callers.
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
	// tickInterval is the period of Ticked events. It bounds how late a call is refused that waits too long for a grant.
	tickInterval = 250 * time.Millisecond
)

// Options configure a Home.
type Options struct {
	Store         objectapi.Store
	View          membership.View
	Node          *wire.Node
	Runtime       *runtime.Runtime
	Backends      Backends
	BatchInterval time.Duration
	// OnFenced is called once, when this incarnation has lost its lease or journal.
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

// New returns a home and registers its effect handlers with the runtime. It must be called before Runtime.Run.
func New(o Options) *Home {
	h := &Home{opts: o, rt: o.Runtime, propagator: propagation.TraceContext{}}
	h.hub = newHub(func(e program.WaiterGone) { h.rt.Publish(e) })
	h.dispatcher = newDispatcher(o.Backends, o.View.LeaseValid, h.hub, func(e program.DispatchEnded) { h.rt.Publish(e) })
	h.link = newSchedLink(o.View, o.Node, o.Runtime)
	h.registerHandlers()
	return h
}

// Start opens the journal of this incarnation. It must be called once, after the lease is acquired and before any
// request.
func (h *Home) Start(id ids.Journal) error {
	j, err := NewJournalWriter(id, h.opts.Store, h.opts.BatchInterval, JournalHooks{
		Committed:                func(seq program.CommitSeq) { h.rt.Publish(program.Committed{UpTo: seq}) },
		StoreAvailabilityChanged: func(unavailable bool) { h.rt.Publish(program.StoreAvailabilityChanged{Down: unavailable}) },
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

// errIncarnationEnded is the error of requests that still wait when the incarnation ends. They may have been dispatched.
var errIncarnationEnded = fault.New(fault.CodeMoved, "home", "this incarnation of the host has ended").WithOutcome(fault.OutcomeUnknown)

// Run writes the journal and publishes Ticked events until ctx is done. Then the waiting requests fail with code
// moved and outcome unknown.
func (h *Home) Run(ctx context.Context) {
	defer h.failWaiters()
	go h.journal.Run(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	snapshotRequested := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.rt.Publish(program.Ticked{})
			h.link.tick()
			h.hub.removeIdleStreams()
			// Requests no other snapshot until the last one has truncated the journal.
			if !h.journal.SnapshotDue() {
				snapshotRequested = false
			} else if !snapshotRequested {
				snapshotRequested = true
				h.rt.Publish(program.SnapshotRequested{})
			}
		}
	}
}

// failWaiters fails the requests whose events the runtime drops because it has ended.
func (h *Home) failWaiters() {
	if n := h.hub.closeWithError(errIncarnationEnded); n > 0 {
		logging.Emit(logging.WaitingRequestsMoved, logging.Fields{"journal": string(h.journalID), "requests": n})
	}
}

// Fenced drops all programs of this incarnation. Both the journal and the membership report that it is fenced; later
// reports are ignored, because a second one would cut short the wait for active requests.
func (h *Home) Fenced(reason string) {
	h.fencedOnce.Do(func() {
		h.rt.Publish(program.Fenced{Reason: reason})
		h.opts.OnFenced(reason)
	})
}

// Adopt seals the journal of another incarnation and takes over its programs. It returns when they are durable in
// this host's journal. It is idempotent.
func (h *Home) Adopt(ctx context.Context, journal ids.Journal) error {
	records, err := SealJournal(ctx, h.opts.Store, journal, h.journalID)
	if err != nil {
		return err
	}
	_, err = h.publishAndWait(ctx, func(w program.WaiterID) event.Event {
		return program.AdoptionRequested{Waiter: w, Journal: journal, Records: records}
	})
	return err
}

// publishAndWait publishes an event with a new waiter and returns the waiter's reply, or its error.
func (h *Home) publishAndWait(ctx context.Context, newEvent func(w program.WaiterID) event.Event) (*program.Reply, error) {
	w := h.hub.newWaiter()
	h.rt.Publish(newEvent(w.id))
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

// Call submits a call. The waiter receives the pieces of its stream, if the call requests one, and its reply.
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

// Read returns the reply to a query about one program, or about all of them.
func (h *Home) Read(ctx context.Context, q program.Query, id ids.Program, key string) (*program.Reply, error) {
	return h.publishAndWait(ctx, func(w program.WaiterID) event.Event {
		return program.ReadRequested{Waiter: w, Query: q, Program: id, Key: key}
	})
}

// OpenPrograms returns those of the given programs that are open at this host.
func (h *Home) OpenPrograms(ctx context.Context, programs []ids.Program) ([]ids.Program, error) {
	r, err := h.publishAndWait(ctx, func(w program.WaiterID) event.Event {
		return program.ReadRequested{Waiter: w, Query: program.QueryOpen, Programs: programs}
	})
	if err != nil {
		return nil, err
	}
	return r.OpenPrograms, nil
}

// StartDrain makes the home refuse new programs.
func (h *Home) StartDrain() { h.rt.Publish(program.DrainStarted{}) }

// Idle reports whether no request waits and no dispatch is active.
func (h *Home) Idle() bool { return h.hub.waiterCount() == 0 && h.dispatcher.activeDispatches() == 0 }

// AllDurable reports whether all commits are durable.
func (h *Home) AllDurable() bool { return h.journal.AllDurable() }

// StoreAvailable reports whether the store accepts commits.
func (h *Home) StoreAvailable() bool { return !h.journal.StoreUnavailable() }

// releaseCache releases the cache of an ended program. CacheReleased is recorded, so that a later home does not
// release it again.
func (h *Home) releaseCache(e program.ReleaseCache) {
	h.opts.Backends.ReleaseCache(e.Worker, e.Program, func() {
		h.rt.Publish(program.CacheReleased{Program: e.Program, Worker: e.Worker})
	})
}
