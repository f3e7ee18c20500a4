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
)

const (
	// answerGrace is how long after the end of a request's time the endpoint's
	// own answer to that is awaited: a round trip between regions.
	answerGrace = 90 * time.Millisecond
	// detachedGrace is how long after its time a request that may not be
	// repeated goes on without its caller.
	detachedGrace = time.Second
	// maxUnsent bounds the attempts of a request that reach no endpoint.
	maxUnsent = 4
)

// errCallerGone is the cause of attempts that end with their caller.
const errCallerGone = errors.ConstError("caller left")

// attempt is one ended attempt.
type attempt struct {
	pick   *steering.Pick
	result exchange.Result
	took   time.Duration
}

// handling is the state of a request while attempts are made.
type handling struct {
	*Engine
	req     *Request
	service model.Service
	results chan attempt
	// cancels end the attempts under way.
	cancels map[*steering.Pick]context.CancelCauseFunc
	tried   []model.EndpointID
	// sent counts attempts that reached an endpoint; unsent the others.
	sent, unsent int
	// fallback is an endpoint's failure that is delivered if nothing better
	// comes.
	fallback *attempt
	// mayHaveRun is set once an attempt ended without saying that it did not
	// run.
	mayHaveRun bool
	last       *steering.Pick
	// paid is set while a token of the budget is taken for an attempt that has
	// not begun.
	paid bool
	// intended is set once the request's Intent has returned nil.
	intended bool
	// fingerprint and verdict are those of the quarantine.
	fingerprint uint64
	verdict     Verdict
}

// Do sends the request to endpoints until there is an answer, at most until the
// request's time is over. The context's end means that the caller has left.
func (e *Engine) Do(ctx context.Context, req *Request) Answer {
	hd := &handling{Engine: e, req: req, service: e.split.choose(req.Route),
		results: make(chan attempt, maxUnsent+req.Route.MaxAttempts+1),
		cancels: map[*steering.Pick]context.CancelCauseFunc{}}
	if refusal := hd.checkQuarantine(); refusal != nil {
		return *refusal
	}
	if refusal := hd.countIn(); refusal != nil {
		return *refusal
	}
	a := hd.run(ctx)
	hd.release()
	a.Attempts, a.LastPick = hd.sent+hd.unsent, hd.last
	return a
}

// repeatReturn is the Retry-After of a repetition beyond the budget.
const repeatReturn = time.Second

// countIn counts the request in the retry budget.
func (hd *handling) countIn() *Answer {
	now := time.Now()
	if hd.req.CallerRetries == 0 {
		hd.cfg.Budget.Deposit(hd.service, now)
		return nil
	}
	if !hd.cfg.Budget.AllowCallerRetry(hd.service, now) {
		return refused("retry-budget", repeatReturn)
	}
	return nil
}

// run is the loop of a request.
func (hd *handling) run(ctx context.Context) Answer {
	if refusal := hd.start(ctx); refusal != nil {
		if refusal = hd.wait(ctx, refusal); refusal != nil {
			return *refusal
		}
	}
	end := time.NewTimer(time.Until(hd.req.Deadline) + answerGrace)
	defer end.Stop()
	hedge := time.NewTimer(hd.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case a := <-hd.results:
			delete(hd.cancels, a.pick)
			if done := hd.ended(ctx, a); done != nil {
				return *done
			}
			if hd.cfg.Admission != nil {
				hedge.Reset(hd.hedgeAfter())
			}
		case <-hedge.C:
			if !hd.hedge(ctx) {
				hd.giveUp()
			}
		case <-end.C:
			return *hd.timedOut()
		case <-ctx.Done():
			return *callerLeft(hd.outcome())
		}
	}
}

