package membership_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/membership")
}

// homesOf returns the journals that the running hosts hold for the home of j, without duplicates.
func homesOf(s *sim, j string) []ids.Journal {
	var out []ids.Journal
	for _, n := range s.nodes {
		if !n.running() || n.fencedReason != "" {
			continue
		}
		m, _ := membership.Home(ids.Journal(j), n.view.Members)
		if !slices.Contains(out, m.Journal) {
			out = append(out, m.Journal)
		}
	}
	return out
}

// successorOf returns the only heir of a journal.
func successorOf(s *sim, j string) ids.Journal {
	GinkgoHelper()
	Expect(s.successors(j)).To(HaveLen(1))
	return s.successors(j)[0]
}

var _ = Describe("Membership", func() {
	var s *sim
	BeforeEach(func() {
		s = newSim(9)
		s.run(5*time.Second, nil)
	})
	AfterEach(func() { Expect(s.faults).To(BeEmpty()) })

	It("has one view at all hosts and no suspicion", func() { // guards against lists that do not converge
		for _, n := range s.nodes {
			Expect(n.view.Members).To(HaveLen(9))
			Expect(membership.Epoch(n.view.Members)).To(Equal(membership.Epoch(s.node("h0").view.Members)))
			Expect(n.view.Suspected).To(BeEmpty())
		}
	})

	It("has one heir adopt a dead host within the lease and the rank wait", func() { // guards against two heirs and against late takeovers
		s.node("h3").dead = true
		died := s.now
		Expect(s.run(12*time.Second, func() bool { return len(s.successors("h3.1")) > 0 })).To(BeTrue())
		Expect(s.now.Sub(died)).To(BeNumerically("<=", 9*time.Second))
		s.run(5*time.Second, nil)
		heir := successorOf(s, "h3.1")
		Expect(s.nodes[heir.Host()].adopted).To(Equal([]ids.Journal{"h3.1"}))
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{heir}))
		Expect(s.leases["h3"].Lease.State).To(Equal(membership.LeaseAdopted))
		Expect(s.members["h3"].State).To(Equal(membership.StateGone))
	})

	It("deposes a frozen host that was taken over", func() { // guards against a thawed holder that goes on
		n := s.node("h3")
		n.frozen = true
		Expect(s.run(12*time.Second, func() bool { return len(s.successors("h3.1")) > 0 })).To(BeTrue())
		Expect(n.validUntil).To(BeNumerically("<", s.now))
		n.frozen = false
		s.run(3*time.Second, nil)
		Expect(n.fencedReason).NotTo(BeEmpty())
	})

	It("does not depose or replace a host that froze for less than its lease", func() { // guards against hasty takeovers
		s.node("h3").frozen = true
		s.run(4*time.Second, nil)
		s.node("h3").frozen = false
		s.run(20*time.Second, nil)
		Expect(s.claims).To(BeEmpty())
		Expect(s.node("h3").fencedReason).To(BeEmpty())
		Expect(s.node("h0").view.Suspected).To(BeEmpty())
	})

	It("does not take a lost answer of a renewal for a deposition", func() { // guards against self-deposition
		lost := 0
		s.loseAnswer = func(h ids.Host) bool {
			lost++
			return h == "h3"
		}
		s.run(5*time.Second, nil)
		s.loseAnswer = func(ids.Host) bool { return false }
		s.run(5*time.Second, nil)
		Expect(lost).To(BeNumerically(">", 0))
		Expect(s.node("h3").fencedReason).To(BeEmpty())
		Expect(s.node("h3").validUntil).To(BeNumerically(">", s.now))
		Expect(s.claims).To(BeEmpty())
	})

	It("has the heir of a dead heir adopt both journals, the heir's first", func() { // guards against journals lost half way
		for _, n := range s.nodes {
			n.adoptionStuck = true
		}
		s.node("h3").dead = true
		Expect(s.run(12*time.Second, func() bool { return len(s.successors("h3.1")) > 0 })).To(BeTrue())
		first := successorOf(s, "h3.1")
		s.nodes[first.Host()].dead = true
		for _, n := range s.nodes {
			n.adoptionStuck = false
		}
		s.run(30*time.Second, nil)
		second := successorOf(s, string(first))
		Expect(s.successors("h3.1")).To(Equal([]ids.Journal{first, second}))
		Expect(s.nodes[second.Host()].adopted).To(Equal([]ids.Journal{first, "h3.1"}))
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{second}))
	})

	It("passes adopted journals on along a chain of heirs", func() { // guards against a home that points at a dead heir
		s.node("h3").dead = true
		s.run(20*time.Second, nil)
		first := successorOf(s, "h3.1")
		s.nodes[first.Host()].dead = true
		s.run(20*time.Second, nil)
		second := successorOf(s, string(first))
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{second}))
		s.start(first.Host())
		s.run(10*time.Second, nil)
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{second}))
	})

	It("takes nobody over during an outage of the store, nor right after it", func() { // guards against mass takeovers
		s.storeDown = true
		s.run(30*time.Second, nil)
		Expect(s.node("h0").validUntil).To(BeNumerically("<", s.now))
		s.storeDown = false
		s.run(30*time.Second, nil)
		Expect(s.claims).To(BeEmpty())
		for _, n := range s.nodes {
			Expect(n.fencedReason).To(BeEmpty())
			Expect(n.validUntil).To(BeNumerically(">", s.now))
		}
	})

	It("judges a host that died during an outage by a full lease after it", func() { // guards against observations made while nobody could renew
		s.storeDown = true
		s.run(5*time.Second, nil)
		s.node("h3").dead = true
		s.run(20*time.Second, nil)
		s.storeDown = false
		back := s.now
		Expect(s.run(20*time.Second, func() bool { return len(s.claims) > 0 })).To(BeTrue())
		Expect(s.now.Sub(back)).To(BeNumerically(">=", 6*time.Second))
		successorOf(s, "h3.1")
	})

	It("lets a restarted host adopt its previous journal", func() { // guards against a journal that a restart hides
		s.node("h3").dead = true
		s.run(time.Second, nil)
		n := s.start("h3")
		s.run(20*time.Second, nil)
		Expect(successorOf(s, "h3.1")).To(Equal(ids.Journal("h3.2")))
		Expect(n.adopted).To(Equal([]ids.Journal{"h3.1"}))
		Expect(s.leases["h3"].Lease.EarlierClaims).To(BeEmpty())
		Expect(n.fencedReason).To(BeEmpty())
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{"h3.2"}))
	})

	It("leaves a claimed journal to its heir when the dead host restarts", func() { // guards against a restart that steals or loses a claim
		for _, n := range s.nodes {
			n.adoptionStuck = true
		}
		s.node("h3").dead = true
		Expect(s.run(12*time.Second, func() bool { return len(s.successors("h3.1")) > 0 })).To(BeTrue())
		heir := successorOf(s, "h3.1")
		n := s.start("h3")
		s.run(5*time.Second, nil)
		h := s.nodes[heir.Host()]
		h.inbox = append(h.inbox, membership.JournalAdopted{Journal: "h3.1"})
		s.run(10*time.Second, nil)
		Expect(s.successors("h3.1")).To(Equal([]ids.Journal{heir}))
		Expect(s.leases["h3"].Lease.EarlierClaims).To(BeEmpty())
		Expect(n.fencedReason).To(BeEmpty())
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{heir}))
	})

	It("does not rank a draining host and adopts it at once after the handover", func() { // guards against work sent to a leaving host
		n := s.node("h3")
		n.inbox = append(n.inbox, membership.DrainRequested{})
		s.run(3*time.Second, nil)
		for _, o := range s.nodes {
			i := slices.IndexFunc(o.view.Members, func(m membership.Member) bool { return m.Name == "h3" })
			Expect(o.view.Members[i].State).To(Equal(membership.StateDraining))
		}
		n.inbox = append(n.inbox, membership.HandoverRequested{})
		Expect(s.run(2*time.Second, func() bool { return n.handoverCompleted })).To(BeTrue())
		Expect(n.fencedReason).To(BeEmpty())
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{successorOf(s, "h3.1")}))
	})

	It("finds a dead host that no member record names by the scan of the leases", func() { // guards against hosts that nobody watches
		s.writeLease(membership.Lease{Host: "lost", Incarnation: 4, State: membership.LeaseHeld, WriteID: "x-1"})
		Expect(s.run(5*time.Minute, func() bool { return len(s.successors("lost.4")) > 0 })).To(BeTrue())
		s.run(10*time.Second, nil)
		successorOf(s, "lost.4")
	})

	It("spreads a suspicion to all hosts and its refutation after it", func() { // guards against hosts that rank a dead scheduler
		n := s.node("h3")
		n.partitioned = true
		s.run(4*time.Second, nil)
		for h, o := range s.nodes {
			if h != "h3" {
				Expect(o.view.Suspected).To(Equal([]ids.Host{"h3"}), string(h))
			}
		}
		n.partitioned = false
		s.run(4*time.Second, nil)
		for h, o := range s.nodes {
			Expect(o.view.Suspected).To(BeEmpty(), string(h))
		}
		Expect(s.claims).To(BeEmpty())
	})
})

