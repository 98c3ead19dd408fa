package speed_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/speed"
)

var _ = Describe("Pace of streams", func() {
	// run lets each server report percents and run streams with the given milliseconds between events, and returns the
	// estimates.
	run := func(streams int, percents, paces, running []float64) (estimates []speed.Estimate, now time.Time) {
		estimates, now = make([]speed.Estimate, len(percents)), time.Unix(1000, 0)
		var baseline speed.Baseline
		for range streams {
			for i := range estimates {
				now = now.Add(30 * time.Millisecond)
				estimates[i].Record(now, int(percents[i]))
				estimates[i].RecordPace(now, &baseline, 50, time.Duration(50*paces[i]*float64(time.Millisecond)), running[i])
			}
		}
		return estimates, now
	}

	DescribeTable("the estimate of the third server",
		func(percent, pace, running, least, most float64) {
			estimates, now := run(40, []float64{70, 100, percent}, []float64{2.1, 3, pace}, []float64{1, 1, running})
			Expect(estimates[2].WorkTime(now)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
			Expect(estimates[0].WorkTime(now)).To(BeNumerically("~", 0.7, 0.15))
		},
		Entry("uneven engines: reports that agree with the pace are taken as they are", 170.0, 5.1, 1.0, 1.55, 1.75),
		// Guards against a server that attracts requests because it claims to be fast.
		Entry("wrong reports: claims to be fast, and is slow", 50.0, 5.1, 1.0, 0.8, 1.7),
		Entry("wrong reports: claims to be slow, and is not", 300.0, 3.0, 1.0, 1.0, 2.3),
		// Guards against counting the load twice.
		Entry("even load: a slower pace because of more requests is no contradiction", 100.0, 5.25, 16.0, 0.9, 1.1),
	)

	It("a server without reports: counts as before", func() {
		var e speed.Estimate
		var baseline speed.Baseline
		e.RecordPace(time.Unix(1000, 0), &baseline, 50, time.Second, 1)
		Expect(e.WorkTime(time.Unix(1000, 0))).To(BeZero())
	})

	It("a single stalled stream: has little effect", func() {
		estimates, now := run(40, []float64{100, 100}, []float64{3, 3}, []float64{1, 1})
		var baseline speed.Baseline
		estimates[0].RecordPace(now, &baseline, 50, 150*time.Millisecond, 1)
		estimates[0].RecordPace(now, &baseline, 50, time.Minute, 1)
		Expect(estimates[0].WorkTime(now)).To(BeNumerically("~", 1, 0.05))
	})
})
