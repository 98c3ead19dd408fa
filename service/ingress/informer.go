package ingress

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/clock"
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
	// batchDelayPerHost is the batch delay for each host that watches the store above maxUnbatchedHosts.
	batchDelayPerHost = 50 * time.Millisecond
	maxUnbatchedHosts = 10
	// maxBatchDelay bounds the batch delay. With the time in which a stale watch is detected, it stays within the
	// operator's bound of 3 s for backend servers that leave.
	maxBatchDelay = 800 * time.Millisecond
	// objectsPerPoll is the number of objects up to which a kind is listed every PollInterval.
	objectsPerPoll = 200
	// maxFollowWait is how long a followed host may wait for a change before it answers.
	maxFollowWait = 20 * time.Second
	// sourceRetryDelay is the delay before a starting host asks the next source, and stableFollowTime the time after
	// which the sources are tried from the first one again.
	sourceRetryDelay = 50 * time.Millisecond
	stableFollowTime = 5 * time.Second
	// outageThreshold is the time without a response of the store after which entries of running servers may be
	// missing from it: less than three of the servers' heartbeat intervals of 1.2 s.
	outageThreshold = 2 * time.Second
)

// Informer lists and watches the objects of one kind, and passes them to Replace and Apply. It reads them from the store
// or, if Sources returns other hosts, from their copies. It must be created by newInformer.
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

	// Sources returns the addresses of the hosts to follow, in order; none if this host watches the store. nil is none.
	Sources func() []string
	// Follow requests changes from a host and passes the parts of the answer to handle.
	Follow func(ctx context.Context, address string, request followRequest, handle func(followAnswer)) error
	// StartupPatience is how long after the start hosts without a copy are asked again before the store is.
	StartupPatience time.Duration

	// PolledByPeer reports whether a peer has listed the objects from the store without a break from the first time on, by
	// what it said after the second one. nil is never.
	PolledByPeer func(from, heardAfter time.Time) bool
	// Contact records when the store answered, by which an outage is recognized that no call of this informer has failed in.
	// nil is not recorded.
	Contact *storeContact

	// Listed is called after Replace with each list of the store, and when it was requested, by clock.SinceBoot. It may be
	// nil.
	Listed func(requestedAt time.Duration, objects []objectapi.Object)

	// feed is the copy of the objects that other hosts follow.
	feed *feed
	// recoveredAtNanos is when objects were first listed after the last outage of the store, in Unix nanoseconds.
	recoveredAtNanos atomic.Int64
	// outageBeganNanos is when the store last answered before that outage. polledSinceNanos is since when it has been
	// listed without a break, by this host or the one before it, and polledAtNanos when it was last.
	outageBeganNanos, polledSinceNanos, polledAtNanos atomic.Int64

	// listRevision is the revision of the last list, and newestRevision that of the newest object that was
	// observed.
	listRevision, newestRevision atomic.Uint64
	// relist receives the address of the peer whose copy is to be taken over, or "".
	relist chan string
	// startedAt is when Run was called, nextSource the index of the source to follow next, and resumeAt the revision from
	// which the store is watched without another list; 0 if it must be listed.
	startedAt   time.Time
	nextSource  int
	resumeAt    objectapi.Version
	failedSince time.Time // zero while calls succeed
	retryDelay  time.Duration
	// silenceLogged is set once the outage that has just ended was logged.
	silenceLogged bool
	// lastResponse is when the store last answered, directly or through a peer. Other goroutines read
	// lastResponseNanos, which is the same in Unix nanoseconds; 0 before the first answer.
	lastResponse      time.Time
	lastResponseNanos atomic.Int64
	// source is the address of the followed host, or "store". listing is set while the store is listed, and watching while
	// a watch of the store waits for changes.
	source            atomic.Value
	listing, watching atomic.Bool
}

// lastResponseTime returns when the store or the followed host last answered; zero before the first answer.
func (f *Informer) lastResponseTime() time.Time {
	if nanos := f.lastResponseNanos.Load(); nanos > 0 {
		return time.Unix(0, nanos)
	}
	return time.Time{}
}

