package ingress_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

// metrics returns the page of the host's metrics.
func (r *runningHost) metrics() string {
	resp, err := http.Get("http://" + r.settings.Listen.Metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

var _ = Describe("A server whose responses say that it leaves", func() {
	const leavingHeader = "Server-Leaving"

	// Guards against requests to a server that leaves: its responses say so before its entry does.
	DescribeTable("gets no new requests",
		func(path string, status int) {
			leaving := newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set(leavingHeader, "1")
				if status != 200 {
					w.Header().Set("Hyssopreel-Not-Executed", "1")
					w.WriteHeader(status)
					return
				}
				streamEvents(w, 1, 2)
			})
			staying := newBackend("i-2", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 2) })
			h := newConfiguredIngress(leaving)
			h.call("POST", path, "")
			h.servers.Put(placement.Server{ID: staying.id, Service: "s", Address: staying.address, Slots: 4})
			time.Sleep(100 * time.Millisecond) // a server that refused a request as full gets none for 60 ms
			before := len(leaving.requests())
			for range 20 {
				Expect(h.call("POST", path, "").status).To(Equal(200))
			}
			Expect(leaving.requests()).To(HaveLen(before))
		},
		Entry("stream", "/turns/", 200),
		Entry("plain", "/once/", 200),
		Entry("stream that was not run", "/turns/", 503),
		Entry("plain request that was not run", "/once/", 503),
	)

	// Guards against a host that is cut off from the store and sends requests to a server that has left, because only
	// another host has had a response of the server.
	It("gets no new requests of other hosts, also while the store is unavailable", func() {
		store := objects.New()
		putConfig(store, 1)
		var isLeaving atomic.Bool
		serve := func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 2) }
		leaving := newBackend("i-1", func(w http.ResponseWriter, r *http.Request, n int) {
			if isLeaving.Load() {
				w.Header().Set(leavingHeader, "1")
			}
			serve(w, r, n)
		})
		staying := newBackend("i-2", serve)
		putServer(store, leaving, "ready")
		putServer(store, staying, "ready")
		hosts := startHosts(store, "a-1", "b-1")
		for _, h := range hosts {
			h.gate.closed.Store(true)
		}
		isLeaving.Store(true)
		// The choice of a server is random.
		for before := len(leaving.requests()); len(leaving.requests()) == before; {
			hosts[0].call("POST", "/turns/ok", "")
		}
		Eventually(hosts[1].metrics, "2s").Should(MatchRegexp(`(?m)^hyssopreel_leaving_servers\S* 1$`), "it is told")
		before := len(leaving.requests())
		for range 20 {
			Expect(hosts[1].call("POST", "/turns/ok", "").status).To(Equal(200))
		}
		Expect(leaving.requests()).To(HaveLen(before))
	})
})
