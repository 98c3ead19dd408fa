package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

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
	run      func(ctx context.Context, s *settings.Entry) error
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
	if err := logging.Setup(logging.Options{Level: s.Log.Level, Format: s.Log.Format, Host: s.Host.Name, Output: os.Stdout}); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.Limits.Memory) * heapShare))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := c.run(ctx, s); err != nil {
		logging.Emit(logging.DaemonFailed, logging.Fields{"error": err})
		c.code = exitFailed
	}
	return nil
}

func runEntry(ctx context.Context, s *settings.Entry) error {
	store := platform.NewStore(s.Platform.Address, s.Platform.Timeout, s.Platform.Watch)
	return ingress.NewHost(s, ingress.Adapter{
		Headers:        platform.Headers{},
		Store:          store,
		Prompt:         store.WithWait(s.Platform.PromptWatch),
		StoreAvailable: store.Available,
		Server:         platform.DecodeServer,
		Table:          platform.DecodeConfig,
		Directory:      platform.Directory,
		Ready:          platform.Ready,
		KindServers:    platform.KindServers,
		KindConfig:     platform.KindConfig,
		NameConfig:     platform.NameConfig,
	}).Run(ctx)
}

// runDisk runs a host with a disk. The platform keeps all state, so the host holds nothing and can be taken away at
// any time.
func runDisk(ctx context.Context, s *settings.Entry) error {
	store := platform.NewStore(s.Platform.Address, s.Platform.Timeout, s.Platform.Watch)
	platform.Retire(ctx, store, s.Host.Name)
	return nil
}
