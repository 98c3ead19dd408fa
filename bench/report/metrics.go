// Package report turns replays into metrics, tables and plots.
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

// classes in the order of the rows.
var classes = []string{"urgent", "interactive", "batch"}

// Metrics computes the rows of one replay.
//
// latency_* is over the programs that ran at least one call. latency_all_* is over all programs that
// callers opened. In both, a program that did not finish counts as if it had ended at the horizon, whether it was
// refused, failed, hung up on or still open.
func Metrics(p *workload.Params, load float64, policy string, r *simulation.Simulation) []Row {
	var rows []Row
	add := func(metric string, value float64, unit string) {
		rows = append(rows, Row{p.Name, load, policy, metric, value, unit})
	}
	admitted, all := startedLatencies(p, r, ""), allLatencies(p, r, "")
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.50}, {"p95", 0.95}, {"p99", 0.99}} {
		add("latency_"+q.name, quantile(admitted, q.at), "s")
		add("latency_all_"+q.name, quantile(all, q.at), "s")
	}
	for _, class := range classes {
		if of := startedLatencies(p, r, class); len(of) > 0 {
			add("latency_p95_"+class, quantile(of, 0.95), "s")
			add("latency_all_p95_"+class, quantile(allLatencies(p, r, class), 0.95), "s")
		}
	}
	n := float64(len(r.Results))
	inTime := 0
	outcomes := map[simulation.Outcome]int{}
	for _, res := range r.Results {
		outcomes[res.Outcome]++
		if FinishedInTime(res) {
			inTime++
		}
	}
	add("programs", n, "programs")
	add("in_time_share", float64(inTime)/n, "ratio")
	add("goodput", float64(inTime)/(p.DurationS/60), "programs/min")
	add("refused_share", float64(outcomes[simulation.Refused])/n, "ratio")
	add("failed_share", float64(outcomes[simulation.Failed])/n, "ratio")
	add("hung_up_share", float64(outcomes[simulation.CanceledByCaller])/n, "ratio")
	add("unfinished_share", float64(outcomes[simulation.Unfinished])/n, "ratio")
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

// FinishedInTime reports whether a program finished within its due time.
func FinishedInTime(res *simulation.Result) bool {
	return res.Outcome == simulation.Finished && float64(res.LatencyMS) <= res.Program.Agent.LatencyTargetS*1000
}

func startedLatencies(p *workload.Params, r *simulation.Simulation, class string) []float64 {
	return collectLatencies(p, r, class, func(res *simulation.Result) bool { return res.Started })
}

func allLatencies(p *workload.Params, r *simulation.Simulation, class string) []float64 {
	return collectLatencies(p, r, class, func(*simulation.Result) bool { return true })
}

func collectLatencies(p *workload.Params, r *simulation.Simulation, class string, take func(*simulation.Result) bool) []float64 {
	var out []float64
	for _, res := range r.Results {
		if (class == "" || res.Program.Agent.Class == class) && take(res) {
			out = append(out, LatencyS(p, res))
		}
	}
	slices.Sort(out)
	return out
}

// LatencyS is the latency of a program in seconds, up to the horizon if it did not finish.
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
