package ingress

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// executors holds the servers that may still execute a request, by ID. A server without an entry is among them: it serves
// for some time after its entry was removed.
type executors map[string]*AcquiredServer

// dropEnded removes the servers that have certainly ended.
func (e executors) dropEnded() {
	for id, server := range e {
		if server.hasEnded() {
			delete(e, id)
		}
	}
}

// hasEnded reports whether there is proof that this start of the server has ended: a later one has an entry, or the server
// refuses connections.
func (l *AcquiredServer) hasEnded() bool { return l.wasRestarted() || l.refusesConnections() }

// wasRestarted reports whether the entry under the server's ID shows another start.
func (l *AcquiredServer) wasRestarted() bool {
	l.servers.mu.Lock()
	defer l.servers.mu.Unlock()
	current, ok := l.servers.byID[l.backend.info.ID]
	return ok && current.info.StartedAtMS != l.backend.info.StartedAtMS
}

// hasEntry reports whether there is an entry under the server's ID.
func (l *AcquiredServer) hasEntry() bool {
	l.servers.mu.Lock()
	defer l.servers.mu.Unlock()
	_, ok := l.servers.byID[l.backend.info.ID]
	return ok
}

// isLeaving reports whether the server leaves, or left, as planned: it is draining, or its entry was removed.
func (l *AcquiredServer) isLeaving() bool {
	l.servers.mu.Lock()
	draining := l.servers.isDraining(l.backend)
	l.servers.mu.Unlock()
	return draining || !l.hasEntry()
}

// acquireAgain acquires the same start of the server for the rest of a request that it may still execute, although its
// entry was removed. It returns nil if that was so long ago that the server may get no more requests.
func (l *AcquiredServer) acquireAgain() *AcquiredServer {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	removed, ok := s.departed[l.backend.info.ID]
	if !ok || removed.backend != l.backend || s.now().Sub(removed.removedAt) >= s.departedUseTime() {
		return nil
	}
	l.backend.inFlight++
	return &AcquiredServer{servers: s, backend: l.backend, Load: l.Load, LoadAge: l.LoadAge}
}

// isRefused reports whether a connection was refused: nothing listens at the server's address any more.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
