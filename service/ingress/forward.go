package ingress

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

const (
	// maxUpstreamRequests bounds the servers that one request is offered to, those that refused it included.
	maxUpstreamRequests = 6
	// defaultMaxExecutions is the number of servers on which a repeatable request may run if its route does not say.
	defaultMaxExecutions = 3
	// maxResponseBytes bounds the answer of a plain service, which is read whole before it is passed on.
	maxResponseBytes = 4 << 20
	// queueTimeoutFraction is the part of a request's time that it may wait for a place.
	queueTimeoutFraction = 0.25
	// hedgeObjectiveFactor is the multiple of a route's objective after which a repeatable request is sent to a second
	// server: by then a sound server has answered, also a slow one.
	hedgeObjectiveFactor = 1.5
	// hedgeTimeoutFraction is the part of a request's time after which that happens if the route has no objective.
	hedgeTimeoutFraction = 0.25
)

// exchange is one caller's request on its way.
type exchange struct {
	ingress   *Ingress
	request   *http.Request
	body      []byte
	metadata  RequestMetadata
	table     *routing.Table
	route     *routing.Route
	service   string
	startedAt time.Time
	// deadline is the end of the caller's time or of the route's, whichever is first.
	deadline time.Time

	reserved ReservationResult
	// deliveredTokens is what was handed to the caller.
	deliveredTokens  int
	upstreamRequests int
	executions       int
	excludedServers  map[string]bool
	// lastErr is what became of the last send.
	lastErr error
	// server, load and loadAge describe the last placement, for the log.
	server        string
	load          float64
	loadAge       time.Duration
	placementTime time.Duration
}

// failure is a request that ends without a backend server's answer.
type failure struct {
	status int
	reason string
	// retryAfter is set only if the request has not run.
	retryAfter time.Duration
	cause      error
}

var errNoServer = errors.New("no backend server takes the request")

// maxExecutions returns the number of servers on which the request may run.
func (x *exchange) maxExecutions() int {
	switch {
	case !x.route.Retryable():
		return 1
	case x.route.MaxServers > 0:
		return x.route.MaxServers
	}
	return defaultMaxExecutions
}

