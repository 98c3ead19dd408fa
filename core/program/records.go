package program

import (
	"maps"
	"slices"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
)

// Values of State in api.CallAnswer.
const (
	AnswerQueued  = "queued"
	AnswerRunning = "running"
	AnswerDone    = "done"
	AnswerFailed  = "failed"
	AnswerUnknown = "unknown"
)

// applyRecord applies one record to the state. Records of unknown programs are ignored, because the records of an
// expired program may precede its OpExpired in the journal.
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

// applyImported clears ImportedFrom of the programs of a journal: their records are complete, and a later snapshot
// needs no OpImported for them.
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

// recordWorker adds a worker that may have the program cached; the latest worker is the last.
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
	// No call of the program runs any more, so reserved tokens that were not settled are not spent.
	p.reservedTokens = 0
}

// sortedPrograms returns the programs in the order of their IDs, so that a replay emits the same effects.
func (s *State) sortedPrograms() []*program {
	keys := slices.Sorted(maps.Keys(s.programs))
	out := make([]*program, len(keys))
	for i, k := range keys {
		out[i] = s.programs[k]
	}
	return out
}

// Export returns records from which AdoptionRequested rebuilds all programs at another home.
func (s *State) Export() []Record {
	var out []Record
	for _, p := range s.sortedPrograms() {
		out = append(out, p.exportRecords()...)
	}
	return out
}

func (p *program) exportRecords() []Record {
	h := p.header
	// The records of the turns add their cost to SpentTokens, so the header has only the rest.
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

// restoreState rebuilds programs from the records of a journal. Programs whose import is incomplete are left out,
// because the journal that they come from still has them.
func restoreState(journal ids.Journal, records []Record) *State {
	s := New()
	s.journal = journal
	for i := range records {
		s.applyRecord(&records[i])
	}
	maps.DeleteFunc(s.programs, func(_ ids.Program, p *program) bool { return p.header.ImportedFrom != "" })
	return s
}

// handleAdoptionRequested adopts the programs of a sealed journal. Of the calls that had not ended there, those
// with an intent get the turn "outcome unknown"; the others are dropped, so that their keys can be submitted
// again. Programs that this home already has are skipped, so that an adoption can be repeated.
func (r *reduction) handleAdoptionRequested(e AdoptionRequested) {
	sealed := restoreState(e.Journal, e.Records)
	adopted := 0
	var records []Record
	for _, p := range sealed.sortedPrograms() {
		if _, ok := r.programs[p.id]; ok {
			continue
		}
		adopted++
		p.header.ImportedFrom = e.Journal
		records = append(records, r.adoptionRecords(p)...)
	}
	records = append(records, Record{Op: OpImported, Journal: e.Journal})
	r.applyAndCommit(pendingCommit{action: actionReplyAdopted, waiter: e.Waiter, adopted: adopted}, records...)
	for _, restored := range sealed.sortedPrograms() {
		if p, ok := r.programs[restored.id]; ok {
			p.lastActiveAt = r.now
			r.releaseCaches(p)
		}
	}
}

// adoptionRecords returns the records of a program of a sealed journal, with a turn "outcome unknown" for each
// intent that has no outcome.
func (r *reduction) adoptionRecords(p *program) []Record {
	p.spentTokens += p.reservedTokens // running calls may have cost all of it
	p.reservedTokens = 0
	intents := p.openIntents
	p.openIntents = map[string]Record{}
	records := p.exportRecords()
	if p.state != StateOpen {
		return records
	}
	for i, k := range slices.Sorted(maps.Keys(intents)) {
		t := api.Turn{Seq: len(p.turns) + 1 + i, Key: k, Error: errOutcomeUnknown("takeover", "the home of the program failed after it may have sent the request")}
		if c := intents[k].Call; c != nil {
			t.Kind, t.Request = c.Kind, requestText(*c)
		}
		records = append(records, Record{Op: OpTurn, Program: p.id, Key: k, Hash: intents[k].Hash, Turn: &t})
	}
	// Only the parent's call waits for the child of an agent call, and that call has ended as outcome unknown.
	if p.header.ParentKey != "" {
		records = append(records, Record{Op: OpEnded, Program: p.id, State: StateCanceled, At: r.now, Workers: slices.Clone(p.workers)})
	}
	return records
}

func errOutcomeUnknown(step, reason string) *fault.Error {
	return fault.New(fault.CodeOutcomeUnknown, step, "the request may have taken effect: %s", reason).WithOutcome(fault.OutcomeUnknown)
}
