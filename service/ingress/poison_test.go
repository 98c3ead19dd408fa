package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

// deadlyBody is the body of a request that ends the servers that begin to run it.
const deadlyBody = "ends servers"

// mortalServers are servers that end when they begin to run a deadly request. Each comes back as a new lifetime after
// serverAbsence.
type mortalServers struct {
	store *objects.Store

	mu      sync.Mutex
	started int
	// deadlyRuns counts the runs of deadly requests by path.
	deadlyRuns map[string]int
	running    []*httptest.Server
	stopped    bool
}

const serverAbsence = 700 * time.Millisecond

func startMortalServers(store *objects.Store, n int) *mortalServers {
	m := &mortalServers{store: store, deadlyRuns: map[string]int{}}
	for range n {
		m.start()
	}
	DeferCleanup(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.stopped = true
		for _, s := range m.running {
			s.CloseClientConnections()
		}
	})
	return m
}

func (m *mortalServers) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.started++
	id := fmt.Sprintf("i-%d", m.started)
	var server *httptest.Server
	var ended sync.Once
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Hyssopreel-Attempt-Id", r.Header.Get("Hyssopreel-Attempt-Id"))
		w.Header().Set(stampHeader, id)
		if string(body) != deadlyBody {
			streamEvents(w, 1, 2)
			time.Sleep(30 * time.Millisecond)
			streamEvents(w, 3, 3)
			return
		}
		m.mu.Lock()
		m.deadlyRuns[r.URL.Path]++
		m.mu.Unlock()
		streamEvents(w, 1, 0)
		_ = http.NewResponseController(w).Flush()
		ended.Do(func() {
			_ = server.Listener.Close()
			go server.CloseClientConnections() // waits for this handler
			time.AfterFunc(serverAbsence, func() {
				m.store.Delete(platform.KindServers, id)
				m.start()
			})
		})
		panic(http.ErrAbortHandler) // ends the response without its last chunk
	}))
	m.running = append(m.running, server)
	putServer(m.store, &backend{id: id, address: server.Listener.Addr().String()}, "ready")
}

func (m *mortalServers) runs(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deadlyRuns[path]
}

var _ = Describe("Hosts before servers that a request ends", func() {
	// Guards against the BUDGET incident: a request that ended three servers was sent to all the others too, again and
	// again, and nobody else was served.
	It("send it to few servers, whoever sends it to which host, and serve the others", func() {
		store := objects.New()
		putConfig(store, 1)
		servers := startMortalServers(store, 9)
		hosts := startHosts(store, "a-1", "b-1", "c-1")
		Eventually(func() int { return hosts[2].call("POST", "/turns/ok", "ok").status }, "3s").Should(Equal(200))

		end := time.Now().Add(6 * time.Second)
		var wg sync.WaitGroup
		var mu sync.Mutex
		var lastDeadly response
		served, failed := 0, 0
		for i := range 6 {
			wg.Go(func() {
				defer GinkgoRecover()
				for n := 0; time.Now().Before(end); n++ {
					r := hosts[n%3].call("POST", "/turns/ok", fmt.Sprintf("%d-%d", i, n), "Hyssopreel-Attempt-Id", fmt.Sprintf("o%d-%d", i, n))
					mu.Lock()
					if r.status == 200 && r.err == nil && strings.Contains(r.body, "id: 3") {
						served++
					} else {
						failed++
					}
					mu.Unlock()
				}
			})
		}
		for n := 0; time.Now().Before(end); n++ {
			lastDeadly = hosts[n%3].call("POST", "/turns/x", deadlyBody, "Hyssopreel-Attempt-Id", fmt.Sprintf("d%d", n), "Hyssopreel-Program-Id", fmt.Sprintf("p%d", n))
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		Expect(servers.runs("/turns/x")).To(BeNumerically("<=", 3+3), "the third server and three retries")
		Expect(lastDeadly.status).To(Equal(503))
		Expect(lastDeadly.header.Get("Retry-After")).To(BeEmpty())
		for _, h := range hosts {
			Expect(h.fleetView().Quarantined).NotTo(BeEmpty(), "every host knows the request")
		}
		runsBefore := servers.runs("/turns/x")
		late := startHost(store, "a-2")
		DeferCleanup(late.stop)
		Eventually(late.ready, "5s").Should(BeTrue())
		Expect(late.call("POST", "/turns/x", deadlyBody, "Hyssopreel-Attempt-Id", "late").status).To(Equal(503))
		Expect(servers.runs("/turns/x")).To(Equal(runsBefore), "a host that starts knows the request before it serves")
		Expect(float64(served) / float64(served+failed)).To(BeNumerically(">=", 0.97))
	})
})
