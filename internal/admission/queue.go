package admission

import (
	"math"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// deadlineTries is how many waiting requests of a priority are tried when
	// the Router has no slot for the first one. The Router is asked again only
	// for earlier deadlines: a borrowed slot may expire too early for one
	// request and late enough for another.
	deadlineTries = 4
	// maxCredit bounds the unused minimum share that a priority accumulates, as
	// the time in which the share accrues.
	maxCredit = time.Second
	// serviceTimeWeight is the weight of a new sample in the moving average of
	// the service time.
	serviceTimeWeight = 0.1
	// serviceTimeHalfLife is how fast the estimated service time decays while
	// no request is answered. Without the decay, one slow period could make
	// every request appear unable to meet its deadline; all would be refused,
	// and the service time would never be measured again.
	serviceTimeHalfLife = time.Second
)

// deferredRelease is a slot whose ticket is released but which becomes free
// only at a later time.
type deferredRelease struct {
	at        time.Time
	class     int
	preempted bool
}

// queue holds the waiting and running requests of one service.
type queue struct {
	service model.Service
	router  Router

	mu          sync.Mutex
	waiting     [numClasses]ticketList
	preemptible ticketList // tickets in flight that may be preempted, in the order registered
	inFlight    [numClasses]int
	deferred    []deferredRelease
	slots       int // latest result of Router.Slots

	minimum    [numClasses]float64
	credit     [numClasses]float64 // slot seconds
	creditedAt time.Time

	serviceTime [numClasses]float64 // ns
	measuredAt  [numClasses]time.Time

	capped     bool // the latest dispatch failed to take a slot because of the cap on traffic shifts
	preempting int  // preempted tickets whose slot is not free yet
	preempted  uint64
	refused    [numClasses]uint64
}

func newQueue(s model.Service, r Router, minimum [numClasses]float64) *queue {
	return &queue{service: s, router: r, minimum: minimum}
}

func (q *queue) setMinimum(m [numClasses]float64) {
	q.mu.Lock()
	q.minimum = m
	q.mu.Unlock()
}

// admit grants a request a slot, queues it or refuses it.
func (q *queue) admit(now time.Time, n forward.AdmissionRequest) (t *ticket, granted bool, err error) {
	t = &ticket{q: q, need: n, class: classOf(n.Priority), enqueued: now}
	q.mu.Lock()
	q.enqueue(now, t)
	cancels := q.dispatchLocked(now)
	if t.state == stateWaiting {
		t.done = make(chan struct{})
	}
	granted = t.state == stateGranted
	refusal := t.refusal
	q.mu.Unlock()
	callAll(cancels)
	if refusal != nil {
		return nil, false, refusal
	}
	return t, granted, nil
}

// tryAdmit grants a request a slot if one is free and no request waits. It
// returns nil otherwise.
func (q *queue) tryAdmit(now time.Time, n forward.AdmissionRequest) *ticket {
	t := &ticket{q: q, need: n, class: classOf(n.Priority), enqueued: now}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	for c := range q.waiting {
		if q.waiting[c].n > 0 {
			return nil
		}
	}
	q.slots = q.router.Slots(now, q.service)
	if !q.withinReserve(t.class) {
		return nil
	}
	slot, err := q.router.Take(now, n)
	if err != nil {
		return nil
	}
	q.grant(now, t, slot)
	return t
}

func (q *queue) enqueue(now time.Time, t *ticket) {
	q.advance(now)
	if !q.canFinish(now, t) || q.waitsTooLong(now, t) {
		q.refuse(t, forward.ReasonDeadline)
		return
	}
	l := &q.waiting[t.class]
	if l.n >= q.limit() {
		if !q.overloaded(now, t.class) {
			q.refuse(t, forward.ReasonQueueFull)
			return
		}
		oldest := l.oldest
		l.remove(oldest)
		q.refuse(oldest, forward.ReasonQueueFull)
	}
	l.push(t)
}

// limit returns how many requests of a priority may wait.
func (q *queue) limit() int {
	return max(minQueue, min(maxQueue, queuePerSlot*q.slots))
}

// overloaded reports whether a class is overloaded and served newest first. In
// an overload, requests served oldest first would mostly be answered too late
// for their callers.
func (q *queue) overloaded(now time.Time, class int) bool {
	oldest := q.waiting[class].oldest
	limit := max(overloadAfter, time.Duration(q.estimatedServiceTime(now, class)))
	return oldest != nil && now.Sub(oldest.enqueued) > limit
}

// canFinish reports whether a request that starts now is expected to finish
// before its deadline.
func (q *queue) canFinish(now time.Time, t *ticket) bool {
	left := t.need.Deadline.Sub(now)
	return left > 0 && float64(left) >= q.estimatedServiceTime(now, t.class)
}

// waitsTooLong reports whether a new request would miss its deadline because
// of the requests queued ahead of it. In a class that is served newest first
// there are none.
func (q *queue) waitsTooLong(now time.Time, t *ticket) bool {
	if q.waiting[t.class].n == 0 || q.overloaded(now, t.class) {
		return false
	}
	wait := q.waitEstimate(now, t.class) + q.estimatedServiceTime(now, t.class)
	return wait > float64(t.need.Deadline.Sub(now))
}

// waitEstimate returns the estimated time, in nanoseconds, until all requests
// that now wait in the class and in more urgent ones have started.
func (q *queue) waitEstimate(now time.Time, class int) float64 {
	work := 0.0
	for c := 0; c <= class; c++ {
		work += float64(q.waiting[c].n) * q.estimatedServiceTime(now, c)
	}
	return work / float64(max(1, q.slots))
}

