package orders_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/orders"
)

// task is a function that runs at a simulated time.
type task struct {
	at  int64 // milliseconds
	seq int
	run func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].seq < t[j].seq)
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// engine simulates an engine.
type engine struct {
	orders.Engine
	checksFencing bool // it rejects orders with a lower fencing token than the highest received
	state         orders.EngineState
	loadTime      int64 // milliseconds
	failing       bool  // loads end without a change of the state
	fencingTokens []uint64
	loadEndsAt    int64
}

// manager simulates a host that is a candidate for order manager.
type manager struct {
	sim              *simulation
	name             string
	rank             int
	state            *orders.State
	clockOffset      int64 // milliseconds by which its clock is ahead of the simulated time
	frozenUntil      int64
	inbox            []func()
	storeUnavailable bool
	usable           map[string]bool
	isManager        bool
	sent             []orders.SendOrder
}

// simulation runs managers, engines and a store in simulated time, in milliseconds.
type simulation struct {
	now          int64
	queue        tasks
	seq          int
	random       func(limit int64) int64 // returns 0 to limit
	lossy        bool                    // writes of the lease lose requests or responses, and orders take long to arrive
	store        map[string]storedObject
	revision     uint64
	engines      map[string]*engine
	managers     []*manager
	statusWrites int
	// maxLoading is the maximum number of engines that loaded at the same time.
	maxLoading int
}

type storedObject struct {
	version uint64
	value   []byte
}

func testSettings() orders.Settings {
	settings := orders.DefaultSettings()
	settings.MaxBackoff = 10 * time.Second
	settings.MinHoldTime = 20 * time.Second
	return settings
}

func newSimulation(random func(int64) int64, engines ...*engine) *simulation {
	s := &simulation{random: random, store: map[string]storedObject{}, engines: map[string]*engine{}}
	for _, g := range engines {
		s.engines[g.Name] = g
	}
	return s
}

func (s *simulation) schedule(delay int64, fn func()) {
	s.seq++
	heap.Push(&s.queue, task{at: s.now + delay, seq: s.seq, run: fn})
}

func (s *simulation) runUntil(at int64) {
	for len(s.queue) > 0 && s.queue[0].at <= at {
		t := heap.Pop(&s.queue).(task)
		s.now = t.at
		t.run()
	}
	s.now = at
}

func targetPool(version string) config.Pool {
	return config.Pool{Kind: "engine", Model: "m", Version: version, Adapters: []string{"x"}, Role: "decode", MaxRunning: 1}
}

func (s *simulation) addManager(name string, rank int, offset int64) *manager {
	m := &manager{sim: s, name: name, rank: rank, state: orders.NewState(), clockOffset: offset, usable: map[string]bool{}}
	s.managers = append(s.managers, m)
	m.deliver(orders.Started{Holder: name, Settings: testSettings()})
	m.configure("v1")
	var listed orders.EnginesListed
	for i := range len(s.engines) {
		listed.Engines = append(listed.Engines, s.engines[fmt.Sprintf("w%d", i)].Engine)
	}
	m.deliver(listed)
	m.tick()
	return m
}

func (m *manager) configure(version string) {
	m.deliver(orders.PoolsConfigured{Pools: []orders.NamedPool{{Name: "p", Pool: targetPool(version)}}})
}

func (m *manager) tick() {
	m.runUnlessFrozen(func() {
		m.reduce(orders.Ticked{Ranks: []orders.PoolRank{{Pool: "p", Rank: m.rank}}})
	})
	m.sim.schedule(500, m.tick)
}

func (m *manager) clock() clock.Millis { return clock.Millis(m.sim.now + m.clockOffset) }

// runUnlessFrozen runs fn now, or after the end of the manager's freeze, in the order of the calls.
func (m *manager) runUnlessFrozen(fn func()) {
	if m.sim.now >= m.frozenUntil && len(m.inbox) == 0 {
		fn()
		return
	}
	m.inbox = append(m.inbox, fn)
	if len(m.inbox) == 1 {
		m.thaw()
	}
}

