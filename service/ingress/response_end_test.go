package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// responseEnd is how a server ends a response, and framing how its header says where the body ends.
type (
	responseEnd int
	framing     int
)

const (
	orderly responseEnd = iota
	reset
	// early closes the connection in order before the end that the header names.
	early

	withLength framing = iota
	inChunks
	// untilClose names neither a length nor chunks: the body ends with the connection.
	untilClose
)

// newEndingBackend starts a server that sends a body with that framing and ends its connection.
func newEndingBackend(f framing, e responseEnd, body string) *backend {
	return newConnBackend("i-1", func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nHyssopreel-Attempt-Id: %s\r\n%s: i-1\r\n", req.Header.Get("Hyssopreel-Attempt-Id"), stampHeader)
		switch f {
		case withLength:
			length := len(body)
			if e != orderly {
				length += 5
			}
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, length, body)
		case inChunks:
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
			if e == orderly {
				_, _ = fmt.Fprint(c, "0\r\n\r\n")
			}
		case untilClose:
			_, _ = fmt.Fprintf(c, "%s\r\n%s", head, body)
		}
		if e == reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

var _ = Describe("A response", func() {
	const events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"

	// Guards against a truncated response that looks complete to the caller, and against a complete one that is lost because
	// it has neither a length nor chunks.
	DescribeTable("is complete only if it ended as its header says and its connection was not reset",
		func(path string, f framing, e responseEnd, body string, complete bool) {
			a := newConfiguredIngress(newEndingBackend(f, e, body)).call("POST", path, "")
			if complete {
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.status).To(Equal(200))
				Expect(a.body).To(Equal(body))
				return
			}
			if a.err == nil {
				Expect(a.status).To(Equal(502))
			}
			Expect(strings.HasPrefix(events, a.body)).To(BeTrue(), "only whole events are passed on: %q", a.body)
		},
		Entry("plain, length", "/once/", withLength, orderly, "body", true),
		Entry("plain, length, closed early", "/once/", withLength, early, "body", false),
		Entry("plain, length, reset", "/once/", withLength, reset, "body", false),
		Entry("plain, chunks", "/once/", inChunks, orderly, "body", true),
		Entry("plain, chunks, closed early", "/once/", inChunks, early, "body", false),
		Entry("plain, chunks, reset", "/once/", inChunks, reset, "body", false),
		Entry("plain, neither", "/once/", untilClose, orderly, "body", true),
		Entry("plain, neither, reset", "/once/", untilClose, reset, "body", false),
		Entry("plain, neither, large", "/once/", untilClose, orderly, strings.Repeat("x", 300<<10), true),
		Entry("stream, length", "/fixed/", withLength, orderly, events, true),
		Entry("stream, length, closed early", "/fixed/", withLength, early, events, false),
		Entry("stream, length, reset", "/fixed/", withLength, reset, events, false),
		Entry("stream, length, ends inside an event", "/fixed/", withLength, orderly, events+"id: 3\ndata: x\n", false),
		Entry("stream, chunks", "/fixed/", inChunks, orderly, events, true),
		Entry("stream, chunks, closed early", "/fixed/", inChunks, early, events, false),
		Entry("stream, chunks, reset", "/fixed/", inChunks, reset, events, false),
		Entry("stream, chunks, ends inside an event", "/fixed/", inChunks, orderly, events+"id: 3\nda", false),
		Entry("stream, neither", "/fixed/", untilClose, orderly, events, true),
		Entry("stream, neither, reset", "/fixed/", untilClose, reset, events, false),
		Entry("stream, neither, ends inside an event", "/fixed/", untilClose, orderly, events+"id: 3\ndata: x", false),
		Entry("stream, neither, ends inside its first event", "/fixed/", untilClose, orderly, "id: 1", false),
		Entry("stream, neither, ends between the lines of an event", "/fixed/", untilClose, orderly, events+"id: 3\n", false),
	)
})

var _ = Describe("A caller of HTTP/1.0, whose response ends with its connection", func() {
	// Guards against a stream that was cut off and looks complete: without chunks only a reset tells the caller.
	DescribeTable("gets a reset unless the stream is complete",
		func(f framing, e responseEnd, body string, complete bool) {
			c, err := net.Dial("tcp", newConfiguredIngress(newEndingBackend(f, e, body)).address)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprint(c, "POST /fixed/ HTTP/1.0\r\nHost: h\r\nHyssopreel-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(c)
			Expect(err == nil).To(Equal(complete), "error %v", err)
		},
		Entry("complete", untilClose, orderly, "id: 1\ndata: x\n\n", true),
		Entry("ends inside an event", untilClose, orderly, "id: 1\ndata: x\n\nid: 2", false),
		Entry("reset", untilClose, reset, "id: 1\ndata: x\n\n", false),
		Entry("chunks closed early", inChunks, early, "id: 1\ndata: x\n\n", false),
	)
})
