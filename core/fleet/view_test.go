package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/core/fleet"
)

const (
	simulationRound = 250 * time.Millisecond
	// convergenceRounds is the number of rounds after the last fault within which all hosts have the same roles: 10 s.
	convergenceRounds = 40
)

// simulatedHost is a host of a simulated fleet.
type simulatedHost struct {
	view *fleet.View
	// Killed hosts refuse messages, frozen and cut ones do not answer.
	killed, frozen bool
	lastExchange   time.Time
}

func (h *simulatedHost) heartbeat() fleet.Heartbeat {
	self := h.view.Self()
	return fleet.Heartbeat{Name: self.Name, Incarnation: self.Incarnation, Draining: self.Draining, Unreachable: h.view.Unreachable()}
}

// simulatedFleet exchanges heartbeats between views as entry hosts do, in rounds.
type simulatedFleet struct {
	t     *rapid.T
	now   time.Time
	hosts map[string]*simulatedHost
	names []string
	// listed is the list in the store.
	listed map[string]fleet.Host
	left   map[string]bool
	// side holds the half of the fleet that each host is in while the fleet is split; nil if it is not.
	side map[string]bool
	// delayed holds heartbeats that are delivered late, and again.
	delayed      []fleet.Heartbeat
	incarnations int
}

func newSimulatedFleet(t *rapid.T) *simulatedFleet {
	f := &simulatedFleet{t: t, now: time.Unix(1000, 0), hosts: map[string]*simulatedHost{}, listed: map[string]fleet.Host{}, left: map[string]bool{}}
	for _, h := range fleetOf(5, 3, 57) {
		f.start(h)
	}
	return f
}

// start starts a new incarnation of the host and lists it.
func (f *simulatedFleet) start(h fleet.Host) {
	f.incarnations++
	h.Incarnation = fmt.Sprintf("%09d", f.incarnations)
	f.listed[h.Name] = h
	delete(f.left, h.Name)
	if _, known := f.hosts[h.Name]; !known {
		f.names = append(f.names, h.Name)
	}
	host := &simulatedHost{view: fleet.NewView(h)}
	host.view.SetSlots(slots)
	f.hosts[h.Name] = host
	for _, other := range f.listed {
		host.view.Put(f.now, other)
	}
	f.change(func(v *fleet.View) { v.Put(f.now, h) })
}

// change applies a change of the list at all hosts that run.
func (f *simulatedFleet) change(apply func(v *fleet.View)) {
	for _, name := range f.names {
		if h := f.hosts[name]; !h.killed {
			apply(h.view)
		}
	}
}

func (f *simulatedFleet) leave(name string) {
	f.hosts[name].killed = true
	f.left[name] = true
	delete(f.listed, name)
	f.change(func(v *fleet.View) { v.Remove(name) })
}

func (f *simulatedFleet) round() {
	f.now = f.now.Add(simulationRound)
	for _, name := range f.names {
		h := f.hosts[name]
		if h.killed || h.frozen || f.now.Sub(h.lastExchange) < h.view.Interval() {
			continue
		}
		h.lastExchange = f.now
		for _, target := range h.view.Targets() {
			f.exchange(h, f.hosts[target.Name])
		}
		h.view.Tick(f.now)
	}
}

func (f *simulatedFleet) exchange(h, other *simulatedHost) {
	switch {
	case f.side[h.view.Self().Name] != f.side[other.view.Self().Name]:
	case other.killed:
		h.view.Fail(f.now, other.view.Self().Name, "connection refused")
	case !other.frozen:
		message := h.heartbeat()
		other.view.Hear(f.now, message)
		h.view.Hear(f.now, other.heartbeat())
		if len(f.delayed) < 200 {
			f.delayed = append(f.delayed, message)
		}
	}
}

// deliverLate delivers an old heartbeat to a host.
func (f *simulatedFleet) deliverLate(message fleet.Heartbeat, to string) {
	h := f.hosts[to]
	if h.killed || to == message.Name {
		return
	}
	current, listed := f.listed[message.Name]
	_, wasUnreachable := h.view.UnreachableSince(message.Name)
	accepted, _ := h.view.Hear(f.now, message)
	_, isUnreachable := h.view.UnreachableSince(message.Name)
	if accepted && (!listed || current.Incarnation != message.Incarnation) {
		f.t.Fatalf("host %s accepted a heartbeat of incarnation %s of host %s; listed is %q", to, message.Incarnation, message.Name, current.Incarnation)
	}
	if !accepted && wasUnreachable && !isUnreachable {
		f.t.Fatalf("host %s counts host %s as reachable because of a heartbeat of a former incarnation", to, message.Name)
	}
}

