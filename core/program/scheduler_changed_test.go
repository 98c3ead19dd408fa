package program_test

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// TestSchedulerChanged guards against calls that are not enqueued at a new scheduler, against reports of calls
// that have ended, and against running calls that are reported although only the waiting ones are requested.
func TestSchedulerChanged(t *testing.T) {
	s := program.New()
	var lastSeq program.CommitSeq
	var enqueued []sched.Enqueued
	send := func(e event.Event) []sched.Enqueued {
		enqueued = nil
		for _, f := range s.Reduce(1000, e) {
			switch f := f.(type) {
			case program.Commit:
				lastSeq = f.Seq
			case program.Enqueue:
				enqueued = append(enqueued, f.Request)
			}
		}
		return enqueued
	}
	send(program.Started{Journal: "h.1", Limits: program.Limits{MaxQueuedCalls: 4, OrderTimeout: time.Second, MaxUncommittedBytes: 1 << 20}})
	send(program.ConfigChanged{Config: testConfig})
	var calls []sched.Enqueued
	for n := uint64(1); n <= 3; n++ {
		id := ids.NewProgram("h.1", n)
		send(program.OpenRequested{Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
		send(program.CallSubmitted{Program: id, Call: api.Call{Key: "k", Kind: api.CallModel, Model: &api.ModelCall{Prompt: "p"}}})
		calls = append(calls, send(program.Committed{UpTo: lastSeq})...)
	}
	for _, c := range calls[:2] { // the first call ends, the second is running, the third waits
		send(program.Granted{Call: c.Call, Group: c.Group, Worker: "w"})
	}
	send(program.DispatchEnded{Call: calls[0].Call, Result: program.ResultCompleted, Text: "x"})
	send(program.Committed{UpTo: lastSeq})

	allGroups := send(program.SchedulerChanged{})
	if len(allGroups) != 2 || allGroups[0].Call != calls[1].Call || allGroups[0].RunningOn != "w" || allGroups[1].Call != calls[2].Call || allGroups[1].RunningOn != "" {
		t.Errorf("all groups: %+v", allGroups)
	}
	if waiting := send(program.SchedulerChanged{WaitingOnly: true}); len(waiting) != 1 || waiting[0].Call != calls[2].Call {
		t.Errorf("waiting only: %+v", waiting)
	}
	if sameGroup := send(program.SchedulerChanged{Group: calls[1].Group}); len(sameGroup) != 2 {
		t.Errorf("group %s: %+v", calls[1].Group, sameGroup)
	}
	if otherGroup := send(program.SchedulerChanged{Group: "app/0"}); len(otherGroup) != 0 {
		t.Errorf("group without calls: %+v", otherGroup)
	}
}
