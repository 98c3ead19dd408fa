package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

// storeContact records when the store is known to have answered: this host, or a peer that lists it at intervals. A watch
// that waits through an outage doesn't fail, so that its answer alone doesn't show that there was one. It is safe for
// concurrent use.
type storeContact struct {
	// onOutage is called when an informer finds that the store did not answer; nil is not called.
	onOutage func()

	mu sync.Mutex
	// since and until bound the last time in which the store answered without a break of more than outageThreshold.
	since, until time.Time
	// outageBegan and outageEnded bound the last time of more than outageThreshold without an answer.
	outageBegan, outageEnded time.Time
	// ranAt is when tick was last called, and pauseBegan and pauseEnded bound the last time in which it should have been and
	// was not.
	ranAt, pauseBegan, pauseEnded time.Time
}

// minPause is the time without a tick after which the process has not run: several of its intervals.
const minPause = 2 * sweepInterval

// tick records that the process runs. It is called every sweepInterval; a host that did not run, for instance because it
// was suspended, has missed the answers of that time.
func (c *storeContact) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPause(now)
	c.ranAt = now
}

// recordPause records a pause that has just ended; c.mu is held.
func (c *storeContact) recordPause(now time.Time) {
	if !c.ranAt.IsZero() && now.Sub(c.ranAt) >= minPause {
		c.pauseBegan, c.pauseEnded = c.ranAt, now
	}
}

// paused returns how long the process did not run between two times, as far as is known of the last pause; c.mu is held.
func (c *storeContact) paused(from, until time.Time) time.Duration {
	if from.Before(c.pauseBegan) {
		from = c.pauseBegan
	}
	if until.After(c.pauseEnded) {
		until = c.pauseEnded
	}
	return max(until.Sub(from), 0)
}

// silence returns how long this process has run between two times; a nil storeContact knows of no pause.
func (c *storeContact) ranFor(from, until time.Time) time.Duration {
	if c == nil {
		return until.Sub(from)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPause(until)
	return until.Sub(from) - c.paused(from, until)
}

// answeredSince returns since when the store has answered without a break, by its last answer; now if contact is nil.
func (c *storeContact) answeredSince(now time.Time) time.Time {
	if c == nil {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() {
		return now
	}
	return c.since
}

// observe records that the store has answered without a break from one time until the other.
func (c *storeContact) observe(from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPause(time.Now())
	switch gap := from.Sub(c.until); {
	case c.until.IsZero():
		c.since = from
	case gap > outageThreshold:
		if gap-c.paused(c.until, from) > outageThreshold {
			c.outageBegan, c.outageEnded = c.until, from
		}
		c.since = from
	case from.Before(c.since) && until.After(c.since):
		c.since = from
	}
	if from.Before(c.outageBegan) && until.After(c.outageEnded) {
		c.outageBegan, c.outageEnded = time.Time{}, time.Time{} // only this host had no answer
	}
	if until.After(c.until) {
		c.until = until
	}
}

// recoveredWithin returns when the last outage began and how long it lasted, if it has ended within d.
func (c *storeContact) recoveredWithin(now time.Time, d time.Duration) (began time.Time, duration time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outageBegan, c.outageEnded.Sub(c.outageBegan), !c.outageEnded.IsZero() && now.Sub(c.outageEnded) < d
}

// contactStore records the answers of a store.
type contactStore struct {
	objectapi.Store
	contact *storeContact
}

func (s *contactStore) record(err error) {
	if err == nil || errors.Is(err, objectapi.ErrNotFound) || errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrHistoryGone) {
		now := time.Now()
		s.contact.observe(now, now)
	}
}

// Get implements objectapi.Store.
func (s *contactStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	s.record(err)
	return o, err
}

// Create implements objectapi.Store.
func (s *contactStore) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	v, err := s.Store.Create(ctx, kind, name, value)
	s.record(err)
	return v, err
}

// Update implements objectapi.Store.
func (s *contactStore) Update(ctx context.Context, kind, name string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	v, err := s.Store.Update(ctx, kind, name, value, expected)
	s.record(err)
	return v, err
}

// Delete implements objectapi.Store.
func (s *contactStore) Delete(ctx context.Context, kind, name string, expected objectapi.Version) error {
	err := s.Store.Delete(ctx, kind, name, expected)
	s.record(err)
	return err
}

// List implements objectapi.Store.
func (s *contactStore) List(ctx context.Context, kind, prefix string) ([]objectapi.Object, objectapi.Version, error) {
	objects, v, err := s.Store.List(ctx, kind, prefix)
	s.record(err)
	return objects, v, err
}

// Watch implements objectapi.Store.
func (s *contactStore) Watch(ctx context.Context, kind, prefix string, after objectapi.Version) ([]objectapi.Change, objectapi.Version, error) {
	changes, v, err := s.Store.Watch(ctx, kind, prefix, after)
	s.record(err)
	return changes, v, err
}
