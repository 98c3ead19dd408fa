// Package membership maintains the member list, detects failed hosts, and decides which host takes over the journal of
// a dead host. It is a reducer: service/membership turns heartbeats, results of the store and timers into its events
// and performs its effects.
package membership

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopreel/hyssopreel/common/ids"
)

// MemberState is the state in a member record; suspicion is separate and local to each host.
type MemberState string

const (
	StateUp       MemberState = "up"
	StateDraining MemberState = "draining"
	StateGone     MemberState = "gone"
)

// maxAdopted bounds the adopted journals of a member record; the newest are kept. Each successor also lists the
// adoptions of its predecessor, so the list of a long-lived deployment would otherwise grow without bound. 256 entries
// of about 20 bytes keep a record near 5 KB.
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
	// Adopted lists the journals that this incarnation has adopted, the newest last.
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

// goneVersionStep is added to the version of a record that is declared gone. It exceeds the number of changes that the
// dead process can have made without other hosts receiving them, so that the epoch does not decrease.
const goneVersionStep = 1 << 10

// WithStateGone returns the record in state gone, with a higher version.
func (m Member) WithStateGone() Member {
	m.State = StateGone
	m.Version += goneVersionStep
	return m
}

// LeaseState is the state of the journal that a lease names.
type LeaseState string

const (
	LeaseHeld     LeaseState = "held"
	LeaseHandover LeaseState = "handover" // released by its holder; a successor may claim it at once
	LeaseAdopting LeaseState = "adopting"
	LeaseAdopted  LeaseState = "adopted"
)

// Claim is an unfinished takeover of a journal.
type Claim struct {
	Journal   ids.Journal `json:"journal" msgpack:"j"`
	Successor ids.Journal `json:"heir" msgpack:"h"`
	// PriorAdoptions lists the journals that the incarnation of Journal had adopted.
	PriorAdoptions []ids.Journal `json:"inherited,omitempty" msgpack:"i"`
}

// Lease is the object leases/<host>. Every change is a conditional update.
type Lease struct {
	Host        ids.Host    `json:"host" msgpack:"h"`
	Incarnation uint64      `json:"incarnation" msgpack:"i"`
	State       LeaseState  `json:"state" msgpack:"s"`
	Successor   ids.Journal `json:"heir,omitempty" msgpack:"e"`
	// WriteID is unique to each write of the holder. Other hosts keep it when they change only EarlierClaims, and
	// clear it when they claim the journal.
	WriteID string `json:"tag" msgpack:"t"`
	// EarlierClaims lists unfinished claims of journals of earlier incarnations of the host.
	EarlierClaims []Claim `json:"earlier,omitempty" msgpack:"c"`
}

// Journal returns the journal of the incarnation that the lease names.
func (l Lease) Journal() ids.Journal { return ids.NewJournal(l.Host, l.Incarnation) }

// NextLease returns the lease of the next incarnation of a host; prev is nil for the first one. In the same write the
// new incarnation claims the journals of earlier incarnations that no other host has claimed. priorAdoptions lists the
// journals that the previous incarnation had adopted.
func NextLease(host ids.Host, prev *Lease, priorAdoptions []ids.Journal, writeID string) Lease {
	next := Lease{Host: host, Incarnation: 1, State: LeaseHeld, WriteID: writeID}
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
		next.EarlierClaims = append(next.EarlierClaims, Claim{Journal: prev.Journal(), Successor: next.Journal(), PriorAdoptions: priorAdoptions})
	case LeaseAdopting:
		next.EarlierClaims = append(next.EarlierClaims, Claim{Journal: prev.Journal(), Successor: prev.Successor, PriorAdoptions: priorAdoptions})
	}
	return next
}

// UnfinishedClaims returns the earlier claims and, in state adopting, the claim of the journal that the lease names.
func (l Lease) UnfinishedClaims() []Claim {
	claims := slices.Clone(l.EarlierClaims)
	if l.State == LeaseAdopting {
		claims = append(claims, Claim{Journal: l.Journal(), Successor: l.Successor})
	}
	return claims
}

