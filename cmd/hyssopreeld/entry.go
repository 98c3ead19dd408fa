package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/service/ingress"
	"github.com/hyssopreel/hyssopreel/service/memlimit"
	"github.com/hyssopreel/hyssopreel/service/turns"
)

// hostCommand runs a host on the platform. It reads the settings file that the platform rendered, unless
// --settings is given.
type hostCommand struct {
	Settings string `long:"settings" description:"settings file of this host in INI format; by default the file that the platform rendered" value-name:"FILE"`
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
	logWriter := logging.NewAsyncWriter(os.Stdout)
	defer func() { _ = logWriter.Close() }() // never fails
	if err := logging.Setup(logging.Options{Level: s.Log.Level, Format: s.Log.Format, Host: s.Host.Name, Output: logWriter}); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes) * memlimit.HeapFraction))
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

// settingsPollInterval is the interval between checks of the modification time of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings after SIGHUP or a change of the file, until ctx ends. It logs invalid
// settings and does not send them to reload.
func watchSettings(ctx context.Context, path string, reload chan<- *settings.EntryHost) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case <-hup:
		case <-ticker.C:
			if modTime(path).Equal(lastModTime) {
				continue
			}
		case <-ctx.Done():
			return
		}
		lastModTime = modTime(path)
		s, problems := settings.LoadEntryHost(path)
		for _, p := range problems {
			logging.Emit(logging.SettingsRejected, logging.Fields{"problem": p.String()})
		}
		if len(problems) > 0 {
			continue
		}
		debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes) * memlimit.HeapFraction))
		select {
		case reload <- s:
		case <-ctx.Done():
			return
		default: // the host has not received the previous change yet: the next poll reads the file again
			lastModTime = time.Time{}
		}
	}
}

// modTime returns the modification time of the file; zero, which counts as a change, if it cannot be read.
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

// runDiskHost runs a host with a disk until ctx ends. It retains turns, and confirms its retirements.
func runDiskHost(ctx context.Context, s *settings.EntryHost, _ <-chan *settings.EntryHost) error {
	store := platform.NewStore(s.Platform.Address, s.Platform.Timeout, s.Platform.MaxWatchWait)
	host := turns.NewHost(s, store)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return host.Run(ctx) })
	group.Go(func() error {
		platform.ConfirmRetirements(ctx, store, s.Host.Name, host.Retire)
		return nil
	})
	return group.Wait()
}
