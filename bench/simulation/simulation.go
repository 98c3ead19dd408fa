// Package simulation runs the programs of a workload through the decision code of core/sched and the engine model in virtual
// time. It plays the homes, the callers and the workers of one group; every decision is made by
// sched.State. The same parameters give the same result on every run.
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
	Failed // a call was refused after the program had started
)

// Result is what happened to one program that a caller opened.
type Result struct {
	Program   *workload.Program
	Outcome   Outcome
	Started   bool // at least one call ran
	LatencyMS int64
}

// programRun is the state of one program at its home.
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
	resumeTokens   int64 // tokens of the present answer that a failed attempt produced
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
	epoch    int
}

// CacheSample is a sample of the cache of all workers, in tokens.
type CacheSample struct {
	Second                          int
	Running, Waiting, Paused, Ended int64
}

// Simulation is one run of a workload at a load under a policy.
type Simulation struct {
	Results      []*Result
	CacheSamples []CacheSample
	// RecomputedPromptTokens counts prompt tokens that a worker computed although some worker had computed them
	// before; PromptTokens counts the first computations.
	RecomputedPromptTokens, FirstComputedPromptTokens, GeneratedTokens int64
	// EndedCacheTokenSeconds is the cache that ended programs held, over time; EndedLongestS the longest hold.
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

// Run replays the programs under the policy. A policy that is not part of the daemon is passed in extra; it
// may ask for the remaining work of a program, in microseconds of worker time.
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
		res := &Result{Program: p}
		r.Results = append(r.Results, res)
		r.runAt(p.ArriveMS*microsPerMilli, func() { r.openProgram(p, nil, res) })
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
		it := heap.Pop(&r.timers).(*timer)
		if it.at > horizon {
			r.now = horizon
			return
		}
		r.now = it.at
		it.callback()
	}
}

func (r *Simulation) finish() {
	for _, ru := range r.runsByIndex {
		if ru.result != nil && !ru.ended {
			ru.result.Outcome = Unfinished
		}
	}
	r.MakespanS = float64(r.now) / microsPerSecond
	r.timers, r.runsByIndex, r.runsByID, r.workers, r.workersByName, r.state = nil, nil, nil, nil, nil, nil
}

// remainingMicros is the worker time that a program still needs, with its parent's for a helper.
func (r *Simulation) remainingMicros(id ids.Program) float64 {
	ru := r.runsByID[id]
	if ru == nil {
		return 0
	}
	work := r.params.WorkerMicros(ru.program, min(ru.turn, len(ru.program.Turns)))
	for p := ru.parent; p != nil; p = p.parent {
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
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return it
}

func (r *Simulation) runAt(at int64, fn func()) {
	r.timerSeq++
	heap.Push(&r.timers, &timer{at: at, seq: r.timerSeq, callback: fn})
}

func (r *Simulation) runAfter(d int64, fn func()) { r.runAt(r.now+d, fn) }

func (r *Simulation) oneWayLatency() int64 { return r.params.OneWayLatencyMS * microsPerMilli }

// sendToScheduler sends a message to the scheduler.
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

func (r *Simulation) groupChangedEvent(lost *worker) sched.GroupChanged {
	m := sched.GroupChanged{Group: groupName, Policy: r.policy}
	for _, w := range r.workers {
		m.Workers = append(m.Workers, sched.Worker{
			Name: w.name, Usable: w != lost, MaxRunning: r.params.Engine.MaxRunning, CacheCapacityTokens: r.params.Engine.CacheCapacityTokens,
		})
	}
	return m
}

// schedulePeriodic starts the ticks, the reports and the samples.
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
	var again func()
	again = func() {
		fn()
		r.runAfter(period, again)
	}
	r.runAt(first, again)
}

func (r *Simulation) reportCache(w *worker) {
	if !w.up {
		return
	}
	m := sched.CacheReported{Group: groupName, Worker: w.name, AgeMS: r.params.CacheReportAgeMS}
	for _, h := range w.engine.CacheByProgram() {
		if r.rng.Float64() >= r.params.CacheReportMissFraction {
			m.Programs = append(m.Programs, sched.ProgramCache{Program: r.runsByIndex[h.Program].id, Tokens: h.Tokens})
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

// scheduleWorkerFailure kills the first worker in mid-event and brings it back later.
func (r *Simulation) scheduleWorkerFailure() {
	if r.params.WorkerFailureS == 0 {
		return
	}
	w := r.workers[0]
	lost := int64(r.params.WorkerFailureS * microsPerSecond)
	r.runAt(lost, func() {
		w.up, w.stepping = false, false
		w.epoch++
		for _, s := range w.engine.Clear() {
			r.resumeCall(s.UserData.(*programRun), s.GeneratedTokens)
		}
	})
	r.runAt(lost+int64(r.params.FailureDetectionS*microsPerSecond), func() { r.reduce(r.groupChangedEvent(w)) })
	r.runAt(int64(r.params.WorkerRecoveryS*microsPerSecond), func() {
		w.up = true
		r.reduce(r.groupChangedEvent(nil))
	})
}

// handleCacheFreed accounts for cache that leaves a worker.
func (r *Simulation) handleCacheFreed(program int, tokens int64) {
	if ru := r.runsByIndex[program]; ru.ended {
		held := float64(r.now-ru.endedAt) / microsPerSecond
		r.EndedCacheTokenSeconds += held * float64(tokens)
		r.EndedCacheLongestS = max(r.EndedCacheLongestS, held)
	}
}

func (r *Simulation) sampleCache() {
	point := CacheSample{Second: int(r.now / microsPerSecond)}
	for _, w := range r.workers {
		for _, h := range w.engine.CacheByProgram() {
			ru := r.runsByIndex[h.Program]
			switch {
			case h.Running:
				point.Running += h.Tokens
			case ru.ended:
				point.Ended += h.Tokens
			case ru.enqueued:
				point.Waiting += h.Tokens
			default:
				point.Paused += h.Tokens
			}
		}
	}
	r.PausedCacheTokenSeconds += float64(point.Paused)
	r.CacheSamples = append(r.CacheSamples, point)
}
