// Package backends polls the platform's list of backend servers, splits pools into worker groups, and publishes the
// workers, load and cache reports of the groups that this host schedules.
package backends

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"sort"
	"sync"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/core/sched"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// maxGroupWorkers bounds the workers of one group.
const maxGroupWorkers = 64

// Kinds of backend servers in the platform's list.
const (
	kindEngine = "engine"
	kindTool   = "tool"
)

// States of a backend server, shown to operators, besides those of the platform's list.
const (
	stateLoading     = "loading"
	stateUnreachable = "unreachable"
)

// runningCallTTL is the time after which a scheduler drops a running call that its home has not reported again. Homes
// report every minute; more than twice that tolerates one lost report.
const runningCallTTL = 150 * time.Second

// MembershipView is the part of the membership's View that this package uses.
type MembershipView interface {
	Self() membership.Member
	HomeOf(j ids.Journal) (membership.Member, bool)
	RendezvousOrder(key string) []membership.Member
}

// Runtime is the part of *runtime.Runtime that this package uses.
type Runtime interface {
	Publish(ev event.Event)
	Handle(k event.Kind, h runtime.Handler)
}

// Peers exchanges leaving notices with another host.
type Peers interface {
	ExchangeNotices(ctx context.Context, to membership.Member, m LeavingMessage) (LeavingMessage, error)
}

// Logger writes log events.
type Logger interface {
	Event(name string, fields map[string]any)
}

// Hooks connect the service to other packages.
type Hooks struct {
	// PoolConfig returns the configuration of a pool; workers of unknown pools get no group.
	PoolConfig func(name string) (config.Pool, bool)
	// WorkerLoading reports whether a worker gets no calls because of an order. It may be nil.
	WorkerLoading func(worker string) bool
	// OpenPrograms requests from a home, which may be this host, whether the programs are open. Programs whose state
	// is unknown, for example because the home was unreachable, are missing from the result.
	OpenPrograms func(ctx context.Context, home membership.Member, programs []ids.Program) map[ids.Program]bool
}

// Settings are the intervals and timeouts of the service. The zero value of a field takes the default beside it.
type Settings struct {
	ListInterval      time.Duration // 2 s, with a jitter of 20%
	TickInterval      time.Duration // 100 ms
	LoadPollInterval  time.Duration // 1 s
	ReconcileInterval time.Duration // 10 s
	// MaxListLag is the longest time for which the platform's list may show a leaving backend server as live; 10 s.
	MaxListLag time.Duration
	// RequestTimeout bounds a request to an engine or to the platform; 2 s.
	RequestTimeout time.Duration
	// MinReleaseBackoff is the first delay between attempts of a release, 500 ms; it doubles up to 20 times its
	// value.
	MinReleaseBackoff time.Duration
}

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.ListInterval, 2 * time.Second},
		{&s.TickInterval, 100 * time.Millisecond},
		{&s.LoadPollInterval, time.Second},
		{&s.ReconcileInterval, 10 * time.Second},
		{&s.MaxListLag, 10 * time.Second},
		{&s.RequestTimeout, 2 * time.Second},
		{&s.MinReleaseBackoff, 500 * time.Millisecond},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return s
}

// Options configure a Service.
type Options struct {
	Settings Settings
	Lister   objectapi.BackendLister
	View     MembershipView
	Runtime  Runtime
	Peers    Peers
	Clock    clock.Clock
	Client   *http.Client
	Hooks    Hooks
	Log      Logger
}

// Service keeps the list of backend servers. Its methods may be called from any goroutine.
type Service struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu              sync.Mutex
	list            map[string]objectapi.Backend
	poolWorkers     map[string][]objectapi.Backend // the workers of list by pool, sorted by name
	revision        uint64
	listedAt        clock.Millis // when the last successful poll was sent; 0 before the first
	notices         map[string]observedNotice
	lastExchange    map[ids.Host]clock.Millis
	polledWorkers   map[string]*polledWorker      // by name
	publishedGroups map[string]sched.GroupChanged // groups that this host schedules, as last published
	pendingReleases map[releaseKey][]func()
	releaseSlots    chan struct{}
}

