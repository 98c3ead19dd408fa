package wire

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/logging"
)

// States of an outgoing frame. A frame leaves stateQueued exactly once, so that a sender that stops waiting can
// report whether any byte of the frame may have been written.
const (
	stateQueued int32 = iota
	stateWriting
	stateDropped
)

type outgoingFrame struct {
	bytes    []byte
	step     string
	state    atomic.Int32
	result   chan *fault.Error // one-way messages only; capacity 1
	exchange *Exchange         // requests only
	isCancel bool              // dropped rather than sent on a new connection
}

func (f *outgoingFrame) fail(e *fault.Error) {
	if f.result != nil {
		f.result <- e
	}
	if f.exchange != nil {
		f.exchange.fail(e)
	}
}

// abandon drops the frame if it is still queued and returns the error for its sender, which no longer waits.
func (f *outgoingFrame) abandon(cause error, step, addr string) *fault.Error {
	e := fault.New(faultCode(cause), step, "%v", cause).WithPeer(addr)
	if f.state.CompareAndSwap(stateQueued, stateDropped) {
		return e
	}
	return e.WithOutcome(fault.OutcomeUnknown)
}

// peer is the queue of frames for one address. When a link fails, frames that are not yet written stay queued for
// the next link.
type peer struct {
	node       *Node
	addr       string
	queue      chan *outgoingFrame
	link       *link
	dialFailed bool // the last attempt to dial failed; logged once
}

func (p *peer) writeLoop() {
	defer p.node.wg.Done()
	heartbeatTicker := time.NewTicker(p.node.opts.HeartbeatInterval)
	defer heartbeatTicker.Stop()
	lastUse := time.Now()
	for {
		select {
		case <-p.node.ctx.Done():
			return
		case f := <-p.queue:
			lastUse = time.Now()
			p.writeFrame(f)
		case <-heartbeatTicker.C:
			if p.link == nil || p.link.isClosed() {
				continue
			}
			if time.Since(lastUse) > p.node.opts.IdleTimeout && !p.link.hasExchanges() {
				p.link.close(errIdle)
				continue
			}
			p.link.sendHeartbeat()
		}
	}
}

var errIdle = errors.New("link is idle")

func (p *peer) writeFrame(f *outgoingFrame) {
	for {
		if p.link == nil || p.link.isClosed() {
			if f.isCancel || f.state.Load() == stateDropped {
				return
			}
			if err := p.dial(); err != nil {
				p.failQueue(f, err)
				return
			}
		}
		if f.exchange == nil || p.link.attach(f.exchange) {
			break
		}
	}
	if !f.state.CompareAndSwap(stateQueued, stateWriting) {
		if f.exchange != nil {
			p.link.detach(f.exchange)
		}
		return
	}
	n, err := p.link.write(f.bytes)
	switch {
	case err == nil:
		if f.result != nil {
			f.result <- nil
		}
		return
	case n == 0:
		if f.exchange != nil {
			p.link.detach(f.exchange)
		}
		f.fail(fault.New(fault.CodePeerUnreachable, f.step, "%v", err).WithPeer(p.addr))
	default:
		f.fail(fault.New(fault.CodePeerUnreachable, f.step, "%v", err).WithPeer(p.addr).WithOutcome(fault.OutcomeUnknown))
	}
	p.link.close(err)
}

// failQueue fails f and all queued frames, so that they do not wait for one dial timeout each.
func (p *peer) failQueue(f *outgoingFrame, err error) {
	for {
		if f.state.CompareAndSwap(stateQueued, stateDropped) {
			f.fail(fault.New(fault.CodePeerUnreachable, f.step, "%v", err).WithPeer(p.addr))
		}
		select {
		case f = <-p.queue:
		default:
			return
		}
	}
}

func (p *peer) dial() error {
	ctx, cancel := context.WithTimeout(p.node.ctx, p.node.opts.DialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.handleDialFailure(err)
		return errors.Wrap(err, "dial")
	}
	l := newLink(p.node, conn)
	l.peer = p
	if _, err := l.writeMessage(TypeHello, helloBody{Version: protocolVersion, ProcessName: p.node.opts.ProcessName, DialedAddress: p.addr}); err != nil {
		_ = conn.Close()
		p.handleDialFailure(err)
		return errors.Wrap(err, "send hello")
	}
	if !p.node.addLink(l) {
		_ = conn.Close()
		return errNodeClosed
	}
	p.link, p.dialFailed = l, false
	logging.Emit(logging.LinkOpened, logging.Fields{"peer": p.addr})
	if !p.node.startGoroutine(l.readLoop) {
		l.close(errNodeClosed)
		return errNodeClosed
	}
	return nil
}

