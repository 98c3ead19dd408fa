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
	// inlineBodyBytes is the size up to which a request is written before its answer is read; it fits into the send
	// buffer of a connection.
	inlineBodyBytes = 8 << 10
	// defaultIdle is how long a connection is kept if the server does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is how much sooner than the server this host gives a connection up.
	idleMargin = 500 * time.Millisecond
	// maxStrays bounds the answers to earlier requests that are skipped before the connection is given up.
	maxStrays = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 64 << 10
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

// Matches reports whether an answer belongs to the request that was sent.
type Matches func(h http.Header) bool

// Failure says why there is no answer.
type Failure struct {
	// Sent is set if the server may have received the request.
	Sent bool
	// Dial is set if no connection could be opened.
	Dial bool
	Err  error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Pool holds the connections to one backend server.
type Pool struct {
	address string
	opened  func()

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// NewPool returns a pool for the server at address (IP:port). opened is called for each new connection.
func NewPool(address string, opened func()) *Pool { return &Pool{address: address, opened: opened} }

// Open returns the number of connections in use and idle.
func (p *Pool) Open() (inUse, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle), len(p.idle)
}

// Close closes the idle connections; those in use are closed after their answers.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.net.Close()
	}
}

type conn struct {
	net     net.Conn
	limited *io.LimitedReader
	br      *bufio.Reader
	expires time.Time
	idleFor time.Duration
}

func (p *Pool) take(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.expires) && quiet(c.net) {
			return c
		}
		p.open--
		_ = c.net.Close()
	}
	p.open++
	return nil
}

func (p *Pool) drop(c *conn) {
	if c != nil {
		_ = c.net.Close()
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) put(c *conn) {
	c.expires = time.Now().Add(c.idleFor)
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.drop(c)
}

// Sweep closes idle connections that have expired or that the server has closed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expires) && quiet(c.net) {
			kept = append(kept, c)
			continue
		}
		p.open--
		_ = c.net.Close()
	}
	p.idle = kept
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	n, err := dial.New(dialTimeout).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	if p.opened != nil {
		p.opened()
	}
	limited := &io.LimitedReader{R: n, N: maxHeaderBytes}
	return &conn{net: n, limited: limited, br: bufio.NewReaderSize(limited, readBufferBytes), idleFor: defaultIdle}, nil
}

// Response is the answer of a backend server. Body must be read to its end or closed.
type Response struct {
	Status int
	Header http.Header
	// Framed is false if the body ends with the connection.
	Framed bool

	body    io.ReadCloser
	pool    *Pool
	conn    *conn
	stop    func() bool
	written *atomic.Bool // nil if the request was written whole
	reuse   bool
	done    bool
}

// Send sends a request and returns the header of its answer. The context bounds the whole exchange, body included.
// The error is a *Failure.
func (p *Pool) Send(ctx context.Context, r *Request, matches Matches) (*Response, error) {
	c := p.take(time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			p.drop(nil)
			return nil, &Failure{Dial: true, Err: errors.Wrapf(err, "connect to backend server %s", p.address)}
		}
	}
	resp := &Response{pool: p, conn: c}
	resp.stop = context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	if err := resp.exchange(r, matches); err != nil {
		resp.abandon()
		if ctx.Err() != nil {
			err = errors.Wrapf(ctx.Err(), "%v", err)
		}
		return nil, &Failure{Sent: true, Err: errors.Wrapf(err, "%s at backend server %s", r.Method, p.address)}
	}
	return resp, nil
}

func (resp *Response) exchange(r *Request, matches Matches) error {
	c := resp.conn
	b := encode(r)
	if len(b) <= inlineBodyBytes {
		if _, err := c.net.Write(b); err != nil {
			return errors.Wrap(err, "write request")
		}
	} else {
		// The server may answer before it has read the request, so reading must not wait for writing.
		resp.written = &atomic.Bool{}
		go func() {
			if _, err := c.net.Write(b); err == nil {
				resp.written.Store(true)
			}
		}()
	}
	for range maxStrays + 1 {
		answer, err := readHeader(c, r.Method)
		if err != nil {
			return err
		}
		if matches(answer.Header) {
			resp.accept(answer)
			return nil
		}
		if err := skip(answer); err != nil {
			return err
		}
	}
	return errors.New("answers of other requests arrived")
}

func readHeader(c *conn, method string) (*http.Response, error) {
	for {
		c.limited.N = maxHeaderBytes
		answer, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		c.limited.N = 1 << 62
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// skip reads an answer that belongs to an earlier request.
func skip(answer *http.Response) error {
	if !framed(answer) {
		return errors.New("answer of another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxStrayBytes+1))
	if err != nil || n > maxStrayBytes {
		return errors.Newf("answer of another request: %d bytes, %v", n, err)
	}
	return nil
}

func framed(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

func (resp *Response) accept(answer *http.Response) {
	resp.Status, resp.Header, resp.body = answer.StatusCode, answer.Header, answer.Body
	resp.Framed = framed(answer)
	resp.reuse = resp.Framed && !answer.Close
	if seconds, ok := keepAlive(answer.Header.Get("Keep-Alive")); ok {
		resp.conn.idleFor = max(seconds-idleMargin, 0)
	}
}

// keepAlive returns the timeout in a Keep-Alive header.
func keepAlive(v string) (time.Duration, bool) {
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
		resp.finish()
	case err != nil:
		resp.abandon()
	}
	return n, err
}

func (resp *Response) finish() {
	if resp.done {
		return
	}
	c := resp.conn
	written := resp.written == nil || resp.written.Load()
	// Bytes after the answer belong to no request.
	if !resp.stop() || !resp.reuse || !written || c.br.Buffered() > 0 {
		resp.abandon()
		return
	}
	resp.done = true
	resp.pool.put(c)
}

func (resp *Response) abandon() {
	if resp.done {
		return
	}
	resp.done = true
	resp.stop()
	resp.pool.drop(resp.conn)
}

// Close gives the answer up; the connection is closed unless the body was read to its end.
func (resp *Response) Close() { resp.abandon() }

func encode(r *Request) []byte {
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
