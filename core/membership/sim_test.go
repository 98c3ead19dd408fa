package membership_test

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/membership"
)

const tickInterval = 100 * time.Millisecond

// node simulates one process of a host.
type node struct {
	reducer *membership.Reducer
	replay  *membership.Reducer // reduces the same events and must return the same effects
	self    membership.Member
	inbox   []event.Event // delivered at the next step; kept while frozen
	dead    bool
	frozen  bool
	// A partitioned node reaches no peer; a node with adoptionStuck never finishes an adoption.
	partitioned, adoptionStuck bool

	view              membership.ViewChanged
	validUntil        clock.Millis
	leaseVersion      objectapi.Version
	fencedReason      string
	handoverCompleted bool
	adopted           []ids.Journal
	adoptionRequests  int
}

func (n *node) running() bool { return !n.dead && !n.frozen }

type claim struct {
	journal, successor ids.Journal
	at                 clock.Millis
}

// sim runs the reducers of several hosts against one in-memory store, with a fake clock.
type sim struct {
	now              clock.Millis
	leases           map[ids.Host]membership.LeaseObject
	members          map[ids.Host]membership.Member
	revision         objectapi.Version
	storeUnavailable bool
	// loseAnswer reports whether the response to a renewal that took effect is lost.
	loseAnswer func(ids.Host) bool
	nodes      map[ids.Host]*node
	claims     []claim
	starts     int
	random     uint32
	violations []string
}

func newSim(hosts int) *sim {
	s := &sim{
		now: 1000, leases: map[ids.Host]membership.LeaseObject{}, members: map[ids.Host]membership.Member{},
		nodes: map[ids.Host]*node{}, loseAnswer: func(ids.Host) bool { return false },
	}
	for i := range hosts {
		s.start(ids.Host(fmt.Sprintf("h%d", i)))
	}
	return s
}

// start starts the next incarnation of a host, as service/membership does.
func (s *sim) start(h ids.Host) *node {
	s.starts++
	prefix := fmt.Sprintf("p%d", s.starts)
	var prev *membership.Lease
	var priorAdoptions []ids.Journal
	if o, ok := s.leases[h]; ok {
		prev = &o.Lease
		if m := s.members[h]; m.Incarnation == prev.Incarnation {
			priorAdoptions = m.Adopted
		}
	}
	next := membership.NextLease(h, prev, priorAdoptions, prefix+"-s")
	if prev != nil {
		// One write makes all these claims. The claim of the previous journal is recorded before those of the
		// journals that it had claimed.
		for _, c := range slices.Backward(next.EarlierClaims) {
			if c.Successor == next.Journal() {
				s.recordClaim(c.Journal, c.Successor)
			}
		}
	}
	s.writeLease(next)
	n := &node{reducer: membership.New(), replay: membership.New(), self: membership.Member{
		Name: h, Journal: next.Journal(), Incarnation: next.Incarnation, PeerAddress: "addr-" + string(h),
		State: membership.StateUp, Version: 1,
	}}
	s.nodes[h] = n
	ev := membership.Started{Self: n.self, Lease: next, Version: s.revision, SentAt: s.now, WriteIDPrefix: prefix}
	for _, name := range s.names(s.members) {
		if name != h {
			ev.Members = append(ev.Members, s.members[name])
		}
	}
	s.reduce(n, ev)
	return n
}

