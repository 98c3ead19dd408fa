// Command hyssopreel-load runs a workload of the bench, shrunk in time, against real processes and reports what the
// callers see. It drives a running deployment (--host, --engine) or starts one on loopback with the stand-ins.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/client"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

const (
	// configureLimit bounds the time until the ticket is in force at every host.
	configureLimit = 15 * time.Second
	// settle bounds the wait after the last program until the engines hold no cache of ended programs.
	settle = 10 * time.Second
	// maxIdleConns is above the number of programs of an event, so that callers keep their connections.
	maxIdleConns = 4096
)

type options struct {
	Workload string   `long:"workload" default:"bench/workloads/tobyl.ini" description:"parameter file of the bench"`
	Load     float64  `long:"load" default:"1.0" description:"offered load, in parts of the capacity"`
	Scale    float64  `long:"time-scale" default:"20" description:"divides times and token counts; the time per token stays"`
	Part     float64  `long:"event-part" default:"0.3" description:"part of the event that is run"`
	Policy   string   `long:"policy" description:"policy of the pool; empty is the default policy"`
	Seed     uint64   `long:"seed" description:"seed of the programs instead of the file's"`
	Hosts    int      `long:"hosts" default:"7" description:"hosts of the deployment that is started"`
	Host     []string `long:"host" description:"address of a running host; its configuration has to have the agents and tools of the workload"`
	Engine   []string `long:"engine" description:"address of an engine of the running deployment, for its counters"`
	Keep     bool     `long:"keep" description:"keep the folder with the output of all processes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2) // the parser has printed the error
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if _, err := execute(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hyssopreel-load:", err)
		os.Exit(1)
	}
}

// execute runs one event and prints its report.
func execute(ctx context.Context, o options, out io.Writer) (rep *report, err error) {
	params, err := workload.Load(o.Workload)
	if err != nil {
		return nil, err
	}
	if o.Seed != 0 {
		params.Seed = o.Seed
	}
	if o.Scale < 1 || o.Part <= 0 || o.Part > 1 {
		return nil, errors.New("time-scale has to be at least 1, and event-part above 0 and at most 1")
	}
	e := newEvent(params, o.Scale, o.Part)
	hosts, engines := o.Host, o.Engine
	if len(hosts) == 0 {
		bed, dir, err := startBed(ctx, e, o)
		defer func() {
			if bed != nil {
				_ = bed.Close() // ends what still runs
			}
			if !o.Keep {
				_ = os.RemoveAll(dir)
			}
		}()
		if err != nil {
			return nil, err
		}
		for _, h := range bed.Hosts {
			hosts = append(hosts, h.HTTP)
		}
		for _, s := range bed.Engines {
			engines = append(engines, s.Address)
		}
		if o.Keep {
			_, _ = fmt.Fprintln(out, "output of all processes:", dir)
		}
	}
	return drive(ctx, e, o, hosts, engines, out)
}

func drive(ctx context.Context, e *event, o options, hosts, engines []string, out io.Writer) (*report, error) {
	programs := e.programs(o.Load)
	before, err := computedTokens(ctx, engines)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	defer transport.CloseIdleConnections()
	r := &run{
		event: e, report: newReport(), ended: map[ids.Program]time.Time{},
		client: client.New(hosts, &http.Client{Transport: transport}),
	}
	watched := make(chan cacheReport, 1)
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go func() { watched <- r.watchCache(watch, engines) }()
	loadBefore := loadAverage()
	r.all(ctx, programs)
	took := time.Since(r.start)
	loadAfter := loadAverage()
	after, err := computedTokens(ctx, engines)
	if err != nil {
		return nil, err
	}
	settled, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	_ = testbed.Await(settled, func() error { return r.noneHeld(settled, engines) }) // what is left is reported
	stopWatch()
	_, _ = fmt.Fprintf(out, "workload %s, load %s, policy %s, time scale %s, part %s, seed %d, %d hosts, %d engines\n",
		e.params.Name, number(o.Load), o.Policy, number(o.Scale), number(o.Part), e.params.Seed, len(hosts), len(engines))
	_, _ = fmt.Fprintf(out, "makespan %.1f s; load average %s before, %s after\n", took.Seconds(), loadBefore, loadAfter)
	return r.report, r.report.write(out, after-before, <-watched)
}

// noneHeld returns an error while an engine holds cache of a program that has ended.
func (r *run) noneHeld(ctx context.Context, engines []string) error {
	for _, address := range engines {
		held, err := heldBy(ctx, address)
		if err != nil {
			return err
		}
		for id := range held {
			r.mu.Lock()
			_, ended := r.ended[id]
			r.mu.Unlock()
			if ended {
				return fmt.Errorf("engine %s holds cache of program %s", address, id)
			}
		}
	}
	return nil
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// loadAverage returns the load averages of the machine, or nothing where it has none to read.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	f := strings.Fields(string(b))
	return strings.Join(f[:min(3, len(f))], " ")
}

// startBed builds and starts the deployment of the workload and applies its ticket.
func startBed(ctx context.Context, e *event, o options) (*testbed.Bed, string, error) {
	root, err := testbed.Root()
	if err != nil {
		return nil, "", err
	}
	dir, err := os.MkdirTemp("", "hyssopreel-load-")
	if err != nil {
		return nil, dir, err
	}
	bin := filepath.Join(dir, "bin")
	if err := testbed.Build(root, bin); err != nil {
		return nil, dir, err
	}
	d, ok := testbed.Deployments[e.params.Name]
	if !ok {
		return nil, dir, fmt.Errorf("no deployment has the name of workload %s", e.params.Name)
	}
	d.Engines.Workers = e.params.Workers
	bed, err := testbed.Start(dir, testbed.Options{
		Deployment: d, Hosts: o.Hosts, Bin: bin, Root: root, EngineArgs: e.engineArgs(),
		// Leases and heartbeats are the daemon's defaults, because a takeover is not what is measured. The event log
		// is off as in a deployment.
		Settings: map[string]string{
			"lease.duration": "6s", "lease.renew": "2s", "membership.heartbeat": "500ms", "membership.suspect_after": "2s",
			"platform.timeout": "2s", "event_log.path": "",
			"limits.reconcile_every": e.seconds(float64(e.params.CacheReportMS) / 1000).String(),
		},
	})
	if err != nil {
		return bed, dir, err
	}
	ctx, cancel := context.WithTimeout(ctx, configureLimit)
	defer cancel()
	t := e.ticket(d.Engines.Name, o.Policy, bed.Tools.Address)
	if err := bed.ApplyTicket(ctx, bed.Hosts[0], t); err != nil {
		return bed, dir, err
	}
	for _, h := range bed.Hosts {
		if err := testbed.Await(ctx, func() error { return bed.InForce(ctx, h, t.Number) }); err != nil {
			return bed, dir, err
		}
	}
	return bed, dir, nil
}
