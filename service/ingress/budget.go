package ingress

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

// KindBudgets is the kind of the records of programs that were granted more than one host's share.
const KindBudgets = "program-budgets"

const (
	// reserveTimeout bounds the question to the host that accounts for a program: the round trip between failure
	// domains with one retransmission of a lost packet, 200 ms.
	reserveTimeout = 250 * time.Millisecond
	// maxReserveHosts is how many hosts are asked in turn. The ledger's shares allow for three.
	maxReserveHosts = 3
	// localReserveTimeout bounds how long the host that accounts for a program waits for the store, so that its answer
	// arrives within reserveTimeout.
	localReserveTimeout = 180 * time.Millisecond
	// maxReserveTries and reservePause bound how often a host is asked that waits for the store, or for the program's
	// other turns: 2 s, within the time after which callers give a stream up.
	maxReserveTries      = 8
	reserveRetryInterval = 60 * time.Millisecond
	// findHomeTimeout bounds the wait for a host that accounts for a program: a host is ready within it after its start.
	findHomeTimeout = 600 * time.Millisecond
	// handoverWait is how long after its start a host trusts that the others have handed their accounts over.
	handoverWait = 3 * time.Second
	// discoveryWait is how long after a host has found itself in the list it has heard of the hosts that found
	// themselves there at the same time: they send a beat at once, and its way takes a few ms. It is less than half of
	// noHomeWait.
	discoveryWait = 250 * time.Millisecond
	// startupOutageThreshold is the time from a start to the first read of the records after which the store was away: three
	// calls that time out take longer, calls of a slow store do not.
	startupOutageThreshold = 2 * time.Second
	// maxAccountLifetime is the longest retention of programs, 60 s, and the time after which accounts are dropped.
	maxAccountLifetime = 70 * time.Second
	// maxSettleTries and settlePause bound how often a settlement is sent; it must arrive within the second after which
	// an ended turn no longer counts at its most.
	maxSettleTries      = 4
	settleRetryInterval = 200 * time.Millisecond
	// recordWriteTimeout bounds a write of a record, reads of its outcome included.
	recordWriteTimeout = 1500 * time.Millisecond
	// budgetTickInterval is how often accounts and records are looked at.
	budgetTickInterval = time.Second
)

// budgetService is this host's part of the budgets: the ledger, and the questions to other hosts.
type budgetService struct {
	self  fleet.Host
	hosts *Hosts
	node  *wire.Node
	store objectapi.Store
	clock clock.Clock
	// storeReachable reports whether this host or a peer has the store.
	storeReachable func() bool
	// recentHosts returns the hosts that have been heard of, listed or not.
	recentHosts func() []fleet.Host

	mu            sync.Mutex
	ledger        *ledger.Ledger
	lastRequestID uint64
	pending       map[uint64]chan ledger.ReserveReply
	// homeByAttempt remembers which host granted a running turn, by attempt.
	homeByAttempt map[string]fleet.Host
	startedAt     time.Time
	// recordsReadAt is when the records were first read.
	recordsReadAt time.Time
	// handingOver is set once this host hands its accounts over.
	handingOver bool
}

func newBudgetService(self fleet.Host, hosts *Hosts, node *wire.Node, store objectapi.Store, available func() bool, heardOf func() []fleet.Host) *budgetService {
	a := &budgetService{
		self: self, hosts: hosts, node: node, store: store, clock: clock.System(), startedAt: time.Now(), storeReachable: available, recentHosts: heardOf,
		ledger: ledger.New(), pending: map[uint64]chan ledger.ReserveReply{}, homeByAttempt: map[string]fleet.Host{},
	}
	node.Handle(wire.TypeReserve, a.serveReserve)
	node.Handle(wire.TypeSettle, a.serveSettle)
	node.Handle(wire.TypeAccounts, a.serveAccounts)
	node.Handle(wire.TypeRecall, a.serveRecall)
	return a
}

type settlement struct {
	ledger.Settlement
	// Forwarded is set on a settlement that a former home passed on.
	Forwarded bool
}

var errNoHome = errors.New("no host accounts for the program now")

