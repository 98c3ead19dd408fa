package ingress

import (
	"cmp"
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
	self          fleet.Host
	onCountChange func(n int)
	// selfListed receives a value when an entry of this host's present incarnation is put into the list.
	selfListed chan struct{}

	mu sync.Mutex
	// selfServing is set once this host serves callers.
	selfServing bool
	listed      map[string]fleet.Host // by name
	// unreachableSince holds when a host became unreachable; reachable hosts are not in it.
	unreachableSince map[string]time.Time
	// listedSince holds when a host's present incarnation was listed.
	listedSince map[string]time.Time
}

// NewHosts returns a list that holds this host only. onCountChange is called with the number of hosts after each change;
// it must not call the list.
func NewHosts(self fleet.Host, onCountChange func(n int)) *Hosts {
	return &Hosts{self: self, onCountChange: onCountChange, selfListed: make(chan struct{}, 1), listed: map[string]fleet.Host{}, unreachableSince: map[string]time.Time{}, listedSince: map[string]time.Time{}}
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

// Replace replaces the list by the objects.
func (l *Hosts) Replace(objects []objectapi.Object, _ bool) {
	present := map[string]bool{}
	for _, o := range objects {
		present[o.Name] = true
		l.put(o)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.listed {
		if !present[name] {
			l.remove(name, "not in the list")
		}
	}
	l.notify()
}

// Apply applies one change of an entry.
func (l *Hosts) Apply(c objectapi.Change) {
	if !c.Deleted {
		l.put(c.Object)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Deleted {
		l.remove(c.Name, "entry deleted")
	}
	l.notify()
}

func (l *Hosts) put(o objectapi.Object) {
	h, err := decodeHost(o)
	if err != nil {
		logging.Emit(logging.HostRejected, logging.Fields{"host": o.Name, "error": err})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, listed := l.listed[h.Name]
	if listed && previous == h {
		return
	}
	if previous.Incarnation != h.Incarnation {
		delete(l.unreachableSince, h.Name)
		l.listedSince[h.Name] = time.Now()
	}
	l.listed[h.Name] = h
	if h.Name == l.self.Name && h.Incarnation == l.self.Incarnation {
		select {
		case l.selfListed <- struct{}{}:
		default:
		}
	}
	logging.Emit(logging.HostListed, logging.Fields{
		"host": h.Name, "incarnation": h.Incarnation, "address": h.CallerAddress, "draining": h.Draining,
	})
}

// remove removes a host that is listed; l.mu is held.
func (l *Hosts) remove(name, reason string) {
	if _, ok := l.listed[name]; !ok {
		return
	}
	delete(l.listed, name)
	delete(l.unreachableSince, name)
	delete(l.listedSince, name)
	logging.Emit(logging.HostUnlisted, logging.Fields{"host": name, "reason": reason})
}

// notify reports the number of hosts, this one included; l.mu is held.
func (l *Hosts) notify() {
	count := len(l.listed)
	if _, ok := l.listed[l.self.Name]; !ok {
		count++
	}
	l.onCountChange(count)
}

// ListedFor returns how long the present incarnation of a host has been listed; 0 if it is not.
func (l *Hosts) ListedFor(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.listedSince[name]
	if !ok {
		return 0
	}
	return time.Since(since)
}

// SelfListedFor is ListedFor of this host; 0 if another incarnation is listed. Hosts that were listed earlier are then
// in the list as well.
func (l *Hosts) SelfListedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own, ok := l.listed[l.self.Name]; !ok || own.Incarnation != l.self.Incarnation {
		return 0
	}
	return time.Since(l.listedSince[l.self.Name])
}

// SetHostDraining records whether a listed host reports that it is draining.
func (l *Hosts) SetHostDraining(name string, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.listed[name]
	if !ok || h.Draining == draining {
		return
	}
	h.Draining = draining
	l.listed[name] = h
	logging.Emit(logging.HostListed, logging.Fields{
		"host": h.Name, "incarnation": h.Incarnation, "address": h.CallerAddress, "draining": draining,
	})
}

// SelfDraining reports whether this host is draining.
func (l *Hosts) SelfDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self.Draining
}

// RecordContact records that a host was reached, or not if cause is set.
func (l *Hosts) RecordContact(name string, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, wasUnreachable := l.unreachableSince[name]
	switch {
	case cause != nil && !wasUnreachable:
		l.unreachableSince[name] = time.Now()
		logging.Emit(logging.HostUnreachable, logging.Fields{"host": name, "error": cause})
	case cause == nil && wasUnreachable:
		delete(l.unreachableSince, name)
		logging.Emit(logging.HostReachable, logging.Fields{"host": name, "unreachable_for": time.Since(since)})
	}
}

// All returns the listed hosts and this one, sorted by name.
func (l *Hosts) All() []fleet.Host { return l.list(false) }

// Reachable returns All without the unreachable hosts.
func (l *Hosts) Reachable() []fleet.Host { return l.list(true) }

func (l *Hosts) list(reachableOnly bool) []fleet.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []fleet.Host{l.self}
	for name, h := range l.listed {
		if _, unreachable := l.unreachableSince[name]; name == l.self.Name || (reachableOnly && unreachable) {
			continue
		}
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b fleet.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

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

// SetSelfDraining records that this host is draining, and returns its entry.
func (l *Hosts) SetSelfDraining() fleet.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Draining = true
	return l.self
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
	hosts := l.Reachable()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.selfServing {
		hosts = slices.DeleteFunc(hosts, func(h fleet.Host) bool { return h.Name == l.self.Name })
	}
	return fleet.SelectAddresses(hosts, locality, minLocalAddresses, maxDirectoryAddresses), directoryTTL
}
