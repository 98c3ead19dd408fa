package placement

import "github.com/cespare/xxhash/v2"

// Parameters of the affinity of objects to servers, in milliseconds of expected delay.
const (
	// objectMissCostMS is the cost of a server that has probably not handled the object before. It is worth less than a wait
	// in a full server's queue, so that an object that many callers ask for does not keep them at one full server.
	objectMissCostMS = 6.0
	// secondObjectMissCostMS is that of the second server of an object, which takes what exceeds the first one.
	secondObjectMissCostMS = 2.0
)

// Ranks of a server for the object of a request.
const (
	// NoObject: the request concerns no object, or its route is not sticky.
	NoObject = iota
	FirstForObject
	SecondForObject
	OtherForObject
)

// RankForObject sets the rank of each candidate for an object: the first two in rendezvous order over the servers of the
// request's failure domain that can take requests. All hosts of a domain find the same ones without asking each other. If
// the domain has none, the servers of all domains count.
func RankForObject(r *Request, object string, candidates []Candidate) {
	if !rankForObject(object, candidates, func(c *Candidate) bool { return c.Server.FailureDomain == r.FailureDomain }) {
		rankForObject(object, candidates, func(*Candidate) bool { return true })
	}
}

func rankForObject(object string, candidates []Candidate, counts func(c *Candidate) bool) bool {
	first, second := -1, -1
	var firstHash, secondHash uint64
	var digest xxhash.Digest
	for i := range candidates {
		c := &candidates[i]
		c.ObjectRank = OtherForObject
		if c.Server.Draining || c.Ejected || !counts(c) {
			continue
		}
		digest.Reset()
		_, _ = digest.WriteString(object) // never fails
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(c.Server.ID)
		switch hash := digest.Sum64(); {
		case first < 0 || hash > firstHash:
			second, secondHash = first, firstHash
			first, firstHash = i, hash
		case second < 0 || hash > secondHash:
			second, secondHash = i, hash
		}
	}
	if first >= 0 {
		candidates[first].ObjectRank = FirstForObject
	}
	if second >= 0 {
		candidates[second].ObjectRank = SecondForObject
	}
	return first >= 0
}

// ObjectCost is the cost of a server that has probably not handled the request's object before.
func ObjectCost(_ *Request, c *Candidate) float64 {
	switch c.ObjectRank {
	case SecondForObject:
		return secondObjectMissCostMS
	case OtherForObject:
		return objectMissCostMS
	}
	return 0
}
