package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

const (
	// DefaultTimeout bounds one call of HTTPStore; a watch gets WatchWait in addition.
	DefaultTimeout = 2 * time.Second
	// WatchWait is how long the platform holds a watch without changes; it is the platform's maximum.
	WatchWait = 30 * time.Second
	// maxAnswerBytes bounds an answer that is read into memory.
	maxAnswerBytes = 256 << 20
	// maxIdleConns lets a journal write, a renewal and a few watches run without new connections.
	maxIdleConns = 16
)

// HTTPStore is the client of the platform's object API and list of backend servers. Its methods return the
// errors declared in this package, wrapped with the call and the platform's address.
type HTTPStore struct {
	base    string
	name    string
	timeout time.Duration
	client  *http.Client

	mu   sync.Mutex
	down time.Time // start of the outage; zero while the store is available
	// listed is the last answer to Backends, and list what it says.
	listed []byte
	list   []Backend
}

var (
	_ Store         = (*HTTPStore)(nil)
	_ BackendLister = (*HTTPStore)(nil)
)

// NewHTTPStore returns a client of the platform at address (IP:port). client names this host in the header
// X-Client. A timeout of 0 means DefaultTimeout.
func NewHTTPStore(address, client string, timeout time.Duration) *HTTPStore {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}
	return &HTTPStore{
		base:    strings.TrimSuffix(base, "/"),
		name:    client,
		timeout: timeout,
		client:  &http.Client{Transport: transport},
	}
}

// call is one HTTP call. write is set if a lost answer leaves the outcome open.
type call struct {
	method, path string
	query        url.Values
	header       http.Header
	body         []byte
	write        bool
	wait         time.Duration // added to the timeout
}

// do runs the call and logs the start and the end of an outage.
func (s *HTTPStore) do(ctx context.Context, c call) (int, http.Header, []byte, error) {
	status, h, b, err := s.attempt(ctx, c)
	if ctx.Err() == nil {
		s.observe(err)
	}
	return status, h, b, err
}

func (s *HTTPStore) observe(err error) {
	if errors.Is(err, ErrOutcomeUnknown) {
		logging.Emit(logging.WriteUnknown, logging.Fields{"store": s.base, "error": err})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	unavailable := errors.Is(err, ErrUnavailable)
	switch {
	case unavailable && s.down.IsZero():
		s.down = time.Now()
		logging.Emit(logging.StoreUnavailable, logging.Fields{"store": s.base, "error": err})
	case !unavailable && !s.down.IsZero():
		logging.Emit(logging.StoreAvailable, logging.Fields{"store": s.base, "unavailable_for": time.Since(s.down)})
		s.down = time.Time{}
	}
}

// attempt runs the call and maps its failures. On success it returns the status, header and body of the answer.
func (s *HTTPStore) attempt(ctx context.Context, c call) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout+c.wait)
	defer cancel()
	target := s.base + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	// net/http repeats a PUT or DELETE by itself only if it wrote no byte of the first attempt.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return 0, nil, nil, errors.Wrapf(err, "%s %s", c.method, c.path)
	}
	for k, v := range c.header {
		req.Header[k] = v
	}
	req.Header.Set("X-Client", s.name)
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, nil, s.transportError(c, err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil && !c.write {
		return 0, nil, nil, s.transportError(c, err, connected.Load())
	}
	if mapped := statusError(resp.StatusCode, c.write); mapped != nil {
		return resp.StatusCode, resp.Header, b, errors.Wrapf(mapped, "%s %s at %s: status %d", c.method, c.path, s.base, resp.StatusCode)
	}
	return resp.StatusCode, resp.Header, b, nil
}

// transportError maps a call without a complete answer. Only a call that never had a connection proves that
// a write did not take effect.
func (s *HTTPStore) transportError(c call, err error, connected bool) error {
	mapped := ErrUnavailable
	if c.write && connected {
		mapped = ErrOutcomeUnknown
	}
	return typed(errors.Wrapf(err, "%s %s at %s", c.method, c.path, s.base), mapped)
}

func statusError(status int, write bool) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
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

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseETag(h http.Header) (Version, error) {
	v, err := strconv.ParseUint(strings.Trim(h.Get("ETag"), `"`), 10, 64)
	return Version(v), errors.Wrapf(err, "ETag %q", h.Get("ETag"))
}

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, kind, name string) (Object, error) {
	_, h, b, err := s.do(ctx, call{method: http.MethodGet, path: objectPath(kind, name)})
	if err != nil {
		return Object{}, err
	}
	v, err := parseETag(h)
	return Object{Kind: kind, Name: name, Version: v, Value: b}, err
}

