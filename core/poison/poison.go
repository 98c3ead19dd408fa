// Package poison finds requests that end the servers that run them. Hosts share what they observe as records that can be
// merged in any order. It is pure: times are arguments.
package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// quarantineScore is the evidence at which a request is quarantined: servers ended as they began to run it at two
	// moments, or at five while it was there. prefixQuarantineScore is that for all requests with the same prefix, which
	// takes different requests and one moment more.
	quarantineScore       = 2.0
	prefixQuarantineScore = 3.0
	beganScore            = 1.0
	presentScore          = 0.4
	// observationLag bounds how much later one host learns of a server's end than another one.
	observationLag = 500 * time.Millisecond
	// maxEnds is the number of ends that a record keeps. A cleared one makes room for a later one, so that a request that
	// has run to its end many times can still be quarantined.
	maxEnds = 16
	// evidenceTTL is how long a record is kept after its last change. It is longer than an event, so that a request whose
	// caller pauses is recognized.
	evidenceTTL = 24 * time.Hour
	// quarantineTTL is how long a quarantined request is refused after the last server ended under it, however often it
	// comes: the verdict may be wrong. Then it is a suspect, and one more end quarantines it again. A request under which
	// servers ended at permanentMoments moments stays in quarantine for as long as its record is kept.
	quarantineTTL    = 10 * time.Minute
	permanentMoments = 5
	// maxRecords bounds the memory of a table.
	maxRecords = 4096
	// evictedTogether is the number of records that make room in a full table.
	evictedTogether = maxRecords / 64
)

// Fingerprint identifies a request, or all requests with a common prefix, by what makes it the same at any host: path,
// caller and body, or the first bytes of the body.
type Fingerprint [16]byte

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Chain holds the fingerprints of the prefixes of a request, the shortest first, and last that of the whole request. The
// next turn of a program has the body of the turn before as a prefix.
type Chain []Fingerprint

// minPrefixBytes is the length of the shortest prefix of a body that has a fingerprint; each other one is twice as long.
const minPrefixBytes = 512

// NewChain returns the fingerprints of a request: of the parts that identify what it is for and whose it is, and of its
// body, which may be in several pieces.
func NewChain(parts []string, body ...[]byte) Chain {
	h := sha256.New()
	for _, part := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // a hash returns no error
		_, _ = io.WriteString(h, part)
	}
	sum := func() (f Fingerprint) {
		copy(f[:], h.Sum(nil))
		return f
	}
	total := 0
	for _, piece := range body {
		total += len(piece)
	}
	var chain Chain
	written, size := 0, minPrefixBytes
	for _, piece := range body {
		for len(piece) > 0 {
			n := len(piece)
			if size < total {
				n = min(n, size-written)
			}
			_, _ = h.Write(piece[:n])
			piece = piece[n:]
			if written += n; written == size && size < total {
				chain = append(chain, sum())
				size *= 2
			}
		}
	}
	_ = binary.Write(h, binary.BigEndian, uint64(total))
	return append(chain, sum())
}

// Continue returns the fingerprints of a request that continues a retained turn, or begins a chain of turns if previous is
// empty: servers run its body after that of the turns before, so that requests with the same body are different ones, which
// have the body in common as if it were a prefix.
func (c Chain) Continue(previous string) Chain {
	h := sha256.New()
	_, _ = h.Write(c[len(c)-1][:]) // a hash returns no error
	_, _ = io.WriteString(h, previous)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return append(c, f)
}

// Lifetime identifies one lifetime of a server.
type Lifetime struct {
	Server      string
	StartedAtMS int64
}

// End is the end of a server to which a request had been sent.
type End struct {
	Lifetime
	// Observer is the host that observed the end, Age the time since then, and Ran the time from the moment at which the
	// request was sent to the server until then.
	Observer string        `json:",omitempty" msgpack:",omitempty"`
	Age      time.Duration `json:",omitempty" msgpack:",omitempty"`
	Ran      time.Duration `json:",omitempty" msgpack:",omitempty"`
	// Began is set if the server had begun to run the request and had not produced anything yet. Requests that waited there,
	// or that it had been running, are less suspicious.
	Began bool
	// Cleared is set once the request has run to its end after the server ended: the server ended for another reason.
	Cleared bool `json:",omitempty" msgpack:",omitempty"`
}

