package program

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

const (
	// maxAttempts bounds the attempts of one call, including those that servers refused.
	maxAttempts = 8
	// maxInterruptions bounds the interrupted dispatches of an idempotent call.
	maxInterruptions = 4
)

// groupOfCall returns the worker group that serves the call.
func (r *reduction) groupOfCall(p *program, c *call) string {
	if c.request.Kind == api.CallService {
		// A service that was deleted has no group; the call fails before it is scheduled.
		if service := r.config.Objects.Services[c.request.Service.Name]; service != nil {
			return r.groupOfProgram(service.Pool, p)
		}
	}
	return p.header.Group
}

// idempotent reports whether the call may be sent again when its answer is lost.
func (r *reduction) idempotent(p *program, c api.Call) bool {
	switch c.Kind {
	case api.CallModel:
		return true
	case api.CallTool:
		t := r.config.Objects.Tools[c.Tool.Name]
		return t != nil && t.Idempotent
	case api.CallService:
		s := r.config.Objects.Services[c.Service.Name]
		if c.Service.Method == http.MethodGet {
			return true
		}
		return s != nil && slices.ContainsFunc(s.IdempotentPaths, func(prefix string) bool { return strings.HasPrefix(c.Service.Path, prefix) })
	default:
		return false
	}
}

// enqueue requests a worker for a new attempt from the group's scheduler.
func (r *reduction) enqueue(p *program, c *call) {
	c.state = callScheduling
	r.newAttempt(p, c)
	c.worker = ""
	r.countCall(poolOf(r.groupOfCall(p, c)))
	r.emit(Enqueue{Request: r.enqueueRequest(p, c), Trace: c.trace})
}

func (r *reduction) enqueueRequest(p *program, c *call) sched.Enqueued {
	request := sched.Enqueued{
		Call: c.attemptID, Group: r.groupOfCall(p, c), Home: r.journal, Agent: p.header.Agent, Class: p.header.Class,
		Turns: len(p.turns), AttainedTokens: p.spentTokens, AgeMS: int64(r.now - p.header.OpenedAt),
		PausedMS: int64(r.now - p.lastActiveAt), PauseTool: p.lastTool, AvoidWorkers: slices.Clone(c.avoidWorkers), RunningOn: c.worker,
		RootProgram: r.root(p), Fingerprints: r.fingerprints(p, c),
	}
	if p.header.DeadlineAt != 0 {
		request.TimeLeftMS = max(int64(p.header.DeadlineAt-r.now), 1)
	}
	if c.request.Kind == api.CallModel {
		request.PromptTokens = p.contextTokens + int64(len(strings.Fields(c.request.Model.Prompt)))
		request.MaxTokens = int64(c.maxTokens)
		request.ServedBy = slices.Clone(p.workers)
	}
	return request
}

// fingerprints identifies the call by its team, its kind and what a server gets to see of it, so that it is the same from
// whichever program it comes.
func (r *reduction) fingerprints(p *program, c *call) poison.Chain {
	if c.fingerprints == nil {
		c.fingerprints = r.newFingerprints(p, c)
	}
	return c.fingerprints
}

func (r *reduction) newFingerprints(p *program, c *call) poison.Chain {
	parts := []string{p.header.Team, string(c.request.Kind)}
	if c.request.Kind == api.CallService {
		s := c.request.Service
		return poison.NewChain(append(parts, s.Name, s.Method, s.Path), s.Body)
	}
	var prompt []byte
	for _, m := range r.chatMessages(p, c) {
		prompt = append(append(append(append(prompt, m.Role...), ' '), m.Content...), '\n')
	}
	return poison.NewChain(parts, prompt)
}

// root returns the topmost ancestor of a child program, or "" for a program without a parent. The scheduler admits
// children together with their root program.
func (r *reduction) root(p *program) ids.Program {
	var root ids.Program
	for p.header.Parent != "" {
		root = p.header.Parent
		parent, ok := r.programs[root]
		if !ok {
			break
		}
		p = parent
	}
	return root
}

