package ingress

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/service/memlimit"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

const (
	// maxUpstreamRequests bounds the upstream requests for one caller's request, refused ones included.
	maxUpstreamRequests = 6
	// defaultMaxExecutions is the number of servers that may execute a retryable request if its route sets no limit.
	defaultMaxExecutions = 3
	// maxResponseBytes bounds the response of a plain service, which is read whole before it is forwarded.
	maxResponseBytes = 4 << 20
	// maxRefusalBytes and refusalTimeout bound the body of a response to a request that was not run: the request goes on
	// without it.
	maxRefusalBytes = 4 << 10
	refusalTimeout  = 20 * time.Millisecond
	// maxPermitDenials is the number of denied permits after which a request goes to a server without a rate limit.
	maxPermitDenials = 3
	// queueTimeoutFraction is the fraction of a request's remaining time that it may wait for a free server.
	queueTimeoutFraction = 0.25
	// hedgeObjectiveFactor is the multiple of a route's first-byte objective after which an idempotent request is
	// hedged: by then a healthy server has responded, even a slow one.
	hedgeObjectiveFactor = 1.5
	// hedgeTimeoutFraction is the fraction of a request's timeout after which it is hedged if its route has no objective.
	hedgeTimeoutFraction = 0.25
)

// exchange is the state of one caller's request.
type exchange struct {
	ingress   *Ingress
	request   *http.Request
	bodyParts [][]byte
	// firstPart is the array of bodyParts while there is one.
	firstPart [1][]byte
	// memory is what the request uses: its head, body and response, and the turns that it continues.
	memory memlimit.Reservation
	// retained is nil unless the route retains turns.
	retained *retainedTurn
	metadata RequestMetadata
	table    *routing.Table
	route    *routing.Route
	team     *routing.Team // of the caller; nil if it has none
	// quotaClaim is the request's claim to a part of its team's quota; nil if it needs none.
	quotaClaim QuotaClaim
	service    string
	startedAt  time.Time
	// deadline is when the caller's or the route's timeout ends, whichever is first.
	deadline time.Time

	reserved ReservationResult
	// deliveredTokens is the number of tokens that the caller received.
	deliveredTokens int
	// upstreamRequests counts all upstream requests, and executions those that a server may have started work on.
	upstreamRequests int
	executions       int
	// excludedServers holds the IDs of the servers that are not chosen again for this request.
	excludedServers map[string]bool
	// completedSentAt is when the upstream request was sent whose response is complete and has status 2xx; zero if there is
	// none.
	completedSentAt time.Time
	// lastErr is the error of the last upstream request that failed.
	lastErr error
	// server, load and loadAge describe the last placement, and placementTime is the time spent on all, for the log.
	server        string
	load          float64
	loadAge       time.Duration
	placementTime time.Duration
	// permitWait is the time after which the next permit for the last server that was denied is expected.
	permitWait time.Duration

	fingerprintsOnce sync.Once
	fingerprintChain poison.Chain
}

// failure is why a request ends without the whole response of a backend server.
type failure struct {
	// status is 0 if the response has begun or the caller has left: no status can be sent then.
	status int
	// reason is logged, and counted as the "result" tag of the metrics.
	reason string
	// retryAfter is set only if no server started work on the request.
	retryAfter time.Duration
	// fingerprint is that in quarantine; empty if the request is refused for another reason.
	fingerprint string
	// closeConn is set if the caller's connection must end, because it may still send a body.
	closeConn bool
	cause     error
}

var errNoServer = errors.New("no backend server is available for the request")

// maxExecutions returns the number of servers that may execute the request.
func (x *exchange) maxExecutions() int {
	switch {
	case !x.route.Retryable():
		return 1
	case x.route.MaxServers > 0:
		return x.route.MaxServers
	}
	return defaultMaxExecutions
}

