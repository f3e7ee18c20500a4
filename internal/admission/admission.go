// Package admission implements admission control: it decides which request of
// a service gets the next free slot. Each service has one bounded queue per
// priority. The more urgent priorities have reserved slots, the less urgent
// ones minimum shares of slot time. A request that cannot finish before its
// deadline is refused. An overloaded queue is served last in, first out, and
// bulk requests in flight are preempted for critical ones.
//
// The Router and its slots are called with the queue's mutex held and must not
// call back into this package.
//
// There is no goroutine per queue. The goroutine that releases a slot, and any
// waiting request that receives the Router's signal, dispatches the free slots
// under the queue's mutex.
package admission

import (
	"context"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// criticalReserve is the fraction of slots reserved for critical requests
	// (priority 1).
	criticalReserve = 0.25
	// normalReserve is a further fraction of slots that bulk requests
	// (priority 3) may not use.
	normalReserve = 0.12
	// minQueue and maxQueue bound the queue length of a priority. Between the
	// two it is queuePerSlot requests for each slot.
	minQueue     = 8
	maxQueue     = 1000
	queuePerSlot = 2
	// overloadAfter is how long the oldest request of a priority waits until
	// the priority counts as overloaded and is served newest first. If the
	// service time is longer, it applies instead, because waiting for one slow
	// request is not an overload.
	overloadAfter = 100 * time.Millisecond
	// pollInterval is how often waiting requests retry while the cap on traffic
	// shifts holds them back, because the Router does not signal its end.
	// Otherwise they poll five times less often.
	pollInterval = 50 * time.Millisecond
	// Bounds of RetryAfter in a refusal. A caller that retries after less than
	// a second only adds to the overload.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Controller is the admission controller of all services. It implements
// forward.AdmissionController and is safe for concurrent use.
type Controller struct {
	router Router

	mu      sync.RWMutex
	queues  map[model.Service]*queue
	minimum [numClasses]float64
}

var _ forward.AdmissionController = (*Controller)(nil)

// New returns a Controller that takes its slots from the Router.
func New(r Router) *Controller {
	return &Controller{router: r, queues: map[model.Service]*queue{}}
}

// SetMinimum sets the minimum share of slot time, from 0 to 1, by priority
// (rules.Set.Minimum). A priority gets it while requests of that priority wait,
// even if more urgent ones wait too. Unknown priorities are ignored.
func (c *Controller) SetMinimum(m map[model.Priority]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minimum = [numClasses]float64{}
	for p, f := range m {
		if p.Valid() {
			c.minimum[classOf(p)] = f
		}
	}
	for _, q := range c.queues {
		q.setMinimum(c.minimum)
	}
}

// Admit implements forward.AdmissionController.
func (c *Controller) Admit(ctx context.Context, req forward.AdmissionRequest) (forward.Permit, error) {
	if ctx.Err() != nil {
		return nil, contextRefusal(ctx)
	}
	t, granted, err := c.queue(req.Service).admit(time.Now(), req)
	if err != nil {
		return nil, err
	}
	if granted {
		return t, nil
	}
	return t.wait(ctx)
}

// TryAdmit implements forward.AdmissionController.
func (c *Controller) TryAdmit(now time.Time, req forward.AdmissionRequest) (forward.Permit, bool) {
	t := c.queue(req.Service).tryAdmit(now, req)
	if t == nil {
		return nil, false
	}
	return t, true
}

func (c *Controller) queue(s model.Service) *queue {
	c.mu.RLock()
	q := c.queues[s]
	c.mu.RUnlock()
	if q != nil {
		return q
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if q = c.queues[s]; q == nil {
		q = newQueue(s, c.router, c.minimum)
		c.queues[s] = q
	}
	return q
}

// Load is the state of a service's queues, for monitoring.
type Load struct {
	// Waiting and InFlight are the numbers of requests by priority, the most
	// urgent first.
	Waiting, InFlight [numClasses]int
	// Refused counts the requests that got no slot, by priority.
	Refused [numClasses]uint64
	// Preempted counts the attempts cancelled in favor of critical requests.
	Preempted uint64
	// ServiceTime is the estimated time that an answered request holds a slot:
	// the longest of all priorities.
	ServiceTime time.Duration
}

// Load returns the current load of a service.
func (c *Controller) Load(s model.Service) Load {
	return c.queue(s).load(time.Now())
}
