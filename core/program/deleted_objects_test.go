package program_test

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// Guards against a host that fails when a tool or service is deleted from the configuration while its call waits for an
// earlier call of the program.
func TestWaitingCallOfADeletedObjectIsRefused(t *testing.T) {
	for name, call := range map[string]api.Call{
		"tool":    {Key: "x", Kind: api.CallTool, Tool: &api.ToolCall{Name: "pay"}},
		"service": {Key: "x", Kind: api.CallService, Service: &api.ServiceCall{Name: "bench", Method: "GET", Path: "/"}},
	} {
		s := program.New()
		var dispatched *program.Dispatch
		var refusal *fault.Error
		reduce := func(e event.Event) {
			for queue := []event.Event{e}; len(queue) > 0; queue = queue[1:] {
				for _, eff := range s.Reduce(clock.Millis(1), queue[0]) {
					switch f := eff.(type) {
					case program.Reply:
						if f.Waiter == 3 {
							refusal = f.Error
						}
					case program.Commit:
						queue = append(queue, program.Committed{UpTo: f.Seq})
					case program.Enqueue:
						queue = append(queue, program.Granted{Call: f.Request.Call, Group: f.Request.Group, Worker: "w1"})
					case program.Dispatch:
						dispatched = &f
					}
				}
			}
		}
		reduce(program.Started{Journal: "h.1", Limits: program.Limits{MaxQueuedCalls: 4, IdleTimeout: 30 * time.Minute, MaxUncommittedBytes: 1 << 20}})
		reduce(program.ConfigChanged{Config: testConfig})
		reduce(program.OpenRequested{Waiter: 1, Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
		reduce(program.CallSubmitted{Waiter: 2, Program: "h.1-1", Call: api.Call{Key: "m", Kind: api.CallModel, Model: &api.ModelCall{Prompt: "p", MaxTokens: 1}}})
		reduce(program.CallSubmitted{Waiter: 3, Program: "h.1-1", Call: call})
		if dispatched == nil {
			t.Fatalf("%s: the model call was not dispatched", name)
		}
		first := *dispatched
		changed := testConfig
		changed.Number = 2
		changed.Objects.Tools, changed.Objects.Services = map[string]*config.Tool{}, map[string]*config.Service{}
		reduce(program.ConfigChanged{Config: changed})
		reduce(program.DispatchEnded{Call: first.Call, Result: program.ResultCompleted, Text: "x", Usage: api.Usage{PromptTokens: 1, GeneratedTokens: 1, CostTokens: 2}})
		if refusal == nil || refusal.Code != fault.CodeInvalidRequest || refusal.Outcome != fault.OutcomeNotRun {
			t.Errorf("%s: refused with %v, want an invalid request that was not run", name, refusal)
		}
	}
}
