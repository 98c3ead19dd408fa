package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/service/entry"
)

// readHeaderTimeout bounds how slowly a request may come. It is longer than any freeze after which a host is still of
// use: at 5 s, a process that was frozen for longer closed connections whose requests it had not read.
const readHeaderTimeout = time.Minute

// betweenRetry is when a caller should ask again while the host has no incarnation that serves.
const betweenRetry = 500 * time.Millisecond

// errTakenOver answers the requests that are left when an incarnation ends; their callers ask the new home.
var errTakenOver = fault.New(fault.CodeMoved, "home", "the programs of this incarnation were taken over").With(fault.Unknown)

// front is the HTTP listener of the process. It outlives the incarnations, so that a deposition closes no
// connection of a caller: requests that come between two incarnations are refused as not run.
type front struct {
	server *http.Server
	failed chan error

	mu sync.Mutex
	// serving is the incarnation that serves, nil between two; last is the one that served last.
	serving, last *incarnation
}

// incarnation is an incarnation of the host as its callers' requests see it.
type incarnation struct {
	handler http.Handler
	// active counts the requests that it has taken and not answered.
	active int
	ctx    context.Context
	end    context.CancelCauseFunc
}

func newFront(s *settings.Settings) (*front, error) {
	l, err := net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers at %s", s.Listen.HTTP)
	}
	f := &front{failed: make(chan error, 1)}
	// Headers up to twice the limit get the entry's typed error; net/http refuses larger ones itself.
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: 2 * int(s.Limits.MaxHeader)}
	go func() {
		if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.failed <- errors.Wrap(err, "serve callers")
		}
	}()
	return f, nil
}

// serve directs requests to an incarnation; nil refuses them.
func (f *front) serve(h http.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h == nil {
		f.serving = nil
		return
	}
	ctx, end := context.WithCancelCause(context.Background())
	f.serving = &incarnation{handler: h, ctx: ctx, end: end}
	f.last = f.serving
}

// enter counts a request in at the incarnation that serves; nil if none does.
func (f *front) enter() *incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.serving != nil {
		f.serving.active++
	}
	return f.serving
}

func (f *front) leave(i *incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.active--
}

// idle reports whether the incarnation that served last has answered all its requests.
func (f *front) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last == nil || f.last.active == 0
}

// end cancels the requests of the incarnation that served last: it ends, and nobody in it would answer them.
func (f *front) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last != nil {
		f.last.end(errTakenOver)
	}
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if i := f.enter(); i != nil {
		defer f.leave(i)
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
	entry.WriteError(w, fault.New(fault.CodeDraining, "serve request", "the host has no lease; use another host").RetryAfter(betweenRetry))
}

// shutdown closes the listener and waits for the requests that are being served.
func (f *front) shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

func (f *front) close() { _ = f.server.Close() }
