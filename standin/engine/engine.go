// Package engine is a stand-in for a model engine: continuous batching in time, a prefix cache in limited
// memory, deterministic answers, orders, and faults. The protocol is in docs/external-protocols.md.
package engine

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/standin/internal/control"
)

const (
	// batchGrowth is the part of the base step time that each further request of the batch adds.
	batchGrowth = 0.01
	// prefillChunk is the most prompt tokens that one step computes over all requests. A long prompt is
	// computed in several steps, so that running streams go on.
	prefillChunk = 2048
	maxExports   = 64
)

// Defaults of Config.
const (
	DefaultStep        = 5 * time.Millisecond
	DefaultPrefill     = 10 * time.Microsecond
	DefaultMaxRunning  = 8
	DefaultCacheTokens = 200_000
)

// Config of one engine. Zero values of Step, Prefill, MaxRunning and CacheTokens stand for their defaults;
// a negative Prefill is none.
type Config struct {
	Name  string
	Model string
	// Step is the time of one step with one request; Prefill is the time of one uncached prompt token.
	Step    time.Duration
	Prefill time.Duration
	// MaxRunning is the number of requests in the batch; further ones wait.
	MaxRunning int
	// CacheTokens bounds the cache. Requests wait while the running ones leave them too little of it.
	CacheTokens int
	// EventLag is the delay of cache events; every EventDropEvery-th event is lost (0: none).
	EventLag       time.Duration
	EventDropEvery int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Weights is the URL of the weight store; without it, loading takes no fetch. Load is added to the fetch.
	Weights string
	Load    time.Duration
	// Transfer is the time of one token at the export and the import of cache.
	Transfer time.Duration
}

// Faults of an engine, set by POST /control/faults. They do not touch the control calls.
type Faults struct {
	// Leaving answers new requests with 503 and Request-Not-Run. Accepted ones go on.
	Leaving bool `json:"leaving"`
	// BreakAfterTokens closes a stream after that many tokens (null: off; 0: before the first token) and
	// aborts its request. It does so for the next BreakTimes streams that get there; 0 means 1.
	BreakAfterTokens *int `json:"break_after_tokens"`
	BreakTimes       int  `json:"break_times"`
	// StallAfterTokens lets every stream go silent after that many tokens (null: off), with its connection
	// open. Generation goes on, and so does the stream once the fault is cleared.
	StallAfterTokens *int `json:"stall_after_tokens"`
	// RefuseRelease answers every cache release with 500 and keeps the cache.
	RefuseRelease bool `json:"refuse_release"`
	// StepMS replaces the base step time; 0 is off.
	StepMS float64 `json:"step_ms"`
}

