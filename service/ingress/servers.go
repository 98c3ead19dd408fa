package ingress

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/admission"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/outlier"
	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/core/ratelimit"
	"github.com/hyssopreel/hyssopreel/core/speed"
	"github.com/hyssopreel/hyssopreel/service/upstream"
)

const (
	// fullBackoff is how long a server that refused a request as full gets no other: the time in which a full
	// engine of 16 slots ends a few requests.
	fullBackoff = 60 * time.Millisecond
	// connectionReserveFraction is the fraction of a server's connections that stays free for hosts that join or
	// restart.
	connectionReserveFraction = 0.15
	// minConnectionsPerServer is the number of connections to one server that a host may open in a fleet of any size.
	minConnectionsPerServer = 2
	// loadReportHalfLife is the age at which the other hosts' part of a server's load report counts half: the time
	// of a typical request.
	loadReportHalfLife = 150 * time.Millisecond
	// turnTimeGain is the weight of one turn in the moving average of turn times: about the last twenty count.
	turnTimeGain = 0.05
	// missingEntryGrace is how long an entry that is missing after an outage of the store is still used. By the
	// platform's documentation, running servers have their entries again within about 2 s.
	missingEntryGrace = 2 * time.Second
)

// backend is the state of one backend server in use.
type backend struct {
	info       placement.Server
	pool       *upstream.Pool
	receivedAt time.Time // when info was received

	progress serverProgress
	inFlight int
	// estimatedRemote is the estimate of the other hosts' active requests at the server, from their heartbeats.
	estimatedRemote float64
	// fromDomain is the part of these requests that other hosts of this host's failure domain sent, as last reported.
	fromDomain int
	// reportedRemote is the other hosts' part of the server's last load report, which was received at reportedAt.
	reportedRemote float64
	reportedAt     time.Time
	// speed is the estimate of how long work takes at the server, from its load reports.
	speed speed.Estimate
	// outliers records the outcomes of this host's requests to the server.
	outliers outlier.State
	// fullUntil is the end of fullBackoff after the server refused a request as full.
	fullUntil time.Time
	// rateLimit is the limit that the server names for the requests of all hosts together.
	rateLimit ratelimit.Limit
	// permitDeferredUntil is the time before which there is no permit for the server.
	permitDeferredUntil time.Time
	// rateLimitRejected is set while the server's responses name a limit that cannot be used.
	rateLimitRejected bool
	endProbe          endProbe
	// missingSince is when the entry was found missing after an outage of the store; zero while it is present.
	missingSince time.Time
}

// Servers holds the backend servers in use, chooses one for each request and queues requests that find none. It is
// safe for concurrent use.
type Servers struct {
	now          func() time.Time
	onConnOpened func()
	// onRateLimitedResponse is called with the ID of a server that named a rate limit, for each of its responses.
	onRateLimitedResponse func(server string)
	// onLeaving is called when a server is found to leave by a response.
	onLeaving func()
	// onTraffic, if not nil, is called for each request that was sent, when its server is released.
	onTraffic func(domainTraffic)

	mu       sync.Mutex
	byID     map[string]*backend
	departed map[string]departedServer // by ID, without an entry
	// drainDelay is how long after the removal of its entry a server may get requests.
	drainDelay time.Duration
	// leaving holds when a response of a server first said that it leaves.
	leaving   map[serverStart]time.Time
	byService map[string][]*backend
	hostCount int                 // including this host
	hostLoads map[string]hostLoad // by host, without this one
	// estimatedAt is when hostLoads were last summed up, and freshHosts the number of hosts that counted.
	estimatedAt time.Time
	freshHosts  int
	turnTime    time.Duration // moving average
	// waiters holds the requests that wait for a free server, by service and in the order of dispatch.
	waiters map[string][]*waiter
	// candidates and rotated are buffers of acquire.
	candidates []placement.Candidate
	rotated    []*backend
	// paces holds the usual pace of the streams, by service.
	paces map[string]*speed.Baseline
	// traffic holds the traffic between failure domains, by service.
	traffic map[string]*serviceTraffic
}

// hostLoad is another host's report of its active requests.
type hostLoad struct {
	inFlight   map[string]int // by server
	receivedAt time.Time
	// inDomain is set if the host is in this host's failure domain.
	inDomain bool
}

const (
	// hostLoadTTLIntervals is the number of heartbeat intervals after which another host's report no longer counts.
	hostLoadTTLIntervals = 4
	// hostLoadHalfLife is the age of a host's report at which half of its requests are taken to be at other
	// servers: the time of a turn.
	hostLoadHalfLife = 250 * time.Millisecond
	// estimatesPerHeartbeat is how often the hosts' reports are summed up in a heartbeat interval: every 20 ms in a
	// small fleet, and less often in a large one, where the reports are older.
	estimatesPerHeartbeat = 12
	// loadReportTTL is the age up to which a server's own load report is preferred to the sum of the hosts'
	// reports.
	loadReportTTL = 60 * time.Millisecond
)

