package ingress

import (
	"context"
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
	"github.com/hyssopreel/hyssopreel/service/access"
	"github.com/hyssopreel/hyssopreel/service/memlimit"
	"github.com/hyssopreel/hyssopreel/service/quota"
	"github.com/hyssopreel/hyssopreel/service/relay"
	"github.com/hyssopreel/hyssopreel/service/turns"
	"github.com/hyssopreel/hyssopreel/service/verdicts"
)

const (
	// sweepInterval is how often missing servers and expired connections are removed, and waiting requests dispatched.
	sweepInterval = 500 * time.Millisecond
	// drainListenTime is how long a draining host still accepts connections: callers cache a lookup in the directory
	// for up to three times directoryTTL.
	drainListenTime = 3*directoryTTL + 300*time.Millisecond
	// drainListenFraction bounds that to a fraction of the grace period, so that the last requests have time to end.
	drainListenFraction = 0.45
	// shutdownFraction is the fraction of the grace period after which the remaining connections are closed.
	shutdownFraction = 0.91
	// The defaults hold where the operator sets no limit.
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 20 * time.Second
	defaultMaxHeaderBytes = 32 << 10 // of a caller's request
	// outageDeleteWindow is the time after an outage of the store in which an entry may have been deleted only because
	// of the outage.
	outageDeleteWindow = 2 * time.Second
	// registerRetryInterval is the delay after this host's own entry could not be written or deleted.
	registerRetryInterval = 500 * time.Millisecond
	// linkHeartbeatInterval and linkKeepAliveTimeout apply to connections between hosts. The heartbeats of the hosts
	// themselves are more frequent on most of them.
	linkHeartbeatInterval = 800 * time.Millisecond
	linkKeepAliveTimeout  = 2500 * time.Millisecond
	// hostListFactor is how much longer the interval of the lists of entry hosts is than that of the other kinds: hosts
	// report that they leave in their heartbeats, too, and the list of a large fleet takes several calls.
	hostListFactor = 3
	// syncPollInterval is how often a starting host checks whether it has synced.
	syncPollInterval = 20 * time.Millisecond
)

// Adapter connects a host to its platform: the store, the encoding of documents and headers, and HTTP handlers.
type Adapter struct {
	HeaderCodec HeaderCodec
	Store       objectapi.Store
	// StoreAvailable reports whether the store answered the last call.
	StoreAvailable   func() bool
	DecodeServer     func(id string, value []byte) (placement.Server, error)
	DecodeTable      func(value []byte) (*routing.Table, error)
	DirectoryHandler func(lookup func(fleet.Locality) ([]string, time.Duration)) http.Handler
	ReadinessHandler func(ready func() bool) http.Handler
	// KindServers is the kind of the servers' entries; KindConfig and ConfigName identify the configuration.
	KindServers, KindConfig, ConfigName string
}

// Host is an entry host: an Ingress with its configuration, servers and peers.
type Host struct {
	settings atomic.Pointer[settings.EntryHost]
	adapter  Adapter
	self     fleet.Host
	metrics  *metrics.Metrics
	reload   <-chan *settings.EntryHost
	ingress  *Ingress
	servers  *Servers
	hosts    *Hosts
	node     *wire.Node
	budgets  *budgetService
	access   *access.Service
	turns    *turns.Client
	quotas   *quota.Service
	// keeperTenure tells since when this host has kept accounts of quotas.
	keeperTenure *keeperTenure
	heartbeats   *heartbeater
	verdicts     *verdicts.Keeper
	store        objectapi.Store // the platform's, through a peer while this host has no access to it

	limits    *hostLimits
	startedAt time.Time
	// configRevision is the revision of the configuration that was last put in force or rejected.
	configRevision atomic.Uint64
	// fullAnswers holds a value for each host that is getting all objects of a kind.
	fullAnswers chan struct{}
}

