package entry

import (
	"context"
	"sync"

	"github.com/hyssopreel/hyssopreel/common/fault"
)

// gate holds the requests for local programs while the host hands them over.
type gate struct {
	mu     sync.Mutex
	held   bool
	active int
	open   chan struct{} // closed while the gate is not held
}

// enter counts a request in, unless the gate is held.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held {
		return false
	}
	g.active++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	g.active--
	g.mu.Unlock()
}

// wait returns when the gate is not held any more.
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return fault.New(fault.CodeDraining, "wait for handover", "%v", ctx.Err())
	}
}

// HoldPrograms makes new requests for the programs of this host wait.
func (s *Server) HoldPrograms() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if !s.gate.held {
		s.gate.held, s.gate.open = true, make(chan struct{})
	}
}

// ReleasePrograms lets the waiting requests go on; by then the view names the heir.
func (s *Server) ReleasePrograms() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if s.gate.held {
		s.gate.held = false
		close(s.gate.open)
	}
}

// ActiveLocal returns the number of requests for local programs that are under way.
func (s *Server) ActiveLocal() int {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.active
}
