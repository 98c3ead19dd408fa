// Package founders decides which host may use tokens of a program of which the store has no record. It is a state machine
// without clock or I/O: its owner passes to it what it reads, and times since boot.
//
// An object in the store numbers the sets of hosts that account for programs: the generations. The founder of a program
// in a generation is the first of its hosts in rendezvous order. Tokens without a record may be used by a host that
//
//   - is the founder in the newest generation, in its present incarnation. It must know that the generation was the newest
//     at most Validity ago, because a later one may have been written since;
//   - was the founder in every earlier generation, too, or listed the records at least the Horizon after the last one in
//     which it was not. What a former founder used without a record belongs by then to a program that has ended, or that
//     has a record, because the former founder's right ended Validity after its generation did.
//
// So of all hosts and incarnations, one at most uses tokens of a program without a record. No clocks are compared: ages
// are passed on, and every host takes them for less than they are.
package founders

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/fleet"
)

const (
	// Validity is how long a host may rely on its knowledge that a generation is the newest.
	Validity = 30 * time.Second
	// MaxTurn bounds the time that a turn runs after its reservation.
	MaxTurn = 60 * time.Second
	// ExpiryGrace is added to a program's retention before the program counts as ended. It covers the delay of a write
	// that the program's next turn waits for.
	ExpiryGrace = 10 * time.Second
	// keptFor is how long ended generations stay in the object. Programs with a longer Horizon have no founder from the
	// second generation on.
	keptFor = 10 * time.Minute
	// minInterval is the least time between two generations, so that hosts which restart together make one.
	minInterval = 5 * time.Second
	// absenceLimit is how long a host must be absent before a generation is written without it: a restart takes less, and
	// the programs of an absent host are safe, only slower.
	absenceLimit = 10 * time.Second
)

// Horizon returns how long after a generation the programs with that retention have ended or have a record.
func Horizon(retention time.Duration) time.Duration {
	return Validity + MaxTurn + retention + ExpiryGrace
}

// Member is a host of the generations from Since on, up to and without Until; Until is 0 while it is in the newest.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Since       uint64 `json:"since"`
	Until       uint64 `json:"until,omitempty"`
}

func (m *Member) in(generation uint64) bool {
	return m.Since <= generation && (m.Until == 0 || generation < m.Until)
}

// Ended says that a generation had ended at least AgoMS milliseconds before the object was written.
type Ended struct {
	Generation uint64 `json:"generation"`
	AgoMS      int64  `json:"ago_ms"`
}

// Object is the object in the store. An earlier generation that Ended lacks had ended keptFor before the object was
// written.
type Object struct {
	Generation uint64   `json:"generation"`
	Members    []Member `json:"members"`
	Ended      []Ended  `json:"ended,omitempty"`
}

// Size returns the number of hosts in the newest generation.
func (o *Object) Size() int {
	n := 0
	for i := range o.Members {
		if o.Members[i].Until == 0 {
			n++
		}
	}
	return n
}

// Validate rejects an object that Propose does not make.
func (o *Object) Validate() bool {
	if o.Generation == 0 {
		return false
	}
	for _, e := range o.Ended {
		if e.Generation == 0 || e.Generation >= o.Generation || e.AgoMS < 0 {
			return false
		}
	}
	return true
}

// ended is a generation with the latest time at which it can have ended.
type ended struct {
	generation uint64
	by         clock.Millis
}

// State is what one host knows of the generations. It is not safe for concurrent use.
type State struct {
	name, incarnation string

	object  Object // Generation is 0 before the first read
	version uint64 // of the object in the store; 0 if it does not exist
	// newestAt is a moment at which the object was the newest.
	newestAt clock.Millis
	// regressed is set while the store has an earlier object than this host knows, or none.
	regressed bool
	// reported is the newest generation that a peer has named.
	reported uint64
	// ended has the ended generations of the object. droppedBy is the latest time at which one that the object no longer
	// has can have ended, if anyDropped is set.
	ended      []ended
	droppedBy  clock.Millis
	anyDropped bool
	// changedAt is when this host first read the present generation, and absentSince since when a member has been absent.
	changedAt   clock.Millis
	absentSince map[string]clock.Millis
}

