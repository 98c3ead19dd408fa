package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/service/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// serve runs script on each connection, with the connection's number from 1. It returns the address and the number
// of connections.
func serve(script func(c net.Conn, r *bufio.Reader, n int)) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	var n atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go script(c, bufio.NewReader(c), int(n.Add(1)))
		}
	}()
	return l.Addr().String(), &n
}

// readRequest reads one request and returns its attempt ID and body.
func readRequest(r *bufio.Reader) (string, string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", false
	}
	body, err := io.ReadAll(req.Body)
	return req.Header.Get("Attempt"), string(body), err == nil
}

func responseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id, body string) *upstream.Request {
	return &upstream.Request{Method: http.MethodPost, URI: "/x?y=1", Host: "h", Header: http.Header{"Attempt": {id}}, Body: []byte(body)}
}

func send(ctx context.Context, p *upstream.Pool, id, body string) (string, error) {
	resp, err := p.Send(ctx, request(id, body), func(h http.Header, _ bool) bool { return h.Get("Attempt") == id })
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	return string(b), err
}

var _ = Describe("Pool", func() {
	ctx := context.Background()

	It("sends requests over one connection", func() {
		addr, conns := serve(func(c net.Conn, r *bufio.Reader, _ int) {
			for {
				id, body, ok := readRequest(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, responseTo(id, "got "+body))
			}
		})
		p := upstream.NewPool(addr, nil)
		for i := range 5 {
			Expect(send(ctx, p, fmt.Sprint(i), "b")).To(Equal("got b"))
		}
		Expect(conns.Load()).To(BeEquivalentTo(1))
	})

	// Guards against bytes of one response that reach the caller of another request.
	It("closes a connection with bytes after the response", func() {
		addr, conns := serve(func(c net.Conn, r *bufio.Reader, _ int) {
			id, _, ok := readRequest(r)
			if ok {
				_, _ = io.WriteString(c, responseTo(id, "mine")+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
			}
		})
		p := upstream.NewPool(addr, nil)
		Expect(send(ctx, p, "1", "")).To(Equal("mine"))
		Expect(send(ctx, p, "2", "")).To(Equal("mine"))
		Expect(conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a server that keeps a request until its deadline with informational responses without end.
	It("gives up after several informational responses", func() {
		addr, _ := serve(func(c net.Conn, r *bufio.Reader, _ int) {
			if _, _, ok := readRequest(r); !ok {
				return
			}
			for {
				if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"); err != nil {
					return
				}
			}
		})
		bounded, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		_, err := send(bounded, upstream.NewPool(addr, nil), "1", "")
		Expect(err).To(MatchError(ContainSubstring("informational")))
		Expect(bounded.Err()).NotTo(HaveOccurred())
	})

	// Guards against the answer to an earlier request that reaches the next caller, because the server left the attempt ID
	// out of the copy that it sent late.
	It("tells whether the connection has carried other requests", func() {
		addr, _ := serve(func(c net.Conn, r *bufio.Reader, _ int) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, responseTo(id, "x"))
			}
		})
		p := upstream.NewPool(addr, nil)
		for i, want := range []bool{false, true} {
			resp, err := p.Send(ctx, request(fmt.Sprint(i), ""), func(_ http.Header, reused bool) bool {
				Expect(reused).To(Equal(want))
				return true
			})
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.ReadAll(resp)
			resp.Close()
		}
	})

	// Guards against a late response to an earlier request that is taken for that of the next request.
	It("discards a response to an earlier request", func() {
		addr, _ := serve(func(c net.Conn, r *bufio.Reader, _ int) {
			id, _, ok := readRequest(r)
			if ok {
				_, _ = io.WriteString(c, responseTo("earlier", "other response")+responseTo(id, "own response"))
			}
		})
		Expect(send(ctx, upstream.NewPool(addr, nil), "1", "")).To(Equal("own response"))
	})

	It("returns io.ErrUnexpectedEOF for a body that is cut off", func() {
		addr, _ := serve(func(c net.Conn, r *bufio.Reader, _ int) {
			id, _, _ := readRequest(r)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 10\r\n\r\nhalf", id)
			_ = c.Close()
		})
		_, err := send(ctx, upstream.NewPool(addr, nil), "1", "")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// Guards against a request that is executed twice because the transport sends it again.
	It("does not send a request again if its connection is closed", func() {
		var received atomic.Int32
		addr, _ := serve(func(c net.Conn, r *bufio.Reader, n int) {
			id, _, ok := readRequest(r)
			if !ok {
				return
			}
			received.Add(1)
			if n == 1 {
				_, _ = io.WriteString(c, responseTo(id, "first"))
				if _, _, ok := readRequest(r); ok {
					received.Add(1)
				}
			}
			_ = c.Close()
		})
		p := upstream.NewPool(addr, nil)
		Expect(send(ctx, p, "1", "")).To(Equal("first"))
		_, err := send(ctx, p, "2", "")
		var sendError *upstream.SendError
		Expect(err).To(BeAssignableToTypeOf(sendError))
		Expect(err.(*upstream.SendError).MaybeSent).To(BeTrue())
		Expect(received.Load()).To(BeEquivalentTo(2))
	})

	It("reports that nothing was sent if no connection can be opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = send(ctx, upstream.NewPool(l.Addr().String(), nil), "1", "")
		Expect(err.(*upstream.SendError).MaybeSent).To(BeFalse())
		Expect(err.(*upstream.SendError).DialFailed).To(BeTrue())
	})

	// Guards against the rest of a long request body that is sent as part of the next request.
	It("does not reuse a connection if the response arrived before the request was written", func() {
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		addr, conns := serve(func(c net.Conn, r *bufio.Reader, n int) {
			if n == 1 {
				line, _ := r.ReadString('\n')
				for line != "\r\n" {
					line, _ = r.ReadString('\n')
				}
				_, _ = io.WriteString(c, responseTo("1", "early"))
				<-stop
				return
			}
			id, body, ok := readRequest(r)
			if ok {
				_, _ = io.WriteString(c, responseTo(id, body))
			}
		})
		p := upstream.NewPool(addr, nil)
		Expect(send(ctx, p, "1", strings.Repeat("x", 8<<20))).To(Equal("early"))
		Expect(send(ctx, p, "2", "next")).To(Equal("next"))
		Expect(conns.Load()).To(BeEquivalentTo(2))
	})

	It("ends an exchange when its context is done", func() {
		addr, _ := serve(func(_ net.Conn, r *bufio.Reader, _ int) { _, _, _ = readRequest(r) })
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := send(short, upstream.NewPool(addr, nil), "1", "")
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	It("does not reuse a connection that the server closed or will close", func() {
		addr, conns := serve(func(c net.Conn, r *bufio.Reader, n int) {
			id, _, ok := readRequest(r)
			if !ok {
				return
			}
			if n == 1 {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", id)
				return
			}
			_, _ = io.WriteString(c, responseTo(id, "ok"))
			_ = c.Close()
		})
		p := upstream.NewPool(addr, nil)
		for i := range 3 {
			Expect(send(ctx, p, fmt.Sprint(i), "")).To(Equal("ok"))
			Eventually(func() int { p.CloseExpired(time.Now()); _, idle := p.ConnCounts(); return idle }).Should(BeZero())
		}
		Expect(conns.Load()).To(BeEquivalentTo(3))
	})

	It("closes a connection before the server's Keep-Alive timeout", func() {
		addr, conns := serve(func(c net.Conn, r *bufio.Reader, _ int) {
			for {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", id)
			}
		})
		p := upstream.NewPool(addr, nil)
		for i := range 2 {
			Expect(send(ctx, p, fmt.Sprint(i), "")).To(Equal("ok"))
		}
		Expect(conns.Load()).To(BeEquivalentTo(2))
	})
})
