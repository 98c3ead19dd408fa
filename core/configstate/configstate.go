package configstate

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// Origin is the source of a configuration.
type Origin string

const (
	OriginNone  Origin = ""
	OriginCache Origin = "cache"
	OriginStore Origin = "store"
	OriginPeer  Origin = "peer"
	OriginApply Origin = "apply" // this host accepted the ticket itself
)

// DocumentReceived is the event of a whole configuration, read from Origin. Document.Number is 0 if the store has
// none.
type DocumentReceived struct {
	Origin   Origin    `msgpack:"o"`
	Document *Document `msgpack:"d"`
}

// TicketPushed is the event of one accepted ticket, sent by a peer.
type TicketPushed struct {
	From       string        `msgpack:"f"`             // peer address of the sender
	BaseNumber uint64        `json:"Base" msgpack:"b"` // ticket number in force before
	Ticket     config.Ticket `msgpack:"t"`
	AcceptedAt clock.Millis  `json:"At" msgpack:"a"`
}

// PeerNumberReceived is the event of a peer's ticket number in force.
type PeerNumberReceived struct {
	From   string `msgpack:"f"`
	Number uint64 `msgpack:"n"`
}

// ActivateDocument is the effect that puts a configuration in force.
type ActivateDocument struct {
	Origin   Origin    `msgpack:"o"`
	Document *Document `msgpack:"d"`
}

// FetchDocument is the effect that reads the configuration from a peer with a higher ticket number.
type FetchDocument struct {
	From   string `msgpack:"f"`
	Number uint64 `msgpack:"n"`
}

// ReportSynced is the effect that reports, once, that the store or a peer has answered.
type ReportSynced struct {
	Origin Origin `msgpack:"o"`
	Number uint64 `msgpack:"n"`
}

// Kinds of the events and effects.
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
	// synced is set once the store or a peer has answered since the start; then the cached copy is no longer used.
	synced bool
}

// NewState returns a state with an empty configuration and ticket number 0.
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
		// A peer that has just started has no configuration yet, so that its answer does not count as synced.
		return nil
	}
	return s.markSynced(OriginPeer)
}

// activateIfNewer puts the document in force if its ticket number is higher than that in force.
func (s *State) activateIfNewer(origin Origin, doc *Document) []event.Effect {
	if doc.Number <= s.current.Number {
		return nil
	}
	s.current = doc
	return []event.Effect{ActivateDocument{Origin: origin, Document: doc}}
}

func (s *State) markSynced(origin Origin) []event.Effect {
	if s.synced {
		return nil
	}
	s.synced = true
	return []event.Effect{ReportSynced{Origin: origin, Number: s.current.Number}}
}
