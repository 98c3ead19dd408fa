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

var _ = Describe("DefaultPolicy", func() {
	turn := placement.Request{PromptTokens: 2000, FailureDomain: "a"}

	// Guards against needless prefill in the burst at the start of an event: all engines are full, and an engine
	// without the cached prompt has to read it whole, which takes as long as the turn itself.
	DescribeTable("burst: a turn goes to its cache server until the queue there takes longer than reading the prompt",
		func(cachedLoad, otherLoad float64, want string) {
			Expect(choose(placement.DefaultPolicy(), turn, engine("cached", cachedLoad, 2000), engine("other", otherLoad, 0))).To(Equal(want))
		},
		Entry("idle", 0.0, 0.0, "cached"),
		Entry("more load than another server", 14.0, 2.0, "cached"),
		Entry("full, and another server is half empty", 18.0, 8.0, "cached"),
		Entry("queue of ten, and another server is half empty", 26.0, 8.0, "other"),
	)

	It("burst: new programs go to the engine with the least load", func() {
		Expect(choose(placement.DefaultPolicy(), turn, engine("x", 9, 0), engine("y", 3, 0), engine("z", 12, 0))).To(Equal("y"))
	})

	It("low load: chooses a server in this failure domain unless one in another has far less load", func() {
		remote := engine("remote", 0, 0)
		remote.Server.FailureDomain = "b"
		Expect(choose(placement.DefaultPolicy(), turn, engine("local", 2, 0), remote)).To(Equal("local"))
		Expect(choose(placement.DefaultPolicy(), turn, engine("local", 12, 0), remote)).To(Equal("remote"))
	})

	// Guards against traffic between failure domains that only evens out their load.
	DescribeTable("a turn of 10 KiB leaves its failure domain only if that pays for its bytes",
		func(localLoad, remoteLoad float64, remoteCached int, openDomain, want string) {
			local, remote := engine("local", localLoad, 0), engine("remote", remoteLoad, remoteCached)
			local.Server.Slots, remote.Server.Slots, remote.Server.FailureDomain = 6, 6, "b"
			r := placement.Request{PromptTokens: 2000, FailureDomain: "a", TransferBytes: 10 << 10, OpenDomain: openDomain}
			Expect(choose(placement.DefaultPolicy(), r, local, remote)).To(Equal(want))
		},
		Entry("low load: an idle server abroad is no reason", 4.0, 0.0, 0, "", "local"),
		Entry("waves: the last free slot is taken at home first", 5.0, 0.0, 0, "", "local"),
		Entry("waves: the turn would wait at home and not abroad", 6.0, 2.0, 0, "", "remote"),
		Entry("burst: both domains are full", 7.0, 6.0, 0, "", "local"),
		Entry("low load: the prompt is cached abroad", 1.0, 2.0, 2000, "", "remote"),
		Entry("low load: a few tokens of the prompt are cached abroad", 1.0, 2.0, 100, "", "local"),
		Entry("shortage: an idle server in the open domain", 4.0, 0.0, 0, "b", "remote"),
		Entry("shortage: another domain than the open one", 4.0, 0.0, 0, "c", "local"),
	)

	It("outage of a failure domain: all leave, also with long bodies", func() {
		ejected, remote := engine("local", 0, 0), engine("remote", 15, 0)
		ejected.Ejected, remote.Server.FailureDomain = true, "b"
		r := placement.Request{FailureDomain: "a", TransferBytes: 4 << 20}
		Expect(choose(placement.DefaultPolicy(), r, ejected, remote)).To(Equal("remote"))
	})

	It("long prompts: the price of the bytes does not outweigh a long queue", func() {
		remote := engine("remote", 2, 0)
		remote.Server.FailureDomain = "b"
		r := placement.Request{FailureDomain: "a", TransferBytes: 4 << 20}
		Expect(choose(placement.DefaultPolicy(), r, engine("local", 17, 0), remote)).To(Equal("local"))
		Expect(choose(placement.DefaultPolicy(), r, engine("local", 20, 0), remote)).To(Equal("remote"))
	})

	// The engines of one deployment take 0.7, 0.7 and 1.7 of the usual time, and 2.5 times as long on a busy machine.
	DescribeTable("uneven servers: a turn goes where it is expected to end first",
		func(cachedTokens int, cachedLoad, cachedTime, otherLoad, otherTime float64, want string) {
			cached, other := engine("cached", cachedLoad, cachedTokens), engine("other", otherLoad, 0)
			cached.WorkTime, other.WorkTime = cachedTime, otherTime
			cached.Server.Slots, other.Server.Slots = 6, 6
			Expect(choose(placement.DefaultPolicy(), turn, cached, other)).To(Equal(want))
		},
		Entry("low load: the faster one of two idle servers", 0, 0.0, 1.7, 0.0, 0.7, "other"),
		Entry("even load: the faster one, although it has more requests", 0, 2.0, 1.7, 3.0, 0.7, "other"),
		Entry("burst: the slow one before a long queue forms at the fast one", 0, 1.0, 1.7, 14.0, 0.7, "cached"),
		Entry("burst: the fast one although a queue begins, if the whole prompt has to be read", 0, 0.0, 1.7, 6.0, 0.7, "other"),
		Entry("low load: the slow one that has the prompt cached", 2000, 0.0, 1.7, 0.0, 0.7, "cached"),
		Entry("busy machine: the fast one, for a prompt of which little is cached", 300, 1.0, 4.25, 1.0, 0.7, "other"),
		Entry("hot prompt: another one when the one that has it cached is full", 2000, 18.0, 1.0, 3.0, 0.7, "other"),
		Entry("no reports: as with the usual time", 500, 0.0, 0.0, 0.0, 1.0, "cached"),
	)

	It("uneven plain services: each request in progress counts by the server's speed", func() {
		slow, fast := engine("slow", 2, 0), engine("fast", 4, 0)
		slow.WorkTime, fast.WorkTime = 1.5, 1
		Expect(choose(placement.DefaultPolicy(), placement.Request{FailureDomain: "a"}, slow, fast)).To(Equal("fast"))
	})

	It("equal servers: reports of the usual time change no choice", func() {
		for load := range 20 {
			x, y := engine("x", float64(load), 1000), engine("y", 6, 0)
			before := choose(placement.DefaultPolicy(), turn, x, y)
			x.WorkTime, y.WorkTime = 1, 1
			Expect(choose(placement.DefaultPolicy(), turn, x, y)).To(Equal(before))
		}
	})

	It("release: chooses a server in warm-up only if the others are full", func() {
		warmingUp := engine("warming up", 0, 0)
		warmingUp.Server.WarmupRemaining = time.Second
		Expect(choose(placement.DefaultPolicy(), turn, engine("warm", 4, 0), warmingUp)).To(Equal("warm"))
		Expect(choose(placement.DefaultPolicy(), turn, engine("warm", 17, 0), warmingUp)).To(Equal("warming up"))
	})

	DescribeTable("does not choose servers",
		func(change func(*placement.Candidate)) {
			c := engine("x", 0, 2000)
			change(&c)
			r := turn
			r.ExcludedServers = map[string]bool{"excluded": true}
			Expect(choose(placement.DefaultPolicy(), r, c)).To(BeEmpty())
			Expect(choose(placement.DefaultPolicy(), r, c, engine("y", 15, 0))).To(Equal("y"))
		},
		Entry("that drain", func(c *placement.Candidate) { c.Server.Draining = true }),
		Entry("that are ejected", func(c *placement.Candidate) { c.Ejected = true }),
		Entry("without a free connection", func(c *placement.Candidate) { c.AtCapacity = true }),
		Entry("that refused the request", func(c *placement.Candidate) { c.Server.ID = "excluded" }),
	)
})

