package sched_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// Guards against a call that never runs because the message with its grant was lost.
func TestLostGrantIsSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	s.Reduce(1, twoWorkers("affinity", 1))
	first := effectsOf[sched.Grant](s.Reduce(2, enqueued("a.1-1", "k", 0)))
	g.Expect(first).To(gomega.HaveLen(1))
	g.Expect(effectsOf[sched.Grant](s.Reduce(3, enqueued("a.1-1", "k", 0)))).To(gomega.BeEmpty(), "the grant may still be on its way")
	again := effectsOf[sched.Grant](s.Reduce(3000, enqueued("a.1-1", "k", 0)))
	g.Expect(again).To(gomega.HaveLen(1))
	g.Expect(again[0].Worker).To(gomega.Equal(first[0].Worker))
	g.Expect(again[0].Priority).To(gomega.Equal(first[0].Priority))
}

// Guards against a slot that stays occupied because the message with the end of its call was lost, and against
// dropping a call that its home still refreshes.
func TestCallsThatHomesForgotExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	group := twoWorkers("affinity", 1)
	group.CallTTLMS = 15_000
	s.Reduce(0, group)
	g.Expect(effectsOf[sched.Grant](s.Reduce(1, enqueued("a.1-1", "lost", 0)))).To(gomega.HaveLen(1))
	g.Expect(effectsOf[sched.Grant](s.Reduce(2, enqueued("a.1-2", "kept", 0)))).To(gomega.HaveLen(1))
	g.Expect(effectsOf[sched.Grant](s.Reduce(3, enqueued("a.1-3", "waits", 0)))).To(gomega.BeEmpty())
	var granted []sched.Grant
	for at := int64(3000); at <= 30_000; at += 3000 {
		kept := enqueued("a.1-2", "kept", 0)
		kept.RunningOn = "w2"
		for _, e := range []sched.Enqueued{kept, enqueued("a.1-3", "waits", 0)} {
			granted = append(granted, effectsOf[sched.Grant](s.Reduce(clock.Millis(at), e))...)
		}
		granted = append(granted, effectsOf[sched.Grant](s.Reduce(clock.Millis(at), sched.Ticked{Group: "g/0"}))...)
	}
	g.Expect(granted).NotTo(gomega.BeEmpty())
	for _, gr := range granted {
		g.Expect(gr.Call.Key).To(gomega.Equal("waits"))
		g.Expect(gr.Worker).To(gomega.Equal("w1"))
	}
}
