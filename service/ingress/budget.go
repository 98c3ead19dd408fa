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
	// reserveHosts is how many hosts are asked in turn. The ledger's shares allow for three.
	reserveHosts = 3
	// decideTimeout bounds how long the host that accounts for a program waits for the store, so that its answer
	// arrives within reserveTimeout.
	decideTimeout = 180 * time.Millisecond
	// reserveTries and reservePause bound how often a host is asked that waits for the store, or for the program's
	// other turns: 2 s, within the time after which callers give a stream up.
	reserveTries = 8
	reservePause = 60 * time.Millisecond
	// noHomeWait bounds the wait for a host that accounts for a program: a host is ready within it after its start.
	noHomeWait = 600 * time.Millisecond
	// settledAfter is how long after its start a host trusts that the others have handed their accounts over.
	settledAfter = 3 * time.Second
	// introducedAfter is how long after a host has found itself in the list it has heard of the hosts that found
	// themselves there at the same time: they send a beat at once, and its way takes a few ms. It is less than half of
	// noHomeWait.
	introducedAfter = 250 * time.Millisecond
	// startedInOutage is the time from a start to the first read of the records after which the store was away: three
	// calls that time out take longer, calls of a slow store do not.
	startedInOutage = 2 * time.Second
	// presumeFor is the longest retention of programs, 60 s, and the time after which accounts are dropped.
	presumeFor = 70 * time.Second
	// settleTries and settlePause bound how often a settlement is sent; it must arrive within the second after which
	// an ended turn no longer counts at its most.
	settleTries = 4
	settlePause = 200 * time.Millisecond
	// recordTimeout bounds a write of a record, reads of its outcome included.
	recordTimeout = 1500 * time.Millisecond
	// budgetTick is how often accounts and records are looked at.
	budgetTick = time.Second
)

// accounts is this host's part of the budgets: the ledger, and the questions to other hosts.
type accounts struct {
	self  fleet.Host
	hosts *Hosts
	node  *wire.Node
	store objectapi.Store
	clock clock.Clock
	// available reports whether this host or a peer has the store.
	available func() bool
	// heardOf returns the hosts that have been heard of, listed or not.
	heardOf func() []fleet.Host

	mu      sync.Mutex
	ledger  *ledger.Ledger
	tickets uint64
	answers map[uint64]chan ledger.Answer
	// homes remembers which host granted a running turn, by attempt.
	homes   map[string]fleet.Host
	started time.Time
	// readyAt is when the records were first read.
	readyAt time.Time
	// leaving is set once this host hands its accounts over.
	leaving bool
}

