// Package standin implements in-process stand-ins for the platform: its
// key-value store, its instance list and its endpoints, as the daemon's command
// run expects them. Only tests and the demo use them. The stand-ins for the
// interfaces that the command serve expects are in platform/standin.
package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// Rate limits of the platform's store, in calls per second.
const (
	StoreReadsPerSecond  = 2000
	StoreWritesPerSecond = 400
)

// KV is an in-memory stand-in for the platform's store that can inject faults.
// It implements store.Store.
type KV struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	era     model.Era
	rev     store.Revision
	keys    map[string]entry
	leases  map[store.LeaseID]lease
	nextID  store.LeaseID
	changed chan struct{}
	faults  Faults
	stats   Stats
}

type entry struct {
	value []byte
	rev   store.Revision
	lease store.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Faults selects the failures that a KV simulates. The zero value simulates none.
type Faults struct {
	// Down fails each call with ErrUnavailable and without effect.
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// DropWriteResponses is the number of next compare-and-swap calls that take
	// effect but return ErrUnavailable.
	DropWriteResponses int
	// Unlimited disables the rate limits.
	Unlimited bool
}

// Stats counts the calls that a KV has served, and those it has refused because
// of an outage or a rate limit.
type Stats struct {
	Reads, Writes, Watches, Refused int
	// WaitingWatches is the number of watches that are waiting.
	WaitingWatches int
}

// NewKV returns an empty store.
func NewKV() *KV {
	return &KV{
		reads:   rate.NewLimiter(StoreReadsPerSecond, StoreReadsPerSecond),
		writes:  rate.NewLimiter(StoreWritesPerSecond, StoreWritesPerSecond),
		keys:    make(map[string]entry),
		leases:  make(map[store.LeaseID]lease),
		changed: make(chan struct{}),
		era:     1,
	}
}

// SetFaults replaces the simulated failures. It wakes waiting watches, so that they
// notice an outage.
func (k *KV) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.notifyWatchers()
}

// Stats returns a copy of the counters.
func (k *KV) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats
}

// Snapshot returns a copy of all keys and values, without leases, for Restore.
func (k *KV) Snapshot() map[string][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string][]byte, len(k.keys))
	for key, e := range k.keys {
		out[key] = slices.Clone(e.value)
	}
	return out
}

// Restore replaces all keys with those of the snapshot and begins an era, as a
// restore from a backup does. Unlike that of the platform's store, it assigns no
// revision a second time.
func (k *KV) Restore(snapshot map[string][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.era++
	k.keys = make(map[string]entry, len(snapshot))
	for key, v := range snapshot {
		k.rev++
		k.keys[key] = entry{value: slices.Clone(v), rev: k.rev}
	}
	k.notifyWatchers()
}

// Get implements store.Store.
func (k *KV) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if err := k.admitCall(ctx, k.reads); err != nil {
		return store.KeyValue{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Reads++
	kv := k.lookup(key)
	if kv.Revision == store.Absent {
		return kv, store.ErrNotFound
	}
	return kv, nil
}

// List implements store.Store.
func (k *KV) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	if err := k.admitCall(ctx, k.reads); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Reads++
	k.expireLeases()
	var out []store.KeyValue
	for key := range k.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, k.lookup(key))
		}
	}
	slices.SortFunc(out, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// CompareAndSwap implements store.Store.
func (k *KV) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, id store.LeaseID) (store.SwapResult, error) {
	if len(value) > store.MaxValueBytes {
		return store.SwapResult{}, store.ErrTooLarge
	}
	if err := k.admitCall(ctx, k.writes); err != nil {
		return store.SwapResult{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Writes++
	k.expireLeases()
	if _, ok := k.leases[id]; id != 0 && !ok {
		return store.SwapResult{}, store.ErrLeaseExpired
	}
	swapped := k.lookup(key).Revision == expected
	if swapped {
		k.put(key, value, id)
	}
	if k.faults.DropWriteResponses > 0 {
		k.faults.DropWriteResponses--
		return store.SwapResult{}, store.ErrUnavailable
	}
	return store.SwapResult{Swapped: swapped, Current: k.lookup(key)}, nil
}

// Grant implements store.Store.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := k.admitCall(ctx, k.writes); err != nil {
		return 0, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Writes++
	k.nextID++
	k.leases[k.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return k.nextID, nil
}

// KeepAlive implements store.Store.
func (k *KV) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := k.admitCall(ctx, k.writes); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Writes++
	k.expireLeases()
	l, ok := k.leases[id]
	if !ok {
		return store.ErrLeaseExpired
	}
	l.expires = time.Now().Add(l.ttl)
	k.leases[id] = l
	return nil
}

// Revoke implements store.Store.
func (k *KV) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := k.admitCall(ctx, k.writes); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Writes++
	k.deleteLease(id)
	return nil
}

// Watch implements store.Store.
func (k *KV) Watch(ctx context.Context, key string, after store.Revision) (store.KeyValue, error) {
	if err := k.admitCall(ctx, k.reads); err != nil {
		return store.KeyValue{}, err
	}
	k.countWatch(1)
	defer k.countWatch(-1)
	for {
		kv, changed, err := k.peek(key)
		if err != nil {
			return store.KeyValue{}, err
		}
		if kv.Revision > after {
			return kv, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.KeyValue{}, ctx.Err()
		}
	}
}

func (k *KV) peek(key string) (store.KeyValue, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Down {
		return store.KeyValue{}, nil, store.ErrUnavailable
	}
	k.expireLeases()
	return k.lookup(key), k.changed, nil
}

func (k *KV) countWatch(d int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.WaitingWatches += d
	if d > 0 {
		k.stats.Watches++
	}
}

// admitCall applies the delay, an outage and the rate limit to a call.
func (k *KV) admitCall(ctx context.Context, limit *rate.Limiter) error {
	k.mu.Lock()
	f := k.faults
	k.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Down || !f.Unlimited && !limit.Allow() {
		k.mu.Lock()
		k.stats.Refused++
		k.mu.Unlock()
		return store.ErrUnavailable
	}
	return nil
}

// The methods below are called with mu held.

func (k *KV) lookup(key string) store.KeyValue {
	e, ok := k.keys[key]
	if !ok {
		return store.KeyValue{Key: key, Era: k.era}
	}
	return store.KeyValue{Key: key, Value: slices.Clone(e.value), Revision: e.rev, Era: k.era}
}

func (k *KV) put(key string, value []byte, id store.LeaseID) {
	k.rev++
	if value == nil {
		delete(k.keys, key)
	} else {
		k.keys[key] = entry{value: slices.Clone(value), rev: k.rev, lease: id}
	}
	k.notifyWatchers()
}

func (k *KV) notifyWatchers() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KV) expireLeases() {
	now := time.Now()
	for id, l := range k.leases {
		if now.After(l.expires) {
			k.deleteLease(id)
		}
	}
}

func (k *KV) deleteLease(id store.LeaseID) {
	delete(k.leases, id)
	for key, e := range k.keys {
		if e.lease == id {
			k.put(key, nil, 0)
		}
	}
}
