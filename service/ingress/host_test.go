package ingress_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/service/ingress"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

// nextPort counts up from firstPort, which is below the range from which the kernel takes the ports of outgoing connections.
var nextPort atomic.Int32

// firstPort differs between processes: hosts of two test processes that used the same addresses one after the other would
// exchange heartbeats.
var firstPort = 21000 + os.Getpid()%11*1000

// freeAddress returns a loopback address on which nothing listens, a different one on each call.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+int(nextPort.Add(1)))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// storeGate forwards the calls of one host to the store; while it is closed, the store is unavailable to that host.
type storeGate struct {
	store  http.Handler
	closed atomic.Bool
	calls  atomic.Int64
	// silence is closed at the end of a time in which no call is answered; nil while calls are.
	silence atomic.Pointer[chan struct{}]
}

// setSilent begins or ends a time in which no call is answered. Calls that still wait are answered at its end.
func (g *storeGate) setSilent(silent bool) {
	if silent {
		silence := make(chan struct{})
		g.silence.Store(&silence)
	} else if silence := g.silence.Swap(nil); silence != nil {
		close(*silence)
	}
}

// awaitEnd waits until the end of the silence or of ctx.
func (g *storeGate) awaitEnd(ctx context.Context) {
	if silence := g.silence.Load(); silence != nil {
		select {
		case <-*silence:
		case <-ctx.Done():
		}
	}
}

func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Add(1)
	if g.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.awaitEnd(r.Context())
	answer := httptest.NewRecorder()
	g.store.ServeHTTP(answer, r)
	g.awaitEnd(r.Context())
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// runningHost is an entry host that runs in the test's process.
type runningHost struct {
	*testIngress
	settings *settings.EntryHost
	gate     *storeGate
	stop     context.CancelFunc
	done     chan error
}

func startHost(store *objects.Store, name string, seeds ...string) *runningHost {
	return startHostWith(store, name, func(*settings.EntryHost) {}, seeds...)
}

// startHostWith is startHost with settings that change has changed.
func startHostWith(store *objects.Store, name string, change func(*settings.EntryHost), seeds ...string) *runningHost {
	gate := &storeGate{store: store}
	storeServer := httptest.NewServer(gate)
	DeferCleanup(storeServer.CloseClientConnections)
	s := &settings.EntryHost{}
	s.Host.Name, s.Host.FailureDomain, s.Host.Region = name, name[:1], "r"
	s.Listen.Callers, s.Listen.Ready, s.Listen.Directory = freeAddress(), freeAddress(), freeAddress()
	s.Listen.Peer, s.Listen.Metrics = freeAddress(), freeAddress()
	s.Platform.Address = storeServer.Listener.Addr().String()
	s.Platform.Timeout, s.Platform.MaxWatchWait, s.Platform.ListInterval = 500*time.Millisecond, 20*time.Second, 800*time.Millisecond
	s.Limits.MemoryBytes = 128 << 20
	s.Shutdown.GracePeriod = time.Second
	s.Seeds.Peers = seeds
	change(s)
	ctx, stop := context.WithCancel(context.Background())
	host := &runningHost{testIngress: &testIngress{address: s.Listen.Callers}, settings: s, gate: gate, stop: stop, done: make(chan error, 1)}
	go func() { host.done <- ingress.NewHost(s, platform.NewAdapter(s), nil).Run(ctx) }()
	DeferCleanup(func() {
		Eventually(host.done, "15s").Should(Receive(BeNil()))
	})
	return host
}

// startHosts starts hosts with these names and waits until all of them are in the directory.
func startHosts(store *objects.Store, names ...string) []*runningHost {
	var hosts []*runningHost
	for _, name := range names {
		hosts = append(hosts, startHost(store, name))
	}
	// All are stopped before startHost's cleanup waits for the first one.
	DeferCleanup(func() {
		for _, h := range hosts {
			h.stop()
		}
	})
	for _, h := range hosts {
		Eventually(h.ready, "5s").Should(BeTrue())
		Eventually(h.directory, "5s").Should(HaveLen(len(names)))
	}
	return hosts
}

