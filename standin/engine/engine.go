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
	// batchStepFraction is the part of the base step time that each further request of the batch adds.
	batchStepFraction = 0.01
	// prefillTokensPerStep is the most prompt tokens that one step computes over all requests. A long prompt is
	// computed in several steps, so that running streams go on.
	prefillTokensPerStep = 2048
	maxCacheExports      = 64
)

// Defaults of Config.
const (
	DefaultStepTime            = 5 * time.Millisecond
	DefaultPrefillPerToken     = 10 * time.Microsecond
	DefaultMaxRunning          = 8
	DefaultCacheCapacityTokens = 200_000
)

// Config of one engine. Zero values of Step, Prefill, MaxRunning and CacheTokens stand for their defaults;
// a negative Prefill is none.
type Config struct {
	Name  string
	Model string
	// StepTime is the time of one step with one request; Prefill is the time of one uncached prompt token.
	StepTime        time.Duration
	PrefillPerToken time.Duration
	// MaxRunning is the number of requests in the batch; further ones wait.
	MaxRunning int
	// CacheCapacityTokens bounds the cache. Requests wait while the running ones leave them too little of it.
	CacheCapacityTokens int
	// CacheEventLag is the delay of cache events; every EventDropEvery-th event is lost (0: none).
	CacheEventLag       time.Duration
	CacheEventDropEvery int
	// LoadReportLag is the age of load reports.
	LoadReportLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// WeightStoreURL is the URL of the weight store; without it, loading takes no fetch. Load is added to the fetch.
	WeightStoreURL string
	LoadDelay      time.Duration
	// TransferPerToken is the time of one token at the export and the import of cache.
	TransferPerToken time.Duration
}

