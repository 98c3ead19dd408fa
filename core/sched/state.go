package sched

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

// State is the scheduling subsystem: the groups that this host schedules, by name. It implements core.Subsystem. The
// first message for a group creates it; its calls wait until GroupChanged lists its workers.
type State struct {
	groups   map[string]*group
	policies map[string]framework.Policy
}

// NewState returns a state without groups. The given policies take precedence over the plugins of the same name; the
// bench adds policies that no daemon has. All groups with a given policy use the same instance.
func NewState(policies ...framework.Policy) *State {
	s := &State{groups: map[string]*group{}, policies: map[string]framework.Policy{}}
	for _, p := range policies {
		s.policies[p.Name()] = p
	}
	return s
}

func (s *State) lookupPolicy(name string) (framework.Policy, bool) {
	if p, ok := s.policies[name]; ok {
		return p, true
	}
	return plugins.New(name)
}

// Reduce applies one scheduling event and returns grants, refusals and cache releases in the order of the decisions.
// It is deterministic: the time is at alone, and no decision depends on the iteration order of a map.
func (s *State) Reduce(at clock.Millis, ev event.Event) []event.Effect {
	switch m := ev.(type) {
	case Enqueued:
		return s.ensureGroup(m.Group, at).reduce(at, false, func(g *group) { g.handleEnqueued(m) })
	case Finished:
		return s.ensureGroup(m.Group, at).reduce(at, true, func(g *group) { g.handleFinished(m) })
	case Withdrawn:
		return s.ensureGroup(m.Group, at).reduce(at, true, func(g *group) { g.handleWithdrawn(m) })
	case ProgramEnded:
		return s.ensureGroup(m.Group, at).reduce(at, true, func(g *group) { g.handleProgramEnded(m) })
	case GroupChanged:
		return s.ensureGroup(m.Group, at).reduce(at, true, func(g *group) { g.handleGroupChanged(m) })
	case LoadReported:
		return s.ensureGroup(m.Group, at).reduce(at, false, func(g *group) { g.handleLoadReported(m) })
	case CacheReported:
		return s.ensureGroup(m.Group, at).reduce(at, false, func(g *group) { g.handleCacheReported(m) })
	case Ticked:
		return s.ensureGroup(m.Group, at).reduce(at, true, (*group).handleTicked)
	case HomeLost:
		return s.ensureGroup(m.Group, at).reduce(at, true, func(g *group) { g.handleHomeLost(m) })
	case GroupReset:
		delete(s.groups, m.Group)
	}
	return nil
}

func (s *State) ensureGroup(name string, at clock.Millis) *group {
	g, ok := s.groups[name]
	if !ok {
		g = newGroup(name, at, s.lookupPolicy)
		s.groups[name] = g
	}
	return g
}
