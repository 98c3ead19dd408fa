// Package objectapi is the client of the platform's object API and of its list of backend servers. The
// protocol is in docs/external-protocols.md.
package objectapi

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Kinds of objects that hyssopreel keeps in the store.
const (
	KindLease          = "leases"   // one per host, renewed often
	KindMember         = "members"  // one per host, changes rarely
	KindJournal        = "journal"  // segments of journals, "<journal>/<seq>"
	KindConfig         = "config"   // "current"
	KindTicket         = "tickets"  // bodies of tickets, "<number>-<tag>"
	KindOrderLease     = "orders"   // one lease per pool for the order manager
	KindPoolStatus     = "status"   // one per pool
	KindCacheReference = "kv-cache" // exported KV cache references
)

// MaxValueBytes is the size of the largest value that the platform's object API accepts.
const MaxValueBytes = 1 << 20

// Version identifies one state of an object and rises with every change. 0 means that the object does not exist.
type Version uint64

// Object is one stored object.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Value   []byte
}

// Change is one change of an object that a watch returns. A deleted object has Deleted set and no value.
type Change struct {
	Object
	Deleted bool
}

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the store could not be reached or rejected the call; nothing was written.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrOutcomeUnknown means that the answer to a write was lost; the write may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the object store write unknown")
	// ErrHistoryGone means that the store no longer has all changes after the revision of a watch; list again.
	ErrHistoryGone = errors.New("object store history is gone")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("object value too large")
)

// Store is the platform's object API. Each call, and each waiting watch, counts against the platform's rate limits.
type Store interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes an object that does not exist yet; it returns ErrConflict if the object exists.
	Create(ctx context.Context, kind, name string, value []byte) (Version, error)
	// Update replaces the object if its version is expected; otherwise it returns ErrConflict.
	Update(ctx context.Context, kind, name string, value []byte, expected Version) (Version, error)
	// Delete deletes the object if its version is expected or expected is 0. It returns ErrConflict for another version
	// and ErrNotFound if the object does not exist.
	Delete(ctx context.Context, kind, name string, expected Version) error
	// List returns the objects whose names begin with prefix, in name order, and the store's revision.
	List(ctx context.Context, kind, prefix string) ([]Object, Version, error)
	// Watch waits for changes after the revision and returns them with the new revision. It returns no changes and no
	// error if there are none within MaxWatchWait.
	Watch(ctx context.Context, kind, prefix string, after Version) ([]Change, Version, error)
}

// BackendState is the state of a backend server in the platform's list.
type BackendState string

const (
	BackendLive    BackendState = "live"
	BackendLeaving BackendState = "leaving"
)

// Backend is one backend server in the platform's list. The list lags behind the actual state of the servers.
type Backend struct {
	Name          string       `json:"name" msgpack:"name"`
	Pool          string       `json:"pool" msgpack:"pool"`
	Kind          string       `json:"kind" msgpack:"kind"` // "engine", "service" or "tool"
	Address       string       `json:"address" msgpack:"address"`
	FailureDomain string       `json:"failure_domain" msgpack:"failure_domain"`
	State         BackendState `json:"state" msgpack:"state"`
	// ChecksFencing is true for engines that reject orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing" msgpack:"checks_fencing"`
}

// BackendLister is the platform's list of live and leaving backend servers.
type BackendLister interface {
	Backends(ctx context.Context) ([]Backend, error)
}
