package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/core/ratelimit"
	"github.com/hyssopreel/hyssopreel/service/relay"
)

const (
	// heartbeatTimeout bounds one exchange of heartbeats. It is shorter than the time to connect, so that a host counts as
	// unreachable at once only if it refuses a connection.
	heartbeatTimeout = 400 * time.Millisecond
	// answeredIntervals is the number of intervals within which a heartbeat of a host makes one to it unnecessary.
	answeredIntervals = 1.5
	// introductionsPerDomain is the number of hosts of each failure domain to which a host that finds itself in the list
	// introduces itself: twice those that account for programs, in case lists differ.
	introductionsPerDomain = 2 * fleet.PrimariesPerDomain
	// maxInformerLag is how much later than a peer an informer may observe a change before it relists, in addition
	// to its batch delay.
	maxInformerLag = 300 * time.Millisecond
)

// heartbeat is the message that two hosts exchange at every interval: one sends it, the other answers with its own.
type heartbeat struct {
	Host        string
	Incarnation string
	Draining    bool
	// StoreAvailable is set if the store answered the host's last call.
	StoreAvailable bool `msgpack:"StoreUp"`
	// PolledFor is how long the host has listed the configuration or the servers from the store without a break, and
	// PolledAge the time since the last list; 0 if it lists neither.
	PolledFor time.Duration `msgpack:",omitempty"`
	PolledAge time.Duration `msgpack:",omitempty"`
	// Revisions holds the revision of the newest object that the host has observed, by kind.
	Revisions map[string]uint64 `msgpack:"Seen"`
	// InFlight holds the number of the host's active requests, by backend server. It is nil unless both hosts may serve
	// callers.
	InFlight map[string]int
	// RateLimits holds the rate limits of servers that the host knows.
	RateLimits []serverLimit `msgpack:",omitempty"`
	// Poison holds records of requests that end servers: those that changed lately, or all if the other host lacks some.
	// PoisonDigest is the digest of the host's table.
	Poison       []poison.Record `msgpack:",omitempty"`
	PoisonDigest uint64          `msgpack:",omitempty"`
	// Unreachable holds the names of the hosts that the host does not reach.
	Unreachable []string `msgpack:",omitempty"`
	// Sections holds the parts of the heartbeat that belong to other components, by the name of the section.
	Sections map[string][]byte `msgpack:",omitempty"`
}

// heartbeater exchanges heartbeats with other hosts. They show which hosts are reachable, which informers lag behind,
// and how many requests are in progress at each server.
type heartbeater struct {
	self           fleet.Host
	hosts          *Hosts
	node           *wire.Node
	servers        *Servers
	informers      map[string]*Informer // by kind
	storeAvailable func() bool
	// seeds are the peer addresses from the settings, used while no other hosts are known.
	seeds  []string
	poison *poisonRecords
	// polled returns PolledFor and PolledAge of this host's heartbeats; nil is 0.
	polled func(now time.Time) (polledFor, age time.Duration)
	// contact records when the store answered peers; nil is not recorded.
	contact *storeContact
	// sections are the parts of heartbeats that other components encode and merge. They are added before run.
	sections []HeartbeatSection
	// onTick is called at every interval.
	onTick func()

	mu sync.Mutex
	// storeReported holds whether a host reported the store available in its last heartbeat.
	storeReported map[string]bool
	lags          map[string]informerLag // by kind
	// polls holds since when each host has listed the servers without a break, by its last heartbeat.
	polls map[string]pollReport
	// poisonDigests holds the digest in each host's last heartbeat.
	poisonDigests map[string]uint64
}

// pollReport is what a heartbeat says of a host's lists.
type pollReport struct{ since, heardAt time.Time }

func newHeartbeater(self fleet.Host, hosts *Hosts, node *wire.Node, servers *Servers, storeAvailable func() bool, seeds []string) *heartbeater {
	b := &heartbeater{
		self: self, hosts: hosts, node: node, servers: servers, storeAvailable: storeAvailable, seeds: seeds, onTick: func() {},
		informers: map[string]*Informer{}, storeReported: map[string]bool{}, lags: map[string]informerLag{}, poisonDigests: map[string]uint64{}, polls: map[string]pollReport{},
		poison: newPoisonRecords(time.Now),
	}
	node.Handle(wire.TypeEntryHeartbeat, b.receive)
	return b
}

