// Package core is the reducer of all events of a host. It has no clock and no random source and does no I/O: times
// and random numbers are part of the events, and effects are returned as data.
package core

import (
	"strings"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// Subsystem is the reducer of one part of the state. Reduce changes that part only and returns the effects in the
// order in which they are to be carried out. Where the order of a map would show in the effects, it iterates in
// sorted key order, so that a replay returns the same bytes.
type Subsystem interface {
	Reduce(at clock.Millis, ev event.Event) []event.Effect
}

// State is the state of a host: one subsystem for each prefix of the event kinds, for example "program" for
// "program.call_submitted". It is not safe for concurrent use.
type State struct {
	subsystems map[string]Subsystem
}

// NewState returns a state made of the subsystems, by event kind prefix.
func NewState(subsystems map[string]Subsystem) *State {
	return &State{subsystems: subsystems}
}

// Reduce applies one event. An event of an unknown subsystem has no effect.
func Reduce(s *State, e event.Envelope) []event.Effect {
	prefix, _, _ := strings.Cut(string(e.Event.EventKind()), ".")
	subsystem, ok := s.subsystems[prefix]
	if !ok {
		return nil
	}
	return subsystem.Reduce(e.At, e.Event)
}
