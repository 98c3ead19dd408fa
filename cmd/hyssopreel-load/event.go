package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/core/config"
)

const (
	teamName = "load"
	// maxAnswerTokens bounds an answer before scaling; the drawn ones are far below it.
	maxAnswerTokens = 4096
	// toolWords is what the turn of a tool call adds to the history beyond its request: the word "tool", its request
	// and its answer without spaces.
	toolWords = 3
	// toolLimit bounds a tool call; hanging calls of the workload end at their own, shorter limit.
	toolLimit = time.Minute
	// sequenceShare is the part of a step that each further request of the batch adds in the engine stand-ins.
	sequenceShare = 0.01
	// eventLongDue is the part of the event's duration from which a due time counts as relative to the event.
	eventLongDue = 0.5
)

// event is a workload shrunk by a time scale: tokens, pauses, arrivals and due times are divided by it, while the
// engines keep their time per token, so that a call takes the same part of the event as in the replay. The part of
// the event shortens it further: fewer programs arrive in a shorter time, and each is as long as before.
type event struct {
	params *workload.Params
	scale  float64
	part   float64
}

// newEvent prepares a workload. The engine stand-ins have no cost per token of context, so the capacity is computed
// without it.
func newEvent(p *workload.Params, scale, part float64) *event {
	p.Engine.KVMicros = 0
	p.Engine.SequenceMicros = p.Engine.StepMicros * sequenceShare
	return &event{params: p, scale: scale, part: part}
}

// programs draws the programs that callers open at the load.
func (e *event) programs(load float64) []*workload.Program { return e.params.Draw(load * e.part) }

// arrival is the time from the start of the event to the arrival of a program.
func (e *event) arrival(p *workload.Program) time.Duration {
	return e.seconds(float64(p.ArriveMS) / 1000 * e.part)
}

// pause is the time of the tool call after a turn.
func (e *event) pause(t workload.Turn) time.Duration { return e.seconds(float64(t.PauseMS) / 1000) }

func (e *event) seconds(s float64) time.Duration {
	return time.Duration(s / e.scale * float64(time.Second))
}

// due is the latency of a program that is in time, or a deadline. Times of the order of the event shrink with it.
func (e *event) due(s float64) time.Duration {
	if s >= eventLongDue*e.params.DurationS {
		s *= e.part
	}
	return e.seconds(s)
}

// horizon is when callers stop.
func (e *event) horizon() time.Duration { return e.seconds(e.params.HorizonS * e.part) }

func (e *event) tokens(n int64) int { return max(1, int(math.Round(float64(n)/e.scale))) }

// prompt returns the new words of a turn; the last word sets the length of the answer.
func (e *event) prompt(p *workload.Program, turn int) string {
	t := p.Turns[turn]
	words := e.tokens(t.NewTokens)
	if turn > 0 && p.Turns[turn-1].Helper == nil {
		words -= toolWords
	}
	var b strings.Builder
	for i := 1; i < words; i++ {
		fmt.Fprintf(&b, "%s.%d.%d ", strconv.FormatInt(int64(p.Index), 36), turn, i)
	}
	fmt.Fprintf(&b, "[[tokens=%d]]", e.tokens(t.Generate))
	return b.String()
}

// ticket has the pool with the policy, and the agents and tools of the workload.
func (e *event) ticket(pool, policy, tools string) config.Ticket {
	p := e.params
	t := config.Ticket{Number: 1, Author: "hyssopreel-load", Objects: config.Objects{
		Pools: map[string]*config.Pool{pool: {
			Kind: "engine", Model: pool, MaxRunning: p.Engine.MaxRunning, CacheTokens: e.cacheTokens(), Policy: policy,
		}},
		Agents: map[string]*config.Agent{}, Tools: map[string]*config.Tool{},
		Teams: map[string]*config.Team{teamName: {MaxBudgetTokens: budgetLimit, MaxOpenPrograms: 100_000}},
	}}
	var names []string
	for name := range p.Tools {
		names = append(names, name)
		t.Objects.Tools[name] = &config.Tool{Address: tools, Idempotent: true, TimeLimitMS: config.DurationMS(toolLimit.Milliseconds())}
	}
	for _, a := range p.Agents {
		t.Objects.Agents[a.Name] = &config.Agent{
			Pool: pool, Class: a.Class, MaxTokens: e.tokens(maxAnswerTokens), Tools: names,
		}
	}
	for _, a := range p.Agents {
		if a.Helper != "" {
			t.Objects.Agents[a.Name].Agents = []string{a.Helper}
		}
	}
	return t
}

func (e *event) cacheTokens() int64 { return int64(e.tokens(e.params.Engine.CacheTokens)) }

// engineArgs are the options of the engine stand-ins. Load reports are as old as in the replay, scaled.
func (e *event) engineArgs() []string {
	n := e.params.Engine
	return []string{
		"--step-ms", fmt.Sprint(n.StepMicros / 1000), "--prefill-us", fmt.Sprint(n.PrefillMicros),
		"--max-running", strconv.Itoa(n.MaxRunning), "--cache-tokens", strconv.FormatInt(e.cacheTokens(), 10),
		"--report-lag-ms", strconv.FormatInt(e.seconds(float64(e.params.LoadLagMS)/1000).Milliseconds(), 10),
	}
}

// budgets, in tokens. A helper draws on the budget of its parent.
const (
	budgetLimit  = 1_000_000
	helperBudget = 50_000
)

func key(prefix string, turn int) string { return prefix + strconv.Itoa(turn) }
