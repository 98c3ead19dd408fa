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
	return r.storeUp && at < r.validUntil && !r.leaving()
}

// takeOver reads the leases of the hosts that this host may have to replace, when they are due.
func (r *Reducer) takeOver(at clock.Millis) {
	if !r.mayClaim(at) {
		return
	}
	for _, p := range r.sortedPeers() {
		if p.record.State == StateGone || !p.suspected && !p.handover || p.reading || p.claiming || at < p.nextRead {
			continue
		}
		if rank := r.heirRank(p.record.Journal); !p.handover && !p.scanFound && (rank < 0 || rank >= maxCandidates) {
			continue
		}
		p.reading = true
		r.emit(ReadLease{Host: p.record.Name})
	}
}

// leaseRead judges the lease of a suspected host, of a host that hands over, or the own lease during a
// handover.
func (r *Reducer) leaseRead(at clock.Millis, e LeaseRead) {
	if e.Object.Host == r.self.Name {
		r.ownLeaseRead(e)
		return
	}
	p := r.peers[e.Object.Host]
	if p == nil {
		return
	}
	p.reading = false
	p.nextRead = at.Add(claimRetry)
	if e.Failed || e.Object.Version == 0 || !r.mayClaim(at) {
		return
	}
	r.judge(at, p, e.Object, e.SentAt)
}

// judge claims the newest journal of a host if its lease has expired or was handed over.
func (r *Reducer) judge(at clock.Millis, p *peer, o LeaseObject, sentAt clock.Millis) {
	l := o.Lease
	if l.Incarnation != p.record.Incarnation {
		// The host has restarted; its new record is on the way.
		return
	}
	rank := max(r.heirRank(l.Journal()), 0)
	wait := r.settings.RankWait * time.Duration(rank)
	switch l.State {
	case LeaseHandover:
		if p.handover || rank == 0 {
			r.claim(at, p, o, l.Journal())
			return
		}
		p.nextRead = at.Add(wait)
		p.handover = true
	case LeaseHeld:
		p.handover = false
		if !p.suspected {
			return
		}
		since := r.observe(at, p, o.Version)
		if due := since.Add(r.settings.Lease + wait); sentAt < due {
			p.nextRead = due
			return
		}
		r.claim(at, p, o, l.Journal())
	case LeaseAdopting:
		if r.owned[l.Heir] && !r.owned[l.Journal()] {
			r.claim(at, p, o, l.Journal())
		}
		p.nextRead = at.Add(r.settings.Lease)
	case LeaseAdopted:
		// The heir's record of the adoption has not arrived yet, or the heir died right after it.
		r.declareGone(at, p.record)
	}
}

// observe returns the time since which the lease is known to have the version, counted from the return of
// the store at the earliest: during an outage no holder can renew.
func (r *Reducer) observe(at clock.Millis, p *peer, v objectapi.Version) clock.Millis {
	if p.seen.version != v {
		p.seen = observation{version: v, since: at}
	}
	p.seen.since = max(p.seen.since, r.storeSince)
	return p.seen.since
}

func (r *Reducer) claim(at clock.Millis, p *peer, o LeaseObject, j ids.Journal) {
	next, ok := o.Lease.Claimed(j, r.self.Journal)
	if !ok || p.claiming {
		return
	}
	p.claiming = true
	p.nextRead = at.Add(claimRetry)
	r.emit(ClaimLease{Host: o.Lease.Host, Journal: j, Lease: next, Expected: o.Version})
}

func (r *Reducer) claimFinished(at clock.Millis, e ClaimFinished) {
	p := r.peers[e.Host]
	if p != nil {
		p.claiming, p.handover = false, false
		p.nextRead = at.Add(claimRetry)
	}
	if !e.Won {
		// Another host has won, or the lease has changed: further claims in it are looked at again.
		r.nextScan = min(r.nextScan, at.Add(r.settings.Lease))
		return
	}
	inherited := e.Inherited
	if p != nil && p.record.Journal == e.Journal {
		inherited = union(inherited, p.record.Adopted)
	}
	r.adopt(e.Journal, inherited)
	r.runAdoptions(at)
	// The dead host may have died while it adopted others.
	r.list()
}

// adopt queues a journal whose claim this host holds.
func (r *Reducer) adopt(j ids.Journal, inherited []ids.Journal) {
	if r.owned[j] {
		return
	}
	r.owned[j] = true
	r.adoptions = append(r.adoptions, &adoption{journal: j, inherited: inherited})
}

