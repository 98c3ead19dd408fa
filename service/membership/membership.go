// Package membership maintains a host's lease and its view of the other hosts. It executes the effects of
// core/membership through the object API and the peer links.
package membership

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/event"
	core "github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// Member is the record of one host.
type Member = core.Member

// States of a member.
const (
	StateUp       = core.StateUp
	StateDraining = core.StateDraining
	StateGone     = core.StateGone
)

// View is the read access of other packages to the membership.
type View interface {
	// Self returns this host's record. Its Journal is empty until the lease is acquired.
	Self() Member
	// Members returns all known members, sorted by name.
	Members() []Member
	// Epoch returns the version of the member list. It never decreases and is the same for the same list.
	Epoch() uint64
	// HomeOf returns the host that has a journal's programs after adoptions, or false if there is none.
	HomeOf(j ids.Journal) (Member, bool)
	// RendezvousOrder returns the hosts in state up that are not suspected, by rendezvous hash, highest first. The
	// result is shared and must not be changed.
	RendezvousOrder(key string) []Member
	// LeaseValid compares the lease with the clock at the time of the call. It must be checked immediately before
	// each effect on a backend server.
	LeaseValid() bool
}

// Adopter adopts the programs of other incarnations. It is implemented by the home.
type Adopter interface {
	// Adopt seals a journal and imports its programs durably. It must be idempotent: it is repeated after an error.
	Adopt(ctx context.Context, journal ids.Journal) error
	// Fenced reports that this incarnation has lost its lease.
	Fenced(reason string)
}

// Transport sends frames to peers.
type Transport interface {
	// Send sends a one-way message.
	Send(ctx context.Context, addr string, t wire.Type, body any) error
	// Call sends a request and decodes the response into out.
	Call(ctx context.Context, addr string, t wire.Type, body, out any) error
}

// Runtime is the part of the runtime that the service uses.
type Runtime interface {
	Publish(ev event.Event)
	Handle(k event.Kind, h runtime.Handler)
}

// Logger records log events.
type Logger interface {
	Event(name string, fields map[string]any)
}

// Hooks connect other packages with heartbeats and takeovers. Nil functions are not called.
type Hooks struct {
	// TicketNumber returns the number of the ticket in force; TicketReceived reports a peer's.
	TicketNumber   func() uint64
	TicketReceived func(peer Member, number uint64)
	// LeavingDigest returns a digest of the known leaving backend servers; LeavingReceived reports a peer's.
	LeavingDigest   func() uint64
	LeavingReceived func(peer Member, digest uint64)
	// DeleteJournal deletes the objects of an adopted journal.
	DeleteJournal func(ctx context.Context, j ids.Journal) error
}

// Options configure a Service.
type Options struct {
	// Self names the host, its failure domain, region and addresses; the other fields are ignored.
	Self     Member
	Settings core.Settings
	// TickInterval is the period of Ticked events, 100 ms by default.
	TickInterval time.Duration
	// StoreTimeout bounds one store call, 2 s by default.
	StoreTimeout time.Duration
	// RetryInterval is the delay between attempts of a store call, 500 ms by default.
	RetryInterval time.Duration

	Store     objectapi.Store
	Transport Transport
	Runtime   Runtime
	Clock     clock.Clock
	Adopter   Adopter
	Hooks     Hooks
	Log       Logger
}

// Service maintains the host's lease and implements View.
type Service struct {
	opts            Options
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	view            atomic.Pointer[viewSnapshot]
	leaseValidUntil atomic.Int64
	leaseVersion    atomic.Uint64
	storeAvailable  atomic.Bool
	ready           atomic.Bool
	writer          memberWriter

	mu              sync.Mutex
	changed         chan struct{} // closed and replaced at each change of the view
	handoverDone    chan struct{}
	fenced          chan struct{}
	frameReportedAt map[ids.Host]clock.Millis // when FrameReceived last published an event
}

// viewSnapshot is one state of the view. It is immutable except for its caches, which mu guards.
type viewSnapshot struct {
	self       Member
	members    []Member
	suspected  map[ids.Host]bool
	candidates []Member // in state up and not suspected
	digest     uint64
	epoch      uint64

	mu         sync.Mutex
	orderCache map[string][]Member
	homeCache  map[ids.Journal]homeResult
}

// homeResult is a cached result of HomeOf.
type homeResult struct {
	member Member
	ok     bool
}

// maxCachedHomes bounds the cached homes of one view: the journals of 370 hosts and some adopted ones. Every grant looks
// one up, and a search through 370 records with 256 adopted journals each takes 0.3 ms.
const maxCachedHomes = 4096

// homeOf implements View.HomeOf with a cache.
func (v *viewSnapshot) homeOf(j ids.Journal) (Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h, ok := v.homeCache[j]; ok {
		return h.member, h.ok
	}
	m, ok := core.Home(j, v.members)
	if len(v.homeCache) < maxCachedHomes {
		v.homeCache[j] = homeResult{m, ok}
	}
	return m, ok
}

