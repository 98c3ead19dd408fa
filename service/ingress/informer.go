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
	// minRetryDelay and maxRetryDelay bound the delay after a failed store call: a refused call costs as much as
	// any other, and changes must be observed within the operator's bound of 2 s after the store is available
	// again.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// peerPollInterval is the least delay between lists through a peer while the store is unavailable to this host.
	// Heartbeats report changes in between.
	peerPollInterval = 700 * time.Millisecond
	// batchDelayPerHost is the batch delay for each host above minIntervalHosts.
	batchDelayPerHost = 10 * time.Millisecond
	// maxBatchDelay bounds the batch delay. With the time in which a stale watch is detected, it stays within the
	// operator's bound of 3 s for backend servers that leave.
	maxBatchDelay = 800 * time.Millisecond
	// outageThreshold is the time without a response of the store after which entries of running servers may be
	// missing from it: less than three of the servers' heartbeat intervals of 1.2 s.
	outageThreshold = 2 * time.Second
)

// Informer lists and watches the objects of one kind, and passes them to Replace and Apply.
type Informer struct {
	Kind  string
	Store objectapi.Store
	// Replace is called with each list. afterOutage is set if the store was unavailable before it for so long that
	// entries may be missing.
	Replace func(objects []objectapi.Object, afterOutage bool)
	// Apply is called with each change.
	Apply func(c objectapi.Change)
	// ShouldPoll reports whether this host lists every PollInterval instead of watching. One host of the fleet
	// does, so that the revisions in its heartbeats reveal stale watches of the others.
	ShouldPoll   func() bool
	PollInterval time.Duration
	// BatchDelay returns the delay after a change before the next watch call, so that the changes of that time cost
	// one call; nil means no delay.
	BatchDelay func() time.Duration

	// listRevision is the revision of the last list, and newestRevision that of the newest object that was
	// observed.
	listRevision, newestRevision atomic.Uint64
	relist                       chan struct{}
	failedSince                  time.Time // zero while calls succeed
	retryDelay                   time.Duration
	// lastResponse is when the store last answered, directly or through a peer.
	lastResponse time.Time
}

// HasObserved reports whether an object of that revision was observed, or the last list shows that it no longer
// exists. The revision that a watch call returns is no proof: a stale watch returns newer ones without their
// changes.
func (f *Informer) HasObserved(revision uint64) bool {
	return f.newestRevision.Load() >= revision || f.listRevision.Load() >= revision
}

// HasSynced reports whether the objects have been listed at least once.
func (f *Informer) HasSynced() bool { return f.listRevision.Load() > 0 }

// NewestRevision returns the revision of the newest object that was observed; 0 before the first one.
func (f *Informer) NewestRevision() objectapi.Version {
	return objectapi.Version(f.newestRevision.Load())
}

// maxLag returns how much later than a peer the informer may observe a change.
func (f *Informer) maxLag() time.Duration {
	if f.BatchDelay == nil {
		return maxInformerLag
	}
	return maxInformerLag + f.BatchDelay()
}

// Relist ends the running watch and lists the objects again. It does not wait for the list.
func (f *Informer) Relist() {
	select {
	case f.relist <- struct{}{}:
	default:
	}
}

// Run lists and watches until ctx ends. It retries failed calls with a backoff.
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

// recoveredFromOutage reports whether the store was unavailable for so long that entries may be missing from it,
// and records that it answers now.
func (f *Informer) recoveredFromOutage() bool {
	now := time.Now()
	outage := !f.failedSince.IsZero() && now.Sub(f.failedSince) > outageThreshold && now.Sub(f.lastResponse) > outageThreshold
	f.lastResponse = now
	return outage
}

func (f *Informer) observe(v objectapi.Version) {
	if uint64(v) > f.newestRevision.Load() {
		f.newestRevision.Store(uint64(v))
	}
}

// watch applies changes until the objects must be listed again.
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

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// changeBatchDelay returns the batch delay of a kind whose objects change often. Each change costs a call of every
// host, so that without the delay the calls of a fleet would grow with the square of its size.
func changeBatchDelay(hosts int) time.Duration {
	return min(batchDelayPerHost*time.Duration(max(hosts-minIntervalHosts, 0)), maxBatchDelay)
}

// backOff records a failed call and waits before the next one, or until ctx ends.
func (f *Informer) backOff(ctx context.Context, err error) {
	if f.failedSince.IsZero() {
		f.failedSince = time.Now()
		f.retryDelay = minRetryDelay
		logging.Emit(logging.InformerFailed, logging.Fields{"kind": f.Kind, "error": err})
	}
	delay := f.retryDelay
	if time.Since(f.lastResponse) < outageThreshold {
		delay = max(delay, peerPollInterval)
	}
	randomPart := time.Duration(rand.Int64N(int64(delay) / 2))
	sleep(ctx, delay*3/4+randomPart)
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
}

// recordRecovery records that a watch call succeeded after failures.
func (f *Informer) recordRecovery() {
	if f.failedSince.IsZero() {
		return
	}
	logging.Emit(logging.InformerResumed, logging.Fields{"kind": f.Kind, "after": time.Since(f.failedSince)})
	f.failedSince = time.Time{}
}