// NewHost returns an entry host that does not listen yet. It receives changed settings from reload.
func NewHost(s *settings.EntryHost, a Adapter, reload <-chan *settings.EntryHost) *Host {
	h := &Host{adapter: a, reload: reload, startedAt: time.Now(), fullAnswers: make(chan struct{}, maxFullAnswers)}
	h.settings.Store(s)
	h.self = fleet.Host{
		Name:          s.Host.Name,
		Incarnation:   newHostIncarnation(time.Now()),
		FailureDomain: s.Host.FailureDomain,
		Region:        s.Host.Region,
		CallerAddress: s.Listen.Callers,
		PeerAddress:   s.Listen.Peer,
		Cores:         s.Limits.Cores,
		LinkMbps:      s.Limits.LinkMbps,
	}
	h.metrics = metrics.New(s.Host.Name, s.Host.FailureDomain)
	scope := h.metrics.Scope()
	h.servers = NewServers(time.Now, func() { scope.Counter("backend_connections").Inc(1) })
	h.servers.SetDrainDelay(s.Promises.DrainDelay)
	h.servers.onRateLimitedResponse = func(server string) {
		scope.Tagged(map[string]string{"server": server}).Counter("rate_limited_server_responses").Inc(1)
	}
	h.servers.onLeaving = func() { scope.Counter("leaving_servers").Inc(1) }
	h.servers.onTraffic = newTrafficMetrics(scope).record
	h.hosts = NewHosts(h.self, h.servers.SetHostCount)
	h.hosts.onDraining = h.publishDraining
	h.node = wire.NewNode(wire.Options{
		ProcessName: s.Host.Name + "." + h.self.Incarnation, HeartbeatInterval: linkHeartbeatInterval,
		KeepAliveTimeout: linkKeepAliveTimeout, MaxInboundBytes: peerBytes, MaxLinks: maxPeerLinks,
	})
	h.heartbeats = newHeartbeater(h.self, h.hosts, h.node, h.servers, a.StoreAvailable, s.Seeds.Peers)
	h.heartbeats.contact = &storeContact{onOutage: func() { scope.Counter("store_silences").Inc(1) }}
	h.store = &contactStore{contact: h.heartbeats.contact, Store: &objectapi.RelayStore{
		Local:            a.Store,
		RelayToPeer:      h.heartbeats.relayStoreCall,
		LocalUnavailable: func() bool { return !a.StoreAvailable() },
	}}
	h.node.Handle(wire.TypeStoreRelay, relay.NewHandler(a.Store))
	h.node.Handle(wire.TypeFollow, h.serveFollow)
	h.budgets = newBudgetService(h.self, h.hosts, h.node, h.store, a.StoreAvailable, h.heartbeats.storeReachable)
	h.budgets.scope = scope
	h.heartbeats.sections = append(h.heartbeats.sections, h.budgets.foundersLoop)
	permits := newFleetPermits(h.self, h.hosts, h.node)
	h.keeperTenure = &keeperTenure{self: h.self.Name, hosts: h.hosts}
	h.heartbeats.onTick = func() {
		permits.updateTenure()
		if h.needsKeys() {
			h.keeperTenure.update()
		}
	}
	h.access, h.quotas = h.newAccess(s), h.newQuotas(s, scope)
	h.turns = turns.NewClient(h.node, h.store, s.Promises.TolerableHostLosses, s.Host.FailureDomain, s.Host.Region, scope)
	h.limits = newHostLimits(s, scope)
	h.ingress = New(Options{
		FailureDomain: s.Host.FailureDomain, Memory: h.limits.callers, Permits: permits, Access: h.access, Turns: h.turns, Quotas: hostQuotas{h.quotas},
	}, a.HeaderCodec, h.servers, h.budgets, scope)
	h.ingress.poison.host = h.self.Name
	h.heartbeats.poison = h.ingress.poison
	h.verdicts = h.newVerdictKeeper()
	h.heartbeats.sections = append(h.heartbeats.sections, leavingSection{h.servers})
	return h
}

