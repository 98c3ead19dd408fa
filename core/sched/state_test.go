package sched_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

var _ core.Subsystem = sched.NewState()

func twoWorkers(policy string, maxRunning int) sched.GroupChanged {
	return sched.GroupChanged{Group: "g/0", Policy: policy, Workers: []sched.Worker{
		{Name: "w1", Usable: true, MaxRunning: maxRunning, CacheCapacityTokens: 1000},
		{Name: "w2", Usable: true, MaxRunning: maxRunning, CacheCapacityTokens: 1000},
	}}
}

func enqueued(program, key string, turn int) sched.Enqueued {
	return sched.Enqueued{
		Call:  sched.CallID{Program: ids.Program(program), Key: key, Attempt: 1},
		Group: "g/0", Home: "a.1", Agent: "judge", Class: sched.ClassInteractive, Turns: turn, PromptTokens: 100,
	}
}

func finished(c sched.CallID, worker string) sched.Finished {
	return sched.Finished{Call: c, Group: "g/0", Worker: worker, PromptTokens: 100, GeneratedTokens: 10}
}

func effectsOf[T event.Effect](effects []event.Effect) []T {
	var out []T
	for _, e := range effects {
		if g, ok := e.(T); ok {
			out = append(out, g)
		}
	}
	return out
}

// Guards against moving a program away from its cached prefix while its worker has a free slot.
func TestProgramReturnsToCachedPrefix(t *testing.T) {
	for _, policy := range []string{"affinity", "deadline", "shipped"} {
		g := gomega.NewWithT(t)
		s := sched.NewState()
		s.Reduce(1, twoWorkers(policy, 2))
		s.Reduce(2, enqueued("a.1-1", "k1", 0))
		first := effectsOf[sched.Grant](s.Reduce(3, enqueued("a.1-2", "k1", 0)))
		g.Expect(first).To(gomega.HaveLen(1), policy)
		g.Expect(first[0].Worker).To(gomega.Equal("w2"), policy)
		s.Reduce(4, finished(first[0].Call, "w2"))
		again := effectsOf[sched.Grant](s.Reduce(5, enqueued("a.1-2", "k2", 1)))
		g.Expect(again).To(gomega.HaveLen(1), policy)
		g.Expect(again[0].Worker).To(gomega.Equal("w2"), policy)
	}
}

// Guards against running calls that a new scheduler does not count, and against a second grant for them.
func TestRunningCallIsCountedWithoutGrant(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	s.Reduce(1, twoWorkers("baseline", 1))
	running := enqueued("a.1-1", "k1", 1)
	running.RunningOn = "w1"
	g.Expect(s.Reduce(2, running)).To(gomega.BeEmpty())
	got := effectsOf[sched.Grant](s.Reduce(3, enqueued("a.1-2", "k1", 0)))
	g.Expect(got).To(gomega.HaveLen(1))
	g.Expect(got[0].Worker).To(gomega.Equal("w2"))
	g.Expect(s.Reduce(4, enqueued("a.1-3", "k1", 0))).To(gomega.BeEmpty())
	got = effectsOf[sched.Grant](s.Reduce(5, finished(running.Call, "w1")))
	g.Expect(got).To(gomega.HaveLen(1))
	g.Expect(got[0].Call.Program).To(gomega.Equal(ids.Program("a.1-3")))
}

// Guards against cache that stays occupied by an ended program because the release was lost.
func TestReleasesCacheOfEndedPrograms(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	s.Reduce(1, twoWorkers("shipped", 1))
	grant := effectsOf[sched.Grant](s.Reduce(2, enqueued("a.1-1", "k1", 0)))[0]
	s.Reduce(3, finished(grant.Call, grant.Worker))
	want := sched.ReleaseCache{Group: "g/0", Worker: grant.Worker, Program: "a.1-1"}
	ended := sched.ProgramEnded{Program: "a.1-1", Group: "g/0", Agent: "judge", Turns: 1}
	g.Expect(s.Reduce(4, ended)).To(gomega.ConsistOf(want))
	report := sched.CacheReported{Group: "g/0", Worker: grant.Worker, Programs: []sched.ProgramCache{{Program: "a.1-1", Tokens: 110}}}
	g.Expect(s.Reduce(5, report)).To(gomega.ConsistOf(want))
	g.Expect(s.Reduce(6, report)).To(gomega.ConsistOf(want))
}

