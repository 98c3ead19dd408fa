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

// heapShare is the part of a host's memory that the Go runtime may use; the rest holds stacks, the kernel's buffers
// and the C library.
const heapShare = 0.6

// entryCommand runs a host on the platform. Its settings file is the one that the platform names, unless --settings
// is given.
type entryCommand struct {
	Settings string `long:"settings" description:"INI file of this host" value-name:"FILE"`
	run      func(ctx context.Context, s *settings.Entry, reload <-chan *settings.Entry) error
	code     int
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, problems := settings.LoadEntry(path)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		c.code = exitUsage
		return nil
	}
	queue := logging.NewQueue(os.Stdout)
	defer func() { _ = queue.Close() }() // never fails
	if err := logging.Setup(logging.Options{Level: s.Log.Level, Format: s.Log.Format, Host: s.Host.Name, Output: queue}); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.Limits.Memory) * heapShare))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan *settings.Entry, 1)
	go watchSettings(ctx, path, reload)
	if err := c.run(ctx, s, reload); err != nil {
		logging.Emit(logging.DaemonFailed, logging.Fields{"error": err})
		c.code = exitFailed
	}
	return nil
}

// settingsPoll is how often the settings file is looked at: it may change without a signal.
const settingsPoll = 2 * time.Second

// watchSettings reads the settings again after SIGHUP, or when the file has changed, until ctx ends.
func watchSettings(ctx context.Context, path string, reload chan<- *settings.Entry) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-hup:
		case <-ticker.C:
			if modified(path).Equal(last) {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = modified(path)
		s, problems := settings.LoadEntry(path)
		for _, p := range problems {
			logging.Emit(logging.SettingsRejected, logging.Fields{"problem": p.String()})
		}
		if len(problems) > 0 {
			continue
		}
		debug.SetMemoryLimit(int64(float64(s.Limits.Memory) * heapShare))
		select {
		case reload <- s:
		case <-ctx.Done():
			return
		default: // the host has not taken the last change yet; the next look at the file repeats this one
			last = time.Time{}
		}
	}
}

// modified returns the time of the file's last change; zero if it cannot be told, which counts as a change.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func runEntry(ctx context.Context, s *settings.Entry, reload <-chan *settings.Entry) error {
	return ingress.NewHost(s, platform.NewAdapter(s), reload).Run(ctx)
}

// runDisk runs a host with a disk. The platform keeps all state, so the host holds nothing and can be taken away at
// any time.
func runDisk(ctx context.Context, s *settings.Entry, _ <-chan *settings.Entry) error {
	store := platform.NewStore(s.Platform.Address, s.Platform.Timeout, s.Platform.Watch)
	platform.ConfirmRetirements(ctx, store, s.Host.Name)
	return nil
}
