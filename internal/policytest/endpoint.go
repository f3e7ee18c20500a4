// Package policytest measures the dispatch policy: several instances with the
// real dispatcher, balancer, admission and retry code send to small fakes of
// endpoints in virtual time. Only its tests and no binary use it.
package policytest

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
)

// One-way latencies of the design page, and one inside a failure domain.
const (
	sameDomain  = 150 * time.Microsecond
	sameRegion  = 1500 * time.Microsecond
	otherRegion = 20 * time.Millisecond
)

const (
	// headerTimeout ends an exchange on a silent pooled connection.
	headerTimeout = 500 * time.Millisecond
	// connectTimeout ends the attempt to connect to a lost host.
	connectTimeout = 200 * time.Millisecond
	// reportLag is the age of the load reports of a lagging endpoint.
	reportLag = time.Second
	// coldTime is how long a cold endpoint is slower, coldFactor how much at
	// the start.
	coldTime   = 5 * time.Second
	coldFactor = 4.0
)

// report says what an endpoint reports as its load.
type report int

const (
	reportTrue report = iota
	reportLate
	reportIdle // always idle
	reportNone
)

// endpoint is a fake endpoint: slots, a queue, shedding when that is full.
type endpoint struct {
	model.Endpoint

	mu        sync.Mutex
	running   int
	queue     []chan struct{}
	coldUntil time.Time
	report    report
	reported  float64
	slow      float64 // factor on the service time; 0 means 1
	refusing  bool    // refuses connections
	lost      bool    // answers nothing at all
	failing   bool    // answers 503 without Retry-After at once
	shedding  bool    // refuses all work
	silent    map[model.InstanceID]bool
	attempts  []time.Time
	from, to  time.Time // encloses what busy counts
	busy      map[model.Priority]time.Duration
}

// enter waits for a slot. It reports false if the queue is full.
func (e *endpoint) enter(ctx context.Context) (bool, error) {
	e.mu.Lock()
	if e.running < e.Slots && !e.shedding {
		e.running++
		e.mu.Unlock()
		return true, nil
	}
	if e.shedding || len(e.queue) >= 2*e.Slots {
		e.mu.Unlock()
		return false, nil
	}
	turn := make(chan struct{})
	e.queue = append(e.queue, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return true, nil
	case <-ctx.Done():
		e.leaveQueue(turn)
		return false, ctx.Err()
	}
}

func (e *endpoint) leaveQueue(turn chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, q := range e.queue {
		if q == turn {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
	e.exitLocked() // the turn came at the same time
}

func (e *endpoint) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exitLocked()
}

func (e *endpoint) exitLocked() {
	if len(e.queue) == 0 {
		e.running--
		return
	}
	close(e.queue[0])
	e.queue = e.queue[1:]
}

func (e *endpoint) load() float64 {
	switch e.report {
	case reportIdle:
		return 0
	case reportLate:
		return e.reported
	default:
		return e.loadNow()
	}
}

func (e *endpoint) loadNow() float64 {
	return float64(e.running+len(e.queue)) / float64(e.Slots)
}

// sample updates the load that a lagging endpoint reports.
func (e *endpoint) sample() {
	e.mu.Lock()
	e.reported = e.loadNow()
	e.mu.Unlock()
}

func (e *endpoint) serviceTime(work time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := 1.0
	if e.slow > 0 {
		f = e.slow
	}
	if left := time.Until(e.coldUntil); left > 0 {
		f *= 1 + (coldFactor-1)*float64(left)/float64(coldTime)
	}
	return time.Duration(f * float64(work))
}

// account counts slot time that ends at the given time.
func (e *endpoint) account(p model.Priority, d time.Duration, end time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy[p] += overlap(end.Add(-d), end, e.from, e.to)
}

func (e *endpoint) busyTime(p model.Priority) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.busy[p]
}

func (e *endpoint) isLost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lost
}

// transport is the fake dispatch.Transport of one instance.
type transport struct {
	world  *world
	id     model.InstanceID
	region model.Region
	domain model.Domain
	spacer *spacer
}

