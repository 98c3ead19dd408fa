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
	// beatEvery is the interval of beats in a small fleet. A loss is noticed, and a lagging feed is found, well
	// within the operator's bound of 2 s.
	beatEvery = 250 * time.Millisecond
	// beatHosts is the size of a fleet up to which the interval holds; above it, the interval grows with the fleet,
	// so that a host's work for beats stays the same.
	beatHosts = 10
	// missedBeats is the number of intervals without a beat after which a host counts as unreachable.
	missedBeats = 4
	// beatTimeout bounds the sending of one beat.
	beatTimeout = 400 * time.Millisecond
	// feedLag is how much longer than a peer a feed may take to see a change before it is read again, beside the time
	// in which it collects changes.
	feedLag = 300 * time.Millisecond
)

// beat is what a host tells the others at intervals.
type beat struct {
	Host        string
	Incarnation string
	Draining    bool
	// StoreUp is set if the host's last call to the store was answered.
	StoreUp bool
	// Seen is the revision of the newest object of each kind that the host has seen.
	Seen map[string]uint64
	// InFlight is the number of requests that the host has at each backend server.
	InFlight map[string]int
}

// heard is the last beat of a host.
type heard struct {
	beat beat
	at   time.Time
}

// beats exchanges beats with the other hosts.
type beats struct {
	self    fleet.Host
	hosts   *Hosts
	node    *wire.Node
	servers *Servers
	feeds   map[string]*Feed
	storeUp func() bool
	// seeds are peers' addresses from the settings, for a host that knows no others yet.
	seeds []string

	mu     sync.Mutex
	last   map[string]heard
	behind map[string]lag
}

func newBeats(self fleet.Host, hosts *Hosts, node *wire.Node, servers *Servers, storeUp func() bool, seeds []string) *beats {
	b := &beats{
		self: self, hosts: hosts, node: node, servers: servers, storeUp: storeUp, seeds: seeds,
		feeds: map[string]*Feed{}, last: map[string]heard{}, behind: map[string]lag{},
	}
	node.Handle(wire.TypeBeat, b.receive)
	return b
}

// interval returns the time between beats in the fleet as it is.
func (b *beats) interval() time.Duration {
	return beatInterval(len(b.hosts.All()))
}

// beatInterval returns the time between beats of a fleet.
func beatInterval(hosts int) time.Duration {
	return beatEvery * time.Duration(max(hosts, beatHosts)) / beatHosts
}

func (b *beats) run(ctx context.Context) {
	started := time.Now()
	for {
		interval := b.interval()
		b.send(ctx)
		b.check(started, interval)
		select {
		case <-time.After(interval):
		case <-b.hosts.selfListed:
		case <-ctx.Done():
			return
		}
	}
}

// send tells all hosts how this one is.
func (b *beats) send(ctx context.Context) {
	own := beat{
		Host:        b.self.Name,
		Incarnation: b.self.Incarnation,
		Draining:    b.hosts.Draining(),
		StoreUp:     b.storeUp(),
		Seen:        map[string]uint64{},
		InFlight:    b.servers.InFlight(),
	}
	for kind, f := range b.feeds {
		own.Seen[kind] = uint64(f.Changed())
	}
	for _, h := range b.hosts.All() {
		if h.Name == b.self.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, beatTimeout)
			defer cancel()
			if err := b.node.Send(ctx, h.Peer, wire.TypeBeat, own); err != nil && ctx.Err() == nil {
				b.hosts.Reachable(h.Name, err)
			}
		}()
	}
}

func (b *beats) receive(_ context.Context, r *wire.Request) {
	var m beat
	if err := r.Decode(&m); err != nil {
		logging.Emit(logging.BeatRejected, logging.Fields{"from": r.From, "error": err})
		return
	}
	now := time.Now()
	b.mu.Lock()
	b.last[m.Host] = heard{beat: m, at: now}
	b.mu.Unlock()
	b.hosts.Reachable(m.Host, nil)
	b.hosts.Leaving(m.Host, m.Draining)
	b.servers.SetRemote(m.Host, m.InFlight, now)
	b.compare(m, now)
}

// lag is a change that a peer has seen and this host has not.
type lag struct {
	revision uint64
	since    time.Time
}

// compare reads feeds again that lag behind a peer: a watch can go deaf while its connection lives.
func (b *beats) compare(m beat, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind, revision := range m.Seen {
		f, ok := b.feeds[kind]
		if !ok {
			continue
		}
		l, lagging := b.behind[kind]
		if lagging && f.Complete(l.revision) {
			delete(b.behind, kind)
			lagging = false
		}
		switch {
		case f.Complete(revision):
		case !lagging:
			b.behind[kind] = lag{revision: revision, since: now}
		case now.Sub(l.since) >= f.lag():
			delete(b.behind, kind)
			logging.Emit(logging.FeedLags, logging.Fields{"kind": kind, "peer": m.Host, "seen": f.Changed(), "peer_seen": revision})
			f.Reread()
		}
	}
}

// check marks hosts from which no beat arrives. Hosts send beats only to those that are listed, so a host that is not
// listed yet, or no longer, learns nothing from their absence.
func (b *beats) check(started time.Time, interval time.Duration) {
	now := time.Now()
	limit := missedBeats * interval
	if now.Sub(started) < limit || b.hosts.Draining() || b.hosts.Age(b.self.Name) < limit {
		return
	}
	for _, h := range b.hosts.All() {
		if h.Name == b.self.Name || b.hosts.Age(h.Name) < limit {
			continue
		}
		b.mu.Lock()
		last, ok := b.last[h.Name]
		b.mu.Unlock()
		if !ok || now.Sub(last.at) > limit {
			b.hosts.Reachable(h.Name, errors.Newf("no beat for %s", limit))
		}
	}
}

const (
	// relayTimeout bounds a store call through a peer.
	relayTimeout = time.Second
	// relayPeers is how many peers are asked.
	relayPeers = 2
)

// relay makes a store call through a peer that has the store.
func (b *beats) relay(ctx context.Context, q objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return relay.Call(ctx, b.node, b.storePeers(), q)
}

// storeReachable reports whether this host or a peer has the store.
func (b *beats) storeReachable() bool { return b.storeUp() || len(b.storePeers()) > 0 }

// storePeers returns the addresses of hosts that said lately that they have the store.
func (b *beats) storePeers() []string {
	var out []string
	for _, h := range fleet.Ranked(b.hosts.Live(), b.self.Name) {
		b.mu.Lock()
		last, ok := b.last[h.Name]
		b.mu.Unlock()
		fresh := ok && last.beat.StoreUp && time.Since(last.at) < missedBeats*beatEvery
		if fresh && h.Name != b.self.Name && len(out) < relayPeers {
			out = append(out, h.Peer)
		}
	}
	if len(out) > 0 || b.heardAny() {
		return out
	}
	// A host that has just started, or that is not listed, hears no beats.
	for _, seed := range b.seeds {
		if seed != b.self.Peer {
			out = append(out, seed)
		}
	}
	return out
}

// heardOf returns the hosts that sent beats lately and are not about to leave, listed or not.
func (b *beats) heardOf() []fleet.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []fleet.Host
	for name, h := range b.last {
		if !h.beat.Draining && time.Since(h.at) < presumeFor {
			out = append(out, fleet.Host{Name: name, Incarnation: h.beat.Incarnation})
		}
	}
	return out
}

// heardAny reports whether beats of other hosts arrive.
func (b *beats) heardAny() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.last {
		if time.Since(h.at) < missedBeats*beatEvery {
			return true
		}
	}
	return false
}
