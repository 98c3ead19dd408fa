package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/fault"
)

// Guards against a request that stays without an answer because the incarnation that serves it ends.
func TestRequestDoesNotOutliveItsIncarnation(t *testing.T) {
	f := &frontend{serveErrors: make(chan error, 1)}
	entered := make(chan struct{})
	f.setHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		if fault.From(context.Cause(r.Context()), "test").Code != fault.CodeMoved {
			t.Error("the request was not canceled with the code moved, which directs callers to the new home")
		}
		w.WriteHeader(http.StatusConflict)
	}))
	answered := make(chan int, 1)
	go func() {
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/programs", nil))
		answered <- w.Code
	}()
	<-entered
	f.setHandler(nil)
	if f.idle() {
		t.Fatal("idle while a request is active")
	}
	f.cancelRequests()
	select {
	case code := <-answered:
		if code != http.StatusConflict {
			t.Fatalf("status %d of the canceled request", code)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no answer within 5s after the end of the incarnation")
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/programs", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d of a request between two incarnations", w.Code)
	}
}
