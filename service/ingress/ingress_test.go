package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/service/ingress"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ingress")
}

const stampHeader = "Hyssopreel-Server-Stamp"

// backend is a backend server that records its requests.
type backend struct {
	id      string
	address string
	mu      sync.Mutex
	// received holds the headers of the requests that it has started to handle.
	received []http.Header
}

func (b *backend) requests() []http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]http.Header{}, b.received...)
}

// newBackend starts a backend server whose responses carry the attempt ID and the server stamp. It calls h with the number
// of requests so far.
func newBackend(id string, h func(w http.ResponseWriter, r *http.Request, n int)) *backend {
	b := &backend{id: id}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Hyssopreel-Attempt-Id", r.Header.Get("Hyssopreel-Attempt-Id"))
		b.mu.Lock()
		b.received = append(b.received, r.Header.Clone())
		n := len(b.received)
		b.mu.Unlock()
		w.Header().Set(stampHeader, b.id)
		h(w, r, n)
	}))
	DeferCleanup(server.CloseClientConnections)
	b.address = server.Listener.Addr().String()
	return b
}

func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// streamEvents sends the events with the IDs first to last.
func streamEvents(w http.ResponseWriter, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

// fakeBudgets returns the same result for every reservation, and records the settlements.
type fakeBudgets struct {
	err         error
	reservation ingress.ReservationResult
	mu          sync.Mutex
	settled     []ingress.Usage
}

func (b *fakeBudgets) Reserve(context.Context, ingress.Reservation) (ingress.ReservationResult, error) {
	return b.reservation, b.err
}

func (b *fakeBudgets) Settle(_ ingress.Reservation, u ingress.Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settled = append(b.settled, u)
}

func (b *fakeBudgets) usages() []ingress.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]ingress.Usage{}, b.settled...)
}

func testTable(version uint64) *routing.Table {
	to := []routing.WeightedService{{Service: "s", Weight: 1}}
	return routing.NewTable(version, []routing.Route{
		{Name: "once", Host: "h", PathPrefix: "/once/", Kind: routing.NonIdempotent, Timeout: time.Second, Targets: to},
		{Name: "many", Host: "h", PathPrefix: "/many/", Kind: routing.Idempotent, Timeout: 2 * time.Second, FirstByteObjective: 40 * time.Millisecond, Targets: to},
		{Name: "turns", Host: "h", PathPrefix: "/turns/", Kind: routing.Stream, Timeout: 5 * time.Second, MaxServers: 1, Resumable: true, Targets: to},
		{Name: "turns2", Host: "h", PathPrefix: "/turns2/", Kind: routing.Stream, Timeout: 5 * time.Second, MaxServers: 2, Resumable: true, Targets: to},
		{Name: "fixed", Host: "h", PathPrefix: "/fixed/", Kind: routing.Stream, Timeout: 5 * time.Second, Targets: to},
	}, []routing.Service{{Name: "s", MaxConns: 100, Engine: &routing.Engine{TokensPerEvent: 10}}}, routing.Limits{MaxBodyBytes: 1000})
}

// testIngress is an ingress with its servers.
type testIngress struct {
	in      *ingress.Ingress
	servers *ingress.Servers
	budgets *fakeBudgets
	address string
}

func newTestIngress(backends ...*backend) *testIngress {
	h := &testIngress{servers: ingress.NewServers(time.Now, nil), budgets: &fakeBudgets{}}
	for _, b := range backends {
		h.servers.Put(placement.Server{ID: b.id, Service: "s", Address: b.address, Slots: 4})
	}
	h.serve(1 << 30)
	return h
}

// serve starts a new ingress whose process may use that much memory.
func (h *testIngress) serve(memoryLimitBytes int64) {
	h.in = ingress.New(ingress.Options{FailureDomain: "a", MemoryLimitBytes: memoryLimitBytes}, platform.HeaderCodec{}, h.servers, h.budgets, tally.NoopScope)
	server := &http.Server{Handler: h.in, ConnContext: ingress.ConnContext}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	h.address = listener.Addr().String()
}

