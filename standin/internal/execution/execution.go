// Package execution is the common part of the stand-ins for tools and plain services. It counts executions by
// idempotency key, applies the directives in request bodies and injects faults.
package execution

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/standin/internal/control"
)

// BreakPoint is the point at which the fault "break" closes the connection; empty is off.
type BreakPoint string

const (
	BreakBeforeRead BreakPoint = "before_read" // after the headers, before the body is read; not executed
	BreakAfterRead  BreakPoint = "after_read"  // after the body is read; not executed
	BreakAfterRun   BreakPoint = "after_run"   // after the execution, instead of the response
)

// UnmarshalText rejects unknown points, so that a misspelled one is not ignored.
func (b *BreakPoint) UnmarshalText(text []byte) error {
	switch p := BreakPoint(text); p {
	case "", BreakBeforeRead, BreakAfterRead, BreakAfterRun:
		*b = p
		return nil
	}
	return fmt.Errorf("unknown break point %q", text)
}

// Faults are set by POST /control/faults. They do not apply to the control calls.
type Faults struct {
	// Break closes the connections of the next BreakCount requests (0 means 1) at one of the points
	// "before_read", "after_read" and "after_run".
	Break      BreakPoint `json:"break"`
	BreakCount int        `json:"break_count"`
	// SlowMS delays the execution of every request. The request is executed even if its caller disconnects.
	SlowMS int64 `json:"slow_ms"`
	// RefuseCount rejects the next N requests with RefuseStatus (0 means 503) and Request-Not-Run.
	RefuseCount  int `json:"refuse"`
	RefuseStatus int `json:"refuse_status"`
	// Leaving rejects every request with 503 and Request-Not-Run and counts it in RequestsWhileLeaving.
	Leaving bool `json:"leaving"`
}

// Directives are the fields of a JSON request body that control its execution.
type Directives struct {
	SleepMS int64 `json:"sleep_ms"` // duration of the execution
	Hang    bool  `json:"hang"`     // executes the request and never responds
	// Fail is "before" (503, not executed) or "after" (executed, then the connection is closed without a response).
	Fail string `json:"fail"`
}

// Counters is the response of GET /control/counters.
type Counters struct {
	// Executions counts by idempotency key; requests without a key are under "".
	Executions map[string]int64 `json:"executions"`
	// Requests counts all received requests, including those rejected or interrupted by a fault.
	Requests int64 `json:"requests"`
	// RequestsWhileLeaving counts requests rejected while the fault "leaving" was set.
	RequestsWhileLeaving int64 `json:"leaving_accepted"`
}

// Runner counts and executes requests. It executes requests with the same idempotency key again.
type Runner struct {
	faults *control.Faults[Faults]

	mu       sync.Mutex
	counters Counters
}

// New returns a runner with all faults off.
func New() *Runner {
	return &Runner{
		faults:   control.NewFaults[Faults](),
		counters: Counters{Executions: map[string]int64{}},
	}
}

// Mount adds the control calls to r.
func (e *Runner) Mount(r chi.Router) {
	e.faults.Mount(r)
	r.Get("/control/counters", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, e.Counters())
	})
}

// SetFaults replaces all faults.
func (e *Runner) SetFaults(f Faults) { e.faults.Set(f) }

// Counters returns a copy of the counters.
func (e *Runner) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.counters
	out.Executions = maps.Clone(e.counters.Executions)
	return out
}

// HandleRequest executes one request and responds with the given fields, to which it adds "key" (the idempotency key),
// "execution" (the number of executions with this key so far) and "body" (the request body, if it is JSON).
func (e *Runner) HandleRequest(w http.ResponseWriter, r *http.Request, response map[string]any) {
	faults := e.countArrival()
	if faults.Leaving {
		control.WriteNotRun(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	if status := e.takeRefusal(); status != 0 {
		control.WriteNotRun(w, status, http.StatusText(status))
		return
	}
	breakPoint := e.takeBreak()
	if breakPoint == BreakBeforeRead {
		control.CloseConnection()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || breakPoint == BreakAfterRead {
		control.CloseConnection()
	}
	var directives Directives
	_ = json.Unmarshal(body, &directives) // a body that is not a JSON object has no directives
	if directives.Fail == "before" {
		control.WriteNotRun(w, http.StatusServiceUnavailable, `rejected by the directive "fail": "before"`)
		return
	}
	time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	key := r.Header.Get("Idempotency-Key")
	executions := e.countExecution(key)
	if directives.Hang {
		<-r.Context().Done()
		return
	}
	control.Sleep(r.Context(), time.Duration(directives.SleepMS)*time.Millisecond)
	if directives.Fail == "after" || breakPoint == BreakAfterRun {
		control.CloseConnection()
	}
	response["key"], response["execution"] = key, executions
	if json.Valid(body) {
		response["body"] = json.RawMessage(body)
	}
	control.WriteJSON(w, http.StatusOK, response)
}

// countArrival counts a request and returns the faults that apply to it.
func (e *Runner) countArrival() Faults {
	f := e.faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Requests++
	if f.Leaving {
		e.counters.RequestsWhileLeaving++
	}
	return f
}

// countExecution counts an execution at its start, so that it also counts if the caller disconnects, and returns the
// number of executions with the key.
func (e *Runner) countExecution(key string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Executions[key]++
	return e.counters.Executions[key]
}

// takeRefusal counts RefuseCount down and returns the status to reject a request with, or 0.
func (e *Runner) takeRefusal() int {
	status := 0
	e.faults.Update(func(f *Faults) bool {
		if f.RefuseCount <= 0 {
			return false
		}
		f.RefuseCount--
		if status = f.RefuseStatus; status == 0 {
			status = http.StatusServiceUnavailable
		}
		return true
	})
	return status
}

// takeBreak counts BreakCount down and returns the point at which to close the connection, if any.
func (e *Runner) takeBreak() BreakPoint {
	point := BreakPoint("")
	e.faults.Update(func(f *Faults) bool {
		if f.Break == "" {
			return false
		}
		point = f.Break
		if f.BreakCount--; f.BreakCount <= 0 {
			f.Break, f.BreakCount = "", 0
		}
		return true
	})
	return point
}
