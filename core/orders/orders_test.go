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

// task is something that happens at a simulated time.
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

// engine is a simulated engine.
type engine struct {
	orders.Engine
	checks   bool // it refuses old fencing numbers
	state    orders.EngineState
	loadTime int64
	failing  bool // loads end without a result
	fences   []uint64
	loadedAt int64
}

// manager is one simulated host.
type manager struct {
	sim         *simulation
	name        string
	rank        int
	state       *orders.State
	offset      int64 // of its clock
	frozenUntil int64
	inbox       []func()
	storeDown   bool
	usable      map[string]bool
	held        bool
	sent        []orders.Send
}

// simulation runs managers, engines and a store in simulated time.
type simulation struct {
	now      int64
	queue    tasks
	seq      int
	random   func(limit int64) int64 // 0 to limit
	lossy    bool
	store    map[string]stored
	revision uint64
	engines  map[string]*engine
	managers []*manager
	statuses int
	// maxLoading is the largest number of engines that loaded at the same time.
	maxLoading int
}

type stored struct {
	version uint64
	value   []byte
}

func times() orders.Times {
	t := orders.DefaultTimes()
	t.RetryMax = 10 * time.Second
	t.MinHold = 20 * time.Second
	return t
}

func newSimulation(random func(int64) int64, engines ...*engine) *simulation {
	s := &simulation{random: random, store: map[string]stored{}, engines: map[string]*engine{}}
	for _, g := range engines {
		s.engines[g.Name] = g
	}
	return s
}

func (s *simulation) after(d int64, fn func()) {
	s.seq++
	heap.Push(&s.queue, task{at: s.now + d, seq: s.seq, run: fn})
}

func (s *simulation) runUntil(at int64) {
	for len(s.queue) > 0 && s.queue[0].at <= at {
		t := heap.Pop(&s.queue).(task)
		s.now = t.at
		t.run()
	}
	s.now = at
}

func target(version string) config.Pool {
	return config.Pool{Kind: "engine", Model: "m", Version: version, Adapters: []string{"x"}, Role: "decode", MaxRunning: 1}
}

func (s *simulation) addManager(name string, rank int, offset int64) *manager {
	m := &manager{sim: s, name: name, rank: rank, state: orders.NewState(), offset: offset, usable: map[string]bool{}}
	s.managers = append(s.managers, m)
	m.take(orders.Started{Holder: name, Times: times()})
	m.configure("v1")
	var list orders.EnginesListed
	for i := range len(s.engines) {
		list.Engines = append(list.Engines, s.engines[fmt.Sprintf("w%d", i)].Engine)
	}
	m.take(list)
	m.tick()
	return m
}

func (m *manager) configure(version string) {
	m.take(orders.Configured{Pools: []orders.NamedPool{{Name: "p", Pool: target(version)}}})
}

func (m *manager) tick() {
	m.do(func() {
		m.reduce(orders.Ticked{Ranks: []orders.PoolRank{{Pool: "p", Rank: m.rank}}})
	})
	m.sim.after(500, m.tick)
}

func (m *manager) clock() clock.Millis { return clock.Millis(m.sim.now + m.offset) }

// do runs fn now, or after the freeze of the manager, in the order of the calls.
func (m *manager) do(fn func()) {
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
		m.sim.after(m.frozenUntil-m.sim.now, m.thaw)
		return
	}
	inbox := m.inbox
	m.inbox = nil
	for _, fn := range inbox {
		fn()
	}
}

func (m *manager) take(ev event.Event) { m.do(func() { m.reduce(ev) }) }

func (m *manager) reduce(ev event.Event) {
	for _, eff := range m.state.Reduce(m.clock(), ev) {
		// An effect begins a little later, and the process may freeze before that.
		m.sim.after(m.sim.random(3), func() { m.do(func() { m.effect(eff) }) })
	}
}

func (m *manager) effect(eff event.Effect) {
	s := m.sim
	there, back := s.random(40), s.random(40)
	switch e := eff.(type) {
	case orders.ReadLease:
		s.after(there, func() {
			ev := orders.LeaseSeen{Pool: e.Pool, Failed: m.storeDown}
			if o, ok := s.store["lease"]; ok {
				ev.Version = o.version
				_ = json.Unmarshal(o.value, &ev.Lease)
			}
			s.after(back, func() { m.take(ev) })
		})
	case orders.WriteLease:
		m.writeLease(e, there, back)
	case orders.ReadEngine:
		s.after(there, func() {
			ev := orders.EngineSeen{Pool: e.Pool, Engine: e.Engine, Read: e.Read, State: s.engines[e.Engine].state}
			s.after(back, func() { m.take(ev) })
		})
	case orders.Prepare:
		s.after(there, func() { m.take(orders.Prepared{Pool: e.Pool, Op: e.Op}) })
	case orders.Send:
		m.send(e, back)
	case orders.Usable:
		m.usable[e.Engine] = e.Usable
	case orders.Held:
		m.held = e.Held
	case orders.WriteStatus:
		s.statuses++
		s.store["status"] = stored{value: e.Value}
		s.after(back, func() { m.take(orders.StatusWritten{Pool: e.Pool, Written: true}) })
	}
}

