package orders

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// valid reports whether this host is the order manager of the pool at the time.
func (p *pool) valid(at clock.Millis) bool { return p.held && at < p.validUntil }

// stepLease reads, claims, renews or releases the lease of a pool, when that is due.
func (s *State) stepLease(p *pool, at clock.Millis) []event.Effect {
	switch {
	case p.busyLease:
		return nil
	case p.unsettled != nil:
		if at < p.nextLease {
			return nil
		}
		return s.readLease(p, at)
	case p.held:
		return s.keepLease(p, at)
	case !p.wanted || p.rank >= Candidates:
		p.leaseKnown = false
		return nil
	case p.leaseKnown && s.claimable(p, at):
		return s.writeLease(p, at, Lease{Holder: s.holder, Fence: max(p.lease.Fence, p.minFence) + 1, Seq: 1})
	case at >= p.nextLease:
		return s.readLease(p, at)
	}
	return nil
}

func (s *State) keepLease(p *pool, at clock.Millis) []event.Effect {
	handOver := p.rank >= Candidates || (p.rank != 0 && at.Sub(p.heldSince) >= s.times.MinHold)
	if (handOver || !p.wanted) && p.current == "" {
		if at < p.nextLease {
			return nil
		}
		return s.writeLease(p, at, Lease{Fence: p.lease.Fence, Seq: p.lease.Seq + 1})
	}
	if at < p.nextLease {
		return nil
	}
	return s.writeLease(p, at, Lease{Holder: s.holder, Fence: p.lease.Fence, Seq: p.lease.Seq + 1})
}

// claimable reports whether the lease is free. The lease of another holder has certainly lapsed when its
// object did not change for a whole lease since this host first saw it: the holder counts from the time
// at which it sent its last renewal, which is earlier. A candidate of lower rank waits longer.
func (s *State) claimable(p *pool, at clock.Millis) bool {
	age := at.Sub(p.seenAt)
	if p.lease.Holder == s.holder {
		return true
	}
	if p.version != 0 && p.lease.Holder != "" {
		age -= s.times.Lease
	}
	for range p.rank {
		age -= s.times.Lease
	}
	return age >= 0
}

func (s *State) readLease(p *pool, at clock.Millis) []event.Effect {
	p.busyLease = true
	p.nextLease = at.Add(s.times.Renew)
	return []event.Effect{ReadLease{Pool: p.name}}
}

func (s *State) writeLease(p *pool, at clock.Millis, l Lease) []event.Effect {
	p.busyLease = true
	p.nextLease = at.Add(s.times.Renew)
	return []event.Effect{WriteLease{Pool: p.name, Lease: l, Version: p.version}}
}

func (s *State) leaseSeen(p *pool, at clock.Millis, e LeaseSeen) []event.Effect {
	p.busyLease = false
	if e.Failed {
		return nil
	}
	if !p.leaseKnown || e.Version != p.version {
		p.seenAt = at
	}
	before := p.lease
	p.leaseKnown, p.lease, p.version = true, e.Lease, e.Version
	if u := p.unsettled; u != nil {
		p.unsettled = nil
		if e.Lease == u.Lease {
			p.lease = before
			return s.written(p, at, u.SentAt, u.Lease, e.Version)
		}
	}
	if p.held && e.Lease.Holder != s.holder {
		return s.drop(p)
	}
	return nil
}

func (s *State) leaseWritten(p *pool, at clock.Millis, e LeaseWritten) []event.Effect {
	p.busyLease = false
	switch e.Result {
	case Written:
		return s.written(p, at, e.SentAt, e.Lease, e.Version)
	case UnknownOutcome:
		p.unsettled = &e
		p.nextLease = at
	case NotWritten:
		// The store refused the write, so the next tick may try again soon.
		p.nextLease = at.Add(s.times.Renew / 4)
	case Conflict:
		effects := s.drop(p)
		p.nextLease = at
		return effects
	}
	return nil
}

// written takes over the result of a write that certainly took effect.
func (s *State) written(p *pool, at, sentAt clock.Millis, l Lease, version uint64) []event.Effect {
	previous := p.lease
	p.lease, p.version, p.seenAt, p.leaseKnown = l, version, at, true
	if l.Holder == "" {
		return s.release(p)
	}
	p.validUntil = sentAt.Add(s.times.Lease - s.times.Lease/clockMargin)
	if p.held && previous.Fence == l.Fence {
		return nil
	}
	p.held, p.heldSince, p.quietUntil = true, at, 0
	if previous.Fence > 0 && previous.Holder != s.holder {
		p.quietUntil = at.Add(s.times.InFlight)
	}
	p.clear()
	p.statusWritten = ""
	for _, w := range p.workers {
		w.known, w.reported, w.nextRead, w.ignoreReads = false, false, 0, w.reads
	}
	return []event.Effect{Held{Pool: p.name, Fence: l.Fence, Held: true}}
}

// release ends the management after a handover; the object that was written stays known.
func (s *State) release(p *pool) []event.Effect {
	if !p.held {
		return nil
	}
	p.held, p.validUntil = false, 0
	p.clear()
	return []event.Effect{Held{Pool: p.name, Fence: p.lease.Fence}}
}

// drop ends the management because another host may have claimed the lease.
func (s *State) drop(p *pool) []event.Effect {
	p.leaseKnown, p.nextLease = false, 0
	return s.release(p)
}