// score returns what the end counts as evidence.
func (e End) score() float64 {
	if e.Began {
		return beganScore
	}
	return presentScore
}

// precedes reports whether the request was sent to the server of the later end only after e. Otherwise both servers may
// have ended for one reason, such as the loss of a rack, that has nothing to do with the request. The clocks of two
// observers are compared by the ages that they reported.
func (e End) precedes(later End) bool {
	sentAge := later.Age + later.Ran
	if e.Observer != later.Observer {
		sentAge += observationLag
	}
	return e.Age >= sentAge
}

func compareEnds(a, b End) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAtMS, b.StartedAtMS))
}

// sumOfMoments returns the greatest sum of values over ends at separate moments that are not cleared.
func sumOfMoments(ends []End, value func(End) float64) float64 {
	if len(ends) == 1 && !ends[0].Cleared { // most records have one end
		return value(ends[0])
	}
	counted := slices.DeleteFunc(slices.Clone(ends), func(end End) bool { return end.Cleared })
	slices.SortFunc(counted, func(a, b End) int { return cmp.Or(cmp.Compare(b.Age, a.Age), compareEnds(a, b)) })
	best, highest := make([]float64, len(counted)), 0.0
	for i, end := range counted {
		for j, earlier := range counted[:i] {
			if earlier.precedes(end) {
				best[i] = max(best[i], best[j])
			}
		}
		best[i] += value(end)
		highest = max(highest, best[i])
	}
	return highest
}

// Verdict is how a request is treated.
type Verdict int

// Verdicts, from the mildest on.
const (
	Innocent Verdict = iota
	// Suspect: the request may have ended a server, and runs where it does the least harm.
	Suspect
	// Quarantined: the request is refused.
	Quarantined
)

// Record is what is known of one request, or of the requests with one prefix.
type Record struct {
	Fingerprint Fingerprint
	// Key is a cheap hash of the request, so that most others need no fingerprint.
	Key uint64
	// Next is the next fingerprint of the request's chain; zero in the record of a whole request. Diverged is set if requests
	// with different ones ended servers: only then is the prefix to blame.
	Next     Fingerprint
	Diverged bool
	// Ends holds the ends of servers to which the request had been sent, sorted by server.
	Ends []End
	// Age is the time since the record last changed.
	Age time.Duration
}

// entry is a record in a table. The ages in it are not kept up to date; see record.
type entry struct {
	Record
	at time.Time
	// times holds those of the ends, in the same order.
	times []endTimes
	// assessment is that of the record, and lastEndAt when the last server ended that is not cleared.
	assessment
	lastEndAt time.Time
}

// endTimes holds when a server ended and when this host learned of it.
type endTimes struct{ endedAt, learnedAt time.Time }

// record returns the record with its ages.
func (e *entry) record(now time.Time) Record {
	r := e.Record
	r.Age = max(now.Sub(e.at), 0)
	r.Ends = slices.Clone(e.Ends)
	for i := range r.Ends {
		r.Ends[i].Age = max(now.Sub(e.times[i].endedAt), 0)
	}
	return r
}

// assess must be called after each change of the ends.
func (e *entry) assess(now time.Time) {
	r := e.record(now)
	e.assessment, e.lastEndAt = r.assess(), now.Add(-r.lastEndAge())
}

// verdict returns the verdict that follows from the entry.
func (e *entry) verdict(now time.Time) Verdict { return e.assessment.after(now.Sub(e.lastEndAt)) }

// assessment is what follows from the ends of a record, which does not depend on the time.
type assessment struct {
	// verdict is that at the last end, and permanent is set if a quarantine does not end before the record.
	verdict   Verdict
	permanent bool
}

// after returns the verdict at a time after the last end.
func (a assessment) after(d time.Duration) Verdict {
	if a.verdict == Quarantined && !a.permanent && d > quarantineTTL {
		return Suspect
	}
	return a.verdict
}

// Verdict returns the verdict that follows from the record.
func (r *Record) Verdict() Verdict { return r.assess().after(r.lastEndAge()) }

