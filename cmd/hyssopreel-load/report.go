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
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax)) // in range
}

func millisAt(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// classReport counts the programs of one class that callers opened.
type classReport struct {
	latency  *hdrhistogram.Histogram
	programs int
	inTime   int
	outcomes map[outcome]int
}

// report collects what callers see. Its methods may be called from any goroutine.
type report struct {
	mu       sync.Mutex
	classes  map[string]*classReport // "all" and by class
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	refusals map[string]int // by code
	errors   []string
	// newTokens are prompt tokens that had to be computed once; computed and generated are from the answers.
	newTokens, computed, generated int64
}

func newReport() *report {
	return &report{classes: map[string]*classReport{}, first: newHistogram(), between: newHistogram(), refusals: map[string]int{}}
}

// program counts a program. One that did not finish counts with the time to the horizon, as in the replay.
func (r *report) program(p *workload.Program, o outcome, latency time.Duration, e *event) {
	inTime := o == finished && latency <= e.due(p.Agent.DueS)
	if o != finished && o != looped {
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

func (r *report) firstToken(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.first, d)
}

func (r *report) betweenTokens(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.between, d)
}

// turn counts the prompt tokens of an answered call beyond the history that was computed before.
func (r *report) turn(u api.Usage, history int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newTokens += max(0, u.PromptTokens-history)
	r.computed += u.PromptTokens - u.CachedTokens
	r.generated += u.GeneratedTokens
}

func (r *report) refusal(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[code]++
}

func (r *report) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errors) < maxErrors {
		r.errors = append(r.errors, err.Error())
	}
}

// write prints the report. computed is what the engines computed of prompts.
func (r *report) write(w io.Writer, computed int64, held cacheReport) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tprograms\tp50 ms\tp95 ms\tp99 ms\tin time\tfinished\tlooped\thung up\trefused\tfailed\tunfinished\t")
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		c := r.classes[name]
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t", name, c.programs, millisAt(c.latency, 50), millisAt(c.latency, 95),
			millisAt(c.latency, 99), float64(c.inTime)/float64(c.programs))
		for _, o := range []outcome{finished, looped, hungUp, refused, failed, unfinished} {
			fmt.Fprintf(t, "%d\t", c.outcomes[o])
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "first token ms: p50 %.0f p95 %.0f p99 %.0f\n", millisAt(r.first, 50), millisAt(r.first, 95), millisAt(r.first, 99))
	fmt.Fprintf(w, "between tokens ms: p50 %.1f p95 %.1f p99 %.1f\n", millisAt(r.between, 50), millisAt(r.between, 95), millisAt(r.between, 99))
	fmt.Fprintf(w, "prompt tokens: %d new, %d computed by the engines, %d recomputed; generated %d\n",
		r.newTokens, computed, computed-r.newTokens, r.generated)
	fmt.Fprintf(w, "cache of ended programs: %.0f token*s, longest %.2f s, left %d tokens\n", held.tokenSeconds, held.longest.Seconds(), held.left)
	fmt.Fprintf(w, "refusals that were retried, by code: %v\n", r.refusals)
	for _, e := range r.errors {
		fmt.Fprintln(w, "error:", e)
	}
	return nil
}
