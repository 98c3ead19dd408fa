package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// Times are the durations of the subsystem. They are the same on all hosts.
type Times struct {
	// Lease is the duration of the lease; Renew is the pause between renewals, and between the reads of
	// a candidate.
	Lease, Renew time.Duration
	// MinHold is the least time before a manager hands over to a host that ranks higher, so that two
	// hosts do not pass the lease to and fro.
	MinHold time.Duration
	// InFlight is the longest time that an order may be on its way to an engine.
	InFlight time.Duration
	// IdlePoll and LoadPoll are the pauses between two reads of an idle and of a loading engine.
	IdlePoll, LoadPoll time.Duration
	// LoadGrace is the time after an order in which an engine need not show yet that it loads.
	LoadGrace time.Duration
	// LoadLimit bounds the load of one order.
	LoadLimit time.Duration
	// UnreachableLimit is how long the pool waits for a loading engine that cannot be reached.
	UnreachableLimit time.Duration
	// RetryMin and RetryMax bound the pause after a failed order; it doubles with each failure.
	RetryMin, RetryMax time.Duration
	// StatusPause is the least time between two writes of a status object.
	StatusPause time.Duration
}

// DefaultTimes are the times of a deployment. A lease of 15 s costs a fifth of a write per second and
// pool; orders are not urgent.
func DefaultTimes() Times {
	return Times{
		Lease: 15 * time.Second, Renew: 5 * time.Second, MinHold: time.Minute, InFlight: 3 * time.Second,
		IdlePoll: 5 * time.Second, LoadPoll: time.Second, LoadGrace: 2 * time.Second, LoadLimit: 30 * time.Minute, UnreachableLimit: time.Minute,
		RetryMin: time.Second, RetryMax: 2 * time.Minute, StatusPause: time.Second,
	}
}

const (
	// Candidates is the number of hosts, ranked first, that read a pool's lease.
	Candidates = 2
	// maxReadsPerTick bounds the reads of engines of one pool per tick.
	maxReadsPerTick = 16
	// maxFailing is the number of workers on which an order may fail before any worker has reached the
	// wanted state. It keeps a ticket with a broken version from taking down the whole pool.
	maxFailing = 2
	// clockMargin is the part of the lease that a holder does not use, for clocks of different speed.
	clockMargin = 10
)

// State is the subsystem "orders".
type State struct {
	holder string
	times  Times
	pools  map[string]*pool
}

// NewState returns a state that waits for the event Started.
func NewState() *State { return &State{pools: map[string]*pool{}} }

// stage is how far the order under way is.
type stage int

const (
	stageIdle stage = iota
	stagePreparing
	stageSending
	stageLoading
)

// pool is the state of one pool.
type pool struct {
	name   string
	wanted bool // it is an engine pool of the configuration
	target config.Pool
	rank   int // Candidates or more: no candidate

	// What was last read or written of the lease object; seenAt is when this version was first seen.
	leaseKnown bool
	lease      Lease
	version    uint64
	seenAt     clock.Millis
	// nextLease is when the lease is to be read or renewed next.
	nextLease clock.Millis
	busyLease bool          // a read or a write is under way
	unsettled *LeaseWritten // a write whose answer was lost

	held       bool
	heldSince  clock.Millis
	validUntil clock.Millis
	// quietUntil is when no order of an earlier holder can arrive any more.
	quietUntil clock.Millis
	// minFence is the highest fencing number that an engine named.
	minFence uint64

	workers    map[string]*worker
	current    string // the worker with the order under way
	stage      stage
	op         uint64
	order      *Order // nil while another manager's order is under way
	orderedAt  clock.Millis
	pauseUntil clock.Millis

	statusWritten  string
	statusSending  string
	statusNextTime clock.Millis
}

// worker is the state of one engine.
type worker struct {
	Engine
	known       bool // it was read, or found unreachable, since this host became the manager
	state       EngineState
	stateKnown  bool
	unreachable string // the error of the last read
	answeredAt  clock.Millis
	reads       uint64
	ignoreReads uint64 // reads up to this number began before the last order
	reading     bool
	nextRead    clock.Millis
	failures    int
	lastError   string
	notBefore   clock.Millis
	reported    bool // usable was reported
	usable      bool
}

