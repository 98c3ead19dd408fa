// Command hyssopreel-demo builds the daemon and the stand-ins, starts a deployment with three daemons on
// loopback, runs programs to their end, compares every outcome with the counters of the stand-ins, and
// stops what it started. It exits with 0 only if each outcome is correct.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

const (
	// runTimeout bounds the demo after the build.
	runTimeout = 55 * time.Second
	// stopTimeout bounds the shutdown of the daemons, which keep serving while callers may have their address cached.
	stopTimeout = 25 * time.Second
	hostCount   = 3
)

type options struct {
	Deployment string `long:"deployment" choice:"tobyl" choice:"tallowcreek" default:"tobyl" description:"deployment to run"`
	Keep       bool   `long:"keep" description:"keep the folder with the output of all processes, also after a success"`
}

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.Default).Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2) // the parser has printed the error
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintf(os.Stderr, "demo failed: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) (err error) {
	root, err := testbed.RepoRoot()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "hyssopreel-demo-")
	if err != nil {
		return err
	}
	defer func() {
		if o.Keep || err != nil {
			fmt.Println("output of all processes:", dir)
			return
		}
		err = os.RemoveAll(dir)
	}()
	bin := filepath.Join(dir, "bin")
	fmt.Println("building")
	if err := testbed.Build(root, bin); err != nil {
		return err
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	cluster, err := testbed.Start(dir, testbed.Options{
		Deployment: testbed.Deployments[o.Deployment], Hosts: hostCount, BinDir: bin, RepoRoot: root, EngineStepMS: 5,
	})
	defer func() { err = errors.Join(err, cluster.Close()) }()
	if err != nil {
		return err
	}
	d := &demo{cluster: cluster}
	if err := d.run(ctx); err != nil {
		return err
	}
	if err := cluster.StopHosts(stopTimeout); err != nil {
		return errors.Wrap(err, "stop the daemons")
	}
	if err := cluster.Close(); err != nil {
		return err
	}
	if running := cluster.RunningProcesses(); len(running) > 0 {
		return fmt.Errorf("processes still run after the shutdown: %q", running)
	}
	fmt.Printf("all outcomes are correct; all processes stopped after %.1f s\n", time.Since(start).Seconds())
	return nil
}
