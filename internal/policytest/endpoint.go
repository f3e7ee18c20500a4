// Package policytest measures the load balancing policy in virtual time:
// instances that run the real engine, steering and admission control send
// requests to fake endpoints. Only tests use the package.
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

// One-way network latencies: within a failure domain, within a region and
// between regions. The last two are the latencies that the design assumes.
const (
	sameDomain  = 150 * time.Microsecond
	sameRegion  = 1500 * time.Microsecond
	otherRegion = 20 * time.Millisecond
)

const (
	// tcpUserTimeout ends an exchange on a connection that receives no packets.
	tcpUserTimeout = time.Second
	// connectTimeout ends the attempt to connect to an unresponsive host.
	connectTimeout = 300 * time.Millisecond
	// reportLag is the interval at which the load that a lagging endpoint
	// reports is updated.
	reportLag = time.Second
	// coldStartTime is how long a new endpoint is slower than normal;
	// coldStartFactor is the factor on its service time at the start, which
	// decreases linearly to 1.
	coldStartTime   = 5 * time.Second
	coldStartFactor = 4.0
)

// reportMode selects what an endpoint reports as its load.
type reportMode int

const (
	reportCurrent reportMode = iota
	reportLagging
	reportIdle // reports no load at any time
	reportNone
)

// endpoint is a fake endpoint with a fixed number of slots and a bounded queue.
// It sheds requests when the queue is full.
type endpoint struct {
	model.Endpoint

	mu           sync.Mutex
	running      int
	queue        []chan struct{}
	coldUntil    time.Time
	reportMode   reportMode
	sampledLoad  float64
	slowFactor   float64                  // factor on the service time; 0 means 1
	refusing     bool                     // refuses connections
	unresponsive bool                     // host down: packets are dropped
	failing      bool                     // responds at once with 503 without Retry-After
	shedding     bool                     // sheds every request
	silent       map[model.InstanceID]int // number of idle connections that drop packets
	attempts     []time.Time
	from, to     time.Time // interval over which busy is measured
	busy         map[model.Priority]time.Duration
}

// acquire waits for a slot. It reports false if the request is shed.
func (e *endpoint) acquire(ctx context.Context) (bool, error) {
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
	granted := make(chan struct{})
	e.queue = append(e.queue, granted)
	e.mu.Unlock()
	select {
	case <-granted:
		return true, nil
	case <-ctx.Done():
		e.cancelWait(granted)
		return false, ctx.Err()
	}
}