// Create implements Store.
func (s *HTTPStore) Create(ctx context.Context, kind, name string, value []byte) (Version, error) {
	return s.put(ctx, kind, name, value, http.Header{"If-None-Match": {"*"}})
}

// Update implements Store.
func (s *HTTPStore) Update(ctx context.Context, kind, name string, value []byte, expected Version) (Version, error) {
	return s.put(ctx, kind, name, value, http.Header{"If-Match": {etag(expected)}})
}

func (s *HTTPStore) put(ctx context.Context, kind, name string, value []byte, h http.Header) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "%s/%s has %d bytes", kind, name, len(value))
	}
	_, answer, _, err := s.do(ctx, call{method: http.MethodPut, path: objectPath(kind, name), header: h, body: value, write: true})
	if err != nil {
		return 0, err
	}
	v, err := parseETag(answer)
	if err != nil {
		return 0, typed(err, ErrOutcomeUnknown)
	}
	return v, nil
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, kind, name string, expected Version) error {
	h := http.Header{}
	if expected != 0 {
		h.Set("If-Match", etag(expected))
	}
	_, _, _, err := s.do(ctx, call{method: http.MethodDelete, path: objectPath(kind, name), header: h, write: true})
	return err
}

type listAnswer struct {
	Revision Version `json:"revision"`
	Objects  []struct {
		Name    string  `json:"name"`
		Version Version `json:"version"`
		Value   []byte  `json:"value"`
	} `json:"objects"`
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, kind, prefix string) ([]Object, Version, error) {
	var a listAnswer
	q := url.Values{"prefix": {prefix}}
	if err := s.getJSON(ctx, call{path: "/v1/objects/" + url.PathEscape(kind), query: q}, &a); err != nil {
		return nil, 0, err
	}
	out := make([]Object, 0, len(a.Objects))
	for _, o := range a.Objects {
		out = append(out, Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out, a.Revision, nil
}

type watchAnswer struct {
	Revision Version `json:"revision"`
	Changes  []struct {
		Name    string  `json:"name"`
		Version Version `json:"version"`
		Value   []byte  `json:"value"`
		Deleted bool    `json:"deleted"`
	} `json:"changes"`
}

// Watch implements Store.
func (s *HTTPStore) Watch(ctx context.Context, kind, prefix string, after Version) ([]Change, Version, error) {
	var a watchAnswer
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait_ms": {strconv.FormatInt(WatchWait.Milliseconds(), 10)},
	}
	if err := s.getJSON(ctx, call{path: "/v1/watch/" + url.PathEscape(kind), query: q, wait: WatchWait}, &a); err != nil {
		return nil, 0, err
	}
	out := make([]Change, 0, len(a.Changes))
	for _, c := range a.Changes {
		o := Object{Kind: kind, Name: c.Name, Version: c.Version, Value: c.Value}
		out = append(out, Change{Object: o, Deleted: c.Deleted})
	}
	return out, a.Revision, nil
}

// Backends implements BackendLister. The list is decoded only when the answer differs from the last one: 6,000 entries
// are 0.9 MB of JSON, every host reads them every 2 s, and they rarely change.
func (s *HTTPStore) Backends(ctx context.Context) ([]Backend, error) {
	c := call{method: http.MethodGet, path: "/v1/backends"}
	_, _, b, err := s.do(ctx, c)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed == nil || !bytes.Equal(b, s.listed) {
		var a struct {
			Backends []Backend `json:"backends"`
		}
		if err := s.decode(c, b, &a); err != nil {
			return nil, err
		}
		s.listed, s.list = b, a.Backends
	}
	return slices.Clone(s.list), nil
}

func (s *HTTPStore) getJSON(ctx context.Context, c call, out any) error {
	c.method = http.MethodGet
	_, _, b, err := s.do(ctx, c)
	if err != nil {
		return err
	}
	return s.decode(c, b, out)
}

func (s *HTTPStore) decode(c call, b []byte, out any) error {
	if err := json.Unmarshal(b, out); err != nil {
		return typed(errors.Wrapf(err, "GET %s at %s: answer", c.path, s.base), ErrUnavailable)
	}
	return nil
}
