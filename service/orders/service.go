// Package orders executes the effects of core/orders: it reads and writes the leases of the order managers, sends
// orders to engines and writes the status objects of the pools.
package orders

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/orders"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// MembershipView is the part of the membership's View that this package uses.
type MembershipView interface {
	Self() ids.Host
	// RendezvousOrder returns the hosts in state up by rendezvous hash of the key, best first.
	RendezvousOrder(key string) []ids.Host
}

// Runtime is the part of *runtime.Runtime that this package uses.
type Runtime interface {
	Publish(ev event.Event)
	Handle(k event.Kind, h runtime.Handler)
	Clock() clock.Clock
}

// Hooks connect the order manager to the scheduler. Each may be nil.
type Hooks struct {
	// SetWorkerUsable reports whether a worker may get calls. It runs on the reducer's goroutine and must not block.
	// The worker's group may be scheduled on another host; of two reports the one with the higher fencing token
	// counts.
	SetWorkerUsable func(pool, worker string, fence uint64, usable bool)
	// DrainWorker is called before each order, after the worker was reported as not usable. It returns when the
	// worker has no running calls or ctx ends. Before a set_role order it may move or export the cache of programs.
	DrainWorker func(ctx context.Context, pool, worker string, o orders.Order)
	// LogEvent writes a log event of this package.
	LogEvent func(name string, fields map[string]any)
}

// Options configure a Service. Zero values take the defaults.
type Options struct {
	// Holder identifies this process in leases and orders: the journal of the incarnation, or "<host>/<process>"
	// with a process name that is unique.
	Holder   string
	Settings orders.Settings
	// TickInterval is the interval of the ticks for the reducer. The default is 500 ms.
	TickInterval time.Duration
	// StoreTimeout bounds the store requests of one effect. The default is 3 s.
	StoreTimeout time.Duration
	// DrainTimeout bounds Hooks.DrainWorker. The default is 1 min.
	DrainTimeout time.Duration
	// Transport sends the requests to engines. The default is a new http.Transport.
	Transport http.RoundTripper
}

// Service is the orders role of a host.
type Service struct {
	opts       Options
	store      objectapi.Store
	members    MembershipView
	runtime    Runtime
	hooks      Hooks
	httpClient *http.Client

	mu            sync.Mutex
	ctx           context.Context   // of Run; nil before Run is called
	pools         []string          // engine pools of the configuration
	fencingTokens map[string]uint64 // of the pools that this host manages
}

// New returns a service and registers its effect handlers on the runtime.
func New(rt Runtime, store objectapi.Store, members MembershipView, hooks Hooks, opts Options) *Service {
	if opts.Settings == (orders.Settings{}) {
		opts.Settings = orders.DefaultSettings()
	}
	setDefault(&opts.TickInterval, 500*time.Millisecond)
	setDefault(&opts.StoreTimeout, 3*time.Second)
	setDefault(&opts.DrainTimeout, time.Minute)
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	}
	if hooks.SetWorkerUsable == nil {
		hooks.SetWorkerUsable = func(string, string, uint64, bool) {}
	}
	if hooks.DrainWorker == nil {
		hooks.DrainWorker = func(context.Context, string, string, orders.Order) {}
	}
	if hooks.LogEvent == nil {
		hooks.LogEvent = func(string, map[string]any) {}
	}
	s := &Service{
		opts: opts, store: store, members: members, runtime: rt, hooks: hooks,
		httpClient: &http.Client{Transport: opts.Transport}, fencingTokens: map[string]uint64{},
	}
	s.registerHandlers()
	return s
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

func (s *Service) registerHandlers() {
	s.runtime.Handle(orders.KindReadLease, async(s, s.readLease))
	s.runtime.Handle(orders.KindWriteLease, async(s, s.writeLease))
	s.runtime.Handle(orders.KindReadEngine, async(s, s.readEngineState))
	s.runtime.Handle(orders.KindDrainWorker, async(s, s.drainWorker))
	s.runtime.Handle(orders.KindSendOrder, async(s, s.sendOrder))
	s.runtime.Handle(orders.KindWriteStatus, async(s, s.writeStatus))
	s.runtime.Handle(orders.KindSetWorkerUsable, func(_ clock.Millis, eff event.Effect) {
		e := eff.(orders.SetWorkerUsable)
		s.hooks.SetWorkerUsable(e.Pool, e.Engine, e.FencingToken, e.Usable)
	})
	s.runtime.Handle(orders.KindOrderManagerChanged, s.orderManagerChanged)
}

