package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/service/ingress"
)

// BenchmarkOrdinaryRequest measures the processor time of one request on a kept connection, with a client and a backend
// server that do as little as possible.
func BenchmarkOrdinaryRequest(b *testing.B) {
	if err := logging.Setup(logging.Options{Level: "error", Format: "json", Output: io.Discard}); err != nil {
		b.Fatal(err)
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	go serveBenchRequests(server)
	servers := ingress.NewServers(time.Now, nil)
	servers.Put(placement.Server{ID: "i-1", Service: "s", Address: server.Addr().String(), Slots: 4})
	in, httpServer, listener := newBenchIngress(b, servers)
	in.SetTable(testTable(1), "bench")
	go func() { _ = httpServer.Serve(listener) }()
	defer func() { _ = httpServer.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := strings.Repeat("x", 900)
	request := fmt.Appendf(nil, "POST /once/x HTTP/1.1\r\nHost: h\r\nHyssopreel-Attempt-Id: a1\r\nHyssopreel-Deadline-Ms: 900\r\nAccept: */*\r\n"+
		"Content-Type: application/json\r\nUser-Agent: caller/1\r\nHyssopreel-Program-Id: p\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	response := make([]byte, 4096)
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	for range b.N {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp, err)
		}
		if _, err := io.ReadFull(resp.Body, response[:2]); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// serveBenchRequests answers all requests alike.
func serveBenchRequests(l net.Listener) {
	const answer = "HTTP/1.1 200 OK\r\nHyssopreel-Attempt-Id: a1\r\n" + stampHeader + ": i-1\r\nContent-Length: 2\r\n\r\nok"
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			for r := bufio.NewReader(c); ; {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				if _, err := io.WriteString(c, answer); err != nil {
					return
				}
			}
		}()
	}
}
