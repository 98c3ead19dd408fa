// Package membership decides who is a member, which hosts are suspected, and which host takes over the
// journal of a dead host. It is a reducer: service/membership turns heartbeats, store calls and timers
// into its events and carries out its effects.
package membership

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopreel/hyssopreel/common/ids"
)

// MemberState is the state that a member record states; suspicion is separate and local to each host.
type MemberState string

const (
	StateUp       MemberState = "up"
	StateDraining MemberState = "draining"
	StateGone     MemberState = "gone"
)

// maxAdopted bounds the adopted journals of a member record, the newest kept. Adoptions are inherited by
// each heir, so the list of a long-lived deployment would otherwise grow without end; 256 entries of about
// 20 bytes keep a record near 5 KB.
const maxAdopted = 256

// Member is the record of one host, kept in the store as members/<host>.
type Member struct {
	Name          ids.Host    `json:"name" msgpack:"n"`
	Journal       ids.Journal `json:"journal" msgpack:"j"`
	Incarnation   uint64      `json:"incarnation" msgpack:"i"`
	FailureDomain string      `json:"failure_domain" msgpack:"f"`
	Region        string      `json:"region" msgpack:"r"`
	HTTPAddress   string      `json:"http_address" msgpack:"h"`
	PeerAddress   string      `json:"peer_address" msgpack:"p"`
	State         MemberState `json:"state" msgpack:"s"`
	// Adopted lists the journals whose programs this incarnation owns besides its own, the newest last.
	Adopted []ids.Journal `json:"adopted,omitempty" msgpack:"a"`
	// Version counts the changes of the record within one incarnation.
	Version uint64 `json:"version" msgpack:"v"`
}

// Newer reports whether m replaces o, a record of the same host. Within one incarnation "gone" is final:
// it is written after the journal was adopted, and a late change by the old process must not undo it.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if (m.State == StateGone) != (o.State == StateGone) {
		return m.State == StateGone
	}
	return m.Version > o.Version
}

// goneVersionStep is added to the version of a record that is declared gone. It exceeds the changes that
// the dead process can have made unheard, so that the epoch does not fall.
const goneVersionStep = 1 << 10

// WithStateGone returns the record that declares m gone.
func (m Member) WithStateGone() Member {
	m.State = StateGone
	m.Version += goneVersionStep
	return m
}

// LeaseState is the state of the newest journal of a host.
type LeaseState string

const (
	LeaseHeld     LeaseState = "held"
	LeaseHandover LeaseState = "handover" // given up by its holder; any heir may claim it at once
	LeaseAdopting LeaseState = "adopting"
	LeaseAdopted  LeaseState = "adopted"
)

// Claim is a takeover of a journal that is not finished.
type Claim struct {
	Journal   ids.Journal `json:"journal" msgpack:"j"`
	Successor ids.Journal `json:"heir" msgpack:"h"`
	// PriorAdoptions lists the journals that Journal's incarnation had adopted.
	PriorAdoptions []ids.Journal `json:"inherited,omitempty" msgpack:"i"`
}

// Lease is the object leases/<host>. Every change is a conditional update.
type Lease struct {
	Host        ids.Host    `json:"host" msgpack:"h"`
	Incarnation uint64      `json:"incarnation" msgpack:"i"`
	State       LeaseState  `json:"state" msgpack:"s"`
	Successor   ids.Journal `json:"heir,omitempty" msgpack:"e"`
	// WriteID is unique to each write of the holder. Other hosts keep it when they change only Earlier, and
	// clear it when they claim the journal.
	WriteID string `json:"tag" msgpack:"t"`
	// EarlierClaims lists unfinished claims of journals of earlier incarnations of the host.
	EarlierClaims []Claim `json:"earlier,omitempty" msgpack:"c"`
}

// Journal returns the journal of the incarnation that the lease names.
func (l Lease) Journal() ids.Journal { return ids.NewJournal(l.Host, l.Incarnation) }

// NextLease returns the lease of the next incarnation of a host. A journal of an earlier incarnation that
// nobody else has claimed is claimed by the new incarnation in the same write. inherited lists the
// journals that the previous incarnation had adopted.
func NextLease(host ids.Host, prev *Lease, inherited []ids.Journal, tag string) Lease {
	next := Lease{Host: host, Incarnation: 1, State: LeaseHeld, WriteID: tag}
	if prev == nil {
		return next
	}
	next.Incarnation = prev.Incarnation + 1
	for _, c := range prev.EarlierClaims {
		if c.Successor.Host() == host {
			c.Successor = next.Journal()
		}
		next.EarlierClaims = append(next.EarlierClaims, c)
	}
	switch prev.State {
	case LeaseHeld, LeaseHandover:
		next.EarlierClaims = append(next.EarlierClaims, Claim{Journal: prev.Journal(), Successor: next.Journal(), PriorAdoptions: inherited})
	case LeaseAdopting:
		next.EarlierClaims = append(next.EarlierClaims, Claim{Journal: prev.Journal(), Successor: prev.Successor, PriorAdoptions: inherited})
	}
	return next
}

