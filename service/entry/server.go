// Package entry is the HTTP API of a host for callers and operators. Any host accepts any request and
// forwards it to the program's home, at most one hop away.
package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/service/home"
	"github.com/hyssopreel/hyssopreel/service/membership"
)

const (
	// HostsTTL is how long a caller may keep the answer to "which host"; a host that leaves waits for so long
	// before it closes its listener.
	HostsTTL = 5 * time.Second
	// takeoverRetryAfter is when a caller should ask again while a program is being taken over.
	takeoverRetryAfter = time.Second
	// maxHostsInAnswer is the best host and two alternates.
	maxHostsInAnswer = 3
	// maxKeyBytes bounds a request key.
	maxKeyBytes = 128
	// headerLineOverhead is what a header line has besides its name and value: ": " and the line's end.
	headerLineOverhead = 4
)

// Options are what a Server needs.
type Options struct {
	View         membership.View
	Node         *wire.Node
	Home         *home.Home
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the headers of a request; 0 is no bound.
	MaxHeaderBytes int64
	// RequestTimeout bounds a request, streams included.
	RequestTimeout time.Duration
	// MountOperatorRoutes adds the operators' routes.
	MountOperatorRoutes func(r chi.Router)
	// Ready says whether the host can serve, and if not, why.
	Ready func() error
	// Metrics serves GET /metrics.
	Metrics http.Handler
	// ObserveRequest is called with each finished request; it may be nil.
	ObserveRequest func(route string, status int, d time.Duration)
}

// Server is the HTTP API of one host.
type Server struct {
	opts           Options
	tracer         trace.Tracer
	draining       atomic.Bool
	activeRequests atomic.Int64
	localGate      gate
}

// New returns a server and registers its handler for forwarded requests.
func New(o Options) *Server {
	s := &Server{opts: o, tracer: otel.Tracer("hyssopreel/entry"), localGate: gate{resumed: make(chan struct{})}}
	close(s.localGate.resumed)
	o.Node.Handle(wire.TypeForwardCall, s.handleForwarded)
	return s
}

// StartDrain makes the host send new programs elsewhere.
func (s *Server) StartDrain() { s.draining.Store(true) }

// ActiveRequests returns the number of HTTP requests being served.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.limitHeader)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get("/readyz", s.handleReady)
	if s.opts.Metrics != nil {
		r.Method(http.MethodGet, "/metrics", s.opts.Metrics)
	}
	r.Group(func(r chi.Router) {
		r.Use(s.instrument)
		r.Get("/v1/hosts", s.handleHosts)
		r.Post("/v1/programs", s.handleOpenProgram)
		r.Get("/v1/programs/{id}", s.bodylessHandler(opStatus, func(r *homeResult) any { return r.Status }))
		r.Delete("/v1/programs/{id}", s.bodylessHandler(opCancel, func(r *homeResult) any { return r.Status }))
		r.Post("/v1/programs/{id}/end", s.bodylessHandler(opEnd, func(r *homeResult) any { return r.Status }))
		r.Get("/v1/programs/{id}/history", s.bodylessHandler(opHistory, func(r *homeResult) any { return r.History }))
		r.Post("/v1/programs/{id}/calls", s.handleSubmitCall)
		r.Get("/v1/programs/{id}/calls/{key}", s.bodylessHandler(opOutcome, func(r *homeResult) any { return r.Answer }))
		if s.opts.MountOperatorRoutes != nil {
			s.opts.MountOperatorRoutes(r)
		}
	})
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, fault.New(fault.CodeNotFound, "route request", "no such path: %s", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", strings.Join(routeMethods(r), ", "))
		WriteJSON(w, http.StatusMethodNotAllowed, api.ErrorAnswer{
			Error: fault.New(fault.CodeInvalidRequest, "route request", "method %s is not allowed for %s", r.Method, r.URL.Path),
		})
	})
	return r
}

// routeMethods returns the methods of a path.
func routeMethods(r *http.Request) []string {
	path := r.URL.RawPath
	if path == "" {
		path = r.URL.Path
	}
	var out []string
	for _, m := range []string{http.MethodDelete, http.MethodGet, http.MethodPost} {
		if chi.RouteContext(r.Context()).Routes.Match(chi.NewRouteContext(), m, path) {
			out = append(out, m)
		}
	}
	return out
}

