// Package engine is a stand-in for a model engine. It simulates the step times of continuous batching and a prefix
// cache of limited size, generates deterministic answers, carries out orders and injects faults. The protocol is in
// docs/external-protocols.md.
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
	// batchStepFraction is the fraction of the base step time that each request of the batch after the first adds.
	batchStepFraction = 0.01
	// prefillTokensPerStep bounds the prompt tokens that one step computes over all requests. A longer prompt takes
	// several steps, so that it does not stop the other streams.
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

// Config configures one engine. StepTime, PrefillPerToken, MaxRunning and CacheCapacityTokens default to the
// constants above if they are 0; a negative PrefillPerToken means that prefill takes no time.
type Config struct {
	Name  string
	Model string
	// StepTime is the time of one step with one request, PrefillPerToken that of one uncached prompt token.
	StepTime        time.Duration
	PrefillPerToken time.Duration
	// MaxRunning is the size limit of the batch; requests above it wait.
	MaxRunning int
	// CacheCapacityTokens bounds the cache. Requests wait until the running ones leave enough of it free.
	CacheCapacityTokens int
	// CacheEventLag is the delay of cache events; every EventDropEvery-th event is lost (0: none).
	CacheEventLag       time.Duration
	CacheEventDropEvery int
	// LoadReportLag is the age of load reports.
	LoadReportLag time.Duration
	// ChecksFencing makes the engine reject orders with a lower fencing token than the highest one so far.
	ChecksFencing bool
	// WeightStoreURL is the URL of the weight store; if empty, loading fetches nothing. LoadDelay follows the fetch.
	WeightStoreURL string
	LoadDelay      time.Duration
	// TransferPerToken is the time that the export and the import of a cached prompt each take per token.
	TransferPerToken time.Duration
}

// Faults of an engine, set by POST /control/faults. They do not apply to the control calls.
type Faults struct {
	// Leaving rejects new requests with 503 and Request-Not-Run. Requests accepted before continue.
	Leaving bool `json:"leaving"`
	// BreakAfterTokens closes the connection of a stream after that many tokens (null: off; 0: before the first
	// token) and aborts its request. It applies to the next BreakCount streams that reach that length; 0 means 1.
	BreakAfterTokens *int `json:"break_after_tokens"`
	BreakCount       int  `json:"break_times"`
	// StallAfterTokens stops the output of every stream after that many tokens (null: off) and leaves its
	// connection open. Generation continues; the stream continues when the fault is cleared.
	StallAfterTokens *int `json:"stall_after_tokens"`
	// RefuseRelease rejects every cache release with 500 and keeps the cache.
	RefuseRelease bool `json:"refuse_release"`
	// StepMS replaces Config.StepTime, in milliseconds; 0 is off.
	StepMS float64 `json:"step_ms"`
}

