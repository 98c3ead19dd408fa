package weights_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/standin/weights"
)

func TestWeights(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // machines may be busy
	RunSpecs(t, "Weight store stand-in")
}

var _ = Describe("Store", func() {
	// Guards against a fetch without the transfer time, and against a rate limit that is not enforced.
	It("takes the transfer time and rejects fetches above the rate", func() {
		s := weights.New(weights.Config{TransferTime: 30 * time.Millisecond, FetchesPerSecond: 0.5})
		fetch := func() *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest("POST", "/v1/fetch", strings.NewReader(`{"model": "m", "version": "2"}`)))
			return w
		}
		start := time.Now()
		Expect(fetch().Code).To(Equal(200))
		Expect(time.Since(start)).To(BeNumerically(">=", 30*time.Millisecond))
		w := fetch()
		Expect(w.Code).To(Equal(429))
		Expect(w.Header().Get("Retry-After")).To(Equal("2"))
		Expect(s.Counters()).To(Equal(weights.Counters{Fetches: map[string]int64{"m@2": 1}, Refused: 1, MaxActive: 1}))
	})
})
