package ingress_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/service/ingress"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	limitWindow = 4 * time.Second
	// limitGrace is the time after a server first named a limit from which it binds.
	limitGrace = 3 * time.Second
	// limitedRunTime is how long a request runs, so that servers have load.
	limitedRunTime = 20 * time.Millisecond
	// callersPerHost is the number of callers that send requests through a host at the same time.
	callersPerHost = 4
)

// limitedBackend is a backend server that names a rate limit and records when requests arrive.
type limitedBackend struct {
	*backend
	limit    atomic.Value // text of the header; empty for none
	mu       sync.Mutex
	arrivals []time.Time
}

func newLimitedBackend(id, limit string) *limitedBackend {
	l := &limitedBackend{}
	l.limit.Store(limit)
	l.backend = newBackend(id, func(w http.ResponseWriter, _ *http.Request, _ int) {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		l.mu.Unlock()
		time.Sleep(limitedRunTime)
		if text := l.limit.Load().(string); text != "" {
			w.Header().Set("Server-Limit", text)
		}
		_, _ = fmt.Fprint(w, "done")
	})
	return l
}

func (l *limitedBackend) arrivedAt() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time{}, l.arrivals...)
}

// mostInWindow returns the largest number of requests that arrived within limitWindow, from limitGrace after the first on.
func (l *limitedBackend) mostInWindow() int {
	arrivals := l.arrivedAt()
	most := 0
	for i, first := range arrivals {
		if first.Before(arrivals[0].Add(limitGrace)) {
			continue
		}
		n := 0
		for _, t := range arrivals[i:] {
			if t.Before(first.Add(limitWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// callAll sends requests through all hosts at once, one after the other by each caller, and counts the responses by
// status. observe is called with each response and the time it took.
func callAll(hosts []*runningHost, d time.Duration, observe ...func(r response, took time.Duration)) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i := range callersPerHost * len(hosts) {
		wg.Go(func() {
			defer GinkgoRecover()
			for n := 0; time.Now().Before(end); n++ {
				sentAt := time.Now()
				resp := hosts[i%len(hosts)].call("GET", "/v1/", "", "Hyssopreel-Attempt-Id", fmt.Sprintf("%d-%d", i, n))
				func() {
					mu.Lock()
					defer mu.Unlock() // also if observe fails the test, so that the other callers go on and the failure is reported
					statuses[resp.status]++
					for _, f := range observe {
						f(resp, time.Since(sentAt))
					}
				}()
			}
		})
	}
	wg.Wait()
	return statuses
}

var _ = Describe("Hosts before a server that names a rate limit", func() {
	var store *objects.Store
	BeforeEach(func() {
		store = objects.New()
		putConfig(store, 1)
	})

	// Guards against the LIMIT incident: all hosts together sent a server many times the requests that it had named.
	It("together send no more requests than the limit of the server", func() {
		limited, other := newLimitedBackend("i-1", "4"), newLimitedBackend("i-2", "")
		putServer(store, limited.backend, "ready")
		putServer(store, other.backend, "ready")
		hosts := startHosts(store, "a-1", "b-1", "c-1")
		statuses := callAll(hosts, limitGrace+limitWindow+time.Second)
		Expect(statuses).To(HaveLen(1))
		Expect(statuses).To(HaveKey(200))
		Expect(limited.mostInWindow()).To(And(BeNumerically("<=", 4*4+5), BeNumerically(">=", 4*4/2)))
		for _, h := range hosts {
			limits := h.fleetView().RateLimits
			Expect(limits).To(HaveLen(1), "every host knows the limit")
			Expect(limits[0]).To(And(HaveField("Server", "i-1"), HaveField("PerSecond", 4.0), HaveField("Owner", fleet.RendezvousOrder(fleetHosts(hosts), "i-1")[0].Name)))
		}
	})
	// Guards against two hosts that both grant a server's requests when one takes over from the other.
	It("stay within the limit when the host that grants its requests is stopped", func() {
		limited, other := newLimitedBackend("i-1", "4"), newLimitedBackend("i-2", "")
		putServer(store, limited.backend, "ready")
		putServer(store, other.backend, "ready")
		hosts := startHosts(store, "a-1", "b-1", "c-1")
		owner := fleet.RendezvousOrder(fleetHosts(hosts), limited.id)[0].Name
		remaining := slices.DeleteFunc(slices.Clone(hosts), func(h *runningHost) bool {
			if h.settings.Host.Name != owner {
				return false
			}
			time.AfterFunc(limitGrace+limitWindow/2, h.stop)
			return true
		})
		Expect(callAll(remaining, limitGrace+limitWindow+3*time.Second)).To(HaveLen(1))
		Expect(limited.mostInWindow()).To(BeNumerically("<=", 4*4+5))
		last := limited.arrivedAt()[len(limited.arrivedAt())-1]
		Expect(time.Since(last)).To(BeNumerically("<", 1500*time.Millisecond), "the next host grants requests")
	})

	// Guards against a server that is used less than it could be because its limit is never taken back.
	It("use the server again as before when it no longer names a limit", func() {
		limited, other := newLimitedBackend("i-1", "2"), newLimitedBackend("i-2", "")
		putServer(store, limited.backend, "ready")
		putServer(store, other.backend, "ready")
		hosts := startHosts(store, "a-1", "b-1", "c-1")
		callAll(hosts, time.Second)
		limited.limit.Store("")
		callAll(hosts, 2*time.Second)
		before := len(limited.arrivedAt())
		callAll(hosts, time.Second)
		Expect(len(limited.arrivedAt()) - before).To(BeNumerically(">", 30))
	})

	// Guards against callers that wait for nothing, and against a server that takes more than its limit because there is
	// no other one.
	It("refuse at once, with the time of the next chance, what no server takes", func() {
		limited := newLimitedBackend("i-1", "4")
		putServer(store, limited.backend, "ready")
		hosts := startHosts(store, "a-1", "b-1", "c-1")
		callAll(hosts, limitGrace)
		before := len(limited.arrivedAt())
		statuses := callAll(hosts, limitWindow, func(r response, took time.Duration) {
			if r.status == 503 {
				Expect(strconv.ParseFloat(r.header.Get("Retry-After"), 64)).To(BeNumerically(">=", 0.05))
				Expect(took).To(BeNumerically("<", 250*time.Millisecond))
			}
		})
		Expect(statuses).To(And(HaveLen(2), HaveKeyWithValue(503, BeNumerically(">", 0)), HaveKeyWithValue(200, BeNumerically(">=", 4*4/2))))
		Expect(len(limited.arrivedAt()) - before).To(And(Equal(statuses[200]), BeNumerically("<=", 4*4+5)))
	})

	// Guards against a header that is no number of requests: it must neither limit the server nor end its limit.
	It("ignore a limit that is no number", func() {
		broken := newLimitedBackend("i-1", "a few")
		putServer(store, broken.backend, "ready")
		hosts := startHosts(store, "a-1", "b-1", "c-1")
		Expect(callAll(hosts, time.Second)).To(And(HaveLen(1), HaveKeyWithValue(200, BeNumerically(">", 100))))
	})
})

// Guards against programs that are admitted because rate-limited servers look idle, while the others are overloaded and
// started programs fail.
func TestRateLimitedServersDoNotHideAnOverload(t *testing.T) {
	g := NewWithT(t)
	servers := ingress.NewServers(time.Now, nil)
	for _, id := range []string{"limited", "other"} {
		servers.Put(placement.Server{ID: id, Service: "s", Slots: 4})
	}
	limited, _ := servers.AcquireServer("limited")
	limited.RecordRateLimit(time.Now(), 200, ingress.ResponseMetadata{RateLimited: true, RateLimit: 1, HasServerStamp: true})
	for range 8 {
		servers.AcquireServer("other")
	}
	pressure := servers.Pressure("s")
	g.Expect(pressure.Requests).To(Equal(8.0))
	g.Expect(pressure.Slots).To(Equal(4))
	other, _ := servers.AcquireServer("other")
	other.RecordRateLimit(time.Now(), 200, ingress.ResponseMetadata{RateLimited: true, RateLimit: 1, HasServerStamp: true})
	g.Expect(servers.Pressure("s").Requests).To(Equal(10.0), "all servers are limited")
}
