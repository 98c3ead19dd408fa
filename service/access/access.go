// Package access authorizes callers' requests by the API keys of the configuration in force, and keeps track of whether
// that is still the newest one: hosts pass on to each other when the configuration was last listed from the store.
package access

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	core "github.com/hyssopreel/hyssopreel/core/access"
	"github.com/hyssopreel/hyssopreel/core/routing"
)

const (
	// marginDivisor sets the part of the revocation delay for which a key is no longer accepted: it covers the time between
	// the check of a request and its sending, and clocks of unequal rate.
	marginDivisor = 20
	// refuseFraction is the part of the configuration delay up to which an unknown key is refused for good. In normal
	// operation the configuration is confirmed about every second.
	refuseFraction = 0.75
	// defaultConfigDelay holds if the settings have none.
	defaultConfigDelay = 2 * time.Second
	// maxAnswerWait is how long a host waits for a newer fact before it answers: longer than the interval of the lists.
	// answerTimeout is the time for an answer beyond that.
	maxAnswerWait = 1250 * time.Millisecond
	answerTimeout = 350 * time.Millisecond
	// idleInterval is the interval at which a host that has nothing to ask checks whether that changed, and
	// startInterval and inactiveInterval those before there is a configuration and where callers need no keys.
	idleInterval     = 100 * time.Millisecond
	startInterval    = 20 * time.Millisecond
	inactiveInterval = 500 * time.Millisecond
	// askAge is the age of the newest fact from which a host asks that lists the configuration itself.
	askAge = 1200 * time.Millisecond
	// readAge is the age of the newest fact from which a host reads the configuration itself if its peers know nothing
	// newer, and readInterval the least time between two such reads.
	readAge      = 1800 * time.Millisecond
	readInterval = time.Second
	readTimeout  = time.Second
	// catchUpDelay is how long a host waits for a configuration that a peer knows of before it takes it over from there: a
	// watch may be stale.
	catchUpDelay = 100 * time.Millisecond
	// reportAge is the age from which the configuration is reported as not confirmed.
	reportAge = 3 * time.Second
)

// Options connect a Service to its host.
type Options struct {
	Node *wire.Node
	// RevocationDelay and ConfigDelay are the promises of the deployment; 0 is no bound on revocation, and the default delay.
	RevocationDelay, ConfigDelay time.Duration
	// Table returns the configuration in force; nil if there is none yet.
	Table func() *routing.Table
	// Peers returns the addresses of the hosts to ask, in order.
	Peers func() []string
	// Lists reports whether this host lists the configuration at intervals.
	Lists func() bool
	// MayRead reports whether this host may read the configuration from the store although its peers answer.
	MayRead func() bool
	// CatchUp makes this host take over the newer configuration that the peer at the address knows of.
	CatchUp func(peer string)
	// Read reads the configuration from the store, puts it in force and returns its revision.
	Read func(ctx context.Context) (revision uint64, err error)
}

// Service authorizes requests. It is safe for concurrent use.
type Service struct {
	options Options
	policy  core.Policy
	now     func() time.Duration
	// confirmedAt is that of freshness, in nanoseconds; 0 before the first one.
	confirmedAt atomic.Int64

	mu        sync.Mutex
	freshness core.Freshness
	// news is closed at the next new fact.
	news chan struct{}
	// lastRead is when the configuration was last read by Read.
	lastRead time.Duration
	// startedAt is when the service was made, and reported whether the configuration was last reported as not confirmed.
	startedAt time.Duration
	reported  bool
}

// New returns a service whose Run must be called.
func New(o Options) *Service {
	if o.ConfigDelay <= 0 {
		o.ConfigDelay = defaultConfigDelay
	}
	s := &Service{
		options: o, now: clock.SinceBoot, startedAt: clock.SinceBoot(), news: make(chan struct{}),
		policy: core.Policy{
			MaxAge:         o.RevocationDelay - o.RevocationDelay/marginDivisor,
			MaxAgeToRefuse: time.Duration(float64(o.ConfigDelay) * refuseFraction),
		},
	}
	o.Node.Handle(wire.TypeConfirm, s.serve)
	return s
}

// Authorize returns the team that holds the key; see core/access.Policy.
func (s *Service) Authorize(key *routing.KeyID) (*routing.Team, error) {
	// The age is read first, because the configuration may be replaced in between.
	age := s.Age()
	return s.policy.Authorize(s.options.Table(), key, age)
}

// Age returns the time since the configuration in force was known to be the newest one.
func (s *Service) Age() time.Duration {
	at := s.confirmedAt.Load()
	if at == 0 {
		return core.NeverConfirmed
	}
	return s.now() - time.Duration(at)
}

// Applied records that the configuration of that revision is in force, or that it cannot be used.
func (s *Service) Applied(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.Apply(revision)
	s.announce()
}

// Listed records that a list of the store, requested at startedAt by clock.SinceBoot, contained the configuration with that
// revision.
func (s *Service) Listed(startedAt time.Duration, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freshness.Learn(core.Fact{Revision: revision, At: startedAt}) {
		s.announce()
	}
}

// announce wakes those that wait for a newer fact; s.mu is held.
func (s *Service) announce() {
	close(s.news)
	s.news = make(chan struct{})
	if at, ok := s.freshness.ConfirmedAt(); ok {
		s.confirmedAt.Store(max(int64(at), 1))
	}
}