func (m *manager) thaw() {
	if m.sim.now < m.frozenUntil {
		m.sim.schedule(m.frozenUntil-m.sim.now, m.thaw)
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, fn := range inbox {
		fn()
	}
}

func (m *manager) deliver(ev event.Event) { m.runUnlessFrozen(func() { m.reduce(ev) }) }

func (m *manager) reduce(ev event.Event) {
	for _, effect := range m.state.Reduce(m.clock(), ev) {
		// An effect starts up to 3 ms later, and the process may freeze before that.
		m.sim.schedule(m.sim.random(3), func() { m.runUnlessFrozen(func() { m.perform(effect) }) })
	}
}

func (m *manager) perform(effect event.Effect) {
	s := m.sim
	requestDelay, responseDelay := s.random(40), s.random(40)
	switch e := effect.(type) {
	case orders.ReadLease:
		s.schedule(requestDelay, func() {
			ev := orders.LeaseRead{Pool: e.Pool, Failed: m.storeUnavailable}
			if o, ok := s.store["lease"]; ok {
				ev.Version = o.version
				_ = json.Unmarshal(o.value, &ev.Lease)
			}
			s.schedule(responseDelay, func() { m.deliver(ev) })
		})
	case orders.WriteLease:
		m.writeLease(e, requestDelay, responseDelay)
	case orders.ReadEngine:
		s.schedule(requestDelay, func() {
			ev := orders.EngineRead{Pool: e.Pool, Engine: e.Engine, ReadID: e.ReadID, State: s.engines[e.Engine].state}
			s.schedule(responseDelay, func() { m.deliver(ev) })
		})
	case orders.DrainWorker:
		s.schedule(requestDelay, func() { m.deliver(orders.WorkerDrained{Pool: e.Pool, OrderID: e.OrderID}) })
	case orders.SendOrder:
		m.sendOrder(e, responseDelay)
	case orders.SetWorkerUsable:
		m.usable[e.Engine] = e.Usable
	case orders.OrderManagerChanged:
		m.isManager = e.IsManager
	case orders.WriteStatus:
		s.statusWrites++
		s.store["status"] = storedObject{value: e.Value}
		s.schedule(responseDelay, func() { m.deliver(orders.StatusWritten{Pool: e.Pool, Written: true}) })
	}
}

func (m *manager) writeLease(e orders.WriteLease, requestDelay, responseDelay int64) {
	s := m.sim
	ev := orders.LeaseWritten{Pool: e.Pool, Lease: e.Lease, SentAt: m.clock()}
	outcome := int64(9)
	if s.lossy {
		outcome = s.random(9)
	}
	s.schedule(requestDelay, func() {
		switch {
		case m.storeUnavailable:
			ev.Result = orders.WriteFailed
		case outcome == 0: // the request is lost
			ev.Result = orders.WriteOutcomeUnknown
		case s.store["lease"].version != e.Version:
			ev.Result = orders.WriteConflict
		default:
			s.revision++
			value, _ := json.Marshal(e.Lease)
			s.store["lease"] = storedObject{s.revision, value}
			ev.Result, ev.Version = orders.WriteSucceeded, s.revision
		}
		if outcome == 1 { // the response is lost
			ev.Result, ev.Version = orders.WriteOutcomeUnknown, 0
		}
		s.schedule(responseDelay, func() { m.deliver(ev) })
	})
}

// sendOrder checks the lease right before the order is sent, as the service does. The order then takes up to
// Settings.MaxOrderTransit to arrive.
func (m *manager) sendOrder(e orders.SendOrder, responseDelay int64) {
	s := m.sim
	ev := orders.SendOrderCompleted{Pool: e.Pool, OrderID: e.OrderID, Result: orders.OrderAccepted}
	if m.clock() >= e.ValidUntil {
		ev.Result = orders.OrderLeaseExpired
		m.deliver(ev)
		return
	}
	m.sent = append(m.sent, e)
	transit := s.random(200)
	if s.lossy {
		transit = s.random(testSettings().MaxOrderTransit.Milliseconds() - 1)
	}
	s.schedule(transit, func() {
		target := s.engines[e.Engine]
		if target.checksFencing && e.FencingToken < target.state.FencingToken {
			ev.Result, ev.FencingToken = orders.OrderFenced, target.state.FencingToken
		} else {
			s.startLoad(target, e)
		}
		s.schedule(responseDelay, func() { m.deliver(ev) })
	})
}

func (s *simulation) startLoad(target *engine, e orders.SendOrder) {
	target.fencingTokens = append(target.fencingTokens, e.FencingToken)
	target.state.FencingToken = max(target.state.FencingToken, e.FencingToken)
	target.state.Loading = true
	loading := 0
	for _, other := range s.engines {
		if other.state.Loading {
			loading++
		}
	}
	s.maxLoading = max(s.maxLoading, loading)
	done := s.now + target.loadTime
	target.loadEndsAt = done
	s.schedule(target.loadTime, func() {
		if target.loadEndsAt != done {
			return // a later order replaced this load
		}
		target.state.Loading = false
		switch {
		case target.failing:
		case e.Order.Kind == orders.LoadModel:
			target.state.Model, target.state.Version, target.state.Adapters = e.Order.Model, e.Order.Version, nil
		case e.Order.Kind == orders.LoadAdapter:
			target.state.Adapters = append([]string{e.Order.Adapter}, target.state.Adapters...)
		default:
			target.state.Role = e.Order.Role
		}
	})
}

func newEngines(n int, checksFencing bool) []*engine {
	var list []*engine
	for i := range n {
		list = append(list, &engine{
			Engine:        orders.Engine{Name: fmt.Sprintf("w%d", i), Pool: "p", Address: "a"},
			checksFencing: checksFencing,
			state:         orders.EngineState{Model: "m", Version: "v0"},
			loadTime:      3000,
		})
	}
	return list
}

func (s *simulation) countReached(version string) int {
	n := 0
	for _, g := range s.engines {
		st := g.state
		if st.Model == "m" && st.Version == version && len(st.Adapters) == 1 && st.Role == "decode" && !st.Loading {
			n++
		}
	}
	return n
}

func midpoint(limit int64) int64 { return limit / 2 }

// TestOneWorkerAtATime guards against a pool with more than one worker out of service at a time, and against writes of
// the status object without a change.
func TestOneWorkerAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(midpoint, newEngines(4, false)...)
	m := s.addManager("a", 0, 0)
	s.runUntil(6_000)
	usable := 0
	for _, u := range m.usable {
		if u {
			usable++
		}
	}
	g.Expect(usable).To(gomega.Equal(3), "one worker loads, and the others run calls with the old version")
	s.runUntil(120_000)
	g.Expect(s.countReached("v1")).To(gomega.Equal(4))
	g.Expect(s.maxLoading).To(gomega.Equal(1))
	g.Expect(m.sent).To(gomega.HaveLen(12), "three orders for each worker")
	for name, u := range m.usable {
		g.Expect(u).To(gomega.BeTrue(), name)
	}
	var st orders.PoolStatus
	g.Expect(json.Unmarshal(s.store["status"].value, &st)).To(gomega.Succeed())
	g.Expect(st.Workers).To(gomega.HaveLen(4))
	for _, w := range st.Workers {
		g.Expect(w.State).To(gomega.Equal(orders.StateReady))
		g.Expect(w.Version).To(gomega.Equal("v1"))
	}
	before := s.statusWrites
	s.runUntil(300_000)
	g.Expect(s.statusWrites).To(gomega.Equal(before))
}