// New returns the state of a host that has read nothing yet.
func New(name, incarnation string) *State {
	return &State{name: name, incarnation: incarnation, absentSince: map[string]clock.Millis{}}
}

// Read records the object that a call returned which began at requestedAt, and its version in the store.
func (s *State) Read(requestedAt, at clock.Millis, o Object, version uint64) {
	switch {
	case o.Generation < s.object.Generation:
		s.regressed, s.version = true, version
	case o.Generation == s.object.Generation:
		s.regressed, s.version, s.newestAt = false, version, max(s.newestAt, requestedAt)
	default:
		s.replace(at, o)
		s.regressed, s.version, s.newestAt = false, version, requestedAt
	}
}

// Missing records that the store had no object.
func (s *State) Missing() { s.regressed, s.version = s.object.Generation > 0, 0 }

// replace takes over a newer object.
func (s *State) replace(at clock.Millis, o Object) {
	known := s.ended
	if s.object.Generation > 0 {
		known = append(known, ended{s.object.Generation, at})
	}
	by := func(generation uint64, latest clock.Millis) clock.Millis {
		for _, e := range known {
			if e.generation == generation {
				latest = min(latest, e.by)
			}
		}
		return latest
	}
	var kept []ended
	isKept := map[uint64]bool{}
	for _, e := range o.Ended {
		isKept[e.Generation] = true
		kept = append(kept, ended{e.Generation, by(e.Generation, at-clock.Millis(e.AgoMS))})
	}
	dropped := func(generation uint64) {
		latest := by(generation, at.Add(-keptFor))
		if !s.anyDropped || latest > s.droppedBy {
			s.anyDropped, s.droppedBy = true, latest
		}
	}
	for _, e := range known {
		if !isKept[e.generation] {
			dropped(e.generation)
		}
	}
	// Of generations that this host never read and that the object no longer has, the latest possible end is the same.
	unread := int(o.Generation - 1 - s.object.Generation)
	for _, e := range o.Ended {
		if e.Generation > s.object.Generation {
			unread--
		}
	}
	if unread > 0 {
		dropped(0)
	}
	s.object, s.ended, s.changedAt = o, kept, at
	clear(s.absentSince)
}

// Confirm records the statement of a peer that a generation was the newest at a moment, in this host's time.
func (s *State) Confirm(generation uint64, newestAt clock.Millis) {
	s.Report(generation)
	if generation == s.object.Generation && !s.regressed {
		s.newestAt = max(s.newestAt, newestAt)
	}
}

// Report records that a peer knows a generation.
func (s *State) Report(generation uint64) { s.reported = max(s.reported, generation) }

// Generation returns the newest generation that this host has read; 0 if it has read none.
func (s *State) Generation() uint64 { return s.object.Generation }

// NewestAt returns a moment at which Generation was the newest. ok is false if there is none.
func (s *State) NewestAt() (at clock.Millis, ok bool) {
	return s.newestAt, s.object.Generation > 0 && !s.regressed
}

// HasRegressed reports whether the store has an earlier object than this host knows, or none.
func (s *State) HasRegressed() bool { return s.regressed }

// IsBehind reports whether a peer knows a generation that this host has not read.
func (s *State) IsBehind() bool { return s.reported > s.object.Generation }

// IsMember reports whether this incarnation of the host is in the newest generation.
func (s *State) IsMember() bool {
	for i := range s.object.Members {
		m := &s.object.Members[i]
		if m.Until == 0 && m.Name == s.name && m.Incarnation == s.incarnation {
			return true
		}
	}
	return false
}

// founded reports whether this incarnation is the founder of the program in a generation.
func (s *State) founded(generation uint64, program string) bool {
	var founder *Member
	var best uint64
	for i := range s.object.Members {
		m := &s.object.Members[i]
		if !m.in(generation) {
			continue
		}
		score := fleet.RendezvousScore(m.Name, program)
		if founder == nil || score > best || score == best && m.Name < founder.Name {
			founder, best = m, score
		}
	}
	return founder != nil && founder.Name == s.name && founder.Incarnation == s.incarnation
}

