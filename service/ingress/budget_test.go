package ingress

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/ledger"
	"github.com/hyssopreel/hyssopreel/core/routing"
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
	a := newBudgetService(hosts.self, hosts, self, nil, func() bool { return false }, func() bool { return false })
	result, err := a.Reserve(t.Context(), Reservation{Program: program, Attempt: "1", Budget: 580, MaxTokens: 290})
	if err != nil || result.Home != ordered[0] {
		t.Errorf("home %q, error %v, want home %q", result.Home, err, ordered[0])
	}
	if n := refused.Load(); n != 1 {
		t.Errorf("the last host was asked %d times, want once, before the first ones were ready", n)
	}
}

// testClock is a clock that the test sets.
type testClock clock.Millis

func (c *testClock) Now() clock.Millis { return clock.Millis(*c) }

// newFoundersTest returns a host that is alone in the list and the first generation, which it has read at 100 s.
func newFoundersTest(t *testing.T) (*foundersLoop, *testClock) {
	t.Helper()
	hosts := selfListedOnly("a-1", time.Minute)
	node := wire.NewNode(wire.Options{ProcessName: "a-1"})
	t.Cleanup(func() { _ = node.Close() })
	up := func() bool { return true }
	a := newBudgetService(hosts.self, hosts, node, nil, up, up)
	now := testClock(100_000)
	a.clock = &now
	object, _, ok := a.founders.Propose(now.Now(), a.foundersLoop.candidates())
	if !ok {
		t.Fatal("no first generation")
	}
	value, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	a.foundersLoop.apply(now.Now(), value, 1)
	if !a.founders.IsMember() {
		t.Fatal("not a member")
	}
	return a.foundersLoop, &now
}

// Guards against a right that lasts longer than the knowledge it rests on: a heartbeat that was long under way looks like a
// new one unless it answers a request, and its age counts from the request.
func TestOnlyAnswersConfirmTheGeneration(t *testing.T) {
	f, now := newFoundersTest(t)
	*now = 120_000
	section := f.Encode()
	if len(section) == 0 || len(section) > f.MaxBytes() {
		t.Fatalf("section of %d bytes", len(section))
	}
	newestAt := func() clock.Millis {
		at, _ := f.budgets.founders.NewestAt()
		return at
	}
	*now = 130_000
	if err := f.Merge(HeartbeatOrigin{Host: "b-1"}, section); err != nil || newestAt() != 100_000 {
		t.Errorf("newest at %d after a statement of unknown age, error %v", newestAt(), err)
	}
	if err := f.Merge(HeartbeatOrigin{Host: "b-1", RequestedAt: 125 * time.Second}, section); err != nil || newestAt() != 104_999 {
		t.Errorf("newest at %d after an answer to a request at 125 s that was 20 s old, error %v", newestAt(), err)
	}
	for _, body := range []any{"text", foundersStatement{Generation: 1, AgeMS: -1}} {
		encoded, err := msgpack.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Merge(HeartbeatOrigin{Host: "b-1", RequestedAt: 130 * time.Second}, encoded); err == nil {
			t.Errorf("%v was merged", body)
		}
	}
	if newestAt() != 104_999 {
		t.Errorf("newest at %d after invalid statements", newestAt())
	}
}

// Guards against store calls that grow with the fleet, and against a host that waits for a peer that no longer confirms.
func TestHostThatLearnsFromItsPeersReadsLater(t *testing.T) {
	f, now := newFoundersTest(t)
	expect := func(at clock.Millis, want bool, state string) {
		t.Helper()
		*now = testClock(at)
		if got := f.needsRead(at); got != want {
			t.Errorf("%s: reads at %d ms: %v", state, at, got)
		}
	}
	expect(109_999, false, "alone")
	expect(110_000, true, "alone")
	f.learnedAt = 109_000
	expect(110_000, false, "learned a second ago")
	expect(114_000, true, "learned 5 s ago")
	f.learnedAt = 114_999
	expect(115_000, true, "learned nothing newer for 15 s")
	f.budgets.founders.Confirm(1, 115_000)
	expect(116_000, false, "confirmed")
	encoded, err := msgpack.Marshal(foundersStatement{Generation: 2})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Merge(HeartbeatOrigin{Host: "b-1"}, encoded); err != nil {
		t.Fatal(err)
	}
	expect(116_000, true, "a peer knows a later generation")
	select {
	case <-f.wake:
	default:
		t.Error("the loop was not woken")
	}
}

// Guards against a program whose account and record are deleted while a turn of it runs: the turn's tokens would be
// forgotten.
func TestLongTurnsKeepTheirProgramForLonger(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{0: time.Minute, 4 * time.Second: time.Minute, 90 * time.Second: 90 * time.Second} {
		x := &exchange{route: &routing.Route{Timeout: timeout, ProgramRetention: time.Minute}}
		if got := x.newReservation().Retention; got != want {
			t.Errorf("retention %v with turns of up to %v, want %v", got, timeout, want)
		}
	}
}
