package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// fleetOf returns hosts in failure domains a, b, ...: in each of them some of 0.8 cores and some of 0.192 cores.
func fleetOf(domains, large, small int) []fleet.Host {
	var out []fleet.Host
	for d := range domains {
		domain := string(rune('a' + d))
		for i := range large + small {
			h := fleet.Host{
				Name: fmt.Sprintf("%s-%d", domain, i), Incarnation: "1", FailureDomain: domain, Region: "r",
				CallerAddress: fmt.Sprintf("%s-%d:80", domain, i), PeerAddress: fmt.Sprintf("%s-%d:81", domain, i),
				Cores: 0.8, LinkMbps: 200,
			}
			if i >= large {
				h.Cores, h.LinkMbps = 0.192, 30
			}
			out = append(out, h)
		}
	}
	return out
}

func without(hosts []fleet.Host, names ...string) []fleet.Host {
	var out []fleet.Host
	for _, h := range hosts {
		keep := true
		for _, name := range names {
			keep = keep && h.Name != name
		}
		if keep {
			out = append(out, h)
		}
	}
	return out
}

func namesInDomain(hosts []fleet.Host, domain string) []string {
	var out []string
	for _, h := range hosts {
		if h.FailureDomain == domain {
			out = append(out, h.Name)
		}
	}
	return out
}

// slots is the number of requests that the servers of a deployment with 54 servers of 6 slots run at once.
const slots = 324

var _ = DescribeTable("Active hosts of failure domain a",
	func(hosts []fleet.Host, slots int, want ...string) {
		Expect(namesInDomain(fleet.Active(hosts, slots), "a")).To(Equal(want))
	},
	Entry("hundreds of hosts, few of them large: only the large ones", fleetOf(5, 3, 30), slots, "a-0", "a-1", "a-2"),
	Entry("one large host lost: the other large ones, without a small one that would limit them",
		without(fleetOf(5, 3, 30), "a-1"), slots, "a-0", "a-2"),
	Entry("two large hosts lost: as many small ones as the load needs",
		without(fleetOf(5, 3, 30), "a-0", "a-1"), slots, "a-2", "a-10", "a-11", "a-12", "a-13", "a-14"),
	Entry("small hosts only", fleetOf(3, 0, 8), slots, "a-0", "a-1", "a-2", "a-3", "a-4", "a-5"),
	Entry("a small deployment: all hosts", fleetOf(3, 3, 0), 150, "a-0", "a-1", "a-2"),
	Entry("servers not known yet", fleetOf(3, 9, 0), 0, "a-0", "a-1", "a-2"),
	Entry("many servers: more large hosts", fleetOf(1, 9, 0), 1200, "a-0", "a-1", "a-2", "a-3", "a-4"),
	Entry("a load that no hosts can carry: the hosts that carry most", fleetOf(1, 3, 4), 100_000, "a-0", "a-1", "a-2"),
	Entry("a domain with one host", fleetOf(1, 1, 0), slots, "a-0"),
)

var _ = Describe("The size of a fleet", func() {
	// Guards against work between hosts that grows with the fleet.
	It("does not change how many hosts have a role", func() {
		for _, perDomain := range []int{6, 60, 200} {
			hosts := fleetOf(5, 3, perDomain-3)
			Expect(fleet.Active(hosts, slots)).To(HaveLen(15), "%d hosts", len(hosts))
			for _, self := range []fleet.Host{hosts[0], hosts[perDomain-1]} {
				v := fleet.NewView(self)
				for _, h := range hosts {
					v.Put(time.Unix(0, 0), h)
				}
				v.SetSlots(slots)
				Expect(len(v.Targets())).To(BeNumerically("<=", 15), "%d hosts", len(hosts))
				Expect(v.Roles().Watchers).To(HaveLen(10))
				Expect(v.Roles().Homes).To(HaveLen(15))
			}
		}
	})
})

// Guards against a view that fails when it reaches no host of a failure domain.
var _ = Describe("A failure domain that is lost", func() {
	It("gives no host a role, and the callers of the domain get those of the others", func() {
		hosts := fleetOf(3, 3, 3)
		v := fleet.NewView(hosts[0])
		for _, h := range hosts {
			v.Put(time.Unix(0, 0), h)
		}
		for _, h := range hosts[6:12] {
			v.Fail(time.Unix(1, 0), h.Name, "no route")
		}
		Expect(namesInDomain(v.Roles().Active, "b")).To(BeEmpty())
		Expect(fleet.SelectAddresses(v.Roles().Active, fleet.Locality{Region: "r", FailureDomain: "b"}, 2, 64)).To(HaveLen(6))
	})
})

var _ = Describe("HomeOrder", func() {
	hosts := fleetOf(3, 3, 10)

	It("prefers the primary hosts", func() {
		for i := range 100 {
			for _, h := range fleet.HomeOrder(hosts, fmt.Sprint(i))[:9] {
				Expect(h.Cores).To(Equal(0.8))
			}
		}
	})

	It("moves only programs of a lost host", func() {
		for i := range 200 {
			program := fmt.Sprint(i)
			before, after := fleet.HomeOrder(hosts, program), fleet.HomeOrder(without(hosts, "a-0"), program)
			// A small host takes the role of the lost one, so that it may come first.
			if before[0].Name != "a-0" && after[0].Name != "a-10" && after[0].Name != "a-3" {
				Expect(after[0]).To(Equal(before[0]))
			}
		}
	})

	It("leaves draining hosts out", func() {
		draining := fleetOf(1, 3, 0)
		draining[1].Draining = true
		Expect(fleet.HomeOrder(draining, "p")).To(HaveLen(2))
	})
})