func (f *simulatedFleet) checkLeft() {
	for _, name := range f.names {
		if f.hosts[name].killed {
			continue
		}
		for _, h := range f.hosts[name].view.All() {
			if f.left[h.Name] && h.Name != name {
				f.t.Fatalf("host %s still has host %s, which left", name, h.Name)
			}
		}
	}
}

func hostNames(hosts []fleet.Host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	return out
}

// checkConverged checks that all running hosts direct callers to the same hosts, that these run, and that they agree on
// the homes of programs and the watchers.
func (f *simulatedFleet) checkConverged() {
	var first *fleet.Roles
	for _, name := range f.names {
		h := f.hosts[name]
		if h.killed || h.frozen {
			continue
		}
		roles := h.view.Roles()
		if first == nil {
			first = roles
		}
		for _, active := range slices.Concat(roles.Active, roles.Homes, roles.Watchers) {
			if other := f.hosts[active.Name]; other.killed || other.frozen {
				f.t.Fatalf("host %s gives a role to host %s, which is lost", name, active.Name)
			}
		}
		for role, pair := range map[string][2][]fleet.Host{
			"active hosts": {first.Active, roles.Active}, "homes": {first.Homes, roles.Homes}, "watchers": {first.Watchers, roles.Watchers},
		} {
			if a, b := hostNames(pair[0]), hostNames(pair[1]); !slices.Equal(a, b) {
				f.t.Fatalf("hosts differ on the %s: %v, at host %s %v", role, a, name, b)
			}
		}
	}
}

// Guards against fleets that do not agree on the roles some seconds after hosts were killed, frozen, thawed, started
// again or removed, and against late heartbeats that revive a former incarnation.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulatedFleet(t)
		for range convergenceRounds {
			f.round()
		}
		f.checkConverged()
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			// Faults that matter hit hosts with a role, so that these are drawn more often.
			index := rapid.OneOf(rapid.SampledFrom([]int{0, 1, 2, 60, 61, 62, 120, 180, 240}), rapid.IntRange(0, len(f.names)-1)).Draw(t, "host")
			name := f.names[index]
			h := f.hosts[name]
			switch rapid.SampledFrom([]string{"kill", "freeze", "restart", "thaw", "leave", "late", "round"}).Draw(t, "fault") {
			case "kill":
				h.killed = true
			case "freeze":
				h.frozen = !h.killed
			case "thaw":
				h.frozen = false
			case "restart":
				if !f.left[name] {
					f.start(h.view.Self())
				}
			case "leave":
				if !f.left[name] && len(f.left) < 20 {
					f.leave(name)
				}
			case "late":
				if len(f.delayed) > 0 {
					f.deliverLate(rapid.SampledFrom(f.delayed).Draw(t, "message"), name)
				}
			case "round":
				f.round()
			}
			f.checkLeft()
		}
		for range convergenceRounds {
			f.round()
		}
		f.checkConverged()
	})
}

// Guards against a fleet that does not become one again after it was split in halves, and against a half without hosts to
// direct callers to.
func TestHalvesOfAFleetServeAndHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulatedFleet(t)
		for range convergenceRounds {
			f.round()
		}
		f.side = map[string]bool{}
		for i, name := range f.names {
			f.side[name] = rapid.SampledFrom([]bool{i%2 == 0, i < len(f.names)/2}).Draw(t, "side")
		}
		for range convergenceRounds {
			f.round()
		}
		for _, name := range f.names {
			if len(f.hosts[name].view.Roles().Active) == 0 {
				t.Fatalf("host %s directs callers nowhere", name)
			}
		}
		f.side = nil
		for range convergenceRounds {
			f.round()
		}
		f.checkConverged()
	})
}

// Guards against a fleet that does not recover when half of it is killed and starts again within a moment.
func TestHalfOfAFleetIsKilledAndStartsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulatedFleet(t)
		for range convergenceRounds {
			f.round()
		}
		first := rapid.IntRange(0, 1).Draw(t, "first")
		for i := first; i < len(f.names); i += 2 {
			f.hosts[f.names[i]].killed = true
		}
		f.round()
		for i := first; i < len(f.names); i += 2 {
			f.start(f.hosts[f.names[i]].view.Self())
		}
		for range convergenceRounds {
			f.round()
		}
		f.checkConverged()
	})
}

