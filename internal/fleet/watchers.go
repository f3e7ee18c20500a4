package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/mirror"
)

// One instance of each region watches the store, and the others fetch the
// changes from it. It is the first one, in the order of electionOrder, among those
// that can reach the store. After a change the instances may briefly disagree on which
// one that is, which has no effect but additional calls of the store.
//
// A watcher that is cut off from the store, frozen or slow is noticed late, and so
// may be the next ones. Messages therefore tell how old each copy of the store is,
// which says at most as much as is known: a copy ages whatever the reason. If none
// of a region is younger than a limit, all its instances ask the store themselves,
// one after the other at short intervals, until one has succeeded.

const (
	// takeoverDelay is how long a region may be without a watching instance
	// before the next one takes over.
	takeoverDelay = 800 * time.Millisecond
	// takeoverStep is added to takeoverDelay for each instance that comes before,
	// so that not all take over at once.
	takeoverStep = 150 * time.Millisecond
	// staleAge is the age from which a copy of the store is stale. It is above the
	// time between two checks of a watcher and what messages of small failure
	// domains take.
	staleAge = time.Second
	// turnStep is the time between the turns of two instances while their copies are
	// stale, turnTime the length of a turn.
	turnStep = 60 * time.Millisecond
	turnTime = 200 * time.Millisecond
	// minTurnCycle is the shortest time between two turns of an instance.
	minTurnCycle = time.Second
)

// ShouldWatch reports whether this instance should watch the store for its
// region. messageDelay is what is added to the age of its copy because messages in
// large failure domains are less frequent.
func (m *Members) ShouldWatch(self Presence, messageDelay time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := electionOrder(self.Capacity, hash(m.self))
	lower, rank, count := 0, 0, 1
	watched := false
	m.each(Group{Region: m.region}, func(o *member) {
		if !o.alive || o.Leaving {
			return
		}
		count++
		before := o.order() < own
		if before {
			rank++
		}
		// If the store responds to none, only the first one keeps calling it.
		if o.StoreLost && !self.StoreLost {
			return
		}
		if before {
			lower++
		}
		watched = watched || o.Watching
	})
	if watched || lower == 0 || m.lastWatched.IsZero() {
		m.lastWatched = now
	}
	if lower == 0 || isTurn(self.CopyAge-staleAge-messageDelay, rank, count) {
		return true
	}
	return !self.StoreLost && now.Sub(m.lastWatched) > takeoverDelay+time.Duration(lower)*takeoverStep
}

// isTurn reports whether it is the turn of an instance to ask the store, by the time
// for which its copy has been stale and its rank among count instances.
func isTurn(stale time.Duration, rank, count int) bool {
	since := stale - time.Duration(rank)*turnStep
	cycle := max(time.Duration(count)*turnStep, minTurnCycle)
	return since >= 0 && since%cycle < turnTime
}

const (
	// confirmationStep is the shortest time between two remembered responses of the
	// store, and confirmationTTL how long they are remembered.
	confirmationStep = 20 * time.Millisecond
	confirmationTTL  = 10 * time.Second
)

// recordConfirmation records that an instance's copy of the store held every change at
// a time, which means that the store had responded to some instance then. The lock is
// held.
func (m *Members) recordConfirmation(at, now time.Time) {
	if now.Sub(at) > confirmationTTL {
		return
	}
	i, _ := slices.BinarySearchFunc(m.confirmations, at, time.Time.Compare)
	for _, j := range []int{i - 1, i} {
		if j >= 0 && j < len(m.confirmations) && m.confirmations[j].Sub(at).Abs() < confirmationStep {
			return
		}
	}
	m.confirmations = slices.Insert(m.confirmations, i, at)
	old := 0
	for old < len(m.confirmations) && now.Sub(m.confirmations[old]) > confirmationTTL {
		old++
	}
	m.confirmations = slices.Delete(m.confirmations, 0, old)
}

// LongestStoreSilence returns the longest time, within a span, in which the store is
// not known to have responded to any other instance. The span begins and ends with a
// response to this one.
func (m *Members) LongestStoreSilence(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest, last := time.Duration(0), from
	for _, at := range m.confirmations {
		if at.After(from) && at.Before(to) {
			longest, last = max(longest, at.Sub(last)), at
		}
	}
	return max(longest, to.Sub(last))
}

// Behind reports whether a position of the store is later, or a version of the
// desired state newer, than those of p.
func (p Presence) Behind(at mirror.Position, version desired.Version) bool {
	return p.Position.Before(at) || p.Desired < version
}

// Ahead returns the live instances for which ahead(instance, self) holds: those of
// the same region, beginning with the same failure domain, and those of other
// regions. Within these groups the order is random, so that the calls that follow
// are spread.
func (m *Members) Ahead(self Presence, ahead func(other, self Presence) bool) (near, far []Presence) {
	var domain []Presence
	all := m.Alive()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, p := range all {
		switch {
		case !ahead(p, self):
		case p.Domain == self.Domain:
			domain = append(domain, p)
		case p.Region == self.Region:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return append(domain, near...), far
}