// Reduce implements core.Subsystem.
func (s *State) Reduce(at clock.Millis, ev event.Event) []event.Effect {
	switch e := ev.(type) {
	case Started:
		s.holder, s.times = e.Holder, e.Times
	case Configured:
		s.configured(e)
	case EnginesListed:
		s.enginesListed(e)
	case Ticked:
		if s.holder != "" {
			return s.ticked(at, e)
		}
	}
	p, ok := s.pools[poolOf(ev)]
	if !ok {
		return nil
	}
	switch e := ev.(type) {
	case LeaseSeen:
		return s.leaseSeen(p, at, e)
	case LeaseWritten:
		return s.leaseWritten(p, at, e)
	case EngineSeen:
		return s.engineSeen(p, at, e)
	case Prepared:
		return s.prepared(p, at, e)
	case Ordered:
		return s.ordered(p, at, e)
	case StatusWritten:
		if e.Written {
			p.statusWritten = p.statusSending
		}
		p.statusSending = ""
	}
	return nil
}

func poolOf(ev event.Event) string {
	switch e := ev.(type) {
	case LeaseSeen:
		return e.Pool
	case LeaseWritten:
		return e.Pool
	case EngineSeen:
		return e.Pool
	case Prepared:
		return e.Pool
	case Ordered:
		return e.Pool
	case StatusWritten:
		return e.Pool
	}
	return ""
}

func (s *State) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{name: name, rank: Candidates, workers: map[string]*worker{}}
		s.pools[name] = p
	}
	return p
}

func (s *State) configured(e Configured) {
	for _, p := range s.pools {
		p.wanted = false
	}
	for _, np := range e.Pools {
		p := s.pool(np.Name)
		p.wanted = true
		if !sameTarget(p.target, np.Pool) {
			for _, w := range p.workers {
				w.failures, w.notBefore, w.lastError = 0, 0, ""
			}
		}
		p.target = np.Pool
	}
	for _, p := range s.pools {
		if !p.wanted {
			p.clear()
		}
	}
}

// sameTarget reports whether two versions of a pool ask the same of its engines.
func sameTarget(a, b config.Pool) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

func (s *State) enginesListed(e EnginesListed) {
	live := map[string]bool{}
	for _, g := range e.Engines {
		live[g.Name] = true
		p := s.pool(g.Pool)
		if w, ok := p.workers[g.Name]; ok && w.Engine == g {
			continue
		}
		p.workers[g.Name] = &worker{Engine: g}
	}
	for _, p := range s.pools {
		for name, w := range p.workers {
			if live[name] && w.Pool == p.name {
				continue
			}
			delete(p.workers, name)
			if p.current == name {
				p.clear()
			}
		}
	}
}

func (s *State) ticked(at clock.Millis, e Ticked) []event.Effect {
	for _, p := range s.pools {
		p.rank = Candidates
	}
	for _, r := range e.Ranks {
		s.pool(r.Pool).rank = r.Rank
	}
	var effects []event.Effect
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		effects = append(effects, s.stepLease(p, at)...)
		effects = append(effects, s.step(p, at)...)
	}
	return effects
}

// step does what is due in a pool that this host manages.
func (s *State) step(p *pool, at clock.Millis) []event.Effect {
	if !p.valid(at) || !p.wanted {
		return nil
	}
	if at < p.quietUntil {
		return nil
	}
	effects := s.readEngines(p, at)
	effects = append(effects, s.checkLoad(p, at)...)
	effects = append(effects, s.nextWorker(p, at)...)
	return append(effects, s.writeStatus(p, at)...)
}

