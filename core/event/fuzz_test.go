package event_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/event"
	_ "github.com/hyssopreel/hyssopreel/core/hoststate" // registers the events of all subsystems
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// Guards against a panic on a damaged event log, and against events that change when they are written and read
// again.
func FuzzDecode(f *testing.F) {
	for _, e := range []event.Event{
		program.Started{Journal: "a-1.7", Limits: program.Limits{MaxQueuedCalls: 16}},
		program.CallSubmitted{Waiter: 3, Program: "a-1.7-1", Call: api.Call{
			Key: "pay", Kind: api.CallTool, Tool: &api.ToolCall{Name: "payout", Args: []byte(`{"entry":3}`)},
		}},
		program.DispatchEnded{Call: sched.CallID{Program: "a-1.7-1", Key: "m1"}, Error: fault.New(fault.CodeTimeout, "dispatch", "late")},
		program.AdoptionRequested{Journal: "b-1.2", Records: []program.Record{
			{Op: program.OpOpened, Program: "b-1.2-1", Header: &program.Header{Team: "t", Workers: []string{"w"}}},
			{Op: program.OpTurn, Program: "b-1.2-1", Key: "k", Turn: &api.Turn{Seq: 1, Key: "k"}},
		}},
		program.GroupsChanged{GroupCounts: map[string]int{"reel-lm": 1, "bench-app": 2}},
		program.Ticked{},
		configstate.TicketPushed{From: "p", Ticket: config.Ticket{Number: 2, Objects: config.Objects{Teams: map[string]*config.Team{"t": {MaxOpenPrograms: 1}, "u": nil}}}},
		sched.Enqueued{Group: "reel-lm/0", AvoidWorkers: []string{"w"}},
	} {
		b, err := event.Encode(event.Envelope{At: 7, Event: e})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	f.Add(bytes.Repeat([]byte{0x91}, 1000)) // nested arrays
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := event.Decode(b)
		if err != nil {
			return
		}
		encoded, err := event.Encode(e)
		if err != nil {
			t.Fatalf("encode %+v: %v", e, err)
		}
		again, err := event.Decode(encoded)
		if err != nil {
			t.Fatalf("decode encoded %+v: %v", e, err)
		}
		// omitempty makes empty lists absent.
		if diff := cmp.Diff(e, again, cmpopts.EquateEmpty(), cmpopts.EquateNaNs()); diff != "" {
			t.Fatal(diff)
		}
	})
}
