// Package platform is a stand-in for the platform's object API and its list of backend servers. It stores everything in
// memory. The protocol is in docs/external-protocols.md.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/hyssopreel/hyssopreel/standin/internal/control"
)

const (
	maxValueBytes   = 1 << 20
	maxWatchTimeout = 30 * time.Second
	// maxBodyBytes is above maxValueBytes, so that the caller of an oversized write receives the 413 response and no
	// write error.
	maxBodyBytes = 64 << 20
)

// Config configures a Platform. Rates are in calls per second; 0 is no limit.
type Config struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// BackendLag is the delay until a change of the list of backend servers is visible.
	BackendLag time.Duration
	// Backends is the initial list of backend servers, visible at once.
	Backends []Backend
}

// Faults of the platform, set by POST /control/faults. They do not apply to the control calls.
type Faults struct {
	// Outage rejects every call with 503 and ends waiting watches with 503.
	Outage bool `json:"outage"`
	// Hang blocks every call, and the responses of waiting watches, until it is cleared. A blocked call whose caller
	// disconnects has no effect.
	Hang bool `json:"hang"`
	// SlowMS delays every call before it takes effect; a write takes effect even if its caller disconnects.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers closes the connections of the next N successful writes after they took effect, without a response.
	// With LoseKind, it applies only to writes of objects of that kind.
	LoseAnswers int    `json:"lose_answers"`
	LoseKind    string `json:"lose_kind"`
	// DenyClients lists values of the X-Client header. The platform closes the connections of these clients at every
	// call and in every waiting watch.
	DenyClients []string `json:"deny_clients"`
}

