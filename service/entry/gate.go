package entry

import (
	"context"
	"sync"

	"github.com/hyssopreel/hyssopreel/common/fault"
)

// gate holds the requests for local programs while the host hands them over.
type gate struct {
	mu             sync.Mutex
	paused         bool
	activeRequests int
	resumed        chan struct{} // closed while the gate is not held
}

// tryBeginRequest counts a request in, unless the gate is held.
func (g *gate) tryBeginRequest() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused {
		return false
	}
	g.activeRequests++
	return true
}

func (g *gate) endRequest() {
	g.mu.Lock()
	g.activeRequests--
	g.mu.Unlock()
}

// waitUntilResumed returns when the gate is not held any more.
func (g *gate) waitUntilResumed(ctx context.Context) error {
	g.mu.Lock()
	open := g.resumed
	g.mu.Unlock()
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeDraining, "wait for handover", "%v", ctx.Err())
	}
}

// PauseLocalRequests makes new requests for the programs of this host wait.
func (s *Server) PauseLocalRequests() {
	s.localGate.mu.Lock()
	defer s.localGate.mu.Unlock()
	if !s.localGate.paused {
		s.localGate.paused, s.localGate.resumed = true, make(chan struct{})
	}
}

// ResumeLocalRequests lets the waiting requests go on; by then the view names the heir.
func (s *Server) ResumeLocalRequests() {
	s.localGate.mu.Lock()
	defer s.localGate.mu.Unlock()
	if s.localGate.paused {
		s.localGate.paused = false
		close(s.localGate.resumed)
	}
}

// ActiveLocalRequests returns the number of requests for local programs that are under way.
func (s *Server) ActiveLocalRequests() int {
	s.localGate.mu.Lock()
	defer s.localGate.mu.Unlock()
	return s.localGate.activeRequests
}
