// Package replay runs the programs of a workload through the decision code of core/sched and the engine model in virtual
// time. It plays the homes, the callers and the workers of one group; every decision is made by
// sched.State. The same parameters give the same result on every run.
package replay

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
	groupName = "pool/0"
	homes     = 9
	tick      = 100_000 // microseconds between Ticked events
	sample    = 1_000_000
	second    = 1_000_000
	milli     = 1000
)

// Outcome is how a program ended.
type Outcome int

// The outcomes of a program.
const (
	Unfinished Outcome = iota
	Finished
	Looped // stopped by its turn limit
	HungUp // canceled by its caller at the deadline
	Refused
	Failed // a call was refused after the program had started
)

// Result is what happened to one program that a caller opened.
type Result struct {
	Program   *workload.Program
	Outcome   Outcome
	Admitted  bool // at least one call ran
	LatencyMS int64
}

// run is the state of one program at its home.
type run struct {
	program  *workload.Program
	id       ids.Program
	home     ids.Journal
	parent   *run
	openedAt int64
	turn     int
	attempt  int
	history  int64
	attained int64
	answered int64 // tokens of the present answer that a failed attempt produced
	workers  []string
	avoid    []string
	tool     string
	pausedAt int64

	sequence *engine.Sequence
	worker   *worker
	granted  bool
	enqueued bool
	ended    bool
	endedAt  int64
	result   *Result
	child    *run
}

type worker struct {
	name     string
	engine   *engine.Engine
	up       bool
	stepping bool
	epoch    int
}

// CachePoint is a sample of the cache of all workers, in tokens.
type CachePoint struct {
	Second                          int
	Running, Waiting, Paused, Ended int64
}

// Replay is one run of a workload at a load under a policy.
type Replay struct {
	Results []*Result
	Cache   []CachePoint
	// RecomputedTokens counts prompt tokens that a worker computed although some worker had computed them
	// before; PromptTokens counts the first computations.
	RecomputedTokens, PromptTokens, GeneratedTokens int64
	// EndedTokenSeconds is the cache that ended programs held, over time; EndedLongestS the longest hold.
	EndedTokenSeconds, EndedLongestS float64
	PausedTokenSeconds               float64
	MakespanS                        float64
	Refusals, Regrants               int

	params  *workload.Params
	state   *sched.State
	policy  string
	rng     *rand.Rand
	queue   queue
	seq     uint64
	now     int64 // microseconds
	workers []*worker
	byName  map[string]*worker
	runs    map[int]*run
	byID    map[ids.Program]*run
	live    int
}

// Run replays the programs under the policy. A policy that is not part of the daemon is passed in extra; it
// may ask for the remaining work of a program, in microseconds of worker time.
func Run(params *workload.Params, programs []*workload.Program, policy string, extra func(remaining func(ids.Program) float64) framework.Policy) *Replay {
	r := &Replay{
		params: params,
		policy: policy,
		rng:    rand.New(rand.NewPCG(params.Seed, 2)),
		byName: map[string]*worker{},
		runs:   map[int]*run{},
		byID:   map[ids.Program]*run{},
	}
	if extra != nil {
		r.state = sched.NewState(extra(r.remaining))
	} else {
		r.state = sched.NewState()
	}
	for i := range params.Workers {
		w := &worker{name: fmt.Sprintf("worker-%02d", i), engine: engine.New(params.Engine), up: true}
		w.engine.Freed = r.freed
		r.workers = append(r.workers, w)
		r.byName[w.name] = w
	}
	r.live = len(programs)
	r.reduce(r.groupChanged(nil))
	for _, p := range programs {
		res := &Result{Program: p}
		r.Results = append(r.Results, res)
		r.at(p.ArriveMS*milli, func() { r.open(p, nil, res) })
	}
	r.periodic()
	r.faults()
	r.loop()
	r.finish()
	return r
}

func (r *Replay) loop() {
	horizon := int64(r.params.HorizonS * second)
	for r.live > 0 && len(r.queue) > 0 {
		it := heap.Pop(&r.queue).(*item)
		if it.at > horizon {
			r.now = horizon
			return
		}
		r.now = it.at
		it.fn()
	}
}

func (r *Replay) finish() {
	for _, ru := range r.runs {
		if ru.result != nil && !ru.ended {
			ru.result.Outcome = Unfinished
		}
	}
	r.MakespanS = float64(r.now) / second
	r.queue, r.runs, r.byID, r.workers, r.byName, r.state = nil, nil, nil, nil, nil, nil
}

// remaining is the worker time that a program still needs, with its parent's for a helper.
func (r *Replay) remaining(id ids.Program) float64 {
	ru := r.byID[id]
	if ru == nil {
		return 0
	}
	work := r.params.Work(ru.program, min(ru.turn, len(ru.program.Turns)))
	for p := ru.parent; p != nil; p = p.parent {
		work += r.params.Work(p.program, min(p.turn, len(p.program.Turns)))
	}
	return work
}

