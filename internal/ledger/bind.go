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
	// bindingWrites is the store writes a second for keys of the caller's own
	// form. 20 instances x 15 stay below the store's several hundred.
	bindingWrites = 15
	// bindingReads is the reads a second when the writes are spent.
	bindingReads = 30
	// bindingLease is how long the store keeps a binding: one epoch in which
	// the lease is used and the time for which its keys are accepted, and a
	// margin for the clocks' rates.
	bindingLease = (epochsKept+1)*epochLength + time.Minute
	// maxBindings bounds each of the two generations of cached bindings.
	maxBindings = 16 << 10
	// storeTimeout bounds one call of the store, from a far region.
	storeTimeout = time.Second
	bindAttempts = 3
	bindBackoff  = 20 * time.Millisecond
	// bindingPrefix is followed by the key's hash in hexadecimal.
	bindingPrefix = "ledger/"
)

// binding is the value in the store that binds a key of the caller's own form
// to an instance.
type binding struct {
	// Key is the bound key, which then stands for the caller's key.
	Key string `json:"key"`
	// Token tells the write of this claim from those of others.
	Token string `json:"token"`
}

// binder binds keys of the caller's own form by compare-and-swap.
type binder struct {
	l      *Ledger
	writes *rate.Limiter
	reads  *rate.Limiter

	mu sync.Mutex
	// current and previous cache bindings that were read from the store.
	current, previous map[ID]Key
	turned            time.Time

	// leaseMu is held during a call of the store. It guards the lease.
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
		turned:  time.Now(),
	}
}

// bind returns the bound key that stands for the caller's key.
func (b *binder) bind(ctx context.Context, key string) (Key, error) {
	id := IDOf(key)
	if k, ok := b.cached(id); ok {
		return k, nil
	}
	if b.l.cfg.Store == nil {
		return Key{}, refuse(ReasonUnbound)
	}
	k, found, err := b.fromStore(ctx, id)
	if err != nil || !found {
		refusal := refuse(ReasonUnbound)
		refusal.NoBinding = err == nil
		return Key{}, refusal
	}
	b.remember(id, k)
	return k, nil
}

// fromStore creates the binding, or only reads it when the write budget is
// spent.
func (b *binder) fromStore(ctx context.Context, id ID) (Key, bool, error) {
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

// readBack learns whether a write took effect whose response was lost. That
// the key does not exist is no proof: the write may still be on its way, but
// it binds the key to this incarnation, which then has not run it.
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
	k, lease, err := b.leased(ctx, id)
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

// leased returns the key's bound form in the current epoch and a lease that
// outlives that epoch. There is one lease for each epoch.
func (b *binder) leased(ctx context.Context, id ID) (Key, store.LeaseID, error) {
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

// dropLease makes the next binding use a new lease.
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
	b.turn()
	if k, ok := b.current[id]; ok {
		return k, true
	}
	k, ok := b.previous[id]
	return k, ok
}

func (b *binder) remember(id ID, k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
	b.current[id] = k
}

// turn discards bindings after two epochs, or when there are too many.
func (b *binder) turn() {
	old := time.Since(b.turned) >= epochLength
	if old || len(b.current) >= maxBindings {
		b.previous, b.current = b.current, map[ID]Key{}
		b.turned = time.Now()
	}
}
