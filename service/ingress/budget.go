package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/founders"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

// KindBudgets is the store's kind of grant records: one for each program that needed more than one host's share.
const KindBudgets = "program-budgets"

const (
	// reserveTimeout bounds a request to a program's home: a round trip between failure domains with one
	// retransmission of a lost packet takes 200 ms.
	reserveTimeout = 250 * time.Millisecond
	// maxReserveHosts bounds the hosts that may fail to reply to one reservation. Each of them may have reserved the turn,
	// and counts it with its max tokens until the account expires.
	maxReserveHosts = 3
	// localReserveTimeout bounds how long a home waits for the store, so that its reply arrives within
	// reserveTimeout.
	localReserveTimeout = 180 * time.Millisecond
	// maxReserveTries and reserveRetryInterval bound the retries at a home that waits for the store, or for the
	// program's other turns, to 2 s: callers give up a stream later than that.
	maxReserveTries      = 8
	reserveRetryInterval = 60 * time.Millisecond
	// maxOutageTries bounds them while the home knows that it does not reach the store: the caller can come back then.
	maxOutageTries = 3
	// findHomeTimeout bounds the wait for a host that can be a program's home. A host is ready within this time
	// after its start.
	findHomeTimeout = 600 * time.Millisecond
	// discoveryWait is the time between a host's finding itself in the list and its first reservations: hosts that
	// found themselves there at the same time send a heartbeat at once, which arrives within a few ms. It is less
	// than half of findHomeTimeout.
	discoveryWait = 250 * time.Millisecond
	// maxSettleTries and settleRetryInterval bound how often a settlement is sent. It must arrive within 1 s, after
	// which an ended turn must no longer count with its max tokens.
	maxSettleTries      = 4
	settleRetryInterval = 200 * time.Millisecond
	// recordWriteTimeout bounds a write of a record, including the reads that determine its outcome.
	recordWriteTimeout = 1500 * time.Millisecond
	// budgetTickInterval is how often the hosts are checked for changes, and accounts and records for expiry.
	budgetTickInterval = time.Second
)

// budgetService implements Budgets. It serves the ledger of this host, which is the home of a part of the programs,
// and sends reservations and settlements of other programs to their homes.
type budgetService struct {
	self  fleet.Host
	hosts *Hosts
	node  *wire.Node
	store objectapi.Store
	clock clock.Clock
	// storeAvailable reports whether the store is available to this host, and storeReachable whether it may be to a peer.
	storeAvailable, storeReachable func() bool

	foundersLoop *foundersLoop
	// scope receives the metrics; it is set before the host runs.
	scope tally.Scope

	mu            sync.Mutex
	ledger        *ledger.Ledger
	founders      *founders.State
	lastRequestID uint64
	pending       map[uint64]chan ledger.ReserveReply // by request ID
	// homeByAttempt holds the host that allowed a running turn, by attempt ID.
	homeByAttempt map[string]fleet.Host
	// recordsRead is set once the records were read.
	recordsRead bool
	// handingOver is set once this host hands over all accounts because it leaves.
	handingOver bool
}

func newBudgetService(self fleet.Host, hosts *Hosts, node *wire.Node, store objectapi.Store, storeAvailable, storeReachable func() bool) *budgetService {
	state := founders.New(self.Name, self.Incarnation)
	a := &budgetService{
		self: self, hosts: hosts, node: node, store: store, clock: bootClock{}, storeAvailable: storeAvailable, storeReachable: storeReachable, founders: state, scope: tally.NoopScope,
		ledger: ledger.New(state), pending: map[uint64]chan ledger.ReserveReply{}, homeByAttempt: map[string]fleet.Host{},
	}
	a.foundersLoop = newFoundersLoop(a)
	node.Handle(wire.TypeReserve, a.serveReserve)
	node.Handle(wire.TypeSettle, a.serveSettle)
	node.Handle(wire.TypeTransferAccounts, a.serveAccounts)
	node.Handle(wire.TypeRecallAccount, a.serveRecall)
	return a
}

type settlement struct {
	ledger.Settlement
	// Forwarded is set on a settlement that a former home of the program sent on.
	Forwarded bool
}

var errNoHome = errors.New("no host accounts for the program now")

// Reserve implements Budgets. While no host can be the program's home, it retries for findHomeTimeout: by then, a
// starting host is ready and a leaving one no longer counts.
func (a *budgetService) Reserve(ctx context.Context, r Reservation) (ReservationResult, error) {
	turn := ledger.Turn{
		Program: r.Program, AttemptID: r.Attempt, Budget: r.Budget, MaxTokens: r.MaxTokens, Retention: r.Retention,
		SessionID: r.Session,
	}
	for startedAt := time.Now(); ; {
		result, err := a.reserveOnce(ctx, turn)
		if !errors.Is(err, errNoHome) || time.Since(startedAt) > findHomeTimeout {
			return result, err
		}
		select {
		case <-time.After(reserveRetryInterval):
		case <-ctx.Done():
			return result, ctx.Err()
		}
	}
}

