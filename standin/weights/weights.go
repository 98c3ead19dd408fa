// Package weights is a stand-in for the weight store, from which engines load models and adapters. The protocol is in
// docs/external-protocols.md.
package weights

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/hyssopreel/hyssopreel/standin/internal/control"
)

// Config configures a Store.
type Config struct {
	// TransferTime is the duration of a fetch.
	TransferTime time.Duration
	// FetchesPerSecond limits the rate of fetches; 0 is no limit.
	FetchesPerSecond float64
	// Burst is the number of fetches that may start together; 0 means 1.
	Burst int
}

// Faults of the weight store, set by POST /control/faults.
type Faults struct {
	// Outage rejects every fetch with 503.
	Outage bool `json:"outage"`
	// SlowMS is added to the transfer time, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
}

// Counters is the response of GET /control/counters.
type Counters struct {
	// Fetches counts finished fetches by "<model>@<version>".
	Fetches map[string]int64 `json:"fetches"`
	Refused int64            `json:"refused"` // responses with 429
	// Active is the current number of fetches in transfer, MaxActive the largest so far.
	Active    int64 `json:"active"`
	MaxActive int64 `json:"max_active"`
}

// Store is a simulated weight store. It implements http.Handler.
type Store struct {
	cfg     Config
	router  *chi.Mux
	faults  *control.Faults[Faults]
	limiter *rate.Limiter

	mu       sync.Mutex
	counters Counters
}

// New returns a weight store that has all models and versions.
func New(cfg Config) *Store {
	s := &Store{
		cfg:      cfg,
		router:   chi.NewRouter(),
		faults:   control.NewFaults[Faults](),
		limiter:  rate.NewLimiter(rate.Inf, 0),
		counters: Counters{Fetches: map[string]int64{}},
	}
	if cfg.FetchesPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(cfg.FetchesPerSecond), max(1, cfg.Burst))
	}
	s.faults.Mount(s.router)
	s.router.Post("/v1/fetch", s.fetch)
	s.router.Get("/control/counters", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.Counters())
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces all faults.
func (s *Store) SetFaults(f Faults) { s.faults.Set(f) }

// Counters returns a copy of the counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counters
	out.Fetches = maps.Clone(s.counters.Fetches)
	return out
}

func (s *Store) fetch(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}
	if !control.DecodeBody(w, r, &body) {
		return
	}
	faults := s.faults.Get()
	if faults.Outage {
		control.WriteError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	if !s.limiter.Allow() {
		s.updateCounters(func(c *Counters) { c.Refused++ })
		// Retry-After is in whole seconds.
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(1/s.cfg.FetchesPerSecond))))
		control.WriteError(w, http.StatusTooManyRequests, fmt.Sprintf("more than %g fetches per second", s.cfg.FetchesPerSecond))
		return
	}
	s.updateCounters(func(c *Counters) {
		c.Active++
		c.MaxActive = max(c.MaxActive, c.Active)
	})
	completed := control.Sleep(r.Context(), s.cfg.TransferTime+time.Duration(faults.SlowMS)*time.Millisecond)
	s.updateCounters(func(c *Counters) {
		c.Active--
		if completed {
			c.Fetches[body.Model+"@"+body.Version]++
		}
	})
	control.WriteJSON(w, http.StatusOK, body)
}

func (s *Store) updateCounters(fn func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.counters)
}
