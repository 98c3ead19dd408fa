// Package memory starts the system's own processes and lets crowds of clients that stay within the configured limits make
// them hold as much as they can. The processes must live, stay within their memory and descriptors, and answer an ordinary
// request. Nothing here depends on the machine's speed.
package memory

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

const (
	headBytes = 16384   // limits.headerBytes of the configuration
	bodyBytes = 4194304 // limits.bodyBytes
	// sendTimeout bounds the time in which a crowd sends what it is to send; the rest is left unsent.
	sendTimeout = 30 * time.Second
	// holdTime is how long a crowd stays after it has sent everything, before the ordinary request.
	holdTime = time.Second
)

var binDir string

func TestMain(m *testing.M) {
	code := 1
	if err := run(m, &code); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(m *testing.M, code *int) error {
	// Two runs at once would compete for the machine's memory.
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "hyssopreel-memory-tests.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return err
	}
	root, err := testbed.RepoRoot()
	if err != nil {
		return err
	}
	if binDir, err = os.MkdirTemp("", "hyssopreel-bin-"); err != nil {
		return err
	}
	defer os.RemoveAll(binDir)
	if err := testbed.Build(root, binDir); err != nil {
		return err
	}
	*code = m.Run()
	return nil
}

// crowd is a number of connections that stay open until the end of the test.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// dialer opens connections whose clients accept few bytes that they do not read, so that the rest stays with the process.
var dialer = net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
}}

// gather opens n connections to an address. On each, it sends what content returns for its number; errors are ignored,
// because the process may refuse any of them.
func gather(t *testing.T, n int, address string, content func(i int) []byte) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	deadline := time.Now().Add(sendTimeout)
	var senders sync.WaitGroup
	for i := range n {
		senders.Go(func() {
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(deadline)
			_, _ = conn.Write(content(i))
		})
	}
	senders.Wait()
	time.Sleep(holdTime)
	return c
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// requestHead returns the head of a request without the empty line at its end.
func requestHead(path, lines string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nHyssopreel-Attempt-Id: %016x\r\nHyssopreel-Deadline-Ms: 30000\r\n%s", path, callerHost, rand.Uint64(), lines)
}

// shortLines returns different header lines with the shortest names, up to the size.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-8; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36))
		b.WriteString(":\r\n")
	}
	return b.String()
}

// oddLines returns header lines whose names need another spelling, with blanks for values and some continued lines, up to
// the size.
func oddLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-24; i++ {
		fmt.Fprintf(&b, "x%s:\t\r\n", strconv.FormatInt(int64(i), 36))
		if i%16 == 0 {
			b.WriteString(" ,\r\n")
		}
	}
	return b.String()
}

func sized(head string, length, sent int) []byte {
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, length), bytes.Repeat([]byte("x"), sent)...)
}

// chunked returns a request with a body in chunks, without its last chunk.
func chunked(head string, length, chunk int) []byte {
	b := fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, bytes.Repeat([]byte("x"), chunk))
	return append(b, bytes.Repeat(one, length/chunk)...)
}

// mostStopShort returns the number of bytes that a sender of length bytes sends: one in eight sends all.
func mostStopShort(i, length int) int {
	if i%8 == 0 {
		return length
	}
	return length - 1 - i%7
}

// TestEntryHostUnderCrowds guards against the loss of an entry host to clients that stay within the limits: it read
// bodies and heads without counting what they take together.
func TestEntryHostUnderCrowds(t *testing.T) {
	const margin = 512 // of a head, for its first lines
	for _, test := range []struct {
		name    string
		clients int
		content func(i int) []byte
	}{
		{"short header lines, bodies that stop short", 500, func(int) []byte {
			return sized(requestHead("/write/8", shortLines(headBytes-margin)), 64, 63)
		}},
		{"short header lines, heads that stop short", 600, func(int) []byte {
			return []byte(requestHead("/write/8", shortLines(headBytes-margin)))
		}},
		{"odd header lines", 600, func(int) []byte {
			return sized(requestHead("/write/8", oddLines(headBytes-margin)), 64, 63)
		}},
		{"long bodies that stop short", 40, func(i int) []byte {
			return sized(requestHead("/write/8", ""), bodyBytes, mostStopShort(i, bodyBytes))
		}},
		{"whole bodies", 600, func(int) []byte { return sized(requestHead("/write/8", ""), 1<<20, 1<<20) }},
		{"large chunks", 40, func(i int) []byte {
			return chunked(requestHead("/write/8", ""), bodyBytes-(i%7)*(64<<10), 64<<10)
		}},
		{"one-byte chunks", 60, func(i int) []byte {
			return chunked(requestHead("/write/8", ""), 5*bodyBytes/16-i%7, 1)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startEntryHost(t)
			h.serverDelay.Store(int64(300 * time.Millisecond))
			gather(t, test.clients, h.callers, test.content)
			h.answersOrdinaryRequest(t)
			h.check(t, entryMemoryMB<<20, entryDescriptors)
		})
	}
}

