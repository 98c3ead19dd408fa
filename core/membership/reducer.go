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
	// renewRetries is the number of retries of a failed renewal per renewal interval. The lease has to be renewed
	// soon after an outage, before other hosts count it as expired.
	renewRetries = 4
	// leaseScanPeriodLeases is the period of the scan of all leases, in lease durations. The scan finds dead hosts
	// that no host monitors as its ring neighbor.
	leaseScanPeriodLeases = 10
	// maxSuccessorCandidates bounds the hosts that read the lease of a suspected host; further hosts become
	// candidates when one of them is suspected itself.
	maxSuccessorCandidates = 3
	// adoptionRequestInterval is the time between adoption requests to successors during a handover.
	adoptionRequestInterval = time.Second
	adoptionRetryDelay      = time.Second
	// claimRetryDelay is the time before a lease is read again after a read or a claim, and before a failed scan is
	// repeated.
	claimRetryDelay = time.Second
)

// peer is the state that a host keeps for another host.
type peer struct {
	record Member
	// lastContact is when a frame of the host last arrived, or when this host began to monitor it.
	lastContact clock.Millis
	monitored   bool // it is a ring neighbor
	suspected   bool
	// digestDiffered is true after one heartbeat with a different digest of the member list. Records in transit
	// cause short differences, so only the second different digest in a row starts an exchange.
	digestDiffered bool
	observedLease  leaseObservation
	// State of a takeover of the host's journal.
	readingLease      bool
	claimingLease     bool
	nextLeaseRead     clock.Millis
	handoverRequested bool // adoption requested, or handover found in the lease
	suspectedByScan   bool // by the scan of all leases; its lease is read at any rank
}

// leaseObservation is a version of a lease and the time from which the lease counts as unchanged at this version.
type leaseObservation struct {
	version objectapi.Version
	since   clock.Millis
}

// adoption is a journal whose claim this host has won.
type adoption struct {
	journal        ids.Journal
	priorAdoptions []ids.Journal
	running        bool
	marking        bool // the programs are imported; the lease is being marked as adopted
	nextAttempt    clock.Millis
}

// Reducer maintains the membership of one host. It implements core.Subsystem.
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
	// storeAvailable is false from a failed renewal until the next successful one, whose time is
	// storeAvailableSince.
	storeAvailable      bool
	storeAvailableSince clock.Millis

	handoverRequested   bool
	handoverStarted     bool   // the lease was released or already claimed
	adoptionRequests    uint64 // requests to successors so far
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
	// cachedSnapshot is nil after a change of a record. It is kept because every heartbeat and tick needs it and
	// sorting 370 records takes about 0.2 ms.
	cachedSnapshot *memberSnapshot
}

// memberSnapshot holds the lists and the digest that are derived from the records alone.
type memberSnapshot struct {
	members   []Member // sorted by name; shared and read-only
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
		r.markStoreUnavailable()
	case LeaseConflicted:
		r.handleLeaseConflicted(at, e.Current)
	case LeaseRead:
		r.handleLeaseRead(at, e)
	case LeasesListed:
		r.handleLeasesListed(at, e)
	case ClaimLeaseCompleted:
		r.handleClaimLeaseCompleted(at, e)
	case JournalAdopted:
		r.handleJournalAdopted(at, e)
	case AdoptionMarked:
		r.handleAdoptionMarked(e)
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
	r.started, r.storeAvailable, r.storeAvailableSince = true, true, at
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
	// Other leases may contain unfinished claims of an earlier incarnation of this host.
	if len(r.adoptions) > 0 {
		r.listLeases()
	}
}

