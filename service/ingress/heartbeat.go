package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/service/relay"
)

const (
	// minHeartbeatInterval is the interval of beats in a small fleet. A loss is noticed, and a lagging feed is found, well
	// within the operator's bound of 2 s.
	minHeartbeatInterval = 250 * time.Millisecond
	// minIntervalHosts is the size of a fleet up to which the interval holds; above it, the interval grows with the fleet,
	// so that a host's work for beats stays the same.
	minIntervalHosts = 10
	// maxMissedHeartbeats is the number of intervals without a beat after which a host counts as unreachable.
	maxMissedHeartbeats = 4
	// heartbeatTimeout bounds the sending of one beat.
	heartbeatTimeout = 400 * time.Millisecond
	// maxInformerLag is how much longer than a peer a feed may take to see a change before it is read again, beside the time
	// in which it collects changes.
	maxInformerLag = 300 * time.Millisecond
)

// heartbeat is what a host tells the others at intervals.
type heartbeat struct {
	Host        string
	Incarnation string
	Draining    bool
	// StoreAvailable is set if the host's last call to the store was answered.
	StoreAvailable bool `msgpack:"StoreUp"`
	// Revisions is the revision of the newest object of each kind that the host has seen.
	Revisions map[string]uint64 `msgpack:"Seen"`
	// InFlight is the number of requests that the host has at each backend server.
	InFlight map[string]int
}

// receivedHeartbeat is the last beat of a host.
type receivedHeartbeat struct {
	heartbeat  heartbeat
	receivedAt time.Time
}

// heartbeater exchanges beats with the other hosts.
type heartbeater struct {
	self           fleet.Host
	hosts          *Hosts
	node           *wire.Node
	servers        *Servers
	informers      map[string]*Informer
	storeAvailable func() bool
	// seeds are peers' addresses from the settings, for a host that knows no others yet.
	seeds []string

	mu             sync.Mutex
	lastHeartbeats map[string]receivedHeartbeat
	lags           map[string]informerLag
}

func newHeartbeater(self fleet.Host, hosts *Hosts, node *wire.Node, servers *Servers, storeUp func() bool, seeds []string) *heartbeater {
	b := &heartbeater{
		self: self, hosts: hosts, node: node, servers: servers, storeAvailable: storeUp, seeds: seeds,
		informers: map[string]*Informer{}, lastHeartbeats: map[string]receivedHeartbeat{}, lags: map[string]informerLag{},
	}
	node.Handle(wire.TypeEntryHeartbeat, b.receive)
	return b
}

// interval returns the time between beats in the fleet as it is.
func (b *heartbeater) interval() time.Duration {
	return heartbeatInterval(len(b.hosts.All()))
}

// heartbeatInterval returns the time between beats of a fleet.
func heartbeatInterval(hosts int) time.Duration {
	return minHeartbeatInterval * time.Duration(max(hosts, minIntervalHosts)) / minIntervalHosts
}

func (b *heartbeater) run(ctx context.Context) {
	started := time.Now()
	for {
		interval := b.interval()
		b.broadcast(ctx)
		b.detectUnreachable(started, interval)
		select {
		case <-time.After(interval):
		case <-b.hosts.selfListed:
		case <-ctx.Done():
			return
		}
	}
}

// broadcast tells all hosts how this one is.
func (b *heartbeater) broadcast(ctx context.Context) {
	own := heartbeat{
		Host:           b.self.Name,
		Incarnation:    b.self.Incarnation,
		Draining:       b.hosts.SelfDraining(),
		StoreAvailable: b.storeAvailable(),
		Revisions:      map[string]uint64{},
		InFlight:       b.servers.InFlightByServer(),
	}
	for kind, f := range b.informers {
		own.Revisions[kind] = uint64(f.NewestRevision())
	}
	for _, h := range b.hosts.All() {
		if h.Name == b.self.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			if err := b.node.Send(ctx, h.PeerAddress, wire.TypeEntryHeartbeat, own); err != nil && ctx.Err() == nil {
				b.hosts.RecordContact(h.Name, err)
			}
		}()
	}
}

