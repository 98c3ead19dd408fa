package engine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxCacheEvents bounds the kept cache events. Callers that fall behind miss the older ones.
const maxCacheEvents = 10_000

// cacheEntry is the cache of one program: the hashes of the words of its last request and answer.
type cacheEntry struct {
	words           []uint64
	reservedTokens  int // tokens that its running requests need in the end
	runningRequests int
	lastUse         uint64 // rises with each use
}

func (c *cacheEntry) size() int { return max(len(c.words), c.reservedTokens) }

// cache is the prefix cache of one engine. Entries of programs with running requests are not evicted.
type cache struct {
	capacity   int
	entries    map[string]*cacheEntry
	useCounter uint64
	events     cacheEvents
}

func newCache(limit int, events cacheEvents) *cache {
	return &cache{capacity: limit, entries: map[string]*cacheEntry{}, events: events}
}

func (c *cache) usedTokens() int {
	n := 0
	for _, e := range c.entries {
		n += e.size()
	}
	return n
}

// commonPrefix returns how many words of prompt the cache holds for the program.
func (c *cache) commonPrefix(program string, prompt []uint64) int {
	e := c.entries[program]
	if e == nil {
		return 0
	}
	n := 0
	for n < len(e.words) && n < len(prompt) && e.words[n] == prompt[n] {
		n++
	}
	return n
}

// reserve makes room for a request that needs this many tokens, and pins its program. It returns false if
// the pinned programs leave too little room; with force it evicts what it can and goes over the limit.
func (c *cache) reserve(program string, need int, force bool) bool {
	pinned := 0
	for name, e := range c.entries {
		if name != program && e.runningRequests > 0 {
			pinned += e.size()
		}
	}
	e := c.entries[program]
	own := need
	if e != nil {
		own = max(len(e.words), e.reservedTokens+need)
	}
	if pinned+own > c.capacity && !force {
		return false
	}
	if e == nil {
		e = &cacheEntry{}
		c.entries[program] = e
	}
	e.reservedTokens += need
	e.runningRequests++
	c.touch(e)
	c.evict()
	return true
}

// finish stores the words of a request that ran, and gives its reservation back.
func (c *cache) finish(program string, need int, words []uint64) {
	e := c.entries[program]
	e.reservedTokens -= need
	e.runningRequests--
	e.words = words
	c.touch(e)
	c.evict()
	if e.runningRequests == 0 && len(e.words) > c.capacity {
		e.words = slices.Clone(e.words[:c.capacity])
	}
	if e.size() == 0 && e.runningRequests == 0 { // the request ended before its first step did
		delete(c.entries, program)
		return
	}
	c.events.add(program, "stored", len(e.words))
}

func (c *cache) touch(e *cacheEntry) {
	c.useCounter++
	e.lastUse = c.useCounter
}

// evict drops the least recently used programs until the rest fits; the latest used one stays.
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
	n := len(c.entries[program].words)
	delete(c.entries, program)
	c.events.add(program, "evicted", n)
	return n
}

// release drops the cache of a program. It leaves that of a program with a running request, because the
// request uses it, and stores it when it ends.
func (c *cache) release(program string) int {
	if e := c.entries[program]; e == nil || e.runningRequests > 0 {
		return 0
	}
	return c.drop(program)
}

// clear drops all programs that have no running request.
func (c *cache) clear() {
	for _, program := range slices.Sorted(maps.Keys(c.entries)) {
		c.release(program)
	}
}

// importWords stores imported words and returns how many fit.
func (c *cache) importWords(program string, words []uint64) int {
	if e := c.entries[program]; e != nil && e.runningRequests > 0 {
		return len(e.words)
	}
	c.reserve(program, 0, true)
	c.finish(program, 0, words)
	return min(len(words), c.capacity)
}

type programTokens struct {
	Program string `json:"program"`
	Tokens  int    `json:"tokens"`
}

// programs lists the cache by program, in name order. A running program counts with its reservation.
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

// cacheEvents publishes events late and drops every dropEvery-th one.
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

// visibleAfter returns the visible events with a higher number, and the number to ask with next.
func (v *cacheEvents) visibleAfter(seq uint64) ([]cacheEvent, uint64) {
	out, next, limit := []cacheEvent{}, seq, time.Now().Add(-v.lag)
	for _, e := range v.retained {
		if e.Seq > seq && !e.at.After(limit) {
			out = append(out, e)
			next = e.Seq
		}
	}
	return out, next
}