// Guards against two claims of one journal and against an incarnation that goes back, under random crashes,
// freezes, restarts, partitions, store outages and lost answers.
func TestClaimsAreExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.IntRange(2, 6).Draw(t, "hosts"))
		hosts := make([]ids.Host, 0, len(s.nodes))
		for h := range s.nodes {
			hosts = append(hosts, h)
		}
		slices.Sort(hosts)
		losing := rapid.IntRange(2, 20).Draw(t, "losing")
		writes := 0
		s.loseAnswer = func(ids.Host) bool {
			writes++
			return writes%losing == 0
		}
		for range rapid.IntRange(5, 25).Draw(t, "actions") {
			h := rapid.SampledFrom(hosts).Draw(t, "host")
			n := s.nodes[h]
			switch rapid.SampledFrom([]string{"die", "freeze", "thaw", "restart", "cut", "join", "outage", "stick"}).Draw(t, "action") {
			case "die":
				n.dead = true
			case "freeze":
				n.frozen = true
			case "thaw":
				n.frozen = false
			case "restart":
				if !s.storeDown {
					n.dead = true
					s.start(h)
				}
			case "cut":
				n.partitioned = true
			case "join":
				n.partitioned = false
			case "outage":
				s.storeDown = !s.storeDown
			case "stick":
				n.adoptionStuck = !n.adoptionStuck
			}
			s.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps"))*tickInterval, nil)
			checkViews(t, s)
		}
		checkRecovery(t, s)
		if len(s.faults) > 0 {
			t.Fatalf("%v", s.faults)
		}
	})
}