// reserveOnce tries the hosts that may be the program's home, in rendezvous order.
func (a *budgetService) reserveOnce(ctx context.Context, turn ledger.Turn) (ReservationResult, error) {
	failedHosts, startingHosts := 0, 0
	for _, h := range a.homeOrder(turn.Program) {
		if failedHosts == maxReserveHosts {
			break
		}
		tries := maxReserveTries
		if startingHosts > 0 {
			tries = 1
		}
		reply, err := a.reserveWithRetry(ctx, h, turn, tries)
		if ctx.Err() != nil {
			return ReservationResult{}, ctx.Err()
		}
		if err != nil {
			failedHosts++
			a.hosts.Fail(h.Name, err)
			continue
		}
		switch {
		case reply.Decision == ledger.NotReady:
			startingHosts++
		case (reply.Decision == ledger.GrantUnavailable || reply.Decision == ledger.StoreUnavailable) && startingHosts > 0:
			// A host earlier in the order may have the program's account as soon as it is ready.
			return ReservationResult{}, errNoHome
		default:
			return a.resultOf(h, turn, reply)
		}
	}
	return ReservationResult{}, errNoHome
}

// resultOf converts the reply of a home. The error is ErrBudgetExhausted, or reports that no grant is available now.
func (a *budgetService) resultOf(h fleet.Host, turn ledger.Turn, reply ledger.ReserveReply) (ReservationResult, error) {
	a.scope.Tagged(map[string]string{"decision": reply.Decision.String()}).Counter("budget_reservations").Inc(1)
	result := ReservationResult{Home: h.Name, CacheServer: reply.CachedPrompt.Server, CachedTokens: reply.CachedPrompt.Tokens}
	switch reply.Decision {
	case ledger.Allowed:
		a.mu.Lock()
		a.homeByAttempt[turn.AttemptID] = h
		a.mu.Unlock()
		return result, nil
	case ledger.BudgetExhausted:
		logging.Emit(logging.BudgetExhausted, logging.Fields{
			"request": turn.AttemptID, "program": turn.Program, "budget": turn.Budget, "most_tokens": turn.MaxTokens, "home": h.Name,
		})
		return result, ErrBudgetExhausted
	case ledger.BudgetUnknown:
		return result, errors.Newf("other hosts may have used what is left of the budget of program %q, by the account of host %s", turn.Program, h.Name)
	default:
		return result, errors.Newf("host %s cannot get a grant for program %q from the store now", h.Name, turn.Program)
	}
}

// homeOrder returns the hosts that may be the program's home, in the order in which they are.
func (a *budgetService) homeOrder(program string) []fleet.Host {
	roles := a.hosts.Roles()
	if len(roles.Homes) == 0 { // no primary host is reachable
		return fleet.HomeOrder(a.hosts.Reachable(), program)
	}
	return fleet.RendezvousOrder(roles.Homes, program)
}

