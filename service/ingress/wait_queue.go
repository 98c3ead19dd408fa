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
	query    PlacementQuery
	priority int
	acquired chan *AcquiredServer
}

// WaitForServer waits until a server takes the request or the hold ends. It returns nil if none does. Requests of a lower
// priority number go first, and then those that came first.
func (s *Servers) WaitForServer(ctx context.Context, q PlacementQuery, priority int, hold time.Duration) *AcquiredServer {
	w := &waiter{query: q, priority: priority, acquired: make(chan *AcquiredServer, 1)}
	s.mu.Lock()
	list := append(s.waiters[q.Service], w)
	slices.SortStableFunc(list, func(a, b *waiter) int { return cmp.Compare(a.priority, b.priority) })
	s.waiters[q.Service] = list
	s.mu.Unlock()
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case l := <-w.acquired:
		return l
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeWaiter(w)
	select {
	case l := <-w.acquired: // dispatched in the meantime
		if ctx.Err() == nil {
			return l
		}
		l.backend.inFlight--
	default:
	}
	return nil
}

// removeWaiter removes a waiter; s.mu is held.
func (s *Servers) removeWaiter(w *waiter) {
	service := w.query.Service
	s.waiters[service] = slices.DeleteFunc(s.waiters[service], func(other *waiter) bool { return other == w })
	if len(s.waiters[service]) == 0 {
		delete(s.waiters, service)
	}
}

// DispatchAll gives places to waiting requests.
func (s *Servers) DispatchAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.waiters {
		s.dispatchService(service)
	}
}

// dispatchService gives places of one service to waiting requests in their order; s.mu is held.
func (s *Servers) dispatchService(service string) {
	for _, w := range slices.Clone(s.waiters[service]) {
		l := s.acquire(w.query, []placement.Policy{placement.DefaultPolicy(), placement.AllowEjectedPolicy()})
		if l == nil {
			return
		}
		s.removeWaiter(w)
		w.acquired <- l
	}
}
