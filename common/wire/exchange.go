package wire

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/logging"
)

// Piece is one frame of an answer.
type Piece struct {
	// Last is set on the frame that ends the answer.
	Last  bool
	value msgpack.RawMessage
}

// Decode decodes the value of the piece into v.
func (p Piece) Decode(v any) error {
	return errors.Wrap(msgpack.Unmarshal(p.value, v), "decode answer")
}

// Exchange is a request that this node sent and the stream of its answer. Only one goroutine at a time may call
// Next.
type Exchange struct {
	node    *Node
	id      uint64
	step    string
	addr    string
	request *outgoingFrame
	link    atomic.Pointer[link]
	ready   chan struct{}

	mu            sync.Mutex
	pieces        []Piece
	bufferedBytes int // bytes in pieces
	complete      bool
	err           *fault.Error
}

// Next returns the next piece of the answer, or io.EOF after the last one. Any other error is a *fault.Error that
// ends the exchange: its outcome is "not run" only if no byte of the request was written to the connection, or if
// the peer reported it. When ctx ends, the exchange ends and a cancel frame is sent to the peer.
func (x *Exchange) Next(ctx context.Context) (Piece, error) {
	for {
		x.mu.Lock()
		switch {
		case len(x.pieces) > 0:
			p := x.pieces[0]
			x.pieces = x.pieces[1:]
			x.bufferedBytes -= len(p.value)
			x.mu.Unlock()
			return p, nil
		case x.err != nil:
			err := x.err
			x.mu.Unlock()
			return Piece{}, err
		case x.complete:
			x.mu.Unlock()
			return Piece{}, io.EOF
		}
		x.mu.Unlock()
		select {
		case <-x.ready:
		case <-ctx.Done():
			x.cancel(ctx.Err())
		}
	}
}

// Close ends the exchange. If its answer is not complete, a cancel frame is sent to the peer.
func (x *Exchange) Close() { x.cancel(errors.New("exchange is closed")) }

func (x *Exchange) cancel(cause error) {
	code := faultCode(cause)
	if code == fault.CodePeerUnreachable {
		code = fault.CodeCanceled
	}
	if x.failLocally(code, cause) {
		x.sendCancel()
	}
}

// sendCancel queues a cancel frame behind the request, unless the request was dropped from the queue and never sent.
func (x *Exchange) sendCancel() {
	if x.request.state.Load() == stateDropped {
		return
	}
	b, err := encodeFrame(TypeCancel, x.id, "", nil)
	if err != nil {
		return
	}
	f := &outgoingFrame{bytes: b, step: TypeCancel.String(), isCancel: true}
	p, err := x.node.peer(x.addr)
	if err != nil {
		return
	}
	select {
	case p.queue <- f:
	default:
		x.node.startGoroutine(func() {
			select {
			case p.queue <- f:
			case <-x.node.ctx.Done():
			}
		})
	}
}

// failLocally fails the exchange and reports false if it had ended already. The outcome is "not run" if the
// request was still in the queue.
func (x *Exchange) failLocally(code fault.Code, cause error) bool {
	e := fault.New(code, x.step, "%v", cause).WithPeer(x.addr)
	if !x.request.state.CompareAndSwap(stateQueued, stateDropped) && x.request.state.Load() != stateDropped {
		e = e.WithOutcome(fault.OutcomeUnknown)
	}
	return x.fail(e)
}

// fail ends the exchange with an error; it reports false if the exchange had ended already.
func (x *Exchange) fail(e *fault.Error) bool {
	x.mu.Lock()
	if x.complete || x.err != nil {
		x.mu.Unlock()
		return false
	}
	x.err = e
	x.mu.Unlock()
	x.unregister()
	return true
}

func (x *Exchange) unregister() {
	x.node.removeExchange(x.id)
	if l := x.link.Load(); l != nil {
		l.detach(x)
	}
	x.notify()
}

func (x *Exchange) notify() {
	select {
	case x.ready <- struct{}{}:
	default:
	}
}

func (x *Exchange) handleAnswer(f *frame) {
	var a answerBody
	if err := msgpack.Unmarshal(f.Body, &a); err != nil {
		x.cancel(errors.Wrap(err, "decode answer frame"))
		return
	}
	if a.Err != nil {
		if a.Err.Peer == "" {
			a.Err = a.Err.WithPeer(x.addr)
		}
		x.fail(a.Err)
		return
	}
	x.mu.Lock()
	opts := x.node.opts
	if len(x.pieces) >= opts.BufferPieces || (len(x.pieces) > 0 && x.bufferedBytes+len(a.Value) > opts.BufferBytes) {
		x.mu.Unlock()
		e := fault.New(fault.CodeOverloaded, x.step, "answer is read too slowly: more than %d frames or %d bytes are unread", opts.BufferPieces, opts.BufferBytes)
		if x.fail(e.WithPeer(x.addr).WithOutcome(fault.OutcomeUnknown)) {
			logging.Emit(logging.ExchangeReadTooSlow, logging.Fields{"peer": x.addr, "step": x.step})
			x.sendCancel()
		}
		return
	}
	last := f.Type == TypeAnswer
	x.pieces = append(x.pieces, Piece{Last: last, value: a.Value})
	x.bufferedBytes += len(a.Value)
	x.complete = x.complete || last
	x.mu.Unlock()
	if last {
		x.unregister()
		return
	}
	x.notify()
}
