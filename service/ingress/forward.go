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
	// maxSends bounds the servers that one request is offered to, those that refused it included.
	maxSends = 6
	// repeatableRuns is the number of servers on which a repeatable request may run if its route does not say.
	repeatableRuns = 3
	// maxAnswerBytes bounds the answer of a plain service, which is read whole before it is passed on.
	maxAnswerBytes = 4 << 20
	// holdShare is the part of a request's time that it may wait for a place.
	holdShare = 0.25
	// hedgeObjectives is the multiple of a route's objective after which a repeatable request is sent to a second
	// server: by then a sound server has answered, also a slow one.
	hedgeObjectives = 1.5
	// hedgeShare is the part of a request's time after which that happens if the route has no objective.
	hedgeShare = 0.25
)

// exchange is one caller's request on its way.
type exchange struct {
	in      *Ingress
	request *http.Request
	body    []byte
	call    Call
	table   *routing.Table
	route   *routing.Route
	service string
	began   time.Time
	// deadline is the end of the caller's time or of the route's, whichever is first.
	deadline time.Time

	allowance Allowance
	// tokens is what was handed to the caller.
	tokens   int
	sends    int
	runs     int
	excluded map[string]bool
	// last is what became of the last send.
	last error
	// server, load and loadAge describe the last placement, for the log.
	server  string
	load    float64
	loadAge time.Duration
	waited  time.Duration
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

// maxRuns returns the number of servers on which the request may run.
func (x *exchange) maxRuns() int {
	switch {
	case !x.route.MayRepeat():
		return 1
	case x.route.MaxWorkers > 0:
		return x.route.MaxWorkers
	}
	return repeatableRuns
}

// place waits for a server that takes the request.
func (x *exchange) place(ctx context.Context) (*Lease, error) {
	began := x.in.now()
	defer func() { x.waited += x.in.now().Sub(began) }()
	lease := x.acquire(placement.Default(), placement.LastResort())
	if lease == nil {
		hold := time.Duration(float64(x.deadline.Sub(began)) * holdShare)
		lease = x.in.servers.Wait(ctx, x.query(), x.route.Priority, hold)
		x.note(lease)
	}
	switch {
	case lease != nil:
		return lease, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, errNoServer
}

// query describes the request to the servers.
func (x *exchange) query() Query {
	return Query{
		Service: x.service,
		Request: placement.Request{
			PromptTokens:  x.call.PromptTokens,
			FailureDomain: x.in.options.FailureDomain,
			Once:          !x.route.MayRepeat(),
			Excluded:      x.excluded,
		},
		MaxConns:     x.table.Services[x.service].MaxConns,
		Resident:     x.allowance.Server,
		CachedTokens: x.allowance.Cached,
	}
}

func (x *exchange) acquire(policies ...placement.Policy) *Lease {
	lease := x.in.servers.Acquire(x.query(), policies...)
	x.note(lease)
	return lease
}

// note records the server that was chosen; it is not chosen again for this request.
func (x *exchange) note(lease *Lease) {
	if lease == nil {
		return
	}
	x.exclude(lease.ID())
	x.server, x.load, x.loadAge = lease.ID(), lease.Load, lease.LoadAge
}

// send offers the request to one server. The answer belongs to the request; lease and answer must be ended by the
// caller.
func (x *exchange) send(ctx context.Context, lease *Lease, lastEvent string) (*upstream.Response, Answer, error) {
	h := x.request.Header.Clone()
	removeHopHeaders(h)
	x.in.headers.Encode(h, Forwarded{
		Server:    lease.ID(),
		Wait:      x.deadline.Sub(x.in.now()),
		LastEvent: lastEvent,
	})
	r := &upstream.Request{Method: x.request.Method, URI: x.request.RequestURI, Host: x.request.Host, Header: h, Body: x.body}
	var answer Answer
	resp, err := lease.Pool().Send(ctx, r, func(h http.Header) bool {
		answer = x.in.headers.Answer(0, h)
		return answer.Attempt == "" || answer.Attempt == x.call.Attempt
	})
	if err != nil {
		return nil, answer, err
	}
	answer = x.in.headers.Answer(resp.Status, resp.Header)
	if answer.Load != nil {
		lease.Report(*answer.Load)
	}
	return resp, answer, nil
}

// mayGoOn reports whether the request may be offered to another server.
func (x *exchange) mayGoOn(ctx context.Context) bool {
	return ctx.Err() == nil && x.sends < maxSends && x.runs < x.maxRuns()
}

func (x *exchange) exclude(server string) {
	if x.excluded == nil {
		x.excluded = map[string]bool{}
	}
	x.excluded[server] = true
}

// outcome is what became of one send of a request to a plain service.
type outcome struct {
	server string
	resp   *upstream.Response
	body   []byte
	// notRun is set if the server certainly did not run the request.
	notRun bool
	err    error
}

// complete runs a request of a plain service: it returns the whole answer of a backend server, or why there is
// none. A repeatable request that takes long is sent to a second server, and the first answer counts.
func (x *exchange) complete(ctx context.Context) (*upstream.Response, []byte, *failure) {
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, maxSends)
	running := 0
	launch := func(lease *Lease) {
		running++
		x.sends++
		go func() { outcomes <- x.attempt(sending, lease) }()
	}
	hedge := time.NewTimer(x.hedgeAfter())
	defer hedge.Stop()
	for {
		if running == 0 {
			if !x.mayGoOn(ctx) {
				return nil, nil, x.givenUp(ctx)
			}
			lease, err := x.place(ctx)
			if err != nil {
				return nil, nil, x.noPlace(ctx, err)
			}
			launch(lease)
		}
		select {
		case o := <-outcomes:
			running--
			if x.accept(o) {
				return o.resp, o.body, nil
			}
		case <-hedge.C:
			if x.sends < maxSends && x.runs+running < x.maxRuns() {
				if lease := x.acquire(placement.Spare()); lease != nil {
					launch(lease)
				}
			}
		case <-ctx.Done():
			x.runs += running
			return nil, nil, x.givenUp(ctx)
		}
	}
}

// hedgeAfter returns the time after which a repeatable request is sent to a second server.
func (x *exchange) hedgeAfter() time.Duration {
	switch {
	case x.route.Kind != routing.Repeatable:
		return math.MaxInt64
	case x.route.Objective > 0:
		return time.Duration(float64(x.route.Objective) * hedgeObjectives)
	}
	return time.Duration(float64(x.deadline.Sub(x.began)) * hedgeShare)
}

// attempt sends the request to one server and reads the whole answer.
func (x *exchange) attempt(ctx context.Context, lease *Lease) outcome {
	defer lease.Release()
	o := outcome{server: lease.ID()}
	resp, answer, err := x.send(ctx, lease, "")
	if err != nil {
		var f *upstream.Failure
		o.notRun = errors.As(err, &f) && !f.Sent
		o.err = err
		x.suspect(ctx, lease, err)
		return o
	}
	defer resp.Close()
	o.resp = resp
	o.body, err = io.ReadAll(io.LimitReader(resp, maxAnswerBytes+1))
	switch {
	case answer.NotRun:
		o.notRun = true
		o.err = errors.Newf("backend server %s answered %d: not run", lease.ID(), resp.Status)
		lease.Refused()
	case err != nil:
		o.err = errors.Wrapf(err, "body of the answer of backend server %s", lease.ID())
		x.suspect(ctx, lease, o.err)
	default:
		if err := x.checkAnswer(resp, answer, len(o.body)); err != nil {
			o.err = errors.Wrapf(err, "answer of backend server %s", lease.ID())
			x.suspect(ctx, lease, o.err)
			break
		}
		judge(lease, resp.Status)
	}
	return o
}

// judge records what the status of a whole answer tells of its server.
func judge(lease *Lease, status int) {
	if status >= http.StatusInternalServerError {
		lease.Broke(errors.Newf("answered %d", status))
		return
	}
	lease.Answered()
}

// suspect records a failure of a server, unless the request was given up.
func (x *exchange) suspect(ctx context.Context, lease *Lease, err error) {
	var f *upstream.Failure
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &f) && f.Dial:
		lease.Failed(err)
	default:
		lease.Broke(err)
	}
}

