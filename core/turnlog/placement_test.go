package turnlog

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func testHosts(domains, perDomain int) []Host {
	var hosts []Host
	for d := range domains {
		for i := range perDomain {
			hosts = append(hosts, Host{Name: fmt.Sprintf("%c-%d", 'a'+d, i), FailureDomain: string(rune('a' + d)), State: Ready})
		}
	}
	return hosts
}

// Guards against copies in one failure domain while others have hosts, and against turns without a copy near their callers.
func TestTargetsAreInDifferentFailureDomainsFromThatOfTheAnchorOn(t *testing.T) {
	g := NewWithT(t)
	for i := range 200 {
		a := Anchor{Key: fmt.Sprint("p", i), FailureDomain: "c"}
		targets := Targets(testHosts(4, 3), a, 3)
		domains := map[string]bool{}
		for _, h := range targets {
			domains[h.FailureDomain] = true
		}
		g.Expect(domains).To(HaveLen(3))
		g.Expect(targets[0].FailureDomain).To(Equal("c"))
		g.Expect(Targets(testHosts(1, 3), a, 3)).To(HaveLen(3))
		g.Expect(Targets(testHosts(2, 1), a, 3)).To(HaveLen(2))
	}
}

// Guards against a loss that moves the copies of programs which had none at the lost host.
func TestLossMovesOnlyTheCopiesOfTheLostHost(t *testing.T) {
	g := NewWithT(t)
	hosts := testHosts(3, 3)
	after := append([]Host{}, hosts...)
	after[4].State = Lost
	moved := 0
	for i := range 500 {
		a := Anchor{Key: fmt.Sprint("p", i), FailureDomain: "a"}
		had, has := false, map[string]bool{}
		for _, h := range Targets(after, a, 3) {
			has[h.Name] = true
		}
		for _, h := range Targets(hosts, a, 3) {
			had = had || h.Name == hosts[4].Name
			if h.Name != hosts[4].Name {
				g.Expect(has).To(HaveKey(h.Name))
			}
		}
		if had {
			moved++
		}
		g.Expect(has).NotTo(HaveKey(hosts[4].Name))
	}
	g.Expect(moved).To(BeNumerically("~", 500/3, 60))
}

// Guards against turns that are refused because hosts with a disk cannot reach each other, although entry hosts reach them.
func TestCandidates(t *testing.T) {
	g := NewWithT(t)
	hosts := testHosts(3, 1)
	a := Anchor{Key: "p", FailureDomain: "a"}
	hosts[1].State = Lost
	candidates := Candidates(hosts, a, 3)
	g.Expect(candidates).To(HaveLen(3))
	g.Expect(candidates[2].Name).To(Equal(hosts[1].Name), "asked last")
	g.Expect(Candidates(hosts, a, 2)).To(HaveLen(2), "ready hosts suffice")
	hosts[0].State = Retiring
	g.Expect(Candidates(hosts, a, 3)).To(HaveLen(2), "a host that retires gets no turns")
}
