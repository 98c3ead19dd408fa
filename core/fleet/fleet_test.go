package fleet_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// TestMain fixes the number of checks and the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "4", "rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

func hosts(n int) []fleet.Host {
	var out []fleet.Host
	for i := range n {
		out = append(out, fleet.Host{
			Name: fmt.Sprintf("h%d", i), CallerAddress: fmt.Sprintf("10.0.0.%d:80", i),
			FailureDomain: string(rune('a' + i%3)), Region: "r",
		})
	}
	return out
}

var _ = Describe("RendezvousOrder", func() {
	It("moves only the keys of a removed host", func() {
		all := hosts(9)
		for i := range 500 {
			key := fmt.Sprintf("program-%d", i)
			before := fleet.RendezvousOrder(all, key)
			after := fleet.RendezvousOrder(all[1:], key)
			if before[0].Name != all[0].Name {
				Expect(after[0]).To(Equal(before[0]))
			} else {
				Expect(after[0]).To(Equal(before[1]))
			}
		}
	})

	It("spreads keys over the hosts", func() {
		counts := map[string]int{}
		for i := range 9000 {
			counts[fleet.RendezvousOrder(hosts(9), fmt.Sprintf("program-%d", i))[0].Name]++
		}
		for name, n := range counts {
			Expect(n).To(BeNumerically("~", 1000, 150), name)
		}
	})
})

var _ = Describe("SelectAddresses", func() {
	caller := fleet.Locality{Region: "r", FailureDomain: "a"}

	It("prefers the caller's failure domain", func() {
		Expect(fleet.SelectAddresses(hosts(9), caller, 2, 64)).To(Equal([]string{"10.0.0.0:80", "10.0.0.3:80", "10.0.0.6:80"}))
	})

	It("returns the region if the failure domain has too few hosts", func() {
		Expect(fleet.SelectAddresses(hosts(3), caller, 2, 64)).To(HaveLen(3))
	})

	It("includes draining hosts only if all hosts drain", func() {
		all := hosts(6)
		all[0].Draining = true
		Expect(fleet.SelectAddresses(all, caller, 1, 64)).To(Equal([]string{"10.0.0.3:80"}))
		for i := range all {
			all[i].Draining = true
		}
		Expect(fleet.SelectAddresses(all, caller, 1, 64)).To(HaveLen(2))
	})

	It("returns no more addresses than the limit", func() {
		Expect(fleet.SelectAddresses(hosts(300), fleet.Locality{Region: "x"}, 2, 64)).To(HaveLen(64))
	})
})
