package program

import (
	"slices"
	"strconv"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
)

func itoa(n int) string { return strconv.Itoa(n) }

func (r *reduction) handleReadRequested(e ReadRequested) {
	switch e.Query {
	case QueryList:
		list := make([]api.ProgramStatus, 0, len(r.programs))
		for _, p := range r.sortedPrograms() {
			list = append(list, r.programStatus(p))
		}
		r.emit(Reply{Waiter: e.Waiter, List: list})
		return
	case QueryOpen:
		r.emit(Reply{Waiter: e.Waiter, OpenPrograms: r.filterOpen(e.Programs)})
		return
	}
	p, ferr := r.findProgram(e.Program, "read program")
	if ferr != nil {
		r.replyError(e.Waiter, ferr)
		return
	}
	switch e.Query {
	case QueryStatus:
		r.replyStatus(e.Waiter, p.id)
	case QueryHistory:
		r.emit(Reply{Waiter: e.Waiter, History: &api.History{ID: p.id, Turns: slices.Clone(p.turns)}})
	case QueryCall:
		c, ok := p.findCall(e.Key)
		if !ok {
			r.replyError(e.Waiter, fault.New(fault.CodeNotFound, "read call", "program %s has no call with key %q", p.id, e.Key))
			return
		}
		r.replyAnswer(p, c, e.Waiter)
	}
}

func (r *reduction) filterOpen(programs []ids.Program) []ids.Program {
	var open []ids.Program
	for _, id := range programs {
		if p, ok := r.programs[id]; ok && p.state == StateOpen {
			open = append(open, id)
		}
	}
	return open
}

func (r *reduction) replyStatus(waiter WaiterID, id ids.Program) {
	if waiter == 0 {
		return
	}
	p, ferr := r.findProgram(id, "read program")
	if ferr != nil {
		r.replyError(waiter, ferr)
		return
	}
	status := r.programStatus(p)
	r.emit(Reply{Waiter: waiter, Status: &status})
}

func (r *reduction) programStatus(p *program) api.ProgramStatus {
	return api.ProgramStatus{
		ID: p.id, Team: p.header.Team, Agent: p.header.Agent, Class: p.header.Class, State: p.state, Home: r.journal,
		Parent: p.header.Parent, Turns: len(p.turns), BudgetTokens: p.header.BudgetTokens, SpentTokens: p.spentTokens, Usage: p.usage,
		OpenedAtMS: int64(p.header.OpenedAt), EndedAtMS: int64(p.endedAt),
	}
}
