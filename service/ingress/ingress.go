package ingress

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
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
	"github.com/hyssopreel/hyssopreel/core/founders"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/service/memlimit"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

// Options describe the host of an ingress.
type Options struct {
	FailureDomain string
	// MemoryLimitBytes is the memory that the process may use; 0 is no limit. It bounds what callers make it hold, unless
	// Memory is set.
	MemoryLimitBytes int64
	// Memory bounds what callers make the process hold.
	Memory *memlimit.Limiter
	// Permits grants requests to servers that name a rate limit. If it is nil, the host is the only one.
	Permits Permits
	// Access decides which requests may run where the configuration has teams. If it is nil, the host is the only one.
	Access Access
	// Turns retains turns. It may be nil if no route needs that.
	Turns Turns
	// Quotas keeps teams within their quotas. If it is nil, there are none.
	Quotas Quotas
}

const (
	// defaultRequestTimeout holds unless the caller or the route sets a shorter one.
	defaultRequestTimeout = 30 * time.Second
	// minRetryAfter is the shortest Retry-After of a refused request: the duration of a few requests.
	minRetryAfter = 100 * time.Millisecond
	// noConfigRetryAfter is the Retry-After of a host that has no configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// drainAnswerTime is the time before the end of a draining host at which its last requests are answered.
	drainAnswerTime = 50 * time.Millisecond
)

// Ingress is the http.Handler that serves callers' requests.
type Ingress struct {
	options     Options
	headerCodec HeaderCodec
	servers     *Servers
	watchdog    *watchdog
	table       atomic.Pointer[routing.Table]
	now         func() time.Time
	scope       tally.Scope
	draining    atomic.Bool
	// drainEnd is when a draining host closes the remaining connections. refusing is set once it takes no more requests.
	drainEnd atomic.Pointer[time.Time]
	refusing atomic.Bool
	memory   *memlimit.Limiter
	budgets  Budgets
	permits  Permits
	access   Access
	turns    Turns
	poison   *poisonRecords
}

// Budgets accounts for the tokens that programs generate.
type Budgets interface {
	// Reserve sets MaxTokens of the program's budget aside for a turn. ErrBudgetExhausted refuses the turn
	// permanently; after any other error the caller may try again.
	Reserve(ctx context.Context, r Reservation) (ReservationResult, error)
	// Settle replaces the reserved tokens of a turn by its delivered tokens.
	Settle(r Reservation, u Usage)
}

// ReservationResult is the state of a program after tokens were reserved for one of its turns.
type ReservationResult struct {
	// Home is the name of the host that accounts for the program.
	Home string
	// CacheServer is the ID of the engine that has CachedTokens tokens of the session's prompt cached; empty if there
	// is none.
	CacheServer  string
	CachedTokens int
}

// Usage is the settlement of a turn.
type Usage struct {
	// DeliveredTokens is the number of tokens that the caller received.
	DeliveredTokens int
	// CacheServer is the ID of the engine that completed the turn and has CachedTokens tokens of the session cached;
	// empty if the turn did not complete.
	CacheServer  string
	CachedTokens int
}

// Reservation asks for tokens for one turn of a program.
type Reservation struct {
	Program   string
	Attempt   string
	Session   string
	Budget    int // tokens, for all turns of the program
	MaxTokens int
	// Retention is how long the program may pause between turns.
	Retention time.Duration
}

// ErrBudgetExhausted means that MaxTokens of a turn exceeds what remains of the program's budget.
var ErrBudgetExhausted = errors.New("token budget of the program is exhausted")

// New returns an ingress without configuration. It answers 503 until SetTable is called.
func New(o Options, h HeaderCodec, servers *Servers, budgets Budgets, scope tally.Scope) *Ingress {
	in := &Ingress{options: o, headerCodec: h, servers: servers, watchdog: newWatchdog(time.Now), now: time.Now, scope: scope, budgets: budgets, permits: o.Permits, turns: o.Turns, poison: newPoisonRecords(time.Now)}
	if in.permits == nil {
		in.permits = newPermitAccounts()
	}
	if in.access = o.Access; in.access == nil {
		in.access = tableAccess{in}
	}
	if in.memory = o.Memory; in.memory == nil {
		in.memory = memlimit.New(memlimit.Options{})
		memlimit.NewSizer(in.memory, o.MemoryLimitBytes)
	}
	return in
}

// SetTable puts a configuration in force unless the present one has the same or a higher version. origin is logged.
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

// Drain makes the ingress close each caller's connection after its next response.
func (in *Ingress) Drain() { in.draining.Store(true) }

// DrainUntil is Drain for a host that closes the remaining connections at end: requests that begin from now on are answered
// before it.
func (in *Ingress) DrainUntil(end time.Time) {
	in.drainEnd.Store(&end)
	in.Drain()
}

