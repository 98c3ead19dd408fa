// Package objects is a stand-in for the object store of the users' platform. It keeps everything in memory.
package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// pageItems is the most items of one page of a list; the platform's pages hold about 500.
const pageItems = 50

// Faults of the store.
type Faults struct {
	// Status, if not 0, answers every call, and nothing is done.
	Status int
	// LoseWrites lets the next writes take effect and then closes their connections without an answer.
	LoseWrites int
	// RefuseEvery, if not 0, answers each call of that number with 429, and nothing is done.
	RefuseEvery int
	// LateWrites, if not 0, closes the connections of writes without an answer and does the writes that much later.
	LateWrites time.Duration
	// Deaf lets watches wait to their end without telling changes; they still tell newer revisions.
	Deaf bool
}

type meta struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	rev     uint64
}

// Store is the stand-in. It serves its calls as an http.Handler.
type Store struct {
	http.Handler

	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []event
	// dropped is the revision up to which the history is gone.
	dropped uint64
	changed chan struct{} // closed at each change
	faults  Faults
	calls   int
}

// New returns an empty store.
func New() *Store {
	s := &Store{rev: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	r := chi.NewRouter()
	r.Use(s.faulty)
	r.Get("/objects/{kind}", s.list)
	r.Post("/objects/{kind}", s.create)
	r.Get("/objects/{kind}/{name}", s.get)
	r.Put("/objects/{kind}/{name}", s.replace)
	r.Put("/objects/{kind}/{name}/status", s.setStatus)
	r.Delete("/objects/{kind}/{name}", s.remove)
	s.Handler = r
	return s
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.rev
	s.notify()
}

// Calls returns the number of calls so far, refused ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object as the operator or a backend server does. value is encoded as JSON.
func (s *Store) Put(kind, name string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(kind, name, b)
}

// PutRaw is Put with bytes that need not be what the readers expect, but must be JSON.
func (s *Store) PutRaw(kind, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(kind, object{Metadata: meta{Name: name}, Spec: value})
}

// Delete removes an object as the operator or a backend server does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// Names returns the names of a kind's objects.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

// Status returns the status of an object.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.kinds[kind][name].Status)
}

func (s *Store) names(kind string) []string {
	out := make([]string, 0, len(s.kinds[kind]))
	for n := range s.kinds[kind] {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (s *Store) store(kind string, o object) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if old, ok := s.kinds[kind][o.Metadata.Name]; ok {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	} else {
		o.Metadata.CreatedRev = s.rev
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{Object: o, kind: kind, rev: s.rev})
	s.notify()
	return o
}

func (s *Store) drop(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.kinds[kind], name)
	s.history = append(s.history, event{Object: o, Deleted: true, kind: kind, rev: s.rev})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(late{}) != nil {
			next.ServeHTTP(w, r)
			return
		}
		s.mu.Lock()
		s.calls++
		status, delay := s.faults.Status, s.faults.LateWrites
		if n := s.faults.RefuseEvery; n > 0 && s.calls%n == 0 {
			status = http.StatusTooManyRequests
		}
		lose := r.Method != http.MethodGet && s.faults.LoseWrites > 0
		if lose {
			s.faults.LoseWrites--
		}
		s.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		if delay > 0 && r.Method != http.MethodGet {
			s.doLater(r, delay)
			panic(http.ErrAbortHandler)
		}
		if lose {
			next.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// late marks a call that is done after its connection was closed.
type late struct{}

// doLater does a call after its connection was closed.
func (s *Store) doLater(r *http.Request, after time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller is gone, and its write with it
	}
	later := r.Clone(context.WithValue(context.Background(), late{}, true))
	later.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(after, func() { s.Handler.ServeHTTP(discard{}, later) })
}

// discard is the writer of an answer that is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller is gone if this fails
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[chi.URLParam(r, "kind")][chi.URLParam(r, "name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, after := chi.URLParam(r, "kind"), r.URL.Query().Get("after")
	items := []object{}
	more := false
	for _, n := range s.names(kind) {
		if n <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.kinds[kind][n])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, asOf, gone, deaf := s.changed, s.rev, after < s.dropped, s.faults.Deaf
		events := []event{}
		for _, e := range s.history {
			if e.kind == chi.URLParam(r, "kind") && e.rev > after {
				events = append(events, e)
			}
		}
		status := s.faults.Status
		s.mu.Unlock()
		switch {
		case deaf:
		case status != 0:
			w.WriteHeader(status)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": []event{}, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func decode(w http.ResponseWriter, r *http.Request) (object, bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := chi.URLParam(r, "kind")
	if present, exists := s.kinds[kind][o.Metadata.Name]; exists {
		answer(w, http.StatusConflict, present)
		return
	}
	answer(w, http.StatusOK, s.store(kind, o))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	present, exists := s.kinds[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Rev != 0 && o.Metadata.Rev != present.Metadata.Rev:
		answer(w, http.StatusConflict, present)
	default:
		o.Metadata.Name, o.Status = name, present.Status
		answer(w, http.StatusOK, s.store(kind, o))
	}
}

func (s *Store) setStatus(w http.ResponseWriter, r *http.Request) {
	o, ok := decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	present, exists := s.kinds[kind][name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// A change that changes nothing raises no revision.
	if strings.TrimSpace(string(present.Status)) != strings.TrimSpace(string(o.Status)) {
		present.Status = o.Status
		present = s.store(kind, present)
	}
	answer(w, http.StatusOK, present)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	present, exists := s.kinds[kind][name]
	expected := r.URL.Query().Get("rev")
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case expected != "" && expected != strconv.FormatUint(present.Metadata.Rev, 10):
		answer(w, http.StatusConflict, present)
	default:
		s.drop(kind, name)
		answer(w, http.StatusOK, present)
	}
}
