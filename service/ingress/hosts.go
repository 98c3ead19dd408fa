package ingress

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// KindHosts is the kind of the objects in the store in which entry hosts register.
const KindHosts = "entry-hosts"

// Hosts is the list of entry hosts. It is safe for concurrent use.
type Hosts struct {
	self fleet.Host
	// onMeshChange is called with the number of hosts that serve callers or may at any time, this one included.
	onMeshChange func(n int)
	// onDraining is called with a host that reports that it is draining. It may be nil.
	onDraining func(h fleet.Host)
	// selfListed receives a value when an entry of this host's present incarnation is put into the list.
	selfListed chan struct{}

	mu   sync.Mutex
	view *fleet.View
	// selfServing is set once this host serves callers.
	selfServing bool
	synced      bool
	meshSize    int
}

// NewHosts returns a list that holds this host only. onMeshChange must not call the list.
func NewHosts(self fleet.Host, onMeshChange func(n int)) *Hosts {
	return &Hosts{self: self, onMeshChange: onMeshChange, selfListed: make(chan struct{}, 1), view: fleet.NewView(self)}
}

func decodeHost(o objectapi.Object) (fleet.Host, error) {
	var h fleet.Host
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, errors.Wrapf(err, "decode entry of host %q", o.Name)
	}
	if h.Name != o.Name || h.CallerAddress == "" || h.PeerAddress == "" {
		return h, errors.Newf("invalid entry of host %q: name %q, caller address %q, peer address %q", o.Name, h.Name, h.CallerAddress, h.PeerAddress)
	}
	return h, nil
}

func encodeHost(h fleet.Host) (objectapi.Object, error) {
	value, err := json.Marshal(h)
	return objectapi.Object{Kind: KindHosts, Name: h.Name, Value: value}, errors.Wrapf(err, "encode entry of host %q", h.Name)
}

// Replace replaces the list by the objects.
func (l *Hosts) Replace(objects []objectapi.Object, _ bool) {
	present := map[string]bool{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range objects {
		present[o.Name] = true
		l.put(o)
	}
	for _, name := range l.view.ListedNames() {
		if !present[name] {
			l.remove(name, "not in the list")
		}
	}
	l.synced = true
}

// HasSynced reports whether the hosts have been listed at least once.
func (l *Hosts) HasSynced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synced
}

// Apply applies one change of an entry.
func (l *Hosts) Apply(c objectapi.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Deleted {
		l.remove(c.Name, "entry deleted")
	} else {
		l.put(c.Object)
	}
}

// put adds or replaces an entry; l.mu is held.
func (l *Hosts) put(o objectapi.Object) {
	h, err := decodeHost(o)
	if err != nil {
		logging.Emit(logging.HostRejected, logging.Fields{"host": o.Name, "error": err})
		return
	}
	if !l.view.Put(time.Now(), h) {
		return
	}
	if h.Name == l.self.Name && h.Incarnation == l.self.Incarnation {
		select {
		case l.selfListed <- struct{}{}:
		default:
		}
	}
	logHostListed(h)
}

func logHostListed(h fleet.Host) {
	logging.Emit(logging.HostListed, logging.Fields{
		"host": h.Name, "incarnation": h.Incarnation, "address": h.CallerAddress, "draining": h.Draining,
	})
}

// remove removes a host that is listed; l.mu is held.
func (l *Hosts) remove(name, reason string) {
	if l.view.Remove(name) {
		logging.Emit(logging.HostUnlisted, logging.Fields{"host": name, "reason": reason})
	}
}

// logTransitions logs changes of reachability; l.mu is held.
func (l *Hosts) logTransitions(transitions []fleet.Transition) {
	for _, t := range transitions {
		if t.Reachable {
			logging.Emit(logging.HostReachable, logging.Fields{"host": t.Host, "unreachable_for": t.UnreachableFor})
		} else {
			logging.Emit(logging.HostUnreachable, logging.Fields{"host": t.Host, "error": t.Cause})
		}
	}
}

// SelfListedFor returns how long the present incarnation of this host has been listed; 0 if it is not. Hosts that were
// listed earlier are then in the list as well.
func (l *Hosts) SelfListedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own, ok := l.view.Listed(l.self.Name); !ok || own.Incarnation != l.self.Incarnation {
		return 0
	}
	since, _ := l.view.ListedAt(l.self.Name)
	return time.Since(since)
}

// Hear records a heartbeat of another host. It reports false if the heartbeat is of a former incarnation.
func (l *Hosts) Hear(b fleet.Heartbeat) bool {
	l.mu.Lock()
	before, _ := l.view.Listed(b.Name)
	accepted, transitions := l.view.Hear(time.Now(), b)
	l.logTransitions(transitions)
	after, _ := l.view.Listed(b.Name)
	l.mu.Unlock()
	if before.Draining != after.Draining {
		logHostListed(after)
		if after.Draining && l.onDraining != nil {
			l.onDraining(after)
		}
	}
	return accepted
}