// NewServers returns an empty set. onConnOpened is called for each new connection to a backend server.
func NewServers(now func() time.Time, onConnOpened func()) *Servers {
	return &Servers{now: now, onConnOpened: onConnOpened, onRateLimitedResponse: func(string) {}, onLeaving: func() {}, byID: map[string]*backend{}, departed: map[string]departedServer{}, drainDelay: defaultDrainDelay, leaving: map[serverStart]time.Time{}, byService: map[string][]*backend{}, hostCount: 1, hostLoads: map[string]hostLoad{}, waiters: map[string][]*waiter{}}
}

// TotalSlots returns the number of requests that all servers can run at once.
func (s *Servers) TotalSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.byID {
		n += b.info.Slots
	}
	return n
}

// SetHostCount sets the number of hosts that may serve callers, this one included, among which the servers' connections
// are divided.
func (s *Servers) SetHostCount(hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostCount = max(hosts, 1)
}

// Put adds a server or updates its entry. A changed address, service or start time replaces the server by a new one.
func (s *Servers) Put(info placement.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(info)
}

func (s *Servers) put(info placement.Server) {
	b, ok := s.byID[info.ID]
	if ok && isSameStart(b.info, info) {
		if b.info.Draining != info.Draining {
			logging.Emit(logging.ServerStateChanged, logging.Fields{"server": info.ID, "service": info.Service, "draining": info.Draining})
		}
		b.update(info, s.now())
		return
	}
	if ok {
		s.remove(b, "restarted")
	}
	if b = s.recall(info); b != nil {
		b.update(info, s.now())
	} else {
		b = &backend{info: info, receivedAt: s.now(), pool: upstream.NewPool(info.Address, s.onConnOpened)}
	}
	s.byID[info.ID] = b
	s.byService[info.Service] = append(s.byService[info.Service], b)
	logging.Emit(logging.ServerAdded, logging.Fields{
		"server": info.ID, "service": info.Service, "address": info.Address, "draining": info.Draining,
	})
}

// update applies the entry of the same start of the server.
func (b *backend) update(info placement.Server, now time.Time) {
	// Requests in progress read the other fields without the lock of Servers.
	b.info.FailureDomain, b.info.Slots, b.info.Draining, b.info.WarmupRemaining = info.FailureDomain, info.Slots, info.Draining, info.WarmupRemaining
	b.receivedAt, b.missingSince = now, time.Time{}
}

// Remove removes a server. Its active requests continue.
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
	s.remember(b)
	logging.Emit(logging.ServerRemoved, logging.Fields{"server": b.info.ID, "service": b.info.Service, "reason": reason})
}

// Replace makes the entries the whole set. After an outage of the store, servers without an entry stay in use for
// missingEntryGrace, because the platform drops entries while its store is unavailable.
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

// MarkMissing replaces Remove soon after an outage of the store, when an entry may have been deleted only because
// of the outage. The server stays in use for missingEntryGrace.
func (s *Servers) MarkMissing(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.byID[id]; ok && b.missingSince.IsZero() {
		b.missingSince = s.now()
		logging.Emit(logging.ServerMissing, logging.Fields{"server": id, "service": b.info.Service})
	}
}

// Sweep removes servers whose entries are missing for longer than missingEntryGrace, and closes expired idle
// connections.
func (s *Servers) Sweep() {
	s.mu.Lock()
	now := s.now()
	s.forgetDeparted(now.Add(-departedTTL))
	s.forgetLeaving(now)
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

// CountAvailable returns the number of servers of a service that are not draining.
func (s *Servers) CountAvailable(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.byService[service] {
		if !s.isDraining(b) {
			n++
		}
	}
	return n
}

// InFlightByServer returns the number of this host's active requests at each server that has any.
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

// hostLoadTimes returns when the last report of each host's active requests arrived.
func (s *Servers) hostLoadTimes() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]time.Time, len(s.hostLoads))
	for host, load := range s.hostLoads {
		out[host] = load.receivedAt
	}
	return out
}

// SetHostLoad records another host's report of its active requests by server, and dispatches waiting requests.
func (s *Servers) SetHostLoad(host string, inFlight map[string]int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLoads[host] = hostLoad{inFlight: inFlight, receivedAt: at, inDomain: s.hostLoads[host].inDomain}
	for service := range s.waiters {
		s.dispatchService(service)
	}
}

