package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// Guards against a deleted server that stays in use for 2 s more, because a host that reads through a peer takes
// the missing entry for a consequence of an outage of the store.
func TestOnlyTimeWithoutAnyWordOfTheStoreIsAnOutage(t *testing.T) {
	for name, c := range map[string]struct {
		failedAgo, respondedAgo time.Duration
		want                    bool
	}{
		"reads through a peer":               {failedAgo: 10 * time.Second, respondedAgo: 500 * time.Millisecond, want: false},
		"store unavailable to all hosts":     {failedAgo: 10 * time.Second, respondedAgo: 10 * time.Second, want: true},
		"first failure a moment ago":         {failedAgo: 100 * time.Millisecond, respondedAgo: 20 * time.Second, want: false},
		"store unavailable for a short time": {failedAgo: time.Second, respondedAgo: time.Second, want: false},
	} {
		now := time.Now()
		f := &Informer{failedSince: now.Add(-c.failedAgo), lastResponse: now.Add(-c.respondedAgo)}
		if got := f.recoveredFromOutage(); got != c.want {
			t.Errorf("%s: outage is %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a host that was cut off and takes that for an outage of the store: it used servers that had left for two
// seconds more (DRAIN).
func TestOutageThroughWhichAPeerListedIsNone(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		since, heardAt time.Time
		want           bool
	}{
		"no report":                                {want: true},
		"a peer listed all the time":               {since: now.Add(-time.Minute), heardAt: now, want: false},
		"a peer listed after the outage only":      {since: now.Add(-time.Second), heardAt: now, want: true},
		"the report is from before the recovery":   {since: now.Add(-time.Minute), heardAt: now.Add(-2 * time.Second), want: true},
		"the peer's lists began during the outage": {since: now.Add(-5 * time.Second), heardAt: now, want: true},
	} {
		b := &heartbeater{polls: map[string]pollReport{}}
		if !c.since.IsZero() {
			b.polls["a-1"] = pollReport{since: c.since, heardAt: c.heardAt}
		}
		f := &Informer{failedSince: now.Add(-9 * time.Second), lastResponse: now.Add(-10 * time.Second), PolledByPeer: b.polledByPeer}
		if !f.recoveredFromOutage() {
			t.Fatalf("%s: no outage", name)
		}
		f.recoveredAtNanos.Store(now.Add(-500 * time.Millisecond).UnixNano())
		if got := f.RecentlyRecovered(); got != c.want {
			t.Errorf("%s: recovered from an outage is %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a host that vouches for a store that it has not listed all the time.
func TestListsWithAGapVouchForNothing(t *testing.T) {
	now := time.Now()
	f := &Informer{PollInterval: time.Second}
	if got := f.PolledFor(now); got != 0 {
		t.Errorf("before the first list: %v", got)
	}
	f.recordPoll(now)
	f.recordPoll(now.Add(time.Second))
	if got := f.PolledFor(now.Add(2 * time.Second)); got != 2*time.Second {
		t.Errorf("two lists: %v", got)
	}
	if got := f.PolledFor(now.Add(4 * time.Second)); got != 0 {
		t.Errorf("no list for 3 s: %v", got)
	}
	f.recordPoll(now.Add(5 * time.Second))
	if got := f.PolledFor(now.Add(6 * time.Second)); got != time.Second {
		t.Errorf("after the gap: %v", got)
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

// Guards against a roll-out that overloads the store: each restart changes an entry that every host watches, so
// that the calls grow with the square of the fleet's size unless changes are batched.
func TestChangesOfALargeFleetAreCollected(t *testing.T) {
	for watchers, maxCalls := range map[int]int{10: 60, 70: 3} {
		store := &changingStore{startedAt: time.Now()}
		changes := 0
		f := newInformer("entry-hosts")
		f.Store, f.ShouldPoll = store, func() bool { return false }
		f.Replace, f.Apply = func([]objectapi.Object, bool) {}, func(objectapi.Change) { changes++ }
		f.BatchDelay = func() time.Duration { return changeBatchDelay(watchers) }
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		f.Run(ctx)
		cancel()
		if store.calls > maxCalls {
			t.Errorf("%d watchers: %d calls in a second, want at most %d", watchers, store.calls, maxCalls)
		}
		if changes < 15 {
			t.Errorf("%d watchers: %d of 50 changes applied within a second, want at least 15", watchers, changes)
		}
	}
	if d := changeBatchDelay(370); d != maxBatchDelay {
		t.Errorf("370 hosts: batch delay %v, want %v", d, maxBatchDelay)
	}
}
