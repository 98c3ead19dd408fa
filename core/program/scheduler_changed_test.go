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

// TestSchedulerChanged guards against calls that a new scheduler does not hear of, against reports of calls that have
// ended, and against calls in flight that are repeated with the waiting ones.
func TestSchedulerChanged(t *testing.T) {
	s := program.New()
	var token program.CommitSeq
	var asked []sched.Enqueued
	send := func(e event.Event) []sched.Enqueued {
		asked = nil
		for _, f := range s.Reduce(1000, e) {
			switch f := f.(type) {
			case program.Commit:
				token = f.Seq
			case program.Enqueue:
				asked = append(asked, f.Request)
			}
		}
		return asked
	}
	send(program.Started{Journal: "h.1", Limits: program.Limits{MaxQueuedCalls: 4, OrderTimeout: time.Second, MaxUncommittedBytes: 1 << 20}})
	send(program.ConfigChanged{Config: testConfig})
	var calls []sched.Enqueued
	for n := uint64(1); n <= 3; n++ {
		id := ids.NewProgram("h.1", n)
		send(program.OpenRequested{Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
		send(program.CallSubmitted{Program: id, Call: api.Call{Key: "k", Kind: api.CallModel, Model: &api.ModelCall{Prompt: "p"}}})
		calls = append(calls, send(program.Committed{UpTo: token})...)
	}
	for _, c := range calls[:2] { // the first call ends, the second is in flight, the third waits
		send(program.Granted{Call: c.Call, Group: c.Group, Worker: "w"})
	}
	send(program.DispatchEnded{Call: calls[0].Call, Result: program.ResultCompleted, Text: "x"})
	send(program.Committed{UpTo: token})

	all := send(program.SchedulerChanged{})
	if len(all) != 2 || all[0].Call != calls[1].Call || all[0].RunningOn != "w" || all[1].Call != calls[2].Call || all[1].RunningOn != "" {
		t.Errorf("all groups: %+v", all)
	}
	if waiting := send(program.SchedulerChanged{WaitingOnly: true}); len(waiting) != 1 || waiting[0].Call != calls[2].Call {
		t.Errorf("waiting only: %+v", waiting)
	}
	if same := send(program.SchedulerChanged{Group: calls[1].Group}); len(same) != 2 {
		t.Errorf("group %s: %+v", calls[1].Group, same)
	}
	if other := send(program.SchedulerChanged{Group: "app/0"}); len(other) != 0 {
		t.Errorf("group without calls: %+v", other)
	}
}
