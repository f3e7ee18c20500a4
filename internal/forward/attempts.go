package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
	"jujubestile.example/jujubestile/internal/tenant"
)

const (
	// answerGrace is how long after a request's deadline the endpoint's response
	// is still awaited, because the endpoint itself may respond that the deadline
	// has passed. It is a round trip between regions.
	answerGrace = 90 * time.Millisecond
	// detachedGrace is how long after the request's deadline an attempt of a
	// non-repeatable request may continue without its caller.
	detachedGrace = time.Second
	// maxUnsent bounds the attempts of a request that reach no endpoint.
	maxUnsent = 4
)

// errNotNeeded is the cancellation cause of attempts whose response is no longer
// needed, because the request has ended or the caller has disconnected.
const errNotNeeded = errors.ConstError("attempt no longer needed")

// attempt is an ended attempt.
type attempt struct {
	pick   *steering.Pick
	result exchange.Result
	took   time.Duration
}

// execution is the state of a request while it is being executed.
type execution struct {
	*Engine
	req     *Request
	service model.Service
	results chan attempt
	// cancels holds the cancel functions of the running attempts.
	cancels map[*steering.Pick]context.CancelCauseFunc
	tried   []model.EndpointID
	// sent counts attempts that reached an endpoint, unsent those that did
	// not.
	sent, unsent int
	// fallback is an attempt that was answered with a server error. It is the
	// answer if no other attempt succeeds.
	fallback *attempt
	// mayHaveRun is set once an attempt ended that the endpoint may have
	// executed.
	mayHaveRun bool
	last       *steering.Pick
	// tokenTaken is set while a token of the retry budget is taken for an
	// attempt that has not started.
	tokenTaken bool
	// intentRecorded is set once the request's RecordIntent has returned nil.
	intentRecorded bool
	// fingerprint identifies the request in the quarantine, and verdict is
	// the quarantine's decision on it.
	fingerprint uint64
	verdict     Verdict
	// decision is the last decision on the caller's API key.
	decision tenant.Decision
	tokens   quotaTokens
}

// Do sends the request to endpoints until there is an answer or the request's
// deadline has passed. A cancelled ctx means that the caller has
// disconnected.
func (e *Engine) Do(ctx context.Context, req *Request) Answer {
	if ctx.Err() != nil {
		return *callerGone(model.OutcomeNotRun) // It was pipelined by a caller that has left.
	}
	ex := &execution{Engine: e, req: req, service: e.split.choose(req.Route),
		results: make(chan attempt, maxUnsent+req.Route.MaxAttempts+1),
		cancels: map[*steering.Pick]context.CancelCauseFunc{}, tokens: newQuotaTokens(e.cfg.Quota, req)}
	defer ex.tokens.refund()
	if refusal := ex.checkQuarantine(); refusal != nil {
		return *refusal
	}
	if refusal := ex.chargeBudget(); refusal != nil {
		return *refusal
	}
	a := ex.run(ctx)
	ex.cancelAttempts()
	a.Attempts, a.LastPick = ex.sent+ex.unsent, ex.last
	return a
}

// run starts attempts and waits for their results until the request has an
// answer.
func (ex *execution) run(ctx context.Context) Answer {
	if refusal := ex.start(ctx); refusal != nil {
		if refusal = ex.wait(ctx, refusal); refusal != nil {
			return *refusal
		}
	}
	end := time.NewTimer(time.Until(ex.req.Deadline) + answerGrace)
	defer end.Stop()
	hedge := time.NewTimer(ex.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case a := <-ex.results:
			delete(ex.cancels, a.pick)
			if done := ex.attemptEnded(ctx, a); done != nil {
				return *done
			}
			if ex.cfg.Admission != nil {
				hedge.Reset(ex.hedgeDelay())
			}
		case <-hedge.C:
			if !ex.hedge(ctx) {
				ex.cancelSlow()
			}
		case <-end.C:
			return *ex.timedOut()
		case <-ctx.Done():
			return *callerGone(ex.outcome())
		}
	}
}