func (p *peer) handleDialFailure(err error) {
	if !p.dialFailed && p.node.ctx.Err() == nil {
		logging.Emit(logging.PeerUnreachable, logging.Fields{"peer": p.addr, "error": err})
	}
	p.dialFailed = true
	p.node.notifyPeerDisconnected(p.addr)
}

func (n *Node) notifyPeerDisconnected(addr string) {
	if n.opts.OnPeerDisconnected != nil && n.ctx.Err() == nil {
		go n.opts.OnPeerDisconnected(addr)
	}
}

func (n *Node) addLink(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.links[l] = struct{}{}
	return true
}

// link is one TCP connection. A dialed link has a peer and sends the frames of exchanges; an accepted link has its
// own queue and receives requests.
type link struct {
	node  *Node
	conn  net.Conn
	peer  *peer               // dialed links
	queue chan *outgoingFrame // accepted links
	// acceptedAt is set on accepted links.
	acceptedAt time.Time
	done       chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	writeMu    sync.Mutex // one frame is written at a time
	// hasWritten is set by each written frame; a heartbeat is due only if it is not set at the end of an interval.
	hasWritten atomic.Bool

	mu            sync.Mutex
	closed        bool
	remoteProcess string // process name of the peer, from its hello frame
	key           linkKey
	exchanges     map[uint64]*Exchange
	requests      map[uint64]*Request
}

func newLink(n *Node, conn net.Conn) *link {
	ctx, stop := context.WithCancel(n.ctx)
	return &link{
		node: n, conn: conn, done: make(chan struct{}), ctx: ctx, cancel: stop,
		exchanges: map[uint64]*Exchange{}, requests: map[uint64]*Request{},
	}
}

// serveConn starts the read loop of an accepted connection, which starts the write loop after the hello frames.
func (n *Node) serveConn(conn net.Conn) {
	n.makeRoom()
	l := newLink(n, conn)
	l.acceptedAt = time.Now()
	l.queue = make(chan *outgoingFrame, n.opts.QueueFrames)
	if !n.addLink(l) || !n.startGoroutine(l.readLoop) {
		l.close(errNodeClosed)
	}
}

func (l *link) write(b []byte) (int, error) {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.node.opts.KeepAliveTimeout)); err != nil {
		return 0, err
	}
	l.hasWritten.Store(true)
	return l.conn.Write(b)
}

func (l *link) writeMessage(t Type, body any) (int, error) {
	b, err := encodeFrame(t, 0, "", body)
	if err != nil {
		return 0, err
	}
	return l.write(b)
}

// sendHeartbeat sends a heartbeat unless another frame was written since the last call.
func (l *link) sendHeartbeat() {
	if l.hasWritten.Swap(false) {
		return
	}
	if _, err := l.writeMessage(TypeHeartbeat, nil); err != nil {
		l.close(err)
	}
}

func (l *link) writeLoop() {
	heartbeatTicker := time.NewTicker(l.node.opts.HeartbeatInterval)
	defer heartbeatTicker.Stop()
	for {
		select {
		case <-l.done:
			return
		case f := <-l.queue:
			if _, err := l.write(f.bytes); err != nil {
				l.close(err)
				return
			}
		case <-heartbeatTicker.C:
			l.sendHeartbeat()
		}
	}
}

var errKeepAliveTimeout = errors.New("link is silent")

func (l *link) readLoop() {
	r := bufio.NewReader(l.conn)
	for first := true; ; first = false {
		// A link without a frame for KeepAliveTimeout is closed even if TCP reports no error: a connection can stop
		// delivering permanently while new ones work.
		_ = l.conn.SetReadDeadline(time.Now().Add(l.node.opts.KeepAliveTimeout))
		f, done, err := l.readNextFrame(r, first)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errors.Wrapf(errKeepAliveTimeout, "no frame for %s", l.node.opts.KeepAliveTimeout)
		}
		if err == nil && first {
			err = l.handleHello(f)
		} else if err == nil {
			err = l.handleFrame(f)
		}
		done()
		if err != nil {
			l.close(err)
			return
		}
	}
}

