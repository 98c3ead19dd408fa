package fleet

import (
	"maps"
	"slices"
	"time"
)

// Heartbeat is what one host reports of itself and of the others.
type Heartbeat struct {
	Name string
	// Incarnation identifies one start of the host; later starts have greater ones.
	Incarnation string
	Draining    bool
	// Unreachable holds the names of the hosts that the sender does not reach.
	Unreachable []string
}

// Transition is a change of a host's reachability.
type Transition struct {
	Host      string
	Reachable bool
	// Cause says why the host became unreachable.
	Cause string
	// UnreachableFor is how long a host that became reachable was not.
	UnreachableFor time.Duration
}

// Hear records a heartbeat. It reports false if the heartbeat is of a former incarnation, and the change of
// reachability that follows from it.
func (v *View) Hear(now time.Time, b Heartbeat) (accepted bool, transitions []Transition) {
	left, isGone := v.left[b.Name]
	if b.Name == v.self.Name || b.Incarnation < max(v.heard[b.Name].Incarnation, v.listed[b.Name].host.Incarnation) || isGone && b.Incarnation <= left {
		return false, nil
	}
	v.heard[b.Name] = heard{Heartbeat: b, at: now}
	if m, ok := v.listed[b.Name]; ok && m.host.Incarnation == b.Incarnation && m.host.Draining != b.Draining {
		m.host.Draining = b.Draining
		v.set(m)
	}
	return true, v.setReachable(now, b.Name)
}

// Fail records that a host did not accept a message.
func (v *View) Fail(now time.Time, name, cause string) []Transition {
	if _, ok := v.listed[name]; !ok || name == v.self.Name {
		return nil
	}
	return v.setUnreachable(now, name, cause)
}

func (v *View) setReachable(now time.Time, name string) []Transition {
	since, ok := v.unreachableSince[name]
	if !ok {
		return nil
	}
	delete(v.unreachableSince, name)
	v.roles = nil
	return []Transition{{Host: name, Reachable: true, UnreachableFor: now.Sub(since)}}
}

func (v *View) setUnreachable(now time.Time, name, cause string) []Transition {
	if _, ok := v.unreachableSince[name]; ok {
		return nil
	}
	v.unreachableSince[name] = now
	v.roles = nil
	return []Transition{{Host: name, Cause: cause}}
}

func (v *View) isReachable(name string) bool {
	_, unreachable := v.unreachableSince[name]
	return !unreachable
}

// Targets returns the hosts with which this one exchanges heartbeats every Interval.
func (v *View) Targets() []Host {
	r := v.Roles()
	if r.InMesh || v.self.Draining {
		return slices.Concat(v.probes, r.Mesh)
	}
	followed := v.Followed()
	if len(followed) == 0 { // none is reachable; the first one that answers is
		followed = RendezvousOrder(r.Mesh, v.self.Name)
	}
	return followed[:min(followedHosts, len(followed))]
}

// chooseProbes sets the probes to the next unreachable hosts without a role, by name. Only heartbeats show that such a
// host is back and may take a role again.
func (v *View) chooseProbes() {
	var outside []string
	for _, name := range v.Unreachable() {
		if !slices.ContainsFunc(v.Roles().Mesh, func(h Host) bool { return h.Name == name }) {
			outside = append(outside, name)
		}
	}
	next, _ := slices.BinarySearch(outside, v.lastProbe+"\x00")
	v.probes = nil
	for i := range min(maxProbes, len(outside)) {
		v.lastProbe = outside[(next+i)%len(outside)]
		v.probes = append(v.probes, v.listed[v.lastProbe].host)
	}
}

// Interval returns the time between two exchanges of heartbeats.
func (v *View) Interval() time.Duration {
	r := v.Roles()
	if !r.InMesh {
		return followInterval
	}
	return MeshInterval(len(r.Mesh) + 1)
}

// MeshInterval returns the heartbeat interval of a mesh of that size.
func MeshInterval(hosts int) time.Duration {
	return meshInterval * time.Duration(max(hosts, maxFastMesh)) / maxFastMesh
}

