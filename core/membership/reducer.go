package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/event"
)

const (
	// renewRetries is the number of times that a failed renewal is tried again in one renewal period; the
	// lease has to be renewed soon after an outage, before other hosts count it as expired.
	renewRetries = 4
	// scanLeases is the period of the scan of all leases, in lease durations. The scan finds dead hosts
	// that no finger peer watches.
	scanLeases = 10
	// maxCandidates bounds the heirs that read the lease of a suspected host; further hosts move up when
	// a candidate is suspected itself.
	maxCandidates = 3
	// askEvery is the pause between requests to heirs during a handover.
	askEvery = time.Second
	// adoptRetry is the pause before a failed adoption is tried again.
	adoptRetry = time.Second
	// claimRetry is the pause after a claim whose result is not known.
	claimRetry = time.Second
)

// peer is what a host knows of another one.
type peer struct {
	record Member
	// heard is when a frame of the host last arrived, or when this host began to watch it.
	heard     clock.Millis
	watched   bool // it is a finger peer
	suspected bool
	// differs is true after one heartbeat with another digest of the member list. Records in flight cause
	// short differences, so only the second one in a row starts an exchange.
	differs bool
	seen    observation
	// Times of the takeover.
	reading   bool
	claiming  bool
	nextRead  clock.Millis
	handover  bool // asked to adopt without waiting for the lease to expire
	scanFound bool // suspected by the scan of leases
}

// observation is a version of a lease and the time since which the lease is known to have it.
type observation struct {
	version objectapi.Version
	since   clock.Millis
}

// adoption is a journal whose claim this host has won.
type adoption struct {
	journal   ids.Journal
	inherited []ids.Journal
	running   bool
	marking   bool // adopted; the lease is being marked
	retryAt   clock.Millis
}

// Reducer is the membership of one host. It implements core.Subsystem.
type Reducer struct {
	settings Settings
	started  bool
	deposed  bool
	self     Member
	peers    map[ids.Host]*peer // without self

	lease      Lease
	version    objectapi.Version
	validUntil clock.Millis
	tagPrefix  string
	tags       uint64
	renewing   bool
	nextRenew  clock.Millis
	// storeUp is false from a failed renewal until the next successful one; storeSince is when that was.
	storeUp    bool
	storeSince clock.Millis

	handover   bool // requested
	handedOver bool
	asked      uint64 // requests to heirs so far
	nextAsk    clock.Millis

	lastTick  clock.Millis
	nextBeat  clock.Millis
	nextScan  clock.Millis
	listing   bool
	listAgain bool
	adoptions []*adoption
	// owned holds the journals that this incarnation has claimed, finished or not.
	owned map[ids.Journal]bool

	viewDirty bool
	effects   []event.Effect
	// Derived from the records and computed again after a change of one, because every heartbeat and tick needs
	// them: sorting 370 records takes about 0.2 ms.
	derived *derived
}

// derived is what follows from the records alone.
type derived struct {
	members []Member // sorted by name; shared and not changed
	peers   []*peer  // in the order of members
	fingers []ids.Host
	digest  uint64
}

// New returns the reducer of a host that has not started.
func New() *Reducer {
	return &Reducer{peers: map[ids.Host]*peer{}, owned: map[ids.Journal]bool{}}
}

// Reduce implements core.Subsystem.
func (r *Reducer) Reduce(at clock.Millis, ev event.Event) []event.Effect {
	r.effects = nil
	if e, ok := ev.(Started); ok {
		*r = *New()
		r.start(at, e)
	} else if r.started && !r.deposed {
		r.reduce(at, ev)
	}
	if r.viewDirty {
		r.viewDirty = false
		r.emit(ViewChanged{Members: r.members(), Suspected: r.suspects()})
	}
	out := r.effects
	r.effects = nil
	return out
}

