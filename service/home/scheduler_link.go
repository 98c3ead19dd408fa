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
	// waitingResyncInterval is the period at which waiting calls are enqueued again, in case a message was lost.
	waitingResyncInterval = 3 * time.Second
	// fullResyncInterval is the period at which running calls are reported again too. Until then, a scheduler that
	// lacks a running call grants its worker one call too many. A host is designed for about 750 running calls;
	// repeating them every 3 s would take 53 KB/s, and its limit for control traffic is 3 KB/s.
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

// schedLink carries messages between homes and the schedulers of worker groups. Messages between a home and a scheduler
// on the same host stay in the process.
type schedLink struct {
	view membership.View
	node *wire.Node
	rt   *runtime.Runtime

	mu sync.Mutex
	// lastScheduler is the scheduler to which the last message of each group went.
	lastScheduler map[string]ids.Journal
	// scheduledGroups are the groups whose calls were enqueued at this host.
	scheduledGroups map[string]bool
	// liveHomes are the journals of the members that were not gone at the last tick.
	liveHomes map[ids.Journal]bool
	// undeliveredGroups are the groups for which a message to the scheduler could not be sent.
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
		l.endWaitSpan(q.Call, "finished", "") // no effect after a grant
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

// startWaitSpan starts the span of a call's wait for a worker, unless the call is enqueued again or already runs.
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

// schedulerHost returns the host that schedules the group, or false if there is no candidate.
func (l *schedLink) schedulerHost(group string) (membership.Member, bool) {
	hosts := l.view.RendezvousOrder("group:" + group)
	if len(hosts) == 0 {
		return membership.Member{}, false
	}
	return hosts[0], true
}

func (l *schedLink) sendToScheduler(group string, m schedulerMessage) {
	host, ok := l.schedulerHost(group)
	if !ok {
		return // tick repeats the message when a host is available
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
		l.undeliveredGroups[group] = true // tick repeats the group's messages
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
		// The home is gone. Its successor enqueues the remaining calls again, so this grant's slot is free.
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

// tick enqueues the calls of a group again when its scheduler has changed or a message could not be sent. A message
// lost in a broken connection is not detected, so waiting and running calls are also repeated periodically.
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

// reportLostHomes reports the homes that are gone to the groups that this host may schedule, so that their running
// calls no longer count.
func (l *schedLink) reportLostHomes() {
	live := map[ids.Journal]bool{}
	for _, m := range l.view.Members() {
		if m.State != membership.StateGone {
			live[m.Journal] = true
		}
	}
	l.mu.Lock()
	previous := l.liveHomes
	l.liveHomes = live
	groups := slices.Sorted(maps.Keys(l.scheduledGroups))
	l.mu.Unlock()
	for j := range previous {
		if live[j] {
			continue
		}
		for _, g := range groups {
			l.rt.Publish(sched.HomeLost{Group: g, Home: j})
		}
	}
}
