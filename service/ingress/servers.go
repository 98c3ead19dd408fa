package ingress

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/admission"
	"github.com/hyssopreel/hyssopreel/core/outlier"
	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

const (
	// fullBackoff is how long a server that refused a request as full is left out: the time in which a full engine of 16
	// slots ends a few requests.
	fullBackoff = 60 * time.Millisecond
	// connectionReserveFraction is the share of a server's connections that stays free for hosts that join or restart.
	connectionReserveFraction = 0.15
	// minConnectionsPerServer is the least number of connections to one server that a host may hold.
	minConnectionsPerServer = 2
	// loadReportHalfLife is the age at which a load report of other hosts' requests counts half: a typical request's time.
	loadReportHalfLife = 150 * time.Millisecond
	// turnTimeGain is the weight of one turn in the time of recent turns: about twenty count.
	turnTimeGain = 0.05
	// missingEntryGrace is how long an entry that is missing after an outage of the store is still used; the platform's
	// page says that living servers are back within about 2 s.
	missingEntryGrace = 2 * time.Second
)

// backend is one backend server in use.
type backend struct {
	info       placement.Server
	pool       *upstream.Pool
	receivedAt time.Time // when the entry was received

	progress serverProgress
	inFlight int
	// estimatedRemote is the estimate of what the other hosts have there, from their beats.
	estimatedRemote float64
	// reportedRemote is the load that other hosts caused at the last report, made at reported.
	reportedRemote float64
	reportedAt     time.Time
	// outliers is what became of the requests that this host sent to the server.
	outliers outlier.State
	// fullUntil is the end of the time in which the server is left out because it refused a request as full.
	fullUntil time.Time
	// missingSince is when the entry was found missing after an outage; zero while it is present.
	missingSince time.Time
}

// Servers are the backend servers in use. All methods may be called from any goroutine.
type Servers struct {
	now          func() time.Time
	onConnOpened func()

	mu        sync.Mutex
	byID      map[string]*backend
	byService map[string][]*backend
	hostCount int // hosts that share a server's connections
	// hostLoads holds what the other hosts said of their requests at each server, by host.
	hostLoads map[string]hostLoad
	// estimatedAt is when the hosts' words were last summed up, and known the number of those that counted.
	estimatedAt time.Time
	freshHosts  int
	// turnTime is the time of recent turns.
	turnTime time.Duration
	// waiters holds the requests that wait for a place, by service.
	waiters map[string][]*waiter
}

// hostLoad is what another host has at the servers.
type hostLoad struct {
	inFlight   map[string]int
	receivedAt time.Time
}

const (
	// maxHostLoadAge is the number of beats without a word from another host after which its last one counts no more.
	maxHostLoadAge = 4
	// hostLoadHalfLife is the age at which half of another host's requests are taken to be elsewhere: a turn's time.
	hostLoadHalfLife = 250 * time.Millisecond
	// estimatesPerHeartbeat is how often the words of all hosts are summed up in the time of a beat: every 20 ms in a small
	// fleet, and more seldom in a large one, where they are old anyway.
	estimatesPerHeartbeat = 12
	// loadReportTTL is the age up to which a server's own word on its load is better than the sum of the hosts'.
	loadReportTTL = 60 * time.Millisecond
)

// NewServers returns an empty set. opened is called for each new connection to a backend server.
func NewServers(now func() time.Time, opened func()) *Servers {
	return &Servers{now: now, onConnOpened: opened, byID: map[string]*backend{}, byService: map[string][]*backend{}, hostCount: 1, hostLoads: map[string]hostLoad{}, waiters: map[string][]*waiter{}}
}

// SetHostCount sets the number of hosts that share the servers' connections.
func (s *Servers) SetHostCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostCount = max(n, 1)
}

// Put adds or replaces a server's entry.
func (s *Servers) Put(info placement.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(info)
}

func (s *Servers) put(info placement.Server) {
	b, ok := s.byID[info.ID]
	if ok && b.info.Address == info.Address && b.info.Service == info.Service && b.info.StartedAtMS == info.StartedAtMS {
		if b.info.Draining != info.Draining {
			logging.Emit(logging.ServerState, logging.Fields{"server": info.ID, "service": info.Service, "draining": info.Draining})
		}
		b.info, b.receivedAt, b.missingSince = info, s.now(), time.Time{}
		return
	}
	if ok {
		s.remove(b, "restarted")
	}
	b = &backend{info: info, receivedAt: s.now(), pool: upstream.NewPool(info.Address, s.onConnOpened)}
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
		case b.missingSince.IsZero():
			b.missingSince = s.now()
			logging.Emit(logging.ServerMissing, logging.Fields{"server": id, "service": b.info.Service})
		}
	}
}

