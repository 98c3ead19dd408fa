package objectapi

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Memory is a Store in memory with switchable faults, for unit tests. A watch waits until a change comes or
// its context ends, and starts with the changes since the revision that it names.
type Memory struct {
	mu        sync.Mutex
	revision  Version
	objects   map[objectKey]Object
	history   []Change
	changed   chan struct{} // closed and replaced at each change
	backends  []Backend
	outage    bool
	lose      int
	conflicts int
	reads     int
	writes    int
}

type objectKey struct{ kind, name string }

var (
	_ Store         = (*Memory)(nil)
	_ BackendLister = (*Memory)(nil)
)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[objectKey]Object{}, changed: make(chan struct{})}
}

// SetOutage makes every call fail with ErrUnavailable, waiting watches included, until it is unset.
func (m *Memory) SetOutage(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage = on
	m.signal()
}

// LoseAnswers makes the next n writes that take effect return ErrOutcomeUnknown.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = n
}

// InjectConflicts makes the next n writes fail with ErrConflict without a write.
func (m *Memory) InjectConflicts(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conflicts = n
}

// SetBackends sets the list that Backends returns.
func (m *Memory) SetBackends(b []Backend) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backends = append([]Backend(nil), b...)
}

// Counts returns the numbers of reads and write attempts that reached the store.
func (m *Memory) Counts() (reads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

func (m *Memory) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// begin counts a call and returns the error of an outage.
func (m *Memory) begin(ctx context.Context, counter *int) error {
	if err := ctx.Err(); err != nil {
		return typed(err, ErrUnavailable)
	}
	if m.outage {
		return ErrUnavailable
	}
	*counter++
	return nil
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, kind, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, &m.reads); err != nil {
		return Object{}, err
	}
	o, ok := m.objects[objectKey{kind, name}]
	if !ok {
		return Object{}, errors.Wrapf(ErrNotFound, "%s/%s", kind, name)
	}
	return clone(o), nil
}

// Create implements Store.
func (m *Memory) Create(ctx context.Context, kind, name string, value []byte) (Version, error) {
	return m.write(ctx, kind, name, func(present Version) (*[]byte, error) {
		if present != 0 {
			return nil, ErrConflict
		}
		return &value, nil
	})
}

// Update implements Store.
func (m *Memory) Update(ctx context.Context, kind, name string, value []byte, expected Version) (Version, error) {
	return m.write(ctx, kind, name, func(present Version) (*[]byte, error) {
		if present == 0 || present != expected {
			return nil, ErrConflict
		}
		return &value, nil
	})
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, kind, name string, expected Version) error {
	_, err := m.write(ctx, kind, name, func(present Version) (*[]byte, error) {
		if present == 0 {
			return nil, ErrNotFound
		}
		if expected != 0 && present != expected {
			return nil, ErrConflict
		}
		return nil, nil
	})
	return err
}

// write applies one change. decide returns the new value, or nil to delete the object.
func (m *Memory) write(ctx context.Context, kind, name string, decide func(Version) (*[]byte, error)) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, &m.writes); err != nil {
		return 0, err
	}
	if m.conflicts > 0 {
		m.conflicts--
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
	m.signal()
	if m.lose > 0 {
		m.lose--
		return 0, errors.Wrapf(ErrOutcomeUnknown, "%s/%s", kind, name)
	}
	return o.Version, nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, kind, prefix string) ([]Object, Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, &m.reads); err != nil {
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
func (m *Memory) Watch(ctx context.Context, kind, prefix string, after Version) ([]Change, Version, error) {
	m.mu.Lock()
	err := m.begin(ctx, &m.reads)
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
			return nil, 0, typed(ctx.Err(), ErrUnavailable)
		}
	}
}

func (m *Memory) changesAfter(kind, prefix string, after Version) []Change {
	var out []Change
	for _, c := range m.history {
		if c.Version > after && c.Kind == kind && strings.HasPrefix(c.Name, prefix) {
			out = append(out, Change{Object: clone(c.Object), Deleted: c.Deleted})
		}
	}
	return out
}

// Backends implements BackendLister.
func (m *Memory) Backends(ctx context.Context) ([]Backend, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, &m.reads); err != nil {
		return nil, err
	}
	return append([]Backend(nil), m.backends...), nil
}

func clone(o Object) Object {
	o.Value = bytes.Clone(o.Value)
	return o
}
