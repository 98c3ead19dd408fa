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

// maxPageItems is the most items of one page of a list; the platform's pages hold about 500.
const maxPageItems = 50

// Faults of the store.
type Faults struct {
	// ErrorStatus, if not 0, answers every call, and nothing is done.
	ErrorStatus int
	// LoseAnswers lets the next writes take effect and then closes their connections without an answer.
	LoseAnswers int
	// RefuseEveryNth, if not 0, answers each call of that number with 429, and nothing is done.
	RefuseEveryNth int
	// LateWriteDelay, if not 0, closes the connections of writes without an answer and does the writes that much later.
	LateWriteDelay time.Duration
	// StaleWatches lets watches wait to their end without telling changes; they still tell newer revisions.
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

// Store is the stand-in. It serves its calls as an http.Handler.
type Store struct {
	http.Handler

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []event
	// compactedRev is the revision up to which the history is gone.
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

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
	s.notifyWatches()
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
	s.writeObject(kind, object{Metadata: meta{Name: name}, Spec: value})
}

// Delete removes an object as the operator or a backend server does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteObject(kind, name)
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

// lateWriteKey marks a call that is done after its connection was closed.
type lateWriteKey struct{}

// runLateWrite does a call after its connection was closed.
func (s *Store) runLateWrite(r *http.Request, after time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller is gone, and its write with it
	}
	later := r.Clone(context.WithValue(context.Background(), lateWriteKey{}, true))
	later.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(after, func() { s.Handler.ServeHTTP(discardResponse{}, later) })
}

// discardResponse is the writer of an answer that is lost.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller is gone if this fails
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
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, asOf, gone, deaf := s.changed, s.rev, after < s.compactedRev, s.faults.StaleWatches
		events := []event{}
		for _, e := range s.history {
			if e.kind == chi.URLParam(r, "kind") && e.rev > after {
				events = append(events, e)
			}
		}
		status := s.faults.ErrorStatus
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
	if present, exists := s.objects[kind][o.Metadata.Name]; exists {
		writeJSON(w, http.StatusConflict, present)
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
	present, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Rev != 0 && o.Metadata.Rev != present.Metadata.Rev:
		writeJSON(w, http.StatusConflict, present)
	default:
		o.Metadata.Name, o.Status = name, present.Status
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
	present, exists := s.objects[kind][name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// A change that changes nothing raises no revision.
	if strings.TrimSpace(string(present.Status)) != strings.TrimSpace(string(o.Status)) {
		present.Status = o.Status
		present = s.writeObject(kind, present)
	}
	writeJSON(w, http.StatusOK, present)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	present, exists := s.objects[kind][name]
	expected := r.URL.Query().Get("rev")
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case expected != "" && expected != strconv.FormatUint(present.Metadata.Rev, 10):
		writeJSON(w, http.StatusConflict, present)
	default:
		s.deleteObject(kind, name)
		writeJSON(w, http.StatusOK, present)
	}
}
