// Package verdicts keeps the verdicts on requests that end backend servers in the object store, so that they outlive all
// hosts. Hosts learn of each other's verdicts by heartbeats; the store is read at the start of a host and at long intervals.
package verdicts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/poison"
)

// Kind is the kind of the objects, one for each request or prefix, named by its fingerprint.
const Kind = "poison-requests"

const (
	// checkInterval is the time between two comparisons of the records with what is stored, unless an end of a server
	// triggers one.
	checkInterval = 500 * time.Millisecond
	// suspicionDelay is how long a request is suspected before that is stored. Most requests that were at a server as it
	// ended run to their end elsewhere within that time.
	suspicionDelay = time.Second
	// takeoverDelay is the age of a verdict after which its owner stores it if it does not know that it is stored: the host
	// that observed the end may be lost.
	takeoverDelay = 2 * time.Second
	// sweepInterval is the time between two lists by the owner of the kind, which delete what has expired.
	sweepInterval = time.Minute
	// maxDeletionsPerSweep bounds the calls of one sweep.
	maxDeletionsPerSweep = 100
	// callTimeout bounds one call of the store, with its confirmation.
	callTimeout = 2 * time.Second
	// retryDelay is the time without writes after a failed call.
	retryDelay = time.Second
)

// Table holds the records of this host.
type Table interface {
	// All returns the records, the newest ones if there are very many.
	All() []poison.Record
	// Merge applies records from elsewhere. origin is logged.
	Merge(records []poison.Record, origin string)
}

// Keeper stores the verdicts of one host's records and reads those of all. It must be created by NewKeeper.
type Keeper struct {
	// OnStored is called for each verdict that was written.
	OnStored func()

	store objectapi.Store
	table Table
	// owns reports whether this host is the one that acts for a key if several may.
	owns func(key string) bool
	// reachable reports whether calls of the store are expected to succeed.
	reachable func() bool
	now       func() time.Time
	wake      chan struct{}
	// known is set once this host has the verdicts of the store or of a host that has them.
	known atomic.Bool

	mu sync.Mutex
	// observed holds the fingerprints of requests under which servers ended at this host.
	observed map[poison.Fingerprint]bool

	// The rest is used by Run only.

	hasListed bool
	listedAt  time.Time
	retryAt   time.Time
	failing   bool
	stored    map[poison.Fingerprint]storedVerdict
	// suspectSince holds since when requests have been suspected.
	suspectSince map[poison.Fingerprint]time.Time
}

// storedVerdict is what the store has of a record: its verdict, and the number of ends from which that follows.
type storedVerdict struct {
	version objectapi.Version
	verdict poison.Verdict
	ends    int
}

func newStoredVerdict(version objectapi.Version, r poison.Record) storedVerdict {
	return storedVerdict{version: version, verdict: r.Verdict(), ends: r.UnclearedEnds()}
}

// NewKeeper returns a keeper of the records in table.
func NewKeeper(store objectapi.Store, table Table, owns func(key string) bool, reachable func() bool) *Keeper {
	return &Keeper{
		store: store, table: table, owns: owns, reachable: reachable, now: time.Now, wake: make(chan struct{}, 1), OnStored: func() {},
		observed: map[poison.Fingerprint]bool{}, stored: map[poison.Fingerprint]storedVerdict{}, suspectSince: map[poison.Fingerprint]time.Time{},
	}
}

