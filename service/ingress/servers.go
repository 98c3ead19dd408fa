package ingress

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/admission"
	"github.com/hyssopreel/hyssopreel/core/evidence"
	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

const (
	// fullFor is how long a server that refused a request as full is left out: the time in which a full engine of 16
	// slots ends a few requests.
	fullFor = 60 * time.Millisecond
	// connectionReserve is the share of a server's connections that stays free for hosts that join or restart.
	connectionReserve = 0.15
	// minConnections is the least number of connections to one server that a host may hold.
	minConnections = 2
	// loadHalfLife is the age at which a load report of other hosts' requests counts half: a typical request's time.
	loadHalfLife = 150 * time.Millisecond
	// turnGain is the weight of one turn in the time of recent turns: about twenty count.
	turnGain = 0.05
	// lapsedGrace is how long an entry that is missing after an outage of the store is still used; the platform's
	// page says that living servers are back within about 2 s.
	lapsedGrace = 2 * time.Second
)

// backend is one backend server in use.
type backend struct {
	info placement.Server
	pool *upstream.Pool
	seen time.Time // when the entry was received

	progress progress
	inFlight int
	// remote is the estimate of what the other hosts have there, from their beats.
	remote float64
	// others is the load that other hosts caused at the last report, made at reported.
	others   float64
	reported time.Time
	// evidence is what became of the requests that this host sent to the server.
	evidence evidence.Record
	// fullUntil is the end of the time in which the server is left out because it refused a request as full.
	fullUntil time.Time
	// lapsed is when the entry was found missing after an outage; zero while it is present.
	lapsed time.Time
}

// Servers are the backend servers in use. All methods may be called from any goroutine.
type Servers struct {
	now    func() time.Time
	opened func()

	mu        sync.Mutex
	byID      map[string]*backend
	byService map[string][]*backend
	hosts     int // hosts that share a server's connections
	// remote holds what the other hosts said of their requests at each server, by host.
	remote map[string]remoteLoad
	// estimated is when the hosts' words were last summed up, and known the number of those that counted.
	estimated time.Time
	known     int
	// turn is the time of recent turns.
	turn time.Duration
	// waiting holds the requests that wait for a place, by service.
	waiting map[string][]*waiter
}

// remoteLoad is what another host has at the servers.
type remoteLoad struct {
	inFlight map[string]int
	at       time.Time
}

const (
	// remoteBeats is the number of beats without a word from another host after which its last one counts no more.
	remoteBeats = 4
	// placeHalfLife is the age at which half of another host's requests are taken to be elsewhere: a turn's time.
	placeHalfLife = 250 * time.Millisecond
	// estimatesPerBeat is how often the words of all hosts are summed up in the time of a beat: every 20 ms in a small
	// fleet, and more seldom in a large one, where they are old anyway.
	estimatesPerBeat = 12
	// reportFresh is the age up to which a server's own word on its load is better than the sum of the hosts'.
	reportFresh = 60 * time.Millisecond
)

// NewServers returns an empty set. opened is called for each new connection to a backend server.
func NewServers(now func() time.Time, opened func()) *Servers {
	return &Servers{now: now, opened: opened, byID: map[string]*backend{}, byService: map[string][]*backend{}, hosts: 1, remote: map[string]remoteLoad{}, waiting: map[string][]*waiter{}}
}

// SetHosts sets the number of hosts that share the servers' connections.
func (s *Servers) SetHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = max(n, 1)
}

// Put adds or replaces a server's entry.
func (s *Servers) Put(info placement.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(info)
}

func (s *Servers) put(info placement.Server) {
	b, ok := s.byID[info.ID]
	if ok && b.info.Address == info.Address && b.info.Service == info.Service && b.info.Born == info.Born {
		if b.info.Draining != info.Draining {
			logging.Emit(logging.ServerState, logging.Fields{"server": info.ID, "service": info.Service, "draining": info.Draining})
		}
		b.info, b.seen, b.lapsed = info, s.now(), time.Time{}
		return
	}
	if ok {
		s.remove(b, "restarted")
	}
	b = &backend{info: info, seen: s.now(), pool: upstream.NewPool(info.Address, s.opened)}
	s.byID[info.ID] = b
	s.byService[info.Service] = append(s.byService[info.Service], b)
	logging.Emit(logging.ServerAdded, logging.Fields{
		"server": info.ID, "service": info.Service, "address": info.Address, "draining": info.Draining,
	})
}

// Remove removes a server. Requests in flight go on.
func (s *Servers) Remove(id, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.byID[id]; ok {
		s.remove(b, reason)
	}
}

