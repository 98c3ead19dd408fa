package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	coreorders "github.com/hyssopreel/hyssopreel/core/orders"
	"github.com/hyssopreel/hyssopreel/service/membership"
	"github.com/hyssopreel/hyssopreel/service/orders"
)

const (
	// unusableRepeatInterval is the interval at which an order manager repeats its reports of not usable workers.
	unusableRepeatInterval = time.Second
	// unusableTTL is the time after which such a report expires. If its manager fails, the worker gets calls again;
	// an engine that still loads rejects them with outcome not run.
	unusableTTL = 5 * time.Second
	// maxGrantTransit is the longest time from the report that a worker is not usable to the arrival of the last
	// call at the worker: a tick of the scheduler (100 ms), and the transit of the report, the grant and the call.
	maxGrantTransit = 300 * time.Millisecond
	// idlePollInterval is the interval of the load requests to a worker that is about to get an order. After
	// maxLoadFailures consecutive failures the order is sent all the same; it fails if the worker is down.
	idlePollInterval = 100 * time.Millisecond
	maxLoadFailures  = 3
	// defaultLeaseDuration and defaultRenewInterval are the defaults of the settings lease.duration and lease.renew.
	defaultLeaseDuration = 6 * time.Second
	defaultRenewInterval = 2 * time.Second
)

// workerStateMessage is the body of a TypeWorkerState frame: whether a worker may get calls.
type workerStateMessage struct {
	Pool         string `msgpack:"p"`
	Worker       string `msgpack:"w"`
	FencingToken uint64 `msgpack:"f"`
	Usable       bool   `msgpack:"u"`
}

// workerStates holds the reports of order managers about workers. Of two reports about a worker, the one with the
// higher fencing token counts.
type workerStates struct {
	mu          sync.Mutex
	received    map[string]receivedWorkerState
	ownUnusable map[string]workerStateMessage // reported by this host's order manager
}

type receivedWorkerState struct {
	workerStateMessage
	receivedAt time.Time
}

func newWorkerStates() *workerStates {
	return &workerStates{received: map[string]receivedWorkerState{}, ownUnusable: map[string]workerStateMessage{}}
}

func (w *workerStates) receive(m workerStateMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.received[m.Worker]; !ok || m.FencingToken >= old.FencingToken {
		w.received[m.Worker] = receivedWorkerState{workerStateMessage: m, receivedAt: time.Now()}
	}
}

// isLoading reports whether a worker may get no calls because of an order.
func (w *workerStates) isLoading(worker string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	state, ok := w.received[worker]
	return ok && !state.Usable && time.Since(state.receivedAt) < unusableTTL
}

// setOwn records a report of this host's order manager.
func (w *workerStates) setOwn(m workerStateMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.Usable {
		delete(w.ownUnusable, m.Worker)
		return
	}
	w.ownUnusable[m.Worker] = m
}

func (w *workerStates) listOwnUnusable() []workerStateMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]workerStateMessage, 0, len(w.ownUnusable))
	for _, m := range w.ownUnusable {
		out = append(out, m)
	}
	return out
}

// ordersView adapts the membership to the orders service.
type ordersView struct{ view membership.View }

func (v ordersView) Self() ids.Host { return v.view.Self().Name }

func (v ordersView) RendezvousOrder(key string) []ids.Host {
	members := v.view.RendezvousOrder(key)
	out := make([]ids.Host, len(members))
	for i, m := range members {
		out[i] = m.Name
	}
	return out
}

func (d *Daemon) buildOrders() {
	d.workerStates = newWorkerStates()
	d.orders = orders.New(d.rt, d.store, ordersView{d.members}, orders.Hooks{
		SetWorkerUsable: func(pool, worker string, fencingToken uint64, usable bool) {
			m := workerStateMessage{Pool: pool, Worker: worker, FencingToken: fencingToken, Usable: usable}
			d.workerStates.setOwn(m)
			d.workerStates.receive(m)
			go d.sendWorkerState(context.Background(), m)
		},
		DrainWorker: d.waitUntilIdle,
		LogEvent:    logging.NamedLogger{}.Event,
	}, orders.Options{Holder: newProcessName(ids.Host(d.settings.Host.Name)), Settings: orderSettings(d.settings.Lease.Duration, d.settings.Lease.RenewInterval)})
	d.node.Handle(wire.TypeWorkerState, func(_ context.Context, r *wire.Request) {
		var m workerStateMessage
		if r.Decode(&m) == nil {
			d.workerStates.receive(m)
		}
	})
}