// Backend is one entry of the list of backend servers.
type Backend struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	Kind          string `json:"kind"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	ChecksFencing bool   `json:"checks_fencing"`
}

// CallCounts counts calls, in total, of one client or of one object kind. Rejected calls count as well.
type CallCounts struct {
	Reads        int64 `json:"reads"`  // gets, lists and backend lists
	Writes       int64 `json:"writes"` // puts and deletes
	Watches      int64 `json:"watches"`
	Conflicts    int64 `json:"conflicts"` // responses with 412
	Refused      int64 `json:"refused"`   // responses with 429 and 503
	Gets         int64 `json:"gets"`
	Lists        int64 `json:"lists"`
	BackendLists int64 `json:"backends"`
	Puts         int64 `json:"puts"`
	Deletes      int64 `json:"deletes"`
}

// Counters is the response of GET /control/counters.
type Counters struct {
	CallCounts
	// WaitingWatches is the current number of waiting watches.
	WaitingWatches int64                  `json:"waiting"`
	Revision       uint64                 `json:"revision"`
	ByClient       map[string]*CallCounts `json:"by_client"`
	ByKind         map[string]*CallCounts `json:"by_kind"`
}

type object struct {
	version uint64
	value   []byte
	deleted bool // tombstones are kept, so that a watch returns every deletion
}

type scheduledBackends struct {
	visibleFrom time.Time
	backends    []Backend
}

// Platform is an in-memory object API. It implements http.Handler.
type Platform struct {
	router *chi.Mux
	faults *control.Faults[Faults]
	reads  *rate.Limiter
	writes *rate.Limiter

	mu           sync.Mutex
	revision     uint64
	objects      map[string]map[string]*object // by kind and name
	changed      map[string]chan struct{}      // by kind; closed at the next change
	backendLists []scheduledBackends           // in the order in which they were set
	backendLag   time.Duration
	counters     Counters
}

// New returns a platform without objects.
func New(cfg Config) *Platform {
	p := &Platform{
		router:       chi.NewRouter(),
		faults:       control.NewFaults[Faults](),
		reads:        newLimiter(cfg.ReadsPerSecond),
		writes:       newLimiter(cfg.WritesPerSecond),
		objects:      map[string]map[string]*object{},
		changed:      map[string]chan struct{}{},
		backendLists: []scheduledBackends{{backends: cfg.Backends}},
		backendLag:   cfg.BackendLag,
		counters:     Counters{ByClient: map[string]*CallCounts{}, ByKind: map[string]*CallCounts{}},
	}
	p.router.Get("/v1/objects/{kind}/{name}", p.withFaults(func(c *CallCounts) { c.Reads++; c.Gets++ }, p.reads, p.get))
	p.router.Put("/v1/objects/{kind}/{name}", p.withFaults(func(c *CallCounts) { c.Writes++; c.Puts++ }, p.writes, p.put))
	p.router.Delete("/v1/objects/{kind}/{name}", p.withFaults(func(c *CallCounts) { c.Writes++; c.Deletes++ }, p.writes, p.remove))
	p.router.Get("/v1/objects/{kind}", p.withFaults(func(c *CallCounts) { c.Reads++; c.Lists++ }, p.reads, p.list))
	p.router.Get("/v1/watch/{kind}", p.withFaults(func(c *CallCounts) { c.Watches++ }, p.reads, p.watch))
	p.router.Get("/v1/backends", p.withFaults(func(c *CallCounts) { c.Reads++; c.BackendLists++ }, p.reads, p.serveBackends))
	p.router.Put("/control/backends", p.setBackends)
	p.router.Get("/control/counters", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, p.Counters())
	})
	p.faults.Mount(p.router)
	return p
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	// A burst of a tenth of a second admits calls that arrive together without raising the average rate.
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f Faults) { p.faults.Set(f) }

// Faults returns the current faults.
func (p *Platform) Faults() Faults { return p.faults.Get() }

// SetBackends replaces the list of backend servers. The new list is visible after the lag.
func (p *Platform) SetBackends(list []Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backendLists = append(p.backendLists, scheduledBackends{visibleFrom: time.Now().Add(p.backendLag), backends: list})
}

// SetBackendLag sets the lag of later calls of SetBackends.
func (p *Platform) SetBackendLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backendLag = lag
}

// Counters returns a copy of the counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.counters
	out.Revision = p.revision
	out.ByClient = copyCallCounts(p.counters.ByClient)
	out.ByKind = copyCallCounts(p.counters.ByKind)
	return out
}

func copyCallCounts(in map[string]*CallCounts) map[string]*CallCounts {
	out := make(map[string]*CallCounts, len(in))
	for k, v := range in {
		c := *v
		out[k] = &c
	}
	return out
}

// count applies fn to the totals, to the caller's counters and to those of the object kind, if any.
func (p *Platform) count(r *http.Request, fn func(*CallCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countLocked(r, fn)
}

func (p *Platform) countLocked(r *http.Request, fn func(*CallCounts)) {
	fn(&p.counters.CallCounts)
	fn(countsFor(p.counters.ByClient, r.Header.Get("X-Client")))
	if kind := pathParam(r, "kind"); kind != "" {
		fn(countsFor(p.counters.ByKind, kind))
	}
}

func countsFor(m map[string]*CallCounts, key string) *CallCounts {
	c := m[key]
	if c == nil {
		c = &CallCounts{}
		m[key] = c
	}
	return c
}

// withFaults returns a handler that counts a call, applies the faults and the rate limit, and then calls next.
func (p *Platform) withFaults(countCall func(*CallCounts), limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.closeIfDenied(r)
		p.count(r, countCall)
		// Read the whole body first: until then net/http does not detect that the caller has disconnected.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil || !p.waitWhileHung(r) {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		faults := p.faults.Get()
		if faults.Outage {
			p.refuse(w, r, http.StatusServiceUnavailable)
			return
		}
		if !limiter.Allow() {
			p.refuse(w, r, http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		next(w, r)
	}
}

func (p *Platform) closeIfDenied(r *http.Request) {
	if slices.Contains(p.faults.Get().DenyClients, r.Header.Get("X-Client")) {
		control.CloseConnection()
	}
}

// waitWhileHung blocks while the fault "hang" is set. It returns false if the caller has disconnected.
func (p *Platform) waitWhileHung(r *http.Request) bool {
	for {
		changed := p.faults.Changed()
		p.closeIfDenied(r)
		if !p.faults.Get().Hang {
			return r.Context().Err() == nil
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (p *Platform) refuse(w http.ResponseWriter, r *http.Request, status int) {
	p.count(r, func(c *CallCounts) { c.Refused++ })
	control.WriteError(w, status, http.StatusText(status))
}

// pathParam returns an unescaped path parameter. If the URL has a raw path, chi matches on it and returns the value
// escaped.
func pathParam(r *http.Request, name string) string {
	v := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return v
	}
	if unescaped, err := url.PathUnescape(v); err == nil {
		return unescaped
	}
	return v
}

func etag(version uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(version, 10)) }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o := p.lookup(r)
	p.mu.Unlock()
	if o == nil {
		control.WriteError(w, http.StatusNotFound, "object does not exist")
		return
	}
	w.Header().Set("ETag", etag(o.version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.value) // fails only if the caller has disconnected
}

// lookup returns the object at the request's path, or nil. The caller must hold Platform.mu. Writes replace an object
// and never change it, so the result may be read without the lock.
func (p *Platform) lookup(r *http.Request) *object {
	o := p.objects[pathParam(r, "kind")][pathParam(r, "name")]
	if o == nil || o.deleted {
		return nil
	}
	return o
}

// writeObject stores o at the request's path under the next revision and wakes the watches of its kind. The caller must
// hold Platform.mu.
func (p *Platform) writeObject(r *http.Request, o *object) {
	kind := pathParam(r, "kind")
	p.revision++
	o.version = p.revision
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]*object{}
	}
	p.objects[kind][pathParam(r, "name")] = o
	if ch := p.changed[kind]; ch != nil {
		close(ch)
		delete(p.changed, kind)
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	create, match := r.Header.Get("If-None-Match") == "*", r.Header.Get("If-Match")
	if create == (match != "") {
		control.WriteError(w, http.StatusBadRequest, "PUT requires exactly one of If-None-Match: * and If-Match")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "read request body: "+err.Error())
		return
	}
	if len(body) > maxValueBytes {
		control.WriteError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("value of %d bytes exceeds the limit of %d", len(body), maxValueBytes))
		return
	}
	p.mu.Lock()
	old := p.lookup(r)
	if (create && old != nil) || (!create && (old == nil || match != etag(old.version))) {
		p.mu.Unlock()
		p.conflict(w, r, old)
		return
	}
	o := &object{value: body}
	p.writeObject(r, o)
	p.mu.Unlock()
	p.loseAnswer(r)
	w.Header().Set("ETag", etag(o.version))
	w.WriteHeader(http.StatusOK)
}

// conflict responds with 412 and the ETag of the current object, which may be nil.
func (p *Platform) conflict(w http.ResponseWriter, r *http.Request, current *object) {
	p.count(r, func(c *CallCounts) { c.Conflicts++ })
	if current != nil {
		w.Header().Set("ETag", etag(current.version))
	}
	control.WriteError(w, http.StatusPreconditionFailed, "object version conflict")
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	match := r.Header.Get("If-Match")
	p.mu.Lock()
	old := p.lookup(r)
	if old == nil {
		p.mu.Unlock()
		control.WriteError(w, http.StatusNotFound, "object does not exist")
		return
	}
	if match != "" && match != etag(old.version) {
		p.mu.Unlock()
		p.conflict(w, r, old)
		return
	}
	p.writeObject(r, &object{deleted: true})
	p.mu.Unlock()
	p.loseAnswer(r)
	w.WriteHeader(http.StatusNoContent)
}

// loseAnswer closes the connection of a write that took effect if the fault lose_answers applies.
func (p *Platform) loseAnswer(r *http.Request) {
	lose := p.faults.Update(func(f *Faults) bool {
		if f.LoseAnswers <= 0 || (f.LoseKind != "" && f.LoseKind != pathParam(r, "kind")) {
			return false
		}
		f.LoseAnswers--
		return true
	})
	if lose {
		control.CloseConnection()
	}
}

type listedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type change struct {
	listedObject
	Deleted bool `json:"deleted"`
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	objects := []listedObject{}
	p.mu.Lock()
	revision := p.revision
	for name, o := range p.objects[pathParam(r, "kind")] {
		if !o.deleted && strings.HasPrefix(name, prefix) {
			objects = append(objects, listedObject{Name: name, Version: o.version, Value: o.value})
		}
	}
	p.mu.Unlock()
	slices.SortFunc(objects, func(a, b listedObject) int { return strings.Compare(a.Name, b.Name) })
	control.WriteJSON(w, http.StatusOK, map[string]any{"revision": revision, "objects": objects})
}

// watch responds with the latest state of every object that changed after a revision, in version order. It waits up to
// wait_ms, at most maxWatchTimeout, for such a change.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "invalid query parameter after: "+err.Error())
		return
	}
	waitMS, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || waitMS < 0 {
		control.WriteError(w, http.StatusBadRequest, fmt.Sprintf("wait_ms %q is not a number of milliseconds", query.Get("wait_ms")))
		return
	}
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchTimeout))
	defer timer.Stop()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	for timedOut := false; ; {
		faultsChanged := p.faults.Changed()
		revision, changes, changed := p.changesAfter(pathParam(r, "kind"), query.Get("prefix"), after)
		if len(changes) > 0 || timedOut {
			if !p.waitWhileHung(r) {
				return
			}
			control.WriteJSON(w, http.StatusOK, map[string]any{"revision": revision, "changes": changes})
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
		p.closeIfDenied(r)
		if p.faults.Get().Outage {
			p.refuse(w, r, http.StatusServiceUnavailable)
			return
		}
	}
}

func (p *Platform) addWaiting(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.WaitingWatches += n
}

// changesAfter returns the current revision, the changes after the given one in version order, and a channel that is
// closed at the next change of the kind.
func (p *Platform) changesAfter(kind, prefix string, after uint64) (uint64, []change, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := []change{}
	for name, o := range p.objects[kind] {
		if o.version > after && strings.HasPrefix(name, prefix) {
			changes = append(changes, change{listedObject{Name: name, Version: o.version, Value: o.value}, o.deleted})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return int(int64(a.Version) - int64(b.Version)) })
	ch := p.changed[kind]
	if ch == nil {
		ch = make(chan struct{})
		p.changed[kind] = ch
	}
	return p.revision, changes, ch
}

// serveBackends responds with the latest list whose lag has passed.
func (p *Platform) serveBackends(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	now := time.Now()
	visible := 0
	for i, l := range p.backendLists {
		if !l.visibleFrom.After(now) {
			visible = i
		}
	}
	p.backendLists = p.backendLists[visible:]
	list := p.backendLists[0].backends
	p.mu.Unlock()
	if list == nil {
		list = []Backend{}
	}
	control.WriteJSON(w, http.StatusOK, map[string]any{"backends": list})
}

type backendsBody struct {
	Backends []Backend `json:"backends"`
	LagMS    *int64    `json:"lag_ms"`
}

// setBackends accepts {"backends": [...], "lag_ms": n}. Each field is optional.
func (p *Platform) setBackends(w http.ResponseWriter, r *http.Request) {
	var body backendsBody
	if !control.DecodeBody(w, r, &body) {
		return
	}
	if body.LagMS != nil {
		p.SetBackendLag(time.Duration(*body.LagMS) * time.Millisecond)
	}
	if body.Backends != nil {
		p.SetBackends(body.Backends)
	}
	w.WriteHeader(http.StatusNoContent)
}

// ParseBackends decodes a list of backend servers in the form of the response of GET /v1/backends.
func ParseBackends(r io.Reader) ([]Backend, error) {
	var body backendsBody
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return nil, fmt.Errorf("decode list of backend servers: %w", err)
	}
	return body.Backends, nil
}
