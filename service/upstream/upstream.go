// Package upstream pools connections to backend servers and sends requests over them. It never sends a request
// twice: callers decide that, using SendError.MaybeSent.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/dial"
)

const (
	// dialTimeout bounds the opening of a connection: many round trips, and a small part of a request's timeout.
	dialTimeout = 400 * time.Millisecond
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// maxInlineRequestBytes is the size up to which a request is written before its response is read: it fits into
	// the send buffer of a connection.
	maxInlineRequestBytes = 8 << 10
	// defaultIdleTimeout is the idle timeout of a connection if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is the time by which a connection is closed before the server's idle timeout, since the
	// server may close it while a request is on the way.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxStaleResponses is the number of responses to earlier requests that are discarded before the connection is
	// closed.
	maxStaleResponses = 2
	// maxStaleResponseBytes bounds the body of a discarded response.
	maxStaleResponseBytes = 64 << 10
	// maxStatus is the greatest status that HTTP defines.
	maxStatus = 599
	// maxInformationalResponses is the number of responses with status 1xx before the response itself.
	maxInformationalResponses = 8
	// readBufferBytes is the size of a connection's read buffer: a typical response of a plain service.
	readBufferBytes = 2 << 10
)

// Request is an upstream request.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// BodyParts follow Body. They are sent without a copy, so they must not change.
	BodyParts [][]byte
}

func (r *Request) bodySize() int {
	size := len(r.Body)
	for _, part := range r.BodyParts {
		size += len(part)
	}
	return size
}

// ResponseMatcher reports whether a response with the header h belongs to the request that was sent. reused is set on a
// connection that has carried other requests, so that a response may belong to one of these.
type ResponseMatcher func(h http.Header, reused bool) bool

// SendError is the error of a request without a response.
type SendError struct {
	// MaybeSent is set if the server may have received the request.
	MaybeSent bool
	// DialFailed is set if no connection could be opened.
	DialFailed bool
	Err        error
}

// Error implements error.
func (f *SendError) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *SendError) Unwrap() error { return f.Err }

// Pool is the pool of connections to one backend server. It is safe for concurrent use.
type Pool struct {
	address      string
	onConnOpened func()

	mu        sync.Mutex
	idleConns []*conn
	openConns int
	closed    bool
}

// NewPool returns a pool for the server at address (IP:port). onConnOpened, if not nil, is called for each new
// connection.
func NewPool(address string, onConnOpened func()) *Pool {
	return &Pool{address: address, onConnOpened: onConnOpened}
}

// ConnCounts returns the numbers of connections in use and of idle ones.
func (p *Pool) ConnCounts() (inUse, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns - len(p.idleConns), len(p.idleConns)
}

// Close closes the idle connections; those in use are closed after their responses.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idleConns
	p.idleConns, p.closed = nil, true
	p.openConns -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.netConn.Close()
	}
}

// Reopen makes the pool keep idle connections again after Close.
func (p *Pool) Reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = false
}

type conn struct {
	netConn       net.Conn
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	expiresAt     time.Time
	idleTimeout   time.Duration
	// used is set once a request was sent.
	used bool
}

// takeIdle returns a reusable idle connection. If there is none, it returns nil and counts the connection that the
// caller opens instead as open.
func (p *Pool) takeIdle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idleConns) > 0 {
		c := p.idleConns[len(p.idleConns)-1]
		p.idleConns = p.idleConns[:len(p.idleConns)-1]
		if now.Before(c.expiresAt) && isReusable(c.netConn) {
			return c
		}
		p.openConns--
		_ = c.netConn.Close()
	}
	p.openConns++
	return nil
}

