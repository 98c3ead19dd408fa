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
	// sweepInterval is how often all programs are looked at; a sweep of 20,000 programs sorts their IDs.
	sweepInterval = 10 * time.Second
	// maxDeadline bounds deadline_ms, whose sum with the time of day must not overflow.
	maxDeadline = 366 * 24 * time.Hour
)

// groupOfProgram returns the group of a pool that serves the program. Programs are spread by hash and stay in
// their group, where their cached prefix is.
func (s *State) groupOfProgram(pool string, p *program) string { return s.hashToGroup(pool, p.id) }

func (s *State) hashToGroup(pool string, id ids.Program) string {
	n := max(s.groupCounts[pool], 1)
	return pool + "/" + itoa(int(xxhash.Sum64String(string(id))%uint64(n)))
}

func (r *reduction) handleOpenRequested(e OpenRequested) {
	agent, ferr := r.checkOpen(e.Request)
	if ferr != nil {
		r.replyError(e.Waiter, ferr)
		return
	}
	var deadline clock.Millis
	if e.Request.DeadlineMS > 0 {
		deadline = r.now + clock.Millis(e.Request.DeadlineMS)
	}
	id, records := r.openRecords(e.Request, agent, "", deadline)
	r.applyAndCommit(pendingCommit{action: actionReplyOpened, program: id, waiter: e.Waiter}, records...)
}