func (r *Reducer) reduce(at clock.Millis, ev event.Event) {
	switch e := ev.(type) {
	case Ticked:
		r.tick(at, e)
	case Heard:
		r.heard(at, e.Beat)
	case FrameHeard:
		if p := r.peers[e.Host]; p != nil && p.record.State != StateGone {
			r.alive(at, p)
		}
	case PeerDown:
		r.peerDown(at, e.Address)
	case RecordsReceived:
		r.records(at, e.Records)
	case SuspicionReceived:
		r.suspicion(at, e.Suspicion)
	case LeaseWritten:
		r.leaseWritten(at, e)
	case LeaseWriteFailed:
		r.renewing = false
		r.nextRenew = at.Add(r.settings.Renew / renewRetries)
		r.storeDown()
	case LeaseConflicted:
		r.leaseConflicted(at, e.Found)
	case LeaseRead:
		r.leaseRead(at, e)
	case LeasesListed:
		r.leasesListed(at, e)
	case ClaimFinished:
		r.claimFinished(at, e)
	case JournalAdopted:
		r.journalAdopted(at, e)
	case AdoptionMarked:
		r.adoptionMarked(e)
	case DrainRequested:
		r.drain()
	case HandoverRequested:
		r.drain()
		r.handover = true
		r.nextRenew = at
	case HandoverAsked:
		if p := r.peers[e.Host]; p != nil && p.record.State != StateGone {
			p.handover = true
			p.nextRead = at
		}
	}
}

func (r *Reducer) emit(effects ...event.Effect) { r.effects = append(r.effects, effects...) }

func (r *Reducer) start(at clock.Millis, e Started) {
	r.settings = e.Settings.WithDefaults()
	r.self, r.lease, r.version, r.tagPrefix = e.Self, e.Lease, e.Version, e.TagPrefix
	r.started, r.storeUp, r.storeSince = true, true, at
	r.lastTick, r.nextBeat = at, at
	r.nextRenew = e.SentAt.Add(r.settings.Renew)
	// Hosts that start together scan at different times: between 0.5 and 1.5 periods after the start.
	period := scanLeases * r.settings.Lease
	r.nextScan = at.Add(period/2 + time.Duration(xxhash.Sum64String(string(r.self.Name))%1000)*period/1000)
	r.setValid(e.SentAt.Add(r.settings.Lease))
	for _, m := range e.Members {
		if m.Name != r.self.Name {
			r.peers[m.Name] = &peer{record: m, heard: at}
		}
	}
	for _, c := range r.lease.Earlier {
		if c.Heir == r.self.Journal {
			r.adopt(c.Journal, c.Inherited)
		}
	}
	r.watch(at)
	r.announce()
	// Leases may be marked as being adopted by an earlier incarnation of this host.
	if len(r.adoptions) > 0 {
		r.list()
	}
}

// tick does everything that is due.
func (r *Reducer) tick(at clock.Millis, e Ticked) {
	// A host that was paused itself has not listened, so silence and unchanged leases prove nothing.
	if at.Sub(r.lastTick) > r.settings.SuspectAfter/2 {
		r.forgetObservations(at)
	}
	r.lastTick = at
	if at >= r.nextRenew && !r.renewing && !r.handedOver {
		r.renew()
	}
	if at >= r.nextBeat {
		r.nextBeat = at.Add(r.settings.Heartbeat)
		r.beat()
	}
	r.suspect(at)
	r.takeOver(at)
	r.runAdoptions(at)
	r.askHeir(at)
	if at >= r.nextScan && r.storeUp && !r.leaving() {
		period := scanLeases * r.settings.Lease
		// Between 0.75 and 1.25 periods.
		r.nextScan = at.Add(period*3/4 + time.Duration(e.Draw%1000)*period/2000)
		r.list()
	}
}

func (r *Reducer) leaving() bool { return r.self.State != StateUp }

// forgetObservations restarts all waits for silence and for unchanged leases.
func (r *Reducer) forgetObservations(at clock.Millis) {
	for _, p := range r.peers {
		p.heard = at
		p.seen = observation{}
	}
}

// announce publishes a change of the own record.
func (r *Reducer) announce() {
	r.changed()
	r.emit(WriteMember{Member: r.self})
	r.flood([]Member{r.self})
}

