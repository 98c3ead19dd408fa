// Package control has what the stand-ins share: settable faults, and HTTP helpers.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
)

// HeaderNotRun marks a refusal of a request that did not run.
const HeaderNotRun = "Request-Not-Run"

// Faults holds the fault settings of one stand-in. T is a struct with JSON tags; pointers and slices in
// it are replaced, never changed in place.
type Faults[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// NewFaults returns settings without any fault.
func NewFaults[T any]() *Faults[T] {
	return &Faults[T]{changed: make(chan struct{})}
}

// Get returns the present settings.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Update runs fn on the settings under the lock and wakes waiters if fn returns true. It returns what fn returned.
func (f *Faults[T]) Update(fn func(*T) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !fn(&f.value) {
		return false
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Set replaces all settings.
func (f *Faults[T]) Set(value T) {
	f.Update(func(v *T) bool {
		*v = value
		return true
	})
}

// Changed returns a channel that is closed at the next change. Call it before Get, so that no change
// between the two is missed.
func (f *Faults[T]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Mount adds the control calls: POST sets the fields that the body names and keeps the others, GET shows
// the settings, DELETE clears them. An unknown field is refused, so that a misspelled fault is noticed.
func (f *Faults[T]) Mount(r chi.Router) {
	r.Post("/control/faults", func(w http.ResponseWriter, req *http.Request) {
		dec := json.NewDecoder(req.Body)
		dec.DisallowUnknownFields()
		var err error
		f.Update(func(v *T) bool {
			var next T
			if next, err = clone(*v); err == nil {
				err = dec.Decode(&next)
			}
			if err != nil {
				return false
			}
			*v = next
			return true
		})
		if err != nil {
			WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		WriteJSON(w, http.StatusOK, f.Get())
	})
	r.Get("/control/faults", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, f.Get()) })
	r.Delete("/control/faults", func(w http.ResponseWriter, _ *http.Request) {
		var none T
		f.Set(none)
		w.WriteHeader(http.StatusNoContent)
	})
}

// clone copies v deeply, because decoding into a set pointer or slice would change the shared value.
func clone[T any](v T) (T, error) {
	var out T
	b, err := json.Marshal(v)
	if err != nil {
		return out, err
	}
	return out, json.NewDecoder(bytes.NewReader(b)).Decode(&out)
}

// WriteJSON writes v as the answer.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		log.WithError(err).Error("encode answer")
		status, b = http.StatusInternalServerError, []byte(`{"error":"answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // the caller may have gone
}

// WriteError writes an error answer.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]string{"error": message})
}

// WriteNotRun refuses a request that did not run.
func WriteNotRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set(HeaderNotRun, "true")
	WriteError(w, status, message)
}

// DecodeBody reads the JSON body into v; on failure it writes a 400 answer and returns false.
func DecodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	// The server notices a caller that goes away only after the whole body has been read.
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// CloseConnection ends the handler and closes the connection without a further byte. It does not return.
func CloseConnection() {
	panic(http.ErrAbortHandler)
}

// Sleep waits for d and returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
