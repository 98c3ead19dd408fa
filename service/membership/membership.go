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
	// Rank returns the hosts in state up that are not suspected by rendezvous hash, best first. The result is
	// shared and not to be changed.
	Rank(key string) []Member
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

// Queue is the part of the runtime that the service uses.
type Queue interface {
	Publish(ev event.Event)
	Handle(k event.Kind, h runtime.Handler)
}

// Logger takes log events.
type Logger interface {
	Event(name string, fields map[string]any)
}

// Hooks connect the heartbeats with other packages. Nil functions are not called.
type Hooks struct {
	// Ticket returns the number of the configuration in force; TicketHeard reports a peer's.
	Ticket         func() uint64
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
	// TickEvery is the period of Ticked events, 100 ms by default.
	TickEvery time.Duration
	// StoreTimeout bounds one call of the store, 2 s by default.
	StoreTimeout time.Duration
	// RetryEvery is the pause between attempts of a store call, 500 ms by default.
	RetryEvery time.Duration

	Store     objectapi.Store
	Transport Transport
	Queue     Queue
	Clock     clock.Clock
	Adopter   Adopter
	Hooks     Hooks
	Log       Logger
}

// Service implements View.
type Service struct {
	o          Options
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	view       atomic.Pointer[snapshot]
	validUntil atomic.Int64
	version    atomic.Uint64
	storeUp    atomic.Bool
	ready      atomic.Bool
	writer     memberWriter

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change of the view
	handedOver chan struct{}
	fenced     chan struct{}
	frames     map[ids.Host]clock.Millis // when FrameFrom last told the reducer of a frame
}

// snapshot is one state of the view; it is never changed.
type snapshot struct {
	self      Member
	members   []Member
	suspected map[ids.Host]bool
	ranked    []Member // in state up and not suspected
	digest    uint64
	epoch     uint64

	mu    sync.Mutex
	ranks map[string][]Member
	homes map[ids.Journal]home
}

// home is the answer to one HomeOf.
type home struct {
	member Member
	ok     bool
}

// maxHomes bounds the homes that are kept for one state of the view: the journals of 370 hosts and some adopted ones.
// Every grant asks for one, and a search through 370 records with 256 adopted journals each takes 0.3 ms.
const maxHomes = 4096

// home returns the owner of a journal.
func (v *snapshot) home(j ids.Journal) (Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if h, ok := v.homes[j]; ok {
		return h.member, h.ok
	}
	m, ok := core.Home(j, v.members)
	if len(v.homes) < maxHomes {
		v.homes[j] = home{m, ok}
	}
	return m, ok
}

// maxRanks bounds the ranks that are kept for one state of the view. The schedulers ask for the rank of
// each group ten times a second; hashing and sorting 370 hosts for 94 groups each time would exceed the
// control overhead of a host.
const maxRanks = 1024

// rank returns the rank of a key.
func (v *snapshot) rank(key string) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r, ok := v.ranks[key]; ok {
		return r
	}
	r := core.RendezvousOrder(key, v.ranked)
	r = r[:len(r):len(r)]
	if len(v.ranks) < maxRanks {
		v.ranks[key] = r
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
	}{{&o.TickEvery, 100 * time.Millisecond}, {&o.StoreTimeout, 2 * time.Second}, {&o.RetryEvery, 500 * time.Millisecond}} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	s := &Service{o: o, frames: map[ids.Host]clock.Millis{}, changed: make(chan struct{}), handedOver: make(chan struct{}), fenced: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.writer = memberWriter{pending: map[ids.Host]Member{}, wake: make(chan struct{}, 1)}
	s.setView(Member{
		Name: o.Self.Name, FailureDomain: o.Self.FailureDomain, Region: o.Self.Region,
		HTTPAddress: o.Self.HTTPAddress, PeerAddress: o.Self.PeerAddress,
	}, nil, nil)
	s.handlers()
	return s
}

// SetAdopter sets the adopter; it is called before Start.
func (s *Service) SetAdopter(a Adopter) { s.o.Adopter = a }

