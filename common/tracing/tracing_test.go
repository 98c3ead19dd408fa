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

	// Guards against spans that are lost at shutdown, and hops of one request that are not in one trace.
	It("writes the spans of both hops to the file, one per line, in one trace", func() {
		file := filepath.Join(GinkgoT().TempDir(), "spans.json")
		entry, err := tracing.New(ctx, tracing.Options{Host: "a-1", FailureDomain: "a", File: file})
		Expect(err).NotTo(HaveOccurred())
		home, err := tracing.New(ctx, tracing.Options{Host: "b-1", FailureDomain: "b", File: file})
		Expect(err).NotTo(HaveOccurred())
		entryCtx, entrySpan := entry.StartSpan(ctx, "entry", trace.SpanKindServer)
		h := http.Header{}
		tracing.Inject(entryCtx, h)
		_, homeSpan := home.StartSpan(tracing.Extract(ctx, h), "home", trace.SpanKindServer)
		tracing.End(homeSpan, errors.New("engine has stopped"))
		tracing.End(entrySpan, nil)
		Expect(home.Shutdown(ctx)).To(Succeed())
		Expect(entry.Shutdown(ctx)).To(Succeed())
		content, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		Expect(lines).To(HaveLen(2))
		for _, line := range lines {
			Expect(json.Valid([]byte(line))).To(BeTrue())
			Expect(line).To(ContainSubstring(entrySpan.SpanContext().TraceID().String()))
		}
		Expect(lines[0]).To(And(ContainSubstring(`"b-1"`), ContainSubstring("engine has stopped")))
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

	It("returns an error for a trace file that cannot be opened, and does nothing with a nil tracer", func() {
		_, err := tracing.New(ctx, tracing.Options{File: filepath.Join(GinkgoT().TempDir(), "missing", "spans.json")})
		Expect(err).To(HaveOccurred())
		var nilTracer *tracing.Tracer
		_, span := nilTracer.StartSpan(ctx, "entry", trace.SpanKindServer)
		tracing.End(span, nil)
		Expect(nilTracer.Shutdown(ctx)).To(Succeed())
	})
})
