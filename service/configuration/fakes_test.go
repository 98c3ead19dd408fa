package configuration_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/service/configuration"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

// fakeStore is an in-memory object store, shared by all hosts of a test.
type fakeStore struct {
	mu             sync.Mutex
	revision       objectapi.Version
	objects        map[string]objectapi.Object
	objectsChanged chan struct{} // closed and replaced at each write
	activeWatches  map[ids.Host]int
	everWatched    map[ids.Host]bool // hosts that have started a watch
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]objectapi.Object{}, objectsChanged: make(chan struct{}), activeWatches: map[ids.Host]int{}, everWatched: map[ids.Host]bool{}}
}

func (s *fakeStore) write(kind, name string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	if s.objects[key].Version != expected {
		return 0, objectapi.ErrConflict
	}
	s.revision++
	s.objects[key] = objectapi.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	close(s.objectsChanged)
	s.objectsChanged = make(chan struct{})
	return s.revision, nil
}

func (s *fakeStore) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matching []string
	for _, o := range s.objects {
		if o.Kind == kind {
			matching = append(matching, o.Name)
		}
	}
	slices.Sort(matching)
	return matching
}

// writeFault changes the effect or the result of one write to an object of a kind.
type writeFault struct {
	kind        string
	before      func() // runs before the write; may be nil
	takesEffect bool
	err         error // returned to the writer; nil returns the store's own result
}

// storeClient is the connection of one host to the store.
type storeClient struct {
	*fakeStore
	host ids.Host

	mu          sync.Mutex
	unavailable bool
	disconnect  context.CancelFunc
	connected   context.Context
	faults      []writeFault
}

func newStoreClient(s *fakeStore, host ids.Host) *storeClient {
	c := &storeClient{fakeStore: s, host: host}
	c.connected, c.disconnect = context.WithCancel(context.Background())
	return c
}

func (c *storeClient) setUnavailable(unavailable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = unavailable
	c.disconnect()
	c.connected, c.disconnect = context.WithCancel(context.Background())
}

func (c *storeClient) isUnavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unavailable
}

func (c *storeClient) writeWithFault(kind, name string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	if c.isUnavailable() {
		return 0, objectapi.ErrUnavailable
	}
	f := writeFault{takesEffect: true}
	c.mu.Lock()
	if i := slices.IndexFunc(c.faults, func(f writeFault) bool { return f.kind == kind }); i >= 0 {
		f = c.faults[i]
		c.faults = slices.Delete(c.faults, i, i+1)
	}
	c.mu.Unlock()
	if f.before != nil {
		f.before()
	}
	var version objectapi.Version
	var err error
	if f.takesEffect {
		version, err = c.write(kind, name, value, expected)
	}
	if f.err != nil {
		return 0, f.err
	}
	return version, err
}

func (c *storeClient) Create(_ context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	return c.writeWithFault(kind, name, value, 0)
}

func (c *storeClient) Update(_ context.Context, kind, name string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	return c.writeWithFault(kind, name, value, expected)
}

func (c *storeClient) Get(_ context.Context, kind, name string) (objectapi.Object, error) {
	if c.isUnavailable() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	c.fakeStore.mu.Lock()
	defer c.fakeStore.mu.Unlock()
	o, ok := c.objects[kind+"/"+name]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (c *storeClient) Delete(_ context.Context, kind, name string, _ objectapi.Version) error {
	if c.isUnavailable() {
		return objectapi.ErrUnavailable
	}
	c.fakeStore.mu.Lock()
	defer c.fakeStore.mu.Unlock()
	delete(c.objects, kind+"/"+name)
	return nil
}

func (c *storeClient) List(_ context.Context, kind, prefix string) ([]objectapi.Object, objectapi.Version, error) {
	if c.isUnavailable() {
		return nil, 0, objectapi.ErrUnavailable
	}
	c.fakeStore.mu.Lock()
	defer c.fakeStore.mu.Unlock()
	var matching []objectapi.Object
	for _, o := range c.objects {
		if o.Kind == kind && strings.HasPrefix(o.Name, prefix) {
			matching = append(matching, o)
		}
	}
	return matching, c.revision, nil
}

func (c *storeClient) Watch(ctx context.Context, kind, prefix string, after objectapi.Version) ([]objectapi.Change, objectapi.Version, error) {
	c.fakeStore.mu.Lock()
	c.activeWatches[c.host]++
	c.everWatched[c.host] = true
	c.fakeStore.mu.Unlock()
	defer func() {
		c.fakeStore.mu.Lock()
		c.activeWatches[c.host]--
		c.fakeStore.mu.Unlock()
	}()
	for {
		c.mu.Lock()
		unavailable, connected := c.unavailable, c.connected
		c.mu.Unlock()
		if unavailable {
			return nil, 0, objectapi.ErrUnavailable
		}
		c.fakeStore.mu.Lock()
		changed, revision := c.objectsChanged, c.revision
		var changes []objectapi.Change
		for _, o := range c.objects {
			if o.Kind == kind && strings.HasPrefix(o.Name, prefix) && o.Version > after {
				changes = append(changes, objectapi.Change{Object: o})
			}
		}
		c.fakeStore.mu.Unlock()
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-connected.Done():
			return nil, 0, objectapi.ErrUnavailable
		case <-changed:
		}
	}
}

