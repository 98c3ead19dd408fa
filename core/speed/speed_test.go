package speed_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/speed"
)

func TestSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "speed")
}

var _ = Describe("Estimate", func() {
	var e speed.Estimate
	var now time.Time
	BeforeEach(func() { e, now = speed.Estimate{}, time.Unix(1000, 0) })
	record := func(n, percent int) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			e.Record(now, percent)
		}
	}

	It("server without reports: its speed is not known", func() {
		Expect(e.WorkTime(now)).To(BeZero())
		record(3, 0)
		Expect(e.WorkTime(now)).To(BeZero())
	})

	DescribeTable("uneven engines: a server that is always slow or fast is known as that",
		func(percent int) {
			record(40, percent)
			Expect(e.WorkTime(now)).To(BeNumerically("~", float64(percent)/100, 0.1))
			Expect(e.UsualWorkTime(now.Add(2 * time.Second))).To(BeNumerically("~", float64(percent)/100, 0.15))
		},
		Entry("usual", 100), Entry("fast", 70), Entry("slow", 170),
	)

	It("busy machine: a server that is slow now counts as slow now, and soon after as usual again", func() {
		record(40, 100)
		record(3, 250)
		Expect(e.WorkTime(now)).To(BeNumerically(">", 1.8))
		Expect(e.WorkTime(now.Add(600 * time.Millisecond))).To(BeNumerically("<", 1.2))
		Expect(e.UsualWorkTime(now)).To(BeNumerically("<", 1.1))
		record(3, 100)
		Expect(e.WorkTime(now)).To(BeNumerically("<", 1.15))
	})

	DescribeTable("wrong report: a single one has little effect",
		func(percent int, least, most float64) {
			record(40, 100)
			record(1, percent)
			Expect(e.WorkTime(now)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
			Expect(e.WorkTime(now.Add(400 * time.Millisecond))).To(BeNumerically("~", 1, 0.15))
			record(2, 100)
			Expect(e.WorkTime(now)).To(BeNumerically("~", 1, 0.1))
		},
		Entry("far too high", 1_000_000, 1.0, 2.0), Entry("far too low", 1, 0.5, 1.0),
	)

	It("wrong first report: is not taken for the usual time", func() {
		e.Record(now, 1_000_000)
		Expect(e.UsualWorkTime(now)).To(BeNumerically("<", 1.5))
	})

	It("server without requests because it was slow: is tried again", func() {
		record(40, 400)
		Expect(e.WorkTime(now.Add(time.Minute))).To(BeNumerically("<", 1.3))
	})

	// Guards against clocks that go back.
	It("report from the future: counts as new", func() {
		record(5, 200)
		Expect(e.WorkTime(now.Add(-time.Hour))).To(BeNumerically("<", 2.1))
	})
})

var _ = Describe("A model of engines that read prompts", func() {
	uneven, even := []float64{0.7, 0.7, 1.7}, []float64{1, 1, 1}

	// Guards against choices by the number of requests alone, by which a quarter of the turns run at the slow engine.
	DescribeTable("uneven engines: turns end sooner than by the number of requests",
		func(busyShare float64, programs int, most float64) {
			byCount, turnsByCount := simulate(uneven, busyShare, programs, false, nil)
			bySpeed, turnsBySpeed := simulate(uneven, busyShare, programs, true, nil)
			Expect(mean(bySpeed)/mean(byCount)).To(BeNumerically("<", most), "mean %.0f ms and %.0f ms, at the engines %v and %v",
				mean(byCount), mean(bySpeed), turnsByCount, turnsBySpeed)
			Expect(percentile(bySpeed, 0.95)).To(BeNumerically("<", percentile(byCount, 0.95)))
			Expect(turnsBySpeed[2]).To(BeNumerically("<", turnsByCount[2]))
		},
		Entry("low load", 0.0, 4, 0.85), Entry("even load", 0.0, 10, 0.9), Entry("high load", 0.0, 22, 1.0),
		Entry("low load, busy machines", simBusyShare, 4, 0.85), Entry("even load, busy machines", simBusyShare, 10, 0.95),
		Entry("high load, busy machines", simBusyShare, 22, 1.0),
	)

	DescribeTable("overload: no worse than by the number of requests",
		func(workTimes []float64, busyShare float64) {
			byCount, _ := simulate(workTimes, busyShare, 40, false, nil)
			bySpeed, _ := simulate(workTimes, busyShare, 40, true, nil)
			Expect(mean(bySpeed) / mean(byCount)).To(BeNumerically("<", 1.04))
		},
		Entry("uneven engines", uneven, 0.0), Entry("uneven engines, busy machines", uneven, simBusyShare),
		Entry("equal engines, busy machines", even, simBusyShare),
	)

	It("equal engines: the choices are the same", func() {
		byCount, turnsByCount := simulate(even, 0, 16, false, nil)
		bySpeed, turnsBySpeed := simulate(even, 0, 16, true, nil)
		Expect(bySpeed).To(Equal(byCount))
		Expect(turnsBySpeed).To(Equal(turnsByCount))
	})

	It("wrong reports: one in twenty that is ten times too high or low costs little", func() {
		reports := 0
		distort := func(_, percent int) int {
			reports++
			switch {
			case reports%40 == 0:
				return percent * 10
			case reports%20 == 0:
				return percent / 10
			}
			return percent
		}
		correct, _ := simulate(uneven, 0, 10, true, nil)
		distorted, _ := simulate(uneven, 0, 10, true, distort)
		Expect(mean(distorted) / mean(correct)).To(BeNumerically("<", 1.05))
	})
})
