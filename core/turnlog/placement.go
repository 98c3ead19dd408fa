package turnlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a host with a disk, as listed in the store.
type State string

const (
	// Ready hosts retain turns.
	Ready State = "ready"
	// Retiring hosts accept no more turns. Other hosts copy what they have.
	Retiring State = "retiring"
	// Lost hosts have not answered the other ones for a while. Other hosts make their copies again.
	Lost State = "lost"
)

// Host is a host with a disk, as listed in the store.
type Host struct {
	Name string `json:"name" msgpack:"name"`
	// Incarnation identifies the start of the process, and DiskID the contents of its disk.
	Incarnation   string `json:"incarnation" msgpack:"incarnation"`
	DiskID        string `json:"disk" msgpack:"disk"`
	PeerAddress   string `json:"peer" msgpack:"peer"`
	FailureDomain string `json:"failure_domain" msgpack:"failure_domain"`
	Region        string `json:"region" msgpack:"region"`
	State         State  `json:"state" msgpack:"state"`
	// Refilling is set from the loss of the host's disk until all copies have been made again.
	Refilling bool `json:"refilling,omitempty" msgpack:"refilling,omitempty"`
}

// Order returns the hosts in the order in which they should have a copy of the turns with the anchor: the first ones have
// one, the others replace those that fail. Successive hosts are in different failure domains as long as there are some
// more, beginning with that of the anchor. Hosts that are not ready are left out.
func Order(hosts []Host, a Anchor) []Host {
	type scored struct {
		Host
		score uint64
	}
	remaining := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		if h.State == Ready {
			remaining = append(remaining, scored{h, xxhash.Sum64String(a.Key + "\x00" + h.Name)})
		}
	}
	slices.SortFunc(remaining, func(x, y scored) int {
		isLocal := func(s scored) int {
			if s.FailureDomain == a.FailureDomain {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(isLocal(x), isLocal(y)), cmp.Compare(y.score, x.score), cmp.Compare(x.Name, y.Name))
	})
	ordered := make([]Host, 0, len(remaining))
	for len(remaining) > 0 {
		used := map[string]bool{}
		remaining = slices.DeleteFunc(remaining, func(s scored) bool {
			if used[s.FailureDomain] {
				return false
			}
			used[s.FailureDomain] = true
			ordered = append(ordered, s.Host)
			return true
		})
	}
	return ordered
}

// Accepting returns the hosts that may get new turns: the ready ones, and those that others have marked as lost if too few are
// ready, because these may be cut off from other hosts with a disk only.
func Accepting(hosts []Host, copies int) []Host {
	var ready, lost []Host
	for _, h := range hosts {
		switch h.State {
		case Ready:
			ready = append(ready, h)
		case Lost:
			lost = append(lost, h)
		}
	}
	if len(ready) < copies {
		return append(ready, lost...)
	}
	return ready
}

// Candidates returns the accepting hosts in the order in which they are asked for a new turn with the anchor.
func Candidates(hosts []Host, a Anchor, copies int) []Host {
	ordered := Order(hosts, a)
	return append(ordered, Accepting(hosts, copies)[len(ordered):]...)
}

// Targets returns the hosts that should have a copy of the turns with the anchor.
func Targets(hosts []Host, a Anchor, copies int) []Host {
	ordered := Order(hosts, a)
	return ordered[:min(copies, len(ordered))]
}
