package turns

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

const (
	// storeRetryInterval is the delay after a failed call to the store.
	storeRetryInterval = 500 * time.Millisecond
	// idleCheckInterval is how often a host that retains no turns checks whether it is to read the list.
	idleCheckInterval = 100 * time.Millisecond
	// activeTime is how long after the last request a host without turns still follows the list of hosts.
	activeTime = 2 * time.Minute
	// relistInterval is the interval of the lists of disk hosts between which the list is watched. A stale watch is detected
	// after at most this time, or by the revisions that other disk hosts report.
	relistInterval = 30 * time.Second
)

// decodeHost decodes the entry of a host with a disk.
func decodeHost(o objectapi.Object) (turnlog.Host, error) {
	var h turnlog.Host
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, errors.Wrapf(err, "decode entry of disk host %q", o.Name)
	}
	if h.Name != o.Name || h.PeerAddress == "" || h.DiskID == "" {
		return h, errors.Newf("invalid entry of disk host %q: name %q, peer address %q, disk %q", o.Name, h.Name, h.PeerAddress, h.DiskID)
	}
	return h, nil
}

// hostList is the list of hosts with a disk, as read from the store. It is safe for concurrent use.
type hostList struct {
	mu       sync.Mutex
	hosts    map[string]turnlog.Host
	versions map[string]objectapi.Version
	sorted   []turnlog.Host // by name; never changed in place
	revision uint64
	listed   bool
	changed  chan struct{} // closed at the next change
}

func newHostList() *hostList {
	return &hostList{hosts: map[string]turnlog.Host{}, versions: map[string]objectapi.Version{}, changed: make(chan struct{})}
}

// replace replaces the list by the objects, which were listed at the revision.
func (l *hostList) replace(objects []objectapi.Object, revision objectapi.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := map[string]bool{}
	for _, o := range objects {
		present[o.Name] = true
		l.put(o)
	}
	for name := range l.hosts {
		if !present[name] {
			l.remove(name)
		}
	}
	l.listed = true
	l.revision = max(l.revision, uint64(revision))
	l.publish()
}

func (l *hostList) apply(c objectapi.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Deleted {
		l.remove(c.Name)
	} else {
		l.put(c.Object)
	}
	l.publish()
}

// put adds or replaces an entry; l.mu is held.
func (l *hostList) put(o objectapi.Object) {
	h, err := decodeHost(o)
	if err != nil {
		logging.Emit(logging.DiskHostRejected, logging.Fields{"host": o.Name, "error": err})
		return
	}
	l.revision = max(l.revision, uint64(o.Version))
	if l.versions[o.Name] >= o.Version {
		return
	}
	l.versions[o.Name] = o.Version
	if l.hosts[h.Name] != h {
		logging.Emit(logging.DiskHostListed, logging.Fields{"host": h.Name, "state": h.State, "disk": h.DiskID, "peer": h.PeerAddress})
	}
	l.hosts[h.Name] = h
}

// remove removes an entry; l.mu is held.
func (l *hostList) remove(name string) {
	if _, ok := l.hosts[name]; ok {
		logging.Emit(logging.DiskHostUnlisted, logging.Fields{"host": name})
	}
	delete(l.hosts, name)
	delete(l.versions, name)
}

// publish makes the hosts visible; l.mu is held.
func (l *hostList) publish() {
	sorted := make([]turnlog.Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		sorted = append(sorted, h)
	}
	slices.SortFunc(sorted, func(a, b turnlog.Host) int { return strings.Compare(a.Name, b.Name) })
	if slices.Equal(sorted, l.sorted) {
		return
	}
	l.sorted = sorted
	close(l.changed)
	l.changed = make(chan struct{})
}

// current returns the hosts, sorted by name, the revision up to which they are known, and a channel that is closed at the
// next change.
func (l *hostList) current() ([]turnlog.Host, uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sorted, l.revision, l.changed
}

// entry returns an entry and its version, which is 0 if there is none, and the revision up to which the list is known.
func (l *hostList) entry(name string) (turnlog.Host, objectapi.Version, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[name], l.versions[name], l.revision
}

func (l *hostList) hasListed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// members follows the list of disk hosts and keeps this host's entry in it.
type members struct {
	*hostList
	store  objectapi.Store
	relist chan struct{}

	// writeMu is held while the entry is written, so that one write follows the other.
	writeMu sync.Mutex

	// selfMu is never held during a call to the store: other hosts take one whose status answers are late for lost.
	selfMu sync.Mutex
	self   turnlog.Host
	// gone is set once the entry was deleted at the end of a retirement.
	gone bool
	// written is the version of this host's entry when it was last written; 0 before the first time.
	written objectapi.Version
	// copiesMissing is set if the disk had not got all of its copies when the process started.
	copiesMissing bool
	// refillVersion is the version of the entry that first showed the loss of the disk.
	refillVersion objectapi.Version
}

func newMembers(store objectapi.Store, self turnlog.Host) *members {
	return &members{hostList: newHostList(), store: store, relist: make(chan struct{}, 1), self: self}
}

func (m *members) setDisk(id string, copiesMissing bool) {
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	m.self.DiskID, m.copiesMissing = id, copiesMissing
}

// refillingSince returns the version of the entry that first showed the loss of this host's disk. ok is false if the host is
// not refilling.
func (m *members) refillingSince() (version objectapi.Version, ok bool) {
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	return m.refillVersion, m.self.Refilling && m.refillVersion > 0
}

