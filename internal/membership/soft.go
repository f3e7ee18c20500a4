package membership

import (
	"math/rand/v2"
	"time"
)

const (
	// softPerMember and softMin determine SoftInterval. A change costs each
	// instance about 1 KB sent and 1 KB received (TestTraffic), so that soft
	// updates take at most 2 KB/s at any number of members, if all of them
	// change something in each interval.
	softPerMember = time.Second
	softMin       = 2 * time.Second
)

// DeferredUpdateInterval is the mean time between two updates of a member's record that
// are not urgent; the longest is 1.5 times as long. All members change some fields at the same time, for example the
// rules revision, so that the interval grows with their number.
func DeferredUpdateInterval(members int) time.Duration {
	return max(softMin, time.Duration(members)*softPerMember)
}

// softUpdates are the fields that wait for the next SoftInterval.
type softUpdates struct {
	keyPrefix     *string
	rulesRevision *uint64
	loadClass     *uint8
	next          time.Time
}

// apply moves the fields into a record.
func (s *softUpdates) apply(m *Member) {
	move(&m.KeyPrefix, &s.keyPrefix)
	move(&m.RulesRevision, &s.rulesRevision)
	move(&m.LoadClass, &s.loadClass)
}

func move[T any](to *T, from **T) {
	if *from != nil {
		*to = **from
		*from = nil
	}
}

func (s *softUpdates) changes(m Member) bool {
	before := m
	waiting := *s
	waiting.apply(&m)
	return m != before
}

// due reports whether an update is due. The times between updates are random
// around the interval, so that members that started together, or have taken
// new rules together, don't send theirs all at once.
func (s *softUpdates) due(now time.Time, interval time.Duration, r *rand.Rand) bool {
	if now.Before(s.next) {
		return false
	}
	first := s.next.IsZero()
	s.next = now.Add(interval/2 + time.Duration(r.Int64N(int64(interval))))
	return !first
}