// HeardWithin reports whether a heartbeat of the host arrived within d.
func (v *View) HeardWithin(now time.Time, name string, d time.Duration) bool {
	last, ok := v.heard[name]
	return ok && now.Sub(last.at) < d
}

// HeardAt returns when the last heartbeat of a host arrived; zero if none did.
func (v *View) HeardAt(name string) time.Time { return v.heard[name].at }

// Unlisted returns the hosts that are not listed, of which a heartbeat arrived within d and that are not draining. Only
// name and incarnation are set.
func (v *View) Unlisted(now time.Time, d time.Duration) []Host {
	var out []Host
	for name, last := range v.heard {
		if _, listed := v.listed[name]; !listed && !last.Draining && now.Sub(last.at) < d {
			out = append(out, Host{Name: name, Incarnation: last.Incarnation})
		}
	}
	return out
}

// Unreachable returns the names of the hosts that this host does not reach, sorted.
func (v *View) Unreachable() []string { return slices.Sorted(maps.Keys(v.unreachableSince)) }

// UnreachableSince returns since when a host has been unreachable; ok is false if it is reachable.
func (v *View) UnreachableSince(name string) (since time.Time, ok bool) {
	since, ok = v.unreachableSince[name]
	return since, ok
}

// Timeout returns the time without a heartbeat after which one of Targets counts as unreachable.
func (v *View) Timeout() time.Duration {
	if !v.Roles().InMesh {
		return maxMissedFollowed * v.Interval()
	}
	return maxMissedInMesh * v.Interval()
}

// Tick marks hosts as unreachable from which no heartbeats arrive. A host outside the mesh also takes over what all
// hosts that it follows report of the rest.
func (v *View) Tick(now time.Time) []Transition {
	if !v.tickedAt.IsZero() && now.Sub(v.tickedAt) > maxLateIntervals*v.Interval() {
		v.lateUntil = now.Add(v.Timeout())
	}
	v.tickedAt = now
	v.chooseProbes()
	targets, limit := v.Targets(), v.Timeout()
	isTarget := make(map[string]bool, len(targets))
	var out []Transition
	for _, h := range targets {
		isTarget[h.Name] = true
		if v.expectedSince[h.Name].IsZero() {
			v.expectedSince[h.Name] = now
		}
		if now.Sub(v.expectedSince[h.Name]) >= limit && !now.Before(v.lateUntil) && !v.HeardWithin(now, h.Name, limit) {
			out = append(out, v.setUnreachable(now, h.Name, "no heartbeat for "+limit.String())...)
		}
	}
	maps.DeleteFunc(v.expectedSince, func(name string, _ time.Time) bool { return !isTarget[name] })
	if !v.Roles().InMesh && !v.self.Draining {
		out = append(out, v.takeOverReports(now, targets, limit)...)
	}
	return out
}

// takeOverReports sets the reachability of the hosts that this host does not follow: a host is unreachable
// if all followed hosts say so, so that one that is cut off itself is outvoted.
func (v *View) takeOverReports(now time.Time, followed []Host, limit time.Duration) []Transition {
	reports, votes := 0, map[string]int{}
	for _, h := range followed {
		if v.HeardWithin(now, h.Name, limit) {
			reports++
			for _, name := range v.heard[h.Name].Unreachable {
				votes[name]++
			}
		}
	}
	if reports == 0 {
		return nil
	}
	isFollowed := func(name string) bool {
		return slices.ContainsFunc(followed, func(h Host) bool { return h.Name == name })
	}
	var out []Transition
	for _, name := range slices.Sorted(maps.Keys(v.unreachableSince)) {
		if !isFollowed(name) && votes[name] < reports {
			out = append(out, v.setReachable(now, name)...)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(votes)) {
		if _, listed := v.listed[name]; listed && !isFollowed(name) && name != v.self.Name && votes[name] == reports {
			out = append(out, v.setUnreachable(now, name, "reported by the followed hosts")...)
		}
	}
	return out
}
