package program

import (
	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
)

const (
	// messageOverheadTokens is what a chat template may add to one message.
	messageOverheadTokens = 8
	// reservedWorstCases is how many worst cases are reserved at once, so that most turns wait for no commit.
	reservedWorstCases = 2
)

// reserveBudget makes sure that the worst case of the call, and what its broken runs have cost, is covered by a
// durable reservation before it is sent.
func (r *reduction) reserveBudget(p *program, c *call) {
	worst, ferr := r.worstCaseCost(p, c)
	if ferr != nil {
		r.failNotRun(p, c, ferr)
		return
	}
	need := worst + c.turn.Usage.CostTokens
	if p.reservedTokens >= need && !p.reservationPending(r.State) {
		r.continueReserved(p, c)
		return
	}
	if r.storeDown {
		r.failNotRun(p, c, errStoreDown("reserve budget"))
		return
	}
	c.state = callReserving
	amount := min(max(need+(reservedWorstCases-1)*worst-p.reservedTokens, 0), p.availableTokens())
	r.applyAndCommit(pendingCommit{action: actionContinueReserved, program: p.id, key: c.request.Key},
		Record{Op: OpReserved, Program: p.id, Tokens: amount})
}

// reservationPending says whether part of the chunk is not durable yet. That happens after a call was
// refused while its reservation waited for the store.
func (p *program) reservationPending(s *State) bool {
	for i := range s.pendingCommits {
		if s.pendingCommits[i].program == p.id && s.pendingCommits[i].action == actionContinueReserved {
			return true
		}
	}
	return false
}

// availableTokens is the part of the budget that is neither spent nor reserved.
func (p *program) availableTokens() int64 {
	return p.header.BudgetTokens - p.spentTokens - p.reservedTokens
}

// worstCaseCost returns the most tokens that the call can cost. A model call is given as many output
// tokens as the budget allows; it fails if the prompt alone is over the budget.
func (r *reduction) worstCaseCost(p *program, c *call) (int64, *fault.Error) {
	available := p.availableTokens() + p.reservedTokens - c.turn.Usage.CostTokens
	var worst int64
	switch c.request.Kind {
	case api.CallModel:
		// A run that resumes elsewhere computes the text so far as a part of its prompt.
		prompt := r.promptBound(p, c.request.Model.Prompt) + int64(len(c.partialText))
		out := int64(r.agentConfig(p).MaxTokens)
		if m := int64(c.request.Model.MaxTokens); m > 0 && (m < out || out == 0) {
			out = m
		}
		if out > available-prompt { // the sum may overflow: max_tokens comes from the caller
			out = available - prompt
		}
		c.maxTokens = int(out)
		if out <= 0 {
			return 0, errBudget(prompt+1, available)
		}
		worst = prompt + out
	case api.CallTool:
		worst = r.config.Objects.Tools[c.request.Tool.Name].CostTokens
	case api.CallService:
		worst = r.config.Objects.Services[c.request.Service.Name].CostTokens
	case api.CallAgent:
		// The child's budget is taken when the child opens; the parent's call costs nothing itself.
		if b := c.request.Agent.BudgetTokens; b > p.availableTokens() {
			return 0, errBudget(b, p.availableTokens())
		}
	}
	if worst > available {
		return 0, errBudget(worst, available)
	}
	return worst, nil
}

func errBudget(need, have int64) *fault.Error {
	return fault.New(fault.CodeBudgetExceeded, "reserve budget", "the call may cost %d tokens and the budget has %d left", need, have)
}

// promptBound is an upper bound of the prompt's length in tokens: what the engine counted for the
// history, and one token a byte for what is new.
func (r *reduction) promptBound(p *program, prompt string) int64 {
	n := p.contextTokens + int64(len(prompt)) + 2*messageOverheadTokens
	if p.contextTokens == 0 {
		n += int64(len(r.agentConfig(p).SystemPrompt)) + messageOverheadTokens
	}
	for i := len(p.turns) - 1; i >= 0 && p.turns[i].Kind != api.CallModel; i-- {
		n += int64(len(p.turns[i].Request)+len(p.turns[i].Answer)) + 2*messageOverheadTokens
	}
	return n
}

// retryBudget bounds retries to a share of the calls, so that a slow pool does not get more load.
type retryBudget struct {
	calls   int64
	retries int64
}

const (
	retryRatio     = 0.1 // retries for each call
	initialRetries = 20  // retries that are allowed before calls have been counted
)

func (s *State) countCall(pool string) { s.retryBudgetOf(pool).calls++ }

func (s *State) retryBudgetOf(pool string) *retryBudget {
	b, ok := s.retryBudgets[pool]
	if !ok {
		b = &retryBudget{}
		s.retryBudgets[pool] = b
	}
	return b
}

// tryConsumeRetry takes one retry from the pool's budget, if there is one.
func (s *State) tryConsumeRetry(pool string) bool {
	b := s.retryBudgetOf(pool)
	if float64(b.retries) >= initialRetries+retryRatio*float64(b.calls) {
		return false
	}
	b.retries++
	return true
}
