package ingress

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// follower applies the changes of feeds as a host that follows them does.
type follower struct {
	epoch    string
	sequence uint64
	versions map[string]objectapi.Version
}

func (w *follower) poll(f *feed) feedChanges {
	c, _ := f.since(w.epoch, w.sequence)
	if c.full {
		w.versions = map[string]objectapi.Version{}
	}
	for _, name := range c.deleted {
		delete(w.versions, name)
	}
	for _, o := range c.objects {
		w.versions[o.Name] = o.Version
	}
	w.epoch, w.sequence = c.epoch, c.sequence
	return c
}

func (w *follower) check(t *testing.T, want map[string]objectapi.Version) {
	t.Helper()
	if got, want := fmt.Sprint(w.versions), fmt.Sprint(want); got != want {
		t.Errorf("the follower has %s, want %s", got, want)
	}
}

func versioned(name string, v objectapi.Version) objectapi.Object {
	return objectapi.Object{Name: name, Version: v, Value: []byte(name)}
}

func deletion(name string) objectapi.Change {
	return objectapi.Change{Object: objectapi.Object{Name: name}, Deleted: true}
}

// Guards against followers that miss a change: a stale watch delivers newer revisions without their changes, and the
// list that replaces it has objects of older revisions than the follower has seen.
func TestFollowerGetsChangesThatAStaleWatchLeftOut(t *testing.T) {
	f, w := newFeed(), &follower{}
	f.replace([]objectapi.Object{versioned("a", 1)})
	w.poll(f)
	f.apply([]objectapi.Change{{Object: versioned("c", 9)}})
	w.poll(f)
	f.replace([]objectapi.Object{versioned("a", 1), versioned("b", 5), versioned("c", 9)})
	w.poll(f)
	w.check(t, map[string]objectapi.Version{"a": 1, "b": 5, "c": 9})
	f.replace([]objectapi.Object{versioned("c", 9)})
	if c := w.poll(f); c.full || len(c.deleted) != 2 {
		t.Errorf("changes %+v, want two deletions", c)
	}
	w.check(t, map[string]objectapi.Version{"c": 9})
	if c := w.poll(f); !c.isEmpty() {
		t.Errorf("changes %+v, want none", c)
	}
}

// Guards against an object that is deleted and created again and then counts as deleted.
func TestFollowerHasAnObjectThatWasCreatedAgain(t *testing.T) {
	f, w := newFeed(), &follower{}
	f.apply([]objectapi.Change{{Object: versioned("a", 1)}})
	w.poll(f)
	f.apply([]objectapi.Change{deletion("a"), {Object: versioned("a", 3)}})
	w.poll(f)
	w.check(t, map[string]objectapi.Version{"a": 3})
}

// Guards against a follower that applies the changes of one host's copy to that of another, or misses deletions that
// the feed has forgotten.
func TestFollowerOfAnotherCopyGetsAllObjects(t *testing.T) {
	first, second, w := newFeed(), newFeed(), &follower{}
	first.replace([]objectapi.Object{versioned("a", 1), versioned("b", 2)})
	w.poll(first)
	second.replace([]objectapi.Object{versioned("b", 2)})
	if c := w.poll(second); !c.full {
		t.Errorf("changes %+v, want all objects", c)
	}
	w.check(t, map[string]objectapi.Version{"b": 2})
	for i := range maxFeedDeletions + 1 {
		second.apply([]objectapi.Change{{Object: versioned(fmt.Sprint(i), 3)}, deletion(fmt.Sprint(i))})
	}
	if c := w.poll(second); !c.full {
		t.Errorf("%d deletions are reported to a follower that may have missed one", len(c.deleted))
	}
	w.check(t, map[string]objectapi.Version{"b": 2})
}

// Guards against a follower that sends callers to a draining host until the deletion of its entry reaches the store.
func TestPublishedValueReachesTheFollower(t *testing.T) {
	f := newFeed()
	f.replace([]objectapi.Object{versioned("a", 1)})
	before, changed := f.since("", 0)
	f.publish(objectapi.Object{Name: "a", Value: []byte("draining")})
	f.publish(objectapi.Object{Name: "gone", Value: []byte("draining")})
	select {
	case <-changed:
	default:
		t.Error("the follower is not told of the change")
	}
	c, _ := f.since(before.epoch, before.sequence)
	if len(c.objects) != 1 || !slices.Equal(c.objects[0].Value, []byte("draining")) || c.objects[0].Version != 1 {
		t.Errorf("changes %+v, want the new value of a with version 1", c)
	}
}

// Guards against a host that sends thousands of objects to each follower that changes its source, although nothing has
// changed.
func TestEqualCopiesAreNotSentAgain(t *testing.T) {
	first, second := newFeed(), newFeed()
	first.apply([]objectapi.Change{{Object: versioned("a", 1)}, {Object: versioned("b", 2)}, deletion("a"), {Object: versioned("a", 4)}})
	second.replace([]objectapi.Object{versioned("b", 2), versioned("a", 3)})
	if _, ok := second.inSync(first.currentDigest()); ok {
		t.Error("copies with different versions count as equal")
	}
	second.apply([]objectapi.Change{{Object: versioned("a", 4)}})
	position, ok := second.inSync(first.currentDigest())
	if !ok {
		t.Fatal("equal copies are sent again")
	}
	second.apply([]objectapi.Change{deletion("b")})
	if c, _ := second.since(position.epoch, position.sequence); c.full || len(c.deleted) != 1 {
		t.Errorf("changes %+v after the position of an equal copy, want one deletion", c)
	}
	if _, ok := newFeed().inSync(newFeed().currentDigest()); ok {
		t.Error("empty copies count as equal, so that a host that has just started would wait")
	}
}