func (s *sim) names(m map[ids.Host]membership.Member) []ids.Host {
	var out []ids.Host
	for h := range m {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// writeLease stores a lease and checks that the incarnation does not decrease.
func (s *sim) writeLease(l membership.Lease) {
	if old := s.leases[l.Host]; l.Incarnation < old.Lease.Incarnation {
		s.violations = append(s.violations, fmt.Sprintf("the incarnation of %s decreases from %d to %d", l.Host, old.Lease.Incarnation, l.Incarnation))
	}
	s.revision++
	s.leases[l.Host] = membership.LeaseObject{Host: l.Host, Lease: l, Version: s.revision}
}

// recordClaim records a claim and checks that a claim is replaced only after its successor's journal was claimed.
func (s *sim) recordClaim(journal, successor ids.Journal) {
	var holder ids.Journal
	claimed := map[ids.Journal]bool{}
	for _, c := range s.claims {
		if c.journal == journal {
			holder = c.successor
		}
		claimed[c.journal] = true
	}
	if holder != "" && holder != successor && !claimed[holder] {
		s.violations = append(s.violations, fmt.Sprintf("journal %s was claimed by %s while %s held the claim", journal, successor, holder))
	}
	s.claims = append(s.claims, claim{journal, successor, s.now})
}

func (s *sim) node(h string) *node { return s.nodes[ids.Host(h)] }

// successors returns the successors that claimed a journal, in order.
func (s *sim) successors(journal string) []ids.Journal {
	var out []ids.Journal
	for _, c := range s.claims {
		if string(c.journal) == journal {
			out = append(out, c.successor)
		}
	}
	return out
}

// run steps until done returns true or the limit has passed, and reports whether done returned true.
func (s *sim) run(limit time.Duration, done func() bool) bool {
	for end := s.now.Add(limit); s.now < end; {
		if done != nil && done() {
			return true
		}
		s.step()
	}
	return done != nil && done()
}

func (s *sim) step() {
	s.now = s.now.Add(tickInterval)
	var hosts []ids.Host
	for h := range s.nodes {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i] < hosts[j] })
	for _, h := range hosts {
		n := s.nodes[h]
		if !n.running() {
			continue
		}
		events := n.inbox
		n.inbox = nil
		for _, ev := range events {
			s.reduce(n, ev)
		}
		s.random += 7919
		s.reduce(n, membership.Ticked{Random: s.random})
	}
}

// reduce reduces one event and performs its effects. The event goes through the codec, so that its encoding is tested
// too.
func (s *sim) reduce(n *node, ev event.Event) {
	b, err := event.Encode(event.Envelope{At: s.now, Event: ev})
	if err != nil {
		panic(err)
	}
	e, err := event.Decode(b)
	if err != nil {
		panic(err)
	}
	effects := n.reducer.Reduce(e.At, e.Event)
	if !reflect.DeepEqual(effects, n.replay.Reduce(e.At, e.Event)) {
		s.violations = append(s.violations, fmt.Sprintf("the replay of %s at %s returns different effects", ev.EventKind(), n.self.Name))
	}
	for _, effect := range effects {
		s.perform(n, effect)
	}
}

func (s *sim) nodeAt(address string) *node {
	for h, n := range s.nodes {
		if "addr-"+string(h) == address && !n.dead && !n.partitioned {
			return n
		}
	}
	return nil
}

func (s *sim) perform(n *node, effect event.Effect) {
	reply := func(ev event.Event) { n.inbox = append(n.inbox, ev) }
	send := func(address string, ev event.Event) {
		if receiver := s.nodeAt(address); receiver != nil && !n.partitioned {
			receiver.inbox = append(receiver.inbox, ev)
		}
	}
	switch e := effect.(type) {
	case membership.SendHeartbeat:
		s.heartbeat(n, e)
	case membership.ExchangeRecords:
		if receiver := s.nodeAt(e.Address); receiver != nil && receiver.running() && !n.partitioned {
			receiver.inbox = append(receiver.inbox, membership.RecordsReceived{Records: n.view.Members})
			reply(membership.RecordsReceived{Records: receiver.view.Members})
		}
	case membership.SendRecords:
		send(e.Address, membership.RecordsReceived{Records: e.Records})
	case membership.SendSuspicion:
		send(e.Address, membership.SuspicionReceived{Suspicion: e.Suspicion})
	case membership.RequestAdoption:
		n.adoptionRequests++
		send(e.Address, membership.AdoptionRequested{Host: n.self.Name})
	case membership.WriteMember:
		if !s.storeUnavailable && e.Member.Newer(s.members[e.Member.Name]) {
			s.members[e.Member.Name] = e.Member
		}
	case membership.ViewChanged:
		n.view = e
	case membership.LeaseChanged:
		n.validUntil, n.leaseVersion = e.ValidUntil, e.Version
	case membership.HandoverCompleted:
		n.handoverCompleted = true
	case membership.Fenced:
		n.fencedReason = e.Reason
	case membership.AdoptJournal:
		if !n.adoptionStuck {
			n.adopted = append(n.adopted, e.Journal)
			reply(membership.JournalAdopted{Journal: e.Journal})
		}
	default:
		s.storeCall(n, effect, reply)
	}
}

