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

// Waiter is one request that waits at this host. It hears the pieces of the stream that it is attached to
// and then its one reply.
type Waiter struct {
	id  program.WaiterID
	hub *hub

	mu     sync.Mutex
	pieces []api.Piece
	reply  *program.Reply
	wake   chan struct{}
}

// Next returns the next piece, or the reply when there are no more pieces. After the reply, or when ctx has
// ended, the waiter is closed.
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

// contextError returns the error of a waiter whose context ended: the cause, if the host gave one.
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

// stream has the pieces of one call so far, so that a caller who joins late hears it from the beginning.
type stream struct {
	pieces     []api.Piece
	nextOffset int // offset of the next piece
	waiters    []*Waiter
	lastUsed   time.Time
}

// streamIdleTTL is how long a stream without waiters is kept.
const streamIdleTTL = time.Minute

// hub connects replies and stream pieces with the requests that wait for them.
type hub struct {
	lastID      atomic.Uint64
	publishGone func(program.WaiterGone)

	mu      sync.Mutex
	waiters map[program.WaiterID]*Waiter
	streams map[streamKey]*stream
	// closeErr answers every waiter once nothing reduces events any more; nil until then.
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

// closeWithError answers the waiters that are left, and all later ones, with err: the runtime has ended, and it drops the events
// that would have answered them. It returns how many were left.
func (h *hub) closeWithError(err *fault.Error) int {
	h.mu.Lock()
	left := h.waiters
	h.waiters, h.closeErr = map[program.WaiterID]*Waiter{}, err
	h.mu.Unlock()
	for id, w := range left {
		w.setReply(program.Reply{Waiter: id, Error: err})
	}
	return len(left)
}

func (h *hub) removeWaiter(w *Waiter) {
	h.mu.Lock()
	_, live := h.waiters[w.id]
	delete(h.waiters, w.id)
	h.mu.Unlock()
	if live {
		h.publishGone(program.WaiterGone{Waiter: w.id})
	}
}

// waiterCount returns the number of requests that wait.
func (h *hub) waiterCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiters)
}

// deliverReply ends a waiter. A reply without a waiter is dropped.
func (h *hub) deliverReply(r program.Reply) {
	h.mu.Lock()
	w, ok := h.waiters[r.Waiter]
	delete(h.waiters, r.Waiter)
	h.mu.Unlock()
	if ok {
		w.setReply(r)
	}
}

// attachStream lets the waiter hear the stream of a call from its beginning.
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

// addPiece adds to the stream of a call. A piece that does not follow the previous one is dropped: it comes from an
// earlier dispatch of the call.
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

// removeStream forgets the stream of a call that has ended.
func (h *hub) removeStream(k streamKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, k)
}

// removeIdleStreams forgets streams of calls that ended without a dispatch.
func (h *hub) removeIdleStreams() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, s := range h.streams {
		if time.Since(s.lastUsed) > streamIdleTTL {
			delete(h.streams, k)
		}
	}
}