func (b *heartbeater) receive(_ context.Context, r *wire.Request) {
	var m heartbeat
	if err := r.Decode(&m); err != nil {
		logging.Emit(logging.HeartbeatRejected, logging.Fields{"from": r.From, "error": err})
		return
	}
	now := time.Now()
	b.mu.Lock()
	b.lastHeartbeats[m.Host] = receivedHeartbeat{heartbeat: m, receivedAt: now}
	b.mu.Unlock()
	b.hosts.RecordContact(m.Host, nil)
	b.hosts.SetHostDraining(m.Host, m.Draining)
	b.servers.SetHostLoad(m.Host, m.InFlight, now)
	b.detectLag(m, now)
}

// informerLag is a change that a peer has seen and this host has not.
type informerLag struct {
	revision uint64
	since    time.Time
}

// detectLag reads feeds again that lag behind a peer: a watch can go deaf while its connection lives.
func (b *heartbeater) detectLag(m heartbeat, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind, revision := range m.Revisions {
		f, ok := b.informers[kind]
		if !ok {
			continue
		}
		l, lagging := b.lags[kind]
		if lagging && f.HasObserved(l.revision) {
			delete(b.lags, kind)
			lagging = false
		}
		switch {
		case f.HasObserved(revision):
		case !lagging:
			b.lags[kind] = informerLag{revision: revision, since: now}
		case now.Sub(l.since) >= f.maxLag():
			delete(b.lags, kind)
			logging.Emit(logging.InformerLags, logging.Fields{"kind": kind, "peer": m.Host, "seen": f.NewestRevision(), "peer_seen": revision})
			f.Relist()
		}
	}
}

// detectUnreachable marks hosts from which no beat arrives. Hosts send beats only to those that are listed, so a host that is not
// listed yet, or no longer, learns nothing from their absence.
func (b *heartbeater) detectUnreachable(started time.Time, interval time.Duration) {
	now := time.Now()
	limit := maxMissedHeartbeats * interval
	if now.Sub(started) < limit || b.hosts.SelfDraining() || b.hosts.ListedFor(b.self.Name) < limit {
		return
	}
	for _, h := range b.hosts.All() {
		if h.Name == b.self.Name || b.hosts.ListedFor(h.Name) < limit {
			continue
		}
		b.mu.Lock()
		last, ok := b.lastHeartbeats[h.Name]
		b.mu.Unlock()
		if !ok || now.Sub(last.receivedAt) > limit {
			b.hosts.RecordContact(h.Name, errors.Newf("no beat for %s", limit))
		}
	}
}

const (
	// relayTimeout bounds a store call through a peer.
	relayTimeout = time.Second
	// maxRelayPeers is how many peers are asked.
	maxRelayPeers = 2
)

// relayStoreCall makes a store call through a peer that has the store.
func (b *heartbeater) relayStoreCall(ctx context.Context, q objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return relay.Call(ctx, b.node, b.storePeers(), q)
}

// storeReachable reports whether this host or a peer has the store.
func (b *heartbeater) storeReachable() bool { return b.storeAvailable() || len(b.storePeers()) > 0 }

// storePeers returns the addresses of hosts that said lately that they have the store.
func (b *heartbeater) storePeers() []string {
	var out []string
	for _, h := range fleet.RendezvousOrder(b.hosts.Reachable(), b.self.Name) {
		b.mu.Lock()
		last, ok := b.lastHeartbeats[h.Name]
		b.mu.Unlock()
		fresh := ok && last.heartbeat.StoreAvailable && time.Since(last.receivedAt) < maxMissedHeartbeats*minHeartbeatInterval
		if fresh && h.Name != b.self.Name && len(out) < maxRelayPeers {
			out = append(out, h.PeerAddress)
		}
	}
	if len(out) > 0 || b.hasRecentHeartbeat() {
		return out
	}
	// A host that has just started, or that is not listed, hears no beats.
	for _, seed := range b.seeds {
		if seed != b.self.PeerAddress {
			out = append(out, seed)
		}
	}
	return out
}

// recentHosts returns the hosts that sent beats lately and are not about to leave, listed or not.
func (b *heartbeater) recentHosts() []fleet.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []fleet.Host
	for name, h := range b.lastHeartbeats {
		if !h.heartbeat.Draining && time.Since(h.receivedAt) < maxAccountLifetime {
			out = append(out, fleet.Host{Name: name, Incarnation: h.heartbeat.Incarnation})
		}
	}
	return out
}

// hasRecentHeartbeat reports whether beats of other hosts arrive.
func (b *heartbeater) hasRecentHeartbeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.lastHeartbeats {
		if time.Since(h.receivedAt) < maxMissedHeartbeats*minHeartbeatInterval {
			return true
		}
	}
	return false
}
