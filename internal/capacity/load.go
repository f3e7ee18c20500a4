package capacity

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// loadWindow is the length of the windows in which the peak of the slots
	// in use is measured. The peak covers the current and the previous window.
	loadWindow = 250 * time.Millisecond
	// unmetWindow is how long a request that found no slot counts as demand.
	unmetWindow = 300 * time.Millisecond
	// maxWant is the largest number of slots that one plan asks for.
	maxWant = 64
)

// load is the recent demand for the slots of one (region, service).
type load struct {
	// cur and prev are the peaks of the slots in use in the window that began
	// at windowStart and in the one before it.
	windowStart time.Time
	cur, prev   int

	// misses counts requests that found no slot since the last plan.
	misses int
	// missedAt is when a request of each priority last found no slot.
	missedAt [model.PriorityBulk + 1]time.Time
	// spill means that all requests counted in misses prefer another region.
	spill bool
	// want is how many slots the last plan asked for. It doubles with each
	// plan while requests find no slot, and halves otherwise.
	want int

	// The next slot that becomes free is kept for the peer reservedFor until
	// reservedUntil. Requests more urgent than reservedPriority may take it.
	reservedFor      model.InstanceID
	reservedPriority model.Priority
	reservedUntil    time.Time
	// contendedAt is when the last contended loan was made.
	contendedAt time.Time
}

func (l *load) recordUse(t time.Time, inUse int) {
	l.advance(t)
	l.cur = max(l.cur, inUse)
}

func (l *load) advance(t time.Time) {
	gap := t.Sub(l.windowStart)
	if gap < loadWindow {
		return
	}
	l.prev = l.cur
	if gap >= 2*loadWindow {
		l.prev = 0
	}
	l.cur = 0
	l.windowStart = t
}

// peak returns the largest number of slots in use in the current and the
// previous window.
func (l *load) peak(t time.Time) int {
	l.advance(t)
	return max(l.cur, l.prev)
}

func (l *load) recordMiss(t time.Time, pr model.Priority, spill bool) {
	l.spill = spill && (l.misses == 0 || l.spill)
	l.misses++
	if pr.Valid() {
		l.missedAt[pr] = t
	}
}

// unmet reports whether a request found no slot within unmetWindow.
func (l *load) unmet(t time.Time) bool {
	return l.priority(t).Valid()
}

// priority returns the most urgent priority of which a request found no slot
// within unmetWindow. Without such a request the result is not valid.
func (l *load) priority(t time.Time) model.Priority {
	for _, pr := range model.Priorities {
		if at := l.missedAt[pr]; !at.IsZero() && t.Sub(at) < unmetWindow {
			return pr
		}
	}
	return model.PriorityBulk + 1
}

// mayLendContended reports whether the instance lends the peer a slot that it
// could use itself, for a request of priority pr. It lends none if pr is less
// urgent than its own unmet requests, or while the next slot is kept for another
// peer. Otherwise it lends a slot at any time if pr is more urgent than its own
// unmet requests, and at most one per contendedInterval if not.
func (l *load) mayLendContended(t time.Time, to model.InstanceID, pr model.Priority) bool {
	if l.unmet(t) && pr > l.priority(t) {
		return false
	}
	if t.Before(l.reservedUntil) && l.reservedFor != to {
		return false
	}
	moreUrgent := l.unmet(t) && pr < l.priority(t)
	return moreUrgent || l.contendedAt.IsZero() || t.Sub(l.contendedAt) >= contendedInterval
}

func (l *load) recordContended(t time.Time) {
	l.contendedAt = t
	l.reservedUntil = time.Time{}
}

// reserve keeps the next slot that becomes free for the peer.
func (l *load) reserve(t time.Time, to model.InstanceID, pr model.Priority) {
	l.reservedFor = to
	l.reservedPriority = pr
	l.reservedUntil = t.Add(reservationTTL)
}

// reservedSlots returns how many free slots a request of the priority has to
// leave for a peer.
func (l *load) reservedSlots(t time.Time, pr model.Priority) int {
	if t.Before(l.reservedUntil) && l.reservedPriority <= pr {
		return 1
	}
	return 0
}
