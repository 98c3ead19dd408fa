package ingress

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/founders"
)

const (
	// KindFounders is the store's kind of the object that numbers the hosts that account for programs, and foundersName its
	// name; see package founders.
	KindFounders = "budget-founders"
	foundersName = "main"
)

const (
	// foundersTick is how often it is checked whether the object must be read or written.
	foundersTick = 250 * time.Millisecond
	// foundersReadAge is the age of a host's knowledge at which it reads the object. A host that learns from its peers reads
	// later, so that one host of the fleet reads for all.
	foundersReadAge       = 10 * time.Second
	foundersReadAgeBehind = 15 * time.Second
	// foundersLearnedWithin is the time since the last confirmation by a peer within which a host relies on the next one.
	foundersLearnedWithin = 5 * time.Second
	// foundersReadTimeout bounds a read or write of the object, and foundersRetryInterval is the delay after one that failed.
	foundersReadTimeout   = 1500 * time.Millisecond
	foundersRetryInterval = 2 * time.Second
	// foundersReadInterval is the least time between two reads, and foundersMissingInterval that while there is no object:
	// the host that writes it tells the others.
	foundersReadInterval    = 500 * time.Millisecond
	foundersMissingInterval = 2 * time.Second
	// foundersSettleTime is how long a host must be listed before it is a reason for a new generation: hosts that start
	// together are listed within this time, and make one generation.
	foundersSettleTime = time.Second
	// foundersUnreachableLimit is how long a listed host must be unreachable before it is left out of the next generation.
	foundersUnreachableLimit = time.Minute
	// forgottenListInterval and maxForgotten bound how long, and of how many programs, a host remembers that it may have
	// used a share: it lists the records then.
	forgottenListInterval = 10 * time.Minute
	maxForgotten          = 20_000
)

// bootClock is the time since boot. Unlike the clock of the process, it goes on while the host is suspended, so that
// grants and the right of a founder run out meanwhile.
type bootClock struct{}

// Now implements clock.Clock.
func (bootClock) Now() clock.Millis { return clock.Millis(clock.SinceBoot().Milliseconds()) }

// foundersLoop reads the object of generations, and writes the next one if this host is to.
type foundersLoop struct {
	budgets *budgetService
	// wake receives a value when a peer knows a newer generation.
	wake chan struct{}
	// learnedAt is when a peer last confirmed the generation; it is guarded by budgets.mu.
	learnedAt clock.Millis
	// readAt is when the object was last read, or a read of it failed.
	readAt clock.Millis
	// retryAt is the time before which no call is made after one that failed, and failing is set after it was logged.
	retryAt clock.Millis
	failing bool
	// lapsed is set while this host has no valid knowledge of the generation.
	lapsed bool
}

func newFoundersLoop(a *budgetService) *foundersLoop {
	return &foundersLoop{budgets: a, wake: make(chan struct{}, 1)}
}

// run reads and writes the object until ctx ends.
func (f *foundersLoop) run(ctx context.Context) {
	for {
		f.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-time.After(foundersTick*3/4 + rand.N(foundersTick/2)):
		}
	}
}

func (f *foundersLoop) step(ctx context.Context) {
	a := f.budgets
	if !a.hosts.HasSynced() || a.hosts.SelfDraining() {
		return
	}
	now := a.clock.Now()
	f.checkLapse(now)
	if now < f.retryAt || !a.reachesStore() {
		return
	}
	if f.needsRead(now) {
		f.read(ctx)
	}
	f.propose(ctx)
}

// needsRead reports whether the object should be read now.
func (f *foundersLoop) needsRead(now clock.Millis) bool {
	a := f.budgets
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.founders.IsMember() && !a.hosts.IsHome() {
		return false
	}
	newestAt, ok := a.founders.NewestAt()
	sinceRead := now.Sub(f.readAt)
	if f.readAt > 0 && (sinceRead < foundersReadInterval || !ok && !a.founders.IsBehind() && sinceRead < foundersMissingInterval) {
		return false
	}
	limit := foundersReadAge
	if f.learnedAt > 0 && now.Sub(f.learnedAt) < foundersLearnedWithin {
		limit = foundersReadAgeBehind
	}
	return !ok || a.founders.IsBehind() || now.Sub(newestAt) >= limit
}

// read reads the object.
func (f *foundersLoop) read(ctx context.Context) {
	a := f.budgets
	requestedAt := a.clock.Now()
	f.readAt = requestedAt
	callCtx, cancel := context.WithTimeout(ctx, foundersReadTimeout)
	defer cancel()
	o, err := a.store.Get(callCtx, KindFounders, foundersName)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		a.mu.Lock()
		a.founders.Missing()
		a.mu.Unlock()
		f.failing = false
	case err != nil:
		f.failed(ctx, err)
	default:
		f.apply(requestedAt, o.Value, o.Version)
		f.failing = false
	}
}

func (f *foundersLoop) failed(ctx context.Context, err error) {
	f.retryAt = f.budgets.clock.Now().Add(foundersRetryInterval)
	if !f.failing && ctx.Err() == nil {
		logging.Emit(logging.FoundersReadFailed, logging.Fields{"error": err})
	}
	f.failing = true
}

