package objectapi

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

// Values of RelayRequest.Op.
const (
	RelayGet    = "get"
	RelayCreate = "create"
	RelayUpdate = "update"
	RelayDelete = "delete"
	RelayList   = "list"
)

// RelayRequest is the body of a wire.TypeStoreRelay frame: a store call that a peer makes for the sender.
type RelayRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	Op       string
	Kind     string
	// Name is the object's name, or the prefix of a list.
	Name     string
	Value    []byte
	Expected Version
}

// IsWrite reports whether the call changes the object.
func (r RelayRequest) IsWrite() bool { return r.Op != RelayGet && r.Op != RelayList }

// RelayAnswer is the answer to a RelayRequest.
type RelayAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 msgpack reads the tag
	// Error is a key of relayErrorsByName, relayErrorOther, or "" for success.
	Error   string
	Message string
	// Version is the version of a written object or the revision of a list.
	Version Version
	Objects []Object
}

const relayErrorOther = "other"

var relayErrorsByName = map[string]error{
	"not_found":       ErrNotFound,
	"conflict":        ErrConflict,
	"unavailable":     ErrUnavailable,
	"outcome_unknown": ErrOutcomeUnknown,
	"too_large":       ErrTooLarge,
}

// Err returns nil for success, otherwise an error with the peer's message that wraps the error of this package
// named by Error, if there is one.
func (a RelayAnswer) Err() error {
	if a.Error == "" {
		return nil
	}
	if t, ok := relayErrorsByName[a.Error]; ok {
		return withSentinel(errors.Newf("relayed call: %s", a.Message), t)
	}
	return errors.Newf("relayed call: %s", a.Message)
}

// ServeRelay makes a peer's call at s. Callers pass the host's local store, not its RelayStore, so that a call is
// relayed at most once.
func ServeRelay(ctx context.Context, s Store, r RelayRequest) RelayAnswer {
	var a RelayAnswer
	var err error
	switch r.Op {
	case RelayGet:
		var o Object
		if o, err = s.Get(ctx, r.Kind, r.Name); err == nil {
			a.Objects = []Object{o}
		}
	case RelayCreate:
		a.Version, err = s.Create(ctx, r.Kind, r.Name, r.Value)
	case RelayUpdate:
		a.Version, err = s.Update(ctx, r.Kind, r.Name, r.Value, r.Expected)
	case RelayDelete:
		err = s.Delete(ctx, r.Kind, r.Name, r.Expected)
	case RelayList:
		a.Objects, a.Version, err = s.List(ctx, r.Kind, r.Name)
	default:
		err = errors.Newf("unknown operation %q", r.Op)
	}
	if err != nil {
		a.Message, a.Error = err.Error(), relayErrorOther
		for name, t := range relayErrorsByName {
			if errors.Is(err, t) {
				a.Error = name
			}
		}
	}
	return a
}

// RelayFunc makes a store call through a peer that has access to the store. Its error is that of the exchange with
// the peer: ErrUnavailable if the peer certainly did not execute the call, any other error if it may have.
type RelayFunc func(ctx context.Context, r RelayRequest) (RelayAnswer, error)

// RelayStore is a Store that tries the local store first and relays a call through a peer only if the local store is
// unavailable. Watches are not relayed: a host without access to the store reads with Get and List.
type RelayStore struct {
	Local Store
	// RelayToPeer may be nil; then nothing is relayed.
	RelayToPeer RelayFunc
	// LocalUnavailable, if set, reports whether the local store is already known to be unavailable. A call is then
	// relayed at once instead of after the local timeout, and goes to the local store only if no peer executed it.
	LocalUnavailable func() bool
}

// relayFirst relays the call if the local store is already known to be unavailable. done is false if the call was
// not executed and should be made at the local store.
func (s *RelayStore) relayFirst(ctx context.Context, r RelayRequest, write bool) (a RelayAnswer, done bool, err error) {
	if s.LocalUnavailable == nil || s.RelayToPeer == nil || !s.LocalUnavailable() {
		return a, false, nil
	}
	a, err = s.relay(ctx, r, write)
	return a, !errors.Is(err, ErrUnavailable), err
}

var _ Store = (*RelayStore)(nil)