// TestWaitsForLoadOfEarlierManager guards against a new manager that takes a second worker out of service while one
// still loads by an order of the earlier manager.
func TestWaitsForLoadOfEarlierManager(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(midpoint, newEngines(2, false)...)
	s.engines["w1"].state.Loading = true
	m := s.addManager("a", 0, 0)
	s.runUntil(60_000)
	g.Expect(m.isManager).To(gomega.BeTrue())
	g.Expect(m.sent).To(gomega.BeEmpty())
	g.Expect(m.usable).To(gomega.Equal(map[string]bool{"w0": true, "w1": false}))
	s.engines["w1"].state.Loading = false
	s.runUntil(120_000)
	g.Expect(s.countReached("v1")).To(gomega.Equal(2))
}

// TestFailingLoad guards against a broken version that takes the whole pool out of service, and against a manager that
// stops retrying failed orders.
func TestFailingLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	list := newEngines(5, false)
	for _, e := range list {
		e.failing = true
	}
	s := newSimulation(midpoint, list...)
	m := s.addManager("a", 0, 0)
	s.runUntil(200_000)
	ordered := map[string]bool{}
	for _, o := range m.sent {
		ordered[o.Engine] = true
	}
	g.Expect(ordered).To(gomega.HaveLen(2))
	g.Expect(len(m.sent)).To(gomega.BeNumerically(">", 4), "failed orders are retried")
	g.Expect(len(m.sent)).To(gomega.BeNumerically("<", 60), "retries back off")
	for _, e := range list {
		e.failing = false
	}
	s.runUntil(400_000)
	g.Expect(s.countReached("v1")).To(gomega.Equal(5))
}