func (r *runningHost) ready() bool {
	resp, err := http.Get("http://" + r.settings.Listen.Ready + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (r *runningHost) directory() []string {
	resp, err := http.Get("http://" + r.settings.Listen.Directory + "/resolve?name=h&region=r&zone=x")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var result struct{ Addresses []string }
	_ = json.NewDecoder(resp.Body).Decode(&result)
	return result.Addresses
}

func putConfig(store *objects.Store, version int) {
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 5000, "service": "s", "resumable": true, "retentionS": 60}
	}
	store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version, "routes": []any{route("turns", "streaming"), route(fmt.Sprintf("v%d", version), "idempotent")},
		"services": []any{map[string]any{"name": "s", "maxConns": 100, "engine": map[string]any{"strideTokens": 10}}},
	})
}

func putServer(store *objects.Store, b *backend, state string) {
	store.Put(platform.KindServers, b.id, map[string]any{"service": "s", "address": b.address, "zone": "a", "slots": 16, "state": state})
}

// turn sends one turn of a program with a budget of 580 tokens; it reserves 290 tokens and uses 200. It returns the
// status.
func (r *runningHost) turn(program, attempt string) int {
	return r.call("POST", "/turns/", "", "Hyssopreel-Attempt-Id", attempt, "Hyssopreel-Program-Id", program,
		"Hyssopreel-Session-Id", "s", "Hyssopreel-Token-Budget", "580", "Hyssopreel-Token-Count", "100,290").status
}

// fleetHosts returns the hosts for fleet.RendezvousOrder, with their names only.
func fleetHosts(hosts []*runningHost) []fleet.Host {
	var out []fleet.Host
	for _, h := range hosts {
		out = append(out, fleet.Host{Name: h.settings.Host.Name})
	}
	return out
}