// Run serves callers until ctx ends or a listener fails, and then drains the host. It returns the first error.
func (h *Host) Run(ctx context.Context) error {
	startedAt := time.Now()
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, workCtx := errgroup.WithContext(workCtx)
	callerServer := newLimitedServer(h.settings.Load().Listen.Callers, h.ingress)
	callerServer.MaxHeaderBytes = defaultMaxHeaderBytes
	listen := h.settings.Load().Listen
	otherServers := map[*http.Server]*memlimit.Limiter{
		newGetServer(listen.Ready, h.adapter.ReadinessHandler(h.ready)):            h.limits.ready,
		newGetServer(listen.Directory, h.adapter.DirectoryHandler(h.hosts.Lookup)): h.limits.directory,
		newGetServer(listen.Metrics, h.newOperatorHandler()):                       h.limits.metrics,
	}
	// Heartbeats of other hosts are compared with the informers, so these exist before the node listens.
	informers := h.newInformers()
	if _, err := h.node.Listen(listen.Peer); err != nil {
		return err
	}
	for server, limiter := range otherServers {
		if err := startServer(group, server, limiter); err != nil {
			return err
		}
	}
	for _, informer := range informers {
		group.Go(func() error { informer.Run(workCtx); return nil })
	}
	group.Go(func() error { h.runTurns(workCtx); return nil })
	group.Go(func() error { h.sweep(workCtx); return nil })
	group.Go(func() error { h.budgets.run(workCtx); return nil })
	group.Go(func() error { h.verdicts.Run(workCtx); return nil })
	group.Go(func() error { h.heartbeats.run(workCtx); return nil })
	group.Go(func() error { h.access.Run(workCtx); return nil })
	group.Go(func() error { h.ingress.watchdog.run(workCtx); return nil })
	group.Go(func() error { return h.serveCallers(workCtx, group, callerServer) })
	logging.Emit(logging.IngressStarted, logging.Fields{
		"host": h.self.Name, "incarnation": h.self.Incarnation, "callers": listen.Callers, "directory": listen.Directory, "peer": listen.Peer,
	})

	group.Go(func() error { h.applyReloads(workCtx); return nil })
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
	}
	requestsCut := h.drain(workCtx, callerServer)
	stopWork()
	for server := range otherServers {
		_ = server.Close()
	}
	_ = h.node.Close()
	err := group.Wait()
	logging.Emit(logging.IngressStopped, logging.Fields{"ms": time.Since(startedAt).Milliseconds(), "cut": requestsCut})
	return err
}

func startServer(group *errgroup.Group, server *http.Server, limiter *memlimit.Limiter) error {
	listener, err := limiter.Listen(server.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", server.Addr)
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve at %s", server.Addr)
		}
		return nil
	})
	return nil
}

// drain removes the host from the directory, hands its accounts over, takes requests for the time in which callers still come,
// and waits for the running ones. It reports whether some were cut off.
func (h *Host) drain(ctx context.Context, callerServer *http.Server) bool {
	logging.Emit(logging.IngressDraining, logging.Fields{"signal": "TERM"})
	gracePeriod := float64(h.settings.Load().Shutdown.GracePeriod)
	deadline := time.Now().Add(time.Duration(gracePeriod * shutdownFraction))
	h.ingress.DrainUntil(deadline)
	h.hosts.SetSelfDraining()
	unregisterCtx, cancelUnregister := context.WithCancel(ctx)
	defer cancelUnregister()
	go h.unregister(unregisterCtx)
	h.heartbeats.broadcast(ctx)
	h.quotas.HandOver(ctx)
	h.budgets.handOver(ctx, true)
	select {
	case <-time.After(min(drainListenTime, time.Duration(gracePeriod*drainListenFraction))):
	case <-ctx.Done():
	}
	h.ingress.Refuse()
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), deadline)
	defer cancelShutdown()
	if err := callerServer.Shutdown(shutdownCtx); err != nil {
		_ = callerServer.Close()
		return true
	}
	return false
}

