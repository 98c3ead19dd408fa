package membership

import (
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// mayClaim reports whether this host may take over journals now. There are no takeovers while the store is unavailable,
// and the journal of a host whose own lease has expired may have been claimed already.
func (r *Reducer) mayClaim(at clock.Millis) bool {
	return r.storeAvailable && at < r.leaseValidUntil && !r.isDraining()
}

// readSuspectedLeases reads the leases whose journals this host may have to take over, when they are due.
func (r *Reducer) readSuspectedLeases(at clock.Millis) {
	if !r.mayClaim(at) {
		return
	}
	for _, p := range r.sortedPeers() {
		if p.record.State == StateGone || !p.suspected && !p.handoverRequested || p.readingLease || p.claimingLease || at < p.nextLeaseRead {
			continue
		}
		if rank := r.successorRank(p.record.Journal); !p.handoverRequested && !p.suspectedByScan && (rank < 0 || rank >= maxSuccessorCandidates) {
			continue
		}
		p.readingLease = true
		r.emit(ReadLease{Host: p.record.Name})
	}
}

// handleLeaseRead evaluates the lease of a suspected host or of a host that hands over its journal, or checks this
// host's lease during its own handover.
func (r *Reducer) handleLeaseRead(at clock.Millis, e LeaseRead) {
	if e.Object.Host == r.self.Name {
		r.handleOwnLeaseRead(e)
		return
	}
	p := r.peers[e.Object.Host]
	if p == nil {
		return
	}
	p.readingLease = false
	p.nextLeaseRead = at.Add(claimRetryDelay)
	if e.Failed || e.Object.Version == 0 || !r.mayClaim(at) {
		return
	}
	r.evaluateLease(at, p, e.Object, e.SentAt)
}

// evaluateLease claims the newest journal of a host if its lease has expired or was handed over.
func (r *Reducer) evaluateLease(at clock.Millis, p *peer, object LeaseObject, sentAt clock.Millis) {
	lease := object.Lease
	if lease.Incarnation != p.record.Incarnation {
		// The host has restarted, and its new record has not arrived yet.
		return
	}
	rank := max(r.successorRank(lease.Journal()), 0)
	delay := r.settings.SuccessorDelay * time.Duration(rank)
	switch lease.State {
	case LeaseHandover:
		if p.handoverRequested || rank == 0 {
			r.claimJournal(at, p, object, lease.Journal())
			return
		}
		p.nextLeaseRead = at.Add(delay)
		p.handoverRequested = true
	case LeaseHeld:
		p.handoverRequested = false
		if !p.suspected {
			return
		}
		since := r.observeLease(at, p, object.Version)
		if due := since.Add(r.settings.LeaseDuration + delay); sentAt < due {
			p.nextLeaseRead = due
			return
		}
		r.claimJournal(at, p, object, lease.Journal())
	case LeaseAdopting:
		if r.claimedJournals[lease.Successor] && !r.claimedJournals[lease.Journal()] {
			r.claimJournal(at, p, object, lease.Journal())
		}
		p.nextLeaseRead = at.Add(r.settings.LeaseDuration)
	case LeaseAdopted:
		// The successor's record of the adoption has not arrived yet, or the successor died right after the adoption.
		r.declareGone(at, p.record)
	}
}

// observeLease returns the time from which the lease counts as unchanged at the version, at the earliest the end of the
// last outage of the store: no holder can renew its lease during an outage.
func (r *Reducer) observeLease(at clock.Millis, p *peer, version objectapi.Version) clock.Millis {
	if p.observedLease.version != version {
		p.observedLease = leaseObservation{version: version, since: at}
	}
	p.observedLease.since = max(p.observedLease.since, r.storeAvailableSince)
	return p.observedLease.since
}

func (r *Reducer) claimJournal(at clock.Millis, p *peer, object LeaseObject, journal ids.Journal) {
	next, ok := object.Lease.WithClaim(journal, r.self.Journal)
	if !ok || p.claimingLease {
		return
	}
	p.claimingLease = true
	p.nextLeaseRead = at.Add(claimRetryDelay)
	r.emit(ClaimLease{Host: object.Lease.Host, Journal: journal, Lease: next, ExpectedVersion: object.Version})
}

func (r *Reducer) handleClaimLeaseCompleted(at clock.Millis, e ClaimLeaseCompleted) {
	p := r.peers[e.Host]
	if p != nil {
		p.claimingLease, p.handoverRequested = false, false
		p.nextLeaseRead = at.Add(claimRetryDelay)
	}
	if !e.Won {
		// Another host has won, or the lease has changed: a scan soon finds claims in it that are still unfinished.
		r.nextLeaseScan = min(r.nextLeaseScan, at.Add(r.settings.LeaseDuration))
		return
	}
	priorAdoptions := e.PriorAdoptions
	if p != nil && p.record.Journal == e.Journal {
		priorAdoptions = union(priorAdoptions, p.record.Adopted)
	}
	r.enqueueAdoption(e.Journal, priorAdoptions)
	r.startNextAdoption(at)
	// The dead host may hold unfinished claims of other journals.
	r.listLeases()
}

// enqueueAdoption queues a journal whose claim this host holds.
func (r *Reducer) enqueueAdoption(journal ids.Journal, priorAdoptions []ids.Journal) {
	if r.claimedJournals[journal] {
		return
	}
	r.claimedJournals[journal] = true
	r.adoptions = append(r.adoptions, &adoption{journal: journal, priorAdoptions: priorAdoptions})
}

// startNextAdoption starts the first queued adoption if it is due. Adoptions run in order: the journal of a dead
// successor may hold programs of a journal that it was adopting, and is therefore imported first.
func (r *Reducer) startNextAdoption(at clock.Millis) {
	for _, a := range r.adoptions {
		if a.marking {
			continue
		}
		if !a.running && at >= a.nextAttempt {
			a.running = true
			r.emit(AdoptJournal{Journal: a.journal})
		}
		return
	}
}

func (r *Reducer) handleJournalAdopted(at clock.Millis, e JournalAdopted) {
	i := slices.IndexFunc(r.adoptions, func(a *adoption) bool { return a.journal == e.Journal })
	if i < 0 {
		return
	}
	a := r.adoptions[i]
	a.running = false
	if e.Failed {
		a.nextAttempt = at.Add(adoptionRetryDelay)
		return
	}
	a.marking = true
	r.recordAdoptions(append(slices.Clone(a.priorAdoptions), a.journal))
	if p := r.peers[a.journal.Host()]; p != nil && p.record.Journal == a.journal {
		r.declareGone(at, p.record)
	}
	r.emit(MarkAdopted{Host: a.journal.Host(), Journal: a.journal, Successor: r.self.Journal, Self: r.self})
	r.startNextAdoption(at)
}

// recordAdoptions adds journals to this host's record and publishes it.
func (r *Reducer) recordAdoptions(journals []ids.Journal) {
	all := union(r.self.Adopted, journals)
	if len(all) == len(r.self.Adopted) {
		return
	}
	r.self.Adopted = all[max(0, len(all)-maxAdopted):]
	r.self.Version++
	r.publishOwnRecord()
}

func (r *Reducer) declareGone(at clock.Millis, m Member) {
	gone := m.WithStateGone()
	if r.mergeRecord(at, gone) {
		r.updateMonitored(at)
		r.emit(WriteMember{Member: gone})
		r.gossipRecords([]Member{gone})
	}
}

func (r *Reducer) handleAdoptionMarked(e AdoptionMarked) {
	r.adoptions = slices.DeleteFunc(r.adoptions, func(a *adoption) bool { return a.journal == e.Journal })
	r.recordAdoptions(e.PriorAdoptions)
}

// listLeases lists all leases. A call while a listing is running causes another listing after it, because the running
// one may have read a lease before the change that caused the call.
func (r *Reducer) listLeases() {
	if r.listingLeases {
		r.relistLeases = true
		return
	}
	r.listingLeases = true
	r.emit(ListLeases{})
}

func (r *Reducer) handleLeasesListed(at clock.Millis, e LeasesListed) {
	r.listingLeases = false
	relist := r.relistLeases
	r.relistLeases = false
	if e.Failed || !r.mayClaim(at) {
		r.nextLeaseScan = min(r.nextLeaseScan, at.Add(claimRetryDelay))
		return
	}
	if relist {
		r.listLeases()
	}
	leases := map[ids.Host]Lease{}
	for _, o := range e.Objects {
		leases[o.Lease.Host] = o.Lease
	}
	for _, o := range e.Objects {
		r.scanClaims(at, o, leases)
		if o.Lease.Host != r.self.Name {
			r.scanLease(at, o, e.SentAt)
		}
	}
}

// scanClaims resumes the claims of this host and takes over the claims of dead successors.
func (r *Reducer) scanClaims(at clock.Millis, object LeaseObject, leases map[ids.Host]Lease) {
	for _, c := range object.Lease.UnfinishedClaims() {
		if c.Successor == r.self.Journal {
			r.enqueueAdoption(c.Journal, c.PriorAdoptions)
			continue
		}
		if !r.claimedJournals[c.Successor] && !(isOrphaned(c.Successor, leases) && r.successorRank(c.Journal) == 0) {
			continue
		}
		p := r.peers[object.Lease.Host]
		if p == nil {
			p = &peer{}
		}
		r.claimJournal(at, p, object, c.Journal)
	}
}

// isOrphaned reports whether the takeover of a successor's own journal has finished, so that only the scan can find the
// unfinished claims of the successor.
func isOrphaned(successor ids.Journal, leases map[ids.Host]Lease) bool {
	lease, ok := leases[successor.Host()]
	if !ok {
		return true
	}
	if lease.Journal() == successor {
		return lease.State == LeaseAdopted
	}
	return !slices.ContainsFunc(lease.EarlierClaims, func(c Claim) bool { return c.Journal == successor })
}

// scanLease suspects a host whose lease has not changed since an earlier listing.
func (r *Reducer) scanLease(at clock.Millis, object LeaseObject, sentAt clock.Millis) {
	lease := object.Lease
	if lease.State != LeaseHeld && lease.State != LeaseHandover {
		return
	}
	p := r.peers[lease.Host]
	if p == nil || lease.Incarnation > p.record.Incarnation {
		// The host died between the writes of its lease and its member record, or has just started.
		r.mergeRecord(at, Member{Name: lease.Host, Journal: lease.Journal(), Incarnation: lease.Incarnation, State: StateUp})
		p = r.peers[lease.Host]
	}
	if p.record.Incarnation != lease.Incarnation || p.record.State == StateGone {
		return
	}
	if lease.State == LeaseHandover {
		if !p.handoverRequested && r.successorRank(lease.Journal()) == 0 {
			p.handoverRequested = true
			p.nextLeaseRead = at
		}
		return
	}
	since := r.observeLease(at, p, object.Version)
	if sentAt.Sub(since) >= r.settings.LeaseDuration && at.Sub(p.lastContact) >= r.settings.SuspicionTimeout && !p.suspected {
		r.markSuspected(at, p)
		p.suspectedByScan = true
	}
}

// Draining and handover.

func (r *Reducer) drain() {
	if r.self.State != StateUp {
		return
	}
	r.self.State = StateDraining
	r.self.Version++
	r.publishOwnRecord()
}

// requestAdoption requests the adoption of this host's journal from one successor after the other and reads this host's
// lease to detect the result.
func (r *Reducer) requestAdoption(at clock.Millis) {
	if !r.handoverStarted || at < r.nextAdoptionRequest {
		return
	}
	r.nextAdoptionRequest = at.Add(adoptionRequestInterval)
	if successors := RendezvousOrder("heir:"+string(r.self.Journal), r.successorCandidates()); len(successors) > 0 {
		successor := successors[r.adoptionRequests%uint64(len(successors))]
		r.adoptionRequests++
		r.emit(RequestAdoption{Address: successor.PeerAddress})
	}
	r.emit(ReadLease{Host: r.self.Name})
}

func (r *Reducer) handleOwnLeaseRead(e LeaseRead) {
	lease := e.Object.Lease
	if e.Failed || e.Object.Version == 0 || !r.handoverStarted {
		return
	}
	if lease.State == LeaseAdopted || lease.Incarnation != r.self.Incarnation {
		r.emit(HandoverCompleted{Successor: lease.Successor})
	}
}

func union(a, b []ids.Journal) []ids.Journal {
	out := slices.Clone(a)
	for _, j := range b {
		if !slices.Contains(out, j) {
			out = append(out, j)
		}
	}
	return out
}
