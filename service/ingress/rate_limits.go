package ingress

import (
	"net/http"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
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