// TestTargetChangesDuringLoad guards against a worker that stays at a version which a later ticket replaced.
func TestTargetChangesDuringLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(midpoint, newEngines(3, true)...)
	m := s.addManager("a", 0, 0)
	s.runUntil(6_000)
	m.configure("v2")
	s.runUntil(120_000)
	g.Expect(s.countReached("v2")).To(gomega.Equal(3))
	g.Expect(s.maxLoading).To(gomega.Equal(1))
}

// TestStoreDown guards against orders that are sent without a valid lease while the store is unavailable, and against
// orders that do not resume when it is available again.
func TestStoreDown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(midpoint, newEngines(6, false)...)
	m := s.addManager("a", 0, 0)
	other := s.addManager("b", 1, 7_000)
	s.runUntil(6_000)
	m.storeUnavailable, other.storeUnavailable = true, true
	s.runUntil(30_000)
	sent := len(m.sent)
	g.Expect(s.countReached("v1")).To(gomega.BeNumerically("<", 6))
	s.runUntil(200_000)
	g.Expect(m.sent).To(gomega.HaveLen(sent), "no order without a valid lease")
	m.storeUnavailable, other.storeUnavailable = false, false
	s.runUntil(400_000)
	g.Expect(s.countReached("v1")).To(gomega.Equal(6))
	g.Expect(s.maxLoading).To(gomega.Equal(1))
}

// TestLeaseRunsFromRequest guards against a holder that counts its lease from the store's response instead of from its
// request.
func TestLeaseRunsFromRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	st := orders.NewState()
	st.Reduce(0, orders.Started{Holder: "a", Settings: testSettings()})
	st.Reduce(0, orders.PoolsConfigured{Pools: []orders.NamedPool{{Name: "p", Pool: targetPool("v1")}}})
	st.Reduce(0, orders.EnginesListed{Engines: []orders.Engine{{Name: "w0", Pool: "p", Address: "a"}}})
	ranks := orders.Ticked{Ranks: []orders.PoolRank{{Pool: "p"}}}
	g.Expect(st.Reduce(0, ranks)).To(gomega.ConsistOf(orders.ReadLease{Pool: "p"}))
	st.Reduce(1, orders.LeaseRead{Pool: "p"})
	claim := orders.Lease{Holder: "a", FencingToken: 1, Seq: 1}
	g.Expect(st.Reduce(2, ranks)).To(gomega.ConsistOf(orders.WriteLease{Pool: "p", Lease: claim}))
	end := clock.Millis(2).Add(testSettings().LeaseDuration)
	st.Reduce(end, orders.LeaseWritten{Pool: "p", Result: orders.WriteSucceeded, SentAt: 2, Version: 1, Lease: claim})
	for _, eff := range st.Reduce(end, ranks) {
		g.Expect(eff).NotTo(gomega.BeAssignableToTypeOf(orders.ReadEngine{}), "the lease has expired")
	}
	renewal := orders.Lease{Holder: "a", FencingToken: 1, Seq: 2}
	st.Reduce(end, orders.LeaseWritten{Pool: "p", Result: orders.WriteSucceeded, SentAt: end, Version: 2, Lease: renewal})
	g.Expect(st.Reduce(end+1, ranks)).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(orders.ReadEngine{})))
}

