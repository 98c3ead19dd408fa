package ingress

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

const (
	// feedRetryFirst and feedRetryMost bound the pause after a failed call to the store: a call costs its price even
	// if it is refused, and a change must be seen within the operator's bound of 2 s after the store is back.
	feedRetryFirst = 200 * time.Millisecond
	feedRetryMost  = 800 * time.Millisecond
	// feedPoll is the pause between lists through a peer while this host has no access to the store. Beats tell of
	// changes in between.
	feedPoll = 700 * time.Millisecond
	// pausePerHost is how much longer changes are collected for each host more than in a small fleet.
	pausePerHost = 10 * time.Millisecond
	// maxChangePause bounds that time: with the time until a deaf watch is noticed, it is within the operator's bound
	// of 3 s for backend servers that leave.
	maxChangePause = 800 * time.Millisecond
	// outageAfter is the time without any word from the store after which entries of living servers may have lapsed:
	// less than three of their heartbeats of 1.2 s.
	outageAfter = 2 * time.Second
)

// Feed keeps a host's view of the objects of one kind.
type Feed struct {
	Kind  string
	Store objectapi.Store
	// Replace gets the whole list. afterOutage is set if the store was away since the last change.
	Replace func(objects []objectapi.Object, afterOutage bool)
	// Apply gets one change.
	Apply func(c objectapi.Change)
	// Elected reports whether this host reads the list again and again for the fleet, because a watch can go deaf.
	Elected func() bool
	// Poll is the time between these lists.
	Poll time.Duration
	// Pause is the time after a change before the next one is asked for, so that the changes of that time cost one
	// call; nil is none.
	Pause func() time.Duration

	// listed is the revision of the last list, and changed that of the newest object that was seen.
	listed, changed atomic.Uint64
	reread          chan struct{}
	failedSince     time.Time
	pause           time.Duration
	// heard is when the store last answered, to this host or through a peer.
	heard time.Time
}

// Complete reports whether an object of that revision has been seen, or is known to be gone. What a watch says of the
// store's revision is no proof: a deaf watch tells newer ones.
func (f *Feed) Complete(revision uint64) bool {
	return f.changed.Load() >= revision || f.listed.Load() >= revision
}

// Listed reports whether the objects were listed at least once.
func (f *Feed) Listed() bool { return f.listed.Load() > 0 }

// Changed returns the revision of the newest object that was seen.
func (f *Feed) Changed() objectapi.Version { return objectapi.Version(f.changed.Load()) }

// lag returns how much longer than a peer the feed may take to see a change.
func (f *Feed) lag() time.Duration {
	if f.Pause == nil {
		return feedLag
	}
	return feedLag + f.Pause()
}

// Reread ends the running watch and lists the objects again.
func (f *Feed) Reread() {
	select {
	case f.reread <- struct{}{}:
	default:
	}
}

// Run follows the kind until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		objects, revision, err := f.Store.List(ctx, f.Kind, "")
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		logging.Emit(logging.FeedListed, logging.Fields{"kind": f.Kind, "objects": len(objects), "revision": revision})
		f.Replace(objects, f.outage())
		for _, o := range objects {
			f.note(o.Version)
		}
		f.listed.Store(uint64(revision))
		f.watch(ctx, revision)
	}
}

// outage reports whether the store was away for so long that entries may have lapsed, and notes that it answers.
func (f *Feed) outage() bool {
	now := time.Now()
	away := !f.failedSince.IsZero() && now.Sub(f.failedSince) > outageAfter && now.Sub(f.heard) > outageAfter
	f.heard = now
	return away
}

func (f *Feed) note(v objectapi.Version) {
	if uint64(v) > f.changed.Load() {
		f.changed.Store(uint64(v))
	}
}

// watch follows changes until the list must be read again.
func (f *Feed) watch(ctx context.Context, revision objectapi.Version) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-f.reread:
			cancel()
		case <-watching.Done():
		}
	}()
	for watching.Err() == nil {
		if f.Elected() && f.failedSince.IsZero() {
			f.heard = time.Now()
			wait(watching, f.Poll)
			return
		}
		changes, next, err := f.Store.Watch(watching, f.Kind, "", revision)
		switch {
		case watching.Err() != nil:
			return
		case errors.Is(err, objectapi.ErrHistoryGone):
			return
		case err != nil:
			f.failed(watching, err)
			return
		}
		f.recovered()
		f.heard = time.Now()
		for _, c := range changes {
			f.Apply(c)
			if !c.Deleted {
				f.note(c.Version)
			}
		}
		revision = max(next, revision)
		if len(changes) > 0 && f.Pause != nil {
			wait(watching, f.Pause())
		}
	}
}

// wait returns after d, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// changePause returns the time in which a fleet collects changes of a kind that changes often. Each change is a call of
// every host, so that the calls of a fleet grow with the square of its size without it.
func changePause(hosts int) time.Duration {
	return min(pausePerHost*time.Duration(max(hosts-beatHosts, 0)), maxChangePause)
}

// failed notes a call that failed and waits before the next one; the end of ctx ends the wait.
func (f *Feed) failed(ctx context.Context, err error) {
	if f.failedSince.IsZero() {
		f.failedSince = time.Now()
		f.pause = feedRetryFirst
		logging.Emit(logging.FeedFailed, logging.Fields{"kind": f.Kind, "error": err})
	}
	pause := f.pause
	if time.Since(f.heard) < outageAfter {
		pause = max(pause, feedPoll)
	}
	jitter := time.Duration(rand.Int64N(int64(pause) / 2))
	wait(ctx, pause*3/4+jitter)
	f.pause = min(2*f.pause, feedRetryMost)
}

// recovered ends a failure: a watch was answered.
func (f *Feed) recovered() {
	if f.failedSince.IsZero() {
		return
	}
	logging.Emit(logging.FeedResumed, logging.Fields{"kind": f.Kind, "after": time.Since(f.failedSince)})
	f.failedSince = time.Time{}
}