// handleHello handles the first frame. A new link of a peer replaces its old one, whose unread frames would
// otherwise be handled after newer ones.
func (l *link) handleHello(f *frame) error {
	if f.Type != TypeHello {
		return errors.Newf("first frame is %s, not hello", f.Type)
	}
	var h helloBody
	if err := msgpack.Unmarshal(f.Body, &h); err != nil {
		return errors.Wrap(err, "decode hello")
	}
	if h.Version != protocolVersion {
		return errors.Newf("peer %s has protocol version %d, not %d", h.ProcessName, h.Version, protocolVersion)
	}
	l.mu.Lock()
	l.remoteProcess = h.ProcessName
	l.mu.Unlock()
	if l.peer != nil {
		return nil
	}
	l.mu.Lock()
	l.key = linkKey{processName: h.ProcessName, dialedAddress: h.DialedAddress}
	l.mu.Unlock()
	n := l.node
	n.mu.Lock()
	old := n.accepted[l.key]
	n.accepted[l.key] = l
	n.mu.Unlock()
	if old != nil && h.ProcessName != "" {
		old.close(errors.New("replaced by a newer link of the peer"))
	}
	if _, err := l.writeMessage(TypeHello, helloBody{Version: protocolVersion, ProcessName: n.opts.ProcessName}); err != nil {
		return err
	}
	// The write loop sends heartbeats, and the peer rejects a link whose first frame is not the hello.
	if !n.startGoroutine(l.writeLoop) {
		return errNodeClosed
	}
	return nil
}

func (l *link) handleFrame(f *frame) error {
	switch {
	case f.Type == TypeHello:
		return errors.New("second hello on one link")
	case f.Type == TypeHeartbeat && f.ID == 0 && isNil(f.Body):
		return nil
	case f.Type == TypeAnswer || f.Type == TypePiece:
		l.handleAnswer(f)
		return nil
	case f.Type == TypeCancel:
		l.mu.Lock()
		r := l.requests[f.ID]
		l.mu.Unlock()
		if r != nil {
			r.finish()
		}
		return nil
	case f.ID == 0:
		return l.node.enqueueOneWay(l, f)
	}
	l.handleRequest(f)
	return nil
}

// handleAnswer passes an answer frame to its exchange. It drops a frame without an exchange on this link, such as
// a late answer or one from another peer.
func (l *link) handleAnswer(f *frame) {
	l.mu.Lock()
	x := l.exchanges[f.ID]
	l.mu.Unlock()
	if x == nil {
		l.node.droppedAnswers.Add(1)
		logging.Emit(logging.AnswerFrameDropped, logging.Fields{"from": l.peerProcessName(), "type": f.Type, "request": f.ID})
		return
	}
	x.handleAnswer(f)
}

// attach registers the exchange to receive answers from this link; it reports false if the link is closed.
func (l *link) attach(x *Exchange) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	x.link.Store(l)
	l.exchanges[x.id] = x
	return true
}

func (l *link) detach(x *Exchange) {
	l.mu.Lock()
	delete(l.exchanges, x.id)
	l.mu.Unlock()
}

func (l *link) hasExchanges() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.exchanges) > 0
}

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *link) peerProcessName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remoteProcess
}

// close closes the connection, fails the exchanges that are registered on it and cancels its requests.
func (l *link) close(cause error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	exchanges, requests, key := l.exchanges, l.requests, l.key
	l.exchanges, l.requests = map[uint64]*Exchange{}, map[uint64]*Request{}
	l.mu.Unlock()
	close(l.done)
	l.cancel()
	_ = l.conn.Close()
	l.node.mu.Lock()
	delete(l.node.links, l)
	if l.node.accepted[key] == l {
		delete(l.node.accepted, key)
	}
	l.node.mu.Unlock()
	for _, r := range requests {
		r.cancel()
		l.node.unhold(r)
	}
	code := fault.CodePeerUnreachable
	if errors.Is(cause, errNodeClosed) {
		code = fault.CodeCanceled
	}
	for _, x := range exchanges {
		x.failLocally(code, cause)
	}
	l.reportClosed(cause, len(exchanges))
}

// reportClosed logs the end of the link and, if a dialed link failed, calls OnPeerDisconnected.
func (l *link) reportClosed(cause error, exchanges int) {
	switch {
	case errors.Is(cause, errNodeClosed) || errors.Is(cause, errIdle):
	case l.peer == nil:
		fields := logging.Fields{"remote": l.conn.RemoteAddr(), "from": l.peerProcessName(), "error": cause}
		logging.Emit(logging.LinkClosed, fields)
	default:
		logging.Emit(logging.LinkBroken, logging.Fields{"peer": l.peer.addr, "error": cause, "exchanges": exchanges})
		l.node.notifyPeerDisconnected(l.peer.addr)
	}
}
