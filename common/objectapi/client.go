package objectapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/dial"
	"github.com/hyssopreel/hyssopreel/common/logging"
)

const (
	// DefaultTimeout bounds one request; the long-poll timeout of a watch is added to it.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes bounds the part of a response that is read into memory.
	maxResponseBytes = 256 << 20
	// maxIdleConns covers a journal write, a lease renewal and a few watches at once without new connections.
	maxIdleConns = 16
)

// Client sends HTTP requests to the platform, maps their failures to the errors of this package and logs outages.
type Client struct {
	baseURL    string
	clientName string
	timeout    time.Duration
	httpClient *http.Client

	mu          sync.Mutex
	outageStart time.Time // start of the outage; zero while the store is available
}

// NewClient returns a client of the platform at address (IP:port). client is the name of this host for the header
// X-Client. A timeout of 0 means DefaultTimeout.
func NewClient(address, client string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	transport := &http.Transport{
		DialContext:         dial.New(timeout).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		baseURL:    strings.TrimSuffix(base, "/"),
		clientName: client,
		timeout:    timeout,
		httpClient: &http.Client{Transport: transport},
	}
}

// Available reports whether the store answered the last request; it is true before the first one.
func (s *Client) Available() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outageStart.IsZero()
}

// Request is one HTTP request to the platform.
type Request struct {
	Method, Path string
	Query        url.Values
	Header       http.Header
	Body         []byte
	// Mutating is set for a write: if its response is lost, the outcome is unknown.
	Mutating bool
	// LongPollTimeout is the longest time that the platform may wait before it responds; it is added to the client's
	// timeout.
	LongPollTimeout time.Duration
}

// Do sends the request and logs the start and the end of an outage. On success it returns the status, header and
// body of the response; its errors are those declared in this package, wrapped with the request and the address.
func (s *Client) Do(ctx context.Context, c Request) (int, http.Header, []byte, error) {
	status, h, b, err := s.doOnce(ctx, c)
	if ctx.Err() == nil {
		s.trackOutage(err)
	}
	return status, h, b, err
}

func (s *Client) trackOutage(err error) {
	if errors.Is(err, ErrOutcomeUnknown) {
		logging.Emit(logging.WriteOutcomeUnknown, logging.Fields{"store": s.baseURL, "error": err})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	unavailable := errors.Is(err, ErrUnavailable)
	switch {
	case unavailable && s.outageStart.IsZero():
		s.outageStart = time.Now()
		logging.Emit(logging.StoreUnavailable, logging.Fields{"store": s.baseURL, "error": err})
	case !unavailable && !s.outageStart.IsZero():
		logging.Emit(logging.StoreAvailable, logging.Fields{"store": s.baseURL, "unavailable_for": time.Since(s.outageStart)})
		s.outageStart = time.Time{}
	}
}

// doOnce sends the request and maps its failures to errors of this package.
func (s *Client) doOnce(ctx context.Context, c Request) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout+c.LongPollTimeout)
	defer cancel()
	target := s.baseURL + c.Path
	if len(c.Query) > 0 {
		target += "?" + c.Query.Encode()
	}
	// net/http retries a PUT or DELETE on its own only if no byte of the first attempt was written.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, c.Method, target, bytes.NewReader(c.Body))
	if err != nil {
		return 0, nil, nil, errors.Wrapf(err, "%s %s", c.Method, c.Path)
	}
	for k, v := range c.Header {
		req.Header[k] = v
	}
	req.Header.Set("X-Client", s.clientName)
	resp, err := s.httpClient.Do(req)
	if err != nil {
		return 0, nil, nil, s.transportError(c, err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil && !c.Mutating {
		return 0, nil, nil, s.transportError(c, err, connected.Load())
	}
	if mapped := statusError(resp.StatusCode, c.Mutating); mapped != nil {
		return resp.StatusCode, resp.Header, b, errors.Wrapf(mapped, "%s %s at %s: status %d", c.Method, c.Path, s.baseURL, resp.StatusCode)
	}
	return resp.StatusCode, resp.Header, b, nil
}

// transportError maps the error of a request without a complete response. A write certainly did not take effect
// only if it never had a connection.
func (s *Client) transportError(c Request, err error, connected bool) error {
	mapped := ErrUnavailable
	if c.Mutating && connected {
		mapped = ErrOutcomeUnknown
	}
	return withSentinel(errors.Wrapf(err, "%s %s at %s", c.Method, c.Path, s.baseURL), mapped)
}

func statusError(status int, write bool) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed, http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrHistoryGone
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	if status >= 500 && write {
		return ErrOutcomeUnknown
	}
	if status >= 500 {
		return ErrUnavailable
	}
	return errors.New("unexpected status")
}
