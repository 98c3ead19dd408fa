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
	// minHeartbeatInterval is the heartbeat interval of a small fleet. The loss of a host and a lagging informer
	// are detected well within the operator's bound of 2 s.
	minHeartbeatInterval = 250 * time.Millisecond
	// minIntervalHosts is the fleet size up to which minHeartbeatInterval applies. Above it, the interval grows
	// with the fleet, so that a host's work for heartbeats stays the same.
	minIntervalHosts = 10
	// maxMissedHeartbeats is the number of intervals without a heartbeat after which a host counts as unreachable.
	maxMissedHeartbeats = 4
	// heartbeatTimeout bounds the sending of one heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// maxInformerLag is how much later than a peer an informer may observe a change before it relists, in addition
	// to its batch delay.
	maxInformerLag = 300 * time.Millisecond
)

// heartbeat is the message that each host sends to all others at every interval.
type heartbeat struct {
	Host        string
	Incarnation string
	Draining    bool
	// StoreAvailable is set if the store answered the host's last call.
	StoreAvailable bool `msgpack:"StoreUp"`
	// Revisions holds the revision of the newest object that the host has observed, by kind.
	Revisions map[string]uint64 `msgpack:"Seen"`
	// InFlight holds the number of the host's active requests, by backend server.
	InFlight map[string]int
}

// receivedHeartbeat is the last heartbeat of a host.
type receivedHeartbeat struct {
	heartbeat  heartbeat
	receivedAt time.Time
}

// heartbeater exchanges heartbeats with the other hosts. It detects unreachable hosts and informers that lag
// behind.
type heartbeater struct {
	self           fleet.Host
	hosts          *Hosts
	node           *wire.Node
	servers        *Servers
	informers      map[string]*Informer // by kind
	storeAvailable func() bool
	// seeds are the peer addresses from the settings, used while no heartbeats arrive.
	seeds []string

	mu             sync.Mutex
	lastHeartbeats map[string]receivedHeartbeat // by host
	lags           map[string]informerLag       // by kind
}

func newHeartbeater(self fleet.Host, hosts *Hosts, node *wire.Node, servers *Servers, storeAvailable func() bool, seeds []string) *heartbeater {
	b := &heartbeater{
		self: self, hosts: hosts, node: node, servers: servers, storeAvailable: storeAvailable, seeds: seeds,
		informers: map[string]*Informer{}, lastHeartbeats: map[string]receivedHeartbeat{}, lags: map[string]informerLag{},
	}
	node.Handle(wire.TypeEntryHeartbeat, b.receive)
	return b
}

// interval returns the heartbeat interval for the present number of hosts.
func (b *heartbeater) interval() time.Duration {
	return heartbeatInterval(len(b.hosts.All()))
}

// heartbeatInterval returns the heartbeat interval of a fleet of that size.
func heartbeatInterval(hosts int) time.Duration {
	return minHeartbeatInterval * time.Duration(max(hosts, minIntervalHosts)) / minIntervalHosts
}

func (b *heartbeater) run(ctx context.Context) {
	startedAt := time.Now()
	for {
		interval := b.interval()
		b.broadcast(ctx)
		b.detectUnreachable(startedAt, interval)
		select {
		case <-time.After(interval):
		case <-b.hosts.selfListed:
		case <-ctx.Done():
			return
		}
	}
}

// broadcast sends a heartbeat to all other hosts. It does not wait for the sends.
func (b *heartbeater) broadcast(ctx context.Context) {
	message := heartbeat{
		Host:           b.self.Name,
		Incarnation:    b.self.Incarnation,
		Draining:       b.hosts.SelfDraining(),
		StoreAvailable: b.storeAvailable(),
		Revisions:      map[string]uint64{},
		InFlight:       b.servers.InFlightByServer(),
	}
	for kind, informer := range b.informers {
		message.Revisions[kind] = uint64(informer.NewestRevision())
	}
	for _, h := range b.hosts.All() {
		if h.Name == b.self.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			if err := b.node.Send(ctx, h.PeerAddress, wire.TypeEntryHeartbeat, message); err != nil && ctx.Err() == nil {
				b.hosts.RecordContact(h.Name, err)
			}
		}()
	}
}

