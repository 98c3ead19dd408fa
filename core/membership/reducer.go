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
	// leaseScanPeriodLeases is the period of the scan of all leases, in lease durations. The scan finds dead hosts
	// that no finger peer watches.
	leaseScanPeriodLeases = 10
	// maxSuccessorCandidates bounds the heirs that read the lease of a suspected host; further hosts move up when
	// a candidate is suspected itself.
	maxSuccessorCandidates = 3
	// adoptionRequestInterval is the pause between requests to heirs during a handover.
	adoptionRequestInterval = time.Second
	// adoptionRetryDelay is the pause before a failed adoption is tried again.
	adoptionRetryDelay = time.Second
	// claimRetryDelay is the pause after a claim whose result is not known.
	claimRetryDelay = time.Second
)

// peer is what a host knows of another one.
type peer struct {
	record Member
	// lastContact is when a frame of the host last arrived, or when this host began to watch it.
	lastContact clock.Millis
	monitored   bool // it is a finger peer
	suspected   bool
	// digestDiffered is true after one heartbeat with another digest of the member list. Records in flight cause
	// short differences, so only the second one in a row starts an exchange.
	digestDiffered bool
	observedLease  leaseObservation
	// Times of the takeover.
	readingLease      bool
	claimingLease     bool
	nextLeaseRead     clock.Millis
	handoverRequested bool // asked to adopt without waiting for the lease to expire
	suspectedByScan   bool // suspected by the scan of leases
}

// leaseObservation is a version of a lease and the time since which the lease is known to have it.
type leaseObservation struct {
	version objectapi.Version
	since   clock.Millis
}

// adoption is a journal whose claim this host has won.
type adoption struct {
	journal        ids.Journal
	priorAdoptions []ids.Journal
	running        bool
	marking        bool // adopted; the lease is being marked
	nextAttempt    clock.Millis
}

// Reducer is the membership of one host. It implements core.Subsystem.
type Reducer struct {
	settings Settings
	started  bool
	fenced   bool
	self     Member
	peers    map[ids.Host]*peer // without self

	lease           Lease
	leaseVersion    objectapi.Version
	leaseValidUntil clock.Millis
	writeIDPrefix   string
	writeCount      uint64
	renewing        bool
	nextRenew       clock.Millis
	// storeUp is false from a failed renewal until the next successful one; storeSince is when that was.
	storeUp      bool
	storeUpSince clock.Millis

	handoverRequested   bool // requested
	handoverStarted     bool
	adoptionRequests    uint64 // requests to heirs so far
	nextAdoptionRequest clock.Millis

	lastTick      clock.Millis
	nextHeartbeat clock.Millis
	nextLeaseScan clock.Millis
	listingLeases bool
	relistLeases  bool
	adoptions     []*adoption
	// claimedJournals holds the journals that this incarnation has claimed, finished or not.
	claimedJournals map[ids.Journal]bool

	viewDirty bool
	effects   []event.Effect
	// Derived from the records and computed again after a change of one, because every heartbeat and tick needs
	// them: sorting 370 records takes about 0.2 ms.
	cachedSnapshot *memberSnapshot
}

// memberSnapshot is what follows from the records alone.
type memberSnapshot struct {
	members   []Member // sorted by name; shared and not changed
	peers     []*peer  // in the order of members
	neighbors []ids.Host
	digest    uint64
}

// New returns the reducer of a host that has not started.
func New() *Reducer {
	return &Reducer{peers: map[ids.Host]*peer{}, claimedJournals: map[ids.Journal]bool{}}
}

// Reduce implements core.Subsystem.
func (r *Reducer) Reduce(at clock.Millis, ev event.Event) []event.Effect {
	r.effects = nil
	if e, ok := ev.(Started); ok {
		*r = *New()
		r.start(at, e)
	} else if r.started && !r.fenced {
		r.reduce(at, ev)
	}
	if r.viewDirty {
		r.viewDirty = false
		r.emit(ViewChanged{Members: r.members(), Suspected: r.suspectedHosts()})
	}
	out := r.effects
	r.effects = nil
	return out
}

