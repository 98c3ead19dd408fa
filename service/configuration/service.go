// Package configuration accepts tickets, watches the configuration in the store, distributes it to the
// peers and keeps a cached copy of it in the data folder.
package configuration

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// documentObjectName is the name of the configuration in force in the store, of kind objectapi.KindConfig.
const documentObjectName = "current"

// watchersPerDomain hosts of each failure domain watch the store, so that the loss of one host delays
// no ticket, and the number of watches does not grow with the fleet.
const watchersPerDomain = 2

// Host is a member as far as this package needs it.
type Host struct {
	Name          ids.Host
	FailureDomain string
	PeerAddress   string
}

// MembershipView is the part of the membership's View that this package uses.
type MembershipView interface {
	Self() Host
	// RendezvousOrder returns the hosts in state up by rendezvous hash of the key, best first.
	RendezvousOrder(key string) []Host
}

// Peers sends messages to other hosts.
type Peers interface {
	// Send sends a one-way message; it may be lost.
	Send(ctx context.Context, addr string, t wire.Type, body any) error
	// Call sends a request and decodes the answer into out.
	Call(ctx context.Context, addr string, t wire.Type, body, out any) error
}

// Runtime is the part of *runtime.Runtime that this package uses.
type Runtime interface {
	Publish(ev event.Event)
	Handle(k event.Kind, h runtime.Handler)
	Clock() clock.Clock
}

// LogFunc receives the log events of this package.
type LogFunc func(name string, fields map[string]any)

// FetchRequest is the body of a wire.TypeTicketFetch frame; the answer is a configuration.Document.
type FetchRequest struct {
	// Number is the number in force at the sender.
	Number uint64 `msgpack:"n"`
}

// Options are the settings of a Service. Zero values take the defaults.
type Options struct {
	// DataFolder holds the cached copy; empty keeps none.
	DataFolder string
	// CacheGracePeriod is how long a restarted host waits for the store or a peer before the cached copy makes
	// it ready. The default is 2 s, the time within which a live peer's heartbeat arrives.
	CacheGracePeriod time.Duration
	// WatcherCheckInterval is how often a host checks whether it is one of the watchers. The default is 1 s.
	WatcherCheckInterval time.Duration
	// MinBackoff and RetryMax bound the pause after a failed store call. The defaults are 200 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
	// RequestTimeout bounds one store call or peer request. The default is 5 s.
	RequestTimeout time.Duration
	// WatchTimeout bounds one watch, which the platform answers within 30 s. The default is 35 s.
	WatchTimeout time.Duration
	// ApplyTimeout bounds Apply. The default is 30 s.
	ApplyTimeout time.Duration
	LogEvent     LogFunc
}

func (o *Options) setDefaults() {
	setDefault(&o.CacheGracePeriod, 2*time.Second)
	setDefault(&o.WatcherCheckInterval, time.Second)
	setDefault(&o.MinBackoff, 200*time.Millisecond)
	setDefault(&o.MaxBackoff, 5*time.Second)
	setDefault(&o.RequestTimeout, 5*time.Second)
	setDefault(&o.WatchTimeout, 35*time.Second)
	setDefault(&o.ApplyTimeout, 30*time.Second)
	if o.LogEvent == nil {
		o.LogEvent = func(string, map[string]any) {}
	}
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Service is the configuration role of a host. It implements the Source of the design, section 15.
type Service struct {
	opts    Options
	store   objectapi.Store
	peers   Peers
	members MembershipView
	rt      Runtime

	current        atomic.Pointer[configstate.Document]
	synced         atomic.Bool // the store or a peer has answered
	cacheGraceOver atomic.Bool // the cached copy counts as ready
	fetching       atomic.Bool

	mu                sync.Mutex
	ctx               context.Context // of Run; nil before it
	subscribers       []func(*config.Config)
	documentChanged   chan struct{} // closed and replaced at each change
	pendingCacheWrite chan *configstate.Document
}

// New returns a service and sets the handlers of its effects on the runtime.
func New(run Runtime, store objectapi.Store, peers Peers, members MembershipView, opts Options) *Service {
	opts.setDefaults()
	s := &Service{
		opts: opts, store: store, peers: peers, members: members, rt: run,
		documentChanged:   make(chan struct{}),
		pendingCacheWrite: make(chan *configstate.Document, 1),
	}
	s.current.Store(&configstate.Document{})
	run.Handle(configstate.KindActivateDocument, s.handleActivateDocument)
	run.Handle(configstate.KindFetchDocument, s.handleFetchDocument)
	run.Handle(configstate.KindReportSynced, s.handleReportSynced)
	return s
}

// Run loads the cached copy, reads the store and watches it while this host is a watcher, until ctx is
// done.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	if s.opts.DataFolder != "" {
		s.loadCache()
		wg.Go(func() { s.cacheWriteLoop(ctx) })
	}
	wg.Go(func() {
		if sleep(ctx, s.opts.CacheGracePeriod) {
			s.cacheGraceOver.Store(true)
		}
	})
	s.watchLoop(ctx)
	return nil
}

