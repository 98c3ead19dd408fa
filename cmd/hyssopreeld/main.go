// Command hyssopreeld is the daemon that runs on every host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
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
	Settings      string `long:"settings" description:"INI file of this host" value-name:"FILE"`
	CheckSettings string `long:"check-settings" description:"report every fault of a settings file and exit" value-name:"FILE"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.LongDescription = "Example: hyssopreeld --settings /etc/hyssopreel/almaty-a-1.ini"
	parser.SubcommandsOptional = true
	entry := &hostCommand{run: runIngress}
	disk := &hostCommand{run: runDiskHost}
	mustAddCommand(parser, "entry", "Serve callers on the platform", entry)
	mustAddCommand(parser, "disk", "Hold a host with a disk on the platform", disk)
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
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
		fmt.Fprintln(os.Stderr, "one of --settings and --check-settings is required")
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
		panic(err) // only a faulty struct tag can cause it
	}
}

// serve runs the host until a signal ends it.
func serve(s *settings.Settings) int {
	queue := logging.NewAsyncWriter(os.Stdout)
	defer func() { _ = queue.Close() }() // never fails
	if err := logging.Setup(logging.Options{Level: s.Log.Level, Format: s.Log.Format, Host: s.Host.Name, Output: queue}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
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