// apply takes over the object that a call returned which began at requestedAt.
func (f *foundersLoop) apply(requestedAt clock.Millis, value []byte, version objectapi.Version) {
	var object founders.Object
	err := json.Unmarshal(value, &object)
	if err == nil && !object.Validate() {
		err = errors.Newf("generation %d with an invalid list of earlier ones", object.Generation)
	}
	if err != nil {
		logging.Emit(logging.FoundersRejected, logging.Fields{"revision": version, "error": err})
		f.retryAt = f.budgets.clock.Now().Add(foundersRetryInterval)
		return
	}
	a := f.budgets
	a.mu.Lock()
	before := a.founders.Generation()
	a.founders.Read(requestedAt, a.clock.Now(), object, uint64(version))
	after, isMember := a.founders.Generation(), a.founders.IsMember()
	a.mu.Unlock()
	if after != before {
		logging.Emit(logging.FoundersChanged, logging.Fields{"generation": after, "members": object.Size(), "member": isMember})
	}
}

// propose writes the next generation if this host is to and the hosts have changed.
func (f *foundersLoop) propose(ctx context.Context) {
	a := f.budgets
	owner, ok := a.hosts.Owner(KindFounders)
	candidates := f.candidates()
	a.mu.Lock()
	if isOwner := ok && owner.Name == a.self.Name; !isOwner && !a.founders.HasRegressed() {
		a.mu.Unlock()
		return
	}
	now := a.clock.Now()
	object, expected, due := a.founders.Propose(now, candidates)
	a.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(object)
	callCtx, cancel := context.WithTimeout(ctx, foundersReadTimeout)
	defer cancel()
	var version objectapi.Version
	switch {
	case err != nil:
	case expected == 0:
		version, err = objectapi.CreateConfirmed(callCtx, a.store, KindFounders, foundersName, value)
	default:
		version, err = objectapi.UpdateConfirmed(callCtx, a.store, KindFounders, foundersName, value, objectapi.Version(expected))
	}
	logging.Emit(logging.FoundersProposed, logging.Fields{"generation": object.Generation, "members": object.Size(), "error": err})
	switch {
	case err == nil:
		f.apply(now, value, version)
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrNotFound):
		f.read(ctx) // another host wrote
	default:
		f.failed(ctx, err)
	}
}

// candidates returns the primary hosts without those that have been unreachable for long.
func (f *foundersLoop) candidates() []founders.Candidate {
	now := time.Now()
	return read(f.budgets.hosts, func(v *fleet.View) []founders.Candidate {
		var out []founders.Candidate
		for _, h := range v.Roles().Primaries {
			since, unreachable := v.UnreachableSince(h.Name)
			if unreachable && now.Sub(since) >= foundersUnreachableLimit {
				continue
			}
			listedAt, listed := v.ListedAt(h.Name)
			settled := listed && now.Sub(listedAt) >= foundersSettleTime
			out = append(out, founders.Candidate{Name: h.Name, Incarnation: h.Incarnation, Settled: settled})
		}
		return out
	})
}

// checkLapse logs that this host can no longer rely on its knowledge of the generation, and reports the age of that.
func (f *foundersLoop) checkLapse(now clock.Millis) {
	a := f.budgets
	a.mu.Lock()
	newestAt, ok := a.founders.NewestAt()
	generation, isMember := a.founders.Generation(), a.founders.IsMember()
	a.mu.Unlock()
	a.scope.Gauge("budget_generation").Update(float64(generation))
	if ok {
		a.scope.Gauge("budget_generation_age_seconds").Update(now.Sub(newestAt).Seconds())
	}
	lapsed := ok && isMember && now.Sub(newestAt) >= founders.Validity
	if lapsed && !f.lapsed {
		logging.Emit(logging.FoundersRightLapsed, logging.Fields{"generation": generation})
	}
	f.lapsed = lapsed
}

// foundersStatement is what a host says of the generations in its heartbeats.
type foundersStatement struct {
	Generation uint64 `msgpack:"g"`
	// AgeMS is how long ago, in milliseconds, the host knew that Generation was the newest.
	AgeMS int64 `msgpack:"a"`
}

// Name implements HeartbeatSection.
func (f *foundersLoop) Name() string { return KindFounders }

// MaxBytes implements HeartbeatSection.
func (f *foundersLoop) MaxBytes() int { return 64 }

// Encode implements HeartbeatSection.
func (f *foundersLoop) Encode() []byte {
	a := f.budgets
	a.mu.Lock()
	newestAt, ok := a.founders.NewestAt()
	generation := a.founders.Generation()
	now := a.clock.Now()
	a.mu.Unlock()
	if !ok {
		return nil
	}
	// A later encoding only makes the age larger; the age is rounded up with the resolution of the clock.
	encoded, err := msgpack.Marshal(foundersStatement{Generation: generation, AgeMS: int64(now-newestAt) + 1})
	if err != nil {
		return nil
	}
	return encoded
}

// Merge implements HeartbeatSection. A statement that is no answer may be of any age, and only names a generation.
func (f *foundersLoop) Merge(from HeartbeatOrigin, section []byte) error {
	var s foundersStatement
	if err := msgpack.Unmarshal(section, &s); err != nil {
		return errors.Wrap(err, "decode the generation")
	}
	if s.AgeMS < 0 {
		return errors.Newf("generation %d confirmed %d ms ago", s.Generation, s.AgeMS)
	}
	a := f.budgets
	a.mu.Lock()
	defer a.mu.Unlock()
	if from.RequestedAt > 0 {
		confirmedAt := clock.Millis(from.RequestedAt.Milliseconds() - s.AgeMS)
		before, _ := a.founders.NewestAt()
		a.founders.Confirm(s.Generation, confirmedAt)
		if s.Generation == a.founders.Generation() && confirmedAt >= before {
			f.learnedAt = a.clock.Now()
		}
	} else {
		a.founders.Report(s.Generation)
	}
	if a.founders.IsBehind() {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
	return nil
}