// UnfinishedClaims returns the unfinished claims in the lease.
func (l Lease) UnfinishedClaims() []Claim {
	out := slices.Clone(l.EarlierClaims)
	if l.State == LeaseAdopting {
		out = append(out, Claim{Journal: l.Journal(), Successor: l.Successor})
	}
	return out
}

// WithClaim returns the lease with a journal claimed by an heir; false if the journal has no claim to take.
func (l Lease) WithClaim(j, heir ids.Journal) (Lease, bool) {
	if j == l.Journal() {
		if l.State == LeaseAdopted {
			return l, false
		}
		l.State, l.Successor, l.WriteID = LeaseAdopting, heir, ""
		return l, true
	}
	l.EarlierClaims = slices.Clone(l.EarlierClaims)
	for i := range l.EarlierClaims {
		if l.EarlierClaims[i].Journal == j {
			l.EarlierClaims[i].Successor = heir
			return l, true
		}
	}
	return l, false
}

// WithClaimFinished returns the lease with the claim of an heir finished, and the journals inherited with it; false
// if the heir does not hold the claim.
func (l Lease) WithClaimFinished(j, heir ids.Journal) (Lease, []ids.Journal, bool) {
	if j == l.Journal() {
		if l.State != LeaseAdopting || l.Successor != heir {
			return l, nil, false
		}
		l.State = LeaseAdopted
		return l, nil, true
	}
	for i, c := range l.EarlierClaims {
		if c.Journal == j && c.Successor == heir {
			l.EarlierClaims = slices.Delete(slices.Clone(l.EarlierClaims), i, i+1)
			return l, c.PriorAdoptions, true
		}
	}
	return l, nil, false
}

// RendezvousOrder orders members by the rendezvous hash of their names with a key, best first.
func RendezvousOrder(key string, members []Member) []Member {
	type scored struct {
		m     Member
		score uint64
	}
	s := make([]scored, len(members))
	for i, m := range members {
		s[i] = scored{m, xxhash.Sum64String(key + "\x00" + string(m.Name))}
	}
	sort.Slice(s, func(i, j int) bool {
		if s[i].score != s[j].score {
			return s[i].score > s[j].score
		}
		return s[i].m.Name < s[j].m.Name
	})
	out := make([]Member, len(s))
	for i := range s {
		out[i] = s[i].m
	}
	return out
}

// Home returns the owner of a journal, following adoptions of the adopters; false while nobody owns it.
func Home(j ids.Journal, members []Member) (Member, bool) {
	seen := map[ids.Journal]bool{}
	for !seen[j] {
		seen[j] = true
		next, ok := adopterOf(j, members, seen)
		if !ok {
			break
		}
		j = next
	}
	for _, m := range members {
		if m.Journal == j && m.State != StateGone {
			return m, true
		}
	}
	return Member{}, false
}

// adopterOf returns the journal that adopted j. An adopter that is not gone is preferred: heirs repeat the
// adoptions that they inherit, so several records may list j.
func adopterOf(j ids.Journal, members []Member, seen map[ids.Journal]bool) (ids.Journal, bool) {
	var found ids.Journal
	for _, m := range members {
		if seen[m.Journal] || !slices.Contains(m.Adopted, j) {
			continue
		}
		if m.State != StateGone && !isAdopted(m.Journal, members) {
			return m.Journal, true
		}
		found = m.Journal
	}
	return found, found != ""
}

func isAdopted(j ids.Journal, members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return slices.Contains(m.Adopted, j) })
}

// RingNeighbors returns the hosts at ring distances 1, 2, 4, ... from self over the sorted names.
func RingNeighbors(self ids.Host, sorted []ids.Host) []ids.Host {
	i := slices.Index(sorted, self)
	if i < 0 {
		return nil
	}
	var out []ids.Host
	for d := 1; d < len(sorted); d *= 2 {
		out = append(out, sorted[(i+d)%len(sorted)])
	}
	return out
}

// Digest identifies the contents of a member list; members are sorted by name.
func Digest(members []Member) uint64 {
	h := xxhash.New()
	var b [8]byte
	for _, m := range members {
		_, _ = h.WriteString(string(m.Name))
		binary.BigEndian.PutUint64(b[:], m.Incarnation)
		_, _ = h.Write(b[:])
		binary.BigEndian.PutUint64(b[:], m.Version)
		_, _ = h.Write(b[:])
		_, _ = h.WriteString(string(m.State))
	}
	return h.Sum64()
}

// epochVersionBits separates incarnations from record versions in an epoch.
const epochVersionBits = 20

// Epoch returns the version of a member list. Records are only replaced by newer ones, so it never falls,
// and hosts with the same list have the same epoch.
func Epoch(members []Member) uint64 {
	var e uint64
	for _, m := range members {
		e += m.Incarnation<<epochVersionBits + m.Version
	}
	return e
}