func (r *reduction) checkOpen(q api.OpenProgram) (*config.Agent, *fault.Error) {
	if r.fenced || r.draining {
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
	if r.openByTeam[q.Team] >= team.MaxOpenPrograms {
		return nil, fault.New(fault.CodeLimit, stepOpen, "team %q has %d programs open at this host", q.Team, r.openByTeam[q.Team]).RetryAfter(r.limits.OrderTimeout)
	}
	if q.Parent == "" {
		return agent, nil
	}
	return agent, r.checkParent(q)
}

func (r *reduction) checkParent(q api.OpenProgram) *fault.Error {
	parent, ferr := r.findProgram(q.Parent, stepOpen)
	if ferr != nil {
		return ferr
	}
	if parent.state != StateOpen {
		return fault.New(fault.CodeProgramEnded, stepOpen, "parent %s is %s", parent.id, parent.state)
	}
	if q.BudgetTokens > parent.availableTokens() {
		return errBudget(q.BudgetTokens, parent.availableTokens())
	}
	return nil
}

// openRecords returns the records of a new program; a child's budget is taken from its parent in the same commit.
func (r *reduction) openRecords(q api.OpenProgram, agent *config.Agent, parentKey string, deadline clock.Millis) (ids.Program, []Record) {
	id := ids.NewProgram(r.journal, r.lastProgramSeq+1)
	records := []Record{{Op: OpOpened, Program: id, Header: &Header{
		Team: q.Team, Agent: q.Agent, Class: agent.Class, Group: r.hashToGroup(agent.Pool, id), Parent: q.Parent,
		ParentKey: parentKey, BudgetTokens: q.BudgetTokens, OpenedAt: r.now, DeadlineAt: deadline,
	}}}
	if q.Parent != "" {
		records = append(records, Record{Op: OpChildBudgetCharged, Program: q.Parent, Tokens: q.BudgetTokens})
	}
	return id, records
}

// openChild opens the child program of an agent call and submits its one model call when the child and
// the parent's intent are durable.
func (r *reduction) openChild(p *program, c *call) {
	q := c.request.Agent
	agent := r.config.Objects.Agents[q.Name]
	if agent == nil {
		r.failNotRun(p, c, fault.New(fault.CodeInvalid, stepOpen, "agent %q was deleted", q.Name))
		return
	}
	if r.storeDown {
		r.failNotRun(p, c, errStoreDown(stepOpen))
		return
	}
	id, records := r.openRecords(api.OpenProgram{
		Team: p.header.Team, Agent: q.Name, BudgetTokens: q.BudgetTokens, Parent: p.id,
	}, agent, c.request.Key, p.header.DeadlineAt)
	records = append(records, Record{Op: OpIntent, Program: p.id, Key: c.request.Key, Hash: c.hash, Call: &c.request})
	r.applyAndCommit(pendingCommit{program: p.id, key: c.request.Key}, records...)
	c.state = callAwaitingChild
	r.handleCallSubmitted(CallSubmitted{Program: id, Trace: c.trace, Call: api.Call{
		Key: c.request.Key, Kind: api.CallModel, Model: &api.ModelCall{Prompt: q.Prompt},
	}})
	// The child refused its call, for example because the budget is too small for the prompt.
	if child := r.programs[id]; child.current == nil && len(child.turns) == 0 {
		r.failChild(child, fault.New(fault.CodeBudgetExceeded, "call agent", "the child's budget of %d tokens does not cover its prompt", q.BudgetTokens))
	}
}

// finishChild ends the child of an agent call and completes the parent's call with the child's answer.
func (r *reduction) finishChild(child *program, c *call) {
	usage, ferr := child.usage, c.turn.Error
	r.endProgram(child, StateEnded, 0)
	p, pc := r.parentCall(child)
	if pc == nil {
		return
	}
	pc.turn.Answer, pc.turn.Usage = c.turn.Answer, usage
	// The child's budget has paid for it.
	pc.turn.Usage.CostTokens = 0
	r.recordTurn(p, pc, ferr)
}

// failChild turns a refusal of the child's call into a refusal of the parent's call.
func (r *reduction) failChild(child *program, ferr *fault.Error) {
	r.endProgram(child, StateCanceled, 0)
	if p, pc := r.parentCall(child); pc != nil {
		r.failNotRun(p, pc, ferr)
	}
}

func (r *reduction) parentCall(child *program) (*program, *call) {
	p, ok := r.programs[child.header.Parent]
	if !ok || p.current == nil || p.current.state != callAwaitingChild || p.current.request.Key != child.header.ParentKey {
		return nil, nil
	}
	return p, p.current
}

func (r *reduction) handleEndRequested(e EndRequested) {
	p, ferr := r.findProgram(e.Program, "end program")
	if ferr != nil {
		r.replyError(e.Waiter, ferr)
		return
	}
	if p.state != StateOpen {
		r.replyStatus(e.Waiter, p.id)
		return
	}
	if !e.Cancel && len(p.unfinishedCalls()) > 0 {
		r.replyError(e.Waiter, fault.New(fault.CodeOutOfOrder, "end program", "%d calls of the program are under way", len(p.unfinishedCalls())))
		return
	}
	state := StateEnded
	if e.Cancel {
		state = StateCanceled
	}
	r.endProgram(p, state, e.Waiter)
}

// endProgram ends a program and its children, settles its calls and releases its cache.
func (r *reduction) endProgram(p *program, state string, w WaiterID) {
	if p.state != StateOpen {
		return
	}
	for _, id := range slices.Clone(r.children[p.id]) {
		if child, ok := r.programs[id]; ok {
			r.endProgram(child, StateCanceled, 0)
		}
	}
	r.cancelCalls(p)
	records := []Record{{Op: OpEnded, Program: p.id, State: state, At: r.now, Workers: slices.Clone(p.workers)}}
	if parent, ok := r.programs[p.header.Parent]; ok && parent.state == StateOpen {
		records = append(records, Record{Op: OpChildBudgetCharged, Program: parent.id, Tokens: -(p.header.BudgetTokens - p.spentTokens)})
	}
	r.applyAndCommit(pendingCommit{action: actionReplyEnded, program: p.id, waiter: w}, records...)
	r.emit(NotifyProgramEnded{Request: sched.ProgramEnded{Program: p.id, Group: p.header.Group, Agent: p.header.Agent, Turns: len(p.turns)}})
	r.releaseCaches(p)
}

// cancelCalls settles the calls of a program that is canceled: those that wait did not run, the one in
// flight is recorded as unknown.
func (r *reduction) cancelCalls(p *program) {
	canceled := fault.New(fault.CodeCanceled, "cancel program", "the program was canceled")
	for _, c := range slices.Clone(p.waiting) {
		delete(p.pendingCalls, c.request.Key)
		for _, w := range c.waiters {
			r.replyError(w, canceled)
			delete(r.callsByWaiter, w)
		}
	}
	p.waiting = nil
	c := p.current
	if c == nil {
		return
	}
	switch c.state {
	case callDispatched, callAwaitingChild:
		r.emit(CancelDispatch{Call: c.attemptID, Worker: c.worker})
		if c.worker != "" {
			r.emit(finishUnusedGrant(Granted{Call: c.attemptID, Group: r.groupOfCall(p, c), Worker: c.worker}))
		}
		c.turn.Answer = c.partialText
		if c.request.Kind == api.CallModel {
			c.turn.Usage.CostTokens = p.reservedTokens // what the engine spent on it is not known
		}
		r.recordTurn(p, c, canceled.With(fault.Unknown))
	case callCommittingTurn:
	default:
		r.failNotRun(p, c, canceled)
	}
}

func (r *reduction) releaseCaches(p *program) {
	for _, w := range p.unreleasedWorkers {
		r.emit(ReleaseCache{Program: p.id, Group: p.header.Group, Worker: w})
	}
}

func (r *reduction) handleCacheReleased(e CacheReleased) {
	p, ok := r.programs[e.Program]
	if !ok || !slices.Contains(p.unreleasedWorkers, e.Worker) {
		return
	}
	r.applyAndCommit(pendingCommit{}, Record{Op: OpCacheReleased, Program: p.id, Workers: []string{e.Worker}})
}

// handleTicked refuses calls that waited too long for the calls before them, ends idle programs and forgets
// ended ones whose retention has passed.
func (r *reduction) handleTicked() {
	for _, id := range slices.Sorted(maps.Keys(r.programsWithWaiting)) {
		p, ok := r.programs[id]
		if !ok || len(p.waiting) == 0 {
			delete(r.programsWithWaiting, id)
			continue
		}
		r.refuseOutOfOrder(p)
	}
	if r.now.Sub(r.sweptAt) < sweepInterval {
		return
	}
	r.sweptAt = r.now
	for _, p := range r.sortedPrograms() {
		if p.state != StateOpen {
			if r.now.Sub(p.endedAt) >= r.limits.Retention && len(p.unreleasedWorkers) == 0 {
				r.applyAndCommit(pendingCommit{}, Record{Op: OpExpired, Program: p.id})
			}
			continue
		}
		idle := len(p.unfinishedCalls()) == 0 && r.now.Sub(p.lastActiveAt) >= r.limits.IdleTimeout
		if idle && !r.storeDown && !r.hasOpenChild(p) {
			r.endProgram(p, StateEnded, 0)
		}
	}
}

func (r *reduction) hasOpenChild(p *program) bool {
	return slices.ContainsFunc(r.children[p.id], func(id ids.Program) bool {
		c, ok := r.programs[id]
		return ok && c.state == StateOpen
	})
}

func (r *reduction) refuseOutOfOrder(p *program) {
	if p.current != nil {
		for _, c := range p.waiting {
			c.waitingSince = r.now
		}
		return
	}
	for _, c := range slices.Clone(p.waiting) {
		if r.now.Sub(c.waitingSince) >= r.limits.OrderTimeout {
			r.failNotRun(p, c, fault.New(fault.CodeOutOfOrder, "order calls", "seq %d came before seq %d", c.request.Seq, p.nextSeq()).RetryAfter(r.limits.OrderTimeout))
		}
	}
}
