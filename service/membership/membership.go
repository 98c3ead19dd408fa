// Package membership keeps a host's lease and its view of the other hosts. The decisions are made by
// core/membership; this package carries them out over the object API and the peer links.
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

// View is what other packages see of the membership.
type View interface {
	// Self is this host's record; its Journal is empty until the lease is held.
	Self() Member
	// Members returns all known members, sorted by name.
	Members() []Member
	// Epoch is the version of the member list; it never falls, and hosts with the same list agree on it.
	Epoch() uint64
	// HomeOf returns the owner of a journal after adoptions; false while nobody owns it.
	HomeOf(j ids.Journal) (Member, bool)
	// RendezvousOrder returns the hosts in state up that are not suspected by rendezvous hash, best first. The result is
	// shared and not to be changed.
	RendezvousOrder(key string) []Member
	// LeaseValid compares the lease with the clock at the moment of the call. It is checked right before
	// each effect on a backend server.
	LeaseValid() bool
}

// Adopter is implemented by the home.
type Adopter interface {
	// Adopt carries out steps 5 to 7 of a takeover; it is idempotent and is repeated after an error.
	Adopt(ctx context.Context, dead ids.Journal) error
	// Fenced says that this incarnation lost its lease.
	Fenced(reason string)
}

// Transport sends frames to peers.
type Transport interface {
	// Send sends a one-way message.
	Send(ctx context.Context, addr string, t wire.Type, body any) error
	// Call sends a request and decodes the answer into out.
	Call(ctx context.Context, addr string, t wire.Type, body, out any) error
}

// Runtime is the part of the runtime that the service uses.
type Runtime interface {
	Publish(ev event.Event)
	Handle(k event.Kind, h runtime.Handler)
}

// Logger takes log events.
type Logger interface {
	Event(name string, fields map[string]any)
}

// Hooks connect the heartbeats with other packages. Nil functions are not called.
type Hooks struct {
	// TicketNumber returns the number of the configuration in force; TicketHeard reports a peer's.
	TicketNumber   func() uint64
	TicketReceived func(peer Member, number uint64)
	// LeavingDigest identifies the known leaving backend servers; LeavingHeard reports a peer's.
	LeavingDigest   func() uint64
	LeavingReceived func(peer Member, digest uint64)
	// DeleteJournal deletes the objects of a journal that was adopted (step 9 of a takeover).
	DeleteJournal func(ctx context.Context, j ids.Journal) error
}

// Options configure a Service.
type Options struct {
	// Self names the host, its failure domain, region and addresses; the other fields are ignored.
	Self     Member
	Settings core.Settings
	// TickInterval is the period of Ticked events, 100 ms by default.
	TickInterval time.Duration
	// StoreTimeout bounds one call of the store, 2 s by default.
	StoreTimeout time.Duration
	// RetryInterval is the pause between attempts of a store call, 500 ms by default.
	RetryInterval time.Duration

	Store     objectapi.Store
	Transport Transport
	Runtime   Runtime
	Clock     clock.Clock
	Adopter   Adopter
	Hooks     Hooks
	Log       Logger
}

// Service implements View.
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
	frameReportedAt map[ids.Host]clock.Millis // when FrameFrom last told the reducer of a frame
}

// viewSnapshot is one state of the view; it is never changed.
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

// homeResult is the answer to one HomeOf.
type homeResult struct {
	member Member
	ok     bool
}

// maxCachedHomes bounds the homes that are kept for one state of the view: the journals of 370 hosts and some adopted ones.
// Every grant asks for one, and a search through 370 records with 256 adopted journals each takes 0.3 ms.
const maxCachedHomes = 4096

// homeOf returns the owner of a journal.
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

// maxCachedOrders bounds the ranks that are kept for one state of the view. The schedulers ask for the rank of
// each group ten times a second; hashing and sorting 370 hosts for 94 groups each time would exceed the
// control overhead of a host.
const maxCachedOrders = 1024

// rendezvousOrder returns the rank of a key.
func (v *viewSnapshot) rendezvousOrder(key string) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r, ok := v.orderCache[key]; ok {
		return r
	}
	r := core.RendezvousOrder(key, v.candidates)
	r = r[:len(r):len(r)]
	if len(v.orderCache) < maxCachedOrders {
		v.orderCache[key] = r
	}
	return r
}

var _ View = (*Service)(nil)

// New returns a service and registers its effect handlers; the reducer of core/membership must be in the
// runtime's state under "membership".
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