// orderSettings returns the settings of the order managers for a host lease. They are the defaults for the default
// host lease; a shorter one shortens all durations in proportion, a longer one lengthens only the lease of the order
// manager and its renewals.
func orderSettings(lease, renew time.Duration) coreorders.Settings {
	out := coreorders.DefaultSettings()
	leaseRatio, renewRatio := float64(lease)/float64(defaultLeaseDuration), float64(renew)/float64(defaultRenewInterval)
	out.LeaseDuration = time.Duration(float64(out.LeaseDuration) * leaseRatio)
	out.RenewInterval = time.Duration(float64(out.RenewInterval) * renewRatio)
	for _, duration := range []*time.Duration{
		&out.MinHoldTime, &out.MaxOrderTransit, &out.IdlePollInterval, &out.LoadPollInterval, &out.LoadGracePeriod, &out.UnreachableTimeout, &out.MinBackoff, &out.MaxBackoff, &out.MinStatusInterval,
	} {
		*duration = time.Duration(float64(*duration) * min(1, leaseRatio))
	}
	return out
}

// waitUntilIdle waits until a worker that was reported as not usable runs no calls, or maxLoadFailures consecutive
// load requests have failed. Load reports lag, so a report counts only if it was measured after the last grant can
// have arrived.
func (d *Daemon) waitUntilIdle(ctx context.Context, _, worker string, _ coreorders.Order) {
	grantsArrivedAt := time.Now().Add(maxGrantTransit)
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	for failures := 0; failures < maxLoadFailures; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		idle, err := d.backends.IdleAfter(worker, grantsArrivedAt)
		switch {
		case err != nil:
			failures++
		case idle:
			return
		default:
			failures = 0
		}
	}
}

// sendWorkerState reports to the schedulers of the pool's groups whether a worker may get calls.
func (d *Daemon) sendWorkerState(ctx context.Context, m workerStateMessage) {
	ctx, cancel := context.WithTimeout(ctx, unusableRepeatInterval)
	defer cancel()
	notified := map[ids.Journal]bool{d.members.Self().Journal: true}
	for _, group := range d.backends.GroupNames(m.Pool) {
		hosts := d.members.RendezvousOrder("group:" + group)
		if len(hosts) == 0 || notified[hosts[0].Journal] {
			continue
		}
		notified[hosts[0].Journal] = true
		// syncOrdersLoop repeats a lost report of not usable; a lost report of usable delays calls by up to
		// unusableTTL.
		_ = d.node.Send(ctx, hosts[0].PeerAddress, wire.TypeWorkerState, m)
	}
}

// syncOrdersLoop passes changes of the configuration and the backend servers to the orders service, and repeats the
// reports of this host's order manager.
func (d *Daemon) syncOrdersLoop(ctx context.Context) {
	d.orders.SetConfig(d.configuration.Current())
	d.configuration.Subscribe(d.orders.SetConfig)
	t := time.NewTicker(unusableRepeatInterval)
	defer t.Stop()
	var lastRevision uint64
	for {
		if revision := d.backends.Revision(); revision != lastRevision {
			lastRevision = revision
			d.orders.SetBackends(d.listedBackends())
		}
		for _, m := range d.workerStates.listOwnUnusable() {
			d.workerStates.receive(m)
			d.sendWorkerState(ctx, m)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (d *Daemon) listedBackends() []objectapi.Backend {
	var out []objectapi.Backend
	for _, b := range d.backends.Backends() {
		if backend, ok := d.backends.Backend(b.Name); ok {
			out = append(out, backend)
		}
	}
	return out
}
