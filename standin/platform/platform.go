// Package platform is a stand-in for the platform's object API and its list of backend servers. It keeps
// everything in memory. The protocol is in docs/external-protocols.md.
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
	// maxBodyBytes is above maxValueBytes, so that the caller of an oversized write sees the 413 and no write error.
	maxBodyBytes = 64 << 20
)

// Config of the stand-in. Rates are calls per second; 0 is no limit.
type Config struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// BackendLag is the time until a change of the list of backend servers shows.
	BackendLag time.Duration
	// Backends is the first list; it shows at once.
	Backends []Backend
}

// Faults of the platform, set by POST /control/faults. They do not touch the control calls.
type Faults struct {
	// Outage answers every call with 503; waiting watches end with 503 as well.
	Outage bool `json:"outage"`
	// Hang holds every call, and the answers of waiting watches, until it is cleared. A held call whose
	// caller goes away has no effect.
	Hang bool `json:"hang"`
	// SlowMS delays every call before it takes effect; a write takes effect even if its caller goes away.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers lets the next N successful writes take effect and then closes their connections without
	// an answer. With LoseKind, only writes to objects of that kind count.
	LoseAnswers int    `json:"lose_answers"`
	LoseKind    string `json:"lose_kind"`
	// DenyClients lists X-Client names whose connections are closed at every call and in every watch.
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

// CallCounts counts the calls of one client, or of one object kind. Refused calls count as well.
type CallCounts struct {
	Reads        int64 `json:"reads"`  // gets, lists and backend lists
	Writes       int64 `json:"writes"` // puts and deletes
	Watches      int64 `json:"watches"`
	Conflicts    int64 `json:"conflicts"` // answers 412
	Refused      int64 `json:"refused"`   // answers 429 and 503
	Gets         int64 `json:"gets"`
	Lists        int64 `json:"lists"`
	BackendLists int64 `json:"backends"`
	Puts         int64 `json:"puts"`
	Deletes      int64 `json:"deletes"`
}

// Counters is the answer of GET /control/counters.
type Counters struct {
	CallCounts
	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int64                  `json:"waiting"`
	Revision       uint64                 `json:"revision"`
	ByClient       map[string]*CallCounts `json:"by_client"`
	ByKind         map[string]*CallCounts `json:"by_kind"`
}

type object struct {
	version uint64
	value   []byte
	deleted bool // tombstones stay, so that a watch sees every deletion
}

type scheduledBackends struct {
	visibleFrom time.Time
	backends    []Backend
}

// Platform is the stand-in; it is an http.Handler.
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

// New returns an empty platform.
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
	// A burst of a tenth of a second lets calls that arrive together pass without a higher average.
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f Faults) { p.faults.Set(f) }

// Faults returns the faults that are set now.
func (p *Platform) Faults() Faults { return p.faults.Get() }

// SetBackends replaces the list of backend servers; it shows after the lag.
func (p *Platform) SetBackends(list []Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backendLists = append(p.backendLists, scheduledBackends{visibleFrom: time.Now().Add(p.backendLag), backends: list})
}

// SetBackendLag sets the lag of later changes of the list.
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

// withFaults counts a call and applies the faults and the rate limit before next.
func (p *Platform) withFaults(kind func(*CallCounts), limit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.closeIfDenied(r)
		p.count(r, kind)
		// The server notices a caller that goes away only after the body has been read.
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil || !p.waitWhileHung(r) {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		f := p.faults.Get()
		if f.Outage {
			p.refuse(w, r, http.StatusServiceUnavailable)
			return
		}
		if !limit.Allow() {
			p.refuse(w, r, http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		next(w, r)
	}
}

func (p *Platform) closeIfDenied(r *http.Request) {
	if slices.Contains(p.faults.Get().DenyClients, r.Header.Get("X-Client")) {
		control.CloseConnection()
	}
}

// waitWhileHung returns false if the caller went away while the platform hung.
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

// pathParam returns a path parameter. chi matches on the raw path if there is one; then the value is still escaped.
func pathParam(r *http.Request, name string) string {
	v := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return v
	}
	if u, err := url.PathUnescape(v); err == nil {
		return u
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
	_, _ = w.Write(o.value) // the caller may have gone
}

// lookup returns the object of the request's path, or nil. The caller holds the lock. Objects are
// replaced at a write and never changed, so they may be read without it.
func (p *Platform) lookup(r *http.Request) *object {
	o := p.objects[pathParam(r, "kind")][pathParam(r, "name")]
	if o == nil || o.deleted {
		return nil
	}
	return o
}

// writeObject writes the next state of an object and wakes the watches of its kind. The caller holds the lock.
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
		control.WriteError(w, http.StatusBadRequest, "a PUT needs either If-None-Match: * or If-Match")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if len(body) > maxValueBytes {
		control.WriteError(w, http.StatusRequestEntityTooLarge, "value above 1 MB")
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

func (p *Platform) conflict(w http.ResponseWriter, r *http.Request, present *object) {
	p.count(r, func(c *CallCounts) { c.Conflicts++ })
	if present != nil {
		w.Header().Set("ETag", etag(present.version))
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

// loseAnswer closes the connection of a write that took effect, if the fault is set.
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

// watch answers with the latest state of every object that changed after the revision, in version order.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "after: "+err.Error())
		return
	}
	waitMS, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || waitMS < 0 {
		control.WriteError(w, http.StatusBadRequest, "wait_ms is not a number of milliseconds")
		return
	}
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchTimeout))
	defer timer.Stop()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	for passed := false; ; {
		faulted := p.faults.Changed()
		revision, changes, changed := p.changesAfter(pathParam(r, "kind"), query.Get("prefix"), after)
		if len(changes) > 0 || passed {
			if !p.waitWhileHung(r) {
				return
			}
			control.WriteJSON(w, http.StatusOK, map[string]any{"revision": revision, "changes": changes})
			return
		}
		select {
		case <-changed:
		case <-faulted:
		case <-timer.C:
			passed = true
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

// changesAfter also returns a channel that is closed at the next change of the kind.
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

// serveBackends shows the list that was set last among those whose lag has passed.
func (p *Platform) serveBackends(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	now := time.Now()
	shown := 0
	for i, l := range p.backendLists {
		if !l.visibleFrom.After(now) {
			shown = i
		}
	}
	p.backendLists = p.backendLists[shown:]
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

// setBackends takes {"backends": [...], "lag_ms": n}. A lag without backends sets only the lag.
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

// ParseBackends reads a list in the form of GET /v1/backends.
func ParseBackends(r io.Reader) ([]Backend, error) {
	var body backendsBody
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return nil, fmt.Errorf("list of backend servers: %w", err)
	}
	return body.Backends, nil
}
