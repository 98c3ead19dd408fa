package ingress

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

// listedHosts returns a host's list of four hosts, and their names in the order of their ranks for the program.
func listedHosts(t *testing.T, self string, program string) (*Hosts, []string) {
	t.Helper()
	var objects []objectapi.Object
	var all []fleet.Host
	for _, name := range []string{"a-1", "b-1", "c-1", "d-1"} {
		h := fleet.Host{Name: name, Incarnation: "1", CallerAddress: name + ":1", PeerAddress: name + ":2"}
		value, err := json.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		objects = append(objects, objectapi.Object{Name: name, Value: value})
		all = append(all, h)
	}
	hosts := NewHosts(fleet.Host{Name: self, Incarnation: "1", CallerAddress: self + ":1", PeerAddress: self + ":2"}, func(int) {})
	hosts.Replace(objects, false)
	hosts.listedSince[self] = time.Now().Add(-discoveryWait)
	var ranked []string
	for _, h := range fleet.RendezvousOrder(all, program) {
		ranked = append(ranked, h.Name)
	}
	return hosts, ranked
}

// Guards against a fleet that is cut in halves, or with frozen hosts: the hosts of each part that reach each other would
// take themselves for the first two in rank, and more than two would use their shares.
func TestRanksCountHostsThatCannotBeReached(t *testing.T) {
	const program = "p"
	_, ranked := listedHosts(t, "a-1", program)
	want := []ledger.SharePolicy{ledger.ShareAllowed, ledger.ShareIfStoreDown, ledger.GrantRequired, ledger.GrantRequired}
	for rank, self := range ranked {
		hosts, _ := listedHosts(t, self, program)
		for _, other := range ranked {
			if other != self {
				hosts.RecordContact(other, errors.New("cut off"))
			}
		}
		if n := len(hosts.Reachable()); n != 1 {
			t.Fatalf("%d hosts are live", n)
		}
		a := &budgetService{self: hosts.self, hosts: hosts, recentHosts: noHosts, recordsReadAt: time.Now().Add(-2 * handoverWait)}
		if got := a.sharePolicy(program); got != want[rank] {
			t.Errorf("rank %d trusts %v, want %v", rank, got, want[rank])
		}
	}
}

// Guards against a first-ranked host that has just started and takes programs for new that another host served.
func TestFirstRankIsDoubtfulUntilAccountsHaveMoved(t *testing.T) {
	_, ranked := listedHosts(t, "a-1", "p")
	hosts, _ := listedHosts(t, ranked[0], "p")
	a := &budgetService{self: hosts.self, hosts: hosts, recentHosts: noHosts}
	if got := a.sharePolicy("p"); got != ledger.ShareIfStoreDown {
		t.Errorf("trust %v before the records were read", got)
	}
	a.recordsReadAt = time.Now().Add(-handoverWait / 2)
	if got := a.sharePolicy("p"); got != ledger.ShareIfStoreDown {
		t.Errorf("trust %v before accounts have moved", got)
	}
	a.recordsReadAt = time.Now().Add(-2 * handoverWait)
	if got := a.sharePolicy("p"); got != ledger.ShareAllowed {
		t.Errorf("trust %v later", got)
	}
}

func noHosts() []fleet.Host { return nil }

// selfListedOnly returns a host that lists itself only, for that long.
func selfListedOnly(name string, listedFor time.Duration) *Hosts {
	hosts := NewHosts(fleet.Host{Name: name, Incarnation: "1"}, func(int) {})
	hosts.listed[name] = hosts.self
	hosts.listedSince[name] = time.Now().Add(-listedFor)
	return hosts
}

// Guards against hosts that started together when the store fell silent: the first of them lists itself only and takes
// itself for the first in rank of every program.
func TestRanksCountHostsThatAreHeardOfButNotListed(t *testing.T) {
	const program = "p"
	_, ranked := listedHosts(t, "a-1", program)
	heard := []fleet.Host{{Name: ranked[0]}, {Name: ranked[1]}}
	hosts := selfListedOnly(ranked[2], discoveryWait)
	a := &budgetService{
		self: hosts.self, hosts: hosts, recordsReadAt: time.Now().Add(-2 * handoverWait),
		recentHosts: func() []fleet.Host { return heard },
	}
	if got := a.sharePolicy(program); got != ledger.GrantRequired {
		t.Errorf("third in rank of the hosts that were heard of trusts %v", got)
	}
	heard = heard[:1]
	if got := a.sharePolicy(program); got != ledger.ShareIfStoreDown {
		t.Errorf("second in rank trusts %v", got)
	}
}

// Guards against the same before the first beats, and before the own entry is listed: others may be listed that this
// host has never heard of.
func TestHostThatIsNotIntroducedTrustsNothing(t *testing.T) {
	unlisted := NewHosts(fleet.Host{Name: "a-1", Incarnation: "2"}, func(int) {})
	unlisted.listed["a-1"] = fleet.Host{Name: "a-1", Incarnation: "1"} // of the start before
	for name, hosts := range map[string]*Hosts{
		"not listed":                unlisted,
		"listed since a moment ago": selfListedOnly("a-1", discoveryWait/2),
	} {
		a := &budgetService{
			self: hosts.self, hosts: hosts, recordsReadAt: time.Now().Add(-2 * handoverWait), recentHosts: noHosts,
		}
		if got := a.sharePolicy("p"); got != ledger.GrantRequired {
			t.Errorf("%s: trust %v", name, got)
		}
		if got := a.reserveLocally(t.Context(), ledger.Turn{Program: "p"}); got.Decision != ledger.NotReady {
			t.Errorf("%s: %v", name, got.Decision)
		}
	}
}
