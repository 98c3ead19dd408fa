package memlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/hyssopreel/hyssopreel/core/membudget"
)

// phase is what a connection waits for.
type phase int32

const (
	// phaseIdle waits for the next request, and phaseHead for the rest of its head.
	phaseIdle phase = iota
	phaseHead
	// phaseBody waits for the rest of a body.
	phaseBody
	// phaseBusy waits for this process or for a backend server.
	phaseBusy
)

const (
	// minBodyBytesPerSecond is the average rate below which a body is given up after bodyRateGrace. The slowest honest
	// senders have 250,000 bytes a second.
	minBodyBytesPerSecond = 8 << 10
	bodyRateGrace         = 5 * time.Second
	// thawWait is the time in which a read that reached its timeout is tried again: after a freeze of the process, timers
	// expire before bytes that have arrived are read.
	thawWait = 20 * time.Millisecond
)

// Errors of reads. The request was not executed.
var (
	// ErrBodyStalled means that the client sends its body too slowly or stopped.
	ErrBodyStalled = errors.New("body stopped arriving")
	// ErrNoMemory means that the connections use as much memory as they may.
	ErrNoMemory = errors.New("connections use as much memory as they may")
	// ErrEvicted means that others need the memory of the connection while it waits for its client.
	ErrEvicted = errors.New("memory is needed for other requests")
)

// refusal is the response to a head that is not read to its end for want of memory.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout bounds the write of a refusal.
const refusalTimeout = 100 * time.Millisecond

// Conn is a connection of a client.
type Conn struct {
	*net.TCPConn
	limiter *Limiter
	account *account

	phase atomic.Int32
	// progressAt is when the client last did what the connection waits for, in Unix nanoseconds: the last byte of a body,
	// the first byte of a head, the end of the last request.
	progressAt atomic.Int64
	// writing is set while a write waits for the client.
	writing atomic.Bool
	evicted atomic.Bool
	// evictedBytes is what the connection used when it was evicted; the limiter's mutex guards it.
	evictedBytes int64

	// The rest belongs to the goroutine that reads.
	head headScanner
	// headBytes is what is counted for the head of the current request.
	headBytes     int64
	bodyStartedAt time.Time
	bodyBytes     int64

	closeOnce sync.Once
}

// headScanner finds the lines of a head and its end.
type headScanner struct {
	lineBytes int
	onlyCR    bool
}

// scan returns the number of lines that end in b, and whether the head ends there.
func (s *headScanner) scan(b []byte) (lines int, ended bool) {
	for len(b) > 0 {
		n := bytes.IndexByte(b, '\n')
		if n < 0 {
			s.extend(b)
			return lines, false
		}
		s.extend(b[:n])
		lines++
		blank := s.lineBytes == 0 || s.onlyCR
		*s = headScanner{}
		if blank {
			return lines, true
		}
		b = b[n+1:]
	}
	return lines, false
}

func (s *headScanner) extend(b []byte) {
	if len(b) > 0 {
		s.onlyCR = s.lineBytes == 0 && len(b) == 1 && b[0] == '\r'
		s.lineBytes += len(b)
	}
}

// waitsForClient reports whether the connection waits for its client rather than for this process.
func (c *Conn) waitsForClient() bool { return phase(c.phase.Load()) != phaseBusy || c.writing.Load() }

// Read implements net.Conn. It counts the head of a request before net/http parses it.
func (c *Conn) Read(b []byte) (int, error) {
	// net/http reads one byte while it waits for a handler, to detect that the client leaves. All other reads fill a buffer.
	if len(b) == 1 {
		return c.TCPConn.Read(b)
	}
	switch phase(c.phase.Load()) {
	case phaseBusy:
		return c.TCPConn.Read(b)
	case phaseBody:
		return c.readBody(b)
	}
	return c.readHead(b)
}

func (c *Conn) readHead(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	if phase(c.phase.Load()) == phaseIdle {
		c.phase.Store(int32(phaseHead))
		storeNow(&c.progressAt)
	}
	lines, ended := c.head.scan(b[:n])
	size := int64(n + lines*headLineBytes)
	if !c.account.reserve(size) {
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails only if the connection is closed already
		_, _ = io.WriteString(c.TCPConn, refusal)                      // the client may have left
		return 0, io.EOF
	}
	c.headBytes += size
	if ended {
		c.phase.Store(int32(phaseBusy))
	}
	return n, err
}

