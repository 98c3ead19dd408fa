// Package execution is the common part of the stand-ins for tools and plain services: it counts
// executions by idempotency key, follows the directives in request bodies and applies faults.
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

// BreakPoint is where the fault "break" closes the connection; empty is off.
type BreakPoint string

const (
	BreakBeforeRead BreakPoint = "before_read" // after the headers, before the body is read; the request does not run
	BreakAfterRead  BreakPoint = "after_read"  // after the body is read; the request does not run
	BreakAfterRun   BreakPoint = "after_run"   // the request runs, its answer is lost
)

// UnmarshalText refuses unknown points, so that a misspelled one is noticed.
func (b *BreakPoint) UnmarshalText(text []byte) error {
	switch p := BreakPoint(text); p {
	case "", BreakBeforeRead, BreakAfterRead, BreakAfterRun:
		*b = p
		return nil
	}
	return fmt.Errorf("unknown break point %q", text)
}

// Faults are set by POST /control/faults. They do not touch the control calls.
type Faults struct {
	// Break closes the connections of the next BreakCount requests (0 means 1) at one of the points
	// "before_read", "after_read" and "after_run".
	Break      BreakPoint `json:"break"`
	BreakCount int        `json:"break_count"`
	// SlowMS delays every request before it runs. It runs even if its caller goes away.
	SlowMS int64 `json:"slow_ms"`
	// RefuseCount answers the next N requests with RefuseStatus (0 means 503) and Request-Not-Run.
	RefuseCount  int `json:"refuse"`
	RefuseStatus int `json:"refuse_status"`
	// Leaving refuses every request with 503 and Request-Not-Run, and counts them in leaving_accepted.
	Leaving bool `json:"leaving"`
}

// Directives are the fields of a JSON request body that steer its execution.
type Directives struct {
	SleepMS int64 `json:"sleep_ms"` // the execution takes this long
	Hang    bool  `json:"hang"`     // the request runs, but is never answered
	// Fail is "before" (503, not run) or "after" (runs, then the connection closes without an answer).
	Fail string `json:"fail"`
}

// Counters is the answer of GET /control/counters.
type Counters struct {
	// Executions counts by idempotency key; requests without a key are under "".
	Executions map[string]int64 `json:"executions"`
	// Requests counts all arrived requests, refused and broken ones included.
	Requests int64 `json:"requests"`
	// RequestsWhileLeaving counts requests that arrived while the fault "leaving" was set.
	RequestsWhileLeaving int64 `json:"leaving_accepted"`
}

// Runner counts and executes requests. It never filters duplicate keys.
type Runner struct {
	faults *control.Faults[Faults]

	mu       sync.Mutex
	counters Counters
}

// New returns a runner without faults.
func New() *Runner {
	return &Runner{
		faults:   control.NewFaults[Faults](),
		counters: Counters{Executions: map[string]int64{}},
	}
}

// Mount adds the control calls.
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

// HandleRequest handles one request. The answer is the given fields with "key", "execution" (how often this key has
// run, this time included) and "body", the request's body if that is JSON.
func (e *Runner) HandleRequest(w http.ResponseWriter, r *http.Request, answer map[string]any) {
	f := e.countArrival()
	if f.Leaving {
		control.WriteNotRun(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	if status := e.takeRefusal(); status != 0 {
		control.WriteNotRun(w, status, http.StatusText(status))
		return
	}
	broken := e.takeBreak()
	if broken == BreakBeforeRead {
		control.CloseConnection()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || broken == BreakAfterRead {
		control.CloseConnection()
	}
	var d Directives
	_ = json.Unmarshal(body, &d) // a body that is not a JSON object has no directives
	if d.Fail == "before" {
		control.WriteNotRun(w, http.StatusServiceUnavailable, "directive fail")
		return
	}
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	key := r.Header.Get("Idempotency-Key")
	n := e.countExecution(key)
	if d.Hang {
		<-r.Context().Done()
		return
	}
	control.Sleep(r.Context(), time.Duration(d.SleepMS)*time.Millisecond)
	if d.Fail == "after" || broken == BreakAfterRun {
		control.CloseConnection()
	}
	answer["key"], answer["execution"] = key, n
	if json.Valid(body) {
		answer["body"] = json.RawMessage(body)
	}
	control.WriteJSON(w, http.StatusOK, answer)
}

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

// countExecution counts the execution when it starts, so that one whose caller goes away is counted as well.
func (e *Runner) countExecution(key string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Executions[key]++
	return e.counters.Executions[key]
}

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
