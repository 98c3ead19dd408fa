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

	"github.com/hyssopreel/hyssopreel/bench/replay"
	"github.com/hyssopreel/hyssopreel/bench/report"
	"github.com/hyssopreel/hyssopreel/bench/timing"
	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

type options struct {
	Workloads string    `long:"workloads" default:"bench/workloads" description:"directory of the parameter files"`
	Only      []string  `long:"only" description:"workload to replay; all by default"`
	Loads     []float64 `long:"load" description:"load to replay; the loads of the file by default"`
	Policies  []string  `long:"policy" description:"policy to replay; all by default"`
	Seed      uint64    `long:"seed" description:"seed instead of the one of the file, to see how far the figures depend on it"`
	Plots     string    `long:"plots" description:"directory for the plots; empty draws none"`
	Decisions string    `long:"decisions" description:"page whose table of results is replaced; empty replaces none"`
	Timing    bool      `long:"timing" description:"measure the real time of decisions after the replays"`
	Results   string    `long:"results" description:"file for the table of results; empty writes none"`
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

// cell is one replay.
type cell struct {
	params *workload.Params
	load   float64
	policy string
	replay *replay.Replay
	rows   []report.Row
}

func run(o options) error {
	// Replays allocate many short-lived objects and little that stays; fewer collections halve the time.
	debug.SetGCPercent(400)
	cells, err := cellsOf(o)
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	// The largest replays start first, so that none is left over at the end.
	bySize := slices.Clone(cells)
	slices.SortStableFunc(bySize, func(a, b *cell) int {
		return cmp.Compare(float64(b.params.Workers)*b.load, float64(a.params.Workers)*a.load)
	})
	for _, c := range bySize {
		g.Go(func() error {
			c.replay = replayCell(c)
			c.rows = report.Metrics(c.params, c.load, c.policy, c.replay)
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
	fmt.Print(report.Table(rows))
	fmt.Print(report.Ratios(rows))
	if err := write(o, cells, rows); err != nil {
		return err
	}
	if o.Timing {
		for _, policy := range plugins.Names() {
			fmt.Println(timing.Measure(policy))
		}
	}
	return nil
}

func write(o options, cells []*cell, rows []report.Row) error {
	if o.Results != "" {
		if err := os.WriteFile(o.Results, report.TSV(rows), 0o644); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	if o.Plots != "" {
		var runs []report.Run
		for _, c := range cells {
			runs = append(runs, report.Run{Params: c.params, Load: c.load, Policy: c.policy, Replay: c.replay})
		}
		if err := report.Plots(o.Plots, runs); err != nil {
			return err
		}
	}
	if o.Decisions != "" {
		return report.ReplaceTable(o.Decisions, rows)
	}
	return nil
}

func cellsOf(o options) ([]*cell, error) {
	files, err := filepath.Glob(filepath.Join(o.Workloads, "*.ini"))
	if err != nil {
		return nil, errors.Wrap(err, "list workloads")
	}
	sort.Strings(files)
	var cells []*cell
	for _, f := range files {
		p, err := workload.Load(f)
		if err != nil {
			return nil, err
		}
		if o.Seed != 0 {
			p.Seed = o.Seed
		}
		if len(o.Only) > 0 && !slices.Contains(o.Only, p.Name) {
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
				cells = append(cells, &cell{params: p, load: load, policy: name})
			}
		}
	}
	if len(cells) == 0 {
		return nil, errors.Newf("no workload in %s matches", o.Workloads)
	}
	return cells, nil
}