// async returns a handler that runs fn on a new goroutine. Effects before and after Run are dropped.
func async[E event.Effect](s *Service, fn func(context.Context, E)) runtime.Handler {
	return func(_ clock.Millis, eff event.Effect) {
		s.mu.Lock()
		ctx := s.ctx
		s.mu.Unlock()
		if ctx != nil && ctx.Err() == nil {
			go fn(ctx, eff.(E))
		}
	}
}

// Run publishes Started and periodic ticks for the reducer until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.runtime.Publish(orders.Started{Holder: s.opts.Holder, Settings: s.opts.Settings})
	t := time.NewTicker(s.opts.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if ranks, active := s.poolRanks(); active {
				s.runtime.Publish(orders.Ticked{Ranks: ranks})
			}
		}
	}
}

// poolRanks returns this host's rank in the pools for which it is a candidate, and whether ticks are needed because
// it is a candidate or manages a pool.
func (s *Service) poolRanks() ([]orders.PoolRank, bool) {
	s.mu.Lock()
	pools, active := s.pools, len(s.fencingTokens) > 0
	s.mu.Unlock()
	var out []orders.PoolRank
	for _, p := range pools {
		if i := slices.Index(s.members.RendezvousOrder("orders:"+p), s.members.Self()); i >= 0 && i < orders.MaxCandidates {
			out = append(out, orders.PoolRank{Pool: p, Rank: i})
		}
	}
	return out, active || len(out) > 0
}

// SetConfig passes the engine pools of the configuration in force to the reducer.
func (s *Service) SetConfig(c *config.Config) {
	var e orders.PoolsConfigured
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.Objects.Pools)) {
		if p := c.Objects.Pools[name]; p.Kind == "engine" {
			e.Pools = append(e.Pools, orders.NamedPool{Name: name, Pool: *p})
			names = append(names, name)
		}
	}
	s.mu.Lock()
	s.pools = names
	s.mu.Unlock()
	s.runtime.Publish(e)
}

// SetBackends passes the live engines of a changed list to the reducer. Leaving engines get no orders.
func (s *Service) SetBackends(list []objectapi.Backend) {
	var e orders.EnginesListed
	for _, b := range list {
		if b.Kind == "engine" && b.State == objectapi.BackendLive {
			e.Engines = append(e.Engines, orders.Engine{Name: b.Name, Pool: b.Pool, Address: b.Address})
		}
	}
	slices.SortFunc(e.Engines, func(a, b orders.Engine) int { return strings.Compare(a.Name, b.Name) })
	s.runtime.Publish(e)
}

// FencingTokens returns the fencing tokens of the pools that this host manages, by pool.
func (s *Service) FencingTokens() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.fencingTokens)
}

func (s *Service) orderManagerChanged(_ clock.Millis, eff event.Effect) {
	e := eff.(orders.OrderManagerChanged)
	s.mu.Lock()
	if e.IsManager {
		s.fencingTokens[e.Pool] = e.FencingToken
	} else {
		delete(s.fencingTokens, e.Pool)
	}
	s.mu.Unlock()
	s.hooks.LogEvent("order_manager_changed", map[string]any{"pool": e.Pool, "fence": e.FencingToken, "held": e.IsManager})
}

func (s *Service) drainWorker(ctx context.Context, e orders.DrainWorker) {
	drainCtx, cancel := context.WithTimeout(ctx, s.opts.DrainTimeout)
	defer cancel()
	s.hooks.DrainWorker(drainCtx, e.Pool, e.Engine, e.Order)
	s.runtime.Publish(orders.WorkerDrained{Pool: e.Pool, OrderID: e.OrderID})
}

func (s *Service) readLease(ctx context.Context, e orders.ReadLease) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	ev := orders.LeaseRead{Pool: e.Pool}
	o, err := s.store.Get(ctx, objectapi.KindOrderLease, e.Pool)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
	case err != nil:
		ev.Failed = true
	default:
		ev.Version = uint64(o.Version)
		if err := json.Unmarshal(o.Value, &ev.Lease); err != nil {
			ev.Failed = true
			s.hooks.LogEvent("order_lease_unreadable", map[string]any{"pool": e.Pool, "error": err.Error()})
		}
	}
	s.runtime.Publish(ev)
}

