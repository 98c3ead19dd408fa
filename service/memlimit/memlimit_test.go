package memlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// Guards against a head whose lines are counted differently if it arrives in other pieces.
func TestHeadIsScannedAlikeInAllPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`([a-z: \r]{0,6}\n){0,8}[a-z\r]{0,3}`).Draw(t, "text")
		wantLines, wantEnd := 0, false
		for line := range strings.Lines(text) {
			if strings.HasSuffix(line, "\n") {
				wantLines++
				if wantEnd = line == "\n" || line == "\r\n"; wantEnd {
					break
				}
			}
		}
		var s headScanner
		lines, ended := 0, false
		for rest := []byte(text); len(rest) > 0 && !ended; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			var more int
			more, ended = s.scan(rest[:n])
			lines += more
			rest = rest[n:]
		}
		if lines != wantLines || ended != wantEnd {
			t.Fatalf("%q: %d lines, end %v; want %d, %v", text, lines, ended, wantLines, wantEnd)
		}
	})
}

type testServer struct {
	limiter *Limiter
	address string
}

// startServer serves requests with a limiter; their bodies are read by the handler.
func startServer(t *testing.T, o Options, handler http.HandlerFunc) *testServer {
	t.Helper()
	l := New(o)
	listener, err := l.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuse := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	server := &http.Server{
		Handler: l.Handler(handler, 1, refuse), ConnContext: ConnContext, ConnState: ConnState, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return &testServer{limiter: l, address: listener.Addr().String()}
}

func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusRequestTimeout)
	}
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// send writes to a connection and returns the status of the response, or the error.
func send(c net.Conn, text string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// awaitUsed waits until the limiter counts that many bytes.
func (s *testServer) awaitUsed(t *testing.T, what string, matches func(used int64, conns int) bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if used, _, conns := s.limiter.Usage(); matches(used, conns) {
			return
		}
	}
	used, _, conns := s.limiter.Usage()
	t.Fatalf("%s: %d bytes are used by %d connections", what, used, conns)
}

// Guards against memory that stays counted after a request, or after the end of its connection.
func TestEverythingIsReleased(t *testing.T) {
	s := startServer(t, Options{Bytes: 8 << 20}, readBody)
	c := s.dial(t)
	for range 3 {
		if status, err := send(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000)); status != 200 || err != nil {
			t.Fatalf("status %d, error %v", status, err)
		}
		s.awaitUsed(t, "after a request", func(used int64, conns int) bool { return used == connBytes && conns == 1 })
	}
	_ = c.Close()
	s.awaitUsed(t, "after the connection", func(used int64, conns int) bool { return used == 0 && conns == 0 })
}

// Guards against a head that is held before it is counted: it is refused while it arrives.
func TestHeadOverTheBoundIsRefused(t *testing.T) {
	s := startServer(t, Options{Bytes: 1 << 20}, readBody)
	var lines strings.Builder
	for i := range 8000 {
		fmt.Fprintf(&lines, "a%x:\r\n", i)
	}
	c := s.dial(t)
	// The refusal comes before the end of the head, so that its client may find the connection reset.
	if status, err := send(c, "GET / HTTP/1.1\r\nHost: h\r\n"+lines.String()+"\r\n"); status != http.StatusServiceUnavailable && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("status %d, error %v", status, err)
	}
	s.awaitUsed(t, "after the refusal", func(used int64, _ int) bool { return used == 0 })
	if status, err := send(s.dial(t), get); status != 200 || err != nil {
		t.Fatalf("status %d, error %v of an ordinary request", status, err)
	}
}

// Guards against bodies that stop short and keep their memory, while others are refused.
func TestStalledBodiesMakeRoomForOthers(t *testing.T) {
	s := startServer(t, Options{Bytes: 4 << 20, BodyStallTimeout: time.Minute}, readBody)
	const size = 1 << 20
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	stalled := make([]net.Conn, 3)
	for i := range stalled {
		stalled[i] = s.dial(t)
		if _, err := io.WriteString(stalled[i], head+strings.Repeat("x", size-1)); err != nil {
			t.Fatal(err)
		}
	}
	s.awaitUsed(t, "stalled bodies", func(used int64, _ int) bool { return used > 3*size })
	time.Sleep(minStall)
	for range 2 {
		if status, err := send(s.dial(t), head+strings.Repeat("x", size)); status != 200 || err != nil {
			t.Fatalf("status %d, error %v of a whole body", status, err)
		}
	}
}

