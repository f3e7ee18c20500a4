package dispatch

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Causes for which the Dispatcher itself cancels an attempt.
const (
	errPreempted = errors.ConstError("attempt preempted by priority 1 work")
	errOvertaken = errors.ConstError("another attempt answered first")
	errTooSlow   = errors.ConstError("attempt took too long")
)

// The first attempt at repeatable work ends after firstFactor times the hedge
// delay, which is the 95th percentile, and not before firstMin. The endpoint
// gets that as its deadline, so a lost attempt returns its slot then and not at
// the caller's deadline. At most 5 % of the attempts take longer than the 95th
// percentile; the retry budget pays for a second attempt without this limit.
const (
	firstFactor = 4
	firstMin    = 400 * time.Millisecond
)

// loadHeader carries an endpoint's load report (ORCA, in the TEXT format:
// "TEXT cpu_utilization=0.3, application_utilization=0.5").
const loadHeader = "Endpoint-Load-Metrics"

// sent is what one Send returned.
type sent struct {
	response *Response
	err      error
	// cause is why the attempt's context was cancelled, or nil.
	cause error
}

// send runs one attempt. The Dispatcher itself cancels only repeatable work:
// preempted, overtaken by a hedged second attempt, or too slow.
func (x *exchange) send(ctx context.Context, permit Permit, to model.Endpoint) {
	x.attempts++
	if !x.r.Repeatable {
		x.conclude(x.attempt(ctx, permit, to))
		return
	}
	own, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	permit.Preemptible(func() { cancel(errPreempted) })
	p95, measured := x.policy.HedgeDelay()
	if !measured {
		x.conclude(x.attempt(own, permit, to))
		return
	}
	if x.attempts == 1 {
		limit := tooSlow(p95)
		own = deadlineContext{own, earlier(ctx, time.Now().Add(limit))}
		timer := time.AfterFunc(limit, func() { cancel(errTooSlow) })
		defer timer.Stop()
	}
	h := x.startHedge(ctx, cancel, p95)
	x.conclude(h.settle(x, x.attempt(own, permit, to)))
}

// tooSlow is the time after which an attempt is given up, by the 95th
// percentile of the latency.
func tooSlow(p95 time.Duration) time.Duration {
	return max(firstMin, firstFactor*p95)
}

// deadlineContext has an earlier deadline than its parent, for the Transport to
// pass on. Whoever made it cancels the parent then. It saves the second timer
// and context of context.WithDeadlineCause.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

func (c deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

func earlier(ctx context.Context, t time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok && d.Before(t) {
		return d
	}
	return t
}

// attempt sends once, teaches the balancer and returns the slot.
func (x *exchange) attempt(ctx context.Context, permit Permit, to model.Endpoint) sent {
	d := x.d
	if q := d.cfg.Quarantine; q != nil {
		q.Started(x.fingerprint, to.ID)
	}
	start := time.Now()
	response, err := d.cfg.Transport.Send(ctx, to, x.r)
	now := time.Now()
	s := sent{response: response}
	s.err = known(response, err)
	if s.err != nil && ctx.Err() != nil {
		s.cause = context.Cause(ctx)
	}
	if q := d.cfg.Quarantine; q != nil {
		x.tell(q, to.ID, s)
	}
	if s.cause == nil && !errors.Is(s.err, ErrRefused) {
		// A cancelled attempt shows nothing about the service, a refusal only load.
		x.policy.Attempted(s.err != nil || retryableStatus(s.response.Status))
	}
	x.observe(now, now.Sub(start), to, s)
	x.release(ctx, now, now.Sub(start), permit, to, s)
	return s
}

// tell ends an attempt in the quarantine.
func (x *exchange) tell(q Quarantine, to model.EndpointID, s sent) {
	switch {
	case s.err == nil:
		q.Finished(x.fingerprint, to, false)
	case s.cause == nil && errors.Is(s.err, ErrBroken):
		q.Finished(x.fingerprint, to, true)
	default:
		q.Cancelled(x.fingerprint, to)
	}
}

// known maps a result outside a Transport's contract to the error that promises
// least.
func known(r *Response, err error) error {
	if err == nil && r == nil {
		return ErrInterrupted
	}
	if err == nil || errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) || errors.Is(err, ErrInterrupted) {
		return err
	}
	return errors.WithType(err, ErrInterrupted)
}

