package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// Settings are the durations of the subsystem. They are the same on all hosts.
type Settings struct {
	// LeaseDuration is the duration of the lease; Renew is the pause between renewals, and between the reads of
	// a candidate.
	LeaseDuration time.Duration `json:"Lease" msgpack:"Lease"`
	RenewInterval time.Duration `json:"Renew" msgpack:"Renew"`
	// MinHoldTime is the least time before a manager hands over to a host that ranks higher, so that two
	// hosts do not pass the lease to and fro.
	MinHoldTime time.Duration `json:"MinHold" msgpack:"MinHold"`
	// MaxOrderTransit is the longest time that an order may be on its way to an engine.
	MaxOrderTransit time.Duration `json:"InFlight" msgpack:"InFlight"`
	// IdlePollInterval and LoadPoll are the pauses between two reads of an idle and of a loading engine.
	IdlePollInterval time.Duration `json:"IdlePoll" msgpack:"IdlePoll"`
	LoadPollInterval time.Duration `json:"LoadPoll" msgpack:"LoadPoll"`
	// LoadGracePeriod is the time after an order in which an engine need not show yet that it loads.
	LoadGracePeriod time.Duration `json:"LoadGrace" msgpack:"LoadGrace"`
	// LoadTimeout bounds the load of one order.
	LoadTimeout time.Duration `json:"LoadLimit" msgpack:"LoadLimit"`
	// UnreachableTimeout is how long the pool waits for a loading engine that cannot be reached.
	UnreachableTimeout time.Duration `json:"UnreachableLimit" msgpack:"UnreachableLimit"`
	// MinBackoff and RetryMax bound the pause after a failed order; it doubles with each failure.
	MinBackoff time.Duration `json:"RetryMin" msgpack:"RetryMin"`
	MaxBackoff time.Duration `json:"RetryMax" msgpack:"RetryMax"`
	// MinStatusInterval is the least time between two writes of a status object.
	MinStatusInterval time.Duration `json:"StatusPause" msgpack:"StatusPause"`
}

// DefaultSettings are the times of a deployment. A lease of 15 s costs a fifth of a write per second and
// pool; orders are not urgent.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration: 15 * time.Second, RenewInterval: 5 * time.Second, MinHoldTime: time.Minute, MaxOrderTransit: 3 * time.Second,
		IdlePollInterval: 5 * time.Second, LoadPollInterval: time.Second, LoadGracePeriod: 2 * time.Second, LoadTimeout: 30 * time.Minute, UnreachableTimeout: time.Minute,
		MinBackoff: time.Second, MaxBackoff: 2 * time.Minute, MinStatusInterval: time.Second,
	}
}

const (
	// MaxCandidates is the number of hosts, ranked first, that read a pool's lease.
	MaxCandidates = 2
	// maxEngineReadsPerTick bounds the reads of engines of one pool per tick.
	maxEngineReadsPerTick = 16
	// maxFailingWorkers is the number of workers on which an order may fail before any worker has reached the
	// wanted state. It keeps a ticket with a broken version from taking down the whole pool.
	maxFailingWorkers = 2
	// clockMarginDivisor is the part of the lease that a holder does not use, for clocks of different speed.
	clockMarginDivisor = 10
)

// State is the subsystem "orders".
type State struct {
	holder   string
	settings Settings
	pools    map[string]*pool
}

// NewState returns a state that waits for the event Started.
func NewState() *State { return &State{pools: map[string]*pool{}} }

// stage is how far the order under way is.
type stage int

const (
	stageIdle stage = iota
	stageDraining
	stageSending
	stageLoading
)

// pool is the state of one pool.
type pool struct {
	name       string
	configured bool // it is an engine pool of the configuration
	target     config.Pool
	rank       int // Candidates or more: no candidate

	// What was last read or written of the lease object; seenAt is when this version was first seen.
	leaseKnown   bool
	lease        Lease
	leaseVersion uint64
	leaseSeenAt  clock.Millis
	// nextLeaseStep is when the lease is to be read or renewed next.
	nextLeaseStep    clock.Millis
	leaseStepPending bool          // a read or a write is under way
	unconfirmedWrite *LeaseWritten // a write whose answer was lost

	leaseHeld       bool
	leaseHeldSince  clock.Millis
	leaseValidUntil clock.Millis
	// priorOrdersExpireAt is when no order of an earlier holder can arrive any more.
	priorOrdersExpireAt clock.Millis
	// maxSeenFencingToken is the highest fencing number that an engine named.
	maxSeenFencingToken uint64

	workers          map[string]*worker
	currentWorker    string // the worker with the order under way
	stage            stage
	orderID          uint64
	order            *Order // nil while another manager's order is under way
	orderStartedAt   clock.Millis
	rateLimitedUntil clock.Millis

	lastStatus      string
	pendingStatus   string
	nextStatusWrite clock.Millis
}

