package admission

import (
	"time"

	"jujubestile.example/jujubestile/internal/forward"
)

func (q *queue) grant(now time.Time, t *ticket, slot forward.Slot) {
	t.slot = slot
	t.state = stateGranted
	t.granted = now
	q.inFlight[t.class]++
	if t.done != nil {
		close(t.done)
	}
}

func (q *queue) refuse(t *ticket, reason forward.Reason) {
	t.state = stateRefused
	if q.capped && reason == forward.ReasonDeadline {
		reason = forward.ReasonShiftCapped
	}
	t.refusal = &forward.RefusalError{Reason: reason, RetryAfter: q.retryAfter(t)}
	q.refused[t.class]++
	if t.done != nil {
		close(t.done)
	}
}

// retryAfter returns how long the caller should wait before a retry: the
// estimated time until the requests ahead of the ticket have started, limited to
// the range from minRetryAfter to maxRetryAfter.
func (q *queue) retryAfter(t *ticket) time.Duration {
	wait := time.Duration(q.waitEstimate(t.enqueued, t.class))
	return max(minRetryAfter, min(wait, maxRetryAfter))
}

// abandon removes a ticket whose caller stopped waiting. If the ticket has been
// granted in the meantime, its slot is released.
func (q *queue) abandon(now time.Time, t *ticket) {
	q.mu.Lock()
	switch t.state {
	case stateWaiting:
		q.waiting[t.class].remove(t)
		t.state = stateRefused
		q.refused[t.class]++
		q.mu.Unlock()
	case stateGranted:
		q.mu.Unlock()
		q.release(now, t, now)
	default:
		q.mu.Unlock()
	}
}

// release returns the ticket's slot at the given time and dispatches the slots
// that are free now.
func (q *queue) release(now time.Time, t *ticket, at time.Time) {
	later := at.After(now)
	q.mu.Lock()
	if later {
		t.slot.ReleaseAt(at)
	} else {
		t.slot.Release()
	}
	q.advance(now)
	q.finish(t, at, later)
	cancels := q.dispatchLocked(now)
	q.mu.Unlock()
	callAll(cancels)
}

// finish accounts for the release of a ticket. If the slot becomes free later,
// it counts as in flight until then.
func (q *queue) finish(t *ticket, at time.Time, later bool) {
	if t.state != stateGranted {
		return
	}
	t.state = stateReleased
	if t.preemptible {
		q.preemptible.remove(t)
		t.preemptible = false
	}
	if later {
		q.deferred = append(q.deferred, deferredRelease{at, t.class, t.preempted})
		return
	}
	q.slotReturned(t.class, t.preempted)
}

// slotReturned accounts for a slot that has become free.
func (q *queue) slotReturned(class int, preempted bool) {
	q.inFlight[class]--
	if preempted {
		q.preempting--
	}
}

// advance updates the state that changes with time: deferred releases and the
// credits of the minimum shares.
func (q *queue) advance(now time.Time) {
	q.accrueCredit(now)
	keep := q.deferred[:0]
	for _, d := range q.deferred {
		if d.at.After(now) {
			keep = append(keep, d)
			continue
		}
		q.slotReturned(d.class, d.preempted)
	}
	q.deferred = keep
}

// accrueCredit updates the credit of each class with a minimum share: it adds
// the slot time due since the last call and subtracts the slot time used.
func (q *queue) accrueCredit(now time.Time) {
	dt := now.Sub(q.creditedAt).Seconds()
	if q.creditedAt.IsZero() {
		dt = 0
	}
	q.creditedAt = now
	for c, m := range q.minimum {
		if m == 0 {
			continue
		}
		due := m * float64(q.slots)
		q.credit[c] += (due - float64(q.inFlight[c])) * dt
		saved := due * maxCredit.Seconds()
		q.credit[c] = max(-q.maxDebt(c, saved), min(saved, q.credit[c]))
	}
}

// maxDebt returns the largest negative credit of a class, in slot seconds: the
// service time of the requests that its minimum share lets run concurrently.
// Use beyond that, while slots were free, does not count against the class.
// Requests that take longer than the mean are counted only in part, so the class
// gets slightly more than its minimum rather than less. Without a measured
// service time the result is unmeasured.
func (q *queue) maxDebt(c int, unmeasured float64) float64 {
	if q.serviceTime[c] == 0 {
		return unmeasured
	}
	return float64(q.minimumSlots(c)) * q.serviceTime[c] / float64(time.Second)
}

// setPreemptible registers the function that cancels the ticket's attempt.
func (q *queue) setPreemptible(t *ticket, cancel func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateGranted || t.protected || t.preemptible || t.preempted {
		return
	}
	t.cancel = cancel
	t.preemptible = true
	q.preemptible.push(t)
}

// preempt selects the attempts to cancel for waiting critical requests and
// returns their cancel functions. It takes the newest attempts first, because
// they lose the least work. Attempts already being cancelled count, so that
// each waiting request cancels only one.
func (q *queue) preempt() []func() {
	var cancels []func()
	for q.preempting < q.waiting[critical].n && q.preemptible.newest != nil {
		t := q.preemptible.newest
		q.preemptible.remove(t)
		t.preemptible = false
		t.preempted = true
		q.preempting++
		q.preempted++
		cancels = append(cancels, t.cancel)
	}
	return cancels
}

func callAll(fs []func()) {
	for _, f := range fs {
		f()
	}
}

func (q *queue) load(now time.Time) Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	l := Load{InFlight: q.inFlight, Refused: q.refused, Preempted: q.preempted}
	for c := range q.waiting {
		l.Waiting[c] = q.waiting[c].n
		l.ServiceTime = max(l.ServiceTime, time.Duration(q.estimatedServiceTime(now, c)))
	}
	return l
}
