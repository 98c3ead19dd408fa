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
	// DefaultTimeout bounds one call; a watch gets its wait in addition.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes bounds an answer that is read into memory.
	maxResponseBytes = 256 << 20
	// maxIdleConns lets a journal write, a renewal and a few watches run without new connections.
	maxIdleConns = 16
)

// Client makes the HTTP calls to the platform, maps their failures to the errors of this package and logs
// outages.
type Client struct {
	baseURL    string
	clientName string
	timeout    time.Duration
	httpClient *http.Client

	mu          sync.Mutex
	outageStart time.Time // start of the outage; zero while the store is available
}

// NewClient returns a client of the platform at address (IP:port). client names this host in the header
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

// Available reports whether the last call was answered.
func (s *Client) Available() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outageStart.IsZero()
}

// Request is one HTTP call to the platform.
type Request struct {
	Method, Path string
	Query        url.Values
	Header       http.Header
	Body         []byte
	// Mutating is set if a lost answer leaves the outcome open.
	Mutating bool
	// LongPollTimeout is how long the platform may hold the call; it is added to the timeout.
	LongPollTimeout time.Duration
}

// Do runs the call and logs the start and the end of an outage. On success it returns the status, header and body
// of the answer; its errors are those declared in this package, wrapped with the call and the address.
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

// doOnce runs the call and maps its failures. On success it returns the status, header and body of the answer.
func (s *Client) doOnce(ctx context.Context, c Request) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout+c.LongPollTimeout)
	defer cancel()
	target := s.baseURL + c.Path
	if len(c.Query) > 0 {
		target += "?" + c.Query.Encode()
	}
	// net/http repeats a PUT or DELETE by itself only if it wrote no byte of the first attempt.
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

// transportError maps a call without a complete answer. Only a call that never had a connection proves that
// a write did not take effect.
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
