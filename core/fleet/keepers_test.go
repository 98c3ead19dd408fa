package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// exchange makes all hosts hear from all others that they reach.
func exchange(now time.Time, views map[string]*fleet.View, names []string, linked func(a, b string) bool) {
	for _, to := range names {
		for _, from := range names {
			if from != to && linked(from, to) {
				views[to].Hear(now, fleet.Heartbeat{Name: from, Incarnation: "1", Unreachable: views[from].Unreachable()})
			}
		}
	}
}

// keepersOf returns the hosts that take themselves for the keeper of the key.
func keepersOf(now time.Time, views map[string]*fleet.View, names []string, key string) []string {
	var out []string
	for _, name := range names {
		keepers := views[name].Keepers(now)
		if len(keepers) > 0 && fleet.RendezvousOrder(keepers, key)[0].Name == name {
			out = append(out, name)
		}
	}
	return out
}

// Guards against two hosts that keep the same account, however the links between hosts are cut: a host that is cut off from
// the keeper alone must not take its place.
func TestAnyCutLeavesAtMostOneKeeper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views, names := ownerViews(rapid.IntRange(1, 4).Draw(t, "domains"))
		cuts := map[string]bool{}
		density := rapid.IntRange(0, 100).Draw(t, "density")
		for i, a := range names {
			for _, b := range names[i+1:] {
				cuts[a+b] = rapid.IntRange(0, 99).Draw(t, "link") < density
			}
		}
		linked := func(a, b string) bool { return !cuts[min(a, b)+max(a, b)] }
		for i, a := range names {
			for _, b := range names[i+1:] {
				if !linked(a, b) {
					views[a].Fail(time.Unix(10, 0), b, "cut")
					views[b].Fail(time.Unix(10, 0), a, "cut")
				}
			}
		}
		now := time.Unix(10, 0)
		for range 3 {
			now = now.Add(250 * time.Millisecond)
			exchange(now, views, names, linked)
		}
		for i := range 20 {
			if keepers := keepersOf(now, views, names, fmt.Sprint(i)); len(keepers) > 1 {
				t.Fatalf("hosts %v keep the account of %d", keepers, i)
			}
		}
	})
}

// Guards against accounts that nobody keeps although most hosts reach each other, and against a host that keeps accounts
// without hearing from the majority, as after a freeze.
func TestKeepersFollowTheMajority(t *testing.T) {
	g := NewWithT(t)
	views, names := ownerViews(3)
	now := time.Unix(10, 0)
	exchange(now, views, names, func(string, string) bool { return true })
	g.Expect(keepersOf(now, views, names, "team")).To(HaveLen(1))
	keeper := keepersOf(now, views, names, "team")[0]
	for _, name := range names {
		if name != keeper {
			views[name].Fail(now, keeper, "killed")
		}
	}
	for range 3 {
		now = now.Add(250 * time.Millisecond)
		exchange(now, views, names, func(a, b string) bool { return a != keeper && b != keeper })
	}
	alive := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == keeper })
	g.Expect(keepersOf(now, views, alive, "team")).To(HaveLen(1))
	g.Expect(views[keeper].Keepers(now)).NotTo(BeEmpty(), "it heard from the others 0.75 s ago")
	g.Expect(views[keeper].Keepers(now.Add(time.Second))).To(BeEmpty())
}

// Guards against teams that get no tokens after the loss of one of two failure domains, and against two keepers of which each
// half of the fleet has one.
func TestOneHalfOfASplitFleetHasAKeeper(t *testing.T) {
	for domains := 1; domains <= 4; domains++ {
		for mask := range 1 << (3 * min(domains, 2)) {
			views, names := ownerViews(domains)
			side := map[string]bool{}
			for i, name := range names {
				side[name] = mask>>(i%6)&1 == 1
			}
			cut(views, side)
			now := time.Unix(10, 0)
			exchange(now, views, names, func(a, b string) bool { return side[a] == side[b] })
			NewWithT(t).Expect(keepersOf(now, views, names, "team")).To(HaveLen(1), "domains %d, split %b", domains, mask)
		}
	}
}