// dispatch sends the call to its backend server.
func (r *reduction) dispatch(p *program, c *call) {
	c.state = callDispatched
	dispatch := Dispatch{
		Call: c.attemptID, Kind: c.request.Kind, Worker: c.worker, Priority: c.priority, ResumeText: c.partialText, Trace: c.trace,
		Idempotent: r.idempotent(p, c.request), Group: r.groupOfCall(p, c),
	}
	switch c.request.Kind {
	case api.CallModel:
		p.recordWorker(c.worker)
		if pool := r.config.Objects.Pools[poolOf(p.header.Group)]; pool != nil {
			dispatch.Model = pool.Model
		}
		dispatch.Messages, dispatch.MaxTokens = r.chatMessages(p, c), c.maxTokens
	case api.CallTool:
		tool := r.config.Objects.Tools[c.request.Tool.Name]
		if tool == nil {
			r.failNotRun(p, c, fault.New(fault.CodeInvalidRequest, "dispatch", "tool %q was deleted", c.request.Tool.Name))
			return
		}
		dispatch.Name, dispatch.Address, dispatch.Body, dispatch.TimeLimitMS = c.request.Tool.Name, tool.Address, c.request.Tool.Args, int64(tool.TimeLimitMS)
	case api.CallService:
		service := r.config.Objects.Services[c.request.Service.Name]
		if service != nil {
			dispatch.TimeLimitMS = int64(service.TimeLimitMS)
		}
		request := c.request.Service
		dispatch.Name, dispatch.Method, dispatch.Path, dispatch.Body = request.Name, request.Method, request.Path, request.Body
	}
	r.emit(dispatch)
}

// chatMessages returns the whole prompt: the system prompt, the turns without an error, and the new message. Calls of
// tools, services and agents are user messages.
func (r *reduction) chatMessages(p *program, c *call) []ChatMessage {
	var out []ChatMessage
	if sys := r.agentConfig(p).SystemPrompt; sys != "" {
		out = append(out, ChatMessage{Role: "system", Content: sys})
	}
	for i := range p.turns {
		t := &p.turns[i]
		if t.Error != nil {
			continue
		}
		if t.Kind == api.CallModel {
			out = append(out, ChatMessage{Role: "user", Content: t.Request}, ChatMessage{Role: "assistant", Content: t.Answer})
			continue
		}
		out = append(out, ChatMessage{Role: "user", Content: string(t.Kind) + " " + t.Request + "\n" + t.Answer})
	}
	return append(out, ChatMessage{Role: "user", Content: c.request.Model.Prompt})
}

func (r *reduction) handleDispatchEnded(e DispatchEnded) {
	p, ok := r.programs[e.Call.Program]
	if !ok || p.current == nil || p.current.attemptID != e.Call || p.current.state != callDispatched {
		return // the call was canceled, or this is the late end of an earlier attempt
	}
	c := p.current
	c.turn.Usage = mergeUsage(c.turn.Usage, e.Usage)
	if c.worker != "" {
		r.emit(ReportFinished{Request: sched.Finished{
			Call: e.Call, Group: r.groupOfCall(p, c), Worker: c.worker, PromptTokens: e.Usage.PromptTokens,
			CachedTokens: e.Usage.CachedTokens, GeneratedTokens: e.Usage.GeneratedTokens, Failed: e.Result != ResultCompleted,
			WorkerEnded: e.WorkerEnded, Began: e.Began,
		}})
	}
	switch e.Result {
	case ResultCompleted:
		r.dispatchCompleted(p, c, e)
	case ResultNotRun:
		r.dispatchNotRun(p, c, e)
	default:
		r.dispatchInterrupted(p, c, e)
	}
}

func mergeUsage(a, b api.Usage) api.Usage {
	a.PromptTokens = max(a.PromptTokens, b.PromptTokens)
	a.CachedTokens = max(a.CachedTokens, b.CachedTokens)
	a.GeneratedTokens += b.GeneratedTokens
	a.CostTokens += b.CostTokens
	return a
}

func (r *reduction) dispatchCompleted(p *program, c *call, e DispatchEnded) {
	c.turn.Answer, c.statusCode = e.Text, e.StatusCode
	c.turn.Usage.CostTokens += r.fixedCost(c.request)
	// Tokens that the engine counted beyond the reservation are not charged.
	c.turn.Usage.CostTokens = min(c.turn.Usage.CostTokens, p.reservedTokens)
	r.recordTurn(p, c, e.Error)
}

// fixedCost returns the configured cost of a tool or service call in tokens, and 0 for other calls.
func (r *reduction) fixedCost(c api.Call) int64 {
	switch c.Kind {
	case api.CallTool:
		if t := r.config.Objects.Tools[c.Tool.Name]; t != nil {
			return t.CostTokens
		}
	case api.CallService:
		if s := r.config.Objects.Services[c.Service.Name]; s != nil {
			return s.CostTokens
		}
	}
	return 0
}

