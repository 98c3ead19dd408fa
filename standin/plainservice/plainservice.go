// Package plainservice is a stand-in for a plain service. It accepts any method and path outside of /control, counts
// executions by idempotency key and executes duplicates again. The protocol and the directives in JSON bodies are in
// docs/external-protocols.md.
package plainservice

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/standin/internal/execution"
)

// Faults of the service, set by POST /control/faults.
type Faults = execution.Faults

// Counters is the response of GET /control/counters.
type Counters = execution.Counters

// Service is a simulated plain service. It implements http.Handler.
type Service struct {
	*execution.Runner
	router *chi.Mux
}

// New returns a service with all faults off.
func New() *Service {
	s := &Service{Runner: execution.New(), router: chi.NewRouter()}
	s.Mount(s.router)
	s.router.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) {
		s.HandleRequest(w, r, map[string]any{"method": r.Method, "path": r.URL.Path})
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }
