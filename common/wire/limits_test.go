package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/fault"
)

func startTestNode(t *testing.T, o Options) (*Node, string) {
	t.Helper()
	o.KeepAliveTimeout = 5 * time.Second
	n := NewNode(o)
	t.Cleanup(func() { _ = n.Close() })
	a, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return n, a.String()
}

// connect opens a connection and exchanges hello frames.
func connect(t *testing.T, address, name string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	b, err := encodeFrame(TypeHello, 0, "", helloBody{Version: protocolVersion, ProcessName: name, DialedAddress: address})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	if f, err := readFrame(r); err != nil || f.Type != TypeHello {
		t.Fatalf("frame %v, error %v, want a hello", f, err)
	}
	return conn, r
}

func awaitClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Fatalf("the connection is open: %v", err)
	}
}

// Guards against memory that is allocated for anybody who connects and announces a large frame.
func TestFirstFrameIsSmall(t *testing.T) {
	_, address := startTestNode(t, Options{ProcessName: "a.1"})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(binary.BigEndian.AppendUint32(nil, MaxFrameBytes)); err != nil {
		t.Fatal(err)
	}
	awaitClosed(t, conn)
}

// Guards against large frames of many peers that are read at the same time, and against small frames that wait for them.
func TestLargeFramesWaitForEachOther(t *testing.T) {
	n, address := startTestNode(t, Options{ProcessName: "a.1", MaxInboundBytes: 1}) // room for one of the largest
	n.Handle(TypeTicketFetch, func(_ context.Context, r *Request) { _ = r.Answer("read") })
	stalled, _ := connect(t, address, "b.1")
	if _, err := stalled.Write(binary.BigEndian.AppendUint32(nil, MaxFrameBytes)); err != nil {
		t.Fatal(err)
	}
	for n.inbound.reading.TryAcquire(1) { // until the first bytes of the frame were read
		n.inbound.reading.Release(1)
		time.Sleep(time.Millisecond)
	}
	answered := func(name string, size int) chan error {
		conn, r := connect(t, address, name)
		b, err := encodeFrame(TypeTicketFetch, 1, "", strings.Repeat("x", size))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
		out := make(chan error, 1)
		go func() {
			for {
				f, err := readFrame(r)
				if err != nil || f.Type == TypeAnswer {
					out <- err
					return
				}
			}
		}()
		return out
	}
	large := answered("c.1", 32<<10)
	if err := <-answered("d.1", 100); err != nil {
		t.Fatalf("a small request beside a large frame: %v", err)
	}
	select {
	case err := <-large:
		t.Fatalf("a large request was read beside another large frame: %v", err)
	default:
	}
	_ = stalled.Close()
	if err := <-large; err != nil {
		t.Fatalf("the large request after the other frame: %v", err)
	}
}

// Guards against bodies of requests that are held without bound while their handlers run.
func TestBodiesOfRunningRequestsAreBounded(t *testing.T) {
	n, address := startTestNode(t, Options{ProcessName: "a.1", MaxInboundBytes: 1})
	release := make(chan struct{})
	n.Handle(TypeTicketFetch, func(_ context.Context, r *Request) {
		<-release
		_ = r.Answer("done")
	})
	caller, _ := startTestNode(t, Options{ProcessName: "b.1"})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	results := make(chan error, 4)
	for range 4 { // the room is for two and a half of these
		go func() {
			results <- caller.Call(ctx, address, TypeTicketFetch, strings.Repeat("x", MaxFrameBytes*3/4), nil)
		}()
	}
	if err := <-results; err == nil || fault.From(err, "").Code != fault.CodeOverloaded {
		t.Errorf("error %v, want the code overloaded", err)
	}
	close(release)
	accepted := 0
	for range 3 {
		if <-results == nil {
			accepted++
		}
	}
	if accepted == 0 {
		t.Error("no request was accepted")
	}
	if err := caller.Call(ctx, address, TypeTicketFetch, strings.Repeat("x", MaxFrameBytes*3/4), nil); err != nil {
		t.Errorf("a request after the end of the others: %v", err)
	}
}

// Guards against one address that locks the peers out by opening many connections.
func TestNewLinkReplacesOneOfTheAddressWithMost(t *testing.T) {
	_, address := startTestNode(t, Options{ProcessName: "a.1", MaxLinks: 3})
	peer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	peerConn, err := peer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peerConn.Close() }()
	first, _ := connect(t, address, "b.1")
	for _, name := range []string{"b.2", "b.3", "b.4"} {
		connect(t, address, name)
	}
	awaitClosed(t, first)
	_ = peerConn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := peerConn.Read(make([]byte, 1)); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection of the other address was closed: %v", err)
	}
}
