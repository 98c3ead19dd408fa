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

// whileAdvancing lets simulated time pass while it polls the value.
func whileAdvancing[T any](c *cluster, value func() T) func() T {
	return func() T {
		c.clock.advance(100 * time.Millisecond)
		return value()
	}
}

func (h *host) fencingToken() uint64 { return h.FencingTokens()["p"] }

var _ = ginkgo.Describe("the order manager", func() {
	reached := func(c *cluster, version string) {
		ginkgo.GinkgoHelper()
		gomega.Eventually(whileAdvancing(c, c.engines.versions), pollTimeout, pollInterval).Should(gomega.HaveEach(version))
	}

	// Guards against workers that stay at an old version, and against a second manager.
	ginkgo.It("brings all workers to the configuration and writes the status on change only", func() {
		c := newCluster(newEnginePool(true, "w0", "w1", "w2"), "a", "b", "c")
		reached(c, "v1")
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
		reached(c, "v2")
	})

	// Guards against calls that go to a worker while it loads.
	ginkgo.It("reports a worker as not usable while it loads", func() {
		s := newEnginePool(false, "w0", "w1")
		s.holdLoads = true
		c := newCluster(s, "a")
		h := c.hosts[0]
		gomega.Eventually(whileAdvancing(c, s.orders), pollTimeout, pollInterval).Should(gomega.HaveLen(1))
		gomega.Expect(h.isUsable("w0")).To(gomega.BeFalse())
		gomega.Eventually(whileAdvancing(c, func() bool { return h.isUsable("w1") }), pollTimeout, pollInterval).Should(gomega.BeTrue())
		gomega.Consistently(whileAdvancing(c, s.orders), "50ms", pollInterval).Should(gomega.HaveLen(1), "one worker at a time")
		s.finishLoads("v1")
		reached(c, "v1")
		gomega.Eventually(whileAdvancing(c, func() bool { return h.isUsable("w0") && h.isUsable("w1") }), pollTimeout, pollInterval).Should(gomega.BeTrue())
	})

	// Guards against a manager that adds to the load of a weight store that is over its rate.
	ginkgo.It("waits as long as a 429 says", func() {
		s := newEnginePool(false, "w0")
		s.throttledResponses = 1
		c := newCluster(s, "a")
		throttled := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.throttledResponses }
		gomega.Eventually(whileAdvancing(c, throttled), pollTimeout, pollInterval).Should(gomega.BeZero())
		at := c.clock.Now()
		reached(c, "v1")
		gomega.Expect(c.clock.Now().Sub(at)).To(gomega.BeNumerically(">=", 29*time.Second))
	})

	// takeOver freezes host a right before it sends an order, lets host b take over and send orders, and
	// lets a go on.
	takeOver := func(checks, bodyRead bool) *cluster {
		ginkgo.GinkgoHelper()
		s := newEnginePool(checks, "w0", "w1")
		c := newCluster(s, "a", "b")
		a, b := c.hosts[0], c.hosts[1]
		a.transport.close(bodyRead)
		gomega.Eventually(whileAdvancing(c, a.transport.waiting.Load), pollTimeout, pollInterval).Should(gomega.Equal(int32(1)))
		gomega.Expect(a.fencingToken()).To(gomega.Equal(uint64(1)))
		a.store.unavailable.Store(true)
		gomega.Eventually(whileAdvancing(c, b.fencingToken), pollTimeout, pollInterval).Should(gomega.Equal(uint64(2)))
		reached(c, "v1")
		a.store.unavailable.Store(false)
		a.transport.open()
		gomega.Eventually(whileAdvancing(c, a.fencingToken), pollTimeout, pollInterval).Should(gomega.BeZero(), "the old manager stops")
		return c
	}

	// Guards against an order of the old manager after those of the new one, at engines that would carry
	// it out.
	ginkgo.It("sends no order after its lease, whatever it froze in", func() {
		c := takeOver(false, false)
		gomega.Consistently(whileAdvancing(c, c.engines.orders), "50ms", pollInterval).Should(gomega.HaveEach(gomega.HaveField("Fence", uint64(2))))
	})

	// Guards against an old manager that goes on after a checking engine refused its number.
	ginkgo.It("is refused by a checking engine when the order was on its way already", func() {
		c := takeOver(true, true)
		old := func() []receivedOrder {
			var out []receivedOrder
			for _, o := range c.engines.orders() {
				if o.Fence == 1 {
					out = append(out, o)
				}
			}
			return out
		}
		gomega.Eventually(whileAdvancing(c, old), pollTimeout, pollInterval).Should(gomega.HaveLen(1))
		gomega.Expect(old()[0].rejected).To(gomega.BeTrue())
		gomega.Expect(c.engines.versions()).To(gomega.HaveEach("v1"))
	})

	// Guards against the first order of a new manager reaching an engine together with one of the old
	// manager's that is still under way.
	ginkgo.It("waits until orders of the old manager have arrived, for engines that ignore the number", func() {
		s := newEnginePool(false, "w0")
		s.holdLoads = true
		c := newCluster(s, "a", "b")
		a, b := c.hosts[0], c.hosts[1]
		gomega.Eventually(whileAdvancing(c, s.orders), pollTimeout, pollInterval).Should(gomega.HaveLen(1))
		lastRenewal := c.clock.Now()
		a.store.unavailable.Store(true)
		gomega.Eventually(whileAdvancing(c, b.fencingToken), pollTimeout, pollInterval).Should(gomega.Equal(uint64(2)))
		gomega.Expect(c.clock.Now().Sub(lastRenewal)).To(gomega.BeNumerically(">=", orders.DefaultSettings().LeaseDuration-orders.DefaultSettings().RenewInterval))
		claimed := c.clock.Now()
		s.finishLoads("other")
		gomega.Eventually(whileAdvancing(c, s.orders), pollTimeout, pollInterval).Should(gomega.HaveLen(2))
		gomega.Expect(s.orders()[1].Fence).To(gomega.Equal(uint64(2)))
		gomega.Expect(c.clock.Now().Sub(claimed)).To(gomega.BeNumerically(">=", orders.DefaultSettings().MaxOrderTransit-200*time.Millisecond))
	})

	// Guards against orders without a lease during an outage, and against a manager that does not go on
	// after it.
	ginkgo.It("stops while the store is down and goes on afterwards", func() {
		s := newEnginePool(false, "w0", "w1")
		s.holdLoads = true
		c := newCluster(s, "a", "b")
		gomega.Eventually(whileAdvancing(c, s.orders), pollTimeout, pollInterval).Should(gomega.HaveLen(1))
		for _, h := range c.hosts {
			h.store.unavailable.Store(true)
		}
		c.clock.advance(orders.DefaultSettings().LeaseDuration)
		s.finishLoads("v1")
		gomega.Consistently(whileAdvancing(c, s.orders), "100ms", pollInterval).Should(gomega.HaveLen(1))
		for _, h := range c.hosts {
			h.store.unavailable.Store(false)
		}
		reached(c, "v1")
		gomega.Expect(s.orders()).To(gomega.HaveLen(2))
	})
})
