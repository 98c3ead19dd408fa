package program

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

const (
	stepSubmit = "submit call"
	// defaultMaxTurns bounds the turns of a program whose agent sets no limit.
	defaultMaxTurns = 280
)

// callHash identifies the content of a call. Stream and Seq are left out: they only affect delivery and order.
func callHash(c api.Call) uint64 {
	c.Stream, c.Seq = false, 0
	b, err := msgpack.Marshal(&c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func (r *reduction) handleCallSubmitted(e CallSubmitted) {
	p, ferr := r.findProgram(e.Program, stepSubmit)
	if ferr != nil {
		r.replyError(e.Waiter, ferr)
		return
	}
	hash := callHash(e.Call)
	if c, ok := p.findCall(e.Call.Key); ok {
		r.handleRepeatedKey(p, c, hash, e)
		return
	}
	if ferr := r.checkSubmission(p, e.Call); ferr != nil {
		r.replyError(e.Waiter, ferr)
		return
	}
	c := &call{request: e.Call, hash: hash, state: callWaiting, waitingSince: r.now, trace: e.Trace}
	p.pendingCalls[e.Call.Key] = c
	p.waiting = append(p.waiting, c)
	r.programsWithWaiting[p.id] = struct{}{}
	p.lastActiveAt = r.now
	r.addWaiter(p, c, e.Waiter, e.Call.Stream)
	r.startNext(p)
}

// handleRepeatedKey replies to a repeated key with the answer of its call, at once or when the call finishes.
// Another call under the same key is refused.
func (r *reduction) handleRepeatedKey(p *program, c *call, hash uint64, e CallSubmitted) {
	if c.hash != hash {
		r.replyError(e.Waiter, fault.New(fault.CodeKeyReused, stepSubmit, "key %q was used for another call of this program", e.Call.Key))
		return
	}
	if c.state == callFinished {
		r.replyAnswer(p, c, e.Waiter)
		return
	}
	r.addWaiter(p, c, e.Waiter, e.Call.Stream)
}

func (r *reduction) addWaiter(p *program, c *call, waiter WaiterID, stream bool) {
	if waiter == 0 {
		return
	}
	c.waiters = append(c.waiters, waiter)
	r.callsByWaiter[waiter] = c
	if stream {
		r.emit(AttachStream{Waiter: waiter, Program: p.id, Key: c.request.Key})
	}
}

// checkSubmission checks a new call against the program's state and limits.
func (r *reduction) checkSubmission(p *program, c api.Call) *fault.Error {
	if p.state != StateOpen {
		return fault.New(fault.CodeProgramEnded, stepSubmit, "program %s is %s", p.id, p.state)
	}
	if ferr := r.checkCallAllowed(p, c); ferr != nil {
		return ferr
	}
	if n := p.nextSeq(); c.Seq != 0 && c.Seq < n {
		return fault.New(fault.CodeOutOfOrder, stepSubmit, "call %q has seq %d, which an earlier call used; the next seq is %d", c.Key, c.Seq, n)
	}
	if len(p.waiting) >= r.limits.MaxQueuedCalls {
		return fault.New(fault.CodeLimitExceeded, stepSubmit, "program %s has %d waiting calls; %d are allowed", p.id, len(p.waiting), r.limits.MaxQueuedCalls).WithRetryAfter(r.limits.OrderTimeout)
	}
	if limit := r.agentConfig(p).MaxTurns; len(p.turns)+len(p.unfinishedCalls()) >= limit {
		return fault.New(fault.CodeTurnLimit, stepSubmit, "program %s has reached its limit of %d turns", p.id, limit)
	}
	if r.storeDown && r.uncommittedBytes >= r.limits.MaxUncommittedBytes {
		return errStoreDown(stepSubmit)
	}
	if r.storeDown && !r.idempotent(p, c) {
		return errStoreDown(stepSubmit)
	}
	return nil
}

// checkCallAllowed checks the call against the configuration in force.
func (r *reduction) checkCallAllowed(p *program, c api.Call) *fault.Error {
	agent := r.agentConfig(p)
	invalid := func(format string, args ...any) *fault.Error {
		return fault.New(fault.CodeInvalidRequest, stepSubmit, format, args...)
	}
	switch c.Kind {
	case api.CallModel:
		return nil
	case api.CallTool:
		if r.config.Objects.Tools[c.Tool.Name] == nil || !slices.Contains(agent.Tools, c.Tool.Name) {
			return invalid("agent %q may not call tool %q", p.header.Agent, c.Tool.Name)
		}
	case api.CallService:
		if r.config.Objects.Services[c.Service.Name] == nil || !slices.Contains(agent.Services, c.Service.Name) {
			return invalid("agent %q may not call service %q", p.header.Agent, c.Service.Name)
		}
	case api.CallAgent:
		if r.config.Objects.Agents[c.Agent.Name] == nil || !slices.Contains(agent.Agents, c.Agent.Name) {
			return invalid("agent %q may not call agent %q", p.header.Agent, c.Agent.Name)
		}
	default:
		return invalid("kind %q is not one of model, tool, service, agent", c.Kind)
	}
	return nil
}

// agentConfig returns the configuration of the program's agent with defaults. For a deleted agent it returns only
// the defaults, so that its programs can still be ended.
func (r *reduction) agentConfig(p *program) config.Agent {
	var a config.Agent
	if found := r.config.Objects.Agents[p.header.Agent]; found != nil {
		a = *found
	}
	if a.MaxTurns == 0 {
		a.MaxTurns = defaultMaxTurns
	}
	return a
}

func (r *reduction) findProgram(id ids.Program, step string) (*program, *fault.Error) {
	if p, ok := r.programs[id]; ok {
		return p, nil
	}
	return nil, fault.New(fault.CodeNotFound, step, "program %q does not exist at this host", id)
}

// nextSeq returns the sequence number of the next turn, from 1.
func (p *program) nextSeq() int { return len(p.turns) + 1 }

// startNext starts the first waiting call that has the next sequence number or none.
func (r *reduction) startNext(p *program) {
	if p.current != nil || p.state != StateOpen {
		return
	}
	next := p.nextSeq()
	for i, c := range p.waiting {
		if c.request.Seq == 0 || c.request.Seq == next {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			p.current = c
			r.programsWithCurrent[p.id] = struct{}{}
			r.reserveBudget(p, c)
			return
		}
	}
}

// continueReserved continues a call whose reservation is durable.
func (r *reduction) continueReserved(p *program, c *call) {
	switch c.request.Kind {
	case api.CallModel, api.CallService:
		r.enqueue(p, c)
	case api.CallAgent:
		r.openChild(p, c)
	default:
		r.newAttempt(p, c)
		r.commitIntentOrDispatch(p, c)
	}
}

func (r *reduction) handleGranted(e Granted) {
	p, c := r.findAwaitingGrant(e.Call)
	if c == nil {
		r.rejectGrant(e)
		return
	}
	c.worker, c.priority = e.Worker, e.Priority
	r.commitIntentOrDispatch(p, c)
}

// rejectGrant returns the worker of a grant that no call waits for. A duplicate of the grant in use is ignored.
func (r *reduction) rejectGrant(e Granted) {
	if p, ok := r.programs[e.Call.Program]; ok {
		if c := p.current; c != nil && c.attemptID == e.Call && c.worker == e.Worker {
			return
		}
	}
	r.emit(finishUnusedGrant(e))
}

// findAwaitingGrant returns the call and its program if this attempt waits for a grant, else nil.
func (r *reduction) findAwaitingGrant(id sched.CallID) (*program, *call) {
	p, ok := r.programs[id.Program]
	if !ok || p.current == nil {
		return nil, nil
	}
	c := p.current
	if c.attemptID != id || c.state != callScheduling {
		return nil, nil
	}
	return p, c
}

func (r *reduction) handleRefused(e Refused) {
	p, c := r.findAwaitingGrant(e.Call)
	if c == nil {
		return
	}
	ferr := fault.New(fault.CodeOverloaded, "schedule", "%s", e.Reason)
	if e.Reason == sched.ReasonQuarantined {
		ferr = fault.New(fault.CodeBackendFailed, "schedule", "call %q is refused: backend servers ended when they ran the same request", c.request.Key)
	}
	ferr.RetryAfterMS = e.RetryAfterMS
	r.failNotRun(p, c, ferr)
}

// commitIntentOrDispatch commits the intent of a non-idempotent call; other calls are dispatched at once.
func (r *reduction) commitIntentOrDispatch(p *program, c *call) {
	if r.idempotent(p, c.request) || c.intentDurable {
		r.dispatch(p, c)
		return
	}
	if r.storeDown {
		r.failNotRun(p, c, errStoreDown("commit intent"))
		return
	}
	c.state = callCommittingIntent
	r.applyAndCommit(pendingCommit{action: actionDispatch, program: p.id, key: c.request.Key, attempt: c.attemptID.Attempt},
		Record{Op: OpIntent, Program: p.id, Key: c.request.Key, Hash: c.hash, Call: &c.request})
}

// failNotRun refuses a call that has had no effect: its key and its sequence number may be used again. A call with
// interrupted dispatches may have had an effect: it is recorded as outcome unknown and charged for them.
func (r *reduction) failNotRun(p *program, c *call, ferr *fault.Error) {
	if c.interruptions > 0 {
		r.releaseWorker(p, c)
		r.recordUnknown(p, c, ferr)
		return
	}
	if _, ok := p.openIntents[c.request.Key]; ok {
		r.applyAndCommit(pendingCommit{program: p.id, key: c.request.Key}, Record{Op: OpIntentAborted, Program: p.id, Key: c.request.Key})
	}
	r.releaseWorker(p, c)
	delete(p.pendingCalls, c.request.Key)
	for _, w := range c.waiters {
		r.replyError(w, ferr)
	}
	r.removeAndStartNext(p, c)
	if p.header.ParentKey != "" && p.state == StateOpen {
		r.failChild(p, ferr)
	}
}

// removeAndStartNext removes the call from the current and waiting calls and starts the next one.
func (r *reduction) removeAndStartNext(p *program, c *call) {
	for _, w := range c.waiters {
		delete(r.callsByWaiter, w)
	}
	c.waiters = nil
	p.waiting = slices.DeleteFunc(p.waiting, func(o *call) bool { return o == c })
	if p.current == c {
		p.current = nil
		delete(r.programsWithCurrent, p.id)
	}
	for _, o := range p.waiting {
		o.waitingSince = r.now
	}
	r.startNext(p)
}

// recordTurn records the turn of a call. The callers are answered when it is durable, or at once during an outage
// of the store.
func (r *reduction) recordTurn(p *program, c *call, ferr *fault.Error) {
	c.state = callCommittingTurn
	c.turn.Seq, c.turn.Key, c.turn.Kind = p.nextSeq(), c.request.Key, c.request.Kind
	c.turn.Request, c.turn.Error, c.turn.Worker = requestText(c.request), ferr, c.worker
	turn := c.turn
	p.lastActiveAt = r.now
	p.lastTool = ""
	if c.request.Kind == api.CallTool {
		p.lastTool = c.request.Tool.Name
	}
	r.applyAndCommit(pendingCommit{action: actionFinishCall, program: p.id, key: c.request.Key},
		Record{Op: OpTurn, Program: p.id, Key: c.request.Key, Hash: c.hash, Turn: &turn, StatusCode: c.statusCode, Tokens: turn.Usage.CostTokens})
	if r.storeDown {
		r.finishCall(p, c)
	}
}

// finishCall answers the callers of a completed call and starts the program's next call.
func (r *reduction) finishCall(p *program, c *call) {
	c.state = callFinished
	for _, w := range c.waiters {
		r.replyAnswer(p, c, w)
	}
	r.removeAndStartNext(p, c)
	if p.header.ParentKey != "" && p.current == nil {
		r.finishChild(p, c)
	}
}

// replyAnswer replies with the state of a call and, once it is finished, its answer.
func (r *reduction) replyAnswer(p *program, c *call, waiter WaiterID) {
	if waiter == 0 {
		return
	}
	r.emit(Reply{Waiter: waiter, Answer: p.callAnswer(c)})
}

func (p *program) callAnswer(c *call) *api.CallAnswer {
	answer := &api.CallAnswer{
		Program: p.id, Key: c.request.Key, Seq: c.turn.Seq, Text: c.turn.Answer, Usage: c.turn.Usage,
		Durable: c.durable, Error: c.turn.Error, Status: c.statusCode, Worker: c.turn.Worker,
	}
	switch {
	case c.state == callWaiting:
		answer.State, answer.Seq = AnswerQueued, c.request.Seq
	case c.state != callFinished:
		answer.State, answer.Seq = AnswerRunning, p.nextSeq()
	case c.turn.Error == nil:
		answer.State = AnswerDone
	case c.turn.Error.Outcome == fault.OutcomeUnknown:
		answer.State = AnswerUnknown
	default:
		answer.State = AnswerFailed
	}
	return answer
}

// requestText returns the text of a request for the history and later prompts.
func requestText(c api.Call) string {
	switch c.Kind {
	case api.CallModel:
		return c.Model.Prompt
	case api.CallTool:
		return c.Tool.Name + " " + string(c.Tool.Args)
	case api.CallService:
		return c.Service.Method + " " + c.Service.Name + c.Service.Path + " " + string(c.Service.Body)
	default:
		return c.Agent.Name + " " + c.Agent.Prompt
	}
}

func (r *reduction) handleWaiterGone(e WaiterGone) {
	if c, ok := r.callsByWaiter[e.Waiter]; ok {
		c.waiters = slices.DeleteFunc(c.waiters, func(w WaiterID) bool { return w == e.Waiter })
		delete(r.callsByWaiter, e.Waiter)
	}
}
