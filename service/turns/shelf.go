package turns

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

const (
	// maxLiveFraction is the fraction of the disk's size that inputs and outputs may use: the engine needs the rest for its
	// log and for records that are deleted but not yet compacted.
	maxLiveFraction = 0.45
	// maxUsedFraction is the fraction of the disk's size that the engine may use before turns are refused.
	maxUsedFraction = 0.8
	// nearlyFullFraction of these is where entry hosts are told to begin no more turns, so that those that run still fit.
	nearlyFullFraction = 0.85
	// cacheMemoryFraction and pendingMemoryFraction are the fractions of the memory setting for recordCache and for turns
	// that are being written.
	cacheMemoryFraction   = 0.125
	pendingMemoryFraction = 0.125
	// stalledAfter is the time after which a write shows that the disk hangs: a sync takes 5 ms, and 35 ms on a slow disk. It
	// is shorter than keepHedgeDelay, so that a host which did not answer a turn in time does not say that it accepts more.
	stalledAfter = 100 * time.Millisecond
	// closePollInterval is how often a retiring host checks whether all accepted turns are written.
	closePollInterval = 10 * time.Millisecond
)

// shelf holds the turns on this host's disk. It is safe for concurrent use.
type shelf struct {
	disk *disk
	// diskBytes is the size of the disk, and maxBytes that of the inputs and outputs that the host may retain.
	diskBytes, maxBytes int64
	maxPendingBytes     int64
	damaged             int // records that could not be read at the start

	mu           sync.Mutex
	index        *turnlog.Index
	cache        *recordCache
	lastSequence uint64
	pendingBytes int64
	usedBytes    int64
	// writing holds when the records that are being written were passed to the disk, by sequence.
	writing map[uint64]time.Duration
	state   copyState
	// turnsMissingSince is when turns may have lost their last copy, or this process began, and longestRetention the longest
	// retention of any turn that is known of.
	turnsMissingSince, longestRetention time.Duration
	// closed is set while no more turns of entry hosts are accepted.
	closed bool
}

// openShelf reads the meta data of all records. They count as used now: when they were last used is not stored.
func openShelf(d *disk, diskBytes, maxBytes, memoryBytes int64) (*shelf, error) {
	s := &shelf{
		disk: d, diskBytes: diskBytes, maxBytes: maxBytes, maxPendingBytes: int64(float64(memoryBytes) * pendingMemoryFraction),
		index: turnlog.NewIndex(), cache: newRecordCache(int64(float64(memoryBytes) * cacheMemoryFraction)), writing: map[uint64]time.Duration{},
	}
	now := clock.SinceBoot()
	s.state, s.turnsMissingSince = d.state, now
	var replaced []uint64
	damaged, err := d.scan(func(sequence uint64, m turnlog.Meta) {
		s.lastSequence, s.longestRetention = sequence, max(s.longestRetention, m.Retention)
		if e := s.index.Put(now, sequence, m); e != nil {
			replaced = append(replaced, e.Sequence)
		}
	})
	if err != nil {
		return nil, err
	}
	s.damaged, s.usedBytes = damaged, d.usedBytes()
	return s, d.remove(replaced)
}

// keep writes a turn, and returns once it is synced. force is set for copies of turns that other hosts have accepted.
func (s *shelf) keep(r turnlog.Record, unused time.Duration, force bool) (status, error) {
	size := int64(r.Meta.Bytes)
	s.mu.Lock()
	present, err := s.index.Check(r.Meta)
	switch {
	case present:
		s.index.Touch(clock.SinceBoot(), r.Meta.Previous)
		s.mu.Unlock()
		return statusDone, nil
	case err != nil:
		s.mu.Unlock()
		return statusConflict, nil
	case s.closed && !force || s.pendingBytes+size > s.maxPendingBytes && s.pendingBytes > 0:
		s.mu.Unlock()
		return statusNotReady, nil
	case s.isFull(size, 1):
		s.mu.Unlock()
		return statusFull, nil
	}
	s.longestRetention = max(s.longestRetention, r.Meta.Retention)
	s.lastSequence++
	sequence := s.lastSequence
	s.pendingBytes += size
	s.writing[sequence] = clock.SinceBoot()
	s.mu.Unlock()

	err = s.disk.put(sequence, r)
	s.mu.Lock()
	s.pendingBytes -= size
	delete(s.writing, sequence)
	if err != nil {
		s.mu.Unlock()
		return statusNotReady, err
	}
	replaced := s.index.Put(clock.SinceBoot()-unused, sequence, r.Meta)
	s.cache.put(r)
	s.mu.Unlock()
	if replaced != nil {
		err = s.disk.remove([]uint64{replaced.Sequence})
	}
	return statusDone, err
}

