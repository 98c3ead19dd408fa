package fleet

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// PrimariesPerDomain is the number of primary hosts of a failure domain: after the loss of one, callers of the domain
	// still have a second one to fall back on.
	PrimariesPerDomain = 3
	// WatchersPerDomain is the number of hosts of a failure domain that watch the store; the others follow them.
	WatchersPerDomain = 2
	// minActivePerDomain is the least number of hosts that the callers of a failure domain are spread over.
	minActivePerDomain = 2
	// similarCapacity is the least capacity, as a fraction of the smallest active host's, at which a host is added to the
	// active hosts only to spread callers.
	similarCapacity = 0.5
	// slotsPerCore is the number of requests in progress that one core forwards at a third of its time.
	slotsPerCore = 200.0
	// maxDomainLoad is the fraction of all requests that the hosts of one failure domain can carry: callers move between
	// domains.
	maxDomainLoad = 0.6
	// defaultCores is the capacity of a host whose entry has none.
	defaultCores = 1.0
)

func (h *Host) capacity() float64 {
	if h.Cores <= 0 {
		return defaultCores
	}
	return h.Cores
}

// compareCapacity orders hosts by capacity, the largest first, and then by name.
func compareCapacity(a, b *Host) int {
	return cmp.Or(cmp.Compare(b.capacity(), a.capacity()), cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Name, b.Name))
}

// byDomain returns the hosts of each failure domain that do not drain, ordered by compareCapacity.
func byDomain(hosts []Host) [][]*Host {
	domains := map[string][]*Host{}
	for i := range hosts {
		if h := &hosts[i]; !h.Draining {
			domains[h.FailureDomain] = append(domains[h.FailureDomain], h)
		}
	}
	out := make([][]*Host, 0, len(domains))
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		slices.SortFunc(domains[name], compareCapacity)
		out = append(out, domains[name])
	}
	return out
}

// first appends the first n hosts to out.
func first(out []Host, hosts []*Host, n int) []Host {
	for _, h := range hosts[:min(n, len(hosts))] {
		out = append(out, *h)
	}
	return out
}

// Largest returns the n largest hosts of each failure domain that do not drain.
func Largest(hosts []Host, n int) []Host {
	var out []Host
	for _, domain := range byDomain(hosts) {
		out = first(out, domain, n)
	}
	return out
}

// HomeOrder returns the hosts that do not drain in the order in which they account for the program: the primary hosts
// in rendezvous order, then the others in rendezvous order. The loss of a host moves only the programs for which it
// came first.
func HomeOrder(hosts []Host, program string) []Host {
	primaries := Largest(hosts, PrimariesPerDomain)
	isPrimary := make(map[string]bool, len(primaries))
	for _, h := range primaries {
		isPrimary[h.Name] = true
	}
	others := filter(hosts, func(h Host) bool { return !h.Draining && !isPrimary[h.Name] })
	return append(RendezvousOrder(primaries, program), RendezvousOrder(others, program)...)
}

// Active returns the hosts to which callers are directed, given the number of requests that all backend servers can
// run at once. Of each failure domain these are the largest hosts that together carry maxDomainLoad of the requests.
// Callers choose among them at random, so that the smallest one of them limits the others: a few large hosts are
// preferred to the same hosts with many small ones.
func Active(hosts []Host, slots int) []Host {
	var out []Host
	for _, domain := range byDomain(hosts) {
		out = first(out, domain, activeCount(domain, slots))
	}
	return out
}

// activeCount returns how many of the hosts, ordered by capacity, are active.
func activeCount(domain []*Host, slots int) int {
	neededCores := float64(slots) / slotsPerCore * maxDomainLoad
	count, most := 0, 0.0
	for n := max(min(minActivePerDomain, len(domain)), 1); n <= len(domain); n++ {
		if cores := float64(n) * domain[n-1].capacity(); cores > most {
			count, most = n, cores
		}
		if most >= neededCores {
			break
		}
	}
	for count > 0 && count < min(PrimariesPerDomain, len(domain)) && domain[count].capacity() >= similarCapacity*domain[count-1].capacity() {
		count++
	}
	return count
}