func (r *Reducer) reduce(at clock.Millis, ev event.Event) {
	switch e := ev.(type) {
	case Ticked:
		r.tick(at, e)
	case HeartbeatReceived:
		r.handleHeartbeatReceived(at, e.Heartbeat)
	case FrameReceived:
		if p := r.peers[e.Host]; p != nil && p.record.State != StateGone {
			r.recordContact(at, p)
		}
	case PeerDisconnected:
		r.handlePeerDisconnected(at, e.Address)
	case RecordsReceived:
		r.mergeRecords(at, e.Records)
	case SuspicionReceived:
		r.mergeSuspicion(at, e.Suspicion)
	case LeaseWritten:
		r.handleLeaseWritten(at, e)
	case LeaseWriteFailed:
		r.renewing = false
		r.nextRenew = at.Add(r.settings.RenewInterval / renewRetries)
		r.markStoreDown()
	case LeaseConflicted:
		r.handleLeaseConflicted(at, e.Current)
	case LeaseRead:
		r.handleLeaseRead(at, e)
	case LeasesListed:
		r.handleLeasesListed(at, e)
	case ClaimLeaseCompleted:
		r.handleClaimLeaseCompleted(at, e)
	case JournalAdopted:
		r.journalAdopted(at, e)
	case AdoptionMarked:
		r.adoptionMarked(e)
	case DrainRequested:
		r.drain()
	case HandoverRequested:
		r.drain()
		r.handoverRequested = true
		r.nextRenew = at
	case AdoptionRequested:
		if p := r.peers[e.Host]; p != nil && p.record.State != StateGone {
			p.handoverRequested = true
			p.nextLeaseRead = at
		}
	}
}

func (r *Reducer) emit(effects ...event.Effect) { r.effects = append(r.effects, effects...) }

func (r *Reducer) start(at clock.Millis, e Started) {
	r.settings = e.Settings.WithDefaults()
	r.self, r.lease, r.leaseVersion, r.writeIDPrefix = e.Self, e.Lease, e.Version, e.WriteIDPrefix
	r.started, r.storeUp, r.storeUpSince = true, true, at
	r.lastTick, r.nextHeartbeat = at, at
	r.nextRenew = e.SentAt.Add(r.settings.RenewInterval)
	// Hosts that start together scan at different times: between 0.5 and 1.5 periods after the start.
	period := leaseScanPeriodLeases * r.settings.LeaseDuration
	r.nextLeaseScan = at.Add(period/2 + time.Duration(xxhash.Sum64String(string(r.self.Name))%1000)*period/1000)
	r.setLeaseValidUntil(e.SentAt.Add(r.settings.LeaseDuration))
	for _, m := range e.Members {
		if m.Name != r.self.Name {
			r.peers[m.Name] = &peer{record: m, lastContact: at}
		}
	}
	for _, c := range r.lease.EarlierClaims {
		if c.Successor == r.self.Journal {
			r.enqueueAdoption(c.Journal, c.PriorAdoptions)
		}
	}
	r.updateMonitored(at)
	r.publishOwnRecord()
	// Leases may be marked as being adopted by an earlier incarnation of this host.
	if len(r.adoptions) > 0 {
		r.listLeases()
	}
}

// tick does everything that is due.
func (r *Reducer) tick(at clock.Millis, e Ticked) {
	// A host that was paused itself has not listened, so silence and unchanged leases prove nothing.
	if at.Sub(r.lastTick) > r.settings.SuspectAfter/2 {
		r.resetObservations(at)
	}
	r.lastTick = at
	if at >= r.nextRenew && !r.renewing && !r.handoverStarted {
		r.renewLease()
	}
	if at >= r.nextHeartbeat {
		r.nextHeartbeat = at.Add(r.settings.HeartbeatInterval)
		r.sendHeartbeats()
	}
	r.detectFailures(at)
	r.readSuspectedLeases(at)
	r.startNextAdoption(at)
	r.requestAdoption(at)
	if at >= r.nextLeaseScan && r.storeUp && !r.isDraining() {
		period := leaseScanPeriodLeases * r.settings.LeaseDuration
		// Between 0.75 and 1.25 periods.
		r.nextLeaseScan = at.Add(period*3/4 + time.Duration(e.Random%1000)*period/2000)
		r.listLeases()
	}
}

func (r *Reducer) isDraining() bool { return r.self.State != StateUp }

// resetObservations restarts all waits for silence and for unchanged leases.
func (r *Reducer) resetObservations(at clock.Millis) {
	for _, p := range r.peers {
		p.lastContact = at
		p.observedLease = leaseObservation{}
	}
}