func (s *Servers) remove(b *backend, reason string) {
	delete(s.byID, b.info.ID)
	list := s.byService[b.info.Service]
	for i, other := range list {
		if other == b {
			s.byService[b.info.Service] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	b.pool.Close()
	logging.Emit(logging.ServerRemoved, logging.Fields{"server": b.info.ID, "service": b.info.Service, "reason": reason})
}

// Replace makes the entries the whole set. After an outage of the store, entries that are missing stay in use for
// lapsedGrace, because the platform drops entries while its store is away.
func (s *Servers) Replace(infos []placement.Server, afterOutage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(infos))
	for _, info := range infos {
		present[info.ID] = true
		s.put(info)
	}
	for id, b := range s.byID {
		switch {
		case present[id]:
		case !afterOutage:
			s.remove(b, "not in the list")
		case b.lapsed.IsZero():
			b.lapsed = s.now()
			logging.Emit(logging.ServerLapsed, logging.Fields{"server": id, "service": b.info.Service})
		}
	}
}

// Lapse is Remove soon after an outage of the store: the entry may have lapsed only because of it.
func (s *Servers) Lapse(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.byID[id]; ok && b.lapsed.IsZero() {
		b.lapsed = s.now()
		logging.Emit(logging.ServerLapsed, logging.Fields{"server": id, "service": b.info.Service})
	}
}

// Sweep removes lapsed servers and closes idle connections that have expired.
func (s *Servers) Sweep() {
	s.mu.Lock()
	now := s.now()
	pools := make([]*upstream.Pool, 0, len(s.byID))
	for _, b := range s.byID {
		if !b.lapsed.IsZero() && now.Sub(b.lapsed) >= lapsedGrace {
			s.remove(b, "missing after an outage of the store")
			continue
		}
		pools = append(pools, b.pool)
	}
	s.mu.Unlock()
	for _, p := range pools {
		p.Sweep(now)
	}
}

// Count returns the number of servers of a service that take requests.
func (s *Servers) Count(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.byService[service] {
		if !b.info.Draining {
			n++
		}
	}
	return n
}

// InFlight returns the number of this host's requests at each server that has any.
func (s *Servers) InFlight() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for id, b := range s.byID {
		if b.inFlight > 0 {
			out[id] = b.inFlight
		}
	}
	return out
}

// SetRemote records what another host has at the servers.
func (s *Servers) SetRemote(host string, inFlight map[string]int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remote[host] = remoteLoad{inFlight: inFlight, at: at}
	for service := range s.waiting {
		s.dispatch(service)
	}
}

// load returns the estimate of all requests at the server.
func (s *Servers) load(b *backend, now time.Time) float64 {
	age := now.Sub(b.reported)
	if age < reportFresh {
		return float64(b.inFlight) + b.others
	}
	s.estimate(now)
	others := b.remote
	if s.known < s.hosts-1 && age < 10*loadHalfLife {
		others = max(others, b.others/(1+float64(age)/float64(loadHalfLife)))
	}
	return float64(b.inFlight) + others
}

// estimate sums up what the other hosts have at the servers. The older a host's word, the less it says where the host's
// requests are now: its part is then spread over the servers of the service. Without that, all hosts send their
// requests to the servers that were idle at the last beat.
func (s *Servers) estimate(now time.Time) {
	beat := beatInterval(s.hosts)
	if now.Sub(s.estimated) < beat/estimatesPerBeat {
		return
	}
	s.estimated, s.known = now, 0
	for _, b := range s.byID {
		b.remote = 0
	}
	anywhere := map[string]float64{} // requests by service
	for _, r := range s.remote {
		age := now.Sub(r.at)
		if age >= remoteBeats*beat {
			continue
		}
		s.known++
		here := math.Exp2(-float64(age) / float64(placeHalfLife))
		for id, n := range r.inFlight {
			if b, ok := s.byID[id]; ok {
				b.remote += here * float64(n)
				anywhere[b.info.Service] += (1 - here) * float64(n)
			}
		}
	}
	for service, n := range anywhere {
		for _, b := range s.byService[service] {
			b.remote += n / float64(len(s.byService[service]))
		}
	}
}

// Pressure returns how busy the servers of a service are that take requests.
func (s *Servers) Pressure(service string) admission.Pressure {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := admission.Pressure{Turn: s.turn}
	now := s.now()
	for _, b := range s.byService[service] {
		if !b.info.Draining && !b.evidence.Out(now) {
			p.Load += s.load(b, now)
			p.Slots += b.info.Slots
		}
	}
	return p
}

// Took records how long a turn took at a server.
func (s *Servers) Took(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn += time.Duration(turnGain * float64(d-s.turn))
}

