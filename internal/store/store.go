// Package store defines the interface to the platform's key-value store, which
// holds all state that must outlast the processes of the system.
package store

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// MaxValueBytes is the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// The errors of a Store. A call may also return the context's error.
const (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.ConstError("key not found")
	// ErrUnavailable means that the store gave no usable response. A write may or
	// may not have taken effect.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.ConstError("value too large for the store")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.ConstError("lease expired")
)

// Revision is the store's modification counter of a key. It identifies one state
// of the key only within an era: after a restore from a backup the store continues
// with the revisions of the backup and assigns later ones a second time.
type Revision int64

// Absent is the expected revision of a key that must not exist.
const Absent Revision = 0

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// KeyValue is one key with its value.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision Revision
	// Era is the era of the store in which the call was executed, or 0 if the
	// store does not report eras. List does not set it.
	Era model.Era
}

// SwapResult is the result of a compare-and-swap.
type SwapResult struct {
	// Swapped reports whether the write took effect.
	Swapped bool
	// Current is the key's state after the call. Its revision is Absent if the
	// key does not exist.
	Current KeyValue
}

// Store is the platform's key-value store.
type Store interface {
	// Get returns the key's value, or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns all keys with the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// CompareAndSwap writes value if the key's revision equals expected, where
	// Absent means that the key must not exist. A nil value deletes the key. The
	// key is removed when the lease ends; with a zero lease it is kept. After
	// ErrUnavailable the write may or may not have taken effect, or may take
	// effect later. If the store was restored since the expected revision was
	// read, the write may succeed on another value. The era in the result then
	// differs from that of the read.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (SwapResult, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its time to live, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease, which removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until the key's revision is greater than after and returns the
	// key's state. It returns the context's error if the context ends first. A
	// waiting watch counts as one call of the store.
	Watch(ctx context.Context, key string, after Revision) (KeyValue, error)
}
