package admission

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// numClasses is the number of priorities. A class is the index of a priority:
// class 0 is priority 1.
const numClasses = len(model.Priorities)

const (
	critical = 0
	normal   = 1
	bulk     = 2
)

// classOf returns the class of a priority. Unknown priorities are bulk.
func classOf(p model.Priority) int {
	if !p.Valid() {
		return bulk
	}
	return int(p) - 1
}

type ticketState uint8

const (
	stateWaiting ticketState = iota
	stateGranted
	stateRefused
	stateReleased
)

// ticket is a queued request and, once a slot is granted, its permit. The
// queue's mutex guards all fields but need. The owner may also read slot and
// refusal without it after done is closed.
type ticket struct {
	q        *queue
	need     forward.AdmissionRequest
	class    int
	state    ticketState
	enqueued time.Time
	granted  time.Time
	slot     forward.Slot
	refusal  *forward.RefusalError
	done     chan struct{} // closed when granted or refused; nil if the ticket never waited

	prev, next  *ticket // links in the list of waiting or of preemptible tickets
	preemptible bool    // whether the ticket is in queue.preemptible
	protected   bool    // granted because of the minimum share; never preempted
	preempted   bool
	cancel      func() // cancels the attempt; set by Preemptible
}

var _ forward.Permit = (*ticket)(nil)

// wait blocks until the ticket is granted or refused or ctx ends. Meanwhile it
// dispatches slots that the Router has freed, also to other tickets.
func (t *ticket) wait(ctx context.Context) (forward.Permit, error) {
	freed := t.q.router.Freed(t.need.Service)
	poll := time.NewTimer(t.q.nextPoll(time.Now(), t))
	defer poll.Stop()
	for !t.isDone() {
		select {
		case <-t.done:
		case <-freed:
			t.q.dispatch(time.Now())
		case <-poll.C:
			t.q.poll(time.Now(), t)
			poll.Reset(t.q.nextPoll(time.Now(), t))
		case <-ctx.Done():
			t.q.abandon(time.Now(), t)
			return nil, contextRefusal(ctx)
		}
	}
	if t.refusal != nil {
		return nil, t.refusal
	}
	return t, nil
}

// isDone reports whether a waiting ticket has been granted or refused.
func (t *ticket) isDone() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// contextRefusal returns the refusal of a request whose context has ended.
func contextRefusal(ctx context.Context) error {
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
		t.q.setPreemptible(t, cancel)
	}
}

// Answered implements forward.Permit.
func (t *ticket) Answered(d time.Duration) {
	t.q.recordServiceTime(time.Now(), t.class, d)
}

// ticketList is a doubly linked list of tickets, oldest first.
type ticketList struct {
	oldest, newest *ticket
	n              int
}

func (l *ticketList) push(t *ticket) {
	t.prev = l.newest
	if l.newest != nil {
		l.newest.next = t
	} else {
		l.oldest = t
	}
	l.newest = t
	l.n++
}

func (l *ticketList) remove(t *ticket) {
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