func (m *manager) writeLease(e orders.WriteLease, there, back int64) {
	s := m.sim
	ev := orders.LeaseWritten{Pool: e.Pool, Lease: e.Lease, SentAt: m.clock()}
	fate := int64(9)
	if s.lossy {
		fate = s.random(9)
	}
	s.after(there, func() {
		switch {
		case m.storeDown:
			ev.Result = orders.NotWritten
		case fate == 0: // the request was lost
			ev.Result = orders.UnknownOutcome
		case s.store["lease"].version != e.Version:
			ev.Result = orders.Conflict
		default:
			s.revision++
			value, _ := json.Marshal(e.Lease)
			s.store["lease"] = stored{s.revision, value}
			ev.Result, ev.Version = orders.Written, s.revision
		}
		if fate == 1 { // the answer is lost
			ev.Result, ev.Version = orders.UnknownOutcome, 0
		}
		s.after(back, func() { m.take(ev) })
	})
}

// send checks the lease as the service does, right before the order leaves the host. The order then
// takes up to Times.InFlight to arrive.
func (m *manager) send(e orders.Send, back int64) {
	s := m.sim
	ev := orders.Ordered{Pool: e.Pool, Op: e.Op, Result: orders.Accepted}
	if m.clock() >= e.ValidUntil {
		ev.Result = orders.Lapsed
		m.take(ev)
		return
	}
	m.sent = append(m.sent, e)
	flight := s.random(200)
	if s.lossy {
		flight = s.random(times().InFlight.Milliseconds() - 1)
	}
	s.after(flight, func() {
		g := s.engines[e.Engine]
		if g.checks && e.Fence < g.state.Fence {
			ev.Result, ev.Fence = orders.Fenced, g.state.Fence
		} else {
			s.load(g, e)
		}
		s.after(back, func() { m.take(ev) })
	})
}

func (s *simulation) load(g *engine, e orders.Send) {
	g.fences = append(g.fences, e.Fence)
	g.state.Fence = max(g.state.Fence, e.Fence)
	g.state.Loading = true
	loading := 0
	for _, other := range s.engines {
		if other.state.Loading {
			loading++
		}
	}
	s.maxLoading = max(s.maxLoading, loading)
	done := s.now + g.loadTime
	g.loadedAt = done
	s.after(g.loadTime, func() {
		if g.loadedAt != done {
			return // a later order replaced this one
		}
		g.state.Loading = false
		switch {
		case g.failing:
		case e.Order.Kind == orders.LoadModel:
			g.state.Model, g.state.Version, g.state.Adapters = e.Order.Model, e.Order.Version, nil
		case e.Order.Kind == orders.LoadAdapter:
			g.state.Adapters = append([]string{e.Order.Adapter}, g.state.Adapters...)
		default:
			g.state.Role = e.Order.Role
		}
	})
}

func engines(n int, checks bool) []*engine {
	var out []*engine
	for i := range n {
		out = append(out, &engine{
			Engine:   orders.Engine{Name: fmt.Sprintf("w%d", i), Pool: "p", Address: "a"},
			checks:   checks,
			state:    orders.EngineState{Model: "m", Version: "v0"},
			loadTime: 3000,
		})
	}
	return out
}

func (s *simulation) reached(version string) int {
	n := 0
	for _, g := range s.engines {
		st := g.state
		if st.Model == "m" && st.Version == version && len(st.Adapters) == 1 && st.Role == "decode" && !st.Loading {
			n++
		}
	}
	return n
}

func steady(limit int64) int64 { return limit / 2 }

// Guards against a pool that loses more than one worker at a time, and against a status object that is
// written without a change.
func TestOneWorkerAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(steady, engines(4, false)...)
	m := s.addManager("a", 0, 0)
	s.runUntil(6_000)
	usable := 0
	for _, u := range m.usable {
		if u {
			usable++
		}
	}
	g.Expect(usable).To(gomega.Equal(3), "one worker loads, the others serve the old version")
	s.runUntil(120_000)
	g.Expect(s.reached("v1")).To(gomega.Equal(4))
	g.Expect(s.maxLoading).To(gomega.Equal(1))
	g.Expect(m.sent).To(gomega.HaveLen(12), "three orders for each worker")
	for name, u := range m.usable {
		g.Expect(u).To(gomega.BeTrue(), name)
	}
	var st orders.Status
	g.Expect(json.Unmarshal(s.store["status"].value, &st)).To(gomega.Succeed())
	g.Expect(st.Workers).To(gomega.HaveLen(4))
	for _, w := range st.Workers {
		g.Expect(w.State).To(gomega.Equal(orders.StateReady))
		g.Expect(w.Version).To(gomega.Equal("v1"))
	}
	before := s.statuses
	s.runUntil(300_000)
	g.Expect(s.statuses).To(gomega.Equal(before))
}

