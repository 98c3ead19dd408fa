package placement_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func engine(id string, load float64, cached int) placement.Candidate {
	return placement.Candidate{
		Server: placement.Server{ID: id, FailureDomain: "a", Slots: 16}, Load: load, CachedTokens: cached,
	}
}

func choose(p placement.Policy, r placement.Request, candidates ...placement.Candidate) string {
	i := p.Choose(r, candidates)
	if i < 0 {
		return ""
	}
	return candidates[i].Server.ID
}

var _ = Describe("Default", func() {
	turn := placement.Request{PromptTokens: 2000, FailureDomain: "a"}

	// The burst at the start of an event: engines are full, and a turn that moves makes its new engine read the whole
	// prompt, which costs as much as the turn itself.
	DescribeTable("burst: a turn stays with its prompt until the engine's queue outweighs reading it again",
		func(resident, other float64, want string) {
			Expect(choose(placement.DefaultPolicy(), turn, engine("resident", resident, 2000), engine("other", other, 0))).To(Equal(want))
		},
		Entry("idle", 0.0, 0.0, "resident"),
		Entry("busier than another", 14.0, 2.0, "resident"),
		Entry("full, and another is half empty", 18.0, 8.0, "resident"),
		Entry("queue of ten, and another is half empty", 26.0, 8.0, "other"),
	)

	It("burst: fresh programs go to the engine with the least load", func() {
		Expect(choose(placement.DefaultPolicy(), turn, engine("x", 9, 0), engine("y", 3, 0), engine("z", 12, 0))).To(Equal("y"))
	})

	It("quiet: stays in the failure domain unless another is clearly idler", func() {
		far := engine("far", 0, 0)
		far.Server.FailureDomain = "b"
		Expect(choose(placement.DefaultPolicy(), turn, engine("near", 2, 0), far)).To(Equal("near"))
		Expect(choose(placement.DefaultPolicy(), turn, engine("near", 12, 0), far)).To(Equal("far"))
	})

	It("release: a server that was just started is used when others are full", func() {
		cold := engine("cold", 0, 0)
		cold.Server.WarmupRemaining = time.Second
		Expect(choose(placement.DefaultPolicy(), turn, engine("warm", 4, 0), cold)).To(Equal("warm"))
		Expect(choose(placement.DefaultPolicy(), turn, engine("warm", 17, 0), cold)).To(Equal("cold"))
	})

	DescribeTable("leaves out servers",
		func(change func(*placement.Candidate)) {
			c := engine("x", 0, 2000)
			change(&c)
			r := turn
			r.ExcludedServers = map[string]bool{"excluded": true}
			Expect(choose(placement.DefaultPolicy(), r, c)).To(BeEmpty())
			Expect(choose(placement.DefaultPolicy(), r, c, engine("y", 15, 0))).To(Equal("y"))
		},
		Entry("that leave", func(c *placement.Candidate) { c.Server.Draining = true }),
		Entry("that failed lately", func(c *placement.Candidate) { c.Ejected = true }),
		Entry("without a free connection", func(c *placement.Candidate) { c.AtCapacity = true }),
		Entry("that refused the request", func(c *placement.Candidate) { c.Server.ID = "excluded" }),
	)
})

var _ = Describe("LastResort", func() {
	It("uses servers that failed lately if no other is left", func() {
		c := engine("x", 0, 0)
		c.Ejected = true
		Expect(choose(placement.AllowEjectedPolicy(), placement.Request{}, c)).To(Equal("x"))
	})
})

var _ = Describe("Spare", func() {
	It("burst: sends no second copy of a request to a full server", func() {
		Expect(choose(placement.HedgePolicy(), placement.Request{}, engine("x", 16, 0))).To(BeEmpty())
		Expect(choose(placement.HedgePolicy(), placement.Request{}, engine("x", 15, 0))).To(Equal("x"))
	})
})

var _ = Describe("Failing", func() {
	failing := func(id string, rate, load float64) placement.Candidate {
		c := engine(id, load, 0)
		c.FailureRate = rate
		return c
	}

	// Servers that fail part of their requests at once have the least load of all.
	It("grey failures: a request goes to a busier server rather than to one that fails two in five", func() {
		Expect(choose(placement.DefaultPolicy(), placement.Request{}, failing("grey", 0.4, 0), engine("sound", 15, 0))).To(Equal("sound"))
	})

	It("grey failures: a request that may run only once avoids a server that fails one in twenty", func() {
		once := placement.Request{NonRetryable: true}
		Expect(choose(placement.DefaultPolicy(), once, failing("grey", 0.05, 0), engine("sound", 15, 0))).To(Equal("sound"))
		Expect(choose(placement.DefaultPolicy(), placement.Request{}, failing("grey", 0.05, 0), engine("sound", 15, 0))).To(Equal("grey"))
	})
})
