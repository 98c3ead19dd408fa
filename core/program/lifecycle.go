package program

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

const (
	stepOpen = "open program"
	// sweepEvery is how often all programs are looked at; a sweep of 20,000 programs sorts their IDs.
	sweepEvery = 10 * time.Second
	// maxDeadline bounds deadline_ms, whose sum with the time of day must not overflow.
	maxDeadline = 366 * 24 * time.Hour
)

// groupIn returns the group of a pool that serves the program. Programs are spread by hash and stay in
// their group, where their cached prefix is.
func (s *State) groupIn(pool string, p *program) string { return s.groupFor(pool, p.id) }

func (s *State) groupFor(pool string, id ids.Program) string {
	n := max(s.groups[pool], 1)
	return pool + "/" + itoa(int(xxhash.Sum64String(string(id))%uint64(n)))
}

func (r *reduction) openRequested(e OpenRequested) {
	agent, ferr := r.checkOpen(e.Request)
	if ferr != nil {
		r.fail(e.Waiter, ferr)
		return
	}
	var deadline clock.Millis
	if e.Request.DeadlineMS > 0 {
		deadline = r.at + clock.Millis(e.Request.DeadlineMS)
	}
	id, records := r.opening(e.Request, agent, "", deadline)
	r.write(pendingCommit{next: stepOpened, program: id, waiter: e.Waiter}, records...)
}

func (r *reduction) checkOpen(q api.OpenProgram) (*config.Agent, *fault.Error) {
	if r.deposed || r.draining {
		return nil, fault.New(fault.CodeDraining, stepOpen, "the host is shutting down; use another host")
	}
	if r.storeDown {
		return nil, errStoreDown(stepOpen)
	}
	team := r.config.Objects.Teams[q.Team]
	if team == nil {
		return nil, fault.New(fault.CodeInvalid, stepOpen, "team %q does not exist", q.Team)
	}
	agent := r.config.Objects.Agents[q.Agent]
	if agent == nil {
		return nil, fault.New(fault.CodeInvalid, stepOpen, "agent %q does not exist", q.Agent)
	}
	if q.BudgetTokens <= 0 || q.BudgetTokens > team.MaxBudgetTokens {
		return nil, fault.New(fault.CodeInvalid, stepOpen, "budget_tokens is %d; team %q allows 1 to %d", q.BudgetTokens, q.Team, team.MaxBudgetTokens)
	}
	if q.DeadlineMS < 0 || q.DeadlineMS > maxDeadline.Milliseconds() {
		return nil, fault.New(fault.CodeInvalid, stepOpen, "deadline_ms is %d; 0 to %d is allowed", q.DeadlineMS, maxDeadline.Milliseconds())
	}
	if r.open[q.Team] >= team.MaxOpenPrograms {
		return nil, fault.New(fault.CodeLimit, stepOpen, "team %q has %d programs open at this host", q.Team, r.open[q.Team]).RetryAfter(r.limits.OrderWait)
	}
	if q.Parent == "" {
		return agent, nil
	}
	return agent, r.checkParent(q)
}

func (r *reduction) checkParent(q api.OpenProgram) *fault.Error {
	parent, ferr := r.find(q.Parent, stepOpen)
	if ferr != nil {
		return ferr
	}
	if parent.state != StateOpen {
		return fault.New(fault.CodeProgramEnded, stepOpen, "parent %s is %s", parent.id, parent.state)
	}
	if q.BudgetTokens > parent.left() {
		return errBudget(q.BudgetTokens, parent.left())
	}
	return nil
}

// opening returns the records of a new program; a child's budget is taken from its parent in the same commit.
func (r *reduction) opening(q api.OpenProgram, agent *config.Agent, parentKey string, deadline clock.Millis) (ids.Program, []Record) {
	id := ids.NewProgram(r.self, r.next+1)
	records := []Record{{Op: OpOpened, Program: id, Header: &Header{
		Team: q.Team, Agent: q.Agent, Class: agent.Class, Group: r.groupFor(agent.Pool, id), Parent: q.Parent,
		ParentKey: parentKey, Budget: q.BudgetTokens, OpenedAt: r.at, DeadlineAt: deadline,
	}}}
	if q.Parent != "" {
		records = append(records, Record{Op: OpCharged, Program: q.Parent, Tokens: q.BudgetTokens})
	}
	return id, records
}

