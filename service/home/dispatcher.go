package home

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/dial"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

const (
	dialTimeout = 2 * time.Second
	// endProbeTimeout bounds the connection that shows whether a backend server has ended.
	endProbeTimeout = 100 * time.Millisecond
	// firstTokenTimeout and tokenTimeout bound the time until an engine's first token and between tokens. The targets
	// are 1.8 s and 49 ms at the 95th percentile, so a much longer delay means a broken connection.
	firstTokenTimeout = 30 * time.Second
	tokenTimeout      = 5 * time.Second
	// defaultTimeLimit bounds tool and service calls whose configuration sets no limit.
	defaultTimeLimit = time.Minute
	// leaseRetryDelay is the retry delay for calls that an expired lease rejects; a renewal after an outage of the
	// store is expected within it.
	leaseRetryDelay = 2 * time.Second
	// maxResponseBytes bounds the response of a tool or service, and a line and the text of an engine's stream.
	maxResponseBytes = 256 << 10
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxStatus is the greatest status that HTTP defines.
	maxStatus = 599

	headerNotRun         = "Request-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"
)

// Backends finds backend servers and releases their cache.
type Backends interface {
	// Backend returns a backend server of the platform's list.
	Backend(name string) (objectapi.Backend, bool)
	// ReleaseCache drops the cache of a program on a worker. It retries until the worker confirms or has left, and
	// then calls done.
	ReleaseCache(worker string, p ids.Program, done func())
}

// dispatcher executes Dispatch effects over HTTP.
type dispatcher struct {
	backends   Backends
	leaseValid func() bool
	publish    func(program.DispatchEnded)
	hub        *hub
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator

	client *http.Client
	// nonIdempotentClient sends each non-idempotent request on a new connection: net/http itself retries a request
	// with an Idempotency-Key header when a reused connection breaks.
	nonIdempotentClient *http.Client

	mu      sync.Mutex
	cancels map[sched.CallID]context.CancelFunc
}

func newDispatcher(backends Backends, leaseValid func() bool, h *hub, publish func(program.DispatchEnded)) *dispatcher {
	transport := func(keepAlive bool) *http.Transport {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.Proxy = nil
		t.DisableKeepAlives = !keepAlive
		t.MaxIdleConnsPerHost = 64
		t.MaxResponseHeaderBytes = maxResponseHeaderBytes
		t.DialContext = dialer.DialContext
		return t
	}
	return &dispatcher{
		backends: backends, leaseValid: leaseValid, publish: publish, hub: h,
		tracer: otel.Tracer(tracerName), propagator: propagation.TraceContext{},
		client:              &http.Client{Transport: transport(true), CheckRedirect: noRedirect},
		nonIdempotentClient: &http.Client{Transport: transport(false), CheckRedirect: noRedirect},
		cancels:             map[sched.CallID]context.CancelFunc{},
	}
}

// tracerName is the instrumentation scope of a home's spans.
const tracerName = "hyssopreel/home"

// withTrace returns a context whose spans are children of a W3C traceparent.
func withTrace(traceparent string) context.Context {
	return propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{"traceparent": traceparent})
}

// noRedirect returns a redirect to the caller as the response: following a 307 would send a non-idempotent request
// twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// start executes a dispatch on a new goroutine and publishes its result.
func (d *dispatcher) start(e program.Dispatch) {
	ctx, cancel := context.WithCancel(withTrace(e.Trace))
	d.mu.Lock()
	d.cancels[e.Call] = cancel
	d.mu.Unlock()
	go func() {
		defer cancel()
		ctx, span := d.tracer.Start(ctx, "dispatch "+string(e.Kind), trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
			attribute.String("program", string(e.Call.Program)), attribute.String("key", e.Call.Key), attribute.String("worker", e.Worker), attribute.Int("attempt", e.Call.Attempt)))
		defer span.End()
		ended := d.run(ctx, e)
		ended.Call = e.Call
		span.SetAttributes(attribute.String("result", string(ended.Result)))
		if ended.Error != nil {
			span.SetStatus(codes.Error, ended.Error.Error())
		}
		d.mu.Lock()
		delete(d.cancels, e.Call)
		d.mu.Unlock()
		if ended.Result == program.ResultCompleted {
			d.hub.removeStream(streamKey{e.Call.Program, e.Call.Key})
		}
		d.publish(ended)
	}()
}

// activeDispatches returns the number of dispatches that have not ended.
func (d *dispatcher) activeDispatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.cancels)
}

func (d *dispatcher) cancel(e program.CancelDispatch) {
	d.mu.Lock()
	cancel, ok := d.cancels[e.Call]
	d.mu.Unlock()
	if ok {
		cancel()
	}
}

