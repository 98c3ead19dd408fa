package ingress

import (
	"time"

	"github.com/hyssopreel/hyssopreel/core/speed"
)

// paceMeter measures the pace of a stream's events, from the arrival of the first ones on.
type paceMeter struct {
	firstAt, lastAt time.Time
	first, last     int // events that had arrived
}

// record records that the number of events that have arrived is events.
func (m *paceMeter) record(now time.Time, events int) {
	if m.firstAt.IsZero() {
		m.firstAt, m.first = now, events
	}
	if events > m.last {
		m.lastAt, m.last = now, events
	}
}

// recordPace records the pace of a stream of the server that is complete.
func (l *AcquiredServer) recordPace(m paceMeter) {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	service := l.backend.info.Service
	baseline, ok := s.paces[service]
	if !ok {
		if s.paces == nil {
			s.paces = map[string]*speed.Baseline{}
		}
		baseline = &speed.Baseline{}
		s.paces[service] = baseline
	}
	running := min(l.Load+1, float64(l.backend.info.Slots))
	l.backend.speed.RecordPace(s.now(), baseline, m.last-m.first, m.lastAt.Sub(m.firstAt), running)
}