// Fail records that a host did not accept a message.
func (l *Hosts) Fail(name string, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logTransitions(l.view.Fail(time.Now(), name, cause.Error()))
}

// Tick marks hosts as unreachable from which no heartbeats arrive, and calls onMeshChange if the mesh has changed.
func (l *Hosts) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logTransitions(l.view.Tick(time.Now()))
	if size := len(l.view.Roles().Mesh) + 1; size != l.meshSize {
		l.meshSize = size
		l.onMeshChange(size)
	}
}

// SetSlots sets the number of requests that all backend servers can run at once, which decides how many hosts serve
// callers.
func (l *Hosts) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view.SetSlots(slots)
}

// Roles returns the hosts by role.
func (l *Hosts) Roles() *fleet.Roles { return read(l, (*fleet.View).Roles) }

// Targets returns the hosts with which this one exchanges heartbeats.
func (l *Hosts) Targets() []fleet.Host { return read(l, (*fleet.View).Targets) }

// Interval returns the time between two exchanges of heartbeats.
func (l *Hosts) Interval() time.Duration { return read(l, (*fleet.View).Interval) }

// Timeout returns the time without a heartbeat after which one of Targets counts as unreachable.
func (l *Hosts) Timeout() time.Duration { return read(l, (*fleet.View).Timeout) }

// Followed returns the hosts that watch the store, in the order in which this host should follow them.
func (l *Hosts) Followed() []fleet.Host { return read(l, (*fleet.View).Followed) }

// IsWatcher reports whether this host watches the store.
func (l *Hosts) IsWatcher() bool { return read(l, (*fleet.View).IsWatcher) }

// IsHome reports whether this host accounts for programs.
func (l *Hosts) IsHome() bool { return read(l, (*fleet.View).IsHome) }

// Unreachable returns the names of the hosts that this host does not reach.
func (l *Hosts) Unreachable() []string { return read(l, (*fleet.View).Unreachable) }

// Owner returns the host that owns a key; see fleet.View.
func (l *Hosts) Owner(key string) (owner fleet.Host, ok bool) {
	owner = read(l, func(v *fleet.View) fleet.Host {
		var h fleet.Host
		h, ok = v.Owner(key)
		return h
	})
	return owner, ok
}

// PeerAddress returns the address at which a listed host serves peers; empty if it is not listed.
func (l *Hosts) PeerAddress(name string) string {
	return read(l, func(v *fleet.View) string {
		h, _ := v.Listed(name)
		return h.PeerAddress
	})
}

// HeardWithin reports whether a heartbeat of the host arrived within d.
func (l *Hosts) HeardWithin(name string, d time.Duration) bool {
	return read(l, func(v *fleet.View) bool { return v.HeardWithin(time.Now(), name, d) })
}

func read[T any](l *Hosts, f func(v *fleet.View) T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f(l.view)
}

// All returns the listed hosts and this one, sorted by name.
func (l *Hosts) All() []fleet.Host { return read(l, (*fleet.View).All) }

// Reachable returns All without the unreachable hosts.
func (l *Hosts) Reachable() []fleet.Host { return read(l, (*fleet.View).Reachable) }

// Count returns the number of listed hosts.
func (l *Hosts) Count() int { return read(l, (*fleet.View).Count) }

// SetSelfServing records that this host serves callers.
func (l *Hosts) SetSelfServing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.selfServing = true
}

// SelfServing reports whether this host serves callers.
func (l *Hosts) SelfServing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.selfServing
}

// SelfDraining reports whether this host is draining.
func (l *Hosts) SelfDraining() bool {
	return read(l, func(v *fleet.View) bool { return v.Self().Draining })
}

// SetSelfDraining records that this host is draining.
func (l *Hosts) SetSelfDraining() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view.SetSelfDraining()
}

const (
	// directoryTTL is how long callers may cache a lookup; they stop using a draining host after a few times this.
	directoryTTL = 1 * time.Second
	// maxDirectoryAddresses is the number of addresses that callers read from a lookup.
	maxDirectoryAddresses = 64
	// minLocalAddresses is the least number of hosts of the caller's failure domain that are returned alone: with two, a
	// caller still has an address that works after the loss of one.
	minLocalAddresses = 2
)

// Lookup returns the addresses that a caller should use, and for how long it may cache them. This host is among them only
// once it serves callers.
func (l *Hosts) Lookup(locality fleet.Locality) ([]string, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := l.view.Roles().Active
	if len(hosts) == 0 { // all drain
		hosts = l.view.Reachable()
	}
	if !l.selfServing {
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool { return h.Name == l.self.Name })
	}
	return fleet.SelectAddresses(hosts, locality, minLocalAddresses, maxDirectoryAddresses), directoryTTL
}