// Counters is the answer of GET /control/counters.
type Counters struct {
	Name string `json:"name"` // of the engine
	// Executions counts, by request_id, how often the request entered the batch.
	Executions map[string]int64 `json:"executions"`
	// Traces has the traceparent header of the latest request with each request_id, if it had one.
	Traces map[string]string `json:"traces"`
	// Order has the request IDs of each program in the order in which they entered the batch.
	Order           map[string][]string `json:"order"`
	PromptTokens    int64               `json:"prompt_tokens"`
	CachedTokens    int64               `json:"cached_tokens"`
	GeneratedTokens int64               `json:"generated_tokens"`
	// Cache is the cache by program; a running program counts with what it needs in the end.
	Cache  map[string]int `json:"cache"`
	Orders []OrderRecord  `json:"orders"`
	// LeavingAccepted counts requests that arrived while the fault "leaving" was set; LoadingRefused those
	// that arrived while the engine was loading.
	LeavingAccepted int64 `json:"leaving_accepted"`
	LoadingRefused  int64 `json:"loading_refused"`
	// Aborted counts requests that were canceled, broken by a fault or left by their caller.
	Aborted int64 `json:"aborted"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// MaxRunning is the largest batch so far.
	MaxRunning int `json:"max_running"`
	// Released counts the accepted release calls by program.
	Released map[string]int64 `json:"released"`
}

// Engine is the stand-in; it is an http.Handler.
type Engine struct {
	cfg    Config
	router *chi.Mux
	faults *control.Faults[Faults]
	ctx    context.Context // ends at Close
	cancel context.CancelFunc
	wake   chan struct{} // has room for one signal to the step loop

	mu       sync.Mutex
	seq      uint64
	waiting  []*request
	running  []*request
	cache    *cache
	reports  []loadReport // in time order; the first one is the newest that is old enough, or the start
	orders   orderState
	exports  []exported
	nextRef  int
	counters Counters
}

// New starts an engine. Close stops it.
func New(cfg Config) *Engine {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:    cfg,
		router: chi.NewRouter(),
		faults: control.NewFaults[Faults](),
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
		cache:  newCache(cfg.CacheTokens, cacheEvents{lag: cfg.EventLag, dropEvery: uint64(max(0, cfg.EventDropEvery))}),
		orders: orderState{Model: cfg.Model, Adapters: []string{}},
		counters: Counters{
			Name:       cfg.Name,
			Executions: map[string]int64{}, Traces: map[string]string{},
			Order:    map[string][]string{},
			Orders:   []OrderRecord{},
			Released: map[string]int64{},
		},
	}
	e.report()
	e.mount()
	go e.loop()
	return e
}

func withDefaults(cfg Config) Config {
	if cfg.Step <= 0 {
		cfg.Step = DefaultStep
	}
	if cfg.Prefill == 0 {
		cfg.Prefill = DefaultPrefill
	}
	cfg.Prefill = max(0, cfg.Prefill)
	if cfg.MaxRunning <= 0 {
		cfg.MaxRunning = DefaultMaxRunning
	}
	if cfg.CacheTokens <= 0 {
		cfg.CacheTokens = DefaultCacheTokens
	}
	return cfg
}

func (e *Engine) mount() {
	e.router.Post("/v1/chat/completions", e.complete)
	e.router.Post("/v1/cancel", e.cancelRequest)
	e.router.Post("/v1/cache/release", e.releaseCache)
	e.router.Get("/v1/cache/programs", e.listPrograms)
	e.router.Get("/v1/cache/events", e.listEvents)
	e.router.Post("/v1/cache/export", e.exportCache)
	e.router.Get("/v1/cache/exported/{id}", e.serveExport)
	e.router.Post("/v1/cache/import", e.importCache)
	e.router.Get("/v1/load", e.showLoad)
	e.router.Post("/v1/orders", e.order)
	e.router.Get("/v1/orders/state", e.showOrders)
	e.router.Get("/control/counters", func(w http.ResponseWriter, _ *http.Request) {
		control.JSON(w, http.StatusOK, e.Counters())
	})
	e.faults.Mount(e.router)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close stops the step loop and loading. Streams that are open get no more tokens.
func (e *Engine) Close() { e.cancel() }

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.counters
	out.Executions = maps.Clone(out.Executions)
	out.Traces = maps.Clone(out.Traces)
	out.Released = maps.Clone(out.Released)
	out.Orders = slices.Clone(out.Orders)
	out.Order = make(map[string][]string, len(e.counters.Order))
	for program, ids := range e.counters.Order {
		out.Order[program] = slices.Clone(ids)
	}
	out.Cache = map[string]int{}
	for _, p := range e.cache.programs() {
		out.Cache[p.Program] = p.Tokens
	}
	out.Running, out.Waiting = len(e.running), len(e.waiting)
	return out
}

// request is one completion from its arrival to its end. The engine's lock guards it.
type request struct {
	id       string
	program  string
	priority int
	seq      uint64

	prompt      []uint64 // hashes of the words of the messages and of resume_text
	promptWords int      // words of the messages alone
	answer      []string
	cut         bool // max_tokens cut the answer
	next        int  // index of the next word of the answer
	need        int  // reserved cache tokens
	cached      int
	prefill     int // prompt tokens still to compute
	running     bool

	out       []string // words that the stream has not taken yet
	generated int
	finish    string        // finish_reason, once the request has ended
	notify    chan struct{} // has room for one signal to the stream
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// enqueue lets a request wait for its place in the batch.
func (e *Engine) enqueue(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	r.seq = e.seq
	i, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *request) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(int64(a.seq) - int64(b.seq))
	})
	e.waiting = slices.Insert(e.waiting, i, r)
	e.report()
	signal(e.wake)
}

// loop runs one step after the other while there are requests.
func (e *Engine) loop() {
	for {
		e.mu.Lock()
		e.admit()
		plan, d := e.plan()
		e.mu.Unlock()
		if len(plan) == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		if !control.Sleep(e.ctx, d) {
			return
		}
		e.mu.Lock()
		e.step(plan)
		e.mu.Unlock()
	}
}

// admit moves waiting requests into the batch, in order, while there is room in it and in the cache.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxRunning {
		r := e.waiting[0]
		r.need = len(r.prompt) + len(r.answer) - r.next
		r.cached = e.cache.commonPrefix(r.program, r.prompt)
		if !e.cache.reserve(r.program, r.need, len(e.running) == 0) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		r.running = true
		r.prefill = len(r.prompt) - r.cached
		e.counters.Executions[r.id]++
		e.counters.Order[r.program] = append(e.counters.Order[r.program], r.id)
		e.counters.PromptTokens += int64(r.promptWords)
		e.counters.CachedTokens += int64(min(r.cached, r.promptWords))
		e.counters.MaxRunning = max(e.counters.MaxRunning, len(e.running))
		e.report()
	}
}

type planned struct {
	request *request
	prefill int
}

// plan shares the step's prompt tokens among the batch, in order of admission, and returns the step's time.
func (e *Engine) plan() ([]planned, time.Duration) {
	plan := make([]planned, 0, len(e.running))
	left := prefillChunk
	for _, r := range e.running {
		n := min(left, r.prefill)
		left -= n
		plan = append(plan, planned{r, n})
	}
	base := e.cfg.Step
	if ms := e.faults.Get().StepMS; ms > 0 {
		base = time.Duration(ms * float64(time.Millisecond))
	}
	growth := 1 + batchGrowth*float64(len(plan)-1)
	return plan, time.Duration(float64(base)*growth) + time.Duration(prefillChunk-left)*e.cfg.Prefill
}

// step ends a step: each request whose prompt is computed gets one token.
func (e *Engine) step(plan []planned) {
	for _, p := range plan {
		r := p.request
		if r.finish != "" {
			continue
		}
		r.prefill -= p.prefill
		if r.prefill > 0 {
			continue
		}
		if r.next < len(r.answer) {
			r.out = append(r.out, r.answer[r.next])
			r.next++
			r.generated++
			e.counters.GeneratedTokens++
		}
		if r.next == len(r.answer) {
			reason := "stop"
			if r.cut {
				reason = "length"
			}
			e.end(r, reason)
		}
		signal(r.notify)
	}
}

// abort ends a request early. Its place in the batch becomes free; what is computed stays in the cache.
func (e *Engine) abort(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.finish == "" {
		e.counters.Aborted++
		e.end(r, "abort")
		signal(r.notify)
		signal(e.wake)
	}
}

func (e *Engine) end(r *request, reason string) {
	r.finish = reason
	same := func(o *request) bool { return o == r }
	if !r.running {
		e.waiting = slices.DeleteFunc(e.waiting, same)
		e.report()
		return
	}
	e.running = slices.DeleteFunc(e.running, same)
	words := slices.Clone(r.prompt[:len(r.prompt)-r.prefill])
	for _, w := range r.answer[r.next-r.generated : r.next] {
		words = hashWords(words, w)
	}
	e.cache.finish(r.program, r.need, words)
	e.report()
}

// loadReport is the load from a moment on.
type loadReport struct {
	at          time.Time
	running     int
	waiting     int
	cacheTokens int
}

// report records the load after a change. The caller holds the lock.
func (e *Engine) report() {
	now := time.Now()
	e.reports = append(e.reports, loadReport{now, len(e.running), len(e.waiting), e.cache.total()})
	e.pruneReports(now)
}

// pruneReports drops reports that a newer one replaced before the lag.
func (e *Engine) pruneReports(now time.Time) {
	limit, i := now.Add(-e.cfg.ReportLag), 0
	for i+1 < len(e.reports) && !e.reports[i+1].at.After(limit) {
		i++
	}
	e.reports = e.reports[i:]
}

// showLoad answers with the load as it was ReportLag ago, or at the start of a younger engine.
func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.pruneReports(now)
	l := e.reports[0]
	e.mu.Unlock()
	age := min(now.Sub(l.at), e.cfg.ReportLag)
	control.JSON(w, http.StatusOK, map[string]any{
		"age_ms": age.Milliseconds(), "running": l.running, "waiting": l.waiting, "cache_tokens": l.cacheTokens,
	})
}