func (x *exchange) observe(now time.Time, latency time.Duration, to model.Endpoint, s sent) {
	o := Observation{Endpoint: to, Latency: latency, Err: s.err, Utilization: -1}
	switch {
	case s.cause == nil:
	case s.cause == errTooSlow, x.failedByTime(s.cause, latency):
		o.Err = ErrInterrupted // also when it was not sent by then
	case s.cause == errOvertaken, errors.Is(s.cause, context.DeadlineExceeded):
		o.Censored = true
	default:
		x.d.cfg.Balancer.Cancel(to.ID)
		return
	}
	if s.response != nil {
		o.Status = s.response.Status
		o.Utilization = utilization(s.response)
		o.RetryAfter = RetryAfterOf(s.response)
	}
	x.d.cfg.Balancer.Observe(now, o)
}

// failedByTime reports whether an attempt that met the caller's deadline had
// enough time to blame the endpoint. Otherwise callers with short deadlines
// would get healthy endpoints ejected.
func (x *exchange) failedByTime(cause error, took time.Duration) bool {
	p95, _ := x.policy.HedgeDelay()
	return errors.Is(cause, context.DeadlineExceeded) && took >= tooSlow(p95)
}

// release returns the slot of an attempt. An interrupted one may still run
// until its deadline. A cancelled repeatable one ends as soon as the endpoint
// has the cancellation. A cancelled non-repeatable one keeps its slot until
// the deadline, because an endpoint need not stop an entry that it has begun.
func (x *exchange) release(ctx context.Context, now time.Time, took time.Duration, permit Permit, to model.Endpoint, s sent) {
	if !errors.Is(s.err, ErrInterrupted) {
		if s.err == nil {
			permit.Answered(took)
			x.policy.Answered(took)
		}
		permit.Release()
		return
	}
	deadline, _ := ctx.Deadline()
	if s.cause != nil && x.r.Repeatable {
		bound := farCancelTime
		if to.Region == x.d.cfg.Region {
			bound = nearCancelTime
		}
		if at := now.Add(bound); at.Before(deadline) {
			deadline = at
		}
	}
	permit.ReleaseAt(deadline)
}

// conclude turns the end of an attempt into the exchange's state.
func (x *exchange) conclude(s sent) {
	switch {
	case s.err == nil:
		x.last.response = s.response
		x.last.reason = ReasonAnswered
		x.last.final = !retryableStatus(s.response.Status)
	case errors.Is(s.err, ErrRefused):
		x.last.reason = ReasonRefused
		x.last.retryAfter = max(time.Second, RetryAfterOf(s.response))
	case errors.Is(s.err, ErrNotSent):
		x.last.reason = ReasonNotSent
		x.last.retryAfter = time.Second
	default:
		x.mayHaveRun = true
		x.interrupted(s.cause)
	}
}

func (x *exchange) interrupted(cause error) {
	switch {
	case cause == nil, cause == errTooSlow:
		x.last.reason = ReasonInterrupted
	case cause == errPreempted:
		x.last.reason = ReasonPreempted
		x.tried = x.tried[:len(x.tried)-1] // the endpoint did nothing wrong
		x.last.retryAfter = time.Second
	case errors.Is(cause, context.DeadlineExceeded):
		x.last.reason = ReasonDeadline
		x.last.final = true
	default:
		x.last.reason = ReasonCancelled
		x.last.final = true
	}
}

// hedge is a second attempt that starts when the first takes unusually long.
type hedge struct {
	timer *time.Timer
	mu    sync.Mutex
	// started is set when the second attempt was sent, done when it ended.
	started bool
	stopped bool
	done    chan struct{}
	end     sent
	to      model.Endpoint
	cancel  context.CancelCauseFunc
}

