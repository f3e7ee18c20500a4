package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// deferredPerMember and deferredMin determine DeferredUpdateInterval. A
	// change costs each instance about 1 KB sent and 1 KB received
	// (TestTraffic), so that deferred updates take at most 2 KB/s with any
	// number of members, even if all of them change a field in each interval.
	deferredPerMember = time.Second
	deferredMin       = 2 * time.Second
)

// DeferredUpdateInterval returns the mean interval between updates of a member's
// record that are not urgent. The longest interval is 1.5 times as long. The
// interval grows with the number of members, because some fields, for example the
// rules revision, change at all members at the same time.
func DeferredUpdateInterval(members int) time.Duration {
	return max(deferredMin, time.Duration(members)*deferredPerMember)
}

// deferredUpdates has the changed fields that wait for the next deferred update.
type deferredUpdates struct {
	keyPrefix     *string
	rulesRevision *uint64
	loadClass     *uint8
	next          time.Time
}

// apply moves the waiting fields into a record.
func (d *deferredUpdates) apply(m *Member) {
	moveIfSet(&m.KeyPrefix, &d.keyPrefix)
	moveIfSet(&m.RulesRevision, &d.rulesRevision)
	moveIfSet(&m.LoadClass, &d.loadClass)
}

func moveIfSet[T any](to *T, from **T) {
	if *from != nil {
		*to = **from
		*from = nil
	}
}

// wouldChange reports whether apply would change a record.
func (d *deferredUpdates) wouldChange(m Member) bool {
	before := m
	waiting := *d
	waiting.apply(&m)
	return m != before
}

// due reports whether an update is due. The time between updates is random, from
// half of the interval to 1.5 times the interval, so that members that have
// started at the same time, or have received new rules at the same time, do not
// all send their updates at once.
func (d *deferredUpdates) due(now time.Time, interval time.Duration, r *rand.Rand) bool {
	if now.Before(d.next) {
		return false
	}
	first := d.next.IsZero()
	d.next = now.Add(interval/2 + time.Duration(r.Int64N(int64(interval))))
	return !first
}
