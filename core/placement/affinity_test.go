package placement_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

var _ = Describe("RankForObject", func() {
	r := placement.Request{FailureDomain: "a"}
	newCandidates := func() []placement.Candidate {
		var out []placement.Candidate
		for _, domain := range []string{"a", "b"} {
			for i := range 4 {
				c := engine(fmt.Sprint(domain, i), 0, 0)
				c.Server.FailureDomain, c.Server.Slots = domain, 8
				out = append(out, c)
			}
		}
		return out
	}
	choice := func(object string, candidates []placement.Candidate) int {
		placement.RankForObject(&r, object, candidates)
		return placement.DefaultPolicy().Choose(r, candidates)
	}

	It("even load: all requests for an object go to one server of the domain, and the objects to all of them", func() {
		used := map[string]int{}
		for n := range 100 {
			object := fmt.Sprint("o", n)
			candidates := newCandidates()
			first := candidates[choice(object, candidates)].Server
			Expect(first.FailureDomain).To(Equal("a"))
			candidates[0], candidates[3] = candidates[3], candidates[0]
			Expect(candidates[choice(object, candidates)].Server.ID).To(Equal(first.ID), "in any order of the servers")
			used[first.ID]++
		}
		Expect(used).To(HaveLen(4))
		for _, n := range used {
			Expect(n).To(BeNumerically(">", 10))
		}
	})

	// Guards against callers of one object that wait at a full server while others are idle.
	It("hot object: its requests spread before the first server is full", func() {
		candidates, most := newCandidates(), 0.0
		for range 20 {
			i := choice("hot", candidates)
			candidates[i].Load++
			most = max(most, candidates[i].Load)
		}
		Expect(most).To(BeNumerically("<=", 8))
		placed := 0.0
		for _, c := range candidates[:4] {
			placed += c.Load
		}
		Expect(placed).To(Equal(20.0), "all in the domain")
	})

	It("release: another server takes the objects of one that drains, and the others keep theirs", func() {
		for n := range 40 {
			object := fmt.Sprint("o", n)
			candidates := newCandidates()
			before := choice(object, candidates)
			candidates[0].Server.Draining = true
			after := choice(object, candidates)
			if before == 0 {
				Expect(after).NotTo(Equal(0))
			} else {
				Expect(after).To(Equal(before))
			}
		}
	})

	It("outage of a failure domain: the objects go to servers of the others", func() {
		candidates := newCandidates()
		for i := range 4 {
			candidates[i].Ejected = true
		}
		i := choice("o", candidates)
		Expect(candidates[i].Server.FailureDomain).To(Equal("b"))
		Expect(candidates[i].ObjectRank).To(Equal(placement.FirstForObject))
	})
})