func (b *heartbeater) run(ctx context.Context) {
	for {
		b.exchangeAll(ctx, b.due())
		if !b.hosts.SelfDraining() {
			b.hosts.Tick()
			b.onTick()
			for _, informer := range b.informers {
				informer.CheckSource()
			}
		}
		select {
		case <-time.After(b.hosts.Interval()):
		case <-b.poison.changed:
		case <-b.hosts.selfListed:
			b.introduce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// due returns the targets except those that have exchanged heartbeats with this host lately: of two hosts of the mesh,
// the one that is first by name starts the exchange as long as the other one hears of it.
func (b *heartbeater) due() []fleet.Host {
	answered := time.Duration(answeredIntervals * float64(b.hosts.Interval()))
	inMesh := b.hosts.Roles().InMesh
	var out []fleet.Host
	for _, h := range b.hosts.Targets() {
		if !inMesh || h.Name > b.self.Name || !b.hosts.HeardWithin(h.Name, answered) {
			out = append(out, h)
		}
	}
	return out
}

// introduce sends heartbeats to all hosts that may account for programs by their lists. Without it, a host whose list
// lacks this one would not know of it while the store is unavailable.
func (b *heartbeater) introduce(ctx context.Context) {
	b.exchangeAll(ctx, fleet.Largest(b.hosts.All(), introductionsPerDomain))
}

// broadcast sends heartbeats to all targets.
func (b *heartbeater) broadcast(ctx context.Context) { b.exchangeAll(ctx, b.hosts.Targets()) }

// exchangeAll exchanges heartbeats with the hosts. It does not wait for the answers.
func (b *heartbeater) exchangeAll(ctx context.Context, hosts []fleet.Host) {
	if len(hosts) == 0 {
		return
	}
	isMesh := b.meshNames()
	inFlight := b.servers.InFlightByServer()
	base := b.message()
	base.Sections = b.encodeSections()
	for _, h := range hosts {
		if h.Name == b.self.Name {
			continue
		}
		message := base
		if isMesh[h.Name] {
			message.InFlight = inFlight
		}
		if b.lacksPoison(h.Name, message.PoisonDigest) {
			message.Poison = b.poison.all()
		}
		go b.exchange(ctx, h, message)
	}
}

// exchangeAndWait exchanges heartbeats with the hosts and waits for the answers, at most heartbeatTimeout.
func (b *heartbeater) exchangeAndWait(ctx context.Context, hosts []fleet.Host) {
	message := b.message()
	message.Sections = b.encodeSections()
	var group sync.WaitGroup
	for _, h := range hosts {
		if h.Name != b.self.Name {
			group.Go(func() { b.exchange(ctx, h, message) })
		}
	}
	group.Wait()
}

// exchange sends a heartbeat and handles the answer. A host that accepts no connection is unreachable at once; one that
// does not answer is only after several intervals.
func (b *heartbeater) exchange(ctx context.Context, h fleet.Host, message heartbeat) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answer heartbeat
	requestedAt := clock.SinceBoot()
	err := b.node.Call(callCtx, h.PeerAddress, wire.TypeEntryHeartbeat, message, &answer)
	switch {
	case err == nil && answer.validate() == nil:
		if b.handle(answer) {
			b.mergeSections(answer, requestedAt)
		}
	case err != nil && callCtx.Err() == nil:
		b.hosts.Fail(h.Name, err)
	}
}

// lacksPoison reports whether the last heartbeat of the host showed another digest.
func (b *heartbeater) lacksPoison(host string, digest uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	last, ok := b.poisonDigests[host]
	return ok && last != digest
}

// message returns this host's heartbeat without its active requests.
func (b *heartbeater) message() heartbeat {
	message := heartbeat{
		Host:           b.self.Name,
		Incarnation:    b.self.Incarnation,
		Draining:       b.hosts.SelfDraining(),
		StoreAvailable: b.storeAvailable(),
		Revisions:      make(map[string]uint64, len(b.informers)),
		Unreachable:    b.hosts.Unreachable(),
		RateLimits:     b.servers.RateLimits(),
	}
	message.Poison, message.PoisonDigest = b.poison.recent()
	if b.polled != nil {
		message.PolledFor, message.PolledAge = b.polled(time.Now())
	}
	for kind, informer := range b.informers {
		if revision := informer.NewestRevision(); revision > 0 {
			message.Revisions[kind] = uint64(revision)
		}
	}
	return message
}

// meshNames returns the names of the other hosts of the mesh, or nil if this host is not in it.
func (b *heartbeater) meshNames() map[string]bool {
	roles := b.hosts.Roles()
	if !roles.InMesh && !b.hosts.SelfDraining() {
		return nil
	}
	names := make(map[string]bool, len(roles.Mesh))
	for _, h := range roles.Mesh {
		names[h.Name] = true
	}
	return names
}

// receive handles another host's heartbeat and answers with this host's.
func (b *heartbeater) receive(_ context.Context, r *wire.Request) {
	var message heartbeat
	err := r.Decode(&message)
	if err == nil {
		err = message.validate()
	}
	if err != nil {
		logging.Emit(logging.HeartbeatRejected, logging.Fields{"from": r.From, "error": err})
		if !r.OneWay() {
			_ = r.Fail(err) // fails only if the sender is gone
		}
		return
	}
	if b.handle(message) {
		b.mergeSections(message, 0)
	}
	if r.OneWay() {
		return
	}
	answer := b.message()
	answer.Sections = b.encodeSections()
	if answer.PoisonDigest != message.PoisonDigest {
		answer.Poison = b.poison.all()
	}
	if b.meshNames()[message.Host] {
		answer.InFlight = b.servers.InFlightByServer()
	}
	_ = r.Answer(answer) // fails only if the sender no longer waits
}

// validate rejects a heartbeat that no host sends.
func (m heartbeat) validate() error {
	if m.Host == "" || m.Incarnation == "" {
		return errors.Newf("heartbeat without host %q or incarnation %q", m.Host, m.Incarnation)
	}
	for server, n := range m.InFlight {
		if n < 0 {
			return errors.Newf("heartbeat of host %q with %d requests at server %q", m.Host, n, server)
		}
	}
	for _, limit := range m.RateLimits {
		if !(limit.PerSecond >= 0 && limit.PerSecond <= ratelimit.MaxPerSecond) || limit.Age < 0 {
			return errors.Newf("heartbeat of host %q with a rate limit of %v, %v old, of server %q", m.Host, limit.PerSecond, limit.Age, limit.Server)
		}
	}
	if m.PolledAge < 0 || m.PolledAge > m.PolledFor {
		return errors.Newf("heartbeat of host %q with lists for %v, the last one %v ago", m.Host, m.PolledFor, m.PolledAge)
	}
	if len(m.Sections) > maxHeartbeatSections {
		return errors.Newf("heartbeat of host %q with %d sections", m.Host, len(m.Sections))
	}
	return validatePoisonRecords(m.Poison)
}

// handle applies a heartbeat. It reports false if the heartbeat is of a former incarnation.
func (b *heartbeater) handle(message heartbeat) bool {
	report := fleet.Heartbeat{Name: message.Host, Incarnation: message.Incarnation, Draining: message.Draining, Unreachable: message.Unreachable}
	if !b.hosts.Hear(report) {
		return false
	}
	now := time.Now()
	b.mu.Lock()
	b.storeReported[message.Host] = message.StoreAvailable
	b.poisonDigests[message.Host] = message.PoisonDigest
	delete(b.polls, message.Host)
	if message.PolledFor > 0 {
		b.polls[message.Host] = pollReport{since: now.Add(-message.PolledFor), heardAt: now}
		if b.contact != nil {
			b.contact.observe(now.Add(-message.PolledFor), now.Add(-message.PolledAge))
		}
	}
	b.mu.Unlock()
	if message.InFlight != nil {
		b.servers.SetHostLoad(message.Host, message.InFlight, now)
		b.servers.SetHostInDomain(message.Host, b.hosts.inOwnDomain(message.Host))
	}
	b.poison.merge(message.Poison, message.Host)
	b.servers.MergeRateLimits(message.RateLimits, message.Host)
	b.detectLag(message, now)
	return true
}

// polledByPeer reports whether a peer has listed the servers without a break from the first time on, by a heartbeat that
// arrived after the second one.
func (b *heartbeater) polledByPeer(from, heardAfter time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, report := range b.polls {
		if report.since.Before(from) && report.heardAt.After(heardAfter) {
			return true
		}
	}
	return false
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
			informer.RelistFrom(b.hosts.PeerAddress(message.Host))
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
	recent := b.hosts.Timeout()
	var out []string
	heardAny := false
	for _, h := range fleet.RendezvousOrder(b.hosts.Targets(), b.self.Name) {
		if !b.hosts.HeardWithin(h.Name, recent) {
			continue
		}
		heardAny = true
		b.mu.Lock()
		usable := b.storeReported[h.Name]
		b.mu.Unlock()
		if usable && len(out) < maxRelayPeers {
			out = append(out, h.PeerAddress)
		}
	}
	if heardAny {
		return out
	}
	// A host that has just started knows no others.
	return b.otherSeeds()
}

// otherSeeds returns the seeds without this host.
func (b *heartbeater) otherSeeds() []string {
	var out []string
	for _, seed := range b.seeds {
		if seed != b.self.PeerAddress {
			out = append(out, seed)
		}
	}
	return out
}
