// Package workload reads the parameter files of the bench and generates the programs of an event from them.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat/distuv"
	"gopkg.in/ini.v1"

	"github.com/hyssopreel/hyssopreel/bench/engine"
)

// Params is a parameter file. Times are in seconds unless the key has another unit.
type Params struct {
	Name    string `ini:"name"`
	Seed    uint64 `ini:"seed"`
	Workers int    `ini:"workers"`
	// DurationS is the time for which the programs of load 1.0 keep all workers busy when no prompt token is
	// computed twice. This defines the capacity.
	DurationS float64 `ini:"duration_s"`
	// HorizonS is the time at which the simulation stops. Programs that have not finished count as unfinished.
	HorizonS float64   `ini:"horizon_s"`
	Loads    []float64 `ini:"loads"`
	// OneWayLatencyMS is the one-way latency between the homes, the scheduler and the workers.
	OneWayLatencyMS int64 `ini:"hop_ms"`
	// CacheReportIntervalMS is the interval of cache reports, CacheReportAgeMS their age on arrival and
	// CacheReportMissFraction the fraction of entries that a report misses.
	CacheReportIntervalMS   int64   `ini:"cache_report_ms"`
	CacheReportAgeMS        int64   `ini:"cache_lag_ms"`
	CacheReportMissFraction float64 `ini:"cache_gap"`
	// LoadReportIntervalMS is the interval of load reports and LoadReportAgeMS their age on arrival.
	LoadReportIntervalMS int64 `ini:"load_report_ms"`
	LoadReportAgeMS      int64 `ini:"load_lag_ms"`
	// ReleaseLossFraction is the fraction of cache releases that do not reach the worker.
	ReleaseLossFraction float64 `ini:"release_loss"`
	// WorkerFailureS is the time at which one worker fails, 0 for no failure, FailureDetectionS the delay until the
	// scheduler receives the failure, and WorkerRecoveryS the time at which the worker is available again, with an
	// empty cache.
	WorkerFailureS    float64 `ini:"lost_worker_s"`
	FailureDetectionS float64 `ini:"detect_s"`
	WorkerRecoveryS   float64 `ini:"back_s"`
	Plot              bool    `ini:"plot"`

	Engine engine.Params
	Agents []Agent
	Tools  map[string]Tool
}

// Agent describes the programs of one agent.
type Agent struct {
	Name  string
	Class string `ini:"class"`
	// ProgramFraction is the fraction of the callers' programs; 0 for agents of child programs.
	ProgramFraction float64 `ini:"share"`
	// Arrivals are beta-distributed between ArriveFromS and ArriveToS.
	ArriveFromS float64 `ini:"arrive_from_s"`
	ArriveToS   float64 `ini:"arrive_to_s"`
	ArriveAlpha float64 `ini:"arrive_alpha"`
	ArriveBeta  float64 `ini:"arrive_beta"`
	// The number of turns is log-normal.
	TurnsMedian float64 `ini:"turns_median"`
	TurnsSigma  float64 `ini:"turns_sigma"`
	// Prompt sizes in tokens, log-normal: the first prompt, and the tokens that each later turn adds to the history.
	FirstPromptMedian  float64 `ini:"first_median"`
	PromptGrowthMedian float64 `ini:"growth_median"`
	// AnswerMedian is the length of an answer in tokens, log-normal.
	AnswerMedian float64 `ini:"answer_median"`
	TokensSigma  float64 `ini:"tokens_sigma"`
	// One of the Tools is called in each pause between turns, with the probability at the same index of ToolWeights.
	Tools       []string  `ini:"tools"`
	ToolWeights []float64 `ini:"weights"`
	// A pause is a call of ChildAgent with probability ChildFraction.
	ChildAgent    string  `ini:"helper"`
	ChildFraction float64 `ini:"helper_share"`
	// LoopFraction of the programs repeat their turns until MaxTurns stops them.
	LoopFraction float64 `ini:"loop_share"`
	MaxTurns     int     `ini:"max_turns"`
	// LatencyTargetS is the latency up to which a program counts as in time. DeadlineS is the deadline that the caller
	// passes to the home, 0 for none; with CancelsAtDeadline the caller cancels the program then.
	LatencyTargetS    float64 `ini:"due_s"`
	DeadlineS         float64 `ini:"deadline_s"`
	CancelsAtDeadline bool    `ini:"hang_up"`
}

// Tool describes the pauses for one tool: log-normal, and a fraction that hangs until the time limit.
type Tool struct {
	MedianMS     float64 `ini:"median_ms"`
	Sigma        float64 `ini:"sigma"`
	HangFraction float64 `ini:"hang_share"`
	TimeLimitMS  float64 `ini:"limit_ms"`
}

// Turn is one model call and the pause after it.
type Turn struct {
	NewTokens    int64 // prompt tokens beyond the history
	AnswerTokens int64
	Tool         string
	PauseMS      int64
	Child        *Program // runs in the pause; nil for a tool call
}

// Program is one generated program.
type Program struct {
	Index    int // unique over all programs, child programs included
	Agent    *Agent
	Root     bool // opened by a caller
	Looping  bool
	ArriveMS int64
	Turns    []Turn
}