// shouldRelay reports whether a call that returned err at the local store is relayed. A write with an unknown
// outcome is not: the relayed write could conflict with the local one.
func (s *RelayStore) shouldRelay(ctx context.Context, err error) bool {
	return errors.Is(err, ErrUnavailable) && s.RelayToPeer != nil && ctx.Err() == nil
}

func (s *RelayStore) relay(ctx context.Context, r RelayRequest, write bool) (RelayAnswer, error) {
	a, err := s.RelayToPeer(ctx, r)
	fields := logging.Fields{"operation": r.Op, "object": r.Kind + "/" + r.Name}
	if err != nil {
		fields["error"] = err
	}
	logging.Emit(logging.StoreCallRelayed, fields)
	if err == nil {
		return a, a.Err()
	}
	mapped := ErrUnavailable
	if write && !errors.Is(err, ErrUnavailable) {
		mapped = ErrOutcomeUnknown
	}
	return a, withSentinel(errors.Wrapf(err, "relay %s of %s/%s", r.Op, r.Kind, r.Name), mapped)
}

// Get implements Store.
func (s *RelayStore) Get(ctx context.Context, kind, name string) (Object, error) {
	r := RelayRequest{Op: RelayGet, Kind: kind, Name: name}
	a, done, err := s.relayFirst(ctx, r, false)
	if !done {
		var o Object
		if o, err = s.Local.Get(ctx, kind, name); !s.shouldRelay(ctx, err) {
			return o, err
		}
		a, err = s.relay(ctx, r, false)
	}
	if err != nil {
		return Object{}, err
	}
	if len(a.Objects) != 1 {
		return Object{}, withSentinel(errors.Newf("relayed get of %s/%s returned %d objects, not 1", kind, name, len(a.Objects)), ErrUnavailable)
	}
	return a.Objects[0], nil
}

// relayWrite makes a write with local and relays it if the local store is unavailable, unless relayFirst executed it.
func (s *RelayStore) relayWrite(ctx context.Context, r RelayRequest, local func() (Version, error)) (Version, error) {
	a, done, err := s.relayFirst(ctx, r, true)
	if done {
		return a.Version, err
	}
	v, err := local()
	if !s.shouldRelay(ctx, err) {
		return v, err
	}
	a, err = s.relay(ctx, r, true)
	return a.Version, err
}

// Create implements Store.
func (s *RelayStore) Create(ctx context.Context, kind, name string, value []byte) (Version, error) {
	r := RelayRequest{Op: RelayCreate, Kind: kind, Name: name, Value: value}
	return s.relayWrite(ctx, r, func() (Version, error) { return s.Local.Create(ctx, kind, name, value) })
}

// Update implements Store.
func (s *RelayStore) Update(ctx context.Context, kind, name string, value []byte, expected Version) (Version, error) {
	r := RelayRequest{Op: RelayUpdate, Kind: kind, Name: name, Value: value, Expected: expected}
	return s.relayWrite(ctx, r, func() (Version, error) { return s.Local.Update(ctx, kind, name, value, expected) })
}

// Delete implements Store.
func (s *RelayStore) Delete(ctx context.Context, kind, name string, expected Version) error {
	r := RelayRequest{Op: RelayDelete, Kind: kind, Name: name, Expected: expected}
	_, err := s.relayWrite(ctx, r, func() (Version, error) { return 0, s.Local.Delete(ctx, kind, name, expected) })
	return err
}

// List implements Store. The answer to a relayed list must fit into one frame.
func (s *RelayStore) List(ctx context.Context, kind, prefix string) ([]Object, Version, error) {
	r := RelayRequest{Op: RelayList, Kind: kind, Name: prefix}
	a, done, err := s.relayFirst(ctx, r, false)
	if !done {
		o, v, err := s.Local.List(ctx, kind, prefix)
		if !s.shouldRelay(ctx, err) {
			return o, v, err
		}
		a, err = s.relay(ctx, r, false)
		return a.Objects, a.Version, err
	}
	return a.Objects, a.Version, err
}

// Watch implements Store. It watches the local store only.
func (s *RelayStore) Watch(ctx context.Context, kind, prefix string, after Version) ([]Change, Version, error) {
	return s.Local.Watch(ctx, kind, prefix, after)
}
