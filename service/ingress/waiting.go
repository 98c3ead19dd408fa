package ingress

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// waiter is a request that waits for a place.
type waiter struct {
	query    Query
	priority int
	lease    chan *Lease
}

// Wait waits until a server takes the request or the hold ends. It returns nil if none does. Requests of a lower
// priority number go first, and then those that came first.
func (s *Servers) Wait(ctx context.Context, q Query, priority int, hold time.Duration) *Lease {
	w := &waiter{query: q, priority: priority, lease: make(chan *Lease, 1)}
	s.mu.Lock()
	list := append(s.waiting[q.Service], w)
	slices.SortStableFunc(list, func(a, b *waiter) int { return cmp.Compare(a.priority, b.priority) })
	s.waiting[q.Service] = list
	s.mu.Unlock()
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case l := <-w.lease:
		return l
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(w)
	select {
	case l := <-w.lease: // dispatched in the meantime
		if ctx.Err() == nil {
			return l
		}
		l.backend.inFlight--
	default:
	}
	return nil
}

// leave removes a waiter; s.mu is held.
func (s *Servers) leave(w *waiter) {
	service := w.query.Service
	s.waiting[service] = slices.DeleteFunc(s.waiting[service], func(other *waiter) bool { return other == w })
	if len(s.waiting[service]) == 0 {
		delete(s.waiting, service)
	}
}

// Dispatch gives places to waiting requests.
func (s *Servers) Dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.waiting {
		s.dispatch(service)
	}
}

// dispatch gives places of one service to waiting requests in their order; s.mu is held.
func (s *Servers) dispatch(service string) {
	for _, w := range slices.Clone(s.waiting[service]) {
		l := s.acquire(w.query, []placement.Policy{placement.Default(), placement.LastResort()})
		if l == nil {
			return
		}
		s.leave(w)
		w.lease <- l
	}
}
