package routing_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var _ = Describe("Table", func() {
	table := routing.NewTable(3, []routing.Route{
		{Name: "all", Host: "h.example", PathPrefix: "/"},
		{Name: "a", Host: "h.example", PathPrefix: "/a/"},
		{Name: "ab", Host: "H.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "o.example", PathPrefix: "/a/"},
	}, []routing.Service{{Name: "s"}}, routing.Limits{})

	DescribeTable("matches the longest prefix of the host",
		func(host, path, want string) {
			r := table.Match(host, path)
			if want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r).NotTo(BeNil())
			Expect(r.Name).To(Equal(want))
		},
		Entry("deepest", "h.example", "/a/b/c", "ab"),
		Entry("the prefix itself", "h.example", "/a/b/", "ab"),
		Entry("a segment that only starts with the prefix's last one", "h.example", "/a/bc", "a"),
		Entry("without the last slash", "h.example", "/a", "all"),
		Entry("host in capitals and with a port", "H.EXAMPLE:80", "/a/x", "a"),
		Entry("another host", "o.example", "/b/", ""),
		Entry("unknown host", "x.example", "/a/", ""),
		Entry("no path", "h.example", "", ""),
	)

	DescribeTable("splits requests by weight",
		func(draw float64, want string) {
			r := routing.Route{Targets: []routing.WeightedService{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
			Expect(r.PickService(draw)).To(Equal(want))
		},
		Entry("first", 0.0, "x"), Entry("up to its weight", 0.899, "x"), Entry("second", 0.901, "y"), Entry("end", 0.999, "y"),
	)

	DescribeTable("reports which requests are retryable",
		func(kind routing.Kind, resumable, want bool) {
			r := routing.Route{Kind: kind, Resumable: resumable}
			Expect(r.Retryable()).To(Equal(want))
		},
		Entry("non-idempotent", routing.NonIdempotent, false, false),
		Entry("non-idempotent and resumable", routing.NonIdempotent, true, false),
		Entry("idempotent", routing.Idempotent, false, true),
		Entry("stream", routing.Stream, false, false),
		Entry("resumable stream", routing.Stream, true, true),
	)
})