// WithClaim returns the lease with a journal claimed by a successor; false if the journal is already adopted or is not
// in the lease.
func (l Lease) WithClaim(journal, successor ids.Journal) (Lease, bool) {
	if journal == l.Journal() {
		if l.State == LeaseAdopted {
			return l, false
		}
		l.State, l.Successor, l.WriteID = LeaseAdopting, successor, ""
		return l, true
	}
	l.EarlierClaims = slices.Clone(l.EarlierClaims)
	for i := range l.EarlierClaims {
		if l.EarlierClaims[i].Journal == journal {
			l.EarlierClaims[i].Successor = successor
			return l, true
		}
	}
	return l, false
}

// WithClaimFinished returns the lease with the claim of a successor finished, and the claim's prior adoptions; false if
// the successor does not hold the claim.
func (l Lease) WithClaimFinished(journal, successor ids.Journal) (Lease, []ids.Journal, bool) {
	if journal == l.Journal() {
		if l.State != LeaseAdopting || l.Successor != successor {
			return l, nil, false
		}
		l.State = LeaseAdopted
		return l, nil, true
	}
	for i, c := range l.EarlierClaims {
		if c.Journal == journal && c.Successor == successor {
			l.EarlierClaims = slices.Delete(slices.Clone(l.EarlierClaims), i, i+1)
			return l, c.PriorAdoptions, true
		}
	}
	return l, nil, false
}

// RendezvousOrder orders members by the rendezvous hash of key and name, the highest first.
func RendezvousOrder(key string, members []Member) []Member {
	type scored struct {
		m     Member
		score uint64
	}
	ranked := make([]scored, len(members))
	for i, m := range members {
		ranked[i] = scored{m, xxhash.Sum64String(key + "\x00" + string(m.Name))}
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].score != ranked[j].score {
			return ranked[i].score > ranked[j].score
		}
		return ranked[i].m.Name < ranked[j].m.Name
	})
	out := make([]Member, len(ranked))
	for i := range ranked {
		out[i] = ranked[i].m
	}
	return out
}

// Home returns the host that has a journal's programs: the journal's own incarnation or, through a chain of adoptions,
// its last adopter. It returns false if no such host is up or draining.
func Home(journal ids.Journal, members []Member) (Member, bool) {
	seen := map[ids.Journal]bool{}
	for !seen[journal] {
		seen[journal] = true
		adopter, ok := adopterOf(journal, members, seen)
		if !ok {
			break
		}
		journal = adopter
	}
	for _, m := range members {
		if m.Journal == journal && m.State != StateGone {
			return m, true
		}
	}
	return Member{}, false
}

// adopterOf returns the journal that adopted a journal, apart from those in seen. Successors also list the adoptions
// of their predecessors, so several records may list the journal; one that is neither gone nor adopted is preferred.
func adopterOf(journal ids.Journal, members []Member, seen map[ids.Journal]bool) (ids.Journal, bool) {
	var adopter ids.Journal
	for _, m := range members {
		if seen[m.Journal] || !slices.Contains(m.Adopted, journal) {
			continue
		}
		if m.State != StateGone && !isAdopted(m.Journal, members) {
			return m.Journal, true
		}
		adopter = m.Journal
	}
	return adopter, adopter != ""
}

func isAdopted(journal ids.Journal, members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return slices.Contains(m.Adopted, journal) })
}

// RingNeighbors returns the hosts at ring distances 1, 2, 4, ... from self over the sorted names.
func RingNeighbors(self ids.Host, sorted []ids.Host) []ids.Host {
	selfIndex := slices.Index(sorted, self)
	if selfIndex < 0 {
		return nil
	}
	var out []ids.Host
	for distance := 1; distance < len(sorted); distance *= 2 {
		out = append(out, sorted[(selfIndex+distance)%len(sorted)])
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

// epochVersionBits is the number of low bits of an epoch that hold record versions; the rest hold incarnations.
const epochVersionBits = 20

// Epoch returns the version of a member list. Records are only replaced by newer ones, so it never decreases, and hosts
// with the same list have the same epoch.
func Epoch(members []Member) uint64 {
	var epoch uint64
	for _, m := range members {
		epoch += m.Incarnation<<epochVersionBits + m.Version
	}
	return epoch
}