// Refuse makes the ingress refuse the requests that have not been sent to a server yet. A request on an open connection, or
// whose body arrives slowly, would otherwise begin so late that it is cut off.
func (in *Ingress) Refuse() { in.refusing.Store(true) }

// shutdownFailure returns the refusal of a request that came too late to be answered before the host ends.
func (x *exchange) shutdownFailure() *failure {
	if !x.ingress.refusing.Load() {
		return nil
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "host is shutting down", retryAfter: x.ingress.retryAfter(""), closeConn: true}
}

// retryAfter returns a random Retry-After, so that refused callers do not retry together.
func (in *Ingress) retryAfter(string) time.Duration {
	return minRetryAfter + time.Duration(mathrand.Int64N(int64(2*minRetryAfter)))
}

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{ingress: in, request: r, startedAt: in.now()}
	// Bytes after a chunked body may be a smuggled request, so the connection is not reused.
	if in.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	fail := x.beginRequest()
	defer x.memory.End()
	if fail == nil {
		fail = x.shutdownFailure()
	}
	if fail == nil {
		fail = x.validateAndReadBody(w)
	}
	if fail == nil {
		fail = x.shutdownFailure()
	}
	if fail == nil {
		fail = x.quarantineFailure()
	}
	if fail == nil {
		fail = x.forward(w)
	}
	x.finish(w, fail)
}

// validateAndReadBody decodes the headers, sets route, service and deadline, and reads the body.
func (x *exchange) validateAndReadBody(w http.ResponseWriter) *failure {
	in, r := x.ingress, x.request
	x.table = in.table.Load()
	if x.table == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: noConfigRetryAfter}
	}
	metadata, err := in.headerCodec.DecodeRequest(r.Header)
	if err != nil {
		return &failure{status: http.StatusBadRequest, reason: "header", cause: err}
	}
	x.metadata = metadata
	if x.route = x.table.Match(r.Host, r.URL.Path); x.route == nil {
		return &failure{status: http.StatusNotFound, reason: "no route"}
	}
	if metadata.Attempt == "" {
		return &failure{status: http.StatusBadRequest, reason: "no attempt ID"}
	}
	if fail := x.authorize(); fail != nil {
		return fail
	}
	x.service = x.route.PickService(mathrand.Float64())
	x.deadline = x.startedAt.Add(x.timeout())
	if end := in.drainEnd.Load(); end != nil {
		x.deadline = earlier(x.deadline, end.Add(-drainAnswerTime))
	}
	return x.readBody(w)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (x *exchange) timeout() time.Duration {
	timeout := defaultRequestTimeout
	if x.metadata.Timeout > 0 {
		timeout = min(timeout, x.metadata.Timeout)
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	return timeout
}

// forward forwards the request and its response. If the request is a turn of a program with a budget, it reserves and
// settles the tokens.
func (x *exchange) forward(w http.ResponseWriter) *failure {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	defer x.releaseQuota()
	if x.route.Kind != routing.Stream {
		if fail := x.claimQuota(ctx); fail != nil {
			return fail
		}
		resp, body, fail := x.forwardWithHedging(ctx)
		if fail != nil {
			return fail
		}
		x.ingress.poison.recordSuccess(x)
		if err := x.writeResponse(w, resp, body); err != nil {
			return &failure{reason: "caller left", cause: err}
		}
		return nil
	}
	s := &stream{exchange: x, w: w, controller: http.NewResponseController(w)}
	if fail := x.loadTurns(ctx); fail != nil {
		return fail
	}
	reservation := x.newReservation()
	if reservation.Budget > 0 {
		if fail := x.reserveBudget(ctx, reservation); fail != nil {
			return fail
		}
	}
	fail := x.shedNewProgram()
	if fail == nil {
		fail = x.claimQuota(ctx)
	}
	if fail == nil {
		fail = s.run(ctx)
	}
	if fail == nil {
		x.ingress.poison.recordSuccess(x)
	}
	x.deliveredTokens = s.reader.eventCount * x.table.TokensPerEvent(x.service)
	if reservation.Budget > 0 {
		usage := Usage{DeliveredTokens: x.deliveredTokens}
		if fail == nil {
			x.ingress.servers.RecordTurnTime(x.ingress.now().Sub(x.startedAt))
			usage.CacheServer, usage.CachedTokens = x.server, x.metadata.PromptTokens+x.deliveredTokens
		}
		x.ingress.budgets.Settle(reservation, usage)
	}
	if fail == nil && s.eventsComplete && x.retained != nil {
		fail = x.keepTurn(ctx)
	}
	if fail != nil && s.headerSent {
		fail.status = 0
	}
	return fail
}

// startsProgram reports whether the request is the first turn of a program. Only the home of a program with a budget records
// whether a turn has run, so that turns without a home count as later ones.
func (x *exchange) startsProgram() bool {
	return x.reserved.Home != "" && x.metadata.LastEventID == "" && x.reserved.CacheServer == ""
}

// shedNewProgram refuses the first turn of a program while the engines are overloaded.
func (x *exchange) shedNewProgram() *failure {
	if !x.startsProgram() {
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

// jitter returns a random duration between 3/4 and 5/4 of d, so that refused callers do not retry together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(mathrand.Int64N(int64(d/2)+1))
}

func (x *exchange) newReservation() Reservation {
	return Reservation{
		Program: x.metadata.Program, Attempt: x.metadata.Attempt, Session: x.metadata.Session, Budget: x.metadata.TokenBudget, MaxTokens: x.metadata.MaxTokens,
		// A turn that may run for longer than accounts expect keeps its program for as much longer.
		Retention: x.route.ProgramRetention + max(x.route.Timeout-founders.MaxTurn, 0),
	}
}

func (x *exchange) reserveBudget(ctx context.Context, r Reservation) *failure {
	result, err := x.ingress.budgets.Reserve(ctx, r)
	x.reserved = result
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrBudgetExhausted):
		return &failure{status: http.StatusPaymentRequired, reason: "budget", cause: err}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "budget not known", retryAfter: x.ingress.retryAfter(""), cause: err}
}

