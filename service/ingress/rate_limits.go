package ingress

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/ratelimit"
)

// RecordRateLimit records what a response to a request that was sent at sentAt says of the server's rate limit. A
// response that may come from another server says nothing.
func (l *AcquiredServer) RecordRateLimit(sentAt time.Time, status int, m ResponseMetadata) {
	if status == http.StatusMisdirectedRequest || !m.RateLimited && m.RateLimitErr == nil && !m.HasServerStamp {
		return
	}
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	b := l.backend
	alreadyRejected := b.rateLimitRejected
	b.rateLimitRejected = m.RateLimitErr != nil
	switch {
	case m.RateLimitErr != nil && alreadyRejected:
		return
	case m.RateLimitErr != nil:
		logging.Emit(logging.ServerLimitRejected, logging.Fields{"server": b.info.ID, "service": b.info.Service, "error": m.RateLimitErr})
		return
	}
	if b.rateLimit.Limited {
		s.onRateLimitedResponse(b.info.ID)
	}
	if b.rateLimit.Observe(sentAt, s.now(), m.RateLimited, m.RateLimit) {
		s.logRateLimit(b, "response")
	}
}

func (s *Servers) logRateLimit(b *backend, origin string) {
	fields := logging.Fields{"server": b.info.ID, "service": b.info.Service, "origin": origin}
	if !b.rateLimit.Limited {
		logging.Emit(logging.ServerLimitEnded, fields)
		return
	}
	fields["limit"] = b.rateLimit.PerSecond
	logging.Emit(logging.ServerRateLimited, fields)
}

// endedLimitTTL is how long hosts tell each other that a limit has ended.
const endedLimitTTL = 5 * time.Second

// serverLimit is what a heartbeat says of the rate limit of one server.
type serverLimit struct {
	Server      string
	StartedAtMS int64
	Limited     bool
	PerSecond   float64
	// Age is the time since the response on which this is based.
	Age time.Duration
}

// RateLimits returns the limits in force and those that have ended within endedLimitTTL.
func (s *Servers) RateLimits() []serverLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []serverLimit
	for _, b := range s.byID {
		age := now.Sub(b.rateLimit.ObservedAt)
		if b.rateLimit.Limited || !b.rateLimit.ObservedAt.IsZero() && age < endedLimitTTL {
			out = append(out, serverLimit{
				Server: b.info.ID, StartedAtMS: b.info.StartedAtMS, Limited: b.rateLimit.Limited, PerSecond: b.rateLimit.PerSecond, Age: age,
			})
		}
	}
	return out
}

// namedLimits returns the limits in force for operators, sorted by server.
func (s *Servers) namedLimits() []api.RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []api.RateLimit{}
	for _, b := range s.byID {
		if b.rateLimit.Limited {
			out = append(out, api.RateLimit{
				Server: b.info.ID, Service: b.info.Service, PerSecond: b.rateLimit.PerSecond, NamedMS: ageMS(s.now(), b.rateLimit.ObservedAt),
			})
		}
	}
	slices.SortFunc(out, func(a, b api.RateLimit) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// MergeRateLimits applies the limits that another host knows.
func (s *Servers) MergeRateLimits(limits []serverLimit, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, limit := range limits {
		b, ok := s.known(limit.Server)
		if !ok || b.info.StartedAtMS != limit.StartedAtMS {
			continue
		}
		if b.rateLimit.Merge(ratelimit.Limit{Limited: limit.Limited, PerSecond: limit.PerSecond, ObservedAt: now.Add(-limit.Age)}) {
			s.logRateLimit(b, host)
		}
	}
}

// permitRequest returns the request for the permit that the acquired server requires; ok is false if it requires none.
func (l *AcquiredServer) permitRequest(maxWait time.Duration) (r PermitRequest, ok bool) {
	l.servers.mu.Lock()
	defer l.servers.mu.Unlock()
	b := l.backend
	return PermitRequest{Server: b.info.ID, StartedAtMS: b.info.StartedAtMS, PerSecond: b.rateLimit.PerSecond, MaxWait: maxWait}, b.rateLimit.Limited
}

// DeferPermit excludes the server for d because there is no permit for it, and dispatches waiting requests afterwards.
func (l *AcquiredServer) DeferPermit(d time.Duration) {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	l.backend.permitDeferredUntil = s.now().Add(d)
	service := l.backend.info.Service
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatchService(service)
	})
}

// effectiveSlots returns the number of requests that the server runs at once: within a rate limit, those that begin during
// one turn. s.mu is held.
func (s *Servers) effectiveSlots(b *backend) int {
	if !b.rateLimit.Limited || s.turnTime <= 0 {
		return b.info.Slots
	}
	return min(b.info.Slots, int(math.Ceil(b.rateLimit.PerSecond*s.turnTime.Seconds())))
}