// flood sends records to the finger peers.
func (r *Reducer) flood(records []Member) {
	for _, h := range r.fingers() {
		r.emit(SendRecords{Address: r.peers[h].record.PeerAddress, Records: records})
	}
}

// changed takes note of a change of a record or of a suspicion.
func (r *Reducer) changed() {
	r.viewDirty = true
	r.derived = nil
}

func (r *Reducer) derive() *derived {
	if r.derived != nil {
		return r.derived
	}
	d := &derived{members: make([]Member, 0, len(r.peers)+1)}
	d.members = append(d.members, r.self)
	for _, p := range r.peers {
		d.members = append(d.members, p.record)
	}
	slices.SortFunc(d.members, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	var ring []ids.Host
	for _, m := range d.members {
		if p := r.peers[m.Name]; p != nil {
			d.peers = append(d.peers, p)
		}
		// Hosts that are gone are not on the ring; suspected ones are, so that their return is noticed.
		if m.State != StateGone && (m.PeerAddress != "" || m.Name == r.self.Name) {
			ring = append(ring, m.Name)
		}
	}
	d.fingers, d.digest = Fingers(r.self.Name, ring), Digest(d.members)
	r.derived = d
	return d
}

// members returns all records sorted by name. The result is shared and not to be changed.
func (r *Reducer) members() []Member { return r.derive().members }

func (r *Reducer) sortedPeers() []*peer { return r.derive().peers }

func (r *Reducer) suspects() []ids.Host {
	var out []ids.Host
	for _, p := range r.sortedPeers() {
		if p.suspected {
			out = append(out, p.record.Name)
		}
	}
	return out
}

// candidates returns the members that may take work over: in state up and not suspected.
func (r *Reducer) candidates() []Member {
	return slices.DeleteFunc(slices.Clone(r.members()), func(m Member) bool {
		p := r.peers[m.Name]
		return m.State != StateUp || p != nil && p.suspected
	})
}

// heirRank returns the rank of this host among the heirs of a journal; -1 if it is not one of them.
func (r *Reducer) heirRank(j ids.Journal) int {
	return slices.IndexFunc(Rank("heir:"+string(j), r.candidates()), func(m Member) bool { return m.Name == r.self.Name })
}

// fingers returns the finger peers.
func (r *Reducer) fingers() []ids.Host { return r.derive().fingers }

// watch starts the watch of new finger peers.
func (r *Reducer) watch(at clock.Millis) {
	fingers := r.fingers()
	for h, p := range r.peers {
		on := slices.Contains(fingers, h)
		if on && !p.watched {
			p.heard = at
		}
		p.watched = on
	}
}

// Lease.

func (r *Reducer) setValid(until clock.Millis) {
	if r.lease.State != LeaseHeld {
		until = 0
	}
	r.validUntil = until
	r.emit(LeaseChanged{ValidUntil: until, Version: r.version})
}

func (r *Reducer) renew() {
	r.tags++
	next := r.lease
	next.Tag = r.tagPrefix + "-" + strconv.FormatUint(r.tags, 10)
	if r.handover {
		// Effects stop before the store can show the handover to an heir.
		next.State = LeaseHandover
		r.validUntil = 0
		r.emit(LeaseChanged{Version: r.version})
	}
	r.renewing = true
	r.emit(RenewLease{Lease: next, Expected: r.version})
}

func (r *Reducer) leaseWritten(at clock.Millis, e LeaseWritten) {
	r.renewing = false
	r.lease, r.version = e.Lease, e.Version
	r.nextRenew = e.SentAt.Add(r.settings.Renew)
	// The peers learn the new version at once. If this host dies before they do, its heir observes the
	// lease only from the suspicion on, which makes the takeover 2 s longer.
	r.nextBeat = at
	r.storeBack(at)
	if r.lease.State == LeaseHandover {
		r.handedOver = true
		r.nextAsk = at
	}
	r.setValid(e.SentAt.Add(r.settings.Lease))
}

// leaseConflicted tells an own write whose answer was lost, and a change of the earlier claims by an heir,
// from the loss of the lease. The former two keep a tag of this process.
func (r *Reducer) leaseConflicted(at clock.Millis, found LeaseObject) {
	r.renewing = false
	l := found.Lease
	own := found.Version != 0 && l.Incarnation == r.self.Incarnation && r.ownTag(l.Tag)
	switch {
	case own && (l.State == LeaseHeld || l.State == LeaseHandover):
		r.storeBack(at)
		r.lease, r.version = l, found.Version
		// The next write extends the lease: the time at which the lost one was sent is not kept.
		r.nextRenew = at
		if l.State == LeaseHandover {
			r.handedOver = true
			r.nextAsk = at
		}
	case r.handover && found.Version != 0 && l.Incarnation == r.self.Incarnation:
		r.handedOver = true
		r.nextAsk = at
	default:
		r.depose("lease changed by another host: incarnation " + strconv.FormatUint(l.Incarnation, 10) +
			", state " + string(l.State) + ", heir " + string(l.Heir))
	}
}

func (r *Reducer) ownTag(tag string) bool {
	return len(tag) > len(r.tagPrefix) && tag[:len(r.tagPrefix)+1] == r.tagPrefix+"-"
}

func (r *Reducer) depose(reason string) {
	r.deposed = true
	r.setValid(0)
	r.emit(Depose{Reason: reason})
}

func (r *Reducer) storeDown() {
	if !r.storeUp {
		return
	}
	r.storeUp = false
	for _, p := range r.peers {
		p.seen = observation{}
	}
	r.emit(StoreChanged{Reachable: false})
}

func (r *Reducer) storeBack(at clock.Millis) {
	if r.storeUp {
		return
	}
	r.storeUp = true
	r.storeSince = at
	r.emit(StoreChanged{Reachable: true})
}

// Heartbeats and suspicion.

func (r *Reducer) beat() {
	digest := r.derive().digest
	for _, h := range r.fingers() {
		p := r.peers[h]
		r.emit(SendHeartbeat{Host: h, Address: p.record.PeerAddress, Beat: Heartbeat{
			Host:         r.self.Name,
			Incarnation:  r.self.Incarnation,
			LeaseVersion: r.version,
			Members:      digest,
			Suspected:    p.suspected,
		}})
	}
}

func (r *Reducer) heard(at clock.Millis, b Heartbeat) {
	p := r.peers[b.Host]
	if p == nil || b.Incarnation != p.record.Incarnation || p.record.State == StateGone {
		// The digests differ; the records follow with an exchange.
		if p != nil && b.Incarnation > p.record.Incarnation {
			r.emit(ExchangeRecords{Address: p.record.PeerAddress})
		}
		return
	}
	r.alive(at, p)
	if b.LeaseVersion >= p.seen.version {
		// Not before the return of the store: what was observed during an outage proves nothing.
		p.seen = observation{version: b.LeaseVersion, since: at}
	}
	if b.Suspected {
		r.refute()
	}
	differs := b.Members != r.derive().digest
	if differs && p.differs {
		r.emit(ExchangeRecords{Address: p.record.PeerAddress})
	}
	p.differs = differs && !p.differs
}

// alive takes note of a sign of life.
func (r *Reducer) alive(at clock.Millis, p *peer) {
	p.heard = at
	if p.suspected {
		p.suspected, p.scanFound = false, false
		r.changed()
	}
}

// refute raises the version of the own record, which clears the suspicion at every host that it reaches.
func (r *Reducer) refute() {
	r.self.Version++
	r.changed()
	r.flood([]Member{r.self})
}

func (r *Reducer) peerDown(at clock.Millis, address string) {
	for _, p := range r.sortedPeers() {
		if p.record.PeerAddress == address && p.record.State != StateGone && !p.suspected {
			r.markSuspected(at, p)
		}
	}
}

func (r *Reducer) suspect(at clock.Millis) {
	for _, p := range r.sortedPeers() {
		if p.watched && !p.suspected && p.record.State != StateGone && at.Sub(p.heard) >= r.settings.SuspectAfter {
			r.markSuspected(at, p)
			r.spread(p, r.suspicionOf(at, p))
		}
	}
}

func (r *Reducer) markSuspected(at clock.Millis, p *peer) {
	p.suspected = true
	p.nextRead = at
	r.changed()
}

func (r *Reducer) spread(p *peer, s Suspicion) {
	for _, h := range r.fingers() {
		if h != p.record.Name {
			r.emit(SendSuspicion{Address: r.peers[h].record.PeerAddress, Suspicion: s})
		}
	}
}

// suspicion takes over a suspicion of another watcher, unless this host has heard the suspected one in the
// meantime.
func (r *Reducer) suspicion(at clock.Millis, s Suspicion) {
	if s.Host == r.self.Name {
		if s.Incarnation == r.self.Incarnation {
			r.refute()
		}
		return
	}
	p := r.peers[s.Host]
	if p == nil || p.record.State == StateGone || p.record.Incarnation != s.Incarnation {
		return
	}
	if !p.suspected && at.Sub(p.heard) < r.settings.SuspectAfter {
		return
	}
	news := r.observedBy(at, p, s)
	if !p.suspected {
		r.markSuspected(at, p)
		news = true
	}
	if news {
		r.spread(p, r.suspicionOf(at, p))
	}
}

// suspicionOf returns the suspicion of a host with what is known of its lease.
func (r *Reducer) suspicionOf(at clock.Millis, p *peer) Suspicion {
	since := p.heard
	if p.seen.version != 0 {
		since = p.seen.since
	}
	return Suspicion{
		Host:         p.record.Name,
		Incarnation:  p.record.Incarnation,
		LeaseVersion: p.seen.version,
		SilentMS:     at.Sub(since).Milliseconds(),
	}
}

// observedBy takes over a peer's observation of a lease if it is of a newer version, or of the same version
// and earlier by a heartbeat. The peer may have heard a later heartbeat than this host. The transit time of
// the message makes its time later than the true one, which is the safe side.
func (r *Reducer) observedBy(at clock.Millis, p *peer, s Suspicion) bool {
	since := at.Add(-time.Duration(s.SilentMS) * time.Millisecond)
	newer := s.LeaseVersion > p.seen.version
	earlier := s.LeaseVersion == p.seen.version && s.LeaseVersion != 0 && p.seen.since.Sub(since) >= r.settings.Heartbeat
	if !newer && !earlier || since < r.storeSince {
		return false
	}
	p.seen = observation{version: s.LeaseVersion, since: since}
	p.nextRead = at
	return true
}

// records merges member records of a peer and passes on those that are new.
func (r *Reducer) records(at clock.Millis, records []Member) {
	var news []Member
	for _, m := range records {
		if m.Name == r.self.Name {
			r.ownRecord(m)
			if r.deposed {
				return
			}
			continue
		}
		if r.merge(at, m) {
			news = append(news, m)
		}
	}
	if len(news) > 0 {
		r.watch(at)
		r.flood(news)
	}
}

// ownRecord handles a record of this host that came from a peer.
func (r *Reducer) ownRecord(m Member) {
	switch {
	case m.Incarnation > r.self.Incarnation, m.Incarnation == r.self.Incarnation && m.State == StateGone && !r.handover:
		// The record is written only after another process has won the lease.
		r.depose("a peer has a record of this host with incarnation " + strconv.FormatUint(m.Incarnation, 10) + " in state " + string(m.State))
	case m.Newer(r.self) && !r.handover:
		r.self.Version = m.Version
		r.refute()
	}
}

// merge takes a record if it is newer.
func (r *Reducer) merge(at clock.Millis, m Member) bool {
	p := r.peers[m.Name]
	if p == nil {
		r.peers[m.Name] = &peer{record: m, heard: at}
		r.changed()
		return true
	}
	if !m.Newer(p.record) {
		return false
	}
	if m.Incarnation > p.record.Incarnation {
		*p = peer{heard: at, watched: p.watched, reading: p.reading, claiming: p.claiming}
	}
	p.record = m
	if m.State == StateGone {
		p.suspected, p.handover, p.scanFound = false, false, false
	} else {
		// A raised version is a sign of life that may have come by way of other hosts.
		r.alive(at, p)
	}
	r.changed()
	return true
}