// wait queues a refused request for a free slot, if it is likely to get one
// in time. It returns nil once an attempt has started.
func (ex *execution) wait(ctx context.Context, refusal *Answer) *Answer {
	if refusal.Reason != string(steering.ReasonOverload) && refusal.Reason != string(steering.ReasonShiftCapped) {
		return refusal
	}
	if ex.cfg.Admission != nil {
		return refusal // It has waited for admission.
	}
	w := ex.queues.join(ex.service, ex.req.Rank())
	if w == nil {
		return refusal
	}
	served := false
	defer func() { ex.queues.leave(ex.service, w, served) }()
	limit := time.NewTimer(time.Duration(maxWaitShare * float64(time.Until(ex.req.Deadline))))
	defer limit.Stop()
	retry := time.NewTicker(queueRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return callerGone(model.OutcomeNotRun)
		case <-limit.C:
			return refusal
		case <-w.wake:
		case <-retry.C:
		}
		if !ex.queues.isFirst(ex.service, w) {
			continue
		}
		if refusal = ex.start(ctx); refusal == nil {
			served = true
			return nil
		}
		if refusal.Reason == string(steering.ReasonDeadline) || !mayBecomePossible(refusal) {
			return refusal
		}
	}
}

// outcome returns the outcome of the request if it ends now, when attempts may
// still be running.
func (ex *execution) outcome() model.Outcome {
	if ex.mayHaveRun || len(ex.cancels) > 0 {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

// start starts an attempt, or returns a refusal.
func (ex *execution) start(ctx context.Context) *Answer {
	if ex.cfg.Admission == nil {
		return ex.startAt(ctx, nil)
	}
	return ex.startAdmitted(ctx)
}

// startAt chooses an endpoint, in the region of the permit if there is one,
// and starts an attempt there. It returns a refusal if the request may not be
// sent, if no endpoint can be used, if the intent could not be recorded, or if a
// shutdown would cut it.
func (ex *execution) startAt(ctx context.Context, permit Permit) *Answer {
	if refusal := ex.authorize(); refusal != nil {
		return refusal
	}
	now := time.Now()
	if refusal := ex.refuseUnfinishable(ex.req, now); refusal != nil {
		return refusal
	}
	if refusal := ex.refuseBehind(); refusal != nil {
		return refusal
	}
	choice := ex.cfg.Table.Choose(now, steering.Request{
		Service: ex.service, Object: ex.req.Object, Rank: ex.rank(), RankOfTenant: ex.req.Tenant != nil,
		UntilDeadline: ex.req.Deadline.Sub(now), UntilSoftDeadline: ex.req.SoftDeadline.Sub(now), TargetLatency: ex.req.Route.TargetLatency,
		Allows: ex.allows(permit), Tried: ex.tried, Exclusive: ex.verdict == VerdictIsolate,
	})
	if choice.Pick == nil {
		a := refused(string(choice.Reason), choice.RetryAfter)
		a.Expected = choice.Expected
		return a
	}
	if refusal := ex.recordIntent(ctx); refusal != nil {
		ex.cfg.Table.Finish(now, choice.Pick, steering.Report{Result: steering.NotStarted})
		return refusal
	}
	ex.last = choice.Pick
	ex.send(ctx, choice.Pick, permit)
	return nil
}

// rank returns the rank for the choice of an endpoint. With admission control
// it is the same for all requests, because admission control has already put
// them in order.
func (ex *execution) rank() int {
	if ex.cfg.Admission != nil {
		return 0
	}
	return ex.req.Rank()
}

// intentRetryAfter is the Retry-After of a request whose intent could not be
// recorded. By then another instance is the witness, which keeps the record.
const intentRetryAfter = time.Second

// recordIntent calls the request's RecordIntent before the first attempt. It
// returns a refusal if the intent could not be recorded.
func (ex *execution) recordIntent(ctx context.Context) *Answer {
	if ex.req.RecordIntent == nil || ex.intentRecorded {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, ex.req.Deadline)
	defer cancel()
	if err := ex.req.RecordIntent(ctx); err != nil {
		return refused("no-intent", intentRetryAfter)
	}
	ex.intentRecorded = true
	return nil
}

// send sends the request to the picked endpoint in a new goroutine.
func (ex *execution) send(ctx context.Context, p *steering.Pick, permit Permit) {
	actx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	ex.cancels[p] = cancel
	if permit != nil && ex.req.Route.Repeatable {
		permit.Preemptible(func() { cancel(errPreempted) })
	}
	call := &exchange.Call{Method: ex.req.Method, Target: ex.req.Target, Host: ex.req.Host,
		Header: ex.req.Header, Body: ex.req.Body, MoreBody: ex.req.MoreBody, ID: ex.req.ID, Deadline: ex.req.Deadline,
		RequireRecent: !ex.req.Route.Repeatable, Permitted: ex.permitted(p)}
	ex.setTenant(call)
	ex.tokens.use()
	to := exchange.Target{ID: p.ID, Addr: p.Addr, MaxConns: ex.maxConns()}
	ex.running.Add(1)
	ex.req.charge.retain()
	go func() {
		defer ex.running.Done()
		defer ex.req.charge.release()
		defer cancel(nil)
		started := time.Now()
		ex.quarantineStart(p)
		res := ex.cfg.Transport.Do(actx, to, call)
		took := time.Since(started)
		ex.quarantineEnd(p, res, took)
		ex.recordResult(p, res, time.Now())
		ex.releaseSlot(permit, p, res, took)
		ex.results <- attempt{p, res, took}
		ex.queues.slotFreed(p.Service)
	}()
}

// recordResult reports an ended attempt to the steering table and the retry
// budget.
func (e *Engine) recordResult(p *steering.Pick, res exchange.Result, now time.Time) {
	report := steering.Report{Result: resultOf(res), HasLoad: res.Fields.HasLoad, Load: reportedLoad(p, res.Fields.Load)}
	if reports(p.Endpoint, res.Fields) {
		report.Speed = res.Fields.Load.Speed
	}
	e.cfg.Table.Finish(now, p, report)
	if report.Result != steering.Abandoned && report.Result != steering.Shed {
		e.cfg.Budget.RecordAttempt(p.Service, report.Result != steering.Answered, now)
	}
	if res.DialTime > 0 && res.Err == nil {
		e.cfg.Table.RecordRTT(p.Region, res.DialTime)
	}
	if res.Fields.ColdFor > 0 {
		e.cfg.Table.MarkCold(p.ID, res.Fields.ColdFor, now)
	}
	e.recordWishes(p.Endpoint, res.Fields, now)
	if e.cfg.OnRateLimit != nil && (res.Outcome == exchange.Answered || res.Outcome == exchange.NotRun && !res.Fields.Misdirected) {
		e.cfg.OnRateLimit(p.ID, res.Fields.RateLimit, res.Fields.HasRateLimit)
	}
	if report.Result == steering.Unreachable || report.Result == steering.Misdirected {
		e.cfg.OnUnreachable(p.Endpoint, res.Err)
	}
}

// recordWishes records what an endpoint has said about further requests, unless the
// response is of another endpoint.
func (e *Engine) recordWishes(to steering.Endpoint, f exchange.ResponseFields, now time.Time) {
	if !reports(to, f) {
		return
	}
	if f.BadSpeed != "" {
		e.logBadSpeed(to, f)
	}
	if f.Leaving && e.cfg.Table.RecordLeaving(to, now) && e.cfg.OnLeaving != nil {
		e.cfg.OnLeaving(to)
	}
	if f.RetryAfter > 0 {
		e.cfg.Table.Pause(to, f.RetryAfter, now)
	}
	if f.RetryAfter > 0 || f.BadRetryAfter != "" {
		e.logPause(to, f)
	}
}

// resultOf derives the result for steering from that of an exchange.
func resultOf(res exchange.Result) steering.Result {
	switch res.Outcome {
	case exchange.Answered:
		if res.Status >= http.StatusInternalServerError {
			return steering.Failed
		}
		return steering.Answered
	case exchange.NotRun:
		if res.Fields.Misdirected {
			return steering.Misdirected
		}
		return steering.Shed
	case exchange.NotSent:
		switch {
		case errors.Is(res.Err, exchange.ErrTooManyConns), errors.Is(res.Err, exchange.ErrTooManyBytes):
			return steering.Shed
		case errors.Is(res.Err, exchange.ErrNotPermitted), errors.Is(res.Err, errNotNeeded), errors.Is(res.Err, errPreempted):
			return steering.NotStarted
		}
		return steering.Unreachable
	case exchange.Abandoned:
		if errors.Is(res.Err, errHedgeDelayExceeded) {
			// A probe finds out whether the endpoint or only a connection has failed.
			return steering.Unreachable
		}
		return steering.Abandoned
	}
	return steering.Failed
}

// attemptEnded decides how to continue after an attempt. It returns nil while
// the request continues.
func (ex *execution) attemptEnded(ctx context.Context, a attempt) *Answer {
	ex.record(a)
	if a.result.Outcome == exchange.Answered && a.result.Status < http.StatusInternalServerError && !promisesNotRun(a.result.Status) {
		return &Answer{Response: &a.result, Reason: "answered", Outcome: model.OutcomeAnswered}
	}
	if len(ex.cancels) > 0 {
		ex.logAttempt(ex.req, a, "await the other attempt")
		return nil
	}
	var refusal *Answer
	reason := ex.noRetryReason(a)
	if reason == "" {
		if refusal = ex.start(ctx); refusal == nil {
			ex.logAttempt(ex.req, a, "another endpoint")
			return nil
		}
		reason = refusal.Reason
	}
	final := ex.finalAnswer(a, refusal, reason)
	ex.logAttempt(ex.req, a, "end: "+reason)
	return final
}

// record updates the state of the request with an ended attempt.
func (ex *execution) record(a attempt) {
	ex.tokens.ended(a.result.Outcome)
	if a.result.Outcome == exchange.NotSent {
		ex.unsent++
	} else {
		ex.sent++
	}
	if !preempted(a.result) {
		ex.tried = append(ex.tried, a.pick.ID)
	}
	switch a.result.Outcome {
	case exchange.Answered:
		ex.mayHaveRun = true
		if !promisesNotRun(a.result.Status) {
			ex.fallback = &a
		}
	case exchange.Unknown, exchange.Abandoned:
		ex.mayHaveRun = true
	}
}

// finalAnswer returns the answer after the last attempt.
func (ex *execution) finalAnswer(a attempt, refusal *Answer, reason string) *Answer {
	switch {
	case ex.fallback != nil:
		return &Answer{Response: &ex.fallback.result, Reason: "endpoint-failed", Outcome: model.OutcomeAnswered}
	case refusal != nil && refusal.CallerGone:
		return callerGone(ex.outcome())
	case ex.mayHaveRun:
		return unknown(http.StatusBadGateway, reason)
	case refusal != nil:
		return refusal
	}
	after := otherInstanceRetryAfter
	if a.result.Outcome == exchange.NotRun {
		after = ex.shedRetryAfter()
	}
	return refused(reason, after)
}

// shedRetryAfter returns a random Retry-After in proportion to the time left,
// for a request that endpoints refused.
func (ex *execution) shedRetryAfter() time.Duration {
	left := time.Until(ex.req.Deadline)
	return max(otherInstanceRetryAfter, time.Duration((0.05+0.15*rand.Float64())*float64(left)))
}

// timedOut returns the answer to a request whose deadline has passed.
func (ex *execution) timedOut() *Answer {
	switch {
	case ex.fallback != nil:
		return &Answer{Response: &ex.fallback.result, Reason: "endpoint-failed", Outcome: model.OutcomeAnswered}
	case ex.outcome() == model.OutcomeNotRun:
		return refused("timeout", otherInstanceRetryAfter)
	}
	return unknown(http.StatusGatewayTimeout, "timeout")
}

// hedgeDelay returns the time after which the request is sent to a second
// endpoint as well.
func (ex *execution) hedgeDelay() time.Duration {
	const never = time.Hour
	if !ex.req.Route.Repeatable || ex.last == nil || ex.verdict != VerdictAllow {
		return never
	}
	if ex.cfg.Admission != nil {
		return max(ex.last.HedgeDelay, ex.last.RTT()+minHedgeDelay)
	}
	return ex.last.HedgeDelay
}

// hedge starts a second attempt in parallel to the first. It returns false if
// the second attempt was permitted but could not start.
func (ex *execution) hedge(ctx context.Context) bool {
	if len(ex.cancels) != 1 || ex.sent+1 >= ex.req.Route.MaxAttempts || time.Until(ex.req.Deadline) <= 0 {
		return true
	}
	if !ex.cfg.Budget.WithdrawSpare(ex.service, time.Now()) {
		return true
	}
	ex.tokenTaken = true
	first := ex.last
	ex.tried = append(ex.tried, first.ID)
	if refusal := ex.startHedge(ctx); refusal != nil {
		return false
	}
	ex.tokenTaken = false
	ex.logHedge(ex.req, first, ex.last, time.Since(ex.req.Arrived))
	return true
}

// cancelAttempts cancels attempts whose responses are no longer needed. Those
// of non-repeatable requests may already be executing and continue until some
// time after the deadline.
func (ex *execution) cancelAttempts() {
	if ex.req.Route.Repeatable {
		for _, cancel := range ex.cancels {
			cancel(errNotNeeded)
		}
		return
	}
	left := time.Until(ex.req.Deadline) + detachedGrace
	for _, cancel := range ex.cancels {
		time.AfterFunc(left, func() { cancel(errNotNeeded) })
	}
}
