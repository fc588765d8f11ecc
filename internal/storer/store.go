package storer

import (
	"context"
	"time"
)

// MaxValueSize is the largest value in bytes that the store holds.
const MaxValueSize = 1 << 20

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// CreateRevision and ModRevision are the revisions at which the key was created
	// and last modified. Version counts the modifications since the creation; it
	// is 0 if the store does not report it.
	CreateRevision int64
	ModRevision    int64
	Version        int64
	// Lease is the lease that the key is attached to, or 0.
	Lease int64
}

// Store is the platform's metadata store. All methods are safe for concurrent use
// and return within the earlier of ctx's deadline and the store's own.
type Store interface {
	// Get returns the entry and whether it exists.
	Get(ctx context.Context, key string) (Entry, bool, error)
	// List returns the entries with the prefix in ascending order of keys and
	// the revision of the store at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Commit runs the transaction atomically. A write whose response was lost
	// returns an UnknownOutcomeError.
	Commit(ctx context.Context, tx Transaction) (Result, error)
	// GrantLease returns the id of a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews the lease and returns its remaining time. It returns
	// ErrLeaseNotFound when the lease has expired.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke ends the lease.
	Revoke(ctx context.Context, lease int64) error
	// Watch reports changes of keys with the prefix from the revision on,
	// until ctx ends or the watch fails. It returns once the store has
	// confirmed the watch.
	Watch(ctx context.Context, prefix string, from int64) (*Watch, error)
}

// Result is the outcome of a transaction.
type Result struct {
	// Succeeded reports whether all compares held and the operations ran.
	Succeeded bool
	// Revision is the revision of the store after the transaction.
	Revision int64
}

// StaleLister is implemented by stores that can list stale entries at a lower cost.
type StaleLister interface {
	// ListStale is List with a result that may be seconds old.
	ListStale(ctx context.Context, prefix string) ([]Entry, int64, error)
}

// Poller is implemented by stores that tell at once what has changed, without a watch. The
// answer is linearizable.
type Poller interface {
	// Poll returns the changes of keys with the prefix at the revision from or later, and
	// the revision up to which it looked. It returns a [CompactedError] if the store does
	// not have that history any more.
	Poll(ctx context.Context, prefix string, from int64) (Batch, error)
}