// ReadFile reads a parameter file.
func ReadFile(path string) (*Params, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read workload %s", path)
	}
	p := &Params{Tools: map[string]Tool{}}
	if err := f.Section("").StrictMapTo(p); err != nil {
		return nil, errors.Wrapf(err, "workload %s", path)
	}
	if err := f.Section("engine").StrictMapTo(&p.Engine); err != nil {
		return nil, errors.Wrapf(err, "workload %s, section engine", path)
	}
	for _, s := range f.ChildSections("agent") {
		a := Agent{Name: s.Name()[len("agent."):]}
		if err := s.StrictMapTo(&a); err != nil {
			return nil, errors.Wrapf(err, "workload %s, section %s", path, s.Name())
		}
		p.Agents = append(p.Agents, a)
	}
	for _, s := range f.ChildSections("tool") {
		var t Tool
		if err := s.StrictMapTo(&t); err != nil {
			return nil, errors.Wrapf(err, "workload %s, section %s", path, s.Name())
		}
		p.Tools[s.Name()[len("tool."):]] = t
	}
	return p, nil
}

// WorkerMicros returns the worker time of the turns of a program from the given one on, child programs included, in
// microseconds. It assumes that histories are cached and that the other sequences of the batch are equally long.
func (p *Params) WorkerMicros(program *Program, from int) float64 {
	var sum, history float64
	for i, t := range program.Turns {
		history += float64(t.NewTokens + t.AnswerTokens)
		if i < from {
			continue
		}
		sum += float64(t.NewTokens)*p.Engine.PrefillMicros + float64(t.AnswerTokens)*p.Engine.DecodeTokenMicros(history)
		if t.Child != nil {
			sum += p.WorkerMicros(t.Child, 0)
		}
	}
	return sum
}

// GeneratePrograms returns the programs of a load, which is a multiple of the capacity, in order of arrival. The
// programs of a smaller load are the first that are generated for a larger one.
func (p *Params) GeneratePrograms(load float64) []*Program {
	d := generator{params: p, rng: rand.New(rand.NewPCG(p.Seed, 1))}
	capacity := float64(p.Workers) * p.DurationS * 1e6
	var programs []*Program
	for sum := 0.0; sum < load*capacity; {
		program := d.generateProgram(d.pickAgent(), true)
		sum += p.WorkerMicros(program, 0)
		programs = append(programs, program)
	}
	sort.SliceStable(programs, func(i, j int) bool { return programs[i].ArriveMS < programs[j].ArriveMS })
	return programs
}

type generator struct {
	params    *Params
	rng       *rand.Rand
	nextIndex int
}

func (d *generator) pickAgent() *Agent {
	var total float64
	for i := range d.params.Agents {
		total += d.params.Agents[i].ProgramFraction
	}
	remaining := d.rng.Float64() * total
	for i := range d.params.Agents {
		a := &d.params.Agents[i]
		if remaining -= a.ProgramFraction; remaining < 0 {
			return a
		}
	}
	return &d.params.Agents[0]
}

func (d *generator) sampleLogNormal(median, sigma float64) float64 {
	return distuv.LogNormal{Mu: math.Log(median), Sigma: sigma, Src: d.rng}.Rand()
}

func (d *generator) sampleTokens(median, sigma float64) int64 {
	return max(1, int64(math.Round(d.sampleLogNormal(median, sigma))))
}

func (d *generator) generateProgram(a *Agent, root bool) *Program {
	program := &Program{Index: d.nextIndex, Agent: a, Root: root}
	d.nextIndex++
	if root {
		arrival := distuv.Beta{Alpha: a.ArriveAlpha, Beta: a.ArriveBeta, Src: d.rng}.Rand()
		program.ArriveMS = int64((a.ArriveFromS + arrival*(a.ArriveToS-a.ArriveFromS)) * 1000)
	}
	turns := max(1, int(math.Round(d.sampleLogNormal(a.TurnsMedian, a.TurnsSigma))))
	if d.rng.Float64() < a.LoopFraction {
		program.Looping = true
		turns = a.MaxTurns
	}
	for i := range min(turns, a.MaxTurns) {
		median := a.PromptGrowthMedian
		if i == 0 {
			median = a.FirstPromptMedian
		}
		t := Turn{NewTokens: d.sampleTokens(median, a.TokensSigma), AnswerTokens: d.sampleTokens(a.AnswerMedian, a.TokensSigma)}
		d.generatePause(a, &t)
		program.Turns = append(program.Turns, t)
	}
	return program
}

func (d *generator) generatePause(a *Agent, t *Turn) {
	if a.ChildAgent != "" && d.rng.Float64() < a.ChildFraction {
		for i := range d.params.Agents {
			if child := &d.params.Agents[i]; child.Name == a.ChildAgent {
				t.Tool, t.Child = "agent:"+child.Name, d.generateProgram(child, false)
				return
			}
		}
	}
	remaining := d.rng.Float64()
	t.Tool = a.Tools[len(a.Tools)-1]
	for i, weight := range a.ToolWeights {
		if remaining -= weight; remaining < 0 {
			t.Tool = a.Tools[i]
			break
		}
	}
	tool := d.params.Tools[t.Tool]
	pauseMS := d.sampleLogNormal(tool.MedianMS, tool.Sigma)
	if d.rng.Float64() < tool.HangFraction {
		pauseMS = tool.TimeLimitMS
	}
	t.PauseMS = int64(min(pauseMS, tool.TimeLimitMS))
}
