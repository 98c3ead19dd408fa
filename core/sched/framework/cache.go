package framework

import "github.com/hyssopreel/hyssopreel/common/clock"

// Entry is the estimated cache of one program on one worker. The entries of a worker form a list in the
// order of last use, like the engine's own least recently used order.
type Entry struct {
	Program *Program
	Worker  *Worker
	Tokens  int64
	// UsedAt is the last time a call of the program started or ended on the worker.
	UsedAt clock.Millis

	older, newer *Entry
}

// Cached returns the estimated cache of p on w, in tokens.
func (p *Program) Cached(w *Worker) int64 {
	if e := p.Entry(w); e != nil {
		return e.Tokens
	}
	return 0
}

// Entries returns the estimated cache of the program; the slice must not be changed.
func (p *Program) Entries() []*Entry { return p.entries }

// Entry returns the entry of p on w, or nil.
func (p *Program) Entry(w *Worker) *Entry {
	for _, e := range p.entries {
		if e.Worker == w {
			return e
		}
	}
	return nil
}

// SetCached records that p holds the given tokens on w since now, and evicts the least recently used
// entries of other programs without a running call on w until the worker's cache can hold the rest.
func SetCached(p *Program, w *Worker, tokens int64, now clock.Millis) {
	e := p.Entry(w)
	if e == nil {
		e = &Entry{Program: p, Worker: w}
		p.entries = append(p.entries, e)
	} else {
		unlink(e)
	}
	w.Held += tokens - e.Tokens
	e.Tokens, e.UsedAt = tokens, now
	link(e)
	for o := w.oldest; o != nil && w.Held > w.CacheTokens; {
		next := o.newer
		if o != e && !(o.Program.Running > 0 && o.Program.Last == w) {
			if over := w.Held - w.CacheTokens; over < o.Tokens {
				CorrectCached(o, o.Tokens-over) // engines evict the end of a prefix first
			} else {
				DropCached(o.Program, w)
			}
		}
		o = next
	}
}

// DropCached forgets the cache of p on w.
func DropCached(p *Program, w *Worker) {
	for i, e := range p.entries {
		if e.Worker == w {
			unlink(e)
			w.Held -= e.Tokens
			p.entries = append(p.entries[:i], p.entries[i+1:]...)
			return
		}
	}
}

// EachEntry calls fn for every entry of w, the least recently used first. fn may drop the entry.
func EachEntry(w *Worker, fn func(*Entry)) {
	for e := w.oldest; e != nil; {
		next := e.newer
		fn(e)
		e = next
	}
}

// CorrectCached sets the tokens of an entry from a report without changing its place in the order.
func CorrectCached(e *Entry, tokens int64) {
	e.Worker.Held += tokens - e.Tokens
	e.Tokens = tokens
}

func link(e *Entry) {
	w := e.Worker
	e.older, e.newer = w.newest, nil
	if w.newest != nil {
		w.newest.newer = e
	} else {
		w.oldest = e
	}
	w.newest = e
}

func unlink(e *Entry) {
	w := e.Worker
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		w.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		w.newest = e.older
	}
	e.older, e.newer = nil, nil
}
