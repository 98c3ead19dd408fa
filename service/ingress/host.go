package ingress

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/metrics"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/service/relay"
)

const (
	// sweepInterval is how often idle connections and lapsed servers are looked at.
	sweepInterval = 500 * time.Millisecond
	// drainListenTime is how long a leaving host still accepts connections: callers keep the directory's answer for
	// up to three times directoryTTL.
	drainListenTime = 3*directoryTTL + 300*time.Millisecond
	// drainListenFraction bounds that to a part of the grace period, so that the last requests have time to end.
	drainListenFraction = 0.45
	// shutdownFraction is the part of the grace period after which the last connections are cut.
	shutdownFraction = 0.91
	// defaultHeaderTimeout and idleTimeout hold where the operator gives no limit.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 20 * time.Second
	// defaultMaxHeaderBytes bounds the header of a caller's request where the operator gives no limit.
	defaultMaxHeaderBytes = 32 << 10
	// outageDeleteWindow is the time after an outage in which a deleted entry may have lapsed because of it.
	outageDeleteWindow = 2 * time.Second
)

// Adapter is what the platform brings: documents, headers and the paths of its own calls.
type Adapter struct {
	HeaderCodec HeaderCodec
	Store       objectapi.Store
	// StoreAvailable reports whether the last call to the store was answered.
	StoreAvailable   func() bool
	DecodeServer     func(id string, value []byte) (placement.Server, error)
	DecodeTable      func(value []byte) (*routing.Table, error)
	DirectoryHandler func(lookup func(fleet.Locality) ([]string, time.Duration)) http.Handler
	ReadinessHandler func(ready func() bool) http.Handler
	// KindServers, KindConfig and NameConfig are where the servers' entries and the configuration are kept.
	KindServers, KindConfig, ConfigName string
}

// Host is a running entry host.
type Host struct {
	settings   atomic.Pointer[settings.Entry]
	adapter    Adapter
	self       fleet.Host
	metrics    *metrics.Metrics
	reload     <-chan *settings.Entry
	ingress    *Ingress
	servers    *Servers
	hosts      *Hosts
	node       *wire.Node
	budgets    *budgetService
	heartbeats *heartbeater
	store      objectapi.Store // the platform's, or a peer's while this host has no access to it

	// storeRecoveredAt is when the servers' feed resumed after an outage.
	storeRecoveredAt time.Time
}

// NewHost returns an entry host that does not listen yet. Changed settings arrive on reload.
func NewHost(s *settings.Entry, a Adapter, reload <-chan *settings.Entry) *Host {
	h := &Host{adapter: a, reload: reload}
	h.settings.Store(s)
	h.self = fleet.Host{
		Name:          s.Host.Name,
		Incarnation:   newIncarnation(),
		FailureDomain: s.Host.FailureDomain,
		Region:        s.Host.Region,
		CallerAddress: s.Listen.Callers,
		PeerAddress:   s.Listen.Peer,
	}
	h.metrics = metrics.New(s.Host.Name, s.Host.FailureDomain)
	scope := h.metrics.Scope()
	h.servers = NewServers(time.Now, func() { scope.Counter("backend_connections").Inc(1) })
	h.hosts = NewHosts(h.self, h.servers.SetHostCount)
	h.node = wire.NewNode(wire.Options{Self: s.Host.Name + "." + h.self.Incarnation})
	h.heartbeats = newHeartbeater(h.self, h.hosts, h.node, h.servers, a.StoreAvailable, s.Seeds.Peers)
	h.store = &objectapi.Relay{
		Local:      a.Store,
		Peers:      h.heartbeats.relayStoreCall,
		PeersFirst: func() bool { return !a.StoreAvailable() },
	}
	h.node.Handle(wire.TypeRelay, relay.NewHandler(a.Store))
	h.budgets = newBudgetService(h.self, h.hosts, h.node, h.store, h.heartbeats.storeReachable, h.heartbeats.recentHosts)
	h.ingress = New(Options{FailureDomain: s.Host.FailureDomain, MemoryLimitBytes: s.Limits.Memory}, a.HeaderCodec, h.servers, h.budgets, scope)
	return h
}

