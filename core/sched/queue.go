package sched

import "slices"

// queue holds the waiting calls of a group in two sorted lists: new work, and the calls of started programs. While
// the policy admits no new program, the whole first list waits, and must not block the calls of the second.
type queue struct {
	newWork, startedWork []*call
}

// list returns the list of the call, which is fixed when the call is enqueued.
func (q *queue) list(c *call) *[]*call {
	if c.startsNewWork {
		return &q.newWork
	}
	return &q.startedWork
}

// all returns a new slice of all waiting calls, those of started programs first.
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

// sort restores the order after the ranks have changed.
func (q *queue) sort() {
	slices.SortFunc(q.newWork, compareCalls)
	slices.SortFunc(q.startedWork, compareCalls)
}

// longestWaiting returns the call that has waited longest, or nil.
func (q *queue) longestWaiting() *call {
	var oldest *call
	for _, list := range [][]*call{q.newWork, q.startedWork} {
		for _, c := range list {
			if oldest == nil || c.Seq < oldest.Seq {
				oldest = c
			}
		}
	}
	return oldest
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
