package program

import (
	"maps"
	"slices"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
)

// States of a call in answers.
const (
	AnswerQueued  = "queued"
	AnswerRunning = "running"
	AnswerDone    = "done"
	AnswerFailed  = "failed"
	AnswerUnknown = "unknown"
)

// apply changes the state as one record says. Records of unknown programs are ignored, because the
// records of a forgotten program may precede its OpForgotten in the journal.
func (s *State) apply(rec *Record) {
	switch rec.Op {
	case OpOpened:
		s.applyOpened(rec)
		return
	case OpImported:
		s.applyImported(rec.Journal)
		return
	}
	p, ok := s.programs[rec.Program]
	if !ok {
		return
	}
	switch rec.Op {
	case OpReserved:
		p.chunk += rec.Tokens
	case OpCharged:
		p.spent += rec.Tokens
	case OpIntent:
		p.intents[rec.Key] = *rec
	case OpWithdrawn:
		delete(p.intents, rec.Key)
	case OpTurn:
		p.applyTurn(rec)
	case OpEnded:
		s.applyEnded(p, rec)
	case OpReleased:
		p.releases = slices.DeleteFunc(p.releases, func(w string) bool { return slices.Contains(rec.Workers, w) })
	case OpForgotten:
		delete(s.programs, p.id)
		delete(s.children, p.id)
	}
}

func (s *State) applyOpened(rec *Record) {
	h := *rec.Header
	p := &program{
		id: rec.Program, header: h, state: StateOpen, active: h.OpenedAt,
		spent: h.Spent, workers: slices.Clone(h.Workers),
		calls: map[string]*call{}, settled: map[string]settledCall{}, intents: map[string]Record{},
	}
	s.programs[p.id] = p
	s.open[h.Team]++
	if h.Parent != "" {
		s.children[h.Parent] = append(s.children[h.Parent], p.id)
	}
	if j, n, err := p.id.Parse(); err == nil && j == s.self && n > s.next {
		s.next = n
	}
}

// applyImported marks the programs of a journal as complete, so that a snapshot need not repeat the mark.
func (s *State) applyImported(from ids.Journal) {
	for _, p := range s.programs {
		if p.header.ImportedFrom == from {
			p.header.ImportedFrom = ""
		}
	}
}

func (p *program) applyTurn(rec *Record) {
	t := *rec.Turn
	delete(p.intents, rec.Key)
	p.turns = append(p.turns, t)
	p.chunk -= rec.Tokens
	p.spent += rec.Tokens
	p.usage.PromptTokens += t.Usage.PromptTokens
	p.usage.CachedTokens += t.Usage.CachedTokens
	p.usage.GeneratedTokens += t.Usage.GeneratedTokens
	p.usage.CostTokens += t.Usage.CostTokens
	if t.Worker != "" && t.Kind == api.CallModel {
		p.served(t.Worker)
		p.promptTokens = t.Usage.PromptTokens + t.Usage.GeneratedTokens
	}
	c, ok := p.calls[rec.Key]
	if !ok {
		p.settled[rec.Key] = settledCall{hash: rec.Hash, turn: int32(len(p.turns) - 1), status: int32(rec.Status)}
		return
	}
	c.turn, c.status, c.index = t, rec.Status, len(p.turns)-1
}

// served notes that a worker may hold the program's cache; the latest worker is the last.
func (p *program) served(worker string) {
	p.workers = slices.DeleteFunc(p.workers, func(w string) bool { return w == worker })
	p.workers = append(p.workers, worker)
}

func (s *State) applyEnded(p *program, rec *Record) {
	if p.state == StateOpen {
		s.open[p.header.Team]--
	}
	p.state, p.ended = rec.State, rec.At
	p.releases = slices.Clone(rec.Workers)
	// What was reserved and not settled is not spent: nothing of the program runs any more.
	p.chunk = 0
}

// sorted returns the programs in the order of their IDs, so that effects come in the same order in a replay.
func (s *State) sorted() []*program {
	keys := slices.Sorted(maps.Keys(s.programs))
	out := make([]*program, len(keys))
	for i, k := range keys {
		out[i] = s.programs[k]
	}
	return out
}

