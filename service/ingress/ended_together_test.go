package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

// rack is a group of servers that end together.
type rack struct {
	servers []*httptest.Server
	// reading is the number of requests that they have begun to run.
	reading atomic.Int32
}

// addServer adds a server that begins its responses and sends no event until the rack ends.
func (r *rack) addServer(h *testIngress, id string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.ReadAll(request.Body)
		w.Header().Set("Hyssopreel-Attempt-Id", request.Header.Get("Hyssopreel-Attempt-Id"))
		w.Header().Set(stampHeader, id)
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		r.reading.Add(1)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}))
	DeferCleanup(server.CloseClientConnections)
	r.servers = append(r.servers, server)
	h.servers.Put(placement.Server{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 1})
}

// end ends the servers at the same moment.
func (r *rack) end() {
	for _, server := range r.servers {
		_ = server.Listener.Close()
	}
	for _, server := range r.servers {
		server.CloseClientConnections()
	}
}

var _ = Describe("Servers that end at the same moment", func() {
	var h *testIngress
	// endUnder starts a rack of three servers, sends each a request with one of the bodies, and ends the rack.
	endUnder := func(path string, bodies ...string) {
		r := &rack{}
		for i := range bodies {
			r.addServer(h, fmt.Sprintf("i-%d", i))
		}
		var callers sync.WaitGroup
		for _, body := range bodies {
			callers.Go(func() {
				defer GinkgoRecover()
				h.call("POST", path, body)
			})
		}
		Eventually(r.reading.Load, "3s").Should(BeNumerically("==", len(bodies)))
		r.end()
		callers.Wait()
		h.servers.Put(placement.Server{ID: "sound", Service: "s", Address: newBackend("sound", func(w http.ResponseWriter, _ *http.Request, _ int) {
			streamEvents(w, 1, 2)
		}).address, Slots: 4})
	}
	BeforeEach(func() { h = newConfiguredIngress() })

	// Guards against the loss of all turns with a common system prompt, because a rack was lost while its servers read such
	// turns.
	It("are no evidence against a prompt that their requests have in common", func() {
		prompt := strings.Repeat("You help farmers to book a tanker. ", 20)
		endUnder("/fixed/", prompt+"one", prompt+"two", prompt+"three")
		Expect(h.call("POST", "/fixed/", prompt+"four").status).To(Equal(200))
	})

	// Guards against the refusal of a request that many callers send, because a rack was lost while its servers ran it.
	It("are no evidence against a request that several of them ran", func() {
		endUnder("/fixed/", "yes", "yes", "yes")
		Expect(h.call("POST", "/fixed/", "yes").status).To(Equal(200))
	})
})
