package program_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// TestSettledCalls guards against a durable call, of which only the turn and a few numbers are kept, that replies
// to a repeated key with another turn, is executed again or accepts another body, at home or after a takeover.
func TestSettledCalls(t *testing.T) {
	var s *program.State
	var lastCommit program.Commit
	var reply program.Reply
	send := func(e event.Event) {
		for _, f := range s.Reduce(1000, e) {
			switch f := f.(type) {
			case program.Commit:
				lastCommit = f
			case program.Reply:
				reply = f
			case program.Dispatch:
				s.Reduce(1000, program.Committed{UpTo: lastCommit.Seq})
				for _, effect := range s.Reduce(1000, program.DispatchEnded{Call: f.Call, Result: program.ResultCompleted, Text: "answer to " + f.Call.Key, StatusCode: 200}) {
					if c, ok := effect.(program.Commit); ok {
						lastCommit = c
					}
				}
			}
		}
	}
	start := func(journal ids.Journal) {
		s = program.New()
		send(program.Started{Journal: journal, Limits: program.Limits{MaxQueuedCalls: 4, OrderTimeout: time.Second, MaxUncommittedBytes: 1 << 20}})
		send(program.ConfigChanged{Config: testConfig})
	}
	lookCall := func(key string) api.Call {
		return api.Call{Key: key, Kind: api.CallTool, Tool: &api.ToolCall{Name: "look", Args: []byte(`"` + key + `"`)}}
	}
	submit := func(c api.Call) program.Reply {
		reply = program.Reply{}
		send(program.CallSubmitted{Waiter: 1, Program: "h.1-1", Call: c})
		for before := program.CommitSeq(0); before != lastCommit.Seq && reply.Waiter == 0; {
			before = lastCommit.Seq
			send(program.Committed{UpTo: lastCommit.Seq})
		}
		return reply
	}
	start("h.1")
	send(program.OpenRequested{Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
	send(program.Committed{UpTo: lastCommit.Seq})
	answers := map[string]program.Reply{}
	for _, k := range []string{"a", "b"} {
		answers[k] = submit(lookCall(k))
		if a := answers[k].Answer; a == nil || a.Text != "answer to "+k || a.Status != 200 || !a.Durable {
			t.Fatalf("call %s: %+v", k, answers[k])
		}
	}
	check := func(host string) {
		for k, want := range answers {
			if got := submit(lookCall(k)); !reflect.DeepEqual(got, want) {
				t.Errorf("%s: key %s repeated: %+v, want %+v", host, k, got.Answer, want.Answer)
			}
			other := lookCall(k)
			other.Tool.Args = []byte(`"other"`)
			if got := submit(other); got.Error == nil || got.Error.Code != fault.CodeKeyReused {
				t.Errorf("%s: key %s with another body: %+v", host, k, got)
			}
		}
	}
	check("home")
	records := s.Export()
	start("i.1")
	send(program.AdoptionRequested{Journal: "h.1", Records: records})
	send(program.Committed{UpTo: lastCommit.Seq})
	check("successor")
}