// Guards against a host that was frozen or overloaded and then takes all others for lost: their heartbeats are missing
// because it did not ask.
func TestHostThatWasFrozenAccusesNobody(t *testing.T) {
	hosts := fleetOf(3, 3, 0)
	v := fleet.NewView(hosts[0])
	now := time.Unix(1000, 0)
	for _, h := range hosts {
		v.Put(now, h)
	}
	hearAll := func() {
		for _, h := range hosts[1:] {
			v.Hear(now, fleet.Heartbeat{Name: h.Name, Incarnation: "1"})
		}
	}
	for range 20 {
		now = now.Add(v.Interval())
		hearAll()
		if got := v.Tick(now); len(got) > 0 {
			t.Fatalf("transitions %+v in a calm fleet", got)
		}
	}
	now = now.Add(5 * time.Second)
	if got := v.Tick(now); len(got) > 0 {
		t.Errorf("transitions %+v right after a freeze", got)
	}
	// Those that really are lost are found nevertheless.
	var lost []fleet.Transition
	for range 10 {
		now = now.Add(v.Interval())
		v.Hear(now, fleet.Heartbeat{Name: hosts[1].Name, Incarnation: "1"})
		lost = append(lost, v.Tick(now)...)
	}
	if len(lost) != len(hosts)-2 {
		t.Errorf("%d hosts are unreachable, want %d", len(lost), len(hosts)-2)
	}
}

// Guards against a fleet in which many hosts are lost at once and each of the others tries all of them at every
// interval.
func TestFewLostHostsAreTriedAtOnce(t *testing.T) {
	hosts := fleetOf(5, 3, 57)
	v := fleet.NewView(hosts[0])
	now := time.Unix(1000, 0)
	for _, h := range hosts {
		v.Put(now, h)
	}
	tried := map[string]bool{}
	for i, h := range hosts[1:] {
		if i%2 == 0 {
			v.Fail(now, h.Name, "connection refused")
		}
	}
	for range 200 {
		now = now.Add(v.Interval())
		for _, h := range v.Roles().Mesh {
			if _, lost := v.UnreachableSince(h.Name); !lost {
				v.Hear(now, fleet.Heartbeat{Name: h.Name, Incarnation: "1"})
			}
		}
		v.Tick(now)
		targets := v.Targets()
		if extra := len(targets) - len(v.Roles().Mesh); extra > 2 {
			t.Fatalf("%d hosts without a role are tried at once", extra)
		}
		for _, h := range targets {
			tried[h.Name] = true
		}
	}
	for _, name := range v.Unreachable() {
		if !tried[name] {
			t.Errorf("lost host %s is never tried", name)
		}
	}
}

// Guards against a late heartbeat that revives a former incarnation or a host that left, or makes a restarted host look as
// if it were draining.
func TestHeartbeatsOfFormerIncarnationsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(incarnation string) fleet.Host {
		return fleet.Host{Name: "b", Incarnation: incarnation, FailureDomain: "b"}
	}
	v := fleet.NewView(fleet.Host{Name: "a", Incarnation: "1", FailureDomain: "a"})
	v.Put(now, entry("2"))
	v.Fail(now, "b", "connection refused")
	if accepted, _ := v.Hear(now, fleet.Heartbeat{Name: "b", Incarnation: "1"}); accepted {
		t.Error("a heartbeat of the former incarnation counts")
	}
	if _, unreachable := v.UnreachableSince("b"); !unreachable {
		t.Error("a heartbeat of the former incarnation makes the host reachable")
	}
	if accepted, _ := v.Hear(now, fleet.Heartbeat{Name: "b", Incarnation: "3"}); !accepted {
		t.Error("a heartbeat of the next incarnation, which is not listed yet, is ignored")
	}
	v.Put(now, entry("3"))
	v.Hear(now, fleet.Heartbeat{Name: "b", Incarnation: "2", Draining: true})
	if h, _ := v.Listed("b"); h.Draining {
		t.Error("the former incarnation's drain is taken for the present one's")
	}
	v.Remove("b")
	if accepted, _ := v.Hear(now, fleet.Heartbeat{Name: "b", Incarnation: "3"}); accepted {
		t.Error("a heartbeat of a host that left counts")
	}
	if n := len(v.Unlisted(now, time.Minute)); n != 0 {
		t.Errorf("%d hosts that left may account for programs", n)
	}
}