// wait keeps a refused request in line for a free slot, if that has hope. It
// returns nil once an attempt has begun.
func (hd *handling) wait(ctx context.Context, refusal *Answer) *Answer {
	if refusal.Reason != string(steering.ReasonOverload) && refusal.Reason != string(steering.ReasonShiftCapped) {
		return refusal
	}
	if hd.cfg.Admission != nil {
		return refusal // It has waited at the gate.
	}
	place := hd.lines.join(hd.service, hd.req.Route.Rank)
	if place == nil {
		return refusal
	}
	served := false
	defer func() { hd.lines.leave(hd.service, place, served) }()
	enough := time.NewTimer(time.Duration(holdShare * float64(time.Until(hd.req.Deadline))))
	defer enough.Stop()
	retry := time.NewTicker(lineRetry)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return callerLeft(model.OutcomeNotRun)
		case <-enough.C:
			return refusal
		case <-place.moved:
		case <-retry.C:
		}
		if !hd.lines.first(hd.service, place) {
			continue
		}
		if refusal = hd.start(ctx); refusal == nil {
			served = true
			return nil
		}
		if refusal.Reason == string(steering.ReasonDeadline) {
			return refusal
		}
	}
}

// outcome is what is known of the request while attempts may be under way.
func (hd *handling) outcome() model.Outcome {
	if hd.mayHaveRun || len(hd.cancels) > 0 {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

// start begins an attempt, or returns the refusal.
func (hd *handling) start(ctx context.Context) *Answer {
	if hd.cfg.Admission == nil {
		return hd.startAt(ctx, nil)
	}
	return hd.startThroughGate(ctx)
}

// startAt chooses an endpoint, in the region of the permit if there is one, and
// begins an attempt there. It returns the refusal if there is none.
func (hd *handling) startAt(ctx context.Context, permit Permit) *Answer {
	now := time.Now()
	choice := hd.cfg.Table.Choose(now, steering.Request{
		Service: hd.service, Object: hd.req.Object, Rank: hd.rank(),
		UntilDeadline: hd.req.Deadline.Sub(now), UntilSoftDeadline: hd.req.SoftDeadline.Sub(now), Target: hd.req.Route.TargetLatency,
		Allows: hd.allows(permit), Tried: hd.tried, Exclusive: hd.verdict == VerdictIsolate,
	})
	if choice.Pick == nil {
		a := refused(string(choice.Reason), choice.RetryAfter)
		a.Expected = choice.Expected
		return a
	}
	if refusal := hd.intend(ctx); refusal != nil {
		hd.cfg.Table.Finish(now, choice.Pick, steering.Report{Result: steering.NotStarted})
		return refusal
	}
	hd.last = choice.Pick
	hd.begin(ctx, choice.Pick, permit)
	return nil
}

// rank is the request's rank for the choice of an endpoint. Behind a gate all are
// equal: it has decided who is next.
func (hd *handling) rank() int {
	if hd.cfg.Admission != nil {
		return 0
	}
	return hd.req.Route.Rank
}

// allows says in which regions an attempt may run.
func (hd *handling) allows(permit Permit) func(model.Region) bool {
	if permit == nil {
		return hd.req.Route.Allows
	}
	region := permit.Region()
	return func(r model.Region) bool { return r == region && hd.req.Route.Allows(r) }
}

// noIntentReturn is the Retry-After of a request whose intent was not recorded:
// another witness is used by then.
const noIntentReturn = time.Second

// intend records the intent of the request before its first attempt.
func (hd *handling) intend(ctx context.Context) *Answer {
	if hd.req.RecordIntent == nil || hd.intended {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, hd.req.Deadline)
	defer cancel()
	if err := hd.req.RecordIntent(ctx); err != nil {
		return refused("no-intent", noIntentReturn)
	}
	hd.intended = true
	return nil
}

// begin sends the request to the picked endpoint in a goroutine of its own.
func (hd *handling) begin(ctx context.Context, p *steering.Pick, permit Permit) {
	actx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	hd.cancels[p] = cancel
	if permit != nil && hd.req.Route.Repeatable {
		permit.Preemptible(func() { cancel(errPreempted) })
	}
	call := &exchange.Call{Method: hd.req.Method, Target: hd.req.Target, Host: hd.req.Host,
		Header: hd.req.Header, Body: hd.req.Body, ID: hd.req.ID, Deadline: hd.req.Deadline,
		RequireRecent: !hd.req.Route.Repeatable}
	to := exchange.Target{ID: p.ID, Addr: p.Addr, MaxConns: hd.maxConns()}
	hd.detached.Add(1)
	go func() {
		defer hd.detached.Done()
		defer cancel(nil)
		started := time.Now()
		hd.startedAt(p)
		res := hd.cfg.Transport.Do(actx, to, call)
		took := time.Since(started)
		hd.endedAt(p, res, took)
		hd.learn(p, res, time.Now())
		hd.vacate(permit, p, res, took)
		hd.results <- attempt{p, res, took}
		hd.lines.freed(p.Service)
	}()
}

// maxConns is this instance's part of the connections of an endpoint.
func (hd *handling) maxConns() int {
	state := hd.cfg.State()
	if state == nil {
		return 0
	}
	most := state.Services[hd.service].MaxConnections
	return max(most/max(hd.cfg.Instances(), 1), minConns)
}

// minConns is the least number of connections to an endpoint.
const minConns = 2

// learn tells steering how the attempt ended.
func (e *Engine) learn(p *steering.Pick, res exchange.Result, now time.Time) {
	report := steering.Report{Result: resultOf(res), HasLoad: res.Fields.HasLoad, Load: loadOf(p, res.Fields.Load)}
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
	if report.Result == steering.Unreachable || report.Result == steering.WrongEndpoint {
		e.cfg.OnUnreachable(p.Endpoint, res.Err)
	}
}

// loadOf is the number of requests that an endpoint reports, which may count in
// other slots than its entry names.
func loadOf(p *steering.Pick, l exchange.Load) int {
	n := l.Running + l.Waiting
	if l.Slots > 0 && l.Slots != p.Slots {
		return (n*p.Slots + l.Slots/2) / l.Slots // Rounded to the nearest.
	}
	return n
}

// resultOf says what an exchange shows about the endpoint.
func resultOf(res exchange.Result) steering.Result {
	switch res.Outcome {
	case exchange.Answered:
		if res.Status >= http.StatusInternalServerError {
			return steering.Failed
		}
		return steering.Answered
	case exchange.NotRun:
		if res.Fields.Misdirected {
			return steering.WrongEndpoint
		}
		return steering.Shed
	case exchange.NotSent:
		if errors.Is(res.Err, exchange.ErrTooManyConns) {
			return steering.Shed
		}
		return steering.Unreachable
	case exchange.Abandoned:
		if errors.Is(res.Err, errTooSlow) {
			// A probe tells whether the endpoint is lost or a connection silent.
			return steering.Unreachable
		}
		return steering.Abandoned
	}
	return steering.Failed
}

// ended decides what follows an attempt. It returns nil while the request goes
// on.
func (hd *handling) ended(ctx context.Context, a attempt) *Answer {
	hd.note(a)
	if a.result.Outcome == exchange.Answered && a.result.Status < http.StatusInternalServerError {
		return &Answer{Response: &a.result, Reason: "answered", Outcome: model.OutcomeAnswered}
	}
	if len(hd.cancels) > 0 {
		hd.logAttempt(hd.req, a, "await the other attempt")
		return nil
	}
	var refusal *Answer
	why := hd.mayRetry(a)
	if why == "" {
		if refusal = hd.start(ctx); refusal == nil {
			hd.logAttempt(hd.req, a, "another endpoint")
			return nil
		}
		why = refusal.Reason
	}
	final := hd.conclude(a, refusal, why)
	hd.logAttempt(hd.req, a, "end: "+why)
	return final
}

// note keeps what the end of an attempt says about the request.
func (hd *handling) note(a attempt) {
	if a.result.Outcome == exchange.NotSent {
		hd.unsent++
	} else {
		hd.sent++
	}
	if !preempted(a.result) {
		hd.tried = append(hd.tried, a.pick.ID)
	}
	switch a.result.Outcome {
	case exchange.Answered:
		hd.mayHaveRun = true
		if a.result.Status >= http.StatusInternalServerError {
			hd.fallback = &a
		}
	case exchange.Unknown, exchange.Abandoned:
		hd.mayHaveRun = true
	}
}

// mayRetry returns why there is no other attempt, or "" if there is one.
func (hd *handling) mayRetry(a attempt) string {
	switch {
	case hd.mayHaveRun && !hd.req.Route.Repeatable:
		return "may-have-run"
	case hd.sent >= hd.req.Route.MaxAttempts:
		return "attempts-used"
	case hd.unsent >= maxUnsent:
		return "endpoints-unreachable"
	case time.Until(hd.req.Deadline) <= 0:
		return "deadline"
	}
	if a.result.Outcome == exchange.NotSent && hd.sent == 0 {
		return "" // No endpoint has seen the request yet.
	}
	if !hd.paid && !hd.cfg.Budget.Withdraw(hd.service, time.Now()) {
		return "retry-budget"
	}
	hd.paid = false
	return ""
}

// conclude chooses the final answer after the last attempt.
func (hd *handling) conclude(a attempt, refusal *Answer, why string) *Answer {
	switch {
	case hd.fallback != nil:
		return &Answer{Response: &hd.fallback.result, Reason: "endpoint-failed", Outcome: model.OutcomeAnswered}
	case refusal != nil && refusal.CallerGone:
		return callerLeft(hd.outcome())
	case hd.mayHaveRun:
		return unknown(http.StatusBadGateway, why)
	case refusal != nil:
		return refusal
	}
	after := elsewhere
	if a.result.Outcome == exchange.NotRun {
		after = hd.shedReturn()
	}
	return refused(why, after)
}

// shedReturn is when a caller returns whose request endpoints refused: spread
// over a part of its time.
func (hd *handling) shedReturn() time.Duration {
	left := time.Until(hd.req.Deadline)
	return max(elsewhere, time.Duration((0.05+0.15*rand.Float64())*float64(left)))
}

// timedOut is the answer when the request's time is over.
func (hd *handling) timedOut() *Answer {
	switch {
	case hd.fallback != nil:
		return &Answer{Response: &hd.fallback.result, Reason: "endpoint-failed", Outcome: model.OutcomeAnswered}
	case hd.outcome() == model.OutcomeNotRun:
		return refused("timeout", elsewhere)
	}
	return unknown(http.StatusGatewayTimeout, "timeout")
}

// hedgeAfter is when another endpoint gets the request too.
func (hd *handling) hedgeAfter() time.Duration {
	const never = time.Hour
	if !hd.req.Route.Repeatable || hd.last == nil || hd.verdict != VerdictAllow {
		return never
	}
	if hd.cfg.Admission != nil {
		return max(hd.last.HedgeDelay, hd.last.RTT()+leastPatience)
	}
	return hd.last.HedgeDelay
}

// hedge starts a second attempt beside the first. It reports false if only a
// slot for it is missing.
func (hd *handling) hedge(ctx context.Context) bool {
	if len(hd.cancels) != 1 || hd.sent+1 >= hd.req.Route.MaxAttempts || time.Until(hd.req.Deadline) <= 0 {
		return true
	}
	if !hd.cfg.Budget.Withdraw(hd.service, time.Now()) {
		return true
	}
	hd.paid = true
	first := hd.last
	hd.tried = append(hd.tried, first.ID)
	if refusal := hd.startBeside(ctx); refusal != nil {
		return false
	}
	hd.paid = false
	hd.logHedge(hd.req, first, hd.last, time.Since(hd.req.Arrived))
	return true
}

// release ends the attempts that are no longer needed. A request that may not
// be repeated goes on for its time, because it may be at work already.
func (hd *handling) release() {
	if hd.req.Route.Repeatable {
		for _, cancel := range hd.cancels {
			cancel(errCallerGone)
		}
		return
	}
	left := time.Until(hd.req.Deadline) + detachedGrace
	for _, cancel := range hd.cancels {
		time.AfterFunc(left, func() { cancel(errCallerGone) })
	}
}
