package sched_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// Guards against a call that ends worker after worker, each time sent by another program.
func TestCallThatEndsWorkersIsRefusedWhicheverProgramSendsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	s.Reduce(1, twoWorkers("shipped", 2))
	now := clock.Millis(10)
	send := func(program, prompt string) ([]sched.Grant, []sched.Refuse) {
		call := enqueued(program, "k1", 0)
		call.Fingerprints = poison.NewChain([]string{"team"}, []byte(prompt))
		now += 2000
		effects := s.Reduce(now, call)
		return effectsOf[sched.Grant](effects), effectsOf[sched.Refuse](effects)
	}
	for i := range 2 {
		grants, _ := send(fmt.Sprint("a.1-", i), "ends workers")
		g.Expect(grants).To(gomega.HaveLen(1))
		ended := finished(grants[0].Call, grants[0].Worker)
		ended.Failed, ended.WorkerEnded, ended.Began = true, true, true
		s.Reduce(now+1, ended)
	}
	grants, refused := send("a.1-8", "ends workers")
	g.Expect(grants).To(gomega.BeEmpty())
	g.Expect(refused).To(gomega.HaveLen(1))
	g.Expect(refused[0].Reason).To(gomega.Equal(sched.ReasonQuarantined))
	g.Expect(refused[0].RetryAfterMS).To(gomega.BeZero())
	grants, refused = send("a.1-9", "another")
	g.Expect(grants).To(gomega.HaveLen(1))
	g.Expect(refused).To(gomega.BeEmpty())
}
