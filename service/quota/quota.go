// Package quota keeps the requests of teams, through all hosts together, within their quotas: it leases tokens from the
// host that keeps a team's account, and keeps the accounts of the teams that this host is to keep.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	core "github.com/hyssopreel/hyssopreel/core/quota"
)

const (
	// askTimeout bounds one question to a keeper: many round trips between failure domains. silentTime is how long a host
	// that did not answer is not asked.
	askTimeout = 100 * time.Millisecond
	silentTime = 250 * time.Millisecond
	// maxKeepers is the number of hosts that are asked one after the other.
	maxKeepers = 4
	// retryDelay is the delay after no keeper granted or denied anything.
	retryDelay = 50 * time.Millisecond
	// sendWait is how long a request that is about to be sent waits for a token: it occupies a place at a server.
	sendWait = 250 * time.Millisecond
	// recoveryTime is how long after its start an account that started empty counts as recovering: requests wait for its
	// tokens and are not refused, because the team may be within its quota. maxRecoveryQueue bounds the requests that wait
	// at one host.
	recoveryTime     = 5 * time.Second
	maxRecoveryQueue = 500
	// idleTime is how long the tokens of a team are remembered without requests, and sweepInterval how often that is checked.
	idleTime      = 10 * time.Second
	sweepInterval = 2 * time.Second
)

// ErrUnavailable means that no host that keeps the team's account can be asked.
var ErrUnavailable = errors.New("the account of the team's quota is not available")

// ExceededError means that the team has used up its quota.
type ExceededError struct {
	// RetryAfter is the time after which the request may be sent again.
	RetryAfter time.Duration
}

// Error implements error.
func (ExceededError) Error() string { return "the quota of the team is used up" }

// Peer is a host that may keep accounts.
type Peer struct{ Name, Address string }

// Options connect a Service to its host.
type Options struct {
	Self   string
	Node   *wire.Node
	Bounds core.Bounds
	Scope  tally.Scope
	// Limit returns the quota of a team in the configuration in force; ok is false if it has none.
	Limit func(team string) (l core.Limit, ok bool)
	// Keepers returns the hosts that may keep the account of a team, in the order in which they are asked.
	Keepers func(team string) []Peer
	// KeptFor returns how long this host has kept the accounts of the team, and since which moment; ok is false if it does
	// not. Since changes whenever another host may have kept them in between. handover is how long a new keeper grants
	// nothing, because the former one may still do so.
	KeptFor func(team string) (kept time.Duration, since int64, handover time.Duration, ok bool)
}

// Service leases and grants tokens. It is safe for concurrent use.
type Service struct {
	options Options
	now     func() time.Duration

	mu       sync.Mutex
	teams    map[string]*teamTokens
	accounts map[string]*keptAccount
	// adopted holds the accounts that other hosts have handed over, until they are used, by team.
	adopted map[string]adoptedAccount
	// programs estimates how many requests a program makes, from those of all teams whose accounts this host keeps.
	programs core.Programs
	// handedOver is set once this host has handed its accounts over; it grants nothing from then on.
	handedOver bool
	// silentUntil holds until when hosts that did not answer are not asked.
	silentUntil map[string]time.Duration
	sweptAt     time.Duration
}

// teamTokens are the tokens that this host has for a team.
type teamTokens struct {
	core.Holder
	// waiting is the number of requests that wait for a token, and admitted that of those which are to use one when they
	// are sent.
	waiting, admitted int
	asking            bool
	// answered is closed when a question is answered or given up, and unavailableUntil set in the latter case.
	answered         chan struct{}
	unavailableUntil time.Duration
	// recovering is set if the account was recovering when it last answered.
	recovering bool
	// keeper is the name of the host that granted or denied last.
	keeper        string
	usedAt        time.Duration
	used, refused int
}

// keptAccount is the account of a team that this host keeps.
type keptAccount struct {
	*core.Account
	since int64
	// recoveringUntil is set for an account that started empty.
	recoveringUntil time.Duration
}