func (d *dispatcher) run(ctx context.Context, e program.Dispatch) program.DispatchEnded {
	address := e.Address
	if e.Kind != api.CallTool {
		b, ok := d.backends.Backend(e.Worker)
		if !ok {
			return notRun(fault.New(fault.CodeBackendUnreachable, "dispatch", "backend server is not in the platform's list").WithPeer(e.Worker))
		}
		address = b.Address
	}
	// If this host was frozen for longer than its lease, a successor may have adopted the program and reported the
	// outcome of this call as unknown. Sending the call now could still execute it.
	if !e.Idempotent && !d.leaseValid() {
		return notRun(fault.New(fault.CodeStoreUnavailable, "dispatch", "lease of the home expired before call %q was sent", e.Call.Key).WithRetryAfter(leaseRetryDelay))
	}
	if e.Kind == api.CallModel {
		return d.callModel(ctx, e, address)
	}
	return d.callToolOrService(ctx, e, address)
}

func notRun(err *fault.Error) program.DispatchEnded {
	return program.DispatchEnded{Result: program.ResultNotRun, Error: err}
}

func interrupted(err *fault.Error) program.DispatchEnded {
	return program.DispatchEnded{Result: program.ResultInterrupted, Error: err.WithOutcome(fault.OutcomeUnknown)}
}

// doRequest sends a request. A failure before a connection was established is reported as not run, because no byte
// was sent; a later one as interrupted.
func (d *dispatcher) doRequest(c *http.Client, req *http.Request, peer string) (*http.Response, *program.DispatchEnded) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	d.propagator.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.Do(req.WithContext(ctx))
	if err != nil {
		code := fault.CodeBackendUnreachable
		if errors.Is(err, context.DeadlineExceeded) {
			code = fault.CodeTimeout
		}
		ferr := fault.New(code, "dispatch", "%v", err).WithPeer(peer)
		if !connected.Load() {
			e := notRun(ferr)
			return nil, &e
		}
		e := interrupted(ferr)
		e.WorkerEnded = d.refusesConnections(req)
		return nil, &e
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		_ = resp.Body.Close()
		e := interrupted(fault.New(fault.CodeBackendFailed, "dispatch", "backend server responded with %03d, which is no HTTP status", resp.StatusCode).WithPeer(peer))
		return nil, &e
	}
	if resp.Header.Get(headerNotRun) == "true" {
		_ = resp.Body.Close()
		e := notRun(fault.New(fault.CodeBackendUnreachable, "dispatch", "backend server refused the request: %s", resp.Status).WithPeer(peer))
		return nil, &e
	}
	return resp, nil
}

