// Package runtime drives the reducer of a host: it queues events, reduces them one at a time and calls the handlers of
// the effects.
package runtime

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/event"
)

const topicEvents = "events"

// Handler executes one effect. It runs on the reducer's goroutine and must not block: it starts I/O on another
// goroutine and reports the result with Publish.
type Handler func(at clock.Millis, eff event.Effect)

// Runtime owns the reducer's state. Publish may be called from any goroutine, including handlers.
type Runtime struct {
	clock    clock.Clock
	state    *core.State
	eventLog io.Writer
	handlers map[event.Kind]Handler
	bus      *gochannel.GoChannel

	mu     sync.Mutex
	queue  []event.Envelope
	wake   chan struct{}
	closed bool
	done   chan struct{}
}

// New returns a runtime. If eventLog is not nil, each event is appended to it as a 4-byte big-endian length and the
// bytes of event.Encode, before it is reduced.
func New(c clock.Clock, state *core.State, eventLog io.Writer) *Runtime {
	return &Runtime{
		clock:    c,
		state:    state,
		eventLog: eventLog,
		handlers: map[event.Kind]Handler{},
		// Publish waits for the subscriber's ack, because a GoChannel otherwise delivers each message on a separate
		// goroutine, in any order.
		bus:  gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{}),
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
}

// Handle sets the handler of an effect kind. All handlers must be set before Run; effects without one are dropped.
func (r *Runtime) Handle(k event.Kind, h Handler) { r.handlers[k] = h }

// Clock returns the clock that stamps events.
func (r *Runtime) Clock() clock.Clock { return r.clock }

// Publish queues an event. Events of one goroutine are reduced in the order of their Publish calls. After Run has
// returned, events are dropped.
func (r *Runtime) Publish(ev event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.queue = append(r.queue, event.Envelope{At: r.clock.Now(), Event: ev})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run reduces events until ctx is done. It returns the first error of the event log, the codec or the bus. It must be
// called once.
func (r *Runtime) Run(ctx context.Context) error {
	defer close(r.done)
	defer r.close()
	messages, err := r.bus.Subscribe(ctx, topicEvents)
	if err != nil {
		return errors.Wrap(err, "subscribe to events")
	}
	failed := make(chan error, 1)
	go func() {
		for m := range messages {
			if err := r.reduce(m.Payload); err != nil {
				select {
				case failed <- err:
				default:
				}
			}
			m.Ack()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-r.wake:
			if err := r.publishQueued(ctx); err != nil {
				return err
			}
		}
	}
}

func (r *Runtime) publishQueued(ctx context.Context) error {
	r.mu.Lock()
	batch := r.queue
	r.queue = nil
	r.mu.Unlock()
	for _, e := range batch {
		if ctx.Err() != nil {
			return nil
		}
		b, err := event.Encode(e)
		if err != nil {
			return err
		}
		if err := r.bus.Publish(topicEvents, message.NewMessage("", b)); err != nil {
			return errors.Wrap(err, "publish event")
		}
	}
	return nil
}

func (r *Runtime) reduce(payload []byte) error {
	if r.eventLog != nil {
		if err := WriteLogRecord(r.eventLog, payload); err != nil {
			return err
		}
	}
	e, err := event.Decode(payload)
	if err != nil {
		return err
	}
	for _, eff := range core.Reduce(r.state, e) {
		if h, ok := r.handlers[eff.EffectKind()]; ok {
			h(e.At, eff)
		}
	}
	return nil
}

func (r *Runtime) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.bus.Close()
}

// Done is closed when Run has returned.
func (r *Runtime) Done() <-chan struct{} { return r.done }

// WriteLogRecord appends one record to an event log.
func WriteLogRecord(w io.Writer, b []byte) error {
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(b)))
	if _, err := w.Write(append(n[:], b...)); err != nil {
		return errors.Wrap(err, "write event log")
	}
	return nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadLogRecord reads one record of an event log. It returns io.EOF at the end of the log, and an error that wraps
// io.ErrUnexpectedEOF if the log ends within a record.
func ReadLogRecord(rd io.Reader) ([]byte, error) {
	var n [4]byte
	if _, err := io.ReadFull(rd, n[:]); err != nil {
		return nil, err
	}
	// The buffer grows with the bytes read, so that a damaged length does not allocate 4 GB.
	var b bytes.Buffer
	if _, err := io.CopyN(&b, rd, int64(binary.BigEndian.Uint32(n[:]))); err != nil {
		return nil, errors.Wrap(unexpectedEOF(err), "event log record is cut off")
	}
	return b.Bytes(), nil
}
