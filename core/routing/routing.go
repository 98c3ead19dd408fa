// Package routing matches callers' requests with routes and services. Tables are immutable.
package routing

import (
	"strings"
	"time"
)

// Kind says whether a request of a route may be executed more than once.
type Kind int

const (
	// NonIdempotent requests must not be executed twice.
	NonIdempotent Kind = iota
	Idempotent
	// Stream requests have a stream of events as response. They are non-idempotent unless the route is resumable.
	Stream
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "repeatable"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}

// WeightedService is a service that receives a part of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps requests to services, and sets their limits and objectives.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout bounds the time until the response; 0 is no limit.
	Timeout time.Duration
	// FirstByteObjective is the operator's objective for the time to the first byte of the response.
	FirstByteObjective time.Duration
	// PauseObjective is the operator's objective for the longest time between two events of a stream.
	PauseObjective time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []WeightedService
	// MaxServers bounds the backend servers to which one request may be sent; 0 is no limit.
	MaxServers int
	// Resumable streams may be continued by another backend server after the last received event.
	Resumable bool
	// ProgramRetention is the longest time between two turns of a program.
	ProgramRetention time.Duration
	// RetainTurns is set if callers send only the new input of a turn, and the system adds the turns before it.
	RetainTurns bool
	// Anonymous is set if callers need no API key.
	Anonymous bool
	// Sticky is set if a server that has handled an object, or has a prompt cached, is faster for the next request for it.
	Sticky bool
}

// Retryable reports whether a request may be sent again although a backend server may have executed it.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// PickService returns the service for a request, or "" if the route has no targets. draw is a random number,
// uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the engines of a service.
type Engine struct {
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// MaxConns bounds the connections of all hosts together to one backend server.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routes and services.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service

	retainsTurns     bool
	longestRetention time.Duration // of routes that retain turns

	routes     map[string]map[string]*Route // by host, then by path prefix
	teams      map[string]*Team             // by name
	teamsByKey map[KeyID]*Team
}

// NewTable returns a table of the routes and services.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		Services: make(map[string]Service, len(services)),
		routes:   map[string]map[string]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.PathPrefix] = r
		t.retainsTurns = t.retainsTurns || r.RetainTurns
		if r.RetainTurns {
			t.longestRetention = max(t.longestRetention, r.ProgramRetention)
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes := t.routes[strings.ToLower(host)]
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r, ok := routes[path[:end]]; ok {
			return r
		}
	}
	return nil
}

// RetainsTurns reports whether a route retains turns.
func (t *Table) RetainsTurns() bool { return t.retainsTurns }

// LongestRetention returns the longest time for which a route retains turns after their last use.
func (t *Table) LongestRetention() time.Duration { return t.longestRetention }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, byPrefix := range t.routes {
		n += len(byPrefix)
	}
	return n
}

// TokensPerEvent returns the tokens in one event of the service's streams; 1 if the service sets none.
func (t *Table) TokensPerEvent(service string) int {
	s, ok := t.Services[service]
	if !ok || s.Engine == nil || s.Engine.TokensPerEvent < 1 {
		return 1
	}
	return s.Engine.TokensPerEvent
}
