// Package engine simulates the timing of an inference engine: continuous batching with chunked prefill, and a prefix
// cache of limited size that evicts the least recently used program from the end of its prefix. The caller advances
// it in virtual time, one step of the batch at a time.
package engine

import (
	"slices"
	"sort"
)

// Params are the sizes and costs of one worker. Costs are in microseconds.
//
// The defaults of the workload files describe a dense 32B model in 16 bits on two accelerators with 80 GB
// and 3.35 TB/s each. Reading 64 GB of weights takes 10 ms, and a step has 8 ms of fixed overhead. 64 layers with 8 KV
// heads of dimension 128 use 262 KB per token, so the remaining 80 GB hold 300,000 tokens, and reading 1,000 of them
// takes 0.04 ms. A prompt token costs 64 GFLOP, which takes 0.08 ms at 800 TFLOPS sustained.
type Params struct {
	StepMicros          float64 `ini:"step_us"`      // fixed cost of a step
	SequenceMicros      float64 `ini:"sequence_us"`  // per decoded sequence and step
	KVMicros            float64 `ini:"kv_us"`        // per token of context of a decoded sequence and step
	PrefillMicros       float64 `ini:"prefill_us"`   // per computed prompt token
	ChunkTokens         int64   `ini:"chunk_tokens"` // max prompt tokens computed per step
	MaxRunning          int     `ini:"max_running"`  // max sequences in the batch
	CacheCapacityTokens int64   `ini:"cache_tokens"` // KV memory, for running sequences and idle prefixes
}

// DecodeTokenMicros returns the worker time per generated token, in microseconds, at a context length in tokens. It
// assumes the largest batch that the cache capacity and MaxRunning allow at that length.
func (p Params) DecodeTokenMicros(context float64) float64 {
	batch := max(1, min(float64(p.MaxRunning), float64(p.CacheCapacityTokens)/context))
	return p.StepMicros/batch + p.SequenceMicros + p.KVMicros*context
}

// Sequence is one model call on the engine.
type Sequence struct {
	Program       int
	Priority      int
	PromptTokens  int64 // tokens of the whole prompt
	HistoryTokens int64 // prompt tokens that some worker has computed before
	AnswerTokens  int64 // tokens of the answer
	// UserData is not used by the engine.
	UserData any

	// GeneratedTokens counts the answer tokens so far, CachedTokens the prompt tokens found in the cache, and
	// RecomputedTokens the tokens that had been computed before and were computed again.
	GeneratedTokens, CachedTokens, RecomputedTokens int64

	arrival         int64
	prefillTarget   int64 // prefill is complete at this number of tokens
	prefilledTokens int64
	decoding        bool
}

type cacheEntry struct {
	program      int
	tokens       int64
	pinned       bool // a sequence of the program is in the batch
	older, newer *cacheEntry
}

// Engine is the simulated engine of one worker.
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

// Idle reports whether no sequence is running or waiting.
func (e *Engine) Idle() bool { return len(e.running) == 0 && len(e.waiting) == 0 }

// Load returns the numbers of running and waiting sequences and the cache in use in tokens.
func (e *Engine) Load() (running, waiting int, tokens int64) {
	return len(e.running), len(e.waiting), e.usedTokens
}

// Submit adds a sequence to the engine's own queue.
func (e *Engine) Submit(s *Sequence) {
	e.lastArrival++
	s.arrival = e.lastArrival
	e.waiting = append(e.waiting, s)
}

// Cancel removes a sequence. The tokens that it has computed stay cached.
func (e *Engine) Cancel(s *Sequence) {
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.unpinCache(s)
	}
}

// ReleaseCache frees the idle cache of a program and returns its size in tokens.
func (e *Engine) ReleaseCache(program int) int64 {
	entry := e.entries[program]
	if entry == nil || entry.pinned {
		return 0
	}
	tokens := entry.tokens
	e.shrink(entry, tokens)
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
	var caches []ProgramCache
	for entry := e.oldest; entry != nil; entry = entry.newer {
		caches = append(caches, ProgramCache{entry.program, entry.tokens, entry.pinned})
	}
	return caches
}

// Clear removes all sequences and all cache, as a failure of the worker does, and returns those sequences.
func (e *Engine) Clear() []*Sequence {
	interrupted := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for entry := e.oldest; entry != nil; {
		next := entry.newer
		e.shrink(entry, entry.tokens)
		entry = next
	}
	return interrupted
}

