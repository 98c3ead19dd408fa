package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/core/spill"
)

const (
	// responseBytesGain is the weight of one response in the moving average of their sizes: about the last twenty count.
	responseBytesGain = 0.05
	// spillLogInterval is the shortest time between two log lines about the traffic of one service.
	spillLogInterval = 10 * time.Second
)

// Reasons for which a request goes to a failure domain, as they appear in the metrics.
const (
	// reasonHome is that of a request that stays in the host's domain.
	reasonHome = "home"
	// reasonNoServer: no server of the domain can take the request.
	reasonNoServer = "no_server"
	// reasonCachedPrompt: the prompt is cached in the other domain.
	reasonCachedPrompt = "cached_prompt"
	// reasonShortage: the domain is short of servers, and the request belongs to the share that leaves.
	reasonShortage = "shortage"
	// reasonFaster: the other server is faster by more than the way and the bytes cost.
	reasonFaster = "faster"
	// reasonResumed: a stream is resumed at the server where it broke off.
	reasonResumed = "resumed"
)

// serviceTraffic is the state of a service's traffic between failure domains.
type serviceTraffic struct {
	spill spill.Controller
	// responseBytes is the moving average of the sizes of responses.
	responseBytes float64
	domains       []spill.Domain // buffer of the snapshots
	leaving       bool           // as last logged
	loggedAt      time.Time
}

// serviceTraffic returns the state of the service; s.mu is held.
func (s *Servers) serviceTraffic(service string) *serviceTraffic {
	t, ok := s.traffic[service]
	if !ok {
		if s.traffic == nil {
			s.traffic = map[string]*serviceTraffic{}
		}
		t = &serviceTraffic{}
		s.traffic[service] = t
	}
	return t
}

// SetHostInDomain records whether a host that has reported its active requests is in this host's failure domain.
func (s *Servers) SetHostInDomain(host string, inDomain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if load, ok := s.hostLoads[host]; ok && load.inDomain != inDomain {
		load.inDomain = inDomain
		s.hostLoads[host] = load
	}
}

// inOwnDomain reports whether a host is listed in this host's failure domain.
func (l *Hosts) inOwnDomain(name string) bool {
	return read(l, func(v *fleet.View) bool {
		host, ok := v.Listed(name)
		return ok && host.FailureDomain == l.self.FailureDomain
	})
}

// updateSpill passes a snapshot of the service's domains to its controller if that is due; s.mu is held. backends holds
// the servers of the candidates.
func (s *Servers) updateSpill(t *serviceTraffic, q PlacementQuery, candidates []placement.Candidate, backends []*backend, now time.Time) {
	if !t.spill.DueForUpdate(now) {
		return
	}
	s.updateEstimates(now)
	t.domains = t.domains[:0]
	for i := range candidates {
		c := &candidates[i]
		if c.Server.Draining || c.Ejected {
			continue
		}
		d := t.domain(c.Server.FailureDomain)
		d.Load += c.Load
		d.FromHome += float64(backends[i].inFlight + backends[i].fromDomain)
		d.Capacity += float64(s.effectiveSlots(backends[i]))
	}
	t.spill.Update(now, q.Request.FailureDomain, t.domains)
	if leaving := t.spill.Leaving(); leaving != t.leaving && now.Sub(t.loggedAt) >= spillLogInterval {
		t.leaving, t.loggedAt = leaving, now
		logging.Emit(logging.SpillChanged, logging.Fields{"service": q.Service, "domain": q.Request.FailureDomain, "leaving": leaving})
	}
}

// domain returns the entry of a domain in the snapshot.
func (t *serviceTraffic) domain(name string) *spill.Domain {
	for i := range t.domains {
		if t.domains[i].Name == name {
			return &t.domains[i]
		}
	}
	t.domains = append(t.domains, spill.Domain{Name: name})
	return &t.domains[len(t.domains)-1]
}

// candidateBuffers returns buffers for n candidates and their servers, which are used again by the next placement; s.mu is
// held.
func (s *Servers) candidateBuffers(n int) ([]placement.Candidate, []*backend) {
	if cap(s.candidates) < n {
		s.candidates, s.rotated = make([]placement.Candidate, n), make([]*backend, n)
	}
	return s.candidates[:n], s.rotated[:n]
}

// priced returns the request with the expected size of its response, and with the domain for which it need not pay for
// its bytes. draw is uniform in [0, 1).
func (t *serviceTraffic) priced(r placement.Request, draw float64) placement.Request {
	r.TransferBytes += int(t.responseBytes)
	r.OpenDomain = t.spill.Choose(draw)
	return r
}

// domainRoute says why a request goes to a failure domain, and counts its bytes.
type domainRoute struct {
	reason        string
	sent          bool
	requestBytes  int
	responseBytes int
}

// newDomainRoute returns the route of a request to the candidate that the policy chose.
func newDomainRoute(p placement.Policy, r placement.Request, candidates []placement.Candidate, chosen int) domainRoute {
	return domainRoute{reason: domainReason(p, r, candidates, chosen)}
}

func domainReason(p placement.Policy, r placement.Request, candidates []placement.Candidate, chosen int) string {
	c := &candidates[chosen]
	if c.Server.FailureDomain == r.FailureDomain {
		return reasonHome
	}
	atHome := false
	for i := range candidates {
		if candidates[i].Server.FailureDomain == r.FailureDomain && p.Passes(&r, &candidates[i]) {
			atHome = true
			break
		}
	}
	switch {
	case !atHome:
		return reasonNoServer
	case c.CachedTokens > 0:
		return reasonCachedPrompt
	case c.Server.FailureDomain == r.OpenDomain:
		return reasonShortage
	}
	return reasonFaster
}

func (r *domainRoute) recordSent(requestBytes int) {
	r.sent = true
	r.requestBytes += requestBytes
}

func (r *domainRoute) recordReceived(responseBytes int) { r.responseBytes += responseBytes }

// domainTraffic is what one request sent to a failure domain.
type domainTraffic struct {
	domain, reason              string
	requestBytes, responseBytes int
}

// recordTraffic counts the traffic of a request whose server is released; s.mu is held.
func (s *Servers) recordTraffic(l *AcquiredServer) {
	if !l.route.sent {
		return
	}
	t := s.serviceTraffic(l.backend.info.Service)
	t.responseBytes += responseBytesGain * (float64(l.route.responseBytes) - t.responseBytes)
	if s.onTraffic != nil {
		s.onTraffic(domainTraffic{
			domain: l.backend.info.FailureDomain, reason: l.route.reason, requestBytes: l.route.requestBytes, responseBytes: l.route.responseBytes,
		})
	}
}

// trafficMetrics counts requests and bytes by failure domain and reason. Its use is guarded by Servers.mu.
type trafficMetrics struct {
	scope    tally.Scope
	counters map[[2]string]trafficCounters // by domain and reason
}

type trafficCounters struct{ requests, requestBytes, responseBytes tally.Counter }

func newTrafficMetrics(scope tally.Scope) *trafficMetrics {
	return &trafficMetrics{scope: scope, counters: map[[2]string]trafficCounters{}}
}

func (m *trafficMetrics) record(t domainTraffic) {
	key := [2]string{t.domain, t.reason}
	c, ok := m.counters[key]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"to_domain": t.domain, "reason": t.reason})
		c = trafficCounters{scope.Counter("domain_requests"), scope.Counter("domain_request_bytes"), scope.Counter("domain_response_bytes")}
		m.counters[key] = c
	}
	c.requests.Inc(1)
	c.requestBytes.Inc(int64(t.requestBytes))
	c.responseBytes.Inc(int64(t.responseBytes))
}
