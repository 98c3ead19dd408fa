package engine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxCacheEvents bounds the retained cache events. Callers that fall further behind miss the oldest ones.
const maxCacheEvents = 10_000

// cacheEntry is the cached prompt of one program: the hashes of the words of its last request and answer.
type cacheEntry struct {
	hashes          []uint64
	reservedTokens  int // need of its running requests at their end
	runningRequests int
	lastUse         uint64 // cache.useCounter at the last use
}

func (c *cacheEntry) size() int { return max(len(c.hashes), c.reservedTokens) }

// cache is the prefix cache of one engine, measured in tokens. Entries of programs with running requests are not
// evicted. Engine.mu guards it.
type cache struct {
	capacity   int
	entries    map[string]*cacheEntry
	useCounter uint64
	events     cacheEvents
}

func newCache(capacity int, events cacheEvents) *cache {
	return &cache{capacity: capacity, entries: map[string]*cacheEntry{}, events: events}
}

func (c *cache) usedTokens() int {
	n := 0
	for _, e := range c.entries {
		n += e.size()
	}
	return n
}

// commonPrefix returns the length, in tokens, of the prefix of prompt that is cached for the program.
func (c *cache) commonPrefix(program string, prompt []uint64) int {
	e := c.entries[program]
	if e == nil {
		return 0
	}
	n := 0
	for n < len(e.hashes) && n < len(prompt) && e.hashes[n] == prompt[n] {
		n++
	}
	return n
}

// reserve reserves tokens for a request of the program, evicts other programs as needed, and excludes the program from
// eviction until finish. It returns false if programs with running requests leave too little capacity; with force it
// evicts all it can and exceeds the capacity.
func (c *cache) reserve(program string, tokens int, force bool) bool {
	pinned := 0
	for name, e := range c.entries {
		if name != program && e.runningRequests > 0 {
			pinned += e.size()
		}
	}
	e := c.entries[program]
	own := tokens
	if e != nil {
		own = max(len(e.hashes), e.reservedTokens+tokens)
	}
	if pinned+own > c.capacity && !force {
		return false
	}
	if e == nil {
		e = &cacheEntry{}
		c.entries[program] = e
	}
	e.reservedTokens += tokens
	e.runningRequests++
	c.touch(e)
	c.evict()
	return true
}

// finish stores the word hashes of an ended request and returns its reserved tokens.
func (c *cache) finish(program string, reserved int, hashes []uint64) {
	e := c.entries[program]
	e.reservedTokens -= reserved
	e.runningRequests--
	e.hashes = hashes
	c.touch(e)
	c.evict()
	if e.runningRequests == 0 && len(e.hashes) > c.capacity {
		e.hashes = slices.Clone(e.hashes[:c.capacity])
	}
	if e.size() == 0 && e.runningRequests == 0 { // the request ended before its first step completed
		delete(c.entries, program)
		return
	}
	c.events.add(program, "stored", len(e.hashes))
}

func (c *cache) touch(e *cacheEntry) {
	c.useCounter++
	e.lastUse = c.useCounter
}

// evict drops the least recently used programs until the cache fits its capacity. It keeps the one used last.
func (c *cache) evict() {
	for total := c.usedTokens(); total > c.capacity; {
		oldest := ""
		for name, e := range c.entries {
			if e.runningRequests == 0 && e.lastUse != c.useCounter && (oldest == "" || e.lastUse < c.entries[oldest].lastUse) {
				oldest = name
			}
		}
		if oldest == "" {
			return
		}
		total -= c.drop(oldest)
	}
}

func (c *cache) drop(program string) int {
	n := len(c.entries[program].hashes)
	delete(c.entries, program)
	c.events.add(program, "evicted", n)
	return n
}

// release drops the cached prompt of a program and returns its tokens. It keeps that of a program with a running
// request, which uses it and stores it again at its end.
func (c *cache) release(program string) int {
	if e := c.entries[program]; e == nil || e.runningRequests > 0 {
		return 0
	}
	return c.drop(program)
}

// clear drops the cached prompts of all programs without running requests.
func (c *cache) clear() {
	for _, program := range slices.Sorted(maps.Keys(c.entries)) {
		c.release(program)
	}
}

// importHashes stores an imported prompt and returns the number of its cached tokens. If the program has a running
// request, its present prompt stays.
func (c *cache) importHashes(program string, hashes []uint64) int {
	if e := c.entries[program]; e != nil && e.runningRequests > 0 {
		return len(e.hashes)
	}
	c.reserve(program, 0, true)
	c.finish(program, 0, hashes)
	return min(len(hashes), c.capacity)
}

type programTokens struct {
	Program string `json:"program"`
	Tokens  int    `json:"tokens"`
}

// programs lists the cached tokens by program, in name order. A program with running requests counts with its reserved
// cache if that is larger.
func (c *cache) programs() []programTokens {
	out := []programTokens{}
	for name, e := range c.entries {
		if e.size() > 0 {
			out = append(out, programTokens{name, e.size()})
		}
	}
	slices.SortFunc(out, func(a, b programTokens) int { return strings.Compare(a.Program, b.Program) })
	return out
}

type cacheEvent struct {
	Seq     uint64 `json:"seq"`
	Program string `json:"program"`
	Kind    string `json:"kind"`
	Tokens  int    `json:"tokens"`
	at      time.Time
}

// cacheEvents publishes events after a lag and loses every dropEvery-th one (0: none).
type cacheEvents struct {
	lag       time.Duration
	dropEvery uint64
	seq       uint64
	retained  []cacheEvent
}

func (v *cacheEvents) add(program, kind string, tokens int) {
	v.seq++
	if v.dropEvery > 0 && v.seq%v.dropEvery == 0 {
		return
	}
	v.retained = append(v.retained, cacheEvent{v.seq, program, kind, tokens, time.Now()})
	if len(v.retained) > maxCacheEvents {
		v.retained = slices.Clone(v.retained[maxCacheEvents/2:])
	}
}

// visibleAfter returns the events with a higher number than seq that are older than the lag, and the seq of the next
// call.
func (v *cacheEvents) visibleAfter(seq uint64) ([]cacheEvent, uint64) {
	out, next, cutoff := []cacheEvent{}, seq, time.Now().Add(-v.lag)
	for _, e := range v.retained {
		if e.Seq > seq && !e.at.After(cutoff) {
			out = append(out, e)
			next = e.Seq
		}
	}
	return out, next
}
