// Package backends keeps the list of backend servers, splits pools into worker groups, and feeds the
// scheduler of the groups that this host schedules with workers, load and cache reports.
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

// groupSize is the largest number of workers of one group.
const groupSize = 64

// Kinds of backend servers in the platform's list.
const (
	kindEngine = "engine"
	kindTool   = "tool"
)

// States of a backend server besides those of the platform's list, as operators see them.
const (
	stateLoading     = "loading"
	stateUnreachable = "unreachable"
)

// callExpiry is more than twice the interval at which homes report their calls in flight to the group's scheduler
// (a minute), so that one lost report does no harm.
const callExpiry = 150 * time.Second

// View is the part of the membership that the service uses.
type View interface {
	Self() membership.Member
	HomeOf(j ids.Journal) (membership.Member, bool)
	Rank(key string) []membership.Member
}

// Queue is the part of the runtime that the service uses.
type Queue interface {
	Publish(ev event.Event)
	Handle(k event.Kind, h runtime.Handler)
}

// Peers exchanges leaving notices with another host.
type Peers interface {
	Leaving(ctx context.Context, to membership.Member, m LeavingMessage) (LeavingMessage, error)
}

// Logger takes log events.
type Logger interface {
	Event(name string, fields map[string]any)
}

// Hooks connect the service with other packages.
type Hooks struct {
	// Pool returns the configuration of a pool; workers of unknown pools get no group.
	Pool func(name string) (config.Pool, bool)
	// Loading reports whether a worker is loading on an order. It may be nil.
	Loading func(worker string) bool
	// ProgramStates asks a home, which may be this host, which programs are alive. A program that is
	// missing from the answer is not known to be either, for example because the home was not reached.
	ProgramStates func(ctx context.Context, home membership.Member, programs []ids.Program) map[ids.Program]bool
}

// Settings are the periods of the service. The zero value of a field takes its default.
type Settings struct {
	ListEvery      time.Duration // 2 s, with a jitter of a fifth
	TickEvery      time.Duration // 100 ms
	LoadEvery      time.Duration // 1 s
	ReconcileEvery time.Duration // 10 s
	// ListLag is how long the platform's list may show a leaving backend server as live; 10 s.
	ListLag time.Duration
	// RequestTimeout bounds a request to an engine or to the platform; 2 s.
	RequestTimeout time.Duration
	// ReleaseRetry is the first pause between attempts of a release; it doubles up to 20 times its value;
	// 500 ms.
	ReleaseRetry time.Duration
}

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.ListEvery, 2 * time.Second},
		{&s.TickEvery, 100 * time.Millisecond},
		{&s.LoadEvery, time.Second},
		{&s.ReconcileEvery, 10 * time.Second},
		{&s.ListLag, 10 * time.Second},
		{&s.RequestTimeout, 2 * time.Second},
		{&s.ReleaseRetry, 500 * time.Millisecond},
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
	View     View
	Queue    Queue
	Peers    Peers
	Clock    clock.Clock
	Client   *http.Client
	Hooks    Hooks
	Log      Logger
}

// Service keeps the list of backend servers. Its methods may be called from any goroutine.
type Service struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	list     map[string]objectapi.Backend
	pools    map[string][]objectapi.Backend // the workers of each pool in list, by name
	revision uint64
	listedAt clock.Millis // when the last successful poll was sent; 0 before the first
	notices  map[string]notice
	lastTalk map[ids.Host]clock.Millis
	workers  map[string]*worker            // polled workers, by name
	groups   map[string]sched.GroupChanged // groups that this host schedules, as last published
	releases map[releaseKey][]func()
	slots    chan struct{}
}

// worker is what this host knows of an engine that it polls.
type worker struct {
	group       string
	failures    int // failed load polls in a row
	running     int
	cacheTokens int64
	nextLoad    clock.Millis
	nextCache   clock.Millis
	loading     bool // a load poll is in flight
	reporting   bool // a cache poll is in flight
	// unknown counts the reports in a row in which a program had no home.
	unknown map[ids.Program]int
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
		o: o, list: map[string]objectapi.Backend{}, notices: map[string]notice{}, lastTalk: map[ids.Host]clock.Millis{},
		workers: map[string]*worker{}, groups: map[string]sched.GroupChanged{}, releases: map[releaseKey][]func(){},
		slots: make(chan struct{}, maxReleases),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	o.Queue.Handle(sched.KindReleaseCache, func(_ clock.Millis, e event.Effect) {
		r := e.(sched.ReleaseCache)
		s.Release(r.Worker, r.Program, nil)
	})
	return s
}

// Start begins to poll.
func (s *Service) Start() {
	s.spawn(s.pollList)
	s.spawn(s.tick)
}

// Stop ends the background work and waits for it.
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

// spawnLocked is called with s.mu held; Stop takes it too, so that nothing starts once Stop waits.
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

// pause waits; false if the service has ended.
func (s *Service) pause(d time.Duration) bool {
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
	if s.o.Log != nil {
		s.o.Log.Event(name, fields)
	}
}