// isActive reports whether requests need to be authorized. Where they need not, nothing is asked.
func (s *Service) isActive() bool {
	table := s.options.Table()
	return table != nil && table.HasTeams()
}

// question is the body of a wire.TypeConfirm frame.
type question struct {
	KnownAge time.Duration
	MaxWait  time.Duration
}

// answer is the answer to a question.
type answer struct {
	Known         bool
	Revision      uint64
	SinceQuestion time.Duration
}

// Run asks peers for newer facts until ctx ends.
func (s *Service) Run(ctx context.Context) {
	next, failed, answered := 0, 0, false
	for ctx.Err() == nil {
		s.report()
		if s.options.Table() == nil { // the host starts, and waits for this before it serves
			sleep(ctx, startInterval)
			continue
		}
		if !s.isActive() {
			sleep(ctx, inactiveInterval)
			continue
		}
		if s.options.Lists() && s.newestAge() < askAge {
			sleep(ctx, idleInterval)
			continue
		}
		peers := s.options.Peers()
		if len(peers) > 0 {
			ok, isNews := s.ask(ctx, peers[next%len(peers)])
			answered = answered || ok
			if isNews {
				failed, answered = 0, false
				continue
			}
			next++
			failed++
		}
		if failed >= len(peers) {
			s.readIfOld(ctx, answered)
			failed, answered = 0, false
			sleep(ctx, idleInterval/2+rand.N(idleInterval))
		}
	}
}

func (s *Service) newestAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.freshness.Ask(s.now()).KnownAge
	if age < 0 {
		return core.NeverConfirmed
	}
	return age
}

// ask asks a peer for a newer fact. It reports whether the peer answered, and whether the fact is news.
func (s *Service) ask(ctx context.Context, peer string) (ok, isNews bool) {
	ctx, cancel := context.WithTimeout(ctx, maxAnswerWait+answerTimeout)
	defer cancel()
	s.mu.Lock()
	askedAt := s.now()
	q := s.freshness.Ask(askedAt)
	s.mu.Unlock()
	var a answer
	if err := s.options.Node.Call(ctx, peer, wire.TypeConfirm, question{KnownAge: q.KnownAge, MaxWait: maxAnswerWait}, &a); err != nil {
		return false, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isNews = s.freshness.LearnAnswer(askedAt, core.Answer(a))
	if isNews {
		s.announce()
	}
	if isNews && s.freshness.IsBehind() {
		time.AfterFunc(catchUpDelay, func() { s.catchUp(peer) })
	}
	return true, isNews
}

// catchUp takes over the configuration of a peer if this host is still behind.
func (s *Service) catchUp(peer string) {
	s.mu.Lock()
	isBehind := s.freshness.IsBehind()
	s.mu.Unlock()
	if isBehind {
		s.options.CatchUp(peer)
	}
}

// serve answers a peer's question as soon as this host knows a newer fact, or after the longest wait.
func (s *Service) serve(ctx context.Context, r *wire.Request) {
	receivedAt := s.now()
	var q question
	if err := r.Decode(&q); err != nil {
		logging.Emit(logging.ConfirmRejected, logging.Fields{"from": r.From, "error": err})
		_ = r.Fail(err) // fails only if the peer is gone
		return
	}
	timer := time.NewTimer(min(max(q.MaxWait, 0), maxAnswerWait))
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		hasNews, news := s.freshness.HasNews(receivedAt, core.Question{KnownAge: q.KnownAge}), s.news
		a := s.freshness.Answer(receivedAt)
		s.mu.Unlock()
		if hasNews || !waiting {
			_ = r.Answer(answer(a)) // fails only if the peer no longer waits
			return
		}
		select {
		case <-news:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return
		}
	}
}

// readIfOld reads the configuration from the store if no peer knows that it is still the newest one. Where peers answer,
// only few hosts do so: the store may be unavailable to all.
func (s *Service) readIfOld(ctx context.Context, answered bool) {
	if s.newestAge() < readAge || answered && !s.options.MayRead() {
		return
	}
	startedAt := s.now()
	s.mu.Lock()
	isDue := s.lastRead == 0 || startedAt-s.lastRead >= readInterval
	if isDue {
		s.lastRead = startedAt
	}
	s.mu.Unlock()
	if !isDue {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if revision, err := s.options.Read(ctx); err == nil {
		s.Listed(startedAt, revision)
	}
}

// report logs when the configuration was not confirmed for long, and when it is again.
func (s *Service) report() {
	age := min(s.Age(), s.now()-s.startedAt)
	isOld := s.isActive() && age > reportAge
	if isOld == s.reported {
		return
	}
	s.reported = isOld
	if isOld {
		logging.Emit(logging.ConfigNotConfirmed, logging.Fields{"age": age})
		return
	}
	logging.Emit(logging.ConfigConfirmed, logging.Fields{})
}

// AwaitConfirmed waits until the configuration in force is known to be the newest one, at most for maxWait. It returns at
// once if requests need not be authorized.
func (s *Service) AwaitConfirmed(ctx context.Context, maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for ctx.Err() == nil && s.isActive() && s.Age() > s.policy.MaxAgeToRefuse {
		s.mu.Lock()
		news := s.news
		s.mu.Unlock()
		select {
		case <-news:
		case <-ctx.Done():
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