// Guards against a new manager that takes a second worker out of service while an order of the earlier
// one is still under way.
func TestWaitsForLoadOfEarlierManager(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(steady, engines(2, false)...)
	s.engines["w1"].state.Loading = true
	m := s.addManager("a", 0, 0)
	s.runUntil(60_000)
	g.Expect(m.held).To(gomega.BeTrue())
	g.Expect(m.sent).To(gomega.BeEmpty())
	g.Expect(m.usable).To(gomega.Equal(map[string]bool{"w0": true, "w1": false}))
	s.engines["w1"].state.Loading = false
	s.runUntil(120_000)
	g.Expect(s.reached("v1")).To(gomega.Equal(2))
}

// Guards against a broken version taking down the whole pool, and against a host that gives up.
func TestFailingLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	list := engines(5, false)
	for _, e := range list {
		e.failing = true
	}
	s := newSimulation(steady, list...)
	m := s.addManager("a", 0, 0)
	s.runUntil(200_000)
	touched := map[string]bool{}
	for _, o := range m.sent {
		touched[o.Engine] = true
	}
	g.Expect(touched).To(gomega.HaveLen(2))
	g.Expect(len(m.sent)).To(gomega.BeNumerically(">", 4), "it retries")
	g.Expect(len(m.sent)).To(gomega.BeNumerically("<", 60), "it backs off")
	for _, e := range list {
		e.failing = false
	}
	s.runUntil(400_000)
	g.Expect(s.reached("v1")).To(gomega.Equal(5))
}

// Guards against a worker that stays at a version which a later ticket replaced.
func TestTargetChangesDuringLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(steady, engines(3, true)...)
	m := s.addManager("a", 0, 0)
	s.runUntil(6_000)
	m.configure("v2")
	s.runUntil(120_000)
	g.Expect(s.reached("v2")).To(gomega.Equal(3))
	g.Expect(s.maxLoading).To(gomega.Equal(1))
}

// Guards against orders that stop, or continue without a lease, when the store is down in the middle.
func TestStoreDown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(steady, engines(6, false)...)
	m := s.addManager("a", 0, 0)
	other := s.addManager("b", 1, 7_000)
	s.runUntil(6_000)
	m.storeDown, other.storeDown = true, true
	s.runUntil(30_000)
	sent := len(m.sent)
	g.Expect(s.reached("v1")).To(gomega.BeNumerically("<", 6))
	s.runUntil(200_000)
	g.Expect(m.sent).To(gomega.HaveLen(sent), "no order without a valid lease")
	m.storeDown, other.storeDown = false, false
	s.runUntil(400_000)
	g.Expect(s.reached("v1")).To(gomega.Equal(6))
	g.Expect(s.maxLoading).To(gomega.Equal(1))
}

// Guards against a holder that counts its lease from the store's answer instead of from its request.
func TestLeaseRunsFromRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	st := orders.NewState()
	st.Reduce(0, orders.Started{Holder: "a", Times: times()})
	st.Reduce(0, orders.Configured{Pools: []orders.NamedPool{{Name: "p", Pool: target("v1")}}})
	st.Reduce(0, orders.EnginesListed{Engines: []orders.Engine{{Name: "w0", Pool: "p", Address: "a"}}})
	ranks := orders.Ticked{Ranks: []orders.PoolRank{{Pool: "p"}}}
	g.Expect(st.Reduce(0, ranks)).To(gomega.ConsistOf(orders.ReadLease{Pool: "p"}))
	st.Reduce(1, orders.LeaseSeen{Pool: "p"})
	claim := orders.Lease{Holder: "a", Fence: 1, Seq: 1}
	g.Expect(st.Reduce(2, ranks)).To(gomega.ConsistOf(orders.WriteLease{Pool: "p", Lease: claim}))
	end := clock.Millis(2).Add(times().Lease)
	st.Reduce(end, orders.LeaseWritten{Pool: "p", Result: orders.Written, SentAt: 2, Version: 1, Lease: claim})
	for _, eff := range st.Reduce(end, ranks) {
		g.Expect(eff).NotTo(gomega.BeAssignableToTypeOf(orders.ReadEngine{}), "the lease is over")
	}
	renewal := orders.Lease{Holder: "a", Fence: 1, Seq: 2}
	st.Reduce(end, orders.LeaseWritten{Pool: "p", Result: orders.Written, SentAt: end, Version: 2, Lease: renewal})
	g.Expect(st.Reduce(end+1, ranks)).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(orders.ReadEngine{})))
}