// Guards against slots that stay occupied by the calls of a home that was lost.
func TestHomeLostFreesPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	s.Reduce(1, twoWorkers("baseline", 1))
	s.Reduce(2, enqueued("a.1-1", "k1", 0))
	s.Reduce(3, enqueued("a.1-2", "k1", 0))
	other := enqueued("b.1-1", "k1", 0)
	other.Home = "b.1"
	g.Expect(s.Reduce(4, other)).To(gomega.BeEmpty())
	got := effectsOf[sched.Grant](s.Reduce(5, sched.HomeLost{Group: "g/0", Home: "a.1"}))
	g.Expect(got).To(gomega.HaveLen(1))
	g.Expect(got[0].Home).To(gomega.Equal(ids.Journal("b.1")))
}

// Guards against a call that waits past its deadline, against a grant after its refusal, and against enqueuing a
// repeated Enqueued of the refused call before its retry time.
func TestRefusesCallsThatCannotMeetTheirDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	s.Reduce(0, twoWorkers("baseline", 1))
	s.Reduce(0, enqueued("a.1-1", "k1", 0))
	s.Reduce(0, enqueued("a.1-2", "k1", 0))
	late := enqueued("a.1-3", "k1", 0)
	late.TimeLeftMS = 100 // a slot is expected to be free after half of the default service time of 2 s
	refused := effectsOf[sched.Refuse](s.Reduce(1, late))
	g.Expect(refused).To(gomega.HaveLen(1))
	g.Expect(refused[0].Reason).To(gomega.Equal(sched.ReasonDeadline))
	g.Expect(refused[0].RetryAfterMS).To(gomega.BeNumerically(">=", 1000))
	again := effectsOf[sched.Refuse](s.Reduce(2, late))
	g.Expect(again).To(gomega.HaveLen(1))
	g.Expect(effectsOf[sched.Grant](s.Reduce(3, finished(sched.CallID{Program: "a.1-1", Key: "k1", Attempt: 1}, "w1")))).To(gomega.BeEmpty())
}

// Guards against urgent calls that wait behind other classes, and against urgent calls that starve another class.
func TestUrgentFirstAndNoClassStarves(t *testing.T) {
	for _, policy := range []string{"baseline", "affinity", "deadline", "shipped"} {
		g := gomega.NewWithT(t)
		s := sched.NewState()
		m := twoWorkers(policy, 1)
		m.Workers = m.Workers[:1]
		s.Reduce(0, m)
		running := effectsOf[sched.Grant](s.Reduce(1, enqueued("a.1-1", "k", 0)))[0].Call
		batch := enqueued("a.1-2", "k", 0)
		batch.Class = sched.ClassBatch
		s.Reduce(2, batch)
		granted := -1
		for i := range 200 {
			at := clock.Millis(1000 * (i + 1))
			urgent := enqueued(fmt.Sprintf("b.1-%d", i+1), "k", 0)
			urgent.Class = sched.ClassUrgent
			s.Reduce(at, urgent)
			next := effectsOf[sched.Grant](s.Reduce(at, finished(running, "w1")))
			g.Expect(next).To(gomega.HaveLen(1), policy)
			running = next[0].Call
			if i == 0 {
				g.Expect(running.Program).To(gomega.Equal(ids.Program("b.1-1")), policy)
			}
			if running.Program == "a.1-2" {
				granted = i
				break
			}
		}
		// 30 s until the call is aged, and at most 16 grants after that.
		g.Expect(granted).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 47)), policy)
	}
}

// Guards against refusing a call of a started program because new programs wait ahead of it.
func TestUnderWayIsNotRefusedForNewPrograms(t *testing.T) {
	g := gomega.NewWithT(t)
	s := sched.NewState()
	s.Reduce(0, twoWorkers("baseline", 1))
	for i := range 20 {
		s.Reduce(0, enqueued(fmt.Sprintf("a.1-%d", i+1), "k1", 0))
	}
	newProgram, startedProgram := enqueued("b.1-1", "k1", 0), enqueued("b.1-2", "k5", 4)
	newProgram.TimeLeftMS, startedProgram.TimeLeftMS = 5000, 5000
	g.Expect(effectsOf[sched.Refuse](s.Reduce(1, newProgram))).To(gomega.HaveLen(1))
	g.Expect(effectsOf[sched.Refuse](s.Reduce(1, startedProgram))).To(gomega.BeEmpty())
}