// Start takes the lease of the next incarnation, lists the members and begins to take part. It waits while
// the store cannot be reached, until ctx is done.
func (s *Service) Start(ctx context.Context) error {
	started, previous, err := s.acquire(ctx)
	if err != nil {
		return err
	}
	s.storeUp.Store(true)
	s.validUntil.Store(int64(started.SentAt.Add(s.o.Settings.LeaseDuration)))
	s.setView(started.Self, append([]Member{started.Self}, started.Members...), nil)
	s.log("lease_acquired", map[string]any{"journal": started.Self.Journal})
	s.o.Queue.Publish(started)
	s.ready.Store(true)
	s.spawn(s.ticks)
	s.spawn(s.writeMembers)
	if previous != "" && s.o.Hooks.DeleteJournal != nil {
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

func (s *Service) ticks() {
	t := time.NewTicker(s.o.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			s.o.Queue.Publish(core.Ticked{Random: rand.Uint32()})
		}
	}
}

// acquire returns the event that starts the incarnation, and the journal of the previous incarnation if it
// was adopted completely.
func (s *Service) acquire(ctx context.Context) (core.Started, ids.Journal, error) {
	var started core.Started
	var previous ids.Journal
	// The process's own part of the tags tells its writes from those of any other process of the host.
	prefix := strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	started.Settings = s.o.Settings
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
			if !s.pause(ctx) {
				return started, "", errors.Wrap(err, "start the membership")
			}
		}
	}
	return started, previous, nil
}

// acquireLease writes the lease of the next incarnation.
func (s *Service) acquireLease(ctx context.Context, out *core.Started, previous *ids.Journal) error {
	found, err := s.readLease(ctx, s.o.Self.Name)
	if err != nil {
		return err
	}
	old, err := s.readMember(ctx, s.o.Self.Name)
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
	out.SentAt = s.o.Clock.Now()
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
	objects, _, err := call2(s, ctx, func(ctx context.Context) ([]objectapi.Object, objectapi.Version, error) {
		return s.o.Store.List(ctx, objectapi.KindMember, "")
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
		if m.Name != s.o.Self.Name {
			out.Members = append(out.Members, m)
		}
	}
	return nil
}

func (s *Service) nextLease(found core.LeaseObject, old Member, tag string) core.Lease {
	if found.Version == 0 {
		return core.NextLease(s.o.Self.Name, nil, nil, tag)
	}
	var inherited []ids.Journal
	if old.Incarnation == found.Lease.Incarnation {
		inherited = old.Adopted
	}
	return core.NextLease(s.o.Self.Name, &found.Lease, inherited, tag)
}

// View.

func (s *Service) setView(self Member, members []Member, suspected []ids.Host) {
	v := &snapshot{self: self, members: members, suspected: map[ids.Host]bool{}, ranks: map[string][]Member{}, homes: map[ids.Journal]home{}}
	for _, h := range suspected {
		v.suspected[h] = true
	}
	for _, m := range members {
		if m.Name == self.Name {
			v.self = m
		}
		if m.State == core.StateUp && !v.suspected[m.Name] {
			v.ranked = append(v.ranked, m)
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
func (s *Service) HomeOf(j ids.Journal) (Member, bool) { return s.view.Load().home(j) }

// Rank implements View. The caller does not change the result.
func (s *Service) Rank(key string) []Member { return s.view.Load().rank(key) }

// LeaseValid implements View.
func (s *Service) LeaseValid() bool { return int64(s.o.Clock.Now()) < s.validUntil.Load() }

// StoreReachable reports whether the last renewal of the lease reached the store. A lease that lapsed
// because the store is down is not a deposition.
func (s *Service) StoreReachable() bool { return s.storeUp.Load() }

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
	s.o.Queue.Publish(core.DrainRequested{})
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
	s.o.Queue.Publish(core.HandoverRequested{})
	select {
	case <-s.handedOver:
		return nil
	case <-s.fenced:
		return errors.New("handover: this incarnation was deposed")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "handover")
	}
}

func (s *Service) log(name string, fields map[string]any) {
	if s.o.Log != nil {
		s.o.Log.Event(name, fields)
	}
}

// pause waits before the next attempt; false if ctx or the service has ended.
func (s *Service) pause(ctx context.Context) bool {
	t := time.NewTimer(s.o.RetryEvery)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return false
}