func (t *transport) oneWay(e *endpoint) time.Duration {
	switch {
	case e.Domain == t.domain:
		return sameDomain
	case e.Region == t.region:
		return sameRegion
	default:
		return otherRegion
	}
}

// Send implements dispatch.Transport. Attempts that are cancelled at the same
// instant return at different ones.
func (t *transport) Send(ctx context.Context, to model.Endpoint, r *dispatch.Request) (*dispatch.Response, error) {
	t.world.sends.Add(1)
	response, err := t.exchange(ctx, to, r)
	if err != nil {
		time.Sleep(t.spacer.next())
	}
	return response, err
}

func (t *transport) exchange(ctx context.Context, to model.Endpoint, r *dispatch.Request) (*dispatch.Response, error) {
	e := t.world.endpoints[to.ID]
	oneWay := t.oneWay(e)
	e.mu.Lock()
	e.attempts = append(e.attempts, time.Now())
	lost, refusing, failing := e.lost, e.refusing, e.failing
	silent := e.silent[t.id] && r.Repeatable
	e.mu.Unlock()
	switch {
	case lost && !r.Repeatable:
		sleep(ctx, connectTimeout)
		return nil, dispatch.ErrNotSent
	case lost, silent:
		return t.noAnswer(ctx, e)
	case refusing:
		sleep(ctx, 2*oneWay)
		return nil, dispatch.ErrNotSent
	}
	if !sleep(ctx, oneWay) {
		return nil, dispatch.ErrInterrupted
	}
	if failing {
		sleep(ctx, oneWay)
		return &dispatch.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}, nil
	}
	return t.run(ctx, e, r, oneWay)
}

// probeTime is what a probe costs beside the round trip.
const probeTime = 6 * time.Millisecond

// Probe implements dispatch.Prober.
func (t *transport) Probe(ctx context.Context, to model.Endpoint) error {
	e := t.world.endpoints[to.ID]
	if e.isLost() {
		sleep(ctx, connectTimeout)
		return dispatch.ErrNotSent
	}
	e.mu.Lock()
	down := e.refusing || e.failing
	e.mu.Unlock()
	if !sleep(ctx, 2*t.oneWay(e)+probeTime) || down {
		return dispatch.ErrNotSent
	}
	return nil
}

// noAnswer waits on a connection that went silent; then its pool is closed.
func (t *transport) noAnswer(ctx context.Context, e *endpoint) (*dispatch.Response, error) {
	if sleep(ctx, headerTimeout) {
		e.mu.Lock()
		delete(e.silent, t.id)
		e.mu.Unlock()
	}
	return nil, dispatch.ErrInterrupted
}

// run is the exchange at the endpoint. A cancellation reaches it after the
// one-way latency.
func (t *transport) run(ctx context.Context, e *endpoint, r *dispatch.Request, oneWay time.Duration) (*dispatch.Response, error) {
	ok, err := e.enter(ctx)
	if err != nil {
		return nil, dispatch.ErrInterrupted
	}
	if !ok {
		sleep(ctx, oneWay)
		h := http.Header{"Retry-After": {"1"}}
		return &dispatch.Response{Status: http.StatusServiceUnavailable, Header: h}, dispatch.ErrRefused
	}
	work := e.serviceTime(workOf(r))
	start := time.Now()
	if !sleep(ctx, work) {
		time.AfterFunc(oneWay, e.exit)
		e.account(r.Priority, time.Since(start)+oneWay, time.Now().Add(oneWay))
		return nil, dispatch.ErrInterrupted
	}
	e.account(r.Priority, work, time.Now())
	e.mu.Lock()
	e.exitLocked()
	h := http.Header{}
	if e.report != reportNone {
		h.Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT application_utilization=%.3f", e.load()))
	}
	e.mu.Unlock()
	if !sleep(ctx, oneWay) || e.isLost() {
		return nil, dispatch.ErrInterrupted
	}
	return &dispatch.Response{Status: http.StatusOK, Header: h}, nil
}

// sleep reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// workOf reads the service time from the path: both variants get the same work.
func workOf(r *dispatch.Request) time.Duration {
	n, err := strconv.Atoi(r.Path[1:])
	if err != nil {
		panic(err)
	}
	return time.Duration(n)
}
