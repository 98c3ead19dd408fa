package ingress_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

var _ = Describe("A stream that breaks off at a server without an entry", func() {
	whole := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"
	rest := func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 3, 4) }

	// Guards against a stream that two servers work on at the same time: the entry of a server that leaves is removed some
	// seconds before the server ends.
	It("goes on at that server as long as it accepts connections", func() {
		var h *testIngress
		other := newBackend("i-2", rest)
		leaving := newBackend("i-1", func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 {
				streamEvents(w, 1, 2)
				h.servers.Remove("i-1", "test")
				h.servers.Put(placement.Server{ID: other.id, Service: "s", Address: other.address, Slots: 4})
				resetConnection(w)
				return
			}
			rest(w, r, n)
		})
		h = newConfiguredIngress(leaving)
		a := h.call("POST", "/turns/", "")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(whole))
		Expect(other.requests()).To(BeEmpty())
		Expect(leaving.requests()).To(HaveLen(2))
		Expect(leaving.requests()[1].Get("Last-Event-Id")).To(Equal("2"))
	})

	// Guards against a request at a server that left long ago, and against two servers that work on one stream.
	It("ends if the entry was removed long ago", func() {
		var h *testIngress
		other := newBackend("i-2", rest)
		leaving := newBackend("i-1", func(w http.ResponseWriter, r *http.Request, n int) {
			if n > 1 {
				rest(w, r, n)
				return
			}
			streamEvents(w, 1, 2)
			h.servers.Remove("i-1", "test")
			h.servers.Put(placement.Server{ID: other.id, Service: "s", Address: other.address, Slots: 4})
			time.Sleep(1100 * time.Millisecond) // more than half of the 2 s in which it may get requests
			resetConnection(w)
		})
		h = newConfiguredIngress(leaving)
		Expect(h.call("POST", "/turns/", "").err).To(HaveOccurred())
		Expect(leaving.requests()).To(HaveLen(1))
		Expect(other.requests()).To(BeEmpty())
	})

	// Guards against streams that are lost with a server although another one may go on with them.
	It("goes on at another server if it refuses connections", func() {
		var h *testIngress
		var server *httptest.Server
		var once sync.Once
		other := newBackend("i-2", rest)
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Hyssopreel-Attempt-Id", r.Header.Get("Hyssopreel-Attempt-Id"))
			w.Header().Set(stampHeader, "i-1")
			streamEvents(w, 1, 2)
			once.Do(func() { _ = server.Listener.Close() })
			h.servers.Remove("i-1", "test")
			h.servers.Put(placement.Server{ID: other.id, Service: "s", Address: other.address, Slots: 4})
			resetConnection(w)
		}))
		DeferCleanup(server.CloseClientConnections)
		h = newConfiguredIngress(&backend{id: "i-1", address: server.Listener.Addr().String()})
		a := h.call("POST", "/turns/", "")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(whole))
	})
})

// listenWithoutBacklog returns a listener at which the kernel keeps few connections that are not accepted.
func listenWithoutBacklog() net.Listener {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(unix.Listen(fd, 0)).To(Succeed())
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener
}

// fillBacklog opens connections that are not accepted until no other one can be opened.
func fillBacklog(address string) {
	for range 64 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return
		}
		DeferCleanup(c.Close)
	}
	Fail("the kernel keeps connections without end")
}

var _ = Describe("A stream that breaks off at a server that accepts no more connections", func() {
	// Guards against a stream that two servers work on: a connection that cannot be opened in time doesn't show that the
	// server has ended.
	It("doesn't go on at another server", func() {
		var h *testIngress
		other := newBackend("i-2", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 3, 4) })
		listener := listenWithoutBacklog()
		address := listener.Addr().String()
		go func() {
			defer GinkgoRecover()
			c, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			_, err = http.ReadRequest(bufio.NewReader(c))
			Expect(err).NotTo(HaveOccurred())
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHyssopreel-Attempt-Id: a1\r\n%s: i-1\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n", stampHeader)
			fillBacklog(address)
			h.servers.Put(placement.Server{ID: other.id, Service: "s", Address: other.address, Slots: 4})
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}()
		h = newConfiguredIngress(&backend{id: "i-1", address: address})
		Expect(h.call("POST", "/turns/", "").err).To(HaveOccurred())
		Expect(other.requests()).To(BeEmpty())
	})
})

var _ = Describe("A stream that breaks off twice before its first event", func() {
	// Guards against streams that are lost with a server that has ended, because they may not be resumed there once more.
	It("goes on at another server if the first one refuses connections", func() {
		var h *testIngress
		var server *httptest.Server
		var requests atomic.Int32
		other := newBackend("i-2", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 2) })
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if requests.Add(1) == 2 {
				time.Sleep(150 * time.Millisecond) // a connection that shows whether the server has ended counts for 100 ms
				_ = server.Listener.Close()
				h.servers.Put(placement.Server{ID: other.id, Service: "s", Address: other.address, Slots: 4})
			}
			resetConnection(w)
		}))
		DeferCleanup(server.CloseClientConnections)
		h = newConfiguredIngress(&backend{id: "i-1", address: server.Listener.Addr().String()})
		a := h.call("POST", "/turns/", "")
		Expect(a.status).To(Equal(200))
		Expect(requests.Load()).To(Equal(int32(2)))
	})
})

var _ = Describe("A server that ends and starts again under its ID at once", func() {
	// Guards against ends of servers that don't count, because the next start is taken for a planned one, or accepts the
	// connection that shows whether the server has ended.
	It("counts as ended by the request that it ran", func() {
		var h *testIngress
		starts := int64(1)
		var server *backend
		put := func() {
			h.servers.Put(placement.Server{ID: server.id, Service: "s", Address: server.address, Slots: 4, StartedAtMS: starts})
		}
		server = newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			starts++
			put()
			resetConnection(w)
		})
		h = newConfiguredIngress()
		put()
		Expect(h.call("POST", "/fixed/", "body").status).NotTo(Equal(503))
		Expect(h.call("POST", "/fixed/", "body").status).NotTo(Equal(503))
		Expect(h.call("POST", "/fixed/", "body").status).To(Equal(503))
		Expect(server.requests()).To(HaveLen(2))
	})
})
