package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// ownerViews returns the views of three hosts in each of the failure domains, all listed and reachable.
func ownerViews(domains int) (views map[string]*fleet.View, names []string) {
	var hosts []fleet.Host
	for d := range domains {
		for i := range 3 {
			name := fmt.Sprintf("%c-%d", 'a'+d, i)
			hosts = append(hosts, fleet.Host{Name: name, Incarnation: "1", FailureDomain: name[:1], CallerAddress: "c", PeerAddress: "p"})
			names = append(names, name)
		}
	}
	views = map[string]*fleet.View{}
	for _, self := range hosts {
		views[self.Name] = fleet.NewView(self)
		for _, h := range hosts {
			views[self.Name].Put(time.Unix(0, 0), h)
		}
	}
	return views, names
}

// cut makes the hosts on both sides unreachable to each other.
func cut(views map[string]*fleet.View, side map[string]bool) {
	for name, v := range views {
		for other := range views {
			if side[name] != side[other] {
				v.Fail(time.Unix(1, 0), other, "cut")
			}
		}
	}
}

// Guards against two hosts that each grant a server's whole limit, one on either side of a split.
func TestSplitFleetHasAtMostOneOwner(t *testing.T) {
	for domains := 1; domains <= 3; domains++ {
		for mask := range 1 << (3 * domains) {
			views, names := ownerViews(domains)
			side := map[string]bool{}
			for i, name := range names {
				side[name] = mask>>i&1 == 1
			}
			cut(views, side)
			owners := map[string]bool{}
			for _, v := range views {
				if owner, ok := v.Owner("server"); ok {
					owners[owner.Name] = true
				}
			}
			NewWithT(t).Expect(len(owners)).To(Equal(1), "domains %d, split %b", domains, mask)
		}
	}
}

// Guards against a host that starts during an outage of the store and owns servers that others take for another host's.
func TestHostThatIsNotListedOwnsNothing(t *testing.T) {
	views, _ := ownerViews(1)
	self := fleet.Host{Name: "a-9", Incarnation: "1", FailureDomain: "b", Cores: 8}
	v := fleet.NewView(self)
	for name := range views {
		h, _ := views[name].Listed(name)
		v.Put(time.Unix(0, 0), h)
	}
	for i := range 50 {
		owner, ok := v.Owner(fmt.Sprint(i))
		NewWithT(t).Expect(ok).To(BeTrue())
		NewWithT(t).Expect(owner.Name).NotTo(Equal("a-9"))
	}
}

// Guards against an owner that goes on at once where another host owned the server until now.
func TestTenureStartsWhenTheFormerOwnerIsLost(t *testing.T) {
	g := NewWithT(t)
	views, _ := ownerViews(3)
	former, _ := views["a-0"].Owner("server")
	tenures := map[string]*fleet.Tenure{}
	for name, v := range views {
		tenures[name] = &fleet.Tenure{}
		tenures[name].Update(time.Unix(0, 0), v)
	}
	for name, v := range views {
		if name != former.Name {
			v.Fail(time.Unix(20, 0), former.Name, "killed")
			tenures[name].Update(time.Unix(20, 0), v)
		}
	}
	next, ok := views["a-0"].Owner("server")
	if former.Name == "a-0" {
		next, ok = views["a-1"].Owner("server")
	}
	g.Expect(ok).To(BeTrue())
	since, ok := tenures[next.Name].OwnedSince(next.Name, "server")
	g.Expect(ok).To(BeTrue())
	g.Expect(since).To(Equal(time.Unix(20, 0)))
	_, ok = tenures[next.Name].OwnedSince(former.Name, "server")
	g.Expect(ok).To(BeFalse())
	for name, v := range views {
		v.Hear(time.Unix(31, 0), fleet.Heartbeat{Name: former.Name, Incarnation: "1"})
		tenures[name].Update(time.Unix(31, 0), v)
	}
	since, ok = tenures[former.Name].OwnedSince(former.Name, "server")
	g.Expect(ok).To(BeTrue())
	g.Expect(since).To(BeZero(), "the host itself has not seen that it was lost")
}