type item struct {
	at  int64
	seq uint64
	fn  func()
}

type queue []*item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*item)) }
func (q *queue) Pop() any {
	old := *q
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return it
}

func (r *Replay) at(at int64, fn func()) {
	r.seq++
	heap.Push(&r.queue, &item{at: at, seq: r.seq, fn: fn})
}

func (r *Replay) after(d int64, fn func()) { r.at(r.now+d, fn) }

func (r *Replay) hop() int64 { return r.params.HopMS * milli }

// tell sends a message to the scheduler.
func (r *Replay) tell(ev event.Event) { r.after(r.hop(), func() { r.reduce(ev) }) }

func (r *Replay) reduce(ev event.Event) {
	for _, eff := range r.state.Reduce(clock.Millis(r.now/milli), ev) {
		switch m := eff.(type) {
		case sched.Grant:
			r.after(r.hop(), func() { r.grant(m) })
		case sched.Refuse:
			r.after(r.hop(), func() { r.refused(m) })
		case sched.ReleaseCache:
			if r.rng.Float64() < r.params.ReleaseLoss {
				continue
			}
			r.after(2*r.hop(), func() {
				if w := r.byName[m.Worker]; w.up {
					w.engine.Release(r.byID[m.Program].program.Index)
				}
			})
		}
	}
}

func (r *Replay) groupChanged(lost *worker) sched.GroupChanged {
	m := sched.GroupChanged{Group: groupName, Policy: r.policy}
	for _, w := range r.workers {
		m.Workers = append(m.Workers, sched.Worker{
			Name: w.name, Usable: w != lost, MaxRunning: r.params.Engine.MaxRunning, CacheCapacityTokens: r.params.Engine.CacheTokens,
		})
	}
	return m
}

// periodic starts the ticks, the reports and the samples.
func (r *Replay) periodic() {
	r.every(0, tick, func() { r.reduce(sched.Ticked{Group: groupName}) })
	r.every(sample, sample, r.sample)
	for i, w := range r.workers {
		offset := int64(i+1) * r.params.CacheReportMS * milli / int64(len(r.workers))
		r.every(offset, r.params.CacheReportMS*milli, func() { r.reportCache(w) })
		r.every(offset%(r.params.LoadReportMS*milli), r.params.LoadReportMS*milli, func() { r.reportLoad(w) })
	}
}

func (r *Replay) every(first, period int64, fn func()) {
	var again func()
	again = func() {
		fn()
		r.after(period, again)
	}
	r.at(first, again)
}

func (r *Replay) reportCache(w *worker) {
	if !w.up {
		return
	}
	m := sched.CacheReported{Group: groupName, Worker: w.name, AgeMS: r.params.CacheLagMS}
	for _, h := range w.engine.Holdings() {
		if r.rng.Float64() >= r.params.CacheGap {
			m.Programs = append(m.Programs, sched.ProgramCache{Program: r.runs[h.Program].id, Tokens: h.Tokens})
		}
	}
	r.after(r.params.CacheLagMS*milli, func() { r.reduce(m) })
}

func (r *Replay) reportLoad(w *worker) {
	if !w.up {
		return
	}
	running, waiting, tokens := w.engine.Load()
	m := sched.LoadReported{Group: groupName, Worker: w.name, AgeMS: r.params.LoadLagMS, Running: running, Waiting: waiting, CacheUsedTokens: tokens}
	r.after(r.params.LoadLagMS*milli, func() { r.reduce(m) })
}

// faults kills the first worker in mid-event and brings it back later.
func (r *Replay) faults() {
	if r.params.LostWorkerS == 0 {
		return
	}
	w := r.workers[0]
	lost := int64(r.params.LostWorkerS * second)
	r.at(lost, func() {
		w.up, w.stepping = false, false
		w.epoch++
		for _, s := range w.engine.Clear() {
			r.cutOff(s.Tag.(*run), s.Generated)
		}
	})
	r.at(lost+int64(r.params.DetectS*second), func() { r.reduce(r.groupChanged(w)) })
	r.at(int64(r.params.BackS*second), func() {
		w.up = true
		r.reduce(r.groupChanged(nil))
	})
}

// freed accounts for cache that leaves a worker.
func (r *Replay) freed(program int, tokens int64) {
	if ru := r.runs[program]; ru.ended {
		held := float64(r.now-ru.endedAt) / second
		r.EndedTokenSeconds += held * float64(tokens)
		r.EndedLongestS = max(r.EndedLongestS, held)
	}
}

func (r *Replay) sample() {
	point := CachePoint{Second: int(r.now / second)}
	for _, w := range r.workers {
		for _, h := range w.engine.Holdings() {
			ru := r.runs[h.Program]
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
	r.PausedTokenSeconds += float64(point.Paused)
	r.Cache = append(r.Cache, point)
}