// maxCachedOrders bounds the cached rendezvous orders of one view. The schedulers request the order of each group ten
// times a second; hashing and sorting 370 hosts for 94 groups each time would exceed a host's limit of control overhead.
const maxCachedOrders = 1024

// rendezvousOrder implements View.RendezvousOrder with a cache.
func (v *viewSnapshot) rendezvousOrder(key string) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if order, ok := v.orderCache[key]; ok {
		return order
	}
	order := core.RendezvousOrder(key, v.candidates)
	order = order[:len(order):len(order)]
	if len(v.orderCache) < maxCachedOrders {
		v.orderCache[key] = order
	}
	return order
}

var _ View = (*Service)(nil)

// New returns a service and registers its effect handlers. The runtime's state must have the reducer of
// core/membership under "membership".
func New(o Options) *Service {
	o.Settings = o.Settings.WithDefaults()
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{{&o.TickInterval, 100 * time.Millisecond}, {&o.StoreTimeout, 2 * time.Second}, {&o.RetryInterval, 500 * time.Millisecond}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	s := &Service{opts: o, frameReportedAt: map[ids.Host]clock.Millis{}, changed: make(chan struct{}), handoverDone: make(chan struct{}), fenced: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.writer = memberWriter{pending: map[ids.Host]Member{}, wake: make(chan struct{}, 1)}
	s.setView(Member{
		Name: o.Self.Name, FailureDomain: o.Self.FailureDomain, Region: o.Self.Region,
		HTTPAddress: o.Self.HTTPAddress, PeerAddress: o.Self.PeerAddress,
	}, nil, nil)
	s.registerHandlers()
	return s
}

// SetAdopter sets the adopter. It must be called before Start.
func (s *Service) SetAdopter(a Adopter) { s.opts.Adopter = a }

// Start acquires the lease of the next incarnation, lists the members and starts the background work. It retries while
// the store is unavailable; if ctx ends first, it returns the last error.
func (s *Service) Start(ctx context.Context) error {
	started, previous, err := s.startIncarnation(ctx)
	if err != nil {
		return err
	}
	s.storeAvailable.Store(true)
	s.leaseValidUntil.Store(int64(started.SentAt.Add(s.opts.Settings.LeaseDuration)))
	s.setView(started.Self, append([]Member{started.Self}, started.Members...), nil)
	s.log("lease_acquired", map[string]any{"journal": started.Self.Journal})
	s.opts.Runtime.Publish(started)
	s.ready.Store(true)
	s.spawn(s.runTicker)
	s.spawn(s.writeMembers)
	if previous != "" && s.opts.Hooks.DeleteJournal != nil {
		s.spawn(func() { s.deleteJournal(previous) })
	}
	return nil
}

// Stop ends the background work and waits for it. It does not release the lease or the journal; see Handover.
func (s *Service) Stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Service) spawn(f func()) {
	// Stop cancels under the same lock, so that no goroutine is added to the group while it waits.
	s.mu.Lock()
	ended := s.ctx.Err() != nil
	if !ended {
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if ended {
		return
	}
	go func() {
		defer s.wg.Done()
		f()
	}()
}

func (s *Service) runTicker() {
	t := time.NewTicker(s.opts.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			s.opts.Runtime.Publish(core.Ticked{Random: rand.Uint32()})
		}
	}
}

// startIncarnation acquires the lease and returns the event that starts the incarnation, and the journal of the
// previous incarnation if its adoption is complete.
func (s *Service) startIncarnation(ctx context.Context) (core.Started, ids.Journal, error) {
	var started core.Started
	var previous ids.Journal
	// The random prefix distinguishes this process's write IDs from those of any other process of the host.
	prefix := strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	started.Settings = s.opts.Settings
	started.WriteIDPrefix = prefix
	for _, step := range []func() error{
		func() error { return s.acquireLease(ctx, &started, &previous) },
		// The record is written before the members are listed, so that of two hosts that start at the same time at
		// least one lists the other and sends it its record.
		func() error { return s.writeMember(ctx, started.Self) },
		func() error { return s.listMembers(ctx, &started) },
	} {
		for {
			err := step()
			if err == nil {
				break
			}
			s.log("start_wait", map[string]any{"error": err.Error()})
			if !s.waitRetryInterval(ctx) {
				return started, "", errors.Wrapf(err, "start the membership of host %q", s.opts.Self.Name)
			}
		}
	}
	return started, previous, nil
}

// acquireLease writes the lease of the next incarnation to the store and to out. It sets previous to the previous
// journal if that journal's adoption is complete, else to "".
func (s *Service) acquireLease(ctx context.Context, out *core.Started, previous *ids.Journal) error {
	found, err := s.readLease(ctx, s.opts.Self.Name)
	if err != nil {
		return err
	}
	ownRecord, err := s.readMember(ctx, s.opts.Self.Name)
	if err != nil {
		return err
	}
	writeID := out.WriteIDPrefix + "-start"
	next := found.Lease
	// An earlier attempt whose response was lost may have written the lease.
	if found.Version == 0 || found.Lease.WriteID != writeID {
		next = s.nextLease(found, ownRecord, writeID)
		*previous = ""
		if found.Version != 0 && found.Lease.State == core.LeaseAdopted {
			*previous = found.Lease.Journal()
		}
	}
	out.SentAt = s.opts.Clock.Now()
	out.Version, err = s.putLease(ctx, next, found.Version)
	if err != nil {
		return errors.Wrapf(err, "write lease of host %q", s.opts.Self.Name)
	}
	out.Lease = next
	out.Self = s.Self()
	out.Self.Journal, out.Self.Incarnation = next.Journal(), next.Incarnation
	out.Self.State, out.Self.Version = core.StateUp, 1
	return nil
}

func (s *Service) listMembers(ctx context.Context, out *core.Started) error {
	objects, _, err := withStoreTimeout2(s, ctx, func(ctx context.Context) ([]objectapi.Object, objectapi.Version, error) {
		return s.opts.Store.List(ctx, objectapi.KindMember, "")
	})
	if err != nil {
		return errors.Wrap(err, "list members")
	}
	out.Members = nil
	for _, o := range objects {
		m, err := decodeMember(o)
		if err != nil {
			return err
		}
		if m.Name != s.opts.Self.Name {
			out.Members = append(out.Members, m)
		}
	}
	return nil
}

func (s *Service) nextLease(found core.LeaseObject, ownRecord Member, writeID string) core.Lease {
	if found.Version == 0 {
		return core.NextLease(s.opts.Self.Name, nil, nil, writeID)
	}
	var priorAdoptions []ids.Journal
	if ownRecord.Incarnation == found.Lease.Incarnation {
		priorAdoptions = ownRecord.Adopted
	}
	return core.NextLease(s.opts.Self.Name, &found.Lease, priorAdoptions, writeID)
}

func (s *Service) setView(self Member, members []Member, suspected []ids.Host) {
	v := &viewSnapshot{self: self, members: members, suspected: map[ids.Host]bool{}, orderCache: map[string][]Member{}, homeCache: map[ids.Journal]homeResult{}}
	for _, h := range suspected {
		v.suspected[h] = true
	}
	for _, m := range members {
		if m.Name == self.Name {
			v.self = m
		}
		if m.State == core.StateUp && !v.suspected[m.Name] {
			v.candidates = append(v.candidates, m)
		}
	}
	v.digest, v.epoch = core.Digest(members), core.Epoch(members)
	s.view.Store(v)
	s.mu.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// Self implements View.
func (s *Service) Self() Member { return s.view.Load().self }

// Members implements View.
func (s *Service) Members() []Member { return append([]Member(nil), s.view.Load().members...) }

// Suspected reports whether this host suspects host h.
func (s *Service) Suspected(h ids.Host) bool { return s.view.Load().suspected[h] }

// Epoch implements View.
func (s *Service) Epoch() uint64 { return s.view.Load().epoch }

// HomeOf implements View.
func (s *Service) HomeOf(j ids.Journal) (Member, bool) { return s.view.Load().homeOf(j) }

// RendezvousOrder implements View.
func (s *Service) RendezvousOrder(key string) []Member { return s.view.Load().rendezvousOrder(key) }

// LeaseValid implements View.
func (s *Service) LeaseValid() bool { return int64(s.opts.Clock.Now()) < s.leaseValidUntil.Load() }

// StoreAvailable reports whether the store answered the last renewal of the lease. A lease that expires in an outage of
// the store does not fence the incarnation.
func (s *Service) StoreAvailable() bool { return s.storeAvailable.Load() }

// Ready reports whether the host has acquired its lease and was not fenced. The lease may have expired since.
func (s *Service) Ready() bool {
	select {
	case <-s.fenced:
		return false
	default:
		return s.ready.Load()
	}
}

// Changed returns a channel that is closed at the next change of the view.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Drain sets this host's state to draining, which excludes it from the rendezvous orders. It returns when this host's
// view has the new state.
func (s *Service) Drain(ctx context.Context) error {
	s.opts.Runtime.Publish(core.DrainRequested{})
	for {
		changed := s.Changed()
		if s.Self().State == core.StateDraining {
			s.log("draining", nil)
			return nil
		}
		select {
		case <-changed:
		case <-s.fenced:
			return errors.Newf("drain: incarnation %s was fenced", s.Self().Journal)
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		}
	}
}

// Handover releases the journal and waits until a successor has adopted it. LeaseValid is false from the first write
// of the handover on. Without another host in state up, it waits until ctx is done.
func (s *Service) Handover(ctx context.Context) error {
	s.opts.Runtime.Publish(core.HandoverRequested{})
	select {
	case <-s.handoverDone:
		return nil
	case <-s.fenced:
		return errors.Newf("handover: incarnation %s was fenced", s.Self().Journal)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "handover")
	}
}

func (s *Service) log(name string, fields map[string]any) {
	if s.opts.Log != nil {
		s.opts.Log.Event(name, fields)
	}
}

// waitRetryInterval waits for RetryInterval. It returns false if ctx or the service ends first.
func (s *Service) waitRetryInterval(ctx context.Context) bool {
	t := time.NewTimer(s.opts.RetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return false
}
