package memlimit

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// limitBody makes reads of the body count what was read, and factor times as much for what is decoded from it. The caller
// calls the returned function after the request; the connection waits for its client until the body was read.
func limitBody(r *http.Request, reservation *Reservation, factor int64) (end func()) {
	if r.Body == nil || r.Body == http.NoBody {
		return func() {}
	}
	c := ConnOf(r.Context())
	r.Body = &limitedBody{ReadCloser: r.Body, reservation: reservation, factor: factor, conn: c}
	if c == nil {
		return func() {}
	}
	c.BeginBody()
	return c.EndBody
}

// unreadBodyTime is how long the rest of a refused body may still arrive, so that its client reads the response.
const unreadBodyTime = 200 * time.Millisecond

// Handler returns a handler that counts requests and their bodies, as limitBody does. refuse answers a request for which
// there is no memory.
func (l *Limiter) Handler(next http.Handler, factor int64, refuse func(http.ResponseWriter)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reservation := &Reservation{}
		ok := l.BeginRequest(r.Context(), reservation)
		defer reservation.End()
		if !ok {
			w.Header().Set("Connection", "close")
			refuse(w)
		} else {
			end := limitBody(r, reservation, factor)
			next.ServeHTTP(w, r)
			end()
		}
		// net/http reads what remains of a body; without a limit, for as long as the client wants. An error means that the
		// connection is closed.
		if limited, isLimited := r.Body.(*limitedBody); !ok || isLimited && !limited.ended {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
		}
	})
}

type limitedBody struct {
	io.ReadCloser
	reservation *Reservation
	factor      int64
	conn        *Conn // nil if it is not limited
	ended       bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.ended = b.ended || errors.Is(err, io.EOF); b.ended {
		if c := b.conn; c != nil {
			c.EndBody()
		}
	}
	if n > 0 && !b.reservation.Reserve(int64(n)*b.factor) {
		return 0, ErrNoMemory
	}
	return n, err
}
