package backends

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/membership"
)

const (
	// noticeTTL is how long a finished notice is kept to correct peers whose list is old.
	noticeTTL = 10 * time.Minute
	// exchangeInterval bounds the exchanges of notices with one peer. Heartbeats come more often, and digests
	// differ for as long as a peer cannot reach the platform.
	exchangeInterval = time.Second
	// staleListIntervals is the number of poll periods without an answer after which the own list counts as old.
	staleListIntervals = 3
)

// NoticeState is what a notice says of a backend server.
type NoticeState string

const (
	noticeLeaving  NoticeState = "leaving"
	noticeGone     NoticeState = "gone"
	noticeReturned NoticeState = "returned"
)

// LeavingNotice is a leaving notice as hosts exchange it.
type LeavingNotice struct {
	Name    string      `msgpack:"n"`
	Address string      `msgpack:"a"`
	State   NoticeState `msgpack:"s"`
	// AgeMS is the time since the platform's list last showed this state to some host. Ages, unlike times,
	// do not depend on the hosts' wall clocks.
	AgeMS int64 `msgpack:"g"`
}

// LeavingMessage carries the notices of a host.
type LeavingMessage struct {
	Notices []LeavingNotice `msgpack:"n"`
}

// observedNotice is a notice with the local time of its observation.
type observedNotice struct {
	name, address string
	state         NoticeState
	observedAt    clock.Millis
}

// noticeKey tells a worker from one that came later under its name.
func noticeKey(name, address string) string { return name + "@" + address }

// isLeaving reports whether a listed backend server is leaving or gone.
func (s *Service) isLeaving(b objectapi.Backend) bool {
	n, ok := s.notices[noticeKey(b.Name, b.Address)]
	if ok && n.state == noticeReturned && n.observedAt > s.listedAt {
		return false // a peer's list is newer than the own one
	}
	return b.State == objectapi.BackendLeaving || ok && n.state != noticeReturned
}

// updateNotices brings the notices in line with a list that was asked for at a time. A live entry ends a notice
// only after the lag of the list: until then it may be older than the notice.
func (s *Service) updateNotices(list map[string]objectapi.Backend, at clock.Millis) {
	for _, b := range list {
		if b.State == objectapi.BackendLeaving {
			s.setNotice(b.Name, b.Address, noticeLeaving, at)
		}
	}
	for key, n := range s.notices {
		b, listed := list[n.name]
		listed = listed && b.Address == n.address
		old, known := s.list[n.name]
		known = known && old.Address == n.address
		switch {
		case n.state != noticeReturned && listed && b.State == objectapi.BackendLive && at.Sub(n.observedAt) > s.opts.Settings.MaxListLag:
			s.setNotice(n.name, n.address, noticeReturned, at)
		case n.state == noticeLeaving && !listed && (known || at.Sub(n.observedAt) > s.opts.Settings.MaxListLag):
			s.setNotice(n.name, n.address, noticeGone, at)
		case n.state != noticeLeaving && at.Sub(n.observedAt) > noticeTTL:
			delete(s.notices, key)
		}
	}
}

func (s *Service) setNotice(name, address string, state NoticeState, at clock.Millis) {
	key := noticeKey(name, address)
	if old, ok := s.notices[key]; !ok || old.state != state {
		s.revision++
		s.log("leaving_notice", map[string]any{"worker": name, "address": address, "state": string(state)})
	}
	s.notices[key] = observedNotice{name: name, address: address, state: state, observedAt: at}
}

// LeavingDigest identifies the set of leaving backend servers for heartbeats; 0 if there are none.
func (s *Service) LeavingDigest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leavingDigestLocked()
}

func (s *Service) leavingDigestLocked() uint64 {
	var keys []string
	for key, n := range s.notices {
		if n.state == noticeLeaving {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return 0
	}
	sort.Strings(keys)
	h := xxhash.New()
	for _, k := range keys {
		_, _ = h.WriteString(k + "\x00")
	}
	return h.Sum64()
}

// HandleLeavingDigest takes the digest of a peer and exchanges notices with it if it differs.
func (s *Service) HandleLeavingDigest(peer membership.Member, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	last, ok := s.lastExchange[peer.Name]
	if digest == s.leavingDigestLocked() || ok && now.Sub(last) < exchangeInterval {
		return
	}
	s.lastExchange[peer.Name] = now
	s.spawnLocked(func() { s.exchangeNotices(peer) })
}

func (s *Service) exchangeNotices(peer membership.Member) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.RequestTimeout)
	defer cancel()
	answer, err := s.opts.Peers.ExchangeNotices(ctx, peer, s.leavingMessage())
	if err != nil {
		return // the next heartbeat tries again
	}
	s.mergeNotices(answer)
}

// HandleLeavingMessage takes the notices of a peer and returns those of this host.
func (s *Service) HandleLeavingMessage(_ context.Context, m LeavingMessage) LeavingMessage {
	s.mergeNotices(m)
	return s.leavingMessage()
}

func (s *Service) leavingMessage() LeavingMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	var m LeavingMessage
	for _, n := range s.notices {
		m.Notices = append(m.Notices, LeavingNotice{Name: n.name, Address: n.address, State: n.state, AgeMS: now.Sub(n.observedAt).Milliseconds()})
	}
	sort.Slice(m.Notices, func(i, j int) bool {
		a, b := m.Notices[i], m.Notices[j]
		return a.Name+a.Address < b.Name+b.Address
	})
	return m
}

// mergeNotices takes the notices of a peer. That a backend server leaves is taken from any peer; that it is gone or
// has returned only while the own list is old, because otherwise two hosts whose lists lag differently
// would overrule each other in turn.
func (s *Service) mergeNotices(m LeavingMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	stale := s.listedAt == 0 || now.Sub(s.listedAt) > staleListIntervals*s.opts.Settings.ListInterval
	for _, x := range m.Notices {
		at := now.Add(-time.Duration(x.AgeMS) * time.Millisecond)
		old, ok := s.notices[noticeKey(x.Name, x.Address)]
		if ok && old.observedAt >= at || x.State != noticeLeaving && !stale {
			continue
		}
		s.setNotice(x.Name, x.Address, x.State, at)
	}
}
