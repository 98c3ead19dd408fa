// Package workload reads the parameter files of the bench and draws the programs of an event from them.
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

// Params is a parameter file. Times are in seconds unless the key says otherwise.
type Params struct {
	Name    string `ini:"name"`
	Seed    uint64 `ini:"seed"`
	Workers int    `ini:"workers"`
	// DurationS is the time for which the programs of load 1.0 keep all workers busy when no prompt token is
	// computed twice. This defines the capacity.
	DurationS float64 `ini:"duration_s"`
	// HorizonS is when the replay stops. Programs that have not finished count as unfinished.
	HorizonS float64   `ini:"horizon_s"`
	Loads    []float64 `ini:"loads"`
	// OneWayLatencyMS is the one-way latency between the homes, the scheduler and the workers.
	OneWayLatencyMS int64 `ini:"hop_ms"`
	// CacheReportIntervalMS is the period of cache reports, CacheLagMS their age on arrival and CacheGap the share
	// of entries that a report misses.
	CacheReportIntervalMS   int64   `ini:"cache_report_ms"`
	CacheReportAgeMS        int64   `ini:"cache_lag_ms"`
	CacheReportMissFraction float64 `ini:"cache_gap"`
	// LoadReportIntervalMS is the period of load reports and LoadLagMS their age on arrival.
	LoadReportIntervalMS int64 `ini:"load_report_ms"`
	LoadReportAgeMS      int64 `ini:"load_lag_ms"`
	// ReleaseLossFraction is the share of cache releases that get lost on the way.
	ReleaseLossFraction float64 `ini:"release_loss"`
	// WorkerFailureS is when one worker dies, DetectS how long it takes until the scheduler hears of it, and
	// BackS when it is back with an empty cache.
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
	// ProgramFraction is the part of the opened programs that this agent has; 0 for helper agents.
	ProgramFraction float64 `ini:"share"`
	// Programs arrive between ArriveFromS and ArriveToS by a beta distribution.
	ArriveFromS float64 `ini:"arrive_from_s"`
	ArriveToS   float64 `ini:"arrive_to_s"`
	ArriveAlpha float64 `ini:"arrive_alpha"`
	ArriveBeta  float64 `ini:"arrive_beta"`
	// The number of turns is log-normal.
	TurnsMedian float64 `ini:"turns_median"`
	TurnsSigma  float64 `ini:"turns_sigma"`
	// Prompt sizes in tokens, log-normal: the first prompt and what each later turn adds to the history.
	FirstPromptMedian  float64 `ini:"first_median"`
	PromptGrowthMedian float64 `ini:"growth_median"`
	// AnswerMedian is the length of an answer in tokens, log-normal.
	AnswerMedian float64 `ini:"answer_median"`
	TokensSigma  float64 `ini:"tokens_sigma"`
	// Tools are called between turns, one per pause, each with the weight at the same place.
	Tools       []string  `ini:"tools"`
	ToolWeights []float64 `ini:"weights"`
	// A pause is a call of the agent Helper with probability HelperShare.
	ChildAgent    string  `ini:"helper"`
	ChildFraction float64 `ini:"helper_share"`
	// LoopFraction of the programs repeat their turns until MaxTurns stops them.
	LoopFraction float64 `ini:"loop_share"`
	MaxTurns     int     `ini:"max_turns"`
	// LatencyTargetS is the latency up to which a program counts as in time. DeadlineS is the deadline that the home
	// knows, 0 for none; with HangUp the caller cancels the program then.
	LatencyTargetS    float64 `ini:"due_s"`
	DeadlineS         float64 `ini:"deadline_s"`
	CancelsAtDeadline bool    `ini:"hang_up"`
}

// Tool describes the pauses for one tool: log-normal, and a share that hangs until the time limit.
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
	Child        *Program // runs in the pause
}

// Program is one drawn program.
type Program struct {
	Index    int // unique over all programs, helpers included
	Agent    *Agent
	Root     bool
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

// WorkerMicros is the worker time of the turns of a program from the given one on, helpers included, in microseconds. Histories
// count as cached, and the other programs of the batch as equally long.
func (p *Params) WorkerMicros(pr *Program, from int) float64 {
	var sum, history float64
	for i, t := range pr.Turns {
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

// GeneratePrograms returns the programs that a load offers, in order of arrival. The programs of a smaller load are the
// first drawn of a larger one.
func (p *Params) GeneratePrograms(load float64) []*Program {
	d := generator{params: p, rng: rand.New(rand.NewPCG(p.Seed, 1))}
	capacity := float64(p.Workers) * p.DurationS * 1e6
	var programs []*Program
	for sum := 0.0; sum < load*capacity; {
		pr := d.generateProgram(d.pickAgent(), true)
		sum += p.WorkerMicros(pr, 0)
		programs = append(programs, pr)
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
	x := d.rng.Float64() * total
	for i := range d.params.Agents {
		a := &d.params.Agents[i]
		if x -= a.ProgramFraction; x < 0 {
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
	pr := &Program{Index: d.nextIndex, Agent: a, Root: root}
	d.nextIndex++
	if root {
		at := distuv.Beta{Alpha: a.ArriveAlpha, Beta: a.ArriveBeta, Src: d.rng}.Rand()
		pr.ArriveMS = int64((a.ArriveFromS + at*(a.ArriveToS-a.ArriveFromS)) * 1000)
	}
	turns := max(1, int(math.Round(d.sampleLogNormal(a.TurnsMedian, a.TurnsSigma))))
	if d.rng.Float64() < a.LoopFraction {
		pr.Looping = true
		turns = a.MaxTurns
	}
	for i := range min(turns, a.MaxTurns) {
		median := a.PromptGrowthMedian
		if i == 0 {
			median = a.FirstPromptMedian
		}
		t := Turn{NewTokens: d.sampleTokens(median, a.TokensSigma), AnswerTokens: d.sampleTokens(a.AnswerMedian, a.TokensSigma)}
		d.generatePause(a, &t)
		pr.Turns = append(pr.Turns, t)
	}
	return pr
}

func (d *generator) generatePause(a *Agent, t *Turn) {
	if a.ChildAgent != "" && d.rng.Float64() < a.ChildFraction {
		for i := range d.params.Agents {
			if h := &d.params.Agents[i]; h.Name == a.ChildAgent {
				t.Tool, t.Child = "agent:"+h.Name, d.generateProgram(h, false)
				return
			}
		}
	}
	x := d.rng.Float64()
	t.Tool = a.Tools[len(a.Tools)-1]
	for i, w := range a.ToolWeights {
		if x -= w; x < 0 {
			t.Tool = a.Tools[i]
			break
		}
	}
	tool := d.params.Tools[t.Tool]
	ms := d.sampleLogNormal(tool.MedianMS, tool.Sigma)
	if d.rng.Float64() < tool.HangFraction {
		ms = tool.TimeLimitMS
	}
	t.PauseMS = int64(min(ms, tool.TimeLimitMS))
}