func (e *endpoint) cancelWait(granted chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, q := range e.queue {
		if q == granted {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
	e.releaseLocked() // the slot was granted at the same time
}

func (e *endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

func (e *endpoint) releaseLocked() {
	if len(e.queue) == 0 {
		e.running--
		return
	}
	close(e.queue[0])
	e.queue = e.queue[1:]
}

func (e *endpoint) reportedLoad() float64 {
	switch e.reportMode {
	case reportIdle:
		return 0
	case reportLagging:
		return e.sampledLoad
	default:
		return e.currentLoad()
	}
}

func (e *endpoint) currentLoad() float64 {
	return float64(e.running+len(e.queue)) / float64(e.Slots)
}

// sampleLoad updates the load that a lagging endpoint reports.
func (e *endpoint) sampleLoad() {
	e.mu.Lock()
	e.sampledLoad = e.currentLoad()
	e.mu.Unlock()
}

func (e *endpoint) serviceTime(base time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := 1.0
	if e.slowFactor > 0 {
		factor = e.slowFactor
	}
	if remaining := time.Until(e.coldUntil); remaining > 0 {
		factor *= 1 + (coldStartFactor-1)*float64(remaining)/float64(coldStartTime)
	}
	return time.Duration(factor * float64(base))
}

// addBusy adds the slot time of a request that ended at end, as far as it lies
// in the measured interval.
func (e *endpoint) addBusy(p model.Priority, d time.Duration, end time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy[p] += overlap(end.Add(-d), end, e.from, e.to)
}

func (e *endpoint) busyTime(p model.Priority) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.busy[p]
}

func (e *endpoint) isUnresponsive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unresponsive
}

// transport is the forward.Transport of one instance to the fake endpoints.
type transport struct {
	cluster   *cluster
	id        model.InstanceID
	region    model.Region
	domain    model.Domain
	staggerer *staggerer
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
	notSent    = exchange.Result{Outcome: exchange.NotSent, Err: errors.New("endpoint is unreachable")}
	silentConn = exchange.Result{Outcome: exchange.Unknown, Err: errors.New("connection timed out without a response")}
)

// abandoned is the result of an exchange whose context ended.
func abandoned(ctx context.Context) exchange.Result {
	return exchange.Result{Outcome: exchange.Abandoned, Err: context.Cause(ctx)}
}

// Do implements forward.Transport. Failed attempts return after a staggered
// delay: attempts that are cancelled at the same instant would otherwise return
// in random order.
func (t *transport) Do(ctx context.Context, to exchange.Target, call *exchange.Call) exchange.Result {
	e := t.cluster.endpoints[to.ID]
	if call.Target == probePath {
		return t.probe(ctx, e)
	}
	t.cluster.sends.Add(1)
	// Endpoints cancel requests at their deadline.
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	res := t.exchange(ctx, e, call)
	if res.Outcome != exchange.Answered {
		time.Sleep(t.staggerer.next())
	}
	return res
}

func (t *transport) exchange(ctx context.Context, e *endpoint, call *exchange.Call) exchange.Result {
	oneWay := t.oneWay(e)
	e.mu.Lock()
	e.attempts = append(e.attempts, time.Now())
	unresponsive, refusing, failing := e.unresponsive, e.refusing, e.failing
	// A non-repeatable request is sent on a new connection, which is not silent.
	silent := e.silent[t.id] > 0 && !call.RequireRecent
	if silent {
		e.silent[t.id]-- // The connection is closed after this exchange.
	}
	e.mu.Unlock()
	switch {
	case unresponsive && call.RequireRecent:
		sleep(ctx, connectTimeout)
		return notSent
	case unresponsive, silent:
		return awaitTCPTimeout(ctx)
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
	return t.serve(ctx, e, call, oneWay)
}

const (
	// probePath is the path of health checks.
	probePath = "/healthz"
	// probeTime is the duration of a health check beyond the round trip.
	probeTime = 6 * time.Millisecond
)

func (t *transport) probe(ctx context.Context, e *endpoint) exchange.Result {
	if e.isUnresponsive() {
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

// awaitTCPTimeout waits for the TCP user timeout of a silent connection.
func awaitTCPTimeout(ctx context.Context) exchange.Result {
	if !sleep(ctx, tcpUserTimeout) {
		return abandoned(ctx)
	}
	return silentConn
}

// serve runs the request at the endpoint and returns its response. If the
// context ends while the request runs, its slot is released after the one-way
// latency.
func (t *transport) serve(ctx context.Context, e *endpoint, call *exchange.Call, oneWay time.Duration) exchange.Result {
	ok, err := e.acquire(ctx)
	if err != nil {
		return abandoned(ctx)
	}
	if !ok {
		sleep(ctx, oneWay)
		return exchange.Result{Outcome: exchange.NotRun, Status: http.StatusServiceUnavailable, Header: http.Header{},
			Fields: exchange.ResponseFields{NotRun: true}}
	}
	priority, baseTime := parseRequestPath(call)
	duration := e.serviceTime(baseTime)
	start := time.Now()
	if !sleep(ctx, duration) {
		time.AfterFunc(oneWay, e.release)
		e.addBusy(priority, time.Since(start)+oneWay, time.Now().Add(oneWay))
		return abandoned(ctx)
	}
	e.addBusy(priority, duration, time.Now())
	e.mu.Lock()
	var fields exchange.ResponseFields
	if e.reportMode != reportNone {
		fields.HasLoad, fields.Load = true, exchange.Load{Running: int(e.reportedLoad() * loadScale), Slots: loadScale}
	}
	e.releaseLocked()
	e.mu.Unlock()
	if !sleep(ctx, oneWay) {
		return abandoned(ctx)
	}
	if e.isUnresponsive() {
		return silentConn
	}
	return exchange.Result{Status: http.StatusOK, Header: http.Header{}, Fields: fields}
}

// loadScale is the number of slots in load reports. Loads are fractions, and
// reports hold integers.
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

// requestPath encodes the priority and the service time of a request in its
// path, so that requests take the same time in both variants.
func requestPath(p model.Priority, serviceTime time.Duration) string {
	return fmt.Sprintf("/%d/%d", p, serviceTime)
}

func parseRequestPath(call *exchange.Call) (p model.Priority, serviceTime time.Duration) {
	if _, err := fmt.Sscanf(call.Target, "/%d/%d", &p, &serviceTime); err != nil {
		panic(err)
	}
	return p, serviceTime
}