// applyReloads applies changed settings. Changed addresses take effect only at the next start.
func (h *Host) applyReloads(ctx context.Context) {
	for {
		select {
		case s := <-h.reload:
			h.settings.Store(s)
			h.limits.callerSizer.SetMemory(s.Limits.MemoryBytes)
			logging.Emit(logging.SettingsReloaded, logging.Fields{
				"host": h.self.Name, "memory": s.Limits.MemoryBytes, "grace": s.Shutdown.GracePeriod,
			})
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) ready() bool {
	return !h.ingress.draining.Load() && h.hosts.SelfServing()
}

// hasSynced reports whether all informers have synced, a configuration is in force, and the budget records and the verdicts
// on requests that end servers were read.
func (h *Host) hasSynced() bool {
	for _, informer := range h.heartbeats.informers {
		if informer.Kind != turns.KindDiskHosts && !informer.HasSynced() {
			return false
		}
	}
	return h.ingress.table.Load() != nil && h.verdicts.Known() && h.hasSyncedDiskHosts() && (h.budgets.hasReadRecords() || !h.hosts.IsHome())
}

// hasSyncedDiskHosts reports whether the hosts with a disk have been listed, if a route retains turns.
func (h *Host) hasSyncedDiskHosts() bool {
	return !h.retainsTurns() || h.heartbeats.informers[turns.KindDiskHosts].HasSynced()
}

func (h *Host) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.heartbeats.contact.tick(time.Now())
			h.servers.Sweep()
			h.limits.callerSizer.Update()
			h.ingress.poison.expire()
			h.servers.DispatchAll()
			h.hosts.SetSlots(h.servers.TotalSlots())
			if h.needsKeys() {
				h.metrics.Scope().Gauge("config_age_seconds").Update(h.access.Age().Seconds())
			}
		case <-ctx.Done():
			return
		}
	}
}

// newInformers returns the informers of the configuration, the backend servers and the entry hosts.
func (h *Host) newInformers() []*Informer {
	config, servers, hosts := newInformer(h.adapter.KindConfig), newInformer(h.adapter.KindServers), newInformer(KindHosts)
	config.PollInterval = h.settings.Load().Platform.ListInterval
	config.Replace, config.Apply, config.Listed = h.replaceConfig, h.applyConfig, h.configListed
	servers.PollInterval = config.PollInterval
	servers.Replace, servers.PolledByPeer = h.replaceServers, h.heartbeats.polledByPeer
	servers.Contact = h.heartbeats.contact
	h.heartbeats.polled = func(now time.Time) (polledFor, age time.Duration) {
		for _, informer := range []*Informer{config, servers} {
			if d := informer.PolledFor(now); d > polledFor {
				polledFor, age = d, min(informer.PolledAge(now), d)
			}
		}
		return polledFor, age
	}
	servers.Apply = func(c objectapi.Change) { h.applyServer(c, servers.RecentlyRecovered()) }
	servers.BatchDelay = func() time.Duration { return changeBatchDelay(len(h.hosts.Roles().Watchers)) }
	hosts.Replace, hosts.Apply, hosts.PollInterval = h.hosts.Replace, h.hosts.Apply, hostListFactor*config.PollInterval
	hosts.BatchDelay = func() time.Duration { return changeBatchDelay(h.hosts.Count()) }
	informers := []*Informer{config, servers, hosts}
	for _, informer := range append(informers, h.newDiskHostInformer()) {
		informer.Store, informer.ShouldPoll = h.store, h.pollsKind(informer.Kind)
		informer.Sources, informer.Follow, informer.StartupPatience = h.informerSources, h.followPeer, h.startupPatience()
		h.heartbeats.informers[informer.Kind] = informer
	}
	return informers
}