// estimatedLoad returns the estimate of all active requests at the server. A server's report that is older than
// loadReportTTL counts, with less weight, only while reports of other hosts are missing.
func (s *Servers) estimatedLoad(b *backend, now time.Time) float64 {
	age := now.Sub(b.reportedAt)
	if age < loadReportTTL {
		return float64(b.inFlight) + b.reportedRemote
	}
	s.updateEstimates(now)
	remote := b.estimatedRemote
	if s.freshHosts < s.hostCount-1 && age < 10*loadReportHalfLife {
		remote = max(remote, b.reportedRemote/(1+float64(age)/float64(loadReportHalfLife)))
	}
	return float64(b.inFlight) + remote
}

// updateEstimates sums up the other hosts' active requests at the servers. The older a host's report, the more of
// its requests are taken to have moved, and are spread over the servers of the service. Without that, all hosts
// would send their requests to the servers that were idle at the last heartbeat.
func (s *Servers) updateEstimates(now time.Time) {
	interval := fleet.MeshInterval(s.hostCount)
	if now.Sub(s.estimatedAt) < interval/estimatesPerHeartbeat {
		return
	}
	s.estimatedAt, s.freshHosts = now, 0
	for _, b := range s.byID {
		b.estimatedRemote, b.fromDomain = 0, 0
	}
	moved := map[string]float64{} // requests by service
	for _, report := range s.hostLoads {
		age := now.Sub(report.receivedAt)
		if age >= hostLoadTTLIntervals*interval {
			continue
		}
		s.freshHosts++
		unmovedFraction := math.Exp2(-float64(age) / float64(hostLoadHalfLife))
		for id, n := range report.inFlight {
			if b, ok := s.byID[id]; ok {
				b.estimatedRemote += unmovedFraction * float64(n)
				if report.inDomain {
					b.fromDomain += n
				}
				moved[b.info.Service] += (1 - unmovedFraction) * float64(n)
			}
		}
	}
	for service, n := range moved {
		for _, b := range s.byService[service] {
			b.estimatedRemote += n / float64(len(s.byService[service]))
		}
	}
}

// Pressure returns the load and the slots of the servers of a service that are neither draining nor ejected. Servers that
// name a rate limit count only if all do: they run what they take, and the rest has to go elsewhere.
func (s *Servers) Pressure(service string) admission.ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := admission.ServiceLoad{TurnTime: s.turnTime}
	now := s.now()
	limited := admission.ServiceLoad{TurnTime: s.turnTime}
	for _, b := range s.byService[service] {
		if s.isDraining(b) || b.outliers.Ejected(now) {
			continue
		}
		to := &load
		if b.rateLimit.Limited {
			to = &limited
		}
		to.Requests += s.estimatedLoad(b, now)
		to.Slots += s.effectiveSlots(b)
	}
	if load.Slots == 0 {
		return limited
	}
	return load
}

// RecordTurnTime adds the duration of a turn to the moving average that Pressure returns.
func (s *Servers) RecordTurnTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnTime += time.Duration(turnTimeGain * float64(d-s.turnTime))
}

// PlacementQuery describes a request for which a server is to be chosen.
type PlacementQuery struct {
	Service string
	Request placement.Request
	// CacheServer is the ID of the server that should have CachedTokens tokens of the prompt cached; empty if there
	// is none.
	CacheServer  string
	CachedTokens int
	// Object identifies the object that the request concerns, if servers that have handled it are faster; else empty.
	Object string
	// MaxConns is the number of connections that one server accepts from all hosts; 0 means no limit.
	MaxConns int
}

// Acquire chooses a server by the first policy that finds one, and counts the request there until Release. It
// returns nil if no server can take the request.
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
	// The random offset keeps hosts with the same state from all choosing the same server.
	offset := rand.IntN(len(list))
	candidates, rotated := s.candidateBuffers(len(list))
	for i := range list {
		b := list[(i+offset)%len(list)]
		rotated[i] = b
		candidates[i] = s.candidate(b, q, now)
		if b.info.ID == q.CacheServer {
			candidates[i].CachedTokens = min(q.CachedTokens, q.Request.PromptTokens)
		}
	}
	if q.Object != "" {
		placement.RankForObject(&q.Request, q.Object, candidates)
	}
	traffic := s.serviceTraffic(q.Service)
	s.updateSpill(traffic, q, candidates, rotated, now)
	request := traffic.priced(q.Request, rand.Float64())
	for _, p := range policies {
		if i := p.Choose(request, candidates); i >= 0 {
			rotated[i].inFlight++
			rotated[i].outliers.RecordSelection(now)
			return &AcquiredServer{
				servers: s, backend: rotated[i], Load: candidates[i].Load, LoadAge: now.Sub(rotated[i].reportedAt),
				route: newDomainRoute(p, request, candidates, i),
			}
		}
	}
	return nil
}

