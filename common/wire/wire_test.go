package wire_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

const (
	testHeartbeatInterval = 50 * time.Millisecond
	testKeepAliveTimeout  = 300 * time.Millisecond
	testWait              = 5 * time.Second
)

type text struct{ Text string }

func startNode(opts wire.Options) (*wire.Node, string) {
	GinkgoHelper()
	if opts.HeartbeatInterval == 0 {
		opts.HeartbeatInterval = testHeartbeatInterval
	}
	if opts.KeepAliveTimeout == 0 {
		opts.KeepAliveTimeout = testKeepAliveTimeout
	}
	n := wire.NewNode(opts)
	DeferCleanup(n.Close)
	a, err := n.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return n, a.String()
}

// tcpProxy forwards TCP connections. stallOpenConns stops the open connections without closing them: neither data
// nor the end of a connection is forwarded any more. Connections opened later work.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	stalled  []*atomic.Bool
	conns    []net.Conn
	accepted atomic.Int32
}

func startTCPProxy(target string) *tcpProxy {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &tcpProxy{listener: l, target: target}
	DeferCleanup(t.close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.accepted.Add(1)
			t.forward(c)
		}
	}()
	return t
}

func (t *tcpProxy) addr() string { return t.listener.Addr().String() }

func (t *tcpProxy) forward(c net.Conn) {
	s, err := net.Dial("tcp", t.target)
	if err != nil {
		_ = c.Close()
		return
	}
	connStalled := &atomic.Bool{}
	t.mu.Lock()
	t.stalled = append(t.stalled, connStalled)
	t.conns = append(t.conns, c, s)
	t.mu.Unlock()
	pipe := func(dst, src net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			if err != nil {
				if !connStalled.Load() {
					_ = dst.Close()
				}
				return
			}
			if connStalled.Load() {
				continue
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				_ = src.Close()
				return
			}
		}
	}
	go pipe(s, c)
	go pipe(c, s)
}

func (t *tcpProxy) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		_ = c.Close()
	}
}

func (t *tcpProxy) stallOpenConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.stalled {
		s.Store(true)
	}
}

// startRawPeer accepts connections and answers each frame with the frame that respond returns, unless that is nil.
// It returns its address.
func startRawPeer(respond func(t wire.Type, id uint64) []any) string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for {
			var header [4]byte
			if _, err := io.ReadFull(c, header[:]); err != nil {
				return
			}
			b := make([]byte, binary.BigEndian.Uint32(header[:]))
			if _, err := io.ReadFull(c, b); err != nil {
				return
			}
			var f struct {
				_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
				Type     wire.Type
				ID       uint64
				Trace    string
				Body     msgpack.RawMessage
			}
			if msgpack.Unmarshal(b, &f) != nil {
				return
			}
			answer := respond(f.Type, f.ID)
			if answer == nil {
				continue
			}
			out, err := msgpack.Marshal(answer)
			if err != nil {
				return
			}
			if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(out))), out...)); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func asFault(err error) *fault.Error {
	GinkgoHelper()
	Expect(err).To(BeAssignableToTypeOf(&fault.Error{}))
	return err.(*fault.Error)
}

