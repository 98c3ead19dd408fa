package objectapi

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// confirmRetryDelay is the delay between two reads of an object whose write has an unknown outcome.
const confirmRetryDelay = 100 * time.Millisecond

// CreateConfirmed is Create with a definite outcome: if the answer is lost, it reads the object until the store
// answers. An object with exactly these bytes proves that the write took effect, so the value must contain a write
// ID. ErrConflict means that another writer created the object. An object that does not exist is written again.
// ErrOutcomeUnknown is returned only if ctx ends first.
func CreateConfirmed(ctx context.Context, s Store, kind, name string, value []byte) (Version, error) {
	return writeConfirmed(ctx, s, kind, name, value, 0, func() (Version, error) { return s.Create(ctx, kind, name, value) })
}

// UpdateConfirmed is Update with a definite outcome, in the same way as CreateConfirmed. An object that still
// has the expected version is written again.
func UpdateConfirmed(ctx context.Context, s Store, kind, name string, value []byte, expected Version) (Version, error) {
	return writeConfirmed(ctx, s, kind, name, value, expected, func() (Version, error) { return s.Update(ctx, kind, name, value, expected) })
}

// writeConfirmed repeats a write until its outcome is known. A repeated write can conflict with its own delayed
// first attempt; a conflict after a lost answer is therefore resolved by a read, too.
func writeConfirmed(ctx context.Context, s Store, kind, name string, value []byte, expected Version, write func() (Version, error)) (Version, error) {
	answerLost := false
	for {
		v, err := write()
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, ErrOutcomeUnknown):
			answerLost = true
		case !answerLost || !(errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable)):
			return 0, err
		}
		stored, readErr := readBack(ctx, s, kind, name)
		if readErr != nil {
			return 0, withSentinel(errors.Wrapf(readErr, "read back %s/%s", kind, name), ErrOutcomeUnknown)
		}
		if stored.Version != 0 && bytes.Equal(stored.Value, value) {
			return stored.Version, nil
		}
		if stored.Version != expected {
			return 0, errors.Wrapf(ErrConflict, "%s/%s has version %d, not %d", kind, name, stored.Version, expected)
		}
	}
}

// readBack reads the object until the store answers or ctx ends. An object that does not exist has version 0.
func readBack(ctx context.Context, s Store, kind, name string) (Object, error) {
	for {
		o, err := s.Get(ctx, kind, name)
		switch {
		case err == nil:
			return o, nil
		case errors.Is(err, ErrNotFound):
			return Object{}, nil
		case !errors.Is(err, ErrUnavailable):
			return Object{}, err
		}
		select {
		case <-time.After(confirmRetryDelay):
		case <-ctx.Done():
			return Object{}, ctx.Err()
		}
	}
}
