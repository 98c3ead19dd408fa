// Package simulation runs the programs of a workload through sched.State and the engine model in virtual time. It
// simulates the homes, the callers and the workers of one group; sched.State makes every scheduling decision. The same
// parameters give the same result on every run.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/hyssopreel/hyssopreel/bench/engine"
	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/sched"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

const (
	groupName       = "pool/0"
	homeCount       = 9
	tickMicros      = 100_000 // microseconds between Ticked events
	sampleMicros    = 1_000_000
	microsPerSecond = 1_000_000
	microsPerMilli  = 1000
)

// Outcome is how a program ended.
type Outcome int

// The outcomes of a program.
const (
	Unfinished Outcome = iota
	Finished
	TurnLimited      // stopped by its turn limit
	CanceledByCaller // canceled by its caller at the deadline
	Refused
	Failed // a call was refused after the program's first turn or attempt
)

// Result is the result of one program that a caller opened.
type Result struct {
	Program   *workload.Program
	Outcome   Outcome
	Started   bool // at least one call was granted
	LatencyMS int64
}

// programRun is the state of one program at its home. Times are in microseconds of virtual time.
type programRun struct {
	program        *workload.Program
	id             ids.Program
	home           ids.Journal
	parent         *programRun
	openedAt       int64
	turn           int
	attempt        int
	historyTokens  int64
	attainedTokens int64
	resumeTokens   int64 // tokens of the current answer that failed attempts generated
	servedBy       []string
	avoidWorkers   []string
	pauseTool      string
	pausedAt       int64

	sequence *engine.Sequence
	worker   *worker
	granted  bool
	enqueued bool
	ended    bool
	endedAt  int64
	result   *Result
	child    *programRun
}

type worker struct {
	name     string
	engine   *engine.Engine
	up       bool
	stepping bool
	epoch    int // incremented at each failure
}

// CacheSample is the cache in use on all workers, in tokens, by state of the program.
type CacheSample struct {
	Second                          int
	Running, Waiting, Paused, Ended int64
}

// Simulation holds the results of one run of a workload at a load under a policy.
type Simulation struct {
	Results      []*Result
	CacheSamples []CacheSample
	// RecomputedPromptTokens counts prompt tokens that a worker computed although some worker had computed them
	// before; FirstComputedPromptTokens counts the first computations.
	RecomputedPromptTokens, FirstComputedPromptTokens, GeneratedTokens int64
	// EndedCacheTokenSeconds is the cache of ended programs over time, EndedCacheLongestS the longest time until it
	// was freed.
	EndedCacheTokenSeconds, EndedCacheLongestS float64
	PausedCacheTokenSeconds                    float64
	MakespanS                                  float64
	Refusals, DuplicateGrants                  int

	params        *workload.Params
	state         *sched.State
	policy        string
	rng           *rand.Rand
	timers        timerHeap
	timerSeq      uint64
	now           int64 // microseconds
	workers       []*worker
	workersByName map[string]*worker
	runsByIndex   map[int]*programRun
	runsByID      map[ids.Program]*programRun
	openCount     int
}

// Run simulates the programs under the policy. extra constructs a policy that is not part of the daemon and is nil
// otherwise; remaining returns the remaining work of a program in microseconds of worker time.
func Run(params *workload.Params, programs []*workload.Program, policy string, extra func(remaining func(ids.Program) float64) framework.Policy) *Simulation {
	r := &Simulation{
		params:        params,
		policy:        policy,
		rng:           rand.New(rand.NewPCG(params.Seed, 2)),
		workersByName: map[string]*worker{},
		runsByIndex:   map[int]*programRun{},
		runsByID:      map[ids.Program]*programRun{},
	}
	if extra != nil {
		r.state = sched.NewState(extra(r.remainingMicros))
	} else {
		r.state = sched.NewState()
	}
	for i := range params.Workers {
		w := &worker{name: fmt.Sprintf("worker-%02d", i), engine: engine.New(params.Engine), up: true}
		w.engine.OnFreed = r.handleCacheFreed
		r.workers = append(r.workers, w)
		r.workersByName[w.name] = w
	}
	r.openCount = len(programs)
	r.reduce(r.groupChangedEvent(nil))
	for _, p := range programs {
		result := &Result{Program: p}
		r.Results = append(r.Results, result)
		r.runAt(p.ArriveMS*microsPerMilli, func() { r.openProgram(p, nil, result) })
	}
	r.schedulePeriodic()
	r.scheduleWorkerFailure()
	r.runTimers()
	r.finish()
	return r
}