// runAdoptions runs the first adoption of the queue. They run in order: the journal of a dead heir may
// hold programs of a journal that it was adopting, and is therefore read first.
func (r *Reducer) runAdoptions(at clock.Millis) {
	for _, a := range r.adoptions {
		if a.marking {
			continue
		}
		if !a.running && at >= a.retryAt {
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
		a.retryAt = at.Add(adoptRetry)
		return
	}
	a.marking = true
	r.own(append(slices.Clone(a.inherited), a.journal))
	if p := r.peers[a.journal.Host()]; p != nil && p.record.Journal == a.journal {
		r.declareGone(at, p.record)
	}
	r.emit(MarkAdopted{Host: a.journal.Host(), Journal: a.journal, Heir: r.self.Journal, Self: r.self})
	r.runAdoptions(at)
}

// own adds journals to the own record and publishes it.
func (r *Reducer) own(journals []ids.Journal) {
	all := union(r.self.Adopted, journals)
	if len(all) == len(r.self.Adopted) {
		return
	}
	r.self.Adopted = all[max(0, len(all)-maxAdopted):]
	r.self.Version++
	r.announce()
}

func (r *Reducer) declareGone(at clock.Millis, m Member) {
	gone := m.Gone()
	if r.merge(at, gone) {
		r.watch(at)
		r.emit(WriteMember{Member: gone})
		r.flood([]Member{gone})
	}
}

func (r *Reducer) adoptionMarked(e AdoptionMarked) {
	r.adoptions = slices.DeleteFunc(r.adoptions, func(a *adoption) bool { return a.journal == e.Journal })
	r.own(e.Inherited)
}

// list asks for all leases. A request during a listing starts another one after it, because the first may
// have read a lease before the change that the request is about.
func (r *Reducer) list() {
	if r.listing {
		r.listAgain = true
		return
	}
	r.listing = true
	r.emit(ListLeases{})
}

func (r *Reducer) leasesListed(at clock.Millis, e LeasesListed) {
	r.listing = false
	again := r.listAgain
	r.listAgain = false
	if e.Failed || !r.mayClaim(at) {
		r.nextScan = min(r.nextScan, at.Add(claimRetry))
		return
	}
	if again {
		r.list()
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
	for _, c := range o.Lease.Pending() {
		if c.Heir == r.self.Journal {
			r.adopt(c.Journal, c.Inherited)
			continue
		}
		if !r.owned[c.Heir] && !(orphaned(c.Heir, leases) && r.heirRank(c.Journal) == 0) {
			continue
		}
		p := r.peers[o.Lease.Host]
		if p == nil {
			p = &peer{}
		}
		r.claim(at, p, o, c.Journal)
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
	return !slices.ContainsFunc(l.Earlier, func(c Claim) bool { return c.Journal == heir })
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
		r.merge(at, Member{Name: l.Host, Journal: l.Journal(), Incarnation: l.Incarnation, State: StateUp})
		p = r.peers[l.Host]
	}
	if p.record.Incarnation != l.Incarnation || p.record.State == StateGone {
		return
	}
	if l.State == LeaseHandover {
		if !p.handover && r.heirRank(l.Journal()) == 0 {
			p.handover = true
			p.nextRead = at
		}
		return
	}
	since := r.observe(at, p, o.Version)
	if sentAt.Sub(since) >= r.settings.Lease && at.Sub(p.heard) >= r.settings.SuspectAfter && !p.suspected {
		r.markSuspected(at, p)
		p.scanFound = true
	}
}

// Leaving.

func (r *Reducer) drain() {
	if r.self.State != StateUp {
		return
	}
	r.self.State = StateDraining
	r.self.Version++
	r.announce()
}

// askHeir asks one heir after the other to adopt this host's journal and looks for the result.
func (r *Reducer) askHeir(at clock.Millis) {
	if !r.handedOver || at < r.nextAsk {
		return
	}
	r.nextAsk = at.Add(askEvery)
	if heirs := Rank("heir:"+string(r.self.Journal), r.candidates()); len(heirs) > 0 {
		heir := heirs[r.asked%uint64(len(heirs))]
		r.asked++
		r.emit(AskHeir{Address: heir.PeerAddress})
	}
	r.emit(ReadLease{Host: r.self.Name})
}

func (r *Reducer) ownLeaseRead(e LeaseRead) {
	l := e.Object.Lease
	if e.Failed || e.Object.Version == 0 || !r.handedOver {
		return
	}
	if l.State == LeaseAdopted || l.Incarnation != r.self.Incarnation {
		r.emit(HandedOver{Heir: l.Heir})
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
