package home

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
	"github.com/hyssopreel/hyssopreel/service/membership"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

const (
	// sendTimeout bounds a one-way message to a peer.
	sendTimeout = time.Second
	// waitingResyncInterval repeats what this home waits for, in case a message was lost.
	waitingResyncInterval = 3 * time.Second
	// fullResyncInterval repeats what this home has in flight. A scheduler that lacks a call in flight gives its worker one
	// call too many until then. At the target a host has about 750 calls in flight; repeating them every 3 s
	// would take 53 KB/s of the 3 KB/s that a host has for control.
	fullResyncInterval = time.Minute
)

// schedulerMessage is the body of an enqueue frame. Exactly one field is set.
type schedulerMessage struct {
	Enqueued  *sched.Enqueued     `msgpack:"e,omitempty"`
	Withdrawn *sched.Withdrawn    `msgpack:"w,omitempty"`
	Finished  *sched.Finished     `msgpack:"f,omitempty"`
	Ended     *sched.ProgramEnded `msgpack:"n,omitempty"`
}

// homeMessage is the body of a grant frame. Exactly one field is set.
type homeMessage struct {
	Grant  *sched.Grant  `msgpack:"g,omitempty"`
	Refuse *sched.Refuse `msgpack:"r,omitempty"`
}

// schedLink carries messages between homes and the schedulers of worker groups. Messages between a home and
// a scheduler on the same host do not leave the process.
type schedLink struct {
	view membership.View
	node *wire.Node
	rt   *runtime.Runtime

	mu sync.Mutex
	// lastScheduler is the scheduler last used for each group.
	lastScheduler map[string]ids.Journal
	// scheduledGroups are the groups whose calls came to this host.
	scheduledGroups map[string]bool
	// liveHomes are the incarnations that were up at the last tick.
	liveHomes map[ids.Journal]bool
	// undeliveredGroups holds the groups whose scheduler a message did not reach.
	undeliveredGroups map[string]bool
	lastWaitingResync time.Time
	lastFullResync    time.Time
	// waitSpans are the spans of the calls that wait for a worker.
	waitSpans map[sched.CallID]trace.Span
	tracer    trace.Tracer
}

func newSchedLink(view membership.View, node *wire.Node, rt *runtime.Runtime) *schedLink {
	l := &schedLink{
		view: view, node: node, rt: rt, lastScheduler: map[string]ids.Journal{}, undeliveredGroups: map[string]bool{},
		scheduledGroups: map[string]bool{}, waitSpans: map[sched.CallID]trace.Span{}, tracer: otel.Tracer(tracerName),
	}
	node.Handle(wire.TypeEnqueue, l.handleEnqueue)
	node.Handle(wire.TypeGrant, l.handleGrant)
	rt.Handle(program.KindEnqueue, func(_ clock.Millis, e event.Effect) {
		q := e.(program.Enqueue).Request
		l.startWaitSpan(q, e.(program.Enqueue).Trace)
		l.sendToScheduler(q.Group, schedulerMessage{Enqueued: &q})
	})
	rt.Handle(program.KindWithdraw, func(_ clock.Millis, e event.Effect) {
		q := e.(program.Withdraw).Request
		l.endWaitSpan(q.Call, "withdrawn", "")
		l.sendToScheduler(q.Group, schedulerMessage{Withdrawn: &q})
	})
	rt.Handle(program.KindReportFinished, func(_ clock.Millis, e event.Effect) {
		q := e.(program.ReportFinished).Request
		l.endWaitSpan(q.Call, "finished", "") // without effect after a grant
		l.sendToScheduler(q.Group, schedulerMessage{Finished: &q})
	})
	rt.Handle(program.KindNotifyProgramEnded, func(_ clock.Millis, e event.Effect) {
		q := e.(program.NotifyProgramEnded).Request
		l.sendToScheduler(q.Group, schedulerMessage{Ended: &q})
	})
	rt.Handle(sched.KindGrant, func(_ clock.Millis, e event.Effect) {
		g := e.(sched.Grant)
		l.sendToHome(g.Home, homeMessage{Grant: &g})
	})
	rt.Handle(sched.KindRefuse, func(_ clock.Millis, e event.Effect) {
		q := e.(sched.Refuse)
		l.sendToHome(q.Home, homeMessage{Refuse: &q})
	})
	return l
}

// startWaitSpan starts the span of a call's wait for a worker. A call that is enqueued again goes on waiting.
func (l *schedLink) startWaitSpan(q sched.Enqueued, traceparent string) {
	if traceparent == "" || q.RunningOn != "" {
		return
	}
	host, _ := l.schedulerHost(q.Group)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.waitSpans[q.Call]; ok {
		return
	}
	_, l.waitSpans[q.Call] = l.tracer.Start(withTrace(traceparent), "wait for grant", trace.WithAttributes(
		attribute.String("program", string(q.Call.Program)), attribute.String("key", q.Call.Key), attribute.Int("attempt", q.Call.Attempt),
		attribute.String("group", q.Group), attribute.String("scheduler", string(host.Name))))
}

func (l *schedLink) endWaitSpan(c sched.CallID, result, worker string) {
	l.mu.Lock()
	span, ok := l.waitSpans[c]
	delete(l.waitSpans, c)
	l.mu.Unlock()
	if ok {
		span.SetAttributes(attribute.String("result", result), attribute.String("worker", worker))
		span.End()
	}
}

