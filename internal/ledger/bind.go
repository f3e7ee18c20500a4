package ledger

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"jujubestile.example/jujubestile/internal/store"
)

const (
	// bindingWrites is the maximum rate of store writes for opaque keys, in
	// writes per second. 20 instances x 15 stay below the store's capacity of
	// several hundred.
	bindingWrites = 15
	// bindingReads is the maximum rate of store reads per second while the
	// write rate is exhausted.
	bindingReads = 30
	// bindingLease is how long the store keeps a binding: one epoch, during which
	// new bindings use the lease, the time for which the bound keys are accepted,
	// and a margin for clock drift.
	bindingLease = (epochsKept+1)*epochLength + time.Minute
	// maxBindings limits each of the two generations of cached bindings.
	maxBindings = 16 << 10
	// storeTimeout is the timeout of one store call. It allows for a store in a
	// distant region.
	storeTimeout = time.Second
	bindAttempts = 3
	bindBackoff  = 20 * time.Millisecond
	// bindingPrefix is the prefix of a binding's key in the store. The ID of the
	// opaque key, in hexadecimal, follows it.
	bindingPrefix = "ledger/"
)

// binding is the value in the store that binds an opaque key to a structured
// key and thereby to an instance.
type binding struct {
	// Key is the structured key that replaces the opaque key.
	Key string `json:"key"`
	// Token makes the value differ from those written by other claims.
	Token string `json:"token"`
}

// binder binds opaque keys, whose form the caller chooses, to structured keys by a
// compare-and-swap in the store.
type binder struct {
	l      *Ledger
	writes *rate.Limiter
	reads  *rate.Limiter

	mu sync.Mutex
	// current and previous are the two generations of cached bindings.
	current, previous map[ID]Key
	rotated           time.Time

	// leaseMu guards the lease. It is held during the store call that creates
	// one.
	leaseMu    sync.Mutex
	lease      store.LeaseID
	leaseEpoch uint64
	leaseStart time.Time
}

func newBinder(l *Ledger) *binder {
	return &binder{
		l:       l,
		writes:  rate.NewLimiter(bindingWrites, bindingWrites),
		reads:   rate.NewLimiter(bindingReads, bindingReads),
		current: map[ID]Key{},
		rotated: time.Now(),
	}
}

// bind returns the structured key that replaces the opaque key.
func (b *binder) bind(ctx context.Context, key string) (Key, error) {
	id := IDOf(key)
	if k, ok := b.cached(id); ok {
		return k, nil
	}
	if b.l.cfg.Store == nil {
		return Key{}, refuse(ReasonUnbound)
	}
	k, found, err := b.createOrRead(ctx, id)
	if err != nil || !found {
		refusal := refuse(ReasonUnbound)
		refusal.NoBinding = err == nil
		return Key{}, refusal
	}
	b.remember(id, k)
	return k, nil
}

// createOrRead creates the binding if none exists. It only reads it while the
// write rate is exhausted.
func (b *binder) createOrRead(ctx context.Context, id ID) (Key, bool, error) {
	storeKey := bindingPrefix + hex.EncodeToString(id[:])
	if !b.writes.Allow() {
		if !b.reads.Allow() {
			return Key{}, false, errors.Trace(store.ErrUnavailable)
		}
		return b.read(ctx, storeKey)
	}
	k, err := b.create(ctx, storeKey, id)
	if err == nil {
		return k, true, nil
	}
	return b.readBack(ctx, storeKey)
}

// readBack reads the binding after a failed write, whose response may have been
// lost. If no binding exists, the write may still take effect later. It then
// binds the key to this incarnation, which has not run it.
func (b *binder) readBack(ctx context.Context, storeKey string) (Key, bool, error) {
	var err error
	for attempt := range bindAttempts {
		if !sleep(ctx, bindBackoff<<attempt) {
			break
		}
		var k Key
		var found bool
		if k, found, err = b.read(ctx, storeKey); err == nil {
			return k, found, nil
		}
	}
	return Key{}, false, errors.Trace(store.ErrUnavailable)
}

func (b *binder) read(ctx context.Context, storeKey string) (Key, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, err := b.l.cfg.Store.Get(ctx, storeKey)
	if errors.Is(err, store.ErrNotFound) {
		return Key{}, false, nil
	}
	if err != nil {
		return Key{}, false, errors.Trace(err)
	}
	k, err := parseBinding(kv.Value)
	return k, err == nil, err
}

func (b *binder) create(ctx context.Context, storeKey string, id ID) (Key, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k, lease, err := b.boundKey(ctx, id)
	if err != nil {
		return Key{}, err
	}
	value, err := json.Marshal(binding{Key: k.String(), Token: fmt.Sprint(b.l.token())})
	if err != nil {
		return Key{}, errors.Trace(err)
	}
	res, err := b.l.cfg.Store.CompareAndSwap(ctx, storeKey, store.Absent, value, lease)
	if errors.Is(err, store.ErrLeaseExpired) {
		b.dropLease(lease)
	}
	if err != nil {
		return Key{}, errors.Trace(err)
	}
	if res.Swapped {
		return k, nil
	}
	return parseBinding(res.Current.Value)
}

func parseBinding(value []byte) (Key, error) {
	var v binding
	if err := json.Unmarshal(value, &v); err != nil {
		return Key{}, errors.Trace(err)
	}
	k, ok := ParseKey(v.Key)
	if !ok {
		return Key{}, errors.NotValidf("binding to key %q", v.Key)
	}
	return k, nil
}

// boundKey returns the structured key of the current epoch for an opaque key,
// and a lease that outlives that epoch. There is one lease for each epoch.
func (b *binder) boundKey(ctx context.Context, id ID) (Key, store.LeaseID, error) {
	prefix := b.l.Prefix()
	k, ok := ParseKey(prefix + hex.EncodeToString(id[:]))
	if !ok {
		return Key{}, 0, errors.NotValidf("prefix %q", prefix)
	}
	b.leaseMu.Lock()
	defer b.leaseMu.Unlock()
	fresh := time.Since(b.leaseStart) < epochLength
	if b.lease != 0 && b.leaseEpoch == k.Epoch && fresh {
		return k, b.lease, nil
	}
	start := time.Now()
	lease, err := b.l.cfg.Store.Grant(ctx, bindingLease)
	if err != nil {
		return Key{}, 0, errors.Trace(err)
	}
	b.lease, b.leaseEpoch, b.leaseStart = lease, k.Epoch, start
	return k, lease, nil
}

// dropLease makes the next binding create a new lease.
func (b *binder) dropLease(lease store.LeaseID) {
	b.leaseMu.Lock()
	defer b.leaseMu.Unlock()
	if b.lease == lease {
		b.lease = 0
	}
}

func (b *binder) cached(id ID) (Key, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate()
	if k, ok := b.current[id]; ok {
		return k, true
	}
	k, ok := b.previous[id]
	return k, ok
}

func (b *binder) remember(id ID, k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotate()
	b.current[id] = k
}

// rotate starts a new generation of cached bindings, and discards the older of
// the two, once per epochLength or when the current generation is full.
func (b *binder) rotate() {
	old := time.Since(b.rotated) >= epochLength
	if old || len(b.current) >= maxBindings {
		b.previous, b.current = b.current, map[ID]Key{}
		b.rotated = time.Now()
	}
}
