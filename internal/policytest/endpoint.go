// Package policytest measures the policy of the product's own deployment:
// several instances with the real engine, steering and admission send to small
// fakes of endpoints in virtual time. Only its tests and no binary use it.
package policytest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
)

// One-way latencies of the design page, and one inside a failure domain.
const (
	sameDomain  = 150 * time.Microsecond
	sameRegion  = 1500 * time.Microsecond
	otherRegion = 20 * time.Millisecond
)

const (
	// silenceTimeout ends an exchange on a silent connection.
	silenceTimeout = time.Second
	// connectTimeout ends the attempt to connect to a lost host.
	connectTimeout = 300 * time.Millisecond
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
	slow      float64                  // factor on the service time; 0 means 1
	refusing  bool                     // refuses connections
	lost      bool                     // answers nothing at all
	failing   bool                     // answers 503 without Retry-After at once
	shedding  bool                     // refuses all work
	silent    map[model.InstanceID]int // kept connections that are silent
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

// transport is the fake forward.Transport of one instance.
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

var (
	notSent = exchange.Result{Outcome: exchange.NotSent, Err: errors.New("not sent")}
	silence = exchange.Result{Outcome: exchange.Unknown, Err: errors.New("silent connection")}
)

// abandoned is the end of an exchange by its context.
func abandoned(ctx context.Context) exchange.Result {
	return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
}

// Do implements forward.Transport. Attempts that are cancelled at the same
// instant return at different ones.
func (t *transport) Do(ctx context.Context, to exchange.Target, call *exchange.Call) exchange.Result {
	e := t.world.endpoints[to.ID]
	if call.Target == probePath {
		return t.probe(ctx, e)
	}
	t.world.sends.Add(1)
	// Endpoints stop work whose deadline has passed.
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	res := t.exchange(ctx, e, call)
	if res.Outcome != exchange.Answered {
		time.Sleep(t.spacer.next())
	}
	return res
}

func (t *transport) exchange(ctx context.Context, e *endpoint, call *exchange.Call) exchange.Result {
	oneWay := t.oneWay(e)
	e.mu.Lock()
	e.attempts = append(e.attempts, time.Now())
	lost, refusing, failing := e.lost, e.refusing, e.failing
	// Work that may not be repeated gets a new connection.
	silent := e.silent[t.id] > 0 && !call.RequireRecent
	if silent {
		e.silent[t.id]-- // It is closed after this exchange.
	}
	e.mu.Unlock()
	switch {
	case lost && call.RequireRecent:
		sleep(ctx, connectTimeout)
		return notSent
	case lost, silent:
		return noAnswer(ctx)
	case refusing:
		sleep(ctx, 2*oneWay)
		return notSent
	}
	if !sleep(ctx, oneWay) {
		return abandoned(ctx)
	}
	if failing {
		sleep(ctx, oneWay)
		return exchange.Result{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	}
	return t.run(ctx, e, call, oneWay)
}

const (
	// probePath is the target of probes.
	probePath = "/healthz"
	// probeTime is what a probe costs beside the round trip.
	probeTime = 6 * time.Millisecond
)

func (t *transport) probe(ctx context.Context, e *endpoint) exchange.Result {
	if e.isLost() {
		sleep(ctx, connectTimeout)
		return notSent
	}
	e.mu.Lock()
	refusing, failing := e.refusing, e.failing
	e.mu.Unlock()
	if !sleep(ctx, 2*t.oneWay(e)+probeTime) || refusing {
		return notSent
	}
	status := http.StatusOK
	if failing {
		status = http.StatusServiceUnavailable
	}
	return exchange.Result{Status: status, Header: http.Header{}}
}

// noAnswer waits on a connection that went silent; then it is closed.
func noAnswer(ctx context.Context) exchange.Result {
	if !sleep(ctx, silenceTimeout) {
		return abandoned(ctx)
	}
	return silence
}

// run is the exchange at the endpoint. A cancellation reaches it after the
// one-way latency.
func (t *transport) run(ctx context.Context, e *endpoint, call *exchange.Call, oneWay time.Duration) exchange.Result {
	ok, err := e.enter(ctx)
	if err != nil {
		return abandoned(ctx)
	}
	if !ok {
		sleep(ctx, oneWay)
		return exchange.Result{Outcome: exchange.NotRun, Status: http.StatusServiceUnavailable, Header: http.Header{},
			Fields: exchange.ResponseFields{NotRun: true}}
	}
	priority, needed := workOf(call)
	work := e.serviceTime(needed)
	start := time.Now()
	if !sleep(ctx, work) {
		time.AfterFunc(oneWay, e.exit)
		e.account(priority, time.Since(start)+oneWay, time.Now().Add(oneWay))
		return abandoned(ctx)
	}
	e.account(priority, work, time.Now())
	e.mu.Lock()
	var fields exchange.ResponseFields
	if e.report != reportNone {
		fields.HasLoad, fields.Load = true, exchange.Load{Running: int(e.load() * loadScale), Slots: loadScale}
	}
	e.exitLocked()
	e.mu.Unlock()
	if !sleep(ctx, oneWay) {
		return abandoned(ctx)
	}
	if e.isLost() {
		return silence
	}
	return exchange.Result{Status: http.StatusOK, Header: http.Header{}, Fields: fields}
}

// loadScale is the slots in which loads are reported, as a whole number.
const loadScale = 1000

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

// targetOf is the path of a request: its priority and its service time, so that
// both variants get the same work.
func targetOf(p model.Priority, work time.Duration) string {
	return fmt.Sprintf("/%d/%d", p, work)
}

func workOf(call *exchange.Call) (p model.Priority, work time.Duration) {
	if _, err := fmt.Sscanf(call.Target, "/%d/%d", &p, &work); err != nil {
		panic(err)
	}
	return p, work
}
