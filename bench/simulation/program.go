package simulation

import (
	"strconv"

	"github.com/hyssopreel/hyssopreel/bench/engine"
	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// openProgram starts a program: for a caller if result is set, else for its parent.
func (r *Simulation) openProgram(p *workload.Program, parent *programRun, result *Result) *programRun {
	home := ids.NewJournal(ids.Host("host-"+strconv.Itoa(p.Index%homeCount)), 1)
	run := &programRun{
		program: p, id: ids.NewProgram(home, uint64(p.Index+1)), home: home, parent: parent,
		openedAt: r.now, attempt: 1, result: result,
	}
	r.runsByIndex[p.Index], r.runsByID[run.id] = run, run
	if p.Agent.CancelsAtDeadline {
		r.runAfter(int64(p.Agent.DeadlineS*microsPerSecond), func() { r.cancelByCaller(run) })
	}
	r.enqueueCall(run)
	return run
}

func (r *programRun) callID() sched.CallID {
	return sched.CallID{Program: r.id, Key: strconv.Itoa(r.turn), Attempt: r.attempt}
}

// root returns the program that the caller opened.
func (r *programRun) root() *programRun {
	for r.parent != nil {
		r = r.parent
	}
	return r
}

// deadline is in microseconds of virtual time, 0 if the root program has none.
func (r *programRun) deadline() int64 {
	root := r.root()
	if root.program.Agent.DeadlineS == 0 {
		return 0
	}
	return root.openedAt + int64(root.program.Agent.DeadlineS*microsPerSecond)
}

func (r *Simulation) enqueueCall(run *programRun) {
	if run.ended {
		return
	}
	t := run.program.Turns[run.turn]
	m := sched.Enqueued{
		Call: run.callID(), Group: groupName, Home: run.home, Agent: run.program.Agent.Name, Class: run.program.Agent.Class,
		Turns: run.turn, AttainedTokens: run.attainedTokens, PromptTokens: run.historyTokens + t.NewTokens, MaxTokens: 1024,
		AgeMS: (r.now - run.openedAt) / microsPerMilli, ServedBy: run.servedBy, AvoidWorkers: run.avoidWorkers,
	}
	if run.parent != nil {
		m.RootProgram = run.root().id
	}
	if deadline := run.deadline(); deadline > 0 {
		m.TimeLeftMS = max(1, (deadline-r.now)/microsPerMilli)
	}
	if run.pauseTool != "" && run.attempt == 1 {
		m.PausedMS, m.PauseTool = (r.now-run.pausedAt)/microsPerMilli, run.pauseTool
	}
	run.enqueued, run.granted = true, false
	r.sendToScheduler(m)
}

func (r *Simulation) handleGrant(m sched.Grant) {
	run := r.runsByID[m.Call.Program]
	if run.ended || m.Call != run.callID() {
		r.sendToScheduler(sched.Withdrawn{Call: m.Call, Group: groupName})
		return
	}
	if run.granted {
		r.DuplicateGrants++
		return
	}
	run.enqueued, run.granted = false, true
	if run.result != nil {
		run.result.Started = true
	}
	w := r.workersByName[m.Worker]
	run.worker = w
	t := run.program.Turns[run.turn]
	if !w.up {
		r.resumeCall(run, 0)
		return
	}
	prompt := run.historyTokens + t.NewTokens + run.resumeTokens
	run.sequence = &engine.Sequence{
		Program: run.program.Index, Priority: m.Priority, PromptTokens: prompt, HistoryTokens: run.historyTokens,
		AnswerTokens: t.AnswerTokens - run.resumeTokens, UserData: run,
	}
	if run.attempt > 1 {
		run.sequence.HistoryTokens = prompt
	}
	w.engine.Submit(run.sequence)
	if !w.stepping {
		w.stepping = true
		r.step(w)
	}
}

// step runs the next step of a worker's batch and schedules the one after it for the end of this step.
func (r *Simulation) step(w *worker) {
	if w.engine.Idle() {
		w.stepping = false
		return
	}
	micros, done := w.engine.Step()
	epoch := w.epoch
	r.runAfter(micros, func() {
		if w.epoch != epoch {
			return // the worker failed during the step
		}
		for _, s := range done {
			if run := s.UserData.(*programRun); run.sequence == s {
				r.finishTurn(run)
			}
		}
		r.step(w)
	})
}

// finishTurn ends the turn of a program, then ends the program or starts its pause.
func (r *Simulation) finishTurn(run *programRun) {
	t := run.program.Turns[run.turn]
	s := run.sequence
	run.sequence = nil
	r.countTokens(s)
	last := run.turn+1 == len(run.program.Turns)
	m := sched.Finished{
		Call: run.callID(), Group: groupName, Worker: run.worker.name,
		PromptTokens: s.PromptTokens, CachedTokens: s.CachedTokens, GeneratedTokens: s.GeneratedTokens,
	}
	if !last {
		m.NextTool = t.Tool
	}
	r.sendToScheduler(m)
	r.recordWorker(run)
	run.historyTokens += t.NewTokens + t.AnswerTokens
	run.attainedTokens += t.NewTokens + t.AnswerTokens
	run.turn++
	run.attempt, run.avoidWorkers, run.resumeTokens = 1, nil, 0
	run.pauseTool, run.pausedAt = t.Tool, r.now
	switch {
	case last && run.program.Looping:
		r.endProgram(run, TurnLimited)
	case last:
		r.endProgram(run, Finished)
	case t.Child != nil:
		run.child = r.openProgram(t.Child, run, nil)
	default:
		r.runAfter(t.PauseMS*microsPerMilli, func() { r.enqueueCall(run) })
	}
}

func (r *Simulation) countTokens(s *engine.Sequence) {
	r.RecomputedPromptTokens += s.RecomputedTokens
	r.FirstComputedPromptTokens += max(0, s.PromptTokens-s.HistoryTokens)
	r.GeneratedTokens += s.GeneratedTokens
}

func (r *Simulation) recordWorker(run *programRun) {
	if n := len(run.servedBy); n == 0 || run.servedBy[n-1] != run.worker.name {
		run.servedBy = append(run.servedBy, run.worker.name)
	}
}

// resumeCall continues a call on another worker, after the tokens generated so far, when its worker has failed.
func (r *Simulation) resumeCall(run *programRun, generated int64) {
	if run.sequence != nil {
		r.countTokens(run.sequence)
	}
	r.sendToScheduler(sched.Finished{Call: run.callID(), Group: groupName, Worker: run.worker.name, Failed: true})
	run.sequence = nil
	run.resumeTokens += generated
	run.avoidWorkers = append(run.avoidWorkers, run.worker.name)
	run.attempt++
	r.enqueueCall(run)
}

// handleRefuse enqueues the call again after RetryAfterMS, or ends the program if that is not before its deadline.
func (r *Simulation) handleRefuse(m sched.Refuse) {
	run := r.runsByID[m.Call.Program]
	if run.ended || m.Call != run.callID() {
		return
	}
	r.Refusals++
	run.enqueued = false
	retryAt := r.now + m.RetryAfterMS*microsPerMilli
	if deadline := run.deadline(); deadline > 0 && retryAt >= deadline {
		outcome := Refused
		if run.turn > 0 || run.attempt > 1 {
			outcome = Failed
		}
		r.endProgram(run, outcome)
		return
	}
	r.runAt(retryAt, func() { r.enqueueCall(run) })
}

// cancelByCaller cancels a program at its caller's deadline.
func (r *Simulation) cancelByCaller(run *programRun) {
	if run.ended {
		return
	}
	switch {
	case run.sequence != nil:
		run.worker.engine.Cancel(run.sequence)
		r.countTokens(run.sequence)
		run.sequence = nil
		r.sendToScheduler(sched.Finished{Call: run.callID(), Group: groupName, Worker: run.worker.name, Failed: true})
	case run.enqueued:
		r.sendToScheduler(sched.Withdrawn{Call: run.callID(), Group: groupName})
	}
	r.endProgram(run, CanceledByCaller)
}

// endProgram ends a program. When a child program ends, its parent's next call is enqueued.
func (r *Simulation) endProgram(run *programRun, outcome Outcome) {
	run.ended, run.endedAt, run.enqueued = true, r.now, false
	r.sendToScheduler(sched.ProgramEnded{Program: run.id, Group: groupName, Agent: run.program.Agent.Name, Turns: run.turn})
	if run.result != nil {
		run.result.Outcome = outcome
		run.result.LatencyMS = (r.now - run.openedAt) / microsPerMilli
		r.openCount--
		return
	}
	r.enqueueCall(run.parent)
}
