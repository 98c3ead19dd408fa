package program_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// Guards against a child program that waits for admission as a new program while its parent waits for the child.
func TestChildNamesTheProgramItWorksFor(t *testing.T) {
	g := gomega.NewWithT(t)
	s := program.New()
	s.Reduce(1, program.Started{Journal: "h.1", Limits: program.Limits{MaxQueuedCalls: 4}})
	s.Reduce(1, program.ConfigChanged{Config: testConfig})
	s.Reduce(2, program.OpenRequested{Waiter: 1, Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
	effects := s.Reduce(3, program.CallSubmitted{Waiter: 2, Program: "h.1-1", Call: api.Call{
		Key: "a", Kind: api.CallAgent, Agent: &api.AgentCall{Name: "helper", Prompt: "p", BudgetTokens: 400},
	}})
	var roots []ids.Program
	for _, e := range enqueuesAfter(s, effects) {
		roots = append(roots, e.Request.RootProgram)
	}
	g.Expect(roots).To(gomega.Equal([]ids.Program{"h.1-1"}))
}

// enqueuesAfter confirms commits until there are none, and returns the calls that are enqueued meanwhile.
func enqueuesAfter(s *program.State, effects []event.Effect) []program.Enqueue {
	var out []program.Enqueue
	for len(effects) > 0 {
		lastSeq := program.CommitSeq(0)
		for _, e := range effects {
			switch e := e.(type) {
			case program.Commit:
				lastSeq = e.Seq
			case program.Enqueue:
				out = append(out, e)
			}
		}
		effects = nil
		if lastSeq != 0 {
			effects = s.Reduce(4, program.Committed{UpTo: lastSeq})
		}
	}
	return out
}
