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

// retryAfter advises when a repetition has a chance: after the queue before it
// has been served.
func (q *queue) retryAfter(t *ticket) time.Duration {
	wait := time.Duration(q.waitEstimate(t.enqueued, t.class))
	return max(minRetryAfter, min(wait, maxRetryAfter))
}

// abandon ends a ticket whose caller gave up while it waited.
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

// release returns the slot at the given time and hands out what is free.
func (q *queue) release(now time.Time, t *ticket, at time.Time) {
	later := at.After(now)
	q.mu.Lock()
	if later {
		t.slot.ReleaseAt(at)
	} else {
		t.slot.Release()
	}
	q.advance(now)
	q.end(t, at, later)
	cancels := q.serveLocked(now)
	q.mu.Unlock()
	call(cancels)
}

func (q *queue) end(t *ticket, at time.Time, later bool) {
	if t.state != stateGranted {
		return
	}
	t.state = stateReleased
	if t.running {
		q.running.remove(t)
		t.running = false
	}
	if later {
		q.held = append(q.held, held{at, t.class, t.preempted})
		return
	}
	q.returned(t.class, t.preempted)
}

func (q *queue) returned(class int, preempted bool) {
	q.inFlight[class]--
	if preempted {
		q.preempting--
	}
}

// advance updates what depends on the passing of time: slots that return and
// the credit of minimum shares.
func (q *queue) advance(now time.Time) {
	q.accrue(now)
	keep := q.held[:0]
	for _, h := range q.held {
		if h.at.After(now) {
			keep = append(keep, h)
			continue
		}
		q.returned(h.class, h.preempted)
	}
	q.held = keep
}

// accrue adds the slot time that each class is due since the last call and
// subtracts what it used.
func (q *queue) accrue(now time.Time) {
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
		saved := due * creditTime.Seconds()
		q.credit[c] = max(-q.debt(c, saved), min(saved, q.credit[c]))
	}
}

// debt is how much slot time a class owes at most: the runs that its minimum
// share grants at once. What it used beyond that while slots were free is not a
// debt. Runs that take longer than the mean are partly forgiven, so that the
// share comes out slightly above the minimum rather than below it.
func (q *queue) debt(c int, unmeasured float64) float64 {
	if q.serviceTime[c] == 0 {
		return unmeasured
	}
	return float64(q.most(c)) * q.serviceTime[c] / float64(time.Second)
}

func (q *queue) preemptible(t *ticket, cancel func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateGranted || t.protected || t.running || t.preempted {
		return
	}
	t.cancel = cancel
	t.running = true
	q.running.push(t)
}

// preempt chooses attempts to cancel for waiting priority 1 work, the newest
// first because they lose the least work. Attempts that are being cancelled
// count, so that one waiting request cancels one attempt.
func (q *queue) preempt() []func() {
	var cancels []func()
	for q.preempting < q.waiting[critical].n && q.running.newest != nil {
		t := q.running.newest
		q.running.remove(t)
		t.running = false
		t.preempted = true
		q.preempting++
		q.preempted++
		cancels = append(cancels, t.cancel)
	}
	return cancels
}

func call(fs []func()) {
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
		l.ServiceTime = max(l.ServiceTime, time.Duration(q.serviceAt(now, c)))
	}
	return l
}