// worker is the state of one engine.
type worker struct {
	Engine
	probed         bool // it was read, or found unreachable, since this host became the manager
	state          EngineState
	stateKnown     bool
	readError      string // the error of the last read
	lastAnswerAt   clock.Millis
	lastReadID     uint64
	staleReadID    uint64 // reads up to this number began before the last order
	readPending    bool
	nextRead       clock.Millis
	failures       int
	lastError      string
	retryAt        clock.Millis
	usableReported bool // usable was reported
	usable         bool
}

// Reduce implements core.Subsystem.
func (s *State) Reduce(at clock.Millis, ev event.Event) []event.Effect {
	switch e := ev.(type) {
	case Started:
		s.holder, s.settings = e.Holder, e.Settings
	case PoolsConfigured:
		s.handlePoolsConfigured(e)
	case EnginesListed:
		s.handleEnginesListed(e)
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
	case LeaseRead:
		return s.handleLeaseRead(p, at, e)
	case LeaseWritten:
		return s.handleLeaseWritten(p, at, e)
	case EngineRead:
		return s.handleEngineRead(p, at, e)
	case WorkerDrained:
		return s.handleWorkerDrained(p, at, e)
	case SendOrderCompleted:
		return s.handleSendOrderCompleted(p, at, e)
	case StatusWritten:
		if e.Written {
			p.lastStatus = p.pendingStatus
		}
		p.pendingStatus = ""
	}
	return nil
}

func poolOf(ev event.Event) string {
	switch e := ev.(type) {
	case LeaseRead:
		return e.Pool
	case LeaseWritten:
		return e.Pool
	case EngineRead:
		return e.Pool
	case WorkerDrained:
		return e.Pool
	case SendOrderCompleted:
		return e.Pool
	case StatusWritten:
		return e.Pool
	}
	return ""
}

func (s *State) ensurePool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{name: name, rank: MaxCandidates, workers: map[string]*worker{}}
		s.pools[name] = p
	}
	return p
}

func (s *State) handlePoolsConfigured(e PoolsConfigured) {
	for _, p := range s.pools {
		p.configured = false
	}
	for _, np := range e.Pools {
		p := s.ensurePool(np.Name)
		p.configured = true
		if !sameTarget(p.target, np.Pool) {
			for _, w := range p.workers {
				w.failures, w.retryAt, w.lastError = 0, 0, ""
			}
		}
		p.target = np.Pool
	}
	for _, p := range s.pools {
		if !p.configured {
			p.clearOrder()
		}
	}
}

// sameTarget reports whether two versions of a pool ask the same of its engines.
func sameTarget(a, b config.Pool) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

func (s *State) handleEnginesListed(e EnginesListed) {
	live := map[string]bool{}
	for _, g := range e.Engines {
		live[g.Name] = true
		p := s.ensurePool(g.Pool)
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
			if p.currentWorker == name {
				p.clearOrder()
			}
		}
	}
}

func (s *State) ticked(at clock.Millis, e Ticked) []event.Effect {
	for _, p := range s.pools {
		p.rank = MaxCandidates
	}
	for _, r := range e.Ranks {
		s.ensurePool(r.Pool).rank = r.Rank
	}
	var effects []event.Effect
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		effects = append(effects, s.advanceLease(p, at)...)
		effects = append(effects, s.managePool(p, at)...)
	}
	return effects
}

// managePool does what is due in a pool that this host manages.
func (s *State) managePool(p *pool, at clock.Millis) []event.Effect {
	if !p.isManager(at) || !p.configured {
		return nil
	}
	if at < p.priorOrdersExpireAt {
		return nil
	}
	effects := s.readEngines(p, at)
	effects = append(effects, s.checkLoadTimeout(p, at)...)
	effects = append(effects, s.startNextOrder(p, at)...)
	return append(effects, s.writeStatus(p, at)...)
}