func (s *Service) writeLease(ctx context.Context, e orders.WriteLease) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	ev := orders.LeaseWritten{Pool: e.Pool, Lease: e.Lease}
	value, err := json.Marshal(e.Lease)
	if err == nil {
		ev.SentAt = s.runtime.Clock().Now()
		var v objectapi.Version
		v, err = s.putObject(ctx, objectapi.KindOrderLease, e.Pool, value, objectapi.Version(e.Version))
		ev.Version = uint64(v)
	}
	switch {
	case err == nil:
		ev.Result = orders.WriteSucceeded
	case errors.Is(err, objectapi.ErrConflict):
		ev.Result = orders.WriteConflict
	case errors.Is(err, objectapi.ErrUnavailable):
		ev.Result = orders.WriteFailed
	default:
		ev.Result = orders.WriteOutcomeUnknown
	}
	s.runtime.Publish(ev)
}

// putObject creates the object if version is 0, and updates it otherwise.
func (s *Service) putObject(ctx context.Context, kind, name string, value []byte, version objectapi.Version) (objectapi.Version, error) {
	if version == 0 {
		return s.store.Create(ctx, kind, name, value)
	}
	return s.store.Update(ctx, kind, name, value, version)
}

// writeStatus replaces the status object of a pool unless a manager with a higher fencing token wrote it.
func (s *Service) writeStatus(ctx context.Context, e orders.WriteStatus) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	var version objectapi.Version
	o, err := s.store.Get(ctx, objectapi.KindPoolStatus, e.Pool)
	if err == nil {
		version = o.Version
		var old orders.PoolStatus
		if json.Unmarshal(o.Value, &old) == nil && old.FencingToken > e.FencingToken {
			err = errors.Newf("status of pool %q has the fencing token %d of a later manager", e.Pool, old.FencingToken)
		}
	} else if errors.Is(err, objectapi.ErrNotFound) {
		err = nil
	}
	if err == nil {
		_, err = s.putObject(ctx, objectapi.KindPoolStatus, e.Pool, e.Value, version)
	}
	if err != nil {
		s.hooks.LogEvent("pool_status_not_written", map[string]any{"pool": e.Pool, "error": err.Error()})
	}
	s.runtime.Publish(orders.StatusWritten{Pool: e.Pool, Written: err == nil})
}

// Pools returns the pools of the configuration with the status that their managers wrote, for GET /v1/pools. It
// lists the status objects of the store once.
func (s *Service) Pools(ctx context.Context, c *config.Config) (api.Pools, error) {
	out := api.Pools{Pools: []api.Pool{}}
	objects, _, err := s.store.List(ctx, objectapi.KindPoolStatus, "")
	if err != nil {
		return out, errors.Wrap(err, "list status objects of the pools")
	}
	byPool := map[string]orders.PoolStatus{}
	for _, o := range objects {
		var st orders.PoolStatus
		if err := json.Unmarshal(o.Value, &st); err != nil {
			return out, errors.Wrapf(err, "decode status of pool %q", o.Name)
		}
		byPool[o.Name] = st
	}
	for _, name := range slices.Sorted(maps.Keys(c.Objects.Pools)) {
		out.Pools = append(out.Pools, poolStatus(name, c.Objects.Pools[name], byPool[name]))
	}
	return out, nil
}

// holderHost returns the host of a lease holder, which is a journal or "<host>/<process>".
func holderHost(holder string) ids.Host {
	if host, _, ok := strings.Cut(holder, "/"); ok {
		return ids.Host(host)
	}
	return ids.Journal(holder).Host()
}

func poolStatus(name string, pool *config.Pool, status orders.PoolStatus) api.Pool {
	out := api.Pool{
		Name: name, Kind: pool.Kind, Model: pool.Model, Version: pool.Version, Adapters: pool.Adapters, Role: pool.Role,
		Manager: holderHost(status.Manager), Fence: status.FencingToken,
	}
	for _, w := range status.Workers {
		worker := api.PoolWorker{
			Name: w.Name, Model: w.Model, Version: w.Version, Adapters: w.Adapters, Role: w.Role,
			State: w.State, Error: w.Error,
		}
		if w.Order != nil {
			worker.Order = w.Order.String()
		}
		out.Workers = append(out.Workers, worker)
	}
	return out
}
