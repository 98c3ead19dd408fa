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

// documentObjectName is the name of the stored configuration, an object of kind objectapi.KindConfig.
const documentObjectName = "current"

// watchersPerDomain is the number of hosts per failure domain that watch the store. With two, the loss of one host
// delays no ticket, and the number of watches does not grow with the number of hosts.
const watchersPerDomain = 2

// Host is the part of a membership record that this package uses.
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
	// Send sends a one-way message. A nil error does not mean that the peer received it.
	Send(ctx context.Context, addr string, t wire.Type, body any) error
	// Call sends a request and decodes the reply into out.
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

// FetchRequest is the body of a wire.TypeTicketFetch frame; the reply is a configstate.Document.
type FetchRequest struct {
	// Number is the ticket number in force at the sender.
	Number uint64 `msgpack:"n"`
}

// Options are the settings of a Service. Durations that are zero take their defaults.
type Options struct {
	// DataFolder holds the cached configuration; "" disables the cache.
	DataFolder string
	// CacheGracePeriod is how long a restarted host waits for the store or a peer before it is ready with the
	// cached configuration alone. The default is 2 s, within which the heartbeat of a live peer arrives.
	CacheGracePeriod time.Duration
	// WatcherCheckInterval is how often a host checks whether it is one of the watchers. The default is 1 s.
	WatcherCheckInterval time.Duration
	// MinBackoff and MaxBackoff bound the delay after a failed store request. The defaults are 200 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
	// RequestTimeout bounds one request to the store or a peer. The default is 5 s.
	RequestTimeout time.Duration
	// WatchTimeout bounds one watch request, which the platform answers within 30 s. The default is 35 s.
	WatchTimeout time.Duration
	// ApplyTimeout bounds Apply. The default is 30 s.
	ApplyTimeout time.Duration
	LogEvent     LogFunc // nil discards the events
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

func setDefault(setting *time.Duration, value time.Duration) {
	if *setting == 0 {
		*setting = value
	}
}

// Service holds the configuration in force on a host and keeps it current (design, section 15).
type Service struct {
	opts    Options
	store   objectapi.Store
	peers   Peers
	members MembershipView
	rt      Runtime

	current        atomic.Pointer[configstate.Document]
	synced         atomic.Bool // the store or a peer has answered since the start
	cacheGraceOver atomic.Bool // Options.CacheGracePeriod has passed
	fetching       atomic.Bool // a fetch from a peer is running

	mu                sync.Mutex
	ctx               context.Context // the context of Run; nil before Run
	subscribers       []func(*config.Config)
	documentChanged   chan struct{} // closed and replaced at each change
	pendingCacheWrite chan *configstate.Document
}

// New returns a service and registers the handlers of its effects with the runtime.
func New(rt Runtime, store objectapi.Store, peers Peers, members MembershipView, opts Options) *Service {
	opts.setDefaults()
	s := &Service{
		opts: opts, store: store, peers: peers, members: members, rt: rt,
		documentChanged:   make(chan struct{}),
		pendingCacheWrite: make(chan *configstate.Document, 1),
	}
	s.current.Store(&configstate.Document{})
	rt.Handle(configstate.KindActivateDocument, s.handleActivateDocument)
	rt.Handle(configstate.KindFetchDocument, s.handleFetchDocument)
	rt.Handle(configstate.KindReportSynced, s.handleReportSynced)
	return s
}

// Run loads the cached configuration, reads the store, and watches it while this host is a watcher. It returns nil
// when ctx is done.
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

// AcceptedTickets returns the latest accepted tickets, oldest first. The slice is shared and must not be modified.
func (s *Service) AcceptedTickets() []configstate.AcceptedTicket {
	return s.current.Load().AcceptedTickets
}

// Ready reports whether the host may use its configuration: the store or a peer has answered since the start, or
// Options.CacheGracePeriod has passed and a cached configuration was loaded.
func (s *Service) Ready() bool {
	return s.synced.Load() || (s.cacheGraceOver.Load() && s.TicketNumber() > 0)
}

// Subscribe adds a function that is called on each change, in order of the ticket numbers. The function runs on the
// reducer's goroutine and must not block.
func (s *Service) Subscribe(fn func(*config.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, fn)
}

// HandlePeerNumber processes the ticket number in force at a peer, as reported by its heartbeat.
func (s *Service) HandlePeerNumber(addr string, number uint64) {
	if number > s.TicketNumber() || !s.synced.Load() {
		s.rt.Publish(configstate.PeerNumberReceived{From: addr, Number: number})
	}
}

// HandleTicketPush processes the body of a wire.TypeTicket frame.
func (s *Service) HandleTicketPush(p configstate.TicketPushed) { s.rt.Publish(p) }

// HandleFetch returns the reply to a wire.TypeTicketFetch frame.
func (s *Service) HandleFetch(FetchRequest) *configstate.Document { return s.current.Load() }

// handleActivateDocument puts a document in force: it calls the subscribers and, unless the document comes from the
// cache, writes the cache and pushes the last ticket to the ring neighbors.
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

// spawn runs fn on a new goroutine with the context of Run. It returns false without running fn if Run has not
// started or has ended; the next heartbeats lead to the same pushes and fetches again.
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

// pushTicket sends the last ticket to the ring neighbors. A host that misses the push fetches the configuration when a
// heartbeat reports the higher number.
func (s *Service) pushTicket(ctx context.Context, doc *configstate.Document) {
	body := configstate.TicketPushed{From: s.members.Self().PeerAddress, BaseNumber: doc.BaseNumber, Ticket: doc.LastTicket}
	if accepted, ok := doc.FindByNumber(doc.Number); ok {
		body.AcceptedAt = accepted.AcceptedAt
	}
	for _, neighbor := range ringNeighbors(s.members.Self(), s.members.RendezvousOrder(objectapi.KindConfig)) {
		go func() {
			sendCtx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
			defer cancel()
			if err := s.peers.Send(sendCtx, neighbor.PeerAddress, wire.TypeTicket, body); err != nil && ctx.Err() == nil {
				s.opts.LogEvent("ticket_push_failed", map[string]any{"peer": string(neighbor.Name), "ticket": doc.Number, "error": err.Error()})
			}
		}()
	}
}

// ringNeighbors returns the hosts at distances 1, 2, 4, ... from self on the ring of hosts in name order.
func ringNeighbors(self Host, up []Host) []Host {
	ring := slices.DeleteFunc(slices.Clone(up), func(h Host) bool { return h.Name == self.Name })
	ring = append(ring, self)
	slices.SortFunc(ring, func(a, b Host) int { return strings.Compare(string(a.Name), string(b.Name)) })
	selfIndex := slices.IndexFunc(ring, func(h Host) bool { return h.Name == self.Name })
	var neighbors []Host
	for distance := 1; distance < len(ring); distance *= 2 {
		neighbors = append(neighbors, ring[(selfIndex+distance)%len(ring)])
	}
	return neighbors
}

// handleFetchDocument reads the configuration from a peer. Only one fetch runs at a time; after a skipped or failed
// fetch, the peer's next heartbeat triggers another one.
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
	fetchCtx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	doc := &configstate.Document{}
	if err := s.peers.Call(fetchCtx, e.From, wire.TypeTicketFetch, FetchRequest{Number: s.TicketNumber()}, doc); err != nil {
		if ctx.Err() == nil {
			s.opts.LogEvent("ticket_fetch_failed", map[string]any{"peer": e.From, "ticket": e.Number, "error": err.Error()})
		}
		return
	}
	s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginPeer, Document: doc})
}