// openChild opens the child program of an agent call and submits its one model call when the child and
// the parent's intent are durable.
func (r *reduction) openChild(p *program, c *call) {
	q := c.request.Agent
	agent := r.config.Objects.Agents[q.Name]
	if agent == nil {
		r.notRun(p, c, fault.New(fault.CodeInvalid, stepOpen, "agent %q was deleted", q.Name))
		return
	}
	if r.storeDown {
		r.notRun(p, c, errStoreDown(stepOpen))
		return
	}
	id, records := r.opening(api.OpenProgram{
		Team: p.header.Team, Agent: q.Name, BudgetTokens: q.BudgetTokens, Parent: p.id,
	}, agent, c.request.Key, p.header.DeadlineAt)
	records = append(records, Record{Op: OpIntent, Program: p.id, Key: c.request.Key, Hash: c.hash, Call: &c.request})
	r.write(pendingCommit{program: p.id, key: c.request.Key}, records...)
	c.state = callChild
	r.callSubmitted(CallSubmitted{Program: id, Trace: c.trace, Call: api.Call{
		Key: c.request.Key, Kind: api.CallModel, Model: &api.ModelCall{Prompt: q.Prompt},
	}})
	// The child refused its call, for example because the budget is too small for the prompt.
	if child := r.programs[id]; child.running == nil && len(child.turns) == 0 {
		r.childFailed(child, fault.New(fault.CodeBudgetExceeded, "call agent", "the child's budget of %d tokens does not cover its prompt", q.BudgetTokens))
	}
}

// childDone ends the child of an agent call and completes the parent's call with the child's answer.
func (r *reduction) childDone(child *program, c *call) {
	usage, ferr := child.usage, c.turn.Error
	r.end(child, StateEnded, 0)
	p, pc := r.parentCall(child)
	if pc == nil {
		return
	}
	pc.turn.Answer, pc.turn.Usage = c.turn.Answer, usage
	// The child's budget has paid for it.
	pc.turn.Usage.CostTokens = 0
	r.complete(p, pc, ferr)
}

// childFailed turns a refusal of the child's call into a refusal of the parent's call.
func (r *reduction) childFailed(child *program, ferr *fault.Error) {
	r.end(child, StateCanceled, 0)
	if p, pc := r.parentCall(child); pc != nil {
		r.notRun(p, pc, ferr)
	}
}

func (r *reduction) parentCall(child *program) (*program, *call) {
	p, ok := r.programs[child.header.Parent]
	if !ok || p.running == nil || p.running.state != callChild || p.running.request.Key != child.header.ParentKey {
		return nil, nil
	}
	return p, p.running
}

func (r *reduction) endRequested(e EndRequested) {
	p, ferr := r.find(e.Program, "end program")
	if ferr != nil {
		r.fail(e.Waiter, ferr)
		return
	}
	if p.state != StateOpen {
		r.replyStatus(e.Waiter, p.id)
		return
	}
	if !e.Cancel && len(p.liveCalls()) > 0 {
		r.fail(e.Waiter, fault.New(fault.CodeOutOfOrder, "end program", "%d calls of the program are under way", len(p.liveCalls())))
		return
	}
	state := StateEnded
	if e.Cancel {
		state = StateCanceled
	}
	r.end(p, state, e.Waiter)
}

