package simulation

import (
	"strconv"

	"github.com/hyssopreel/hyssopreel/bench/engine"
	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// openProgram starts a program: of a caller when res is set, else of its parent.
func (r *Simulation) openProgram(p *workload.Program, parent *programRun, res *Result) *programRun {
	home := ids.NewJournal(ids.Host("host-"+strconv.Itoa(p.Index%homeCount)), 1)
	ru := &programRun{
		program: p, id: ids.NewProgram(home, uint64(p.Index+1)), home: home, parent: parent,
		openedAt: r.now, attempt: 1, result: res,
	}
	r.runsByIndex[p.Index], r.runsByID[ru.id] = ru, ru
	if p.Agent.CancelsAtDeadline {
		r.runAfter(int64(p.Agent.DeadlineS*microsPerSecond), func() { r.cancelByCaller(ru) })
	}
	r.enqueueCall(ru)
	return ru
}

func (r *programRun) callID() sched.CallID {
	return sched.CallID{Program: r.id, Key: strconv.Itoa(r.turn), Attempt: r.attempt}
}

// root is the program that the caller opened.
func (r *programRun) root() *programRun {
	for r.parent != nil {
		r = r.parent
	}
	return r
}

func (r *programRun) deadline() int64 {
	root := r.root()
	if root.program.Agent.DeadlineS == 0 {
		return 0
	}
	return root.openedAt + int64(root.program.Agent.DeadlineS*microsPerSecond)
}

func (r *Simulation) enqueueCall(ru *programRun) {
	if ru.ended {
		return
	}
	t := ru.program.Turns[ru.turn]
	m := sched.Enqueued{
		Call: ru.callID(), Group: groupName, Home: ru.home, Agent: ru.program.Agent.Name, Class: ru.program.Agent.Class,
		Turns: ru.turn, AttainedTokens: ru.attainedTokens, PromptTokens: ru.historyTokens + t.NewTokens, MaxTokens: 1024,
		AgeMS: (r.now - ru.openedAt) / microsPerMilli, ServedBy: ru.servedBy, AvoidWorkers: ru.avoidWorkers,
	}
	if ru.parent != nil {
		m.RootProgram = ru.root().id
	}
	if d := ru.deadline(); d > 0 {
		m.TimeLeftMS = max(1, (d-r.now)/microsPerMilli)
	}
	if ru.pauseTool != "" && ru.attempt == 1 {
		m.PausedMS, m.PauseTool = (r.now-ru.pausedAt)/microsPerMilli, ru.pauseTool
	}
	ru.enqueued, ru.granted = true, false
	r.sendToScheduler(m)
}

func (r *Simulation) handleGrant(m sched.Grant) {
	ru := r.runsByID[m.Call.Program]
	if ru.ended || m.Call != ru.callID() {
		r.sendToScheduler(sched.Withdrawn{Call: m.Call, Group: groupName})
		return
	}
	if ru.granted {
		r.DuplicateGrants++
		return
	}
	ru.enqueued, ru.granted = false, true
	if ru.result != nil {
		ru.result.Started = true
	}
	w := r.workersByName[m.Worker]
	ru.worker = w
	t := ru.program.Turns[ru.turn]
	if !w.up {
		r.resumeCall(ru, 0)
		return
	}
	prompt := ru.historyTokens + t.NewTokens + ru.resumeTokens
	ru.sequence = &engine.Sequence{
		Program: ru.program.Index, Priority: m.Priority, PromptTokens: prompt, HistoryTokens: ru.historyTokens,
		AnswerTokens: t.AnswerTokens - ru.resumeTokens, UserData: ru,
	}
	if ru.attempt > 1 {
		ru.sequence.HistoryTokens = prompt
	}
	w.engine.Submit(ru.sequence)
	if !w.stepping {
		w.stepping = true
		r.step(w)
	}
}

// step runs the next step of a worker's batch and comes back when the step is over.
func (r *Simulation) step(w *worker) {
	if w.engine.Idle() {
		w.stepping = false
		return
	}
	micros, done := w.engine.Step()
	epoch := w.epoch
	r.runAfter(micros, func() {
		if w.epoch != epoch {
			return // the worker died during the step
		}
		for _, s := range done {
			if ru := s.UserData.(*programRun); ru.sequence == s {
				r.finishTurn(ru)
			}
		}
		r.step(w)
	})
}

// finishTurn ends the turn of a program.
func (r *Simulation) finishTurn(ru *programRun) {
	t := ru.program.Turns[ru.turn]
	s := ru.sequence
	ru.sequence = nil
	r.countTokens(s)
	last := ru.turn+1 == len(ru.program.Turns)
	m := sched.Finished{
		Call: ru.callID(), Group: groupName, Worker: ru.worker.name,
		PromptTokens: s.PromptTokens, CachedTokens: s.CachedTokens, GeneratedTokens: s.GeneratedTokens,
	}
	if !last {
		m.NextTool = t.Tool
	}
	r.sendToScheduler(m)
	r.recordWorker(ru)
	ru.historyTokens += t.NewTokens + t.AnswerTokens
	ru.attainedTokens += t.NewTokens + t.AnswerTokens
	ru.turn++
	ru.attempt, ru.avoidWorkers, ru.resumeTokens = 1, nil, 0
	ru.pauseTool, ru.pausedAt = t.Tool, r.now
	switch {
	case last && ru.program.Looping:
		r.endProgram(ru, TurnLimited)
	case last:
		r.endProgram(ru, Finished)
	case t.Child != nil:
		ru.child = r.openProgram(t.Child, ru, nil)
	default:
		r.runAfter(t.PauseMS*microsPerMilli, func() { r.enqueueCall(ru) })
	}
}

func (r *Simulation) countTokens(s *engine.Sequence) {
	r.RecomputedPromptTokens += s.RecomputedTokens
	r.FirstComputedPromptTokens += max(0, s.PromptTokens-s.HistoryTokens)
	r.GeneratedTokens += s.GeneratedTokens
}

func (r *Simulation) recordWorker(ru *programRun) {
	if n := len(ru.servedBy); n == 0 || ru.servedBy[n-1] != ru.worker.name {
		ru.servedBy = append(ru.servedBy, ru.worker.name)
	}
}

// resumeCall resumes a call elsewhere after its worker was lost, from the text generated so far.
func (r *Simulation) resumeCall(ru *programRun, generated int64) {
	if ru.sequence != nil {
		r.countTokens(ru.sequence)
	}
	r.sendToScheduler(sched.Finished{Call: ru.callID(), Group: groupName, Worker: ru.worker.name, Failed: true})
	ru.sequence = nil
	ru.resumeTokens += generated
	ru.avoidWorkers = append(ru.avoidWorkers, ru.worker.name)
	ru.attempt++
	r.enqueueCall(ru)
}

// handleRefuse lets the caller return after the time it was told, or give up if that is beyond its deadline.
func (r *Simulation) handleRefuse(m sched.Refuse) {
	ru := r.runsByID[m.Call.Program]
	if ru.ended || m.Call != ru.callID() {
		return
	}
	r.Refusals++
	ru.enqueued = false
	again := r.now + m.RetryAfterMS*microsPerMilli
	if d := ru.deadline(); d > 0 && again >= d {
		outcome := Refused
		if ru.turn > 0 || ru.attempt > 1 {
			outcome = Failed
		}
		r.endProgram(ru, outcome)
		return
	}
	r.runAt(again, func() { r.enqueueCall(ru) })
}

// cancelByCaller cancels the program of a caller that does not wait any longer.
func (r *Simulation) cancelByCaller(ru *programRun) {
	if ru.ended {
		return
	}
	switch {
	case ru.sequence != nil:
		ru.worker.engine.Cancel(ru.sequence)
		r.countTokens(ru.sequence)
		ru.sequence = nil
		r.sendToScheduler(sched.Finished{Call: ru.callID(), Group: groupName, Worker: ru.worker.name, Failed: true})
	case ru.enqueued:
		r.sendToScheduler(sched.Withdrawn{Call: ru.callID(), Group: groupName})
	}
	r.endProgram(ru, CanceledByCaller)
}

// endProgram closes a program; the parent of a helper goes on.
func (r *Simulation) endProgram(ru *programRun, outcome Outcome) {
	ru.ended, ru.endedAt, ru.enqueued = true, r.now, false
	r.sendToScheduler(sched.ProgramEnded{Program: ru.id, Group: groupName, Agent: ru.program.Agent.Name, Turns: ru.turn})
	if ru.result != nil {
		ru.result.Outcome = outcome
		ru.result.LatencyMS = (r.now - ru.openedAt) / microsPerMilli
		r.openCount--
		return
	}
	r.enqueueCall(ru.parent)
}