// newConfiguredIngress returns an ingress in which testTable is in force.
func newConfiguredIngress(backends ...*backend) *testIngress {
	h := newTestIngress(backends...)
	h.in.SetTable(testTable(1), "test")
	return h
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends one request on a new connection; header holds pairs of names and values.
func (h *testIngress) call(method, path, body string, header ...string) response {
	req, err := http.NewRequest(method, "http://"+h.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	req.Header.Set("Hyssopreel-Attempt-Id", "a1")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

func echo(w http.ResponseWriter, r *http.Request, _ int) {
	b, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, b)
}

var _ = Describe("Ingress", func() {
	It("forwards method, path, query and body, and returns the response", func() {
		b := newBackend("i-1", echo)
		a := newConfiguredIngress(b).call("POST", "/once/x?q=%2F1", "body", "Hyssopreel-Deadline-Ms", "900", "Hyssopreel-Hold", "stolen")
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(Equal("POST /once/x?q=%2F1 body"))
		Expect(a.header.Get(stampHeader)).To(Equal("i-1"))
		got := b.requests()[0]
		Expect(got.Get("Hyssopreel-Expect-Instance")).To(Equal("i-1"))
		Expect(got.Get("Hyssopreel-Hold")).To(BeEmpty())
		Expect(got.Get("Hyssopreel-Deadline-Ms")).To(MatchRegexp(`^8\d\d$|^900$`))
	})

	// Guards against a permanent refusal, such as 404, by a host that has not received the configuration yet.
	It("answers 503 while it has no configuration", func() {
		a := newTestIngress().call("GET", "/once/", "")
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("ignores a configuration with a lower version", func() {
		h := newConfiguredIngress()
		h.in.SetTable(testTable(5), "test")
		h.in.SetTable(routing.NewTable(4, nil, nil, routing.Limits{}), "stale")
		Expect(h.call("GET", "/many/", "").status).To(Equal(503), "the route still exists, but has no server")
	})

	DescribeTable("rejects invalid input before it reaches a backend server",
		func(method, path, body string, status int, header ...string) {
			b := newBackend("i-1", echo)
			Expect(newConfiguredIngress(b).call(method, path, body, header...).status).To(Equal(status))
			Expect(b.requests()).To(BeEmpty())
		},
		Entry("no route", "GET", "/none/", "", 404),
		Entry("no attempt ID", "GET", "/many/", "", 400, "Hyssopreel-Attempt-Id", ""),
		Entry("header that cannot be decoded", "GET", "/many/", "", 400, "Hyssopreel-Token-Budget", "much"),
		Entry("body over the limit", "POST", "/once/", strings.Repeat("x", 1001), 413),
	)

	// Guards against request smuggling: a second request that is hidden in the body of another one.
	It("does not handle bytes that follow a chunked request on its connection", func() {
		b := newBackend("i-1", echo)
		c, err := net.Dial("tcp", newConfiguredIngress(b).address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nHyssopreel-Attempt-Id: a1\r\nContent-Length: 60\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /once/hidden HTTP/1.1\r\nHost: h\r\nHyssopreel-Attempt-Id: a2\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, _ = io.Copy(io.Discard, c)
		Expect(len(b.requests())).To(BeNumerically("<=", 1))
	})

	Describe("a non-idempotent request", func() {
		It("is sent to another server if the first one reports that it did not run it", func() {
			full := newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set("Hyssopreel-Not-Executed", "1")
				w.WriteHeader(503)
			})
			good := newBackend("i-2", echo)
			Expect(newConfiguredIngress(full, good).call("POST", "/once/", "").status).To(Equal(200))
		})

		It("is not sent again after a connection reset, and fails with 502 because its outcome is unknown", func() {
			b := newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) { resetConnection(w) })
			other := newBackend("i-2", func(w http.ResponseWriter, _ *http.Request, _ int) { resetConnection(w) })
			Expect(newConfiguredIngress(b, other).call("GET", "/once/", "").status).To(Equal(502))
			Expect(len(b.requests()) + len(other.requests())).To(Equal(1))
		})

		It("fails with 504 when the timeout of its route ends", func() {
			b := newBackend("i-1", func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
			began := time.Now()
			Expect(newConfiguredIngress(b).call("POST", "/once/", "").status).To(Equal(504))
			Expect(time.Since(began)).To(BeNumerically("~", time.Second, 400*time.Millisecond))
		})

		It("is refused with 503 and Retry-After if there is no server", func() {
			a := newConfiguredIngress().call("POST", "/once/", "")
			Expect(a.status).To(Equal(503))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		})
	})

	Describe("an idempotent request", func() {
		// Guards against callers that wait for a server that never responds.
		It("is hedged when the first server does not respond", func() {
			silent := newBackend("i-1", func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
			good := newBackend("i-2", echo)
			h := newConfiguredIngress(silent, good)
			for range 6 {
				began := time.Now()
				Expect(h.call("GET", "/many/", "").status).To(Equal(200))
				Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			}
		})

		DescribeTable("is sent to another server after a failed or invalid response",
			func(bad func(w http.ResponseWriter, r *http.Request, n int)) {
				spoiled, good := newBackend("i-1", bad), newBackend("i-2", echo)
				h := newConfiguredIngress(spoiled, good)
				for range 4 {
					a := h.call("GET", "/many/", "")
					Expect(a.status).To(Equal(200))
					Expect(a.header.Get(stampHeader)).To(Equal("i-2"))
				}
			},
			Entry("reset", func(w http.ResponseWriter, _ *http.Request, _ int) { resetConnection(w) }),
			Entry("no server stamp", func(w http.ResponseWriter, _ *http.Request, _ int) { w.Header().Del(stampHeader) }),
			Entry("encoded body", func(w http.ResponseWriter, _ *http.Request, _ int) { w.Header().Set("Content-Encoding", "gzip") }),
			Entry("truncated body", func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "half")
				panic(http.ErrAbortHandler)
			}),
			Entry("status 500", func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(500) }),
		)
	})

	Describe("a stream", func() {
		It("is passed on and settled by the number of its events", func() {
			b := newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 3) })
			h := newConfiguredIngress(b)
			a := h.call("POST", "/turns/", "", "Hyssopreel-Token-Budget", "900", "Hyssopreel-Token-Count", "100,50", "Hyssopreel-Program-Id", "p")
			Expect(strings.Count(a.body, "id:")).To(Equal(3))
			Expect(h.budgets.usages()).To(Equal([]ingress.Usage{{DeliveredTokens: 30, CacheServer: "i-1", CachedTokens: 130}}))
		})

		// Guards against events that the caller receives twice, or not at all, when a stream breaks off within an event.
		It("resumes after the last whole event when the connection is reset", func() {
			b := newBackend("i-1", func(w http.ResponseWriter, r *http.Request, n int) {
				if n == 1 {
					streamEvents(w, 1, 2)
					_, _ = io.WriteString(w, "id: 3\nda")
					_ = http.NewResponseController(w).Flush()
					resetConnection(w)
					return
				}
				Expect(r.Header.Get("Last-Event-Id")).To(Equal("2"))
				streamEvents(w, 3, 4)
			})
			a := newConfiguredIngress(b).call("POST", "/turns/", "")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"))
		})

		It("fails if the server restarts it from the first event instead of resuming it", func() {
			b := newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, n int) {
				streamEvents(w, 1, 2)
				if n == 1 {
					resetConnection(w)
				}
			})
			a := newConfiguredIngress(b).call("POST", "/turns/", "")
			Expect(a.err).To(HaveOccurred())
			Expect(a.body).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
		})

		// Guards against a server that accepts connections and resets them: it looks idle, and without outlier detection
		// every stream was sent to it four times and failed. The route allows one server, so that the streams that cause
		// the ejection fail.
		It("fails on a server that resets every connection only until that server is ejected", func() {
			bad := newBackend("a", func(w http.ResponseWriter, _ *http.Request, _ int) { resetConnection(w) })
			good := newBackend("b", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 3) })
			h := newConfiguredIngress(bad, good)
			failed := 0
			for range 40 {
				if h.call("POST", "/turns/", "").status != 200 {
					failed++
				}
			}
			Expect(failed).To(BeNumerically("<=", 1))
			Expect(len(bad.requests())).To(BeNumerically("<=", 2))
		})

		// Guards against a stream that is executed by more servers than its route allows.
		It("passes a 5xx response on, unless the route allows a second server", func() {
			fails := func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(500) }
			a, b := newBackend("a", fails), newBackend("b", fails)
			h := newConfiguredIngress(a, b)
			Expect(h.call("POST", "/turns/", "").status).To(Equal(500))
			Expect(len(a.requests()) + len(b.requests())).To(Equal(1))
			good := newBackend("c", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 3) })
			two := newConfiguredIngress(newBackend("d", fails), good)
			for range 10 {
				Expect(two.call("POST", "/turns2/", "").status).To(Equal(200))
			}
		})

		It("that must not be resumed ends with an error when it breaks off", func() {
			b := newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) {
				streamEvents(w, 1, 2)
				resetConnection(w)
			})
			a := newConfiguredIngress(b).call("POST", "/fixed/", "")
			Expect(a.err).To(HaveOccurred())
			Expect(b.requests()).To(HaveLen(1))
		})

		It("is canceled at the server when the caller closes its connection", func() {
			left := make(chan struct{})
			b := newBackend("i-1", func(w http.ResponseWriter, r *http.Request, _ int) {
				streamEvents(w, 1, 1)
				<-r.Context().Done()
				close(left)
			})
			c, err := net.Dial("tcp", newConfiguredIngress(b).address)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(c, "POST /turns/ HTTP/1.1\r\nHost: h\r\nHyssopreel-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			_, err = bufio.NewReader(c).ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Close()).To(Succeed())
			Eventually(left, "2s").Should(BeClosed())
		})

		It("is refused with 402 if the program's budget is exhausted, and reaches no server", func() {
			b := newBackend("i-1", echo)
			h := newConfiguredIngress(b)
			h.budgets.err = ingress.ErrBudgetExhausted
			a := h.call("POST", "/turns/", "", "Hyssopreel-Token-Budget", "900")
			Expect(a.status).To(Equal(402))
			Expect(b.requests()).To(BeEmpty())
		})
	})

	// Guards against a burst of new programs: the engines have more turns than they complete before the callers time out.
	Describe("while the engines are overloaded", func() {
		var h *testIngress
		b := func() *backend {
			return newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 1) })
		}
		turn := []string{"Hyssopreel-Token-Budget", "900", "Hyssopreel-Token-Count", "100,50", "Hyssopreel-Program-Id", "p"}

		BeforeEach(func() {
			h = newConfiguredIngress(b())
			h.servers.SetHostCount(2)
			h.servers.SetHostLoad("b", map[string]int{"i-1": 40}, time.Now())
		})

		It("refuses the first turn of a program at once, with Retry-After", func() {
			h.budgets.reservation = ingress.ReservationResult{Home: "a"}
			a := h.call("POST", "/turns/", "", turn...)
			Expect(a.status).To(Equal(503))
			wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(wait).To(And(BeNumerically(">=", 0.1), BeNumerically("<=", 1.3)))
			Expect(h.budgets.usages()).To(Equal([]ingress.Usage{{}}))
		})

		It("serves later turns of a program, and turns without a home that records whether they are the first", func() {
			h.budgets.reservation = ingress.ReservationResult{Home: "a", CacheServer: "i-1", CachedTokens: 50}
			Expect(h.call("POST", "/turns/", "", turn...).status).To(Equal(200))
			Expect(h.call("POST", "/turns/", "", "Hyssopreel-Program-Id", "q").status).To(Equal(200))
		})
	})

	It("closes connections after their next response while it drains", func() {
		b := newBackend("i-1", echo)
		h := newConfiguredIngress(b)
		h.in.Drain()
		c, err := net.Dial("tcp", h.address)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nHyssopreel-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(And(HavePrefix("HTTP/1.1 200"), ContainSubstring("Connection: close")))
	})
})