// end ends a program and its children, settles its calls and releases its cache.
func (r *reduction) end(p *program, state string, w WaiterID) {
	if p.state != StateOpen {
		return
	}
	for _, id := range slices.Clone(r.children[p.id]) {
		if child, ok := r.programs[id]; ok {
			r.end(child, StateCanceled, 0)
		}
	}
	r.abandonCalls(p)
	records := []Record{{Op: OpEnded, Program: p.id, State: state, At: r.at, Workers: slices.Clone(p.workers)}}
	if parent, ok := r.programs[p.header.Parent]; ok && parent.state == StateOpen {
		records = append(records, Record{Op: OpCharged, Program: parent.id, Tokens: -(p.header.Budget - p.spent)})
	}
	r.write(pendingCommit{next: stepEnded, program: p.id, waiter: w}, records...)
	r.emit(NotifyEnded{Request: sched.ProgramEnded{Program: p.id, Group: p.header.Group, Agent: p.header.Agent, Turns: len(p.turns)}})
	r.releaseAll(p)
}

// abandonCalls settles the calls of a program that is canceled: those that wait did not run, the one in
// flight is recorded as unknown.
func (r *reduction) abandonCalls(p *program) {
	canceled := fault.New(fault.CodeCanceled, "cancel program", "the program was canceled")
	for _, c := range slices.Clone(p.waiting) {
		delete(p.calls, c.request.Key)
		for _, w := range c.waiters {
			r.fail(w, canceled)
			delete(r.callOf, w)
		}
	}
	p.waiting = nil
	c := p.running
	if c == nil {
		return
	}
	switch c.state {
	case callDispatched, callChild:
		r.emit(CancelDispatch{Call: c.id, Worker: c.worker})
		if c.worker != "" {
			r.emit(finishUnused(Granted{Call: c.id, Group: r.group(p, c), Worker: c.worker}))
		}
		c.turn.Answer = c.text
		if c.request.Kind == api.CallModel {
			c.turn.Usage.CostTokens = p.chunk // what the engine spent on it is not known
		}
		r.complete(p, c, canceled.With(fault.Unknown))
	case callCommitting:
	default:
		r.notRun(p, c, canceled)
	}
}

func (r *reduction) releaseAll(p *program) {
	for _, w := range p.releases {
		r.emit(ReleaseCache{Program: p.id, Group: p.header.Group, Worker: w})
	}
}

func (r *reduction) cacheReleased(e CacheReleased) {
	p, ok := r.programs[e.Program]
	if !ok || !slices.Contains(p.releases, e.Worker) {
		return
	}
	r.write(pendingCommit{}, Record{Op: OpReleased, Program: p.id, Workers: []string{e.Worker}})
}

// ticked refuses calls that waited too long for the calls before them, ends idle programs and forgets
// ended ones whose retention has passed.
func (r *reduction) ticked() {
	for _, id := range slices.Sorted(maps.Keys(r.queued)) {
		p, ok := r.programs[id]
		if !ok || len(p.waiting) == 0 {
			delete(r.queued, id)
			continue
		}
		r.refuseEarly(p)
	}
	if r.at.Sub(r.sweptAt) < sweepEvery {
		return
	}
	r.sweptAt = r.at
	for _, p := range r.sorted() {
		if p.state != StateOpen {
			if r.at.Sub(p.ended) >= r.limits.Retention && len(p.releases) == 0 {
				r.write(pendingCommit{}, Record{Op: OpForgotten, Program: p.id})
			}
			continue
		}
		idle := len(p.liveCalls()) == 0 && r.at.Sub(p.active) >= r.limits.IdleTimeout
		if idle && !r.storeDown && !r.hasOpenChild(p) {
			r.end(p, StateEnded, 0)
		}
	}
}

func (r *reduction) hasOpenChild(p *program) bool {
	return slices.ContainsFunc(r.children[p.id], func(id ids.Program) bool {
		c, ok := r.programs[id]
		return ok && c.state == StateOpen
	})
}

func (r *reduction) refuseEarly(p *program) {
	if p.running != nil {
		for _, c := range p.waiting {
			c.since = r.at
		}
		return
	}
	for _, c := range slices.Clone(p.waiting) {
		if r.at.Sub(c.since) >= r.limits.OrderWait {
			r.notRun(p, c, fault.New(fault.CodeOutOfOrder, "order calls", "seq %d came before seq %d", c.request.Seq, p.nextSeq()).RetryAfter(r.limits.OrderWait))
		}
	}
}
