package ingress

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/admission"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

// Options describe the host of an ingress.
type Options struct {
	FailureDomain string
	// MemoryLimitBytes is the memory that the process may use; a part of it bounds the bodies that are held.
	MemoryLimitBytes int64
}

const (
	// maxBodyMemoryFraction is the part of the memory that the bodies of requests may take together.
	maxBodyMemoryFraction = 0.3
	// defaultRequestTimeout bounds a request whose caller and route name no time.
	defaultRequestTimeout = 30 * time.Second
	// minRetryAfter is the least time after which a refused caller is asked to come back: a few requests' time.
	minRetryAfter = 100 * time.Millisecond
	// noConfigRetryAfter is the time after which a caller may come back to a host that has no configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// mebibyte is a unit of sizes.
	mebibyte = 1 << 20
)

// Ingress serves callers' requests.
type Ingress struct {
	options     Options
	headerCodec HeaderCodec
	servers     *Servers
	watchdog    *watchdog
	table       atomic.Pointer[routing.Table]
	now         func() time.Time
	scope       tally.Scope
	draining    atomic.Bool
	// memoryLimitBytes is Options.MemoryBytes as last set.
	memoryLimitBytes atomic.Int64
	// bufferedBodyBytes is the size of all bodies in memory.
	bufferedBodyBytes atomic.Int64
	budgets           Budgets
}

// Budgets accounts for what programs generate.
type Budgets interface {
	// Reserve counts a turn at its most. A nil error allows the turn to run; ErrBudgetSpent refuses it for good, and
	// any other error for now.
	Reserve(ctx context.Context, r Reservation) (ReservationResult, error)
	// Settle replaces the most of a reserved turn by what was handed to the caller.
	Settle(r Reservation, u Usage)
}

// ReservationResult is what is known of a program when one of its turns is allowed.
type ReservationResult struct {
	// Home is the host that accounts for the program.
	Home string
	// CacheServer is the engine that read the prompt so far, and Cached the tokens that it keeps; empty if there is none.
	CacheServer  string
	CachedTokens int
}

// Usage is what became of a turn.
type Usage struct {
	// DeliveredTokens is what was handed to the caller.
	DeliveredTokens int
	// CacheServer is the engine that ran the turn whole, and Cached the tokens that it keeps; empty if none did.
	CacheServer  string
	CachedTokens int
}

// Reservation is one turn of a program.
type Reservation struct {
	Program   string
	Attempt   string
	Session   string
	Budget    int
	MaxTokens int
	// Retention is how long the program may come back.
	Retention time.Duration
}

// ErrBudgetExhausted means that the program's budget does not hold the turn.
var ErrBudgetExhausted = errors.New("budget of the program is spent")

// New returns an ingress without configuration. It answers 503 until SetTable is called.
func New(o Options, h HeaderCodec, servers *Servers, budgets Budgets, scope tally.Scope) *Ingress {
	in := &Ingress{options: o, headerCodec: h, servers: servers, watchdog: newWatchdog(time.Now), now: time.Now, scope: scope, budgets: budgets}
	in.memoryLimitBytes.Store(o.MemoryLimitBytes)
	return in
}

// SetTable puts a configuration in force unless the one in force is newer.
func (in *Ingress) SetTable(t *routing.Table, origin string) {
	for {
		current := in.table.Load()
		if current != nil && current.Version >= t.Version {
			return
		}
		if in.table.CompareAndSwap(current, t) {
			logging.Emit(logging.TableInForce, logging.Fields{"version": t.Version, "routes": t.RouteCount(), "origin": origin})
			return
		}
	}
}

// Drain makes the ingress end callers' connections with their next answers.
func (in *Ingress) Drain() { in.draining.Store(true) }

// retryAfter returns when a refused caller should come back, spread so that callers do not return together.
func (in *Ingress) retryAfter(string) time.Duration {
	return minRetryAfter + time.Duration(mathrand.Int64N(int64(2*minRetryAfter)))
}

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{ingress: in, request: r, startedAt: in.now()}
	// What follows a chunked body may be a request that its sender did not mean, so the connection is not reused.
	if in.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	defer func() { in.bufferedBodyBytes.Add(-int64(len(x.body))) }()
	f := x.validateAndReadBody(w)
	if f == nil {
		f = x.forward(w)
	}
	x.finish(w, f)
}

