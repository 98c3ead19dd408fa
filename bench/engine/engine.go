// Package engine is a timed model of a model engine: continuous batching with chunked prefill, and a prefix
// cache of limited size that evicts the least recently used program from the end of its prefix. It is driven
// in virtual time, one step of the batch at a time.
package engine

import (
	"slices"
	"sort"
)

// Params are the sizes and costs of one worker. Costs are in microseconds.
//
// The defaults of the workload files describe a dense 32B model in 16 bits on two accelerators with 80 GB
// and 3.35 TB/s each: 64 GB of weights take 10 ms to read and a step has 8 ms of fixed overhead; 64 layers
// with 8 KV heads of 128 make 262 KB per token, so the 80 GB that remain hold 300,000 tokens and reading
// 1,000 of them takes 0.04 ms; 64 GFLOP per prompt token at 800 TFLOPS sustained make 0.08 ms.
type Params struct {
	StepMicros     float64 `ini:"step_us"`      // fixed cost of a step
	SequenceMicros float64 `ini:"sequence_us"`  // per decoded sequence and step
	KVMicros       float64 `ini:"kv_us"`        // per token of context of a decoded sequence and step
	PrefillMicros  float64 `ini:"prefill_us"`   // per computed prompt token
	ChunkTokens    int64   `ini:"chunk_tokens"` // prompt tokens computed per step at most
	MaxRunning     int     `ini:"max_running"`  // sequences in the batch
	CacheTokens    int64   `ini:"cache_tokens"` // KV memory, for running sequences and idle prefixes
}

// TokenMicros is the worker time per generated token at the given context, in a batch as large as memory and
// MaxRunning allow at that context.
func (p Params) TokenMicros(context float64) float64 {
	batch := max(1, min(float64(p.MaxRunning), float64(p.CacheTokens)/context))
	return p.StepMicros/batch + p.SequenceMicros + p.KVMicros*context
}

// Sequence is one model call on the engine.
type Sequence struct {
	Program  int
	Priority int
	Prompt   int64 // tokens of the whole prompt
	History  int64 // tokens of it that were computed before on any worker
	Generate int64 // tokens of the answer
	// Tag is the caller's.
	Tag any

	// Generated counts the tokens of the answer so far, Cached the prompt tokens found in the cache, and
	// Recomputed those below History that were computed again.
	Generated, Cached, Recomputed int64

	order    int64
	target   int64 // tokens that prefill has to reach
	computed int64
	decoding bool
}

type entry struct {
	program      int
	tokens       int64
	pinned       bool
	older, newer *entry
}

// Engine is the state of one worker.
type Engine struct {
	Params
	// Freed is called whenever tokens of a program leave the cache.
	Freed func(program int, tokens int64)

	running, waiting []*Sequence
	entries          map[int]*entry
	oldest, newest   *entry
	used             int64
	order            int64
}

// New returns an idle engine with an empty cache.
func New(p Params) *Engine {
	return &Engine{Params: p, entries: map[int]*entry{}, Freed: func(int, int64) {}}
}

// Idle reports whether there is nothing to compute.
func (e *Engine) Idle() bool { return len(e.running) == 0 && len(e.waiting) == 0 }

// Load returns the running and waiting sequences and the cache in use.
func (e *Engine) Load() (running, waiting int, tokens int64) {
	return len(e.running), len(e.waiting), e.used
}

// Submit adds a sequence to the engine's own queue.
func (e *Engine) Submit(s *Sequence) {
	e.order++
	s.order = e.order
	e.waiting = append(e.waiting, s)
}

// Cancel removes a sequence; what it computed stays cached.
func (e *Engine) Cancel(s *Sequence) {
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.retire(s)
	}
}

// Release drops the idle cache of a program and returns its size.
func (e *Engine) Release(program int) int64 {
	en := e.entries[program]
	if en == nil || en.pinned {
		return 0
	}
	tokens := en.tokens
	e.shrink(en, tokens)
	return tokens
}

// Holding is the cache of one program.
type Holding struct {
	Program int
	Tokens  int64
	Running bool
}

// Holdings returns the cache per program, the least recently used first.
func (e *Engine) Holdings() []Holding {
	var out []Holding
	for en := e.oldest; en != nil; en = en.newer {
		out = append(out, Holding{en.program, en.tokens, en.pinned})
	}
	return out
}

// Clear drops everything, as the loss of the worker does, and returns the sequences that were cut off.
func (e *Engine) Clear() []*Sequence {
	cut := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for en := e.oldest; en != nil; {
		next := en.newer
		e.shrink(en, en.tokens)
		en = next
	}
	return cut
}

func before(a, b *Sequence) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.order < b.order
}