func (r *Simulation) runTimers() {
	horizon := int64(r.params.HorizonS * microsPerSecond)
	for r.openCount > 0 && len(r.timers) > 0 {
		next := heap.Pop(&r.timers).(*timer)
		if next.at > horizon {
			r.now = horizon
			return
		}
		r.now = next.at
		next.callback()
	}
}

func (r *Simulation) finish() {
	for _, run := range r.runsByIndex {
		if run.result != nil && !run.ended {
			run.result.Outcome = Unfinished
		}
	}
	r.MakespanS = float64(r.now) / microsPerSecond
	r.timers, r.runsByIndex, r.runsByID, r.workers, r.workersByName, r.state = nil, nil, nil, nil, nil, nil
}

// remainingMicros returns the worker time that a program still needs, with that of its ancestors for a child program.
func (r *Simulation) remainingMicros(id ids.Program) float64 {
	run := r.runsByID[id]
	if run == nil {
		return 0
	}
	work := r.params.WorkerMicros(run.program, min(run.turn, len(run.program.Turns)))
	for p := run.parent; p != nil; p = p.parent {
		work += r.params.WorkerMicros(p.program, min(p.turn, len(p.program.Turns)))
	}
	return work
}

type timer struct {
	at       int64
	seq      uint64
	callback func()
}

type timerHeap []*timer