var _ = Describe("Node", func() {
	var ctx context.Context

	BeforeEach(func() {
		c, cancel := context.WithTimeout(context.Background(), testWait)
		DeferCleanup(cancel)
		ctx = c
	})

	echo := func(_ context.Context, r *wire.Request) {
		var in text
		if err := r.Decode(&in); err != nil {
			_ = r.Fail(err)
			return
		}
		_ = r.Answer(text{in.Text + " from " + r.From})
	}

	It("answers calls in both directions and streams answers between two nodes", func() {
		a, addrA := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		a.Handle(wire.TypeProgramLookup, echo)
		b.Handle(wire.TypeProgramLookup, echo)
		b.Handle(wire.TypeForwardCall, func(_ context.Context, r *wire.Request) {
			for i := range 3 {
				_ = r.SendPiece(i)
			}
			_ = r.Answer(3)
		})
		var out text
		Expect(a.Call(ctx, addrB, wire.TypeProgramLookup, text{"x"}, &out)).To(Succeed())
		Expect(out.Text).To(Equal("x from a.1"))
		Expect(b.Call(ctx, addrA, wire.TypeProgramLookup, text{"y"}, &out)).To(Succeed())
		Expect(out.Text).To(Equal("y from b.1"))
		x, err := a.Open(ctx, addrB, wire.TypeForwardCall, nil)
		Expect(err).NotTo(HaveOccurred())
		for i := range 4 {
			p, err := x.Next(ctx)
			Expect(err).NotTo(HaveOccurred())
			var v int
			Expect(p.Decode(&v)).To(Succeed())
			Expect(v).To(Equal(i))
			Expect(p.Last).To(Equal(i == 3))
		}
		_, err = x.Next(ctx)
		Expect(err).To(Equal(io.EOF))
	})

	// Guards against exchanges that hang on a link whose connection stops delivering without a TCP error.
	It("closes a link without frames after the keep-alive timeout, fails its exchanges and dials again", func() {
		disconnected := make(chan string, 16)
		a, _ := startNode(wire.Options{ProcessName: "a.1", OnPeerDisconnected: func(addr string) { disconnected <- addr }})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		b.Handle(wire.TypeProgramLookup, echo)
		started, canceled := make(chan struct{}), make(chan struct{})
		b.Handle(wire.TypeForwardCall, func(ctx context.Context, _ *wire.Request) {
			close(started)
			<-ctx.Done()
			close(canceled)
		})
		proxy := startTCPProxy(addrB)
		x, err := a.Open(ctx, proxy.addr(), wire.TypeForwardCall, nil)
		Expect(err).NotTo(HaveOccurred())
		Eventually(started, testWait).Should(BeClosed())
		proxy.stallOpenConns()
		_, err = x.Next(ctx)
		e := asFault(err)
		Expect(e.Outcome).To(Equal(fault.OutcomeUnknown))
		Expect(e.Step).To(Equal("call"))
		Expect(e.Peer).To(Equal(proxy.addr()))
		Expect(e.Message).To(ContainSubstring("silent"))
		Eventually(disconnected, testWait).Should(Receive(Equal(proxy.addr())))
		Eventually(canceled, testWait).Should(BeClosed())
		var out text
		Expect(a.Call(ctx, proxy.addr(), wire.TypeProgramLookup, text{"again"}, &out)).To(Succeed())
		Expect(proxy.accepted.Load()).To(Equal(int32(2)))
	})

	// Guards against closing a working link while the application sends nothing.
	It("keeps a link without messages open by heartbeats", func() {
		a, _ := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		release := make(chan struct{})
		b.Handle(wire.TypeForwardCall, func(_ context.Context, r *wire.Request) {
			<-release
			_ = r.Answer(1)
		})
		proxy := startTCPProxy(addrB)
		x, err := a.Open(ctx, proxy.addr(), wire.TypeForwardCall, nil)
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(4*testKeepAliveTimeout, func() { close(release) })
		_, err = x.Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(proxy.accepted.Load()).To(Equal(int32(1)))
	})

	// Guards against the outcome "outcome unknown" for a request that was never sent.
	It("reports not run when the peer cannot be reached", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		disconnected := make(chan string, 16)
		a, _ := startNode(wire.Options{ProcessName: "a.1", OnPeerDisconnected: func(addr string) { disconnected <- addr }})
		e := asFault(a.Call(ctx, addr, wire.TypeProgramLookup, nil, nil))
		Expect(e.Outcome).To(Equal(fault.OutcomeNotRun))
		Expect(e.Code).To(Equal(fault.CodePeerUnreachable))
		Expect(asFault(a.Send(ctx, addr, wire.TypeTicket, nil)).Outcome).To(Equal(fault.OutcomeNotRun))
		Eventually(disconnected, testWait).Should(Receive(Equal(addr)))
	})

	// Guards against a late answer that is delivered to a later exchange.
	It("drops an answer that comes after its exchange ended", func() {
		// The peer answers a call only after it received the cancel frame, so its answer is always late.
		addr := startRawPeer(func(t wire.Type, id uint64) []any {
			switch t {
			case wire.TypeHello:
				return []any{wire.TypeHello, 0, "", []any{1, "b.1", ""}}
			case wire.TypeCancel:
				return []any{wire.TypeAnswer, id, "", []any{nil, "late"}}
			case wire.TypeProgramLookup:
				return []any{wire.TypeAnswer, id, "", []any{nil, "own"}}
			}
			return nil
		})
		a, _ := startNode(wire.Options{ProcessName: "a.1", KeepAliveTimeout: testWait})
		x, err := a.Open(ctx, addr, wire.TypeForwardCall, nil)
		Expect(err).NotTo(HaveOccurred())
		var out string
		Expect(a.Call(ctx, addr, wire.TypeProgramLookup, nil, &out)).To(Succeed()) // so the call frame is written, too
		x.Close()
		Eventually(a.DroppedAnswers, testWait).Should(Equal(uint64(1)))
		_, err = x.Next(ctx)
		Expect(asFault(err).Code).To(Equal(fault.CodeCanceled))
		Expect(a.Call(ctx, addr, wire.TypeProgramLookup, nil, &out)).To(Succeed())
		Expect(out).To(Equal("own"))
	})

	// Guards against handlers that keep running after the requester has closed its exchange.
	It("cancels the handler when the exchange is closed or its context ends", func() {
		a, _ := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		started, canceled := make(chan struct{}, 2), make(chan struct{}, 2)
		b.Handle(wire.TypeForwardCall, func(ctx context.Context, _ *wire.Request) {
			started <- struct{}{}
			<-ctx.Done()
			canceled <- struct{}{}
		})
		x, err := a.Open(ctx, addrB, wire.TypeForwardCall, nil)
		Expect(err).NotTo(HaveOccurred())
		Eventually(started, testWait).Should(Receive())
		x.Close()
		Eventually(canceled, testWait).Should(Receive())
		shortCtx, cancel := context.WithTimeout(ctx, testHeartbeatInterval)
		defer cancel()
		e := asFault(a.Call(shortCtx, addrB, wire.TypeForwardCall, nil, nil))
		Expect(e.Code).To(Equal(fault.CodeTimeout))
		Expect(e.Outcome).To(Equal(fault.OutcomeUnknown))
		Eventually(canceled, testWait).Should(Receive())
	})

	// Guards against one slow reader that blocks all exchanges of the link or uses unbounded memory.
	It("fails the exchange of a slow reader and no other exchange of the link", func() {
		a, _ := startNode(wire.Options{ProcessName: "a.1", BufferPieces: 8})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		b.Handle(wire.TypeProgramLookup, echo)
		done := make(chan struct{})
		b.Handle(wire.TypeForwardCall, func(_ context.Context, r *wire.Request) {
			defer close(done)
			for r.SendPiece("token") == nil {
			}
		})
		slow, err := a.Open(ctx, addrB, wire.TypeForwardCall, nil)
		Expect(err).NotTo(HaveOccurred())
		Eventually(done, testWait).Should(BeClosed())
		var out text
		Expect(a.Call(ctx, addrB, wire.TypeProgramLookup, text{"x"}, &out)).To(Succeed())
		read := 0
		for {
			if _, err = slow.Next(ctx); err != nil {
				break
			}
			read++
		}
		Expect(read).To(Equal(8))
		Expect(asFault(err).Code).To(Equal(fault.CodeOverloaded))
		Expect(asFault(err).Outcome).To(Equal(fault.OutcomeUnknown))
	})

	// Guards against unbounded memory for one frame, at the sender and at the receiver.
	It("rejects a frame above the maximum size before sending it, and closes a link whose length prefix exceeds the maximum", func() {
		a, addrA := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		large := strings.Repeat("x", wire.MaxFrameBytes)
		e := asFault(a.Send(ctx, addrB, wire.TypeTicket, large))
		Expect(e.Code).To(Equal(fault.CodeTooLarge))
		Expect(e.Outcome).To(Equal(fault.OutcomeNotRun))
		b.Handle(wire.TypeProgramLookup, func(_ context.Context, r *wire.Request) {
			if r.Answer(large) != nil {
				_ = r.Fail(fault.New(fault.CodeTooLarge, "lookup", "answer too large"))
			}
		})
		Expect(asFault(a.Call(ctx, addrB, wire.TypeProgramLookup, nil, nil)).Code).To(Equal(fault.CodeTooLarge))
		c, err := net.Dial("tcp", addrA)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = c.Write([]byte{0xff, 0xff, 0xff, 0xff})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(testKeepAliveTimeout / 2))).To(Succeed())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	// Guards against reordered one-way messages, for example a finish that overtakes its grant.
	It("handles one-way messages of a peer in order, one at a time", func() {
		const count = 500
		a, _ := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		var got []int
		var running atomic.Int32
		done := make(chan struct{})
		b.Handle(wire.TypeEnqueue, func(_ context.Context, r *wire.Request) {
			defer GinkgoRecover()
			Expect(running.Add(1)).To(Equal(int32(1)))
			defer running.Add(-1)
			var v int
			Expect(r.Decode(&v)).To(Succeed())
			got = append(got, v)
			if len(got) == count {
				close(done)
			}
		})
		for i := range count {
			Expect(a.Send(ctx, addrB, wire.TypeEnqueue, i)).To(Succeed())
		}
		Eventually(done, testWait).Should(BeClosed())
		for i, v := range got {
			Expect(v).To(Equal(i))
		}
	})

	// Guards against an error that loses its step, peer or outcome between the peer's handler and the caller.
	It("returns the peer's error unchanged and rejects requests of a type without a handler", func() {
		a, _ := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		b.Handle(wire.TypeForwardCall, func(_ context.Context, r *wire.Request) {
			_ = r.Fail(fault.New(fault.CodeMoved, "dispatch", "home moved").WithPeer("c.3").WithOutcome(fault.OutcomeDone))
		})
		want := &fault.Error{Code: fault.CodeMoved, Step: "dispatch", Message: "home moved", Peer: "c.3", Outcome: fault.OutcomeDone}
		Expect(a.Call(ctx, addrB, wire.TypeForwardCall, nil, nil)).To(Equal(want))
		e := asFault(a.Call(ctx, addrB, wire.TypeProgramLookup, nil, nil))
		Expect(e.Outcome).To(Equal(fault.OutcomeNotRun))
		Expect(e.Peer).To(Equal(addrB))
	})

	// Guards against a peer that stays unreachable after its process was replaced at the same address.
	It("dials again after the peer restarts", func() {
		a, _ := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		b.Handle(wire.TypeProgramLookup, echo)
		Expect(a.Call(ctx, addrB, wire.TypeProgramLookup, text{"x"}, nil)).To(Succeed())
		Expect(b.Close()).To(Succeed())
		b2 := wire.NewNode(wire.Options{ProcessName: "b.2"})
		DeferCleanup(b2.Close)
		b2.Handle(wire.TypeProgramLookup, echo)
		Eventually(func() error { _, err := b2.Listen(addrB); return err }, testWait).Should(Succeed())
		Eventually(func() error { return a.Call(ctx, addrB, wire.TypeProgramLookup, text{"x"}, nil) }, testWait).Should(Succeed())
	})

	// Guards against one-way messages that are lost without a disconnect that their sender can detect.
	It("closes the link of a peer whose inbox is full", func() {
		disconnected := make(chan string, 16)
		a, _ := startNode(wire.Options{ProcessName: "a.1", OnPeerDisconnected: func(addr string) { disconnected <- addr }})
		b, addrB := startNode(wire.Options{ProcessName: "b.1", InboxFrames: 4})
		release := make(chan struct{})
		b.Handle(wire.TypeEnqueue, func(context.Context, *wire.Request) { <-release })
		DeferCleanup(func() { close(release) })
		for range 16 {
			_ = a.Send(ctx, addrB, wire.TypeEnqueue, 1)
		}
		Eventually(disconnected, testWait).Should(Receive(Equal(addrB)))
	})

	// Guards against traces that do not continue at the peer.
	It("sends the trace context with a request", func() {
		a, _ := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		b.Handle(wire.TypeProgramLookup, func(ctx context.Context, r *wire.Request) {
			_ = r.Answer(trace.SpanContextFromContext(ctx).TraceID().String())
		})
		traceCtx, span := sdktrace.NewTracerProvider().Tracer("test").Start(ctx, "call")
		defer span.End()
		var got string
		Expect(a.Call(traceCtx, addrB, wire.TypeProgramLookup, nil, &got)).To(Succeed())
		Expect(got).To(Equal(span.SpanContext().TraceID().String()))
	})

	// Guards against a message that is delivered before the redelivery of its predecessor.
	It("publishes and subscribes over watermill, redelivering after Nack", func() {
		a, _ := startNode(wire.Options{ProcessName: "a.1"})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		in, err := b.PubSub().Subscribe(ctx, wire.TypeTicket.String())
		Expect(err).NotTo(HaveOccurred())
		for i := range 2 {
			raw, err := msgpack.Marshal(fmt.Sprint("ticket ", i))
			Expect(err).NotTo(HaveOccurred())
			m := message.NewMessage("", raw)
			m.SetContext(ctx)
			m.Metadata.Set(wire.MetadataPeer, addrB)
			Expect(a.PubSub().Publish("ticket", m)).To(Succeed())
		}
		for i, want := range []string{"ticket 0", "ticket 0", "ticket 1"} {
			var m *message.Message
			Eventually(in, testWait).Should(Receive(&m))
			var got string
			Expect(msgpack.Unmarshal(m.Payload, &got)).To(Succeed())
			Expect(got).To(Equal(want))
			Expect(m.Metadata.Get(wire.MetadataFrom)).To(Equal("a.1"))
			if i == 0 {
				m.Nack()
			} else {
				m.Ack()
			}
		}
		Expect(a.PubSub().Publish("ticket", message.NewMessage("", nil))).NotTo(Succeed())
	})

	// Guards against links and heartbeats that are kept for peers without traffic.
	It("closes an idle link without reporting the peer as disconnected", func() {
		disconnected := make(chan string, 1)
		a, _ := startNode(wire.Options{ProcessName: "a.1", IdleTimeout: testHeartbeatInterval, OnPeerDisconnected: func(addr string) { disconnected <- addr }})
		b, addrB := startNode(wire.Options{ProcessName: "b.1"})
		b.Handle(wire.TypeProgramLookup, echo)
		proxy := startTCPProxy(addrB)
		Expect(a.Call(ctx, proxy.addr(), wire.TypeProgramLookup, text{"x"}, nil)).To(Succeed())
		Eventually(func() int32 {
			_ = a.Send(ctx, proxy.addr(), wire.TypeMembership, nil)
			return proxy.accepted.Load()
		}, testWait, 3*testHeartbeatInterval).Should(BeNumerically(">", 1))
		Expect(disconnected).NotTo(Receive())
	})
})