// validateAndReadBody checks the request and reads its body.
func (x *exchange) validateAndReadBody(w http.ResponseWriter) *failure {
	in, r := x.ingress, x.request
	x.table = in.table.Load()
	if x.table == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: noConfigRetryAfter}
	}
	call, err := in.headerCodec.DecodeRequest(r.Header)
	if err != nil {
		return &failure{status: http.StatusBadRequest, reason: "header", cause: err}
	}
	x.metadata = call
	if x.route = x.table.Match(r.Host, r.URL.Path); x.route == nil {
		return &failure{status: http.StatusNotFound, reason: "no route"}
	}
	if call.Attempt == "" {
		return &failure{status: http.StatusBadRequest, reason: "no attempt ID"}
	}
	x.service = x.route.PickService(mathrand.Float64())
	x.deadline = x.startedAt.Add(x.timeout())
	return x.readBody(w)
}

func (x *exchange) timeout() time.Duration {
	d := defaultRequestTimeout
	if x.metadata.Timeout > 0 {
		d = min(d, x.metadata.Timeout)
	}
	if x.route.Timeout > 0 {
		d = min(d, x.route.Timeout)
	}
	return d
}

func (x *exchange) readBody(w http.ResponseWriter) *failure {
	r, limit := x.request, x.table.Limits.MaxBodyBytes
	if limit > 0 && r.ContentLength > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	most := int64(float64(x.ingress.memoryLimitBytes.Load()) * maxBodyMemoryFraction)
	if most > 0 && x.ingress.bufferedBodyBytes.Load()+max(r.ContentLength, 0) > most {
		return &failure{status: http.StatusServiceUnavailable, reason: "no memory for the body", retryAfter: x.ingress.retryAfter("")}
	}
	body, err := x.readAll(w, limit)
	x.body = body
	x.ingress.bufferedBodyBytes.Add(int64(len(body)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case err != nil:
		return &failure{status: http.StatusBadRequest, reason: "body cannot be read", cause: err}
	}
	return nil
}

func (x *exchange) readAll(w http.ResponseWriter, limit int64) ([]byte, error) {
	r := x.request
	if limit <= 0 {
		limit = mebibyte
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 || r.ContentLength > mebibyte {
		return io.ReadAll(reader)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(reader, body)
	if err == nil {
		// net/http watches for the caller's departure only after the end of the body was read.
		_, err = reader.Read(make([]byte, 1))
	}
	if err == io.EOF {
		err = nil
	}
	return body, err
}

// forward runs the request at backend servers.
func (x *exchange) forward(w http.ResponseWriter) *failure {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	if x.route.Kind != routing.Stream {
		resp, body, f := x.forwardWithHedging(ctx)
		if f != nil {
			return f
		}
		if err := writeResponse(w, resp, body); err != nil {
			return &failure{reason: "caller left", cause: err}
		}
		return nil
	}
	s := &stream{exchange: x, w: w, controller: http.NewResponseController(w)}
	reservation := x.newReservation()
	if reservation.Budget > 0 {
		if f := x.reserveBudget(ctx, reservation); f != nil {
			return f
		}
	}
	f := x.shedNewProgram()
	if f == nil {
		f = s.run(ctx)
	}
	x.deliveredTokens = s.reader.eventCount * x.table.TokensPerEvent(x.service)
	if reservation.Budget > 0 {
		u := Usage{DeliveredTokens: x.deliveredTokens}
		if f == nil {
			x.ingress.servers.RecordTurnTime(x.ingress.now().Sub(x.startedAt))
			u.CacheServer, u.CachedTokens = x.server, x.metadata.PromptTokens+x.deliveredTokens
		}
		x.ingress.budgets.Settle(reservation, u)
	}
	if f != nil && s.headerSent {
		f.status = 0
	}
	return f
}

// shedNewProgram refuses the first turn of a program while the engines are overloaded. Only the home of a program with a
// budget knows whether one has run.
func (x *exchange) shedNewProgram() *failure {
	if x.reserved.Home == "" || x.metadata.LastEventID != "" || x.reserved.CacheServer != "" {
		return nil
	}
	pressure := x.ingress.servers.Pressure(x.service)
	retryAfter, refused := admission.ShouldShed(pressure, mathrand.Float64())
	if !refused {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, reason: "engines are overloaded", retryAfter: jitter(retryAfter),
		cause: errors.Newf("%.0f requests for %d slots", pressure.Requests, pressure.Slots),
	}
}

// jitter varies a time by a quarter, so that callers do not return together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(mathrand.Int64N(int64(d/2)+1))
}

func (x *exchange) newReservation() Reservation {
	return Reservation{
		Program: x.metadata.Program, Attempt: x.metadata.Attempt, Session: x.metadata.Session, Budget: x.metadata.TokenBudget, MaxTokens: x.metadata.MaxTokens,
		Retention: x.route.ProgramRetention,
	}
}

func (x *exchange) reserveBudget(ctx context.Context, r Reservation) *failure {
	allowance, err := x.ingress.budgets.Reserve(ctx, r)
	x.reserved = allowance
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrBudgetExhausted):
		return &failure{status: http.StatusPaymentRequired, reason: "budget", cause: err}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "budget not known", retryAfter: x.ingress.retryAfter(""), cause: err}
}

