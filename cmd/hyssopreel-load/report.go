package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/bench/workload"
)

const (
	// Latencies are recorded from 1 microsecond to 1 hour with three significant digits.
	histogramMin    = 1
	histogramMax    = 3_600_000_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax)) // cannot fail within the range
}

func percentileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// classReport counts the programs of one priority class that callers opened.
type classReport struct {
	latency  *hdrhistogram.Histogram
	programs int
	inTime   int
	outcomes map[outcome]int
}

// report collects the latencies and outcomes that callers observe. It is safe for concurrent use.
type report struct {
	mu                sync.Mutex
	classes           map[string]*classReport // by class, and "all"
	firstTokenLatency *hdrhistogram.Histogram
	interTokenLatency *hdrhistogram.Histogram
	refusals          map[string]int // by code
	errors            []string
	// newPromptTokens counts the prompt tokens beyond the history of their program, which have to be computed once;
	// computedPromptTokens and generatedTokens add up the usage in the answers.
	newPromptTokens, computedPromptTokens, generatedTokens int64
}

func newReport() *report {
	return &report{classes: map[string]*classReport{}, firstTokenLatency: newHistogram(), interTokenLatency: newHistogram(), refusals: map[string]int{}}
}

// recordProgram counts a program. The latency of one that did not finish extends to the horizon, as in the simulation.
func (r *report) recordProgram(p *workload.Program, o outcome, latency time.Duration, e *scaledWorkload) {
	inTime := o == finished && latency <= e.scaleTarget(p.Agent.LatencyTargetS)
	if o != finished && o != turnLimited {
		latency = e.horizon() - e.arrival(p)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range []string{"all", p.Agent.Class} {
		c := r.classes[name]
		if c == nil {
			c = &classReport{latency: newHistogram(), outcomes: map[outcome]int{}}
			r.classes[name] = c
		}
		c.programs++
		c.outcomes[o]++
		if inTime {
			c.inTime++
		}
		record(c.latency, latency)
	}
}

func (r *report) recordFirstToken(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.firstTokenLatency, d)
}

func (r *report) recordInterToken(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.interTokenLatency, d)
}

// recordTurn counts the tokens of a finished model call; history is the number of tokens computed by earlier turns.
func (r *report) recordTurn(u api.Usage, history int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newPromptTokens += max(0, u.PromptTokens-history)
	r.computedPromptTokens += u.PromptTokens - u.CachedTokens
	r.generatedTokens += u.GeneratedTokens
}

func (r *report) recordRefusal(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[code]++
}

func (r *report) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errors) < maxShownErrors {
		r.errors = append(r.errors, err.Error())
	}
}

// write prints the report. computed is the number of prompt tokens that the engines computed.
func (r *report) write(w io.Writer, computed int64, cache endedCacheReport) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tprograms\tp50 ms\tp95 ms\tp99 ms\tin time\tfinished\tlooped\thung up\trefused\tfailed\tunfinished\t")
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		c := r.classes[name]
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t", name, c.programs, percentileMillis(c.latency, 50), percentileMillis(c.latency, 95),
			percentileMillis(c.latency, 99), float64(c.inTime)/float64(c.programs))
		for _, o := range []outcome{finished, turnLimited, canceledByCaller, refused, failed, unfinished} {
			fmt.Fprintf(t, "%d\t", c.outcomes[o])
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "first token ms: p50 %.0f p95 %.0f p99 %.0f\n", percentileMillis(r.firstTokenLatency, 50), percentileMillis(r.firstTokenLatency, 95), percentileMillis(r.firstTokenLatency, 99))
	fmt.Fprintf(w, "between tokens ms: p50 %.1f p95 %.1f p99 %.1f\n", percentileMillis(r.interTokenLatency, 50), percentileMillis(r.interTokenLatency, 95), percentileMillis(r.interTokenLatency, 99))
	fmt.Fprintf(w, "prompt tokens: %d new, %d computed by the engines, %d recomputed; generated %d\n",
		r.newPromptTokens, computed, computed-r.newPromptTokens, r.generatedTokens)
	fmt.Fprintf(w, "cache of ended programs: %.0f token*s, longest %.2f s, left %d tokens\n", cache.tokenSeconds, cache.longestStay.Seconds(), cache.remainingTokens)
	fmt.Fprintf(w, "refusals that were retried, by code: %v\n", r.refusals)
	for _, e := range r.errors {
		fmt.Fprintln(w, "error:", e)
	}
	return nil
}
