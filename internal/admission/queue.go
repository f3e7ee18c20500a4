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
	// deadlineTries is how many waiting requests with ever earlier deadlines
	// are tried when the Router has no slot for the first. A slot on loan may
	// end too early for one request and not for another.
	deadlineTries = 4
	// creditTime bounds the slot time that a priority saves against its
	// minimum share.
	creditTime = time.Second
	// serviceWeight is the weight of a new sample in the service time.
	serviceWeight = 0.1
	// serviceHalfLife is how fast the estimate of the service time falls when
	// nothing is answered. Without it, one slow period could make all work look
	// too late for its deadline, and then nothing would be measured again.
	serviceHalfLife = time.Second
)

// held is a released slot that returns later.
type held struct {
	at        time.Time
	class     int
	preempted bool
}

// queue is the state of one service.
type queue struct {
	service model.Service
	router  Router

	mu       sync.Mutex
	waiting  [numClasses]list
	running  list // preemptible tickets in flight, by grant
	inFlight [numClasses]int
	held     []held
	slots    int // last value of Router.Slots

	minimum    [numClasses]float64
	credit     [numClasses]float64 // slot seconds
	creditedAt time.Time

	serviceTime [numClasses]float64 // ns
	answeredAt  [numClasses]time.Time

	capped     bool // the last Take failed on the cap on traffic shifts
	preempting int  // preempted tickets whose slot has not returned
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

// enter grants, queues or refuses a request.
func (q *queue) enter(now time.Time, n forward.AdmissionRequest) (t *ticket, granted bool, err error) {
	t = &ticket{q: q, need: n, class: classOf(n.Priority), enqueued: now}
	q.mu.Lock()
	q.enqueue(now, t)
	cancels := q.serveLocked(now)
	if t.state == stateWaiting {
		t.done = make(chan struct{})
	}
	granted = t.state == stateGranted
	refusal := t.refusal
	q.mu.Unlock()
	call(cancels)
	if refusal != nil {
		return nil, false, refusal
	}
	return t, granted, nil
}

// tryEnter grants a request only if nobody would have to wait for it.
func (q *queue) tryEnter(now time.Time, n forward.AdmissionRequest) *ticket {
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

// limit is how many requests of a priority may wait.
func (q *queue) limit() int {
	return max(minQueue, min(maxQueue, queuePerSlot*q.slots))
}

// overloaded reports whether the newest request of a class is served first.
// The oldest would then mostly be served too late for its caller.
func (q *queue) overloaded(now time.Time, class int) bool {
	oldest := q.waiting[class].oldest
	limit := max(overloadAfter, time.Duration(q.serviceAt(now, class)))
	return oldest != nil && now.Sub(oldest.enqueued) > limit
}

// canFinish reports whether the request's service time fits before its
// deadline.
func (q *queue) canFinish(now time.Time, t *ticket) bool {
	left := t.need.Deadline.Sub(now)
	return left > 0 && float64(left) >= q.serviceAt(now, t.class)
}

// waitsTooLong reports whether the requests before a new one keep it from
// finishing in time. Newest first, nothing is before it.
func (q *queue) waitsTooLong(now time.Time, t *ticket) bool {
	if q.waiting[t.class].n == 0 || q.overloaded(now, t.class) {
		return false
	}
	wait := q.waitEstimate(now, t.class) + q.serviceAt(now, t.class)
	return wait > float64(t.need.Deadline.Sub(now))
}

// waitEstimate is the time in ns until the requests that wait now in the class
// and in more urgent ones have started.
func (q *queue) waitEstimate(now time.Time, class int) float64 {
	work := 0.0
	for c := 0; c <= class; c++ {
		work += float64(q.waiting[c].n) * q.serviceAt(now, c)
	}
	return work / float64(max(1, q.slots))
}

func (q *queue) serviceAt(now time.Time, class int) float64 {
	s := q.serviceTime[class]
	if s == 0 {
		return 0
	}
	return s * math.Exp2(-float64(now.Sub(q.answeredAt[class]))/float64(serviceHalfLife))
}

func (q *queue) answered(now time.Time, class int, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.serviceTime[class]
	if *s == 0 {
		*s = float64(d)
	} else {
		*s += serviceWeight * (float64(d) - *s)
	}
	q.answeredAt[class] = now
}

// serve hands out free slots.
func (q *queue) serve(now time.Time) {
	q.mu.Lock()
	cancels := q.serveLocked(now)
	q.mu.Unlock()
	call(cancels)
}

// poll refuses a waiting ticket that cannot finish any more and hands out free
// slots.
func (q *queue) poll(now time.Time, t *ticket) {
	q.mu.Lock()
	if t.state == stateWaiting && !q.canFinish(now, t) {
		q.waiting[t.class].remove(t)
		q.refuse(t, forward.ReasonDeadline)
	}
	cancels := q.serveLocked(now)
	q.mu.Unlock()
	call(cancels)
}

// nextPoll is how long a waiting ticket may sleep without a signal.
func (q *queue) nextPoll(now time.Time, t *ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	pause := 5 * pollPause
	if q.capped {
		pause = pollPause
	}
	left := t.need.Deadline.Sub(now) - time.Duration(q.serviceAt(now, t.class))
	return max(time.Millisecond, min(pause, left+time.Millisecond))
}

// serveLocked hands out free slots in order and returns the cancel functions
// of preempted attempts, to be called without the mutex.
func (q *queue) serveLocked(now time.Time) []func() {
	q.advance(now)
	if q.allWaiting() == 0 {
		return nil
	}
	q.slots = q.router.Slots(now, q.service)
	q.capped = false
	var blocked [numClasses]bool
	for {
		c, byMinimum := q.next(blocked)
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

func (q *queue) allWaiting() int {
	n := 0
	for c := range q.waiting {
		n += q.waiting[c].n
	}
	return n
}

// next returns the class to serve, or -1. A class that is owed slot time
// against its minimum share comes first, then the most urgent one that its
// reserve admits.
func (q *queue) next(blocked [numClasses]bool) (class int, byMinimum bool) {
	for c := numClasses - 1; c > critical; c-- {
		if !blocked[c] && q.waiting[c].n > 0 && q.owed(c) {
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

// owed reports whether a class is below its minimum share of slot time. The
// share is kept over time because an instance often has so few slots that the
// share of them is less than one.
func (q *queue) owed(c int) bool {
	return q.minimum[c] > 0 && q.credit[c] > 0 && q.inFlight[c] < q.most(c)
}

// most is how many slots a class gets at once by its minimum share.
func (q *queue) most(c int) int {
	return int(math.Ceil(q.minimum[c] * float64(q.slots)))
}

// withinReserve reports whether the class may take one more slot.
func (q *queue) withinReserve(c int) bool {
	if c == critical {
		return true
	}
	fraction := 1 - criticalReserve
	if c == bulk {
		fraction -= normalReserve
	}
	// Rounded to the nearest, at least 1: rounding down would leave nothing
	// for lower priorities on an instance with few slots.
	limit := max(1, int(math.Round(fraction*float64(q.slots))))
	used := 0
	for _, n := range q.inFlight {
		used += n
	}
	return used < limit
}

// grantFrom grants a slot to the next request of a class, after refusing those
// that cannot finish any more. It reports whether the class may go on.
func (q *queue) grantFrom(now time.Time, c int, byMinimum bool) bool {
	l := &q.waiting[c]
	newestFirst := q.overloaded(now, c)
	t := first(l, newestFirst)
	var deadline time.Time
	for tries := 0; t != nil && tries < deadlineTries; {
		following := after(t, newestFirst)
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
		t = following
	}
	return l.n == 0
}

func first(l *list, newestFirst bool) *ticket {
	if newestFirst {
		return l.newest
	}
	return l.oldest
}

func after(t *ticket, newestFirst bool) *ticket {
	if newestFirst {
		return t.prev
	}
	return t.next
}