// accept reports whether the outcome is the answer, and notes it otherwise.
func (x *exchange) accept(o outcome) bool {
	if !o.notRun {
		x.runs++
	}
	if o.err == nil && o.resp.Status >= http.StatusInternalServerError && x.route.MayRepeat() && x.runs < x.maxRuns() {
		o.err = errors.Newf("backend server %s answered %d", o.server, o.resp.Status)
	}
	if o.err == nil {
		x.server = o.server
		return true
	}
	x.last = o.err
	x.exclude(o.server)
	return false
}

// checkAnswer reports an answer that cannot be the server's own.
func (x *exchange) checkAnswer(resp *upstream.Response, answer Answer, size int) error {
	switch {
	case size > maxAnswerBytes:
		return errors.Newf("more than %d bytes", maxAnswerBytes)
	case resp.Header.Get("Content-Encoding") != "":
		return errors.Newf("content encoding %q", resp.Header.Get("Content-Encoding"))
	case resp.Status < http.StatusMultipleChoices && !answer.Proof:
		return errors.New("no proof of origin")
	}
	return nil
}

// noPlace explains why no server was found.
func (x *exchange) noPlace(ctx context.Context, err error) *failure {
	if x.runs > 0 || ctx.Err() != nil {
		return x.givenUp(ctx)
	}
	return &failure{status: http.StatusServiceUnavailable, reason: "no place", retryAfter: x.in.retryAfter(x.service), cause: err}
}

// givenUp explains a request whose sends brought no answer.
func (x *exchange) givenUp(ctx context.Context) *failure {
	switch {
	case x.runs == 0 && ctx.Err() == nil:
		return &failure{status: http.StatusServiceUnavailable, reason: "refused by backend servers", retryAfter: x.in.retryAfter(x.service), cause: x.last}
	case x.runs == 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{status: http.StatusServiceUnavailable, reason: "deadline passed before it ran", cause: x.last}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{status: http.StatusGatewayTimeout, reason: "deadline passed", cause: x.last}
	case ctx.Err() != nil:
		return &failure{reason: "caller left", cause: ctx.Err()}
	}
	return &failure{status: http.StatusBadGateway, reason: "outcome unknown", cause: x.last}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func removeHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range splitList(v) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