// AcquireServer acquires the server with that ID until Release. It returns nil if the server gets no new requests or is not
// in use; inUse is true for a server that only gets no new requests.
func (s *Servers) AcquireServer(id string) (server *AcquiredServer, inUse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, inUse := s.byID[id]
	now := s.now()
	if !inUse || !s.acceptsRequests(b, now) {
		return nil, inUse
	}
	load := s.estimatedLoad(b, now)
	b.inFlight++
	return &AcquiredServer{servers: s, backend: b, Load: load, LoadAge: now.Sub(b.reportedAt), route: domainRoute{reason: reasonResumed}}, true
}

// acceptsRequests reports whether the server gets new requests: it does not leave, and its entry has not been missing for
// long; s.mu is held.
func (s *Servers) acceptsRequests(b *backend, now time.Time) bool {
	return !s.isDraining(b) && (b.missingSince.IsZero() || now.Sub(b.missingSince) < missingEntryGrace)
}

func (s *Servers) candidate(b *backend, q PlacementQuery, now time.Time) placement.Candidate {
	c := placement.Candidate{
		Server:      b.info,
		InFlight:    b.inFlight,
		Load:        s.estimatedLoad(b, now),
		WorkTime:    b.speed.WorkTime(now),
		Ejected:     b.outliers.Ejected(now),
		AtCapacity:  now.Before(b.fullUntil) || q.MaxConns > 0 && b.inFlight >= s.connectionLimit(q.MaxConns),
		FailureRate: b.outliers.FailureRate(now),
		RateLimited: b.rateLimit.Limited,

		PermitDeferred: b.rateLimit.Limited && now.Before(b.permitDeferredUntil),
	}
	c.Server.Draining = !s.acceptsRequests(b, now)
	c.Server.WarmupRemaining = max(b.info.WarmupRemaining-now.Sub(b.receivedAt), 0)
	return c
}

// HasUnlimited reports whether a server that is not draining and names no rate limit may take the request, now or later.
func (s *Servers) HasUnlimited(q PlacementQuery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.byService[q.Service] {
		if !b.rateLimit.Limited && !s.isDraining(b) && !q.Request.ExcludedServers[b.info.ID] {
			return true
		}
	}
	return false
}

// connectionLimit returns the number of connections to one server that this host may open.
func (s *Servers) connectionLimit(maxConns int) int {
	return max(int(float64(maxConns)*(1-connectionReserveFraction))/s.hostCount, minConnectionsPerServer)
}

// AcquiredServer is a backend server chosen for one request until Release.
type AcquiredServer struct {
	servers *Servers
	backend *backend
	// Load is the estimate of the server's active requests when it was chosen, and LoadAge the age of its last load
	// report.
	Load    float64
	LoadAge time.Duration
	// route says why the request goes to the server's failure domain. Only the request's goroutine uses it until Release.
	route domainRoute
}

// ID returns the server's ID.
func (l *AcquiredServer) ID() string { return l.backend.info.ID }

// Pool returns the connection pool of the server.
func (l *AcquiredServer) Pool() *upstream.Pool { return l.backend.pool }

// RecordLoad records the server's load report.
func (l *AcquiredServer) RecordLoad(report LoadReport) {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.reportedRemote = max(float64(report.Running+report.Waiting-l.backend.inFlight), 0)
	l.backend.reportedAt = s.now()
	l.backend.speed.Record(l.backend.reportedAt, report.WorkTimePercent)
}

// Release ends the use of the server and dispatches waiting requests of its service. It must be called once.
func (l *AcquiredServer) Release() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.inFlight--
	s.recordTraffic(l)
	s.dispatchService(l.backend.info.Service)
}

// MarkFull excludes the server for fullBackoff after it refused a request as full.
func (l *AcquiredServer) MarkFull() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.fullUntil = s.now().Add(fullBackoff)
}

// RecordConnectFailure ejects the server because it accepts no connections. cause is logged.
func (l *AcquiredServer) RecordConnectFailure(cause error) {
	l.recordFailure(cause, func(r *outlier.State, now time.Time) bool { return r.RecordConnectFailure(now) })
}

// RecordResponseFailure records a response that was an error, invalid or cut off. The second one without a success
// in between ejects the server. cause is logged.
func (l *AcquiredServer) RecordResponseFailure(cause error) {
	l.recordFailure(cause, func(r *outlier.State, now time.Time) bool { return r.RecordResponseFailure(now) })
}

// RecordSuccess records a response of the server, which ends an ejection.
func (l *AcquiredServer) RecordSuccess() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.outliers.RecordSuccess(s.now())
}

// RecentlyEjected reports whether the server was ejected and has not responded since.
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