// acquireOrWait waits for a server that takes the request.
func (x *exchange) acquireOrWait(ctx context.Context) (*AcquiredServer, error) {
	began := x.ingress.now()
	defer func() { x.placementTime += x.ingress.now().Sub(began) }()
	lease := x.acquire(placement.DefaultPolicy(), placement.AllowEjectedPolicy())
	if lease == nil {
		hold := time.Duration(float64(x.deadline.Sub(began)) * queueTimeoutFraction)
		lease = x.ingress.servers.WaitForServer(ctx, x.placementQuery(), x.route.Priority, hold)
		x.recordPlacement(lease)
	}
	switch {
	case lease != nil:
		return lease, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, errNoServer
}

// placementQuery describes the request to the servers.
func (x *exchange) placementQuery() PlacementQuery {
	return PlacementQuery{
		Service: x.service,
		Request: placement.Request{
			PromptTokens:    x.metadata.PromptTokens,
			FailureDomain:   x.ingress.options.FailureDomain,
			NonRetryable:    !x.route.Retryable(),
			ExcludedServers: x.excludedServers,
		},
		MaxConns:     x.table.Services[x.service].MaxConns,
		CacheServer:  x.reserved.CacheServer,
		CachedTokens: x.reserved.CachedTokens,
	}
}

func (x *exchange) acquire(policies ...placement.Policy) *AcquiredServer {
	lease := x.ingress.servers.Acquire(x.placementQuery(), policies...)
	x.recordPlacement(lease)
	return lease
}

// recordPlacement records the server that was chosen; it is not chosen again for this request.
func (x *exchange) recordPlacement(lease *AcquiredServer) {
	if lease == nil {
		return
	}
	x.exclude(lease.ID())
	x.server, x.load, x.loadAge = lease.ID(), lease.Load, lease.LoadAge
}

// sendUpstream offers the request to one server. The answer belongs to the request; lease and answer must be ended by the
// caller.
func (x *exchange) sendUpstream(ctx context.Context, lease *AcquiredServer, lastEvent string) (*upstream.Response, ResponseMetadata, error) {
	h := x.request.Header.Clone()
	removeHopByHopHeaders(h)
	x.ingress.headerCodec.EncodeUpstream(h, UpstreamMetadata{
		Server:      lease.ID(),
		Timeout:     x.deadline.Sub(x.ingress.now()),
		LastEventID: lastEvent,
	})
	r := &upstream.Request{Method: x.request.Method, URI: x.request.RequestURI, Host: x.request.Host, Header: h, Body: x.body}
	var answer ResponseMetadata
	resp, err := lease.Pool().Send(ctx, r, func(h http.Header) bool {
		answer = x.ingress.headerCodec.DecodeResponse(0, h)
		return answer.Attempt == "" || answer.Attempt == x.metadata.Attempt
	})
	if err != nil {
		return nil, answer, err
	}
	answer = x.ingress.headerCodec.DecodeResponse(resp.Status, resp.Header)
	if answer.Load != nil {
		lease.RecordLoad(*answer.Load)
	}
	return resp, answer, nil
}

// canRetry reports whether the request may be offered to another server.
func (x *exchange) canRetry(ctx context.Context) bool {
	return ctx.Err() == nil && x.upstreamRequests < maxUpstreamRequests && x.executions < x.maxExecutions()
}

func (x *exchange) exclude(server string) {
	if x.excludedServers == nil {
		x.excludedServers = map[string]bool{}
	}
	x.excludedServers[server] = true
}

// upstreamResult is what became of one send of a request to a plain service.
type upstreamResult struct {
	server string
	resp   *upstream.Response
	body   []byte
	// notRun is set if the server certainly did not run the request.
	notRun bool
	err    error
}

// forwardWithHedging runs a request of a plain service: it returns the whole answer of a backend server, or why there is
// none. A repeatable request that takes long is sent to a second server, and the first answer counts.
func (x *exchange) forwardWithHedging(ctx context.Context) (*upstream.Response, []byte, *failure) {
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan upstreamResult, maxUpstreamRequests)
	running := 0
	launch := func(lease *AcquiredServer) {
		running++
		x.upstreamRequests++
		go func() { outcomes <- x.roundTrip(sending, lease) }()
	}
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	for {
		if running == 0 {
			if !x.canRetry(ctx) {
				return nil, nil, x.noResponseFailure(ctx)
			}
			lease, err := x.acquireOrWait(ctx)
			if err != nil {
				return nil, nil, x.noServerFailure(ctx, err)
			}
			launch(lease)
		}
		select {
		case o := <-outcomes:
			running--
			if x.acceptResult(o) {
				return o.resp, o.body, nil
			}
		case <-hedge.C:
			if x.upstreamRequests < maxUpstreamRequests && x.executions+running < x.maxExecutions() {
				if lease := x.acquire(placement.HedgePolicy()); lease != nil {
					launch(lease)
				}
			}
		case <-ctx.Done():
			x.executions += running
			return nil, nil, x.noResponseFailure(ctx)
		}
	}
}

// hedgeDelay returns the time after which a repeatable request is sent to a second server.
func (x *exchange) hedgeDelay() time.Duration {
	switch {
	case x.route.Kind != routing.Idempotent:
		return math.MaxInt64
	case x.route.FirstByteObjective > 0:
		return time.Duration(float64(x.route.FirstByteObjective) * hedgeObjectiveFactor)
	}
	return time.Duration(float64(x.deadline.Sub(x.startedAt)) * hedgeTimeoutFraction)
}

