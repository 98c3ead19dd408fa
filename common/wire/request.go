package wire

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/logging"
)

// Request is a frame that a peer sent: a one-way message, or a request that expects an answer.
type Request struct {
	Type Type
	// From is the process name of the sender.
	From string

	id     uint64
	body   msgpack.RawMessage
	link   *link
	ctx    context.Context
	cancel context.CancelFunc

	// heldBytes is what Node.hold counted.
	heldBytes atomic.Int64

	mu       sync.Mutex
	answered bool
}

// Decode decodes the body into v.
func (r *Request) Decode(v any) error {
	return errors.Wrapf(msgpack.Unmarshal(r.body, v), "decode body of %s", r.Type)
}

// OneWay reports whether the sender expects no answer.
func (r *Request) OneWay() bool { return r.id == 0 }

// SendPiece sends a piece of the answer that is not the last. It blocks while the link's queue is full. It fails
// if the requester has canceled or disconnected, if the request is already answered, or if the piece is too large.
func (r *Request) SendPiece(v any) error { return r.sendAnswer(TypePiece, nil, v) }

// Answer sends the last piece of the answer. If it fails because the piece is too large, Fail may still be called.
func (r *Request) Answer(v any) error { return r.sendAnswer(TypeAnswer, nil, v) }

// Fail ends the request with an error. An error that is not a *fault.Error is sent as an internal error with an
// unknown outcome.
func (r *Request) Fail(err error) error {
	return r.sendAnswer(TypeAnswer, fault.From(err, r.Type.String()), nil)
}

var (
	errOneWay   = errors.New("a one-way message has no answer")
	errAnswered = errors.New("the request is already answered")
)

func (r *Request) sendAnswer(t Type, e *fault.Error, v any) error {
	if r.id == 0 {
		return errOneWay
	}
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode answer to %s", r.Type)
	}
	b, err := encodeFrame(t, r.id, injectTrace(r.ctx), &answerBody{Err: e, Value: raw})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered {
		return errAnswered
	}
	if err := r.ctx.Err(); err != nil {
		return errors.Wrapf(err, "answer to %s: request was canceled or its link closed", r.Type)
	}
	select {
	case r.link.queue <- &outgoingFrame{bytes: b, step: r.Type.String()}:
	case <-r.ctx.Done():
		return errors.Wrapf(r.ctx.Err(), "answer to %s: request was canceled or its link closed", r.Type)
	}
	if t == TypeAnswer {
		r.answered = true
		r.finish()
	}
	return nil
}

// finish removes the request from its link and ends its context.
func (r *Request) finish() {
	r.link.mu.Lock()
	delete(r.link.requests, r.id)
	r.link.mu.Unlock()
	r.cancel()
	r.link.node.unhold(r)
}

func (l *link) newRequest(parent context.Context, f *frame) *Request {
	ctx, cancel := context.WithCancel(extractTrace(parent, f.Trace))
	return &Request{Type: f.Type, From: l.peerProcessName(), id: f.ID, body: f.Body, link: l, ctx: ctx, cancel: cancel}
}

// handleRequest starts the handler of a request that expects an answer.
func (l *link) handleRequest(f *frame) {
	r := l.newRequest(l.ctx, f)
	if l.queue == nil {
		r.cancel() // only the dialing side of a link sends requests
		return
	}
	l.node.mu.Lock()
	h := l.node.handlers[f.Type]
	l.node.mu.Unlock()
	l.mu.Lock()
	full := len(l.requests) >= l.node.opts.MaxRequests
	l.requests[f.ID] = r
	closed := l.closed
	l.mu.Unlock()
	var rejection *fault.Error
	switch {
	case closed:
		r.cancel()
		return
	case h == nil:
		rejection = fault.New(fault.CodeInvalidRequest, f.Type.String(), "no handler for frames of type %s", f.Type)
	case full:
		rejection = fault.New(fault.CodeOverloaded, f.Type.String(), "limit of %d unanswered requests on one link is reached", l.node.opts.MaxRequests)
	case !l.node.hold(r):
		rejection = errTooMuchHeld(f.Type)
	}
	if l.isClosed() {
		l.node.unhold(r) // the link closed before the body was counted
	}
	run := func() { h(r.ctx, r) }
	if rejection != nil {
		run = func() { _ = r.Fail(rejection) }
	}
	if !l.node.startGoroutine(run) {
		r.finish()
	}
}

// inbox is the queue of one peer's one-way messages, whose handlers run in order.
type inbox struct {
	queue []*Request
}

var errInboxFull = errors.New("too many one-way messages wait for their handlers")

// enqueueOneWay queues a one-way message in the inbox of its peer. The inbox belongs to the peer rather than to
// the link, so that messages keep their order when a link is replaced. If it is full, the caller closes the link,
// so that the sender can detect the loss of messages.
func (n *Node) enqueueOneWay(l *link, f *frame) error {
	// The context is the node's: a received message is handled to the end even if the link closes.
	r := l.newRequest(n.ctx, f)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return errNodeClosed
	}
	box, running := n.inboxes[r.From]
	if !running {
		box = &inbox{}
		n.inboxes[r.From] = box
	}
	if len(box.queue) >= n.opts.InboxFrames {
		return errInboxFull
	}
	if !n.hold(r) {
		return errInboundFull
	}
	box.queue = append(box.queue, r)
	if !running {
		n.wg.Add(1)
		go n.runInbox(r.From, box)
	}
	return nil
}

func (n *Node) runInbox(from string, box *inbox) {
	defer n.wg.Done()
	for {
		n.mu.Lock()
		if len(box.queue) == 0 || n.closed {
			delete(n.inboxes, from)
			n.mu.Unlock()
			return
		}
		r := box.queue[0]
		box.queue = box.queue[1:]
		h := n.handlers[r.Type]
		subs := n.subscribers[r.Type]
		n.mu.Unlock()
		switch {
		case h != nil:
			h(r.ctx, r)
		case len(subs) == 0:
			logging.Emit(logging.MessageDropped, logging.Fields{"from": from, "type": r.Type})
		}
		for _, s := range subs {
			s.deliver(r)
		}
		r.cancel()
		n.unhold(r)
	}
}