// Run serves until ctx ends, and then for as long as a graceful shutdown takes.
func (h *Host) Run(ctx context.Context) error {
	began := time.Now()
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, work := errgroup.WithContext(work)
	callers := &http.Server{
		Handler:           h.ingress,
		ConnContext:       ConnContext,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultMaxHeaderBytes,
	}
	l := h.settings.Load().Listen
	others := []*http.Server{
		{Addr: l.Ready, Handler: h.adapter.ReadinessHandler(h.ready), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout},
		{Addr: l.Directory, Handler: h.adapter.DirectoryHandler(h.hosts.Lookup), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout},
		{Addr: l.Metrics, Handler: h.metrics.Handler(), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout},
	}
	callers.Addr = l.Callers
	// Beats of other hosts are compared with the feeds, so these come first.
	feeds := h.newInformers()
	if _, err := h.node.Listen(l.Peer); err != nil {
		return err
	}
	for _, s := range others {
		if err := startServer(group, s); err != nil {
			return err
		}
	}
	for _, f := range feeds {
		group.Go(func() error { f.Run(work); return nil })
	}
	group.Go(func() error { h.sweep(work); return nil })
	group.Go(func() error { h.budgets.run(work); return nil })
	group.Go(func() error { h.heartbeats.run(work); return nil })
	group.Go(func() error { h.ingress.watchdog.run(work); return nil })
	group.Go(func() error { return h.serveCallers(work, group, callers) })
	logging.Emit(logging.IngressStarted, logging.Fields{
		"host": h.self.Name, "incarnation": h.self.Incarnation, "callers": l.Callers, "directory": l.Directory, "peer": l.Peer,
	})

	group.Go(func() error { h.applyReloads(work); return nil })
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	cut := h.drain(work, callers)
	stopWork()
	for _, s := range others {
		_ = s.Close()
	}
	_ = h.node.Close()
	err := group.Wait()
	logging.Emit(logging.IngressStopped, logging.Fields{"ms": time.Since(began).Milliseconds(), "cut": cut})
	return err
}

func startServer(group *errgroup.Group, s *http.Server) error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", s.Addr)
	}
	group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve at %s", s.Addr)
		}
		return nil
	})
	return nil
}

// drain leaves the fleet without cutting requests. It reports whether requests were cut at the end.
func (h *Host) drain(ctx context.Context, callers *http.Server) bool {
	logging.Emit(logging.IngressDraining, logging.Fields{"signal": "TERM"})
	grace := float64(h.settings.Load().Shutdown.Grace)
	end := time.Now().Add(time.Duration(grace * shutdownFraction))
	h.ingress.Drain()
	h.hosts.SetSelfDraining()
	unregister, cancel := context.WithCancel(ctx)
	defer cancel()
	go h.unregister(unregister)
	h.heartbeats.broadcast(ctx)
	h.budgets.handOver(ctx, true)
	select {
	case <-time.After(min(drainListenTime, time.Duration(grace*drainListenFraction))):
	case <-ctx.Done():
	}
	shutdown, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	if err := callers.Shutdown(shutdown); err != nil {
		_ = callers.Close()
		return true
	}
	return false
}

// applyReloads takes over changed settings. Addresses hold until the next start.
func (h *Host) applyReloads(ctx context.Context) {
	for {
		select {
		case s := <-h.reload:
			h.settings.Store(s)
			h.ingress.memoryLimitBytes.Store(s.Limits.Memory)
			logging.Emit(logging.SettingsReloaded, logging.Fields{
				"host": h.self.Name, "memory": s.Limits.Memory, "grace": s.Shutdown.Grace,
			})
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) ready() bool {
	return !h.ingress.draining.Load() && h.hosts.SelfServing()
}

// hasSynced reports whether the host knows all that it needs to serve callers.
func (h *Host) hasSynced() bool {
	for _, f := range h.heartbeats.informers {
		if !f.HasSynced() {
			return false
		}
	}
	return h.ingress.table.Load() != nil && h.budgets.hasReadRecords()
}

func (h *Host) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.servers.Sweep()
			h.servers.DispatchAll()
		case <-ctx.Done():
			return
		}
	}
}

// newInformers returns the feeds of everything that the host follows.
func (h *Host) newInformers() []*Informer {
	feeds := []*Informer{
		{Kind: h.adapter.KindConfig, Replace: h.replaceConfig, Apply: h.applyConfig},
		{Kind: h.adapter.KindServers, Replace: h.replaceServers, Apply: h.applyServer},
		{Kind: KindHosts, Replace: h.hosts.Replace, Apply: h.hosts.Apply},
	}
	for _, f := range feeds {
		f.Store, f.ShouldPoll, f.PollInterval = h.store, h.pollsKind(f.Kind), h.settings.Load().Platform.Poll
		f.relist = make(chan struct{}, 1)
		if f.Kind != h.adapter.KindConfig {
			f.BatchDelay = func() time.Duration { return changeBatchDelay(len(h.hosts.All())) }
		}
		h.heartbeats.informers[f.Kind] = f
	}
	return feeds
}

