package ingress

import (
	"time"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

const (
	// departedTTL is how long a server without an entry is remembered with its rate limit and its failures: the longest
	// outage of the store after which the same start of a server may have an entry again.
	departedTTL = 5 * time.Minute
	// maxDeparted bounds the number of remembered servers: more than the servers of the largest deployment, whose entries may
	// all lapse in one outage.
	maxDeparted = 8192
	// defaultDrainDelay holds where the operator sets no bound.
	defaultDrainDelay = 2 * time.Second
	// departedUseFraction is the part of the drain delay in which a stream that broke off goes on at a server without an
	// entry. The rest is for the time until this host learns of the removal and until the request is there.
	departedUseFraction = 0.5
)

// departedServer is a server whose entry was removed.
type departedServer struct {
	*backend
	removedAt time.Time
}

// remember keeps what is known of a server without an entry; s.mu is held.
func (s *Servers) remember(b *backend) {
	if len(s.departed) >= maxDeparted {
		s.forgetDeparted(s.now().Add(-departedTTL))
	}
	if len(s.departed) >= maxDeparted {
		return
	}
	removedAt := s.now()
	if !b.missingSince.IsZero() {
		removedAt = b.missingSince
	}
	s.departed[b.info.ID] = departedServer{backend: b, removedAt: removedAt}
}

// SetDrainDelay sets how long after the removal of its entry a server may get requests.
func (s *Servers) SetDrainDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainDelay = d
}

// departedUseTime returns how long after this host has learned of the removal of its entry a server may get the rest of a
// request; s.mu is held.
func (s *Servers) departedUseTime() time.Duration {
	return time.Duration(float64(s.drainDelay) * departedUseFraction)
}

// recall returns the remembered server if the entry is that of the same start, and nil otherwise; s.mu is held.
func (s *Servers) recall(info placement.Server) *backend {
	d, ok := s.departed[info.ID]
	delete(s.departed, info.ID)
	if !ok || !isSameStart(d.info, info) {
		return nil
	}
	d.pool.Reopen()
	return d.backend
}

// isSameStart reports whether two entries are those of the same start of a server.
func isSameStart(a, b placement.Server) bool {
	return a.Address == b.Address && a.Service == b.Service && a.StartedAtMS == b.StartedAtMS
}

// forgetDeparted forgets the servers whose entries were removed before the time; s.mu is held.
func (s *Servers) forgetDeparted(before time.Time) {
	for id, d := range s.departed {
		if d.removedAt.Before(before) {
			delete(s.departed, id)
		}
	}
}

// known returns the server with that ID, with or without an entry; s.mu is held.
func (s *Servers) known(id string) (*backend, bool) {
	if b, ok := s.byID[id]; ok {
		return b, true
	}
	d, ok := s.departed[id]
	return d.backend, ok
}