var _ = Describe("AllowEjectedPolicy", func() {
	It("chooses an ejected server if there is no other", func() {
		c := engine("x", 0, 0)
		c.Ejected = true
		Expect(choose(placement.AllowEjectedPolicy(), placement.Request{}, c)).To(Equal("x"))
	})
})

var _ = Describe("HedgePolicy", func() {
	It("burst: sends no hedged request to a full server", func() {
		Expect(choose(placement.HedgePolicy(), placement.Request{}, engine("x", 16, 0))).To(BeEmpty())
		Expect(choose(placement.HedgePolicy(), placement.Request{}, engine("x", 15, 0))).To(Equal("x"))
	})
})

var _ = Describe("FailureCost", func() {
	failing := func(id string, rate, load float64) placement.Candidate {
		c := engine(id, load, 0)
		c.FailureRate = rate
		return c
	}

	// Guards against a server that attracts requests because it fails part of them at once and so has the least load.
	It("partial failures: prefers a server with more load to one that fails two requests in five", func() {
		Expect(choose(placement.DefaultPolicy(), placement.Request{}, failing("failing", 0.4, 0), engine("healthy", 15, 0))).To(Equal("healthy"))
	})

	It("partial failures: a non-retryable request avoids a server that fails one request in twenty", func() {
		nonRetryable := placement.Request{NonRetryable: true}
		Expect(choose(placement.DefaultPolicy(), nonRetryable, failing("failing", 0.05, 0), engine("healthy", 15, 0))).To(Equal("healthy"))
		Expect(choose(placement.DefaultPolicy(), placement.Request{}, failing("failing", 0.05, 0), engine("healthy", 15, 0))).To(Equal("failing"))
	})
})
