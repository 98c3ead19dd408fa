package report

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/hyssopreel/hyssopreel/bench/simulation"
	"github.com/hyssopreel/hyssopreel/bench/workload"
)

// Case is one simulation with its parameters, load and policy.
type Case struct {
	Params     *workload.Params
	Load       float64
	Policy     string
	Simulation *simulation.Simulation
}

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	// plottedLoad is the load of the plots, the lowest that saturates the workers.
	plottedLoad = 1.0
)

// Plots writes PNG files to dir for each workload with the plot setting: the latency distribution by policy, and the
// cache of baseline and shipped over time.
func Plots(dir string, cases []Case) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create the plot directory")
	}
	latency := map[string]*plot.Plot{}
	lines := map[string]int{} // number of lines in the plot
	var names []string
	for _, r := range cases {
		if !r.Params.Plot || r.Load != plottedLoad {
			continue
		}
		p, ok := latency[r.Params.Name]
		if !ok {
			p = newPlot(fmt.Sprintf("%s at load %.1f: all programs", r.Params.Name, r.Load), "latency (s)", "share of programs")
			latency[r.Params.Name] = p
			names = append(names, r.Params.Name)
		}
		if err := addDistribution(p, r, lines[r.Params.Name]); err != nil {
			return err
		}
		lines[r.Params.Name]++
		if r.Policy == "baseline" || r.Policy == "shipped" {
			if err := plotCache(dir, r); err != nil {
				return err
			}
		}
	}
	for _, name := range names {
		if err := save(latency[name], filepath.Join(dir, name+"-latency.png")); err != nil {
			return err
		}
	}
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	return p
}

func addDistribution(p *plot.Plot, r Case, lineIndex int) error {
	all := allLatencies(r.Params, r.Simulation, "")
	points := make(plotter.XYs, len(all))
	for k, latency := range all {
		points[k] = plotter.XY{X: latency, Y: float64(k+1) / float64(len(all))}
	}
	return addLine(p, r.Policy, points, lineIndex)
}

func addLine(p *plot.Plot, name string, points plotter.XYs, lineIndex int) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "plot line %s", name)
	}
	line.Color, line.Dashes = plotutil.Color(lineIndex), plotutil.Dashes(lineIndex)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func plotCache(dir string, r Case) error {
	p := newPlot(fmt.Sprintf("%s at load %.1f, %s: cache of all workers", r.Params.Name, r.Load, r.Policy), "time (s)", "million tokens")
	p.Legend.Top = true
	for i, s := range []struct {
		name   string
		tokens func(simulation.CacheSample) int64
	}{
		{"running", func(c simulation.CacheSample) int64 { return c.Running }},
		{"waiting", func(c simulation.CacheSample) int64 { return c.Waiting }},
		{"paused", func(c simulation.CacheSample) int64 { return c.Paused }},
		{"ended", func(c simulation.CacheSample) int64 { return c.Ended }},
	} {
		points := make(plotter.XYs, len(r.Simulation.CacheSamples))
		for k, c := range r.Simulation.CacheSamples {
			points[k] = plotter.XY{X: float64(c.Second), Y: float64(s.tokens(c)) / 1e6}
		}
		if err := addLine(p, s.name, points, i); err != nil {
			return err
		}
	}
	return save(p, filepath.Join(dir, fmt.Sprintf("%s-cache-%s.png", r.Params.Name, r.Policy)))
}

func save(p *plot.Plot, path string) error {
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "save plot %s", path)
}