// Step runs one step of the batch. It returns its length in microseconds and the sequences that it completes.
func (e *Engine) Step() (micros int64, done []*Sequence) {
	e.admit()
	prefill := e.prefill()
	e.makeRoomForDecoding()
	var cost float64
	kept := e.running[:0]
	for _, s := range e.running {
		if !s.decoding {
			s.decoding = s.computed >= s.target
			kept = append(kept, s)
			continue
		}
		en := e.entries[s.Program]
		cost += e.SequenceMicros + e.KVMicros*float64(en.tokens)
		en.tokens++
		e.used++
		s.Generated++
		if s.Generated >= s.Generate {
			done = append(done, s)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	for _, s := range done {
		e.retire(s)
	}
	return int64(e.StepMicros + cost + e.PrefillMicros*float64(prefill)), done
}

// admit moves waiting sequences into the batch while memory can hold their prompts.
func (e *Engine) admit() {
	if len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool { return before(e.waiting[i], e.waiting[j]) })
	admitted := 0
	for _, s := range e.waiting {
		if len(e.running) >= e.MaxRunning || !e.allocate(s) {
			break
		}
		admitted++
		at := sort.Search(len(e.running), func(i int) bool { return before(s, e.running[i]) })
		e.running = slices.Insert(e.running, at, s)
	}
	e.waiting = slices.Delete(e.waiting, 0, admitted)
}

// allocate reserves memory for the prompt and what was generated before a preemption.
func (e *Engine) allocate(s *Sequence) bool {
	need := s.Prompt + s.Generated
	en := e.entries[s.Program]
	if en != nil && en.pinned {
		return false // an earlier sequence of the program is still in the batch
	}
	if en == nil {
		en = &entry{program: s.Program}
		e.entries[s.Program] = en
		e.link(en)
	}
	en.pinned = true
	hit := min(en.tokens, need)
	grow := need - en.tokens
	if e.room(grow) < grow {
		en.pinned = false
		if en.tokens == 0 {
			e.drop(en)
		}
		return false
	}
	if s.Generated == 0 {
		s.Cached = min(hit, s.Prompt)
	}
	s.target, s.computed, s.decoding = need, hit, hit >= need
	if grow > 0 {
		en.tokens += grow
		e.used += grow
	}
	e.unlink(en)
	e.link(en)
	return true
}

// prefill computes prompt tokens in the order of priority and returns how many.
func (e *Engine) prefill() int64 {
	left := e.ChunkTokens
	for _, s := range e.running {
		if left == 0 {
			break
		}
		n := min(left, s.target-s.computed)
		if n <= 0 {
			continue
		}
		history := max(s.History, s.Prompt*min(1, s.Generated)+s.Generated)
		if s.computed < history {
			s.Recomputed += min(n, history-s.computed)
		}
		s.computed += n
		left -= n
	}
	return e.ChunkTokens - left
}

// makeRoomForDecoding preempts the last sequences of the batch while the rest cannot grow by a token each.
func (e *Engine) makeRoomForDecoding() {
	for len(e.running) > 1 {
		var need int64
		for _, s := range e.running {
			if s.decoding {
				need++
			}
		}
		if e.room(need) >= need {
			return
		}
		last := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		en := e.entries[last.Program]
		en.pinned = false
		e.shrink(en, en.tokens)
		e.waiting = append(e.waiting, last)
	}
}

// room evicts idle prefixes until the tokens fit, as far as possible, and returns the free memory.
func (e *Engine) room(tokens int64) int64 {
	for en := e.oldest; en != nil && e.CacheTokens-e.used < tokens; {
		next := en.newer
		if !en.pinned {
			e.shrink(en, min(en.tokens, tokens-(e.CacheTokens-e.used)))
		}
		en = next
	}
	return e.CacheTokens - e.used
}

func (e *Engine) retire(s *Sequence) {
	en := e.entries[s.Program]
	if s.computed < s.target {
		e.shrink(en, s.target-s.computed)
	}
	if en = e.entries[s.Program]; en == nil {
		return
	}
	en.pinned = false
	e.unlink(en)
	e.link(en)
}

func (e *Engine) shrink(en *entry, tokens int64) {
	en.tokens -= tokens
	e.used -= tokens
	if tokens > 0 {
		e.Freed(en.program, tokens)
	}
	if en.tokens == 0 {
		e.drop(en)
	}
}

func (e *Engine) drop(en *entry) {
	e.unlink(en)
	delete(e.entries, en.program)
}

func (e *Engine) link(en *entry) {
	en.older, en.newer = e.newest, nil
	if e.newest != nil {
		e.newest.newer = en
	} else {
		e.oldest = en
	}
	e.newest = en
}

func (e *Engine) unlink(en *entry) {
	if en.older != nil {
		en.older.newer = en.newer
	} else {
		e.oldest = en.newer
	}
	if en.newer != nil {
		en.newer.older = en.older
	} else {
		e.newest = en.older
	}
	en.older, en.newer = nil, nil
}