// isWatcher reports whether this host is among the first watchersPerDomain hosts of its failure domain in rendezvous
// order.
func (s *Service) isWatcher() bool {
	self := s.members.Self()
	earlier := 0
	for _, h := range s.members.RendezvousOrder(objectapi.KindConfig) {
		if h.FailureDomain != self.FailureDomain {
			continue
		}
		if h.Name == self.Name {
			return true
		}
		if earlier++; earlier == watchersPerDomain {
			return false
		}
	}
	return false
}

// watchLoop watches the stored configuration while this host is a watcher. On other hosts it reads the configuration
// until the store or a peer has answered.
func (s *Service) watchLoop(ctx context.Context) {
	after := objectapi.Version(0)
	versionKnown := false // after is the version of the last read; the next step is a watch
	backoff := s.opts.MinBackoff
	for ctx.Err() == nil {
		watcher := s.isWatcher()
		if !watcher {
			versionKnown = false
			if s.synced.Load() {
				sleep(ctx, s.opts.WatcherCheckInterval)
				continue
			}
		}
		var err error
		if !versionKnown {
			if after, err = s.publishStored(ctx); err == nil {
				versionKnown = true
			}
		} else {
			after, err = s.watchStore(ctx, after)
		}
		if err == nil {
			backoff = s.opts.MinBackoff
			if !watcher {
				// The reducer sets synced asynchronously; the delay avoids another read before that.
				sleep(ctx, s.opts.MinBackoff)
			}
			continue
		}
		versionKnown = false
		if ctx.Err() == nil {
			s.opts.LogEvent("configuration_read_failed", map[string]any{"error": err.Error()})
		}
		sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, s.opts.MaxBackoff)
	}
}

// publishStored reads the stored configuration, sends it to the reducer and returns its version.
func (s *Service) publishStored(ctx context.Context) (objectapi.Version, error) {
	doc, version, err := s.readDocument(ctx)
	if err != nil {
		return 0, err
	}
	s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginStore, Document: doc})
	return version, nil
}

// readDocument returns the stored configuration and its version, or an empty document and version 0 if none is stored.
func (s *Service) readDocument(ctx context.Context) (*configstate.Document, objectapi.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, objectapi.KindConfig, documentObjectName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return &configstate.Document{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the configuration from the store")
	}
	doc, err := configstate.Decode(object.Value)
	if err != nil {
		return nil, 0, err
	}
	return doc, object.Version, nil
}

// watchStore waits for a change of the stored configuration after the given version and returns the version to
// watch from next.
func (s *Service) watchStore(ctx context.Context, after objectapi.Version) (objectapi.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.WatchTimeout)
	defer cancel()
	changes, revision, err := s.store.Watch(ctx, objectapi.KindConfig, documentObjectName, after)
	if err != nil {
		return after, errors.Wrap(err, "watch the configuration in the store")
	}
	for _, change := range changes {
		if change.Name != documentObjectName || change.Deleted {
			continue
		}
		doc, err := configstate.Decode(change.Value)
		if err != nil {
			return after, err
		}
		s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginStore, Document: doc})
	}
	return max(after, revision), nil
}

func cachePath(folder string) string { return filepath.Join(folder, "configuration.json.zst") }

// jitter returns a duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleep waits for d. It returns false if ctx is done earlier.
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
