// Package objects is an in-memory stand-in for the object store of the users' platform.
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

// maxPageItems bounds the items of one page of a list. The platform's pages have about 500.
const maxPageItems = 50

// Faults of the store.
type Faults struct {
	// ErrorStatus, if not 0, is the status with which every call is rejected.
	ErrorStatus int
	// LoseAnswers is the number of next writes that take effect and then have their connections closed without a
	// response.
	LoseAnswers int
	// RefuseEveryNth, if not 0, rejects every Nth call with 429.
	RefuseEveryNth int
	// LateWriteDelay, if not 0, closes the connections of writes without a response and executes the writes after this
	// delay.
	LateWriteDelay time.Duration
	// StaleWatches makes watches deliver no changes and end at their timeout. Their responses still have the current
	// revision.
	StaleWatches bool
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

// Store is an in-memory object store. Its API is the embedded http.Handler.
type Store struct {
	http.Handler

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []event
	// compactedRev is the revision up to which the history was dropped; watches after an older one get 410.
	compactedRev uint64
	changed      chan struct{} // closed at each change
	faults       Faults
	calls        int
}

// New returns an empty store.
func New() *Store {
	s := &Store{rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	r := chi.NewRouter()
	r.Use(s.withFaults)
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

// Compact drops the history, so that watches after an older revision end with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
	s.notifyWatches()
}

// Calls returns the number of calls so far, including rejected ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object in place of the operator or a backend server, without faults. value is encoded as JSON; Put
// panics if that fails.
func (s *Store) Put(kind, name string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(kind, name, b)
}

// PutRaw is Put with an encoded value, which must be valid JSON but may violate the readers' schema.
func (s *Store) PutRaw(kind, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeObject(kind, object{Metadata: meta{Name: name}, Spec: value})
}

// Delete removes an object, if it exists, in place of the operator or a backend server, without faults.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteObject(kind, name)
}

// Names returns the sorted names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

// Status returns the JSON status of an object, empty if the object or its status does not exist.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Status)
}

func (s *Store) names(kind string) []string {
	out := make([]string, 0, len(s.objects[kind]))
	for n := range s.objects[kind] {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (s *Store) writeObject(kind string, o object) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if old, ok := s.objects[kind][o.Metadata.Name]; ok {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	} else {
		o.Metadata.CreatedRev = s.rev
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{Object: o, kind: kind, rev: s.rev})
	s.notifyWatches()
	return o
}

func (s *Store) deleteObject(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	s.history = append(s.history, event{Object: o, Deleted: true, kind: kind, rev: s.rev})
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(lateWriteKey{}) != nil {
			next.ServeHTTP(w, r)
			return
		}
		s.mu.Lock()
		s.calls++
		status, delay := s.faults.ErrorStatus, s.faults.LateWriteDelay
		if n := s.faults.RefuseEveryNth; n > 0 && s.calls%n == 0 {
			status = http.StatusTooManyRequests
		}
		lose := r.Method != http.MethodGet && s.faults.LoseAnswers > 0
		if lose {
			s.faults.LoseAnswers--
		}
		s.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		if delay > 0 && r.Method != http.MethodGet {
			s.runLateWrite(r, delay)
			panic(http.ErrAbortHandler)
		}
		if lose {
			next.ServeHTTP(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// lateWriteKey is the context key of a write that is executed after its connection was closed.
type lateWriteKey struct{}

// runLateWrite executes a write after a delay. Its caller closes the connection at once.
func (s *Store) runLateWrite(r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected before it had sent the whole write
	}
	lateRequest := r.Clone(context.WithValue(context.Background(), lateWriteKey{}, true))
	lateRequest.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { s.Handler.ServeHTTP(discardResponse{}, lateRequest) })
}

// discardResponse is a ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[chi.URLParam(r, "kind")][chi.URLParam(r, "name")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
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
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, s.objects[kind][n])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	waitMS, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, asOf, compacted, stale := s.changed, s.rev, after < s.compactedRev, s.faults.StaleWatches
		events := []event{}
		for _, e := range s.history {
			if e.kind == chi.URLParam(r, "kind") && e.rev > after {
				events = append(events, e)
			}
		}
		status := s.faults.ErrorStatus
		s.mu.Unlock()
		switch {
		case stale:
		case status != 0:
			w.WriteHeader(status)
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": []event{}, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func decodeObject(w http.ResponseWriter, r *http.Request) (object, bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	o, ok := decodeObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := chi.URLParam(r, "kind")
	if current, exists := s.objects[kind][o.Metadata.Name]; exists {
		writeJSON(w, http.StatusConflict, current)
		return
	}
	writeJSON(w, http.StatusOK, s.writeObject(kind, o))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := decodeObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	current, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Rev != 0 && o.Metadata.Rev != current.Metadata.Rev:
		writeJSON(w, http.StatusConflict, current)
	default:
		o.Metadata.Name, o.Status = name, current.Status
		writeJSON(w, http.StatusOK, s.writeObject(kind, o))
	}
}

func (s *Store) setStatus(w http.ResponseWriter, r *http.Request) {
	o, ok := decodeObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	current, exists := s.objects[kind][name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// A write of the same status does not raise the revision.
	if strings.TrimSpace(string(current.Status)) != strings.TrimSpace(string(o.Status)) {
		current.Status = o.Status
		current = s.writeObject(kind, current)
	}
	writeJSON(w, http.StatusOK, current)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	current, exists := s.objects[kind][name]
	expectedRev := r.URL.Query().Get("rev")
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case expectedRev != "" && expectedRev != strconv.FormatUint(current.Metadata.Rev, 10):
		writeJSON(w, http.StatusConflict, current)
	default:
		s.deleteObject(kind, name)
		writeJSON(w, http.StatusOK, current)
	}
}
