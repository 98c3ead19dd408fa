package ingress

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

const (
	// leavingReportTTL is how long hosts tell each other that a server leaves: several heartbeat intervals, of a follower
	// too. Entries and responses tell the hosts that start later.
	leavingReportTTL = 3 * time.Second
	// maxLeavingReports and maxLeavingSectionBytes bound the section of heartbeats that names servers that leave.
	maxLeavingReports      = 64
	maxLeavingSectionBytes = 8 << 10
	// leavingTTL is how long a server that leaves is remembered if it has no entry.
	leavingTTL = departedTTL
	// maxLeaving bounds the number of servers that are remembered: more than the servers of the largest deployment.
	maxLeaving = 8192
)

// serverStart identifies one start of a server.
type serverStart struct {
	ID          string
	StartedAtMS int64
}

func (b *backend) start() serverStart {
	return serverStart{ID: b.info.ID, StartedAtMS: b.info.StartedAtMS}
}

// leavingReport is what a heartbeat says of a server that leaves.
type leavingReport struct {
	_msgpack    struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	Server      string
	StartedAtMS int64
	// AgeMS is the time since the response that said so.
	AgeMS int64
}

// isDraining reports whether the server gets no new requests because it leaves, by its entry or by a response; the lock of
// Servers is held.
func (s *Servers) isDraining(b *backend) bool {
	if b.info.Draining {
		return true
	}
	_, leaving := s.leaving[b.start()]
	return leaving
}

// markLeaving records that a server leaves and when a response said so; s.mu is held.
func (s *Servers) markLeaving(start serverStart, at time.Time, origin string) {
	if len(s.leaving) >= maxLeaving {
		s.forgetLeaving(s.now().Add(leavingTTL))
	}
	if _, ok := s.leaving[start]; ok || len(s.leaving) >= maxLeaving {
		return
	}
	s.leaving[start] = at
	s.onLeaving()
	service := ""
	if b, ok := s.known(start.ID); ok {
		service = b.info.Service
	}
	logging.Emit(logging.ServerLeaving, logging.Fields{"server": start.ID, "service": service, "origin": origin})
}

// MarkLeaving records that a response of the server says that it leaves: it gets no new requests until its entry shows
// another start.
func (l *AcquiredServer) MarkLeaving() {
	s := l.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markLeaving(l.backend.start(), s.now(), "response")
}

// forgetLeaving forgets the servers that leave and have had no entry for leavingTTL; s.mu is held.
func (s *Servers) forgetLeaving(now time.Time) {
	for start, at := range s.leaving {
		b, ok := s.byID[start.ID]
		if now.Sub(at) > leavingTTL && (!ok || b.start() != start) {
			delete(s.leaving, start)
		}
	}
}

// leavingReports returns the servers of which a response said lately that they leave, the newest ones first.
func (s *Servers) leavingReports() []leavingReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []leavingReport
	for start, at := range s.leaving {
		if age := now.Sub(at); age < leavingReportTTL {
			out = append(out, leavingReport{Server: start.ID, StartedAtMS: start.StartedAtMS, AgeMS: age.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b leavingReport) int { return int(a.AgeMS - b.AgeMS) })
	return out[:min(len(out), maxLeavingReports)]
}

// leavingSection is the section of heartbeats that names the servers that leave by their responses.
type leavingSection struct{ servers *Servers }

// Name implements HeartbeatSection.
func (leavingSection) Name() string { return "leaving" }

// MaxBytes implements HeartbeatSection.
func (leavingSection) MaxBytes() int { return maxLeavingSectionBytes }

// Encode implements HeartbeatSection. If the names are too long, it leaves out the oldest reports.
func (s leavingSection) Encode() []byte {
	for reports := s.servers.leavingReports(); len(reports) > 0; reports = reports[:len(reports)/2] {
		if b, err := msgpack.Marshal(reports); err == nil && len(b) <= maxLeavingSectionBytes {
			return b
		}
	}
	return nil
}

// Merge implements HeartbeatSection.
func (s leavingSection) Merge(from HeartbeatOrigin, section []byte) error {
	var reports []leavingReport
	if err := msgpack.Unmarshal(section, &reports); err != nil {
		return errors.Wrap(err, "decode servers that leave")
	}
	if len(reports) > maxLeavingReports {
		return errors.Newf("%d servers that leave", len(reports))
	}
	for _, r := range reports {
		if r.Server == "" || r.AgeMS < 0 {
			return errors.Newf("server %q leaves since %d ms", r.Server, r.AgeMS)
		}
	}
	s.servers.mu.Lock()
	defer s.servers.mu.Unlock()
	now := s.servers.now()
	for _, r := range reports {
		start := serverStart{ID: r.Server, StartedAtMS: r.StartedAtMS}
		s.servers.markLeaving(start, now.Add(-time.Duration(r.AgeMS)*time.Millisecond), from.Host)
	}
	return nil
}