// ConnContext is the http.Server.ConnContext that an Ingress needs to reset and limit connections.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return memlimit.ConnContext(ctx, c)
}

// finish logs and counts the request, and answers one that failed. If no status can be sent, it resets the connection.
func (x *exchange) finish(w http.ResponseWriter, fail *failure) {
	x.log(fail)
	switch {
	case fail == nil:
	case fail.status == 0:
		memlimit.ResetOnClose(x.request.Context())
		panic(http.ErrAbortHandler)
	default:
		if fail.closeConn {
			x.closeAfterResponse(w)
		}
		if fail.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(fail.retryAfter.Seconds(), 'f', 3, 64))
		}
		if fail.status == http.StatusUnauthorized {
			w.Header().Set("WWW-Authenticate", "Bearer")
		}
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(fail.status)
	}
}

func (x *exchange) log(fail *failure) {
	elapsed := x.ingress.now().Sub(x.startedAt)
	fields := logging.Fields{
		"request": x.metadata.Attempt, "took_ms": elapsed.Milliseconds(), "sends": x.upstreamRequests,
	}
	tags := map[string]string{"kind": "unrouted", "result": "answered"}
	if x.metadata.Program != "" {
		fields["program"] = x.metadata.Program
	}
	if x.team != nil {
		fields["team"] = x.team.Name
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
	if fail != nil {
		event = logging.RequestFailed
		fields["status"], fields["reason"] = fail.status, fail.reason
		fields["runs"] = x.executions
		if fail.retryAfter > 0 {
			fields["retry_after_ms"] = fail.retryAfter.Milliseconds()
		}
		if fail.fingerprint != "" {
			fields["fingerprint"] = fail.fingerprint
		}
		if fail.cause != nil {
			fields["error"] = fail.cause
		}
		tags["result"] = strings.ReplaceAll(fail.reason, " ", "_")
	}
	logging.Emit(event, fields)
	scope := x.ingress.scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", requestDurationBuckets).RecordDuration(elapsed)
}

// requestDurationBuckets range from the duration of a cache hit to the longest route timeout.
var requestDurationBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 13)

// writeResponse writes a backend server's whole response to the caller.
func (x *exchange) writeResponse(w http.ResponseWriter, resp *upstream.Response, body []byte) error {
	x.limitWriteTime(len(body))
	copyResponseHeader(w.Header(), resp.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.Status)
	_, err := w.Write(body)
	return err
}

func copyResponseHeader(to, from http.Header) {
	connection := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	removeHopByHopHeaders(to)
	if connection != "" {
		to.Set("Connection", connection)
	}
}

// splitList yields the elements of a comma-separated header value.
func splitList(value string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(value, ",") {
			if part = strings.TrimSpace(part); part != "" && !yield(part) {
				return
			}
		}
	}
}

// newHostIncarnation returns the ID of a start of this host. Later starts have greater ones, as long as the host's clock
// does not go back between them; other hosts then ignore its heartbeats until its entry is listed.
func newHostIncarnation(startedAt time.Time) string {
	return fmt.Sprintf("%012x-%s", startedAt.UnixMilli(), newIncarnation()[:8])
}

// newIncarnation returns a random ID that distinguishes this start of the process from all others.
func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
