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
	// sweepInterval is the time between sweeps for idle and expired programs. Each sweep sorts the IDs of all programs,
	// which may be 20,000.
	sweepInterval = 10 * time.Second
	// maxDeadline bounds deadline_ms, whose sum with the current time must not overflow.
	maxDeadline = 366 * 24 * time.Hour
)

// groupOfProgram returns the group of a pool that serves the program. Programs are distributed by hash and stay in
// their group, whose workers have their prefix cached.
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

func (r *reduction) checkOpen(request api.OpenProgram) (*config.Agent, *fault.Error) {
	if r.fenced || r.draining {
		return nil, fault.New(fault.CodeDraining, stepOpen, "the host is shutting down or fenced; use another host")
	}
	if r.storeDown {
		return nil, errStoreDown(stepOpen)
	}
	team := r.config.Objects.Teams[request.Team]
	if team == nil {
		return nil, fault.New(fault.CodeInvalidRequest, stepOpen, "team %q does not exist", request.Team)
	}
	agent := r.config.Objects.Agents[request.Agent]
	if agent == nil {
		return nil, fault.New(fault.CodeInvalidRequest, stepOpen, "agent %q does not exist", request.Agent)
	}
	if request.BudgetTokens <= 0 || request.BudgetTokens > team.MaxBudgetTokens {
		return nil, fault.New(fault.CodeInvalidRequest, stepOpen, "budget_tokens is %d; team %q allows 1 to %d", request.BudgetTokens, request.Team, team.MaxBudgetTokens)
	}
	if request.DeadlineMS < 0 || request.DeadlineMS > maxDeadline.Milliseconds() {
		return nil, fault.New(fault.CodeInvalidRequest, stepOpen, "deadline_ms is %d; 0 to %d is allowed", request.DeadlineMS, maxDeadline.Milliseconds())
	}
	if r.openByTeam[request.Team] >= team.MaxOpenPrograms {
		return nil, fault.New(fault.CodeLimitExceeded, stepOpen, "team %q has %d open programs at this host; %d are allowed", request.Team, r.openByTeam[request.Team], team.MaxOpenPrograms).WithRetryAfter(r.limits.OrderTimeout)
	}
	if request.Parent == "" {
		return agent, nil
	}
	return agent, r.checkParent(request)
}

func (r *reduction) checkParent(request api.OpenProgram) *fault.Error {
	parent, ferr := r.findProgram(request.Parent, stepOpen)
	if ferr != nil {
		return ferr
	}
	if parent.state != StateOpen {
		return fault.New(fault.CodeProgramEnded, stepOpen, "parent program %s is %s", parent.id, parent.state)
	}
	if request.BudgetTokens > parent.availableTokens() {
		return errBudget(request.BudgetTokens, parent.availableTokens())
	}
	return nil
}

// openRecords returns the ID and records of a new program. Those of a child also charge its budget to the parent.
func (r *reduction) openRecords(request api.OpenProgram, agent *config.Agent, parentKey string, deadline clock.Millis) (ids.Program, []Record) {
	id := ids.NewProgram(r.journal, r.lastProgramSeq+1)
	records := []Record{{Op: OpOpened, Program: id, Header: &Header{
		Team: request.Team, Agent: request.Agent, Class: agent.Class, Group: r.hashToGroup(agent.Pool, id), Parent: request.Parent,
		ParentKey: parentKey, BudgetTokens: request.BudgetTokens, OpenedAt: r.now, DeadlineAt: deadline,
	}}}
	if request.Parent != "" {
		records = append(records, Record{Op: OpChildBudgetCharged, Program: request.Parent, Tokens: request.BudgetTokens})
	}
	return id, records
}