// polledWorker is the state of an engine that this host polls.
type polledWorker struct {
	group           string
	loadFailures    int // consecutive failed load polls
	runningCalls    int
	cacheTokens     int64
	nextLoadPoll    clock.Millis
	nextCachePoll   clock.Millis
	loadPollActive  bool
	cachePollActive bool
	// reportsWithoutHome counts the consecutive cache reports in which a program had no home.
	reportsWithoutHome map[ids.Program]int
}

// New returns a service and registers its effect handler.
func New(o Options) *Service {
	o.Settings = o.Settings.withDefaults()
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	if o.Client == nil {
		o.Client = &http.Client{}
	}
	s := &Service{
		opts: o, list: map[string]objectapi.Backend{}, notices: map[string]observedNotice{}, lastExchange: map[ids.Host]clock.Millis{},
		polledWorkers: map[string]*polledWorker{}, publishedGroups: map[string]sched.GroupChanged{}, pendingReleases: map[releaseKey][]func(){},
		releaseSlots: make(chan struct{}, maxConcurrentReleases),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	o.Runtime.Handle(sched.KindReleaseCache, func(_ clock.Millis, e event.Effect) {
		r := e.(sched.ReleaseCache)
		s.ReleaseCache(r.Worker, r.Program, nil)
	})
	return s
}

// Start starts the polling.
func (s *Service) Start() {
	s.spawn(s.pollList)
	s.spawn(s.tickLoop)
}

// Stop ends the polls and releases and waits for them.
func (s *Service) Stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Service) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spawnLocked(f)
}

// spawnLocked is called with s.mu held. Stop cancels the context under the same lock, so that no goroutine starts
// once Stop waits.
func (s *Service) spawnLocked(f func()) {
	if s.ctx.Err() != nil {
		return
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// sleep waits for d; it returns false if the service is stopped before.
func (s *Service) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *Service) log(name string, fields map[string]any) {
	if s.opts.Log != nil {
		s.opts.Log.Event(name, fields)
	}
}

// jitter returns a random duration between 0.8*d and 1.2*d.
func jitter(d time.Duration) time.Duration { return d*4/5 + rand.N(d*2/5+1) }

func (s *Service) pollList() {
	reachable := true
	for {
		err := s.refreshList()
		if ok := err == nil; ok != reachable {
			reachable = ok
			s.log("backend_list_reachable", map[string]any{"reachable": ok})
		}
		if !s.sleep(jitter(s.opts.Settings.ListInterval)) {
			return
		}
	}
}

// refreshList requests the platform's list once.
func (s *Service) refreshList() error {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.RequestTimeout)
	defer cancel()
	sentAt := s.opts.Clock.Now()
	backends, err := s.opts.Lister.Backends(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]objectapi.Backend, len(backends))
	for _, b := range backends {
		list[b.Name] = b
	}
	s.updateNotices(list, sentAt)
	if !reflect.DeepEqual(list, s.list) {
		s.list, s.poolWorkers = list, workersByPool(list)
		s.revision++
	}
	s.listedAt = sentAt
	return nil
}

// Revision returns the number of changes of the list and of the leaving notices at this host.
func (s *Service) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Backend returns a backend server of the list with its state corrected by leaving notices.
func (s *Service) Backend(name string) (objectapi.Backend, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.list[name]
	if ok && s.isLeaving(b) {
		b.State = objectapi.BackendLeaving
	}
	return b, ok
}

// GroupNames returns the names of a pool's groups, in the order of their numbers.
func (s *Service) GroupNames(pool string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for i := range (len(s.poolWorkers[pool]) + maxGroupWorkers - 1) / maxGroupWorkers {
		out = append(out, groupName(pool, i))
	}
	return out
}

