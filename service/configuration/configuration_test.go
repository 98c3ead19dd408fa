package configuration_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	commonfault "github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/service/configuration"
)

func TestConfiguration(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "service/configuration")
}

func hostNamed(name, failureDomain string) configuration.Host {
	return configuration.Host{Name: ids.Host(name), FailureDomain: failureDomain, PeerAddress: name + ":1"}
}

func team(budget int64) *config.Team {
	return &config.Team{MaxBudgetTokens: budget, MaxOpenPrograms: 10}
}

func teamTicket(number uint64, author string, budget int64) config.Ticket {
	return config.Ticket{Number: number, Author: author, Objects: config.Objects{Teams: map[string]*config.Team{"t": team(budget)}}}
}

func faultOf(err error) *commonfault.Error {
	ginkgo.GinkgoHelper()
	var f *commonfault.Error
	gomega.Expect(errors.As(err, &f)).To(gomega.BeTrue(), "error %v", err)
	return f
}

var _ = ginkgo.Describe("Apply", func() {
	ctx := context.Background()
	var net *network
	var a, b *testHost

	ginkgo.BeforeEach(func() {
		ha, hb := hostNamed("a", "d1"), hostNamed("b", "d2")
		net = newNetwork(ha, hb)
		a, b = net.start(ha, ""), net.start(hb, "")
	})

	// Guards against success being reported to two operators for tickets with the same number.
	ginkgo.It("accepts one of two tickets with the same number and names the accepted one to the other operator", func() {
		var wg sync.WaitGroup
		results := make([]error, 2)
		for i, h := range []*testHost{a, b} {
			wg.Go(func() {
				_, results[i] = h.Apply(ctx, teamTicket(1, fmt.Sprintf("operator-%d", i), int64(100+i)))
			})
		}
		wg.Wait()
		loser := 0
		if results[0] == nil {
			loser = 1
		}
		gomega.Expect(results[1-loser]).NotTo(gomega.HaveOccurred())
		f := faultOf(results[loser])
		gomega.Expect(f.Code).To(gomega.Equal(commonfault.CodeTicketConflict))
		gomega.Expect(f.Outcome).To(gomega.Equal(commonfault.OutcomeNotRun))
		gomega.Expect(f.Message).To(gomega.ContainSubstring(fmt.Sprintf(`ticket 1 by "operator-%d"`, 1-loser)))
		gomega.Expect(f.Message).To(gomega.ContainSubstring(fmt.Sprintf(`"max_budget_tokens":%d`, 101-loser)))
		for _, h := range []*testHost{a, b} {
			gomega.Eventually(h.TicketNumber).Should(gomega.Equal(uint64(1)))
			gomega.Expect(h.Current().Objects.Teams["t"].MaxBudgetTokens).To(gomega.Equal(int64(101 - loser)))
		}
		gomega.Expect(net.store.names(objectapi.KindTicket)).To(gomega.HaveLen(1), "the body of the rejected ticket is deleted")
	})

	// Guards against a ticket that is reported as rejected although it is in force, after the store's response was lost.
	ginkgo.DescribeTable("resolves the outcome after a lost response of the store",
		func(takesEffect bool, kind string) {
			a.client.faults = []writeFault{{kind: kind, takesEffect: takesEffect, err: objectapi.ErrOutcomeUnknown}}
			c, err := a.Apply(ctx, teamTicket(1, "ann", 100))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(c.Number).To(gomega.Equal(uint64(1)))
			gomega.Expect(a.AcceptedTickets()).To(gomega.HaveLen(1))
			t, err := b.Ticket(ctx, 1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(t.Author).To(gomega.Equal("ann"))
		},
		ginkgo.Entry("the update took effect", true, objectapi.KindConfig),
		ginkgo.Entry("the update did not take effect", false, objectapi.KindConfig),
		ginkgo.Entry("the body was written", true, objectapi.KindTicket),
		ginkgo.Entry("the body was not written", false, objectapi.KindTicket),
	)

	// Guards against success being reported when the response was lost and another operator's ticket was accepted.
	ginkgo.It("reports a conflict when the response was lost and another ticket was accepted", func() {
		a.client.faults = []writeFault{{
			kind: objectapi.KindConfig, err: objectapi.ErrOutcomeUnknown,
			before: func() {
				_, err := b.Apply(ctx, teamTicket(1, "bob", 200))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			},
		}}
		_, err := a.Apply(ctx, teamTicket(1, "ann", 100))
		f := faultOf(err)
		gomega.Expect(f.Code).To(gomega.Equal(commonfault.CodeTicketConflict))
		gomega.Expect(f.Message).To(gomega.ContainSubstring(`"bob"`))
	})

	// Guards against overwriting a ticket with a lower number that was accepted between the read and the update.
	ginkgo.It("merges again when a ticket with a lower number is accepted in between", func() {
		a.client.faults = []writeFault{{kind: objectapi.KindConfig, takesEffect: true, before: func() {
			t := teamTicket(1, "bob", 200)
			t.Objects.Teams = map[string]*config.Team{"other": team(5)}
			_, err := b.Apply(ctx, t)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}}}
		c, err := a.Apply(ctx, teamTicket(2, "ann", 100))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.Objects.Teams).To(gomega.HaveKey("t"))
		gomega.Expect(c.Objects.Teams).To(gomega.HaveKey("other"))
	})

	// Guards against a retry that is rejected because its own first attempt was accepted.
	ginkgo.It("returns the outcome of the first attempt for a repeated tag", func() {
		t := teamTicket(1, "ann", 100)
		t.Tag = "tag-1"
		_, err := a.Apply(ctx, t)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = b.Apply(ctx, t)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		t.Author = "bob"
		_, err = b.Apply(ctx, t)
		gomega.Expect(faultOf(err).Code).To(gomega.Equal(commonfault.CodeKeyReused))
	})

	// Guards against an error during an outage that does not state whether the ticket was accepted.
	ginkgo.It("reports \"not run\" while the store is unavailable", func() {
		a.client.setUnavailable(true)
		_, err := a.Apply(ctx, teamTicket(1, "ann", 100))
		f := faultOf(err)
		gomega.Expect(f.Code).To(gomega.Equal(commonfault.CodeStoreUnavailable))
		gomega.Expect(f.Outcome).To(gomega.Equal(commonfault.OutcomeNotRun))
		gomega.Expect(f.RetryAfterMS).To(gomega.BeNumerically(">", 0))
	})

	// Guards against "not run" being reported for a ticket that was accepted before the outage.
	ginkgo.It("reports an unknown outcome if the store becomes unavailable after a lost response", func() {
		a.client.faults = []writeFault{{kind: objectapi.KindConfig, takesEffect: true, err: objectapi.ErrOutcomeUnknown, before: func() {
			a.client.setUnavailable(true)
		}}}
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		t := teamTicket(1, "ann", 100)
		t.Tag = "tag-1"
		_, err := a.Apply(short, t)
		f := faultOf(err)
		gomega.Expect(f.Code).To(gomega.Equal(commonfault.CodeOutcomeUnknown))
		gomega.Expect(f.Outcome).To(gomega.Equal(commonfault.OutcomeUnknown))
		a.client.setUnavailable(false)
		_, err = a.Apply(ctx, t)
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), "a retry with the same tag succeeds")
	})

	// Guards against a partly applied ticket: an agent in force without its pool.
	ginkgo.It("puts all objects of a ticket in force at once", func() {
		var mu sync.Mutex
		var partial []uint64
		for _, h := range []*testHost{a, b} {
			h.Subscribe(func(c *config.Config) {
				mu.Lock()
				defer mu.Unlock()
				if (c.Objects.Pools["p"] == nil) != (c.Objects.Agents["g"] == nil) {
					partial = append(partial, c.Number)
				}
			})
		}
		objects := config.Objects{
			Pools:  map[string]*config.Pool{"p": {Kind: "engine", Model: "m", MaxRunning: 4}},
			Agents: map[string]*config.Agent{"g": {Pool: "p", Class: "batch", MaxTokens: 100}},
		}
		deleted := config.Objects{Pools: map[string]*config.Pool{"p": nil}, Agents: map[string]*config.Agent{"g": nil}}
		for n := uint64(1); n <= 20; n++ {
			t := config.Ticket{Number: n, Author: "ann", Objects: objects}
			if n%2 == 0 {
				t.Objects = deleted
			}
			_, err := a.Apply(ctx, t)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Eventually(b.TicketNumber).Should(gomega.Equal(uint64(20)))
		mu.Lock()
		defer mu.Unlock()
		gomega.Expect(partial).To(gomega.BeEmpty())
		t := config.Ticket{Number: 21, Author: "ann", Objects: config.Objects{Agents: objects.Agents}}
		_, err := a.Apply(ctx, t)
		gomega.Expect(faultOf(err).Message).To(gomega.ContainSubstring(`pool "p" does not exist`))
	})
})