// Reserve implements Budgets. While no host can account for the program, it asks again for a short time: hosts that
// start or leave are ready, or known to be gone, soon.
func (a *budgetService) Reserve(ctx context.Context, r Reservation) (ReservationResult, error) {
	turn := ledger.Turn{
		Program: r.Program, AttemptID: r.Attempt, Budget: r.Budget, MaxTokens: r.MaxTokens, Retention: r.Retention,
		SessionID: r.Session,
	}
	for began := time.Now(); ; {
		allowance, err := a.reserveOnce(ctx, turn)
		if !errors.Is(err, errNoHome) || time.Since(began) > findHomeTimeout {
			return allowance, err
		}
		select {
		case <-time.After(reserveRetryInterval):
		case <-ctx.Done():
			return allowance, ctx.Err()
		}
	}
}

// reserveOnce asks the hosts that may account for the program, in the order of their ranks.
func (a *budgetService) reserveOnce(ctx context.Context, turn ledger.Turn) (ReservationResult, error) {
	asked := 0
	for _, h := range fleet.RendezvousOrder(a.homeCandidates(), turn.Program) {
		if asked == maxReserveHosts {
			break
		}
		answer, err := a.reserveWithRetry(ctx, h, turn)
		if ctx.Err() != nil {
			return ReservationResult{}, ctx.Err()
		}
		if err != nil {
			asked++
			a.hosts.RecordContact(h.Name, err)
			continue
		}
		if answer.Decision != ledger.NotReady {
			return a.resultOf(h, turn, answer)
		}
	}
	return ReservationResult{}, errNoHome
}

// resultOf turns a home's answer into an allowance or an error.
func (a *budgetService) resultOf(h fleet.Host, turn ledger.Turn, answer ledger.ReserveReply) (ReservationResult, error) {
	allowance := ReservationResult{Home: h.Name, CacheServer: answer.CachedPrompt.Server, CachedTokens: answer.CachedPrompt.Tokens}
	switch answer.Decision {
	case ledger.Allowed:
		a.mu.Lock()
		a.homeByAttempt[turn.AttemptID] = h
		a.mu.Unlock()
		return allowance, nil
	case ledger.BudgetExhausted:
		logging.Emit(logging.BudgetExhausted, logging.Fields{
			"request": turn.AttemptID, "program": turn.Program, "budget": turn.Budget, "most_tokens": turn.MaxTokens, "home": h.Name,
		})
		return allowance, ErrBudgetExhausted
	default:
		return allowance, errors.Newf("host %s: program needs a grant and the store gives none", h.Name)
	}
}

// homeCandidates returns the hosts that may account for programs.
func (a *budgetService) homeCandidates() []fleet.Host {
	live := a.hosts.Reachable()
	out := live[:0]
	for _, h := range live {
		if !h.Draining {
			out = append(out, h)
		}
	}
	return out
}

