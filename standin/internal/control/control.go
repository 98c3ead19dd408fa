// Package control provides the fault settings and HTTP helpers that the stand-ins share.
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

// HeaderNotRun is set to "true" in the response to a rejected request that was not executed.
const HeaderNotRun = "Request-Not-Run"

// Faults holds the fault settings of one stand-in. T is a struct with JSON tags. Get returns a shallow copy, so
// pointers and slices in T are replaced and never changed in place.
type Faults[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// NewFaults returns settings with all faults off.
func NewFaults[T any]() *Faults[T] {
	return &Faults[T]{changed: make(chan struct{})}
}

// Get returns the current settings.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Update calls fn on the settings under the lock and returns its result. If fn returns true, Update closes the channel
// of Changed.
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

// Changed returns a channel that is closed at the next change. Callers must call it before Get to miss no change
// between the two.
func (f *Faults[T]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Mount adds the control calls of /control/faults to r: POST sets the fields that are in the body, GET returns the
// settings, DELETE clears them. POST rejects unknown fields with 400, so that a misspelled fault is not ignored.
func (f *Faults[T]) Mount(r chi.Router) {
	r.Post("/control/faults", func(w http.ResponseWriter, req *http.Request) {
		decoder := json.NewDecoder(req.Body)
		decoder.DisallowUnknownFields()
		var err error
		f.Update(func(v *T) bool {
			var next T
			if next, err = clone(*v); err == nil {
				err = decoder.Decode(&next)
			}
			if err != nil {
				return false
			}
			*v = next
			return true
		})
		if err != nil {
			WriteError(w, http.StatusBadRequest, "invalid faults: "+err.Error())
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

// clone returns a deep copy of v. Decoding into a pointer or slice of v itself would change values that Get returned.
func clone[T any](v T) (T, error) {
	var out T
	b, err := json.Marshal(v)
	if err != nil {
		return out, err
	}
	return out, json.NewDecoder(bytes.NewReader(b)).Decode(&out)
}

// WriteJSON writes v as the response, or a 500 response if v cannot be encoded.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		log.WithError(err).Error("cannot encode response")
		status, b = http.StatusInternalServerError, []byte(`{"error":"cannot encode response"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // fails only if the caller has disconnected
}

// WriteError writes {"error": message} as the response.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]string{"error": message})
}

// WriteNotRun writes an error response to a request that was not executed, with HeaderNotRun.
func WriteNotRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set(HeaderNotRun, "true")
	WriteError(w, status, message)
}

// DecodeBody reads the JSON body into v. On failure it writes a 400 response and returns false.
func DecodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	// Read the whole body first: until then net/http does not detect that the caller has disconnected.
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "invalid request body: "+err.Error())
		return false
	}
	return true
}

// CloseConnection panics to end the handler and close the connection without sending further bytes.
func CloseConnection() {
	panic(http.ErrAbortHandler)
}

// Sleep waits for d. It returns false if ctx ends first.
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
