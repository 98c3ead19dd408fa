package plainservice_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/standin/plainservice"
)

func TestPlainService(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // machines may be busy
	RunSpecs(t, "Plain service stand-in")
}

var _ = Describe("Service", func() {
	serve := func(s http.Handler, method, path, key, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Idempotency-Key", key)
		s.ServeHTTP(w, r)
		return w
	}

	// Guards against a path or method whose requests are rejected or not counted.
	It("accepts any method and path", func() {
		s := plainservice.New()
		w := serve(s, "PATCH", "/bookings/7", "k", "not JSON")
		Expect(w.Body.String()).To(MatchJSON(`{"method": "PATCH", "path": "/bookings/7", "key": "k", "execution": 1}`))
		Expect(serve(s, "GET", "/", "k", "").Code).To(Equal(200))
		Expect(s.Counters().Executions).To(Equal(map[string]int64{"k": 2}))
	})

	// Guards against a rejected request that is executed, and against rejections after the set number of requests.
	It("rejects the next requests with the set status", func() {
		s := plainservice.New()
		Expect(serve(s, "POST", "/control/faults", "", `{"refuse": 1, "refuse_status": 429}`).Code).To(Equal(200))
		w := serve(s, "POST", "/texts", "k", `{}`)
		Expect(w.Code).To(Equal(429))
		Expect(w.Header().Get("Request-Not-Run")).To(Equal("true"))
		Expect(serve(s, "POST", "/texts", "k", `{}`).Code).To(Equal(200))
		Expect(s.Counters().Executions).To(Equal(map[string]int64{"k": 1}))
	})
})