// startHedge arms the timer of a hedged attempt for repeatable priority 1 and
// 2 work. It returns nil if there is none.
func (x *exchange) startHedge(ctx context.Context, cancelFirst context.CancelCauseFunc, delay time.Duration) *hedge {
	deadline, _ := ctx.Deadline()
	if x.r.Priority == model.PriorityBulk || x.verdict != VerdictAllow || time.Until(deadline) < 2*delay {
		return nil
	}
	h := &hedge{done: make(chan struct{})}
	need, tried := x.need(ctx), slices.Clip(x.tried) // x changes meanwhile
	x.d.hedges.Add(1)
	h.timer = time.AfterFunc(delay, func() {
		defer x.d.hedges.Done()
		h.run(ctx, x, need, tried, cancelFirst)
	})
	return h
}

// run makes the second attempt if a slot, an endpoint and a token are free.
// It never waits for a slot: a request that already runs must not delay others.
func (h *hedge) run(ctx context.Context, x *exchange, need Need, tried []model.EndpointID, cancelFirst context.CancelCauseFunc) {
	defer close(h.done)
	permit, to, ok := x.placeHedge(need, tried)
	if !ok {
		return
	}
	own, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h.mu.Lock()
	h.started = !h.stopped
	h.to = to
	h.cancel = cancel
	started := h.started
	h.mu.Unlock()
	if !started {
		x.policy.Budget.Refund()
		x.d.cfg.Balancer.Cancel(to.ID)
		permit.Release()
		return
	}
	h.end = x.attempt(own, permit, to)
	if h.end.err == nil {
		cancelFirst(errOvertaken)
	}
}

func (x *exchange) placeHedge(need Need, tried []model.EndpointID) (Permit, model.Endpoint, bool) {
	if !x.policy.Budget.Withdraw() {
		return nil, model.Endpoint{}, false
	}
	now := time.Now()
	permit, ok := x.d.cfg.Admission.TryAdmit(now, need)
	if !ok {
		x.policy.Budget.Refund()
		return nil, model.Endpoint{}, false
	}
	to, ok := x.d.cfg.Balancer.Pick(now, need.Service, permit.Region(), tried)
	if !ok {
		permit.Release()
		x.policy.Budget.Refund()
		return nil, model.Endpoint{}, false
	}
	return permit, to, true
}

// settle chooses between the first attempt's end and the second attempt.
func (h *hedge) settle(x *exchange, first sent) sent {
	if h == nil {
		return first
	}
	if h.timer.Stop() {
		x.d.hedges.Done()
		return first
	}
	h.mu.Lock()
	h.stopped = true
	started := h.started
	cancel := h.cancel
	h.mu.Unlock()
	if !started {
		return first
	}
	x.attempts++
	x.tried = append(x.tried, h.to.ID)
	if first.err == nil {
		cancel(errOvertaken)
		return first
	}
	<-h.done
	if h.end.err != nil {
		x.mayHaveRun = x.mayHaveRun || errors.Is(first.err, ErrInterrupted)
		return h.end
	}
	x.last.endpoint, x.last.region = h.to.ID, h.to.Region
	return h.end
}

// Fingerprint identifies requests that do the same at an endpoint: service,
// method, path with query, and body, without the key.
func Fingerprint(r *Request) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, s := range [...]string{string(r.Service), r.Method, r.Path} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// utilization reads the load report of an answer, or returns -1.
func utilization(r *Response) float64 {
	v := r.Header.Get(loadHeader)
	v, ok := strings.CutPrefix(v, "TEXT ")
	if !ok {
		return -1
	}
	u := -1.0
	for field := range strings.SplitSeq(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || f < 0 {
			continue
		}
		if name == "application_utilization" {
			return f
		}
		if name == "cpu_utilization" {
			u = f
		}
	}
	return u
}

func parseSeconds(v string) time.Duration {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > 3600 {
		return 0
	}
	return time.Duration(n) * time.Second
}