// setRefilled records in this host's entry that all copies have been made, and returns the entry's version.
func (m *members) setRefilled(ctx context.Context) (objectapi.Version, error) {
	m.update(func(self *turnlog.Host) { self.Refilling = false })
	version, err := m.writeEntry(ctx)
	if err != nil {
		m.update(func(self *turnlog.Host) { self.Refilling = true }) // to be repeated
	}
	return version, err
}

// update changes what the next write of the entry contains.
func (m *members) update(change func(self *turnlog.Host)) {
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	change(&m.self)
}

func (m *members) incarnation() string { return m.own().Incarnation }

func (m *members) own() turnlog.Host {
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	return m.self
}

// run registers this host and, while isActive, follows the list until ctx ends.
func (m *members) run(ctx context.Context, isActive func() bool) {
	m.register(ctx)
	for ctx.Err() == nil {
		if !isActive() {
			sleep(ctx, idleCheckInterval)
			continue
		}
		if err := m.follow(ctx, isActive); err != nil && ctx.Err() == nil {
			sleep(ctx, storeRetryInterval)
		}
	}
}

// follow lists the hosts and watches them until the list must be read again.
func (m *members) follow(ctx context.Context, isActive func() bool) error {
	objects, revision, err := m.store.List(ctx, KindDiskHosts, "")
	if err != nil {
		return err
	}
	m.replace(objects, revision)
	ctx, cancel := context.WithTimeout(ctx, relistInterval)
	defer cancel()
	go func() {
		select {
		case <-m.relist:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil && isActive() {
		changes, next, err := m.store.Watch(ctx, KindDiskHosts, "", revision)
		if ctx.Err() != nil {
			return nil // the list is to be read again
		}
		if err != nil {
			return err
		}
		for _, c := range changes {
			m.apply(c)
		}
		revision = max(revision, next)
	}
	return nil
}

// observe is called with the newest revision that another disk host knows.
func (m *members) observe(newest uint64) {
	if _, revision, _ := m.current(); newest > revision {
		select {
		case m.relist <- struct{}{}:
		default:
		}
	}
}

// register writes this host's entry until that succeeds or ctx ends.
func (m *members) register(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := m.writeEntry(ctx)
		if err == nil {
			self := m.own()
			logging.Emit(logging.DiskHostRegistered, logging.Fields{"host": self.Name, "state": self.State, "revision": version})
			return
		}
		logging.Emit(logging.DiskHostNotWritten, logging.Fields{"host": m.own().Name, "error": err})
		sleep(ctx, storeRetryInterval)
	}
}

// writeEntry creates or replaces this host's entry.
func (m *members) writeEntry(ctx context.Context) (objectapi.Version, error) {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	if m.isGone() {
		return 0, nil
	}
	name := m.own().Name
	existing, err := m.store.Get(ctx, KindDiskHosts, name)
	isListed := err == nil
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return 0, err
	}
	value, err := json.Marshal(m.entryAfter(existing, isListed))
	if err != nil {
		return 0, errors.Wrapf(err, "encode the entry of disk host %q", name)
	}
	var version objectapi.Version
	if isListed {
		version, err = objectapi.UpdateConfirmed(ctx, m.store, KindDiskHosts, name, value, existing.Version)
	} else {
		version, err = objectapi.CreateConfirmed(ctx, m.store, KindDiskHosts, name, value)
	}
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	m.written = max(m.written, version)
	if m.self.Refilling && m.refillVersion == 0 {
		m.refillVersion = version
	}
	return version, err
}

func (m *members) isGone() bool {
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	return m.gone
}

// entryAfter returns the entry to be written. When the process writes it for the first time, the entry that it replaces shows
// whether the host's disk was lost.
func (m *members) entryAfter(existing objectapi.Object, isListed bool) turnlog.Host {
	m.selfMu.Lock()
	defer m.selfMu.Unlock()
	if m.written == 0 {
		m.self.Refilling = isListed && m.copiesMissing && m.hasLostDisk(existing)
	}
	return m.self
}

// hasLostDisk reports whether this host had another disk when its entry was written, or had lost that and not got all copies
// since; m.selfMu is held. A host without an entry has held no turns that have not been copied: its entry is deleted only then.
func (m *members) hasLostDisk(entry objectapi.Object) bool {
	h, err := decodeHost(entry)
	return err != nil || h.DiskID != m.self.DiskID || h.Refilling
}

// isMarkedLost reports whether another host has marked this one as lost, or has deleted its entry. The entry of a later
// incarnation of this host does not count.
func (m *members) isMarkedLost() bool {
	m.selfMu.Lock()
	self, written, gone := m.self, m.written, m.gone
	m.selfMu.Unlock()
	listed, version, revision := m.entry(self.Name)
	isCurrent := listed == self || listed.Incarnation > self.Incarnation
	return !gone && written > 0 && !isCurrent && revision > uint64(written) && (version == 0 || version > written)
}

// setState changes the state in this host's entry, and returns the entry's version.
func (m *members) setState(ctx context.Context, s turnlog.State) (objectapi.Version, error) {
	m.update(func(self *turnlog.Host) { self.State = s })
	return m.writeEntry(ctx)
}

// leave deletes this host's entry for good.
func (m *members) leave(ctx context.Context) error {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	m.selfMu.Lock()
	m.gone = true
	m.selfMu.Unlock()
	err := m.store.Delete(ctx, KindDiskHosts, m.own().Name, 0)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	return err
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
