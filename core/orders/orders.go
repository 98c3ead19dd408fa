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
	// LeaseDuration is the validity of a lease from the time at which its write was sent.
	LeaseDuration time.Duration `json:"Lease" msgpack:"Lease"`
	// RenewInterval is the time between the renewals of the holder, and between the reads of a candidate.
	RenewInterval time.Duration `json:"Renew" msgpack:"Renew"`
	// MinHoldTime is the minimum time before a manager hands over to a host of better rank, so that the lease does
	// not alternate between two hosts.
	MinHoldTime time.Duration `json:"MinHold" msgpack:"MinHold"`
	// MaxOrderTransit is the maximum time between the sending of an order and its arrival at an engine.
	MaxOrderTransit time.Duration `json:"InFlight" msgpack:"InFlight"`
	// IdlePollInterval and LoadPollInterval are the times between two reads of an idle and of a loading engine.
	IdlePollInterval time.Duration `json:"IdlePoll" msgpack:"IdlePoll"`
	LoadPollInterval time.Duration `json:"LoadPoll" msgpack:"LoadPoll"`
	// LoadGracePeriod is the time after an order within which an engine need not report yet that it loads.
	LoadGracePeriod time.Duration `json:"LoadGrace" msgpack:"LoadGrace"`
	// LoadTimeout bounds the load of one order.
	LoadTimeout time.Duration `json:"LoadLimit" msgpack:"LoadLimit"`
	// UnreachableTimeout bounds the time for which the pool waits for a loading engine that cannot be reached.
	UnreachableTimeout time.Duration `json:"UnreachableLimit" msgpack:"UnreachableLimit"`
	// MinBackoff and MaxBackoff bound the delay after a failed order; it doubles with each failure.
	MinBackoff time.Duration `json:"RetryMin" msgpack:"RetryMin"`
	MaxBackoff time.Duration `json:"RetryMax" msgpack:"RetryMax"`
	// MinStatusInterval is the minimum time between two writes of a status object.
	MinStatusInterval time.Duration `json:"StatusPause" msgpack:"StatusPause"`
}

// DefaultSettings returns the settings of a deployment. A lease of 15 s, renewed every 5 s, costs 0.2 writes per second
// and pool; orders are not urgent.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration: 15 * time.Second, RenewInterval: 5 * time.Second, MinHoldTime: time.Minute, MaxOrderTransit: 3 * time.Second,
		IdlePollInterval: 5 * time.Second, LoadPollInterval: time.Second, LoadGracePeriod: 2 * time.Second, LoadTimeout: 30 * time.Minute, UnreachableTimeout: time.Minute,
		MinBackoff: time.Second, MaxBackoff: 2 * time.Minute, MinStatusInterval: time.Second,
	}
}

const (
	// MaxCandidates is the number of hosts, the first in rank, that may claim a pool's lease.
	MaxCandidates = 2
	// maxEngineReadsPerTick bounds the reads of engines of one pool per tick.
	maxEngineReadsPerTick = 16
	// maxFailingWorkers is the number of workers on which an order may fail before any worker has reached the
	// target. It keeps a ticket with a broken version from taking the whole pool out of service.
	maxFailingWorkers = 2
	// A holder does not use the last 1/clockMarginDivisor of its lease, because clocks run at different speeds.
	clockMarginDivisor = 10
)

// State manages the orders of all engine pools. It implements core.Subsystem.
type State struct {
	holder   string
	settings Settings
	pools    map[string]*pool
}

// NewState returns a state that ignores ticks until the event Started.
func NewState() *State { return &State{pools: map[string]*pool{}} }

// stage is the progress of the current order of a pool.
type stage int

const (
	stageIdle stage = iota
	stageDraining
	stageSending
	stageLoading
)

type pool struct {
	name       string
	configured bool // it is an engine pool of the configuration
	target     config.Pool
	rank       int // at least MaxCandidates if this host is no candidate

	// The lease object as last read or written; leaseSeenAt is when this host first read or wrote leaseVersion.
	leaseKnown   bool
	lease        Lease
	leaseVersion uint64
	leaseSeenAt  clock.Millis
	// nextLeaseStep is when the lease is read, renewed or released next.
	nextLeaseStep    clock.Millis
	leaseStepPending bool          // a read or a write of the lease is in progress
	unconfirmedWrite *LeaseWritten // a write whose outcome is unknown

	leaseHeld       bool
	leaseHeldSince  clock.Millis
	leaseValidUntil clock.Millis
	// priorOrdersExpireAt is the time from which no order of an earlier holder can arrive any more.
	priorOrdersExpireAt clock.Millis
	// maxSeenFencingToken is the highest fencing token that an engine returned with OrderFenced.
	maxSeenFencingToken uint64

	workers          map[string]*worker
	currentWorker    string // the worker of the current order; empty if there is none
	stage            stage
	orderID          uint64
	order            *Order // nil while an order of an earlier manager loads
	orderStartedAt   clock.Millis
	rateLimitedUntil clock.Millis

	lastStatus      string
	pendingStatus   string
	nextStatusWrite clock.Millis
}

