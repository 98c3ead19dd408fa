package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// Guards against a deleted server that is kept for two seconds more, because a host that reads through a peer takes the
// deletion for one that lapsed in an outage of the store.
func TestOnlyTimeWithoutAnyWordOfTheStoreIsAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		failed, heard time.Duration // how long ago
		want          bool
	}{
		"reads through a peer":         {failed: 10 * time.Second, heard: 500 * time.Millisecond, want: false},
		"nobody has the store":         {failed: 10 * time.Second, heard: 10 * time.Second, want: true},
		"failed a moment ago":          {failed: 100 * time.Millisecond, heard: 20 * time.Second, want: false},
		"short time without the store": {failed: time.Second, heard: time.Second, want: false},
	} {
		now := time.Now()
		f := &Informer{failedSince: now.Add(-c.failed), lastResponse: now.Add(-c.heard)}
		if got := f.recoveredFromOutage(); got != c.want {
			t.Errorf("%s: outage is %v", name, got)
		}
	}
}

// changingStore is a store with a change every 20 ms.
type changingStore struct {
	objectapi.Store
	calls     int
	startedAt time.Time
}

func (s *changingStore) List(context.Context, string, string) ([]objectapi.Object, objectapi.Version, error) {
	return nil, 1, nil
}

func (s *changingStore) Watch(_ context.Context, _, _ string, after objectapi.Version) ([]objectapi.Change, objectapi.Version, error) {
	s.calls++
	<-time.After(time.Until(s.startedAt.Add(time.Duration(after) * 20 * time.Millisecond))) // held until the next change
	next := objectapi.Version(time.Since(s.startedAt)/(20*time.Millisecond)) + 1
	return make([]objectapi.Change, next-after), next, nil
}

// A roll-out in a large fleet: each restart changes an entry that every host follows.
func TestChangesOfALargeFleetAreCollected(t *testing.T) {
	for hosts, most := range map[int]int{10: 60, 70: 3} {
		store := &changingStore{startedAt: time.Now()}
		changes := 0
		f := &Informer{
			Kind: "entry-hosts", Store: store, relist: make(chan struct{}, 1), ShouldPoll: func() bool { return false },
			Replace: func([]objectapi.Object, bool) {}, Apply: func(objectapi.Change) { changes++ },
			BatchDelay: func() time.Duration { return changeBatchDelay(hosts) },
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		f.Run(ctx)
		cancel()
		if store.calls > most {
			t.Errorf("%d hosts: %d calls in a second, want at most %d", hosts, store.calls, most)
		}
		if changes < 15 {
			t.Errorf("%d hosts: %d changes in a second with 50", hosts, changes)
		}
	}
	if p := changeBatchDelay(370); p != maxBatchDelay {
		t.Errorf("370 hosts collect changes for %v", p)
	}
}
