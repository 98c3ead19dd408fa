package membership_test

import (
	"testing"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/membership"
)

// TestDerivedListsFollowRecords guards against heartbeats with the digest of an old member list, or missing for a new
// ring neighbor, because the cached snapshot was not computed again after a change of a record.
func TestDerivedListsFollowRecords(t *testing.T) {
	self := membership.Member{Name: "h1", State: membership.StateUp, Incarnation: 1, Version: 1, PeerAddress: "127.0.0.1:1"}
	peer := membership.Member{Name: "h2", State: membership.StateUp, Incarnation: 1, Version: 1, PeerAddress: "127.0.0.1:2"}
	r := membership.New()
	r.Reduce(0, membership.Started{Self: self, Lease: membership.Lease{Host: "h1", Incarnation: 1, State: membership.LeaseHeld}, Version: 1, WriteIDPrefix: "p"})
	want := []membership.Member{self}
	now := clock.Millis(0)
	for i, change := range []func(){
		func() { want = append(want, peer) },
		func() { want[1].Version++ },
		func() { want[1] = want[1].WithStateGone() },
	} {
		change()
		now += 500
		r.Reduce(now, membership.RecordsReceived{Records: want[1:]})
		heartbeats := 0
		for _, e := range r.Reduce(now, membership.Ticked{}) {
			if heartbeat, ok := e.(membership.SendHeartbeat); ok {
				heartbeats++
				if heartbeat.Heartbeat.MembersDigest != membership.Digest(want) {
					t.Errorf("change %d: the digest in the heartbeat is not that of the member list", i)
				}
			}
		}
		if present := want[1].State != membership.StateGone; (heartbeats == 1) != present {
			t.Errorf("change %d: %d heartbeats, the peer is a ring neighbor: %v", i, heartbeats, present)
		}
	}
}
