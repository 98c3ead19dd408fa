package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	quotaRate   = 30.0
	quotaBurst  = 15.0
	quotaWindow = 2 * time.Second
	quotaSlack  = 10.0
	// quotaTolerance allows leases of 0.2 s.
	quotaTolerance = 0.125
)

// putQuota writes a configuration in which team blue has a quota.
func putQuota(store *objects.Store, version int, perSecond, burst float64) {
	store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version,
		"tenants": []any{
			map[string]any{"name": "blue", "apiKeys": []string{blueKey}, "ratePerS": perSecond, "burst": burst},
			map[string]any{"name": "red", "apiKeys": []string{redKey}},
		},
		"routes":   []any{map[string]any{"name": "once", "host": "h", "pathPrefix": "/once/", "kind": "non_idempotent", "timeoutMs": 10000, "service": "s"}},
		"services": []any{map[string]any{"name": "s", "maxConns": 1000}},
	})
}

// countingBackend is a backend server that records when requests of a team arrive.
type countingBackend struct {
	*backend
	mu       sync.Mutex
	arrivals []time.Time
}

func newCountingBackend(id string) *countingBackend {
	c := &countingBackend{}
	c.backend = newBackend(id, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get(teamHeader) == "blue" {
			c.mu.Lock()
			c.arrivals = append(c.arrivals, time.Now())
			c.mu.Unlock()
		}
		_, _ = io.WriteString(w, "done")
	})
	return c
}

