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
	// MemoryBytes is the memory that the process may use; a part of it bounds the bodies that are held.
	MemoryBytes int64
}

const (
	// bodyMemoryShare is the part of the memory that the bodies of requests may take together.
	bodyMemoryShare = 0.3
	// defaultWait bounds a request whose caller and route name no time.
	defaultWait = 30 * time.Second
	// retryFloor is the least time after which a refused caller is asked to come back: a few requests' time.
	retryFloor = 100 * time.Millisecond
	// configRetry is the time after which a caller may come back to a host that has no configuration yet.
	configRetry = 300 * time.Millisecond
	// mebibyte is a unit of sizes.
	mebibyte = 1 << 20
)

// Ingress serves callers' requests.
type Ingress struct {
	options  Options
	headers  Headers
	servers  *Servers
	watchdog *watchdog
	table    atomic.Pointer[routing.Table]
	now      func() time.Time
	scope    tally.Scope
	draining atomic.Bool
	// memory is Options.MemoryBytes as last set.
	memory atomic.Int64
	// held is the size of all bodies in memory.
	held    atomic.Int64
	budgets Budgets
}

// Budgets accounts for what programs generate.
type Budgets interface {
	// Reserve counts a turn at its most. A nil error allows the turn to run; ErrBudgetSpent refuses it for good, and
	// any other error for now.
	Reserve(ctx context.Context, r Reservation) (Allowance, error)
	// Settle replaces the most of a reserved turn by what was handed to the caller.
	Settle(r Reservation, u Use)
}

// Allowance is what is known of a program when one of its turns is allowed.
type Allowance struct {
	// Home is the host that accounts for the program.
	Home string
	// Server is the engine that read the prompt so far, and Cached the tokens that it keeps; empty if there is none.
	Server string
	Cached int
}

// Use is what became of a turn.
type Use struct {
	// Tokens is what was handed to the caller.
	Tokens int
	// Server is the engine that ran the turn whole, and Cached the tokens that it keeps; empty if none did.
	Server string
	Cached int
}

// Reservation is one turn of a program.
type Reservation struct {
	Program string
	Attempt string
	Session string
	Budget  int
	Tokens  int
	// Retention is how long the program may come back.
	Retention time.Duration
}

// ErrBudgetSpent means that the program's budget does not hold the turn.
var ErrBudgetSpent = errors.New("budget of the program is spent")

// New returns an ingress without configuration. It answers 503 until SetTable is called.
func New(o Options, h Headers, servers *Servers, budgets Budgets, scope tally.Scope) *Ingress {
	in := &Ingress{options: o, headers: h, servers: servers, watchdog: newWatchdog(time.Now), now: time.Now, scope: scope, budgets: budgets}
	in.memory.Store(o.MemoryBytes)
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
			logging.Emit(logging.TableInForce, logging.Fields{"version": t.Version, "routes": t.Routes(), "origin": origin})
			return
		}
	}
}

// Drain makes the ingress end callers' connections with their next answers.
func (in *Ingress) Drain() { in.draining.Store(true) }

// retryAfter returns when a refused caller should come back, spread so that callers do not return together.
func (in *Ingress) retryAfter(string) time.Duration {
	return retryFloor + time.Duration(mathrand.Int64N(int64(2*retryFloor)))
}

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{in: in, request: r, began: in.now()}
	// What follows a chunked body may be a request that its sender did not mean, so the connection is not reused.
	if in.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	defer func() { in.held.Add(-int64(len(x.body))) }()
	f := x.admit(w)
	if f == nil {
		f = x.serve(w)
	}
	x.end(w, f)
}

// admit checks the request and reads its body.
func (x *exchange) admit(w http.ResponseWriter) *failure {
	in, r := x.in, x.request
	x.table = in.table.Load()
	if x.table == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: configRetry}
	}
	call, err := in.headers.Decode(r.Header)
	if err != nil {
		return &failure{status: http.StatusBadRequest, reason: "header", cause: err}
	}
	x.call = call
	if x.route = x.table.Match(r.Host, r.URL.Path); x.route == nil {
		return &failure{status: http.StatusNotFound, reason: "no route"}
	}
	if call.Attempt == "" {
		return &failure{status: http.StatusBadRequest, reason: "no attempt ID"}
	}
	x.service = x.route.Pick(mathrand.Float64())
	x.deadline = x.began.Add(x.wait())
	return x.readBody(w)
}

func (x *exchange) wait() time.Duration {
	d := defaultWait
	if x.call.Wait > 0 {
		d = min(d, x.call.Wait)
	}
	if x.route.Timeout > 0 {
		d = min(d, x.route.Timeout)
	}
	return d
}