// New returns a service without tokens and accounts.
func New(o Options) *Service {
	s := &Service{options: o, now: clock.SinceBoot, teams: map[string]*teamTokens{}, accounts: map[string]*keptAccount{}, adopted: map[string]adoptedAccount{}, silentUntil: map[string]time.Duration{}}
	o.Node.Handle(wire.TypeQuota, s.serve)
	return s
}

// Claim is the claim of one request to one token. A nil claim needs none.
type Claim struct {
	service *Service
	team    string
	tokens  *teamTokens
	ended   bool
}

// Admit claims a token for a request of the team, which waits for the answer of the account's keeper if necessary, at most
// for maxWait. A request that starts a program is refused at once if the quota leaves no room for another program. The error is an ExceededError, ErrUnavailable or that of ctx. The claim is nil if the team has no quota; it
// must be ended by Use or Release.
func (s *Service) Admit(ctx context.Context, team string, startsProgram bool, maxWait time.Duration) (*Claim, error) {
	if _, ok := s.options.Limit(team); !ok {
		return nil, nil
	}
	var startErr error
	if startsProgram {
		startErr = s.claimStart(team)
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	t := s.teams[team]
	if t == nil {
		t = &teamTokens{answered: make(chan struct{})}
		s.teams[team] = t
	}
	t.usedAt = now
	if startErr != nil {
		return nil, s.count(t, startErr)
	}
	t.RecordRequest(now)
	if err := s.await(ctx, team, t, now+maxWait, func(now time.Duration) bool { return t.Available(now) > t.admitted }); err != nil {
		return nil, s.count(t, err)
	}
	t.admitted++
	return &Claim{service: s, team: team, tokens: t}, nil
}

// Use uses the token of a request that is sent now. If it has expired in the meantime, another one is asked for. The errors
// are those of Admit.
func (c *Claim) Use(ctx context.Context) error {
	if c == nil || c.ended {
		return nil
	}
	s, t := c.service, c.tokens
	s.mu.Lock()
	defer s.mu.Unlock()
	c.ended = true
	t.admitted--
	return s.count(t, s.await(ctx, c.team, t, s.now()+sendWait, t.Use))
}

// Release ends the claim of a request that is not sent.
func (c *Claim) Release() {
	if c == nil || c.ended {
		return
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.ended = true
	c.tokens.admitted--
}

// count counts the result of a request in the metrics; s.mu is held.
func (s *Service) count(t *teamTokens, err error) error {
	result := "used"
	var exceeded ExceededError
	switch {
	case errors.As(err, &exceeded):
		result = "exceeded"
		t.refused++
	case err != nil:
		result = "unavailable"
	default:
		t.used++
	}
	s.options.Scope.Tagged(map[string]string{"result": result}).Counter("quota_requests").Inc(1)
	return err
}

// await returns nil as soon as done returns true, and asks for tokens until the quota turns out to be used up. It returns
// ErrUnavailable if no keeper has answered by the deadline, or only one that is recovering. While tokens are denied, it waits
// for them until the deadline: a program that is refused midway is lost. s.mu is held; it is released while await waits.
func (s *Service) await(ctx context.Context, team string, t *teamTokens, deadline time.Duration, done func(now time.Duration) bool) error {
	t.waiting++
	defer func() { t.waiting-- }()
	// failure is the error at the deadline.
	failure := ErrUnavailable
	for {
		now := s.now()
		isDone := done(now)
		s.askIfNeeded(team, t, now)
		if isDone {
			return nil
		}
		retryAfter, denied := t.Denied(now)
		if denied && !t.recovering {
			failure = ExceededError{RetryAfter: retryAfter}
		}
		if denied && t.waiting > maxRecoveryQueue || now >= deadline {
			return failure
		}
		wait := deadline - now
		if !t.asking {
			wait = min(wait, max(t.unavailableUntil-now, t.AskableIn(now), time.Millisecond))
		}
		answered := t.answered
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-answered:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.mu.Lock()
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// claimStart asks the keeper of the team's account whether a program may start. The error is an ExceededError; a program may
// start if no keeper answers.
func (s *Service) claimStart(team string) error {
	q := question{Host: s.options.Self, Team: team, StartsProgram: true}
	for i, peer := range s.options.Keepers(team) {
		if i == maxKeepers {
			break
		}
		a, ok := s.askPeer(peer, q)
		switch {
		case !ok || !a.Keeps:
		case a.StartDenied:
			return ExceededError{RetryAfter: a.RetryAfter}
		default:
			return nil
		}
	}
	return nil
}

// askIfNeeded asks for tokens in the background if the host should have more; s.mu is held.
func (s *Service) askIfNeeded(team string, t *teamTokens, now time.Duration) {
	if t.asking || now < t.unavailableUntil {
		return
	}
	if n := t.Wanted(now, t.waiting+t.admitted); n > 0 {
		t.asking = true
		go s.ask(team, t, n, t.keeper)
	}
}

// question asks a keeper for tokens of a team.
type question struct {
	Host   string
	Team   string
	Tokens int
	// StartsProgram is set if the host asks whether a program may start. Such a message asks for no tokens.
	StartsProgram bool `msgpack:",omitempty"`
	// HandedOver holds the accounts of a host that drains. Such a message asks for no tokens.
	HandedOver []handedAccount `msgpack:",omitempty"`
}

// answer is the answer to a question.
type answer struct {
	// Keeps is set if the host keeps the account; otherwise another one is to be asked.
	Keeps bool
	// StartDenied is set if the program may not start, RetryAfter is the time after which it may come again then.
	StartDenied bool `msgpack:",omitempty"`
	// Recovering is set if the account started empty a moment ago.
	Recovering           bool `msgpack:",omitempty"`
	Tokens               int
	AskAfter, RetryAfter time.Duration
}

// ask asks the keepers of the team's account one after the other until one grants or denies tokens.
func (s *Service) ask(team string, t *teamTokens, tokens int, lastKeeper string) {
	q := question{Host: s.options.Self, Team: team, Tokens: tokens}
	keepers := s.options.Keepers(team)
	for i, peer := range keepers {
		if peer.Name == lastKeeper {
			keepers[0], keepers[i] = keepers[i], keepers[0]
		}
	}
	for i, peer := range keepers {
		if i == maxKeepers {
			break
		}
		askedAt := s.now()
		a, ok := s.askPeer(peer, q)
		if !ok || !a.Keeps {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		t.Lease(s.now(), askedAt, s.options.Bounds.LeaseTime(), core.Grant{Tokens: a.Tokens, AskAfter: a.AskAfter, RetryAfter: a.RetryAfter})
		t.keeper, t.recovering = peer.Name, a.Recovering
		s.endQuestion(t)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.unavailableUntil = s.now() + retryDelay
	t.keeper, t.recovering = "", false
	s.endQuestion(t)
}

// endQuestion wakes the requests that wait for tokens; s.mu is held.
func (s *Service) endQuestion(t *teamTokens) {
	t.asking = false
	close(t.answered)
	t.answered = make(chan struct{})
}

func (s *Service) askPeer(peer Peer, q question) (a answer, ok bool) {
	if peer.Name == s.options.Self {
		return s.grant(q), true
	}
	s.mu.Lock()
	isSilent := s.now() < s.silentUntil[peer.Name]
	s.mu.Unlock()
	if isSilent {
		return a, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := s.options.Node.Call(ctx, peer.Address, wire.TypeQuota, q, &a); err != nil {
		s.mu.Lock()
		s.silentUntil[peer.Name] = s.now() + silentTime
		s.mu.Unlock()
		logging.Emit(logging.QuotaRequestFailed, logging.Fields{"team": q.Team, "peer": peer.Name, "error": err})
		return a, false
	}
	return a, a.Tokens >= 0 && a.Tokens <= core.MaxWanted && a.AskAfter >= 0 && a.RetryAfter >= 0
}

// serve answers another host's question.
func (s *Service) serve(_ context.Context, r *wire.Request) {
	var q question
	err := r.Decode(&q)
	if err == nil && len(q.HandedOver) > 0 {
		s.adopt(q.HandedOver)
		_ = r.Answer(answer{}) // fails only if the sender no longer waits
		return
	}
	if err == nil && (q.Host == "" || q.Tokens < 1 && !q.StartsProgram || q.Tokens < 0 || q.Tokens > core.MaxWanted) {
		err = errors.Newf("host %q asks for %d tokens of team %q", q.Host, q.Tokens, q.Team)
	}
	if err != nil {
		logging.Emit(logging.QuotaRequestRejected, logging.Fields{"from": r.From, "error": err})
		if !r.OneWay() {
			_ = r.Fail(err) // fails only if the sender is gone
		}
		return
	}
	if !r.OneWay() {
		_ = r.Answer(s.grant(q)) // fails only if the sender no longer waits
	}
}

// grant grants tokens if this host keeps the account of the team.
func (s *Service) grant(q question) answer {
	limit, hasQuota := s.options.Limit(q.Team)
	kept, since, handover, ok := s.options.KeptFor(q.Team)
	if !ok || !hasQuota {
		return answer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	account := s.accounts[q.Team]
	if kept < handover && (account == nil || account.since != since) {
		if account = s.takeAdopted(q.Team, now, limit, handover); account == nil {
			return answer{}
		}
		account.since = since
		s.accounts[q.Team] = account
	}
	if s.handedOver {
		return answer{}
	}
	if account != nil && since == 0 {
		account.since = 0 // this host has kept the account for longer than anybody remembers
	}
	if account == nil || account.since != since {
		// A new keeper starts without tokens at the end of the handover, and without a burst.
		account = &keptAccount{since: since, Account: core.NewAccount(now-min(kept-handover, maxIdleStart), limit, s.options.Bounds, since == 0)}
		if since != 0 {
			account.recoveringUntil = now - (kept - handover) + recoveryTime
		}
		s.accounts[q.Team] = account
	}
	if q.StartsProgram {
		retryAfter, ok := account.StartProgram(now, limit, s.programs.RequestsPerProgram(now))
		if ok {
			s.programs.RecordStart(now)
		}
		return answer{Keeps: true, StartDenied: !ok, RetryAfter: retryAfter}
	}
	g := account.Grant(now, q.Host, q.Tokens, limit)
	s.programs.RecordRequests(now, g.Tokens)
	return answer{Keeps: true, Recovering: now < account.recoveringUntil, Tokens: g.Tokens, AskAfter: g.AskAfter, RetryAfter: g.RetryAfter}
}

// TeamUsage is the state of one team at this host.
type TeamUsage struct {
	Team, Keeper  string
	Used, Refused int
	// Tokens is the balance of the account if this host keeps it, otherwise -1.
	Tokens float64
}

// Usage returns the teams whose requests this host handled lately or whose accounts it keeps, in no order.
func (s *Service) Usage() []TeamUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []TeamUsage
	for name, t := range s.teams {
		usage := TeamUsage{Team: name, Keeper: t.keeper, Used: t.used, Refused: t.refused, Tokens: -1}
		if account := s.accounts[name]; account != nil {
			usage.Tokens = account.Tokens(now)
		}
		out = append(out, usage)
	}
	for name, account := range s.accounts {
		if s.teams[name] == nil {
			out = append(out, TeamUsage{Team: name, Tokens: account.Tokens(now)})
		}
	}
	return out
}

// maxIdleStart bounds how long before its first use a new account is taken to have started.
const maxIdleStart = 10 * time.Second

// sweep forgets teams and accounts without requests; s.mu is held.
func (s *Service) sweep(now time.Duration) {
	if now-s.sweptAt < sweepInterval {
		return
	}
	s.sweptAt = now
	for name, t := range s.teams {
		if now-t.usedAt > idleTime && t.waiting+t.admitted == 0 && !t.asking {
			delete(s.teams, name)
		}
	}
	for name, account := range s.accounts {
		if account.IsIdle(now) {
			delete(s.accounts, name)
		}
	}
	for name, adopted := range s.adopted {
		if now-adopted.at > idleTime {
			delete(s.adopted, name)
		}
	}
	for name, until := range s.silentUntil {
		if now >= until {
			delete(s.silentUntil, name)
		}
	}
}