// MarkMissing is Remove soon after an outage of the store: the entry may have lapsed only because of it.
func (s *Servers) MarkMissing(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.byID[id]; ok && b.missingSince.IsZero() {
		b.missingSince = s.now()
		logging.Emit(logging.ServerMissing, logging.Fields{"server": id, "service": b.info.Service})
	}
}

// Sweep removes lapsed servers and closes idle connections that have expired.
func (s *Servers) Sweep() {
	s.mu.Lock()
	now := s.now()
	pools := make([]*upstream.Pool, 0, len(s.byID))
	for _, b := range s.byID {
		if !b.missingSince.IsZero() && now.Sub(b.missingSince) >= missingEntryGrace {
			s.remove(b, "missing after an outage of the store")
			continue
		}
		pools = append(pools, b.pool)
	}
	s.mu.Unlock()
	for _, p := range pools {
		p.CloseExpired(now)
	}
}

// CountAvailable returns the number of servers of a service that take requests.
func (s *Servers) CountAvailable(service string) int {
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

// InFlightByServer returns the number of this host's requests at each server that has any.
func (s *Servers) InFlightByServer() map[string]int {
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

// SetHostLoad records what another host has at the servers.
func (s *Servers) SetHostLoad(host string, inFlight map[string]int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLoads[host] = hostLoad{inFlight: inFlight, receivedAt: at}
	for service := range s.waiters {
		s.dispatchService(service)
	}
}

// estimatedLoad returns the estimate of all requests at the server.
func (s *Servers) estimatedLoad(b *backend, now time.Time) float64 {
	age := now.Sub(b.reportedAt)
	if age < loadReportTTL {
		return float64(b.inFlight) + b.reportedRemote
	}
	s.updateEstimates(now)
	others := b.estimatedRemote
	if s.freshHosts < s.hostCount-1 && age < 10*loadReportHalfLife {
		others = max(others, b.reportedRemote/(1+float64(age)/float64(loadReportHalfLife)))
	}
	return float64(b.inFlight) + others
}

// updateEstimates sums up what the other hosts have at the servers. The older a host's word, the less it says where the host's
// requests are now: its part is then spread over the servers of the service. Without that, all hosts send their
// requests to the servers that were idle at the last beat.
func (s *Servers) updateEstimates(now time.Time) {
	beat := heartbeatInterval(s.hostCount)
	if now.Sub(s.estimatedAt) < beat/estimatesPerHeartbeat {
		return
	}
	s.estimatedAt, s.freshHosts = now, 0
	for _, b := range s.byID {
		b.estimatedRemote = 0
	}
	anywhere := map[string]float64{} // requests by service
	for _, r := range s.hostLoads {
		age := now.Sub(r.receivedAt)
		if age >= maxHostLoadAge*beat {
			continue
		}
		s.freshHosts++
		here := math.Exp2(-float64(age) / float64(hostLoadHalfLife))
		for id, n := range r.inFlight {
			if b, ok := s.byID[id]; ok {
				b.estimatedRemote += here * float64(n)
				anywhere[b.info.Service] += (1 - here) * float64(n)
			}
		}
	}
	for service, n := range anywhere {
		for _, b := range s.byService[service] {
			b.estimatedRemote += n / float64(len(s.byService[service]))
		}
	}
}

// Pressure returns how busy the servers of a service are that take requests.
func (s *Servers) Pressure(service string) admission.ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := admission.ServiceLoad{TurnTime: s.turnTime}
	now := s.now()
	for _, b := range s.byService[service] {
		if !b.info.Draining && !b.outliers.Ejected(now) {
			p.Requests += s.estimatedLoad(b, now)
			p.Slots += b.info.Slots
		}
	}
	return p
}

// RecordTurnTime records how long a turn took at a server.
func (s *Servers) RecordTurnTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnTime += time.Duration(turnTimeGain * float64(d-s.turnTime))
}

// PlacementQuery is a request for a server.
type PlacementQuery struct {
	Service string
	Request placement.Request
	// CacheServer is the server that is believed to keep CachedTokens of the prompt; empty if there is none.
	CacheServer  string
	CachedTokens int
	// MaxConns is the number of connections that one server accepts from all hosts; 0 is no limit.
	MaxConns int
}

