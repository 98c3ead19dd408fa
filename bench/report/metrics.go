// Package report computes metrics, tables and plots from simulations.
package report

import (
	"slices"

	"gonum.org/v1/gonum/stat"

	"github.com/hyssopreel/hyssopreel/bench/simulation"
	"github.com/hyssopreel/hyssopreel/bench/workload"
)

// Row is one line of results.tsv.
type Row struct {
	Workload string
	Load     float64
	Policy   string
	Metric   string
	Value    float64
	Unit     string
}

// classes are the priority classes in the order of the rows.
var classes = []string{"urgent", "interactive", "batch"}

// Metrics computes the rows of one simulation.
//
// latency_* is over the programs that had at least one call granted, latency_all_* over all programs that callers
// opened. In both, a program that did not finish counts as if it had ended at the horizon, whether it was refused,
// failed, canceled by its caller or still open.
func Metrics(p *workload.Params, load float64, policy string, r *simulation.Simulation) []Row {
	var rows []Row
	add := func(metric string, value float64, unit string) {
		rows = append(rows, Row{p.Name, load, policy, metric, value, unit})
	}
	started, all := startedLatencies(p, r, ""), allLatencies(p, r, "")
	for _, q := range []struct {
		name     string
		quantile float64
	}{{"p50", 0.50}, {"p95", 0.95}, {"p99", 0.99}} {
		add("latency_"+q.name, quantile(started, q.quantile), "s")
		add("latency_all_"+q.name, quantile(all, q.quantile), "s")
	}
	for _, class := range classes {
		if ofClass := startedLatencies(p, r, class); len(ofClass) > 0 {
			add("latency_p95_"+class, quantile(ofClass, 0.95), "s")
			add("latency_all_p95_"+class, quantile(allLatencies(p, r, class), 0.95), "s")
		}
	}
	programs := float64(len(r.Results))
	inTime := 0
	outcomes := map[simulation.Outcome]int{}
	for _, res := range r.Results {
		outcomes[res.Outcome]++
		if FinishedInTime(res) {
			inTime++
		}
	}
	add("programs", programs, "programs")
	add("in_time_share", float64(inTime)/programs, "ratio")
	add("goodput", float64(inTime)/(p.DurationS/60), "programs/min")
	add("refused_share", float64(outcomes[simulation.Refused])/programs, "ratio")
	add("failed_share", float64(outcomes[simulation.Failed])/programs, "ratio")
	add("hung_up_share", float64(outcomes[simulation.CanceledByCaller])/programs, "ratio")
	add("unfinished_share", float64(outcomes[simulation.Unfinished])/programs, "ratio")
	add("refusals", float64(r.Refusals), "refusals")
	add("makespan", r.MakespanS, "s")
	add("recomputed_prompt_tokens", float64(r.RecomputedPromptTokens), "tokens")
	add("first_computed_prompt_tokens", float64(r.FirstComputedPromptTokens), "tokens")
	add("generated_tokens", float64(r.GeneratedTokens), "tokens")
	add("ended_cache_token_seconds", r.EndedCacheTokenSeconds, "token*s")
	add("ended_cache_longest", r.EndedCacheLongestS, "s")
	add("paused_cache_token_seconds", r.PausedCacheTokenSeconds, "token*s")
	return rows
}

// FinishedInTime reports whether a program finished within the latency target of its agent.
func FinishedInTime(res *simulation.Result) bool {
	return res.Outcome == simulation.Finished && float64(res.LatencyMS) <= res.Program.Agent.LatencyTargetS*1000
}

func startedLatencies(p *workload.Params, r *simulation.Simulation, class string) []float64 {
	return collectLatencies(p, r, class, func(res *simulation.Result) bool { return res.Started })
}

func allLatencies(p *workload.Params, r *simulation.Simulation, class string) []float64 {
	return collectLatencies(p, r, class, func(*simulation.Result) bool { return true })
}

func collectLatencies(p *workload.Params, r *simulation.Simulation, class string, include func(*simulation.Result) bool) []float64 {
	var latencies []float64
	for _, res := range r.Results {
		if (class == "" || res.Program.Agent.Class == class) && include(res) {
			latencies = append(latencies, LatencyS(p, res))
		}
	}
	slices.Sort(latencies)
	return latencies
}

// LatencyS returns the latency of a program in seconds, up to the horizon if it did not finish.
func LatencyS(p *workload.Params, res *simulation.Result) float64 {
	if res.Outcome == simulation.Finished || res.Outcome == simulation.TurnLimited {
		return float64(res.LatencyMS) / 1000
	}
	return p.HorizonS - float64(res.Program.ArriveMS)/1000
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}
