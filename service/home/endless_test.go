package home

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// rawServer answers each request with the bytes that respond writes, and then closes the connection. It counts the bytes.
type rawServer struct {
	address string
	written atomic.Int64
}

func startRawServer(t *testing.T, head, endless string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{address: l.Addr().String()}
	piece := strings.Repeat(endless, 16<<10/max(len(endless), 1))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buffer := make([]byte, 64<<10)
				_, _ = c.Read(buffer)
				_, err := io.WriteString(c, head)
				for err == nil && piece != "" && s.written.Load() < 256<<20 {
					var n int
					n, err = io.WriteString(c, piece)
					s.written.Add(int64(n))
				}
			}()
		}
	}()
	return s
}

// Guards against a process that runs out of memory because a faulty server sends a header or a body without end, and against
// the first part of such a body, or a response without an HTTP status, that counts as an answer.
func TestResponsesThatAreNoneAreInterrupted(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunk := "data: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n"
	for name, c := range map[string]struct {
		head, endless string
		kind          api.CallKind
	}{
		"status 000":                 {head: "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nxx", kind: api.CallTool},
		"status 999":                 {head: "HTTP/1.1 999 None\r\nContent-Length: 2\r\n\r\nxx", kind: api.CallTool},
		"a status line":              {head: "HTTP/1.1 200 ", endless: "x", kind: api.CallTool},
		"header lines":               {head: ok, endless: "X-Fill: x\r\n", kind: api.CallTool},
		"a body without a length":    {head: ok + "\r\n", endless: "x", kind: api.CallTool},
		"header lines of a stream":   {head: ok, endless: "X-Fill: x\r\n", kind: api.CallModel},
		"a line of a stream":         {head: ok + "\r\ndata: ", endless: "x", kind: api.CallModel},
		"pieces of a stream":         {head: ok + "\r\n", endless: chunk, kind: api.CallModel},
		"status 000 before a stream": {head: "HTTP/1.1 000 None\r\n\r\n" + chunk + "data: [DONE]\n\n", kind: api.CallModel},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := startRawServer(t, c.head, c.endless)
			d := newDispatcher(fixedBackends{"w1": server.address}, func() bool { return true }, newHub(func(program.WaiterGone) {}), func(program.DispatchEnded) {})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			ended := d.run(ctx, program.Dispatch{
				Call: sched.CallID{Program: "a-1.1-1", Key: "k"}, Kind: c.kind, Name: "payout", Worker: "w1", Address: server.address, Body: []byte("{}"),
			})
			g.Expect(ended.Result).To(gomega.Equal(program.ResultInterrupted), fmt.Sprintf("status %d, %d bytes", ended.StatusCode, len(ended.Text)))
			g.Expect(len(ended.Text)).To(gomega.BeNumerically("<=", maxResponseBytes+64<<10))
			g.Expect(server.written.Load()).To(gomega.BeNumerically("<", 32<<20), "bytes until the connection was closed")
			g.Expect(ended.StatusCode).NotTo(gomega.Equal(http.StatusOK))
		})
	}
}
