package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/service/ingress"
)

// heapLimitFraction is the part of a host's memory that the Go runtime may use; the rest holds stacks, the kernel's buffers
// and the C library.
const heapLimitFraction = 0.6

// hostCommand runs a host on the platform. Its settings file is the one that the platform names, unless --settings
// is given.
type hostCommand struct {
	Settings string `long:"settings" description:"INI file of this host" value-name:"FILE"`
	run      func(ctx context.Context, s *settings.EntryHost, reload <-chan *settings.EntryHost) error
	exitCode int
}

// Execute implements flags.Commander.
func (c *hostCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, problems := settings.LoadEntryHost(path)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		c.exitCode = exitUsage
		return nil
	}
	queue := logging.NewAsyncWriter(os.Stdout)
	defer func() { _ = queue.Close() }() // never fails
	if err := logging.Setup(logging.Options{Level: s.Log.Level, Format: s.Log.Format, Host: s.Host.Name, Output: queue}); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes) * heapLimitFraction))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan *settings.EntryHost, 1)
	go watchSettings(ctx, path, reload)
	if err := c.run(ctx, s, reload); err != nil {
		logging.Emit(logging.DaemonFailed, logging.Fields{"error": err})
		c.exitCode = exitFailed
	}
	return nil
}

// settingsPollInterval is how often the settings file is looked at: it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reads the settings again after SIGHUP, or when the file has changed, until ctx ends.
func watchSettings(ctx context.Context, path string, reload chan<- *settings.EntryHost) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		select {
		case <-hup:
		case <-ticker.C:
			if modTime(path).Equal(last) {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = modTime(path)
		s, problems := settings.LoadEntryHost(path)
		for _, p := range problems {
			logging.Emit(logging.SettingsRejected, logging.Fields{"problem": p.String()})
		}
		if len(problems) > 0 {
			continue
		}
		debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes) * heapLimitFraction))
		select {
		case reload <- s:
		case <-ctx.Done():
			return
		default: // the host has not taken the last change yet; the next look at the file repeats this one
			last = time.Time{}
		}
	}
}

// modTime returns the time of the file's last change; zero if it cannot be told, which counts as a change.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func runIngress(ctx context.Context, s *settings.EntryHost, reload <-chan *settings.EntryHost) error {
	return ingress.NewHost(s, platform.NewAdapter(s), reload).Run(ctx)
}

// runDiskHost runs a host with a disk. The platform keeps all state, so the host holds nothing and can be taken away at
// any time.
func runDiskHost(ctx context.Context, s *settings.EntryHost, _ <-chan *settings.EntryHost) error {
	store := platform.NewStore(s.Platform.Address, s.Platform.Timeout, s.Platform.MaxWatchWait)
	platform.ConfirmRetirements(ctx, store, s.Host.Name)
	return nil
}
