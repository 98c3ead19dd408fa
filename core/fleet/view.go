package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// meshInterval is the heartbeat interval between hosts of the mesh up to maxFastMesh of them. Above that size it
	// grows with the mesh, so that a host's work for heartbeats stays the same.
	meshInterval = 250 * time.Millisecond
	maxFastMesh  = 16
	// followInterval is the interval at which a host outside the mesh exchanges heartbeats with each host that it follows.
	followInterval = time.Second
	// maxMissedInMesh and maxMissedFollowed are the numbers of intervals without a heartbeat after which a host of the
	// mesh, and one that is followed, counts as unreachable.
	maxMissedInMesh   = 4
	maxMissedFollowed = 2
	// maxProbes is the number of unreachable hosts without a role that are tried at each interval.
	maxProbes = 2
	// maxLateIntervals is the number of intervals without Tick after which this host was frozen or overloaded itself, so
	// that missing heartbeats prove nothing.
	maxLateIntervals = 2
	// followedHosts is the number of hosts that a host outside the mesh follows.
	followedHosts = 2
)

// member is what a host knows of another one.
type member struct {
	host     Host
	listedAt time.Time
}

// heard is the last heartbeat of a host.
type heard struct {
	Heartbeat
	at time.Time
}

// View is what one host knows of the fleet: the listed hosts, which of them it reaches, and the roles that follow from
// that. It is a state machine without I/O: its owner passes lists and heartbeats to it and exchanges heartbeats with
// Targets every Interval. It is not safe for concurrent use.
//
// The hosts that have a role, now or if all hosts were reachable, are the mesh; they exchange heartbeats with each
// other. All others follow two hosts of the mesh and take over what these report of the rest. No decision that must
// be safe depends on it.
type View struct {
	self   Host
	listed map[string]member
	// domains holds the listed hosts and this one by failure domain, ordered by compareCapacity.
	domains map[string][]*Host
	heard   map[string]heard
	// left holds the incarnation of each host that left, by name.
	left             map[string]string
	unreachableSince map[string]time.Time
	// expectedSince is since when heartbeats of a host are expected, for the hosts in Targets.
	expectedSince map[string]time.Time
	// probes are the unreachable hosts without a role that are tried until the next Tick, and lastProbe the last of them.
	probes    []Host
	lastProbe string
	// tickedAt is when Tick was last called. Before lateUntil, missing heartbeats are not counted.
	tickedAt, lateUntil time.Time
	slots               int
	roles               *Roles // nil after a change
}

// Roles are the hosts by role. The slices must not be changed.
type Roles struct {
	// Active are the hosts to which callers are directed.
	Active []Host
	// Primaries are the largest hosts of each failure domain, reachable or not. Homes are those of them that are
	// reachable: they account for programs.
	Primaries, Homes []Host
	// Watchers are the hosts that watch the store.
	Watchers []Host
	// Mesh is the hosts that exchange heartbeats with each other, without this one.
	Mesh []Host
	// InMesh reports whether this host is one of them.
	InMesh bool
}

// NewView returns a view that holds only the host itself.
func NewView(self Host) *View {
	v := &View{
		self: self, listed: map[string]member{}, domains: map[string][]*Host{}, heard: map[string]heard{}, left: map[string]string{},
		unreachableSince: map[string]time.Time{}, expectedSince: map[string]time.Time{},
	}
	v.insert(&v.self)
	return v
}

// insert adds a host to domains.
func (v *View) insert(h *Host) {
	domain := v.domains[h.FailureDomain]
	i, _ := slices.BinarySearchFunc(domain, h, compareCapacity)
	v.domains[h.FailureDomain] = slices.Insert(domain, i, h)
}

// set replaces the entry of a listed host, or adds it.
func (v *View) set(m member) {
	v.roles = nil
	v.listed[m.host.Name] = m
	if m.host.Name == v.self.Name { // domains holds this host as it describes itself
		return
	}
	v.removeFromDomains(m.host.Name)
	v.insert(&m.host)
}

func (v *View) removeFromDomains(name string) {
	for domain, hosts := range v.domains {
		if i := slices.IndexFunc(hosts, func(h *Host) bool { return h.Name == name }); i >= 0 {
			v.domains[domain] = slices.Delete(hosts, i, i+1)
		}
	}
}

// Self returns this host.
func (v *View) Self() Host { return v.self }

// SetSelfDraining records that this host is draining.
func (v *View) SetSelfDraining() { v.self.Draining, v.roles = true, nil }

// SetSlots sets the number of requests that all backend servers can run at once.
func (v *View) SetSlots(slots int) {
	if slots != v.slots {
		v.slots, v.roles = slots, nil
	}
}

