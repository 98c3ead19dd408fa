package orders_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/config"
	coreorders "github.com/hyssopreel/hyssopreel/core/orders"
	"github.com/hyssopreel/hyssopreel/service/orders"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// fakeClock moves only when a test advances it.
type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) Now() clock.Millis       { return clock.Millis(c.now.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.now.Add(d.Milliseconds()) }

// fakeStore is an in-memory object store.
type fakeStore struct {
	objectapi.Store // Watch is not used

	mu       sync.Mutex
	revision objectapi.Version
	objects  map[string]objectapi.Object
	writes   map[string]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]objectapi.Object{}, writes: map[string]int{}}
}

func (s *fakeStore) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	return s.Update(ctx, kind, name, value, 0)
}

func (s *fakeStore) Update(_ context.Context, kind, name string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	if s.objects[key].Version != expected {
		return 0, objectapi.ErrConflict
	}
	s.revision++
	s.writes[key]++
	s.objects[key] = objectapi.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	return s.revision, nil
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) List(_ context.Context, kind, prefix string) ([]objectapi.Object, objectapi.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []objectapi.Object
	for _, o := range s.objects {
		if o.Kind == kind && strings.HasPrefix(o.Name, prefix) {
			out = append(out, o)
		}
	}
	return out, s.revision, nil
}

// storeClient is the store as one host reaches it.
type storeClient struct {
	*fakeStore
	unavailable atomic.Bool
}

func (c *storeClient) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	return c.Update(ctx, kind, name, value, 0)
}

func (c *storeClient) Update(ctx context.Context, kind, name string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	if c.unavailable.Load() {
		return 0, objectapi.ErrUnavailable
	}
	return c.fakeStore.Update(ctx, kind, name, value, expected)
}

func (c *storeClient) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if c.unavailable.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return c.fakeStore.Get(ctx, kind, name)
}

// receivedOrder is an order that an engine received.
type receivedOrder struct {
	Engine string
	Fence  uint64 `json:"fence"`
	Holder string `json:"holder"`
	coreorders.Order
	rejected bool
}

// enginePool is a pool of fake engines and the orders they received.
type enginePool struct {
	mu                 sync.Mutex
	backends           []objectapi.Backend
	states             map[string]*coreorders.EngineState
	received           []receivedOrder
	holdLoads          bool // loads don't end until finishLoads
	throttledResponses int  // number of orders that still get a 429 response
}

func newEnginePool(checks bool, names ...string) *enginePool {
	s := &enginePool{states: map[string]*coreorders.EngineState{}}
	for _, name := range names {
		s.states[name] = &coreorders.EngineState{Model: "m", Version: "v0"}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/orders/state", func(w http.ResponseWriter, _ *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = json.NewEncoder(w).Encode(s.states[name])
		})
		mux.HandleFunc("POST /v1/orders", func(w http.ResponseWriter, r *http.Request) { s.handleOrder(w, r, name, checks) })
		server := httptest.NewServer(mux)
		ginkgo.DeferCleanup(server.Close)
		s.backends = append(s.backends, objectapi.Backend{
			Name: name, Pool: "p", Kind: "engine", State: objectapi.BackendLive, ChecksFencing: checks,
			Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	return s
}

func (s *enginePool) handleOrder(w http.ResponseWriter, r *http.Request, name string, checks bool) {
	b, err := io.ReadAll(r.Body)
	o := receivedOrder{Engine: name}
	if err != nil || json.Unmarshal(b, &o) != nil {
		http.Error(w, "request body is not an order", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	switch {
	case s.throttledResponses > 0:
		s.throttledResponses--
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case checks && o.Fence < st.FencingToken:
		o.rejected = true
		s.received = append(s.received, o)
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]uint64{"fence": st.FencingToken})
		return
	}
	s.received = append(s.received, o)
	st.FencingToken = max(st.FencingToken, o.Fence)
	if s.holdLoads {
		st.Loading = true
	} else {
		st.Model, st.Version = o.Model, o.Version
	}
	w.WriteHeader(http.StatusAccepted)
}

// finishLoads ends the running loads with the given version.
func (s *enginePool) finishLoads(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdLoads = false
	for _, st := range s.states {
		if st.Loading {
			st.Loading, st.Version = false, version
		}
	}
}

func (s *enginePool) orders() []receivedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

func (s *enginePool) versions() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for name, st := range s.states {
		out[name] = st.Version
	}
	return out
}

// gatedTransport can block orders before or after it has read their bodies.
type gatedTransport struct {
	http.RoundTripper
	mu       sync.Mutex
	closed   chan struct{} // nil while orders pass
	readBody bool
	waiting  atomic.Int32
}

func (g *gatedTransport) close(readBody bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.readBody = make(chan struct{}), readBody
}

func (g *gatedTransport) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gatedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	g.mu.Lock()
	closed, readBody := g.closed, g.readBody
	g.mu.Unlock()
	if closed != nil && r.Method == http.MethodPost {
		// Simulates a frozen process, whose timeouts don't fire.
		r = r.WithContext(context.WithoutCancel(r.Context()))
		if readBody {
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return nil, err
			}
			r.Body = io.NopCloser(strings.NewReader(string(b)))
		}
		g.waiting.Add(1)
		<-closed
		g.waiting.Add(-1)
	}
	return g.RoundTripper.RoundTrip(r)
}

// host is one host with the orders role.
type host struct {
	*orders.Service
	name      ids.Host
	order     *atomic.Value // []ids.Host
	store     *storeClient
	transport *gatedTransport

	mu     sync.Mutex
	usable map[string]bool
}

func (h *host) Self() ids.Host                    { return h.name }
func (h *host) RendezvousOrder(string) []ids.Host { return h.order.Load().([]ids.Host) }

func (h *host) isUsable(worker string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usable[worker]
}

// cluster is a set of hosts with a common clock, store and pool of engines.
type cluster struct {
	clock   fakeClock
	store   *fakeStore
	engines *enginePool
	order   atomic.Value
	hosts   []*host
}

func newCluster(engines *enginePool, names ...ids.Host) *cluster {
	c := &cluster{store: newFakeStore(), engines: engines}
	c.order.Store(names)
	for _, name := range names {
		c.start(name)
	}
	return c
}

func (c *cluster) start(name ids.Host) {
	h := &host{
		name: name, order: &c.order, store: &storeClient{fakeStore: c.store},
		transport: &gatedTransport{RoundTripper: &http.Transport{}}, usable: map[string]bool{},
	}
	state := core.NewState(map[string]core.Subsystem{"orders": coreorders.NewState()})
	rt := runtime.New(&c.clock, state, nil)
	h.Service = orders.New(rt, h.store, h, orders.Hooks{
		SetWorkerUsable: func(_, worker string, _ uint64, usable bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.usable[worker] = usable
		},
	}, orders.Options{Holder: string(ids.NewJournal(name, 1)), TickInterval: time.Millisecond, Transport: h.transport})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = rt.Run(ctx) })
	wg.Go(func() { _ = h.Run(ctx) })
	ginkgo.DeferCleanup(func() { cancel(); wg.Wait() })
	h.SetConfig(configWithVersion("v1"))
	h.SetBackends(c.engines.backends)
	c.hosts = append(c.hosts, h)
}

func configWithVersion(version string) *config.Config {
	return &config.Config{Number: 1, Objects: config.Objects{Pools: map[string]*config.Pool{
		"p":   {Kind: "engine", Model: "m", Version: version, MaxRunning: 1},
		"svc": {Kind: "service", MaxRunning: 1},
	}}}
}