// readEngines reads the engines whose turn it is.
func (s *State) readEngines(p *pool, at clock.Millis) []event.Effect {
	var effects []event.Effect
	for _, name := range p.names() {
		w := p.workers[name]
		if w.reading || at < w.nextRead || len(effects) == maxReadsPerTick {
			continue
		}
		w.reading = true
		w.reads++
		w.nextRead = at.Add(s.times.IdlePoll)
		if name == p.current || w.state.Loading {
			w.nextRead = at.Add(s.times.LoadPoll)
		}
		effects = append(effects, ReadEngine{Pool: p.name, Engine: name, Address: w.Address, Read: w.reads})
	}
	return effects
}

// nextWorker begins the next order if none is under way. It waits until every worker was read after the
// last order of an earlier manager can have arrived, because that order may still be under way. Engines
// that check the fencing number would refuse a late order only once they got one with the new number, so
// the wait is the same for all engines.
func (s *State) nextWorker(p *pool, at clock.Millis) []event.Effect {
	if p.current != "" || at < p.pauseUntil {
		return nil
	}
	reached, failing := 0, 0
	var best *worker
	for _, name := range p.names() {
		w := p.workers[name]
		if !w.known {
			return nil
		}
		if w.unreachable == "" && w.state.Loading {
			p.current, p.stage, p.order, p.orderedAt = name, stageLoading, nil, at
			return s.reportUsable(p, w)
		}
		if w.failures > 0 {
			failing++
		}
		if w.unreachable != "" {
			continue
		}
		if nextOrder(p.target, w.state) == nil {
			reached++
			continue
		}
		if at >= w.notBefore && (best == nil || w.failures < best.failures) {
			best = w
		}
	}
	if best != nil && best.failures == 0 && reached == 0 && failing >= maxFailing {
		best = p.retriable(at)
	}
	if best == nil {
		return nil
	}
	return s.begin(p, best, nextOrder(p.target, best.state))
}

// retriable returns a worker whose order failed and may be repeated now.
func (p *pool) retriable(at clock.Millis) *worker {
	for _, name := range p.names() {
		w := p.workers[name]
		if w.failures > 0 && w.unreachable == "" && at >= w.notBefore {
			return w
		}
	}
	return nil
}

// nextOrder returns the order that brings an engine closer to the target, or nil. An empty version or
// role in the target means that any will do; adapters beyond the target stay.
func nextOrder(t config.Pool, st EngineState) *Order {
	if st.Model != t.Model || (t.Version != "" && st.Version != t.Version) {
		return &Order{Kind: LoadModel, Model: t.Model, Version: t.Version}
	}
	for _, a := range t.Adapters {
		if !slices.Contains(st.Adapters, a) {
			return &Order{Kind: LoadAdapter, Model: t.Model, Version: t.Version, Adapter: a}
		}
	}
	if t.Role != "" && st.Role != t.Role {
		return &Order{Kind: SetRole, Role: t.Role}
	}
	return nil
}

func (s *State) begin(p *pool, w *worker, o *Order) []event.Effect {
	p.op++
	p.current, p.stage, p.order = w.Name, stagePreparing, o
	effects := s.reportUsable(p, w)
	return append(effects, Prepare{Pool: p.name, Op: p.op, Engine: w.Name, Order: *o})
}

func (s *State) prepared(p *pool, at clock.Millis, e Prepared) []event.Effect {
	if e.Op != p.op || p.stage != stagePreparing {
		return nil
	}
	w := p.workers[p.current]
	if !p.valid(at) || !p.wanted {
		return s.finish(p)
	}
	if next := nextOrder(p.target, w.state); next == nil || *next != *p.order {
		// The configuration changed meanwhile.
		return s.finish(p)
	}
	p.stage = stageSending
	return []event.Effect{Send{
		Pool: p.name, Op: p.op, Engine: w.Name, Address: w.Address,
		Fence: p.lease.Fence, Order: *p.order, ValidUntil: p.validUntil,
	}}
}

