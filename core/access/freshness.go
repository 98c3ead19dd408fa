package access

import (
	"math"
	"slices"
	"time"
)

const (
	// NeverConfirmed is the age of a configuration that was never known to be the newest one.
	NeverConfirmed = time.Duration(math.MaxInt64)
	// minGain is by how much a fact must be newer to be passed on at once. Without it, hosts that learn a fact on several
	// ways would exchange it again and again for the difference of a delay.
	minGain = 100 * time.Millisecond
	// maxPending bounds the facts of configurations that are not in force yet.
	maxPending = 8
)

// Fact says that at the time At, by the clock of the host that holds it, no configuration above the revision had been
// accepted.
type Fact struct {
	Revision uint64
	At       time.Duration
}

// Freshness tracks until when a host's configuration was certainly the newest one. Its times are those of a clock that
// counts while the host is suspended, so that what a frozen host knew is old when it goes on. The zero value knows
// nothing. It is not safe for concurrent use.
type Freshness struct {
	// applied is the newest revision that the host has put in force or rejected.
	applied     uint64
	confirmedAt time.Duration
	isConfirmed bool
	newest      Fact
	hasNewest   bool
	// pending holds facts of revisions above applied, in the order of their times.
	pending []Fact
}

// Learn records a fact, and reports whether it is newer than all others.
func (f *Freshness) Learn(fact Fact) bool {
	if f.hasNewest && fact.At <= f.newest.At {
		return false
	}
	f.newest, f.hasNewest = fact, true
	if fact.Revision <= f.applied {
		f.confirm(fact.At)
		return true
	}
	if n := len(f.pending); n > 0 && (f.pending[n-1].Revision == fact.Revision || n == maxPending) {
		f.pending = f.pending[:n-1]
	}
	f.pending = append(f.pending, fact)
	return true
}

// Apply records that the configuration of that revision is in force, or that it cannot be used.
func (f *Freshness) Apply(revision uint64) {
	f.applied = max(f.applied, revision)
	f.pending = slices.DeleteFunc(f.pending, func(fact Fact) bool {
		if fact.Revision > f.applied {
			return false
		}
		f.confirm(fact.At)
		return true
	})
}

func (f *Freshness) confirm(at time.Duration) {
	if !f.isConfirmed || at > f.confirmedAt {
		f.confirmedAt, f.isConfirmed = at, true
	}
}

// ConfirmedAt returns the newest time at which the configuration in force was known to be the newest one.
func (f *Freshness) ConfirmedAt() (at time.Duration, ok bool) { return f.confirmedAt, f.isConfirmed }

// IsBehind reports whether the host has heard of a configuration that it has not put in force yet.
func (f *Freshness) IsBehind() bool { return len(f.pending) > 0 }

// Question asks another host for a newer fact.
type Question struct {
	// KnownAge is the age of the newest fact of the host that asks; negative if it has none.
	KnownAge time.Duration
}

// Answer passes a fact to the host that asked. It contains no point in time, because the clocks of hosts differ.
type Answer struct {
	// Known is set if the host has a fact.
	Known    bool
	Revision uint64
	// SinceQuestion is the time from the arrival of the question to the time of the fact; negative if the fact is older.
	SinceQuestion time.Duration
}

// Ask returns the question of this host at the time now.
func (f *Freshness) Ask(now time.Duration) Question {
	if !f.hasNewest {
		return Question{KnownAge: -1}
	}
	return Question{KnownAge: max(now-f.newest.At, 0)}
}

// HasNews reports whether this host knows a newer fact than a host whose question arrived at receivedAt.
func (f *Freshness) HasNews(receivedAt time.Duration, q Question) bool {
	return f.hasNewest && (q.KnownAge < 0 || f.newest.At-(receivedAt-q.KnownAge) > minGain)
}

// Answer returns the answer to a question that arrived at receivedAt.
func (f *Freshness) Answer(receivedAt time.Duration) Answer {
	return Answer{Known: f.hasNewest, Revision: f.newest.Revision, SinceQuestion: f.newest.At - receivedAt}
}

// LearnAnswer records the answer to a question that this host asked at askedAt, and reports whether it is news. The
// question arrived later than it was asked, so that the fact is at least as new as this host takes it to be, however long
// question and answer were on their way.
func (f *Freshness) LearnAnswer(askedAt time.Duration, a Answer) bool {
	return a.Known && f.Learn(Fact{Revision: a.Revision, At: askedAt + a.SinceQuestion})
}
