// Command hyssopreel-load runs a workload of the bench, scaled down in time, against real processes and reports the
// latencies and outcomes that callers observe. It uses a running deployment (--host, --engine) or starts one on loopback
// with the stand-ins. One run of a workload is called an event.
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
	// ticketTimeout bounds the time until the ticket is in force at every host.
	ticketTimeout = 15 * time.Second
	// cacheReleaseTimeout bounds the wait after the last program until the engines have no cache of ended programs.
	cacheReleaseTimeout = 10 * time.Second
	// maxIdleConns exceeds the number of programs of an event, so that callers reuse their connections.
	maxIdleConns = 4096
)

type options struct {
	Workload        string   `long:"workload" default:"bench/workloads/tobyl.ini" description:"workload file of the bench"`
	Load            float64  `long:"load" default:"1.0" description:"offered load, as a multiple of the capacity"`
	TimeScale       float64  `long:"time-scale" default:"20" description:"factor, at least 1, that divides times and token counts; the time per token is not scaled"`
	EventFraction   float64  `long:"event-part" default:"0.3" description:"fraction of the event to run, above 0 and at most 1"`
	Policy          string   `long:"policy" description:"policy of the pool; empty is the default policy"`
	Seed            uint64   `long:"seed" description:"seed that replaces the one of the workload file; 0 keeps it"`
	HostCount       int      `long:"hosts" default:"7" description:"number of hosts to start if no --host is given"`
	HostAddresses   []string `long:"host" description:"HTTP address of a running host; its configuration needs the agents and tools of the workload"`
	EngineAddresses []string `long:"engine" description:"address of an engine of the running deployment, to read its counters and cache"`
	Keep            bool     `long:"keep" description:"keep the directory with the output of all processes and print its path"`
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
	if _, err := runWorkload(ctx, o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hyssopreel-load:", err)
		os.Exit(1)
	}
}

// runWorkload runs one event and prints its report.
func runWorkload(ctx context.Context, o options, out io.Writer) (rep *report, err error) {
	params, err := workload.ReadFile(o.Workload)
	if err != nil {
		return nil, err
	}
	if o.Seed != 0 {
		params.Seed = o.Seed
	}
	if o.TimeScale < 1 || o.EventFraction <= 0 || o.EventFraction > 1 {
		return nil, errors.Newf("--time-scale %v must be at least 1, and --event-part %v above 0 and at most 1", o.TimeScale, o.EventFraction)
	}
	e := newScaledWorkload(params, o.TimeScale, o.EventFraction)
	hosts, engines := o.HostAddresses, o.EngineAddresses
	if len(hosts) == 0 {
		bed, dir, err := startDeployment(ctx, e, o)
		defer func() {
			if bed != nil {
				_ = bed.Close() // stops all processes
			}
			if !o.Keep {
				_ = os.RemoveAll(dir)
			}
		}()
		if err != nil {
			return nil, err
		}
		for _, h := range bed.Hosts {
			hosts = append(hosts, h.HTTPAddress)
		}
		for _, s := range bed.Engines {
			engines = append(engines, s.Address)
		}
		if o.Keep {
			_, _ = fmt.Fprintln(out, "output of all processes:", dir)
		}
	}
	return runAgainst(ctx, e, o, hosts, engines, out)
}

func runAgainst(ctx context.Context, e *scaledWorkload, o options, hosts, engines []string, out io.Writer) (*report, error) {
	programs := e.generatePrograms(o.Load)
	before, err := computedPromptTokens(ctx, engines)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	defer transport.CloseIdleConnections()
	r := &loadRun{
		workload: e, report: newReport(), endedAt: map[ids.Program]time.Time{},
		client: client.New(hosts, &http.Client{Transport: transport}),
	}
	endedCache := make(chan endedCacheReport, 1)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go func() { endedCache <- r.watchEndedCache(watchCtx, engines) }()
	loadBefore := loadAverage()
	r.runPrograms(ctx, programs)
	makespan := time.Since(r.start)
	loadAfter := loadAverage()
	after, err := computedPromptTokens(ctx, engines)
	if err != nil {
		return nil, err
	}
	releaseCtx, cancel := context.WithTimeout(ctx, cacheReleaseTimeout)
	defer cancel()
	_ = testbed.Await(releaseCtx, func() error { return r.checkEndedCacheReleased(releaseCtx, engines) }) // the report shows remaining cache
	stopWatch()
	_, _ = fmt.Fprintf(out, "workload %s, load %s, policy %s, time scale %s, part %s, seed %d, %d hosts, %d engines\n",
		e.params.Name, formatNumber(o.Load), o.Policy, formatNumber(o.TimeScale), formatNumber(o.EventFraction), e.params.Seed, len(hosts), len(engines))
	_, _ = fmt.Fprintf(out, "makespan %.1f s; load average %s before, %s after\n", makespan.Seconds(), loadBefore, loadAfter)
	return r.report, r.report.write(out, after-before, <-endedCache)
}

// checkEndedCacheReleased returns an error if an engine has cache of an ended program.
func (r *loadRun) checkEndedCacheReleased(ctx context.Context, engines []string) error {
	for _, address := range engines {
		cached, err := cachedPrograms(ctx, address)
		if err != nil {
			return err
		}
		for id := range cached {
			r.mu.Lock()
			_, ended := r.endedAt[id]
			r.mu.Unlock()
			if ended {
				return fmt.Errorf("engine %s has cache of ended program %s", address, id)
			}
		}
	}
	return nil
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// loadAverage returns the three load averages of the machine, or "unknown" without /proc/loadavg.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	f := strings.Fields(string(b))
	return strings.Join(f[:min(3, len(f))], " ")
}

// startDeployment builds and starts the deployment of the workload and applies its ticket.
func startDeployment(ctx context.Context, e *scaledWorkload, o options) (*testbed.Cluster, string, error) {
	root, err := testbed.RepoRoot()
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
		return nil, dir, fmt.Errorf("internal/testbed has no deployment named %q, the name of workload file %s", e.params.Name, o.Workload)
	}
	d.EnginePool.Workers = e.params.Workers
	bed, err := testbed.Start(dir, testbed.Options{
		Deployment: d, Hosts: o.HostCount, BinDir: bin, RepoRoot: root, EngineArgs: e.engineArgs(),
		// Leases and heartbeats have the daemon's defaults, because no takeover is measured. The event log is off, as
		// in a production deployment.
		Settings: map[string]string{
			"lease.duration": "6s", "lease.renew": "2s", "membership.heartbeat": "500ms", "membership.suspect_after": "2s",
			"platform.timeout": "2s", "event_log.path": "",
			"limits.reconcile_every": e.scaleSeconds(float64(e.params.CacheReportIntervalMS) / 1000).String(),
		},
	})
	if err != nil {
		return bed, dir, err
	}
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	t := e.ticket(d.EnginePool.Name, o.Policy, bed.Tools.Address)
	if err := bed.ApplyTicket(ctx, bed.Hosts[0], t); err != nil {
		return bed, dir, err
	}
	for _, h := range bed.Hosts {
		if err := testbed.Await(ctx, func() error { return bed.CheckTicketInForce(ctx, h, t.Number) }); err != nil {
			return bed, dir, err
		}
	}
	return bed, dir, nil
}