// IsFounder reports whether this host may use tokens of the program without a record. listedAt is when its last complete
// list of the records began.
func (s *State) IsFounder(at clock.Millis, program string, retention time.Duration, listedAt clock.Millis) bool {
	if s.object.Generation == 0 || s.regressed || s.IsBehind() || at.Sub(s.newestAt) >= Validity || !s.founded(s.object.Generation, program) {
		return false
	}
	horizon := Horizon(retention)
	if horizon > keptFor && s.object.Generation > 1 {
		return false
	}
	if s.anyDropped && min(at, listedAt) < s.droppedBy.Add(horizon) {
		return false
	}
	for _, e := range s.ended {
		if min(at, listedAt) < e.by.Add(horizon) && !s.founded(e.generation, program) {
			return false
		}
	}
	return true
}

// NeedsList reports whether a list of the records would make this host the founder of more programs. listedAt is when
// the last one began.
func (s *State) NeedsList(at clock.Millis, retention time.Duration, listedAt clock.Millis) bool {
	isDue := func(by clock.Millis) bool {
		due := by.Add(Horizon(retention))
		return due <= at && listedAt < due
	}
	return s.IsMember() && (s.anyDropped && isDue(s.droppedBy) || slices.ContainsFunc(s.ended, func(e ended) bool { return isDue(e.by) }))
}

// Candidate is a host that should be in the newest generation. It is settled if it has been listed for long enough that
// hosts which started at the same time are listed as well.
type Candidate struct {
	Name, Incarnation string
	Settled           bool
}

// Propose returns the next object, to be written if the stored version is expected (0: if there is none). ok is false if
// the present one does.
func (s *State) Propose(at clock.Millis, candidates []Candidate) (o Object, expected uint64, ok bool) {
	if len(candidates) == 0 || s.IsBehind() || !s.isDue(at, candidates) {
		return Object{}, 0, false
	}
	next := Object{Generation: s.object.Generation + 1}
	oldest := next.Generation
	for _, e := range s.ended {
		if ago := at.Sub(e.by); ago < keptFor {
			next.Ended = append(next.Ended, Ended{Generation: e.generation, AgoMS: max(ago.Milliseconds(), 0)})
			oldest = min(oldest, e.generation)
		}
	}
	if s.object.Generation > 0 {
		next.Ended = append(next.Ended, Ended{Generation: s.object.Generation})
		oldest = min(oldest, s.object.Generation)
	}
	remains := map[Candidate]bool{}
	for _, c := range candidates {
		remains[Candidate{Name: c.Name, Incarnation: c.Incarnation}] = true
	}
	for _, m := range s.object.Members {
		host := Candidate{Name: m.Name, Incarnation: m.Incarnation}
		switch {
		case m.Until == 0 && remains[host]:
			delete(remains, host)
		case m.Until == 0:
			m.Until = next.Generation
		}
		if m.Until == 0 || m.Until > oldest {
			next.Members = append(next.Members, m)
		}
	}
	for host := range remains {
		next.Members = append(next.Members, Member{Name: host.Name, Incarnation: host.Incarnation, Since: next.Generation})
	}
	slices.SortFunc(next.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Since, b.Since))
	})
	return next, s.version, true
}

// isDue reports whether a new generation should be written.
func (s *State) isDue(at clock.Millis, candidates []Candidate) bool {
	if s.regressed {
		return true
	}
	if s.object.Generation == 0 {
		return !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Settled })
	}
	isCandidate, isMember := map[string]string{}, map[string]string{}
	for _, c := range candidates {
		isCandidate[c.Name] = c.Incarnation
	}
	due := false
	for _, m := range s.object.Members {
		if m.Until != 0 {
			continue
		}
		isMember[m.Name] = m.Incarnation
		if _, present := isCandidate[m.Name]; present {
			delete(s.absentSince, m.Name)
			continue
		}
		if _, known := s.absentSince[m.Name]; !known {
			s.absentSince[m.Name] = at
		}
		due = due || at.Sub(s.absentSince[m.Name]) >= absenceLimit
	}
	for _, c := range candidates {
		due = due || c.Settled && isMember[c.Name] != c.Incarnation
	}
	return due && at.Sub(s.changedAt) >= minInterval
}
