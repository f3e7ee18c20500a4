// Package admission decides which request of a service gets a slot next:
// priorities with reserves and minimum shares, bounded queues, refusal of work
// that cannot finish in time, newest first under overload, and preemption of
// bulk work in flight.
//
// The Router and its slots are called with the queue's mutex held and must not
// call back.
//
// There is no goroutine per queue. Whoever releases a slot, and any waiting
// request that sees the Router's signal, hands out the free slots under the
// queue's mutex.
package admission

import (
	"context"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// criticalReserve is the fraction of slots that only priority 1 takes.
	criticalReserve = 0.25
	// normalReserve is the further fraction that priority 3 does not take.
	normalReserve = 0.12
	// minQueue and maxQueue bound the queue of a priority; between them it
	// holds queuePerSlot requests a slot.
	minQueue     = 8
	maxQueue     = 1000
	queuePerSlot = 2
	// overloadAfter is how long the oldest request of a priority waits before
	// the newest is served first, or its service time if that is longer: waiting
	// for one slow request is no overload.
	overloadAfter = 100 * time.Millisecond
	// pollPause is how often waiting requests try again when the Router gives
	// no signal, for example after the cap on traffic shifts let none go.
	pollPause = 50 * time.Millisecond
	// Bounds of the advice in a refusal. A caller that repeats a request
	// earlier than after a second only adds to the overload.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Controller implements forward.Gate for all services. It is safe for
// concurrent use.
type Controller struct {
	router Router

	mu      sync.RWMutex
	queues  map[model.Service]*queue
	minimum [numClasses]float64
}

var _ forward.AdmissionController = (*Controller)(nil)

// New returns a Control over the slots of a Router.
func New(r Router) *Controller {
	return &Controller{router: r, queues: map[model.Service]*queue{}}
}

// SetMinimum sets the fraction of slot time, from 0 to 1, that a priority gets
// while it has waiting work, whatever more urgent work waits (rules.Set.Minimum).
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

// Admit implements forward.Gate.
func (c *Controller) Admit(ctx context.Context, n forward.AdmissionRequest) (forward.Permit, error) {
	if ctx.Err() != nil {
		return nil, cancelled(ctx)
	}
	t, granted, err := c.queue(n.Service).enter(time.Now(), n)
	if err != nil {
		return nil, err
	}
	if granted {
		return t, nil
	}
	return t.wait(ctx)
}

// TryAdmit implements forward.Gate.
func (c *Controller) TryAdmit(now time.Time, n forward.AdmissionRequest) (forward.Permit, bool) {
	t := c.queue(n.Service).tryEnter(now, n)
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

// Load describes the queue of a service to operators.
type Load struct {
	// Waiting and InFlight are by priority, the most urgent first.
	Waiting, InFlight [numClasses]int
	// Refused counts requests that got no slot, by priority.
	Refused [numClasses]uint64
	// Preempted counts attempts that were cancelled for priority 1 work.
	Preempted uint64
	// ServiceTime is the estimated time that an answered request holds a slot.
	ServiceTime time.Duration
}

// Load returns the load of a service.
func (c *Controller) Load(s model.Service) Load {
	return c.queue(s).load(time.Now())
}
