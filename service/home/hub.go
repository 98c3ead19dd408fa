package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// Waiter is one request that waits at this host. It receives the pieces of the stream that it is attached to, and
// then one reply.
type Waiter struct {
	id  program.WaiterID
	hub *hub

	mu     sync.Mutex
	pieces []api.Piece
	reply  *program.Reply
	wake   chan struct{}
}

// Next returns the next piece, or the reply when there are no more pieces. When ctx ends first, it returns an error
// and the waiter is removed.
func (w *Waiter) Next(ctx context.Context) (*api.Piece, *program.Reply, error) {
	for {
		w.mu.Lock()
		if len(w.pieces) > 0 {
			p := w.pieces[0]
			w.pieces = w.pieces[1:]
			w.mu.Unlock()
			return &p, nil, nil
		}
		if r := w.reply; r != nil {
			w.mu.Unlock()
			return nil, r, nil
		}
		w.mu.Unlock()
		select {
		case <-w.wake:
		case <-ctx.Done():
			w.hub.removeWaiter(w)
			return nil, nil, contextError(ctx)
		}
	}
}

// contextError returns the error of a waiter whose context ended: the context's cause if that is a fault.Error, else
// code canceled with outcome unknown.
func contextError(ctx context.Context) error {
	var cause *fault.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return fault.New(fault.CodeCanceled, "wait for answer", "%v", ctx.Err()).WithOutcome(fault.OutcomeUnknown)
}

func (w *Waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Waiter) addPiece(p api.Piece) {
	w.mu.Lock()
	w.pieces = append(w.pieces, p)
	w.mu.Unlock()
	w.signal()
}

func (w *Waiter) setReply(r program.Reply) {
	w.mu.Lock()
	w.reply = &r
	w.mu.Unlock()
	w.signal()
}

type streamKey struct {
	program ids.Program
	key     string
}

// stream keeps the pieces of one call, so that a waiter attached later receives them from the beginning.
type stream struct {
	pieces     []api.Piece
	nextOffset int // in tokens
	waiters    []*Waiter
	lastUsed   time.Time
}

// streamIdleTTL is how long a stream is kept after its last use.
const streamIdleTTL = time.Minute

// hub connects replies and stream pieces with the requests that wait for them.
type hub struct {
	lastID      atomic.Uint64
	publishGone func(program.WaiterGone)

	mu      sync.Mutex
	waiters map[program.WaiterID]*Waiter
	streams map[streamKey]*stream
	// closeErr is the error of all waiters after closeWithError; nil before.
	closeErr *fault.Error
}

func newHub(publish func(program.WaiterGone)) *hub {
	return &hub{publishGone: publish, waiters: map[program.WaiterID]*Waiter{}, streams: map[streamKey]*stream{}}
}

func (h *hub) newWaiter() *Waiter {
	w := &Waiter{id: program.WaiterID(h.lastID.Add(1)), hub: h, wake: make(chan struct{}, 1)}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closeErr != nil {
		w.setReply(program.Reply{Waiter: w.id, Error: h.closeErr})
		return w
	}
	h.waiters[w.id] = w
	return w
}

// closeWithError fails the remaining and all later waiters with err, because a runtime that has ended drops the events
// that would produce their replies. It returns the number of remaining waiters.
func (h *hub) closeWithError(err *fault.Error) int {
	h.mu.Lock()
	remaining := h.waiters
	h.waiters, h.closeErr = map[program.WaiterID]*Waiter{}, err
	h.mu.Unlock()
	for id, w := range remaining {
		w.setReply(program.Reply{Waiter: id, Error: err})
	}
	return len(remaining)
}

func (h *hub) removeWaiter(w *Waiter) {
	h.mu.Lock()
	_, waiting := h.waiters[w.id]
	delete(h.waiters, w.id)
	h.mu.Unlock()
	if waiting {
		h.publishGone(program.WaiterGone{Waiter: w.id})
	}
}

func (h *hub) waiterCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiters)
}

// deliverReply delivers the reply and removes its waiter. A reply without a waiter is dropped.
func (h *hub) deliverReply(r program.Reply) {
	h.mu.Lock()
	w, ok := h.waiters[r.Waiter]
	delete(h.waiters, r.Waiter)
	h.mu.Unlock()
	if ok {
		w.setReply(r)
	}
}

// attachStream delivers the stream of a call to the waiter, from its beginning.
func (h *hub) attachStream(e program.AttachStream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w, ok := h.waiters[e.Waiter]
	if !ok {
		return
	}
	s := h.streamFor(streamKey{e.Program, e.Key})
	for _, p := range s.pieces {
		w.addPiece(p)
	}
	s.waiters = append(s.waiters, w)
}

func (h *hub) streamFor(k streamKey) *stream {
	s, ok := h.streams[k]
	if !ok {
		s = &stream{}
		h.streams[k] = s
	}
	s.lastUsed = time.Now()
	return s
}

// addPiece adds a piece of that many tokens to the stream of a call. A piece that does not follow the previous one is
// dropped: it comes from an earlier dispatch of the call.
func (h *hub) addPiece(k streamKey, p api.Piece, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.streamFor(k)
	if p.Offset != s.nextOffset {
		return
	}
	s.nextOffset += tokens
	s.pieces = append(s.pieces, p)
	for _, w := range s.waiters {
		w.addPiece(p)
	}
}

// removeStream drops the stream of a call that has completed.
func (h *hub) removeStream(k streamKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, k)
}

// removeIdleStreams drops the streams that were unused for streamIdleTTL, such as those of calls that ended without
// a dispatch.
func (h *hub) removeIdleStreams() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, s := range h.streams {
		if time.Since(s.lastUsed) > streamIdleTTL {
			delete(h.streams, k)
		}
	}
}
