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

// homesOf returns the homes of a journal in the views of the running hosts, each home once.
func homesOf(s *sim, journal string) []ids.Journal {
	var out []ids.Journal
	for _, n := range s.nodes {
		if !n.running() || n.fencedReason != "" {
			continue
		}
		m, _ := membership.Home(ids.Journal(journal), n.view.Members)
		if !slices.Contains(out, m.Journal) {
			out = append(out, m.Journal)
		}
	}
	return out
}

// successorOf returns the successor of a journal and expects that there is exactly one.
func successorOf(s *sim, journal string) ids.Journal {
	GinkgoHelper()
	Expect(s.successors(journal)).To(HaveLen(1))
	return s.successors(journal)[0]
}

var _ = Describe("Membership", func() {
	var s *sim
	BeforeEach(func() {
		s = newSim(9)
		s.run(5*time.Second, nil)
	})
	AfterEach(func() { Expect(s.violations).To(BeEmpty()) })

	// Guards against member lists that do not converge.
	It("converges to the same view on all hosts, without suspicions", func() {
		for _, n := range s.nodes {
			Expect(n.view.Members).To(HaveLen(9))
			Expect(membership.Epoch(n.view.Members)).To(Equal(membership.Epoch(s.node("h0").view.Members)))
			Expect(n.view.Suspected).To(BeEmpty())
		}
	})

	// Guards against two successors of one journal and against late takeovers.
	It("has one successor adopt a dead host's journal within the lease duration and the successor delay", func() {
		s.node("h3").dead = true
		died := s.now
		Expect(s.run(12*time.Second, func() bool { return len(s.successors("h3.1")) > 0 })).To(BeTrue())
		Expect(s.now.Sub(died)).To(BeNumerically("<=", 9*time.Second))
		s.run(5*time.Second, nil)
		successor := successorOf(s, "h3.1")
		Expect(s.nodes[successor.Host()].adopted).To(Equal([]ids.Journal{"h3.1"}))
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{successor}))
		Expect(s.leases["h3"].Lease.State).To(Equal(membership.LeaseAdopted))
		Expect(s.members["h3"].State).To(Equal(membership.StateGone))
	})

	// Guards against a host that continues with a lost lease after a freeze.
	It("fences a frozen host whose journal was taken over", func() {
		n := s.node("h3")
		n.frozen = true
		Expect(s.run(12*time.Second, func() bool { return len(s.successors("h3.1")) > 0 })).To(BeTrue())
		Expect(n.validUntil).To(BeNumerically("<", s.now))
		n.frozen = false
		s.run(3*time.Second, nil)
		Expect(n.fencedReason).NotTo(BeEmpty())
	})

	// Guards against a takeover before the lease has expired.
	It("neither fences nor takes over a host that was frozen for less than its lease duration", func() {
		s.node("h3").frozen = true
		s.run(4*time.Second, nil)
		s.node("h3").frozen = false
		s.run(20*time.Second, nil)
		Expect(s.claims).To(BeEmpty())
		Expect(s.node("h3").fencedReason).To(BeEmpty())
		Expect(s.node("h0").view.Suspected).To(BeEmpty())
	})

	// Guards against a host that fences itself because its own lost write caused a version conflict.
	It("does not mistake a renewal whose response was lost for the loss of the lease", func() {
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

	// Guards against programs that are lost when a successor dies during an adoption.
	It("has the successor of a dead successor adopt both journals, the dead successor's first", func() {
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

	// Guards against a home that is a dead successor.
	It("finds the home of an adopted journal through a chain of successors", func() {
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

	// Guards against mass takeovers because no host could renew its lease.
	It("takes over no journal during an outage of the store or right after it", func() {
		s.storeUnavailable = true
		s.run(30*time.Second, nil)
		Expect(s.node("h0").validUntil).To(BeNumerically("<", s.now))
		s.storeUnavailable = false
		s.run(30*time.Second, nil)
		Expect(s.claims).To(BeEmpty())
		for _, n := range s.nodes {
			Expect(n.fencedReason).To(BeEmpty())
			Expect(n.validUntil).To(BeNumerically(">", s.now))
		}
	})

	// Guards against counting an unchanged lease from a time at which no host could renew.
	It("waits a full lease duration after an outage before it takes over a host that died during it", func() {
		s.storeUnavailable = true
		s.run(5*time.Second, nil)
		s.node("h3").dead = true
		s.run(20*time.Second, nil)
		s.storeUnavailable = false
		outageEnd := s.now
		Expect(s.run(20*time.Second, func() bool { return len(s.claims) > 0 })).To(BeTrue())
		Expect(s.now.Sub(outageEnd)).To(BeNumerically(">=", 6*time.Second))
		successorOf(s, "h3.1")
	})

	// Guards against a journal that no host adopts because the lease names the next incarnation.
	It("lets a restarted host adopt its previous journal", func() {
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

	// Guards against a restart that overwrites or drops the claim of another host.
	It("leaves a claimed journal to its successor when the dead host restarts", func() {
		for _, n := range s.nodes {
			n.adoptionStuck = true
		}
		s.node("h3").dead = true
		Expect(s.run(12*time.Second, func() bool { return len(s.successors("h3.1")) > 0 })).To(BeTrue())
		successor := successorOf(s, "h3.1")
		n := s.start("h3")
		s.run(5*time.Second, nil)
		h := s.nodes[successor.Host()]
		h.inbox = append(h.inbox, membership.JournalAdopted{Journal: "h3.1"})
		s.run(10*time.Second, nil)
		Expect(s.successors("h3.1")).To(Equal([]ids.Journal{successor}))
		Expect(s.leases["h3"].Lease.EarlierClaims).To(BeEmpty())
		Expect(n.fencedReason).To(BeEmpty())
		Expect(homesOf(s, "h3.1")).To(Equal([]ids.Journal{successor}))
	})

	// Guards against new work for a draining host and against waiting for the lease of a host that released it.
	It("shows a draining host as draining and adopts its journal at once after the handover", func() {
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

	// Guards against dead hosts that no host monitors.
	It("finds a dead host without a member record by the scan of all leases", func() {
		s.writeLease(membership.Lease{Host: "lost", Incarnation: 4, State: membership.LeaseHeld, WriteID: "x-1"})
		Expect(s.run(5*time.Minute, func() bool { return len(s.successors("lost.4")) > 0 })).To(BeTrue())
		s.run(10*time.Second, nil)
		successorOf(s, "lost.4")
	})

	// Guards against hosts that still choose a dead host as a scheduler.
	It("gossips a suspicion, and then its refutation, to all hosts", func() {
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

// TestClaimsAreExclusive guards against two claims of one journal and against an incarnation that decreases, under
// random crashes, freezes, restarts, partitions, store outages and lost responses.
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
				if !s.storeUnavailable {
					n.dead = true
					s.start(h)
				}
			case "cut":
				n.partitioned = true
			case "join":
				n.partitioned = false
			case "outage":
				s.storeUnavailable = !s.storeUnavailable
			case "stick":
				n.adoptionStuck = !n.adoptionStuck
			}
			s.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps"))*tickInterval, nil)
			checkViews(t, s)
		}
		checkRecovery(t, s)
		if len(s.violations) > 0 {
			t.Fatalf("%v", s.violations)
		}
	})
}

// checkRecovery ends all faults and expects that the running hosts hold or have adopted every journal within 10 minutes
// of simulated time.
func checkRecovery(t *rapid.T, s *sim) {
	s.storeUnavailable = false
	s.loseAnswer = func(ids.Host) bool { return false }
	for h, n := range s.nodes {
		n.frozen, n.partitioned, n.adoptionStuck = false, false, false
		if h == "h0" && n.dead {
			s.start(h) // at least one host runs
		}
	}
	for _, n := range s.nodes {
		// Adoptions that were stuck are reported as failed, so that the host retries them.
		for _, c := range s.claims {
			n.inbox = append(n.inbox, membership.JournalAdopted{Journal: c.journal, Failed: true})
		}
	}
	recovered := func() bool {
		for h, n := range s.nodes {
			if n.fencedReason != "" && !n.dead {
				s.start(h) // as the daemon does
			}
		}
		for h, o := range s.leases {
			n := s.nodes[h]
			alive := n.running() && n.fencedReason == ""
			if len(o.Lease.EarlierClaims) > 0 || alive != (o.Lease.State == membership.LeaseHeld) || !alive && o.Lease.State != membership.LeaseAdopted {
				return false
			}
		}
		return true
	}
	if !s.run(10*time.Minute, recovered) {
		for h, o := range s.leases {
			t.Logf("%s: lease %+v, dead %v, fenced %q", h, o.Lease, s.nodes[h].dead, s.nodes[h].fencedReason)
		}
		t.Fatalf("some journals are neither held nor adopted")
	}
}

func checkViews(t *rapid.T, s *sim) {
	for h, n := range s.nodes {
		for _, m := range n.view.Members {
			if l := s.leases[m.Name]; m.Incarnation > l.Lease.Incarnation {
				t.Fatalf("%s has a record with incarnation %d of %s, the lease has %d", h, m.Incarnation, m.Name, l.Lease.Incarnation)
			}
		}
		if own := s.leases[h].Lease; n.fencedReason == "" && n.running() && own.Incarnation != n.self.Incarnation {
			t.Fatalf("%s runs incarnation %d, the lease has %d", h, n.self.Incarnation, own.Incarnation)
		}
	}
}
