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
	"github.com/hyssopreel/hyssopreel/service/memlimit"
)

const (
	// HostsTTL is how long a caller may cache a response of GET /v1/hosts. A host that shuts down waits this long
	// before it closes its listener.
	HostsTTL = 5 * time.Second
	// takeoverRetryAfter is the retry delay sent to callers while a program is being taken over.
	takeoverRetryAfter = time.Second
	// memoryRetryAfter is sent to callers whose bodies are refused for want of memory.
	memoryRetryAfter = 500 * time.Millisecond
	// homeWait bounds the wait for the record of the host that takes a program over, which members send to each other as
	// it changes; homePollInterval is how often the member list is read in that time.
	homeWait         = 300 * time.Millisecond
	homePollInterval = 10 * time.Millisecond
	// maxHostsInAnswer bounds the hosts in a response of GET /v1/hosts: the preferred host and two alternates.
	maxHostsInAnswer = 3
	// maxKeyBytes bounds the key of a call.
	maxKeyBytes = 128
	// headerLineOverhead is the number of bytes of a header line besides its name and value: ": " and CRLF.
	headerLineOverhead = 4
)

// Options are the dependencies and settings of a Server.
type Options struct {
	View         membership.View
	Node         *wire.Node
	Home         *home.Home
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the request line and headers of a request; 0 disables the check.
	MaxHeaderBytes int64
	// RequestTimeout bounds a request, including a streamed response.
	RequestTimeout time.Duration
	// MountOperatorRoutes adds the routes for operators; it may be nil.
	MountOperatorRoutes func(r chi.Router)
	// Ready returns nil if the host can serve requests, and otherwise the reason why not.
	Ready func() error
	// Metrics serves GET /metrics; nil disables the route.
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

// StartDrain makes the host report "not ready" and open new programs at other hosts.
func (s *Server) StartDrain() { s.draining.Store(true) }

// ActiveRequests returns the number of HTTP requests being served.
func (s *Server) ActiveRequests() int64 { return s.activeRequests.Load() }

// Handler returns the handler of all routes.
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

// routeMethods returns the methods that the path of the request allows, in alphabetical order.
func routeMethods(r *http.Request) []string {
	path := r.URL.RawPath
	if path == "" {
		path = r.URL.Path
	}
	var methods []string
	for _, method := range []string{http.MethodDelete, http.MethodGet, http.MethodPost} {
		if chi.RouteContext(r.Context()).Routes.Match(chi.NewRouteContext(), method, path) {
			methods = append(methods, method)
		}
	}
	return methods
}

// limitHeader rejects requests whose headers exceed Options.MaxHeaderBytes. The limit of net/http must be higher,
// because net/http rejects a request without a JSON error.
func (s *Server) limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + headerLineOverhead)
		for name, values := range r.Header {
			for _, value := range values {
				size += int64(len(name) + len(value) + headerLineOverhead)
			}
		}
		if limit := s.opts.MaxHeaderBytes; limit > 0 && size > limit {
			WriteJSON(w, http.StatusRequestHeaderFieldsTooLarge, api.ErrorAnswer{
				Error: fault.New(fault.CodeTooLarge, "read request", "the headers have %d bytes; %d are allowed", size, limit),
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Param returns the unescaped value of a path parameter. If the path contains escaped slashes, chi matches the
// escaped path, so that its parameter is still escaped.
func Param(r *http.Request, name string) string {
	value := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return value
	}
	if unescaped, err := url.PathUnescape(value); err == nil {
		return unescaped
	}
	return value
}

// statusWriter records the status for the metrics. Unwrap gives http.ResponseController access to Flush.
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
		recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r.WithContext(ctx))
		span.SetAttributes(attribute.Int("status", recorder.status))
		span.SetName("entry " + r.Method + " " + chi.RouteContext(r.Context()).RoutePattern())
		if s.opts.ObserveRequest != nil {
			s.opts.ObserveRequest(r.Method+" "+chi.RouteContext(r.Context()).RoutePattern(), recorder.status, time.Since(start))
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

// handleHosts returns the hosts that a caller should use: for a program its home first, and otherwise hosts in random
// order, which distributes callers that arrive at the same time.
func (s *Server) handleHosts(w http.ResponseWriter, r *http.Request) {
	answer := api.HostsAnswer{Epoch: s.opts.View.Epoch(), TTLMS: HostsTTL.Milliseconds()}
	key := randomKey()
	if id := ids.Program(r.URL.Query().Get("program")); id != "" {
		home, ferr := s.findHome(homeRequest{Op: opStatus, Program: id})
		if ferr != nil && ferr.Code == fault.CodeInvalidRequest {
			WriteError(w, ferr)
			return
		}
		if ferr == nil {
			answer.Hosts = append(answer.Hosts, hostAddress(home))
		}
		key = string(id)
	}
	for _, m := range s.opts.View.RendezvousOrder(key) {
		if len(answer.Hosts) == maxHostsInAnswer {
			break
		}
		if len(answer.Hosts) == 0 || answer.Hosts[0].Name != m.Name {
			answer.Hosts = append(answer.Hosts, hostAddress(m))
		}
	}
	WriteJSON(w, http.StatusOK, answer)
}

func hostAddress(m membership.Member) api.HostAddress {
	return api.HostAddress{Name: m.Name, Address: m.HTTPAddress, FailureDomain: m.FailureDomain}
}

func (s *Server) handleOpenProgram(w http.ResponseWriter, r *http.Request) {
	var body api.OpenProgram
	if ferr := Decode(r, &body); ferr != nil {
		WriteError(w, ferr)
		return
	}
	result, err := s.doAtHome(r.Context(), homeRequest{Op: opOpen, Open: &body}, nil)
	if err != nil {
		WriteError(w, fault.From(err, "open program"))
		return
	}
	WriteJSON(w, http.StatusCreated, result.Opened)
}

// bodylessHandler returns a handler for an operation without a request body; pick selects the response body.
func (s *Server) bodylessHandler(operation op, pick func(*homeResult) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request := homeRequest{Op: operation, Program: ids.Program(Param(r, "id")), Key: Param(r, "key")}
		result, err := s.doAtHome(r.Context(), request, nil)
		if err != nil {
			WriteError(w, fault.From(err, string(operation)))
			return
		}
		WriteJSON(w, http.StatusOK, pick(result))
	}
}

func (s *Server) handleSubmitCall(w http.ResponseWriter, r *http.Request) {
	var call api.Call
	if ferr := Decode(r, &call); ferr != nil {
		WriteError(w, ferr)
		return
	}
	if ferr := validateCall(call); ferr != nil {
		WriteError(w, ferr)
		return
	}
	request := homeRequest{Op: opCall, Program: ids.Program(Param(r, "id")), Call: &call}
	if call.Stream {
		s.streamCall(w, r, request)
		return
	}
	result, err := s.doAtHome(r.Context(), request, nil)
	if err != nil {
		WriteError(w, fault.From(err, "call"))
		return
	}
	status := http.StatusOK
	if result.Answer.Error != nil {
		status = result.Answer.Error.HTTPStatus()
	}
	WriteJSON(w, status, result.Answer)
}

// streamCall responds with server-sent events. An error before the first piece is an ordinary error response, so that a
// rejected call has its HTTP status code.
func (s *Server) streamCall(w http.ResponseWriter, r *http.Request, request homeRequest) {
	started := false
	controller := http.NewResponseController(w)
	send := func(event string, data any) {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		encoded, err := json.Marshal(data)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", event, encoded)
		_ = controller.Flush()
	}
	result, err := s.doAtHome(r.Context(), request, func(p api.Piece) { send("piece", p) })
	switch {
	case err != nil && !started:
		WriteError(w, fault.From(err, "call"))
	case err != nil:
		send("error", api.ErrorAnswer{Error: fault.From(err, "call")})
	default:
		send("answer", result.Answer)
	}
}

// validateCall checks everything that does not depend on the program's state or on the configuration.
func validateCall(c api.Call) *fault.Error {
	invalid := func(format string, args ...any) *fault.Error {
		return fault.New(fault.CodeInvalidRequest, "check call", format, args...)
	}
	if c.Key == "" || len(c.Key) > maxKeyBytes {
		return invalid("key has %d bytes; 1 to %d are allowed", len(c.Key), maxKeyBytes)
	}
	// The key is sent to backend servers in an HTTP header.
	if i := strings.IndexFunc(c.Key, func(r rune) bool { return r <= ' ' || r > '~' }); i >= 0 {
		return invalid("key %q has a blank or a character other than printable ASCII at byte %d", c.Key, i)
	}
	if c.Seq < 0 {
		return invalid("seq is %d; it must be at least 1, or 0 for the order of arrival", c.Seq)
	}
	set := map[api.CallKind]bool{
		api.CallModel: c.Model != nil, api.CallTool: c.Tool != nil, api.CallService: c.Service != nil, api.CallAgent: c.Agent != nil,
	}
	fields := 0
	for _, present := range set {
		if present {
			fields++
		}
	}
	if !set[c.Kind] || fields != 1 {
		return invalid("a call of kind %q must have the field %q and no field of another kind", c.Kind, c.Kind)
	}
	return validateCallFields(c, invalid)
}

func validateCallFields(c api.Call, invalid func(string, ...any) *fault.Error) *fault.Error {
	switch {
	case c.Model != nil && (c.Model.Prompt == "" || c.Model.MaxTokens < 0):
		return invalid("model.prompt must not be empty and model.max_tokens must not be negative; got a prompt of %d bytes and max_tokens %d", len(c.Model.Prompt), c.Model.MaxTokens)
	case c.Service != nil && !isCleanPath(c.Service.Path):
		return invalid("service.path %q must be an absolute path without dot segments and fragment", c.Service.Path)
	case c.Service != nil && !serviceMethods[c.Service.Method]:
		return invalid("service.method %q must be one of GET, POST, PUT, PATCH, DELETE", c.Service.Method)
	case c.Agent != nil && (c.Agent.Prompt == "" || c.Agent.BudgetTokens <= 0):
		return invalid("agent.prompt must not be empty and agent.budget_tokens must be positive; got a prompt of %d bytes and budget_tokens %d", len(c.Agent.Prompt), c.Agent.BudgetTokens)
	}
	return nil
}

// isCleanPath reports whether the backend server receives the path unchanged. Dot segments could turn the path of an
// idempotent route into that of another route.
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
		// Decoder.More would not detect a trailing brace or bracket: it returns false before them.
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("data after the JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memlimit.ErrNoMemory), errors.Is(err, memlimit.ErrEvicted):
		return fault.New(fault.CodeOverloaded, "read request", "%v", err).WithRetryAfter(memoryRetryAfter)
	case errors.As(err, &tooLarge):
		return fault.New(fault.CodeTooLarge, "read request", "the body is larger than %d bytes", tooLarge.Limit)
	default:
		return fault.New(fault.CodeInvalidRequest, "read request", "invalid request body: %v", err)
	}
}

// WriteError writes a JSON error response with the status code of e, and Retry-After in seconds if e has a retry delay.
func WriteError(w http.ResponseWriter, e *fault.Error) {
	if e.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+999)/1000, 10))
	}
	WriteJSON(w, e.HTTPStatus(), api.ErrorAnswer{Error: e})
}

// WriteJSON writes a JSON response. An error of the encoder or the connection is ignored.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