// Faults of an engine, set by POST /control/faults. They do not touch the control calls.
type Faults struct {
	// Leaving answers new requests with 503 and Request-Not-Run. Accepted ones go on.
	Leaving bool `json:"leaving"`
	// BreakAfterTokens closes a stream after that many tokens (null: off; 0: before the first token) and
	// aborts its request. It does so for the next BreakTimes streams that get there; 0 means 1.
	BreakAfterTokens *int `json:"break_after_tokens"`
	BreakCount       int  `json:"break_times"`
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
	// Traceparents has the traceparent header of the latest request with each request_id, if it had one.
	Traceparents map[string]string `json:"traces"`
	// AdmissionOrder has the request IDs of each program in the order in which they entered the batch.
	AdmissionOrder  map[string][]string `json:"order"`
	PromptTokens    int64               `json:"prompt_tokens"`
	CachedTokens    int64               `json:"cached_tokens"`
	GeneratedTokens int64               `json:"generated_tokens"`
	// CacheUsedTokens is the cache by program; a running program counts with what it needs in the end.
	CacheUsedTokens map[string]int `json:"cache"`
	Orders          []OrderRecord  `json:"orders"`
	// RequestsWhileLeaving counts requests that arrived while the fault "leaving" was set; LoadingRefused those
	// that arrived while the engine was loading.
	RequestsWhileLeaving int64 `json:"leaving_accepted"`
	RefusedWhileLoading  int64 `json:"loading_refused"`
	// Aborted counts requests that were canceled, broken by a fault or left by their caller.
	Aborted int64 `json:"aborted"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// PeakRunning is the largest batch so far.
	PeakRunning int `json:"max_running"`
	// CacheReleases counts the accepted release calls by program.
	CacheReleases map[string]int64 `json:"released"`
}

// Engine is the stand-in; it is an http.Handler.
type Engine struct {
	cfg    Config
	router *chi.Mux
	faults *control.Faults[Faults]
	ctx    context.Context // ends at Close
	cancel context.CancelFunc
	wake   chan struct{} // has room for one signal to the step loop

	mu           sync.Mutex
	seq          uint64
	waiting      []*request
	running      []*request
	cache        *cache
	loadReports  []loadReport // in time order; the first one is the newest that is old enough, or the start
	orderState   orderState
	exports      []cacheExport
	lastExportID int
	counters     Counters
}

// New starts an engine. Close stops it.
func New(cfg Config) *Engine {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:        cfg,
		router:     chi.NewRouter(),
		faults:     control.NewFaults[Faults](),
		ctx:        ctx,
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
		cache:      newCache(cfg.CacheCapacityTokens, cacheEvents{lag: cfg.CacheEventLag, dropEvery: uint64(max(0, cfg.CacheEventDropEvery))}),
		orderState: orderState{Model: cfg.Model, Adapters: []string{}},
		counters: Counters{
			Name:       cfg.Name,
			Executions: map[string]int64{}, Traceparents: map[string]string{},
			AdmissionOrder: map[string][]string{},
			Orders:         []OrderRecord{},
			CacheReleases:  map[string]int64{},
		},
	}
	e.recordLoad()
	e.mount()
	go e.runSteps()
	return e
}

func withDefaults(cfg Config) Config {
	if cfg.StepTime <= 0 {
		cfg.StepTime = DefaultStepTime
	}
	if cfg.PrefillPerToken == 0 {
		cfg.PrefillPerToken = DefaultPrefillPerToken
	}
	cfg.PrefillPerToken = max(0, cfg.PrefillPerToken)
	if cfg.MaxRunning <= 0 {
		cfg.MaxRunning = DefaultMaxRunning
	}
	if cfg.CacheCapacityTokens <= 0 {
		cfg.CacheCapacityTokens = DefaultCacheCapacityTokens
	}
	return cfg
}

func (e *Engine) mount() {
	e.router.Post("/v1/chat/completions", e.handleCompletion)
	e.router.Post("/v1/cancel", e.cancelRequest)
	e.router.Post("/v1/cache/release", e.releaseCache)
	e.router.Get("/v1/cache/programs", e.listPrograms)
	e.router.Get("/v1/cache/events", e.listEvents)
	e.router.Post("/v1/cache/export", e.exportCache)
	e.router.Get("/v1/cache/exported/{id}", e.serveExport)
	e.router.Post("/v1/cache/import", e.importCache)
	e.router.Get("/v1/load", e.serveLoad)
	e.router.Post("/v1/orders", e.handleOrder)
	e.router.Get("/v1/orders/state", e.serveOrderState)
	e.router.Get("/control/counters", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, e.Counters())
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
	out.Traceparents = maps.Clone(out.Traceparents)
	out.CacheReleases = maps.Clone(out.CacheReleases)
	out.Orders = slices.Clone(out.Orders)
	out.AdmissionOrder = make(map[string][]string, len(e.counters.AdmissionOrder))
	for program, ids := range e.counters.AdmissionOrder {
		out.AdmissionOrder[program] = slices.Clone(ids)
	}
	out.CacheUsedTokens = map[string]int{}
	for _, p := range e.cache.programs() {
		out.CacheUsedTokens[p.Program] = p.Tokens
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

	promptHashes      []uint64 // hashes of the words of the messages and of resume_text
	messageTokens     int      // words of the messages alone
	answer            []string
	truncated         bool // max_tokens cut the answer
	nextWord          int  // index of the next word of the answer
	reservedTokens    int  // reserved cache tokens
	cachedTokens      int
	prefillTokensLeft int // prompt tokens still to compute
	running           bool

	unsentWords     []string // words that the stream has not taken yet
	generatedTokens int
	finishReason    string        // finish_reason, once the request has ended
	notify          chan struct{} // has room for one signal to the stream
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
	e.recordLoad()
	signal(e.wake)
}

// runSteps runs one step after the other while there are requests.
func (e *Engine) runSteps() {
	for {
		e.mu.Lock()
		e.admit()
		plan, d := e.planStep()
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
		e.completeStep(plan)
		e.mu.Unlock()
	}
}

// admit moves waiting requests into the batch, in order, while there is room in it and in the cache.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxRunning {
		r := e.waiting[0]
		r.reservedTokens = len(r.promptHashes) + len(r.answer) - r.nextWord
		r.cachedTokens = e.cache.commonPrefix(r.program, r.promptHashes)
		if !e.cache.reserve(r.program, r.reservedTokens, len(e.running) == 0) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		r.running = true
		r.prefillTokensLeft = len(r.promptHashes) - r.cachedTokens
		e.counters.Executions[r.id]++
		e.counters.AdmissionOrder[r.program] = append(e.counters.AdmissionOrder[r.program], r.id)
		e.counters.PromptTokens += int64(r.messageTokens)
		e.counters.CachedTokens += int64(min(r.cachedTokens, r.messageTokens))
		e.counters.PeakRunning = max(e.counters.PeakRunning, len(e.running))
		e.recordLoad()
	}
}

type plannedPrefill struct {
	request *request
	tokens  int
}

// planStep shares the step's prompt tokens among the batch, in order of admission, and returns the step's time.
func (e *Engine) planStep() ([]plannedPrefill, time.Duration) {
	plan := make([]plannedPrefill, 0, len(e.running))
	left := prefillTokensPerStep
	for _, r := range e.running {
		n := min(left, r.prefillTokensLeft)
		left -= n
		plan = append(plan, plannedPrefill{r, n})
	}
	base := e.cfg.StepTime
	if ms := e.faults.Get().StepMS; ms > 0 {
		base = time.Duration(ms * float64(time.Millisecond))
	}
	growth := 1 + batchStepFraction*float64(len(plan)-1)
	return plan, time.Duration(float64(base)*growth) + time.Duration(prefillTokensPerStep-left)*e.cfg.PrefillPerToken
}

// completeStep ends a step: each request whose prompt is computed gets one token.
func (e *Engine) completeStep(plan []plannedPrefill) {
	for _, p := range plan {
		r := p.request
		if r.finishReason != "" {
			continue
		}
		r.prefillTokensLeft -= p.tokens
		if r.prefillTokensLeft > 0 {
			continue
		}
		if r.nextWord < len(r.answer) {
			r.unsentWords = append(r.unsentWords, r.answer[r.nextWord])
			r.nextWord++
			r.generatedTokens++
			e.counters.GeneratedTokens++
		}
		if r.nextWord == len(r.answer) {
			reason := "stop"
			if r.truncated {
				reason = "length"
			}
			e.endRequest(r, reason)
		}
		signal(r.notify)
	}
}

// abortRequest ends a request early. Its place in the batch becomes free; what is computed stays in the cache.
func (e *Engine) abortRequest(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.finishReason == "" {
		e.counters.Aborted++
		e.endRequest(r, "abort")
		signal(r.notify)
		signal(e.wake)
	}
}

func (e *Engine) endRequest(r *request, reason string) {
	r.finishReason = reason
	same := func(o *request) bool { return o == r }
	if !r.running {
		e.waiting = slices.DeleteFunc(e.waiting, same)
		e.recordLoad()
		return
	}
	e.running = slices.DeleteFunc(e.running, same)
	words := slices.Clone(r.promptHashes[:len(r.promptHashes)-r.prefillTokensLeft])
	for _, w := range r.answer[r.nextWord-r.generatedTokens : r.nextWord] {
		words = appendWordHashes(words, w)
	}
	e.cache.finish(r.program, r.reservedTokens, words)
	e.recordLoad()
}

// loadReport is the load from a moment on.
type loadReport struct {
	at          time.Time
	running     int
	waiting     int
	cacheTokens int
}

// recordLoad records the load after a change. The caller holds the lock.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loadReports = append(e.loadReports, loadReport{now, len(e.running), len(e.waiting), e.cache.usedTokens()})
	e.pruneLoadReports(now)
}

// pruneLoadReports drops reports that a newer one replaced before the lag.
func (e *Engine) pruneLoadReports(now time.Time) {
	limit, i := now.Add(-e.cfg.LoadReportLag), 0
	for i+1 < len(e.loadReports) && !e.loadReports[i+1].at.After(limit) {
		i++
	}
	e.loadReports = e.loadReports[i:]
}

// serveLoad answers with the load as it was ReportLag ago, or at the start of a younger engine.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.pruneLoadReports(now)
	l := e.loadReports[0]
	e.mu.Unlock()
	age := min(now.Sub(l.at), e.cfg.LoadReportLag)
	control.WriteJSON(w, http.StatusOK, map[string]any{
		"age_ms": age.Milliseconds(), "running": l.running, "waiting": l.waiting, "cache_tokens": l.cacheTokens,
	})
}
