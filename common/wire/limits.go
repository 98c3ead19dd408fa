package wire

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"github.com/hyssopreel/hyssopreel/common/fault"
)

const (
	// maxHelloBytes bounds the first frame of a link: the names of two processes and an address.
	maxHelloBytes = 4 << 10
	// smallFrameBytes is the size up to which frames are not counted: heartbeats and most requests.
	smallFrameBytes = 16 << 10
	// frameCopies is the memory of a frame that is decoded, in multiples of its size: what was read, and its body.
	frameCopies = 2
	// receiveBufferBytes is the kernel's receive buffer of an accepted connection. Its bytes count as memory of the process.
	receiveBufferBytes = 64 << 10
)

var errInboundFull = errors.New("peers send more than this host may hold")

// inboundLimits bounds what peers make this node hold.
type inboundLimits struct {
	// reading counts the large frames that are being read and decoded; a link waits for its turn.
	reading *semaphore.Weighted
	// held counts the bodies of large frames whose handlers have not ended; one that does not fit is refused.
	held     *semaphore.Weighted
	maxBytes int64
	maxLinks int
}

func newInboundLimits(o Options) *inboundLimits {
	maxBytes := int64(max(o.MaxInboundBytes, frameCopies*MaxFrameBytes))
	return &inboundLimits{reading: semaphore.NewWeighted(maxBytes), held: semaphore.NewWeighted(maxBytes), maxBytes: maxBytes, maxLinks: o.MaxLinks}
}

// readNextFrame reads a frame. The frames that all links read at the same time are bounded, except small ones; done ends
// what was counted, and is called after the frame was handled.
func (l *link) readNextFrame(r *bufio.Reader, first bool) (f *frame, done func(), err error) {
	done = func() {}
	n, err := readFrameSize(r)
	if err != nil {
		return nil, done, err
	}
	if first && n > maxHelloBytes {
		return nil, done, errors.Newf("first frame has %d bytes; a hello has at most %d", n, maxHelloBytes)
	}
	if n > smallFrameBytes {
		ctx, cancel := context.WithTimeout(l.ctx, l.node.opts.KeepAliveTimeout)
		defer cancel()
		if l.node.inbound.reading.Acquire(ctx, frameCopies*n) != nil {
			return nil, done, errInboundFull
		}
		done = func() { l.node.inbound.reading.Release(frameCopies * n) }
		// The wait for other frames is not the peer's silence.
		_ = l.conn.SetReadDeadline(time.Now().Add(l.node.opts.KeepAliveTimeout)) // if this fails, the read does
	}
	f, err = readFrameBody(r, n)
	return f, done, err
}

// hold counts the body of a large frame until its handler ends. It reports false if there is no room for it.
func (n *Node) hold(r *Request) bool {
	size := int64(len(r.body))
	if size <= smallFrameBytes {
		return true
	}
	if !n.inbound.held.TryAcquire(size) {
		return false
	}
	r.heldBytes.Store(size)
	return true
}

// unhold ends what hold began; it may be called more than once.
func (n *Node) unhold(r *Request) {
	if size := r.heldBytes.Swap(0); size > 0 {
		n.inbound.held.Release(size)
	}
}

func errTooMuchHeld(t Type) *fault.Error {
	return fault.New(fault.CodeOverloaded, t.String(), "%v", errInboundFull)
}

// makeRoom closes a link if a new one would exceed the bound: the oldest of the remote address that has most, so that
// many connections from one address lock no peer out.
func (n *Node) makeRoom() {
	n.mu.Lock()
	oldest, counts, accepted := map[string]*link{}, map[string]int{}, 0
	for l := range n.links {
		if l.peer != nil {
			continue
		}
		accepted++
		ip := remoteIP(l.conn)
		counts[ip]++
		if o := oldest[ip]; o == nil || l.acceptedAt.Before(o.acceptedAt) {
			oldest[ip] = l
		}
	}
	var victim *link
	most := 0
	if accepted >= n.inbound.maxLinks {
		for ip, count := range counts {
			if count > most {
				victim, most = oldest[ip], count
			}
		}
	}
	n.mu.Unlock()
	if victim != nil {
		victim.close(errors.New("too many links; its address has most of them"))
	}
}

func remoteIP(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return host
}

// limitReceiveBuffer is a net.ListenConfig.Control. Accepted connections inherit the size, which must be set before the
// handshake, in which the window is agreed on.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}
