package capacity

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// loadWindow is the step in which the peak of slots in use is kept. The
	// peak covers one to two steps.
	loadWindow = 250 * time.Millisecond
	// unmetFor is how long a request that found no slot counts as demand.
	unmetFor = 300 * time.Millisecond
	// maxWant bounds how many slots are asked for at once.
	maxWant = 64
)

// load is the recent demand for one (region, service).
type load struct {
	step      time.Time
	cur, prev int

	// misses counts requests that found no slot since the last plan.
	misses int
	// missedAt is when the last request of each class found no slot.
	missedAt [model.PriorityBulk + 1]time.Time
	// spill means that all of them have another region to go to first.
	spill bool
	// want is how many slots the next plan asks for.
	want int

	promisedTo       model.InstanceID
	promisedPriority model.Priority
	promisedUntil    time.Time
	forcedAt         time.Time
}

func (l *load) took(t time.Time, inUse int) {
	l.roll(t)
	l.cur = max(l.cur, inUse)
}

func (l *load) roll(t time.Time) {
	gap := t.Sub(l.step)
	if gap < loadWindow {
		return
	}
	l.prev = l.cur
	if gap >= 2*loadWindow {
		l.prev = 0
	}
	l.cur = 0
	l.step = t
}

// peak returns the most slots lately in use.
func (l *load) peak(t time.Time) int {
	l.roll(t)
	return max(l.cur, l.prev)
}

func (l *load) missed(t time.Time, pr model.Priority, spill bool) {
	l.spill = spill && (l.misses == 0 || l.spill)
	l.misses++
	if pr.Valid() {
		l.missedAt[pr] = t
	}
}

// unmet reports whether a request lately found no slot.
func (l *load) unmet(t time.Time) bool {
	return l.priority(t).Valid()
}

// priority returns the most urgent class that lately found no slot, or one
// that is not valid.
func (l *load) priority(t time.Time) model.Priority {
	for _, pr := range model.Priorities {
		if at := l.missedAt[pr]; !at.IsZero() && t.Sub(at) < unmetFor {
			return pr
		}
	}
	return model.PriorityBulk + 1
}

// mayForce reports whether the peer may get a slot that the instance could
// use: if the peer's work is more urgent, or as urgent and not too often.
func (l *load) mayForce(t time.Time, to model.InstanceID, pr model.Priority) bool {
	if l.unmet(t) && pr > l.priority(t) {
		return false
	}
	if t.Before(l.promisedUntil) && l.promisedTo != to {
		return false
	}
	moreUrgent := l.unmet(t) && pr < l.priority(t)
	return moreUrgent || l.forcedAt.IsZero() || t.Sub(l.forcedAt) >= forcedEvery
}

func (l *load) forced(t time.Time) {
	l.forcedAt = t
	l.promisedUntil = time.Time{}
}

// promise keeps the next slot that becomes free for a peer.
func (l *load) promise(t time.Time, to model.InstanceID, pr model.Priority) {
	l.promisedTo = to
	l.promisedPriority = pr
	l.promisedUntil = t.Add(promiseFor)
}

// promised returns how many slots a request of the priority has to leave for
// a peer.
func (l *load) promised(t time.Time, pr model.Priority) int {
	if t.Before(l.promisedUntil) && l.promisedPriority <= pr {
		return 1
	}
	return 0
}
