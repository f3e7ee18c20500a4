package dispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/retry"
)

const (
	// defaultTimeout is the deadline of a request whose context has none. A
	// slot must have an end.
	defaultTimeout = 30 * time.Second
	// maxAttempts bounds the attempts of one request whatever the budget says.
	maxAttempts = 4
	// nearCancelTime and farCancelTime are how long a slot stays taken after a
	// repeatable request was cancelled without an answer: the time until the
	// endpoint has received the cancellation. One way is 1.5 ms inside a region
	// and at most 35 ms between regions; the rest is for the endpoint to stop.
	nearCancelTime = 10 * time.Millisecond
	farCancelTime  = 100 * time.Millisecond
)

// Result is what became of a request.
type Result struct {
	Outcome model.Outcome
	// Response is nil unless the outcome is answered.
	Response *Response
	Reason   Reason
	// Attempts is how many times the request was handed to the Transport.
	Attempts int
	// RetryAfter is when a repetition has a chance; 0 means no advice.
	RetryAfter time.Duration
	// Endpoint and Region are where the last attempt went.
	Endpoint model.EndpointID
	Region   model.Region
}

// Config holds the parts of a Dispatcher.
type Config struct {
	// Region is the instance's own region.
	Region    model.Region
	Admission Admission
	Balancer  Balancer
	Transport Transport
	Retry     *retry.Policy
	// Quarantine may be nil.
	Quarantine Quarantine
}

// Dispatcher takes requests from admission to their outcome. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg    Config
	alone  Isolator
	hedges sync.WaitGroup
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{cfg: cfg}
	d.alone, _ = cfg.Balancer.(Isolator)
	return d
}

// Wait returns when no hedged attempt is in flight any more. Such an attempt
// may end shortly after the Do that started it.
func (d *Dispatcher) Wait() { d.hedges.Wait() }

// Do runs the request and returns its outcome. The context's deadline is the
// request's; when the context is cancelled, the request is cancelled at the
// endpoint. A non-repeatable request needs a claim; Do records its intent once,
// directly before it sends the request for the first time.
//
// The request is not to be changed afterwards: a hedged attempt that lost may
// read it until its Transport returns.
//
// Not run is reported only if no attempt reached an endpoint, or the endpoint
// refused the request each time.
func (d *Dispatcher) Do(ctx context.Context, r *Request, claim Claim) Result {
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
		ctx = limited
	}
	x := exchange{d: d, r: r, claim: claim, policy: d.cfg.Retry.Service(r.Service)}
	x.tried = x.triedArray[:0]
	if !x.withinBudget() {
		x.last.reason = ReasonRetryBudget
		x.last.retryAfter = time.Second
		return x.result()
	}
	return x.run(ctx)
}

// exchange is the state of one request in Do.
type exchange struct {
	d      *Dispatcher
	r      *Request
	claim  Claim
	policy *retry.ServicePolicy

	fingerprint uint64
	verdict     Verdict
	// intended is set once the intent of a non-repeatable request is recorded.
	intended bool
	// mayHaveRun is set once an attempt was interrupted.
	mayHaveRun bool
	attempts   int
	tried      []model.EndpointID
	triedArray [maxAttempts]model.EndpointID // what tried starts with
	avoid      []model.Region
	last       attempt
}

// attempt is the end of one attempt.
type attempt struct {
	response   *Response
	reason     Reason
	retryAfter time.Duration
	endpoint   model.EndpointID
	region     model.Region
	// final means that no further attempt is allowed or useful.
	final bool
}

// withinBudget counts the request. A caller's repetition beyond the budget is
// refused while the service is failing: it would only add attempts. In an
// overload it is served like any other, as it was told to come again.
func (x *exchange) withinBudget() bool {
	if x.r.Attempt == 0 {
		x.policy.Budget.Deposit()
		return true
	}
	return x.policy.Budget.Repeated() || !x.policy.Failing()
}

func (x *exchange) run(ctx context.Context) Result {
	if q := x.d.cfg.Quarantine; q != nil {
		x.fingerprint = Fingerprint(x.r)
		x.verdict = q.Check(x.fingerprint)
		if x.verdict == VerdictRefuse {
			x.last.reason = ReasonQuarantined
			return x.result()
		}
	}
	for n := 0; ; n++ {
		x.try(ctx)
		if !x.mayRetry(ctx, n) {
			return x.result()
		}
		if !pause(ctx, x.d.cfg.Retry.Backoff(n, x.pauseFor())) {
			x.policy.Budget.Refund()
			return x.result()
		}
	}
}