// estimatedServiceTime returns the estimated service time of a class in
// nanoseconds, or 0 if none has been measured.
func (q *queue) estimatedServiceTime(now time.Time, class int) float64 {
	s := q.serviceTime[class]
	if s == 0 {
		return 0
	}
	return s * math.Exp2(-float64(now.Sub(q.measuredAt[class]))/float64(serviceTimeHalfLife))
}

// recordServiceTime adds a sample to the service time of a class.
func (q *queue) recordServiceTime(now time.Time, class int, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.serviceTime[class]
	if *s == 0 {
		*s = float64(d)
	} else {
		*s += serviceTimeWeight * (float64(d) - *s)
	}
	q.measuredAt[class] = now
}

// dispatch assigns the free slots to waiting requests.
func (q *queue) dispatch(now time.Time) {
	q.mu.Lock()
	cancels := q.dispatchLocked(now)
	q.mu.Unlock()
	callAll(cancels)
}

// poll refuses a waiting ticket that can no longer finish before its deadline,
// then dispatches free slots.
func (q *queue) poll(now time.Time, t *ticket) {
	q.mu.Lock()
	if t.state == stateWaiting && !q.canFinish(now, t) {
		q.waiting[t.class].remove(t)
		q.refuse(t, forward.ReasonDeadline)
	}
	cancels := q.dispatchLocked(now)
	q.mu.Unlock()
	callAll(cancels)
}

// nextPoll returns how long a waiting ticket may sleep before it calls poll if
// there is no signal.
func (q *queue) nextPoll(now time.Time, t *ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	pause := 5 * pollInterval
	if q.capped {
		pause = pollInterval
	}
	left := t.need.Deadline.Sub(now) - time.Duration(q.estimatedServiceTime(now, t.class))
	return max(time.Millisecond, min(pause, left+time.Millisecond))
}

// dispatchLocked assigns the free slots in order of service. It returns the
// cancel functions of preempted attempts, which the caller must call after it
// has unlocked the mutex.
func (q *queue) dispatchLocked(now time.Time) []func() {
	q.advance(now)
	if q.totalWaiting() == 0 {
		return nil
	}
	q.slots = q.router.Slots(now, q.service)
	q.capped = false
	var blocked [numClasses]bool
	for {
		c, byMinimum := q.nextClass(blocked)
		if c < 0 {
			break
		}
		blocked[c] = !q.grantFrom(now, c, byMinimum)
	}
	if blocked[critical] && !q.capped {
		return q.preempt()
	}
	return nil
}

func (q *queue) totalWaiting() int {
	n := 0
	for c := range q.waiting {
		n += q.waiting[c].n
	}
	return n
}

// nextClass returns the class to serve next, or -1. Classes below their minimum
// share come first, then the most urgent class that may still take a slot that
// is not reserved.
func (q *queue) nextClass(blocked [numClasses]bool) (class int, byMinimum bool) {
	for c := numClasses - 1; c > critical; c-- {
		if !blocked[c] && q.waiting[c].n > 0 && q.belowMinimum(c) {
			return c, true
		}
	}
	for c := range q.waiting {
		if !blocked[c] && q.waiting[c].n > 0 && q.withinReserve(c) {
			return c, false
		}
	}
	return -1, false
}

// belowMinimum reports whether a class is below its minimum share of slot time.
// The share is accounted over time because an instance often has so few slots
// that the share amounts to less than one slot.
func (q *queue) belowMinimum(c int) bool {
	return q.minimum[c] > 0 && q.credit[c] > 0 && q.inFlight[c] < q.minimumSlots(c)
}

// minimumSlots returns the most slots that a class gets at the same time
// because of its minimum share.
func (q *queue) minimumSlots(c int) int {
	return int(math.Ceil(q.minimum[c] * float64(q.slots)))
}

// withinReserve reports whether the class may take one more slot without using
// those reserved for more urgent classes.
func (q *queue) withinReserve(c int) bool {
	if c == critical {
		return true
	}
	fraction := 1 - criticalReserve
	if c == bulk {
		fraction -= normalReserve
	}
	// Round to the nearest integer, but to at least 1: rounding down would
	// leave no slot to lower priorities on an instance with few slots.
	limit := max(1, int(math.Round(fraction*float64(q.slots))))
	used := 0
	for _, n := range q.inFlight {
		used += n
	}
	return used < limit
}

// grantFrom grants a slot to the next request of a class and refuses the
// requests before it that can no longer finish in time. It reports whether the
// class may be tried again in this dispatch.
func (q *queue) grantFrom(now time.Time, c int, byMinimum bool) bool {
	l := &q.waiting[c]
	newestFirst := q.overloaded(now, c)
	t := first(l, newestFirst)
	var deadline time.Time
	for tries := 0; t != nil && tries < deadlineTries; {
		next := following(t, newestFirst)
		switch {
		case !q.canFinish(now, t):
			l.remove(t)
			q.refuse(t, forward.ReasonDeadline)
		case tries > 0 && !t.need.Deadline.Before(deadline):
			tries++
		default:
			tries++
			deadline = t.need.Deadline
			slot, err := q.router.Take(now, t.need)
			if err == nil {
				l.remove(t)
				t.protected = byMinimum
				q.grant(now, t, slot)
				return true
			}
			q.capped = q.capped || errors.Is(err, ErrShiftCapped)
		}
		t = next
	}
	return l.n == 0
}

// first returns the ticket to serve first.
func first(l *ticketList, newestFirst bool) *ticket {
	if newestFirst {
		return l.newest
	}
	return l.oldest
}

// following returns the ticket to serve after t.
func following(t *ticket, newestFirst bool) *ticket {
	if newestFirst {
		return t.prev
	}
	return t.next
}
