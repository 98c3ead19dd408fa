// Command hyssopreel-bench replays workloads through the decision code of core/sched and reports how the
// policies compare.
package main

import (
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
	"github.com/hyssopreel/hyssopreel/bench/workload"
)

type options struct {
	Workloads string    `long:"workloads" default:"bench/workloads" description:"directory of the parameter files"`
	Only      []string  `long:"only" description:"workload to replay; all by default"`
	Loads     []float64 `long:"load" description:"load to replay; the loads of the file by default"`
	Policies  []string  `long:"policy" description:"policy to replay; all by default"`
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
	for _, c := range cells {
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
	if o.Results != "" {
		return os.WriteFile(o.Results, report.TSV(rows), 0o644)
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