func (f *Informer) setLastResponse(now time.Time) {
	f.lastResponse = now
	f.lastResponseNanos.Store(now.UnixNano())
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

// lastListRevision returns the revision of the last list; 0 before the first one.
func (f *Informer) lastListRevision() objectapi.Version {
	return objectapi.Version(f.listRevision.Load())
}

// maxLag returns how much later than a peer the informer may observe a change.
func (f *Informer) maxLag() time.Duration {
	lag := maxInformerLag
	if f.BatchDelay != nil {
		lag += f.BatchDelay()
	}
	return lag
}

// pollInterval returns the interval of the lists of this host. It is longer for a kind with many objects, whose list
// takes many calls.
func (f *Informer) pollInterval() time.Duration {
	return f.PollInterval * time.Duration(max(f.feed.size()/objectsPerPoll, 1))
}

// watchesBetweenPolls reports whether the kind has so many objects that the host which lists it at intervals also watches
// it in between.
func (f *Informer) watchesBetweenPolls() bool { return f.feed.size() > objectsPerPoll }

// Relist ends the running watch and reads the objects again. It does not wait for that.
func (f *Informer) Relist() { f.RelistFrom("") }

// RelistFrom is Relist, but takes over the copy of a peer first. peer is its address; empty for none.
func (f *Informer) RelistFrom(peer string) {
	if peer == "" && f.listing.Load() {
		return
	}
	select {
	case f.relist <- peer:
	default:
	}
}

// newInformer returns an informer whose callbacks are not set yet.
func newInformer(kind string) *Informer {
	return &Informer{Kind: kind, relist: make(chan string, 1), feed: newFeed()}
}

// Run lists and watches until ctx ends. It retries failed calls with a backoff. A round ends when a relist is requested:
// the copy of the peer that has newer objects is taken over then, because the store may not answer this host.
func (f *Informer) Run(ctx context.Context) {
	f.startedAt = time.Now()
	for ctx.Err() == nil {
		round, cancel := context.WithCancel(ctx)
		ended := make(chan string, 1)
		go func() {
			defer close(ended)
			select {
			case peer := <-f.relist:
				cancel()
				ended <- peer
			case <-round.Done():
			}
		}()
		f.read(round)
		cancel()
		if peer := <-ended; peer != "" {
			f.copyFrom(ctx, peer)
		}
	}
}

// listAndWatch lists the objects from the store and watches them until they must be listed again. The list is left out
// if a peer's copy was just taken over.
func (f *Informer) listAndWatch(ctx context.Context) {
	f.source.Store(storeSource)
	if revision := f.resumeAt; revision > 0 {
		f.resumeAt = 0
		f.watch(ctx, revision)
		return
	}
	requestedAt := clock.SinceBoot()
	f.listing.Store(true)
	objects, revision, err := f.Store.List(ctx, f.Kind, "")
	f.listing.Store(false)
	if err != nil {
		f.backOff(ctx, err)
		return
	}
	logging.Emit(logging.InformerListed, logging.Fields{"kind": f.Kind, "objects": len(objects), "revision": revision})
	f.recordPoll(time.Now())
	if f.recoveredFromOutage() {
		f.recoveredAtNanos.Store(time.Now().UnixNano())
	}
	f.logSilence()
	f.replace(objects, revision, f.RecentlyRecovered())
	if f.Listed != nil {
		f.Listed(requestedAt, objects)
	}
	f.watch(ctx, revision)
}

// replace passes a list to the callbacks and the followers.
func (f *Informer) replace(objects []objectapi.Object, revision objectapi.Version, afterOutage bool) {
	f.Replace(objects, afterOutage)
	for _, o := range objects {
		f.observe(o.Version)
	}
	f.feed.replace(objects)
	f.raiseListRevision(revision)
}

func (f *Informer) raiseListRevision(revision objectapi.Version) {
	f.listRevision.Store(max(f.listRevision.Load(), uint64(revision)))
}

// apply passes changes to the callbacks and the followers.
func (f *Informer) apply(changes []objectapi.Change) {
	for _, c := range changes {
		f.Apply(c)
		if !c.Deleted {
			f.observe(c.Version)
		}
	}
	f.feed.apply(changes)
}

// RecentlyRecovered reports whether the store was unavailable until a moment ago, so that a deleted entry may have been
// deleted only because of that. An outage through which a peer listed the objects was one of this host's network.
func (f *Informer) RecentlyRecovered() bool {
	_, ok := f.recovery()
	return ok
}

// recovery returns when the store was available again if it was unavailable until a moment ago.
func (f *Informer) recovery() (at time.Time, ok bool) {
	if began, duration, silent := f.storeSilence(); silent {
		return began.Add(duration), true
	}
	recoveredAt := time.Unix(0, f.recoveredAtNanos.Load())
	if time.Since(recoveredAt) >= outageDeleteWindow {
		return time.Time{}, false
	}
	began := f.outageBeganNanos.Load()
	return recoveredAt, began == 0 || f.PolledByPeer == nil || !f.PolledByPeer(time.Unix(0, began), recoveredAt)
}

// storeSilence returns since when and how long the store had answered nobody until a moment ago. A host that follows another
// one relies on that one: it makes few calls itself.
func (f *Informer) storeSilence() (began time.Time, duration time.Duration, recovered bool) {
	if f.Contact == nil || f.currentSource() != storeSource {
		return time.Time{}, 0, false
	}
	return f.Contact.recoveredWithin(time.Now(), outageDeleteWindow)
}

// logSilence logs an outage that this informer has not logged.
func (f *Informer) logSilence() {
	_, duration, silent := f.storeSilence()
	if silent && !f.silenceLogged {
		logging.Emit(logging.StoreWasSilent, logging.Fields{"kind": f.Kind, "silent_for": duration})
		if f.Contact.onOutage != nil {
			f.Contact.onOutage()
		}
	}
	f.silenceLogged = silent
}

// maxPollGap returns the time between two lists up to which no outage was missed.
func (f *Informer) maxPollGap() time.Duration { return 2 * f.PollInterval }

// recordPoll records that the store was listed. A host that takes the lists over from another one vouches for the time in
// which that one listed, too: the store has answered since then without a break.
func (f *Informer) recordPoll(now time.Time) {
	if now.Sub(time.Unix(0, f.polledAtNanos.Swap(now.UnixNano()))) > f.maxPollGap() {
		f.polledSinceNanos.Store(f.Contact.answeredSince(now).UnixNano())
	}
}

// PolledFor returns how long the store has been listed without a break until now; 0 if it is not.
func (f *Informer) PolledFor(now time.Time) time.Duration {
	if now.Sub(time.Unix(0, f.polledAtNanos.Load())) > f.maxPollGap() {
		return 0
	}
	return now.Sub(time.Unix(0, f.polledSinceNanos.Load()))
}

// PolledAge returns how long ago the store was last listed.
func (f *Informer) PolledAge(now time.Time) time.Duration {
	return max(now.Sub(time.Unix(0, f.polledAtNanos.Load())), 0)
}

// recoveredFromOutage reports whether the store was unavailable for so long that entries may be missing from it,
// and records that it answers now.
func (f *Informer) recoveredFromOutage() bool {
	now := time.Now()
	outage := !f.failedSince.IsZero() && f.Contact.ranFor(f.failedSince, now) > outageThreshold && f.Contact.ranFor(f.lastResponse, now) > outageThreshold
	if outage {
		f.outageBeganNanos.Store(f.lastResponse.UnixNano())
	}
	f.setLastResponse(now)
	return outage
}

func (f *Informer) observe(v objectapi.Version) {
	if uint64(v) > f.newestRevision.Load() {
		f.newestRevision.Store(uint64(v))
	}
}

// watch applies changes until the objects must be listed again.
func (f *Informer) watch(ctx context.Context, revision objectapi.Version) {
	listedAt := time.Now()
	for ctx.Err() == nil {
		if len(f.sources()) > 0 {
			sleep(ctx, peerPollInterval) // all sources have failed a moment ago
			return
		}
		polls := f.ShouldPoll() && f.failedSince.IsZero()
		if polls && !f.watchesBetweenPolls() {
			f.setLastResponse(time.Now())
			sleep(ctx, f.PollInterval)
			return
		}
		watchCtx, cancel := ctx, context.CancelFunc(func() {})
		if polls {
			watchCtx, cancel = context.WithDeadline(ctx, listedAt.Add(f.pollInterval()))
		}
		f.watching.Store(true)
		changes, next, err := f.Store.Watch(watchCtx, f.Kind, "", revision)
		f.watching.Store(false)
		isPollDue := polls && watchCtx.Err() != nil
		cancel()
		switch {
		case ctx.Err() != nil, isPollDue && err != nil:
			return
		case errors.Is(err, objectapi.ErrHistoryGone):
			return
		case err != nil:
			f.backOff(ctx, err)
			return
		}
		f.recordRecovery()
		f.setLastResponse(time.Now())
		f.logSilence()
		f.apply(changes)
		revision = max(next, revision)
		if len(changes) > 0 && f.BatchDelay != nil {
			sleep(ctx, f.BatchDelay())
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
// host that watches the store.
func changeBatchDelay(watchers int) time.Duration {
	return min(batchDelayPerHost*time.Duration(max(watchers-maxUnbatchedHosts, 0)), maxBatchDelay)
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
