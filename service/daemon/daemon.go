// Package daemon builds the services of a host and runs them from start to shutdown.
package daemon

import (
	"context"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/metrics"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/hoststate"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/service/backends"
	"github.com/hyssopreel/hyssopreel/service/configuration"
	"github.com/hyssopreel/hyssopreel/service/entry"
	"github.com/hyssopreel/hyssopreel/service/home"
	"github.com/hyssopreel/hyssopreel/service/membership"
	"github.com/hyssopreel/hyssopreel/service/orders"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// errFenced ends an incarnation whose programs were taken over.
var errFenced = errors.New("this incarnation is fenced: its programs were taken over")

const (
	// handoverTimeout bounds the wait for a successor at shutdown; after it the lease expires and the programs are
	// taken over like those of a failed host.
	handoverTimeout = 30 * time.Second
	// shutdownPollInterval is the interval at which a shutdown checks whether requests are still active.
	shutdownPollInterval = 20 * time.Millisecond
	// programRetention is how long ended programs can be read.
	programRetention = time.Hour
)

// Daemon is one incarnation of a host.
type Daemon struct {
	settings *settings.Settings
	eventLog io.WriteCloser

	clock          clock.Clock
	metrics        *metrics.Metrics
	localStore     *objectapi.HTTPStore // accesses the platform directly
	store          objectapi.Store      // localStore, or a peer's if only this host lost access to the platform
	node           *wire.Node
	rt             *runtime.Runtime
	members        *membership.Service
	configuration  *configuration.Service
	backends       *backends.Service
	orders         *orders.Service
	workerStates   *workerStates
	home           *home.Home
	entry          *entry.Server
	frontend       *frontend
	fenced         chan string
	drainRequested chan struct{}
}

// Run runs a host until ctx is done or an operator drains it, and then shuts it down without cutting off requests.
// After another host has taken over the programs of an incarnation, Run starts the next incarnation.
func Run(ctx context.Context, s *settings.Settings) error {
	f, err := newFrontend(s)
	if err != nil {
		return err
	}
	defer f.close()
	for {
		err := runIncarnation(ctx, s, f)
		switch {
		case !errors.Is(err, errFenced):
			return err
		case ctx.Err() != nil:
			return nil
		}
	}
}

// runIncarnation runs one incarnation. It returns errFenced if another host took over its programs.
func runIncarnation(ctx context.Context, s *settings.Settings, f *frontend) error {
	d, err := build(s)
	if err != nil {
		return err
	}
	d.frontend = f
	defer d.close()
	// The services outlive ctx, because the shutdown needs them.
	work, stop := context.WithCancel(context.Background())
	defer stop()
	g, work := errgroup.WithContext(work)
	if err := d.start(ctx, work, g); err != nil {
		stop()
		_ = g.Wait()
		if ctx.Err() != nil {
			return nil // stopped while it waited for the store
		}
		return err
	}
	logging.Emit(logging.DaemonStarted, logging.Fields{"host": string(s.Host.Name), "journal": string(d.members.Self().Journal)})
	err = d.waitForEnd(ctx, work)
	if err == nil {
		err = d.shutdown(work)
	}
	f.setHandler(nil)
	stop()
	if waitErr := g.Wait(); err == nil && waitErr != nil && !errors.Is(waitErr, context.Canceled) {
		err = waitErr
	}
	return err
}

func build(s *settings.Settings) (*Daemon, error) {
	d := &Daemon{settings: s, clock: clock.System(), fenced: make(chan string, 1), drainRequested: make(chan struct{}, 1)}
	d.metrics = metrics.New(s.Host.Name, s.Host.FailureDomain)
	if s.EventLog.Path != "" {
		f, err := createEventLog(s.EventLog.Path)
		if err != nil {
			return nil, err
		}
		d.eventLog = f
	}
	d.store = d.newStore()
	d.node = wire.NewNode(wire.Options{
		ProcessName: newProcessName(ids.Host(s.Host.Name)), HeartbeatInterval: s.Membership.HeartbeatInterval, KeepAliveTimeout: s.Membership.SuspicionTimeout,
		OnPeerDisconnected: func(addr string) {
			if d.members != nil {
				d.members.PeerDisconnected(addr)
			}
		},
	})
	var log io.Writer
	if d.eventLog != nil {
		log = d.eventLog
	}
	d.rt = runtime.New(d.clock, hoststate.NewState(), log)
	d.buildMembership()
	d.buildConfiguration()
	d.buildBackends()
	d.buildOrders()
	d.buildHome()
	d.buildEntry()
	return d, nil
}

// createEventLog creates the log of a new incarnation. An existing log is renamed with the next free number as
// suffix: a replay starts from the state of a host that has just started, so a log must not contain two
// incarnations.
func createEventLog(path string) (*os.File, error) {
	if _, err := os.Stat(path); err == nil {
		for n := 1; ; n++ {
			renamed := path + "." + strconv.Itoa(n)
			if _, err := os.Stat(renamed); err == nil {
				continue
			}
			if err := os.Rename(path, renamed); err != nil {
				return nil, errors.Wrap(err, "rename event log")
			}
			break
		}
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	return f, errors.Wrap(err, "create event log")
}

func (d *Daemon) buildHome() {
	s := d.settings
	d.home = home.New(home.Options{
		Store: d.store, View: d.members, Node: d.node, Runtime: d.rt, Backends: d.backends,
		BatchInterval: s.Journal.BatchInterval,
		Limits: program.Limits{
			MaxQueuedCalls: s.Limits.MaxQueuedCalls, OrderTimeout: s.Limits.OrderTimeout, IdleTimeout: s.Limits.IdleTimeout,
			Retention: programRetention, MaxUncommittedBytes: int(s.Journal.MaxUncommittedBytes),
		},
		OnFenced: func(reason string) {
			select {
			case d.fenced <- reason:
			default:
			}
		},
	})
	d.members.SetAdopter(d.home)
}

func (d *Daemon) buildEntry() {
	s := d.settings
	d.entry = entry.New(entry.Options{
		View: d.members, Node: d.node, Home: d.home, MaxBodyBytes: s.Limits.MaxBodyBytes, MaxHeaderBytes: s.Limits.MaxHeaderBytes, RequestTimeout: s.Limits.RequestTimeout,
		MountOperatorRoutes: d.mountOperatorRoutes, Ready: d.ready, Metrics: d.metrics.Handler(), ObserveRequest: d.observeRequest,
	})
}

func (d *Daemon) ready() error {
	switch {
	case !d.members.Ready():
		return errors.New("the host has no lease yet")
	case !d.configuration.Ready():
		return errors.New("the configuration has not been read")
	}
	return nil
}

// start starts the services in the order of their dependencies. Requests of callers are served last.
func (d *Daemon) start(ctx, work context.Context, g *errgroup.Group) error {
	s := d.settings
	g.Go(func() error { return d.rt.Run(work) })
	// The peer port opens before the lease is written, so that a peer that reads the new record can connect.
	if _, err := d.node.Listen(s.Listen.Peer); err != nil {
		return err
	}
	if err := d.members.Start(ctx); err != nil {
		return err
	}
	if err := d.home.Start(d.members.Self().Journal); err != nil {
		return err
	}
	d.configuration.Subscribe(func(c *config.Config) { d.rt.Publish(program.ConfigChanged{Config: *c}) })
	g.Go(func() error { d.home.Run(work); return nil })
	g.Go(func() error { return d.configuration.Run(work) })
	d.backends.Start()
	g.Go(func() error { d.groupCountLoop(work); return nil })
	g.Go(func() error { return d.orders.Run(work) })
	g.Go(func() error { d.syncOrdersLoop(work); return nil })
	d.frontend.setHandler(d.entry.Handler())
	return nil
}

// waitForEnd returns nil when the host has to shut down, and an error when the incarnation cannot continue.
func (d *Daemon) waitForEnd(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.drainRequested:
		return nil
	case reason := <-d.fenced:
		logging.Emit(logging.DaemonFenced, logging.Fields{"host": string(d.settings.Host.Name), "reason": reason})
		d.drainFenced(work)
		return errFenced
	case err := <-d.frontend.serveErrors:
		return err
	case <-work.Done():
		return errors.New("a background task of the daemon failed")
	}
}

func (d *Daemon) close() {
	d.backends.Stop()
	d.members.Stop()
	_ = d.node.Close()
	_ = d.metrics.Close()
	if d.eventLog != nil {
		_ = d.eventLog.Close()
	}
}

func (d *Daemon) selfMember() membership.Member {
	s := d.settings
	return membership.Member{
		Name: ids.Host(s.Host.Name), FailureDomain: s.Host.FailureDomain, Region: s.Host.Region,
		HTTPAddress: s.Listen.AdvertiseHTTP, PeerAddress: s.Listen.AdvertisePeer,
	}
}

func (d *Daemon) observeRequest(route string, status int, duration time.Duration) {
	scope := d.metrics.Scope().Tagged(map[string]string{"route": route, "status": strconv.Itoa(status)})
	scope.Counter("requests").Inc(1)
	scope.Timer("request_duration").Record(duration)
}