// readEngines reads the engines whose turn it is.
func (s *State) readEngines(p *pool, at clock.Millis) []event.Effect {
	var effects []event.Effect
	for _, name := range p.workerNames() {
		w := p.workers[name]
		if w.readPending || at < w.nextRead || len(effects) == maxEngineReadsPerTick {
			continue
		}
		w.readPending = true
		w.lastReadID++
		w.nextRead = at.Add(s.settings.IdlePollInterval)
		if name == p.currentWorker || w.state.Loading {
			w.nextRead = at.Add(s.settings.LoadPollInterval)
		}
		effects = append(effects, ReadEngine{Pool: p.name, Engine: name, Address: w.Address, ReadID: w.lastReadID})
	}
	return effects
}

// startNextOrder begins the next order if none is under way. It waits until every worker was read after the
// last order of an earlier manager can have arrived, because that order may still be under way. Engines
// that check the fencing number would refuse a late order only once they got one with the new number, so
// the wait is the same for all engines.
func (s *State) startNextOrder(p *pool, at clock.Millis) []event.Effect {
	if p.currentWorker != "" || at < p.rateLimitedUntil {
		return nil
	}
	reached, failing := 0, 0
	var best *worker
	for _, name := range p.workerNames() {
		w := p.workers[name]
		if !w.probed {
			return nil
		}
		if w.readError == "" && w.state.Loading {
			p.currentWorker, p.stage, p.order, p.orderStartedAt = name, stageLoading, nil, at
			return s.reportUsable(p, w)
		}
		if w.failures > 0 {
			failing++
		}
		if w.readError != "" {
			continue
		}
		if nextOrder(p.target, w.state) == nil {
			reached++
			continue
		}
		if at >= w.retryAt && (best == nil || w.failures < best.failures) {
			best = w
		}
	}
	if best != nil && best.failures == 0 && reached == 0 && failing >= maxFailingWorkers {
		best = p.retryCandidate(at)
	}
	if best == nil {
		return nil
	}
	return s.startOrder(p, best, nextOrder(p.target, best.state))
}

