package wire

import (
	"context"
	"slices"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Metadata keys of watermill messages.
const (
	// MetadataPeer is the address to which Publish sends.
	MetadataPeer = "peer"
	// MetadataFrom is the process name of the sender of a received message.
	MetadataFrom = "from"
)

// PubSub is a watermill publisher and subscriber over the one-way messages of a node. Topics are the names
// of frame types; payloads are msgpack.
type PubSub struct{ node *Node }

var (
	_ message.Publisher  = (*PubSub)(nil)
	_ message.Subscriber = (*PubSub)(nil)
)

// PubSub returns the node's publisher and subscriber.
func (n *Node) PubSub() *PubSub { return &PubSub{node: n} }

// Publish sends each message to the address in its metadata and waits until it is written. It stops at the
// first error, which is a *fault.Error if it comes from the connection.
func (p *PubSub) Publish(topic string, messages ...*message.Message) error {
	t, err := ParseType(topic)
	if err != nil {
		return err
	}
	for _, m := range messages {
		addr := m.Metadata.Get(MetadataPeer)
		if addr == "" {
			return errors.Newf("message %s on topic %q has no %q metadata", m.UUID, topic, MetadataPeer)
		}
		if err := p.node.Send(m.Context(), addr, t, msgpack.RawMessage(m.Payload)); err != nil {
			return err
		}
	}
	return nil
}

// Subscribe returns a channel of the one-way messages of a type from all peers. The next message of a peer is
// delivered after Ack; Nack delivers the message again. The channel closes when ctx is done or the node closes.
func (p *PubSub) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	t, err := ParseType(topic)
	if err != nil {
		return nil, err
	}
	n := p.node
	ctx, cancel := context.WithCancel(ctx)
	s := &subscription{ctx: ctx, incoming: make(chan *message.Message), outgoing: make(chan *message.Message)}
	n.mu.Lock()
	n.subscribers[t] = append(slices.Clone(n.subscribers[t]), s)
	n.mu.Unlock()
	if !n.startGoroutine(func() { s.forward(n.ctx); n.unsubscribe(t, s); cancel() }) {
		cancel()
		return nil, errNodeClosed
	}
	return s.outgoing, nil
}

// Close does nothing: subscriptions end with their contexts or with the node.
func (p *PubSub) Close() error { return nil }

func (n *Node) unsubscribe(t Type, s *subscription) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers[t] = slices.DeleteFunc(slices.Clone(n.subscribers[t]), func(o *subscription) bool { return o == s })
}

type subscription struct {
	ctx      context.Context
	incoming chan *message.Message
	outgoing chan *message.Message
}

// forward is the only sender on outgoing, so that it can close the channel.
func (s *subscription) forward(nodeCtx context.Context) {
	defer close(s.outgoing)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-nodeCtx.Done():
			return
		case m := <-s.incoming:
			select {
			case s.outgoing <- m:
			case <-s.ctx.Done():
				return
			case <-nodeCtx.Done():
				return
			}
		}
	}
}

// deliver repeats the message until it is acknowledged or the subscription or the node ends.
func (s *subscription) deliver(r *Request) {
	for {
		m := message.NewMessage(watermill.NewUUID(), message.Payload(r.body))
		m.Metadata.Set(MetadataFrom, r.From)
		m.SetContext(r.ctx)
		select {
		case s.incoming <- m:
		case <-s.ctx.Done():
			return
		case <-r.ctx.Done():
			return
		}
		select {
		case <-m.Acked():
			return
		case <-m.Nacked():
		case <-s.ctx.Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}