func (x *exchange) readBody(w http.ResponseWriter) *failure {
	r, limit := x.request, x.table.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	most := int64(float64(x.in.memory.Load()) * bodyMemoryShare)
	if most > 0 && x.in.held.Load()+max(r.ContentLength, 0) > most {
		return &failure{status: http.StatusServiceUnavailable, reason: "no memory for the body", retryAfter: x.in.retryAfter("")}
	}
	body, err := x.readAll(w, limit)
	x.body = body
	x.in.held.Add(int64(len(body)))
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

// serve runs the request at backend servers.
func (x *exchange) serve(w http.ResponseWriter) *failure {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	if x.route.Kind != routing.Stream {
		resp, body, f := x.complete(ctx)
		if f != nil {
			return f
		}
		if err := writeAnswer(w, resp, body); err != nil {
			return &failure{reason: "caller left", cause: err}
		}
		return nil
	}
	s := &stream{exchange: x, w: w, rc: http.NewResponseController(w)}
	reservation := x.reservation()
	if reservation.Budget > 0 {
		if f := x.reserve(ctx, reservation); f != nil {
			return f
		}
	}
	f := x.refuseNew()
	if f == nil {
		f = s.run(ctx)
	}
	x.tokens = s.reader.events * x.table.EventTokens(x.service)
	if reservation.Budget > 0 {
		u := Use{Tokens: x.tokens}
		if f == nil {
			x.in.servers.Took(x.in.now().Sub(x.began))
			u.Server, u.Cached = x.server, x.call.PromptTokens+x.tokens
		}
		x.in.budgets.Settle(reservation, u)
	}
	if f != nil && s.started {
		f.status = 0
	}
	return f
}

// refuseNew refuses the first turn of a program while the engines are overloaded. Only the home of a program with a
// budget knows whether one has run.
func (x *exchange) refuseNew() *failure {
	if x.allowance.Home == "" || x.call.LastEvent != "" || x.allowance.Server != "" {
		return nil
	}
	pressure := x.in.servers.Pressure(x.service)
	retryAfter, refused := admission.Refuse(pressure, mathrand.Float64())
	if !refused {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, reason: "engines are overloaded", retryAfter: spread(retryAfter),
		cause: errors.Newf("%.0f requests for %d slots", pressure.Load, pressure.Slots),
	}
}

// spread varies a time by a quarter, so that callers do not return together.
func spread(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(mathrand.Int64N(int64(d/2)+1))
}

func (x *exchange) reservation() Reservation {
	return Reservation{
		Program: x.call.Program, Attempt: x.call.Attempt, Session: x.call.Session, Budget: x.call.Budget, Tokens: x.call.MaxTokens,
		Retention: x.route.Retention,
	}
}

func (x *exchange) reserve(ctx context.Context, r Reservation) *failure {
	allowance, err := x.in.budgets.Reserve(ctx, r)
	x.allowance = allowance
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrBudgetSpent):
		return &failure{status: http.StatusPaymentRequired, reason: "budget", cause: err}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "budget not known", retryAfter: x.in.retryAfter(""), cause: err}
}

// connKey finds the connection of a request in its context.
type connKey struct{}

// ConnContext is the http.Server's hook that lets a request reach its connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// abort makes the end of the connection a reset, so that a cut answer cannot look complete.
func abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0) // fails only on a connection that is closed already
	}
}

// end answers a request that failed, and logs and counts every request. An answer that has begun, or that nobody
// waits for, ends with the connection.
func (x *exchange) end(w http.ResponseWriter, f *failure) {
	x.log(f)
	switch {
	case f == nil:
	case f.status == 0:
		abort(x.request)
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
	took := x.in.now().Sub(x.began)
	fields := logging.Fields{
		"request": x.call.Attempt, "took_ms": took.Milliseconds(), "sends": x.sends,
	}
	tags := map[string]string{"kind": "unrouted", "result": "answered"}
	if x.call.Program != "" {
		fields["program"] = x.call.Program
	}
	if x.call.Budget > 0 {
		fields["budget"], fields["most_tokens"], fields["tokens"] = x.call.Budget, x.call.MaxTokens, x.tokens
		fields["home"] = x.allowance.Home
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
		fields["waited_ms"] = x.waited.Milliseconds()
	}
	event := logging.RequestAnswered
	if f != nil {
		event = logging.RequestFailed
		fields["status"], fields["reason"] = f.status, f.reason
		fields["runs"] = x.runs
		if f.retryAfter > 0 {
			fields["retry_after_ms"] = f.retryAfter.Milliseconds()
		}
		if f.cause != nil {
			fields["error"] = f.cause
		}
		tags["result"] = strings.ReplaceAll(f.reason, " ", "_")
	}
	logging.Emit(event, fields)
	scope := x.in.scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", requestBuckets).RecordDuration(took)
}

// requestBuckets cover the time of a request from a cache hit to the longest route timeout.
var requestBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 13)

// writeAnswer passes a backend server's answer on.
func writeAnswer(w http.ResponseWriter, resp *upstream.Response, body []byte) error {
	copyAnswerHeader(w.Header(), resp.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.Status)
	_, err := w.Write(body)
	return err
}

func copyAnswerHeader(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	removeHopHeaders(to)
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