func (c *Conn) readBody(b []byte) (int, error) {
	stall := time.Duration(c.limiter.bodyStallTimeout.Load())
	if stall > 0 {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(stall)) // if this fails, the read does
	}
	if c.evicted.Load() {
		return 0, ErrEvicted
	}
	n, err := c.TCPConn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.evicted.Load() {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(thawWait)) // if this fails, the read does
		n, err = c.TCPConn.Read(b)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if c.evicted.Load() {
			return n, ErrEvicted
		}
		return n, ErrBodyStalled
	}
	if n == 0 {
		return n, err
	}
	storeNow(&c.progressAt)
	c.bodyBytes += int64(n)
	if elapsed := time.Since(c.bodyStartedAt); elapsed > bodyRateGrace && float64(c.bodyBytes) < minBodyBytesPerSecond*(elapsed-bodyRateGrace).Seconds() {
		return n, ErrBodyStalled
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	storeNow(&c.progressAt)
	c.writing.Store(true)
	n, err := c.TCPConn.Write(b)
	c.writing.Store(false)
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that responses are written by Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// BeginBody is called before the body of a request is read, and EndBody after it.
func (c *Conn) BeginBody() {
	c.bodyStartedAt, c.bodyBytes = time.Now(), 0
	c.progressAt.Store(c.bodyStartedAt.UnixNano())
	c.phase.Store(int32(phaseBody))
}

// EndBody ends what BeginBody began.
func (c *Conn) EndBody() { c.phase.Store(int32(phaseBusy)) }

// becomeIdle releases what the last request used.
func (c *Conn) becomeIdle() {
	c.headBytes, c.head = 0, headScanner{}
	storeNow(&c.progressAt)
	l := c.limiter
	l.mu.Lock()
	l.releaseLocked(c.account, c.account.budget.Used()-connBytes)
	l.mu.Unlock()
	c.phase.Store(int32(phaseIdle))
}

// unreadBytes returns the number of bytes that have arrived and were not read.
func (c *Conn) unreadBytes() int64 {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // 0 on a closed connection
	return int64(n)
}

// abort closes the connection with a reset.
func (c *Conn) abort() {
	_ = c.TCPConn.SetLinger(0) // fails only if the connection is closed already
	_ = c.TCPConn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.closeOnce.Do(func() {
		l := c.limiter
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		c.account.close()
	})
	return err
}

// Listen listens at a TCP address; connections are limited.
func (l *Limiter) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if l.options.ReceiveBufferBytes == 0 {
			return nil
		}
		// Accepted connections inherit the size. It must be set before the handshake, in which the window is agreed on.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.options.ReceiveBufferBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &limitedListener{Listener: listener, limiter: l}, nil
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. It closes connections for which there is no descriptor or memory.
func (ll *limitedListener) Accept() (net.Conn, error) {
	for {
		netConn, err := ll.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := ll.limiter.admit(netConn.(*net.TCPConn)); c != nil {
			return c, nil
		}
	}
}

// admit counts a new connection; nil if it was closed.
func (l *Limiter) admit(tcpConn *net.TCPConn) *Conn {
	if l.options.SendBufferBytes > 0 {
		_ = tcpConn.SetWriteBuffer(l.options.SendBufferBytes) // fails only if the connection is closed already
	}
	host, _, _ := net.SplitHostPort(tcpConn.RemoteAddr().String())
	l.mu.Lock()
	c := &Conn{TCPConn: tcpConn, limiter: l, account: &account{limiter: l, budget: l.budget.Open(host)}}
	c.account.conn = c
	storeNow(&c.progressAt)
	if l.hasRoomLocked() && l.reserveLocked(c.account, connBytes) == membudget.Granted {
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c
	}
	victim := l.longestWaiting()
	if victim != nil {
		l.evictLocked(victim)
	}
	l.mu.Unlock()
	if victim != nil && phase(victim.phase.Load()) != phaseBody {
		victim.abort() // frees its descriptor at once
		l.mu.Lock()
		admitted := l.reserveLocked(c.account, connBytes) == membudget.Granted
		if admitted {
			l.conns[c] = struct{}{}
		}
		l.mu.Unlock()
		if admitted {
			return c
		}
	}
	c.abort()
	c.account.close()
	return nil
}

// hasRoomLocked reports whether one more connection may be open.
func (l *Limiter) hasRoomLocked() bool {
	open := len(l.conns)
	if l.options.MaxConns > 0 && open >= l.options.MaxConns {
		return false
	}
	limit := l.budget.Limit()
	return limit <= 0 || float64((open+1)*connBytes) <= maxConnsFraction*float64(limit)
}