// Acquire chooses a server and counts the request there until Release. It returns nil if no server can take the
// request.
func (s *Servers) Acquire(q PlacementQuery, policies ...placement.Policy) *AcquiredServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acquire(q, policies)
}

func (s *Servers) acquire(q PlacementQuery, policies []placement.Policy) *AcquiredServer {
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
		if b.info.ID == q.CacheServer {
			candidates[i].CachedTokens = min(q.CachedTokens, q.Request.PromptTokens)
		}
	}
	for _, p := range policies {
		if i := p.Choose(q.Request, candidates); i >= 0 {
			rotated[i].inFlight++
			rotated[i].outliers.RecordSelection(now)
			return &AcquiredServer{servers: s, backend: rotated[i], Load: candidates[i].Load, LoadAge: now.Sub(rotated[i].reportedAt)}
		}
	}
	return nil
}

// AcquireServer takes one server if it is in use and not about to leave; inUse is set also if it is about to leave.
func (s *Servers) AcquireServer(id string) (lease *AcquiredServer, inUse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, inUse := s.byID[id]
	if !inUse || b.info.Draining {
		return nil, inUse
	}
	now := s.now()
	load := s.estimatedLoad(b, now)
	b.inFlight++
	return &AcquiredServer{servers: s, backend: b, Load: load, LoadAge: now.Sub(b.reportedAt)}, true
}

func (s *Servers) candidate(b *backend, q PlacementQuery, now time.Time) placement.Candidate {
	c := placement.Candidate{
		Server:      b.info,
		InFlight:    b.inFlight,
		Load:        s.estimatedLoad(b, now),
		Ejected:     b.outliers.Ejected(now),
		AtCapacity:  now.Before(b.fullUntil) || q.MaxConns > 0 && b.inFlight >= s.connectionLimit(q.MaxConns),
		FailureRate: b.outliers.FailureRate(now),
	}
	if !b.missingSince.IsZero() && now.Sub(b.missingSince) >= missingEntryGrace {
		c.Server.Draining = true
	}
	c.Server.WarmupRemaining = max(b.info.WarmupRemaining-now.Sub(b.receivedAt), 0)
	return c
}

// connectionLimit returns how many connections to one server this host may use.
func (s *Servers) connectionLimit(maxConns int) int {
	return max(int(float64(maxConns)*(1-connectionReserveFraction))/s.hostCount, minConnectionsPerServer)
}

// AcquiredServer is the use of a server for one request.
type AcquiredServer struct {
	servers *Servers
	backend *backend
	// Load is the estimate of the server's load by which it was chosen, and LoadAge the age of its last report.
	Load    float64
	LoadAge time.Duration
}

// ID returns the server's ID.
func (l *AcquiredServer) ID() string { return l.backend.info.ID }

// Pool returns the connections to the server.
func (l *AcquiredServer) Pool() *upstream.Pool { return l.backend.pool }

// RecordLoad records the load that the server told.
func (l *AcquiredServer) RecordLoad(load LoadReport) {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.reportedRemote = max(float64(load.Running+load.Waiting-l.backend.inFlight), 0)
	l.backend.reportedAt = s.now()
}

// Release ends the use of the server.
func (l *AcquiredServer) Release() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.inFlight--
	s.dispatchService(l.backend.info.Service)
}

// MarkFull leaves the server out for a short time, because it said that it is full.
func (l *AcquiredServer) MarkFull() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.fullUntil = s.now().Add(fullBackoff)
}

// RecordConnectFailure leaves the server out, because it takes no connections.
func (l *AcquiredServer) RecordConnectFailure(cause error) {
	l.recordFailure(cause, func(r *outlier.State, now time.Time) bool { return r.RecordConnectFailure(now) })
}

// RecordResponseFailure records that the answer broke off; the server is left out if that happens again before it answers.
func (l *AcquiredServer) RecordResponseFailure(cause error) {
	l.recordFailure(cause, func(r *outlier.State, now time.Time) bool { return r.RecordResponseFailure(now) })
}

// RecordSuccess records that the server answers.
func (l *AcquiredServer) RecordSuccess() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.outliers.RecordSuccess(s.now())
}

// RecentlyEjected reports whether the server failed lately and has not answered since.
func (l *AcquiredServer) RecentlyEjected() bool {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.backend.outliers.RecentlyEjected()
}

func (l *AcquiredServer) recordFailure(cause error, record func(*outlier.State, time.Time) bool) {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	if record(&l.backend.outliers, s.now()) {
		logging.Emit(logging.ServerEjected, logging.Fields{"server": l.backend.info.ID, "service": l.backend.info.Service, "error": cause})
	}
}
