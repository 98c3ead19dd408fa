package membership

import (
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// mayClaim reports whether this host may take journals over now. Without the store there are no
// takeovers, and a host whose own lease has lapsed may be dead to the others already.
func (r *Reducer) mayClaim(at clock.Millis) bool {
	return r.storeUp && at < r.leaseValidUntil && !r.isDraining()
}

// readSuspectedLeases reads the leases of the hosts that this host may have to replace, when they are due.
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

// handleLeaseRead judges the lease of a suspected host, of a host that hands over, or the own lease during a
// handover.
func (r *Reducer) handleLeaseRead(at clock.Millis, e LeaseRead) {
	if e.Object.Host == r.self.Name {
		r.ownLeaseRead(e)
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
func (r *Reducer) evaluateLease(at clock.Millis, p *peer, o LeaseObject, sentAt clock.Millis) {
	l := o.Lease
	if l.Incarnation != p.record.Incarnation {
		// The host has restarted; its new record is on the way.
		return
	}
	rank := max(r.successorRank(l.Journal()), 0)
	wait := r.settings.SuccessorDelay * time.Duration(rank)
	switch l.State {
	case LeaseHandover:
		if p.handoverRequested || rank == 0 {
			r.claimJournal(at, p, o, l.Journal())
			return
		}
		p.nextLeaseRead = at.Add(wait)
		p.handoverRequested = true
	case LeaseHeld:
		p.handoverRequested = false
		if !p.suspected {
			return
		}
		since := r.observeLease(at, p, o.Version)
		if due := since.Add(r.settings.LeaseDuration + wait); sentAt < due {
			p.nextLeaseRead = due
			return
		}
		r.claimJournal(at, p, o, l.Journal())
	case LeaseAdopting:
		if r.claimedJournals[l.Successor] && !r.claimedJournals[l.Journal()] {
			r.claimJournal(at, p, o, l.Journal())
		}
		p.nextLeaseRead = at.Add(r.settings.LeaseDuration)
	case LeaseAdopted:
		// The heir's record of the adoption has not arrived yet, or the heir died right after it.
		r.declareGone(at, p.record)
	}
}

// observeLease returns the time since which the lease is known to have the version, counted from the return of
// the store at the earliest: during an outage no holder can renew.
func (r *Reducer) observeLease(at clock.Millis, p *peer, v objectapi.Version) clock.Millis {
	if p.observedLease.version != v {
		p.observedLease = leaseObservation{version: v, since: at}
	}
	p.observedLease.since = max(p.observedLease.since, r.storeUpSince)
	return p.observedLease.since
}

func (r *Reducer) claimJournal(at clock.Millis, p *peer, o LeaseObject, j ids.Journal) {
	next, ok := o.Lease.WithClaim(j, r.self.Journal)
	if !ok || p.claimingLease {
		return
	}
	p.claimingLease = true
	p.nextLeaseRead = at.Add(claimRetryDelay)
	r.emit(ClaimLease{Host: o.Lease.Host, Journal: j, Lease: next, ExpectedVersion: o.Version})
}

func (r *Reducer) handleClaimLeaseCompleted(at clock.Millis, e ClaimLeaseCompleted) {
	p := r.peers[e.Host]
	if p != nil {
		p.claimingLease, p.handoverRequested = false, false
		p.nextLeaseRead = at.Add(claimRetryDelay)
	}
	if !e.Won {
		// Another host has won, or the lease has changed: further claims in it are looked at again.
		r.nextLeaseScan = min(r.nextLeaseScan, at.Add(r.settings.LeaseDuration))
		return
	}
	inherited := e.PriorAdoptions
	if p != nil && p.record.Journal == e.Journal {
		inherited = union(inherited, p.record.Adopted)
	}
	r.enqueueAdoption(e.Journal, inherited)
	r.startNextAdoption(at)
	// The dead host may have died while it adopted others.
	r.listLeases()
}

// enqueueAdoption queues a journal whose claim this host holds.
func (r *Reducer) enqueueAdoption(j ids.Journal, inherited []ids.Journal) {
	if r.claimedJournals[j] {
		return
	}
	r.claimedJournals[j] = true
	r.adoptions = append(r.adoptions, &adoption{journal: j, priorAdoptions: inherited})
}

// startNextAdoption runs the first adoption of the queue. They run in order: the journal of a dead heir may
// hold programs of a journal that it was adopting, and is therefore read first.
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

func (r *Reducer) journalAdopted(at clock.Millis, e JournalAdopted) {
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

// recordAdoptions adds journals to the own record and publishes it.
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

func (r *Reducer) adoptionMarked(e AdoptionMarked) {
	r.adoptions = slices.DeleteFunc(r.adoptions, func(a *adoption) bool { return a.journal == e.Journal })
	r.recordAdoptions(e.PriorAdoptions)
}

// listLeases asks for all leases. A request during a listing starts another one after it, because the first may
// have read a lease before the change that the request is about.
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
	again := r.relistLeases
	r.relistLeases = false
	if e.Failed || !r.mayClaim(at) {
		r.nextLeaseScan = min(r.nextLeaseScan, at.Add(claimRetryDelay))
		return
	}
	if again {
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

// scanClaims resumes the claims of this host and takes over the claims of dead heirs.
func (r *Reducer) scanClaims(at clock.Millis, o LeaseObject, leases map[ids.Host]Lease) {
	for _, c := range o.Lease.UnfinishedClaims() {
		if c.Successor == r.self.Journal {
			r.enqueueAdoption(c.Journal, c.PriorAdoptions)
			continue
		}
		if !r.claimedJournals[c.Successor] && !(orphaned(c.Successor, leases) && r.successorRank(c.Journal) == 0) {
			continue
		}
		p := r.peers[o.Lease.Host]
		if p == nil {
			p = &peer{}
		}
		r.claimJournal(at, p, o, c.Journal)
	}
}

// orphaned reports whether an heir's journal was itself adopted completely, so that nobody but the scan
// would find its unfinished claims.
func orphaned(heir ids.Journal, leases map[ids.Host]Lease) bool {
	l, ok := leases[heir.Host()]
	if !ok {
		return true
	}
	if l.Journal() == heir {
		return l.State == LeaseAdopted
	}
	return !slices.ContainsFunc(l.EarlierClaims, func(c Claim) bool { return c.Journal == heir })
}

// scanLease suspects a host whose lease has not changed since an earlier listing.
func (r *Reducer) scanLease(at clock.Millis, o LeaseObject, sentAt clock.Millis) {
	l := o.Lease
	if l.State != LeaseHeld && l.State != LeaseHandover {
		return
	}
	p := r.peers[l.Host]
	if p == nil || l.Incarnation > p.record.Incarnation {
		// The host died between the writes of its lease and of its member record, or has just started.
		r.mergeRecord(at, Member{Name: l.Host, Journal: l.Journal(), Incarnation: l.Incarnation, State: StateUp})
		p = r.peers[l.Host]
	}
	if p.record.Incarnation != l.Incarnation || p.record.State == StateGone {
		return
	}
	if l.State == LeaseHandover {
		if !p.handoverRequested && r.successorRank(l.Journal()) == 0 {
			p.handoverRequested = true
			p.nextLeaseRead = at
		}
		return
	}
	since := r.observeLease(at, p, o.Version)
	if sentAt.Sub(since) >= r.settings.LeaseDuration && at.Sub(p.lastContact) >= r.settings.SuspectAfter && !p.suspected {
		r.markSuspected(at, p)
		p.suspectedByScan = true
	}
}

// Leaving.

func (r *Reducer) drain() {
	if r.self.State != StateUp {
		return
	}
	r.self.State = StateDraining
	r.self.Version++
	r.publishOwnRecord()
}

// requestAdoption asks one heir after the other to adopt this host's journal and looks for the result.
func (r *Reducer) requestAdoption(at clock.Millis) {
	if !r.handoverStarted || at < r.nextAdoptionRequest {
		return
	}
	r.nextAdoptionRequest = at.Add(adoptionRequestInterval)
	if heirs := RendezvousOrder("heir:"+string(r.self.Journal), r.successorCandidates()); len(heirs) > 0 {
		heir := heirs[r.adoptionRequests%uint64(len(heirs))]
		r.adoptionRequests++
		r.emit(RequestAdoption{Address: heir.PeerAddress})
	}
	r.emit(ReadLease{Host: r.self.Name})
}

func (r *Reducer) ownLeaseRead(e LeaseRead) {
	l := e.Object.Lease
	if e.Failed || e.Object.Version == 0 || !r.handoverStarted {
		return
	}
	if l.State == LeaseAdopted || l.Incarnation != r.self.Incarnation {
		r.emit(HandoverCompleted{Successor: l.Successor})
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