// openChild opens the child program of an agent call and submits its one model call, whose reservation is
// committed after the child and the parent's intent.
func (r *reduction) openChild(p *program, c *call) {
	request := c.request.Agent
	agent := r.config.Objects.Agents[request.Name]
	if agent == nil {
		r.failNotRun(p, c, fault.New(fault.CodeInvalidRequest, stepOpen, "agent %q was deleted", request.Name))
		return
	}
	if r.storeDown {
		r.failNotRun(p, c, errStoreDown(stepOpen))
		return
	}
	id, records := r.openRecords(api.OpenProgram{
		Team: p.header.Team, Agent: request.Name, BudgetTokens: request.BudgetTokens, Parent: p.id,
	}, agent, c.request.Key, p.header.DeadlineAt)
	records = append(records, Record{Op: OpIntent, Program: p.id, Key: c.request.Key, Hash: c.hash, Call: &c.request})
	r.applyAndCommit(pendingCommit{program: p.id, key: c.request.Key}, records...)
	c.state = callAwaitingChild
	r.handleCallSubmitted(CallSubmitted{Program: id, Trace: c.trace, Call: api.Call{
		Key: c.request.Key, Kind: api.CallModel, Model: &api.ModelCall{Prompt: request.Prompt},
	}})
	// The child's call was refused, for example because the budget is too small for the prompt.
	if child := r.programs[id]; child.current == nil && len(child.turns) == 0 {
		r.failChild(child, fault.New(fault.CodeBudgetExceeded, "call agent", "the budget of %d tokens for agent %q does not cover its prompt", request.BudgetTokens, request.Name))
	}
}

// finishChild ends the child of an agent call and completes the parent's call with the child's answer.
func (r *reduction) finishChild(child *program, c *call) {
	usage, ferr := child.usage, c.turn.Error
	r.endProgram(child, StateEnded, 0)
	parent, parentCall := r.parentCall(child)
	if parentCall == nil {
		return
	}
	parentCall.turn.Answer, parentCall.turn.Usage = c.turn.Answer, usage
	// The child's budget was charged to the parent already.
	parentCall.turn.Usage.CostTokens = 0
	r.recordTurn(parent, parentCall, ferr)
}

// failChild cancels the child of an agent call, whose own call was refused, and refuses the parent's call.
func (r *reduction) failChild(child *program, ferr *fault.Error) {
	r.endProgram(child, StateCanceled, 0)
	if parent, parentCall := r.parentCall(child); parentCall != nil {
		r.failNotRun(parent, parentCall, ferr)
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
		r.replyError(e.Waiter, fault.New(fault.CodeOutOfOrder, "end program", "program %s has %d calls that have not ended", p.id, len(p.unfinishedCalls())))
		return
	}
	state := StateEnded
	if e.Cancel {
		state = StateCanceled
	}
	r.endProgram(p, state, e.Waiter)
}

// endProgram ends a program, its children and its calls, and releases its cache.
func (r *reduction) endProgram(p *program, state string, waiter WaiterID) {
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
	r.applyAndCommit(pendingCommit{action: actionReplyEnded, program: p.id, waiter: waiter}, records...)
	r.emit(NotifyProgramEnded{Request: sched.ProgramEnded{Program: p.id, Group: p.header.Group, Agent: p.header.Agent, Turns: len(p.turns)}})
	r.releaseCaches(p)
}

// cancelCalls ends the calls of a program that is canceled: a dispatched call is recorded as outcome unknown, the
// others are refused as not run.
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
			c.turn.Usage.CostTokens = p.reservedTokens // the usage of the canceled dispatch is unknown
		}
		r.recordTurn(p, c, canceled.WithOutcome(fault.OutcomeUnknown))
	case callCommittingTurn:
	default:
		r.failNotRun(p, c, canceled)
	}
}

func (r *reduction) releaseCaches(p *program) {
	for _, worker := range p.unreleasedWorkers {
		r.emit(ReleaseCache{Program: p.id, Group: p.header.Group, Worker: worker})
	}
}

func (r *reduction) handleCacheReleased(e CacheReleased) {
	p, ok := r.programs[e.Program]
	if !ok || !slices.Contains(p.unreleasedWorkers, e.Worker) {
		return
	}
	r.applyAndCommit(pendingCommit{}, Record{Op: OpCacheReleased, Program: p.id, Workers: []string{e.Worker}})
}

// handleTicked refuses calls that waited too long for the calls before them, ends idle programs and deletes ended
// programs whose retention is over.
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
			r.failNotRun(p, c, fault.New(fault.CodeOutOfOrder, "order calls", "call %q has seq %d, and seq %d did not arrive within %s", c.request.Key, c.request.Seq, p.nextSeq(), r.limits.OrderTimeout).WithRetryAfter(r.limits.OrderTimeout))
		}
	}
}