func (b *heartbeater) receive(_ context.Context, r *wire.Request) {
	var message heartbeat
	if err := r.Decode(&message); err != nil {
		logging.Emit(logging.HeartbeatRejected, logging.Fields{"from": r.From, "error": err})
		return
	}
	now := time.Now()
	b.mu.Lock()
	b.lastHeartbeats[message.Host] = receivedHeartbeat{heartbeat: message, receivedAt: now}
	b.mu.Unlock()
	b.hosts.RecordContact(message.Host, nil)
	b.hosts.SetHostDraining(message.Host, message.Draining)
	b.servers.SetHostLoad(message.Host, message.InFlight, now)
	b.detectLag(message, now)
}

// informerLag is a revision that a peer has observed and this host has not.
type informerLag struct {
	revision uint64
	since    time.Time // when the peer's heartbeat arrived
}

// detectLag relists informers that lag behind a peer: a watch can go stale while its connection stays open.
func (b *heartbeater) detectLag(message heartbeat, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind, revision := range message.Revisions {
		informer, ok := b.informers[kind]
		if !ok {
			continue
		}
		lag, lagging := b.lags[kind]
		if lagging && informer.HasObserved(lag.revision) {
			delete(b.lags, kind)
			lagging = false
		}
		switch {
		case informer.HasObserved(revision):
		case !lagging:
			b.lags[kind] = informerLag{revision: revision, since: now}
		case now.Sub(lag.since) >= informer.maxLag():
			delete(b.lags, kind)
			logging.Emit(logging.InformerLagging, logging.Fields{"kind": kind, "peer": message.Host, "seen": informer.NewestRevision(), "peer_seen": revision})
			informer.Relist()
		}
	}
}

// detectUnreachable marks hosts from which no heartbeats arrive as unreachable. Hosts send heartbeats to listed
// hosts only, so missing ones prove nothing until this host and the other have both been listed for long enough.
func (b *heartbeater) detectUnreachable(startedAt time.Time, interval time.Duration) {
	now := time.Now()
	limit := maxMissedHeartbeats * interval
	if now.Sub(startedAt) < limit || b.hosts.SelfDraining() || b.hosts.ListedFor(b.self.Name) < limit {
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
			b.hosts.RecordContact(h.Name, errors.Newf("no heartbeat for %s", limit))
		}
	}
}

const (
	// relayTimeout bounds a store call through peers, all tries together.
	relayTimeout = time.Second
	// maxRelayPeers is the number of peers that are tried.
	maxRelayPeers = 2
)

// relayStoreCall makes a store call through a peer to which the store is available.
func (b *heartbeater) relayStoreCall(ctx context.Context, request objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return relay.Call(ctx, b.node, b.storePeers(), request)
}

// storeReachable reports whether the store is available to this host or a peer.
func (b *heartbeater) storeReachable() bool { return b.storeAvailable() || len(b.storePeers()) > 0 }

// storePeers returns the addresses of up to maxRelayPeers hosts that lately reported the store available. If no
// heartbeats arrive at all, it returns the seeds.
func (b *heartbeater) storePeers() []string {
	var out []string
	for _, h := range fleet.RendezvousOrder(b.hosts.Reachable(), b.self.Name) {
		b.mu.Lock()
		last, ok := b.lastHeartbeats[h.Name]
		b.mu.Unlock()
		usable := ok && last.heartbeat.StoreAvailable && time.Since(last.receivedAt) < maxMissedHeartbeats*minHeartbeatInterval
		if usable && h.Name != b.self.Name && len(out) < maxRelayPeers {
			out = append(out, h.PeerAddress)
		}
	}
	if len(out) > 0 || b.hasRecentHeartbeat() {
		return out
	}
	// A host that has just started, or that is not listed, receives no heartbeats.
	for _, seed := range b.seeds {
		if seed != b.self.PeerAddress {
			out = append(out, seed)
		}
	}
	return out
}

// recentHosts returns the hosts that sent a heartbeat within maxAccountLifetime and are not draining, listed or
// not. Only name and incarnation are set.
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

// hasRecentHeartbeat reports whether heartbeats of other hosts arrive.
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