// Guards against a body that stops short and is kept for good, while nobody else needs its memory.
func TestStalledBodyIsGivenUp(t *testing.T) {
	s := startServer(t, Options{Bytes: 4 << 20, BodyStallTimeout: 50 * time.Millisecond}, readBody)
	status, err := send(s.dial(t), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nxxxxxxxxx")
	if status != http.StatusRequestTimeout || err != nil {
		t.Fatalf("status %d, error %v", status, err)
	}
}

// Guards against a request that is canceled because its connection is silent after its body: net/http reads one byte to
// detect that the client leaves, and may begin before the handler knows that the body has ended.
func TestReadForTheEndOfAConnectionHasNoTimeout(t *testing.T) {
	const stall = 20 * time.Millisecond
	l := New(Options{Bytes: 8 << 20, BodyStallTimeout: stall})
	listener, err := l.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	accepted.(*Conn).BeginBody()
	time.AfterFunc(4*stall, func() { _, _ = client.Write([]byte("x")) })
	if n, err := accepted.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("%d bytes, error %v", n, err)
	}
}

// Guards against a caller that waits for its answer and loses its connection, because its client seems to be silent.
func TestConnectionThatWaitsForTheProcessIsNotEvicted(t *testing.T) {
	release := make(chan struct{})
	var entered sync.WaitGroup
	entered.Add(1)
	s := startServer(t, Options{Bytes: 8 << 20, MaxConns: 1}, func(http.ResponseWriter, *http.Request) {
		entered.Done()
		<-release
	})
	c := s.dial(t)
	statuses := make(chan int, 1)
	go func() {
		status, _ := send(c, get)
		statuses <- status
	}()
	entered.Wait()
	time.Sleep(minStall)
	if other, err := net.Dial("tcp", s.address); err == nil { // the reset may come first
		if status, err := send(other, get); err == nil {
			t.Errorf("status %d of a connection over the bound", status)
		}
		_ = other.Close()
	}
	close(release)
	if status := <-statuses; status != 200 {
		t.Errorf("status %d of the active request", status)
	}
}

// Guards against new callers that are refused because idle connections use all descriptors.
func TestOldestIdleConnectionIsClosedForANewOne(t *testing.T) {
	s := startServer(t, Options{Bytes: 8 << 20, MaxConns: 3}, readBody)
	conns := make([]net.Conn, 4)
	for i := range conns {
		conns[i] = s.dial(t)
		if status, err := send(conns[i], get); status != 200 || err != nil {
			t.Fatalf("status %d, error %v of connection %d", status, err, i)
		}
		s.awaitUsed(t, "idle", func(used int64, conns int) bool { return used == int64(conns)*connBytes && conns <= 3 })
	}
	if status, err := send(conns[0], get); err == nil {
		t.Errorf("status %d on the oldest connection", status)
	}
	for _, c := range conns[1:] {
		if status, err := send(c, get); status != 200 || err != nil {
			t.Errorf("status %d, error %v on a younger connection", status, err)
		}
	}
}

// Guards against a response that is held for good for a client that does not read it.
func TestUnreadResponseIsGivenUp(t *testing.T) {
	ended := make(chan struct{})
	s := startServer(t, Options{Bytes: 64 << 20, WriteStallTimeout: 20 * time.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		_, _ = w.Write(make([]byte, 64<<20))
	})
	if _, err := io.WriteString(s.dial(t), get); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.limiter.Sweep()
		select {
		case <-ended:
			return
		default:
		}
	}
	t.Fatal("the response is still being written")
}

// Guards against bytes behind a request that is being handled: nobody reads them, and they count as memory of the process.
func TestUnreadBytesAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, Options{Bytes: 64 << 20, ReceiveBufferBytes: 32 << 10, UnreadBytes: 64 << 10}, func(http.ResponseWriter, *http.Request) { <-release })
	quiet := s.dial(t)
	statuses := make(chan int, 1)
	go func() {
		status, _ := send(quiet, get)
		statuses <- status
	}()
	const crowd = 16
	for range crowd {
		c := s.dial(t)
		_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)) // the buffers fill
		_, _ = io.WriteString(c, get+strings.Repeat("x", 4<<20))
	}
	unread := func() (total int64) {
		s.limiter.mu.Lock()
		defer s.limiter.mu.Unlock()
		for c := range s.limiter.conns {
			total += c.unreadBytes()
		}
		return total
	}
	if before := unread(); before <= 64<<10 {
		t.Fatalf("%d unread bytes of the crowd", before)
	}
	s.limiter.Sweep()
	s.awaitUsed(t, "after the sweep", func(int64, int) bool { return unread() <= 64<<10 })
	close(release)
	if status := <-statuses; status != 200 {
		t.Errorf("status %d of the request without unread bytes", status)
	}
}
