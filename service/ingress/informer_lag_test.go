package ingress

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// newLaggingHeartbeater returns a heartbeater, its only informer, which has observed revision 5, and a function
// that reports whether a relist was requested since its last call.
func newLaggingHeartbeater() (*heartbeater, *Informer, func() bool) {
	f := newInformer("servers")
	f.observe(5)
	b := &heartbeater{
		self: fleet.Host{Name: "a-1"}, hosts: NewHosts(fleet.Host{Name: "a-1"}, func(int) {}), informers: map[string]*Informer{"servers": f}, lags: map[string]informerLag{},
	}
	return b, f, func() bool {
		select {
		case <-f.relist:
			return true
		default:
			return false
		}
	}
}

// Guards against a watch that goes stale at one host: only the revisions in the heartbeats of a peer reveal it.
func TestPeersWordEndsADeafWatch(t *testing.T) {
	b, _, relistRequested := newLaggingHeartbeater()
	message := heartbeat{Host: "b-1", Revisions: map[string]uint64{"servers": 7}}
	now := time.Now()
	b.detectLag(message, now)
	if relistRequested() {
		t.Fatal("relisted at once, although the change may still arrive by the watch")
	}
	b.detectLag(message, now.Add(maxInformerLag+time.Millisecond))
	if !relistRequested() {
		t.Fatal("not relisted, although a peer observed a newer object more than maxInformerLag ago")
	}
}

// Guards against a relist when the change arrives by the watch within maxInformerLag.
func TestFeedThatCaughtUpIsNotReadAgain(t *testing.T) {
	b, f, relistRequested := newLaggingHeartbeater()
	message := heartbeat{Host: "b-1", Revisions: map[string]uint64{"servers": 7}}
	now := time.Now()
	b.detectLag(message, now)
	f.observe(7)
	b.detectLag(message, now.Add(maxInformerLag+time.Millisecond))
	if relistRequested() {
		t.Fatal("relisted, although the informer has observed the change")
	}
}

// compactedStore is a store that answers watches with ErrHistoryGone until all its lists were read.
type compactedStore struct {
	objectapi.Store
	lists   [][]objectapi.Object // the results of the first, second, ... call of List
	listed  int
	watched chan struct{} // closed by the first watch after the last list
}

func (s *compactedStore) List(context.Context, string, string) ([]objectapi.Object, objectapi.Version, error) {
	n := min(s.listed, len(s.lists)-1)
	s.listed++
	return s.lists[n], objectapi.Version(10 * (n + 1)), nil
}

func (s *compactedStore) Watch(ctx context.Context, _, _ string, _ objectapi.Version) ([]objectapi.Change, objectapi.Version, error) {
	if s.listed < len(s.lists) {
		return nil, 0, objectapi.ErrHistoryGone
	}
	close(s.watched)
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a change that is lost because it was made in a part of the store's history that is compacted: only
// the next list contains it.
func TestHistoryThatIsGoneIsReplacedByAList(t *testing.T) {
	store := &compactedStore{watched: make(chan struct{}), lists: [][]objectapi.Object{
		{{Name: "i-1", Version: 3}, {Name: "i-2", Version: 4}},
		{{Name: "i-2", Version: 12}},
	}}
	var got []objectapi.Object
	outage := false
	f := newInformer("servers")
	f.Store, f.ShouldPoll = store, func() bool { return false }
	f.Replace = func(o []objectapi.Object, afterOutage bool) { got, outage = o, outage || afterOutage }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	select {
	case <-store.watched:
	case <-time.After(5 * time.Second):
		t.Fatal("no watch after the second list")
	}
	cancel()
	<-done
	if len(got) != 1 || got[0].Name != "i-2" || got[0].Version != 12 {
		t.Errorf("objects %v, want i-2 with version 12", got)
	}
	if outage {
		t.Error("compacted history counts as an outage, so that deleted servers stay in use")
	}
	if !f.HasObserved(12) {
		t.Error("the newest object does not count as observed")
	}
}

// Guards against a change that no host sees: the host that is to list a kind at intervals waits in a watch that has gone
// stale, because it was not the one when the watch began.
func TestWatchEndsWhenTheHostIsToPoll(t *testing.T) {
	store := &compactedStore{watched: make(chan struct{}), lists: [][]objectapi.Object{{{Name: "c", Version: 1}}}}
	var polls atomic.Bool
	f := newInformer("config")
	f.Store, f.ShouldPoll, f.PollInterval = store, polls.Load, time.Hour
	lists := make(chan int, 8)
	f.Replace = func(o []objectapi.Object, _ bool) { lists <- len(o) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	<-lists
	<-store.watched
	f.CheckSource()
	polls.Store(true)
	for deadline := time.Now().Add(5 * time.Second); len(lists) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the watch goes on although this host is to list at intervals")
		}
		f.CheckSource()
	}
}

// countingStore counts lists, and watches that deliver nothing.
type countingStore struct {
	objectapi.Store
	objects []objectapi.Object
	lists   atomic.Int32
	watches atomic.Int32
}

func (s *countingStore) List(context.Context, string, string) ([]objectapi.Object, objectapi.Version, error) {
	s.lists.Add(1)
	return s.objects, 1, nil
}

func (s *countingStore) Watch(ctx context.Context, _, _ string, after objectapi.Version) ([]objectapi.Change, objectapi.Version, error) {
	s.watches.Add(1)
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// Guards against a host that lists thousands of servers every second, and against one that learns of a leaving server only
// from the next list, seconds later.
func TestKindOfManyObjectsIsWatchedBetweenLists(t *testing.T) {
	for count, watches := range map[int]bool{2: false, 4 * objectsPerPoll: true} {
		store := &countingStore{}
		for i := range count {
			store.objects = append(store.objects, versioned(strconv.Itoa(i), 1))
		}
		f := newInformer("servers")
		f.Store, f.ShouldPoll, f.PollInterval = store, func() bool { return true }, 50*time.Millisecond
		f.Replace = func([]objectapi.Object, bool) {}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		f.Run(ctx)
		cancel()
		lists := store.lists.Load()
		if watches && (lists < 2 || lists > 3) || !watches && lists < 6 {
			t.Errorf("%d objects: %d lists in 10 intervals", count, lists)
		}
		if got := store.watches.Load() > 0; got != watches {
			t.Errorf("%d objects: watched %v, want %v", count, got, watches)
		}
	}
}
