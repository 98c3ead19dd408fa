package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/fault"
)

// Guards against a request that an incarnation took when it ended: nobody in it answers any more.
func TestRequestDoesNotOutliveItsIncarnation(t *testing.T) {
	f := &frontend{serveErrors: make(chan error, 1)}
	entered := make(chan struct{})
	f.setHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		if fault.From(context.Cause(r.Context()), "test").Code != fault.CodeMoved {
			t.Error("callers are not told to ask the new home")
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
		t.Fatal("the request counts as ended")
	}
	f.cancelRequests()
	select {
	case code := <-answered:
		if code != http.StatusConflict {
			t.Fatalf("status %d", code)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no answer after the end of the incarnation")
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/programs", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d between two incarnations", w.Code)
	}
}
