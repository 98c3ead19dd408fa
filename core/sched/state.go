package sched

import (
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

// State is the scheduling subsystem: the groups that this host schedules, by name. It implements
// core.Subsystem. A group comes into being with the first message that names it; calls wait in it until
// GroupChanged tells its workers.
type State struct {
	groups   map[string]*group
	policies map[string]framework.Policy
}

// NewState returns a state without groups. Groups find the given policies by name before the plugins; the
// bench adds policies that no daemon has. A given policy is shared by all groups that name it.
func NewState(policies ...framework.Policy) *State {
	s := &State{groups: map[string]*group{}, policies: map[string]framework.Policy{}}
	for _, p := range policies {
		s.policies[p.Name()] = p
	}
	return s
}

func (s *State) policy(name string) (framework.Policy, bool) {
	if p, ok := s.policies[name]; ok {
		return p, true
	}
	return plugins.New(name)
}

// Reduce applies one scheduling event and returns grants, refusals and cache releases in the order in
// which they were decided. Time comes from at alone, and no decision depends on the order of a map.
func (s *State) Reduce(at clock.Millis, ev event.Event) []event.Effect {
	switch m := ev.(type) {
	case Enqueued:
		return s.group(m.Group, at).run(at, false, func(g *group) { g.enqueued(m) })
	case Finished:
		return s.group(m.Group, at).run(at, true, func(g *group) { g.finished(m) })
	case Withdrawn:
		return s.group(m.Group, at).run(at, true, func(g *group) { g.withdrawn(m) })
	case ProgramEnded:
		return s.group(m.Group, at).run(at, true, func(g *group) { g.programEnded(m) })
	case GroupChanged:
		return s.group(m.Group, at).run(at, true, func(g *group) { g.changed(m) })
	case LoadReported:
		return s.group(m.Group, at).run(at, false, func(g *group) { g.loadReported(m) })
	case CacheReported:
		return s.group(m.Group, at).run(at, false, func(g *group) { g.cacheReported(m) })
	case Ticked:
		return s.group(m.Group, at).run(at, true, (*group).ticked)
	case HomeLost:
		return s.group(m.Group, at).run(at, true, func(g *group) { g.homeLost(m) })
	case GroupReset:
		delete(s.groups, m.Group)
	}
	return nil
}

func (s *State) group(name string, at clock.Millis) *group {
	g, ok := s.groups[name]
	if !ok {
		g = newGroup(name, at, s.policy)
		s.groups[name] = g
	}
	return g
}
