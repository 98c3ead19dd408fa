package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/placement"
)

var leavingQuery = PlacementQuery{Service: "s", MaxConns: 20}

// newLeavingServers returns the servers of a host that has one, and a function that reports whether it gets requests.
func newLeavingServers(now *time.Time) (*Servers, func() bool) {
	s := NewServers(func() time.Time { return *now }, nil)
	s.Put(placement.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedAtMS: 7})
	return s, func() bool {
		return s.Acquire(leavingQuery, placement.DefaultPolicy(), placement.AllowEjectedPolicy(), placement.RateLimitedPolicy()) != nil
	}
}

// Guards against requests to a server that has said that it leaves, also where its entry doesn't say so, and against a
// server that is left alone for good.
func TestServerThatSaysThatItLeavesGetsNoRequests(t *testing.T) {
	now := time.Now()
	s, isChosen := newLeavingServers(&now)
	server, _ := s.AcquireServer("i-1")
	server.MarkLeaving()
	if isChosen() {
		t.Error("chosen after it said that it leaves")
	}
	if resumed, inUse := s.AcquireServer("i-1"); resumed != nil || !inUse {
		t.Errorf("acquired for a resumed stream: %v, in use: %v", resumed != nil, inUse)
	}
	if n := s.CountAvailable("s"); n != 0 || s.HasUnlimited(leavingQuery) || s.Pressure("s").Slots != 0 {
		t.Errorf("%d servers are available", n)
	}
	info := placement.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedAtMS: 7}
	s.Put(info)
	now = now.Add(10 * time.Minute)
	s.Sweep()
	if isChosen() {
		t.Error("chosen after its entry was written again")
	}
	s.Remove("i-1", "lapsed")
	s.Put(info)
	if isChosen() {
		t.Error("chosen after its entry lapsed and came back")
	}
	info.StartedAtMS = 8
	s.Put(info)
	if !isChosen() {
		t.Error("not chosen after its next start")
	}
}

// Guards against hosts that send requests to a server that has said to another host that it leaves.
func TestPeersLearnThatAServerLeaves(t *testing.T) {
	now := time.Now()
	s, _ := newLeavingServers(&now)
	server, _ := s.AcquireServer("i-1")
	server.MarkLeaving()
	section := leavingSection{s}.Encode()
	if section == nil {
		t.Fatal("heartbeats don't say that a server leaves")
	}
	peer, isChosen := newLeavingServers(&now)
	merge := func(section []byte) error { return leavingSection{peer}.Merge(HeartbeatOrigin{Host: "b-1"}, section) }
	if err := merge(section); err != nil || isChosen() {
		t.Errorf("chosen by a peer: %v, error %v", isChosen(), err)
	}
	if (leavingSection{peer}).Encode() == nil {
		t.Error("a peer doesn't pass it on to its followers")
	}
	late := NewServers(func() time.Time { return now }, nil)
	if err := (leavingSection{late}).Merge(HeartbeatOrigin{Host: "b-1"}, section); err != nil {
		t.Error(err)
	}
	late.Put(placement.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedAtMS: 7})
	if late.CountAvailable("s") != 0 {
		t.Error("chosen by a peer that learns of the server later")
	}
	now = now.Add(leavingReportTTL)
	if (leavingSection{s}).Encode() != nil || (leavingSection{peer}).Encode() != nil {
		t.Error("heartbeats name it without end")
	}
	for name, bad := range map[string]string{"no msgpack": "\xc1", "no name": "\x91\x93\xa0\x01\x01", "negative age": "\x91\x93\xa1x\x01\xff"} {
		if merge([]byte(bad)) == nil {
			t.Errorf("%s: merged", name)
		}
	}
}

// Guards against heartbeats that grow with the number of servers that leave.
func TestLeavingSectionIsBounded(t *testing.T) {
	now := time.Now()
	s, _ := newLeavingServers(&now)
	s.mu.Lock()
	for i := range 2 * maxLeaving {
		s.markLeaving(serverStart{ID: fmt.Sprint(strings.Repeat("x", 300), i)}, now, "test")
	}
	s.mu.Unlock()
	if n := len(leavingSection{s}.Encode()); n == 0 || n > maxLeavingSectionBytes {
		t.Errorf("%d bytes", n)
	}
	if len(s.leaving) > maxLeaving {
		t.Errorf("%d servers", len(s.leaving))
	}
	now = now.Add(2 * leavingTTL)
	s.Sweep()
	if len(s.leaving) != 0 {
		t.Errorf("%d servers are remembered", len(s.leaving))
	}
}
