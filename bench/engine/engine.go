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
	StepMicros          float64 `ini:"step_us"`      // fixed cost of a step
	SequenceMicros      float64 `ini:"sequence_us"`  // per decoded sequence and step
	KVMicros            float64 `ini:"kv_us"`        // per token of context of a decoded sequence and step
	PrefillMicros       float64 `ini:"prefill_us"`   // per computed prompt token
	ChunkTokens         int64   `ini:"chunk_tokens"` // prompt tokens computed per step at most
	MaxRunning          int     `ini:"max_running"`  // sequences in the batch
	CacheCapacityTokens int64   `ini:"cache_tokens"` // KV memory, for running sequences and idle prefixes
}

// DecodeTokenMicros is the worker time per generated token at the given context, in a batch as large as memory and
// MaxRunning allow at that context.
func (p Params) DecodeTokenMicros(context float64) float64 {
	batch := max(1, min(float64(p.MaxRunning), float64(p.CacheCapacityTokens)/context))
	return p.StepMicros/batch + p.SequenceMicros + p.KVMicros*context
}

// Sequence is one model call on the engine.
type Sequence struct {
	Program       int
	Priority      int
	PromptTokens  int64 // tokens of the whole prompt
	HistoryTokens int64 // tokens of it that were computed before on any worker
	AnswerTokens  int64 // tokens of the answer
	// UserData is the caller's.
	UserData any

	// GeneratedTokens counts the tokens of the answer so far, Cached the prompt tokens found in the cache, and
	// Recomputed those below History that were computed again.
	GeneratedTokens, CachedTokens, RecomputedTokens int64

	arrival         int64
	prefillTarget   int64 // tokens that prefill has to reach
	prefilledTokens int64
	decoding        bool
}

type cacheEntry struct {
	program      int
	tokens       int64
	pinned       bool
	older, newer *cacheEntry
}

// Engine is the state of one worker.
type Engine struct {
	Params
	// OnFreed is called whenever tokens of a program leave the cache.
	OnFreed func(program int, tokens int64)

	running, waiting []*Sequence
	entries          map[int]*cacheEntry
	oldest, newest   *cacheEntry
	usedTokens       int64
	lastArrival      int64
}

// New returns an idle engine with an empty cache.
func New(p Params) *Engine {
	return &Engine{Params: p, entries: map[int]*cacheEntry{}, OnFreed: func(int, int64) {}}
}

// Idle reports whether there is nothing to compute.
func (e *Engine) Idle() bool { return len(e.running) == 0 && len(e.waiting) == 0 }

// Load returns the running and waiting sequences and the cache in use.
func (e *Engine) Load() (running, waiting int, tokens int64) {
	return len(e.running), len(e.waiting), e.usedTokens
}

// Submit adds a sequence to the engine's own queue.
func (e *Engine) Submit(s *Sequence) {
	e.lastArrival++
	s.arrival = e.lastArrival
	e.waiting = append(e.waiting, s)
}

// Cancel removes a sequence; what it computed stays cached.
func (e *Engine) Cancel(s *Sequence) {
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.unpinCache(s)
	}
}

// ReleaseCache drops the idle cache of a program and returns its size.
func (e *Engine) ReleaseCache(program int) int64 {
	en := e.entries[program]
	if en == nil || en.pinned {
		return 0
	}
	tokens := en.tokens
	e.shrink(en, tokens)
	return tokens
}

// ProgramCache is the cache of one program.
type ProgramCache struct {
	Program int
	Tokens  int64
	Running bool
}