func (r *Record) assess() assessment {
	score := sumOfMoments(r.Ends, End.score)
	threshold := quarantineScore
	if r.IsPrefix() {
		threshold = prefixQuarantineScore
	}
	switch {
	case score < beganScore || r.IsPrefix() && !r.Diverged:
		return assessment{verdict: Innocent}
	case score < threshold:
		return assessment{verdict: Suspect}
	}
	moments := sumOfMoments(r.Ends, func(End) float64 { return 1 })
	return assessment{verdict: Quarantined, permanent: !r.IsPrefix() && moments >= permanentMoments}
}

// lastEndAge returns the age of the last end that is not cleared; 0 if there is none.
func (r *Record) lastEndAge() time.Duration {
	age, found := time.Duration(0), false
	for _, end := range r.Ends {
		if !end.Cleared && (!found || end.Age < age) {
			age, found = end.Age, true
		}
	}
	return age
}

// Expired reports whether the record is kept no longer. Records with cleared ends are kept as long as others, because another
// host, or the store, may still have the verdict from before they were cleared.
func (r *Record) Expired() bool { return r.Age > evidenceTTL }

// UnclearedEnds returns the number of ends that are not cleared.
func (r *Record) UnclearedEnds() int {
	n := 0
	for _, end := range r.Ends {
		if !end.Cleared {
			n++
		}
	}
	return n
}

// IsPrefix reports whether the record is that of a prefix.
func (r *Record) IsPrefix() bool { return r.Next != Fingerprint{} }

func (e *entry) expired(now time.Time) bool { return now.Sub(e.at) > evidenceTTL }

// Table holds the records of one host. It is not safe for concurrent use.
type Table struct {
	entries map[Fingerprint]*entry
	keys    map[uint64]int // number of entries by key
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Fingerprint]*entry{}, keys: map[uint64]int{}} }

// MayContain reports whether the table may have a record of a request with the key.
func (t *Table) MayContain(key uint64) bool { return t.keys[key] > 0 }

// Verdict returns the severest verdict on a request or one of its prefixes, and the record on which it is based.
func (t *Table) Verdict(now time.Time, chain Chain) (Verdict, Record) {
	verdict, record := Innocent, Record{}
	for _, f := range chain {
		e, ok := t.entries[f]
		if !ok || e.expired(now) {
			continue
		}
		if v := e.verdict(now); v >= verdict {
			verdict, record = v, e.record(now)
		}
	}
	return verdict, record
}

// RecordEnd records the end of a server to which the request had been sent. It reports whether the records changed. Only
// a server that had begun to run the request tells anything of its prefixes.
func (t *Table) RecordEnd(now time.Time, chain Chain, key uint64, end End) bool {
	changed := false
	for i, f := range chain {
		r := Record{Fingerprint: f, Key: key, Ends: []End{end}}
		if i < len(chain)-1 {
			r.Next = chain[i+1]
			if !end.Began {
				continue
			}
		}
		changed = t.merge(now, r) || changed
	}
	return changed
}

// RecordSuccess records that the request, sent to a server at sentAt, has run to its end. That clears it and its prefixes
// of the ends that were known then; a later one counts again. It reports whether a record changed.
func (t *Table) RecordSuccess(now, sentAt time.Time, chain Chain) bool {
	changed := false
	for _, f := range chain {
		e, ok := t.entries[f]
		if !ok {
			continue
		}
		cleared := false
		ends := slices.Clone(e.Ends)
		for i := range ends {
			if !ends[i].Cleared && e.times[i].learnedAt.Before(sentAt) {
				ends[i].Cleared, cleared = true, true
			}
		}
		if cleared {
			e.Ends, e.at, changed = ends, now, true
			e.assess(now)
		}
	}
	return changed
}

// Merge applies the records of another host and returns the fingerprints that are in quarantine since.
func (t *Table) Merge(now time.Time, records []Record) []Fingerprint {
	var quarantined []Fingerprint
	for _, r := range records {
		e, ok := t.entries[r.Fingerprint]
		before := ok && e.verdict(now) == Quarantined
		if t.merge(now, r) && !before && t.entries[r.Fingerprint].verdict(now) == Quarantined {
			quarantined = append(quarantined, r.Fingerprint)
		}
	}
	return quarantined
}

