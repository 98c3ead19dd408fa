// Command hyssopreel-bench simulates workloads with the scheduler of core/sched and compares the policies.
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
	WorkloadDir   string    `long:"workloads" default:"bench/workloads" description:"directory of the workload files (*.ini)"`
	WorkloadNames []string  `long:"only" description:"name of a workload to simulate; all by default"`
	Loads         []float64 `long:"load" description:"load to simulate, as a multiple of the capacity; the loads of the workload file by default"`
	Policies      []string  `long:"policy" description:"policy to simulate; all by default"`
	Seed          uint64    `long:"seed" description:"seed that replaces the one of the workload file, to see how much the results depend on it; 0 keeps it"`
	PlotDir       string    `long:"plots" description:"directory for the plots; no plots by default"`
	DecisionsPage string    `long:"decisions" description:"Markdown page whose tables of results are replaced; none by default"`
	Timing        bool      `long:"timing" description:"measure the wall-clock time of scheduling decisions after the simulations"`
	ResultsFile   string    `long:"results" description:"TSV file for the results; none by default"`
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

// benchCase is one simulation: a workload at a load under a policy. simulation and rows are set when it has run.
type benchCase struct {
	params     *workload.Params
	load       float64
	policy     string
	simulation *simulation.Simulation
	rows       []report.Row
}

func run(o options) error {
	// Simulations allocate many short-lived objects and few long-lived ones; fewer garbage collections halve their time.
	debug.SetGCPercent(400)
	cases, err := selectCases(o)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	// The largest simulations start first, so that no long one runs alone at the end.
	bySize := slices.Clone(cases)
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
	for _, c := range cases {
		rows = append(rows, c.rows...)
	}
	fmt.Print(report.TextTable(rows))
	fmt.Print(report.TargetTable(rows))
	if err := writeOutputs(o, cases, rows); err != nil {
		return err
	}
	if o.Timing {
		for _, policy := range plugins.Names() {
			fmt.Println(timing.Measure(policy))
		}
	}
	return nil
}

func writeOutputs(o options, cases []*benchCase, rows []report.Row) error {
	if o.ResultsFile != "" {
		if err := os.WriteFile(o.ResultsFile, report.TSV(rows), 0o644); err != nil {
			return errors.Wrap(err, "write the results")
		}
	}
	if o.PlotDir != "" {
		var reportCases []report.Case
		for _, c := range cases {
			reportCases = append(reportCases, report.Case{Params: c.params, Load: c.load, Policy: c.policy, Simulation: c.simulation})
		}
		if err := report.Plots(o.PlotDir, reportCases); err != nil {
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
		return nil, errors.Wrapf(err, "list the workload files in %s", o.WorkloadDir)
	}
	sort.Strings(files)
	var cases []*benchCase
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
				cases = append(cases, &benchCase{params: p, load: load, policy: name})
			}
		}
	}
	if len(cases) == 0 {
		return nil, errors.Newf("no workload file in %s matches --only %q and --policy %q", o.WorkloadDir, o.WorkloadNames, o.Policies)
	}
	return cases, nil
}
