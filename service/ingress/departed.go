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
	if len(s.departed) < maxDeparted {
		s.departed[b.info.ID] = departedServer{backend: b, removedAt: s.now()}
	}
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
