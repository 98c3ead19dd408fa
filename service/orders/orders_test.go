package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/orders"
)

func TestOrders(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "service/orders")
}

const (
	pollTimeout  = "10s"
	pollInterval = "2ms"
)

// whileAdvancing returns a poll function that advances the simulated time by 100 ms per poll.
func whileAdvancing[T any](c *cluster, value func() T) func() T {
	return func() T {
		c.clock.advance(100 * time.Millisecond)
		return value()
	}
}

func (h *host) fencingToken() uint64 { return h.FencingTokens()["p"] }

var _ = ginkgo.Describe("the order manager", func() {
	expectVersion := func(c *cluster, version string) {
		ginkgo.GinkgoHelper()
		gomega.Eventually(whileAdvancing(c, c.engines.versions), pollTimeout, pollInterval).Should(gomega.HaveEach(version))
	}

	// Guards against workers that stay at an old version, a second manager of a pool, and status writes without a
	// change.
	ginkgo.It("loads the configured version on all workers and writes the status only when it changes", func() {
		c := newCluster(newEnginePool(true, "w0", "w1", "w2"), "a", "b", "c")
		expectVersion(c, "v1")
		gomega.Expect(c.hosts[0].fencingToken()).To(gomega.Equal(uint64(1)))
		gomega.Expect(c.hosts[1].FencingTokens()).To(gomega.BeEmpty())
		pools := func() []string {
			out, err := c.hosts[2].Pools(context.Background(), configWithVersion("v1"))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(out.Pools).To(gomega.HaveLen(2))
			gomega.Expect(out.Pools[0].Manager).To(gomega.Equal(ids.Host("a")))
			var states []string
			for _, w := range out.Pools[0].Workers {
				states = append(states, w.Name+" "+w.Version+" "+w.State)
			}
			return states
		}
		gomega.Eventually(whileAdvancing(c, pools), pollTimeout, pollInterval).Should(gomega.Equal([]string{"w0 v1 ready", "w1 v1 ready", "w2 v1 ready"}))
		writes := func() int {
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			return c.store.writes["status/p"]
		}
		before := writes()
		gomega.Consistently(whileAdvancing(c, writes), "100ms", pollInterval).Should(gomega.Equal(before))
		for _, h := range c.hosts {
			h.SetConfig(configWithVersion("v2"))
		}
		expectVersion(c, "v2")
	})

	// Guards against calls to a worker that loads a model.
	ginkgo.It("reports a worker as not usable while it loads", func() {
		engines := newEnginePool(false, "w0", "w1")
		engines.holdLoads = true
		c := newCluster(engines, "a")
		h := c.hosts[0]
		gomega.Eventually(whileAdvancing(c, engines.orders), pollTimeout, pollInterval).Should(gomega.HaveLen(1))
		gomega.Expect(h.isUsable("w0")).To(gomega.BeFalse())
		gomega.Eventually(whileAdvancing(c, func() bool { return h.isUsable("w1") }), pollTimeout, pollInterval).Should(gomega.BeTrue())
		gomega.Consistently(whileAdvancing(c, engines.orders), "50ms", pollInterval).Should(gomega.HaveLen(1), "one worker at a time")
		engines.finishLoads("v1")
		expectVersion(c, "v1")
		gomega.Eventually(whileAdvancing(c, func() bool { return h.isUsable("w0") && h.isUsable("w1") }), pollTimeout, pollInterval).Should(gomega.BeTrue())
	})

	// Guards against repeated orders while the weight store limits the rate of loads.
	ginkgo.It("waits for the Retry-After time of a 429 response", func() {
		engines := newEnginePool(false, "w0")
		engines.throttledResponses = 1
		c := newCluster(engines, "a")
		throttled := func() int { engines.mu.Lock(); defer engines.mu.Unlock(); return engines.throttledResponses }
		gomega.Eventually(whileAdvancing(c, throttled), pollTimeout, pollInterval).Should(gomega.BeZero())
		throttledAt := c.clock.Now()
		expectVersion(c, "v1")
		gomega.Expect(c.clock.Now().Sub(throttledAt)).To(gomega.BeNumerically(">=", 29*time.Second))
	})

	// takeOver freezes host a right before it sends an order, waits until host b has claimed the lease and sent its
	// orders, and resumes a. bodyRead freezes a after it has read the body of the order, otherwise before.
	takeOver := func(checks, bodyRead bool) *cluster {
		ginkgo.GinkgoHelper()
		engines := newEnginePool(checks, "w0", "w1")
		c := newCluster(engines, "a", "b")
		a, b := c.hosts[0], c.hosts[1]
		a.transport.close(bodyRead)
		gomega.Eventually(whileAdvancing(c, a.transport.waiting.Load), pollTimeout, pollInterval).Should(gomega.Equal(int32(1)))
		gomega.Expect(a.fencingToken()).To(gomega.Equal(uint64(1)))
		a.store.unavailable.Store(true)
		gomega.Eventually(whileAdvancing(c, b.fencingToken), pollTimeout, pollInterval).Should(gomega.Equal(uint64(2)))
		expectVersion(c, "v1")
		a.store.unavailable.Store(false)
		a.transport.open()
		gomega.Eventually(whileAdvancing(c, a.fencingToken), pollTimeout, pollInterval).Should(gomega.BeZero(), "host a still counts as order manager")
		return c
	}

	// Guards against an order of the old manager that arrives after those of the new one, at engines that don't check
	// fencing tokens.
	ginkgo.It("sends no order after its lease has expired, if it froze before the order was written", func() {
		c := takeOver(false, false)
		gomega.Consistently(whileAdvancing(c, c.engines.orders), "50ms", pollInterval).Should(gomega.HaveEach(gomega.HaveField("Fence", uint64(2))))
	})

	// Guards against an old manager that continues after an engine rejected its fencing token.
	ginkgo.It("stops when an engine that checks fencing tokens rejects an order sent before the freeze", func() {
		c := takeOver(true, true)
		oldOrders := func() []receivedOrder {
			var out []receivedOrder
			for _, o := range c.engines.orders() {
				if o.Fence == 1 {
					out = append(out, o)
				}
			}
			return out
		}
		gomega.Eventually(whileAdvancing(c, oldOrders), pollTimeout, pollInterval).Should(gomega.HaveLen(1))
		gomega.Expect(oldOrders()[0].rejected).To(gomega.BeTrue())
		gomega.Expect(c.engines.versions()).To(gomega.HaveEach("v1"))
	})

	// Guards against the first order of a new manager reaching an engine before the last one of the old manager,
	// whose request may still be in transit.
	ginkgo.It("waits until orders of the old manager have arrived, for engines that don't check fencing tokens", func() {
		engines := newEnginePool(false, "w0")
		engines.holdLoads = true
		c := newCluster(engines, "a", "b")
		a, b := c.hosts[0], c.hosts[1]
		gomega.Eventually(whileAdvancing(c, engines.orders), pollTimeout, pollInterval).Should(gomega.HaveLen(1))
		lastRenewedAt := c.clock.Now()
		a.store.unavailable.Store(true)
		gomega.Eventually(whileAdvancing(c, b.fencingToken), pollTimeout, pollInterval).Should(gomega.Equal(uint64(2)))
		gomega.Expect(c.clock.Now().Sub(lastRenewedAt)).To(gomega.BeNumerically(">=", orders.DefaultSettings().LeaseDuration-orders.DefaultSettings().RenewInterval))
		claimedAt := c.clock.Now()
		engines.finishLoads("other")
		gomega.Eventually(whileAdvancing(c, engines.orders), pollTimeout, pollInterval).Should(gomega.HaveLen(2))
		gomega.Expect(engines.orders()[1].Fence).To(gomega.Equal(uint64(2)))
		gomega.Expect(c.clock.Now().Sub(claimedAt)).To(gomega.BeNumerically(">=", orders.DefaultSettings().MaxOrderTransit-200*time.Millisecond))
	})

	// Guards against orders without a valid lease during an outage of the store, and a manager that doesn't resume
	// after it.
	ginkgo.It("stops during an outage of the store and resumes afterwards", func() {
		engines := newEnginePool(false, "w0", "w1")
		engines.holdLoads = true
		c := newCluster(engines, "a", "b")
		gomega.Eventually(whileAdvancing(c, engines.orders), pollTimeout, pollInterval).Should(gomega.HaveLen(1))
		for _, h := range c.hosts {
			h.store.unavailable.Store(true)
		}
		c.clock.advance(orders.DefaultSettings().LeaseDuration)
		engines.finishLoads("v1")
		gomega.Consistently(whileAdvancing(c, engines.orders), "100ms", pollInterval).Should(gomega.HaveLen(1))
		for _, h := range c.hosts {
			h.store.unavailable.Store(false)
		}
		expectVersion(c, "v1")
		gomega.Expect(engines.orders()).To(gomega.HaveLen(2))
	})
})
