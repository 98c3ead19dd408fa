package ingress

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// maxFeedDeletions bounds the deletions that a feed remembers. A follower that is further behind gets all objects.
const maxFeedDeletions = 1024

// feed is a copy of the objects of one kind that numbers their changes, so that other hosts can follow them. The
// store's revisions do not do for that: a stale watch returns new revisions without their changes, which a later list
// then adds below them. It is safe for concurrent use.
type feed struct {
	// epoch identifies the copy: numbers of another one mean nothing.
	epoch string

	mu       sync.Mutex
	sequence uint64
	objects  map[string]feedObject // by name
	// digest is the exclusive or of the hashes of the objects' names and versions: equal copies have equal digests.
	digest uint64
	// deletions are the newest ones, ordered by sequence; forgotten is the sequence of the last one that is not kept.
	deletions []feedDeletion
	forgotten uint64
	// changed is closed at the next change.
	changed chan struct{}
}

type feedObject struct {
	objectapi.Object
	sequence uint64
}

type feedDeletion struct {
	name     string
	sequence uint64
	// version is that of the object when it was deleted.
	version objectapi.Version
}

// feedChanges are the changes of a feed after a sequence number.
type feedChanges struct {
	epoch    string
	sequence uint64
	// full is set if objects are all objects.
	full    bool
	objects []objectapi.Object
	deleted []string
}

func newFeed() *feed {
	return &feed{epoch: newIncarnation(), objects: map[string]feedObject{}, changed: make(chan struct{})}
}

// replace makes the objects all objects of the copy. Those that did not change keep their numbers.
func (f *feed) replace(objects []objectapi.Object) {
	present := make(map[string]bool, len(objects))
	changes := make([]objectapi.Change, 0, len(objects))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range objects {
		present[o.Name] = true
		if known, ok := f.objects[o.Name]; !ok || known.Version != o.Version {
			changes = append(changes, objectapi.Change{Object: o})
		}
	}
	for name := range f.objects {
		if !present[name] {
			changes = append(changes, objectapi.Change{Object: objectapi.Object{Name: name}, Deleted: true})
		}
	}
	f.applyLocked(changes)
}

func (f *feed) apply(changes []objectapi.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyLocked(changes)
}

func (f *feed) applyLocked(changes []objectapi.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		f.sequence++
		f.deletions = slices.DeleteFunc(f.deletions, func(d feedDeletion) bool { return d.name == c.Name })
		known, isKnown := f.objects[c.Name]
		if isKnown {
			f.digest ^= hashObject(known.Object)
		}
		if !c.Deleted {
			f.digest ^= hashObject(c.Object)
		}
		if c.Deleted {
			delete(f.objects, c.Name)
			f.deletions = append(f.deletions, feedDeletion{name: c.Name, sequence: f.sequence, version: max(known.Version, c.Version)})
		} else {
			f.objects[c.Name] = feedObject{Object: c.Object, sequence: f.sequence}
		}
	}
	if extra := len(f.deletions) - maxFeedDeletions; extra > 0 {
		f.forgotten = f.deletions[extra-1].sequence
		f.deletions = slices.Delete(f.deletions, 0, extra)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// withoutDeleted returns the objects of a peer's copy without those that this copy has deleted: the peer has not observed
// the deletions yet.
func (f *feed) withoutDeleted(objects []objectapi.Object) []objectapi.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	deleted := make(map[string]objectapi.Version, len(f.deletions))
	for _, d := range f.deletions {
		deleted[d.name] = d.version
	}
	return slices.DeleteFunc(objects, func(o objectapi.Object) bool {
		version, ok := deleted[o.Name]
		return ok && o.Version <= version
	})
}

func hashObject(o objectapi.Object) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(o.Name) // never returns an error
	_, _ = d.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(o.Version)))
	return d.Sum64()
}

// currentDigest returns the digest of the copy.
func (f *feed) currentDigest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.digest
}

// inSync returns the position in the feed without changes, if a copy with that digest has all objects.
func (f *feed) inSync(digest uint64) (feedChanges, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return feedChanges{epoch: f.epoch, sequence: f.sequence}, digest == f.digest && len(f.objects) > 0
}

// since returns the changes after the number in the epoch, or all objects if they are not known any more, and a
// channel that is closed at the next change.
func (f *feed) since(epoch string, after uint64) (feedChanges, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := feedChanges{epoch: f.epoch, sequence: f.sequence}
	c.full = epoch != f.epoch || after < f.forgotten
	for _, o := range f.objects {
		if c.full || o.sequence > after {
			c.objects = append(c.objects, o.Object)
		}
	}
	if !c.full {
		for _, d := range f.deletions {
			if d.sequence > after {
				c.deleted = append(c.deleted, d.name)
			}
		}
	}
	return c, f.changed
}

// isEmpty reports whether there is nothing to tell a follower.
func (c feedChanges) isEmpty() bool { return !c.full && len(c.objects) == 0 && len(c.deleted) == 0 }

// followRequest asks a peer for the changes of its copy of a kind.
type followRequest struct {
	Kind string
	// Epoch and After are those of the last answer. Without an epoch, the request is for all objects at once.
	Epoch string `msgpack:",omitempty"`
	After uint64 `msgpack:",omitempty"`
	// Digest is that of the host's own copy: a peer with an equal one does not send the objects. It counts only without an
	// epoch.
	Digest uint64 `msgpack:",omitempty"`
	// MaxWait is how long the peer may wait for a change.
	MaxWait time.Duration
}

// followAnswer is a part of the answer to a followRequest. Parts with many objects are followed by others.
type followAnswer struct {
	// NotReady is set if the peer has no copy or does not watch the store.
	NotReady bool   `msgpack:",omitempty"`
	Epoch    string `msgpack:",omitempty"`
	Sequence uint64 `msgpack:",omitempty"`
	// Full is set if the objects of all parts are all objects of the kind.
	Full    bool               `msgpack:",omitempty"`
	Objects []objectapi.Object `msgpack:",omitempty"`
	Deleted []string           `msgpack:",omitempty"`
	// ListRevision is the revision of the peer's last list, and NewestRevision that of its newest object.
	ListRevision   objectapi.Version `msgpack:",omitempty"`
	NewestRevision objectapi.Version `msgpack:",omitempty"`
	// AfterOutage is set if entries may be missing because the store has been unavailable until a moment ago.
	AfterOutage bool `msgpack:",omitempty"`
	// SinceOutage is the time since then.
	SinceOutage time.Duration `msgpack:",omitempty"`
}

// size returns the number of objects of the copy.
func (f *feed) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.objects)
}

// version returns the version of an object of the copy; 0 if there is none.
func (f *feed) version(name string) objectapi.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.objects[name].Version
}

// publish replaces the value of an object of the copy, which keeps its version.
func (f *feed) publish(o objectapi.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.objects[o.Name]
	if !ok {
		return
	}
	o.Kind, o.Version = known.Kind, known.Version
	f.applyLocked([]objectapi.Change{{Object: o}})
}