// publishOwnRecord publishes a change of the own record.
func (r *Reducer) publishOwnRecord() {
	r.markViewChanged()
	r.emit(WriteMember{Member: r.self})
	r.gossipRecords([]Member{r.self})
}

// gossipRecords sends records to the finger peers.
func (r *Reducer) gossipRecords(records []Member) {
	for _, h := range r.neighbors() {
		r.emit(SendRecords{Address: r.peers[h].record.PeerAddress, Records: records})
	}
}

// markViewChanged takes note of a change of a record or of a suspicion.
func (r *Reducer) markViewChanged() {
	r.viewDirty = true
	r.cachedSnapshot = nil
}

func (r *Reducer) snapshot() *memberSnapshot {
	if r.cachedSnapshot != nil {
		return r.cachedSnapshot
	}
	d := &memberSnapshot{members: make([]Member, 0, len(r.peers)+1)}
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
	d.neighbors, d.digest = RingNeighbors(r.self.Name, ring), Digest(d.members)
	r.cachedSnapshot = d
	return d
}

// members returns all records sorted by name. The result is shared and not to be changed.
func (r *Reducer) members() []Member { return r.snapshot().members }

func (r *Reducer) sortedPeers() []*peer { return r.snapshot().peers }

func (r *Reducer) suspectedHosts() []ids.Host {
	var out []ids.Host
	for _, p := range r.sortedPeers() {
		if p.suspected {
			out = append(out, p.record.Name)
		}
	}
	return out
}

// successorCandidates returns the members that may take work over: in state up and not suspected.
func (r *Reducer) successorCandidates() []Member {
	return slices.DeleteFunc(slices.Clone(r.members()), func(m Member) bool {
		p := r.peers[m.Name]
		return m.State != StateUp || p != nil && p.suspected
	})
}

// successorRank returns the rank of this host among the heirs of a journal; -1 if it is not one of them.
func (r *Reducer) successorRank(j ids.Journal) int {
	return slices.IndexFunc(RendezvousOrder("heir:"+string(j), r.successorCandidates()), func(m Member) bool { return m.Name == r.self.Name })
}

// neighbors returns the finger peers.
func (r *Reducer) neighbors() []ids.Host { return r.snapshot().neighbors }

// updateMonitored starts the watch of new finger peers.
func (r *Reducer) updateMonitored(at clock.Millis) {
	fingers := r.neighbors()
	for h, p := range r.peers {
		on := slices.Contains(fingers, h)
		if on && !p.monitored {
			p.lastContact = at
		}
		p.monitored = on
	}
}

// Lease.

func (r *Reducer) setLeaseValidUntil(until clock.Millis) {
	if r.lease.State != LeaseHeld {
		until = 0
	}
	r.leaseValidUntil = until
	r.emit(LeaseChanged{ValidUntil: until, Version: r.leaseVersion})
}

func (r *Reducer) renewLease() {
	r.writeCount++
	next := r.lease
	next.WriteID = r.writeIDPrefix + "-" + strconv.FormatUint(r.writeCount, 10)
	if r.handoverRequested {
		// Effects stop before the store can show the handover to an heir.
		next.State = LeaseHandover
		r.leaseValidUntil = 0
		r.emit(LeaseChanged{Version: r.leaseVersion})
	}
	r.renewing = true
	r.emit(RenewLease{Lease: next, ExpectedVersion: r.leaseVersion})
}

func (r *Reducer) handleLeaseWritten(at clock.Millis, e LeaseWritten) {
	r.renewing = false
	r.lease, r.leaseVersion = e.Lease, e.Version
	r.nextRenew = e.SentAt.Add(r.settings.RenewInterval)
	// The peers learn the new version at once. If this host dies before they do, its heir observes the
	// lease only from the suspicion on, which makes the takeover 2 s longer.
	r.nextHeartbeat = at
	r.markStoreUp(at)
	if r.lease.State == LeaseHandover {
		r.handoverStarted = true
		r.nextAdoptionRequest = at
	}
	r.setLeaseValidUntil(e.SentAt.Add(r.settings.LeaseDuration))
}