// tick performs whatever is due.
func (r *Reducer) tick(at clock.Millis, e Ticked) {
	// A host that was paused itself received nothing, so silence and unchanged leases do not indicate a failure.
	if at.Sub(r.lastTick) > r.settings.SuspicionTimeout/2 {
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
	if at >= r.nextLeaseScan && r.storeAvailable && !r.isDraining() {
		period := leaseScanPeriodLeases * r.settings.LeaseDuration
		// Between 0.75 and 1.25 periods.
		r.nextLeaseScan = at.Add(period*3/4 + time.Duration(e.Random%1000)*period/2000)
		r.listLeases()
	}
}

func (r *Reducer) isDraining() bool { return r.self.State != StateUp }

// resetObservations restarts the timeouts for silent hosts and for unchanged leases.
func (r *Reducer) resetObservations(at clock.Millis) {
	for _, p := range r.peers {
		p.lastContact = at
		p.observedLease = leaseObservation{}
	}
}

// publishOwnRecord publishes a change of this host's record.
func (r *Reducer) publishOwnRecord() {
	r.markViewChanged()
	r.emit(WriteMember{Member: r.self})
	r.gossipRecords([]Member{r.self})
}

// gossipRecords sends records to the ring neighbors.
func (r *Reducer) gossipRecords(records []Member) {
	for _, h := range r.neighbors() {
		r.emit(SendRecords{Address: r.peers[h].record.PeerAddress, Records: records})
	}
}

// markViewChanged records that a member record or a suspicion changed.
func (r *Reducer) markViewChanged() {
	r.viewDirty = true
	r.cachedSnapshot = nil
}

func (r *Reducer) snapshot() *memberSnapshot {
	if r.cachedSnapshot != nil {
		return r.cachedSnapshot
	}
	snapshot := &memberSnapshot{members: make([]Member, 0, len(r.peers)+1)}
	snapshot.members = append(snapshot.members, r.self)
	for _, p := range r.peers {
		snapshot.members = append(snapshot.members, p.record)
	}
	slices.SortFunc(snapshot.members, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	var ring []ids.Host
	for _, m := range snapshot.members {
		if p := r.peers[m.Name]; p != nil {
			snapshot.peers = append(snapshot.peers, p)
		}
		// Hosts that are gone are not on the ring. Suspected hosts are, so that their return is detected.
		if m.State != StateGone && (m.PeerAddress != "" || m.Name == r.self.Name) {
			ring = append(ring, m.Name)
		}
	}
	snapshot.neighbors, snapshot.digest = RingNeighbors(r.self.Name, ring), Digest(snapshot.members)
	r.cachedSnapshot = snapshot
	return snapshot
}

// members returns all records sorted by name. The result is shared and must not be changed.
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

// successorCandidates returns the members that may take over journals: in state up and not suspected.
func (r *Reducer) successorCandidates() []Member {
	return slices.DeleteFunc(slices.Clone(r.members()), func(m Member) bool {
		p := r.peers[m.Name]
		return m.State != StateUp || p != nil && p.suspected
	})
}

// successorRank returns the rank of this host among the possible successors of a journal; -1 if it is not one of them.
func (r *Reducer) successorRank(journal ids.Journal) int {
	return slices.IndexFunc(RendezvousOrder("heir:"+string(journal), r.successorCandidates()), func(m Member) bool { return m.Name == r.self.Name })
}

func (r *Reducer) neighbors() []ids.Host { return r.snapshot().neighbors }

// updateMonitored monitors the current ring neighbors; the silence of a new one counts from now on.
func (r *Reducer) updateMonitored(at clock.Millis) {
	neighbors := r.neighbors()
	for h, p := range r.peers {
		isNeighbor := slices.Contains(neighbors, h)
		if isNeighbor && !p.monitored {
			p.lastContact = at
		}
		p.monitored = isNeighbor
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
		// The lease becomes invalid here before a successor can read the handover from the store.
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
	// The neighbors receive the new version at once. If this host dies before they do, its successor observes the
	// lease only from the suspicion on, which delays the takeover by 2 s.
	r.nextHeartbeat = at
	r.markStoreAvailable(at)
	if r.lease.State == LeaseHandover {
		r.handoverStarted = true
		r.nextAdoptionRequest = at
	}
	r.setLeaseValidUntil(e.SentAt.Add(r.settings.LeaseDuration))
}

// handleLeaseConflicted distinguishes the loss of the lease from an own write whose response was lost and from a change
// of the earlier claims by a successor. The latter two keep a write ID of this process.
func (r *Reducer) handleLeaseConflicted(at clock.Millis, current LeaseObject) {
	r.renewing = false
	lease := current.Lease
	ownWrite := current.Version != 0 && lease.Incarnation == r.self.Incarnation && r.isOwnWriteID(lease.WriteID)
	switch {
	case ownWrite && (lease.State == LeaseHeld || lease.State == LeaseHandover):
		r.markStoreAvailable(at)
		r.lease, r.leaseVersion = lease, current.Version
		// The validity is not extended, because the time at which the lost write was sent is not kept. The next
		// write extends it.
		r.nextRenew = at
		if lease.State == LeaseHandover {
			r.handoverStarted = true
			r.nextAdoptionRequest = at
		}
	case r.handoverRequested && current.Version != 0 && lease.Incarnation == r.self.Incarnation:
		r.handoverStarted = true
		r.nextAdoptionRequest = at
	default:
		r.markFenced("lease changed by another host: incarnation " + strconv.FormatUint(lease.Incarnation, 10) +
			", state " + string(lease.State) + ", successor " + string(lease.Successor))
	}
}

func (r *Reducer) isOwnWriteID(writeID string) bool {
	return len(writeID) > len(r.writeIDPrefix) && writeID[:len(r.writeIDPrefix)+1] == r.writeIDPrefix+"-"
}

func (r *Reducer) markFenced(reason string) {
	r.fenced = true
	r.setLeaseValidUntil(0)
	r.emit(Fenced{Reason: reason})
}

func (r *Reducer) markStoreUnavailable() {
	if !r.storeAvailable {
		return
	}
	r.storeAvailable = false
	for _, p := range r.peers {
		p.observedLease = leaseObservation{}
	}
	r.emit(StoreAvailabilityChanged{Available: false})
}

func (r *Reducer) markStoreAvailable(at clock.Millis) {
	if r.storeAvailable {
		return
	}
	r.storeAvailable = true
	r.storeAvailableSince = at
	r.emit(StoreAvailabilityChanged{Available: true})
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

func (r *Reducer) handleHeartbeatReceived(at clock.Millis, heartbeat Heartbeat) {
	p := r.peers[heartbeat.Host]
	if p == nil || heartbeat.Incarnation != p.record.Incarnation || p.record.State == StateGone {
		// A newer incarnation: its record arrives with the exchange.
		if p != nil && heartbeat.Incarnation > p.record.Incarnation {
			r.emit(ExchangeRecords{Address: p.record.PeerAddress})
		}
		return
	}
	r.recordContact(at, p)
	if heartbeat.LeaseVersion >= p.observedLease.version {
		// Observations during an outage of the store count too; observeLease moves them to the end of the outage.
		p.observedLease = leaseObservation{version: heartbeat.LeaseVersion, since: at}
	}
	if heartbeat.SuspectsReceiver {
		r.refute()
	}
	differs := heartbeat.MembersDigest != r.snapshot().digest
	if differs && p.digestDiffered {
		r.emit(ExchangeRecords{Address: p.record.PeerAddress})
	}
	p.digestDiffered = differs && !p.digestDiffered
}

// recordContact records that a host is alive and clears its suspicion.
func (r *Reducer) recordContact(at clock.Millis, p *peer) {
	p.lastContact = at
	if p.suspected {
		p.suspected, p.suspectedByScan = false, false
		r.markViewChanged()
	}
}

// refute raises the version of this host's record, which clears the suspicion at every host that receives the record.
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
		if p.monitored && !p.suspected && p.record.State != StateGone && at.Sub(p.lastContact) >= r.settings.SuspicionTimeout {
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

func (r *Reducer) gossipSuspicion(p *peer, suspicion Suspicion) {
	for _, h := range r.neighbors() {
		if h != p.record.Name {
			r.emit(SendSuspicion{Address: r.peers[h].record.PeerAddress, Suspicion: suspicion})
		}
	}
}

// mergeSuspicion accepts a suspicion of a peer, unless this host had contact with the suspected host within the
// suspicion timeout.
func (r *Reducer) mergeSuspicion(at clock.Millis, suspicion Suspicion) {
	if suspicion.Host == r.self.Name {
		if suspicion.Incarnation == r.self.Incarnation {
			r.refute()
		}
		return
	}
	p := r.peers[suspicion.Host]
	if p == nil || p.record.State == StateGone || p.record.Incarnation != suspicion.Incarnation {
		return
	}
	if !p.suspected && at.Sub(p.lastContact) < r.settings.SuspicionTimeout {
		return
	}
	changed := r.mergeLeaseObservation(at, p, suspicion)
	if !p.suspected {
		r.markSuspected(at, p)
		changed = true
	}
	if changed {
		r.gossipSuspicion(p, r.suspicionOf(at, p))
	}
}

// suspicionOf returns the suspicion of a host with the last observation of its lease.
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

// mergeLeaseObservation accepts a peer's observation of a lease if its version is newer, or if the version is the same
// and it was observed earlier by at least a heartbeat interval. The peer may have received a later heartbeat than this
// host. The transit time of the message makes the observation appear later than it was, which only delays a takeover.
func (r *Reducer) mergeLeaseObservation(at clock.Millis, p *peer, suspicion Suspicion) bool {
	since := at.Add(-time.Duration(suspicion.SilentMS) * time.Millisecond)
	newer := suspicion.LeaseVersion > p.observedLease.version
	earlier := suspicion.LeaseVersion == p.observedLease.version && suspicion.LeaseVersion != 0 && p.observedLease.since.Sub(since) >= r.settings.HeartbeatInterval
	if !newer && !earlier || since < r.storeAvailableSince {
		return false
	}
	p.observedLease = leaseObservation{version: suspicion.LeaseVersion, since: since}
	p.nextLeaseRead = at
	return true
}

// mergeRecords merges member records of a peer and gossips those that are newer.
func (r *Reducer) mergeRecords(at clock.Millis, records []Member) {
	var newer []Member
	for _, m := range records {
		if m.Name == r.self.Name {
			r.mergeOwnRecord(m)
			if r.fenced {
				return
			}
			continue
		}
		if r.mergeRecord(at, m) {
			newer = append(newer, m)
		}
	}
	if len(newer) > 0 {
		r.updateMonitored(at)
		r.gossipRecords(newer)
	}
}

// mergeOwnRecord merges a record of this host that a peer sent.
func (r *Reducer) mergeOwnRecord(m Member) {
	switch {
	case m.Incarnation > r.self.Incarnation, m.Incarnation == r.self.Incarnation && m.State == StateGone && !r.handoverRequested:
		// Such a record is written only after another process has won the lease.
		r.markFenced("a peer has a record of this host with incarnation " + strconv.FormatUint(m.Incarnation, 10) + " in state " + string(m.State))
	case m.Newer(r.self) && !r.handoverRequested:
		r.self.Version = m.Version
		r.refute()
	}
}

// mergeRecord replaces the record of a host if m is newer, and reports whether it did.
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
		// A higher version shows that the host is alive, even if the record came from another host.
		r.recordContact(at, p)
	}
	r.markViewChanged()
	return true
}