// Current returns the configuration in force. It is immutable and never nil.
func (s *Service) Current() *config.Config { return &s.current.Load().Config }

// TicketNumber returns the ticket number in force, for heartbeats.
func (s *Service) TicketNumber() uint64 { return s.current.Load().Number }

// AcceptedTickets returns the latest accepted tickets, the oldest first. The slice is shared and immutable.
func (s *Service) AcceptedTickets() []configstate.AcceptedTicket {
	return s.current.Load().AcceptedTickets
}

// Ready reports whether the configuration may be acted on: the store or a peer has answered, or none
// did within Options.CacheGrace and there is a cached copy.
func (s *Service) Ready() bool {
	return s.synced.Load() || (s.cacheGraceOver.Load() && s.TicketNumber() > 0)
}

// Subscribe adds a function that is called on each change, in number order. It runs on the reducer's
// goroutine and must not block.
func (s *Service) Subscribe(fn func(*config.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, fn)
}

// HandlePeerNumber takes the number in force at a peer from its heartbeat.
func (s *Service) HandlePeerNumber(addr string, number uint64) {
	if number > s.TicketNumber() || !s.synced.Load() {
		s.rt.Publish(configstate.PeerNumberReceived{From: addr, Number: number})
	}
}

// HandleTicketPush takes the body of a wire.TypeTicket frame.
func (s *Service) HandleTicketPush(p configstate.TicketPushed) { s.rt.Publish(p) }

// HandleFetch answers a wire.TypeTicketFetch frame.
func (s *Service) HandleFetch(FetchRequest) *configstate.Document { return s.current.Load() }

// handleActivateDocument carries out the effect configuration.InForce.
func (s *Service) handleActivateDocument(_ clock.Millis, eff event.Effect) {
	e := eff.(configstate.ActivateDocument)
	s.current.Store(e.Document)
	s.mu.Lock()
	subscribers := slices.Clone(s.subscribers)
	close(s.documentChanged)
	s.documentChanged = make(chan struct{})
	s.mu.Unlock()
	for _, fn := range subscribers {
		fn(&e.Document.Config)
	}
	s.opts.LogEvent("configuration_in_force", map[string]any{"ticket": e.Document.Number, "author": e.Document.LastTicket.Author, "origin": string(e.Origin)})
	if e.Origin == configstate.OriginCache {
		return
	}
	s.queueCacheWrite(e.Document)
	s.spawn(func(ctx context.Context) { s.pushTicket(ctx, e.Document) })
}

func (s *Service) handleReportSynced(_ clock.Millis, eff event.Effect) {
	e := eff.(configstate.ReportSynced)
	s.synced.Store(true)
	s.opts.LogEvent("configuration_confirmed", map[string]any{"ticket": e.Number, "origin": string(e.Origin)})
}

// spawn runs fn on a goroutine with the context of Run and reports whether it did. Outside Run it
// does not; the peers' heartbeats repeat what was missed.
func (s *Service) spawn(fn func(context.Context)) bool {
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return false
	}
	go fn(ctx)
	return true
}

// pushTicket sends the last ticket to the finger peers. A push that is lost is made up for by heartbeats.
func (s *Service) pushTicket(ctx context.Context, d *configstate.Document) {
	body := configstate.TicketPushed{From: s.members.Self().PeerAddress, BaseNumber: d.BaseNumber, Ticket: d.LastTicket}
	if a, ok := d.FindByNumber(d.Number); ok {
		body.AcceptedAt = a.AcceptedAt
	}
	for _, h := range ringNeighbors(s.members.Self(), s.members.RendezvousOrder(objectapi.KindConfig)) {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
			defer cancel()
			if err := s.peers.Send(callCtx, h.PeerAddress, wire.TypeTicket, body); err != nil && ctx.Err() == nil {
				s.opts.LogEvent("ticket_push_failed", map[string]any{"peer": string(h.Name), "ticket": d.Number, "error": err.Error()})
			}
		}()
	}
}