// Query is a request for a server.
type Query struct {
	Service string
	Request placement.Request
	// Resident is the server that is believed to keep CachedTokens of the prompt; empty if there is none.
	Resident     string
	CachedTokens int
	// MaxConns is the number of connections that one server accepts from all hosts; 0 is no limit.
	MaxConns int
}

// Acquire chooses a server and counts the request there until Release. It returns nil if no server can take the
// request.
func (s *Servers) Acquire(q Query, policies ...placement.Policy) *Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acquire(q, policies)
}

func (s *Servers) acquire(q Query, policies []placement.Policy) *Lease {
	list := s.byService[q.Service]
	if len(list) == 0 {
		return nil
	}
	now := s.now()
	// The order is random, so that hosts with the same view do not all choose the same server.
	offset := rand.IntN(len(list))
	candidates := make([]placement.Candidate, len(list))
	rotated := make([]*backend, len(list))
	for i := range list {
		b := list[(i+offset)%len(list)]
		rotated[i] = b
		candidates[i] = s.candidate(b, q, now)
		if b.info.ID == q.Resident {
			candidates[i].Cached = min(q.CachedTokens, q.Request.PromptTokens)
		}
	}
	for _, p := range policies {
		if i := p.Choose(q.Request, candidates); i >= 0 {
			rotated[i].inFlight++
			rotated[i].evidence.Chosen(now)
			return &Lease{servers: s, backend: rotated[i], Load: candidates[i].Load, LoadAge: now.Sub(rotated[i].reported)}
		}
	}
	return nil
}

// AcquireServer takes one server if it is in use and not about to leave; inUse is set also if it is about to leave.
func (s *Servers) AcquireServer(id string) (lease *Lease, inUse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, inUse := s.byID[id]
	if !inUse || b.info.Draining {
		return nil, inUse
	}
	now := s.now()
	load := s.load(b, now)
	b.inFlight++
	return &Lease{servers: s, backend: b, Load: load, LoadAge: now.Sub(b.reported)}, true
}

func (s *Servers) candidate(b *backend, q Query, now time.Time) placement.Candidate {
	c := placement.Candidate{
		Server:   b.info,
		InFlight: b.inFlight,
		Load:     s.load(b, now),
		Suspect:  b.evidence.Out(now),
		Busy:     now.Before(b.fullUntil) || q.MaxConns > 0 && b.inFlight >= s.connectionShare(q.MaxConns),
		Failing:  b.evidence.Rate(now),
	}
	if !b.lapsed.IsZero() && now.Sub(b.lapsed) >= lapsedGrace {
		c.Server.Draining = true
	}
	c.Server.ColdFor = max(b.info.ColdFor-now.Sub(b.seen), 0)
	return c
}

// connectionShare returns how many connections to one server this host may use.
func (s *Servers) connectionShare(maxConns int) int {
	return max(int(float64(maxConns)*(1-connectionReserve))/s.hosts, minConnections)
}

// Lease is the use of a server for one request.
type Lease struct {
	servers *Servers
	backend *backend
	// Load is the estimate of the server's load by which it was chosen, and LoadAge the age of its last report.
	Load    float64
	LoadAge time.Duration
}

// ID returns the server's ID.
func (l *Lease) ID() string { return l.backend.info.ID }

// Pool returns the connections to the server.
func (l *Lease) Pool() *upstream.Pool { return l.backend.pool }

// Report records the load that the server told.
func (l *Lease) Report(load Load) {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.others = max(float64(load.Running+load.Waiting-l.backend.inFlight), 0)
	l.backend.reported = s.now()
}

// Release ends the use of the server.
func (l *Lease) Release() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.inFlight--
	s.dispatch(l.backend.info.Service)
}

// Refused leaves the server out for a short time, because it said that it is full.
func (l *Lease) Refused() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.fullUntil = s.now().Add(fullFor)
}

// Failed leaves the server out, because it takes no connections.
func (l *Lease) Failed(cause error) {
	l.judge(cause, func(r *evidence.Record, now time.Time) bool { return r.Failed(now) })
}

// Broke records that the answer broke off; the server is left out if that happens again before it answers.
func (l *Lease) Broke(cause error) {
	l.judge(cause, func(r *evidence.Record, now time.Time) bool { return r.Broke(now) })
}

// Answered records that the server answers.
func (l *Lease) Answered() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.evidence.Succeeded(s.now())
}

// Doubtful reports whether the server failed lately and has not answered since.
func (l *Lease) Doubtful() bool {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.backend.evidence.Doubtful()
}

func (l *Lease) judge(cause error, record func(*evidence.Record, time.Time) bool) {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	if record(&l.backend.evidence, s.now()) {
		logging.Emit(logging.ServerSuspect, logging.Fields{"server": l.backend.info.ID, "service": l.backend.info.Service, "error": cause})
	}
}