func (t *Table) merge(now time.Time, r Record) bool {
	at := now.Add(-r.Age)
	if r.Expired() {
		return false
	}
	e, ok := t.entries[r.Fingerprint]
	if ok && e.expired(now) {
		t.remove(r.Fingerprint)
		ok = false
	}
	if !ok {
		if len(t.entries) >= maxRecords {
			t.evict(now)
		}
		e = &entry{Record: Record{Fingerprint: r.Fingerprint, Key: r.Key, Next: r.Next}, at: at}
		t.entries[r.Fingerprint] = e
		t.keys[r.Key]++
	}
	diverged := e.Diverged || r.Diverged || r.Next != e.Next
	changed := !ok || diverged != e.Diverged
	e.Diverged = diverged
	for _, end := range r.Ends {
		changed = e.addEnd(now, end) || changed
	}
	if at.After(e.at) {
		e.at = at
	}
	e.assess(now)
	return changed
}

// addEnd adds an end, or what another host knows of it. It reports whether the entry changed. If several hosts observed
// the end, the first one by name determines when it was.
func (e *entry) addEnd(now time.Time, end End) bool {
	times := endTimes{endedAt: now.Add(-end.Age), learnedAt: now}
	end.Age = 0
	i, found := slices.BinarySearchFunc(e.Ends, end, compareEnds)
	if found {
		return e.mergeEnd(i, end, times.endedAt)
	}
	if len(e.Ends) >= maxEnds {
		cleared := slices.IndexFunc(e.Ends, func(known End) bool { return known.Cleared })
		if cleared < 0 || end.Cleared {
			return false
		}
		e.Ends = slices.Delete(slices.Clone(e.Ends), cleared, cleared+1)
		e.times = slices.Delete(e.times, cleared, cleared+1)
		if cleared < i {
			i--
		}
	}
	e.Ends = slices.Insert(slices.Clone(e.Ends), i, end)
	e.times = slices.Insert(e.times, i, times)
	return true
}

// mergeEnd adds what another report says of the end with index i. It reports whether the end changed; a correction of its
// time is no change.
func (e *entry) mergeEnd(i int, end End, endedAt time.Time) bool {
	merged := e.Ends[i]
	merged.Began, merged.Cleared = merged.Began || end.Began, merged.Cleared || end.Cleared
	switch {
	case end.Observer < merged.Observer:
		merged.Observer, merged.Ran, e.times[i].endedAt = end.Observer, end.Ran, endedAt
	case end.Observer == merged.Observer:
		merged.Ran = min(merged.Ran, end.Ran)
		if endedAt.Before(e.times[i].endedAt) {
			e.times[i].endedAt = endedAt
		}
	}
	if merged == e.Ends[i] {
		return false
	}
	e.Ends = slices.Clone(e.Ends)
	e.Ends[i] = merged
	return true
}

// evict removes the expired entries, or else the oldest ones with the mildest verdict.
func (t *Table) evict(now time.Time) {
	t.Expire(now)
	if len(t.entries) < maxRecords {
		return
	}
	type candidate struct {
		*entry
		verdict Verdict
	}
	candidates := make([]candidate, 0, len(t.entries))
	for _, e := range t.entries {
		candidates = append(candidates, candidate{e, e.verdict(now)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.verdict, b.verdict), a.at.Compare(b.at))
	})
	for i, c := range candidates[:evictedTogether] {
		if i > 0 && c.verdict > candidates[0].verdict {
			return
		}
		t.remove(c.Fingerprint)
	}
}

// Expire removes the expired records.
func (t *Table) Expire(now time.Time) {
	for f, e := range t.entries {
		if e.expired(now) {
			t.remove(f)
		}
	}
}

func (t *Table) remove(f Fingerprint) {
	e := t.entries[f]
	delete(t.entries, f)
	if t.keys[e.Key]--; t.keys[e.Key] == 0 {
		delete(t.keys, e.Key)
	}
}

// Records returns the records that changed within maxAge, the newest first, at most limit.
func (t *Table) Records(now time.Time, maxAge time.Duration, limit int) []Record {
	var out []Record
	for _, e := range t.entries {
		if now.Sub(e.at) <= maxAge && !e.expired(now) {
			out = append(out, e.record(now))
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(limit, len(out))]
}

// Digest returns a hash of the fingerprints in quarantine, the same at all hosts that have the same ones; 0 if there are
// none.
func (t *Table) Digest(now time.Time) uint64 {
	digest := uint64(0)
	for f, e := range t.entries {
		if e.verdict(now) == Quarantined {
			digest ^= xxhash.Sum64(f[:])
		}
	}
	return digest
}