// pauseFor is the Retry-After to obey. It concerns the endpoint that refused,
// so it is not obeyed by going to another one.
func (x *exchange) pauseFor() time.Duration {
	if x.last.reason == ReasonNoEndpoint {
		return x.last.retryAfter
	}
	return 0
}

// mayRetry takes a token for one more attempt, if that is safe and in time.
func (x *exchange) mayRetry(ctx context.Context, n int) bool {
	if x.last.final || x.attempts == 0 || n+1 >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if !x.r.Repeatable && (x.mayHaveRun || x.last.response != nil) {
		return false
	}
	return x.policy.Budget.Withdraw()
}

// pause reports false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// result derives the outcome from all attempts.
func (x *exchange) result() Result {
	res := Result{
		Response:   x.last.response,
		Reason:     x.last.reason,
		Attempts:   x.attempts,
		RetryAfter: x.last.retryAfter,
		Endpoint:   x.last.endpoint,
		Region:     x.last.region,
	}
	switch {
	case res.Response != nil:
		res.Outcome = model.OutcomeAnswered
	case x.mayHaveRun:
		res.Outcome = model.OutcomeUnknown
	default:
		res.Outcome = model.OutcomeNotRun
	}
	return res
}

// try makes one attempt: a slot, an endpoint, the intent, the sending.
func (x *exchange) try(ctx context.Context) {
	answer := x.last.response
	x.last = attempt{response: answer, endpoint: x.last.endpoint, region: x.last.region}
	permit, to, ok := x.place(ctx)
	if !ok {
		return
	}
	if !x.intend(ctx) {
		x.d.cfg.Balancer.Cancel(to.ID)
		permit.Release()
		x.last.reason = ReasonNoIntent
		x.last.retryAfter = time.Second
		x.last.final = true
		return
	}
	x.last.endpoint, x.last.region = to.ID, to.Region
	x.tried = append(x.tried, to.ID)
	x.send(ctx, permit, to)
}

// place takes a slot and an endpoint there. A region without an endpoint to
// try is left for another one.
func (x *exchange) place(ctx context.Context) (Permit, model.Endpoint, bool) {
	for {
		permit, err := x.d.cfg.Admission.Admit(ctx, x.need(ctx))
		if err != nil {
			x.refuse(err)
			return nil, model.Endpoint{}, false
		}
		if to, ok := x.pick(permit.Region()); ok {
			return permit, to, true
		}
		region := permit.Region()
		permit.Release()
		if slices.Contains(x.avoid, region) {
			x.last.reason = ReasonNoEndpoint
			x.last.retryAfter = time.Second
			x.last.final = true
			return nil, model.Endpoint{}, false
		}
		x.avoid = append(x.avoid, region)
	}
}

func (x *exchange) refuse(err error) {
	x.last.final = true
	x.last.reason = ReasonDeadline
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		x.last.reason = refusal.Reason
		x.last.retryAfter = refusal.RetryAfter
	}
	if len(x.avoid) > 0 && x.last.reason == ReasonDeadline {
		x.last.reason = ReasonNoEndpoint
	}
}

func (x *exchange) need(ctx context.Context) Need {
	deadline, _ := ctx.Deadline()
	return Need{
		Service:  x.r.Service,
		Priority: x.r.Priority,
		Deadline: deadline,
		Bytes:    len(x.r.Path) + len(x.r.Body),
		Exclude:  x.avoid,
	}
}

func (x *exchange) pick(region model.Region) (model.Endpoint, bool) {
	now := time.Now()
	if x.verdict == VerdictIsolate && x.d.alone != nil {
		return x.d.alone.PickAlone(now, x.r.Service, region, x.tried)
	}
	return x.d.cfg.Balancer.Pick(now, x.r.Service, region, x.tried)
}

// intend records the intent of a non-repeatable request, once. Without a claim
// such a request is not sent.
func (x *exchange) intend(ctx context.Context) bool {
	if x.r.Repeatable || x.intended {
		return true
	}
	if x.claim == nil || x.claim.Intent(ctx) != nil {
		return false
	}
	x.intended = true
	return true
}

// RetryAfterOf returns the Retry-After of an endpoint's refusal in seconds
// form, or 0.
func RetryAfterOf(r *Response) time.Duration {
	if r == nil || r.Header == nil {
		return 0
	}
	return parseSeconds(r.Header.Get("Retry-After"))
}

// retryableStatus reports whether an answer stands for an endpoint that could
// not do its work rather than for the work's result.
func retryableStatus(s int) bool {
	return s == http.StatusBadGateway || s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout
}
