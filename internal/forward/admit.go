package forward

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// errPreempted is the cause of attempts that end to make room for more urgent
// work.
const errPreempted = errors.ConstError("attempt preempted by more urgent work")

// errTooSlow is the cause of attempts that are given up for a slot elsewhere.
const errTooSlow = errors.ConstError("attempt took too long")

// leastPatience is the least time after which an attempt behind a gate takes too
// long beside its way: a pause of the endpoint, as by its garbage collection.
const leastPatience = 30 * time.Millisecond

// giveUp ends an attempt that takes much too long if a second one beside it has
// no slot: behind a gate its own slot is worth more elsewhere. The endpoint may
// be lost, or its connection silent.
func (hd *handling) giveUp() {
	if hd.cfg.Admission == nil {
		return
	}
	for _, cancel := range hd.cancels {
		cancel(errTooSlow)
	}
}

// cancelTime is how long a slot stays taken after a repeatable request was
// cancelled without an answer, beside the way of the cancellation: the time
// that the endpoint needs to stop.
const cancelTime = 5 * time.Millisecond

func preempted(res exchange.Result) bool {
	return res.Outcome == exchange.Abandoned && errors.Is(res.Err, errPreempted)
}

// need describes the slot of the next attempt.
func (hd *handling) need(exclude []model.Region) AdmissionRequest {
	return AdmissionRequest{
		Service: hd.service, Priority: model.Priority(hd.req.Route.Rank + 1), Deadline: hd.req.Deadline,
		Bytes: len(hd.req.Target) + len(hd.req.Body), Exclude: exclude,
	}
}

// startThroughGate waits for a slot and begins an attempt in its region. A
// region without an endpoint to try is left for another one.
func (hd *handling) startThroughGate(ctx context.Context) *Answer {
	limited, cancel := context.WithDeadline(ctx, hd.req.Deadline)
	defer cancel()
	var empty []model.Region
	for {
		permit, err := hd.cfg.Admission.Admit(limited, hd.need(empty))
		if err != nil {
			return gateRefusal(ctx, err, len(empty) > 0)
		}
		refusal := hd.startAt(ctx, permit)
		if refusal == nil {
			return nil
		}
		permit.Release()
		if refusal.Reason != string(steering.ReasonNoEndpoint) || slices.Contains(empty, permit.Region()) {
			return refusal
		}
		empty = append(empty, permit.Region())
	}
}

// gateRefusal is the answer to a request without a slot. noEndpoint is set if
// only regions without an endpoint had slots.
func gateRefusal(ctx context.Context, err error, noEndpoint bool) *Answer {
	if ctx.Err() != nil {
		return callerLeft(model.OutcomeNotRun)
	}
	var refusal *RefusalError
	if !errors.As(err, &refusal) {
		refusal = &RefusalError{Reason: ReasonDeadline}
	}
	reason := string(refusal.Reason)
	if noEndpoint && refusal.Reason == ReasonDeadline {
		reason = string(steering.ReasonNoEndpoint)
	}
	return refused(reason, refusal.RetryAfter)
}

// startBeside begins a second attempt without waiting.
func (hd *handling) startBeside(ctx context.Context) *Answer {
	if hd.cfg.Admission == nil {
		return hd.startAt(ctx, nil)
	}
	permit, ok := hd.cfg.Admission.TryAdmit(time.Now(), hd.need(nil))
	if !ok {
		return refused(string(steering.ReasonOverload), 0)
	}
	refusal := hd.startAt(ctx, permit)
	if refusal != nil {
		permit.Release()
	}
	return refusal
}

// vacate returns the slot of an ended attempt. One without an answer may still
// run until its deadline; a repeatable one that was cancelled ends as soon as
// the endpoint has the cancellation.
func (hd *handling) vacate(permit Permit, p *steering.Pick, res exchange.Result, took time.Duration) {
	if permit == nil {
		return
	}
	switch res.Outcome {
	case exchange.Answered:
		permit.Answered(took)
		permit.Release()
	case exchange.NotRun, exchange.NotSent:
		permit.Release()
	default:
		until := hd.req.Deadline
		if stopped := time.Now().Add(p.RTT() + cancelTime); res.Outcome == exchange.Abandoned && hd.req.Route.Repeatable && stopped.Before(until) {
			until = stopped
		}
		permit.ReleaseAt(until)
	}
}

// ReasonQuarantined is the reason of a refusal of a request that has crashed
// endpoints. It has no Retry-After: a repetition is refused as well.
const ReasonQuarantined = "quarantined"

// checkQuarantine refuses a request that has crashed endpoints.
func (hd *handling) checkQuarantine() *Answer {
	q := hd.cfg.Quarantine
	if q == nil {
		return nil
	}
	hd.fingerprint = model.Fingerprint(hd.service, hd.req.Method, hd.req.Target, hd.req.Body)
	if hd.verdict = q.Check(hd.fingerprint); hd.verdict == VerdictRefuse {
		return refused(ReasonQuarantined, 0)
	}
	return nil
}

// startedAt tells the quarantine that the request is about to be sent.
func (hd *handling) startedAt(p *steering.Pick) {
	if q := hd.cfg.Quarantine; q != nil {
		q.Started(hd.fingerprint, p.ID)
	}
}

// endedAt tells the quarantine how an attempt ended.
func (hd *handling) endedAt(p *steering.Pick, res exchange.Result, took time.Duration) {
	q := hd.cfg.Quarantine
	if q == nil {
		return
	}
	switch {
	case res.Outcome == exchange.Answered:
		q.Finished(hd.fingerprint, p.ID, false)
	case res.ConnectionBroken(took):
		q.Finished(hd.fingerprint, p.ID, true)
	default:
		q.Cancelled(hd.fingerprint, p.ID)
	}
}