// Backends returns the listed backend servers for operators, sorted by name. Running calls and cache are set only
// for engines that this host polls.
func (s *Service) Backends() []api.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]api.Backend, 0, len(s.list))
	for _, b := range s.list {
		backend := api.Backend{
			Name: b.Name, Pool: b.Pool, Kind: b.Kind, Address: b.Address, FailureDomain: b.FailureDomain,
			State: s.operatorState(b),
		}
		if w := s.polledWorkers[b.Name]; w != nil {
			backend.Running, backend.CacheTokens = w.runningCalls, w.cacheTokens
		}
		out = append(out, backend)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// operatorState returns the state of a backend server for operators; only "live" ones are usable.
func (s *Service) operatorState(b objectapi.Backend) string {
	w := s.polledWorkers[b.Name]
	switch {
	case s.isLeaving(b):
		return string(objectapi.BackendLeaving)
	case s.opts.Hooks.WorkerLoading != nil && s.opts.Hooks.WorkerLoading(b.Name):
		return stateLoading
	case w != nil && w.loadFailures >= maxLoadFailures:
		return stateUnreachable
	}
	return string(objectapi.BackendLive)
}

func groupName(pool string, index int) string { return fmt.Sprintf("%s/%d", pool, index) }

// workersByPool returns the workers of each pool, sorted by name.
func workersByPool(list map[string]objectapi.Backend) map[string][]objectapi.Backend {
	out := map[string][]objectapi.Backend{}
	for _, b := range list {
		if b.Kind != kindTool {
			out[b.Pool] = append(out[b.Pool], b)
		}
	}
	for _, w := range out {
		sort.Slice(w, func(i, j int) bool { return w[i].Name < w[j].Name })
	}
	return out
}

// scheduledGroups returns the groups that this host schedules, and the group of each of their engines by engine name.
func (s *Service) scheduledGroups() (map[string]sched.GroupChanged, map[string]string) {
	groups := map[string]sched.GroupChanged{}
	engines := map[string]string{}
	self := s.opts.View.Self().Name
	for pool, workers := range s.poolWorkers {
		cfg, ok := s.opts.Hooks.PoolConfig(pool)
		if !ok {
			continue
		}
		for i := 0; i*maxGroupWorkers < len(workers); i++ {
			name := groupName(pool, i)
			if hosts := s.opts.View.RendezvousOrder("group:" + name); len(hosts) == 0 || hosts[0].Name != self {
				continue
			}
			group := sched.GroupChanged{Group: name, Policy: cfg.Policy, CallTTLMS: runningCallTTL.Milliseconds()}
			for _, b := range workers[i*maxGroupWorkers : min(len(workers), (i+1)*maxGroupWorkers)] {
				group.Workers = append(group.Workers, sched.Worker{
					Name:                b.Name,
					Usable:              s.operatorState(b) == string(objectapi.BackendLive),
					MaxRunning:          cfg.MaxRunning,
					CacheCapacityTokens: cfg.CacheTokens,
				})
				if b.Kind == kindEngine {
					engines[b.Name] = name
				}
			}
			groups[name] = group
		}
	}
	return groups, engines
}

func (s *Service) tickLoop() {
	t := time.NewTicker(s.opts.Settings.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			s.updateGroups()
		}
	}
}

// updateGroups publishes the changes and a tick of the groups that this host schedules, and starts due polls.
func (s *Service) updateGroups() {
	s.mu.Lock()
	defer s.mu.Unlock()
	groups, engines := s.scheduledGroups()
	for _, name := range sortedKeys(s.publishedGroups) {
		if _, ok := groups[name]; !ok {
			s.opts.Runtime.Publish(sched.GroupReset{Group: name})
			s.log("group_released", map[string]any{"group": name})
		}
	}
	for _, name := range sortedKeys(groups) {
		old, ok := s.publishedGroups[name]
		if !ok {
			s.log("group_taken", map[string]any{"group": name})
		}
		if !ok || !reflect.DeepEqual(old, groups[name]) {
			s.opts.Runtime.Publish(groups[name])
		}
		s.opts.Runtime.Publish(sched.Ticked{Group: name})
	}
	s.publishedGroups = groups
	for name := range s.polledWorkers {
		if _, ok := engines[name]; !ok {
			delete(s.polledWorkers, name)
		}
	}
	for name, group := range engines {
		s.startDuePolls(s.list[name], group)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
