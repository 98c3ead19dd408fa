// Package poison finds requests that end the servers that run them. Hosts share what they observe as records that can be
// merged in any order. It is pure: times are arguments.
package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// quarantineScore is the evidence at which a request is quarantined: two servers ended as they began to run it, or five
	// while it was there. prefixQuarantineScore is that for all requests with the same prefix, which takes different
	// requests and one server more.
	quarantineScore       = 2.0
	prefixQuarantineScore = 3.0
	beganScore            = 1.0
	presentScore          = 0.4
	// maxEnds is the number of ends that a record keeps. A cleared one makes room for a later one, so that a request that
	// has run to its end many times can still be quarantined.
	maxEnds = 16
	// suspicionTTL is how long a request is suspected after the last server ended under it.
	suspicionTTL = time.Minute
	// quarantineTTL is how long a quarantined request is refused after the last server ended under it, however often it
	// comes: the verdict may be wrong.
	quarantineTTL = 10 * time.Minute
	// maxRecords bounds the memory of a table.
	maxRecords = 4096
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

// Lifetime identifies one lifetime of a server.
type Lifetime struct {
	Server      string
	StartedAtMS int64
}

// End is the end of a server to which a request had been sent.
type End struct {
	Lifetime
	// Began is set if the server had begun to run the request and had not produced anything yet. Requests that waited there,
	// or that it had been running, are less suspicious.
	Began bool
	// Cleared is set once the request has run to its end after the server ended: the server ended for another reason.
	Cleared bool `json:",omitempty" msgpack:",omitempty"`
}

func compareEnds(a, b End) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAtMS, b.StartedAtMS))
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
	// Ends holds the ends of servers to which the request had been sent, sorted.
	Ends []End
	// Age is the time since the record last changed.
	Age time.Duration
}

type entry struct {
	Record
	at time.Time
	// learnedAt holds when this host learned of each of the ends.
	learnedAt []time.Time
}

// Verdict returns the verdict that follows from the record.
func (r *Record) Verdict() Verdict {
	return r.verdict(func(end End) bool { return !end.Cleared })
}

// verdict returns the verdict that follows from the ends that count.
func (r *Record) verdict(counts func(End) bool) Verdict {
	score := 0.0
	for _, end := range r.Ends {
		switch {
		case !counts(end):
		case end.Began:
			score += beganScore
		default:
			score += presentScore
		}
	}
	threshold := quarantineScore
	if r.IsPrefix() {
		threshold = prefixQuarantineScore
	}
	switch {
	case score < beganScore || r.IsPrefix() && !r.Diverged:
		return Innocent
	case score < threshold:
		return Suspect
	}
	return Quarantined
}

// TTL returns how long the record is kept after its last change. Cleared ends count, because another host, or the store,
// may still have the verdict from before they were cleared.
func (r *Record) TTL() time.Duration {
	if r.verdict(func(End) bool { return true }) == Quarantined {
		return quarantineTTL
	}
	return suspicionTTL
}

// IsPrefix reports whether the record is that of a prefix.
func (r *Record) IsPrefix() bool { return r.Next != Fingerprint{} }

func (e *entry) expired(now time.Time) bool { return now.Sub(e.at) > e.TTL() }

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
		if v := e.Verdict(); v >= verdict {
			verdict, record = v, e.Record
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
			if !ends[i].Cleared && e.learnedAt[i].Before(sentAt) {
				ends[i].Cleared, cleared = true, true
			}
		}
		if cleared {
			e.Ends, e.at, changed = ends, now, true
		}
	}
	return changed
}

// Merge applies the records of another host and returns the fingerprints that are in quarantine since.
func (t *Table) Merge(now time.Time, records []Record) []Fingerprint {
	var quarantined []Fingerprint
	for _, r := range records {
		e, ok := t.entries[r.Fingerprint]
		before := ok && e.Verdict() == Quarantined
		if t.merge(now, r) && !before && t.entries[r.Fingerprint].Verdict() == Quarantined {
			quarantined = append(quarantined, r.Fingerprint)
		}
	}
	return quarantined
}

func (t *Table) merge(now time.Time, r Record) bool {
	at := now.Add(-r.Age)
	if (&entry{Record: r, at: at}).expired(now) {
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
	return changed
}

// addEnd adds an end, or what another host knows of it. It reports whether the entry changed.
func (e *entry) addEnd(now time.Time, end End) bool {
	i, found := slices.BinarySearchFunc(e.Ends, end, compareEnds)
	if found {
		merged := e.Ends[i]
		merged.Began, merged.Cleared = merged.Began || end.Began, merged.Cleared || end.Cleared
		if merged == e.Ends[i] {
			return false
		}
		e.Ends = slices.Clone(e.Ends)
		e.Ends[i] = merged
		return true
	}
	if len(e.Ends) >= maxEnds {
		cleared := slices.IndexFunc(e.Ends, func(known End) bool { return known.Cleared })
		if cleared < 0 || end.Cleared {
			return false
		}
		e.Ends = slices.Delete(slices.Clone(e.Ends), cleared, cleared+1)
		e.learnedAt = slices.Delete(e.learnedAt, cleared, cleared+1)
		if cleared < i {
			i--
		}
	}
	e.Ends = slices.Insert(slices.Clone(e.Ends), i, end)
	e.learnedAt = slices.Insert(e.learnedAt, i, now)
	return true
}

// evict removes the expired entries, or else the oldest one, of those that are not quarantined if there are any.
func (t *Table) evict(now time.Time) {
	t.Expire(now)
	if len(t.entries) < maxRecords {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.entries)), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.Verdict()/Quarantined, b.Verdict()/Quarantined), a.at.Compare(b.at))
	})
	t.remove(oldest.Fingerprint)
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
		if age := now.Sub(e.at); age <= maxAge && !e.expired(now) {
			r := e.Record
			r.Age = age
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(limit, len(out))]
}

// Digest returns a hash of the fingerprints in quarantine, the same at all hosts that have the same ones; 0 if there are
// none.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for f, e := range t.entries {
		if e.Verdict() == Quarantined {
			digest ^= xxhash.Sum64(f[:])
		}
	}
	return digest
}
