package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/logging"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultKeepAliveTimeout  = 2 * time.Second
	DefaultDialTimeout       = time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultQueueFrames       = 256
	DefaultBufferPieces      = 1024
	DefaultBufferBytes       = 4 << 20 // two of the largest frames
	DefaultInboxFrames       = 4096
	DefaultMaxRequests       = 4096
	DefaultMaxInboundBytes   = 16 << 20
	DefaultMaxLinks          = 2048
)

// Options configures a Node. Zero fields take the defaults above; ProcessName and OnPeerDisconnected have none.
type Options struct {
	// ProcessName identifies the process to its peers. It is sent in the hello frame and is unique to each
	// incarnation of a host.
	ProcessName string
	// HeartbeatInterval is the interval after which a heartbeat is sent on an open link on which nothing else was sent in
	// it. At most two intervals pass between two frames.
	HeartbeatInterval time.Duration
	// KeepAliveTimeout is the time without a received frame after which a link is closed. It also bounds one write.
	KeepAliveTimeout time.Duration
	DialTimeout      time.Duration
	// IdleTimeout is the time without a sent frame, heartbeats apart, after which a dialed link without exchanges is
	// closed.
	IdleTimeout time.Duration
	// QueueFrames bounds the frames that wait to be written to one peer; senders block while the queue is full.
	QueueFrames int
	// BufferPieces and BufferBytes bound the unread answer frames of one exchange; it fails if they are exceeded.
	BufferPieces int
	BufferBytes  int
	// InboxFrames bounds the one-way messages of one peer that wait for their handlers; one more closes the link.
	InboxFrames int
	// MaxRequests bounds the unanswered requests of one link; further requests fail with fault.CodeOverloaded.
	MaxRequests int
	// MaxInboundBytes bounds the large frames that all peers make this node read at the same time, and the bodies of those
	// whose handlers have not ended; at least two of the largest frames.
	MaxInboundBytes int
	// MaxLinks bounds the accepted connections; one more closes one of the remote address that has most.
	MaxLinks int
	// OnPeerDisconnected is called when a dialed link fails or reaches KeepAliveTimeout and when dialing fails, but not
	// when a link is closed as idle or by Close. Each call runs on its own goroutine. It may be nil.
	OnPeerDisconnected func(addr string)
}

func (o Options) withDefaults() Options {
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.KeepAliveTimeout, DefaultKeepAliveTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.QueueFrames, DefaultQueueFrames)
	setDefault(&o.BufferPieces, DefaultBufferPieces)
	setDefault(&o.BufferBytes, DefaultBufferBytes)
	setDefault(&o.InboxFrames, DefaultInboxFrames)
	setDefault(&o.MaxRequests, DefaultMaxRequests)
	setDefault(&o.MaxInboundBytes, DefaultMaxInboundBytes)
	setDefault(&o.MaxLinks, DefaultMaxLinks)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Handler handles a frame of a peer. Handlers of one-way messages run one at a time per peer, in the order of
// sending. Handlers of requests that expect an answer run each on its own goroutine and may return before Answer
// or Fail is called. ctx carries the peer's trace. For a request it ends when the requester cancels, when the link
// closes, or after the answer; for a one-way message when the node closes or all its handlers have returned.
type Handler func(ctx context.Context, r *Request)

// Node exchanges frames with other nodes. It dials one connection per peer address, which carries its own messages
// and requests and the answers to them. All methods may be called from any goroutine.
type Node struct {
	opts    Options
	inbound *inboundLimits
	ctx     context.Context
	cancel  context.CancelFunc
	lastID  atomic.Uint64
	wg      sync.WaitGroup

	mu             sync.Mutex
	closed         bool
	listeners      []net.Listener
	peers          map[string]*peer
	accepted       map[linkKey]*link
	links          map[*link]struct{}
	exchanges      map[uint64]*Exchange
	inboxes        map[string]*inbox
	handlers       map[Type]Handler
	subscribers    map[Type][]*subscription
	droppedAnswers atomic.Uint64
}

// linkKey identifies the accepted link of one peer. A peer that dials two addresses of this node has two links.
type linkKey struct{ processName, dialedAddress string }

// NewNode returns a node that does not listen yet. The caller closes it.
func NewNode(opts Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		opts:        opts.withDefaults(),
		inbound:     newInboundLimits(opts.withDefaults()),
		ctx:         ctx,
		cancel:      cancel,
		peers:       map[string]*peer{},
		accepted:    map[linkKey]*link{},
		links:       map[*link]struct{}{},
		exchanges:   map[uint64]*Exchange{},
		inboxes:     map[string]*inbox{},
		handlers:    map[Type]Handler{},
		subscribers: map[Type][]*subscription{},
	}
}

// Listen accepts connections at addr and returns the address in use, which differs from addr if its port
// is 0.
func (n *Node) Listen(addr string) (net.Addr, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", addr)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = l.Close()
		return nil, errNodeClosed
	}
	n.listeners = append(n.listeners, l)
	n.wg.Add(1)
	go n.acceptLoop(l)
	return l.Addr(), nil
}

// acceptRetryDelay is the delay after a failed accept, for example when no file descriptor is free.
const acceptRetryDelay = 50 * time.Millisecond

func (n *Node) acceptLoop(l net.Listener) {
	defer n.wg.Done()
	for {
		conn, err := l.Accept()
		switch {
		case n.ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return
		case err != nil:
			logging.Emit(logging.AcceptFailed, logging.Fields{"error": err})
			select {
			case <-time.After(acceptRetryDelay):
			case <-n.ctx.Done():
			}
		default:
			n.serveConn(conn)
		}
	}
}