// jitter returns between 0.8 and 1.2 times d.
func jitter(d time.Duration) time.Duration { return d*4/5 + rand.N(d*2/5+1) }

func (s *Service) pollList() {
	reachable := true
	for {
		err := s.refresh()
		if ok := err == nil; ok != reachable {
			reachable = ok
			s.log("backend_list_reachable", map[string]any{"reachable": ok})
		}
		if !s.pause(jitter(s.o.Settings.ListEvery)) {
			return
		}
	}
}

// refresh polls the list once.
func (s *Service) refresh() error {
	ctx, cancel := context.WithTimeout(s.ctx, s.o.Settings.RequestTimeout)
	defer cancel()
	sentAt := s.o.Clock.Now()
	backends, err := s.o.Lister.Backends(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]objectapi.Backend, len(backends))
	for _, b := range backends {
		list[b.Name] = b
	}
	s.observe(list, sentAt)
	if !reflect.DeepEqual(list, s.list) {
		s.list, s.pools = list, pools(list)
		s.revision++
	}
	s.listedAt = sentAt
	return nil
}

// Revision counts the changes of the list and of the leaving notices at this host.
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
	if ok && s.leaving(b) {
		b.State = objectapi.BackendLeaving
	}
	return b, ok
}

// Groups returns the groups of a pool, in order.
func (s *Service) Groups(pool string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for i := range (len(s.pools[pool]) + groupSize - 1) / groupSize {
		out = append(out, groupName(pool, i))
	}
	return out
}

// Backends lists the backend servers for operators, by name. Running calls and cache are known only for
// engines that this host polls.
func (s *Service) Backends() []api.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]api.Backend, 0, len(s.list))
	for _, b := range s.list {
		a := api.Backend{
			Name: b.Name, Pool: b.Pool, Kind: b.Kind, Address: b.Address, FailureDomain: b.FailureDomain,
			State: s.state(b),
		}
		if w := s.workers[b.Name]; w != nil {
			a.Running, a.CacheTokens = w.running, w.cacheTokens
		}
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// state returns the state of a backend server for operators; only "live" ones are usable.
func (s *Service) state(b objectapi.Backend) string {
	w := s.workers[b.Name]
	switch {
	case s.leaving(b):
		return string(objectapi.BackendLeaving)
	case s.o.Hooks.Loading != nil && s.o.Hooks.Loading(b.Name):
		return stateLoading
	case w != nil && w.failures >= maxFailures:
		return stateUnreachable
	}
	return string(objectapi.BackendLive)
}

func groupName(pool string, index int) string { return fmt.Sprintf("%s/%d", pool, index) }

// pools returns the workers of each pool, by name.
func pools(list map[string]objectapi.Backend) map[string][]objectapi.Backend {
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

// owned returns the groups that this host schedules now, and the group of each of their engines.
func (s *Service) owned() (map[string]sched.GroupChanged, map[string]string) {
	groups := map[string]sched.GroupChanged{}
	engines := map[string]string{}
	self := s.o.View.Self().Name
	for pool, workers := range s.pools {
		cfg, ok := s.o.Hooks.Pool(pool)
		if !ok {
			continue
		}
		for i := 0; i*groupSize < len(workers); i++ {
			name := groupName(pool, i)
			if rank := s.o.View.Rank("group:" + name); len(rank) == 0 || rank[0].Name != self {
				continue
			}
			g := sched.GroupChanged{Group: name, Policy: cfg.Policy, CallTTLMS: callExpiry.Milliseconds()}
			for _, b := range workers[i*groupSize : min(len(workers), (i+1)*groupSize)] {
				g.Workers = append(g.Workers, sched.Worker{
					Name:                b.Name,
					Usable:              s.state(b) == string(objectapi.BackendLive),
					MaxRunning:          cfg.MaxRunning,
					CacheCapacityTokens: cfg.CacheTokens,
				})
				if b.Kind == kindEngine {
					engines[b.Name] = name
				}
			}
			groups[name] = g
		}
	}
	return groups, engines
}

func (s *Service) tick() {
	t := time.NewTicker(s.o.Settings.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			s.update()
		}
	}
}

// update publishes what has changed in the groups of this host, and starts the polls that are due.
func (s *Service) update() {
	s.mu.Lock()
	defer s.mu.Unlock()
	groups, engines := s.owned()
	for _, name := range sortedKeys(s.groups) {
		if _, ok := groups[name]; !ok {
			s.o.Queue.Publish(sched.GroupReset{Group: name})
			s.log("group_released", map[string]any{"group": name})
		}
	}
	for _, name := range sortedKeys(groups) {
		old, ok := s.groups[name]
		if !ok {
			s.log("group_taken", map[string]any{"group": name})
		}
		if !ok || !reflect.DeepEqual(old, groups[name]) {
			s.o.Queue.Publish(groups[name])
		}
		s.o.Queue.Publish(sched.Ticked{Group: name})
	}
	s.groups = groups
	for name := range s.workers {
		if _, ok := engines[name]; !ok {
			delete(s.workers, name)
		}
	}
	for name, group := range engines {
		s.poll(s.list[name], group)
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