// connKey finds the connection of a request in its context.
type connKey struct{}

// ConnContext is the http.Server's hook that lets a request reach its connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetOnClose makes the end of the connection a reset, so that a cut answer cannot look complete.
func resetOnClose(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0) // fails only on a connection that is closed already
	}
}

// finish answers a request that failed, and logs and counts every request. An answer that has begun, or that nobody
// waits for, ends with the connection.
func (x *exchange) finish(w http.ResponseWriter, f *failure) {
	x.log(f)
	switch {
	case f == nil:
	case f.status == 0:
		resetOnClose(x.request)
		panic(http.ErrAbortHandler)
	default:
		if f.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
		}
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(f.status)
	}
}

func (x *exchange) log(f *failure) {
	took := x.ingress.now().Sub(x.startedAt)
	fields := logging.Fields{
		"request": x.metadata.Attempt, "took_ms": took.Milliseconds(), "sends": x.upstreamRequests,
	}
	tags := map[string]string{"kind": "unrouted", "result": "answered"}
	if x.metadata.Program != "" {
		fields["program"] = x.metadata.Program
	}
	if x.metadata.TokenBudget > 0 {
		fields["budget"], fields["most_tokens"], fields["tokens"] = x.metadata.TokenBudget, x.metadata.MaxTokens, x.deliveredTokens
		fields["home"] = x.reserved.Home
	}
	if x.table != nil {
		fields["table"] = x.table.Version
	}
	if x.route != nil {
		fields["route"] = x.route.Name
		tags["kind"] = x.route.Kind.String()
	}
	if x.server != "" {
		fields["server"] = x.server
		fields["load"] = int(x.load)
		fields["load_age_ms"] = min(x.loadAge, time.Minute).Milliseconds()
		fields["waited_ms"] = x.placementTime.Milliseconds()
	}
	event := logging.RequestAnswered
	if f != nil {
		event = logging.RequestFailed
		fields["status"], fields["reason"] = f.status, f.reason
		fields["runs"] = x.executions
		if f.retryAfter > 0 {
			fields["retry_after_ms"] = f.retryAfter.Milliseconds()
		}
		if f.cause != nil {
			fields["error"] = f.cause
		}
		tags["result"] = strings.ReplaceAll(f.reason, " ", "_")
	}
	logging.Emit(event, fields)
	scope := x.ingress.scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", requestDurationBuckets).RecordDuration(took)
}

// requestDurationBuckets cover the time of a request from a cache hit to the longest route timeout.
var requestDurationBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 13)

// writeResponse passes a backend server's answer on.
func writeResponse(w http.ResponseWriter, resp *upstream.Response, body []byte) error {
	copyResponseHeader(w.Header(), resp.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.Status)
	_, err := w.Write(body)
	return err
}

func copyResponseHeader(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	removeHopByHopHeaders(to)
	if closing != "" {
		to.Set("Connection", closing)
	}
}

// splitList yields the elements of a comma-separated header value.
func splitList(v string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(v, ",") {
			if part = strings.TrimSpace(part); part != "" && !yield(part) {
				return
			}
		}
	}
}

// newIncarnation returns a name of this start of the process that no other start has.
func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