// limitHeader refuses requests whose headers are too large. The limit of net/http, which answers without a typed
// error, is above it.
func (s *Server) limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead)
		for k, values := range r.Header {
			for _, v := range values {
				n += int64(len(k) + len(v) + headerLineOverhead)
			}
		}
		if limit := s.opts.MaxHeaderBytes; limit > 0 && n > limit {
			WriteJSON(w, http.StatusRequestHeaderFieldsTooLarge, api.ErrorAnswer{
				Error: fault.New(fault.CodeTooLarge, "read request", "the headers have %d bytes; %d are allowed", n, limit),
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Param returns a parameter of the path. With escaped slashes, chi matches the escaped path.
func Param(r *http.Request, name string) string {
	v := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return v
	}
	if u, err := url.PathUnescape(v); err == nil {
		return u
	}
	return v
}

// statusWriter notes the status for metrics; it passes Flush on for streams.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(code int) {
	w.status = code
	w.ResponseWriter.WriteHeader(code)
}

func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (s *Server) instrument(next http.Handler) http.Handler {
	propagator := propagation.TraceContext{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
		start := time.Now()
		ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := s.tracer.Start(ctx, "entry "+r.Method, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes)
		sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(sw, r.WithContext(ctx))
		span.SetAttributes(attribute.Int("status", sw.status))
		span.SetName("entry " + r.Method + " " + chi.RouteContext(r.Context()).RoutePattern())
		if s.opts.ObserveRequest != nil {
			s.opts.ObserveRequest(r.Method+" "+chi.RouteContext(r.Context()).RoutePattern(), sw.status, time.Since(start))
		}
	})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		WriteError(w, fault.New(fault.CodeDraining, "readiness", "the host is shutting down"))
		return
	}
	if err := s.opts.Ready(); err != nil {
		WriteError(w, fault.New(fault.CodeDraining, "readiness", "%v", err))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// handleHosts answers which host to use: the home of a program first, or the hosts in an order drawn at random so
// that callers who come in the same minute are spread.
func (s *Server) handleHosts(w http.ResponseWriter, r *http.Request) {
	a := api.HostsAnswer{Epoch: s.opts.View.Epoch(), TTLMS: HostsTTL.Milliseconds()}
	key := randomKey()
	if id := ids.Program(r.URL.Query().Get("program")); id != "" {
		home, ferr := s.findHome(homeRequest{Op: opStatus, Program: id})
		if ferr != nil && ferr.Code == fault.CodeInvalidRequest {
			WriteError(w, ferr)
			return
		}
		if ferr == nil {
			a.Hosts = append(a.Hosts, hostAddress(home))
		}
		key = string(id)
	}
	for _, m := range s.opts.View.RendezvousOrder(key) {
		if len(a.Hosts) == maxHostsInAnswer {
			break
		}
		if len(a.Hosts) == 0 || a.Hosts[0].Name != m.Name {
			a.Hosts = append(a.Hosts, hostAddress(m))
		}
	}
	WriteJSON(w, http.StatusOK, a)
}

func hostAddress(m membership.Member) api.HostAddress {
	return api.HostAddress{Name: m.Name, Address: m.HTTPAddress, FailureDomain: m.FailureDomain}
}

func (s *Server) handleOpenProgram(w http.ResponseWriter, r *http.Request) {
	var q api.OpenProgram
	if ferr := Decode(r, &q); ferr != nil {
		WriteError(w, ferr)
		return
	}
	res, err := s.doAtHome(r.Context(), homeRequest{Op: opOpen, Open: &q}, nil)
	if err != nil {
		WriteError(w, fault.From(err, "open program"))
		return
	}
	WriteJSON(w, http.StatusCreated, res.Opened)
}

// bodylessHandler serves a request that has no body and one answer.
func (s *Server) bodylessHandler(o op, pick func(*homeResult) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := homeRequest{Op: o, Program: ids.Program(Param(r, "id")), Key: Param(r, "key")}
		res, err := s.doAtHome(r.Context(), q, nil)
		if err != nil {
			WriteError(w, fault.From(err, string(o)))
			return
		}
		WriteJSON(w, http.StatusOK, pick(res))
	}
}

func (s *Server) handleSubmitCall(w http.ResponseWriter, r *http.Request) {
	var c api.Call
	if ferr := Decode(r, &c); ferr != nil {
		WriteError(w, ferr)
		return
	}
	if ferr := validateCall(c); ferr != nil {
		WriteError(w, ferr)
		return
	}
	q := homeRequest{Op: opCall, Program: ids.Program(Param(r, "id")), Call: &c}
	if c.Stream {
		s.streamCall(w, r, q)
		return
	}
	res, err := s.doAtHome(r.Context(), q, nil)
	if err != nil {
		WriteError(w, fault.From(err, "call"))
		return
	}
	status := http.StatusOK
	if res.Answer.Error != nil {
		status = res.Answer.Error.HTTPStatus()
	}
	WriteJSON(w, status, res.Answer)
}