// checkRecovery ends all faults and expects that the hosts that still run own every journal before long.
func checkRecovery(t *rapid.T, s *sim) {
	s.storeDown = false
	s.loseAnswer = func(ids.Host) bool { return false }
	for h, n := range s.nodes {
		n.frozen, n.partitioned, n.adoptionStuck = false, false, false
		if h == "h0" && n.dead {
			s.start(h) // at least one host runs
		}
	}
	for _, n := range s.nodes {
		// An adoption that was stuck is reported as failed, and repeated.
		for _, c := range s.claims {
			n.inbox = append(n.inbox, membership.JournalAdopted{Journal: c.journal, Failed: true})
		}
	}
	settled := func() bool {
		for h, n := range s.nodes {
			if n.fencedReason != "" && !n.dead {
				s.start(h) // as the daemon does
			}
		}
		for h, o := range s.leases {
			n := s.nodes[h]
			runs := n.running() && n.fencedReason == ""
			if len(o.Lease.EarlierClaims) > 0 || runs != (o.Lease.State == membership.LeaseHeld) || !runs && o.Lease.State != membership.LeaseAdopted {
				return false
			}
		}
		return true
	}
	if !s.run(10*time.Minute, settled) {
		for h, o := range s.leases {
			t.Logf("%s: lease %+v, dead %v, deposed %q", h, o.Lease, s.nodes[h].dead, s.nodes[h].fencedReason)
		}
		t.Fatalf("journals without an owner")
	}
}

func checkViews(t *rapid.T, s *sim) {
	for h, n := range s.nodes {
		for _, m := range n.view.Members {
			if l := s.leases[m.Name]; m.Incarnation > l.Lease.Incarnation {
				t.Fatalf("%s knows incarnation %d of %s, the lease has %d", h, m.Incarnation, m.Name, l.Lease.Incarnation)
			}
		}
		if own := s.leases[h].Lease; n.fencedReason == "" && n.running() && own.Incarnation != n.self.Incarnation {
			t.Fatalf("%s runs incarnation %d, the lease has %d", h, n.self.Incarnation, own.Incarnation)
		}
	}
}
