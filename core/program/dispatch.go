package program

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

const (
	// maxAttempts bounds the dispatches of one call, refusals by servers included.
	maxAttempts = 8
	// maxInterruptions bounds the dispatches of a repeatable call that broke.
	maxInterruptions = 4
)

// groupOfCall returns the worker group that serves the call.
func (r *reduction) groupOfCall(p *program, c *call) string {
	if c.request.Kind == api.CallService {
		return r.groupOfProgram(r.config.Objects.Services[c.request.Service.Name].Pool, p)
	}
	return p.header.Group
}

// idempotent says whether the call may be sent again when its answer is lost.
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

// enqueue asks the group's scheduler for a worker, as a new attempt.
func (r *reduction) enqueue(p *program, c *call) {
	c.state = callScheduling
	r.newAttempt(p, c)
	c.worker = ""
	r.countCall(poolOf(r.groupOfCall(p, c)))
	r.emit(Enqueue{Request: r.enqueueRequest(p, c), Trace: c.trace})
}

func (r *reduction) enqueueRequest(p *program, c *call) sched.Enqueued {
	e := sched.Enqueued{
		Call: c.attemptID, Group: r.groupOfCall(p, c), Home: r.journal, Agent: p.header.Agent, Class: p.header.Class,
		Turns: len(p.turns), AttainedTokens: p.spentTokens, AgeMS: int64(r.now - p.header.OpenedAt),
		PausedMS: int64(r.now - p.lastActiveAt), PauseTool: p.lastTool, AvoidWorkers: slices.Clone(c.avoidWorkers), RunningOn: c.worker,
		RootProgram: r.root(p),
	}
	if p.header.DeadlineAt != 0 {
		e.TimeLeftMS = max(int64(p.header.DeadlineAt-r.now), 1)
	}
	if c.request.Kind == api.CallModel {
		e.PromptTokens = p.contextTokens + int64(len(strings.Fields(c.request.Model.Prompt)))
		e.MaxTokens = int64(c.maxTokens)
		e.ServedBy = slices.Clone(p.workers)
	}
	return e
}

// root returns the program at the top of a child's ancestors, or "" for a program that a caller opened by
// itself. The scheduler admits children with the program that they work for.
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
	d := Dispatch{
		Call: c.attemptID, Kind: c.request.Kind, Worker: c.worker, Priority: c.priority, ResumeText: c.partialText, Trace: c.trace,
		Idempotent: r.idempotent(p, c.request), Group: r.groupOfCall(p, c),
	}
	switch c.request.Kind {
	case api.CallModel:
		p.recordWorker(c.worker)
		if pool := r.config.Objects.Pools[poolOf(p.header.Group)]; pool != nil {
			d.Model = pool.Model
		}
		d.Messages, d.MaxTokens = r.chatMessages(p, c), c.maxTokens
	case api.CallTool:
		t := r.config.Objects.Tools[c.request.Tool.Name]
		if t == nil {
			r.failNotRun(p, c, fault.New(fault.CodeInvalid, "dispatch", "tool %q was deleted", c.request.Tool.Name))
			return
		}
		d.Name, d.Address, d.Body, d.TimeLimitMS = c.request.Tool.Name, t.Address, c.request.Tool.Args, int64(t.TimeLimitMS)
	case api.CallService:
		s := r.config.Objects.Services[c.request.Service.Name]
		if s != nil {
			d.TimeLimitMS = int64(s.TimeLimitMS)
		}
		q := c.request.Service
		d.Name, d.Method, d.Path, d.Body = q.Name, q.Method, q.Path, q.Body
	}
	r.emit(d)
}

// chatMessages returns the whole prompt: the system prompt, the history, and the new message. Results of tools,
// services and agents stand in the history as messages of the user.
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
	// An engine that counts more tokens than were reserved is not paid for the rest.
	c.turn.Usage.CostTokens = min(c.turn.Usage.CostTokens, p.reservedTokens)
	r.recordTurn(p, c, e.Error)
}

// fixedCost is what a tool or service call costs, in tokens.
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

// dispatchNotRun goes to another worker; the refused request had no effect.
func (r *reduction) dispatchNotRun(p *program, c *call, e DispatchEnded) {
	if c.attempts < maxAttempts && r.tryConsumeRetry(poolOf(r.groupOfCall(p, c))) && c.request.Kind != api.CallTool {
		c.avoidWorkers = append(c.avoidWorkers, c.worker)
		r.enqueue(p, c)
		return
	}
	ferr := e.Error
	if ferr == nil {
		ferr = fault.New(fault.CodeBackendUnreachable, "dispatch", "the backend server refused the call")
	}
	r.failNotRun(p, c, ferr.With(fault.NotRun))
}

// dispatchInterrupted resumes or repeats the call if it may be repeated; otherwise its outcome is unknown.
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
		ferr = fault.New(fault.CodeBackendFailed, "dispatch", "the answer was cut off").At(c.worker)
	}
	r.recordUnknown(p, c, ferr)
}

// recordUnknown ends a call whose runs broke, with what is known of its answer.
func (r *reduction) recordUnknown(p *program, c *call, ferr *fault.Error) {
	c.turn.Answer = c.partialText
	c.turn.Usage.CostTokens = min(c.turn.Usage.CostTokens+r.fixedCost(c.request), p.reservedTokens)
	r.recordTurn(p, c, ferr.With(fault.Unknown))
}

// interruptedCost bounds what an engine spent on a dispatch whose usage never came.
func (r *reduction) interruptedCost(p *program, c *call, e DispatchEnded) int64 {
	if e.Usage.CostTokens > 0 {
		return 0 // counted already
	}
	// An engine generates a few more tokens before it notices that nobody reads.
	const unseenTokens = 16
	return r.promptBound(p, c.request.Model.Prompt) + e.Usage.GeneratedTokens + unseenTokens
}

// tryRetryInterrupted says whether a call that broke is sent again: it has to be repeatable, and the budget has to
// cover another run.
func (r *reduction) tryRetryInterrupted(p *program, c *call) bool {
	if !r.idempotent(p, c.request) || c.interruptions >= maxInterruptions {
		return false
	}
	worst, ferr := r.worstCaseCost(p, c)
	if ferr != nil || (r.storeDown && worst+c.turn.Usage.CostTokens > p.reservedTokens) {
		return false
	}
	return r.tryConsumeRetry(poolOf(r.groupOfCall(p, c)))
}

// releaseWorker frees the worker of a call that will not be dispatched.
func (r *reduction) releaseWorker(p *program, c *call) {
	switch {
	case c.state == callScheduling:
		r.emit(Withdraw{Request: sched.Withdrawn{Call: c.attemptID, Group: r.groupOfCall(p, c)}})
	case c.state == callCommittingIntent && c.worker != "":
		r.emit(finishUnusedGrant(Granted{Call: c.attemptID, Group: r.groupOfCall(p, c), Worker: c.worker}))
	}
}

// finishUnusedGrant gives back a worker that was granted and not used.
func finishUnusedGrant(e Granted) ReportFinished {
	return ReportFinished{Request: sched.Finished{Call: e.Call, Group: e.Group, Worker: e.Worker, Failed: true}}
}

// handleSchedulerChanged enqueues the waiting calls again and reports those in flight.
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
