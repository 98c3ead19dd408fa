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
	// maxAnswerTokens bounds an answer before scaling; the generated lengths are far below it.
	maxAnswerTokens = 4096
	// toolTurnWords is the number of words that the turn of a tool call adds to the history: the word "tool", the request
	// and the answer, which have no spaces.
	toolTurnWords = 3
	// toolTimeLimit bounds a tool call. It is longer than the time limit at which hanging calls of the workload end.
	toolTimeLimit = time.Minute
	// sequenceStepFraction is the fraction of a step that each further request of the batch adds in the engine stand-ins.
	sequenceStepFraction = 0.01
	// minEventTargetFraction is the fraction of the event's duration from which on a latency target or deadline is scaled
	// with the event.
	minEventTargetFraction = 0.5
)

// scaledWorkload is a workload scaled down in time. Tokens, pauses, arrivals and latency targets are divided by
// timeScale, while the engines keep their time per token, so that a call takes the same fraction of the event as in the
// simulation. eventFraction shortens the event further: fewer programs arrive in a shorter time, and each is as long as
// before.
type scaledWorkload struct {
	params        *workload.Params
	timeScale     float64
	eventFraction float64
}

// newScaledWorkload changes the engine costs of p, from which the capacity is computed, to those of the engine
// stand-ins: they have no cost per token of context.
func newScaledWorkload(p *workload.Params, timeScale, eventFraction float64) *scaledWorkload {
	p.Engine.KVMicros = 0
	p.Engine.SequenceMicros = p.Engine.StepMicros * sequenceStepFraction
	return &scaledWorkload{params: p, timeScale: timeScale, eventFraction: eventFraction}
}

// generatePrograms generates the programs that callers open at the load.
func (e *scaledWorkload) generatePrograms(load float64) []*workload.Program {
	return e.params.GeneratePrograms(load * e.eventFraction)
}

// arrival returns the time from the start of the event to the arrival of a program.
func (e *scaledWorkload) arrival(p *workload.Program) time.Duration {
	return e.scaleSeconds(float64(p.ArriveMS) / 1000 * e.eventFraction)
}

// pause returns the duration of the tool call after a turn.
func (e *scaledWorkload) pause(t workload.Turn) time.Duration {
	return e.scaleSeconds(float64(t.PauseMS) / 1000)
}

func (e *scaledWorkload) scaleSeconds(s float64) time.Duration {
	return time.Duration(s / e.timeScale * float64(time.Second))
}

// scaleTarget scales a latency target or deadline in seconds. Those from minEventTargetFraction of the event on are
// shortened with the event.
func (e *scaledWorkload) scaleTarget(s float64) time.Duration {
	if s >= minEventTargetFraction*e.params.DurationS {
		s *= e.eventFraction
	}
	return e.scaleSeconds(s)
}

// horizon returns the time from the start of the event until callers stop.
func (e *scaledWorkload) horizon() time.Duration {
	return e.scaleSeconds(e.params.HorizonS * e.eventFraction)
}

func (e *scaledWorkload) scaleTokens(n int64) int {
	return max(1, int(math.Round(float64(n)/e.timeScale)))
}

// prompt returns the new words of a turn; the last word sets the length of the answer of the engine stand-in.
func (e *scaledWorkload) prompt(p *workload.Program, turn int) string {
	t := p.Turns[turn]
	words := e.scaleTokens(t.NewTokens)
	if turn > 0 && p.Turns[turn-1].Child == nil {
		words -= toolTurnWords
	}
	var b strings.Builder
	for i := 1; i < words; i++ {
		fmt.Fprintf(&b, "%s.%d.%d ", strconv.FormatInt(int64(p.Index), 36), turn, i)
	}
	fmt.Fprintf(&b, "[[tokens=%d]]", e.scaleTokens(t.AnswerTokens))
	return b.String()
}

// ticket returns the ticket with the pool under the policy, and the agents and tools of the workload.
func (e *scaledWorkload) ticket(pool, policy, tools string) config.Ticket {
	p := e.params
	t := config.Ticket{Number: 1, Author: "hyssopreel-load", Objects: config.Objects{
		Pools: map[string]*config.Pool{pool: {
			Kind: "engine", Model: pool, MaxRunning: p.Engine.MaxRunning, CacheTokens: e.cacheCapacityTokens(), Policy: policy,
		}},
		Agents: map[string]*config.Agent{}, Tools: map[string]*config.Tool{},
		Teams: map[string]*config.Team{teamName: {MaxBudgetTokens: budgetTokens, MaxOpenPrograms: 100_000}},
	}}
	var names []string
	for name := range p.Tools {
		names = append(names, name)
		t.Objects.Tools[name] = &config.Tool{Address: tools, Idempotent: true, TimeLimitMS: config.DurationMS(toolTimeLimit.Milliseconds())}
	}
	for _, a := range p.Agents {
		t.Objects.Agents[a.Name] = &config.Agent{
			Pool: pool, Class: a.Class, MaxTokens: e.scaleTokens(maxAnswerTokens), Tools: names,
		}
	}
	for _, a := range p.Agents {
		if a.ChildAgent != "" {
			t.Objects.Agents[a.Name].Agents = []string{a.ChildAgent}
		}
	}
	return t
}

func (e *scaledWorkload) cacheCapacityTokens() int64 {
	return int64(e.scaleTokens(e.params.Engine.CacheCapacityTokens))
}

// engineArgs returns the options of the engine stand-ins. The age of load reports is that of the simulation, scaled.
func (e *scaledWorkload) engineArgs() []string {
	n := e.params.Engine
	return []string{
		"--step-ms", fmt.Sprint(n.StepMicros / 1000), "--prefill-us", fmt.Sprint(n.PrefillMicros),
		"--max-running", strconv.Itoa(n.MaxRunning), "--cache-tokens", strconv.FormatInt(e.cacheCapacityTokens(), 10),
		"--report-lag-ms", strconv.FormatInt(e.scaleSeconds(float64(e.params.LoadReportAgeMS)/1000).Milliseconds(), 10),
	}
}

// Budgets of programs, in tokens. A child program draws on the budget of its parent.
const (
	budgetTokens      = 1_000_000
	childBudgetTokens = 50_000
)

func callKey(prefix string, turn int) string { return prefix + strconv.Itoa(turn) }