var _ = Describe("Servers", func() {
	var now time.Time
	var servers *ingress.Servers
	info := placement.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 1}
	query := ingress.PlacementQuery{Service: "s", MaxConns: 20}
	acquire := func() *ingress.AcquiredServer { return servers.Acquire(query, placement.DefaultPolicy()) }

	BeforeEach(func() {
		now = time.Now()
		servers = ingress.NewServers(func() time.Time { return now }, nil)
		servers.Put(info)
	})

	It("acquires no server that is draining or removed", func() {
		leaving := info
		leaving.Draining = true
		servers.Put(leaving)
		Expect(acquire()).To(BeNil())
		servers.Put(info)
		servers.Remove("i-1", "test")
		Expect(acquire()).To(BeNil())
	})

	// Guards against refusing all requests because entries expired during an outage of the store.
	It("uses servers whose entries are missing after an outage for two more seconds", func() {
		servers.Replace(nil, true)
		now = now.Add(1900 * time.Millisecond)
		Expect(acquire()).NotTo(BeNil())
		now = now.Add(200 * time.Millisecond)
		Expect(acquire()).To(BeNil())
		servers.Replace(nil, false)
		Expect(servers.CountAvailable("s")).To(BeZero())
	})

	It("keeps a server whose missing entry is put again", func() {
		servers.Replace(nil, true)
		servers.Put(info)
		now = now.Add(5 * time.Second)
		servers.Sweep()
		Expect(acquire()).NotTo(BeNil())
	})

	It("ejects a server that accepts no connections, and uses it again after the ejection time", func() {
		acquire().RecordConnectFailure(io.ErrUnexpectedEOF)
		Expect(acquire()).To(BeNil())
		now = now.Add(2 * time.Second)
		Expect(acquire()).NotTo(BeNil())
	})

	It("does not use a server for a short time after it refused a request as full", func() {
		acquire().MarkFull()
		Expect(acquire()).To(BeNil())
		now = now.Add(100 * time.Millisecond)
		Expect(acquire()).NotTo(BeNil())
	})

	// Guards against connection resets because all hosts together open more connections than a server accepts.
	It("divides the connections that a server accepts among the hosts", func() {
		servers.SetHostCount(4)
		for range 4 {
			Expect(acquire()).NotTo(BeNil())
		}
		Expect(acquire()).To(BeNil())
	})

	It("dispatches a waiting request when a server is released", func() {
		servers.SetHostCount(8)
		first, second := acquire(), acquire()
		Expect(second).NotTo(BeNil())
		got := make(chan *ingress.AcquiredServer)
		go func() { got <- servers.WaitForServer(context.Background(), query, 0, 5*time.Second) }()
		Consistently(got, "50ms").ShouldNot(Receive())
		first.Release()
		Eventually(got).Should(Receive(Not(BeNil())))
	})

	It("stops waiting when the queue timeout ends", func() {
		servers.Remove("i-1", "test")
		Expect(servers.WaitForServer(context.Background(), query, 0, 10*time.Millisecond)).To(BeNil())
	})

	It("counts the active requests of other hosts at a server", func() {
		servers.SetHostCount(2)
		servers.Put(placement.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:80", Slots: 4})
		servers.SetHostLoad("b", map[string]int{"i-1": 3}, now)
		for range 2 {
			Expect(acquire().ID()).To(Equal("i-2"))
		}
	})

	// Guards against hosts of a large fleet, whose heartbeats are seconds apart, that all send their requests to the
	// servers that were idle at the last heartbeat.
	It("spreads the active requests of an old heartbeat evenly over the servers", func() {
		servers.SetHostCount(64)
		servers.Put(placement.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 16, FailureDomain: "near"})
		servers.Put(placement.Server{ID: "i-2", Service: "s", Address: "10.0.0.2:80", Slots: 16, FailureDomain: "far"})
		turn := query
		turn.Request.FailureDomain = "near"
		choose := func() string { return servers.Acquire(turn, placement.DefaultPolicy()).ID() }
		servers.SetHostLoad("b", map[string]int{"i-1": 8}, now)
		Expect(choose()).To(Equal("i-2"))
		now = now.Add(1500 * time.Millisecond)
		Expect(choose()).To(Equal("i-1"))
	})

	// Guards against an estimate that drops the requests of other hosts between two of their heartbeats.
	It("counts the requests of all hosts between heartbeats of a large fleet", func() {
		servers.SetHostCount(64)
		servers.SetHostLoad("b", map[string]int{"i-1": 8}, now)
		now = now.Add(1500 * time.Millisecond)
		Expect(servers.Pressure("s").Requests).To(BeNumerically("~", 8, 0.01))
	})
})

var _ = Describe("A connection in use again", func() {
	// Guards against a second copy of an answer that a server sends late and without the attempt ID: the next caller would
	// get it as its own.
	It("does not give a caller an answer without its attempt ID", func() {
		h := newConfiguredIngress(newConnBackend("i-1", func(c net.Conn, r *bufio.Reader) {
			for n := 0; ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				id := "Hyssopreel-Attempt-Id: " + req.Header.Get("Hyssopreel-Attempt-Id") + "\r\n"
				if n > 0 {
					id = "" // the late copy arrives where the next answer is expected
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: i-1\r\nContent-Length: 5\r\n\r\nfirst", id, stampHeader)
			}
		}))
		Expect(h.call("POST", "/once/", "", "Hyssopreel-Attempt-Id", "a1").body).To(Equal("first"))
		Expect(h.call("POST", "/once/", "", "Hyssopreel-Attempt-Id", "a2").status).To(BeElementOf(502, 504))
	})
})