// CacheByProgram returns the cache per program, the least recently used first.
func (e *Engine) CacheByProgram() []ProgramCache {
	var out []ProgramCache
	for en := e.oldest; en != nil; en = en.newer {
		out = append(out, ProgramCache{en.program, en.tokens, en.pinned})
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

func scheduledBefore(a, b *Sequence) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.arrival < b.arrival
}

// Step runs one step of the batch. It returns its length in microseconds and the sequences that it completes.
func (e *Engine) Step() (micros int64, done []*Sequence) {
	e.admit()
	prefill := e.prefill()
	e.preemptForDecoding()
	var cost float64
	kept := e.running[:0]
	for _, s := range e.running {
		if !s.decoding {
			s.decoding = s.prefilledTokens >= s.prefillTarget
			kept = append(kept, s)
			continue
		}
		en := e.entries[s.Program]
		cost += e.SequenceMicros + e.KVMicros*float64(en.tokens)
		en.tokens++
		e.usedTokens++
		s.GeneratedTokens++
		if s.GeneratedTokens >= s.AnswerTokens {
			done = append(done, s)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	for _, s := range done {
		e.unpinCache(s)
	}
	return int64(e.StepMicros + cost + e.PrefillMicros*float64(prefill)), done
}

// admit moves waiting sequences into the batch while memory can hold their prompts.
func (e *Engine) admit() {
	if len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool { return scheduledBefore(e.waiting[i], e.waiting[j]) })
	admitted := 0
	for _, s := range e.waiting {
		if len(e.running) >= e.MaxRunning || !e.allocate(s) {
			break
		}
		admitted++
		at := sort.Search(len(e.running), func(i int) bool { return scheduledBefore(s, e.running[i]) })
		e.running = slices.Insert(e.running, at, s)
	}
	e.waiting = slices.Delete(e.waiting, 0, admitted)
}

// allocate reserves memory for the prompt and what was generated before a preemption.
func (e *Engine) allocate(s *Sequence) bool {
	need := s.PromptTokens + s.GeneratedTokens
	en := e.entries[s.Program]
	if en != nil && en.pinned {
		return false // an earlier sequence of the program is still in the batch
	}
	if en == nil {
		en = &cacheEntry{program: s.Program}
		e.entries[s.Program] = en
		e.appendNewest(en)
	}
	en.pinned = true
	hit := min(en.tokens, need)
	grow := need - en.tokens
	if e.evictIdle(grow) < grow {
		en.pinned = false
		if en.tokens == 0 {
			e.removeEntry(en)
		}
		return false
	}
	if s.GeneratedTokens == 0 {
		s.CachedTokens = min(hit, s.PromptTokens)
	}
	s.prefillTarget, s.prefilledTokens, s.decoding = need, hit, hit >= need
	if grow > 0 {
		en.tokens += grow
		e.usedTokens += grow
	}
	e.removeFromList(en)
	e.appendNewest(en)
	return true
}

// prefill computes prompt tokens in the order of priority and returns how many.
func (e *Engine) prefill() int64 {
	left := e.ChunkTokens
	for _, s := range e.running {
		if left == 0 {
			break
		}
		n := min(left, s.prefillTarget-s.prefilledTokens)
		if n <= 0 {
			continue
		}
		history := max(s.HistoryTokens, s.PromptTokens*min(1, s.GeneratedTokens)+s.GeneratedTokens)
		if s.prefilledTokens < history {
			s.RecomputedTokens += min(n, history-s.prefilledTokens)
		}
		s.prefilledTokens += n
		left -= n
	}
	return e.ChunkTokens - left
}

// preemptForDecoding preempts the last sequences of the batch while the rest cannot grow by a token each.
func (e *Engine) preemptForDecoding() {
	for len(e.running) > 1 {
		var need int64
		for _, s := range e.running {
			if s.decoding {
				need++
			}
		}
		if e.evictIdle(need) >= need {
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

// evictIdle evicts idle prefixes until the tokens fit, as far as possible, and returns the free memory.
func (e *Engine) evictIdle(tokens int64) int64 {
	for en := e.oldest; en != nil && e.CacheCapacityTokens-e.usedTokens < tokens; {
		next := en.newer
		if !en.pinned {
			e.shrink(en, min(en.tokens, tokens-(e.CacheCapacityTokens-e.usedTokens)))
		}
		en = next
	}
	return e.CacheCapacityTokens - e.usedTokens
}

func (e *Engine) unpinCache(s *Sequence) {
	en := e.entries[s.Program]
	if s.prefilledTokens < s.prefillTarget {
		e.shrink(en, s.prefillTarget-s.prefilledTokens)
	}
	if en = e.entries[s.Program]; en == nil {
		return
	}
	en.pinned = false
	e.removeFromList(en)
	e.appendNewest(en)
}

func (e *Engine) shrink(en *cacheEntry, tokens int64) {
	en.tokens -= tokens
	e.usedTokens -= tokens
	if tokens > 0 {
		e.OnFreed(en.program, tokens)
	}
	if en.tokens == 0 {
		e.removeEntry(en)
	}
}

func (e *Engine) removeEntry(en *cacheEntry) {
	e.removeFromList(en)
	delete(e.entries, en.program)
}

func (e *Engine) appendNewest(en *cacheEntry) {
	en.older, en.newer = e.newest, nil
	if e.newest != nil {
		e.newest.newer = en
	} else {
		e.oldest = en
	}
	e.newest = en
}

func (e *Engine) removeFromList(en *cacheEntry) {
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
