// Package upstream keeps connections to backend servers and sends requests over them. It never repeats a request:
// whether that is allowed is the caller's decision, for which a Failure says whether any byte was sent.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
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
	// dialTimeout bounds a new connection: many round trips, and a small part of a request's time.
	dialTimeout = 400 * time.Millisecond
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxInlineRequestBytes is the size up to which a request is written before its answer is read; it fits into the send
	// buffer of a connection.
	maxInlineRequestBytes = 8 << 10
	// defaultIdleTimeout is how long a connection is kept if the server does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how much sooner than the server this host gives a connection up.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxStaleResponses bounds the answers to earlier requests that are skipped before the connection is given up.
	maxStaleResponses = 2
	// maxStaleResponseBytes bounds the body of a skipped answer.
	maxStaleResponseBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer: a typical answer of a plain service.
	readBufferBytes = 2 << 10
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// ResponseMatcher reports whether an answer belongs to the request that was sent.
type ResponseMatcher func(h http.Header) bool

// SendError says why there is no answer.
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

// Pool holds the connections to one backend server.
type Pool struct {
	address      string
	onConnOpened func()

	mu        sync.Mutex
	idleConns []*conn
	openConns int
	closed    bool
}

// NewPool returns a pool for the server at address (IP:port). opened is called for each new connection.
func NewPool(address string, opened func()) *Pool {
	return &Pool{address: address, onConnOpened: opened}
}

// ConnCounts returns the number of connections in use and idle.
func (p *Pool) ConnCounts() (inUse, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns - len(p.idleConns), len(p.idleConns)
}

// Close closes the idle connections; those in use are closed after their answers.
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

type conn struct {
	netConn       net.Conn
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	expiresAt     time.Time
	idleTimeout   time.Duration
}

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
	n, err := dial.New(dialTimeout).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if p.onConnOpened != nil {
		p.onConnOpened()
	}
	limited := &io.LimitedReader{R: n, N: maxHeaderBytes}
	return &conn{netConn: n, limitedReader: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// Response is the answer of a backend server. Body must be read to its end or closed.
type Response struct {
	Status int
	Header http.Header
	// HasLength is false if the body ends with the connection.
	HasLength bool

	body           io.ReadCloser
	pool           *Pool
	conn           *conn
	stopCancel     func() bool
	requestWritten *atomic.Bool // nil if the request was written whole
	reusable       bool
	released       bool
}

// Send sends a request and returns the header of its answer. The context bounds the whole exchange, body included.
// The error is a *Failure.
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
	if err := resp.roundTrip(r, matches); err != nil {
		resp.closeConn()
		if ctx.Err() != nil {
			err = errors.Wrapf(ctx.Err(), "%v", err)
		}
		return nil, &SendError{MaybeSent: true, Err: errors.Wrapf(err, "%s at backend server %s", r.Method, p.address)}
	}
	return resp, nil
}

func (resp *Response) roundTrip(r *Request, matches ResponseMatcher) error {
	c := resp.conn
	b := encodeRequest(r)
	if len(b) <= maxInlineRequestBytes {
		if _, err := c.netConn.Write(b); err != nil {
			return errors.Wrap(err, "write request")
		}
	} else {
		// The server may answer before it has read the request, so reading must not wait for writing.
		resp.requestWritten = &atomic.Bool{}
		go func() {
			if _, err := c.netConn.Write(b); err == nil {
				resp.requestWritten.Store(true)
			}
		}()
	}
	for range maxStaleResponses + 1 {
		answer, err := readHeader(c, r.Method)
		if err != nil {
			return err
		}
		if matches(answer.Header) {
			resp.setHeader(answer)
			return nil
		}
		if err := discardResponse(answer); err != nil {
			return err
		}
	}
	return errors.New("answers of other requests arrived")
}

func readHeader(c *conn, method string) (*http.Response, error) {
	for {
		c.limitedReader.N = maxHeaderBytes
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		c.limitedReader.N = 1 << 62
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// discardResponse reads an answer that belongs to an earlier request.
func discardResponse(answer *http.Response) error {
	if !hasLength(answer) {
		return errors.New("answer of another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxStaleResponseBytes+1))
	if err != nil || n > maxStaleResponseBytes {
		return errors.Newf("answer of another request: %d bytes, %v", n, err)
	}
	return nil
}

func hasLength(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

func (resp *Response) setHeader(answer *http.Response) {
	resp.Status, resp.Header, resp.body = answer.StatusCode, answer.Header, answer.Body
	resp.HasLength = hasLength(answer)
	resp.reusable = resp.HasLength && !answer.Close
	if seconds, ok := keepAliveTimeout(answer.Header.Get("Keep-Alive")); ok {
		resp.conn.idleTimeout = max(seconds-idleTimeoutMargin, 0)
	}
}

// keepAliveTimeout returns the timeout in a Keep-Alive header.
func keepAliveTimeout(v string) (time.Duration, bool) {
	for part := range strings.SplitSeq(v, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}

// Read reads the body. After io.EOF the connection goes back to the pool.
func (resp *Response) Read(b []byte) (int, error) {
	n, err := resp.body.Read(b)
	switch {
	case err == io.EOF:
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
	// Bytes after the answer belong to no request.
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

// Close gives the answer up; the connection is closed unless the body was read to its end.
func (resp *Response) Close() { resp.closeConn() }

func encodeRequest(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // a buffer never fails
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