// dispatchNotRun retries a refused request, which had no effect, at another worker. Tool calls are not retried.
func (r *reduction) dispatchNotRun(p *program, c *call, e DispatchEnded) {
	if c.attempts < maxAttempts && r.tryConsumeRetry(poolOf(r.groupOfCall(p, c))) && c.request.Kind != api.CallTool {
		c.avoidWorkers = append(c.avoidWorkers, c.worker)
		r.enqueue(p, c)
		return
	}
	ferr := e.Error
	if ferr == nil {
		ferr = fault.New(fault.CodeBackendUnreachable, "dispatch", "the backend server refused call %q", c.request.Key)
	}
	r.failNotRun(p, c, ferr.WithOutcome(fault.OutcomeNotRun))
}

// dispatchInterrupted resumes or repeats the call if that is allowed; otherwise its outcome is unknown.
func (r *reduction) dispatchInterrupted(p *program, c *call, e DispatchEnded) {
	c.partialText = e.Text
	c.interruptions++
	if c.request.Kind == api.CallModel {
		c.turn.Usage.CostTokens += r.interruptedCost(p, c, e)
	}
	if r.tryRetryInterrupted(p, c) {
		if c.worker != "" {
			c.avoidWorkers = append(c.avoidWorkers, c.worker)
		}
		r.reserveBudget(p, c)
		return
	}
	ferr := e.Error
	if ferr == nil {
		ferr = fault.New(fault.CodeBackendFailed, "dispatch", "the answer to call %q is missing or cut off", c.request.Key).WithPeer(c.worker)
	}
	r.recordUnknown(p, c, ferr)
}

// recordUnknown ends a call after interrupted dispatches as outcome unknown, with the partial answer.
func (r *reduction) recordUnknown(p *program, c *call, ferr *fault.Error) {
	c.turn.Answer = c.partialText
	c.turn.Usage.CostTokens = min(c.turn.Usage.CostTokens+r.fixedCost(c.request), p.reservedTokens)
	r.recordTurn(p, c, ferr.WithOutcome(fault.OutcomeUnknown))
}

// interruptedCost bounds the tokens that an engine spent on a dispatch, if the engine did not report its usage.
func (r *reduction) interruptedCost(p *program, c *call, e DispatchEnded) int64 {
	if e.Usage.CostTokens > 0 {
		return 0 // counted already
	}
	// An engine generates a few more tokens before it detects the closed connection.
	const tokensAfterDisconnect = 16
	return r.promptBound(p, c.request.Model.Prompt) + e.Usage.GeneratedTokens + tokensAfterDisconnect
}

// tryRetryInterrupted reports whether an interrupted call is sent again: it has to be idempotent, and the budget
// has to cover another dispatch. It consumes a retry of the pool's retry budget.
func (r *reduction) tryRetryInterrupted(p *program, c *call) bool {
	if !r.idempotent(p, c.request) || c.interruptions >= maxInterruptions {
		return false
	}
	worstCase, ferr := r.worstCaseCost(p, c)
	if ferr != nil || (r.storeDown && worstCase+c.turn.Usage.CostTokens > p.reservedTokens) {
		return false
	}
	return r.tryConsumeRetry(poolOf(r.groupOfCall(p, c)))
}

// releaseWorker withdraws a call that will not be dispatched, or returns its granted worker.
func (r *reduction) releaseWorker(p *program, c *call) {
	switch {
	case c.state == callScheduling:
		r.emit(Withdraw{Request: sched.Withdrawn{Call: c.attemptID, Group: r.groupOfCall(p, c)}})
	case c.state == callCommittingIntent && c.worker != "":
		r.emit(finishUnusedGrant(Granted{Call: c.attemptID, Group: r.groupOfCall(p, c), Worker: c.worker}))
	}
}

// finishUnusedGrant returns a worker that was granted and not used.
func finishUnusedGrant(e Granted) ReportFinished {
	return ReportFinished{Request: sched.Finished{Call: e.Call, Group: e.Group, Worker: e.Worker, Failed: true}}
}

// handleSchedulerChanged enqueues the calls that wait for a grant again and reports the granted ones.
func (r *reduction) handleSchedulerChanged(e SchedulerChanged) {
	for _, id := range slices.Sorted(maps.Keys(r.programsWithCurrent)) {
		p, ok := r.programs[id]
		if !ok || p.current == nil {
			continue
		}
		c := p.current
		if c.request.Kind == api.CallTool || c.request.Kind == api.CallAgent || e.Group != "" && r.groupOfCall(p, c) != e.Group {
			continue
		}
		switch c.state {
		case callScheduling:
			r.emit(Enqueue{Request: r.enqueueRequest(p, c), Trace: c.trace})
		case callCommittingIntent, callDispatched:
			if !e.WaitingOnly {
				r.emit(Enqueue{Request: r.enqueueRequest(p, c), Trace: c.trace})
			}
		}
	}
}
