// Package fleet selects hosts of a deployment: those that a caller should use, those that watch the store for the
// others, and the one that accounts for a program. The number of selected hosts depends on the failure domains and on
// the load, not on the size of the fleet, so that the work between hosts does not grow with it.
package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is one entry host, as listed in the store.
type Host struct {
	Name          string `json:"name" msgpack:"name"`
	Incarnation   string `json:"incarnation" msgpack:"incarnation"`
	FailureDomain string `json:"failure_domain" msgpack:"failure_domain"`
	Region        string `json:"region" msgpack:"region"`
	CallerAddress string `json:"address" msgpack:"address"` // for callers
	PeerAddress   string `json:"peer" msgpack:"peer"`       // for other hosts
	Draining      bool   `json:"draining,omitempty" msgpack:"draining,omitempty"`
	// Cores is the processor time that the host may use, in cores; 0 if it is unknown.
	Cores float64 `json:"cores,omitempty" msgpack:"cores,omitempty"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s; 0 if it is unknown.
	LinkMbps float64 `json:"link_mbps,omitempty" msgpack:"link_mbps,omitempty"`
}

// RendezvousOrder returns the hosts in rendezvous order for the key. The removal of a host moves only the keys for
// which it came first.
func RendezvousOrder(hosts []Host, key string) []Host {
	type scored struct {
		host  Host
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{h, RendezvousScore(h.Name, key)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	out := make([]Host, len(all))
	for i, s := range all {
		out[i] = s.host
	}
	return out
}

// RendezvousScore returns the value by which RendezvousOrder orders the hosts, the highest first, and equal ones by name.
func RendezvousScore(name, key string) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(key) // never returns an error
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Locality is the region and failure domain of a caller.
type Locality struct {
	Region        string
	FailureDomain string
}

// SelectAddresses returns at most limit addresses for a caller with the given locality: those of its failure
// domain, or if these are fewer than minLocal, those of its region, or if these are too few as well, all. Draining
// hosts are included only if all hosts drain.
func SelectAddresses(hosts []Host, caller Locality, minLocal, limit int) []string {
	serving := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Draining })
	if len(serving) == 0 {
		serving = hosts
	}
	local := filter(serving, func(h Host) bool { return h.FailureDomain == caller.FailureDomain })
	if len(local) < minLocal {
		local = filter(serving, func(h Host) bool { return h.Region == caller.Region })
	}
	if len(local) < minLocal {
		local = serving
	}
	out := make([]string, 0, min(limit, len(local)))
	for _, h := range local {
		if len(out) == limit {
			break
		}
		out = append(out, h.CallerAddress)
	}
	return out
}

func filter(hosts []Host, keep func(Host) bool) []Host {
	var out []Host
	for _, h := range hosts {
		if keep(h) {
			out = append(out, h)
		}
	}
	return out
}
