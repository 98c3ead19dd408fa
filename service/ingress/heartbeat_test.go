package ingress

import (
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// Guards against a malformed heartbeat that adds a host without a name to those that may account for programs, or makes
// a busy server look idle.
func TestMalformedHeartbeatsAreRejected(t *testing.T) {
	for name, m := range map[string]heartbeat{
		"empty":             {},
		"no incarnation":    {Host: "a-1"},
		"negative requests": {Host: "a-1", Incarnation: "1", InFlight: map[string]int{"i-1": -3}},
	} {
		if m.validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if err := (heartbeat{Host: "a-1", Incarnation: "1", InFlight: map[string]int{"i-1": 3}}).validate(); err != nil {
		t.Error(err)
	}
}

// Guards against two hosts of the mesh that both start each exchange, and against a host that waits for heartbeats of a
// host that does not know of it.
func TestOneOfTwoHostsStartsTheExchange(t *testing.T) {
	entry := func(name string) fleet.Host { return fleet.Host{Name: name, Incarnation: "1", FailureDomain: "a"} }
	names := func(hosts []fleet.Host) (out []string) {
		for _, h := range hosts {
			out = append(out, h.Name)
		}
		return out
	}
	hosts := NewHosts(entry("b-1"), func(int) {})
	for _, name := range []string{"a-1", "b-1", "c-1"} {
		hosts.view.Put(time.Now(), entry(name))
	}
	b := &heartbeater{self: hosts.self, hosts: hosts}
	if got := names(b.due()); len(got) != 2 {
		t.Errorf("due is %v before any heartbeat, want both other hosts", got)
	}
	hosts.Hear(fleet.Heartbeat{Name: "a-1", Incarnation: "1"})
	hosts.Hear(fleet.Heartbeat{Name: "c-1", Incarnation: "1"})
	if got := names(b.due()); len(got) != 1 || got[0] != "c-1" {
		t.Errorf("due is %v, want c-1: a-1 starts the exchange with b-1", got)
	}
}

// Guards against heartbeats of a restarted host that the others ignore until its new entry reaches them, because its
// incarnation is not greater than the former one.
func TestLaterIncarnationsAreGreater(t *testing.T) {
	startedAt := time.UnixMilli(1_790_000_000_000)
	for range 100 {
		first, second := newHostIncarnation(startedAt), newHostIncarnation(startedAt.Add(300*time.Millisecond))
		if first >= second {
			t.Fatalf("incarnation %s of a later start is not greater than %s", second, first)
		}
	}
}
