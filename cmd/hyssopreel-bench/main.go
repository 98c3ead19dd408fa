// Command hyssopreel-bench replays workloads through the decision code of core/sched and reports how the
// policies compare.
package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopreel/hyssopreel/bench/report"
	"github.com/hyssopreel/hyssopreel/bench/simulation"
	"github.com/hyssopreel/hyssopreel/bench/timing"
	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

type options struct {
	WorkloadDir   string    `long:"workloads" default:"bench/workloads" description:"directory of the parameter files"`
	WorkloadNames []string  `long:"only" description:"workload to replay; all by default"`
	Loads         []float64 `long:"load" description:"load to replay; the loads of the file by default"`
	Policies      []string  `long:"policy" description:"policy to replay; all by default"`
	Seed          uint64    `long:"seed" description:"seed instead of the one of the file, to see how far the figures depend on it"`
	PlotDir       string    `long:"plots" description:"directory for the plots; empty draws none"`
	DecisionsPage string    `long:"decisions" description:"page whose table of results is replaced; empty replaces none"`
	Timing        bool      `long:"timing" description:"measure the real time of decisions after the replays"`
	ResultsFile   string    `long:"results" description:"file for the table of results; empty writes none"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "hyssopreel-bench:", err)
		os.Exit(1)
	}
}

// benchCase is one replay.
type benchCase struct {
	params     *workload.Params
	load       float64
	policy     string
	simulation *simulation.Simulation
	rows       []report.Row
}

func run(o options) error {
	// Replays allocate many short-lived objects and little that stays; fewer collections halve the time.
	debug.SetGCPercent(400)
	cells, err := selectCases(o)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	// The largest replays start first, so that none is left over at the end.
	bySize := slices.Clone(cells)
	slices.SortStableFunc(bySize, func(a, b *benchCase) int {
		return cmp.Compare(float64(b.params.Workers)*b.load, float64(a.params.Workers)*a.load)
	})
	for _, c := range bySize {
		g.Go(func() error {
			c.simulation = simulateCase(c)
			c.rows = report.Metrics(c.params, c.load, c.policy, c.simulation)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	var rows []report.Row
	for _, c := range cells {
		rows = append(rows, c.rows...)
	}
	fmt.Print(report.TextTable(rows))
	fmt.Print(report.TargetTable(rows))
	if err := writeOutputs(o, cells, rows); err != nil {
		return err
	}
	if o.Timing {
		for _, policy := range plugins.Names() {
			fmt.Println(timing.Measure(policy))
		}
	}
	return nil
}

func writeOutputs(o options, cells []*benchCase, rows []report.Row) error {
	if o.ResultsFile != "" {
		if err := os.WriteFile(o.ResultsFile, report.TSV(rows), 0o644); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	if o.PlotDir != "" {
		var runs []report.Case
		for _, c := range cells {
			runs = append(runs, report.Case{Params: c.params, Load: c.load, Policy: c.policy, Simulation: c.simulation})
		}
		if err := report.Plots(o.PlotDir, runs); err != nil {
			return err
		}
	}
	if o.DecisionsPage != "" {
		return report.ReplaceTables(o.DecisionsPage, rows)
	}
	return nil
}

func selectCases(o options) ([]*benchCase, error) {
	files, err := filepath.Glob(filepath.Join(o.WorkloadDir, "*.ini"))
	if err != nil {
		return nil, errors.Wrap(err, "list workloads")
	}
	sort.Strings(files)
	var cells []*benchCase
	for _, f := range files {
		p, err := workload.ReadFile(f)
		if err != nil {
			return nil, err
		}
		if o.Seed != 0 {
			p.Seed = o.Seed
		}
		if len(o.WorkloadNames) > 0 && !slices.Contains(o.WorkloadNames, p.Name) {
			continue
		}
		loads := p.Loads
		if len(o.Loads) > 0 {
			loads = o.Loads
		}
		for _, load := range loads {
			for _, name := range policyNames() {
				if len(o.Policies) > 0 && !slices.Contains(o.Policies, name) {
					continue
				}
				cells = append(cells, &benchCase{params: p, load: load, policy: name})
			}
		}
	}
	if len(cells) == 0 {
		return nil, errors.Newf("no workload in %s matches", o.WorkloadDir)
	}
	return cells, nil
}
