package membership_test

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core"
	coremembership "github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/service/membership"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service/membership")
}

// fakeStore is an object API in memory.
type fakeStore struct {
	mu          sync.Mutex
	rev         objectapi.Version
	objects     map[string]objectapi.Object
	unavailable atomic.Bool
	// loseAnswer reports whether a write to "<kind>/<name>" takes effect and returns ErrOutcomeUnknown.
	loseAnswer func(key string) bool
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]objectapi.Object{}} }

func (f *fakeStore) Get(_ context.Context, kind, name string) (objectapi.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	o, ok := f.objects[kind+"/"+name]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (f *fakeStore) write(kind, name string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := kind + "/" + name
	if f.unavailable.Load() {
		return 0, objectapi.ErrUnavailable
	}
	if f.objects[key].Version != expected {
		return 0, objectapi.ErrConflict
	}
	f.rev++
	f.objects[key] = objectapi.Object{Kind: kind, Name: name, Version: f.rev, Value: value}
	if f.loseAnswer != nil && f.loseAnswer(key) {
		return 0, objectapi.ErrOutcomeUnknown
	}
	return f.rev, nil
}

func (f *fakeStore) Create(_ context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	return f.write(kind, name, value, 0)
}

func (f *fakeStore) Update(_ context.Context, kind, name string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	return f.write(kind, name, value, expected)
}

func (f *fakeStore) Delete(context.Context, string, string, objectapi.Version) error { return nil }

func (f *fakeStore) List(_ context.Context, kind, prefix string) ([]objectapi.Object, objectapi.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable.Load() {
		return nil, 0, objectapi.ErrUnavailable
	}
	var out []objectapi.Object
	for _, o := range f.objects {
		if o.Kind == kind && strings.HasPrefix(o.Name, prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, f.rev, nil
}

func (f *fakeStore) Watch(context.Context, string, string, objectapi.Version) ([]objectapi.Change, objectapi.Version, error) {
	return nil, 0, errors.New("not used")
}

func (f *fakeStore) lease(h string) coremembership.Lease {
	var l coremembership.Lease
	o, err := f.Get(context.Background(), objectapi.KindLease, h)
	if err == nil {
		_ = json.Unmarshal(o.Value, &l)
	}
	return l
}

// network connects the services of one test.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
}

type host struct {
	*membership.Service
	net     *network
	frozen  atomic.Bool // receives and sends no frames
	clock   *fakeClock
	cancel  context.CancelFunc
	adopted chan ids.Journal
	fenced  chan string
}

func (h *host) Adopt(_ context.Context, j ids.Journal) error {
	h.adopted <- j
	return nil
}

func (h *host) Fenced(reason string) { h.fenced <- reason }

// fakeClock is the system clock plus an offset.
type fakeClock struct {
	base   clock.Clock
	offset atomic.Int64
}

func (c *fakeClock) Now() clock.Millis { return c.base.Now() + clock.Millis(c.offset.Load()) }

func (h *host) peer(addr string) (*host, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	p := h.net.hosts[addr]
	if p == nil || p.frozen.Load() || h.frozen.Load() {
		return nil, errors.Newf("no connection to %q", addr)
	}
	return p, nil
}

func roundTrip(in, out any) {
	b, err := msgpack.Marshal(in)
	if err == nil {
		err = msgpack.Unmarshal(b, out)
	}
	if err != nil {
		panic(err)
	}
}

func (h *host) Send(ctx context.Context, addr string, t wire.Type, body any) error {
	return h.Call(ctx, addr, t, body, nil)
}

func (h *host) Call(ctx context.Context, addr string, t wire.Type, body, out any) error {
	p, err := h.peer(addr)
	if err != nil {
		return err
	}
	var response any
	switch t {
	case wire.TypeHeartbeat:
		var heartbeat coremembership.Heartbeat
		roundTrip(body, &heartbeat)
		response = p.HandleHeartbeat(ctx, heartbeat)
	case wire.TypeMembership:
		var m membership.MemberMessage
		roundTrip(body, &m)
		response = p.HandleMember(ctx, m)
	case wire.TypeHandover:
		var m membership.HandoverMessage
		roundTrip(body, &m)
		p.HandleHandover(ctx, m)
	}
	if out != nil {
		roundTrip(response, out)
	}
	return nil
}

// fastSettings are a twentieth of the defaults, so that leases expire within a test.
var fastSettings = coremembership.Settings{
	LeaseDuration: 300 * time.Millisecond, RenewInterval: 100 * time.Millisecond, HeartbeatInterval: 25 * time.Millisecond,
	SuspicionTimeout: 150 * time.Millisecond, SuccessorDelay: 50 * time.Millisecond,
}

func newHost(net *network, store objectapi.Store, name string, settings coremembership.Settings) *host {
	h := &host{net: net, clock: &fakeClock{base: clock.System()}, adopted: make(chan ids.Journal, 100), fenced: make(chan string, 1)}
	rt := runtime.New(h.clock, core.NewState(map[string]core.Subsystem{"membership": coremembership.New()}), nil)
	h.Service = membership.New(membership.Options{
		Self:     membership.Member{Name: ids.Host(name), PeerAddress: name, FailureDomain: "fd"},
		Settings: settings, TickInterval: 10 * time.Millisecond, RetryInterval: 10 * time.Millisecond,
		Store: store, Transport: h, Runtime: rt, Clock: h.clock, Adopter: h,
	})
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	go func() { _ = rt.Run(ctx) }()
	net.mu.Lock()
	net.hosts[name] = h
	net.mu.Unlock()
	DeferCleanup(h.kill)
	return h
}

func (h *host) start() *host {
	GinkgoHelper()
	Expect(h.Start(context.Background())).To(Succeed())
	return h
}

// kill ends a host without a handover.
func (h *host) kill() {
	h.frozen.Store(true)
	h.Stop()
	h.cancel()
}

var _ = Describe("Service", func() {
	var (
		store *fakeStore
		net   *network
	)
	BeforeEach(func() {
		store = newFakeStore()
		net = &network{hosts: map[string]*host{}}
	})
	startThreeHosts := func() (a, b, c *host) {
		GinkgoHelper()
		a = newHost(net, store, "a", fastSettings).start()
		b = newHost(net, store, "b", fastSettings).start()
		c = newHost(net, store, "c", fastSettings).start()
		for _, h := range []*host{a, b, c} {
			Eventually(h.Members).Should(HaveLen(3))
		}
		return a, b, c
	}

	It("waits for the store at start and is not ready before", func() { // guards against a host that serves without a lease
		store.unavailable.Store(true)
		h := newHost(net, store, "a", fastSettings)
		done := make(chan error, 1)
		go func() { done <- h.Start(context.Background()) }()
		Consistently(h.Ready, "100ms").Should(BeFalse())
		store.unavailable.Store(false)
		Eventually(done).Should(Receive(BeNil()))
		Expect(h.Ready()).To(BeTrue())
		Expect(h.Self().Journal).To(Equal(ids.Journal("a.1")))
		Eventually(func() int {
			o, _, _ := store.List(context.Background(), objectapi.KindMember, "")
			return len(o)
		}).Should(Equal(1))
	})

	It("starts one incarnation when the response to its first write is lost", func() { // guards against skipped incarnations that no host adopts
		var once sync.Once
		store.loseAnswer = func(key string) (lost bool) {
			if key == "leases/a" {
				once.Do(func() { lost = true })
			}
			return lost
		}
		h := newHost(net, store, "a", fastSettings).start()
		Expect(h.Self().Journal).To(Equal(ids.Journal("a.1")))
		Expect(store.lease("a").EarlierClaims).To(BeEmpty())
	})

	It("reports an expired lease at the first call after a freeze", func() { // guards against effects of a process that was frozen
		longLease := coremembership.Settings{LeaseDuration: time.Hour, RenewInterval: 30 * time.Minute}
		h := newHost(net, store, "a", longLease).start()
		Expect(h.LeaseValid()).To(BeTrue())
		store.unavailable.Store(true)
		h.clock.offset.Store(time.Hour.Milliseconds())
		Expect(h.LeaseValid()).To(BeFalse())
	})

	It("does not fence a host whose lease expires in an outage", func() { // guards against hosts that drop their programs in an outage
		a, b, c := startThreeHosts()
		store.unavailable.Store(true)
		Eventually(a.LeaseValid).Should(BeFalse())
		Expect(a.StoreAvailable()).To(BeFalse())
		store.unavailable.Store(false)
		for _, h := range []*host{a, b, c} {
			Eventually(h.LeaseValid).Should(BeTrue())
			Consistently(h.fenced, "200ms").ShouldNot(Receive())
			Expect(h.adopted).To(BeEmpty())
		}
	})

	It("keeps its lease when responses to renewals are lost", func() { // guards against a host that is fenced by its own write
		h := newHost(net, store, "a", fastSettings).start()
		var lost atomic.Int64
		store.mu.Lock()
		store.loseAnswer = func(key string) bool { return key == "leases/a" && lost.Add(1)%2 == 1 }
		store.mu.Unlock()
		Eventually(lost.Load).Should(BeNumerically(">", 6))
		Consistently(h.fenced, "100ms").ShouldNot(Receive())
		Eventually(h.LeaseValid).Should(BeTrue())
	})

	It("has one host adopt the journal of a killed host, and all hosts report it as home", func() { // guards against double takeovers
		a, b, c := startThreeHosts()
		c.kill()
		var successor, other *host
		Eventually(func() bool {
			switch {
			case len(a.adopted) > 0:
				successor, other = a, b
			case len(b.adopted) > 0:
				successor, other = b, a
			}
			return successor != nil
		}, "5s").Should(BeTrue())
		Expect(successor.adopted).To(Receive(Equal(ids.Journal("c.1"))))
		for _, h := range []*host{a, b} {
			Eventually(func() ids.Host {
				m, _ := h.HomeOf("c.1")
				return m.Name
			}).Should(Equal(successor.Self().Name))
		}
		Eventually(func() coremembership.LeaseState { return store.lease("c").State }).Should(Equal(coremembership.LeaseAdopted))
		Consistently(other.adopted, "200ms").ShouldNot(Receive())
		for _, m := range a.RendezvousOrder("k") {
			Expect(m.Name).NotTo(Equal(ids.Host("c")))
		}
	})

	It("reports to the home that its incarnation was fenced", func() { // guards against two homes of a program after a freeze
		_, _, c := startThreeHosts()
		// Another process with the same name becomes the next incarnation.
		newHost(net, store, "c", fastSettings).start()
		Eventually(c.fenced).Should(Receive())
		Expect(c.LeaseValid()).To(BeFalse())
		Expect(c.Ready()).To(BeFalse())
	})

	It("lets one of two hosts win a claim when responses are lost", func() { // guards against a claim that no host recognizes as its own
		a, b, c := startThreeHosts()
		store.mu.Lock()
		store.loseAnswer = func(key string) bool { return key == "leases/c" }
		store.mu.Unlock()
		c.kill()
		Eventually(func() int { return len(a.adopted) + len(b.adopted) }, "5s").Should(Equal(1))
		Consistently(func() int { return len(a.adopted) + len(b.adopted) }, "300ms").Should(Equal(1))
	})

	It("drains and hands its journal over", func() { // guards against a shutdown that waits for the lease to expire
		a, b, c := startThreeHosts()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(c.Drain(ctx)).To(Succeed())
		for _, h := range []*host{a, b} {
			Eventually(func() int { return len(h.RendezvousOrder("k")) }).Should(Equal(2))
		}
		Expect(c.LeaseValid()).To(BeTrue())
		Expect(c.Handover(ctx)).To(Succeed())
		Expect(c.LeaseValid()).To(BeFalse())
		Expect(len(a.adopted) + len(b.adopted)).To(Equal(1))
		Expect(c.fenced).To(BeEmpty())
	})
})
