package fleet

import (
	"slices"
	"time"
)

// Keepers returns the primary hosts of which this one believes that they may keep accounts, for a key the first of them in
// rendezvous order. They are those that are not reported lost by a majority of the primary hosts. There are none unless a
// majority of the primary hosts lately reported that they reach this host: of two hosts that do not reach each other, at
// most one has a majority that does not report it lost. Of two equal halves, the one with a certain host is a majority.
func (v *View) Keepers(now time.Time) []Host {
	primaries := v.Roles().Primaries
	own, ok := v.listed[v.self.Name]
	isPrimary := slices.ContainsFunc(primaries, func(h Host) bool { return h.Name == v.self.Name })
	if !ok || own.host.Incarnation != v.self.Incarnation || !isPrimary {
		return nil
	}
	votes, total := map[string]int{}, 0
	for i, h := range RendezvousOrder(primaries, "") {
		votes[h.Name] = 2
		if i == 0 && len(primaries)%2 == 0 {
			votes[h.Name] = 3
		}
		total += votes[h.Name]
	}
	isMajority := func(n int) bool { return 2*n > total }
	supporters, lostBy := 0, map[string]int{}
	for _, h := range primaries {
		var lost []string
		switch {
		case h.Name == v.self.Name:
			lost = v.Unreachable()
		case v.HeardWithin(now, h.Name, v.Timeout()):
			lost = v.heard[h.Name].Unreachable
		default:
			continue
		}
		if !slices.Contains(lost, v.self.Name) {
			supporters += votes[h.Name]
		}
		for _, name := range lost {
			lostBy[name] += votes[h.Name]
		}
	}
	if !isMajority(supporters) {
		return nil
	}
	return filter(primaries, func(h Host) bool { return !isMajority(lostBy[h.Name]) })
}

// UpdateOwners records the present owners of keys; see Update.
func (t *Tenure) UpdateOwners(now time.Time, owners []Host) {
	t.past = slices.DeleteFunc(t.past, func(p formerOwners) bool { return now.Sub(p.until) > tenureHistory })
	if !slices.EqualFunc(owners, t.current, func(a, b Host) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }) {
		t.past = append(t.past, formerOwners{owners: t.current, until: now})
		t.current = owners
	}
}
