package turns

import (
	"container/list"

	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

// recordCache holds the records that were written or read last. It is not safe for concurrent use.
type recordCache struct {
	maxBytes, bytes int64
	byID            map[string]*list.Element // of turnlog.Record
	recent          *list.List               // the most recent one first
}

func newRecordCache(maxBytes int64) *recordCache {
	return &recordCache{maxBytes: maxBytes, byID: map[string]*list.Element{}, recent: list.New()}
}

func (c *recordCache) get(id string) (turnlog.Record, bool) {
	element := c.byID[id]
	if element == nil {
		return turnlog.Record{}, false
	}
	c.recent.MoveToFront(element)
	return element.Value.(turnlog.Record), true
}

func (c *recordCache) put(r turnlog.Record) {
	c.remove(r.Meta.ID)
	c.byID[r.Meta.ID] = c.recent.PushFront(r)
	c.bytes += int64(r.Meta.Bytes)
	for c.bytes > c.maxBytes {
		c.remove(c.recent.Back().Value.(turnlog.Record).Meta.ID)
	}
}

func (c *recordCache) remove(id string) {
	element := c.byID[id]
	if element == nil {
		return
	}
	delete(c.byID, id)
	c.recent.Remove(element)
	c.bytes -= int64(element.Value.(turnlog.Record).Meta.Bytes)
}