// network carries messages between the hosts of a test.
type network struct {
	store       *fakeStore
	mu          sync.Mutex
	hosts       map[string]*testHost // by peer address
	partitioned map[string]bool
	members     []configuration.Host
}

type testHost struct {
	*configuration.Service
	client *storeClient
	self   configuration.Host
	net    *network
	stop   func()

	mu        sync.Mutex
	activated []uint64
}

func newNetwork(hosts ...configuration.Host) *network {
	return &network{store: newFakeStore(), hosts: map[string]*testHost{}, partitioned: map[string]bool{}, members: hosts}
}

// start starts a host. Without a data folder ("") it has no cached configuration. The prepare functions run on its
// store client before the start.
func (n *network) start(self configuration.Host, folder string, prepare ...func(*storeClient)) *testHost {
	h := &testHost{client: newStoreClient(n.store, self.Name), self: self, net: n}
	for _, fn := range prepare {
		fn(h.client)
	}
	state := core.NewState(map[string]core.Subsystem{"configuration": configstate.NewState()})
	rt := runtime.New(clock.System(), state, nil)
	h.Service = configuration.New(rt, h.client, h, h, configuration.Options{
		DataFolder:       folder,
		CacheGracePeriod: 50 * time.Millisecond, WatcherCheckInterval: 5 * time.Millisecond,
		MinBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond,
		RequestTimeout: time.Second, ApplyTimeout: 5 * time.Second,
	})
	h.Subscribe(func(c *config.Config) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.activated = append(h.activated, c.Number)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = rt.Run(ctx) })
	wg.Go(func() { _ = h.Run(ctx) })
	h.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	ginkgo.DeferCleanup(h.stop)
	n.mu.Lock()
	n.hosts[self.PeerAddress] = h
	n.mu.Unlock()
	return h
}

// setIsolated disconnects a host from its peers and the store, or reconnects it.
func (n *network) setIsolated(h *testHost, isolated bool) {
	n.setPartitioned(h.self, isolated)
	h.client.setUnavailable(isolated)
}

// setPartitioned disconnects a host from its peers, or reconnects it.
func (n *network) setPartitioned(h configuration.Host, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[h.PeerAddress] = partitioned
}

// exchangeNumbers sends the ticket number of each connected host to all others, as heartbeats do.
func (n *network) exchangeNumbers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for fromAddress, from := range n.hosts {
		for toAddress, to := range n.hosts {
			if fromAddress != toAddress && !n.partitioned[fromAddress] && !n.partitioned[toAddress] {
				to.HandlePeerNumber(fromAddress, from.TicketNumber())
			}
		}
	}
}

func (n *network) connect(from, to string) (*testHost, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.hosts[to]
	if !ok || n.partitioned[from] || n.partitioned[to] {
		return nil, errors.Newf("host %s is unreachable from %s", to, from)
	}
	return h, nil
}

// activatedNumbers returns the ticket numbers that have been in force, in order.
func (h *testHost) activatedNumbers() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.activated)
}

func (h *testHost) Self() configuration.Host                    { return h.self }
func (h *testHost) RendezvousOrder(string) []configuration.Host { return h.net.members }

func (h *testHost) Send(_ context.Context, addr string, t wire.Type, body any) error {
	to, err := h.net.connect(h.self.PeerAddress, addr)
	if err != nil {
		return err
	}
	gomega.Expect(t).To(gomega.Equal(wire.TypeTicket))
	b, err := msgpack.Marshal(body)
	if err != nil {
		return err
	}
	var p configstate.TicketPushed
	if err := msgpack.Unmarshal(b, &p); err != nil {
		return err
	}
	to.HandleTicketPush(p)
	return nil
}

func (h *testHost) Call(_ context.Context, addr string, t wire.Type, _, out any) error {
	to, err := h.net.connect(h.self.PeerAddress, addr)
	if err != nil {
		return err
	}
	gomega.Expect(t).To(gomega.Equal(wire.TypeTicketFetch))
	b, err := msgpack.Marshal(to.HandleFetch(configuration.FetchRequest{}))
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(b, out)
}
