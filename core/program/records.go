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

// applyRecord changes the state as one record says. Records of unknown programs are ignored, because the
// records of a forgotten program may precede its OpForgotten in the journal.
func (s *State) applyRecord(rec *Record) {
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
		p.reservedTokens += rec.Tokens
	case OpChildBudgetCharged:
		p.spentTokens += rec.Tokens
	case OpIntent:
		p.openIntents[rec.Key] = *rec
	case OpIntentAborted:
		delete(p.openIntents, rec.Key)
	case OpTurn:
		p.applyTurn(rec)
	case OpEnded:
		s.applyEnded(p, rec)
	case OpCacheReleased:
		p.unreleasedWorkers = slices.DeleteFunc(p.unreleasedWorkers, func(w string) bool { return slices.Contains(rec.Workers, w) })
	case OpExpired:
		delete(s.programs, p.id)
		delete(s.children, p.id)
	}
}

func (s *State) applyOpened(rec *Record) {
	h := *rec.Header
	p := &program{
		id: rec.Program, header: h, state: StateOpen, lastActiveAt: h.OpenedAt,
		spentTokens: h.SpentTokens, workers: slices.Clone(h.Workers),
		pendingCalls: map[string]*call{}, durableCalls: map[string]durableCall{}, openIntents: map[string]Record{},
	}
	s.programs[p.id] = p
	s.openByTeam[h.Team]++
	if h.Parent != "" {
		s.children[h.Parent] = append(s.children[h.Parent], p.id)
	}
	if j, n, err := p.id.Parse(); err == nil && j == s.journal && n > s.lastProgramSeq {
		s.lastProgramSeq = n
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
	delete(p.openIntents, rec.Key)
	p.turns = append(p.turns, t)
	p.reservedTokens -= rec.Tokens
	p.spentTokens += rec.Tokens
	p.usage.PromptTokens += t.Usage.PromptTokens
	p.usage.CachedTokens += t.Usage.CachedTokens
	p.usage.GeneratedTokens += t.Usage.GeneratedTokens
	p.usage.CostTokens += t.Usage.CostTokens
	if t.Worker != "" && t.Kind == api.CallModel {
		p.recordWorker(t.Worker)
		p.contextTokens = t.Usage.PromptTokens + t.Usage.GeneratedTokens
	}
	c, ok := p.pendingCalls[rec.Key]
	if !ok {
		p.durableCalls[rec.Key] = durableCall{hash: rec.Hash, turnIndex: int32(len(p.turns) - 1), statusCode: int32(rec.StatusCode)}
		return
	}
	c.turn, c.statusCode, c.turnIndex = t, rec.StatusCode, len(p.turns)-1
}

// recordWorker notes that a worker may hold the program's cache; the latest worker is the last.
func (p *program) recordWorker(worker string) {
	p.workers = slices.DeleteFunc(p.workers, func(w string) bool { return w == worker })
	p.workers = append(p.workers, worker)
}

func (s *State) applyEnded(p *program, rec *Record) {
	if p.state == StateOpen {
		s.openByTeam[p.header.Team]--
	}
	p.state, p.endedAt = rec.State, rec.At
	p.unreleasedWorkers = slices.Clone(rec.Workers)
	// What was reserved and not settled is not spent: nothing of the program runs any more.
	p.reservedTokens = 0
}

// sortedPrograms returns the programs in the order of their IDs, so that effects come in the same order in a replay.
func (s *State) sortedPrograms() []*program {
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
	for _, p := range s.sortedPrograms() {
		out = append(out, p.exportRecords()...)
	}
	return out
}

func (p *program) exportRecords() []Record {
	h := p.header
	// The turns that follow charge their cost again, so the header carries only the rest.
	h.SpentTokens = p.spentTokens - p.turnCostTokens()
	h.Workers = slices.Clone(p.workers)
	out := []Record{{Op: OpOpened, Program: p.id, Header: &h}}
	if n := p.turnCostTokens() + p.reservedTokens; n > 0 {
		out = append(out, Record{Op: OpReserved, Program: p.id, Tokens: n})
	}
	for i := range p.turns {
		t := p.turns[i]
		rec := Record{Op: OpTurn, Program: p.id, Key: t.Key, Turn: &t, Tokens: t.Usage.CostTokens}
		if c, ok := p.findCall(t.Key); ok {
			rec.Hash, rec.StatusCode = c.hash, c.statusCode
		}
		out = append(out, rec)
	}
	for _, k := range slices.Sorted(maps.Keys(p.openIntents)) {
		out = append(out, p.openIntents[k])
	}
	if p.state != StateOpen {
		out = append(out, Record{Op: OpEnded, Program: p.id, State: p.state, At: p.endedAt, Workers: slices.Clone(p.unreleasedWorkers)})
	}
	return out
}

func (p *program) turnCostTokens() int64 {
	var n int64
	for i := range p.turns {
		n += p.turns[i].Usage.CostTokens
	}
	return n
}

// restoreState rebuilds programs from the records of a journal. Programs whose import was cut off are left
// out: the journal that they come from still has them.
func restoreState(self ids.Journal, records []Record) *State {
	s := New()
	s.journal = self
	for i := range records {
		s.applyRecord(&records[i])
	}
	maps.DeleteFunc(s.programs, func(_ ids.Program, p *program) bool { return p.header.ImportedFrom != "" })
	return s
}

// handleAdoptionRequested takes over the programs of a sealed journal. Calls that were under way there are settled:
// a call that may not be repeated and whose outcome is missing is "outcome unknown", any other such call
// is as if it had never come. Programs that are here already are skipped, so that a takeover can be
// repeated.
func (r *reduction) handleAdoptionRequested(e AdoptionRequested) {
	old := restoreState(e.Journal, e.Records)
	count := 0
	var records []Record
	for _, p := range old.sortedPrograms() {
		if _, ok := r.programs[p.id]; ok {
			continue
		}
		count++
		p.header.ImportedFrom = e.Journal
		records = append(records, r.adoptionRecords(p)...)
	}
	records = append(records, Record{Op: OpImported, Journal: e.Journal})
	r.applyAndCommit(pendingCommit{action: actionReplyAdopted, waiter: e.Waiter, adopted: count}, records...)
	for _, p := range old.sortedPrograms() {
		if q, ok := r.programs[p.id]; ok {
			q.lastActiveAt = r.now
			r.releaseCaches(q)
		}
	}
}

// adoptionRecords returns the records of a program that its former home left behind, with its open ends closed.
func (r *reduction) adoptionRecords(p *program) []Record {
	p.spentTokens += p.reservedTokens // reserved and not settled counts as spent
	p.reservedTokens = 0
	intents := p.openIntents
	p.openIntents = map[string]Record{}
	records := p.exportRecords()
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
		records = append(records, Record{Op: OpEnded, Program: p.id, State: StateCanceled, At: r.now, Workers: slices.Clone(p.workers)})
	}
	return records
}

func errOutcomeUnknown(step, why string) *fault.Error {
	return fault.New(fault.CodeOutcomeUnknown, step, "it is not known whether the request ran: %s", why).With(fault.Unknown)
}
