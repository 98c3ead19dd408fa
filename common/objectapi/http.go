package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/jsonparts"
	"github.com/hyssopreel/hyssopreel/common/logging"
)

// MaxWatchWait is the time after which the platform answers a watch without changes; it is the platform's maximum.
const MaxWatchWait = 30 * time.Second

// HTTPStore is the client of the platform's object API and list of backend servers. Its methods return the errors
// declared in this package, wrapped with the request and the platform's address.
type HTTPStore struct {
	client *Client

	mu sync.Mutex
	// backendsBody is the last response to Backends, and backends is its decoded form.
	backendsBody []byte
	backends     []Backend
}

var (
	_ Store         = (*HTTPStore)(nil)
	_ BackendLister = (*HTTPStore)(nil)
)

// NewHTTPStore returns a client of the platform at address (IP:port). client is the name of this host for the header
// X-Client. A timeout of 0 means DefaultTimeout.
func NewHTTPStore(address, client string, timeout time.Duration) *HTTPStore {
	return &HTTPStore{client: NewClient(address, client, timeout)}
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseETag(h http.Header) (Version, error) {
	v, err := strconv.ParseUint(strings.Trim(h.Get("ETag"), `"`), 10, 64)
	return Version(v), errors.Wrapf(err, "decode ETag %q", h.Get("ETag"))
}

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, kind, name string) (Object, error) {
	_, h, b, err := s.client.Do(ctx, Request{Method: http.MethodGet, Path: objectPath(kind, name)})
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
	_, responseHeader, _, err := s.client.Do(ctx, Request{Method: http.MethodPut, Path: objectPath(kind, name), Header: h, Body: value, Mutating: true})
	if err != nil {
		return 0, err
	}
	v, err := parseETag(responseHeader)
	if err != nil {
		return 0, withSentinel(err, ErrOutcomeUnknown)
	}
	return v, nil
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, kind, name string, expected Version) error {
	h := http.Header{}
	if expected != 0 {
		h.Set("If-Match", etag(expected))
	}
	_, _, _, err := s.client.Do(ctx, Request{Method: http.MethodDelete, Path: objectPath(kind, name), Header: h, Mutating: true})
	return err
}

type listResponse struct {
	Revision Version `json:"revision"`
	Objects  []struct {
		Name    string  `json:"name"`
		Version Version `json:"version"`
		Value   []byte  `json:"value"`
	} `json:"objects"`
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context, kind, prefix string) ([]Object, Version, error) {
	var response listResponse
	q := url.Values{"prefix": {prefix}}
	if err := s.getJSON(ctx, Request{Path: "/v1/objects/" + url.PathEscape(kind), Query: q}, &response); err != nil {
		return nil, 0, err
	}
	out := make([]Object, 0, len(response.Objects))
	for _, o := range response.Objects {
		out = append(out, Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out, response.Revision, nil
}

type watchResponse struct {
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
	var response watchResponse
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait_ms": {strconv.FormatInt(MaxWatchWait.Milliseconds(), 10)},
	}
	if err := s.getJSON(ctx, Request{Path: "/v1/watch/" + url.PathEscape(kind), Query: q, LongPollTimeout: MaxWatchWait}, &response); err != nil {
		return nil, 0, err
	}
	out := make([]Change, 0, len(response.Changes))
	for _, c := range response.Changes {
		o := Object{Kind: kind, Name: c.Name, Version: c.Version, Value: c.Value}
		out = append(out, Change{Object: o, Deleted: c.Deleted})
	}
	return out, response.Revision, nil
}

// Backends implements BackendLister. The list is decoded only when the response differs from the last one: 6,000
// entries are 0.9 MB of JSON, every host reads them every 2 s, and they rarely change.
func (s *HTTPStore) Backends(ctx context.Context) ([]Backend, error) {
	c := Request{Method: http.MethodGet, Path: "/v1/backends"}
	_, _, b, err := s.client.Do(ctx, c)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backendsBody == nil || !bytes.Equal(b, s.backendsBody) {
		backends, err := decodeBackends(b)
		if err != nil {
			return nil, withSentinel(errors.Wrapf(err, "GET %s at %s: decode response", c.Path, s.client.baseURL), ErrUnavailable)
		}
		s.backendsBody, s.backends = b, backends
	}
	return slices.Clone(s.backends), nil
}

// decodeBackends decodes the list of backend servers without the entries that can't be decoded.
func decodeBackends(body []byte) ([]Backend, error) {
	var response struct {
		Backends []Backend `json:"backends"`
	}
	err := json.Unmarshal(body, &response)
	if err == nil {
		return response.Backends, nil
	}
	fields, splitErr := jsonparts.Object(body)
	if splitErr != nil {
		return nil, errors.CombineErrors(err, splitErr)
	}
	entries, splitErr := jsonparts.Array(fields["backends"])
	if splitErr != nil {
		return nil, errors.CombineErrors(err, splitErr)
	}
	backends := make([]Backend, 0, len(entries))
	for i, entry := range entries {
		var b Backend
		if err := json.Unmarshal(entry, &b); err != nil {
			logging.Emit(logging.BackendRejected, logging.Fields{"entry": i, "error": err})
			continue
		}
		backends = append(backends, b)
	}
	return backends, nil
}

func (s *HTTPStore) getJSON(ctx context.Context, c Request, out any) error {
	c.Method = http.MethodGet
	_, _, b, err := s.client.Do(ctx, c)
	if err != nil {
		return err
	}
	return s.decode(c, b, out)
}

func (s *HTTPStore) decode(c Request, b []byte, out any) error {
	if err := json.Unmarshal(b, out); err != nil {
		return withSentinel(errors.Wrapf(err, "GET %s at %s: decode response", c.Path, s.client.baseURL), ErrUnavailable)
	}
	return nil
}