var _ = ginkgo.Describe("distribution", func() {
	ctx := context.Background()

	// Guards against a host that keeps, or returns to, an old configuration after a partition.
	ginkgo.It("updates a host that was isolated while two tickets were accepted", func() {
		ha, hb, hc := hostNamed("a", "d1"), hostNamed("b", "d1"), hostNamed("c", "d1")
		net := newNetwork(ha, hb, hc)
		a, b, c := net.start(ha, ""), net.start(hb, ""), net.start(hc, "")
		apply := func(n uint64) {
			_, err := a.Apply(ctx, teamTicket(n, "ann", int64(n)))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		apply(1)
		gomega.Eventually(c.TicketNumber).Should(gomega.Equal(uint64(1)))
		net.setIsolated(c, true)
		apply(2)
		apply(3)
		gomega.Eventually(b.TicketNumber).Should(gomega.Equal(uint64(3)))
		gomega.Consistently(c.TicketNumber, "50ms").Should(gomega.Equal(uint64(1)))
		net.setIsolated(c, false)
		net.exchangeNumbers()
		gomega.Eventually(c.TicketNumber).Should(gomega.Equal(uint64(3)))
		gomega.Expect(c.Current().Objects).To(gomega.Equal(a.Current().Objects))
		gomega.Expect(c.AcceptedTickets()).To(gomega.Equal(a.AcceptedTickets()))
		gomega.Expect(c.activatedNumbers()).To(gomega.Equal([]uint64{1, 3}))
	})

	// Guards against one watch per host, which would exceed the store's rate limits at the target number of hosts.
	ginkgo.It("watches from two hosts of each failure domain and updates the others through peers only", func() {
		hosts := []configuration.Host{}
		for i := range 5 {
			hosts = append(hosts, hostNamed(fmt.Sprintf("x%d", i), "d1"), hostNamed(fmt.Sprintf("y%d", i), "d2"))
		}
		net := newNetwork(hosts...)
		var started []*testHost
		for _, h := range hosts {
			started = append(started, net.start(h, ""))
		}
		watching := func() []string {
			net.store.mu.Lock()
			defer net.store.mu.Unlock()
			var out []string
			for h, n := range net.store.activeWatches {
				if n > 0 {
					out = append(out, string(h))
				}
			}
			return out
		}
		gomega.Eventually(watching).Should(gomega.ConsistOf("x0", "x1", "y0", "y1"))
		for _, h := range started {
			gomega.Eventually(h.Ready).Should(gomega.BeTrue())
		}
		_, err := started[9].Apply(ctx, teamTicket(7, "ann", 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, h := range started {
			gomega.Eventually(h.TicketNumber).Should(gomega.Equal(uint64(7)))
		}
		// A watcher is missing here for a moment between two watches.
		gomega.Eventually(watching).Should(gomega.ConsistOf("x0", "x1", "y0", "y1"))
		net.store.mu.Lock()
		defer net.store.mu.Unlock()
		gomega.Expect(net.store.everWatched).To(gomega.HaveLen(4), "no other host has watched the store")
	})
})

var _ = ginkgo.Describe("the cached configuration", func() {
	ctx := context.Background()
	var net *network
	var ha, hb configuration.Host
	var a, b *testHost
	var folder string

	ginkgo.BeforeEach(func() {
		ha, hb = hostNamed("a", "d1"), hostNamed("b", "d1")
		net = newNetwork(ha, hb)
		folder = ginkgo.GinkgoT().TempDir()
		a, b = net.start(ha, folder), net.start(hb, "")
		_, err := a.Apply(ctx, teamTicket(1, "ann", 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() bool { return configuration.HasCache(folder) }).Should(gomega.BeTrue())
		a.stop()
		net.mu.Lock()
		delete(net.hosts, ha.PeerAddress)
		net.mu.Unlock()
		_, err = b.Apply(ctx, teamTicket(2, "bob", 2))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	// Guards against a host that keeps the configuration from before its restart.
	ginkgo.It("is replaced by the stored configuration", func() {
		a = net.start(ha, folder)
		gomega.Eventually(a.TicketNumber).Should(gomega.Equal(uint64(2)))
	})

	// Guards against a host that keeps its cached configuration although a peer has a newer one.
	ginkgo.It("is replaced by a peer's configuration while the store is unavailable", func() {
		// Blocks a push of ticket 2 that is still in transit: it must not arrive before the cache has been checked.
		net.setPartitioned(ha, true)
		a = net.start(ha, folder, func(c *storeClient) { c.setUnavailable(true) })
		gomega.Eventually(a.TicketNumber).Should(gomega.Equal(uint64(1)))
		gomega.Eventually(a.Ready).Should(gomega.BeTrue(), "after CacheGracePeriod")
		net.setPartitioned(ha, false)
		net.exchangeNumbers()
		gomega.Eventually(a.TicketNumber).Should(gomega.Equal(uint64(2)))
		gomega.Expect(a.activatedNumbers()).To(gomega.Equal([]uint64{1, 2}))
	})

	// Guards against a host that is ready without any configuration.
	ginkgo.It("is required for readiness while neither the store nor a peer answers", func() {
		net.setPartitioned(ha, true)
		c := net.start(ha, "", func(c *storeClient) { c.setUnavailable(true) })
		gomega.Consistently(c.Ready, "100ms").Should(gomega.BeFalse())
		c.client.setUnavailable(false)
		gomega.Eventually(c.Ready).Should(gomega.BeTrue())
	})
})
