// Package fleet orders the hosts of a deployment: which of them a caller should use, and which of them accounts
// for a program.
package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is one entry host.
type Host struct {
	Name          string `json:"name" msgpack:"name"`
	Incarnation   string `json:"incarnation" msgpack:"incarnation"`
	FailureDomain string `json:"failure_domain" msgpack:"failure_domain"`
	Region        string `json:"region" msgpack:"region"`
	CallerAddress string `json:"address" msgpack:"address"` // for callers
	PeerAddress   string `json:"peer" msgpack:"peer"`       // for other hosts
	Draining      bool   `json:"draining,omitempty" msgpack:"draining,omitempty"`
}

// RendezvousOrder returns the hosts in the order in which they account for the key, by rendezvous hashing: the removal of
// a host only moves the keys of that host.
func RendezvousOrder(hosts []Host, key string) []Host {
	type scored struct {
		host  Host
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{h, rendezvousScore(h.Name, key)})
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

func rendezvousScore(name, key string) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(key) // a Digest never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Locality is where a caller is.
type Locality struct {
	Region        string
	FailureDomain string
}

// SelectAddresses returns the addresses that a caller at the place should use, at most limit of them. Hosts of the
// caller's failure domain are returned alone if they are at least minLocal; otherwise those of the region, and
// otherwise all. Draining hosts are left out unless nothing else is left.
func SelectAddresses(hosts []Host, at Locality, minLocal, limit int) []string {
	serving := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Draining })
	if len(serving) == 0 {
		serving = hosts
	}
	local := filter(serving, func(h Host) bool { return h.FailureDomain == at.FailureDomain })
	if len(local) < minLocal {
		local = filter(serving, func(h Host) bool { return h.Region == at.Region })
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
