package replay

import (
	"strconv"

	"github.com/hyssopreel/hyssopreel/bench/engine"
	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// open starts a program: of a caller when res is set, else of its parent.
func (r *Replay) open(p *workload.Program, parent *run, res *Result) *run {
	home := ids.NewJournal(ids.Host("host-"+strconv.Itoa(p.Index%homes)), 1)
	ru := &run{
		program: p, id: ids.NewProgram(home, uint64(p.Index+1)), home: home, parent: parent,
		openedAt: r.now, attempt: 1, result: res,
	}
	r.runs[p.Index], r.byID[ru.id] = ru, ru
	if p.Agent.HangUp {
		r.after(int64(p.Agent.DeadlineS*second), func() { r.hangUp(ru) })
	}
	r.enqueue(ru)
	return ru
}

func (r *run) call() sched.CallID {
	return sched.CallID{Program: r.id, Key: strconv.Itoa(r.turn), Attempt: r.attempt}
}

// root is the program that the caller opened.
func (r *run) root() *run {
	for r.parent != nil {
		r = r.parent
	}
	return r
}

func (r *run) deadline() int64 {
	root := r.root()
	if root.program.Agent.DeadlineS == 0 {
		return 0
	}
	return root.openedAt + int64(root.program.Agent.DeadlineS*second)
}

func (r *Replay) enqueue(ru *run) {
	if ru.ended {
		return
	}
	t := ru.program.Turns[ru.turn]
	m := sched.Enqueued{
		Call: ru.call(), Group: groupName, Home: ru.home, Agent: ru.program.Agent.Name, Class: ru.program.Agent.Class,
		Turns: ru.turn, AttainedTokens: ru.attained, PromptTokens: ru.history + t.NewTokens, MaxTokens: 1024,
		AgeMS: (r.now - ru.openedAt) / milli, ServedBy: ru.workers, AvoidWorkers: ru.avoid,
	}
	if ru.parent != nil {
		m.RootProgram = ru.root().id
	}
	if d := ru.deadline(); d > 0 {
		m.TimeLeftMS = max(1, (d-r.now)/milli)
	}
	if ru.tool != "" && ru.attempt == 1 {
		m.PausedMS, m.PauseTool = (r.now-ru.pausedAt)/milli, ru.tool
	}
	ru.enqueued, ru.granted = true, false
	r.tell(m)
}

func (r *Replay) grant(m sched.Grant) {
	ru := r.byID[m.Call.Program]
	if ru.ended || m.Call != ru.call() {
		r.tell(sched.Withdrawn{Call: m.Call, Group: groupName})
		return
	}
	if ru.granted {
		r.Regrants++
		return
	}
	ru.enqueued, ru.granted = false, true
	if ru.result != nil {
		ru.result.Admitted = true
	}
	w := r.byName[m.Worker]
	ru.worker = w
	t := ru.program.Turns[ru.turn]
	if !w.up {
		r.cutOff(ru, 0)
		return
	}
	prompt := ru.history + t.NewTokens + ru.answered
	ru.sequence = &engine.Sequence{
		Program: ru.program.Index, Priority: m.Priority, Prompt: prompt, History: ru.history,
		Generate: t.Generate - ru.answered, Tag: ru,
	}
	if ru.attempt > 1 {
		ru.sequence.History = prompt
	}
	w.engine.Submit(ru.sequence)
	if !w.stepping {
		w.stepping = true
		r.step(w)
	}
}

// step runs the next step of a worker's batch and comes back when the step is over.
func (r *Replay) step(w *worker) {
	if w.engine.Idle() {
		w.stepping = false
		return
	}
	micros, done := w.engine.Step()
	epoch := w.epoch
	r.after(micros, func() {
		if w.epoch != epoch {
			return // the worker died during the step
		}
		for _, s := range done {
			if ru := s.Tag.(*run); ru.sequence == s {
				r.answered(ru)
			}
		}
		r.step(w)
	})
}

// answered ends the turn of a program.
func (r *Replay) answered(ru *run) {
	t := ru.program.Turns[ru.turn]
	s := ru.sequence
	ru.sequence = nil
	r.account(s)
	last := ru.turn+1 == len(ru.program.Turns)
	m := sched.Finished{
		Call: ru.call(), Group: groupName, Worker: ru.worker.name,
		PromptTokens: s.Prompt, CachedTokens: s.Cached, GeneratedTokens: s.Generated,
	}
	if !last {
		m.NextTool = t.Tool
	}
	r.tell(m)
	r.remember(ru)
	ru.history += t.NewTokens + t.Generate
	ru.attained += t.NewTokens + t.Generate
	ru.turn++
	ru.attempt, ru.avoid, ru.answered = 1, nil, 0
	ru.tool, ru.pausedAt = t.Tool, r.now
	switch {
	case last && ru.program.Looping:
		r.end(ru, Looped)
	case last:
		r.end(ru, Finished)
	case t.Helper != nil:
		ru.child = r.open(t.Helper, ru, nil)
	default:
		r.after(t.PauseMS*milli, func() { r.enqueue(ru) })
	}
}

func (r *Replay) account(s *engine.Sequence) {
	r.RecomputedTokens += s.Recomputed
	r.PromptTokens += max(0, s.Prompt-s.History)
	r.GeneratedTokens += s.Generated
}

func (r *Replay) remember(ru *run) {
	if n := len(ru.workers); n == 0 || ru.workers[n-1] != ru.worker.name {
		ru.workers = append(ru.workers, ru.worker.name)
	}
}

// cutOff resumes a call elsewhere after its worker was lost, from the text generated so far.
func (r *Replay) cutOff(ru *run, generated int64) {
	if ru.sequence != nil {
		r.account(ru.sequence)
	}
	r.tell(sched.Finished{Call: ru.call(), Group: groupName, Worker: ru.worker.name, Failed: true})
	ru.sequence = nil
	ru.answered += generated
	ru.avoid = append(ru.avoid, ru.worker.name)
	ru.attempt++
	r.enqueue(ru)
}

// refused lets the caller return after the time it was told, or give up if that is beyond its deadline.
func (r *Replay) refused(m sched.Refuse) {
	ru := r.byID[m.Call.Program]
	if ru.ended || m.Call != ru.call() {
		return
	}
	r.Refusals++
	ru.enqueued = false
	again := r.now + m.RetryAfterMS*milli
	if d := ru.deadline(); d > 0 && again >= d {
		outcome := Refused
		if ru.turn > 0 || ru.attempt > 1 {
			outcome = Failed
		}
		r.end(ru, outcome)
		return
	}
	r.at(again, func() { r.enqueue(ru) })
}

// hangUp cancels the program of a caller that does not wait any longer.
func (r *Replay) hangUp(ru *run) {
	if ru.ended {
		return
	}
	switch {
	case ru.sequence != nil:
		ru.worker.engine.Cancel(ru.sequence)
		r.account(ru.sequence)
		ru.sequence = nil
		r.tell(sched.Finished{Call: ru.call(), Group: groupName, Worker: ru.worker.name, Failed: true})
	case ru.enqueued:
		r.tell(sched.Withdrawn{Call: ru.call(), Group: groupName})
	}
	r.end(ru, HungUp)
}

// end closes a program; the parent of a helper goes on.
func (r *Replay) end(ru *run, outcome Outcome) {
	ru.ended, ru.endedAt, ru.enqueued = true, r.now, false
	r.tell(sched.ProgramEnded{Program: ru.id, Group: groupName, Agent: ru.program.Agent.Name, Turns: ru.turn})
	if ru.result != nil {
		ru.result.Outcome = outcome
		ru.result.LatencyMS = (r.now - ru.openedAt) / milli
		r.live--
		return
	}
	r.enqueue(ru.parent)
}