func (s *State) ordered(p *pool, at clock.Millis, e Ordered) []event.Effect {
	if e.Op != p.op || p.stage != stageSending {
		return nil
	}
	w := p.workers[p.current]
	switch e.Result {
	case Accepted, Unclear:
		p.stage, p.orderedAt = stageLoading, at
		w.ignoreReads, w.nextRead = w.reads, at
		w.lastError = e.Error
		return nil
	case Fenced:
		p.minFence = max(p.minFence, e.Fence)
		return append(s.finish(p), s.drop(p)...)
	case Lapsed:
		return s.finish(p)
	}
	if e.RetryAfterMS > 0 {
		// The weight store's rate is shared by all workers.
		p.pauseUntil = at.Add(time.Duration(e.RetryAfterMS) * time.Millisecond)
		w.lastError = e.Error
		return s.finish(p)
	}
	return s.failed(p, w, at, e.Error)
}

// failed ends the order under way; the worker's next one has to wait.
func (s *State) failed(p *pool, w *worker, at clock.Millis, reason string) []event.Effect {
	w.failures++
	w.lastError = reason
	pause := s.times.RetryMin
	for i := 1; i < w.failures && pause < s.times.RetryMax; i++ {
		pause *= 2
	}
	w.notBefore = at.Add(min(pause, s.times.RetryMax))
	return s.finish(p)
}

// finish ends the order under way.
func (s *State) finish(p *pool) []event.Effect {
	w := p.workers[p.current]
	p.clear()
	if w == nil {
		return nil
	}
	return s.reportUsable(p, w)
}

func (p *pool) clear() { p.current, p.stage, p.order = "", stageIdle, nil }

func (s *State) engineSeen(p *pool, at clock.Millis, e EngineSeen) []event.Effect {
	w, ok := p.workers[e.Engine]
	if !ok || e.Read != w.reads || !w.reading {
		return nil
	}
	w.reading = false
	if e.Read <= w.ignoreReads {
		w.nextRead = at
		return nil
	}
	w.known = true
	w.unreachable = e.Error
	if e.Error == "" {
		w.state, w.stateKnown, w.answeredAt = e.State, true, at
	}
	if !p.valid(at) || !p.wanted {
		return nil
	}
	var effects []event.Effect
	if p.current == w.Name && p.stage == stageLoading && e.Error == "" {
		effects = s.loadSeen(p, w, at)
	}
	effects = append(effects, s.reportUsable(p, w)...)
	return append(effects, s.step(p, at)...)
}

// loadSeen goes on after a read of the worker with the order under way.
func (s *State) loadSeen(p *pool, w *worker, at clock.Millis) []event.Effect {
	if w.state.Loading {
		return nil
	}
	next := nextOrder(p.target, w.state)
	switch {
	case next == nil:
		w.failures, w.lastError, w.notBefore = 0, "", 0
		return s.finish(p)
	case p.order != nil && *next == *p.order:
		if at.Sub(p.orderedAt) < s.times.LoadGrace {
			return nil
		}
		return s.failed(p, w, at, "the engine stopped loading without the result of the order")
	}
	return s.begin(p, w, next)
}

// checkLoad gives up a load that takes too long, or whose engine cannot be reached any more.
func (s *State) checkLoad(p *pool, at clock.Millis) []event.Effect {
	if p.stage != stageLoading {
		return nil
	}
	w := p.workers[p.current]
	switch {
	case at.Sub(p.orderedAt) >= s.times.LoadLimit:
		w.state.Loading = false
		return s.failed(p, w, at, "the engine did not finish loading within the time limit")
	case w.unreachable != "" && at.Sub(max(p.orderedAt, w.answeredAt)) >= s.times.UnreachableLimit:
		return s.failed(p, w, at, w.unreachable)
	}
	return nil
}

// reportUsable reports whether the worker may get calls, if that changed. A worker with another version
// serves on until its turn comes; one with another model cannot.
func (s *State) reportUsable(p *pool, w *worker) []event.Effect {
	if !w.stateKnown {
		return nil
	}
	usable := p.current != w.Name && !w.state.Loading && w.state.Model == p.target.Model
	if w.reported && usable == w.usable {
		return nil
	}
	w.reported, w.usable = true, usable
	return []event.Effect{Usable{Pool: p.name, Engine: w.Name, Fence: p.lease.Fence, Usable: usable}}
}

func (p *pool) names() []string { return slices.Sorted(maps.Keys(p.workers)) }