// Observe records that a server ended under a request with these fingerprints at this host, which then stores the verdict.
func (k *Keeper) Observe(chain poison.Chain) {
	k.mu.Lock()
	for _, f := range chain {
		k.observed[f] = true
	}
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Known reports whether this host has the stored verdicts, from the store or from another host.
func (k *Keeper) Known() bool { return k.known.Load() }

// SetKnown records that this host has the verdicts of another host that has the stored ones.
func (k *Keeper) SetKnown() { k.known.Store(true) }

// Run reads the stored verdicts and stores new ones until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		k.check(ctx)
		select {
		case <-k.wake:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// check reads the store if that is due, and writes what differs. After a failed call it does nothing for retryDelay.
func (k *Keeper) check(ctx context.Context) {
	if k.now().Before(k.retryAt) || k.hasListed && !k.reachable() {
		return
	}
	err := k.list(ctx)
	if err == nil {
		err = k.storeAll(ctx)
	}
	switch {
	case err == nil:
		k.failing = false
	case ctx.Err() == nil:
		k.retryAt = k.now().Add(retryDelay)
		if !k.hasListed {
			k.retryAt = k.now().Add(checkInterval / 2) // the host does not serve before it has the verdicts
		}
		if !k.failing {
			logging.Emit(logging.VerdictsUnavailable, logging.Fields{"error": err})
		}
		k.failing = true
	}
}

// list reads the stored verdicts at the start, and at intervals if this host owns the kind.
func (k *Keeper) list(ctx context.Context) error {
	if k.hasListed && (k.now().Sub(k.listedAt) < sweepInterval || !k.owns(Kind)) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := k.store.List(ctx, Kind, "")
	if err != nil {
		return err
	}
	var records []poison.Record
	var expired []objectapi.Object
	for _, o := range objects {
		r, err := decode(o, k.now())
		switch {
		case err != nil:
			logging.Emit(logging.VerdictRejected, logging.Fields{"fingerprint": o.Name, "error": err})
		case r.Expired():
			expired = append(expired, o)
		default:
			records = append(records, r)
			k.stored[r.Fingerprint] = newStoredVerdict(o.Version, r)
		}
	}
	k.table.Merge(records, "store")
	if !k.hasListed {
		logging.Emit(logging.VerdictsRead, logging.Fields{"verdicts": len(records)})
	}
	k.hasListed, k.listedAt = true, k.now()
	k.known.Store(true)
	if !k.owns(Kind) {
		return nil
	}
	for _, o := range expired[:min(len(expired), maxDeletionsPerSweep)] {
		if err := k.delete(ctx, o.Name, o.Version); err != nil {
			return err
		}
	}
	return nil
}

// storeAll stores the verdicts that are not stored yet, and deletes those of requests that have run to their end since.
func (k *Keeper) storeAll(ctx context.Context) error {
	records := k.table.All()
	if len(records) == 0 && len(k.stored) == 0 {
		k.forget(nil)
		return nil
	}
	present := make(map[poison.Fingerprint]bool, len(records))
	for _, r := range records {
		present[r.Fingerprint] = true
		if err := k.storeVerdict(ctx, r); err != nil {
			return err
		}
	}
	k.forget(present)
	return nil
}

// storeVerdict writes or deletes the object of one record if this host is to do that.
func (k *Keeper) storeVerdict(ctx context.Context, r poison.Record) error {
	f, verdict := r.Fingerprint, r.Verdict()
	stored, isStored := k.stored[f]
	if verdict != poison.Suspect {
		delete(k.suspectSince, f)
	} else if _, ok := k.suspectSince[f]; !ok {
		k.suspectSince[f] = k.now()
	}
	k.mu.Lock()
	isObserver := k.observed[f]
	k.mu.Unlock()
	switch {
	case verdict == poison.Innocent && !isStored, verdict != poison.Innocent && verdict <= stored.verdict && r.UnclearedEnds() <= stored.ends:
		return nil
	case verdict == poison.Suspect && k.now().Sub(k.suspectSince[f]) < suspicionDelay:
		return nil
	case !isObserver && (r.Age < takeoverDelay || !k.owns(f.String())):
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if verdict == poison.Innocent {
		if err := k.delete(ctx, f.String(), stored.version); err != nil {
			return err
		}
		delete(k.stored, f)
		return nil
	}
	return k.write(ctx, r, stored.version)
}

// write creates the object of a record, or replaces the version that this host knows. If another host has written it, it
// applies that record; the next check then compares them again.
func (k *Keeper) write(ctx context.Context, r poison.Record, known objectapi.Version) error {
	value, err := encode(r, k.now())
	if err != nil {
		return err
	}
	name := r.Fingerprint.String()
	var version objectapi.Version
	if known == 0 {
		version, err = objectapi.CreateConfirmed(ctx, k.store, Kind, name, value)
	} else {
		version, err = objectapi.UpdateConfirmed(ctx, k.store, Kind, name, value, known)
	}
	switch {
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrNotFound):
		return k.reread(ctx, r.Fingerprint)
	case err != nil:
		return err
	}
	k.stored[r.Fingerprint] = newStoredVerdict(version, r)
	k.OnStored()
	logging.Emit(logging.VerdictStored, logging.Fields{"fingerprint": name, "ends": len(r.Ends), "quarantined": r.Verdict() == poison.Quarantined})
	return nil
}

// reread applies the record that another host has stored.
func (k *Keeper) reread(ctx context.Context, f poison.Fingerprint) error {
	o, err := k.store.Get(ctx, Kind, f.String())
	if errors.Is(err, objectapi.ErrNotFound) {
		delete(k.stored, f)
		return nil
	}
	if err != nil {
		return err
	}
	r, err := decode(o, k.now())
	if err != nil {
		logging.Emit(logging.VerdictRejected, logging.Fields{"fingerprint": o.Name, "error": err})
		k.stored[f] = storedVerdict{version: o.Version} // replaced by the next write
		return nil
	}
	k.table.Merge([]poison.Record{r}, "store")
	k.stored[f] = newStoredVerdict(o.Version, r)
	if r.Expired() {
		k.stored[f] = storedVerdict{version: o.Version}
	}
	return nil
}

// delete deletes an object unless it has changed.
func (k *Keeper) delete(ctx context.Context, name string, version objectapi.Version) error {
	err := k.store.Delete(ctx, Kind, name, version)
	if errors.Is(err, objectapi.ErrNotFound) || errors.Is(err, objectapi.ErrConflict) {
		return nil
	}
	return err
}

// forget drops what is kept for records that are no longer present.
func (k *Keeper) forget(present map[poison.Fingerprint]bool) {
	for f := range k.stored {
		if !present[f] {
			delete(k.stored, f)
		}
	}
	for f := range k.suspectSince {
		if !present[f] {
			delete(k.suspectSince, f)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for f := range k.observed {
		if !present[f] {
			delete(k.observed, f)
		}
	}
}
