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
	// refreshEvery repeats what this home waits for, in case a message was lost.
	refreshEvery = 3 * time.Second
	// reportEvery repeats what this home has in flight. A scheduler that lacks a call in flight gives its worker one
	// call too many until then. At the target a host has about 750 calls in flight; repeating them every 3 s
	// would take 53 KB/s of the 3 KB/s that a host has for control.
	reportEvery = time.Minute
)

// toScheduler is the body of an enqueue frame. Exactly one field is set.
type toScheduler struct {
	Enqueued  *sched.Enqueued     `msgpack:"e,omitempty"`
	Withdrawn *sched.Withdrawn    `msgpack:"w,omitempty"`
	Finished  *sched.Finished     `msgpack:"f,omitempty"`
	Ended     *sched.ProgramEnded `msgpack:"n,omitempty"`
}

// toHome is the body of a grant frame. Exactly one field is set.
type toHome struct {
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
	// schedulers is the scheduler last used for each group.
	schedulers map[string]ids.Journal
	// scheduled are the groups whose calls came to this host.
	scheduled map[string]bool
	// homes are the incarnations that were up at the last tick.
	homes map[ids.Journal]bool
	// lost holds the groups whose scheduler a message did not reach.
	lost      map[string]bool
	refreshed time.Time
	reported  time.Time
	// grants are the spans of the calls that wait for a worker.
	grants map[sched.CallID]trace.Span
	tracer trace.Tracer
}

func newSchedLink(view membership.View, node *wire.Node, rt *runtime.Runtime) *schedLink {
	l := &schedLink{
		view: view, node: node, rt: rt, schedulers: map[string]ids.Journal{}, lost: map[string]bool{},
		scheduled: map[string]bool{}, grants: map[sched.CallID]trace.Span{}, tracer: otel.Tracer(tracerName),
	}
	node.Handle(wire.TypeEnqueue, l.handleEnqueue)
	node.Handle(wire.TypeGrant, l.handleGrant)
	rt.Handle(program.KindEnqueue, func(_ clock.Millis, e event.Effect) {
		q := e.(program.Enqueue).Request
		l.startWait(q, e.(program.Enqueue).Trace)
		l.toScheduler(q.Group, toScheduler{Enqueued: &q})
	})
	rt.Handle(program.KindWithdraw, func(_ clock.Millis, e event.Effect) {
		q := e.(program.Withdraw).Request
		l.endWait(q.Call, "withdrawn", "")
		l.toScheduler(q.Group, toScheduler{Withdrawn: &q})
	})
	rt.Handle(program.KindReportFinished, func(_ clock.Millis, e event.Effect) {
		q := e.(program.ReportFinished).Request
		l.endWait(q.Call, "finished", "") // without effect after a grant
		l.toScheduler(q.Group, toScheduler{Finished: &q})
	})
	rt.Handle(program.KindNotifyProgramEnded, func(_ clock.Millis, e event.Effect) {
		q := e.(program.NotifyProgramEnded).Request
		l.toScheduler(q.Group, toScheduler{Ended: &q})
	})
	rt.Handle(sched.KindGrant, func(_ clock.Millis, e event.Effect) {
		g := e.(sched.Grant)
		l.toHome(g.Home, toHome{Grant: &g})
	})
	rt.Handle(sched.KindRefuse, func(_ clock.Millis, e event.Effect) {
		q := e.(sched.Refuse)
		l.toHome(q.Home, toHome{Refuse: &q})
	})
	return l
}

// startWait starts the span of a call's wait for a worker. A call that is enqueued again goes on waiting.
func (l *schedLink) startWait(q sched.Enqueued, traceparent string) {
	if traceparent == "" || q.RunningOn != "" {
		return
	}
	host, _ := l.scheduler(q.Group)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.grants[q.Call]; ok {
		return
	}
	_, l.grants[q.Call] = l.tracer.Start(withTrace(traceparent), "wait for grant", trace.WithAttributes(
		attribute.String("program", string(q.Call.Program)), attribute.String("key", q.Call.Key), attribute.Int("attempt", q.Call.Attempt),
		attribute.String("group", q.Group), attribute.String("scheduler", string(host.Name))))
}

func (l *schedLink) endWait(c sched.CallID, result, worker string) {
	l.mu.Lock()
	span, ok := l.grants[c]
	delete(l.grants, c)
	l.mu.Unlock()
	if ok {
		span.SetAttributes(attribute.String("result", result), attribute.String("worker", worker))
		span.End()
	}
}

// scheduler returns the host that schedules the group.
func (l *schedLink) scheduler(group string) (membership.Member, bool) {
	ranked := l.view.Rank("group:" + group)
	if len(ranked) == 0 {
		return membership.Member{}, false
	}
	return ranked[0], true
}

func (l *schedLink) toScheduler(group string, m toScheduler) {
	host, ok := l.scheduler(group)
	if !ok {
		return // tick enqueues again when a scheduler is known
	}
	l.mu.Lock()
	l.schedulers[group] = host.Journal
	l.mu.Unlock()
	if host.Journal == l.view.Self().Journal {
		l.deliver(m)
		return
	}
	l.send(host.PeerAddress, wire.TypeEnqueue, m, func() {
		l.mu.Lock()
		l.lost[group] = true // tick repeats everything
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

func (l *schedLink) deliver(m toScheduler) {
	switch {
	case m.Enqueued != nil:
		l.mu.Lock()
		l.scheduled[m.Enqueued.Group] = true
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
	var m toScheduler
	if r.Decode(&m) == nil {
		l.deliver(m)
	}
}

func (l *schedLink) toHome(home ids.Journal, m toHome) {
	if home == l.view.Self().Journal {
		l.deliverHome(m)
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

func (l *schedLink) deliverHome(m toHome) {
	if g := m.Grant; g != nil {
		l.endWait(g.Call, "granted", g.Worker)
		l.rt.Publish(program.Granted{Call: g.Call, Group: g.Group, Worker: g.Worker, Priority: g.Priority})
	}
	if q := m.Refuse; q != nil {
		l.endWait(q.Call, "refused", "")
		l.rt.Publish(program.Refused{Call: q.Call, Reason: q.Reason, RetryAfterMS: q.RetryAfterMS})
	}
}

func (l *schedLink) handleGrant(_ context.Context, r *wire.Request) {
	var m toHome
	if r.Decode(&m) == nil {
		l.deliverHome(m)
	}
}

// tick turns to the new scheduler of a group when the old one is gone, and repeats messages that were lost. A message
// that was written to a connection that then broke is not known to be lost, so what waits and what is in flight is
// repeated from time to time as well.
func (l *schedLink) tick() {
	l.reportLostHomes()
	l.mu.Lock()
	now := time.Now()
	if l.reported.IsZero() {
		l.refreshed, l.reported = now, now
	}
	var changes []program.SchedulerChanged
	for group, old := range l.schedulers {
		host, ok := l.scheduler(group)
		if ok && (l.lost[group] || host.Journal != old) {
			l.schedulers[group] = host.Journal
			delete(l.lost, group)
			changes = append(changes, program.SchedulerChanged{Group: group})
		}
	}
	switch {
	case now.Sub(l.reported) >= reportEvery:
		l.refreshed, l.reported = now, now
		changes = []program.SchedulerChanged{{}} // all groups
		clear(l.lost)
	case now.Sub(l.refreshed) >= refreshEvery:
		l.refreshed = now
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
	before := l.homes
	l.homes = now
	groups := slices.Sorted(maps.Keys(l.scheduled))
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