var _ = Describe("Hosts that run together", func() {
	var store *objects.Store
	var b *backend
	var hosts []*runningHost

	BeforeEach(func() {
		store = objects.New()
		b = newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 20) })
		putConfig(store, 1)
		putServer(store, b, "ready")
		hosts = startHosts(store, "a-1", "b-1", "c-1")
	})

	// programsAtHome returns a function that returns other programs of one home at each call.
	programsAtHome := func(home *runningHost, prefix string) func() string {
		n := 0
		return func() string {
			for ; ; n++ {
				name := fmt.Sprintf("%s-%d", prefix, n)
				if fleet.RendezvousOrder(fleetHosts(hosts), name)[0].Name == home.settings.Host.Name {
					n++
					return name
				}
			}
		}
	}

	// awaitFounders waits until new programs of all homes need no record: the hosts that start have made a generation.
	awaitFounders := func() {
		for _, home := range hosts {
			nextWarmup := programsAtHome(home, "warm")
			Eventually(func() bool {
				name := nextWarmup()
				Expect(hosts[1].turn(name, name)).To(Equal(200))
				return slices.Contains(store.Names(ingress.KindBudgets), name)
			}, "8s", "200ms").Should(BeFalse())
		}
	}

	// Guards against programs that exceed their budget by sending turns through several hosts.
	It("keep a program within its budget, whichever hosts it uses", func() {
		allowed := 0
		for i := range 12 {
			if hosts[i%3].turn("p", fmt.Sprintf("t%d", i)) == 200 {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("<=", 4), "4 turns of 200 tokens are within 580 and one turn of 290")
		Expect(allowed).To(BeNumerically(">=", 2))
		// The refusal is temporary until the hosts, which have just started, know that none of them can have used more.
		attempt := 0
		Eventually(func() int {
			attempt++
			status := hosts[0].turn("p", fmt.Sprint("again-", attempt))
			if status == 200 {
				allowed++
			}
			return status
		}, "8s", "200ms").Should(Equal(402))
		Expect(allowed).To(Equal(3), "turns of 200 tokens while some of 580 are left")
	})

	// Guards against a program whose budget is exhausted and that is served again after all hosts that had its account
	// in memory have stopped.
	It("refuse a program with an exhausted budget after all of them were replaced", func() {
		awaitFounders()
		for i := range 6 {
			hosts[0].turn("p", fmt.Sprintf("t%d", i))
		}
		Expect(hosts[0].turn("p", "last")).To(Equal(402))
		Eventually(func() []string { return store.Names(ingress.KindBudgets) }, "5s").Should(ContainElement("p"))
		later := startHost(store, "d-1")
		DeferCleanup(later.stop)
		Eventually(later.ready, "5s").Should(BeTrue())
		for _, h := range hosts {
			h.stop()
			Eventually(h.done, "15s").Should(Receive(BeNil()))
			h.done <- nil
		}
		requestsBefore := len(b.requests())
		Expect(later.turn("p", "again")).To(Equal(402))
		Expect(b.requests()).To(HaveLen(requestsBefore))
	})

	It("apply a new configuration, also on a host to which the store is unavailable", func() {
		hosts[1].gate.closed.Store(true)
		putConfig(store, 2)
		for _, h := range hosts {
			Eventually(func() int { return h.call("GET", "/v2/", "").status }, "2s").Should(Equal(200))
			Expect(h.call("GET", "/v1/", "").status).To(Equal(404))
		}
	})

	// Guards against a stale watch: its connection is open, but it delivers no changes.
	It("detect a stale watch within two seconds", func() {
		store.SetFaults(objects.Faults{StaleWatches: true})
		putConfig(store, 2)
		for _, h := range hosts {
			Eventually(func() int { return h.call("GET", "/v2/", "").status }, "2s").Should(Equal(200))
		}
	})

	It("send nothing to a draining server, also on a host to which the store is unavailable", func() {
		other := newBackend("i-2", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 1) })
		putServer(store, other, "ready")
		hosts[2].gate.closed.Store(true)
		putServer(store, b, "draining")
		for _, h := range hosts {
			Eventually(func() string { return h.call("GET", "/v1/", "").header.Get(stampHeader) }, "2s").Should(Equal("i-2"))
		}
	})

	It("are removed from the directory at once when they are stopped, and still serve callers", func() {
		hosts[0].stop()
		Eventually(hosts[1].directory, "1s").ShouldNot(ContainElement(hosts[0].address))
		Expect(hosts[0].ready()).To(BeFalse())
		Expect(hosts[0].turn("q", "t1")).To(Equal(200))
	})

	// Guards against a home that stops during an outage of the store without handing over the tokens that programs have
	// used: the next home would give them another share.
	It("keep the usage of a program when its home is stopped while the store is unavailable", func() {
		home := hosts[0]
		awaitFounders()
		program := programsAtHome(home, "p")()
		Expect(hosts[1].turn(program, "t1")).To(Equal(200))
		Expect(store.Names(ingress.KindBudgets)).NotTo(ContainElement(program))
		for _, h := range hosts {
			h.gate.closed.Store(true)
		}
		home.stop()
		Eventually(home.done, "15s").Should(Receive(BeNil()))
		home.done <- nil
		Expect(hosts[1].turn(program, "t2")).To(Equal(503), "200 tokens of a share of 290 are used, and the next home needs a grant")
		Expect(hosts[1].turn(programsAtHome(hosts[2], "new")(), "t3")).To(Equal(200))
		for _, h := range hosts {
			h.gate.closed.Store(false)
		}
		Eventually(func() int { return hosts[1].turn(program, "t4") }, "8s", "100ms").Should(Equal(200), "the account came with the handover")
	})

	// Guards against a host that was killed, or has started again, and uses the share of its programs once more: its new
	// incarnation has no account, and the store can't say that there was one.
	It("give no tokens without a record to programs whose founder has started again", func() {
		awaitFounders()
		program := programsAtHome(hosts[0], "p")()
		Expect(hosts[1].turn(program, "t1")).To(Equal(200))
		hosts[0].stop()
		Eventually(hosts[0].done, "15s").Should(Receive(BeNil()))
		hosts[0].done <- nil
		again := startHost(store, hosts[0].settings.Host.Name)
		DeferCleanup(again.stop)
		Eventually(again.ready, "8s").Should(BeTrue())
		Eventually(hosts[1].directory, "5s").Should(ContainElement(again.address))
		next := programsAtHome(hosts[0], "new")
		for range 3 {
			name := next()
			Expect(hosts[1].turn(name, "first of "+name)).To(Equal(200))
			Expect(store.Names(ingress.KindBudgets)).To(ContainElement(name))
		}
	})

	It("start without access to the store if the store is available to a seed", func() {
		late := startHost(store, "d-1", hosts[0].settings.Listen.Peer)
		DeferCleanup(late.stop)
		late.gate.closed.Store(true)
		Eventually(late.ready, "8s").Should(BeTrue())
		Eventually(hosts[1].directory, "5s").Should(ContainElement(late.address))
	})

	It("serve programs that start while the store is unavailable", func() {
		awaitFounders()
		for _, h := range hosts {
			h.gate.closed.Store(true)
		}
		for i := range 6 {
			Expect(hosts[i%3].turn(fmt.Sprintf("new-%d", i), fmt.Sprintf("n%d", i))).To(Equal(200))
		}
	})
})
