package program_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// fingerprintsOf returns the fingerprints of a program's first call, which has that key and prompt.
func fingerprintsOf(key, prompt string) poison.Chain {
	s := program.New()
	s.Reduce(1, program.Started{Journal: "h.1", Limits: program.Limits{MaxQueuedCalls: 4}})
	s.Reduce(1, program.ConfigChanged{Config: testConfig})
	s.Reduce(2, program.OpenRequested{Waiter: 1, Request: api.OpenProgram{Team: "t", Agent: "judge", BudgetTokens: budget}})
	effects := s.Reduce(3, program.CallSubmitted{Waiter: 2, Program: "h.1-1", Call: api.Call{Key: key, Kind: api.CallModel, Model: &api.ModelCall{Prompt: prompt, MaxTokens: 10}}})
	if calls := enqueuesAfter(s, effects); len(calls) > 0 {
		return calls[0].Request.Fingerprints
	}
	return nil
}

// Guards against a call that is taken for another one because its key or its home is.
func TestSameCallHasTheSameFingerprintsInEveryProgram(t *testing.T) {
	g := gomega.NewWithT(t)
	first := fingerprintsOf("a", "score the tree")
	g.Expect(first).NotTo(gomega.BeEmpty())
	g.Expect(fingerprintsOf("b", "score the tree")).To(gomega.Equal(first))
	g.Expect(fingerprintsOf("a", "score the bench")).NotTo(gomega.Equal(first))
}
