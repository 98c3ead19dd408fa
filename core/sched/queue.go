package sched

import "slices"

// queue holds the waiting calls of a group in two sorted lists: the first calls of new programs, and the
// calls of programs under way. A policy that admits no new program for now leaves the whole first list
// waiting, and must not hide the calls of the second.
type queue struct {
	newWork, startedWork []*call
}

// list returns the list that the call belongs to. Its place was fixed when it was enqueued.
func (q *queue) list(c *call) *[]*call {
	if c.startsNewWork {
		return &q.newWork
	}
	return &q.startedWork
}

// all returns a copy of the waiting calls, those under way first.
func (q *queue) all() []*call { return slices.Concat(q.startedWork, q.newWork) }

func (q *queue) insert(c *call) {
	list := q.list(c)
	i, _ := slices.BinarySearchFunc(*list, c, compareCalls)
	*list = slices.Insert(*list, i, c)
	c.Program.Waiting++
}

func (q *queue) remove(c *call) {
	list := q.list(c)
	if i, ok := slices.BinarySearchFunc(*list, c, compareCalls); ok {
		*list = slices.Delete(*list, i, i+1)
		c.Program.Waiting--
	}
}

// sort restores the order after ranks have changed.
func (q *queue) sort() {
	slices.SortFunc(q.newWork, compareCalls)
	slices.SortFunc(q.startedWork, compareCalls)
}

// longestWaiting returns the call that has waited longest, or nil.
func (q *queue) longestWaiting() *call {
	var old *call
	for _, list := range [][]*call{q.newWork, q.startedWork} {
		for _, c := range list {
			if old == nil || c.Seq < old.Seq {
				old = c
			}
		}
	}
	return old
}

// compareCalls orders waiting calls: urgent calls first, then by rank and arrival.
func compareCalls(a, b *call) int {
	switch {
	case a.urgent && !b.urgent:
		return -1
	case b.urgent && !a.urgent:
		return 1
	case a.Rank < b.Rank:
		return -1
	case a.Rank > b.Rank:
		return 1
	case a.Seq < b.Seq:
		return -1
	case a.Seq > b.Seq:
		return 1
	}
	return 0
}