// TestWaitsForLeaseAndOrdersOfEarlierManager guards against a claim before the lease of the other holder has certainly
// expired, and against reads and orders while the last order of that holder may still be in transit.
func TestWaitsForLeaseAndOrdersOfEarlierManager(t *testing.T) {
	g := gomega.NewWithT(t)
	st := orders.NewState()
	st.Reduce(0, orders.Started{Holder: "b", Settings: testSettings()})
	st.Reduce(0, orders.PoolsConfigured{Pools: []orders.NamedPool{{Name: "p", Pool: targetPool("v1")}}})
	st.Reduce(0, orders.EnginesListed{Engines: []orders.Engine{{Name: "w0", Pool: "p", Address: "a"}}})
	ranks := orders.Ticked{Ranks: []orders.PoolRank{{Pool: "p"}}}
	st.Reduce(0, ranks)
	leaseRead := orders.LeaseRead{Pool: "p", Version: 5, Lease: orders.Lease{Holder: "a", FencingToken: 3, Seq: 9}}
	st.Reduce(0, leaseRead)
	var claimed clock.Millis
	for at := clock.Millis(0); claimed == 0; at += 100 {
		for _, eff := range st.Reduce(at, ranks) {
			switch e := eff.(type) {
			case orders.ReadLease:
				st.Reduce(at, leaseRead)
			case orders.WriteLease:
				g.Expect(e).To(gomega.Equal(orders.WriteLease{Pool: "p", Version: 5, Lease: orders.Lease{Holder: "b", FencingToken: 4, Seq: 1}}))
				claimed = at
				st.Reduce(at, orders.LeaseWritten{Pool: "p", Result: orders.WriteSucceeded, SentAt: at, Version: 6, Lease: e.Lease})
			}
		}
	}
	g.Expect(claimed.Sub(0)).To(gomega.Equal(testSettings().LeaseDuration))
	g.Expect(st.Reduce(claimed.Add(testSettings().MaxOrderTransit)-1, ranks)).To(gomega.BeEmpty())
	g.Expect(st.Reduce(claimed.Add(testSettings().MaxOrderTransit), ranks)).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(orders.ReadEngine{})))
}

// TestHandOver guards against a pool without a manager after a drain, and against a lease that alternates between two
// managers.
func TestHandOver(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(midpoint, newEngines(1, false)...)
	a := s.addManager("a", 0, 0)
	b := s.addManager("b", orders.MaxCandidates, 0)
	s.runUntil(60_000)
	g.Expect(a.isManager).To(gomega.BeTrue())
	a.rank, b.rank = 1, 0
	s.runUntil(120_000)
	g.Expect(a.isManager).To(gomega.BeFalse())
	g.Expect(b.isManager).To(gomega.BeTrue())
	b.rank = orders.MaxCandidates // the host drains
	a.rank = 0
	s.runUntil(135_000)
	g.Expect(a.isManager).To(gomega.BeTrue(), "the released lease is claimed without waiting for it to expire")
	var l orders.Lease
	g.Expect(json.Unmarshal(s.store["lease"].value, &l)).To(gomega.Succeed())
	g.Expect(l.FencingToken).To(gomega.Equal(uint64(3)), "one token for each holder")
}

// TestManagersNeverInterleave guards against interleaved orders of two managers at an engine while processes freeze,
// the store is unavailable or responses are lost, and against a pool that does not reach the configuration afterwards.
func TestManagersNeverInterleave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "checks")
		delays := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s := newSimulation(func(limit int64) int64 { return delays.Int64N(limit + 1) }, newEngines(3, checks)...)
		s.lossy = true
		s.addManager("a", 0, 0)
		s.addManager("b", 1, rapid.Int64Range(-100_000, 100_000).Draw(t, "offset"))
		for i := range 6 {
			s.runUntil(s.now + rapid.Int64Range(100, 20_000).Draw(t, "wait"))
			m := s.managers[rapid.IntRange(0, 1).Draw(t, "manager")]
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0, 1:
				m.frozenUntil = s.now + rapid.Int64Range(100, 60_000).Draw(t, "freeze")
			case 2:
				m.storeUnavailable = !m.storeUnavailable
			case 3:
				s.managers[0].rank, s.managers[1].rank = s.managers[1].rank, s.managers[0].rank
			case 4:
				for _, m := range s.managers {
					m.configure(fmt.Sprintf("v%d", i+2))
				}
			}
		}
		for _, m := range s.managers {
			m.storeUnavailable = false
			m.configure("last")
		}
		s.lossy = false
		s.runUntil(s.now + 400_000)
		if n := s.countReached("last"); n != 3 {
			t.Fatalf("%d of 3 workers reached the last configuration", n)
		}
		var highest uint64
		for name, g := range s.engines {
			for i := 1; i < len(g.fencingTokens); i++ {
				if g.fencingTokens[i] < g.fencingTokens[i-1] {
					t.Fatalf("engine %s received orders with the fencing tokens %v", name, g.fencingTokens)
				}
			}
			highest = max(highest, g.state.FencingToken)
		}
		if s.maxLoading > 1 {
			t.Fatalf("%d workers loaded at the same time", s.maxLoading)
		}
		if highest == 0 {
			t.Fatalf("no engine received an order")
		}
	})
}
