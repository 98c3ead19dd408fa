package framework

import "github.com/hyssopreel/hyssopreel/common/clock"

// CacheEntry is the estimated cache of one program on one worker. The entries of a worker form a list in least
// recently used (LRU) order, like the engine's own.
type CacheEntry struct {
	Program *Program
	Worker  *Worker
	Tokens  int64
	// LastUsedAt is the last time a call of the program started or ended on the worker.
	LastUsedAt clock.Millis

	older, newer *CacheEntry
}

// CachedTokens returns the estimated cache of p on w, in tokens.
func (p *Program) CachedTokens(w *Worker) int64 {
	if e := p.CacheEntry(w); e != nil {
		return e.Tokens
	}
	return 0
}

// CacheEntries returns the program's entries on all workers; the slice must not be changed.
func (p *Program) CacheEntries() []*CacheEntry { return p.cacheEntries }

// CacheEntry returns the entry of p on w, or nil.
func (p *Program) CacheEntry(w *Worker) *CacheEntry {
	for _, e := range p.cacheEntries {
		if e.Worker == w {
			return e
		}
	}
	return nil
}

// SetCachedTokens sets the entry of p on w, used at now. It then evicts entries of other programs without a running
// call on w, the least recently used first, until the entries fit the worker's cache.
func SetCachedTokens(p *Program, w *Worker, tokens int64, now clock.Millis) {
	e := p.CacheEntry(w)
	if e == nil {
		e = &CacheEntry{Program: p, Worker: w}
		p.cacheEntries = append(p.cacheEntries, e)
	} else {
		removeFromLRU(e)
	}
	w.CacheUsedTokens += tokens - e.Tokens
	e.Tokens, e.LastUsedAt = tokens, now
	pushNewest(e)
	for victim := w.oldestEntry; victim != nil && w.CacheUsedTokens > w.CacheCapacityTokens; {
		next := victim.newer
		if victim != e && !(victim.Program.Running > 0 && victim.Program.LastWorker == w) {
			if excess := w.CacheUsedTokens - w.CacheCapacityTokens; excess < victim.Tokens {
				CorrectCachedTokens(victim, victim.Tokens-excess) // engines evict the end of a prefix first
			} else {
				DropCacheEntry(victim.Program, w)
			}
		}
		victim = next
	}
}

// DropCacheEntry removes the entry of p on w, if there is one.
func DropCacheEntry(p *Program, w *Worker) {
	for i, e := range p.cacheEntries {
		if e.Worker == w {
			removeFromLRU(e)
			w.CacheUsedTokens -= e.Tokens
			p.cacheEntries = append(p.cacheEntries[:i], p.cacheEntries[i+1:]...)
			return
		}
	}
}

// EachCacheEntry calls fn for every entry of w, the least recently used first. fn may drop that entry.
func EachCacheEntry(w *Worker, fn func(*CacheEntry)) {
	for e := w.oldestEntry; e != nil; {
		next := e.newer
		fn(e)
		e = next
	}
}

// CorrectCachedTokens sets the tokens of an entry without changing its position in the LRU order.
func CorrectCachedTokens(e *CacheEntry, tokens int64) {
	e.Worker.CacheUsedTokens += tokens - e.Tokens
	e.Tokens = tokens
}

func pushNewest(e *CacheEntry) {
	w := e.Worker
	e.older, e.newer = w.newestEntry, nil
	if w.newestEntry != nil {
		w.newestEntry.newer = e
	} else {
		w.oldestEntry = e
	}
	w.newestEntry = e
}

func removeFromLRU(e *CacheEntry) {
	w := e.Worker
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		w.oldestEntry = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		w.newestEntry = e.older
	}
	e.older, e.newer = nil, nil
}
