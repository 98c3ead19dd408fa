package ingress

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

// listedHosts returns the host list of self with four hosts, and their names in rendezvous order for the program.
func listedHosts(t *testing.T, self string, program string) (*Hosts, []string) {
	t.Helper()
	hosts := NewHosts(fleet.Host{Name: self, Incarnation: "1", CallerAddress: self + ":1", PeerAddress: self + ":2"}, func(int) {})
	var all []fleet.Host
	for _, name := range []string{"a-1", "b-1", "c-1", "d-1"} {
		h := fleet.Host{Name: name, Incarnation: "1", CallerAddress: name + ":1", PeerAddress: name + ":2"}
		h.FailureDomain = name[:1]
		hosts.view.Put(time.Now().Add(-discoveryWait), h)
		all = append(all, h)
	}
	var ordered []string
	for _, h := range fleet.RendezvousOrder(all, program) {
		ordered = append(ordered, h.Name)
	}
	return hosts, ordered
}

// Guards against more than two hosts that use their shares of a program while the fleet is partitioned or has
// frozen hosts: if unreachable hosts did not count, each part of the fleet would have its own first two hosts in
// rendezvous order.
func TestRanksCountHostsThatCannotBeReached(t *testing.T) {
	const program = "p"
	_, ordered := listedHosts(t, "a-1", program)
	want := []ledger.SharePolicy{ledger.ShareAllowed, ledger.ShareIfStoreDown, ledger.GrantRequired, ledger.GrantRequired}
	for i, self := range ordered {
		hosts, _ := listedHosts(t, self, program)
		for _, other := range ordered {
			if other != self {
				hosts.Fail(other, errors.New("unreachable"))
			}
		}
		if n := len(hosts.Reachable()); n != 1 {
			t.Fatalf("%d hosts are reachable, want 1", n)
		}
		a := &budgetService{self: hosts.self, hosts: hosts, recordsReadAt: time.Now().Add(-2 * handoverWait)}
		if got := a.sharePolicy(program); got != want[i] {
			t.Errorf("host %d in rendezvous order has policy %v, want %v", i, got, want[i])
		}
	}
}

// Guards against a new host that is the first in rendezvous order and uses its share of a program that another host
// served before: the account of that program may not have arrived yet.
func TestFirstRankIsDoubtfulUntilAccountsHaveMoved(t *testing.T) {
	_, ordered := listedHosts(t, "a-1", "p")
	hosts, _ := listedHosts(t, ordered[0], "p")
	a := &budgetService{self: hosts.self, hosts: hosts}
	if got := a.sharePolicy("p"); got != ledger.ShareIfStoreDown {
		t.Errorf("policy %v before the records were read", got)
	}
	a.recordsReadAt = time.Now().Add(-handoverWait / 2)
	if got := a.sharePolicy("p"); got != ledger.ShareIfStoreDown {
		t.Errorf("policy %v before handoverWait is over", got)
	}
	a.recordsReadAt = time.Now().Add(-2 * handoverWait)
	if got := a.sharePolicy("p"); got != ledger.ShareAllowed {
		t.Errorf("policy %v after handoverWait", got)
	}
}

// selfListedOnly returns the list of a host that has found only itself there, listedFor ago.
func selfListedOnly(name string, listedFor time.Duration) *Hosts {
	hosts := NewHosts(fleet.Host{Name: name, Incarnation: "1"}, func(int) {})
	hosts.view.Put(time.Now().Add(-listedFor), hosts.self)
	return hosts
}

// Guards against hosts that start together while the store becomes unavailable: the first of them lists only itself
// and would be the first in its rendezvous order for every program.
func TestRanksCountHostsThatAreHeardOfButNotListed(t *testing.T) {
	const program = "p"
	_, ordered := listedHosts(t, "a-1", program)
	for heard, want := range map[int]ledger.SharePolicy{2: ledger.GrantRequired, 1: ledger.ShareIfStoreDown} {
		hosts := selfListedOnly(ordered[2], discoveryWait)
		for _, name := range ordered[:heard] {
			hosts.Hear(fleet.Heartbeat{Name: name, Incarnation: "1"})
		}
		a := &budgetService{self: hosts.self, hosts: hosts, recordsReadAt: time.Now().Add(-2 * handoverWait)}
		if got := a.sharePolicy(program); got != want {
			t.Errorf("policy %v, want %v, at a host that comes after %d others in rendezvous order", got, want, heard)
		}
	}
}

// Guards against the same failure before the first heartbeats arrive, and before the host's own entry is listed:
// other hosts may be listed that this host has not discovered.
func TestHostThatIsNotIntroducedTrustsNothing(t *testing.T) {
	unlisted := NewHosts(fleet.Host{Name: "a-1", Incarnation: "2"}, func(int) {})
	unlisted.view.Put(time.Now(), fleet.Host{Name: "a-1", Incarnation: "1"}) // an earlier incarnation
	for name, hosts := range map[string]*Hosts{
		"not listed":                unlisted,
		"listed since a moment ago": selfListedOnly("a-1", discoveryWait/2),
	} {
		a := &budgetService{
			self: hosts.self, hosts: hosts, recordsReadAt: time.Now().Add(-2 * handoverWait),
		}
		if got := a.sharePolicy("p"); got != ledger.GrantRequired {
			t.Errorf("%s: policy %v", name, got)
		}
		if got := a.reserveLocally(t.Context(), ledger.Turn{Program: "p"}); got.Decision != ledger.NotReady {
			t.Errorf("%s: decision %v", name, got.Decision)
		}
	}
}

// Guards against refusing a turn because the last host in rendezvous order may use no share, while the first ones have
// just started and are ready a moment later.
func TestReserveWaitsForAStartingHome(t *testing.T) {
	const program = "p"
	_, ordered := listedHosts(t, "a-1", program)
	// The first two homes become ready once the last one has refused the turn: a whole pass over them has failed then.
	var ready atomic.Bool
	var refused atomic.Int32
	addresses := map[string]string{}
	for i, name := range ordered[:3] {
		n := wire.NewNode(wire.Options{ProcessName: name})
		t.Cleanup(func() { _ = n.Close() })
		n.Handle(wire.TypeReserve, func(_ context.Context, r *wire.Request) {
			switch {
			case i == 2:
				refused.Add(1)
				ready.Store(true)
				_ = r.Answer(ledger.ReserveReply{Decision: ledger.GrantUnavailable})
			case !ready.Load():
				_ = r.Answer(ledger.ReserveReply{Decision: ledger.NotReady})
			default:
				_ = r.Answer(ledger.ReserveReply{Decision: ledger.Allowed})
			}
		})
		addr, err := n.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[name] = addr.String()
	}
	hosts, _ := listedHosts(t, ordered[3], program)
	for name, address := range addresses {
		h, _ := hosts.view.Listed(name)
		h.PeerAddress = address
		hosts.view.Put(time.Now(), h)
	}
	self := wire.NewNode(wire.Options{ProcessName: hosts.self.Name})
	t.Cleanup(func() { _ = self.Close() })
	a := newBudgetService(hosts.self, hosts, self, nil, func() bool { return false })
	result, err := a.Reserve(t.Context(), Reservation{Program: program, Attempt: "1", Budget: 580, MaxTokens: 290})
	if err != nil || result.Home != ordered[0] {
		t.Errorf("home %q, error %v, want home %q", result.Home, err, ordered[0])
	}
	if n := refused.Load(); n != 1 {
		t.Errorf("the last host was asked %d times, want once, before the first ones were ready", n)
	}
}
