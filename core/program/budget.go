package program

import (
	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
)

const (
	// messageOverheadTokens bounds the tokens that a chat template adds to one message.
	messageOverheadTokens = 8
	// reservedWorstCases is the number of worst cases of a call that one reservation covers, so that most turns wait
	// for no commit.
	reservedWorstCases = 2
)

// reserveBudget ensures that a durable reservation covers the worst case of the call, and the cost of its
// interrupted dispatches, before the call is sent.
func (r *reduction) reserveBudget(p *program, c *call) {
	worstCase, ferr := r.worstCaseCost(p, c)
	if ferr != nil {
		r.failNotRun(p, c, ferr)
		return
	}
	needed := worstCase + c.turn.Usage.CostTokens
	if p.reservedTokens >= needed && !p.reservationPending(r.State) {
		r.continueReserved(p, c)
		return
	}
	if r.storeDown {
		r.failNotRun(p, c, errStoreDown("reserve budget"))
		return
	}
	c.state = callReserving
	tokens := min(max(needed+(reservedWorstCases-1)*worstCase-p.reservedTokens, 0), p.availableTokens())
	r.applyAndCommit(pendingCommit{action: actionContinueReserved, program: p.id, key: c.request.Key},
		Record{Op: OpReserved, Program: p.id, Tokens: tokens})
}

// reservationPending reports whether a reservation of the program is not durable yet. That happens after a call
// was refused while its reservation waited for the store.
func (p *program) reservationPending(s *State) bool {
	for i := range s.pendingCommits {
		if s.pendingCommits[i].program == p.id && s.pendingCommits[i].action == actionContinueReserved {
			return true
		}
	}
	return false
}

// availableTokens returns the part of the budget that is neither spent nor reserved.
func (p *program) availableTokens() int64 {
	return p.header.BudgetTokens - p.spentTokens - p.reservedTokens
}

// worstCaseCost returns an upper bound of the tokens that the call costs. It reduces the output tokens of a model
// call to what the budget allows, and fails if the budget does not cover the prompt and one token.
func (r *reduction) worstCaseCost(p *program, c *call) (int64, *fault.Error) {
	available := p.availableTokens() + p.reservedTokens - c.turn.Usage.CostTokens
	var worstCase int64
	switch c.request.Kind {
	case api.CallModel:
		// A dispatch that resumes at another worker has the text so far in its prompt.
		promptTokens := r.promptBound(p, c.request.Model.Prompt) + int64(len(c.partialText))
		outputTokens := int64(r.agentConfig(p).MaxTokens)
		if requested := int64(c.request.Model.MaxTokens); requested > 0 && (requested < outputTokens || outputTokens == 0) {
			outputTokens = requested
		}
		if outputTokens > available-promptTokens { // the sum may overflow: max_tokens comes from the caller
			outputTokens = available - promptTokens
		}
		c.maxTokens = int(outputTokens)
		if outputTokens <= 0 {
			return 0, errBudget(promptTokens+1, available)
		}
		worstCase = promptTokens + outputTokens
	case api.CallTool:
		tool := r.config.Objects.Tools[c.request.Tool.Name]
		if tool == nil {
			return 0, errDeleted("reserve budget", "tool", c.request.Tool.Name)
		}
		worstCase = tool.CostTokens
	case api.CallService:
		service := r.config.Objects.Services[c.request.Service.Name]
		if service == nil {
			return 0, errDeleted("reserve budget", "service", c.request.Service.Name)
		}
		worstCase = service.CostTokens
	case api.CallAgent:
		// The child's budget is charged when the child is opened; the parent's call costs nothing else.
		if b := c.request.Agent.BudgetTokens; b > p.availableTokens() {
			return 0, errBudget(b, p.availableTokens())
		}
	}
	if worstCase > available {
		return 0, errBudget(worstCase, available)
	}
	return worstCase, nil
}

// errDeleted refuses a call of an object that was deleted from the configuration while the call waited.
func errDeleted(step, kind, name string) *fault.Error {
	return fault.New(fault.CodeInvalidRequest, step, "%s %q was deleted", kind, name)
}

func errBudget(needed, available int64) *fault.Error {
	return fault.New(fault.CodeBudgetExceeded, "reserve budget", "the call may cost %d tokens and the budget has %d left", needed, available)
}

// promptBound returns an upper bound of the prompt's length in tokens: the engine's count up to the last model
// call, and one token per byte of the text after it.
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

// retryBudget limits the retries of a pool to a fraction of its calls, so that a slow pool does not get more load.
type retryBudget struct {
	calls   int64
	retries int64
}

const (
	retryRatio     = 0.1 // retries per call
	initialRetries = 20  // retries that are allowed in addition, before calls have been counted
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

// tryConsumeRetry takes one retry from the pool's retry budget and reports whether one was left.
func (s *State) tryConsumeRetry(pool string) bool {
	b := s.retryBudgetOf(pool)
	if float64(b.retries) >= initialRetries+retryRatio*float64(b.calls) {
		return false
	}
	b.retries++
	return true
}
