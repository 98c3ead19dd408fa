package ingress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/service/verdicts"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

// startMortalServer starts a server that ends when it begins to run a request with the deadly body.
func startMortalServer(id string) *backend {
	b := &backend{id: id}
	var server *httptest.Server
	var ended sync.Once
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set("Hyssopreel-Attempt-Id", r.Header.Get("Hyssopreel-Attempt-Id"))
		w.Header().Set(stampHeader, id)
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		ended.Do(func() {
			_ = server.Listener.Close()
			go server.CloseClientConnections() // waits for this handler
		})
		panic(http.ErrAbortHandler)
	}))
	DeferCleanup(server.CloseClientConnections)
	b.address = server.Listener.Addr().String()
	return b
}

var _ = Describe("A request that ends servers", func() {
	var h *testIngress
	var last *backend
	// sendTo sends the deadly request while b is the only server, and returns the status.
	sendTo := func(path string, b *backend, header ...string) int {
		if last != nil {
			h.servers.Remove(last.id, "test")
		}
		last = b
		h.servers.Put(placement.Server{ID: b.id, Service: "s", Address: b.address, Slots: 4})
		return h.call("POST", path, deadlyBody, header...).status
	}
	BeforeEach(func() {
		h, last = newConfiguredIngress(), nil
	})

	// Guards against a request that ends one server after the other, without end, because a server in trouble has answered
	// it with an error in between: such an answer does not show that the request was run.
	DescribeTable("is refused although a server has answered it with an error in between",
		func(path string, status int) {
			budget := []string{"Hyssopreel-Token-Budget", "900", "Hyssopreel-Program-Id", "p"}
			failing := newBackend("failing", func(w http.ResponseWriter, r *http.Request, _ int) {
				_, _ = io.ReadAll(r.Body)
				w.WriteHeader(status)
			})
			Expect(sendTo(path, startMortalServer("i-1"), budget...)).NotTo(Equal(503))
			Expect(sendTo(path, failing, budget...)).To(Equal(status))
			Expect(sendTo(path, startMortalServer("i-2"), budget...)).NotTo(Equal(503))
			untouched := newBackend("i-3", echo)
			Expect(sendTo(path, untouched, budget...)).To(Equal(503))
			Expect(untouched.requests()).To(BeEmpty())
		},
		Entry("stream, status 500", "/fixed/", 500),
		Entry("stream, status 404", "/fixed/", 404),
		Entry("plain request, status 500", "/once/", 500),
	)

	// Guards against a bystander that is refused, because it was sent to two servers which ended for other reasons and ran
	// to its end in between. It has no budget: only turns with one were cleared.
	It("is not refused if it has run to its end in between, until it ends servers again", func() {
		complete := func(id string) *backend {
			return newBackend(id, func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 2) })
		}
		Expect(sendTo("/fixed/", startMortalServer("i-1"))).NotTo(Equal(503))
		Expect(sendTo("/fixed/", complete("i-2"))).To(Equal(200))
		Expect(sendTo("/fixed/", startMortalServer("i-3"))).NotTo(Equal(503))
		Expect(sendTo("/fixed/", complete("i-4"))).To(Equal(200))
		Expect(sendTo("/fixed/", startMortalServer("i-5"))).NotTo(Equal(503))
		Expect(sendTo("/fixed/", startMortalServer("i-6"))).NotTo(Equal(503))
		Expect(sendTo("/fixed/", complete("i-7"))).To(Equal(503))
	})
})

var _ = Describe("Hosts that have refused a request that ends servers", func() {
	// Guards against the loss of the verdict when all hosts are killed at the same moment: the request then ends servers as
	// if it had never come before.
	It("refuse it after all of them were replaced", func() {
		store := objects.New()
		putConfig(store, 1)
		servers := startMortalServers(store, 6)
		hosts := startHosts(store, "a-1", "b-1")
		Eventually(func() int { return hosts[0].call("POST", "/turns/ok", "ok").status }, "3s").Should(Equal(200))
		Eventually(func() int {
			return hosts[0].call("POST", "/turns/x", deadlyBody, "Hyssopreel-Attempt-Id", "d").status
		}, "10s").Should(Equal(503))
		Eventually(func() []string { return store.Names(verdicts.Kind) }, "5s").ShouldNot(BeEmpty())
		runs := servers.runs("/turns/x")
		for _, h := range hosts {
			h.stop()
		}
		for _, h := range hosts {
			Eventually(h.done, "15s").Should(Receive(BeNil()))
			h.done <- nil // for the cleanup
		}
		late := startHost(store, "c-1")
		DeferCleanup(late.stop)
		Eventually(late.ready, "10s").Should(BeTrue())
		Expect(late.call("POST", "/turns/x", deadlyBody, "Hyssopreel-Attempt-Id", "late").status).To(Equal(503))
		Expect(servers.runs("/turns/x")).To(Equal(runs))
	})
})