func scheduledBefore(a, b *Sequence) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.arrival < b.arrival
}

// Step runs one step of the batch. It returns the duration of the step in microseconds and the sequences that it
// completes.
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
		entry := e.entries[s.Program]
		cost += e.SequenceMicros + e.KVMicros*float64(entry.tokens)
		entry.tokens++
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

// admit moves waiting sequences into the batch while the cache has room for their prompts.
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
		index := sort.Search(len(e.running), func(i int) bool { return scheduledBefore(s, e.running[i]) })
		e.running = slices.Insert(e.running, index, s)
	}
	e.waiting = slices.Delete(e.waiting, 0, admitted)
}

// allocate reserves cache for the prompt and for the tokens generated before a preemption. It returns false if they do
// not fit or if an earlier sequence of the program is still in the batch.
func (e *Engine) allocate(s *Sequence) bool {
	need := s.PromptTokens + s.GeneratedTokens
	entry := e.entries[s.Program]
	if entry != nil && entry.pinned {
		return false
	}
	if entry == nil {
		entry = &cacheEntry{program: s.Program}
		e.entries[s.Program] = entry
		e.appendNewest(entry)
	}
	entry.pinned = true
	hit := min(entry.tokens, need)
	grow := need - entry.tokens
	if e.evictIdle(grow) < grow {
		entry.pinned = false
		if entry.tokens == 0 {
			e.removeEntry(entry)
		}
		return false
	}
	if s.GeneratedTokens == 0 {
		s.CachedTokens = min(hit, s.PromptTokens)
	}
	s.prefillTarget, s.prefilledTokens, s.decoding = need, hit, hit >= need
	if grow > 0 {
		entry.tokens += grow
		e.usedTokens += grow
	}
	e.removeFromList(entry)
	e.appendNewest(entry)
	return true
}

// prefill computes up to ChunkTokens prompt tokens in the order of priority and returns their number.
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

// preemptForDecoding preempts sequences from the end of the batch until each decoding one can grow by a token.
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
		entry := e.entries[last.Program]
		entry.pinned = false
		e.shrink(entry, entry.tokens)
		e.waiting = append(e.waiting, last)
	}
}

// evictIdle evicts unpinned prefixes until the tokens fit or none is left, and returns the free cache in tokens.
func (e *Engine) evictIdle(tokens int64) int64 {
	for entry := e.oldest; entry != nil && e.CacheCapacityTokens-e.usedTokens < tokens; {
		next := entry.newer
		if !entry.pinned {
			e.shrink(entry, min(entry.tokens, tokens-(e.CacheCapacityTokens-e.usedTokens)))
		}
		entry = next
	}
	return e.CacheCapacityTokens - e.usedTokens
}

func (e *Engine) unpinCache(s *Sequence) {
	entry := e.entries[s.Program]
	if s.prefilledTokens < s.prefillTarget {
		e.shrink(entry, s.prefillTarget-s.prefilledTokens)
	}
	if entry = e.entries[s.Program]; entry == nil {
		return
	}
	entry.pinned = false
	e.removeFromList(entry)
	e.appendNewest(entry)
}

func (e *Engine) shrink(entry *cacheEntry, tokens int64) {
	entry.tokens -= tokens
	e.usedTokens -= tokens
	if tokens > 0 {
		e.OnFreed(entry.program, tokens)
	}
	if entry.tokens == 0 {
		e.removeEntry(entry)
	}
}

func (e *Engine) removeEntry(entry *cacheEntry) {
	e.removeFromList(entry)
	delete(e.entries, entry.program)
}

func (e *Engine) appendNewest(entry *cacheEntry) {
	entry.older, entry.newer = e.newest, nil
	if e.newest != nil {
		e.newest.newer = entry
	} else {
		e.oldest = entry
	}
	e.newest = entry
}

func (e *Engine) removeFromList(entry *cacheEntry) {
	if entry.older != nil {
		entry.older.newer = entry.newer
	} else {
		e.oldest = entry.newer
	}
	if entry.newer != nil {
		entry.newer.older = entry.older
	} else {
		e.newest = entry.older
	}
	entry.older, entry.newer = nil, nil
}