// roundTrip sends the request to one server and reads the whole answer.
func (x *exchange) roundTrip(ctx context.Context, lease *AcquiredServer) upstreamResult {
	defer lease.Release()
	o := upstreamResult{server: lease.ID()}
	resp, answer, err := x.sendUpstream(ctx, lease, "")
	if err != nil {
		var f *upstream.SendError
		o.notRun = errors.As(err, &f) && !f.MaybeSent
		o.err = err
		x.recordSendError(ctx, lease, err)
		return o
	}
	defer resp.Close()
	o.resp = resp
	o.body, err = io.ReadAll(io.LimitReader(resp, maxResponseBytes+1))
	switch {
	case answer.NotRun:
		o.notRun = true
		o.err = errors.Newf("backend server %s answered %d: not run", lease.ID(), resp.Status)
		lease.MarkFull()
	case err != nil:
		o.err = errors.Wrapf(err, "body of the answer of backend server %s", lease.ID())
		x.recordSendError(ctx, lease, o.err)
	default:
		if err := x.validateResponse(resp, answer, len(o.body)); err != nil {
			o.err = errors.Wrapf(err, "answer of backend server %s", lease.ID())
			x.recordSendError(ctx, lease, o.err)
			break
		}
		recordResponseStatus(lease, resp.Status)
	}
	return o
}

// recordResponseStatus records what the status of a whole answer tells of its server.
func recordResponseStatus(lease *AcquiredServer, status int) {
	if status >= http.StatusInternalServerError {
		lease.RecordResponseFailure(errors.Newf("answered %d", status))
		return
	}
	lease.RecordSuccess()
}

// recordSendError records a failure of a server, unless the request was given up.
func (x *exchange) recordSendError(ctx context.Context, lease *AcquiredServer, err error) {
	var f *upstream.SendError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &f) && f.DialFailed:
		lease.RecordConnectFailure(err)
	default:
		lease.RecordResponseFailure(err)
	}
}

// acceptResult reports whether the outcome is the answer, and notes it otherwise.
func (x *exchange) acceptResult(o upstreamResult) bool {
	if !o.notRun {
		x.executions++
	}
	if o.err == nil && o.resp.Status >= http.StatusInternalServerError && x.route.Retryable() && x.executions < x.maxExecutions() {
		o.err = errors.Newf("backend server %s answered %d", o.server, o.resp.Status)
	}
	if o.err == nil {
		x.server = o.server
		return true
	}
	x.lastErr = o.err
	x.exclude(o.server)
	return false
}

// validateResponse reports an answer that cannot be the server's own.
func (x *exchange) validateResponse(resp *upstream.Response, answer ResponseMetadata, size int) error {
	switch {
	case size > maxResponseBytes:
		return errors.Newf("more than %d bytes", maxResponseBytes)
	case resp.Header.Get("Content-Encoding") != "":
		return errors.Newf("content encoding %q", resp.Header.Get("Content-Encoding"))
	case resp.Status < http.StatusMultipleChoices && !answer.HasServerStamp:
		return errors.New("no proof of origin")
	}
	return nil
}

// noServerFailure explains why no server was found.
func (x *exchange) noServerFailure(ctx context.Context, err error) *failure {
	if x.executions > 0 || ctx.Err() != nil {
		return x.noResponseFailure(ctx)
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "no place", retryAfter: x.ingress.retryAfter(x.service), cause: err}
}

// noResponseFailure explains a request whose sends brought no answer.
func (x *exchange) noResponseFailure(ctx context.Context) *failure {
	switch {
	case x.executions == 0 && ctx.Err() == nil:
		return &failure{status: http.StatusServiceUnavailable, reason: "refused by backend servers", retryAfter: x.ingress.retryAfter(x.service), cause: x.lastErr}
	case x.executions == 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{status: http.StatusServiceUnavailable, reason: "deadline passed before it ran", cause: x.lastErr}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{status: http.StatusGatewayTimeout, reason: "deadline passed", cause: x.lastErr}
	case ctx.Err() != nil:
		return &failure{reason: "caller left", cause: ctx.Err()}
	}
	return &failure{status: http.StatusBadGateway, reason: "outcome unknown", cause: x.lastErr}
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func removeHopByHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range splitList(v) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
