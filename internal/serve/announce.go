package serve

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/platform"
)

const (
	// leaseTTL is how long the store lists an instance that has died. It may be
	// long, because other instances detect the death by missing heartbeats; the
	// list only serves for instances to find each other.
	leaseTTL = 30 * time.Second
	// renewInterval is the time between two renewals of the lease: a third of its
	// TTL.
	renewInterval = leaseTTL / 3
	// announceRetryMin is the first pause after a failed announcement. It doubles
	// up to renewInterval, which the lease outlasts.
	announceRetryMin = time.Second
	// announceSpacing is the mean time between the announcements of two instances
	// after a restore of the store. An announcement takes two writes.
	announceSpacing = 10 * time.Millisecond
)

// listing is the state of the instance's record in the store.
type listing struct {
	// lease is the lease to which the record is attached, or zero.
	lease platform.Lease
	// written is set if the record has been written. A write without a response may
	// still be executed, which is harmless as long as its lease is renewed.
	written bool
}

// announce keeps the instance listed in the store until the context ends.
func (in *Instance) announce(ctx context.Context) {
	var l listing
	pause, retry := time.Duration(0), announceRetryMin
	for {
		select {
		case <-ctx.Done():
			in.withdraw(l.lease)
			return
		case <-in.storeRestores:
			pause = rand.N(time.Duration(in.instanceCount()) * announceSpacing)
			continue
		case <-in.delisted:
			l.written = false
			pause = rand.N(time.Duration(in.instanceCount()) * announceSpacing)
			continue
		case <-time.After(pause):
		}
		var err error
		l, err = in.announceOnce(ctx, l)
		if err != nil {
			in.log.Log(events.AnnouncementFailed).Err(err).Send()
			pause, retry = retry, min(2*retry, renewInterval)
			continue
		}
		in.announced.Store(true)
		pause, retry = renewInterval, announceRetryMin
	}
}

// recordDeleted makes announce write the instance's record again. The record is lost
// although the instance renews its lease if the store has executed a write of an
// earlier process of the instance late, with the lease of that process.
func (in *Instance) recordDeleted() {
	select {
	case in.delisted <- struct{}{}:
	default:
	}
}

// checkListed makes announce write the instance's record again if the copy of the store is
// more recent than the last write and lacks the record. A copy that is fetched whole does
// not show that the record was deleted if it was neither in the copy before.
func (in *Instance) checkListed() {
	written := in.recordWritten.Load()
	if written != nil && in.copy.ConfirmedWithout(platform.InstanceKey(in.settings.Instance), *written) {
		in.recordWritten.CompareAndSwap(written, nil)
		in.recordDeleted()
	}
}

// errLeaseLost means that the store was restored after a lease was granted.
const errLeaseLost = errors.ConstError("the store has lost the lease in a restore")

// announceOnce renews the lease, or gets a new one if there is none, it has ended, or it
// is of an earlier era. It writes the record unless it is written under that lease.
// After a failed write the lease is kept for the next attempt: the store may execute
// the write late, and would attach the record to a lease that is not renewed.
func (in *Instance) announceOnce(ctx context.Context, l listing) (listing, error) {
	if l.lease.ID != 0 && l.lease.Era >= in.storeEra() {
		era, err := in.store.Renew(ctx, l.lease.ID)
		if err != nil && !errors.Is(err, platform.ErrLeaseExpired) {
			return l, errors.Trace(err)
		}
		if err == nil && era == l.lease.Era {
			if l.written {
				in.storeLost.Store(false)
				return l, nil
			}
			return in.writeRecord(ctx, l.lease)
		}
	}
	lease, err := in.store.Grant(ctx, leaseTTL)
	if err != nil {
		return listing{}, errors.Trace(err)
	}
	return in.writeRecord(ctx, lease)
}

// writeRecord writes the record of the instance under a lease.
func (in *Instance) writeRecord(ctx context.Context, lease platform.Lease) (listing, error) {
	value, err := json.Marshal(announcement{in.settings.Region, in.settings.Domain, in.settings.Listen.Peer, in.settings.Listen.Requests})
	if err != nil {
		return listing{lease: lease}, errors.Trace(err)
	}
	era, err := in.store.Put(ctx, platform.InstanceKey(in.settings.Instance), value, lease.ID)
	if err == nil && era != 0 && era != lease.Era {
		err = errLeaseLost
	}
	if errors.Is(err, platform.ErrLeaseExpired) || errors.Is(err, errLeaseLost) {
		return listing{}, errors.Trace(err)
	}
	if err != nil {
		return listing{lease: lease}, errors.Trace(err)
	}
	now := time.Now()
	in.recordWritten.Store(&now)
	return listing{lease: lease, written: true}, nil
}

// storeEra returns the era of the copy of the store.
func (in *Instance) storeEra() model.Era {
	at, _ := in.copy.Position(time.Now())
	return at.Era
}

// withdrawTimeout bounds the call that revokes the lease at shutdown.
const withdrawTimeout = 200 * time.Millisecond

// withdraw revokes the lease. One of an earlier era is left to expire, because its
// ID may stand for the lease of another instance.
func (in *Instance) withdraw(lease platform.Lease) {
	if lease.ID == 0 || lease.Era < in.storeEra() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := in.store.Revoke(ctx, lease.ID); err != nil {
		in.log.Log(events.AnnouncementFailed).Err(err).Str("during", "stop").Send()
	}
}
