package ingress

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSessions bounds the sessions that a host remembers; an entry takes about 200 bytes.
const maxSessions = 8192

// sessions remembers which engine ran the last turn of a session and how much of the prompt it keeps.
type sessions struct {
	mu   sync.Mutex
	last map[string]residence
}

type residence struct {
	server string
	tokens int
	at     time.Time
}

func newSessions() *sessions { return &sessions{last: map[string]residence{}} }

func (s *sessions) get(session string) (residence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.last[session]
	return r, ok
}

func (s *sessions) put(session string, r residence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.last) >= maxSessions {
		s.evict(r.at)
	}
	s.last[session] = r
}

// evict forgets the older half of the sessions, or an arbitrary one if all are recent.
func (s *sessions) evict(now time.Time) {
	const recent = 10 * time.Second
	before := len(s.last)
	for k, r := range s.last {
		if now.Sub(r.at) > recent {
			delete(s.last, k)
		}
	}
	if len(s.last) < before {
		return
	}
	for k := range s.last {
		delete(s.last, k)
		return
	}
}

// affinity returns a rank in [0, 1) of a server for a session that is the same at all hosts.
func affinity(session, server string) float64 {
	var d xxhash.Digest
	_, _ = d.WriteString(session) // a Digest never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(server)
	return float64(d.Sum64()>>11) / (1 << 53)
}
