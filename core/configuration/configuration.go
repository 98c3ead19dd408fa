package configuration

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// Origin says where a configuration came from.
type Origin string

const (
	OriginNone  Origin = ""
	OriginCache Origin = "cache"
	OriginStore Origin = "store"
	OriginPeer  Origin = "peer"
	OriginApply Origin = "apply" // this host accepted the ticket itself
)

// Offered brings a whole configuration. The store's answer that there is none has the number 0.
type Offered struct {
	Origin   Origin    `msgpack:"o"`
	Document *Document `msgpack:"d"`
}

// Pushed brings one accepted ticket from a peer.
type Pushed struct {
	From   string        `msgpack:"f"` // peer address of the sender
	Base   uint64        `msgpack:"b"` // number in force before the ticket
	Ticket config.Ticket `msgpack:"t"`
	At     clock.Millis  `msgpack:"a"` // when the ticket was accepted
}

// PeerHeard brings the number in force at a peer.
type PeerHeard struct {
	From   string `msgpack:"f"`
	Number uint64 `msgpack:"n"`
}

// InForce is the effect that puts a configuration in force.
type InForce struct {
	Origin   Origin    `msgpack:"o"`
	Document *Document `msgpack:"d"`
}

// Fetch is the effect that reads the configuration from a peer that has a higher number.
type Fetch struct {
	From   string `msgpack:"f"`
	Number uint64 `msgpack:"n"`
}

// Confirmed is the effect that tells, once, that the store or a peer has answered.
type Confirmed struct {
	Origin Origin `msgpack:"o"`
	Number uint64 `msgpack:"n"`
}

// Kinds of the messages.
const (
	KindOffered   event.Kind = "configuration.offered"
	KindPushed    event.Kind = "configuration.pushed"
	KindPeerHeard event.Kind = "configuration.peer_heard"
	KindInForce   event.Kind = "configuration.in_force"
	KindFetch     event.Kind = "configuration.fetch"
	KindConfirmed event.Kind = "configuration.confirmed"
)

func (Offered) EventKind() event.Kind    { return KindOffered }
func (Pushed) EventKind() event.Kind     { return KindPushed }
func (PeerHeard) EventKind() event.Kind  { return KindPeerHeard }
func (InForce) EffectKind() event.Kind   { return KindInForce }
func (Fetch) EffectKind() event.Kind     { return KindFetch }
func (Confirmed) EffectKind() event.Kind { return KindConfirmed }

func init() {
	for _, e := range []event.Event{Offered{}, Pushed{}, PeerHeard{}} {
		event.Register(e)
	}
}

// State is the subsystem "configuration": the document in force.
type State struct {
	current *Document
	// confirmed is set once the store or a peer has answered; from then on the cached copy is not used.
	confirmed bool
}

// NewState returns a state with an empty configuration, number 0.
func NewState() *State { return &State{current: &Document{}} }

// Reduce implements core.Subsystem.
func (s *State) Reduce(_ clock.Millis, ev event.Event) []event.Effect {
	switch e := ev.(type) {
	case Offered:
		return s.offered(e)
	case Pushed:
		return s.pushed(e)
	case PeerHeard:
		return s.peerHeard(e)
	}
	return nil
}

func (s *State) offered(e Offered) []event.Effect {
	if e.Document == nil || (e.Origin == OriginCache && s.confirmed) {
		return nil
	}
	effects := s.apply(e.Origin, e.Document)
	if e.Origin == OriginCache {
		return effects
	}
	return append(effects, s.confirm(e.Origin)...)
}

func (s *State) pushed(e Pushed) []event.Effect {
	switch {
	case e.Ticket.Number <= s.current.Number:
		return s.confirm(OriginPeer)
	case e.Base != s.current.Number:
		return []event.Effect{Fetch{From: e.From, Number: e.Ticket.Number}}
	}
	effects := s.apply(OriginPeer, s.current.Merge(e.Ticket, e.At))
	return append(effects, s.confirm(OriginPeer)...)
}

func (s *State) peerHeard(e PeerHeard) []event.Effect {
	switch {
	case e.Number > s.current.Number:
		return []event.Effect{Fetch(e)}
	case e.Number == 0:
		// A peer that has just started has no configuration to confirm.
		return nil
	}
	return s.confirm(OriginPeer)
}

// apply puts the document in force if its number is higher than the one in force.
func (s *State) apply(o Origin, d *Document) []event.Effect {
	if d.Number <= s.current.Number {
		return nil
	}
	s.current = d
	return []event.Effect{InForce{Origin: o, Document: d}}
}

func (s *State) confirm(o Origin) []event.Effect {
	if s.confirmed {
		return nil
	}
	s.confirmed = true
	return []event.Effect{Confirmed{Origin: o, Number: s.current.Number}}
}
