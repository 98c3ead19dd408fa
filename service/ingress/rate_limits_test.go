package ingress_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	limitWindow = 4 * time.Second
	// limitGrace is the time after a server first named a limit from which it binds.
	limitGrace = 3 * time.Second
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

// startHosts starts hosts with these names and waits until all of them are in the directory.
func startHosts(store *objects.Store, names ...string) []*runningHost {
	var hosts []*runningHost
	for _, name := range names {
		hosts = append(hosts, startHost(store, name))
	}
	DeferCleanup(func() {
		for _, h := range hosts {
			h.stop()
		}
	})
	for _, h := range hosts {
		Eventually(h.ready, "5s").Should(BeTrue())
		Eventually(h.directory, "5s").Should(HaveLen(len(names)))
	}
	return hosts
}

// callAll sends requests through all hosts at once, with a pause after each, and counts the responses by status.
func callAll(hosts []*runningHost, d, pause time.Duration) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i, h := range hosts {
		wg.Go(func() {
			defer GinkgoRecover()
			for n := 0; time.Now().Before(end); n++ {
				status := h.call("GET", "/v1/", "", "Hyssopreel-Attempt-Id", fmt.Sprintf("%d-%d", i, n)).status
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(pause)
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
		statuses := callAll(hosts, limitGrace+limitWindow+time.Second, 10*time.Millisecond)
		Expect(statuses).To(HaveLen(1))
		Expect(statuses).To(HaveKey(200))
		Expect(limited.mostInWindow()).To(And(BeNumerically("<=", 4*4+5), BeNumerically(">=", 1)))
	})
})
