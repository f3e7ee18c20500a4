package admission

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// numClasses is the number of priorities; class 0 is priority 1.
const numClasses = len(model.Priorities)

const (
	critical = 0
	normal   = 1
	bulk     = 2
)

func classOf(p model.Priority) int {
	if !p.Valid() {
		return bulk
	}
	return int(p) - 1
}

type state uint8

const (
	stateWaiting state = iota
	stateGranted
	stateRefused
	stateReleased
)

// ticket is a request in a queue and later its permit. All fields but need are
// guarded by the queue's mutex, except that the owner may read slot and refusal
// after done was closed.
type ticket struct {
	q        *queue
	need     forward.AdmissionRequest
	class    int
	state    state
	enqueued time.Time
	granted  time.Time
	slot     forward.Slot
	refusal  *forward.RefusalError
	done     chan struct{} // only for a ticket that waited

	prev, next *ticket // in the list of waiting or of preemptible tickets
	running    bool    // in the list of preemptible tickets in flight
	protected  bool    // granted by the minimum share; never preempted
	preempted  bool
	cancel     func() // of a preemptible attempt
}

var _ forward.Permit = (*ticket)(nil)

// wait returns when the ticket is granted or refused. While it waits it hands
// out slots that the Router freed, also to other tickets.
func (t *ticket) wait(ctx context.Context) (forward.Permit, error) {
	freed := t.q.router.Freed(t.need.Service)
	poll := time.NewTimer(t.q.nextPoll(time.Now(), t))
	defer poll.Stop()
	for !t.isDone() {
		select {
		case <-t.done:
		case <-freed:
			t.q.serve(time.Now())
		case <-poll.C:
			t.q.poll(time.Now(), t)
			poll.Reset(t.q.nextPoll(time.Now(), t))
		case <-ctx.Done():
			t.q.abandon(time.Now(), t)
			return nil, cancelled(ctx)
		}
	}
	if t.refusal != nil {
		return nil, t.refusal
	}
	return t, nil
}

// isDone reports whether a waiting ticket was granted or refused.
func (t *ticket) isDone() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

func cancelled(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return &forward.RefusalError{Reason: forward.ReasonDeadline, RetryAfter: minRetryAfter}
	}
	return &forward.RefusalError{Reason: forward.ReasonCancelled}
}

// Region implements forward.Slot.
func (t *ticket) Region() model.Region { return t.slot.Region() }

// Release implements forward.Slot.
func (t *ticket) Release() {
	now := time.Now()
	t.q.release(now, t, now)
}

// ReleaseAt implements forward.Slot.
func (t *ticket) ReleaseAt(at time.Time) {
	t.q.release(time.Now(), t, at)
}

// Preemptible implements forward.Permit.
func (t *ticket) Preemptible(cancel func()) {
	if t.class == bulk {
		t.q.preemptible(t, cancel)
	}
}

// Answered implements forward.Permit.
func (t *ticket) Answered(d time.Duration) {
	t.q.answered(time.Now(), t.class, d)
}

// list is a doubly linked list of tickets, the oldest first.
type list struct {
	oldest, newest *ticket
	n              int
}

func (l *list) push(t *ticket) {
	t.prev = l.newest
	if l.newest != nil {
		l.newest.next = t
	} else {
		l.oldest = t
	}
	l.newest = t
	l.n++
}

func (l *list) remove(t *ticket) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.oldest = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.newest = t.prev
	}
	t.prev, t.next = nil, nil
	l.n--
}
