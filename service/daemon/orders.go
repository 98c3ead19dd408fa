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
	// reportUnusableEvery is how often an order manager repeats which workers may get no calls.
	reportUnusableEvery = time.Second
	// unusableFor is how long such a report counts. When its manager dies, the worker is used again; an engine
	// that still loads refuses the call and says that it did not run.
	unusableFor = 5 * time.Second
	// grantsUnderWay is the longest time from the report that a worker is not usable to the arrival of the last call
	// at it: a tick of the scheduler (100 ms), and the ways of the report, the grant and the call.
	grantsUnderWay = 300 * time.Millisecond
	// idlePoll is the pause between two looks at the load of a worker that is about to get an order. After
	// maxLoadFailures looks without an answer, the order is tried all the same, and fails if the worker is down.
	idlePoll        = 100 * time.Millisecond
	maxLoadFailures = 3
	// defaultHostLease and defaultHostRenew are the defaults of the settings lease.duration and lease.renew.
	defaultHostLease = 6 * time.Second
	defaultHostRenew = 2 * time.Second
)

// workerReport is the body of a worker_state frame: one worker that may or may not get calls.
type workerReport struct {
	Pool   string `msgpack:"p"`
	Worker string `msgpack:"w"`
	Fence  uint64 `msgpack:"f"`
	Usable bool   `msgpack:"u"`
}

// workerReports keeps what order managers say about workers. Of two reports the one with the higher fencing
// number counts.
type workerReports struct {
	mu    sync.Mutex
	heard map[string]receivedReport
	own   map[string]workerReport // workers that this host, as order manager, keeps from getting calls
}

type receivedReport struct {
	workerReport
	at time.Time
}

func newWorkerReports() *workerReports {
	return &workerReports{heard: map[string]receivedReport{}, own: map[string]workerReport{}}
}

func (w *workerReports) hear(r workerReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.heard[r.Worker]; !ok || r.Fence >= old.Fence {
		w.heard[r.Worker] = receivedReport{workerReport: r, at: time.Now()}
	}
}

// loading says whether a worker may get no calls because of an order.
func (w *workerReports) loading(worker string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.heard[worker]
	return ok && !h.Usable && time.Since(h.at) < unusableFor
}

// set notes a report of this host's order manager.
func (w *workerReports) set(r workerReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Usable {
		delete(w.own, r.Worker)
		return
	}
	w.own[r.Worker] = r
}

func (w *workerReports) unusable() []workerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]workerReport, 0, len(w.own))
	for _, r := range w.own {
		out = append(out, r)
	}
	return out
}

// ordersView shows the membership to the orders service.
type ordersView struct{ view membership.View }

func (v ordersView) Self() ids.Host { return v.view.Self().Name }

func (v ordersView) Rank(key string) []ids.Host {
	ranked := v.view.Rank(key)
	out := make([]ids.Host, len(ranked))
	for i, m := range ranked {
		out[i] = m.Name
	}
	return out
}

func (d *Daemon) buildOrders() {
	d.reports = newWorkerReports()
	d.orders = orders.New(d.rt, d.store, ordersView{d.members}, orders.Hooks{
		Usable: func(pool, worker string, fence uint64, usable bool) {
			r := workerReport{Pool: pool, Worker: worker, Fence: fence, Usable: usable}
			d.reports.set(r)
			d.reports.hear(r)
			go d.report(context.Background(), r)
		},
		Prepare: d.waitIdle,
		Report:  logging.Named{}.Event,
	}, orders.Options{Holder: processName(ids.Host(d.settings.Host.Name)), Times: orderTimes(d.settings.Lease.Duration, d.settings.Lease.Renew)})
	d.node.Handle(wire.TypeWorkerState, func(_ context.Context, r *wire.Request) {
		var w workerReport
		if r.Decode(&w) == nil {
			d.reports.hear(w)
		}
	})
}

// orderTimes returns the times of the order managers for a host lease. They are the defaults at the default host
// lease; a shorter one shortens them in proportion, a longer one lengthens the lease of the order manager only.
func orderTimes(lease, renew time.Duration) coreorders.Settings {
	t := coreorders.DefaultSettings()
	leases, renews := float64(lease)/float64(defaultHostLease), float64(renew)/float64(defaultHostRenew)
	t.LeaseDuration = time.Duration(float64(t.LeaseDuration) * leases)
	t.RenewInterval = time.Duration(float64(t.RenewInterval) * renews)
	for _, d := range []*time.Duration{
		&t.MinHoldTime, &t.MaxOrderTransit, &t.IdlePollInterval, &t.LoadPollInterval, &t.LoadGracePeriod, &t.UnreachableTimeout, &t.MinBackoff, &t.MaxBackoff, &t.MinStatusInterval,
	} {
		*d = time.Duration(float64(*d) * min(1, leases))
	}
	return t
}

// waitIdle returns when a worker that was reported as not usable runs no calls, or cannot tell. Load reports lag, so
// one counts only if it describes a moment after the last grant can have arrived.
func (d *Daemon) waitIdle(ctx context.Context, _, worker string, _ coreorders.Order) {
	grantsArrived := time.Now().Add(grantsUnderWay)
	t := time.NewTicker(idlePoll)
	defer t.Stop()
	for failures := 0; failures < maxLoadFailures; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		idle, err := d.backends.Idle(worker, grantsArrived)
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

// report tells the schedulers of the pool's groups whether a worker may get calls.
func (d *Daemon) report(ctx context.Context, r workerReport) {
	ctx, cancel := context.WithTimeout(ctx, reportUnusableEvery)
	defer cancel()
	told := map[ids.Journal]bool{d.members.Self().Journal: true}
	for _, group := range d.backends.Groups(r.Pool) {
		ranked := d.members.Rank("group:" + group)
		if len(ranked) == 0 || told[ranked[0].Journal] {
			continue
		}
		told[ranked[0].Journal] = true
		_ = d.node.Send(ctx, ranked[0].PeerAddress, wire.TypeWorkerState, r) // repeated by followOrders
	}
}

// followOrders keeps the orders service informed of the configuration and the engines, and repeats its reports.
func (d *Daemon) followOrders(ctx context.Context) {
	d.orders.SetConfig(d.configuration.Current())
	d.configuration.Subscribe(d.orders.SetConfig)
	t := time.NewTicker(reportUnusableEvery)
	defer t.Stop()
	var revision uint64
	for {
		if now := d.backends.Revision(); now != revision {
			revision = now
			d.orders.SetBackends(d.engines())
		}
		for _, r := range d.reports.unusable() {
			d.reports.hear(r)
			d.report(ctx, r)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (d *Daemon) engines() []objectapi.Backend {
	var out []objectapi.Backend
	for _, b := range d.backends.Backends() {
		if found, ok := d.backends.Backend(b.Name); ok {
			out = append(out, found)
		}
	}
	return out
}