// Handle sets the handler of a frame type. Frames of the types hello, stream, answer and cancel are handled by the
// node itself. A request without a handler fails; a one-way message without a handler or subscriber is dropped.
func (n *Node) Handle(t Type, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[t] = h
}

// DroppedAnswers returns the number of answer frames that arrived for no open exchange.
func (n *Node) DroppedAnswers() uint64 { return n.droppedAnswers.Load() }

var errNodeClosed = errors.New("node is closed")

// Close closes all connections, fails open exchanges and waits for the node's goroutines, including running
// handlers.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.cancel()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	links := make([]*link, 0, len(n.links))
	for l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.close(errNodeClosed)
	}
	n.wg.Wait()
	n.mu.Lock()
	openExchanges := make([]*Exchange, 0, len(n.exchanges))
	for _, x := range n.exchanges {
		openExchanges = append(openExchanges, x)
	}
	n.mu.Unlock()
	for _, x := range openExchanges {
		x.failLocally(fault.CodeCanceled, errNodeClosed)
	}
	return nil
}

// startGoroutine runs f on a goroutine that Close waits for; it reports false if the node is closed.
func (n *Node) startGoroutine(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
	return true
}

// Send sends a one-way message and waits until it is written to the connection; if the connection fails, it may
// still be lost. Messages to one address arrive in the order of the calls. The error is a *fault.Error.
func (n *Node) Send(ctx context.Context, addr string, t Type, body any) error {
	f, err := n.newOutgoingFrame(ctx, addr, t, 0, body)
	if err != nil {
		return err
	}
	f.result = make(chan *fault.Error, 1)
	if err := n.enqueueFrame(ctx, addr, f); err != nil {
		return err
	}
	select {
	case e := <-f.result:
		if e != nil {
			return e
		}
		return nil
	case <-ctx.Done():
		return f.abandon(ctx.Err(), t.String(), addr)
	case <-n.ctx.Done():
		return f.abandon(errNodeClosed, t.String(), addr)
	}
}

// Open sends a request and returns the exchange on which its answer arrives; the caller closes it. Open waits only
// for room in the peer's queue; a failure to connect is returned by Next. ctx bounds Open alone and supplies the
// trace. The error is a *fault.Error.
func (n *Node) Open(ctx context.Context, addr string, t Type, body any) (*Exchange, error) {
	id := n.lastID.Add(1)
	f, err := n.newOutgoingFrame(ctx, addr, t, id, body)
	if err != nil {
		return nil, err
	}
	x := &Exchange{node: n, id: id, step: t.String(), addr: addr, request: f, ready: make(chan struct{}, 1)}
	f.exchange = x
	n.mu.Lock()
	n.exchanges[id] = x
	n.mu.Unlock()
	if err := n.enqueueFrame(ctx, addr, f); err != nil {
		n.removeExchange(id)
		return nil, err
	}
	return x, nil
}

// Call sends a request and decodes its single answer into out, which may be nil. When ctx ends first, the request is
// canceled at the peer. The error is a *fault.Error.
func (n *Node) Call(ctx context.Context, addr string, t Type, body, out any) error {
	x, err := n.Open(ctx, addr, t, body)
	if err != nil {
		return err
	}
	defer x.Close()
	p, err := x.Next(ctx)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := p.Decode(out); err != nil {
		return (&fault.Error{Code: fault.CodeInternal, Step: t.String(), Message: err.Error(), Outcome: fault.OutcomeUnknown}).WithPeer(addr)
	}
	return nil
}

func (n *Node) newOutgoingFrame(ctx context.Context, addr string, t Type, id uint64, body any) (*outgoingFrame, error) {
	b, err := encodeFrame(t, id, injectTrace(ctx), body)
	if errors.Is(err, errFrameTooLarge) {
		return nil, fault.New(fault.CodeTooLarge, t.String(), "%v", err).WithPeer(addr)
	}
	if err != nil {
		return nil, fault.New(fault.CodeInternal, t.String(), "%v", err).WithPeer(addr)
	}
	return &outgoingFrame{bytes: b, step: t.String()}, nil
}

func (n *Node) enqueueFrame(ctx context.Context, addr string, f *outgoingFrame) error {
	p, err := n.peer(addr)
	if err != nil {
		return fault.New(fault.CodeCanceled, f.step, "%v", err).WithPeer(addr)
	}
	// select would choose at random between a done context and room in the queue.
	if ctx.Err() != nil {
		return fault.New(faultCode(ctx.Err()), f.step, "%v", ctx.Err()).WithPeer(addr)
	}
	select {
	case p.queue <- f:
		return nil
	case <-ctx.Done():
		return fault.New(faultCode(ctx.Err()), f.step, "peer's queue is full: %v", ctx.Err()).WithPeer(addr)
	case <-n.ctx.Done():
		return fault.New(fault.CodeCanceled, f.step, "%v", errNodeClosed).WithPeer(addr)
	}
}

func (n *Node) peer(addr string) (*peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errNodeClosed
	}
	p, ok := n.peers[addr]
	if !ok {
		p = &peer{node: n, addr: addr, queue: make(chan *outgoingFrame, n.opts.QueueFrames)}
		n.peers[addr] = p
		n.wg.Add(1)
		go p.writeLoop()
	}
	return p, nil
}

func (n *Node) removeExchange(id uint64) {
	n.mu.Lock()
	delete(n.exchanges, id)
	n.mu.Unlock()
}

// faultCode maps the error of a context, errNodeClosed or the error of a connection to a fault code.
func faultCode(err error) fault.Code {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return fault.CodeTimeout
	case errors.Is(err, context.Canceled), errors.Is(err, errNodeClosed):
		return fault.CodeCanceled
	}
	return fault.CodePeerUnreachable
}