// mostInWindow returns the largest number of requests that arrived within quotaWindow, and the number of all.
func (c *countingBackend) mostInWindow() (most, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := 0
	for i, t := range c.arrivals {
		for t.Sub(c.arrivals[first]) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(c.arrivals)
}

// quotaBound is the largest number of requests that may arrive within quotaWindow.
func quotaBound(perSecond, burst float64) float64 {
	return (perSecond*quotaWindow.Seconds()+burst)*(1+quotaTolerance) + quotaSlack
}

// flood sends requests of team blue through the hosts in turn at the rate, and counts the responses by status.
func flood(hosts []*runningHost, perSecond float64, d time.Duration) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < d; n++ {
		time.Sleep(time.Until(startedAt.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))))
		wg.Go(func() {
			defer GinkgoRecover()
			r := hosts[n%len(hosts)].call("POST", "/once/", "", append(bearer(blueKey), "Hyssopreel-Attempt-Id", fmt.Sprint("q", n))...)
			if r.status == 429 {
				Expect(strconv.ParseFloat(r.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
			}
			mu.Lock()
			statuses[r.status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	return statuses
}

var _ = Describe("Hosts with teams that have quotas", func() {
	var store *objects.Store
	var b *countingBackend
	start := func(names ...string) []*runningHost {
		var hosts []*runningHost
		for _, name := range names {
			hosts = append(hosts, startHostWith(store, name, func(s *settings.EntryHost) {
				s.Promises.QuotaWindow, s.Promises.QuotaTolerance, s.Promises.QuotaSlack = quotaWindow, quotaTolerance, quotaSlack
			}))
		}
		DeferCleanup(func() {
			for _, h := range hosts {
				h.stop()
			}
		})
		for _, h := range hosts {
			Eventually(h.ready, "8s").Should(BeTrue())
			Eventually(h.directory, "8s").Should(HaveLen(len(names)))
		}
		return hosts
	}
	// fill waits until the account of team blue is full.
	fill := func(hosts []*runningHost) {
		Eventually(func() int {
			return hosts[0].call("POST", "/once/", "", bearer(blueKey)...).status
		}, "5s").Should(Equal(200))
		seconds := (quotaBurst + quotaSlack) / quotaRate
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	BeforeEach(func() {
		store = objects.New()
		b = newCountingBackend("i-1")
		putQuota(store, 1, quotaRate, quotaBurst)
		putServer(store, b.backend, "ready")
	})

	// Guards against hosts that each grant a team its whole quota, and against a quota that is left unused.
	It("send what the quota allows, and refuse the rest with 429", func() {
		hosts := start("a-1", "b-1", "c-1")
		fill(hosts)
		time.Sleep(5 * time.Second) // until the account, which started empty, refuses requests with 429
		_, before := b.mostInWindow()
		const hot = 4 * time.Second
		statuses := flood(hosts, 6*quotaRate/1.6, hot)
		Expect(statuses).To(And(HaveLen(2), HaveKey(200), HaveKey(429)))
		view := hosts[0].fleetView()
		Expect(view.ConfirmedMS).To(BeNumerically(">=", 0))
		Expect(view.Teams).To(HaveLen(1))
		Expect(view.Teams[0].Refused).To(BeNumerically(">", 0))
		Expect(view.Teams[0].Keeper).To(Equal(fleetOrder(hosts, "blue")[0].settings.Host.Name))
		most, all := b.mostInWindow()
		Expect(float64(most)).To(BeNumerically("<=", quotaBound(quotaRate, quotaBurst)))
		Expect(float64(all - before)).To(BeNumerically(">=", 0.95*(quotaRate*hot.Seconds()+quotaBurst)))
	})

	// Guards against refusals of a team that is within its quota, and of one that has none.
	It("refuse nothing within the quota", func() {
		hosts := start("a-1", "b-1", "c-1")
		fill(hosts)
		Expect(flood(hosts, quotaRate/1.6, 3*time.Second)).To(And(HaveLen(1), HaveKey(200)))
		for range 50 {
			Expect(hosts[1].call("POST", "/once/", "", bearer(redKey)...).status).To(Equal(200))
		}
	})

	// Guards against tokens of a stopped keeper that add to those of the next one, and against a team that gets none any more.
	It("stay within the quota when the host that keeps the account stops", func() {
		hosts := start("a-1", "b-1", "c-1")
		fill(hosts)
		keeper := fleetOrder(hosts, "blue")
		done := make(chan map[int]int, 1)
		others := append([]*runningHost{}, keeper[1:]...)
		go func() {
			defer GinkgoRecover()
			done <- flood(others, 3*quotaRate, 6*time.Second)
		}()
		time.Sleep(1500 * time.Millisecond)
		keeper[0].stop()
		statuses := <-done
		Expect(statuses).To(HaveKey(200))
		most, all := b.mostInWindow()
		Expect(float64(most)).To(BeNumerically("<=", quotaBound(quotaRate, quotaBurst)))
		Expect(all).To(BeNumerically(">=", int(3*quotaRate)), "requests are granted again after the handover")
	})

	// Guards against a team within its quota that is refused because the host that keeps its account is restarted.
	It("refuse nothing within the quota while the host that keeps the account drains", func() {
		hosts := start("a-1", "b-1", "c-1")
		fill(hosts)
		keeper := fleetOrder(hosts, "blue")
		done := make(chan map[int]int, 1)
		go func() {
			defer GinkgoRecover()
			done <- flood(keeper[1:], quotaRate/1.6, 4*time.Second)
		}()
		time.Sleep(1500 * time.Millisecond)
		keeper[0].stop()
		Expect(<-done).To(And(HaveLen(1), HaveKey(200)))
	})

	// Guards against refusals of a team within its quota after the host that keeps its account was lost: the next one starts
	// without tokens, and many requests wait for it.
	It("serve the requests that waited for the next keeper", func() {
		hosts := start("a-1", "b-1", "c-1")
		statuses := flood(hosts, quotaRate/1.6, 5*time.Second)
		Expect(statuses).NotTo(HaveKey(429), "the accounts start empty")
		Expect(statuses).To(HaveKeyWithValue(200, BeNumerically(">=", 0.6*5*quotaRate/1.6)))
	})

	// Guards against a limit that was lowered and is not applied.
	It("apply a lowered quota", func() {
		hosts := start("a-1", "b-1", "c-1")
		fill(hosts)
		flood(hosts, 3*quotaRate, time.Second)
		putQuota(store, 2, quotaRate/3, 0)
		flood(hosts, 3*quotaRate, quotaWindow+2*time.Second)
		b.mu.Lock()
		b.arrivals = nil
		b.mu.Unlock()
		flood(hosts, 3*quotaRate, quotaWindow+time.Second)
		most, all := b.mostInWindow()
		Expect(float64(most)).To(BeNumerically("<=", quotaBound(quotaRate/3, 0)))
		Expect(float64(all)).To(BeNumerically(">=", 0.8*quotaRate/3*3))
	})
})

// fleetOrder returns the hosts in the order in which they keep the account of a team.
func fleetOrder(hosts []*runningHost, team string) []*runningHost {
	var out []*runningHost
	for _, ordered := range fleet.RendezvousOrder(fleetHosts(hosts), team) {
		for _, h := range hosts {
			if h.settings.Host.Name == ordered.Name {
				out = append(out, h)
			}
		}
	}
	return out
}