// TestEntryHostUnderSlowSenders guards against bodies that arrive piece by piece, so that none is large when it is
// admitted.
func TestEntryHostUnderSlowSenders(t *testing.T) {
	h := startEntryHost(t)
	const clients, pieces = 40, 64
	c := gather(t, clients, h.callers, func(int) []byte { return sized(requestHead("/write/8", ""), bodyBytes, 0) })
	piece := bytes.Repeat([]byte("x"), bodyBytes/pieces)
	deadline := time.Now().Add(sendTimeout)
	for i := range pieces {
		for _, conn := range c.conns {
			_ = conn.SetWriteDeadline(minTime(deadline, time.Now().Add(20*time.Millisecond)))
			_, _ = conn.Write(piece[:len(piece)-(i+1)/pieces])
		}
	}
	time.Sleep(holdTime)
	h.answersOrdinaryRequest(t)
	h.check(t, entryMemoryMB<<20, entryDescriptors)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// TestEntryHostUnderSlowReaders guards against responses that are held for callers that do not read them.
func TestEntryHostUnderSlowReaders(t *testing.T) {
	h := startEntryHost(t)
	gather(t, 200, h.callers, func(int) []byte { return sized(requestHead("/write/4000000", ""), 2, 2) })
	h.answersOrdinaryRequest(t)
	h.check(t, entryMemoryMB<<20, entryDescriptors)
}

// TestEntryHostUnderIdleConnections guards against the use of all descriptors by connections that send nothing.
func TestEntryHostUnderIdleConnections(t *testing.T) {
	h := startEntryHost(t)
	gather(t, 1500, h.callers, func(int) []byte { return nil })
	h.answersOrdinaryRequest(t)
	waitReady(t, h.process, "http://"+h.ready+"/readyz")
	waitReady(t, h.process, "http://"+h.metrics+"/metrics")
	h.check(t, entryMemoryMB<<20, entryDescriptors)
}

// TestEntryHostUnderCrowdsAtOtherPorts guards against the loss of an entry host to the clients of its directory,
// readiness, metrics and peer ports.
func TestEntryHostUnderCrowdsAtOtherPorts(t *testing.T) {
	heads := func(path string) func(int) []byte {
		return func(int) []byte {
			return []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + shortLines(256<<10))
		}
	}
	for _, test := range []struct {
		name    string
		clients int
		address func(h *entryHost) string
		content func(i int) []byte
	}{
		{"directory", 100, func(h *entryHost) string { return h.directory }, heads("/resolve")},
		{"readiness", 100, func(h *entryHost) string { return h.ready }, heads("/readyz")},
		{"metrics", 100, func(h *entryHost) string { return h.metrics }, heads("/metrics")},
		{"peer", 80, func(h *entryHost) string { return h.peer }, func(int) []byte {
			const frameBytes = 2 << 20 // wire.MaxFrameBytes
			return append([]byte{0, frameBytes >> 16, 0, 0}, make([]byte, frameBytes-1)...)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startEntryHost(t)
			gather(t, test.clients, test.address(h), test.content)
			h.answersOrdinaryRequest(t)
			waitReady(t, h.process, "http://"+h.ready+"/readyz")
			h.check(t, entryMemoryMB<<20, entryDescriptors)
		})
	}
}

// TestEntryHostServesLargestRequest guards against bounds that refuse a single request within the limits.
func TestEntryHostServesLargestRequest(t *testing.T) {
	h := startEntryHost(t)
	askUntilAnswered(t, h.process, func() (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/write/4000000", bytes.NewReader(make([]byte, bodyBytes)))
		if err == nil {
			r.Host = callerHost
			r.Header.Set("Hyssopreel-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
			for i := range 900 {
				r.Header.Set(fmt.Sprintf("X-%d", i), "value")
			}
		}
		return r, err
	})
	askUntilAnswered(t, h.process, func() (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/write/8", io.MultiReader(bytes.NewReader(make([]byte, bodyBytes))))
		if err == nil {
			r.Host = callerHost
			r.Header.Set("Hyssopreel-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
		}
		return r, err
	})
	h.check(t, entryMemoryMB<<20, entryDescriptors)
}
