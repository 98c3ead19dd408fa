package program_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// Guards against an outage of the store that refuses calls which need no commit before their dispatch, executes
// calls which need one, or fills the memory of the host. A model call is submitted every minute for an hour, which
// exceeds the limit of uncommitted records.
func TestStoreOutageOfAnHour(t *testing.T) {
	g := gomega.NewWithT(t)
	const maxUncommitted = 40 << 10
	s := program.New()
	at := clock.Millis(1)
	var replies []program.Reply
	reduce := func(e event.Event) (dispatched *program.Dispatch) {
		for queue := []event.Event{e}; len(queue) > 0; queue = queue[1:] {
			for _, eff := range s.Reduce(at, queue[0]) {
				switch f := eff.(type) {
				case program.Reply:
					replies = append(replies, f)
				case program.Enqueue:
					queue = append(queue, program.Granted{Call: f.Request.Call, Group: f.Request.Group, Worker: "w1"})
				case program.Dispatch:
					dispatched = &f
				}
			}
		}
		return dispatched
	}
	answerTo := func(c api.Call) program.Reply {
		replies = nil
		if d := reduce(program.CallSubmitted{Waiter: 9, Program: "h.1-1", Call: c}); d != nil {
			reduce(program.DispatchEnded{Call: d.Call, Result: program.ResultCompleted, Text: strings.Repeat("x", 1000), Usage: api.Usage{PromptTokens: 1, GeneratedTokens: 1, CostTokens: 2}})
		}
		g.Expect(replies).To(gomega.HaveLen(1))
		return replies[0]
	}
	modelCall := func(i int) api.Call {
		return api.Call{Key: "m" + strconv.Itoa(i), Kind: api.CallModel, Model: &api.ModelCall{Prompt: "p", MaxTokens: 1}}
	}

	reduce(program.Started{Journal: "h.1", Limits: program.Limits{MaxQueuedCalls: 4, IdleTimeout: 30 * time.Minute, MaxUncommittedBytes: maxUncommitted}})
	cfg := testConfig
	reduce(program.ConfigChanged{Config: cfg})
	reduce(program.OpenRequested{Waiter: 1, Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
	reduce(program.CallSubmitted{Waiter: 2, Program: "h.1-1", Call: api.Call{Key: "warm", Kind: api.CallModel, Model: &api.ModelCall{Prompt: strings.Repeat("p", 1200), MaxTokens: 1}}})
	// The reservation of this call also covers the model calls during the outage.
	firstDispatch := reduce(program.Committed{UpTo: 2})
	g.Expect(firstDispatch).NotTo(gomega.BeNil())
	reduce(program.DispatchEnded{Call: firstDispatch.Call, Result: program.ResultCompleted, Usage: api.Usage{PromptTokens: 1, GeneratedTokens: 1, CostTokens: 2}})
	reduce(program.Committed{UpTo: 3})
	reduce(program.StoreAvailabilityChanged{Down: true})

	answered, refused := 0, 0
	for i := range 60 {
		at = at.Add(time.Minute)
		reduce(program.Ticked{})
		r := answerTo(modelCall(i))
		switch {
		case r.Answer != nil:
			g.Expect(refused).To(gomega.BeZero(), "a call was executed after the limit was reached")
			g.Expect(r.Answer.Durable).To(gomega.BeFalse())
			answered++
		default:
			g.Expect(r.Error.Outcome).To(gomega.Equal(fault.OutcomeNotRun))
			g.Expect(r.Error.Code).To(gomega.Equal(fault.CodeStoreUnavailable))
			g.Expect(r.Error.RetryAfterMS).To(gomega.BeNumerically(">", 0))
			refused++
		}
		pay := answerTo(api.Call{Key: "pay" + strconv.Itoa(i), Kind: api.CallTool, Tool: &api.ToolCall{Name: "pay", Args: []byte("{}")}})
		g.Expect(pay.Error.Outcome).To(gomega.Equal(fault.OutcomeNotRun))
	}
	t.Logf("%d turns were answered as not durable, %d calls were refused", answered, refused)
	g.Expect(answered).To(gomega.BeNumerically(">", 5))
	g.Expect(refused).To(gomega.BeNumerically(">", 0))

	reduce(program.StoreAvailabilityChanged{Down: false})
	reduce(program.Committed{UpTo: 1 << 20})
	g.Expect(answerTo(modelCall(0)).Answer.Durable).To(gomega.BeTrue(), "the turns are durable when the store is available again")
}