// handleLeaseConflicted tells an own write whose answer was lost, and a change of the earlier claims by an heir,
// from the loss of the lease. The former two keep a tag of this process.
func (r *Reducer) handleLeaseConflicted(at clock.Millis, found LeaseObject) {
	r.renewing = false
	l := found.Lease
	own := found.Version != 0 && l.Incarnation == r.self.Incarnation && r.isOwnWriteID(l.WriteID)
	switch {
	case own && (l.State == LeaseHeld || l.State == LeaseHandover):
		r.markStoreUp(at)
		r.lease, r.leaseVersion = l, found.Version
		// The next write extends the lease: the time at which the lost one was sent is not kept.
		r.nextRenew = at
		if l.State == LeaseHandover {
			r.handoverStarted = true
			r.nextAdoptionRequest = at
		}
	case r.handoverRequested && found.Version != 0 && l.Incarnation == r.self.Incarnation:
		r.handoverStarted = true
		r.nextAdoptionRequest = at
	default:
		r.markFenced("lease changed by another host: incarnation " + strconv.FormatUint(l.Incarnation, 10) +
			", state " + string(l.State) + ", heir " + string(l.Successor))
	}
}

func (r *Reducer) isOwnWriteID(tag string) bool {
	return len(tag) > len(r.writeIDPrefix) && tag[:len(r.writeIDPrefix)+1] == r.writeIDPrefix+"-"
}

func (r *Reducer) markFenced(reason string) {
	r.fenced = true
	r.setLeaseValidUntil(0)
	r.emit(Fenced{Reason: reason})
}

func (r *Reducer) markStoreDown() {
	if !r.storeUp {
		return
	}
	r.storeUp = false
	for _, p := range r.peers {
		p.observedLease = leaseObservation{}
	}
	r.emit(StoreAvailabilityChanged{Reachable: false})
}

func (r *Reducer) markStoreUp(at clock.Millis) {
	if r.storeUp {
		return
	}
	r.storeUp = true
	r.storeUpSince = at
	r.emit(StoreAvailabilityChanged{Reachable: true})
}

// Heartbeats and suspicion.

func (r *Reducer) sendHeartbeats() {
	digest := r.snapshot().digest
	for _, h := range r.neighbors() {
		p := r.peers[h]
		r.emit(SendHeartbeat{Host: h, Address: p.record.PeerAddress, Heartbeat: Heartbeat{
			Host:             r.self.Name,
			Incarnation:      r.self.Incarnation,
			LeaseVersion:     r.leaseVersion,
			MembersDigest:    digest,
			SuspectsReceiver: p.suspected,
		}})
	}
}

func (r *Reducer) handleHeartbeatReceived(at clock.Millis, b Heartbeat) {
	p := r.peers[b.Host]
	if p == nil || b.Incarnation != p.record.Incarnation || p.record.State == StateGone {
		// The digests differ; the records follow with an exchange.
		if p != nil && b.Incarnation > p.record.Incarnation {
			r.emit(ExchangeRecords{Address: p.record.PeerAddress})
		}
		return
	}
	r.recordContact(at, p)
	if b.LeaseVersion >= p.observedLease.version {
		// Not before the return of the store: what was observed during an outage proves nothing.
		p.observedLease = leaseObservation{version: b.LeaseVersion, since: at}
	}
	if b.SuspectsReceiver {
		r.refute()
	}
	differs := b.MembersDigest != r.snapshot().digest
	if differs && p.digestDiffered {
		r.emit(ExchangeRecords{Address: p.record.PeerAddress})
	}
	p.digestDiffered = differs && !p.digestDiffered
}

// recordContact takes note of a sign of life.
func (r *Reducer) recordContact(at clock.Millis, p *peer) {
	p.lastContact = at
	if p.suspected {
		p.suspected, p.suspectedByScan = false, false
		r.markViewChanged()
	}
}

// refute raises the version of the own record, which clears the suspicion at every host that it reaches.
func (r *Reducer) refute() {
	r.self.Version++
	r.markViewChanged()
	r.gossipRecords([]Member{r.self})
}

func (r *Reducer) handlePeerDisconnected(at clock.Millis, address string) {
	for _, p := range r.sortedPeers() {
		if p.record.PeerAddress == address && p.record.State != StateGone && !p.suspected {
			r.markSuspected(at, p)
		}
	}
}

func (r *Reducer) detectFailures(at clock.Millis) {
	for _, p := range r.sortedPeers() {
		if p.monitored && !p.suspected && p.record.State != StateGone && at.Sub(p.lastContact) >= r.settings.SuspectAfter {
			r.markSuspected(at, p)
			r.gossipSuspicion(p, r.suspicionOf(at, p))
		}
	}
}