// SetAdopter sets the adopter; it is called before Start.
func (s *Service) SetAdopter(a Adopter) { s.opts.Adopter = a }

// Start takes the lease of the next incarnation, lists the members and begins to take part. It waits while
// the store cannot be reached, until ctx is done.
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

// Stop ends the background work and waits for it. It gives nothing up; see Handover.
func (s *Service) Stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Service) spawn(f func()) {
	// Stop takes the same lock, so that nothing is added to the group once it waits.
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

// startIncarnation returns the event that starts the incarnation, and the journal of the previous incarnation if it
// was adopted completely.
func (s *Service) startIncarnation(ctx context.Context) (core.Started, ids.Journal, error) {
	var started core.Started
	var previous ids.Journal
	// The process's own part of the tags tells its writes from those of any other process of the host.
	prefix := strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	started.Settings = s.opts.Settings
	started.WriteIDPrefix = prefix
	for _, step := range []func() error{
		func() error { return s.acquireLease(ctx, &started, &previous) },
		// The record is written before the members are listed: of two hosts that start at the same time, at
		// least one finds the other, and tells it of itself.
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
				return started, "", errors.Wrap(err, "start the membership")
			}
		}
	}
	return started, previous, nil
}

// acquireLease writes the lease of the next incarnation.
func (s *Service) acquireLease(ctx context.Context, out *core.Started, previous *ids.Journal) error {
	found, err := s.readLease(ctx, s.opts.Self.Name)
	if err != nil {
		return err
	}
	old, err := s.readMember(ctx, s.opts.Self.Name)
	if err != nil {
		return err
	}
	tag := out.WriteIDPrefix + "-start"
	next := found.Lease
	// The lease may have been written by an earlier attempt whose answer was lost.
	if found.Version == 0 || found.Lease.WriteID != tag {
		next = s.nextLease(found, old, tag)
		*previous = ""
		if found.Version != 0 && found.Lease.State == core.LeaseAdopted {
			*previous = found.Lease.Journal()
		}
	}
	out.SentAt = s.opts.Clock.Now()
	out.Version, err = s.putLease(ctx, next, found.Version)
	if err != nil {
		return errors.Wrap(err, "write the host lease")
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

func (s *Service) nextLease(found core.LeaseObject, old Member, tag string) core.Lease {
	if found.Version == 0 {
		return core.NextLease(s.opts.Self.Name, nil, nil, tag)
	}
	var inherited []ids.Journal
	if old.Incarnation == found.Lease.Incarnation {
		inherited = old.Adopted
	}
	return core.NextLease(s.opts.Self.Name, &found.Lease, inherited, tag)
}

// View.

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

// Suspected reports whether this host suspects another one.
func (s *Service) Suspected(h ids.Host) bool { return s.view.Load().suspected[h] }

// Epoch implements View.
func (s *Service) Epoch() uint64 { return s.view.Load().epoch }

// HomeOf implements View.
func (s *Service) HomeOf(j ids.Journal) (Member, bool) { return s.view.Load().homeOf(j) }

// RendezvousOrder implements View. The caller does not change the result.
func (s *Service) RendezvousOrder(key string) []Member { return s.view.Load().rendezvousOrder(key) }

// LeaseValid implements View.
func (s *Service) LeaseValid() bool { return int64(s.opts.Clock.Now()) < s.leaseValidUntil.Load() }

// StoreAvailable reports whether the last renewal of the lease reached the store. A lease that lapsed
// because the store is down is not a deposition.
func (s *Service) StoreAvailable() bool { return s.storeAvailable.Load() }

// Ready reports whether the host takes part: it holds or held a lease and was not deposed.
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

// Drain sets this host to draining and tells its peers: it is not ranked any more. It returns when the own
// view shows it.
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
			return errors.New("drain: this incarnation was deposed")
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		}
	}
}

// Handover gives the journal up and waits until an heir has adopted it. LeaseValid is false from the
// first write on. Without another host in state up, it waits until ctx is done.
func (s *Service) Handover(ctx context.Context) error {
	s.opts.Runtime.Publish(core.HandoverRequested{})
	select {
	case <-s.handoverDone:
		return nil
	case <-s.fenced:
		return errors.New("handover: this incarnation was deposed")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "handover")
	}
}

func (s *Service) log(name string, fields map[string]any) {
	if s.opts.Log != nil {
		s.opts.Log.Event(name, fields)
	}
}

// waitRetryInterval waits before the next attempt; false if ctx or the service has ended.
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