func (q timerHeap) Len() int { return len(q) }
func (q timerHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q timerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerHeap) Push(x any)   { *q = append(*q, x.(*timer)) }
func (q *timerHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

func (r *Simulation) runAt(at int64, fn func()) {
	r.timerSeq++
	heap.Push(&r.timers, &timer{at: at, seq: r.timerSeq, callback: fn})
}

func (r *Simulation) runAfter(delay int64, fn func()) { r.runAt(r.now+delay, fn) }

func (r *Simulation) oneWayLatency() int64 { return r.params.OneWayLatencyMS * microsPerMilli }

// sendToScheduler delivers an event to the scheduler after the one-way latency.
func (r *Simulation) sendToScheduler(ev event.Event) {
	r.runAfter(r.oneWayLatency(), func() { r.reduce(ev) })
}

func (r *Simulation) reduce(ev event.Event) {
	for _, eff := range r.state.Reduce(clock.Millis(r.now/microsPerMilli), ev) {
		switch m := eff.(type) {
		case sched.Grant:
			r.runAfter(r.oneWayLatency(), func() { r.handleGrant(m) })
		case sched.Refuse:
			r.runAfter(r.oneWayLatency(), func() { r.handleRefuse(m) })
		case sched.ReleaseCache:
			if r.rng.Float64() < r.params.ReleaseLossFraction {
				continue
			}
			r.runAfter(2*r.oneWayLatency(), func() {
				if w := r.workersByName[m.Worker]; w.up {
					w.engine.ReleaseCache(r.runsByID[m.Program].program.Index)
				}
			})
		}
	}
}

func (r *Simulation) groupChangedEvent(failed *worker) sched.GroupChanged {
	m := sched.GroupChanged{Group: groupName, Policy: r.policy}
	for _, w := range r.workers {
		m.Workers = append(m.Workers, sched.Worker{
			Name: w.name, Usable: w != failed, MaxRunning: r.params.Engine.MaxRunning, CacheCapacityTokens: r.params.Engine.CacheCapacityTokens,
		})
	}
	return m
}

// schedulePeriodic schedules the ticks, the workers' reports and the cache samples.
func (r *Simulation) schedulePeriodic() {
	r.runEvery(0, tickMicros, func() { r.reduce(sched.Ticked{Group: groupName}) })
	r.runEvery(sampleMicros, sampleMicros, r.sampleCache)
	for i, w := range r.workers {
		offset := int64(i+1) * r.params.CacheReportIntervalMS * microsPerMilli / int64(len(r.workers))
		r.runEvery(offset, r.params.CacheReportIntervalMS*microsPerMilli, func() { r.reportCache(w) })
		r.runEvery(offset%(r.params.LoadReportIntervalMS*microsPerMilli), r.params.LoadReportIntervalMS*microsPerMilli, func() { r.reportLoad(w) })
	}
}

func (r *Simulation) runEvery(first, period int64, fn func()) {
	var repeat func()
	repeat = func() {
		fn()
		r.runAfter(period, repeat)
	}
	r.runAt(first, repeat)
}

func (r *Simulation) reportCache(w *worker) {
	if !w.up {
		return
	}
	m := sched.CacheReported{Group: groupName, Worker: w.name, AgeMS: r.params.CacheReportAgeMS}
	for _, cache := range w.engine.CacheByProgram() {
		if r.rng.Float64() >= r.params.CacheReportMissFraction {
			m.Programs = append(m.Programs, sched.ProgramCache{Program: r.runsByIndex[cache.Program].id, Tokens: cache.Tokens})
		}
	}
	r.runAfter(r.params.CacheReportAgeMS*microsPerMilli, func() { r.reduce(m) })
}

func (r *Simulation) reportLoad(w *worker) {
	if !w.up {
		return
	}
	running, waiting, tokens := w.engine.Load()
	m := sched.LoadReported{Group: groupName, Worker: w.name, AgeMS: r.params.LoadReportAgeMS, Running: running, Waiting: waiting, CacheUsedTokens: tokens}
	r.runAfter(r.params.LoadReportAgeMS*microsPerMilli, func() { r.reduce(m) })
}

// scheduleWorkerFailure makes the first worker fail and recover with an empty cache.
func (r *Simulation) scheduleWorkerFailure() {
	if r.params.WorkerFailureS == 0 {
		return
	}
	w := r.workers[0]
	failedAt := int64(r.params.WorkerFailureS * microsPerSecond)
	r.runAt(failedAt, func() {
		w.up, w.stepping = false, false
		w.epoch++
		for _, s := range w.engine.Clear() {
			r.resumeCall(s.UserData.(*programRun), s.GeneratedTokens)
		}
	})
	r.runAt(failedAt+int64(r.params.FailureDetectionS*microsPerSecond), func() { r.reduce(r.groupChangedEvent(w)) })
	r.runAt(int64(r.params.WorkerRecoveryS*microsPerSecond), func() {
		w.up = true
		r.reduce(r.groupChangedEvent(nil))
	})
}

// handleCacheFreed counts how long freed cache stayed on a worker after its program had ended.
func (r *Simulation) handleCacheFreed(program int, tokens int64) {
	if run := r.runsByIndex[program]; run.ended {
		staySeconds := float64(r.now-run.endedAt) / microsPerSecond
		r.EndedCacheTokenSeconds += staySeconds * float64(tokens)
		r.EndedCacheLongestS = max(r.EndedCacheLongestS, staySeconds)
	}
}

func (r *Simulation) sampleCache() {
	sample := CacheSample{Second: int(r.now / microsPerSecond)}
	for _, w := range r.workers {
		for _, cache := range w.engine.CacheByProgram() {
			run := r.runsByIndex[cache.Program]
			switch {
			case cache.Running:
				sample.Running += cache.Tokens
			case run.ended:
				sample.Ended += cache.Tokens
			case run.enqueued:
				sample.Waiting += cache.Tokens
			default:
				sample.Paused += cache.Tokens
			}
		}
	}
	r.PausedCacheTokenSeconds += float64(sample.Paused)
	r.CacheSamples = append(r.CacheSamples, sample)
}
