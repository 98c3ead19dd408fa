package backends_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/core/sched"
	"github.com/hyssopreel/hyssopreel/service/backends"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

func TestBackends(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service/backends")
}

// fakeEngine serves the load and cache API of an engine.
type fakeEngine struct {
	*httptest.Server
	mu              sync.Mutex
	cache           map[ids.Program]int64
	lostReleases    int // number of release requests that still fail without a response
	releaseRequests int
	failing         atomic.Bool
}

func newFakeEngine() *fakeEngine {
	e := &fakeEngine{cache: map[ids.Program]int64{}}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	DeferCleanup(e.Close)
	return e
}

func (e *fakeEngine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	switch r.URL.Path {
	case "/v1/load":
		_, _ = fmt.Fprintf(w, `{"age_ms": 3, "running": 2, "waiting": 1, "cache_tokens": 50}`)
	case "/v1/cache/programs":
		programs := []map[string]any{}
		for p, n := range e.cache {
			programs = append(programs, map[string]any{"program": p, "tokens": n})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"programs": programs})
	case "/v1/cache/release":
		e.releaseRequests++
		if e.lostReleases > 0 {
			e.lostReleases--
			panic(http.ErrAbortHandler)
		}
		var body struct {
			Program ids.Program `json:"program"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		delete(e.cache, body.Program)
		_, _ = fmt.Fprint(w, `{"released_tokens": 1}`)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *fakeEngine) releaseCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.releaseRequests
}

func (e *fakeEngine) cachedPrograms() []ids.Program {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []ids.Program{}
	for p := range e.cache {
		out = append(out, p)
	}
	return out
}

// fakeLister is the platform's list of backend servers.
type fakeLister struct {
	mu          sync.Mutex
	list        []objectapi.Backend
	unavailable bool
}

func (p *fakeLister) Backends(context.Context) ([]objectapi.Backend, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return nil, errors.New("platform unreachable")
	}
	return append([]objectapi.Backend(nil), p.list...), nil
}

func (p *fakeLister) set(unavailable bool, list ...objectapi.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list, p.unavailable = list, unavailable
}

type fakeClock struct {
	base   clock.Clock
	offset atomic.Int64
}

func (c *fakeClock) Now() clock.Millis { return c.base.Now() + clock.Millis(c.offset.Load()) }

// testHost is a service that uses this host as its fake membership, runtime and peers.
type testHost struct {
	*backends.Service
	name          ids.Host
	lister        *fakeLister
	clock         *fakeClock
	mu            sync.Mutex
	firstRanked   ids.Host // first in the rendezvous order of every key
	events        []event.Event
	handler       runtime.Handler
	open          map[ids.Program]bool // missing programs are unknown
	noHome        bool
	loadingWorker string
	peers         map[ids.Host]*testHost
}

func newTestHost(name ids.Host, list *fakeLister) *testHost {
	h := &testHost{
		name: name, lister: list, clock: &fakeClock{base: clock.System()}, firstRanked: name,
		open: map[ids.Program]bool{}, peers: map[ids.Host]*testHost{},
	}
	h.Service = backends.New(backends.Options{
		Settings: backends.Settings{
			ListInterval: 20 * time.Millisecond, TickInterval: 5 * time.Millisecond, LoadPollInterval: 20 * time.Millisecond,
			ReconcileInterval: 20 * time.Millisecond, MaxListLag: time.Minute, MinReleaseBackoff: 5 * time.Millisecond,
		},
		Lister: list, View: h, Runtime: h, Peers: h, Clock: h.clock,
		Hooks: backends.Hooks{
			PoolConfig: func(string) (config.Pool, bool) {
				return config.Pool{MaxRunning: 4, CacheTokens: 100, Policy: "fair"}, true
			},
			WorkerLoading: func(w string) bool { return h.locked(func() bool { return h.loadingWorker == w }) },
			OpenPrograms:  h.openPrograms,
		},
	})
	DeferCleanup(h.Stop)
	return h
}

func (h *testHost) locked(f func() bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return f()
}

func (h *testHost) Self() membership.Member { return membership.Member{Name: h.name} }

func (h *testHost) HomeOf(ids.Journal) (membership.Member, bool) {
	return h.Self(), h.locked(func() bool { return !h.noHome })
}

func (h *testHost) RendezvousOrder(string) []membership.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return []membership.Member{{Name: h.firstRanked}}
}

func (h *testHost) Publish(e event.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *testHost) Handle(_ event.Kind, f runtime.Handler) { h.handler = f }

func (h *testHost) ExchangeNotices(ctx context.Context, to membership.Member, m backends.LeavingMessage) (backends.LeavingMessage, error) {
	return h.peers[to.Name].HandleLeavingMessage(ctx, m), nil
}

func (h *testHost) openPrograms(_ context.Context, _ membership.Member, programs []ids.Program) map[ids.Program]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[ids.Program]bool{}
	for _, p := range programs {
		if open, ok := h.open[p]; ok {
			out[p] = open
		}
	}
	return out
}

// publishedGroup returns the last published state of a group; nil before the first and after a reset.
func (h *testHost) publishedGroup(name string) *sched.GroupChanged {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last *sched.GroupChanged
	for _, e := range h.events {
		switch e := e.(type) {
		case sched.GroupChanged:
			if e.Group == name {
				last = &e
			}
		case sched.GroupReset:
			if e.Group == name {
				last = nil
			}
		}
	}
	return last
}

// usableWorkers returns a poll function of the usable workers of a group as last published.
func (h *testHost) usableWorkers(group string) func() []string {
	return func() []string {
		out := []string{}
		if g := h.publishedGroup(group); g != nil {
			for _, w := range g.Workers {
				if w.Usable {
					out = append(out, w.Name)
				}
			}
		}
		return out
	}
}

func (h *testHost) eventCount(kind event.Kind) func() int {
	return func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		n := 0
		for _, e := range h.events {
			if e.EventKind() == kind {
				n++
			}
		}
		return n
	}
}

func backend(name string, e *fakeEngine, state objectapi.BackendState) objectapi.Backend {
	return objectapi.Backend{Name: name, Pool: "lm", Kind: "engine", Address: e.Listener.Addr().String(), State: state}
}

// exchangeDigests sends the digests of all hosts to each other every 5 ms until the test ends.
func exchangeDigests(hosts ...*testHost) {
	stop := make(chan struct{})
	done := make(chan struct{})
	for _, a := range hosts {
		for _, b := range hosts {
			a.peers[b.name] = b
		}
	}
	go func() {
		defer close(done)
		t := time.NewTicker(5 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				for _, a := range hosts {
					for _, b := range hosts {
						if a != b {
							a.HandleLeavingDigest(b.Self(), b.LeavingDigest())
						}
					}
				}
			}
		}
	}()
	DeferCleanup(func() { close(stop); <-done })
}

var _ = Describe("Backends", func() {
	var (
		e1, e2 *fakeEngine
		list   *fakeLister
	)
	const live, leaving = objectapi.BackendLive, objectapi.BackendLeaving
	BeforeEach(func() {
		e1, e2 = newFakeEngine(), newFakeEngine()
		list = &fakeLister{}
		list.set(false, backend("w1", e1, live), backend("w2", e2, live))
	})

	It("publishes workers, ticks and reports of a group", func() { // guards against a scheduler without reports of its workers
		h := newTestHost("a", list)
		h.Start()
		Eventually(h.usableWorkers("lm/0")).Should(Equal([]string{"w1", "w2"}))
		Expect(h.publishedGroup("lm/0").Workers[0]).To(Equal(sched.Worker{Name: "w1", Usable: true, MaxRunning: 4, CacheCapacityTokens: 100}))
		Expect(h.publishedGroup("lm/0").Policy).To(Equal("fair"))
		Eventually(h.eventCount(sched.KindTicked)).Should(BeNumerically(">", 3))
		Eventually(h.eventCount(sched.KindLoadReported)).Should(BeNumerically(">", 1))
		Eventually(h.eventCount(sched.KindCacheReported)).Should(BeNumerically(">", 1))
		Expect(h.eventCount(sched.KindGroupChanged)()).To(Equal(1))
		Expect(h.Backends()[0].Running).To(Equal(2))
		Expect(h.Backends()[0].CacheTokens).To(BeEquivalentTo(50))
	})

	It("resets a group that another host schedules", func() { // guards against two schedulers of one group
		h := newTestHost("a", list)
		h.Start()
		Eventually(h.usableWorkers("lm/0")).Should(HaveLen(2))
		h.mu.Lock()
		h.firstRanked = "b"
		h.mu.Unlock()
		Eventually(h.eventCount(sched.KindGroupReset)).Should(Equal(1))
		ticks := h.eventCount(sched.KindTicked)()
		Consistently(h.eventCount(sched.KindTicked), "50ms").Should(Equal(ticks))
	})

	It("splits a pool into groups of at most 64 workers by name", func() { // guards against groups that differ between hosts
		var all []objectapi.Backend
		for i := range 130 {
			all = append(all, objectapi.Backend{Name: fmt.Sprintf("s%03d", 129-i), Pool: "app", Kind: "service", State: live})
		}
		list.set(false, all...)
		h := newTestHost("a", list)
		h.Start()
		Eventually(func() []string { return h.GroupNames("app") }).Should(Equal([]string{"app/0", "app/1", "app/2"}))
		Eventually(h.usableWorkers("app/2")).Should(Equal([]string{"s128", "s129"}))
		Eventually(h.usableWorkers("app/0")).Should(HaveLen(64))
	})

	It("applies a leaving notice of a peer while its own list lags", func() { // guards against new calls to a leaving worker
		lagging := &fakeLister{}
		lagging.set(false, backend("w1", e1, live), backend("w2", e2, live))
		a, b := newTestHost("a", list), newTestHost("b", lagging)
		a.Start()
		b.Start()
		Eventually(b.usableWorkers("lm/0")).Should(HaveLen(2))
		exchangeDigests(a, b)
		list.set(false, backend("w1", e1, leaving), backend("w2", e2, live))
		Eventually(b.usableWorkers("lm/0"), "2s").Should(Equal([]string{"w2"}))
		Consistently(b.usableWorkers("lm/0"), "100ms").Should(Equal([]string{"w2"}))
		w, _ := b.Backend("w1")
		Expect(w.State).To(Equal(leaving))
		// The worker has returned once both lists show it as live for longer than they lag.
		list.set(false, backend("w1", e1, live), backend("w2", e2, live))
		Eventually(func() uint64 {
			a.clock.offset.Add(61_000)
			b.clock.offset.Add(61_000)
			return a.LeavingDigest() + b.LeavingDigest()
		}, "3s", "50ms").Should(BeZero())
		Eventually(b.usableWorkers("lm/0"), "3s").Should(HaveLen(2))
	})

	It("sends leaving notices to a host that cannot reach the platform", func() { // guards against calls from that host to a removed worker
		cutLister := &fakeLister{}
		cutLister.set(false, backend("w1", e1, live), backend("w2", e2, live))
		a, cut := newTestHost("a", list), newTestHost("cut", cutLister)
		a.Start()
		cut.Start()
		Eventually(cut.usableWorkers("lm/0")).Should(HaveLen(2))
		cutLister.set(true)
		exchangeDigests(a, cut)
		list.set(false, backend("w1", e1, leaving), backend("w2", e2, live))
		Eventually(cut.usableWorkers("lm/0"), "2s").Should(Equal([]string{"w2"}))
		// The worker is removed from the list; the digests become equal again, and the cut-off host still doesn't
		// use it.
		list.set(false, backend("w2", e2, live))
		Eventually(func() bool { return a.LeavingDigest() == 0 && cut.LeavingDigest() == 0 }, "4s").Should(BeTrue())
		Expect(cut.usableWorkers("lm/0")()).To(Equal([]string{"w2"}))
	})

	It("reports a loading worker as not usable", func() { // guards against calls to an engine that loads a model
		h := newTestHost("a", list)
		h.Start()
		Eventually(h.usableWorkers("lm/0")).Should(HaveLen(2))
		h.mu.Lock()
		h.loadingWorker = "w2"
		h.mu.Unlock()
		Eventually(h.usableWorkers("lm/0")).Should(Equal([]string{"w1"}))
		Expect(h.Backends()[1].State).To(Equal("loading"))
	})

	It("reports an unreachable worker as not usable until it responds again", func() { // guards against calls to a failed engine
		h := newTestHost("a", list)
		h.Start()
		Eventually(h.usableWorkers("lm/0")).Should(HaveLen(2))
		e1.failing.Store(true)
		Eventually(h.usableWorkers("lm/0")).Should(Equal([]string{"w2"}))
		Expect(h.Backends()[0].State).To(Equal("unreachable"))
		e1.failing.Store(false)
		Eventually(h.usableWorkers("lm/0")).Should(Equal([]string{"w1", "w2"}))
	})

	It("repeats a release until the worker confirms it", func() { // guards against cache of an ended program that stays in use
		e1.mu.Lock()
		e1.cache["a.1-1"], e1.lostReleases = 10, 3
		e1.mu.Unlock()
		h := newTestHost("a", list)
		h.mu.Lock()
		h.open["a.1-1"] = true // reconciliation does not release it
		h.mu.Unlock()
		h.Start()
		h.handler(0, sched.ReleaseCache{Group: "lm/0", Worker: "w1", Program: "a.1-1"})
		confirmed := make(chan struct{})
		h.ReleaseCache("w1", "a.1-1", func() { close(confirmed) })
		Eventually(confirmed).Should(BeClosed())
		Expect(e1.cachedPrograms()).To(BeEmpty())
		Expect(e1.releaseCount()).To(Equal(4))
		Eventually(h.PendingReleases).Should(BeZero())
	})

	It("ends a release when the worker is no longer listed", func() { // guards against releases that are repeated without end
		e1.failing.Store(true)
		h := newTestHost("a", list)
		h.Start()
		Eventually(h.usableWorkers("lm/0")).ShouldNot(BeEmpty())
		h.ReleaseCache("w1", "a.1-1", nil)
		Consistently(h.PendingReleases, "50ms").Should(Equal(1))
		list.set(false, backend("w2", e2, live))
		Eventually(h.PendingReleases).Should(BeZero())
	})

	It("releases the cache of ended programs only", func() { // guards against lost releases and against evicting open programs
		e1.mu.Lock()
		e1.cache["a.1-1"], e1.cache["a.1-2"], e1.cache["a.1-3"], e1.cache["foreign"] = 1, 1, 1, 1
		e1.mu.Unlock()
		h := newTestHost("a", list)
		h.mu.Lock()
		h.open["a.1-1"], h.open["a.1-2"] = false, true // a.1-3 is unknown: its home did not respond
		h.mu.Unlock()
		h.Start()
		Eventually(e1.cachedPrograms).Should(ConsistOf(ids.Program("a.1-2"), ids.Program("a.1-3"), ids.Program("foreign")))
		reports := h.eventCount(sched.KindCacheReported)()
		Eventually(h.eventCount(sched.KindCacheReported)).Should(BeNumerically(">", reports+20))
		Expect(e1.cachedPrograms()).To(HaveLen(3))
	})

	It("releases the cache of programs whose home stays unknown", func() { // guards against cache that no host releases
		e1.mu.Lock()
		e1.cache["z.1-1"] = 1
		e1.mu.Unlock()
		h := newTestHost("a", list)
		h.noHome = true
		h.Start()
		Eventually(e1.cachedPrograms).Should(BeEmpty())
	})
})