func newAccounts(self fleet.Host, hosts *Hosts, node *wire.Node, store objectapi.Store, available func() bool, heardOf func() []fleet.Host) *accounts {
	a := &accounts{
		self: self, hosts: hosts, node: node, store: store, clock: clock.System(), started: time.Now(), available: available, heardOf: heardOf,
		ledger: ledger.New(), answers: map[uint64]chan ledger.Answer{}, homes: map[string]fleet.Host{},
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
func (a *accounts) Reserve(ctx context.Context, r Reservation) (Allowance, error) {
	turn := ledger.Turn{
		Program: r.Program, Attempt: r.Attempt, Budget: r.Budget, Most: r.Tokens, Retention: r.Retention,
		Session: r.Session,
	}
	for began := time.Now(); ; {
		allowance, err := a.reserveOnce(ctx, turn)
		if !errors.Is(err, errNoHome) || time.Since(began) > noHomeWait {
			return allowance, err
		}
		select {
		case <-time.After(reservePause):
		case <-ctx.Done():
			return allowance, ctx.Err()
		}
	}
}

// reserveOnce asks the hosts that may account for the program, in the order of their ranks.
func (a *accounts) reserveOnce(ctx context.Context, turn ledger.Turn) (Allowance, error) {
	asked := 0
	for _, h := range fleet.Ranked(a.homesOf(), turn.Program) {
		if asked == reserveHosts {
			break
		}
		answer, err := a.askPatiently(ctx, h, turn)
		if ctx.Err() != nil {
			return Allowance{}, ctx.Err()
		}
		if err != nil {
			asked++
			a.hosts.Reachable(h.Name, err)
			continue
		}
		if answer.Verdict != ledger.NotReady {
			return a.conclude(h, turn, answer)
		}
	}
	return Allowance{}, errNoHome
}

// conclude turns a home's answer into an allowance or an error.
func (a *accounts) conclude(h fleet.Host, turn ledger.Turn, answer ledger.Answer) (Allowance, error) {
	allowance := Allowance{Home: h.Name, Server: answer.Place.Server, Cached: answer.Place.Tokens}
	switch answer.Verdict {
	case ledger.Allowed:
		a.mu.Lock()
		a.homes[turn.Attempt] = h
		a.mu.Unlock()
		return allowance, nil
	case ledger.Spent:
		logging.Emit(logging.BudgetSpent, logging.Fields{
			"request": turn.Attempt, "program": turn.Program, "budget": turn.Budget, "most_tokens": turn.Most, "home": h.Name,
		})
		return allowance, ErrBudgetSpent
	default:
		return allowance, errors.Newf("host %s: program needs a grant and the store gives none", h.Name)
	}
}

// homesOf returns the hosts that may account for programs.
func (a *accounts) homesOf() []fleet.Host {
	live := a.hosts.Live()
	out := live[:0]
	for _, h := range live {
		if !h.Draining {
			out = append(out, h)
		}
	}
	return out
}

// askPatiently asks a host again that waits for the store.
func (a *accounts) askPatiently(ctx context.Context, h fleet.Host, turn ledger.Turn) (ledger.Answer, error) {
	for try := 1; ; try++ {
		v, err := a.ask(ctx, h, turn)
		if err != nil || v.Verdict != ledger.Unavailable || try == reserveTries {
			return v, err
		}
		select {
		case <-time.After(reservePause):
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

func (a *accounts) ask(ctx context.Context, h fleet.Host, turn ledger.Turn) (ledger.Answer, error) {
	if h.Name == a.self.Name {
		return a.decide(ctx, turn), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var v ledger.Answer
	err := a.node.Call(ctx, h.Peer, wire.TypeReserve, turn, &v)
	return v, err
}

// trust returns what this host may assume about a program of which it has no account. Ranks count all hosts that are
// listed or have been heard of, reachable or not: a host's list lacks those that started later, if the store fell silent
// in between, but they send it beats. A host that is not introduced to the others trusts nothing.
func (a *accounts) trust(program string) ledger.Trust {
	if !a.introduced() {
		return ledger.Foreign
	}
	var known []fleet.Host
	names := map[string]bool{}
	for _, h := range slices.Concat(a.hosts.All(), a.heardOf()) {
		if !h.Draining && !names[h.Name] {
			names[h.Name] = true
			known = append(known, h)
		}
	}
	settled := a.readyFor() > settledAfter
	for i, h := range fleet.Ranked(known, program) {
		switch {
		case h.Name != a.self.Name:
		case i == 0 && settled:
			return ledger.Known
		case i <= 1:
			return ledger.Doubtful
		}
	}
	return ledger.Foreign
}

// introduced reports whether this host and the others know of each other.
func (a *accounts) introduced() bool { return a.hosts.SelfListedFor() >= introducedAfter }

// readyFor returns how long ago the records were first read.
func (a *accounts) readyFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readyAt.IsZero() {
		return 0
	}
	return time.Since(a.readyAt)
}

// decide asks the ledger of this host.
func (a *accounts) decide(ctx context.Context, turn ledger.Turn) ledger.Answer {
	if !a.introduced() {
		return ledger.Answer{Verdict: ledger.NotReady}
	}
	trust := a.trust(turn.Program)
	a.mu.Lock()
	if a.leaving {
		a.mu.Unlock()
		return ledger.Answer{Verdict: ledger.NotReady}
	}
	a.tickets++
	ticket := a.tickets
	answer := make(chan ledger.Answer, 1)
	a.answers[ticket] = answer
	effects := a.ledger.Reserve(a.clock.Now(), ticket, turn, trust)
	a.apply(effects)
	a.mu.Unlock()
	limit := time.NewTimer(decideTimeout)
	defer limit.Stop()
	select {
	case v := <-answer:
		return v
	case <-limit.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.answers, ticket)
	a.ledger.Abandon(ticket, turn.Program)
	return ledger.Answer{Verdict: ledger.Unavailable}
}

// apply carries out effects; a.mu is held.
func (a *accounts) apply(effects []ledger.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.Answer:
			if c, ok := a.answers[e.Ticket]; ok {
				delete(a.answers, e.Ticket)
				c <- e
			}
		case ledger.Write:
			go a.write(e)
		case ledger.Recall:
			go a.recall(e)
		case ledger.Remove:
			go a.remove(e)
		}
	}
}

// write stores a record and reports the outcome to the ledger.
// reread reads a record that another host wrote.
// recall asks the holder of a grant for its account. A holder that is gone, or that has started anew, has none.
// list reads all records. Records need no watch: a host that misses one hands out no more than its share.
// Settle implements Budgets. It does not wait for the home.
func (a *accounts) Settle(r Reservation, u Use) {
	a.mu.Lock()
	home, ok := a.homes[r.Attempt]
	delete(a.homes, r.Attempt)
	a.mu.Unlock()
	if !ok {
		return
	}
	s := settlement{Settlement: ledger.Settlement{
		Program: r.Program, Attempt: r.Attempt, Session: r.Session, Tokens: u.Tokens,
		Place: ledger.Place{Server: u.Server, Tokens: u.Cached},
	}}
	if home.Name == a.self.Name {
		a.settle(s)
		return
	}
	go a.sendSettlement(home.Peer, s)
}

func (a *accounts) sendSettlement(peer string, s settlement) {
	var err error
	for range settleTries {
		ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
		err = a.node.Call(ctx, peer, wire.TypeSettle, s, nil)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(settlePause)
	}
	logging.Emit(logging.SettleFailed, logging.Fields{"request": s.Attempt, "program": s.Program, "tokens": s.Tokens, "peer": peer, "error": err})
}

// settle books a settlement, or passes it on to the host that took the program over.
func (a *accounts) settle(s settlement) {
	a.mu.Lock()
	known := a.ledger.Knows(s.Program)
	if known {
		a.apply(a.ledger.Settle(a.clock.Now(), s.Settlement))
	}
	a.mu.Unlock()
	if known || s.Forwarded {
		return
	}
	s.Forwarded = true
	for _, h := range fleet.Ranked(a.homesOf(), s.Program) {
		if h.Name != a.self.Name {
			go a.sendSettlement(h.Peer, s)
			return
		}
	}
}

func (a *accounts) serveReserve(ctx context.Context, r *wire.Request) {
	var turn ledger.Turn
	if err := r.Decode(&turn); err != nil {
		_ = r.Fail(err)
		return
	}
	_ = r.Answer(a.decide(ctx, turn)) // the asker is gone if this fails; its next attempt has another ID
}

func (a *accounts) serveSettle(_ context.Context, r *wire.Request) {
	var s settlement
	if err := r.Decode(&s); err != nil {
		_ = r.Fail(err)
		return
	}
	a.settle(s)
	_ = r.Answer(nil) // a settlement that is sent again finds its turn settled
}

// move hands accounts to the hosts that account for the programs now. A host that leaves hands over all.
// run reads the records at the start and whenever the hosts change, moves accounts to the hosts that keep them now,
// and looks at accounts and records from time to time.
// ready reports whether the records have been read.
// incarnations names a set of hosts and their starts.
