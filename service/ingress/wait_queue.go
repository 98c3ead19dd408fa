package ingress

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// waiter is a request that waits for a free server.
type waiter struct {
	query    PlacementQuery
	priority int
	acquired chan *AcquiredServer // buffered, receives at most one server
}

// WaitForServer queues a request until a server is acquired for it. It returns nil if there is none before the
// timeout or the end of ctx. Requests with a lower priority number go first, those of the same priority in the
// order of arrival.
func (s *Servers) WaitForServer(ctx context.Context, q PlacementQuery, priority int, timeout time.Duration) *AcquiredServer {
	w := &waiter{query: q, priority: priority, acquired: make(chan *AcquiredServer, 1)}
	s.mu.Lock()
	queue := append(s.waiters[q.Service], w)
	slices.SortStableFunc(queue, func(a, b *waiter) int { return cmp.Compare(a.priority, b.priority) })
	s.waiters[q.Service] = queue
	s.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case server := <-w.acquired:
		return server
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeWaiter(w)
	select {
	case server := <-w.acquired: // dispatched in the meantime
		if ctx.Err() == nil {
			return server
		}
		server.backend.inFlight--
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

// DispatchAll dispatches the waiting requests of all services as far as servers have free slots.
func (s *Servers) DispatchAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.waiters {
		s.dispatchService(service)
	}
}

// dispatchService acquires servers for the waiting requests of a service, in their order, until none is free; s.mu
// is held.
func (s *Servers) dispatchService(service string) {
	for _, w := range slices.Clone(s.waiters[service]) {
		server := s.acquire(w.query, []placement.Policy{placement.DefaultPolicy(), placement.AllowEjectedPolicy()})
		if server == nil {
			return
		}
		s.removeWaiter(w)
		w.acquired <- server
	}
}
