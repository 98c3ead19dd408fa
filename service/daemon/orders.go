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
	// unusableRepeatInterval is how often an order manager repeats which workers may get no calls.
	unusableRepeatInterval = time.Second
	// unusableTTL is how long such a report counts. When its manager dies, the worker is used again; an engine
	// that still loads refuses the call and says that it did not run.
	unusableTTL = 5 * time.Second
	// maxGrantTransit is the longest time from the report that a worker is not usable to the arrival of the last call
	// at it: a tick of the scheduler (100 ms), and the ways of the report, the grant and the call.
	maxGrantTransit = 300 * time.Millisecond
	// idlePollInterval is the pause between two looks at the load of a worker that is about to get an order. After
	// maxLoadFailures looks without an answer, the order is tried all the same, and fails if the worker is down.
	idlePollInterval = 100 * time.Millisecond
	maxLoadFailures  = 3
	// defaultLeaseDuration and defaultHostRenew are the defaults of the settings lease.duration and lease.renew.
	defaultLeaseDuration = 6 * time.Second
	defaultRenewInterval = 2 * time.Second
)

// workerStateMessage is the body of a worker_state frame: one worker that may or may not get calls.
type workerStateMessage struct {
	Pool         string `msgpack:"p"`
	Worker       string `msgpack:"w"`
	FencingToken uint64 `msgpack:"f"`
	Usable       bool   `msgpack:"u"`
}

// workerStates keeps what order managers say about workers. Of two reports the one with the higher fencing
// number counts.
type workerStates struct {
	mu          sync.Mutex
	received    map[string]receivedWorkerState
	ownUnusable map[string]workerStateMessage // workers that this host, as order manager, keeps from getting calls
}

type receivedWorkerState struct {
	workerStateMessage
	receivedAt time.Time
}

func newWorkerStates() *workerStates {
	return &workerStates{received: map[string]receivedWorkerState{}, ownUnusable: map[string]workerStateMessage{}}
}

func (w *workerStates) receive(r workerStateMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.received[r.Worker]; !ok || r.FencingToken >= old.FencingToken {
		w.received[r.Worker] = receivedWorkerState{workerStateMessage: r, receivedAt: time.Now()}
	}
}

// isLoading says whether a worker may get no calls because of an order.
func (w *workerStates) isLoading(worker string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.received[worker]
	return ok && !h.Usable && time.Since(h.receivedAt) < unusableTTL
}

// setOwn notes a report of this host's order manager.
func (w *workerStates) setOwn(r workerStateMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Usable {
		delete(w.ownUnusable, r.Worker)
		return
	}
	w.ownUnusable[r.Worker] = r
}

func (w *workerStates) listOwnUnusable() []workerStateMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]workerStateMessage, 0, len(w.ownUnusable))
	for _, r := range w.ownUnusable {
		out = append(out, r)
	}
	return out
}

// ordersView shows the membership to the orders service.
type ordersView struct{ view membership.View }

func (v ordersView) Self() ids.Host { return v.view.Self().Name }

func (v ordersView) RendezvousOrder(key string) []ids.Host {
	ranked := v.view.RendezvousOrder(key)
	out := make([]ids.Host, len(ranked))
	for i, m := range ranked {
		out[i] = m.Name
	}
	return out
}

func (d *Daemon) buildOrders() {
	d.workerStates = newWorkerStates()
	d.orders = orders.New(d.rt, d.store, ordersView{d.members}, orders.Hooks{
		SetWorkerUsable: func(pool, worker string, fence uint64, usable bool) {
			r := workerStateMessage{Pool: pool, Worker: worker, FencingToken: fence, Usable: usable}
			d.workerStates.setOwn(r)
			d.workerStates.receive(r)
			go d.sendWorkerState(context.Background(), r)
		},
		DrainWorker: d.waitUntilIdle,
		LogEvent:    logging.NamedLogger{}.Event,
	}, orders.Options{Holder: newProcessName(ids.Host(d.settings.Host.Name)), Settings: orderSettings(d.settings.Lease.Duration, d.settings.Lease.RenewInterval)})
	d.node.Handle(wire.TypeWorkerState, func(_ context.Context, r *wire.Request) {
		var w workerStateMessage
		if r.Decode(&w) == nil {
			d.workerStates.receive(w)
		}
	})
}

// orderSettings returns the times of the order managers for a host lease. They are the defaults at the default host
// lease; a shorter one shortens them in proportion, a longer one lengthens the lease of the order manager only.
func orderSettings(lease, renew time.Duration) coreorders.Settings {
	t := coreorders.DefaultSettings()
	leases, renews := float64(lease)/float64(defaultLeaseDuration), float64(renew)/float64(defaultRenewInterval)
	t.LeaseDuration = time.Duration(float64(t.LeaseDuration) * leases)
	t.RenewInterval = time.Duration(float64(t.RenewInterval) * renews)
	for _, d := range []*time.Duration{
		&t.MinHoldTime, &t.MaxOrderTransit, &t.IdlePollInterval, &t.LoadPollInterval, &t.LoadGracePeriod, &t.UnreachableTimeout, &t.MinBackoff, &t.MaxBackoff, &t.MinStatusInterval,
	} {
		*d = time.Duration(float64(*d) * min(1, leases))
	}
	return t
}

// waitUntilIdle returns when a worker that was reported as not usable runs no calls, or cannot tell. Load reports lag, so
// one counts only if it describes a moment after the last grant can have arrived.
func (d *Daemon) waitUntilIdle(ctx context.Context, _, worker string, _ coreorders.Order) {
	grantsArrived := time.Now().Add(maxGrantTransit)
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	for failures := 0; failures < maxLoadFailures; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		idle, err := d.backends.IdleAfter(worker, grantsArrived)
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

// sendWorkerState tells the schedulers of the pool's groups whether a worker may get calls.
func (d *Daemon) sendWorkerState(ctx context.Context, r workerStateMessage) {
	ctx, cancel := context.WithTimeout(ctx, unusableRepeatInterval)
	defer cancel()
	told := map[ids.Journal]bool{d.members.Self().Journal: true}
	for _, group := range d.backends.GroupNames(r.Pool) {
		ranked := d.members.RendezvousOrder("group:" + group)
		if len(ranked) == 0 || told[ranked[0].Journal] {
			continue
		}
		told[ranked[0].Journal] = true
		_ = d.node.Send(ctx, ranked[0].PeerAddress, wire.TypeWorkerState, r) // repeated by followOrders
	}
}

// syncOrdersLoop keeps the orders service informed of the configuration and the engines, and repeats its reports.
func (d *Daemon) syncOrdersLoop(ctx context.Context) {
	d.orders.SetConfig(d.configuration.Current())
	d.configuration.Subscribe(d.orders.SetConfig)
	t := time.NewTicker(unusableRepeatInterval)
	defer t.Stop()
	var revision uint64
	for {
		if now := d.backends.Revision(); now != revision {
			revision = now
			d.orders.SetBackends(d.listedBackends())
		}
		for _, r := range d.workerStates.listOwnUnusable() {
			d.workerStates.receive(r)
			d.sendWorkerState(ctx, r)
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
		if found, ok := d.backends.Backend(b.Name); ok {
			out = append(out, found)
		}
	}
	return out
}
