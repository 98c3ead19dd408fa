package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

const (
	// endlessChunk is one piece of the bytes that a faulty server sends without end, at most endlessBytes for each request.
	endlessChunk = 16 << 10
	endlessBytes = 1 << 30
)

// newRawBackend starts a backend server that answers each request with the raw bytes that respond writes, and then closes
// the connection. respond gets the attempt ID.
func newRawBackend(id string, respond func(c net.Conn, attempt string)) *backend {
	return newConnBackend(id, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		respond(c, req.Header.Get("Hyssopreel-Attempt-Id"))
	})
}

// newConnBackend starts a backend server that calls serve for each connection, and then closes the connection.
func newConnBackend(id string, serve func(c net.Conn, r *bufio.Reader)) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return &backend{id: id, address: l.Addr().String()}
}

// writeWithoutEnd writes the text again and again until the peer closes the connection.
func writeWithoutEnd(c net.Conn, text string) {
	piece := []byte(strings.Repeat(text, endlessChunk/len(text)+1))
	for range endlessBytes / len(piece) {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
}

func responseHead(attempt, server string, more ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHyssopreel-Attempt-Id: %s\r\n%s: %s\r\n%s\r\n", attempt, stampHeader, server, strings.Join(more, ""))
}

// endlessFaults are the answers of a server in trouble that never end, by name.
var endlessFaults = map[string]func(c net.Conn, attempt string){
	"bytes that are no answer": func(c net.Conn, _ string) { writeWithoutEnd(c, "\x00\xff") },
	"a header line": func(c net.Conn, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Fill: ")
		writeWithoutEnd(c, "x")
	},
	"header lines": func(c net.Conn, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		writeWithoutEnd(c, "X-Fill: x\r\n")
	},
	"informational answers": func(c net.Conn, _ string) { writeWithoutEnd(c, "HTTP/1.1 103 Early Hints\r\n\r\n") },
	"a body without a length": func(c net.Conn, attempt string) {
		_, _ = io.WriteString(c, responseHead(attempt, "bad", "Connection: close\r\n"))
		writeWithoutEnd(c, "x")
	},
	"a chunk size": func(c net.Conn, attempt string) {
		_, _ = io.WriteString(c, responseHead(attempt, "bad", "Transfer-Encoding: chunked\r\n"))
		writeWithoutEnd(c, "0")
	},
	"chunks": func(c net.Conn, attempt string) {
		_, _ = io.WriteString(c, responseHead(attempt, "bad", "Transfer-Encoding: chunked\r\n"))
		writeWithoutEnd(c, "4\r\nxxxx\r\n")
	},
	"a trailer": func(c net.Conn, attempt string) {
		_, _ = io.WriteString(c, responseHead(attempt, "bad", "Transfer-Encoding: chunked\r\n")+"2\r\nxx\r\n0\r\n")
		writeWithoutEnd(c, "X-Fill: x\r\n")
	},
	"the body of a refusal": func(c net.Conn, attempt string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nHyssopreel-Attempt-Id: %s\r\nHyssopreel-Not-Executed: 1\r\n\r\n", attempt)
		writeWithoutEnd(c, "x")
	},
}

var _ = Describe("A server that sends bytes without end", func() {
	for fault, respond := range endlessFaults {
		// Guards against a request that waits for the end of such an answer, or hands it to its caller as a success.
		It("is left for another one: "+fault, func() {
			bad := newRawBackend("bad", respond)
			h := newConfiguredIngress(bad)
			started := time.Now()
			a := h.call("GET", "/many/", "")
			Expect(a.status).To(BeElementOf(502, 503, 504), "body of %d bytes", len(a.body))
			Expect(time.Since(started)).To(BeNumerically("<", 2500*time.Millisecond), "the route's timeout is 2 s")
			good := newBackend("good", echo)
			h.servers.Put(placement.Server{ID: good.id, Service: "s", Address: good.address, Slots: 4})
			for i := range 4 {
				a := h.call("GET", fmt.Sprintf("/many/%d", i), "")
				Expect(a.status).To(Equal(200))
				Expect(a.header.Get(stampHeader)).To(Equal("good"))
			}
		})

		// Guards against a stream that stays open for it.
		It("does not hold a stream: "+fault, func() {
			bad := newRawBackend("bad", respond)
			good := newBackend("good", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 3) })
			h := newConfiguredIngress(bad, good)
			for range 4 {
				a := h.call("POST", "/turns2/", "")
				Expect(a.status == 200 && a.err == nil || a.status >= 500 || a.err != nil).To(BeTrue())
				if a.status == 200 && a.err == nil {
					Expect(a.header.Get(stampHeader)).To(Equal("good"))
					Expect(a.body).To(HaveSuffix("id: 3\ndata: x\n\n"))
				}
			}
		})
	}

	// Guards against a host that is killed for its memory, because a faulty server answers many requests at once.
	It("does not fill the memory", func() {
		bad := newRawBackend("bad", endlessFaults["a body without a length"])
		h := newTestIngress(bad)
		h.serve(32 << 20)
		h.in.SetTable(testTable(1), "test")
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var calls sync.WaitGroup
		most := uint64(0)
		for range 64 {
			calls.Add(1)
			go func() { defer calls.Done(); h.call("POST", "/once/", "") }()
		}
		done := make(chan struct{})
		go func() { calls.Wait(); close(done) }()
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(5 * time.Millisecond):
			}
			runtime.ReadMemStats(&after)
			most = max(most, after.HeapInuse)
		}
		// A third of the limit is for bodies; growing slices and 64 KB a request that do not count come on top.
		Expect(most-min(before.HeapInuse, most)).To(BeNumerically("<", 64<<20), "bytes of heap")
	})
})

var _ = Describe("A large response", func() {
	const size = 300_000 // several steps of the buffer that it is read into
	body := strings.Repeat("0123456789", size/10)

	DescribeTable("reaches the caller whole, or not as a success",
		func(sent int, head string, status int) {
			server := newRawBackend("i-1", func(c net.Conn, attempt string) {
				_, _ = io.WriteString(c, responseHead(attempt, "i-1", head)+body[:sent])
			})
			a := newConfiguredIngress(server).call("POST", "/once/", "")
			Expect(a.status).To(Equal(status))
			if status == http.StatusOK {
				Expect(a.body).To(Equal(body[:sent]))
			}
		},
		Entry("whole", size, fmt.Sprintf("Content-Length: %d\r\n", size), 200),
		Entry("of exactly one step", 64<<10, fmt.Sprintf("Content-Length: %d\r\n", 64<<10), 200),
		Entry("that ends with its connection", size, "Connection: close\r\n", 200),
		Entry("that breaks off within a step", size/2, fmt.Sprintf("Content-Length: %d\r\n", size), 502),
		Entry("that breaks off after a step", 128<<10, fmt.Sprintf("Content-Length: %d\r\n", size), 502),
		Entry("whose chunks break off", 0, "Transfer-Encoding: chunked\r\n", 502),
	)
})
