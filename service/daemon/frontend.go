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

// noIncarnationRetryAfter is when a caller should ask again while the host has no incarnation that serves.
const noIncarnationRetryAfter = 500 * time.Millisecond

// errTakenOver answers the requests that are left when an incarnation ends; their callers ask the new home.
var errTakenOver = fault.New(fault.CodeMoved, "home", "the programs of this incarnation were taken over").WithOutcome(fault.OutcomeUnknown)

// frontend is the HTTP listener of the process. It outlives the incarnations, so that a deposition closes no
// connection of a caller: requests that come between two incarnations are refused as not run.
type frontend struct {
	server      *http.Server
	serveErrors chan error

	mu sync.Mutex
	// current is the incarnation that serves, nil between two; last is the one that served last.
	current, latest *incarnation
}

// incarnation is an incarnation of the host as its callers' requests see it.
type incarnation struct {
	handler http.Handler
	// activeRequests counts the requests that it has taken and not answered.
	activeRequests int
	ctx            context.Context
	cancel         context.CancelCauseFunc
}

func newFrontend(s *settings.Settings) (*frontend, error) {
	l, err := net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers at %s", s.Listen.HTTP)
	}
	f := &frontend{serveErrors: make(chan error, 1)}
	// Headers up to twice the limit get the entry's typed error; net/http refuses larger ones itself.
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: 2 * int(s.Limits.MaxHeaderBytes)}
	go func() {
		if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.serveErrors <- errors.Wrap(err, "serve callers")
		}
	}()
	return f, nil
}

// setHandler directs requests to an incarnation; nil refuses them.
func (f *frontend) setHandler(h http.Handler) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h == nil {
		f.current = nil
		return
	}
	ctx, end := context.WithCancelCause(context.Background())
	f.current = &incarnation{handler: h, ctx: ctx, cancel: end}
	f.latest = f.current
}

// beginRequest counts a request in at the incarnation that serves; nil if none does.
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

// idle reports whether the incarnation that served last has answered all its requests.
func (f *frontend) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest == nil || f.latest.activeRequests == 0
}

// cancelRequests cancels the requests of the incarnation that served last: it ends, and nobody in it would answer them.
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

// shutdown closes the listener and waits for the requests that are being served.
func (f *frontend) shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

func (f *frontend) close() { _ = f.server.Close() }
