package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// waiter is a request that waits for a place.
type waiter struct {
	query Query
	plan  placement.Plan
	rank  func() int
	lease chan *Lease
}

// Wait waits until a server takes the request or the plan's hold ends. It returns nil if none does. rank orders the
// requests that wait for a service.
func (s *Servers) Wait(ctx context.Context, q Query, plan placement.Plan, rank func() int) *Lease {
	w := &waiter{query: q, plan: plan, rank: rank, lease: make(chan *Lease, 1)}
	s.mu.Lock()
	s.waiting[q.Service] = append(s.waiting[q.Service], w)
	s.mu.Unlock()
	timer := time.NewTimer(plan.Hold)
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
		return nil
	default:
	}
	if ctx.Err() != nil || plan.Last == nil {
		return nil
	}
	return s.acquire(q, plan.Last)
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

// dispatch gives places of one service to waiting requests, by rank and then by the order of their arrival; s.mu is
// held. A rank without a place for its first request gets none.
func (s *Servers) dispatch(service string) {
	waiters := s.waiting[service]
	if len(waiters) == 0 {
		return
	}
	full := map[int]bool{}
	for rank := range int(placement.Late) + 1 {
		for _, w := range slices.Clone(s.waiting[service]) {
			if full[rank] || w.rank() != rank {
				continue
			}
			l := s.acquire(w.query, w.plan.Policies)
			if l == nil {
				full[rank] = true
				continue
			}
			s.leave(w)
			w.lease <- l
		}
	}
}

// Waiting returns the number of requests that wait for a service.
func (s *Servers) Waiting(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting[service])
}
