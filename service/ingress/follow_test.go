package ingress

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// copies answers follow requests from the copies of peers, by address.
type copies struct {
	mu    sync.Mutex
	peers map[string]followAnswer
	asked []string
}

func (c *copies) follow(ctx context.Context, address string, request followRequest, handle func(followAnswer)) error {
	c.mu.Lock()
	c.asked = append(c.asked, address)
	answer, ok := c.peers[address]
	c.mu.Unlock()
	if request.Epoch != "" {
		<-ctx.Done()
		return ctx.Err()
	}
	if !ok {
		return context.DeadlineExceeded
	}
	handle(answer)
	return nil
}

// Guards against a host that takes over the copy of a peer that is behind it, and so uses a server again that has left:
// it has observed the deletion, and the peer has not.
func TestOlderCopyIsNotTakenOver(t *testing.T) {
	peers := &copies{peers: map[string]followAnswer{
		"behind":  {Epoch: "1", Sequence: 2, Full: true, Objects: []objectapi.Object{versioned("left", 3)}, ListRevision: 2, NewestRevision: 3},
		"current": {Epoch: "2", Sequence: 9, Full: true, Objects: []objectapi.Object{versioned("new", 8)}, ListRevision: 2, NewestRevision: 8},
	}}
	f := newInformer("servers")
	f.observe(7) // this host has seen a newer object before
	lists := make(chan []objectapi.Object, 8)
	f.Replace = func(o []objectapi.Object, _ bool) { lists <- o }
	f.Sources, f.Follow = func() []string { return []string{"behind", "current"} }, peers.follow
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	select {
	case got := <-lists:
		if len(got) != 1 || got[0].Name != "new" {
			t.Errorf("took over %v, want the copy with the newer object", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no copy was taken over")
	}
	if f.currentSource() != "current" {
		t.Errorf("source %q", f.currentSource())
	}
}

// Guards against a server that left and is in use again, because this host follows another peer that has not observed the
// deletion: a deletion does not raise the revision of the newest object.
func TestDeletedObjectIsNotTakenOverFromAPeer(t *testing.T) {
	f := newInformer("servers")
	var got []objectapi.Object
	f.Replace = func(o []objectapi.Object, _ bool) { got = o }
	f.Apply = func(objectapi.Change) {}
	f.replace([]objectapi.Object{versioned("left", 3), versioned("back", 4), versioned("stays", 7)}, 7, false)
	f.apply([]objectapi.Change{deletion("left"), deletion("back")})
	f.applyAnswer(followAnswer{
		Epoch: "1", Full: true, ListRevision: 5, NewestRevision: 8,
		Objects: []objectapi.Object{versioned("left", 3), versioned("back", 8), versioned("stays", 7)},
	})
	if len(got) != 2 || got[0].Name != "back" || got[1].Name != "stays" {
		t.Errorf("took over %v, want the object that was created again and the one that stays", got)
	}
}

// Guards against a host that stays with a source that is no longer one of its sources, or asks the store at once when a
// single source fails.
func TestNextSourceIsAskedBeforeTheStore(t *testing.T) {
	peers := &copies{peers: map[string]followAnswer{"second": {Epoch: "1", Sequence: 1, Full: true, ListRevision: 5, NewestRevision: 5}}}
	store := &compactedStore{watched: make(chan struct{}), lists: [][]objectapi.Object{nil}}
	f := newInformer("config")
	synced := make(chan struct{}, 8)
	f.Store, f.ShouldPoll = store, func() bool { return false }
	f.Replace = func([]objectapi.Object, bool) { synced <- struct{}{} }
	f.Sources, f.Follow = func() []string { return []string{"first", "second"} }, peers.follow
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	<-synced
	cancel()
	<-done
	if store.listed != 0 {
		t.Errorf("the store was listed %d times", store.listed)
	}
	if !f.HasSynced() || !f.HasObserved(5) {
		t.Error("the copy of the second source does not count as observed")
	}
}

// hangingStore answers no list until its context ends.
type hangingStore struct{ objectapi.Store }

func (hangingStore) List(ctx context.Context, _, _ string) ([]objectapi.Object, objectapi.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (hangingStore) Watch(ctx context.Context, _, _ string, _ objectapi.Version) ([]objectapi.Change, objectapi.Version, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a host that stays behind, and its followers with it, while the store does not answer this host alone: the
// peer that reports newer objects has them.
func TestHostTakesNewerObjectsFromThePeerThatReportsThem(t *testing.T) {
	peers := &copies{peers: map[string]followAnswer{
		"a-2:1": {Epoch: "2", Sequence: 9, Full: true, Objects: []objectapi.Object{versioned("main", 8)}, ListRevision: 2, NewestRevision: 8},
	}}
	f := newInformer("config")
	lists := make(chan []objectapi.Object, 8)
	f.Store, f.ShouldPoll, f.Follow = hangingStore{}, func() bool { return false }, peers.follow
	f.Replace = func(o []objectapi.Object, _ bool) { lists <- o }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	f.RelistFrom("a-2:1")
	select {
	case got := <-lists:
		if len(got) != 1 || got[0].Version != 8 {
			t.Errorf("took over %v", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the host still waits for the store")
	}
}

// Guards against a follower that expects lapsed entries for longer after an outage of the store than the host that it
// follows, and so sends requests to a server that leaves then.
func TestFollowerForgetsAnOutageWithItsSource(t *testing.T) {
	for _, c := range []struct {
		sinceOutage time.Duration
		want        bool
	}{{0, true}, {outageDeleteWindow - time.Second, true}, {outageDeleteWindow - time.Millisecond, false}} {
		source, follower := newInformer("servers"), newInformer("servers")
		source.recoveredAtNanos.Store(time.Now().Add(-c.sinceOutage).UnixNano())
		follower.Apply = func(objectapi.Change) {}
		recoveredAt, ok := source.recovery()
		if !ok {
			t.Fatalf("%v after the outage, the source has forgotten it", c.sinceOutage)
		}
		follower.applyAnswer(followAnswer{AfterOutage: true, SinceOutage: time.Since(recoveredAt)})
		time.Sleep(2 * time.Millisecond)
		if got := follower.RecentlyRecovered(); got != c.want {
			t.Errorf("%v after the outage: the follower expects lapsed entries: %v, want %v", c.sinceOutage, got, c.want)
		}
	}
}
