package metrics_test

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/metrics"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

func scrape(m *metrics.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

var _ = Describe("Metrics", func() {
	// Guards against metrics of two hosts in one process that are mixed or fail to register.
	It("serves the metrics of each host separately, with its tags", func() {
		a, b := metrics.New("a-1", "a"), metrics.New("b-1", "b")
		a.Scope().Counter("calls").Inc(2)
		b.Scope().Counter("calls").Inc(3)
		Expect(a.Close()).To(Succeed())
		Expect(b.Close()).To(Succeed())
		Expect(scrape(a)).To(ContainSubstring(`hyssopreel_calls{failure_domain="a",host="a-1"} 2`))
		Expect(scrape(b)).To(ContainSubstring(`hyssopreel_calls{failure_domain="b",host="b-1"} 3`))
		Expect(scrape(a)).NotTo(ContainSubstring("b-1"))
	})

	// Guards against a panic that ends the host because a metric cannot be registered.
	It("keeps serving metrics when a metric cannot be registered", func() {
		m := metrics.New("a-1", "a")
		m.Scope().Counter("calls").Inc(1)
		m.Scope().Gauge("calls").Update(1)
		Expect(m.Close()).To(Succeed())
		Expect(scrape(m)).To(ContainSubstring("hyssopreel_calls"))
	})
})