// pollsKind returns a function that reports whether this host lists the kind at intervals for the fleet: the first
// watcher in the kind's rendezvous order does.
func (h *Host) pollsKind(kind string) func() bool {
	return func() bool {
		ordered := fleet.RendezvousOrder(h.hosts.Roles().Watchers, kind)
		return len(ordered) > 0 && ordered[0].Name == h.self.Name
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
	if c.Version > 0 && h.configRevision.Load() == uint64(c.Version) {
		return
	}
	if table, err := h.adapter.DecodeTable(c.Value); err != nil {
		logging.Emit(logging.TableRejected, logging.Fields{"revision": c.Version, "error": err})
	} else {
		h.ingress.SetTable(table, "store")
	}
	h.configRevision.Store(uint64(c.Version))
	h.access.Applied(uint64(c.Version))
}

func (h *Host) replaceServers(objects []objectapi.Object, afterOutage bool) {
	infos := make([]placement.Server, 0, len(objects))
	for _, o := range objects {
		if info, ok := h.decodeServer(o); ok {
			infos = append(infos, info)
		}
	}
	h.servers.Replace(infos, afterOutage)
}

func (h *Host) applyServer(c objectapi.Change, afterOutage bool) {
	switch {
	case c.Deleted && afterOutage:
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

// serveCallers listens for callers and registers the host once it has synced. Until then, connections are refused and
// callers go to another host at once.
func (h *Host) serveCallers(ctx context.Context, group *errgroup.Group, callerServer *http.Server) error {
	for !h.hasSynced() {
		select {
		case <-time.After(syncPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
	limits := h.ingress.table.Load().Limits
	setIfPositive(&callerServer.ReadHeaderTimeout, limits.HeaderTimeout)
	h.limits.callers.SetBodyStallTimeout(callerServer.ReadHeaderTimeout)
	setIfPositive(&callerServer.IdleTimeout, limits.IdleTimeout)
	setIfPositive(&callerServer.MaxHeaderBytes, limits.MaxHeaderBytes)
	// A host that starts must know which requests are quarantined, and which servers are rate-limited, before it serves.
	h.heartbeats.exchangeAndWait(ctx, h.hosts.Targets())
	h.access.AwaitConfirmed(ctx, confirmAtStartTimeout)
	if err := startServer(group, callerServer, h.limits.callers); err != nil {
		return err
	}
	h.hosts.SetSelfServing()
	h.register(ctx, h.self)
	return nil
}

// setIfPositive sets *limit to v; if the operator set no limit, v is 0 and the default stays.
func setIfPositive[T int | time.Duration](limit *T, v T) {
	if v > 0 {
		*limit = v
	}
}

// register writes this host's entry to the store; it retries until ctx ends.
func (h *Host) register(ctx context.Context, self fleet.Host) {
	for ctx.Err() == nil {
		err := h.writeHostEntry(ctx, self)
		if err == nil {
			return
		}
		logging.Emit(logging.HostRegistrationFailed, logging.Fields{"error": err})
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
		}
	}
}

// writeHostEntry creates this host's entry, or replaces that of an earlier incarnation. The list of hosts shows whether
// there is one, so that one call does in most cases.
func (h *Host) writeHostEntry(ctx context.Context, self fleet.Host) error {
	o, err := encodeHost(self)
	if err != nil {
		return err
	}
	if former := h.heartbeats.informers[KindHosts].feed.version(self.Name); former > 0 {
		_, err := objectapi.UpdateConfirmed(ctx, h.store, KindHosts, self.Name, o.Value, former)
		if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrNotFound) {
			return err
		}
	}
	_, err = objectapi.CreateConfirmed(ctx, h.store, KindHosts, self.Name, o.Value)
	if !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	existing, err := h.store.Get(ctx, KindHosts, self.Name)
	if err != nil {
		return err
	}
	_, err = objectapi.UpdateConfirmed(ctx, h.store, KindHosts, self.Name, o.Value, existing.Version)
	return err
}

// unregister deletes this host's entry, so that other hosts no longer direct callers here; it retries until ctx ends.
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