// Export returns records from which Restore rebuilds all programs.
func (s *State) Export() []Record {
	var out []Record
	for _, p := range s.sorted() {
		out = append(out, p.export()...)
	}
	return out
}

func (p *program) export() []Record {
	h := p.header
	// The turns that follow charge their cost again, so the header carries only the rest.
	h.Spent = p.spent - p.turnCost()
	h.Workers = slices.Clone(p.workers)
	out := []Record{{Op: OpOpened, Program: p.id, Header: &h}}
	if n := p.turnCost() + p.chunk; n > 0 {
		out = append(out, Record{Op: OpReserved, Program: p.id, Tokens: n})
	}
	for i := range p.turns {
		t := p.turns[i]
		rec := Record{Op: OpTurn, Program: p.id, Key: t.Key, Turn: &t, Tokens: t.Usage.CostTokens}
		if c, ok := p.call(t.Key); ok {
			rec.Hash, rec.Status = c.hash, c.status
		}
		out = append(out, rec)
	}
	for _, k := range slices.Sorted(maps.Keys(p.intents)) {
		out = append(out, p.intents[k])
	}
	if p.state != StateOpen {
		out = append(out, Record{Op: OpEnded, Program: p.id, State: p.state, At: p.ended, Workers: slices.Clone(p.releases)})
	}
	return out
}

func (p *program) turnCost() int64 {
	var n int64
	for i := range p.turns {
		n += p.turns[i].Usage.CostTokens
	}
	return n
}

// restore rebuilds programs from the records of a journal. Programs whose import was cut off are left
// out: the journal that they come from still has them.
func restore(self ids.Journal, records []Record) *State {
	s := New()
	s.self = self
	for i := range records {
		s.apply(&records[i])
	}
	maps.DeleteFunc(s.programs, func(_ ids.Program, p *program) bool { return p.header.ImportedFrom != "" })
	return s
}

// journalRead takes over the programs of a sealed journal. Calls that were under way there are settled:
// a call that may not be repeated and whose outcome is missing is "outcome unknown", any other such call
// is as if it had never come. Programs that are here already are skipped, so that a takeover can be
// repeated.
func (r *reduction) journalRead(e JournalRead) {
	old := restore(e.Journal, e.Records)
	count := 0
	var records []Record
	for _, p := range old.sorted() {
		if _, ok := r.programs[p.id]; ok {
			continue
		}
		count++
		p.header.ImportedFrom = e.Journal
		records = append(records, r.takeOver(p)...)
	}
	records = append(records, Record{Op: OpImported, Journal: e.Journal})
	r.write(pendingCommit{next: stepAdopted, waiter: e.Waiter, count: count}, records...)
	for _, p := range old.sorted() {
		if q, ok := r.programs[p.id]; ok {
			q.active = r.at
			r.releaseAll(q)
		}
	}
}

// takeOver returns the records of a program that its former home left behind, with its open ends closed.
func (r *reduction) takeOver(p *program) []Record {
	p.spent += p.chunk // reserved and not settled counts as spent
	p.chunk = 0
	intents := p.intents
	p.intents = map[string]Record{}
	records := p.export()
	if p.state != StateOpen {
		return records
	}
	for i, k := range slices.Sorted(maps.Keys(intents)) {
		t := api.Turn{Seq: len(p.turns) + 1 + i, Key: k, Error: errOutcomeUnknown("takeover", "its home failed after the request may have been sent")}
		if c := intents[k].Call; c != nil {
			t.Kind, t.Request = c.Kind, requestText(*c)
		}
		records = append(records, Record{Op: OpTurn, Program: p.id, Key: k, Hash: intents[k].Hash, Turn: &t})
	}
	// The child of an agent call has no caller of its own: its parent's call is unknown now.
	if p.header.ParentKey != "" {
		records = append(records, Record{Op: OpEnded, Program: p.id, State: StateCanceled, At: r.at, Workers: slices.Clone(p.workers)})
	}
	return records
}

func errOutcomeUnknown(step, why string) *fault.Error {
	return fault.New(fault.CodeOutcomeUnknown, step, "it is not known whether the request ran: %s", why).With(fault.Unknown)
}