// acquireOrWait acquires a server, and waits in the queue if none is free. It returns errNoServer after the queue timeout,
// and at once if only servers without a permit in that time are left.
func (x *exchange) acquireOrWait(ctx context.Context) (*AcquiredServer, error) {
	startedAt := x.ingress.now()
	defer func() { x.placementTime += x.ingress.now().Sub(startedAt) }()
	queueEnd := startedAt.Add(time.Duration(float64(x.deadline.Sub(startedAt)) * queueTimeoutFraction))
	for denied := 0; ctx.Err() == nil; denied++ {
		if x.quarantineFailure() != nil {
			return nil, errQuarantined
		}
		acquired, maxWait := x.acquire(ctx, denied, queueEnd)
		if acquired == nil {
			break
		}
		if x.awaitPermit(ctx, acquired, maxWait) {
			x.recordPlacement(acquired)
			err := x.useQuota(ctx)
			if err == nil {
				err = x.checkAccess()
			}
			if err == nil && x.quarantineFailure() != nil {
				err = errQuarantined
			}
			if err == nil {
				return acquired, nil
			}
			acquired.Release()
			return nil, err
		}
		acquired.Release()
		if maxWait > 0 {
			break
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, errNoServer
}

// acquire acquires a server, and waits until queueEnd if a server may become free. denied is the number of permits that
// the request was denied. maxWait is positive if the request can only wait for a permit of the server.
func (x *exchange) acquire(ctx context.Context, denied int, queueEnd time.Time) (acquired *AcquiredServer, maxWait time.Duration) {
	servers, query := x.ingress.servers, x.placementQuery()
	policies := []placement.Policy{placement.DefaultPolicy(), placement.AllowEjectedPolicy()}
	if denied >= maxPermitDenials {
		policies = []placement.Policy{policies[0].WithoutRateLimited(), policies[1].WithoutRateLimited()}
	}
	if acquired = servers.Acquire(query, policies...); acquired != nil {
		return acquired, 0
	}
	queueTimeout := queueEnd.Sub(x.ingress.now())
	if servers.HasUnlimited(query) {
		return servers.WaitForServer(ctx, query, x.priority(), queueTimeout), 0
	}
	return servers.Acquire(query, placement.RateLimitedPolicy()), max(queueTimeout, time.Nanosecond)
}

// awaitPermit gets the permit that a server with a rate limit requires, and waits until it is valid. It reports false if
// there is none within maxWait.
func (x *exchange) awaitPermit(ctx context.Context, acquired *AcquiredServer, maxWait time.Duration) bool {
	request, required := acquired.permitRequest(maxWait)
	if !required {
		return true
	}
	permit := x.ingress.permits.Request(ctx, request)
	if !permit.Granted {
		x.permitWait = min(max(permit.Wait, minPermitDeferral), maxPermitDeferral)
		acquired.DeferPermit(x.permitWait)
		return false
	}
	select {
	case <-time.After(permit.Wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// placementQuery describes the request to the servers.
func (x *exchange) placementQuery() PlacementQuery {
	return PlacementQuery{
		Service: x.service,
		Request: placement.Request{
			PromptTokens:    x.metadata.PromptTokens,
			FailureDomain:   x.ingress.options.FailureDomain,
			TransferBytes:   x.upstreamBytes(),
			NonRetryable:    !x.route.Retryable(),
			Suspect:         x.isSuspect(),
			ExcludedServers: x.excludedServers,
		},
		MaxConns:     x.table.Services[x.service].MaxConns,
		Object:       x.stickyObject(),
		CacheServer:  x.reserved.CacheServer,
		CachedTokens: x.reserved.CachedTokens,
	}
}

// stickyObject returns the object of the request if servers that have handled it are faster, else an empty string.
func (x *exchange) stickyObject() string {
	if !x.route.Sticky {
		return ""
	}
	return x.metadata.Object
}

// recordPlacement records the acquired server and excludes it from further placements.
func (x *exchange) recordPlacement(acquired *AcquiredServer) {
	x.exclude(acquired.ID())
	x.server, x.load, x.loadAge = acquired.ID(), acquired.Load, acquired.LoadAge
}

// sendUpstream sends the request to one server and returns its response once the header has arrived; the caller closes
// it. A response with the ID of another attempt is an error.
func (x *exchange) sendUpstream(ctx context.Context, acquired *AcquiredServer, lastEventID string) (*upstream.Response, ResponseMetadata, error) {
	header := x.request.Header.Clone()
	removeHopByHopHeaders(header)
	x.ingress.headerCodec.EncodeUpstream(header, UpstreamMetadata{
		Server:      acquired.ID(),
		Timeout:     x.deadline.Sub(x.ingress.now()),
		LastEventID: lastEventID,
		HidesKeys:   x.table.HasTeams(),
		Team:        x.teamName(),
		FromStart:   x.retained != nil && lastEventID == "",
	})
	upstreamRequest := &upstream.Request{Method: x.request.Method, URI: x.request.RequestURI, Host: x.request.Host, Header: header, BodyParts: x.upstreamBody()}
	var respMetadata ResponseMetadata
	acquired.route.recordSent(x.upstreamBytes())
	sentAt := x.ingress.now()
	resp, err := acquired.Pool().Send(ctx, upstreamRequest, func(responseHeader http.Header, reused bool) bool {
		respMetadata = x.ingress.headerCodec.DecodeResponse(0, responseHeader)
		return respMetadata.Attempt == x.metadata.Attempt || respMetadata.Attempt == "" && !reused
	})
	if err != nil {
		return nil, respMetadata, err
	}
	respMetadata = x.ingress.headerCodec.DecodeResponse(resp.Status, resp.Header)
	if respMetadata.Load != nil {
		acquired.RecordLoad(*respMetadata.Load)
	}
	acquired.RecordRateLimit(sentAt, resp.Status, respMetadata)
	if respMetadata.Leaving && resp.Status != http.StatusMisdirectedRequest {
		acquired.MarkLeaving()
	}
	return resp, respMetadata, nil
}

// canRetry reports whether the request may be sent to another server.
func (x *exchange) canRetry(ctx context.Context) bool {
	return ctx.Err() == nil && x.upstreamRequests < maxUpstreamRequests && x.executions < x.maxExecutions()
}

func (x *exchange) exclude(server string) {
	if x.excludedServers == nil {
		x.excludedServers = map[string]bool{}
	}
	x.excludedServers[server] = true
}

// recordCompletion records a complete response to the upstream request that was sent at sentAt.
func (x *exchange) recordCompletion(sentAt time.Time, status int) {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		x.completedSentAt = sentAt
	}
}

// upstreamResult is the result of one upstream request to a plain service.
type upstreamResult struct {
	server string
	sentAt time.Time
	resp   *upstream.Response
	body   []byte
	// notRun is set if the server certainly did not start work on the request.
	notRun bool
	err    error
}

// forwardWithHedging forwards a request of a plain service and returns the first whole response that is accepted. An
// idempotent request is hedged after hedgeDelay.
func (x *exchange) forwardWithHedging(ctx context.Context) (*upstream.Response, []byte, *failure) {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan upstreamResult, maxUpstreamRequests)
	running := 0
	launch := func(acquired *AcquiredServer) {
		running++
		x.upstreamRequests++
		go func() { results <- x.roundTrip(sendCtx, acquired) }()
	}
	hedgeTimer := time.NewTimer(x.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		if running == 0 {
			if !x.canRetry(ctx) {
				return nil, nil, x.noResponseFailure(ctx)
			}
			acquired, err := x.acquireOrWait(ctx)
			if err != nil {
				return nil, nil, x.noServerFailure(ctx, err)
			}
			launch(acquired)
		}
		select {
		case result := <-results:
			running--
			if x.acceptResult(result) {
				return result.resp, result.body, nil
			}
		case <-hedgeTimer.C:
			if !x.isSuspect() && x.checkAccess() == nil && x.upstreamRequests < maxUpstreamRequests && x.executions+running < x.maxExecutions() {
				if acquired := x.ingress.servers.Acquire(x.placementQuery(), placement.HedgePolicy()); acquired != nil {
					x.recordPlacement(acquired)
					launch(acquired)
				}
			}
		case <-ctx.Done():
			x.executions += running
			return nil, nil, x.noResponseFailure(ctx)
		}
	}
}

// hedgeDelay returns the time after which the request is sent to a second server, or math.MaxInt64 for never.
func (x *exchange) hedgeDelay() time.Duration {
	switch {
	case x.route.Kind != routing.Idempotent:
		return math.MaxInt64
	case x.route.FirstByteObjective > 0:
		return time.Duration(float64(x.route.FirstByteObjective) * hedgeObjectiveFactor)
	}
	return time.Duration(float64(x.deadline.Sub(x.startedAt)) * hedgeTimeoutFraction)
}

// roundTrip sends the request to one server, reads the whole response and releases the server.
func (x *exchange) roundTrip(ctx context.Context, acquired *AcquiredServer) upstreamResult {
	defer acquired.Release()
	result := upstreamResult{server: acquired.ID(), sentAt: x.ingress.now()}
	resp, respMetadata, err := x.sendUpstream(ctx, acquired, "")
	if err != nil {
		var sendErr *upstream.SendError
		result.notRun = errors.As(err, &sendErr) && !sendErr.MaybeSent
		result.err = err
		x.recordSendError(ctx, acquired, result.sentAt, err)
		return result
	}
	defer resp.Close()
	if respMetadata.NotRun {
		resp.Discard(maxRefusalBytes, refusalTimeout)
		result.notRun = true
		result.err = errors.Newf("backend server %s responded with status %d: not run", acquired.ID(), resp.Status)
		acquired.MarkFull()
		return result
	}
	result.resp = resp
	result.body, err = x.readResponse(resp)
	acquired.route.recordReceived(len(result.body))
	switch {
	case err != nil:
		result.err = errors.Wrapf(err, "read response body of backend server %s", acquired.ID())
		x.recordSendError(ctx, acquired, result.sentAt, result.err)
	default:
		if err := x.validateResponse(resp, respMetadata, len(result.body)); err != nil {
			result.err = errors.Wrapf(err, "invalid response of backend server %s", acquired.ID())
			x.recordSendError(ctx, acquired, result.sentAt, result.err)
			break
		}
		recordResponseStatus(acquired, resp.Status)
	}
	return result
}

// recordResponseStatus records a whole response for outlier detection: 5xx is a failure of the server.
func recordResponseStatus(acquired *AcquiredServer, status int) {
	if status >= http.StatusInternalServerError {
		acquired.RecordResponseFailure(errors.Newf("responded with status %d", status))
		return
	}
	acquired.RecordSuccess()
}

// recordSendError records a failure of a server to which the request was sent at sentAt, unless the request was canceled
// or timed out.
func (x *exchange) recordSendError(ctx context.Context, acquired *AcquiredServer, sentAt time.Time, err error) {
	var sendErr *upstream.SendError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &sendErr) && sendErr.DialFailed:
		acquired.RecordConnectFailure(err)
	default:
		acquired.RecordResponseFailure(err)
		// The response of a plain service does not show when the server began to run the request.
		x.recordBreak(ctx, acquired, sentAt, true)
	}
}

// acceptResult reports whether the result is the response for the caller, and excludes the server otherwise. A 5xx
// response to a retryable request is not accepted while another execution is allowed.
func (x *exchange) acceptResult(result upstreamResult) bool {
	if !result.notRun {
		x.executions++
	}
	if result.err == nil && result.resp.Status >= http.StatusInternalServerError && x.route.Retryable() && x.executions < x.maxExecutions() {
		result.err = errors.Newf("backend server %s responded with status %d", result.server, result.resp.Status)
	}
	if result.err == nil {
		x.server = result.server
		x.recordCompletion(result.sentAt, result.resp.Status)
		return true
	}
	x.lastErr = result.err
	x.exclude(result.server)
	return false
}

// validateResponse rejects a response that cannot have come unchanged from the server; size is that of its body in bytes.
func (x *exchange) validateResponse(resp *upstream.Response, respMetadata ResponseMetadata, size int) error {
	switch {
	case size > maxResponseBytes:
		return errors.Newf("body is larger than %d bytes", maxResponseBytes)
	case resp.Header.Get("Content-Encoding") != "":
		return errors.Newf("unexpected content encoding %q", resp.Header.Get("Content-Encoding"))
	case resp.Status < http.StatusMultipleChoices && !respMetadata.HasServerStamp:
		return errors.Newf("status %d without the server's proof of origin", resp.Status)
	}
	return nil
}

// noServerFailure returns the failure of a request for which no server was acquired.
func (x *exchange) noServerFailure(ctx context.Context, err error) *failure {
	if errors.Is(err, errQuarantined) {
		return x.quarantineFailure()
	}
	if x.executions > 0 || ctx.Err() != nil {
		return x.noResponseFailure(ctx)
	}
	if fail := x.accessFailure(err); fail != nil {
		return fail
	}
	if fail := x.quotaFailure(err); fail != nil {
		return fail
	}
	retryAfter := x.ingress.retryAfter(x.service)
	if x.permitWait > retryAfter {
		retryAfter = jitter(x.permitWait)
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "no place", retryAfter: retryAfter, cause: err}
}

// noResponseFailure returns the failure of a request whose upstream requests brought no response.
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

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func removeHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range splitList(value) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