// streamCall answers with server-sent events. An error before the first piece is a plain error answer, so
// that a refusal has its status code.
func (s *Server) streamCall(w http.ResponseWriter, r *http.Request, q homeRequest) {
	started := false
	rc := http.NewResponseController(w)
	send := func(event string, v any) {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		b, err := json.Marshal(v)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", event, b)
		_ = rc.Flush()
	}
	res, err := s.doAtHome(r.Context(), q, func(p api.Piece) { send("piece", p) })
	switch {
	case err != nil && !started:
		WriteError(w, fault.From(err, "call"))
	case err != nil:
		send("error", api.ErrorAnswer{Error: fault.From(err, "call")})
	default:
		send("answer", res.Answer)
	}
}

// validateCall checks what can be checked without the program.
func validateCall(c api.Call) *fault.Error {
	invalid := func(format string, args ...any) *fault.Error {
		return fault.New(fault.CodeInvalidRequest, "check call", format, args...)
	}
	if c.Key == "" || len(c.Key) > maxKeyBytes {
		return invalid("key has %d bytes; 1 to %d are allowed", len(c.Key), maxKeyBytes)
	}
	// The key is sent to backend servers in a header.
	if i := strings.IndexFunc(c.Key, func(r rune) bool { return r <= ' ' || r > '~' }); i >= 0 {
		return invalid("key %q has a character at byte %d that is not printable ASCII, or is a blank", c.Key, i)
	}
	if c.Seq < 0 {
		return invalid("seq is %d; it counts from 1", c.Seq)
	}
	set := map[api.CallKind]bool{
		api.CallModel: c.Model != nil, api.CallTool: c.Tool != nil, api.CallService: c.Service != nil, api.CallAgent: c.Agent != nil,
	}
	n := 0
	for _, v := range set {
		if v {
			n++
		}
	}
	if !set[c.Kind] || n != 1 {
		return invalid("a call of kind %q has exactly the field %q", c.Kind, c.Kind)
	}
	return validateCallFields(c, invalid)
}

func validateCallFields(c api.Call, invalid func(string, ...any) *fault.Error) *fault.Error {
	switch {
	case c.Model != nil && (c.Model.Prompt == "" || c.Model.MaxTokens < 0):
		return invalid("model.prompt must not be empty and model.max_tokens must not be negative")
	case c.Service != nil && !isCleanPath(c.Service.Path):
		return invalid("service.path %q is not an absolute path without dot segments and without a fragment", c.Service.Path)
	case c.Service != nil && !serviceMethods[c.Service.Method]:
		return invalid("service.method %q is not one of GET, POST, PUT, PATCH, DELETE", c.Service.Method)
	case c.Agent != nil && (c.Agent.Prompt == "" || c.Agent.BudgetTokens <= 0):
		return invalid("agent.prompt must not be empty and agent.budget_tokens must be positive")
	}
	return nil
}

// isCleanPath says whether a path reaches the backend server as it is. With dot segments, a path that looks
// idempotent could lead to another one.
func isCleanPath(path string) bool {
	u, err := url.ParseRequestURI(path)
	if err != nil || path[0] != '/' || strings.Contains(path, "#") {
		return false
	}
	return !slices.ContainsFunc(strings.Split(u.Path, "/"), func(s string) bool { return s == "." || s == ".." })
}

var serviceMethods = map[string]bool{
	http.MethodGet: true, http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true, http.MethodDelete: true,
}

// Decode reads a JSON body strictly: unknown fields and data after the value are errors.
func Decode(r *http.Request, v any) *fault.Error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		// More is not enough: it is false before a closing brace or bracket.
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("data after the JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.CodeTooLarge, "read request", "the body is larger than %d bytes", tooLarge.Limit)
	default:
		return fault.New(fault.CodeInvalidRequest, "read request", "%v", err)
	}
}

// WriteError answers with an error.
func WriteError(w http.ResponseWriter, e *fault.Error) {
	if e.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+999)/1000, 10))
	}
	WriteJSON(w, e.HTTPStatus(), api.ErrorAnswer{Error: e})
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
