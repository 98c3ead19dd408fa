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
	// until is when the store last answered.
	until time.Time
	// outageBegan and outageEnded bound the last time of more than outageThreshold without an answer.
	outageBegan, outageEnded time.Time
}

// observe records that the store has answered without a break from one time until the other.
func (c *storeContact) observe(from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.until.IsZero() && from.Sub(c.until) > outageThreshold {
		c.outageBegan, c.outageEnded = c.until, from
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