// ringNeighbors returns the hosts at ring distances 1, 2, 4, ... from self, the ring being in name order.
func ringNeighbors(self Host, up []Host) []Host {
	ring := slices.DeleteFunc(slices.Clone(up), func(h Host) bool { return h.Name == self.Name })
	ring = append(ring, self)
	slices.SortFunc(ring, func(a, b Host) int { return strings.Compare(string(a.Name), string(b.Name)) })
	at := slices.IndexFunc(ring, func(h Host) bool { return h.Name == self.Name })
	var out []Host
	for d := 1; d < len(ring); d *= 2 {
		out = append(out, ring[(at+d)%len(ring)])
	}
	return out
}

// handleFetchDocument reads the configuration from a peer. One fetch runs at a time; the peer's next heartbeat
// repeats one that was skipped or failed.
func (s *Service) handleFetchDocument(_ clock.Millis, eff event.Effect) {
	e := eff.(configstate.FetchDocument)
	if !s.fetching.CompareAndSwap(false, true) {
		return
	}
	started := s.spawn(func(ctx context.Context) {
		defer s.fetching.Store(false)
		s.fetchDocument(ctx, e)
	})
	if !started {
		s.fetching.Store(false)
	}
}

func (s *Service) fetchDocument(ctx context.Context, e configstate.FetchDocument) {
	callCtx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	d := &configstate.Document{}
	if err := s.peers.Call(callCtx, e.From, wire.TypeTicketFetch, FetchRequest{Number: s.TicketNumber()}, d); err != nil {
		if ctx.Err() == nil {
			s.opts.LogEvent("ticket_fetch_failed", map[string]any{"peer": e.From, "ticket": e.Number, "error": err.Error()})
		}
		return
	}
	s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginPeer, Document: d})
}

// isWatcher reports whether this host is among the first of its failure domain.
func (s *Service) isWatcher() bool {
	self := s.members.Self()
	n := 0
	for _, h := range s.members.RendezvousOrder(objectapi.KindConfig) {
		if h.FailureDomain != self.FailureDomain {
			continue
		}
		if h.Name == self.Name {
			return true
		}
		if n++; n == watchersPerDomain {
			return false
		}
	}
	return false
}

// watchLoop reads the store until the store or a peer has answered, and watches it while this host is a
// watcher.
func (s *Service) watchLoop(ctx context.Context) {
	after := objectapi.Version(0)
	known := false // after is the version of a configuration that was read
	pause := s.opts.MinBackoff
	for ctx.Err() == nil {
		watcher := s.isWatcher()
		if !watcher {
			known = false
			if s.synced.Load() {
				sleep(ctx, s.opts.WatcherCheckInterval)
				continue
			}
		}
		var err error
		if !known {
			if after, err = s.publishStored(ctx); err == nil {
				known = true
			}
		} else {
			after, err = s.watchStore(ctx, after)
		}
		if err == nil {
			pause = s.opts.MinBackoff
			if !watcher {
				// The answer is reduced soon; this keeps the loop from reading again before that.
				sleep(ctx, s.opts.MinBackoff)
			}
			continue
		}
		known = false
		if ctx.Err() == nil {
			s.opts.LogEvent("configuration_read_failed", map[string]any{"error": err.Error()})
		}
		sleep(ctx, jitter(pause))
		pause = min(2*pause, s.opts.MaxBackoff)
	}
}

// publishStored offers the stored configuration to the reducer and returns its version.
func (s *Service) publishStored(ctx context.Context) (objectapi.Version, error) {
	d, v, err := s.readDocument(ctx)
	if err != nil {
		return 0, err
	}
	s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginStore, Document: d})
	return v, nil
}

// readDocument returns the stored configuration; version 0 and an empty document if there is none.
func (s *Service) readDocument(ctx context.Context) (*configstate.Document, objectapi.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	o, err := s.store.Get(ctx, objectapi.KindConfig, documentObjectName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return &configstate.Document{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the configuration from the store")
	}
	d, err := configstate.Decode(o.Value)
	if err != nil {
		return nil, 0, err
	}
	return d, o.Version, nil
}

func (s *Service) watchStore(ctx context.Context, after objectapi.Version) (objectapi.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.WatchTimeout)
	defer cancel()
	changes, revision, err := s.store.Watch(ctx, objectapi.KindConfig, documentObjectName, after)
	if err != nil {
		return after, errors.Wrap(err, "watch the configuration in the store")
	}
	for _, c := range changes {
		if c.Name != documentObjectName || c.Deleted {
			continue
		}
		d, err := configstate.Decode(c.Value)
		if err != nil {
			return after, err
		}
		s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginStore, Document: d})
	}
	return max(after, revision), nil
}

func cachePath(folder string) string { return filepath.Join(folder, "configuration.json.zst") }

// jitter returns a duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleep waits for d and reports whether ctx is still in force.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
