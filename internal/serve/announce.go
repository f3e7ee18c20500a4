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

// announce keeps the instance listed in the store until the context ends.
func (in *Instance) announce(ctx context.Context) {
	var lease platform.Lease
	pause, retry := time.Duration(0), announceRetryMin
	for {
		select {
		case <-ctx.Done():
			in.withdraw(lease)
			return
		case <-in.storeRestores:
			pause = rand.N(time.Duration(in.instanceCount()) * announceSpacing)
			continue
		case <-time.After(pause):
		}
		var err error
		lease, err = in.announceOnce(ctx, lease)
		if err != nil {
			in.log.Log(events.AnnouncementFailed).Err(err).Send()
			pause, retry = retry, min(2*retry, renewInterval)
			continue
		}
		in.announced.Store(true)
		pause, retry = renewInterval, announceRetryMin
	}
}

// errLeaseLost means that the store was restored after a lease was granted.
const errLeaseLost = errors.ConstError("the store has lost the lease in a restore")

// announceOnce renews the lease, or writes the record under a new one if there is
// none, it has ended, or it is of an earlier era. It returns the lease in use.
func (in *Instance) announceOnce(ctx context.Context, lease platform.Lease) (platform.Lease, error) {
	if lease.ID != 0 && lease.Era >= in.storeEra() {
		era, err := in.store.Renew(ctx, lease.ID)
		if err == nil && era == lease.Era {
			in.storeLost.Store(false)
			return lease, nil
		}
		if err != nil && !errors.Is(err, platform.ErrLeaseExpired) {
			return lease, errors.Trace(err)
		}
	}
	lease, err := in.store.Grant(ctx, leaseTTL)
	if err != nil {
		return platform.Lease{}, errors.Trace(err)
	}
	value, err := json.Marshal(announcement{in.settings.Region, in.settings.Domain, in.settings.Listen.Peer, in.settings.Listen.Requests})
	if err != nil {
		return platform.Lease{}, errors.Trace(err)
	}
	era, err := in.store.Put(ctx, platform.InstanceKey(in.settings.Instance), value, lease.ID)
	if err == nil && era != lease.Era {
		err = errLeaseLost
	}
	if err != nil {
		return platform.Lease{}, errors.Trace(err)
	}
	return lease, nil
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
