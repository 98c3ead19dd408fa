package ingress

import (
	"context"
	"testing"
	"time"

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

// selfListedOnly returns the list of a host that has found only itself there, listedFor ago.
func selfListedOnly(name string, listedFor time.Duration) *Hosts {
	hosts := NewHosts(fleet.Host{Name: name, Incarnation: "1"}, func(int) {})
	hosts.view.Put(time.Now().Add(-listedFor), hosts.self)
	return hosts
}

// Guards against a host that accounts for programs before it and the other hosts have discovered each other, while the
// store is unavailable: others may do so for the same programs.
func TestHostThatIsNotIntroducedIsNotReady(t *testing.T) {
	unlisted := NewHosts(fleet.Host{Name: "a-1", Incarnation: "2"}, func(int) {})
	unlisted.view.Put(time.Now(), fleet.Host{Name: "a-1", Incarnation: "1"}) // an earlier incarnation
	for name, hosts := range map[string]*Hosts{
		"not listed":                unlisted,
		"listed since a moment ago": selfListedOnly("a-1", discoveryWait/2),
	} {
		a := &budgetService{self: hosts.self, hosts: hosts}
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
	startedAt := time.Now()
	addresses := map[string]string{}
	for i, name := range ordered[:3] {
		n := wire.NewNode(wire.Options{ProcessName: name})
		t.Cleanup(func() { _ = n.Close() })
		n.Handle(wire.TypeReserve, func(_ context.Context, r *wire.Request) {
			switch {
			case i == 2:
				_ = r.Answer(ledger.ReserveReply{Decision: ledger.GrantUnavailable})
			case time.Since(startedAt) < discoveryWait:
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
	a := newBudgetService(hosts.self, hosts, self, nil, func() bool { return false }, func() bool { return false })
	result, err := a.Reserve(t.Context(), Reservation{Program: program, Attempt: "1", Budget: 580, MaxTokens: 290})
	if err != nil || result.Home != ordered[0] {
		t.Errorf("home %q, error %v, want home %q", result.Home, err, ordered[0])
	}
}
