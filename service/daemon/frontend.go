package daemon

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/service/entry"
	"github.com/hyssopreel/hyssopreel/service/memlimit"
)

// readHeaderTimeout bounds the time in which the header of a request arrives. It is longer than any freeze of the
// process that a host survives: with 5 s, a process frozen for longer than that closed connections whose requests it
// had not read.
const readHeaderTimeout = time.Minute

const (
	// clientMemoryFraction is the part of the memory that clients may make the process hold. The rest is for the programs,
	// the program itself and the kernel's buffers.
	clientMemoryFraction = 0.3
	// decodeFactor is the memory of a decoded body, with the buffers of its decoder, in multiples of its bytes.
	decodeFactor = 4
	// reservedDescriptors are left for files, the store, peers and backend servers' streams.
	reservedDescriptors = 200
	receiveBufferBytes  = 32 << 10
	sendBufferBytes     = 128 << 10
	// bodyStallTimeout and writeStallTimeout bound the time in which a client neither sends nor reads a byte.
	bodyStallTimeout    = 10 * time.Second
	writeStallTimeout   = 30 * time.Second
	memorySweepInterval = time.Second
	// memoryRetryAfter is the retry delay of a request that was refused for want of memory.
	memoryRetryAfter = 500 * time.Millisecond
)

// refuseForMemory answers a request for which there is no memory.
func refuseForMemory(w http.ResponseWriter) {
	entry.WriteError(w, fault.New(fault.CodeOverloaded, "serve request", "%v", memlimit.ErrNoMemory).WithRetryAfter(memoryRetryAfter))
}

// noIncarnationRetryAfter is the retry delay that callers get while no incarnation serves requests.
const noIncarnationRetryAfter = 500 * time.Millisecond

// errTakenOver is the error of the requests that are still active when an incarnation ends; callers retry at the new
// home.
var errTakenOver = fault.New(fault.CodeMoved, "home", "the programs of this incarnation were taken over").WithOutcome(fault.OutcomeUnknown)

// frontend is the HTTP listener of the process. It outlives the incarnations, so that the connections of callers
// stay open when an incarnation is fenced; requests that arrive between two incarnations are refused with outcome
// not run.
type frontend struct {
	server      *http.Server
	memory      *memlimit.Limiter
	closed      chan struct{}
	serveErrors chan error

	mu sync.Mutex
	// current is the incarnation that serves requests, nil between two; latest is the one that served last.
	current, latest *incarnation
}

// incarnation is the request handler of one incarnation of the host. ctx is canceled to abort its requests.
type incarnation struct {
	handler        http.Handler
	activeRequests int
	ctx            context.Context
	cancel         context.CancelCauseFunc
}

func newFrontend(s *settings.Settings) (*frontend, error) {
	memory := memlimit.New(memlimit.Options{
		Bytes: int64(float64(s.Limits.MemoryBytes) * clientMemoryFraction), MaxConns: max(s.Limits.Descriptors-reservedDescriptors, reservedDescriptors) / 2,
		ReceiveBufferBytes: receiveBufferBytes, SendBufferBytes: sendBufferBytes,
		BodyStallTimeout: bodyStallTimeout, WriteStallTimeout: writeStallTimeout, Name: "callers",
	})
	l, err := memory.Listen(s.Listen.HTTP)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers at %s", s.Listen.HTTP)
	}
	f := &frontend{serveErrors: make(chan error, 1), memory: memory, closed: make(chan struct{})}
	// The entry rejects headers up to twice the limit with a typed error; net/http rejects larger ones.
	f.server = &http.Server{
		Handler: memory.Handler(f, decodeFactor, refuseForMemory), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: 2 * int(s.Limits.MaxHeaderBytes),
		ConnContext: memlimit.ConnContext, ConnState: memlimit.ConnState,
	}
	go f.sweepMemory()
	go func() {
		if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.serveErrors <- errors.Wrap(err, "serve callers")
		}
	}()
	return f, nil
}

// setHandler directs requests to the handler of a new incarnation; nil refuses them.
func (f *frontend) setHandler(h http.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h == nil {
		f.current = nil
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	f.current = &incarnation{handler: h, ctx: ctx, cancel: cancel}
	f.latest = f.current
}

// beginRequest counts a request at the current incarnation and returns it; nil if there is none.
func (f *frontend) beginRequest() *incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		f.current.activeRequests++
	}
	return f.current
}

func (f *frontend) endRequest(i *incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.activeRequests--
}

// idle reports whether the latest incarnation has no active requests.
func (f *frontend) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest == nil || f.latest.activeRequests == 0
}

// cancelRequests cancels the active requests of the latest incarnation: it ends and would not answer them.
func (f *frontend) cancelRequests() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.latest != nil {
		f.latest.cancel(errTakenOver)
	}
}

// ServeHTTP implements http.Handler.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i := f.beginRequest(); i != nil {
		defer f.endRequest(i)
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(i.ctx, func() { cancel(context.Cause(i.ctx)) })()
		i.handler.ServeHTTP(w, r.WithContext(ctx))
		return
	}
	if r.URL.Path == "/healthz" {
		_, _ = io.WriteString(w, "ok\n")
		return
	}
	entry.WriteError(w, fault.New(fault.CodeDraining, "serve request", "the host has no lease; use another host").WithRetryAfter(noIncarnationRetryAfter))
}

// shutdown closes the listener and waits for active requests.
func (f *frontend) shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

func (f *frontend) close() {
	close(f.closed)
	_ = f.server.Close()
}

// sweepMemory closes connections whose clients do not read, until the frontend closes.
func (f *frontend) sweepMemory() {
	ticker := time.NewTicker(memorySweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.memory.Sweep()
		case <-f.closed:
			return
		}
	}
}