// discard closes c and no longer counts it as open. c is nil if the connection could not be opened.
func (p *Pool) discard(c *conn) {
	if c != nil {
		_ = c.netConn.Close()
	}
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

func (p *Pool) putIdle(c *conn) {
	c.expiresAt = time.Now().Add(c.idleTimeout)
	p.mu.Lock()
	if !p.closed {
		p.idleConns = append(p.idleConns, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// CloseExpired closes idle connections that have expired or that the server has closed.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idleConns[:0]
	for _, c := range p.idleConns {
		if now.Before(c.expiresAt) && isReusable(c.netConn) {
			kept = append(kept, c)
			continue
		}
		p.openConns--
		_ = c.netConn.Close()
	}
	p.idleConns = kept
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	netConn, err := dial.New(dialTimeout).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if p.onConnOpened != nil {
		p.onConnOpened()
	}
	limited := &io.LimitedReader{R: netConn, N: maxHeaderBytes}
	return &conn{netConn: netConn, limitedReader: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// Response is the response of a backend server. It must be read to its end or closed.
type Response struct {
	Status int
	Header http.Header
	// HasLength is false if only the close of the connection ends the body.
	HasLength bool

	body           io.ReadCloser
	pool           *Pool
	conn           *conn
	stopCancel     func() bool
	requestWritten *atomic.Bool // nil if the request was written before the response was read
	reusable       bool
	released       bool
	complete       bool
}

// Complete reports whether the body was read to its end. A body that breaks off is not complete.
func (resp *Response) Complete() bool { return resp.complete }

// Send sends a request and returns its response as soon as the header has arrived. Responses that do not match are
// discarded. The context bounds the whole exchange, including the body. The error is a *SendError.
func (p *Pool) Send(ctx context.Context, r *Request, matches ResponseMatcher) (*Response, error) {
	c := p.takeIdle(time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			p.discard(nil)
			return nil, &SendError{DialFailed: true, Err: errors.Wrapf(err, "connect to backend server %s", p.address)}
		}
	}
	resp := &Response{pool: p, conn: c}
	resp.stopCancel = context.AfterFunc(ctx, func() { _ = c.netConn.SetDeadline(time.Unix(1, 0)) })
	reused := c.used
	c.used = true
	if err := resp.roundTrip(r, func(h http.Header) bool { return matches(h, reused) }); err != nil {
		resp.closeConn()
		if ctx.Err() != nil {
			err = errors.Wrapf(ctx.Err(), "%v", err)
		}
		return nil, &SendError{MaybeSent: true, Err: errors.Wrapf(err, "%s at backend server %s", r.Method, p.address)}
	}
	return resp, nil
}

func (resp *Response) roundTrip(r *Request, matches func(h http.Header) bool) error {
	c := resp.conn
	bodySize := r.bodySize()
	head := encodeHead(r, bodySize)
	if head.Len()+bodySize <= maxInlineRequestBytes {
		head.Write(r.Body)
		for _, part := range r.BodyParts {
			head.Write(part)
		}
		if _, err := c.netConn.Write(head.Bytes()); err != nil {
			return errors.Wrap(err, "write request")
		}
	} else {
		// The server may respond before it has read the request, so reading must not wait for writing.
		resp.requestWritten = &atomic.Bool{}
		buffers := append(net.Buffers{head.Bytes(), r.Body}, r.BodyParts...)
		go func() {
			if _, err := buffers.WriteTo(c.netConn); err == nil {
				resp.requestWritten.Store(true)
			}
		}()
	}
	for range maxStaleResponses + 1 {
		httpResp, err := readHeader(c, r.Method)
		if err != nil {
			return err
		}
		if matches(httpResp.Header) {
			resp.setHeader(httpResp)
			return nil
		}
		if err := discardResponse(httpResp); err != nil {
			return err
		}
	}
	return errors.Newf("%d responses to other requests", maxStaleResponses+1)
}

// readHeader reads the header of the next response, and skips informational ones (1xx). The parser accepts any three digits
// as a status; a response with one that HTTP does not define is none.
func readHeader(c *conn, method string) (*http.Response, error) {
	for range maxInformationalResponses + 1 {
		c.limitedReader.N = maxHeaderBytes
		httpResp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		c.limitedReader.N = 1 << 62
		if status := httpResp.StatusCode; status < http.StatusContinue || status > maxStatus {
			return nil, errors.Newf("read response: %03d is no HTTP status", status)
		}
		if httpResp.StatusCode >= http.StatusOK {
			return httpResp, nil
		}
	}
	return nil, errors.Newf("more than %d informational responses", maxInformationalResponses)
}

// discardResponse reads a response to an earlier request.
func discardResponse(httpResp *http.Response) error {
	if !hasLength(httpResp) {
		return errors.New("response to another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxStaleResponseBytes+1))
	if err != nil || n > maxStaleResponseBytes {
		return errors.Newf("read response to another request: %d bytes, %v", n, err)
	}
	return nil
}

func hasLength(httpResp *http.Response) bool {
	return httpResp.ContentLength >= 0 || len(httpResp.TransferEncoding) > 0
}

func (resp *Response) setHeader(httpResp *http.Response) {
	resp.Status, resp.Header, resp.body = httpResp.StatusCode, httpResp.Header, httpResp.Body
	resp.HasLength = hasLength(httpResp)
	resp.reusable = resp.HasLength && !httpResp.Close
	if timeout, ok := keepAliveTimeout(httpResp.Header.Get("Keep-Alive")); ok {
		resp.conn.idleTimeout = max(timeout-idleTimeoutMargin, 0)
	}
}

// keepAliveTimeout returns the timeout in the value of a Keep-Alive header, and whether there is a valid one.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

// Read reads the body. At io.EOF, the connection is returned to the pool if it can be reused.
func (resp *Response) Read(b []byte) (int, error) {
	n, err := resp.body.Read(b)
	switch {
	case err == io.EOF:
		resp.complete = true
		resp.release()
	case err != nil:
		resp.closeConn()
	}
	return n, err
}

func (resp *Response) release() {
	if resp.released {
		return
	}
	c := resp.conn
	written := resp.requestWritten == nil || resp.requestWritten.Load()
	// Bytes after the response belong to no request.
	if !resp.stopCancel() || !resp.reusable || !written || c.reader.Buffered() > 0 {
		resp.closeConn()
		return
	}
	resp.released = true
	resp.pool.putIdle(c)
}

func (resp *Response) closeConn() {
	if resp.released {
		return
	}
	resp.released = true
	resp.stopCancel()
	resp.pool.discard(resp.conn)
}

// Discard reads the rest of a response whose body is of no use, so that the connection can be reused, and closes the
// connection if that takes longer than timeout or has more than limit bytes.
func (resp *Response) Discard(limit int64, timeout time.Duration) {
	defer resp.closeConn()
	if resp.conn.netConn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	body := io.LimitedReader{R: resp.body, N: limit + 1}
	if _, err := io.Copy(io.Discard, &body); err != nil || body.N == 0 {
		return
	}
	if resp.conn.netConn.SetReadDeadline(time.Time{}) == nil {
		resp.release()
	}
}

// Close ends the use of the response; the connection is closed unless the body was read to its end.
func (resp *Response) Close() { resp.closeConn() }

// encodeHead returns the head of a request, with room for a body that is sent with it.
func encodeHead(r *Request, bodySize int) *bytes.Buffer {
	var b bytes.Buffer
	b.Grow(1024 + min(bodySize, maxInlineRequestBytes))
	for _, text := range [...]string{r.Method, " ", r.URI, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		b.WriteString(text)
	}
	_ = r.Header.Write(&b) // a bytes.Buffer returns no error
	if bodySize > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(bodySize), 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return &b
}
