// Package roundtrip estimates how long messages wait on the link of this machine. On a
// full link they arrive late, in order, and say nothing of how long they have waited.
// What does say so is the time that an answer takes: once it has arrived, everything
// that others sent before the question has arrived or is lost.
package roundtrip

import (
	"sync"
	"time"
)

// Interval is the time between two questions. An answer is missed only once the next
// one is due too, so delays are known too late by up to this time.
const Interval = 200 * time.Millisecond

// maxPending bounds the questions that wait for an answer. Later answers are not needed:
// the missing ones show a long delay by then.
const maxPending = 32

// Estimate derives the delay of messages from round trips. The zero value has seen none.
// It is safe for concurrent use.
type Estimate struct {
	mu   sync.Mutex
	next uint64
	// pending holds the times of the questions by number modulo maxPending.
	pending [maxPending]question
	// last is the round trip with the lowest bound for the delay.
	last  trip
	known bool
}

type question struct {
	number uint64
	at     time.Time
}

// trip is a round trip that began at a time.
type trip struct {
	began time.Time
	took  time.Duration
}

// delay returns an upper bound for the delay of messages that arrive now: that of the
// round trip or, if its answer is older than the interval, the time since then.
func (t trip) delay(now time.Time) time.Duration {
	return max(t.took, now.Sub(t.began)-Interval)
}

// Begin returns the number of a question that is sent now.
func (e *Estimate) Begin(now time.Time) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	e.pending[e.next%maxPending] = question{e.next, now}
	return e.next
}

// End records that a question has been answered. Unknown numbers are ignored.
func (e *Estimate) End(number uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := &e.pending[number%maxPending]
	if q.number != number || q.at.IsZero() {
		return
	}
	e.record(trip{q.at, now.Sub(q.at)}, now)
	q.at = time.Time{}
}

// Observe records a round trip of another kind that began at a time and has ended now.
func (e *Estimate) Observe(began, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known {
		e.record(trip{began, now.Sub(began)}, now)
	}
}

// record keeps a round trip unless the last one shows a shorter delay. The lock is held.
func (e *Estimate) record(t trip, now time.Time) {
	if !e.known || t.delay(now) <= e.last.delay(now) {
		e.last, e.known = t, true
	}
}

// Delay returns an upper bound for the time for which messages that arrive now have
// waited, but for Interval. It is 0 until the first question has been answered: other
// programs may not answer any.
func (e *Estimate) Delay(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		return 0
	}
	return max(e.last.delay(now), 0)
}
