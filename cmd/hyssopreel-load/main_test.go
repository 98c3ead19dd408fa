package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/bench/workload"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Load tool")
}

const workloads = "../../bench/workloads/"

var _ = Describe("event", func() {
	// Guards against two policies being compared on different programs, and against prompts whose length differs from
	// the workload's.
	It("generates the same programs again and divides their sizes by the time scale", func() {
		generate := func() (*scaledWorkload, []*workload.Program) {
			p, err := workload.ReadFile(workloads + "tobyl.ini")
			Expect(err).NotTo(HaveOccurred())
			e := newScaledWorkload(p, 20, 0.1)
			return e, e.generatePrograms(1)
		}
		e, first := generate()
		_, second := generate()
		Expect(second).To(HaveLen(len(first)))
		for i, p := range first {
			Expect(second[i].Turns).To(HaveLen(len(p.Turns)))
			Expect(e.prompt(second[i], 0)).To(Equal(e.prompt(p, 0)))
			Expect(strings.Fields(e.prompt(p, 0))).To(HaveLen(e.scaleTokens(p.Turns[0].NewTokens)))
			Expect(e.arrival(p)).To(BeNumerically("<=", 60*time.Second/10), "alerts arrive until the end of the event")
		}
		Expect(e.scaleTarget(45)).To(Equal(45*time.Second/20), "a short latency target is divided by the time scale only")
		Expect(e.scaleTarget(900)).To(Equal(900 * time.Second / 200))
	})
})

var _ = Describe("hyssopreel-load", func() {
	// Guards against programs that are missing from the report, calls that fail and a report without the engines'
	// counters.
	DescribeTable("runs a small event to its end", func(name string) {
		var out bytes.Buffer
		r, err := runWorkload(context.Background(), options{
			Workload: workloads + name + ".ini", Load: 0.3, TimeScale: 50, EventFraction: 0.1, HostCount: 3, Policy: "affinity",
		}, &out)
		Expect(err).NotTo(HaveOccurred())
		all := r.classes["all"]
		Expect(r.errors).To(BeEmpty(), out.String())
		Expect(all.outcomes[failed]).To(BeZero(), out.String())
		Expect(all.outcomes[finished]).To(BeNumerically(">", 0), out.String())
		Expect(all.latency.TotalCount()).To(Equal(int64(all.programs)))
		Expect(r.firstTokenLatency.TotalCount()).To(BeNumerically(">=", all.outcomes[finished]))
		Expect(out.String()).To(ContainSubstring("recomputed"))
	},
		Entry("of Tobyl", "tobyl"),
		Entry("of Tallowcreek", "tallowcreek"),
	)
})
