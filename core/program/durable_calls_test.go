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

// TestSettledCalls guards against a settled call, of which only the turn and a few numbers are kept, that answers a
// repeated key with another turn, runs it again or accepts another body; at its home and after a takeover.
func TestSettledCalls(t *testing.T) {
	var s *program.State
	var last program.Commit
	var reply program.Reply
	send := func(e event.Event) {
		for _, f := range s.Reduce(1000, e) {
			switch f := f.(type) {
			case program.Commit:
				last = f
			case program.Reply:
				reply = f
			case program.Dispatch:
				s.Reduce(1000, program.Committed{UpTo: last.Seq})
				for _, g := range s.Reduce(1000, program.DispatchEnded{Call: f.Call, Result: program.ResultCompleted, Text: "answer to " + f.Call.Key, StatusCode: 200}) {
					if c, ok := g.(program.Commit); ok {
						last = c
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
	look := func(key string) api.Call {
		return api.Call{Key: key, Kind: api.CallTool, Tool: &api.ToolCall{Name: "look", Args: []byte(`"` + key + `"`)}}
	}
	submit := func(c api.Call) program.Reply {
		reply = program.Reply{}
		send(program.CallSubmitted{Waiter: 1, Program: "h.1-1", Call: c})
		for before := program.CommitSeq(0); before != last.Seq && reply.Waiter == 0; {
			before = last.Seq
			send(program.Committed{UpTo: last.Seq})
		}
		return reply
	}
	start("h.1")
	send(program.OpenRequested{Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
	send(program.Committed{UpTo: last.Seq})
	answers := map[string]program.Reply{}
	for _, k := range []string{"a", "b"} {
		answers[k] = submit(look(k))
		if a := answers[k].Answer; a == nil || a.Text != "answer to "+k || a.Status != 200 || !a.Durable {
			t.Fatalf("call %s: %+v", k, answers[k])
		}
	}
	check := func(where string) {
		for k, want := range answers {
			if got := submit(look(k)); !reflect.DeepEqual(got, want) {
				t.Errorf("%s: key %s repeated: %+v, want %+v", where, k, got.Answer, want.Answer)
			}
			other := look(k)
			other.Tool.Args = []byte(`"other"`)
			if got := submit(other); got.Error == nil || got.Error.Code != fault.CodeKeyReused {
				t.Errorf("%s: key %s with another body: %+v", where, k, got)
			}
		}
	}
	check("home")
	records := s.Export()
	start("i.1")
	send(program.AdoptionRequested{Journal: "h.1", Records: records})
	send(program.Committed{UpTo: last.Seq})
	check("heir")
}
