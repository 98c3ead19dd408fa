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
	// Guards against runs of two policies that do not get the same programs, and against prompts of another length
	// than the workload asks for.
	It("draws the same programs again and divides them by the time scale", func() {
		draw := func() (*scaledWorkload, []*workload.Program) {
			p, err := workload.ReadFile(workloads + "tobyl.ini")
			Expect(err).NotTo(HaveOccurred())
			e := newScaledWorkload(p, 20, 0.1)
			return e, e.generatePrograms(1)
		}
		e, first := draw()
		_, second := draw()
		Expect(second).To(HaveLen(len(first)))
		for i, p := range first {
			Expect(second[i].Turns).To(HaveLen(len(p.Turns)))
			Expect(e.prompt(second[i], 0)).To(Equal(e.prompt(p, 0)))
			Expect(strings.Fields(e.prompt(p, 0))).To(HaveLen(e.scaleTokens(p.Turns[0].NewTokens)))
			Expect(e.arrival(p)).To(BeNumerically("<=", 60*time.Second/10), "alerts arrive until the end of the event")
		}
		Expect(e.scaleTarget(45)).To(Equal(45*time.Second/20), "a short due time shrinks by the time scale only")
		Expect(e.scaleTarget(900)).To(Equal(900 * time.Second / 200))
	})
})

var _ = Describe("hyssopreel-load", func() {
	// Guards against a tool that loses programs, leaves processes or misses the engines' counters.
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
