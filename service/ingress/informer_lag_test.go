package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/fleet"
)

// newLaggingHeartbeater returns beats with one feed that has seen revision 5, and whether its list is read again.
func newLaggingHeartbeater() (*heartbeater, *Informer, func() bool) {
	f := &Informer{Kind: "servers", relist: make(chan struct{}, 1)}
	f.observe(5)
	b := &heartbeater{
		self: fleet.Host{Name: "a-1"}, informers: map[string]*Informer{"servers": f}, lastHeartbeats: map[string]receivedHeartbeat{}, lags: map[string]informerLag{},
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

// Guards against a watch that goes deaf at one host: nothing but a peer's word tells it.
func TestPeersWordEndsADeafWatch(t *testing.T) {
	b, _, reread := newLaggingHeartbeater()
	m := heartbeat{Host: "b-1", Revisions: map[string]uint64{"servers": 7}}
	now := time.Now()
	b.detectLag(m, now)
	if reread() {
		t.Fatal("read again at once: the change may be on its way")
	}
	b.detectLag(m, now.Add(maxInformerLag+time.Millisecond))
	if !reread() {
		t.Fatal("not read again although a peer has seen a newer object for longer than a watch takes")
	}
}

func TestFeedThatCaughtUpIsNotReadAgain(t *testing.T) {
	b, f, reread := newLaggingHeartbeater()
	m := heartbeat{Host: "b-1", Revisions: map[string]uint64{"servers": 7}}
	now := time.Now()
	b.detectLag(m, now)
	f.observe(7)
	b.detectLag(m, now.Add(maxInformerLag+time.Millisecond))
	if reread() {
		t.Fatal("read again without need")
	}
}

// compactedStore is a store whose history is gone whenever somebody watches for the first time.
type compactedStore struct {
	objectapi.Store
	lists   [][]objectapi.Object
	listed  int
	watched chan struct{}
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

// Guards against a change that falls into a gap of the store's history: it is in the next list or nowhere.
func TestHistoryThatIsGoneIsReplacedByAList(t *testing.T) {
	store := &compactedStore{watched: make(chan struct{}), lists: [][]objectapi.Object{
		{{Name: "i-1", Version: 3}, {Name: "i-2", Version: 4}},
		{{Name: "i-2", Version: 12}},
	}}
	var got []objectapi.Object
	outage := false
	f := &Informer{
		Kind: "servers", Store: store, relist: make(chan struct{}, 1), ShouldPoll: func() bool { return false },
		Replace: func(o []objectapi.Object, afterOutage bool) { got, outage = o, outage || afterOutage },
	}
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
		t.Errorf("objects %v", got)
	}
	if outage {
		t.Error("lost history counts as an outage, so that deleted servers stay in use")
	}
	if !f.HasObserved(12) {
		t.Error("the newest object does not count as seen")
	}
}
