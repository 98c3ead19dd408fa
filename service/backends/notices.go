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
	// noticeTTL is how long a notice of the state gone or returned is kept to correct peers whose list is stale.
	noticeTTL = 10 * time.Minute
	// exchangeInterval is the minimum time between exchanges of notices with one peer. Heartbeats are more frequent,
	// and digests differ for as long as a peer cannot reach the platform.
	exchangeInterval = time.Second
	// staleListIntervals is the number of list intervals (Settings.ListInterval) without a successful poll after which
	// this host's list is stale.
	staleListIntervals = 3
)

// NoticeState is the state of a backend server in a leaving notice.
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
	// AgeMS is the time since a host last observed this state in the platform's list. An age, unlike a time of day,
	// doesn't depend on the wall clocks of the hosts.
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

// noticeKey includes the address, to distinguish a backend server from a later one with the same name.
func noticeKey(name, address string) string { return name + "@" + address }

// isLeaving reports whether a listed backend server is leaving or gone.
func (s *Service) isLeaving(b objectapi.Backend) bool {
	n, ok := s.notices[noticeKey(b.Name, b.Address)]
	if ok && n.state == noticeReturned && n.observedAt > s.listedAt {
		return false // a peer's list is newer than this host's
	}
	return b.State == objectapi.BackendLeaving || ok && n.state != noticeReturned
}

// updateNotices updates the notices with a list that was requested at sentAt. A live entry ends a notice only after
// MaxListLag, because until then it may be older than the notice.
func (s *Service) updateNotices(list map[string]objectapi.Backend, sentAt clock.Millis) {
	for _, b := range list {
		if b.State == objectapi.BackendLeaving {
			s.setNotice(b.Name, b.Address, noticeLeaving, sentAt)
		}
	}
	for key, n := range s.notices {
		b, listed := list[n.name]
		listed = listed && b.Address == n.address
		old, wasListed := s.list[n.name]
		wasListed = wasListed && old.Address == n.address
		switch {
		case n.state != noticeReturned && listed && b.State == objectapi.BackendLive && sentAt.Sub(n.observedAt) > s.opts.Settings.MaxListLag:
			s.setNotice(n.name, n.address, noticeReturned, sentAt)
		case n.state == noticeLeaving && !listed && (wasListed || sentAt.Sub(n.observedAt) > s.opts.Settings.MaxListLag):
			s.setNotice(n.name, n.address, noticeGone, sentAt)
		case n.state != noticeLeaving && sentAt.Sub(n.observedAt) > noticeTTL:
			delete(s.notices, key)
		}
	}
}

func (s *Service) setNotice(name, address string, state NoticeState, observedAt clock.Millis) {
	key := noticeKey(name, address)
	if old, ok := s.notices[key]; !ok || old.state != state {
		s.revision++
		s.log("leaving_notice", map[string]any{"worker": name, "address": address, "state": string(state)})
	}
	s.notices[key] = observedNotice{name: name, address: address, state: state, observedAt: observedAt}
}

// LeavingDigest returns a hash of the leaving backend servers for heartbeats; 0 if there are none.
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

// HandleLeavingDigest starts an exchange of notices with a peer if its digest differs from this host's.
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
	response, err := s.opts.Peers.ExchangeNotices(ctx, peer, s.leavingMessage())
	if err != nil {
		return // the next heartbeat triggers a retry
	}
	s.mergeNotices(response)
}

// HandleLeavingMessage merges the notices of a peer and returns those of this host.
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

// mergeNotices merges the notices of a peer. Leaving is accepted at any time; gone and returned are accepted only
// while this host's list is stale, because otherwise two hosts whose lists lag differently would keep reverting each
// other's state.
func (s *Service) mergeNotices(m LeavingMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	stale := s.listedAt == 0 || now.Sub(s.listedAt) > staleListIntervals*s.opts.Settings.ListInterval
	for _, notice := range m.Notices {
		observedAt := now.Add(-time.Duration(notice.AgeMS) * time.Millisecond)
		old, ok := s.notices[noticeKey(notice.Name, notice.Address)]
		if ok && old.observedAt >= observedAt || notice.State != noticeLeaving && !stale {
			continue
		}
		s.setNotice(notice.Name, notice.Address, notice.State, observedAt)
	}
}
