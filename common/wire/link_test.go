package wire

import (
	"bufio"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against heartbeats that add to the traffic of a busy link, and against a link that is silent for longer than two
// intervals. Its time is virtual, so that a delay of the test process can't make the busy link silent.
func TestHeartbeatsFillOnlySilentIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 50 * time.Millisecond
		n := NewNode(Options{ProcessName: "b.1", HeartbeatInterval: interval, KeepAliveTimeout: 5 * time.Second})
		defer func() { _ = n.Close() }()
		client, server := net.Pipe()
		l := newLink(n, server)
		l.queue = make(chan *outgoingFrame, 64)
		if !n.startGoroutine(l.writeLoop) {
			t.Fatal("the node is closed")
		}
		defer func() { l.close(errNodeClosed); _ = client.Close() }()
		frames := make(chan Type, 64)
		go func() {
			for reader := bufio.NewReader(client); ; {
				f, err := readFrame(reader)
				if err != nil {
					return
				}
				frames <- f.Type
			}
		}()
		answer, err := encodeFrame(TypeAnswer, 1, "", answerBody{})
		if err != nil {
			t.Fatal(err)
		}
		const answers = 10
		for range answers {
			l.queue <- &outgoingFrame{bytes: answer}
			time.Sleep(interval / 4)
		}
		synctest.Wait()
		if len(frames) != answers {
			t.Errorf("%d frames while the link is busy, want %d", len(frames), answers)
		}
		for len(frames) > 0 {
			if f := <-frames; f != TypeAnswer {
				t.Errorf("frame %s while the link is busy", f)
			}
		}
		select {
		case f := <-frames:
			if f != TypeHeartbeat {
				t.Errorf("frame %s, want a heartbeat", f)
			}
		case <-time.After(2 * interval):
			t.Error("no heartbeat on a silent link")
		}
	})
}

// Guards against a heartbeat that precedes the reply to a hello frame that arrives late: the peer then closes the link.
func TestAcceptedLinkSendsNothingBeforeItsHello(t *testing.T) {
	const interval = 20 * time.Millisecond
	n := NewNode(Options{ProcessName: "b.1", HeartbeatInterval: interval, KeepAliveTimeout: 5 * time.Second})
	defer func() { _ = n.Close() }()
	addr, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(5 * interval))
	if size, err := conn.Read(make([]byte, 64)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes before the hello, error %v", size, err)
	}
	hello, err := encodeFrame(TypeHello, 0, "", helloBody{Version: protocolVersion, ProcessName: "a.1", DialedAddress: addr.String()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(hello); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	for i, want := range []Type{TypeHello, TypeHeartbeat} {
		f, err := readFrame(reader)
		if err != nil {
			t.Fatalf("read frame %d: %v", i, err)
		}
		if f.Type != want {
			t.Errorf("frame %d is %s, want %s", i, f.Type, want)
		}
	}
}
