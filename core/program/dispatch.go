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
	// maxBroken bounds the dispatches of a repeatable call that broke.
	maxBroken = 4
)

// group returns the worker group that serves the call.
func (r *reduction) group(p *program, c *call) string {
	if c.request.Kind == api.CallService {
		return r.groupIn(r.config.Objects.Services[c.request.Service.Name].Pool, p)
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
	r.countCall(poolOf(r.group(p, c)))
	r.emit(Enqueue{Request: r.enqueued(p, c), Trace: c.trace})
}

func (r *reduction) enqueued(p *program, c *call) sched.Enqueued {
	e := sched.Enqueued{
		Call: c.id, Group: r.group(p, c), Home: r.self, Agent: p.header.Agent, Class: p.header.Class,
		Turn: len(p.turns), AttainedTokens: p.spent, AgeMS: int64(r.at - p.header.OpenedAt),
		PausedMS: int64(r.at - p.active), PauseTool: p.lastTool, Avoid: slices.Clone(c.avoid), Running: c.worker,
		Root: r.root(p),
	}
	if p.header.DeadlineAt != 0 {
		e.TimeLeftMS = max(int64(p.header.DeadlineAt-r.at), 1)
	}
	if c.request.Kind == api.CallModel {
		e.PromptTokens = p.promptTokens + int64(len(strings.Fields(c.request.Model.Prompt)))
		e.MaxTokens = int64(c.maxTokens)
		e.Workers = slices.Clone(p.workers)
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
		Call: c.id, Kind: c.request.Kind, Worker: c.worker, Priority: c.priority, ResumeText: c.text, Trace: c.trace,
		Idempotent: r.idempotent(p, c.request), Group: r.group(p, c),
	}
	switch c.request.Kind {
	case api.CallModel:
		p.served(c.worker)
		if pool := r.config.Objects.Pools[poolOf(p.header.Group)]; pool != nil {
			d.Model = pool.Model
		}
		d.Messages, d.MaxTokens = r.messages(p, c), c.maxTokens
	case api.CallTool:
		t := r.config.Objects.Tools[c.request.Tool.Name]
		if t == nil {
			r.notRun(p, c, fault.New(fault.CodeInvalid, "dispatch", "tool %q was deleted", c.request.Tool.Name))
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

// messages returns the whole prompt: the system prompt, the history, and the new message. Results of tools,
// services and agents stand in the history as messages of the user.
func (r *reduction) messages(p *program, c *call) []Message {
	var out []Message
	if sys := r.agent(p).SystemPrompt; sys != "" {
		out = append(out, Message{Role: "system", Content: sys})
	}
	for i := range p.turns {
		t := &p.turns[i]
		if t.Error != nil {
			continue
		}
		if t.Kind == api.CallModel {
			out = append(out, Message{Role: "user", Content: t.Request}, Message{Role: "assistant", Content: t.Answer})
			continue
		}
		out = append(out, Message{Role: "user", Content: string(t.Kind) + " " + t.Request + "\n" + t.Answer})
	}
	return append(out, Message{Role: "user", Content: c.request.Model.Prompt})
}

func (r *reduction) dispatchEnded(e DispatchEnded) {
	p, ok := r.programs[e.Call.Program]
	if !ok || p.running == nil || p.running.id != e.Call || p.running.state != callDispatched {
		return // the call was canceled, or this is the late end of an earlier attempt
	}
	c := p.running
	c.turn.Usage = addUsage(c.turn.Usage, e.Usage)
	if c.worker != "" {
		r.emit(Finish{Request: sched.Finished{
			Call: e.Call, Group: r.group(p, c), Worker: c.worker, PromptTokens: e.Usage.PromptTokens,
			CachedTokens: e.Usage.CachedTokens, GeneratedTokens: e.Usage.GeneratedTokens, Failed: e.Result != ResultDone,
		}})
	}
	switch e.Result {
	case ResultDone:
		r.done(p, c, e)
	case ResultNotRun:
		r.dispatchRefused(p, c, e)
	default:
		r.broken(p, c, e)
	}
}

func addUsage(a, b api.Usage) api.Usage {
	a.PromptTokens = max(a.PromptTokens, b.PromptTokens)
	a.CachedTokens = max(a.CachedTokens, b.CachedTokens)
	a.GeneratedTokens += b.GeneratedTokens
	a.CostTokens += b.CostTokens
	return a
}

func (r *reduction) done(p *program, c *call, e DispatchEnded) {
	c.turn.Answer, c.status = e.Text, e.Status
	c.turn.Usage.CostTokens += r.fixedCost(c.request)
	// An engine that counts more tokens than were reserved is not paid for the rest.
	c.turn.Usage.CostTokens = min(c.turn.Usage.CostTokens, p.chunk)
	r.complete(p, c, e.Error)
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

// dispatchRefused goes to another worker; the refused request had no effect.
func (r *reduction) dispatchRefused(p *program, c *call, e DispatchEnded) {
	if c.attempt < maxAttempts && r.mayRetry(poolOf(r.group(p, c))) && c.request.Kind != api.CallTool {
		c.avoid = append(c.avoid, c.worker)
		r.enqueue(p, c)
		return
	}
	ferr := e.Error
	if ferr == nil {
		ferr = fault.New(fault.CodeBackendUnreachable, "dispatch", "the backend server refused the call")
	}
	r.notRun(p, c, ferr.With(fault.NotRun))
}

// broken resumes or repeats the call if it may be repeated; otherwise its outcome is unknown.
func (r *reduction) broken(p *program, c *call, e DispatchEnded) {
	c.text = e.Text
	c.failures++
	if c.request.Kind == api.CallModel {
		c.turn.Usage.CostTokens += r.brokenCost(p, c, e)
	}
	if r.mayRunAgain(p, c) {
		if c.worker != "" {
			c.avoid = append(c.avoid, c.worker)
		}
		r.reserve(p, c)
		return
	}
	ferr := e.Error
	if ferr == nil {
		ferr = fault.New(fault.CodeBackendFailed, "dispatch", "the answer was cut off").At(c.worker)
	}
	r.endBroken(p, c, ferr)
}

// endBroken ends a call whose runs broke, with what is known of its answer.
func (r *reduction) endBroken(p *program, c *call, ferr *fault.Error) {
	c.turn.Answer = c.text
	c.turn.Usage.CostTokens = min(c.turn.Usage.CostTokens+r.fixedCost(c.request), p.chunk)
	r.complete(p, c, ferr.With(fault.Unknown))
}

// brokenCost bounds what an engine spent on a dispatch whose usage never came.
func (r *reduction) brokenCost(p *program, c *call, e DispatchEnded) int64 {
	if e.Usage.CostTokens > 0 {
		return 0 // counted already
	}
	// An engine generates a few more tokens before it notices that nobody reads.
	const unseenTokens = 16
	return r.promptBound(p, c.request.Model.Prompt) + e.Usage.GeneratedTokens + unseenTokens
}

// mayRunAgain says whether a call that broke is sent again: it has to be repeatable, and the budget has to
// cover another run.
func (r *reduction) mayRunAgain(p *program, c *call) bool {
	if !r.idempotent(p, c.request) || c.failures >= maxBroken {
		return false
	}
	worst, ferr := r.worstCase(p, c)
	if ferr != nil || (r.storeDown && worst+c.turn.Usage.CostTokens > p.chunk) {
		return false
	}
	return r.mayRetry(poolOf(r.group(p, c)))
}

// giveBack frees the worker of a call that will not be dispatched.
func (r *reduction) giveBack(p *program, c *call) {
	switch {
	case c.state == callScheduling:
		r.emit(Withdraw{Request: sched.Withdrawn{Call: c.id, Group: r.group(p, c)}})
	case c.state == callIntent && c.worker != "":
		r.emit(finishUnused(Granted{Call: c.id, Group: r.group(p, c), Worker: c.worker}))
	}
}

// finishUnused gives back a worker that was granted and not used.
func finishUnused(e Granted) Finish {
	return Finish{Request: sched.Finished{Call: e.Call, Group: e.Group, Worker: e.Worker, Failed: true}}
}

// schedulerChanged enqueues the waiting calls again and reports those in flight.
func (r *reduction) schedulerChanged(e SchedulerChanged) {
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		p, ok := r.programs[id]
		if !ok || p.running == nil {
			continue
		}
		c := p.running
		if c.request.Kind == api.CallTool || c.request.Kind == api.CallAgent || e.Group != "" && r.group(p, c) != e.Group {
			continue
		}
		switch c.state {
		case callScheduling:
			r.emit(Enqueue{Request: r.enqueued(p, c), Trace: c.trace})
		case callIntent, callDispatched:
			if !e.WaitingOnly {
				r.emit(Enqueue{Request: r.enqueued(p, c), Trace: c.trace})
			}
		}
	}
}
