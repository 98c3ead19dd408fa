package orders

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// isManager reports whether this host is the order manager of the pool, with a valid lease at the given time.
func (p *pool) isManager(at clock.Millis) bool { return p.leaseHeld && at < p.leaseValidUntil }

// advanceLease reads, claims, renews or releases the lease of a pool if that is due.
func (s *State) advanceLease(p *pool, at clock.Millis) []event.Effect {
	switch {
	case p.leaseStepPending:
		return nil
	case p.unconfirmedWrite != nil:
		if at < p.nextLeaseStep {
			return nil
		}
		return s.readLease(p, at)
	case p.leaseHeld:
		return s.renewOrReleaseLease(p, at)
	case !p.configured || p.rank >= MaxCandidates:
		p.leaseKnown = false
		return nil
	case p.leaseKnown && s.mayClaim(p, at):
		return s.writeLease(p, at, Lease{Holder: s.holder, FencingToken: max(p.lease.FencingToken, p.maxSeenFencingToken) + 1, Seq: 1})
	case at >= p.nextLeaseStep:
		return s.readLease(p, at)
	}
	return nil
}

func (s *State) renewOrReleaseLease(p *pool, at clock.Millis) []event.Effect {
	shouldRelease := p.rank >= MaxCandidates || (p.rank != 0 && at.Sub(p.leaseHeldSince) >= s.settings.MinHoldTime)
	if (shouldRelease || !p.configured) && p.currentWorker == "" {
		if at < p.nextLeaseStep {
			return nil
		}
		return s.writeLease(p, at, Lease{FencingToken: p.lease.FencingToken, Seq: p.lease.Seq + 1})
	}
	if at < p.nextLeaseStep {
		return nil
	}
	return s.writeLease(p, at, Lease{Holder: s.holder, FencingToken: p.lease.FencingToken, Seq: p.lease.Seq + 1})
}

// mayClaim reports whether this host may claim the lease. The lease of another holder has certainly expired if its
// object did not change for a whole lease duration after this host first read it: the holder counts from the time at
// which it sent its last renewal, which is earlier. For each rank a candidate waits one more lease duration.
func (s *State) mayClaim(p *pool, at clock.Millis) bool {
	age := at.Sub(p.leaseSeenAt)
	if p.lease.Holder == s.holder {
		return true
	}
	if p.leaseVersion != 0 && p.lease.Holder != "" {
		age -= s.settings.LeaseDuration
	}
	for range p.rank {
		age -= s.settings.LeaseDuration
	}
	return age >= 0
}

func (s *State) readLease(p *pool, at clock.Millis) []event.Effect {
	p.leaseStepPending = true
	p.nextLeaseStep = at.Add(s.settings.RenewInterval)
	return []event.Effect{ReadLease{Pool: p.name}}
}

func (s *State) writeLease(p *pool, at clock.Millis, lease Lease) []event.Effect {
	p.leaseStepPending = true
	p.nextLeaseStep = at.Add(s.settings.RenewInterval)
	return []event.Effect{WriteLease{Pool: p.name, Lease: lease, Version: p.leaseVersion}}
}

func (s *State) handleLeaseRead(p *pool, at clock.Millis, e LeaseRead) []event.Effect {
	p.leaseStepPending = false
	if e.Failed {
		return nil
	}
	if !p.leaseKnown || e.Version != p.leaseVersion {
		p.leaseSeenAt = at
	}
	previous := p.lease
	p.leaseKnown, p.lease, p.leaseVersion = true, e.Lease, e.Version
	if write := p.unconfirmedWrite; write != nil {
		p.unconfirmedWrite = nil
		if e.Lease == write.Lease {
			p.lease = previous
			return s.leaseWriteSucceeded(p, at, write.SentAt, write.Lease, e.Version)
		}
	}
	if p.leaseHeld && e.Lease.Holder != s.holder {
		return s.loseLease(p)
	}
	return nil
}

func (s *State) handleLeaseWritten(p *pool, at clock.Millis, e LeaseWritten) []event.Effect {
	p.leaseStepPending = false
	switch e.Result {
	case WriteSucceeded:
		return s.leaseWriteSucceeded(p, at, e.SentAt, e.Lease, e.Version)
	case WriteOutcomeUnknown:
		p.unconfirmedWrite = &e
		p.nextLeaseStep = at
	case WriteFailed:
		// The store did not apply the write, so a retry before the next renewal is safe.
		p.nextLeaseStep = at.Add(s.settings.RenewInterval / 4)
	case WriteConflict:
		effects := s.loseLease(p)
		p.nextLeaseStep = at
		return effects
	}
	return nil
}

// leaseWriteSucceeded applies a lease write that is known to have taken effect.
func (s *State) leaseWriteSucceeded(p *pool, at, sentAt clock.Millis, lease Lease, version uint64) []event.Effect {
	previous := p.lease
	p.lease, p.leaseVersion, p.leaseSeenAt, p.leaseKnown = lease, version, at, true
	if lease.Holder == "" {
		return s.stopManaging(p)
	}
	p.leaseValidUntil = sentAt.Add(s.settings.LeaseDuration - s.settings.LeaseDuration/clockMarginDivisor)
	if p.leaseHeld && previous.FencingToken == lease.FencingToken {
		return nil
	}
	p.leaseHeld, p.leaseHeldSince, p.priorOrdersExpireAt = true, at, 0
	if previous.FencingToken > 0 && previous.Holder != s.holder {
		p.priorOrdersExpireAt = at.Add(s.settings.MaxOrderTransit)
	}
	p.clearOrder()
	p.lastStatus = ""
	for _, w := range p.workers {
		w.probed, w.usableReported, w.nextRead, w.staleReadID = false, false, 0, w.lastReadID
	}
	return []event.Effect{OrderManagerChanged{Pool: p.name, FencingToken: lease.FencingToken, IsManager: true}}
}

// stopManaging ends the management of a pool. The last known lease object is kept.
func (s *State) stopManaging(p *pool) []event.Effect {
	if !p.leaseHeld {
		return nil
	}
	p.leaseHeld, p.leaseValidUntil = false, 0
	p.clearOrder()
	return []event.Effect{OrderManagerChanged{Pool: p.name, FencingToken: p.lease.FencingToken}}
}

// loseLease ends the management because another host may have claimed the lease, which has to be read again.
func (s *State) loseLease(p *pool) []event.Effect {
	p.leaseKnown, p.nextLeaseStep = false, 0
	return s.stopManaging(p)
}
