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

// Guards against an outage of the store that stops programs which could go on, lets calls run that must not, or
// fills the memory of the host. One model call a minute, for an hour; the limit of unsaved turns is reached on the way.
func TestStoreOutageOfAnHour(t *testing.T) {
	g := gomega.NewWithT(t)
	const maxUnsaved = 40 << 10
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
	model := func(i int) api.Call {
		return api.Call{Key: "m" + strconv.Itoa(i), Kind: api.CallModel, Model: &api.ModelCall{Prompt: "p", MaxTokens: 1}}
	}

	reduce(program.Started{Journal: "h.1", Limits: program.Limits{MaxQueuedCalls: 4, IdleTimeout: 30 * time.Minute, MaxUncommittedBytes: maxUnsaved}})
	cfg := testConfig
	reduce(program.ConfigChanged{Config: cfg})
	reduce(program.OpenRequested{Waiter: 1, Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
	reduce(program.CallSubmitted{Waiter: 2, Program: "h.1-1", Call: api.Call{Key: "warm", Kind: api.CallModel, Model: &api.ModelCall{Prompt: strings.Repeat("p", 1200), MaxTokens: 1}}})
	// This call reserves a budget chunk that the calls of the outage live on.
	warm := reduce(program.Committed{UpTo: 2})
	g.Expect(warm).NotTo(gomega.BeNil())
	reduce(program.DispatchEnded{Call: warm.Call, Result: program.ResultCompleted, Usage: api.Usage{PromptTokens: 1, GeneratedTokens: 1, CostTokens: 2}})
	reduce(program.Committed{UpTo: 3})
	reduce(program.StoreAvailabilityChanged{Down: true})

	saved, refused := 0, 0
	for i := range 60 {
		at = at.Add(time.Minute)
		reduce(program.Ticked{})
		r := answerTo(model(i))
		switch {
		case r.Answer != nil:
			g.Expect(refused).To(gomega.BeZero(), "a turn was taken after the limit was reached")
			g.Expect(r.Answer.Durable).To(gomega.BeFalse())
			saved++
		default:
			g.Expect(r.Error.Outcome).To(gomega.Equal(fault.NotRun))
			g.Expect(r.Error.Code).To(gomega.Equal(fault.CodeStoreDown))
			g.Expect(r.Error.RetryAfterMS).To(gomega.BeNumerically(">", 0))
			refused++
		}
		pay := answerTo(api.Call{Key: "pay" + strconv.Itoa(i), Kind: api.CallTool, Tool: &api.ToolCall{Name: "pay", Args: []byte("{}")}})
		g.Expect(pay.Error.Outcome).To(gomega.Equal(fault.NotRun))
	}
	t.Logf("%d turns were answered as not durable, %d calls were refused", saved, refused)
	g.Expect(saved).To(gomega.BeNumerically(">", 5))
	g.Expect(refused).To(gomega.BeNumerically(">", 0))

	reduce(program.StoreAvailabilityChanged{Down: false})
	reduce(program.Committed{UpTo: 1 << 20})
	g.Expect(answerTo(model(0)).Answer.Durable).To(gomega.BeTrue(), "the turns are durable when the store is back")
}
