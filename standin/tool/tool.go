// Package tool is a stand-in for the tool services. It serves POST /v1/tools/{name} for every name, counts executions
// by idempotency key and executes duplicates again. The protocol and the directives in the arguments are in
// docs/external-protocols.md.
package tool

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/standin/internal/execution"
)

// Faults of the tools, set by POST /control/faults.
type Faults = execution.Faults

// Counters is the response of GET /control/counters.
type Counters = execution.Counters

// Tool is a simulated tool service. It implements http.Handler.
type Tool struct {
	*execution.Runner
	router *chi.Mux
}

// New returns a tool service with all faults off.
func New() *Tool {
	t := &Tool{Runner: execution.New(), router: chi.NewRouter()}
	t.Mount(t.router)
	t.router.Post("/v1/tools/{name}", func(w http.ResponseWriter, r *http.Request) {
		t.HandleRequest(w, r, map[string]any{"tool": chi.URLParam(r, "name")})
	})
	return t
}

// ServeHTTP implements http.Handler.
func (t *Tool) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.router.ServeHTTP(w, r) }