// Guards against a claim before the lease of the other holder has certainly lapsed, and against work
// while an order that it sent at the very end may still be on its way.
func TestWaitsForLeaseAndOrdersOfEarlierManager(t *testing.T) {
	g := gomega.NewWithT(t)
	st := orders.NewState()
	st.Reduce(0, orders.Started{Holder: "b", Times: times()})
	st.Reduce(0, orders.Configured{Pools: []orders.NamedPool{{Name: "p", Pool: target("v1")}}})
	st.Reduce(0, orders.EnginesListed{Engines: []orders.Engine{{Name: "w0", Pool: "p", Address: "a"}}})
	ranks := orders.Ticked{Ranks: []orders.PoolRank{{Pool: "p"}}}
	st.Reduce(0, ranks)
	seen := orders.LeaseSeen{Pool: "p", Version: 5, Lease: orders.Lease{Holder: "a", Fence: 3, Seq: 9}}
	st.Reduce(0, seen)
	var claimed clock.Millis
	for at := clock.Millis(0); claimed == 0; at += 100 {
		for _, eff := range st.Reduce(at, ranks) {
			switch e := eff.(type) {
			case orders.ReadLease:
				st.Reduce(at, seen)
			case orders.WriteLease:
				g.Expect(e).To(gomega.Equal(orders.WriteLease{Pool: "p", Version: 5, Lease: orders.Lease{Holder: "b", Fence: 4, Seq: 1}}))
				claimed = at
				st.Reduce(at, orders.LeaseWritten{Pool: "p", Result: orders.Written, SentAt: at, Version: 6, Lease: e.Lease})
			}
		}
	}
	g.Expect(claimed.Sub(0)).To(gomega.Equal(times().Lease))
	g.Expect(st.Reduce(claimed.Add(times().InFlight)-1, ranks)).To(gomega.BeEmpty())
	g.Expect(st.Reduce(claimed.Add(times().InFlight), ranks)).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(orders.ReadEngine{})))
}

// Guards against a pool without a manager after a drain, and against two managers passing it to and fro.
func TestHandOver(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(steady, engines(1, false)...)
	a := s.addManager("a", 0, 0)
	b := s.addManager("b", orders.Candidates, 0)
	s.runUntil(60_000)
	g.Expect(a.held).To(gomega.BeTrue())
	a.rank, b.rank = 1, 0
	s.runUntil(120_000)
	g.Expect(a.held).To(gomega.BeFalse())
	g.Expect(b.held).To(gomega.BeTrue())
	b.rank = orders.Candidates // it drains
	a.rank = 0
	s.runUntil(135_000)
	g.Expect(a.held).To(gomega.BeTrue(), "without waiting for the lease")
	var l orders.Lease
	g.Expect(json.Unmarshal(s.store["lease"].value, &l)).To(gomega.Succeed())
	g.Expect(l.Fence).To(gomega.Equal(uint64(3)), "one for each holder")
}

// Guards against orders of two managers that interleave at an engine, whichever process freezes, loses
// the store or loses answers, and against a pool that never reaches the configuration afterwards.
func TestManagersNeverInterleave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "checks")
		delays := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s := newSimulation(func(limit int64) int64 { return delays.Int64N(limit + 1) }, engines(3, checks)...)
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
				m.storeDown = !m.storeDown
			case 3:
				s.managers[0].rank, s.managers[1].rank = s.managers[1].rank, s.managers[0].rank
			case 4:
				for _, m := range s.managers {
					m.configure(fmt.Sprintf("v%d", i+2))
				}
			}
		}
		for _, m := range s.managers {
			m.storeDown = false
			m.configure("last")
		}
		s.lossy = false
		s.runUntil(s.now + 400_000)
		if n := s.reached("last"); n != 3 {
			t.Fatalf("%d of 3 workers reached the configuration", n)
		}
		var highest uint64
		for name, g := range s.engines {
			for i := 1; i < len(g.fences); i++ {
				if g.fences[i] < g.fences[i-1] {
					t.Fatalf("engine %s got orders with the fencing numbers %v", name, g.fences)
				}
			}
			highest = max(highest, g.state.Fence)
		}
		if s.maxLoading > 1 {
			t.Fatalf("%d workers loaded at the same time", s.maxLoading)
		}
		if highest == 0 {
			t.Fatalf("no order arrived")
		}
	})
}