// reserveWithRetry sends a reservation to a host, and again, up to maxTries times, while that host cannot get a grant.
func (a *budgetService) reserveWithRetry(ctx context.Context, h fleet.Host, turn ledger.Turn, maxTries int) (ledger.ReserveReply, error) {
	for try := 1; ; try++ {
		reply, err := a.reserveAt(ctx, h, turn)
		if err != nil || reply.Decision != ledger.GrantUnavailable && reply.Decision != ledger.StoreUnavailable {
			return reply, err
		}
		if try == maxTries || reply.Decision == ledger.StoreUnavailable && try == maxOutageTries {
			return reply, err
		}
		select {
		case <-time.After(reserveRetryInterval):
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

func (a *budgetService) reserveAt(ctx context.Context, h fleet.Host, turn ledger.Turn) (ledger.ReserveReply, error) {
	if h.Name == a.self.Name {
		return a.reserveLocally(ctx, turn), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var reply ledger.ReserveReply
	err := a.node.Call(ctx, h.PeerAddress, wire.TypeReserve, turn, &reply)
	return reply, err
}

// hasDiscoveredHosts reports whether this host and the other hosts have discovered each other, by the list or by
// heartbeats.
func (a *budgetService) hasDiscoveredHosts() bool { return a.hosts.SelfListedFor() >= discoveryWait }

// reserveLocally requests a reservation from the ledger of this host and waits up to localReserveTimeout for the
// reply.
func (a *budgetService) reserveLocally(ctx context.Context, turn ledger.Turn) ledger.ReserveReply {
	if !a.hasDiscoveredHosts() {
		return ledger.ReserveReply{Decision: ledger.NotReady}
	}
	a.mu.Lock()
	if a.handingOver {
		a.mu.Unlock()
		return ledger.ReserveReply{Decision: ledger.NotReady}
	}
	a.lastRequestID++
	requestID := a.lastRequestID
	replies := make(chan ledger.ReserveReply, 1)
	a.pending[requestID] = replies
	a.applyEffects(a.ledger.Reserve(a.clock.Now(), requestID, turn))
	a.mu.Unlock()
	timer := time.NewTimer(localReserveTimeout)
	defer timer.Stop()
	reply := ledger.ReserveReply{Decision: ledger.GrantUnavailable}
	select {
	case reply = <-replies:
	case <-timer.C:
		a.cancelReservation(requestID, turn.Program)
	case <-ctx.Done():
		a.cancelReservation(requestID, turn.Program)
	}
	if reply.Decision == ledger.GrantUnavailable && !a.reachesStore() {
		reply.Decision = ledger.StoreUnavailable
	}
	return reply
}

// cancelReservation withdraws a request that nobody waits for any more.
func (a *budgetService) cancelReservation(requestID uint64, program string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, requestID)
	a.ledger.CancelPending(requestID, program)
}

// reachesStore reports whether a call to the store has a chance: it is available to this host, or may be to a peer. A host
// that reaches no other one does not try its seeds, which takes long.
func (a *budgetService) reachesStore() bool {
	if a.storeAvailable() {
		return true
	}
	isCutOff := a.hosts.Count() > 1 && len(a.hosts.Reachable()) <= 1
	return !isCutOff && a.storeReachable()
}

// applyEffects executes the ledger's effects; a.mu is held.
func (a *budgetService) applyEffects(effects []ledger.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.ReserveReply:
			if replies, ok := a.pending[e.RequestID]; ok {
				delete(a.pending, e.RequestID)
				replies <- e
			}
		case ledger.WriteGrant:
			go a.writeRecord(e)
		case ledger.RecallAccount:
			go a.recall(e)
		case ledger.DeleteRecord:
			go a.removeRecord(e)
		}
	}
}

// Settle implements Budgets. It does not wait for the home to receive the settlement.
func (a *budgetService) Settle(r Reservation, u Usage) {
	a.mu.Lock()
	home, ok := a.homeByAttempt[r.Attempt]
	delete(a.homeByAttempt, r.Attempt)
	a.mu.Unlock()
	if !ok {
		return
	}
	s := settlement{Settlement: ledger.Settlement{
		Program: r.Program, AttemptID: r.Attempt, SessionID: r.Session, DeliveredTokens: u.DeliveredTokens,
		CachedPrompt: ledger.CachedPrompt{Server: u.CacheServer, Tokens: u.CachedTokens},
	}}
	if home.Name == a.self.Name {
		a.settleLocally(s)
		return
	}
	go a.sendSettlement(home.PeerAddress, s)
}

func (a *budgetService) sendSettlement(peer string, s settlement) {
	var err error
	for range maxSettleTries {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		err = a.node.Call(ctx, peer, wire.TypeSettle, s, nil)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(settleRetryInterval)
	}
	logging.Emit(logging.SettlementFailed, logging.Fields{"request": s.AttemptID, "program": s.Program, "tokens": s.DeliveredTokens, "peer": peer, "error": err})
}

// settleLocally applies a settlement to the ledger. If this host has no account of the program, it sends the
// settlement on, once, to the host that is the program's home now.
func (a *budgetService) settleLocally(s settlement) {
	a.mu.Lock()
	hasAccount := a.ledger.HasAccount(s.Program)
	if hasAccount {
		a.applyEffects(a.ledger.Settle(a.clock.Now(), s.Settlement))
	}
	a.mu.Unlock()
	if hasAccount || s.Forwarded {
		return
	}
	s.Forwarded = true
	for _, h := range a.homeOrder(s.Program) {
		if h.Name != a.self.Name {
			go a.sendSettlement(h.PeerAddress, s)
			return
		}
	}
}

func (a *budgetService) serveReserve(ctx context.Context, r *wire.Request) {
	var turn ledger.Turn
	if err := r.Decode(&turn); err != nil {
		_ = r.Fail(err)
		return
	}
	_ = r.Answer(a.reserveLocally(ctx, turn)) // fails if the requesting host is gone; its next request has another ID
}

func (a *budgetService) serveSettle(_ context.Context, r *wire.Request) {
	var s settlement
	if err := r.Decode(&s); err != nil {
		_ = r.Fail(err)
		return
	}
	a.settleLocally(s)
	_ = r.Answer(nil) // if this fails, the settlement is sent again and has no effect
}