// schedulerHost returns the host that schedules the group.
func (l *schedLink) schedulerHost(group string) (membership.Member, bool) {
	ranked := l.view.RendezvousOrder("group:" + group)
	if len(ranked) == 0 {
		return membership.Member{}, false
	}
	return ranked[0], true
}

func (l *schedLink) sendToScheduler(group string, m schedulerMessage) {
	host, ok := l.schedulerHost(group)
	if !ok {
		return // tick enqueues again when a scheduler is known
	}
	l.mu.Lock()
	l.lastScheduler[group] = host.Journal
	l.mu.Unlock()
	if host.Journal == l.view.Self().Journal {
		l.deliverToScheduler(m)
		return
	}
	l.send(host.PeerAddress, wire.TypeEnqueue, m, func() {
		l.mu.Lock()
		l.undeliveredGroups[group] = true // tick repeats everything
		l.mu.Unlock()
	})
}

func (l *schedLink) send(address string, t wire.Type, body any, failed func()) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := l.node.Send(ctx, address, t, body); err != nil {
			failed()
		}
	}()
}

func (l *schedLink) deliverToScheduler(m schedulerMessage) {
	switch {
	case m.Enqueued != nil:
		l.mu.Lock()
		l.scheduledGroups[m.Enqueued.Group] = true
		l.mu.Unlock()
		l.rt.Publish(*m.Enqueued)
	case m.Withdrawn != nil:
		l.rt.Publish(*m.Withdrawn)
	case m.Finished != nil:
		l.rt.Publish(*m.Finished)
	case m.Ended != nil:
		l.rt.Publish(*m.Ended)
	}
}

func (l *schedLink) handleEnqueue(_ context.Context, r *wire.Request) {
	var m schedulerMessage
	if r.Decode(&m) == nil {
		l.deliverToScheduler(m)
	}
}

func (l *schedLink) sendToHome(home ids.Journal, m homeMessage) {
	if home == l.view.Self().Journal {
		l.deliverToHome(m)
		return
	}
	host, ok := l.view.HomeOf(home)
	if !ok || host.Journal != home {
		// The home is gone. Its heir enqueues what is left of its calls, so the worker is free again.
		if g := m.Grant; g != nil {
			l.rt.Publish(sched.Finished{Call: g.Call, Group: g.Group, Worker: g.Worker, Failed: true})
		}
		return
	}
	l.send(host.PeerAddress, wire.TypeGrant, m, func() {})
}

func (l *schedLink) deliverToHome(m homeMessage) {
	if g := m.Grant; g != nil {
		l.endWaitSpan(g.Call, "granted", g.Worker)
		l.rt.Publish(program.Granted{Call: g.Call, Group: g.Group, Worker: g.Worker, Priority: g.Priority})
	}
	if q := m.Refuse; q != nil {
		l.endWaitSpan(q.Call, "refused", "")
		l.rt.Publish(program.Refused{Call: q.Call, Reason: q.Reason, RetryAfterMS: q.RetryAfterMS})
	}
}

func (l *schedLink) handleGrant(_ context.Context, r *wire.Request) {
	var m homeMessage
	if r.Decode(&m) == nil {
		l.deliverToHome(m)
	}
}

// tick turns to the new scheduler of a group when the old one is gone, and repeats messages that were lost. A message
// that was written to a connection that then broke is not known to be lost, so what waits and what is in flight is
// repeated from time to time as well.
func (l *schedLink) tick() {
	l.reportLostHomes()
	l.mu.Lock()
	now := time.Now()
	if l.lastFullResync.IsZero() {
		l.lastWaitingResync, l.lastFullResync = now, now
	}
	var changes []program.SchedulerChanged
	for group, old := range l.lastScheduler {
		host, ok := l.schedulerHost(group)
		if ok && (l.undeliveredGroups[group] || host.Journal != old) {
			l.lastScheduler[group] = host.Journal
			delete(l.undeliveredGroups, group)
			changes = append(changes, program.SchedulerChanged{Group: group})
		}
	}
	switch {
	case now.Sub(l.lastFullResync) >= fullResyncInterval:
		l.lastWaitingResync, l.lastFullResync = now, now
		changes = []program.SchedulerChanged{{}} // all groups
		clear(l.undeliveredGroups)
	case now.Sub(l.lastWaitingResync) >= waitingResyncInterval:
		l.lastWaitingResync = now
		changes = append(changes, program.SchedulerChanged{WaitingOnly: true})
	}
	l.mu.Unlock()
	for _, c := range changes {
		l.rt.Publish(c)
	}
}

// reportLostHomes tells the groups that this host may schedule which homes are gone, so that their calls in
// flight no longer count.
func (l *schedLink) reportLostHomes() {
	now := map[ids.Journal]bool{}
	for _, m := range l.view.Members() {
		if m.State != membership.StateGone {
			now[m.Journal] = true
		}
	}
	l.mu.Lock()
	before := l.liveHomes
	l.liveHomes = now
	groups := slices.Sorted(maps.Keys(l.scheduledGroups))
	l.mu.Unlock()
	for j := range before {
		if now[j] {
			continue
		}
		for _, g := range groups {
			l.rt.Publish(sched.HomeLost{Group: g, Home: j})
		}
	}
}