func (s *sim) heartbeat(n *node, e membership.SendHeartbeat) {
	receiver := s.nodeAt(e.Address)
	if receiver == nil || n.partitioned {
		return
	}
	receiver.inbox = append(receiver.inbox, membership.HeartbeatReceived{Heartbeat: e.Heartbeat})
	if !receiver.running() {
		return
	}
	n.inbox = append(n.inbox, membership.HeartbeatReceived{Heartbeat: membership.Heartbeat{
		Host: receiver.self.Name, Incarnation: receiver.self.Incarnation, LeaseVersion: receiver.leaseVersion,
		MembersDigest: membership.Digest(receiver.view.Members), SuspectsReceiver: slices.Contains(receiver.view.Suspected, n.self.Name),
	}})
}

func (s *sim) storeCall(n *node, effect event.Effect, reply func(event.Event)) {
	switch e := effect.(type) {
	case membership.RenewLease:
		current := s.leases[n.self.Name]
		switch {
		case s.storeUnavailable:
			reply(membership.LeaseWriteFailed{})
		case current.Version != e.ExpectedVersion:
			reply(membership.LeaseConflicted{Current: current})
		default:
			s.writeLease(e.Lease)
			if s.loseAnswer(n.self.Name) {
				reply(membership.LeaseWriteFailed{})
			} else {
				reply(membership.LeaseWritten{Lease: e.Lease, Version: s.revision, SentAt: s.now})
			}
		}
	case membership.ReadLease:
		o := s.leases[e.Host]
		o.Host = e.Host
		reply(membership.LeaseRead{Object: o, SentAt: s.now, Failed: s.storeUnavailable})
	case membership.ListLeases:
		ev := membership.LeasesListed{SentAt: s.now, Failed: s.storeUnavailable}
		for _, o := range s.leases {
			ev.Objects = append(ev.Objects, o)
		}
		sort.Slice(ev.Objects, func(i, j int) bool { return ev.Objects[i].Host < ev.Objects[j].Host })
		reply(ev)
	case membership.ClaimLease:
		won := !s.storeUnavailable && s.leases[e.Host].Version == e.ExpectedVersion
		ev := membership.ClaimLeaseCompleted{Host: e.Host, Journal: e.Journal, Won: won}
		if won {
			if holder := s.nodes[e.Host]; holder != nil && holder.self.Journal == e.Journal && holder.validUntil > s.now {
				s.violations = append(s.violations, fmt.Sprintf("journal %s was claimed while its lease was valid", e.Journal))
			}
			s.writeLease(e.Lease)
			s.recordClaim(e.Journal, n.self.Journal)
			if m := s.members[e.Host]; m.Journal == e.Journal {
				ev.PriorAdoptions = m.Adopted
			}
		}
		reply(ev)
	case membership.MarkAdopted:
		if s.storeUnavailable {
			// The adapter retries the call; the simulation reports the adoption again until the outage ends.
			reply(membership.JournalAdopted{Journal: e.Journal})
			return
		}
		s.members[n.self.Name] = e.Self
		next, priorAdoptions, ok := s.leases[e.Host].Lease.WithClaimFinished(e.Journal, e.Successor)
		if ok {
			s.writeLease(next)
		}
		reply(membership.AdoptionMarked{Journal: e.Journal, PriorAdoptions: priorAdoptions})
	}
}