func (r *Reducer) markSuspected(at clock.Millis, p *peer) {
	p.suspected = true
	p.nextLeaseRead = at
	r.markViewChanged()
}

func (r *Reducer) gossipSuspicion(p *peer, s Suspicion) {
	for _, h := range r.neighbors() {
		if h != p.record.Name {
			r.emit(SendSuspicion{Address: r.peers[h].record.PeerAddress, Suspicion: s})
		}
	}
}

// mergeSuspicion takes over a suspicion of another watcher, unless this host has heard the suspected one in the
// meantime.
func (r *Reducer) mergeSuspicion(at clock.Millis, s Suspicion) {
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
	if !p.suspected && at.Sub(p.lastContact) < r.settings.SuspectAfter {
		return
	}
	news := r.mergeLeaseObservation(at, p, s)
	if !p.suspected {
		r.markSuspected(at, p)
		news = true
	}
	if news {
		r.gossipSuspicion(p, r.suspicionOf(at, p))
	}
}

// suspicionOf returns the suspicion of a host with what is known of its lease.
func (r *Reducer) suspicionOf(at clock.Millis, p *peer) Suspicion {
	since := p.lastContact
	if p.observedLease.version != 0 {
		since = p.observedLease.since
	}
	return Suspicion{
		Host:         p.record.Name,
		Incarnation:  p.record.Incarnation,
		LeaseVersion: p.observedLease.version,
		SilentMS:     at.Sub(since).Milliseconds(),
	}
}

// mergeLeaseObservation takes over a peer's observation of a lease if it is of a newer version, or of the same version
// and earlier by a heartbeat. The peer may have heard a later heartbeat than this host. The transit time of
// the message makes its time later than the true one, which is the safe side.
func (r *Reducer) mergeLeaseObservation(at clock.Millis, p *peer, s Suspicion) bool {
	since := at.Add(-time.Duration(s.SilentMS) * time.Millisecond)
	newer := s.LeaseVersion > p.observedLease.version
	earlier := s.LeaseVersion == p.observedLease.version && s.LeaseVersion != 0 && p.observedLease.since.Sub(since) >= r.settings.HeartbeatInterval
	if !newer && !earlier || since < r.storeUpSince {
		return false
	}
	p.observedLease = leaseObservation{version: s.LeaseVersion, since: since}
	p.nextLeaseRead = at
	return true
}

// mergeRecords merges member records of a peer and passes on those that are new.
func (r *Reducer) mergeRecords(at clock.Millis, records []Member) {
	var news []Member
	for _, m := range records {
		if m.Name == r.self.Name {
			r.mergeOwnRecord(m)
			if r.fenced {
				return
			}
			continue
		}
		if r.mergeRecord(at, m) {
			news = append(news, m)
		}
	}
	if len(news) > 0 {
		r.updateMonitored(at)
		r.gossipRecords(news)
	}
}

// mergeOwnRecord handles a record of this host that came from a peer.
func (r *Reducer) mergeOwnRecord(m Member) {
	switch {
	case m.Incarnation > r.self.Incarnation, m.Incarnation == r.self.Incarnation && m.State == StateGone && !r.handoverRequested:
		// The record is written only after another process has won the lease.
		r.markFenced("a peer has a record of this host with incarnation " + strconv.FormatUint(m.Incarnation, 10) + " in state " + string(m.State))
	case m.Newer(r.self) && !r.handoverRequested:
		r.self.Version = m.Version
		r.refute()
	}
}

// mergeRecord takes a record if it is newer.
func (r *Reducer) mergeRecord(at clock.Millis, m Member) bool {
	p := r.peers[m.Name]
	if p == nil {
		r.peers[m.Name] = &peer{record: m, lastContact: at}
		r.markViewChanged()
		return true
	}
	if !m.Newer(p.record) {
		return false
	}
	if m.Incarnation > p.record.Incarnation {
		*p = peer{lastContact: at, monitored: p.monitored, readingLease: p.readingLease, claimingLease: p.claimingLease}
	}
	p.record = m
	if m.State == StateGone {
		p.suspected, p.handoverRequested, p.suspectedByScan = false, false, false
	} else {
		// A raised version is a sign of life that may have come by way of other hosts.
		r.recordContact(at, p)
	}
	r.markViewChanged()
	return true
}
