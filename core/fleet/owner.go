package fleet

import (
	"slices"
	"time"
)

// Owner returns the host that owns a key: the first home in rendezvous order. There is none unless the homes are the
// majority of the primary hosts, so that of a fleet that is split at most one part has an owner. A host that is not
// listed yet owns nothing, because others do not know of it.
func (v *View) Owner(key string) (Host, bool) { return firstOwner(v.owners(), key) }

// owners returns the hosts among which Owner chooses.
func (v *View) owners() []Host {
	r := v.Roles()
	if 2*len(r.Homes) < len(r.Primaries) {
		return nil
	}
	if 2*len(r.Homes) == len(r.Primaries) && len(r.Homes) > 0 {
		tieBreaker := RendezvousOrder(r.Primaries, "")[0].Name
		if !slices.ContainsFunc(r.Homes, func(h Host) bool { return h.Name == tieBreaker }) {
			return nil
		}
	}
	if own, ok := v.listed[v.self.Name]; ok && own.host.Incarnation == v.self.Incarnation {
		return r.Homes
	}
	return filter(r.Homes, func(h Host) bool { return h.Name != v.self.Name })
}

func firstOwner(owners []Host, key string) (Host, bool) {
	if len(owners) == 0 {
		return Host{}, false
	}
	return RendezvousOrder(owners, key)[0], true
}

// tenureHistory is how long Tenure remembers former owners.
const tenureHistory = 10 * time.Second

// Tenure tells since when a host has owned a key without a break. It is not safe for concurrent use.
type Tenure struct {
	current []Host
	past    []formerOwners
}

type formerOwners struct {
	owners []Host
	until  time.Time
}

// Update records the present owners. It must be called before OwnedSince, and often enough that no change is missed.
func (t *Tenure) Update(now time.Time, v *View) {
	t.UpdateOwners(now, v.owners())
}

// OwnedSince returns since when self has owned the key; zero if that is longer than tenureHistory. ok is false if self
// does not own it.
func (t *Tenure) OwnedSince(self, key string) (since time.Time, ok bool) {
	if owner, ok := firstOwner(t.current, key); !ok || owner.Name != self {
		return time.Time{}, false
	}
	for _, p := range slices.Backward(t.past) {
		if owner, ok := firstOwner(p.owners, key); !ok || owner.Name != self {
			return p.until, true
		}
	}
	return time.Time{}, true
}
