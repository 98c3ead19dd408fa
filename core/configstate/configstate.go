package configstate

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

// DocumentReceived brings a whole configuration. The store's answer that there is none has the number 0.
type DocumentReceived struct {
	Origin   Origin    `msgpack:"o"`
	Document *Document `msgpack:"d"`
}

// TicketPushed brings one accepted ticket from a peer.
type TicketPushed struct {
	From       string        `msgpack:"f"`             // peer address of the sender
	BaseNumber uint64        `json:"Base" msgpack:"b"` // number in force before the ticket
	Ticket     config.Ticket `msgpack:"t"`
	AcceptedAt clock.Millis  `json:"At" msgpack:"a"` // when the ticket was accepted
}

// PeerNumberReceived brings the number in force at a peer.
type PeerNumberReceived struct {
	From   string `msgpack:"f"`
	Number uint64 `msgpack:"n"`
}

// ActivateDocument is the effect that puts a configuration in force.
type ActivateDocument struct {
	Origin   Origin    `msgpack:"o"`
	Document *Document `msgpack:"d"`
}

// FetchDocument is the effect that reads the configuration from a peer that has a higher number.
type FetchDocument struct {
	From   string `msgpack:"f"`
	Number uint64 `msgpack:"n"`
}

// ReportSynced is the effect that tells, once, that the store or a peer has answered.
type ReportSynced struct {
	Origin Origin `msgpack:"o"`
	Number uint64 `msgpack:"n"`
}

// Kinds of the messages.
const (
	KindDocumentReceived   event.Kind = "configuration.offered"
	KindTicketPushed       event.Kind = "configuration.pushed"
	KindPeerNumberReceived event.Kind = "configuration.peer_heard"
	KindActivateDocument   event.Kind = "configuration.in_force"
	KindFetchDocument      event.Kind = "configuration.fetch"
	KindReportSynced       event.Kind = "configuration.confirmed"
)

func (DocumentReceived) EventKind() event.Kind   { return KindDocumentReceived }
func (TicketPushed) EventKind() event.Kind       { return KindTicketPushed }
func (PeerNumberReceived) EventKind() event.Kind { return KindPeerNumberReceived }
func (ActivateDocument) EffectKind() event.Kind  { return KindActivateDocument }
func (FetchDocument) EffectKind() event.Kind     { return KindFetchDocument }
func (ReportSynced) EffectKind() event.Kind      { return KindReportSynced }

func init() {
	for _, e := range []event.Event{DocumentReceived{}, TicketPushed{}, PeerNumberReceived{}} {
		event.Register(e)
	}
}

// State is the subsystem "configuration": the document in force.
type State struct {
	current *Document
	// synced is set once the store or a peer has answered; from then on the cached copy is not used.
	synced bool
}

// NewState returns a state with an empty configuration, number 0.
func NewState() *State { return &State{current: &Document{}} }

// Reduce implements core.Subsystem.
func (s *State) Reduce(_ clock.Millis, ev event.Event) []event.Effect {
	switch e := ev.(type) {
	case DocumentReceived:
		return s.handleDocumentReceived(e)
	case TicketPushed:
		return s.handleTicketPushed(e)
	case PeerNumberReceived:
		return s.handlePeerNumberReceived(e)
	}
	return nil
}

func (s *State) handleDocumentReceived(e DocumentReceived) []event.Effect {
	if e.Document == nil || (e.Origin == OriginCache && s.synced) {
		return nil
	}
	effects := s.activateIfNewer(e.Origin, e.Document)
	if e.Origin == OriginCache {
		return effects
	}
	return append(effects, s.markSynced(e.Origin)...)
}

func (s *State) handleTicketPushed(e TicketPushed) []event.Effect {
	switch {
	case e.Ticket.Number <= s.current.Number:
		return s.markSynced(OriginPeer)
	case e.BaseNumber != s.current.Number:
		return []event.Effect{FetchDocument{From: e.From, Number: e.Ticket.Number}}
	}
	effects := s.activateIfNewer(OriginPeer, s.current.WithTicket(e.Ticket, e.AcceptedAt))
	return append(effects, s.markSynced(OriginPeer)...)
}

func (s *State) handlePeerNumberReceived(e PeerNumberReceived) []event.Effect {
	switch {
	case e.Number > s.current.Number:
		return []event.Effect{FetchDocument(e)}
	case e.Number == 0:
		// A peer that has just started has no configuration to confirm.
		return nil
	}
	return s.markSynced(OriginPeer)
}

// activateIfNewer puts the document in force if its number is higher than the one in force.
func (s *State) activateIfNewer(o Origin, d *Document) []event.Effect {
	if d.Number <= s.current.Number {
		return nil
	}
	s.current = d
	return []event.Effect{ActivateDocument{Origin: o, Document: d}}
}

func (s *State) markSynced(o Origin) []event.Effect {
	if s.synced {
		return nil
	}
	s.synced = true
	return []event.Effect{ReportSynced{Origin: o, Number: s.current.Number}}
}