// reserveWithRetry asks a host again that waits for the store.
func (a *budgetService) reserveWithRetry(ctx context.Context, h fleet.Host, turn ledger.Turn) (ledger.ReserveReply, error) {
	for try := 1; ; try++ {
		v, err := a.reserveAt(ctx, h, turn)
		if err != nil || v.Decision != ledger.GrantUnavailable || try == maxReserveTries {
			return v, err
		}
		select {
		case <-time.After(reserveRetryInterval):
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

func (a *budgetService) reserveAt(ctx context.Context, h fleet.Host, turn ledger.Turn) (ledger.ReserveReply, error) {
	if h.Name == a.self.Name {
		return a.reserveLocally(ctx, turn), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var v ledger.ReserveReply
	err := a.node.Call(ctx, h.PeerAddress, wire.TypeReserve, turn, &v)
	return v, err
}

// sharePolicy returns what this host may assume about a program of which it has no account. Ranks count all hosts that are
// listed or have been heard of, reachable or not: a host's list lacks those that started later, if the store fell silent
// in between, but they send it beats. A host that is not introduced to the others trusts nothing.
func (a *budgetService) sharePolicy(program string) ledger.SharePolicy {
	if !a.hasDiscoveredHosts() {
		return ledger.GrantRequired
	}
	var known []fleet.Host
	names := map[string]bool{}
	for _, h := range slices.Concat(a.hosts.All(), a.recentHosts()) {
		if !h.Draining && !names[h.Name] {
			names[h.Name] = true
			known = append(known, h)
		}
	}
	settled := a.sinceRecordsRead() > handoverWait
	for i, h := range fleet.RendezvousOrder(known, program) {
		switch {
		case h.Name != a.self.Name:
		case i == 0 && settled:
			return ledger.ShareAllowed
		case i <= 1:
			return ledger.ShareIfStoreDown
		}
	}
	return ledger.GrantRequired
}

// hasDiscoveredHosts reports whether this host and the others know of each other.
func (a *budgetService) hasDiscoveredHosts() bool { return a.hosts.SelfListedFor() >= discoveryWait }

// sinceRecordsRead returns how long ago the records were first read.
func (a *budgetService) sinceRecordsRead() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.recordsReadAt.IsZero() {
		return 0
	}
	return time.Since(a.recordsReadAt)
}

// reserveLocally asks the ledger of this host.
func (a *budgetService) reserveLocally(ctx context.Context, turn ledger.Turn) ledger.ReserveReply {
	if !a.hasDiscoveredHosts() {
		return ledger.ReserveReply{Decision: ledger.NotReady}
	}
	trust := a.sharePolicy(turn.Program)
	a.mu.Lock()
	if a.handingOver {
		a.mu.Unlock()
		return ledger.ReserveReply{Decision: ledger.NotReady}
	}
	a.lastRequestID++
	ticket := a.lastRequestID
	answer := make(chan ledger.ReserveReply, 1)
	a.pending[ticket] = answer
	effects := a.ledger.Reserve(a.clock.Now(), ticket, turn, trust)
	a.applyEffects(effects)
	a.mu.Unlock()
	limit := time.NewTimer(localReserveTimeout)
	defer limit.Stop()
	select {
	case v := <-answer:
		return v
	case <-limit.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, ticket)
	a.ledger.CancelPending(ticket, turn.Program)
	return ledger.ReserveReply{Decision: ledger.GrantUnavailable}
}

// applyEffects carries out effects; a.mu is held.
func (a *budgetService) applyEffects(effects []ledger.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.ReserveReply:
			if c, ok := a.pending[e.RequestID]; ok {
				delete(a.pending, e.RequestID)
				c <- e
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

// write stores a record and reports the outcome to the ledger.
// reread reads a record that another host wrote.
// recall asks the holder of a grant for its account. A holder that is gone, or that has started anew, has none.
// list reads all records. Records need no watch: a host that misses one hands out no more than its share.
// Settle implements Budgets. It does not wait for the home.
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
	logging.Emit(logging.SettleFailed, logging.Fields{"request": s.AttemptID, "program": s.Program, "tokens": s.DeliveredTokens, "peer": peer, "error": err})
}

// settleLocally books a settlement, or passes it on to the host that took the program over.
func (a *budgetService) settleLocally(s settlement) {
	a.mu.Lock()
	known := a.ledger.HasAccount(s.Program)
	if known {
		a.applyEffects(a.ledger.Settle(a.clock.Now(), s.Settlement))
	}
	a.mu.Unlock()
	if known || s.Forwarded {
		return
	}
	s.Forwarded = true
	for _, h := range fleet.RendezvousOrder(a.homeCandidates(), s.Program) {
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
	_ = r.Answer(a.reserveLocally(ctx, turn)) // the asker is gone if this fails; its next attempt has another ID
}

func (a *budgetService) serveSettle(_ context.Context, r *wire.Request) {
	var s settlement
	if err := r.Decode(&s); err != nil {
		_ = r.Fail(err)
		return
	}
	a.settleLocally(s)
	_ = r.Answer(nil) // a settlement that is sent again finds its turn settled
}

// move hands accounts to the hosts that account for the programs now. A host that leaves hands over all.
// run reads the records at the start and whenever the hosts change, moves accounts to the hosts that keep them now,
// and looks at accounts and records from time to time.
// ready reports whether the records have been read.
// incarnations names a set of hosts and their starts.
