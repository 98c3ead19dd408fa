package tracing_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace"

	"github.com/hyssopreel/hyssopreel/common/tracing"
)

func TestTracing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tracing")
}

var _ = Describe("Tracer", func() {
	ctx := context.Background()

	// Guards against spans that are lost at shutdown and hops that cannot be joined.
	It("writes the spans of both hops to the file, one a line, in one trace", func() {
		file := filepath.Join(GinkgoT().TempDir(), "spans.json")
		entry, err := tracing.New(ctx, tracing.Options{Host: "a-1", FailureDomain: "a", File: file})
		Expect(err).NotTo(HaveOccurred())
		home, err := tracing.New(ctx, tracing.Options{Host: "b-1", FailureDomain: "b", File: file})
		Expect(err).NotTo(HaveOccurred())
		hop1, span1 := entry.StartSpan(ctx, "entry", trace.SpanKindServer)
		h := http.Header{}
		tracing.Inject(hop1, h)
		_, span2 := home.StartSpan(tracing.Extract(ctx, h), "home", trace.SpanKindServer)
		tracing.End(span2, errors.New("engine is gone"))
		tracing.End(span1, nil)
		Expect(home.Shutdown(ctx)).To(Succeed())
		Expect(entry.Shutdown(ctx)).To(Succeed())
		content, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		Expect(lines).To(HaveLen(2))
		for _, line := range lines {
			Expect(json.Valid([]byte(line))).To(BeTrue())
			Expect(line).To(ContainSubstring(span1.SpanContext().TraceID().String()))
		}
		Expect(lines[0]).To(And(ContainSubstring(`"b-1"`), ContainSubstring("engine is gone")))
		Expect(lines[1]).To(ContainSubstring(`"a-1"`))
	})

	It("exports over OTLP at shutdown", func() {
		var requests atomic.Int32
		collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/traces" {
				requests.Add(1)
			}
		}))
		DeferCleanup(collector.Close)
		t, err := tracing.New(ctx, tracing.Options{Host: "a-1", OTLPEndpoint: collector.Listener.Addr().String()})
		Expect(err).NotTo(HaveOccurred())
		_, span := t.StartSpan(ctx, "entry", trace.SpanKindServer)
		tracing.End(span, nil)
		Expect(t.Shutdown(ctx)).To(Succeed())
		Expect(requests.Load()).To(Equal(int32(1)))
	})

	It("reports a trace file that cannot be opened, and a nil tracer does nothing", func() {
		_, err := tracing.New(ctx, tracing.Options{File: filepath.Join(GinkgoT().TempDir(), "missing", "spans.json")})
		Expect(err).To(HaveOccurred())
		var none *tracing.Tracer
		_, span := none.StartSpan(ctx, "entry", trace.SpanKindServer)
		tracing.End(span, nil)
		Expect(none.Shutdown(ctx)).To(Succeed())
	})
})