// pollsKind reports whether this host reads the list of a kind again and again for the fleet.
func (h *Host) pollsKind(kind string) func() bool {
	return func() bool {
		ranked := fleet.RendezvousOrder(h.hosts.Reachable(), kind)
		return len(ranked) > 0 && ranked[0].Name == h.self.Name
	}
}

func (h *Host) replaceConfig(objects []objectapi.Object, _ bool) {
	for _, o := range objects {
		h.applyConfig(objectapi.Change{Object: o})
	}
}

func (h *Host) applyConfig(c objectapi.Change) {
	if c.Name != h.adapter.ConfigName || c.Deleted {
		return
	}
	t, err := h.adapter.DecodeTable(c.Value)
	if err != nil {
		logging.Emit(logging.TableRejected, logging.Fields{"revision": c.Version, "error": err})
		return
	}
	h.ingress.SetTable(t, "store")
}

func (h *Host) replaceServers(objects []objectapi.Object, afterOutage bool) {
	if afterOutage {
		h.storeRecoveredAt = time.Now()
	}
	infos := make([]placement.Server, 0, len(objects))
	for _, o := range objects {
		if info, ok := h.decodeServer(o); ok {
			infos = append(infos, info)
		}
	}
	h.servers.Replace(infos, afterOutage)
}

func (h *Host) applyServer(c objectapi.Change) {
	switch {
	case c.Deleted && time.Since(h.storeRecoveredAt) < outageDeleteWindow:
		h.servers.MarkMissing(c.Name)
	case c.Deleted:
		h.servers.Remove(c.Name, "entry deleted")
	default:
		if info, ok := h.decodeServer(c.Object); ok {
			h.servers.Put(info)
		} else {
			h.servers.Remove(c.Name, "entry cannot be used")
		}
	}
}

func (h *Host) decodeServer(o objectapi.Object) (placement.Server, bool) {
	info, err := h.adapter.DecodeServer(o.Name, o.Value)
	if err != nil {
		logging.Emit(logging.ServerRejected, logging.Fields{"server": o.Name, "error": err})
	}
	return info, err == nil
}

// registerRetryInterval is the pause after the own entry could not be written.
const registerRetryInterval = 500 * time.Millisecond

// syncPollInterval is how often a starting host looks whether it can serve callers.
const syncPollInterval = 20 * time.Millisecond

// serveCallers lets callers in once the host can serve them: until then they go to another host at once.
func (h *Host) serveCallers(ctx context.Context, group *errgroup.Group, callers *http.Server) error {
	for !h.hasSynced() {
		select {
		case <-time.After(syncPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
	limits := h.ingress.table.Load().Limits
	setIfPositive(&callers.ReadHeaderTimeout, limits.HeaderTimeout)
	setIfPositive(&callers.IdleTimeout, limits.IdleTimeout)
	setIfPositive(&callers.MaxHeaderBytes, limits.MaxHeaderBytes)
	if err := startServer(group, callers); err != nil {
		return err
	}
	h.hosts.SetSelfServing()
	h.register(ctx, h.self)
	return nil
}

// setIfPositive sets a limit that the operator gave.
func setIfPositive[T int | time.Duration](limit *T, v T) {
	if v > 0 {
		*limit = v
	}
}

// register writes this host's entry, over the one of an earlier incarnation.
func (h *Host) register(ctx context.Context, self fleet.Host) {
	for ctx.Err() == nil {
		err := h.writeHostEntry(ctx, self)
		if err == nil {
			return
		}
		logging.Emit(logging.HostNotListed, logging.Fields{"error": err})
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
		}
	}
}

func (h *Host) writeHostEntry(ctx context.Context, self fleet.Host) error {
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	_, err = objectapi.CreateConfirmed(ctx, h.store, KindHosts, self.Name, value)
	if !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	present, err := h.store.Get(ctx, KindHosts, self.Name)
	if err != nil {
		return err
	}
	_, err = objectapi.UpdateConfirmed(ctx, h.store, KindHosts, self.Name, value, present.Version)
	return err
}

// unregister deletes this host's entry, so that other hosts no longer send callers here.
func (h *Host) unregister(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.store.Delete(ctx, KindHosts, h.self.Name, 0)
		if err == nil || errors.Is(err, objectapi.ErrNotFound) {
			return
		}
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
		}
	}
}