// retryCandidate returns a worker whose order failed and may be repeated now.
func (p *pool) retryCandidate(at clock.Millis) *worker {
	for _, name := range p.workerNames() {
		w := p.workers[name]
		if w.failures > 0 && w.readError == "" && at >= w.retryAt {
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

func (s *State) startOrder(p *pool, w *worker, o *Order) []event.Effect {
	p.orderID++
	p.currentWorker, p.stage, p.order = w.Name, stageDraining, o
	effects := s.reportUsable(p, w)
	return append(effects, DrainWorker{Pool: p.name, OrderID: p.orderID, Engine: w.Name, Order: *o})
}

func (s *State) handleWorkerDrained(p *pool, at clock.Millis, e WorkerDrained) []event.Effect {
	if e.OrderID != p.orderID || p.stage != stageDraining {
		return nil
	}
	w := p.workers[p.currentWorker]
	if !p.isManager(at) || !p.configured {
		return s.finishOrder(p)
	}
	if next := nextOrder(p.target, w.state); next == nil || *next != *p.order {
		// The configuration changed meanwhile.
		return s.finishOrder(p)
	}
	p.stage = stageSending
	return []event.Effect{SendOrder{
		Pool: p.name, OrderID: p.orderID, Engine: w.Name, Address: w.Address,
		FencingToken: p.lease.FencingToken, Order: *p.order, ValidUntil: p.leaseValidUntil,
	}}
}

func (s *State) handleSendOrderCompleted(p *pool, at clock.Millis, e SendOrderCompleted) []event.Effect {
	if e.OrderID != p.orderID || p.stage != stageSending {
		return nil
	}
	w := p.workers[p.currentWorker]
	switch e.Result {
	case OrderAccepted, OrderOutcomeUnknown:
		p.stage, p.orderStartedAt = stageLoading, at
		w.staleReadID, w.nextRead = w.lastReadID, at
		w.lastError = e.Error
		return nil
	case OrderFenced:
		p.maxSeenFencingToken = max(p.maxSeenFencingToken, e.FencingToken)
		return append(s.finishOrder(p), s.loseLease(p)...)
	case OrderLeaseExpired:
		return s.finishOrder(p)
	}
	if e.RetryAfterMS > 0 {
		// The weight store's rate is shared by all workers.
		p.rateLimitedUntil = at.Add(time.Duration(e.RetryAfterMS) * time.Millisecond)
		w.lastError = e.Error
		return s.finishOrder(p)
	}
	return s.failOrder(p, w, at, e.Error)
}

// failOrder ends the order under way; the worker's next one has to wait.
func (s *State) failOrder(p *pool, w *worker, at clock.Millis, reason string) []event.Effect {
	w.failures++
	w.lastError = reason
	pause := s.settings.MinBackoff
	for i := 1; i < w.failures && pause < s.settings.MaxBackoff; i++ {
		pause *= 2
	}
	w.retryAt = at.Add(min(pause, s.settings.MaxBackoff))
	return s.finishOrder(p)
}

// finishOrder ends the order under way.
func (s *State) finishOrder(p *pool) []event.Effect {
	w := p.workers[p.currentWorker]
	p.clearOrder()
	if w == nil {
		return nil
	}
	return s.reportUsable(p, w)
}

func (p *pool) clearOrder() { p.currentWorker, p.stage, p.order = "", stageIdle, nil }

func (s *State) handleEngineRead(p *pool, at clock.Millis, e EngineRead) []event.Effect {
	w, ok := p.workers[e.Engine]
	if !ok || e.ReadID != w.lastReadID || !w.readPending {
		return nil
	}
	w.readPending = false
	if e.ReadID <= w.staleReadID {
		w.nextRead = at
		return nil
	}
	w.probed = true
	w.readError = e.Error
	if e.Error == "" {
		w.state, w.stateKnown, w.lastAnswerAt = e.State, true, at
	}
	if !p.isManager(at) || !p.configured {
		return nil
	}
	var effects []event.Effect
	if p.currentWorker == w.Name && p.stage == stageLoading && e.Error == "" {
		effects = s.checkLoadResult(p, w, at)
	}
	effects = append(effects, s.reportUsable(p, w)...)
	return append(effects, s.managePool(p, at)...)
}

// checkLoadResult goes on after a read of the worker with the order under way.
func (s *State) checkLoadResult(p *pool, w *worker, at clock.Millis) []event.Effect {
	if w.state.Loading {
		return nil
	}
	next := nextOrder(p.target, w.state)
	switch {
	case next == nil:
		w.failures, w.lastError, w.retryAt = 0, "", 0
		return s.finishOrder(p)
	case p.order != nil && *next == *p.order:
		if at.Sub(p.orderStartedAt) < s.settings.LoadGracePeriod {
			return nil
		}
		return s.failOrder(p, w, at, "the engine stopped loading without the result of the order")
	}
	return s.startOrder(p, w, next)
}

// checkLoadTimeout gives up a load that takes too long, or whose engine cannot be reached any more.
func (s *State) checkLoadTimeout(p *pool, at clock.Millis) []event.Effect {
	if p.stage != stageLoading {
		return nil
	}
	w := p.workers[p.currentWorker]
	switch {
	case at.Sub(p.orderStartedAt) >= s.settings.LoadTimeout:
		w.state.Loading = false
		return s.failOrder(p, w, at, "the engine did not finish loading within the time limit")
	case w.readError != "" && at.Sub(max(p.orderStartedAt, w.lastAnswerAt)) >= s.settings.UnreachableTimeout:
		return s.failOrder(p, w, at, w.readError)
	}
	return nil
}

// reportUsable reports whether the worker may get calls, if that changed. A worker with another version
// serves on until its turn comes; one with another model cannot.
func (s *State) reportUsable(p *pool, w *worker) []event.Effect {
	if !w.stateKnown {
		return nil
	}
	usable := p.currentWorker != w.Name && !w.state.Loading && w.state.Model == p.target.Model
	if w.usableReported && usable == w.usable {
		return nil
	}
	w.usableReported, w.usable = true, usable
	return []event.Effect{SetWorkerUsable{Pool: p.name, Engine: w.Name, FencingToken: p.lease.FencingToken, Usable: usable}}
}

func (p *pool) workerNames() []string { return slices.Sorted(maps.Keys(p.workers)) }