type worker struct {
	Engine
	probed         bool // a read succeeded or failed since this host became the manager
	state          EngineState
	stateKnown     bool
	readError      string // error of the last read; empty if it succeeded
	lastAnswerAt   clock.Millis
	lastReadID     uint64
	staleReadID    uint64 // reads up to this ID began before the last order or election
	readPending    bool
	nextRead       clock.Millis
	failures       int
	lastError      string
	retryAt        clock.Millis
	usableReported bool // usable was reported since this host became the manager
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
			return s.handleTicked(at, e)
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

// sameTarget reports whether two configurations of a pool have the same target for its engines.
func sameTarget(a, b config.Pool) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

func (s *State) handleEnginesListed(e EnginesListed) {
	live := map[string]bool{}
	for _, engine := range e.Engines {
		live[engine.Name] = true
		p := s.ensurePool(engine.Pool)
		if w, ok := p.workers[engine.Name]; ok && w.Engine == engine {
			continue
		}
		p.workers[engine.Name] = &worker{Engine: engine}
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

func (s *State) handleTicked(at clock.Millis, e Ticked) []event.Effect {
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

// managePool performs whatever is due in a pool that this host manages.
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

// readEngines reads the engines that are due, at most maxEngineReadsPerTick.
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

// startNextOrder starts the next order if the pool has no current one. It waits until every worker was read after the
// last order of an earlier manager can have arrived, because an engine may still execute that order. Engines that check
// the fencing token reject a late order only after they have received one with the new token, so the wait is the same
// for all engines.
func (s *State) startNextOrder(p *pool, at clock.Millis) []event.Effect {
	if p.currentWorker != "" || at < p.rateLimitedUntil {
		return nil
	}
	atTarget, failing := 0, 0
	var chosen *worker
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
			atTarget++
			continue
		}
		if at >= w.retryAt && (chosen == nil || w.failures < chosen.failures) {
			chosen = w
		}
	}
	if chosen != nil && chosen.failures == 0 && atTarget == 0 && failing >= maxFailingWorkers {
		chosen = p.retryCandidate(at)
	}
	if chosen == nil {
		return nil
	}
	return s.startOrder(p, chosen, nextOrder(p.target, chosen.state))
}

// retryCandidate returns a worker whose order failed and may be retried now, or nil.
func (p *pool) retryCandidate(at clock.Millis) *worker {
	for _, name := range p.workerNames() {
		w := p.workers[name]
		if w.failures > 0 && w.readError == "" && at >= w.retryAt {
			return w
		}
	}
	return nil
}

// nextOrder returns the order that brings an engine closer to the target, or nil if the engine has reached it. An empty
// version or role in the target matches any; adapters that are not in the target stay loaded.
func nextOrder(target config.Pool, state EngineState) *Order {
	if state.Model != target.Model || (target.Version != "" && state.Version != target.Version) {
		return &Order{Kind: LoadModel, Model: target.Model, Version: target.Version}
	}
	for _, adapter := range target.Adapters {
		if !slices.Contains(state.Adapters, adapter) {
			return &Order{Kind: LoadAdapter, Model: target.Model, Version: target.Version, Adapter: adapter}
		}
	}
	if target.Role != "" && state.Role != target.Role {
		return &Order{Kind: SetRole, Role: target.Role}
	}
	return nil
}

func (s *State) startOrder(p *pool, w *worker, order *Order) []event.Effect {
	p.orderID++
	p.currentWorker, p.stage, p.order = w.Name, stageDraining, order
	effects := s.reportUsable(p, w)
	return append(effects, DrainWorker{Pool: p.name, OrderID: p.orderID, Engine: w.Name, Order: *order})
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
		// The configuration changed while the worker drained.
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
		// All workers share the rate limit of the weight store.
		p.rateLimitedUntil = at.Add(time.Duration(e.RetryAfterMS) * time.Millisecond)
		w.lastError = e.Error
		return s.finishOrder(p)
	}
	return s.failOrder(p, w, at, e.Error)
}

// failOrder ends the current order and delays the next one of the worker.
func (s *State) failOrder(p *pool, w *worker, at clock.Millis, reason string) []event.Effect {
	w.failures++
	w.lastError = reason
	backoff := s.settings.MinBackoff
	for i := 1; i < w.failures && backoff < s.settings.MaxBackoff; i++ {
		backoff *= 2
	}
	w.retryAt = at.Add(min(backoff, s.settings.MaxBackoff))
	return s.finishOrder(p)
}

// finishOrder ends the current order, whatever its result.
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

// checkLoadResult evaluates a read of the current worker: the target is reached, the order failed, or the next order
// follows.
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
		return s.failOrder(p, w, at, "the engine stopped loading without applying the order "+p.order.String())
	}
	return s.startOrder(p, w, next)
}

// checkLoadTimeout fails the current order if it loads for too long or its engine has become unreachable.
func (s *State) checkLoadTimeout(p *pool, at clock.Millis) []event.Effect {
	if p.stage != stageLoading {
		return nil
	}
	w := p.workers[p.currentWorker]
	switch {
	case at.Sub(p.orderStartedAt) >= s.settings.LoadTimeout:
		w.state.Loading = false
		return s.failOrder(p, w, at, "the engine did not finish loading within "+s.settings.LoadTimeout.String())
	case w.readError != "" && at.Sub(max(p.orderStartedAt, w.lastAnswerAt)) >= s.settings.UnreachableTimeout:
		return s.failOrder(p, w, at, w.readError)
	}
	return nil
}

// reportUsable reports whether the worker may get calls, if that changed. A worker with another version of the model
// gets calls until its own order starts; one with another model gets none.
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