// callToolOrService calls a tool or a plain service.
func (d *dispatcher) callToolOrService(ctx context.Context, e program.Dispatch, address string) program.DispatchEnded {
	timeLimit := time.Duration(e.TimeLimitMS) * time.Millisecond
	if timeLimit <= 0 {
		timeLimit = defaultTimeLimit
	}
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	method, url := e.Method, "http://"+address+e.Path
	if e.Kind == api.CallTool {
		method, url = http.MethodPost, "http://"+address+"/v1/tools/"+e.Name
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(e.Body))
	if err != nil {
		return notRun(fault.New(fault.CodeInvalidRequest, "dispatch", "%v", err))
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerIdempotencyKey, string(e.Call.Program)+"/"+e.Call.Key)
	client := d.client
	if !e.Idempotent {
		client = d.nonIdempotentClient
	}
	peer := e.Name + "@" + address
	resp, failed := d.doRequest(client, req, peer)
	if failed != nil {
		failed.Began = failed.WorkerEnded // the answer of a plain service does not show when it began
		return *failed
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Newf("body is larger than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return interrupted(fault.New(fault.CodeBackendFailed, "read answer", "%v", err).WithPeer(peer))
	}
	ended := program.DispatchEnded{Result: program.ResultCompleted, Text: string(body), StatusCode: resp.StatusCode}
	if resp.StatusCode >= http.StatusInternalServerError {
		ended.Error = fault.New(fault.CodeBackendFailed, "dispatch", "backend server responded with status %s", resp.Status).WithPeer(peer).WithOutcome(fault.OutcomeUnknown)
	}
	return ended
}

// The fields of the chat completions protocol that are used here; see docs/external-protocols.md.
type (
	chatRequest struct {
		Model         string        `json:"model"`
		Messages      []chatMessage `json:"messages"`
		MaxTokens     int           `json:"max_tokens"`
		Stream        bool          `json:"stream"`
		StreamOptions streamOptions `json:"stream_options"`
		User          ids.Program   `json:"user"`
		Priority      int           `json:"priority"`
		RequestID     string        `json:"request_id"`
		ResumeText    string        `json:"resume_text,omitempty"`
	}
	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}
	chatChunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *struct {
			PromptTokens     int64 `json:"prompt_tokens"`
			CompletionTokens int64 `json:"completion_tokens"`
			Details          struct {
				CachedTokens int64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
)

// callModel sends a model call to an engine and reads its stream.
func (d *dispatcher) callModel(ctx context.Context, e program.Dispatch, address string) program.DispatchEnded {
	q := chatRequest{
		Model: e.Model, MaxTokens: e.MaxTokens, Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
		User: e.Call.Program, Priority: e.Priority, ResumeText: e.ResumeText,
		RequestID: string(e.Call.Program) + "/" + e.Call.Key,
	}
	for _, m := range e.Messages {
		q.Messages = append(q.Messages, chatMessage{Role: m.Role, Content: m.Content})
	}
	body, err := json.Marshal(&q)
	if err != nil {
		return notRun(fault.New(fault.CodeInternal, "dispatch", "%v", err))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(firstTokenTimeout, func() { cancel(errors.New("engine sent no token before the timeout")) })
	defer idleTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return notRun(fault.New(fault.CodeInternal, "dispatch", "%v", err))
	}
	req.Header.Set("Content-Type", "application/json")
	resp, failed := d.doRequest(d.client, req, e.Worker)
	if failed != nil {
		failed.Text = e.ResumeText
		return *failed
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return d.engineError(resp, e)
	}
	ended := d.readStream(resp.Body, e, idleTimer)
	if ended.Result == program.ResultInterrupted {
		ended.WorkerEnded = d.refusesConnections(req)
		ended.Began = ended.WorkerEnded && ended.Text == e.ResumeText
	}
	return ended
}

// refusesConnections reports whether the backend server of a request that was interrupted refuses connections now: it
// has ended. A call that was canceled says nothing of its server.
func (d *dispatcher) refusesConnections(req *http.Request) bool {
	if errors.Is(req.Context().Err(), context.Canceled) {
		return false
	}
	return dial.IsRefused(req.URL.Host, endProbeTimeout)
}

func (d *dispatcher) engineError(resp *http.Response, e program.Dispatch) program.DispatchEnded {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	ferr := fault.New(fault.CodeBackendFailed, "dispatch", "engine responded with status %s: %s", resp.Status, strings.TrimSpace(string(text))).WithPeer(e.Worker)
	ended := interrupted(ferr)
	ended.Text = e.ResumeText
	return ended
}

// readStream adds the pieces of an SSE stream to the hub and returns the whole text. A stream that ends without
// [DONE] is interrupted. Each piece restarts idleTimer.
func (d *dispatcher) readStream(body io.Reader, e program.Dispatch, idleTimer *time.Timer) program.DispatchEnded {
	key := streamKey{e.Call.Program, e.Call.Key}
	var text strings.Builder
	text.WriteString(e.ResumeText)
	offset := len(strings.Fields(e.ResumeText))
	ended := program.DispatchEnded{Result: program.ResultInterrupted}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResponseBytes)
	for text.Len() <= maxResponseBytes && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended.Result = program.ResultCompleted
			break
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			break
		}
		if u := chunk.Usage; u != nil {
			ended.Usage = api.Usage{
				PromptTokens: u.PromptTokens, CachedTokens: u.Details.CachedTokens, GeneratedTokens: u.CompletionTokens,
				CostTokens: u.PromptTokens - u.Details.CachedTokens + u.CompletionTokens,
			}
		}
		for _, c := range chunk.Choices {
			if c.Delta.Content == "" {
				continue
			}
			idleTimer.Reset(tokenTimeout)
			text.WriteString(c.Delta.Content)
			tokens := len(strings.Fields(c.Delta.Content))
			d.hub.addPiece(key, api.Piece{Offset: offset, Text: c.Delta.Content}, tokens)
			offset += tokens
		}
	}
	ended.Text = text.String()
	if ended.Result == program.ResultInterrupted {
		reason := "stream ended without [DONE]"
		if text.Len() > maxResponseBytes {
			reason = fmt.Sprintf("text is larger than %d bytes", maxResponseBytes)
		}
		if err := lines.Err(); err != nil {
			reason = err.Error()
		}
		ended.Usage = api.Usage{GeneratedTokens: int64(offset - len(strings.Fields(e.ResumeText)))}
		ended.Error = fault.New(fault.CodeBackendFailed, "read stream", "%s", reason).WithPeer(e.Worker).WithOutcome(fault.OutcomeUnknown)
	}
	return ended
}

var dialer = &net.Dialer{Timeout: dialTimeout}
