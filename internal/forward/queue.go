package forward

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// A request that would miss its soft deadline, or that only a fully loaded
// endpoint could take, is queued at this instance for a free slot of an
// endpoint, as long as it is likely to get one in time. Queues are short: a
// request that is unlikely to be served is refused immediately, so that its
// caller can try another instance or give up.

const (
	// maxWaitShare is the maximum time in the queue, as a share of the time
	// left until the request's deadline.
	maxWaitShare = 0.35
	// maxWaiters bounds the queue of a service at an instance.
	maxWaiters = 4
	// queueRetryInterval is the time between two tries of the first request
	// in the queue, if no request of this instance ends earlier.
	queueRetryInterval = 25 * time.Millisecond
	// servedWeight is the weight of one wait in servedShare.
	servedWeight = 0.2
	// minServedShare is the servedShare from which on more than one request
	// may wait.
	minServedShare = 0.5
)

// waitQueues holds the queues of all services.
type waitQueues struct {
	mu       sync.Mutex
	services map[model.Service]*waitQueue
}

// waitQueue holds the queued requests of a service, the most urgent first.
type waitQueue struct {
	waiters []*waiter
	// servedShare is a moving average of the share of waits after which the
	// request was sent to an endpoint.
	servedShare float64
}

// waiter is a queued request; the lowest rank is the most urgent. wake receives a
// value when the request should try again.
type waiter struct {
	rank int
	wake chan struct{}
}

func newWaitQueues() *waitQueues { return &waitQueues{services: map[model.Service]*waitQueue{}} }

func (qs *waitQueues) queue(s model.Service) *waitQueue {
	q := qs.services[s]
	if q == nil {
		q = &waitQueue{servedShare: 1}
		qs.services[s] = q
	}
	return q
}

// join queues a request, or returns nil if it is unlikely to be served.
func (qs *waitQueues) join(s model.Service, rank int) *waiter {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q := qs.queue(s)
	if len(q.waiters) >= maxWaiters || (len(q.waiters) > 0 && q.servedShare < minServedShare) {
		return nil
	}
	w := &waiter{rank: rank, wake: make(chan struct{}, 1)}
	at := len(q.waiters)
	for at > 0 && q.waiters[at-1].rank > rank {
		at--
	}
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[at+1:], q.waiters[at:])
	q.waiters[at] = w
	return w
}

// isFirst reports whether the request is the first in the queue.
func (qs *waitQueues) isFirst(s model.Service, w *waiter) bool {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q := qs.queue(s)
	return len(q.waiters) > 0 && q.waiters[0] == w
}

// leave removes the request from the queue. served reports whether it was sent to
// an endpoint.
func (qs *waitQueues) leave(s model.Service, w *waiter, served bool) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q := qs.queue(s)
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			break
		}
	}
	x := 0.0
	if served {
		x = 1
	}
	q.servedShare += servedWeight * (x - q.servedShare)
	q.signal()
}

// slotFreed wakes the first request in the queue because a slot may be free.
func (qs *waitQueues) slotFreed(s model.Service) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	qs.queue(s).signal()
}

func (q *waitQueue) signal() {
	if len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0].wake <- struct{}{}:
	default:
	}
}

// waiting returns the number of queued requests, for metrics.
func (qs *waitQueues) waiting() int {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	n := 0
	for _, q := range qs.services {
		n += len(q.waiters)
	}
	return n
}
