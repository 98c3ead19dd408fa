package objectapi

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// MemoryStore is an in-memory Store with fault injection, for unit tests. Its Watch has no wait limit: it blocks
// until there is a change after its revision or its context ends.
type MemoryStore struct {
	mu                sync.Mutex
	revision          Version
	objects           map[objectKey]Object
	history           []Change
	changed           chan struct{} // closed and replaced at each change
	backends          []Backend
	outage            bool
	answersToLose     int
	conflictsToInject int
	reads             int
	writes            int
}

type objectKey struct{ kind, name string }

var (
	_ Store         = (*MemoryStore)(nil)
	_ BackendLister = (*MemoryStore)(nil)
)

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{objects: map[objectKey]Object{}, changed: make(chan struct{})}
}

// SetOutage starts or ends an outage, during which every call, including waiting watches, fails with ErrUnavailable.
func (m *MemoryStore) SetOutage(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage = on
	m.wakeWatches()
}

// LoseAnswers makes the next n successful writes return ErrOutcomeUnknown although they take effect.
func (m *MemoryStore) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answersToLose = n
}

// InjectConflicts makes the next n writes fail with ErrConflict and without effect.
func (m *MemoryStore) InjectConflicts(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conflictsToInject = n
}

// SetBackends sets the list that Backends returns.
func (m *MemoryStore) SetBackends(b []Backend) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backends = append([]Backend(nil), b...)
}

// CallCounts returns the numbers of reads and write attempts that reached the store.
func (m *MemoryStore) CallCounts() (reads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

func (m *MemoryStore) wakeWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// beginCall counts a call, or returns ErrUnavailable if ctx has ended or there is an outage.
func (m *MemoryStore) beginCall(ctx context.Context, counter *int) error {
	if err := ctx.Err(); err != nil {
		return withSentinel(err, ErrUnavailable)
	}
	if m.outage {
		return ErrUnavailable
	}
	*counter++
	return nil
}

// Get implements Store.
func (m *MemoryStore) Get(ctx context.Context, kind, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(ctx, &m.reads); err != nil {
		return Object{}, err
	}
	o, ok := m.objects[objectKey{kind, name}]
	if !ok {
		return Object{}, errors.Wrapf(ErrNotFound, "%s/%s", kind, name)
	}
	return clone(o), nil
}

// Create implements Store.
func (m *MemoryStore) Create(ctx context.Context, kind, name string, value []byte) (Version, error) {
	return m.write(ctx, kind, name, func(current Version) (*[]byte, error) {
		if current != 0 {
			return nil, ErrConflict
		}
		return &value, nil
	})
}

// Update implements Store.
func (m *MemoryStore) Update(ctx context.Context, kind, name string, value []byte, expected Version) (Version, error) {
	return m.write(ctx, kind, name, func(current Version) (*[]byte, error) {
		if current == 0 || current != expected {
			return nil, ErrConflict
		}
		return &value, nil
	})
}

// Delete implements Store.
func (m *MemoryStore) Delete(ctx context.Context, kind, name string, expected Version) error {
	_, err := m.write(ctx, kind, name, func(current Version) (*[]byte, error) {
		if current == 0 {
			return nil, ErrNotFound
		}
		if expected != 0 && current != expected {
			return nil, ErrConflict
		}
		return nil, nil
	})
	return err
}

// write applies one change. decide gets the current version and returns the new value, or nil to delete the object.
func (m *MemoryStore) write(ctx context.Context, kind, name string, decide func(Version) (*[]byte, error)) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(ctx, &m.writes); err != nil {
		return 0, err
	}
	if m.conflictsToInject > 0 {
		m.conflictsToInject--
		return 0, errors.Wrapf(ErrConflict, "%s/%s", kind, name)
	}
	key := objectKey{kind, name}
	value, err := decide(m.objects[key].Version)
	if err != nil {
		return 0, errors.Wrapf(err, "%s/%s", kind, name)
	}
	if value != nil && len(*value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "%s/%s", kind, name)
	}
	m.revision++
	o := Object{Kind: kind, Name: name, Version: m.revision}
	if value == nil {
		delete(m.objects, key)
	} else {
		o.Value = bytes.Clone(*value)
		m.objects[key] = o
	}
	m.history = append(m.history, Change{Object: o, Deleted: value == nil})
	m.wakeWatches()
	if m.answersToLose > 0 {
		m.answersToLose--
		return 0, errors.Wrapf(ErrOutcomeUnknown, "%s/%s", kind, name)
	}
	return o.Version, nil
}

// List implements Store.
func (m *MemoryStore) List(ctx context.Context, kind, prefix string) ([]Object, Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(ctx, &m.reads); err != nil {
		return nil, 0, err
	}
	var out []Object
	for k, o := range m.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			out = append(out, clone(o))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, m.revision, nil
}

// Watch implements Store.
func (m *MemoryStore) Watch(ctx context.Context, kind, prefix string, after Version) ([]Change, Version, error) {
	m.mu.Lock()
	err := m.beginCall(ctx, &m.reads)
	m.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	for {
		m.mu.Lock()
		changes, revision, changed, outage := m.changesAfter(kind, prefix, after), m.revision, m.changed, m.outage
		m.mu.Unlock()
		if outage {
			return nil, 0, ErrUnavailable
		}
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, withSentinel(ctx.Err(), ErrUnavailable)
		}
	}
}

func (m *MemoryStore) changesAfter(kind, prefix string, after Version) []Change {
	var out []Change
	for _, c := range m.history {
		if c.Version > after && c.Kind == kind && strings.HasPrefix(c.Name, prefix) {
			out = append(out, Change{Object: clone(c.Object), Deleted: c.Deleted})
		}
	}
	return out
}

// Backends implements BackendLister.
func (m *MemoryStore) Backends(ctx context.Context) ([]Backend, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.beginCall(ctx, &m.reads); err != nil {
		return nil, err
	}
	return append([]Backend(nil), m.backends...), nil
}

func clone(o Object) Object {
	o.Value = bytes.Clone(o.Value)
	return o
}
