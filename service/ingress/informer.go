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
	// minRetryDelay and feedRetryMost bound the pause after a failed call to the store: a call costs its price even
	// if it is refused, and a change must be seen within the operator's bound of 2 s after the store is back.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// peerPollInterval is the pause between lists through a peer while this host has no access to the store. Beats tell of
	// changes in between.
	peerPollInterval = 700 * time.Millisecond
	// batchDelayPerHost is how much longer changes are collected for each host more than in a small fleet.
	batchDelayPerHost = 10 * time.Millisecond
	// maxBatchDelay bounds that time: with the time until a deaf watch is noticed, it is within the operator's bound
	// of 3 s for backend servers that leave.
	maxBatchDelay = 800 * time.Millisecond
	// outageThreshold is the time without any word from the store after which entries of living servers may have lapsed:
	// less than three of their heartbeats of 1.2 s.
	outageThreshold = 2 * time.Second
)

// Informer keeps a host's view of the objects of one kind.
type Informer struct {
	Kind  string
	Store objectapi.Store
	// Replace gets the whole list. afterOutage is set if the store was away since the last change.
	Replace func(objects []objectapi.Object, afterOutage bool)
	// Apply gets one change.
	Apply func(c objectapi.Change)
	// ShouldPoll reports whether this host reads the list again and again for the fleet, because a watch can go deaf.
	ShouldPoll func() bool
	// PollInterval is the time between these lists.
	PollInterval time.Duration
	// BatchDelay is the time after a change before the next one is asked for, so that the changes of that time cost one
	// call; nil is none.
	BatchDelay func() time.Duration

	// listRevision is the revision of the last list, and changed that of the newest object that was seen.
	listRevision, newestRevision atomic.Uint64
	relist                       chan struct{}
	failedSince                  time.Time
	retryDelay                   time.Duration
	// lastResponse is when the store last answered, to this host or through a peer.
	lastResponse time.Time
}

// HasObserved reports whether an object of that revision has been seen, or is known to be gone. What a watch says of the
// store's revision is no proof: a deaf watch tells newer ones.
func (f *Informer) HasObserved(revision uint64) bool {
	return f.newestRevision.Load() >= revision || f.listRevision.Load() >= revision
}

// HasSynced reports whether the objects were listed at least once.
func (f *Informer) HasSynced() bool { return f.listRevision.Load() > 0 }

// NewestRevision returns the revision of the newest object that was seen.
func (f *Informer) NewestRevision() objectapi.Version {
	return objectapi.Version(f.newestRevision.Load())
}

// maxLag returns how much longer than a peer the feed may take to see a change.
func (f *Informer) maxLag() time.Duration {
	if f.BatchDelay == nil {
		return maxInformerLag
	}
	return maxInformerLag + f.BatchDelay()
}

// Relist ends the running watch and lists the objects again.
func (f *Informer) Relist() {
	select {
	case f.relist <- struct{}{}:
	default:
	}
}

// Run follows the kind until ctx ends.
func (f *Informer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		objects, revision, err := f.Store.List(ctx, f.Kind, "")
		if err != nil {
			f.backOff(ctx, err)
			continue
		}
		logging.Emit(logging.InformerListed, logging.Fields{"kind": f.Kind, "objects": len(objects), "revision": revision})
		f.Replace(objects, f.recoveredFromOutage())
		for _, o := range objects {
			f.observe(o.Version)
		}
		f.listRevision.Store(uint64(revision))
		f.watch(ctx, revision)
	}
}

// recoveredFromOutage reports whether the store was away for so long that entries may have lapsed, and notes that it answers.
func (f *Informer) recoveredFromOutage() bool {
	now := time.Now()
	away := !f.failedSince.IsZero() && now.Sub(f.failedSince) > outageThreshold && now.Sub(f.lastResponse) > outageThreshold
	f.lastResponse = now
	return away
}

func (f *Informer) observe(v objectapi.Version) {
	if uint64(v) > f.newestRevision.Load() {
		f.newestRevision.Store(uint64(v))
	}
}

// watch follows changes until the list must be read again.
func (f *Informer) watch(ctx context.Context, revision objectapi.Version) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-f.relist:
			cancel()
		case <-watching.Done():
		}
	}()
	for watching.Err() == nil {
		if f.ShouldPoll() && f.failedSince.IsZero() {
			f.lastResponse = time.Now()
			sleep(watching, f.PollInterval)
			return
		}
		changes, next, err := f.Store.Watch(watching, f.Kind, "", revision)
		switch {
		case watching.Err() != nil:
			return
		case errors.Is(err, objectapi.ErrHistoryGone):
			return
		case err != nil:
			f.backOff(watching, err)
			return
		}
		f.recordRecovery()
		f.lastResponse = time.Now()
		for _, c := range changes {
			f.Apply(c)
			if !c.Deleted {
				f.observe(c.Version)
			}
		}
		revision = max(next, revision)
		if len(changes) > 0 && f.BatchDelay != nil {
			sleep(watching, f.BatchDelay())
		}
	}
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// changeBatchDelay returns the time in which a fleet collects changes of a kind that changes often. Each change is a call of
// every host, so that the calls of a fleet grow with the square of its size without it.
func changeBatchDelay(hosts int) time.Duration {
	return min(batchDelayPerHost*time.Duration(max(hosts-minIntervalHosts, 0)), maxBatchDelay)
}

// backOff notes a call that failed and waits before the next one; the end of ctx ends the wait.
func (f *Informer) backOff(ctx context.Context, err error) {
	if f.failedSince.IsZero() {
		f.failedSince = time.Now()
		f.retryDelay = minRetryDelay
		logging.Emit(logging.InformerFailed, logging.Fields{"kind": f.Kind, "error": err})
	}
	pause := f.retryDelay
	if time.Since(f.lastResponse) < outageThreshold {
		pause = max(pause, peerPollInterval)
	}
	jitter := time.Duration(rand.Int64N(int64(pause) / 2))
	sleep(ctx, pause*3/4+jitter)
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
}

// recordRecovery ends a failure: a watch was answered.
func (f *Informer) recordRecovery() {
	if f.failedSince.IsZero() {
		return
	}
	logging.Emit(logging.InformerResumed, logging.Fields{"kind": f.Kind, "after": time.Since(f.failedSince)})
	f.failedSince = time.Time{}
}