// Listed returns the entry of a host.
func (v *View) Listed(name string) (Host, bool) {
	m, ok := v.listed[name]
	return m.host, ok
}

// Count returns the number of listed hosts.
func (v *View) Count() int { return len(v.listed) }

// ListedNames returns the names of the listed hosts, sorted.
func (v *View) ListedNames() []string { return slices.Sorted(maps.Keys(v.listed)) }

// ListedAt returns since when the present incarnation of a host has been listed.
func (v *View) ListedAt(name string) (time.Time, bool) {
	m, ok := v.listed[name]
	return m.listedAt, ok
}

// Put adds a host or replaces its entry, and reports whether that changed anything.
func (v *View) Put(now time.Time, h Host) bool {
	previous, known := v.listed[h.Name]
	if known && previous.host == h {
		return false
	}
	if known && previous.host.Incarnation == h.Incarnation {
		v.set(member{host: h, listedAt: previous.listedAt})
		return true
	}
	if v.heard[h.Name].Incarnation != h.Incarnation && v.heard[h.Name].Incarnation == previous.host.Incarnation {
		delete(v.heard, h.Name)
	}
	delete(v.left, h.Name)
	delete(v.unreachableSince, h.Name)
	delete(v.expectedSince, h.Name)
	v.set(member{host: h, listedAt: now})
	return true
}

// Remove removes a host that left, and reports whether it was listed. Late heartbeats of it are ignored.
func (v *View) Remove(name string) bool {
	m, ok := v.listed[name]
	if !ok {
		return false
	}
	v.roles = nil
	v.left[name] = m.host.Incarnation
	if v.heard[name].Incarnation == m.host.Incarnation {
		delete(v.heard, name)
	}
	delete(v.listed, name)
	if name != v.self.Name {
		v.removeFromDomains(name)
	}
	delete(v.unreachableSince, name)
	delete(v.expectedSince, name)
	return true
}

// Roles returns the hosts by role.
func (v *View) Roles() *Roles {
	if v.roles == nil {
		v.roles = v.computeRoles()
	}
	return v.roles
}

func (v *View) computeRoles() *Roles {
	r := &Roles{}
	var mesh []Host
	for _, name := range slices.Sorted(maps.Keys(v.domains)) {
		var hosts, reachable []*Host
		for _, h := range v.domains[name] {
			if h.Draining {
				continue
			}
			hosts = append(hosts, h)
			if v.isReachable(h.Name) {
				reachable = append(reachable, h)
			}
		}
		active := activeCount(reachable, v.slots)
		r.Primaries = first(r.Primaries, hosts, PrimariesPerDomain)
		r.Active = first(r.Active, reachable, active)
		r.Watchers = first(r.Watchers, reachable, WatchersPerDomain)
		mesh = first(mesh, hosts, PrimariesPerDomain)
		mesh = first(mesh, reachable, max(active, PrimariesPerDomain))
	}
	r.Homes = filter(r.Primaries, func(h Host) bool { return v.isReachable(h.Name) })
	seen := map[string]bool{}
	for _, h := range mesh {
		switch {
		case seen[h.Name]:
		case h.Name == v.self.Name:
			r.InMesh = true
		default:
			r.Mesh = append(r.Mesh, h)
		}
		seen[h.Name] = true
	}
	return r
}

// All returns the listed hosts and this one, sorted by name.
func (v *View) All() []Host {
	var out []Host
	for _, hosts := range v.domains {
		for _, h := range hosts {
			out = append(out, *h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Reachable returns All without the unreachable hosts.
func (v *View) Reachable() []Host {
	return filter(v.All(), func(h Host) bool { return v.isReachable(h.Name) })
}

// Followed returns the watchers in the order in which this host should follow them: those of its failure domain in
// rendezvous order, then the others.
func (v *View) Followed() []Host {
	ordered := RendezvousOrder(v.Roles().Watchers, v.self.Name)
	ordered = slices.DeleteFunc(ordered, func(h Host) bool { return h.Name == v.self.Name })
	slices.SortStableFunc(ordered, func(a, b Host) int {
		return cmp.Compare(btoi(a.FailureDomain != v.self.FailureDomain), btoi(b.FailureDomain != v.self.FailureDomain))
	})
	return ordered
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// IsWatcher reports whether this host watches the store.
func (v *View) IsWatcher() bool {
	return slices.ContainsFunc(v.Roles().Watchers, func(h Host) bool { return h.Name == v.self.Name })
}

// IsHome reports whether this host accounts for programs.
func (v *View) IsHome() bool {
	homes := v.Roles().Homes
	return len(homes) == 0 || slices.ContainsFunc(homes, func(h Host) bool { return h.Name == v.self.Name })
}
