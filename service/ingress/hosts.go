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

// KindHosts is the kind of the entries that entry hosts write of themselves.
const KindHosts = "entry-hosts"

// Hosts is the list of entry hosts. All methods may be called from any goroutine.
type Hosts struct {
	self          fleet.Host
	onCountChange func(n int)
	// selfListed tells that this host has found itself in the list.
	selfListed chan struct{}

	mu sync.Mutex
	// selfServing is set once this host serves callers.
	selfServing bool
	listed      map[string]fleet.Host
	// unreachableSince holds when a host was found to be unreachable.
	unreachableSince map[string]time.Time
	// listedSince holds when a host's present incarnation was listed.
	listedSince map[string]time.Time
}

// NewHosts returns a list that holds this host only. changed is called with the number of hosts.
func NewHosts(self fleet.Host, changed func(n int)) *Hosts {
	return &Hosts{self: self, onCountChange: changed, selfListed: make(chan struct{}, 1), listed: map[string]fleet.Host{}, unreachableSince: map[string]time.Time{}, listedSince: map[string]time.Time{}}
}

func decodeHost(o objectapi.Object) (fleet.Host, error) {
	var h fleet.Host
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, errors.Wrapf(err, "entry of host %q", o.Name)
	}
	if h.Name != o.Name || h.CallerAddress == "" || h.PeerAddress == "" {
		return h, errors.Newf("entry of host %q: name %q, address %q, peer %q", o.Name, h.Name, h.CallerAddress, h.PeerAddress)
	}
	return h, nil
}

// Replace makes the objects the whole list.
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

// Apply applies one change.
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
	old, known := l.listed[h.Name]
	if known && old == h {
		return
	}
	if old.Incarnation != h.Incarnation {
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

func (l *Hosts) remove(name, reason string) {
	if _, ok := l.listed[name]; !ok {
		return
	}
	delete(l.listed, name)
	delete(l.unreachableSince, name)
	delete(l.listedSince, name)
	logging.Emit(logging.HostUnlisted, logging.Fields{"host": name, "reason": reason})
}

func (l *Hosts) notify() {
	n := len(l.listed)
	if _, ok := l.listed[l.self.Name]; !ok {
		n++
	}
	l.onCountChange(n)
}

// ListedFor returns how long the present incarnation of a host has been listed.
func (l *Hosts) ListedFor(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.listedSince[name]
	if !ok {
		return 0
	}
	return time.Since(since)
}

// SelfListedFor returns how long the present incarnation of this host has been in its own list, so that it knows all
// hosts that were listed before; 0 if it is not.
func (l *Hosts) SelfListedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own, ok := l.listed[l.self.Name]; !ok || own.Incarnation != l.self.Incarnation {
		return 0
	}
	return time.Since(l.listedSince[l.self.Name])
}

// SetHostDraining records whether a host said that it is leaving.
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

// SelfDraining reports whether this host is leaving.
func (l *Hosts) SelfDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self.Draining
}

// RecordContact records whether a host answered.
func (l *Hosts) RecordContact(name string, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, silent := l.unreachableSince[name]
	switch {
	case cause != nil && !silent:
		l.unreachableSince[name] = time.Now()
		logging.Emit(logging.HostUnreachable, logging.Fields{"host": name, "error": cause})
	case cause == nil && silent:
		delete(l.unreachableSince, name)
		logging.Emit(logging.HostReachable, logging.Fields{"host": name, "unreachable_for": time.Since(since)})
	}
}

// All returns the listed hosts and this one, by name.
func (l *Hosts) All() []fleet.Host { return l.list(false) }

// Reachable returns the hosts that answer, and this one.
func (l *Hosts) Reachable() []fleet.Host { return l.list(true) }

func (l *Hosts) list(live bool) []fleet.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []fleet.Host{l.self}
	for name, h := range l.listed {
		if _, silent := l.unreachableSince[name]; name == l.self.Name || (live && silent) {
			continue
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b fleet.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// SetSelfServing marks this host as one that serves callers.
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

// SetSelfDraining marks this host as leaving.
func (l *Hosts) SetSelfDraining() fleet.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Draining = true
	return l.self
}

const (
	// directoryTTL is how long callers may keep an answer: a host that leaves is out of use within a few of them.
	directoryTTL = 1 * time.Second
	// maxDirectoryAddresses is the most addresses that callers read from an answer.
	maxDirectoryAddresses = 64
	// minLocalAddresses is the least number of hosts of the caller's failure domain that are returned alone: with
	// two, the loss of one leaves a caller with an address that works.
	minLocalAddresses = 2
)

// Lookup answers callers that ask which hosts to use.
func (l *Hosts) Lookup(at fleet.Locality) ([]string, time.Duration) {
	hosts := l.Reachable()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.selfServing {
		hosts = slices.DeleteFunc(hosts, func(h fleet.Host) bool { return h.Name == l.self.Name })
	}
	return fleet.SelectAddresses(hosts, at, minLocalAddresses, maxDirectoryAddresses), directoryTTL
}
