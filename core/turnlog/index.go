package turnlog

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ExpirySlack is added to each retention: other hosts learn of a use of a turn with a delay, and a caller measures the
// retention from when it received the response.
const ExpirySlack = 10 * time.Second

// maxChainTurns bounds the turns of one chain.
const maxChainTurns = 8192

// Entry is a turn in an Index.
type Entry struct {
	Meta
	// Sequence identifies the record on the disk.
	Sequence uint64
	// Order numbers the turns in the order in which they were added to the index, from 1.
	Order uint64

	lastUse time.Duration
	used    bool // since it was added
}

// Index knows the turns on one disk. Times are in time since boot. It is not safe for concurrent use.
type Index struct {
	entries  map[string]*Entry
	children map[string]int // number of entries that continue the turn, by its ID
	// ordered holds the entries in their order; removed ones are nil until the slice is compacted.
	ordered []*Entry
	removed int
	order   uint64
	bytes   int64
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{entries: map[string]*Entry{}, children: map[string]int{}}
}

// Len returns the number of turns.
func (x *Index) Len() int { return len(x.entries) }

// Bytes returns the size of all inputs and outputs.
func (x *Index) Bytes() int64 { return x.bytes }

// Get returns a turn, or nil.
func (x *Index) Get(id string) *Entry { return x.entries[id] }

// ErrOtherTurn means that another turn has the same ID.
var ErrOtherTurn = errors.New("another turn with this ID is retained")

// Check returns what Put would do: nothing if the same turn is there, ErrOtherTurn if another one is and was used. An
// unused one is replaced: it is of an attempt whose response was not completed.
func (x *Index) Check(m Meta) (present bool, err error) {
	known := x.entries[m.ID]
	switch {
	case known == nil:
		return false, nil
	case known.Meta == m:
		return true, nil
	case known.used || x.children[m.ID] > 0:
		return false, errors.Wrapf(ErrOtherTurn, "turn %q", m.ID)
	}
	return false, nil
}

// Put adds a turn that was last used at lastUse, and counts as a use of the turn that it continues. It returns the entry
// that it replaces, or nil.
func (x *Index) Put(lastUse time.Duration, sequence uint64, m Meta) (replaced *Entry) {
	if replaced = x.entries[m.ID]; replaced != nil {
		x.remove(replaced)
	}
	x.order++
	e := &Entry{Meta: m, Sequence: sequence, Order: x.order, lastUse: lastUse}
	x.entries[m.ID] = e
	x.ordered = append(x.ordered, e)
	x.bytes += int64(m.Bytes)
	if m.Previous != "" {
		x.children[m.Previous]++
		x.Touch(lastUse, m.Previous)
	}
	return replaced
}

// Touch records a use of a turn.
func (x *Index) Touch(now time.Duration, id string) {
	if e := x.entries[id]; e != nil {
		e.lastUse, e.used = max(e.lastUse, now), true
	}
}

// Chain returns the turns up to id, oldest first. If one that is continued is not there, missing is its ID and the turns
// begin after it.
func (x *Index) Chain(id string) (chain []*Entry, missing string, err error) {
	for id != "" {
		e := x.entries[id]
		if e == nil {
			missing = id
			break
		}
		if len(chain) == maxChainTurns {
			return nil, "", errors.Newf("chain of over %d turns", maxChainTurns)
		}
		chain = append(chain, e)
		id = e.Previous
	}
	slices.Reverse(chain)
	return chain, missing, nil
}

// Unused returns how long the turn has not been used.
func (e *Entry) Unused(now time.Duration) time.Duration { return max(now-e.lastUse, 0) }

// Expire removes the turns whose retention has ended, and returns them. A turn that is continued by others is retained as
// long as they are, because it is part of their chains.
func (x *Index) Expire(now time.Duration) []*Entry {
	var expired []*Entry
	// Turns come after those that they continue, except those that were copied from other hosts, which wait for the next call.
	for i := len(x.ordered) - 1; i >= 0; i-- {
		e := x.ordered[i]
		if e == nil || x.children[e.ID] > 0 || e.Unused(now) < e.Retention+ExpirySlack {
			continue
		}
		x.remove(e)
		expired = append(expired, e)
	}
	x.compact()
	return expired
}

// Remove removes a turn, for example one whose record is corrupt.
func (x *Index) Remove(id string) *Entry {
	e := x.entries[id]
	if e != nil {
		x.remove(e)
		x.compact()
	}
	return e
}

func (x *Index) remove(e *Entry) {
	delete(x.entries, e.ID)
	x.bytes -= int64(e.Bytes)
	if e.Previous != "" {
		if x.children[e.Previous]--; x.children[e.Previous] == 0 {
			delete(x.children, e.Previous)
		}
	}
	if i, ok := x.position(e.Order); ok {
		x.ordered[i] = nil
		x.removed++
	}
}

// compact drops the places of removed entries once they are the most. It must not be called while x.ordered is read.
func (x *Index) compact() {
	if x.removed > len(x.ordered)/2 {
		x.ordered = slices.DeleteFunc(x.ordered, func(e *Entry) bool { return e == nil })
		x.removed = 0
	}
}

// position returns the index in x.ordered of the first entry with that or a higher order, and whether it has that one.
func (x *Index) position(order uint64) (int, bool) {
	low, high := 0, len(x.ordered)
	for low < high {
		middle := (low + high) / 2
		// Removed entries have no order: the next entry that is left decides.
		at := middle
		for at < high && x.ordered[at] == nil {
			at++
		}
		if at == high || x.ordered[at].Order >= order {
			high = middle
		} else {
			low = at + 1
		}
	}
	for low < len(x.ordered) && x.ordered[low] == nil {
		low++
	}
	return low, low < len(x.ordered) && x.ordered[low].Order == order
}

// LastOrder returns the order of the turn that was added last.
func (x *Index) LastOrder() uint64 { return x.order }

// After returns the turns with a higher order, in order.
func (x *Index) After(order uint64) func(yield func(*Entry) bool) {
	return func(yield func(*Entry) bool) {
		start, _ := x.position(order + 1)
		for _, e := range x.ordered[start:] {
			if e != nil && !yield(e) {
				return
			}
		}
	}
}