// Counters is the response of GET /control/counters.
type Counters struct {
	Name string `json:"name"` // Config.Name
	// Executions counts, by request_id, how often the request entered the batch.
	Executions map[string]int64 `json:"executions"`
	// Traceparents has, by request_id, the traceparent header of the latest request that carried one.
	Traceparents map[string]string `json:"traces"`
	// AdmissionOrder has the request IDs of each program in the order in which they entered the batch.
	AdmissionOrder  map[string][]string `json:"order"`
	PromptTokens    int64               `json:"prompt_tokens"`
	CachedTokens    int64               `json:"cached_tokens"`
	GeneratedTokens int64               `json:"generated_tokens"`
	// CacheUsedTokens is the cache in use by program. A program with running requests counts with its reserved
	// cache if that is larger.
	CacheUsedTokens map[string]int `json:"cache"`
	Orders          []OrderRecord  `json:"orders"`
	// RequestsWhileLeaving counts requests rejected while the fault "leaving" was set; RefusedWhileLoading those
	// rejected while the engine was loading.
	RequestsWhileLeaving int64 `json:"leaving_accepted"`
	RefusedWhileLoading  int64 `json:"loading_refused"`
	// Aborted counts requests that were canceled, cut off by a fault or dropped because their caller disconnected.
	Aborted int64 `json:"aborted"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// PeakRunning is the size of the largest batch so far.
	PeakRunning int `json:"max_running"`
	// CacheReleases counts the accepted release requests by program.
	CacheReleases map[string]int64 `json:"released"`
}

// Engine is a simulated model engine. It implements http.Handler.
type Engine struct {
	cfg    Config
	router *chi.Mux
	faults *control.Faults[Faults]
	ctx    context.Context // ends at Close
	cancel context.CancelFunc
	wake   chan struct{} // wakes the step loop; capacity 1

	mu           sync.Mutex
	seq          uint64
	waiting      []*request
	running      []*request
	cache        *cache
	loadReports  []loadReport // in time order; the first is the newest that is LoadReportLag old, or the first ever
	orderState   orderState
	exports      []cacheExport
	lastExportID int
	counters     Counters
}

// New starts an engine. The caller must Close it.
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

// Close stops the step loop and the loading of weights. Open streams receive no further tokens.
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

// request is one completion from its arrival to its end. Engine.mu guards it.
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
	reservedTokens    int  // reserved cache
	cachedTokens      int
	prefillTokensLeft int // prompt tokens not computed yet
	running           bool

	unsentWords     []string // generated words that the stream has not written yet
	generatedTokens int
	finishReason    string        // finish_reason of the response; empty until the request ends
	notify          chan struct{} // wakes the stream; capacity 1
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// enqueue adds a request to the wait queue: lowest priority value first, then in order of arrival.
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

// runSteps runs steps until Close, and waits for a request while there is none.
func (e *Engine) runSteps() {
	for {
		e.mu.Lock()
		e.admit()
		plan, duration := e.planStep()
		e.mu.Unlock()
		if len(plan) == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		if !control.Sleep(e.ctx, duration) {
			return
		}
		e.mu.Lock()
		e.completeStep(plan)
		e.mu.Unlock()
	}
}

// admit moves waiting requests into the batch, in order, while the batch has a free slot and the cache has capacity.
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

// planStep divides the prompt tokens of the next step among the batch, in order of admission, and returns the time
// that the step takes.
func (e *Engine) planStep() ([]plannedPrefill, time.Duration) {
	plan := make([]plannedPrefill, 0, len(e.running))
	prefillLeft := prefillTokensPerStep
	for _, r := range e.running {
		n := min(prefillLeft, r.prefillTokensLeft)
		prefillLeft -= n
		plan = append(plan, plannedPrefill{r, n})
	}
	base := e.cfg.StepTime
	if ms := e.faults.Get().StepMS; ms > 0 {
		base = time.Duration(ms * float64(time.Millisecond))
	}
	growth := 1 + batchStepFraction*float64(len(plan)-1)
	return plan, time.Duration(float64(base)*growth) + time.Duration(prefillTokensPerStep-prefillLeft)*e.cfg.PrefillPerToken
}

// completeStep ends a step: each request whose prompt is computed generates one token.
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

// abortRequest ends a request early and frees its slot in the batch. The tokens computed so far stay in the cache.
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
	isRequest := func(o *request) bool { return o == r }
	if !r.running {
		e.waiting = slices.DeleteFunc(e.waiting, isRequest)
		e.recordLoad()
		return
	}
	e.running = slices.DeleteFunc(e.running, isRequest)
	hashes := slices.Clone(r.promptHashes[:len(r.promptHashes)-r.prefillTokensLeft])
	for _, word := range r.answer[r.nextWord-r.generatedTokens : r.nextWord] {
		hashes = appendWordHashes(hashes, word)
	}
	e.cache.finish(r.program, r.reservedTokens, hashes)
	e.recordLoad()
}

// loadReport is the load from one change to the next.
type loadReport struct {
	since       time.Time
	running     int
	waiting     int
	cacheTokens int
}

// recordLoad records the load after a change. The caller must hold Engine.mu.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loadReports = append(e.loadReports, loadReport{now, len(e.running), len(e.waiting), e.cache.usedTokens()})
	e.pruneLoadReports(now)
}

// pruneLoadReports drops the reports that were superseded more than LoadReportLag ago.
func (e *Engine) pruneLoadReports(now time.Time) {
	cutoff, i := now.Add(-e.cfg.LoadReportLag), 0
	for i+1 < len(e.loadReports) && !e.loadReports[i+1].since.After(cutoff) {
		i++
	}
	e.loadReports = e.loadReports[i:]
}

// serveLoad responds with the load of LoadReportLag ago, or of the start if the engine started later than that.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.pruneLoadReports(now)
	report := e.loadReports[0]
	e.mu.Unlock()
	age := min(now.Sub(report.since), e.cfg.LoadReportLag)
	control.WriteJSON(w, http.StatusOK, map[string]any{
		"age_ms": age.Milliseconds(), "running": report.running, "waiting": report.waiting, "cache_tokens": report.cacheTokens,
	})
}
