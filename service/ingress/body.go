package ingress

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/service/memlimit"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

const (
	// defaultMaxBodyBytes bounds bodies where the operator sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// maxSinglePartBytes is the size up to which a body of known length is read into one part.
	maxSinglePartBytes = 64 << 10
	// minPartBytes and maxPartBytes are the sizes of the parts of other bodies. Each is counted before it is allocated, so
	// that a body uses the memory of what has arrived.
	minPartBytes = 4 << 10
	maxPartBytes = 32 << 10
	// unreadBodyTime is how long a refused request's body may still arrive, so that its caller reads the response before
	// the connection ends.
	unreadBodyTime = 200 * time.Millisecond
	// minReadBytesPerSecond is the rate at which a caller must read a response: a quarter of the slowest honest callers'.
	minReadBytesPerSecond = 64 << 10
)

// beginRequest counts the request's head.
func (x *exchange) beginRequest() *failure {
	if !x.ingress.memory.BeginRequest(x.request.Context(), &x.memory) {
		return x.noMemoryFailure("no memory for the request", nil)
	}
	return nil
}

func (x *exchange) noMemoryFailure(reason string, cause error) *failure {
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: x.ingress.retryAfter(""), closeConn: true, cause: cause}
}

// readBody reads the body into bodyParts.
func (x *exchange) readBody(w http.ResponseWriter) *failure {
	r, limit := x.request, x.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	switch {
	case r.ContentLength > limit:
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body too large", closeConn: true}
	case r.Body == http.NoBody:
		return nil
	}
	if c := memlimit.ConnOf(r.Context()); c != nil {
		c.BeginBody()
		defer c.EndBody()
	}
	err := x.readParts(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body too large", closeConn: true}
	case errors.Is(err, memlimit.ErrNoMemory), errors.Is(err, memlimit.ErrEvicted):
		return x.noMemoryFailure("no memory for the body", err)
	case errors.Is(err, memlimit.ErrBodyStalled):
		return &failure{status: http.StatusRequestTimeout, reason: "body too slow", closeConn: true, cause: err}
	}
	return &failure{status: http.StatusBadRequest, reason: "body cannot be read", closeConn: true, cause: err}
}

// readParts reads the body up to its end.
func (x *exchange) readParts(body io.Reader) error {
	x.bodyParts = x.firstPart[:0]
	remaining, size := x.request.ContentLength, int64(minPartBytes)
	if remaining > maxSinglePartBytes {
		size = maxPartBytes
	}
	for {
		switch {
		case remaining < 0:
		case remaining <= maxSinglePartBytes && len(x.bodyParts) == 0:
			size = remaining
		default:
			size = min(size, remaining)
		}
		if size == 0 {
			break
		}
		if !x.memory.Reserve(size) {
			return memlimit.ErrNoMemory
		}
		part := make([]byte, size)
		n, err := io.ReadFull(body, part)
		if n > 0 {
			x.bodyParts = append(x.bodyParts, part[:n])
		}
		switch {
		case remaining < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && errors.Is(readEnd(body), io.EOF)):
			return nil
		case err != nil:
			return err
		case x.ingress.now().After(x.deadline):
			return memlimit.ErrBodyStalled
		}
		if remaining >= 0 {
			remaining -= int64(n)
		}
		size = min(2*size, maxPartBytes)
	}
	// net/http detects that the caller closed its connection only after the body was read up to EOF.
	if err := readEnd(body); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// readEnd reads one more byte, and returns io.EOF after a whole body.
func readEnd(body io.Reader) error {
	_, err := body.Read(make([]byte, 1))
	return err
}

// closeAfterResponse closes the connection after the response, and gives its caller a moment to read that.
func (x *exchange) closeAfterResponse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// net/http reads what remains of a body; without a limit, for as long as the caller wants. An error means that the
	// connection is closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// limitWriteTime bounds the time for which a response of size bytes is held for a caller that does not read it.
func (x *exchange) limitWriteTime(size int) {
	c := memlimit.ConnOf(x.request.Context())
	if c == nil || size <= maxSinglePartBytes {
		return // a small one fits into the send buffer; memlimit.Options.WriteStallTimeout bounds the rest
	}
	until := x.ingress.now().Add(time.Duration(float64(size) / minReadBytesPerSecond * float64(time.Second)))
	if x.deadline.After(until) {
		until = x.deadline
	}
	_ = c.SetWriteDeadline(until.Add(writeGracePeriod)) // if this fails, the write does
}

// errResponseMemory means that there is no memory for a response.
var errResponseMemory = errors.New("no memory for the response")

// readResponse reads the body of a response of up to maxResponseBytes and one more byte. What exceeds
// memlimit.SmallResponseBytes is counted before it is held, until the response was written.
func (x *exchange) readResponse(resp *upstream.Response) ([]byte, error) {
	// With a length, the buffer is allocated once, with a byte in which the end is found.
	size := int64(memlimit.SmallResponseBytes)
	if length, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		size = min(length, maxResponseBytes) + 1
	}
	var body []byte
	counted := int64(0)
	for {
		if size > memlimit.SmallResponseBytes {
			if !x.memory.Reserve(size) {
				x.memory.Release(counted)
				return body, errResponseMemory
			}
		}
		grown := make([]byte, size)
		copy(grown, body)
		x.memory.Release(counted)
		if counted = 0; size > memlimit.SmallResponseBytes {
			counted = size
		}
		n, err := io.ReadFull(resp, grown[len(body):])
		body = grown[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && resp.Complete():
			return body, nil
		case err != nil:
			x.memory.Release(counted)
			return body, err
		case len(body) > maxResponseBytes:
			return body, nil
		}
		size = min(2*size, maxResponseBytes+1)
	}
}
