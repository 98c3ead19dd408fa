package entry

import (
	"context"
	"sync"

	"github.com/hyssopreel/hyssopreel/common/fault"
)

// gate delays the requests for local programs while the host hands these programs over to its successor.
type gate struct {
	mu             sync.Mutex
	paused         bool
	activeRequests int
	resumed        chan struct{} // closed while paused is false
}

// tryBeginRequest counts an active request and returns true, or returns false while the gate is paused.
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

// waitUntilResumed returns nil once the gate is not paused, or a draining error if ctx ends first.
func (g *gate) waitUntilResumed(ctx context.Context) error {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeDraining, "wait for handover", "%v", ctx.Err())
	}
}

// PauseLocalRequests makes new requests for the programs of this host wait until ResumeLocalRequests.
func (s *Server) PauseLocalRequests() {
	s.localGate.mu.Lock()
	defer s.localGate.mu.Unlock()
	if !s.localGate.paused {
		s.localGate.paused, s.localGate.resumed = true, make(chan struct{})
	}
}

// ResumeLocalRequests continues the waiting requests. If the programs were handed over, Options.View must name the
// successor by then.
func (s *Server) ResumeLocalRequests() {
	s.localGate.mu.Lock()
	defer s.localGate.mu.Unlock()
	if s.localGate.paused {
		s.localGate.paused = false
		close(s.localGate.resumed)
	}
}

// ActiveLocalRequests returns the number of requests for local programs that are being executed.
func (s *Server) ActiveLocalRequests() int {
	s.localGate.mu.Lock()
	defer s.localGate.mu.Unlock()
	return s.localGate.activeRequests
}