// isFull reports whether size more bytes exceed the fraction of the limits; s.mu is held.
func (s *shelf) isFull(size int64, fraction float64) bool {
	return float64(s.index.Bytes()+s.pendingBytes+size) > float64(s.maxBytes)*fraction ||
		float64(s.usedBytes) > float64(s.diskBytes)*maxUsedFraction*fraction
}

// acceptsTurns reports whether the host can retain turns: it has space, does not retire, and its disk does not hang.
func (s *shelf) acceptsTurns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, since := range s.writing {
		if clock.SinceBoot()-since > stalledAfter {
			return false
		}
	}
	return !s.closed && !s.isFull(0, nearlyFullFraction)
}

func (s *shelf) nearlyFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isFull(0, nearlyFullFraction)
}

// close refuses further turns of entry hosts, and waits until the accepted ones are written. It reports whether there are
// any turns.
func (s *shelf) close() bool {
	s.mu.Lock()
	s.closed = true
	for len(s.writing) > 0 {
		s.mu.Unlock()
		time.Sleep(closePollInterval)
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	return s.index.Len() > 0
}

func (s *shelf) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Len()
}

// chain returns the turns up to id, oldest first, and counts as a use of them. missing is the ID of the turn that is not
// on this disk.
func (s *shelf) chain(id, team string) (entries []turnlog.Entry, missing string, result status, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.index.Get(id)
	switch {
	case e == nil:
		return nil, "", statusAbsent, nil
	case e.Team != team:
		return nil, "", statusOtherTeam, nil
	}
	s.index.Touch(clock.SinceBoot(), id)
	chain, missing, err := s.index.Chain(id)
	for _, e := range chain {
		entries = append(entries, *e)
	}
	return entries, missing, statusDone, err
}

func (s *shelf) touch(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.index.Touch(clock.SinceBoot(), id)
	}
}

// read returns the record of a turn. A damaged one is removed, so that it is copied again from another host.
func (s *shelf) read(e turnlog.Entry) (turnlog.Record, error) {
	s.mu.Lock()
	r, ok := s.cache.get(e.ID)
	s.mu.Unlock()
	if ok && r.Meta == e.Meta {
		return r, nil
	}
	r, err := s.disk.get(e.Sequence)
	if err == nil && r.Meta != e.Meta {
		err = errors.Wrapf(turnlog.ErrCorrupt, "record %d is of another turn", e.Sequence)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.index.Get(e.ID)
	switch {
	case err == nil && current != nil:
		s.cache.put(r)
	case errors.Is(err, turnlog.ErrCorrupt) && current != nil && current.Sequence == e.Sequence:
		logging.Emit(logging.TurnDamaged, logging.Fields{"turn": e.ID, "error": err})
		s.index.Remove(e.ID)
		s.damaged++
		err = errors.CombineErrors(err, s.disk.remove([]uint64{e.Sequence}))
	}
	return r, err
}

// expire deletes the turns whose retention has ended.
func (s *shelf) expire() error {
	used := s.disk.usedBytes()
	s.mu.Lock()
	s.usedBytes = used
	expired := s.index.Expire(clock.SinceBoot())
	sequences, bytes := make([]uint64, 0, len(expired)), 0
	for _, e := range expired {
		s.cache.remove(e.ID)
		sequences = append(sequences, e.Sequence)
		bytes += e.Bytes
	}
	s.mu.Unlock()
	if len(sequences) == 0 {
		return nil
	}
	logging.Emit(logging.TurnsExpired, logging.Fields{"turns": len(sequences), "bytes": bytes})
	return s.disk.remove(sequences)
}

// listFor returns the turns after the order of which the host should have copies, by that list of hosts, and the order of
// the last turn.
func (s *shelf) listFor(r listRequest, after uint64) ([]listedTurn, uint64) {
	type candidate struct {
		listedTurn
		anchor turnlog.Anchor
	}
	now := clock.SinceBoot()
	s.mu.Lock()
	var candidates []candidate
	for e := range s.index.After(after) {
		candidates = append(candidates, candidate{listedTurn{ID: e.ID, Bytes: e.Bytes, Unused: e.Unused(now)}, e.Anchor})
	}
	last := s.index.LastOrder()
	s.mu.Unlock()
	var out []listedTurn
	isTarget := map[turnlog.Anchor]bool{}
	for _, c := range candidates {
		wanted, known := isTarget[c.anchor]
		if !known {
			for _, target := range turnlog.Targets(r.Hosts, c.anchor, r.Copies) {
				wanted = wanted || target.Name == r.Host
			}
			isTarget[c.anchor] = wanted
		}
		if wanted {
			out = append(out, c.listedTurn)
		}
	}
	return out, last
}

// lookUp returns the entries of the turns that are on this disk.
func (s *shelf) lookUp(ids []string) []turnlog.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []turnlog.Entry
	for _, id := range ids {
		if e := s.index.Get(id); e != nil {
			out = append(out, *e)
		}
	}
	return out
}

func (s *shelf) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Get(id) != nil
}
