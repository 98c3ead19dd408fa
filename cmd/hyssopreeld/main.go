// Command hyssopreeld is the daemon that runs on every host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/common/tracing"
	"github.com/hyssopreel/hyssopreel/service/daemon"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings      string `long:"settings" description:"settings file of this host in INI format" value-name:"FILE"`
	CheckSettings string `long:"check-settings" description:"print every problem in a settings file and exit" value-name:"FILE"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "Example: hyssopreeld --settings /etc/hyssopreel/almaty-a-1.ini"
	parser.SubcommandsOptional = true
	entry := &hostCommand{run: runIngress}
	disk := &hostCommand{run: runDiskHost}
	mustAddCommand(parser, "entry", "Run an entry host on the platform, which serves callers", entry)
	mustAddCommand(parser, "disk", "Run a host with a disk on the platform, which retains turns of programs", disk)
	rest, err := parser.Parse()
	if err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	if len(rest) > 0 {
		fmt.Fprintf(os.Stderr, "unexpected argument %q; see hyssopreeld --help\n", rest[0])
		return exitUsage
	}
	if parser.Active != nil {
		return max(entry.exitCode, disk.exitCode)
	}
	path := o.Settings
	if o.CheckSettings != "" {
		path = o.CheckSettings
	}
	if path == "" {
		fmt.Fprintln(os.Stderr, "no settings file is given: use --settings FILE or --check-settings FILE; see hyssopreeld --help")
		return exitUsage
	}
	s, problems := settings.Load(path)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	switch {
	case len(problems) > 0:
		return exitUsage
	case o.CheckSettings != "":
		fmt.Println("no problems")
		return 0
	}
	return serve(s)
}

func mustAddCommand(p *flags.Parser, name, help string, c flags.Commander) {
	if _, err := p.AddCommand(name, help, "", c); err != nil {
		panic(err) // only an invalid struct tag causes an error
	}
}

// serve runs the host until SIGTERM or SIGINT and returns the exit code.
// daemonHeapFraction is the fraction of the memory setting that the Go runtime may use. It is larger than an entry host's,
// because the programs in progress are in the heap.
const daemonHeapFraction = 0.8

func serve(s *settings.Settings) int {
	logWriter := logging.NewAsyncWriter(os.Stdout)
	defer func() { _ = logWriter.Close() }() // never fails
	if err := logging.Setup(logging.Options{Level: s.Log.Level, Format: s.Log.Format, Host: s.Host.Name, Output: logWriter}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes) * daemonHeapFraction))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	tracer, err := tracing.New(ctx, tracing.Options{
		Host: s.Host.Name, FailureDomain: s.Host.FailureDomain, File: s.Tracing.File, OTLPEndpoint: s.Tracing.OTLPEndpoint,
	})
	if err != nil {
		logging.Emit(logging.DaemonFailed, logging.Fields{"error": err.Error()})
		return exitFailed
	}
	tracer.SetGlobal()
	defer func() {
		const flushTimeout = 5 * time.Second
		flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = tracer.Shutdown(flushCtx)
	}()
	if err := daemon.Run(ctx, s); err != nil {
		logging.Emit(logging.DaemonFailed, logging.Fields{"error": err.Error()})
		return exitFailed
	}
	return 0
}
