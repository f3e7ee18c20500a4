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

// errPreempted is the cancellation cause of attempts that give up their slot
// to a more urgent request.
const errPreempted = errors.ConstError("attempt preempted by a more urgent request")

// errHedgeDelayExceeded is the cancellation cause of attempts that exceeded the
// hedge delay while no slot was free for a second attempt.
const errHedgeDelayExceeded = errors.ConstError("no response within the hedge delay")

// minHedgeDelay, added to the round-trip time, is the minimum hedge delay with
// admission control. It covers a pause of the endpoint, such as a
// garbage collection.
const minHedgeDelay = 30 * time.Millisecond

// cancelSlow cancels an attempt that exceeded the hedge delay while no slot
// was free for a second one. With admission control its slot is better used at
// another endpoint: this endpoint may have failed, or the connection may no
// longer work. Without another endpoint in the region that the slot is for, the
// response is awaited.
func (ex *execution) cancelSlow() {
	if ex.cfg.Admission == nil || ex.cfg.Table.Usable(ex.service, ex.last.Region, time.Now()) < 2 {
		return
	}
	for _, cancel := range ex.cancels {
		cancel(errHedgeDelayExceeded)
	}
}

// cancelDelay is the time that an endpoint needs to stop a cancelled request.
// The slot of a repeatable request stays in use for this time and a round
// trip.
const cancelDelay = 5 * time.Millisecond

func preempted(res exchange.Result) bool {
	return res.Outcome == exchange.Abandoned && errors.Is(res.Err, errPreempted)
}

// admissionRequest describes the slot that the next attempt needs.
func (ex *execution) admissionRequest(exclude []model.Region) AdmissionRequest {
	return AdmissionRequest{
		Service: ex.service, Priority: model.Priority(ex.req.Rank() + 1), Deadline: ex.req.Deadline,
		Bytes: len(ex.req.Target) + ex.req.bodyBytes(), Exclude: exclude,
	}
}

// startAdmitted waits for a slot and starts an attempt in its region. If no
// endpoint there can be used, it waits for a slot in another region.
func (ex *execution) startAdmitted(ctx context.Context) *Answer {
	limited, cancel := context.WithDeadline(ctx, ex.req.Deadline)
	defer cancel()
	var empty []model.Region
	for {
		permit, err := ex.cfg.Admission.Admit(limited, ex.admissionRequest(empty))
		if err != nil {
			return admissionRefusal(ctx, err, len(empty) > 0)
		}
		refusal := ex.startAt(ctx, permit)
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

// admissionRefusal returns the answer to a request that got no slot.
// noEndpoint is set if slots were only available in regions without a usable
// endpoint.
func admissionRefusal(ctx context.Context, err error, noEndpoint bool) *Answer {
	if ctx.Err() != nil {
		return callerGone(model.OutcomeNotRun)
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

// startHedge starts a second attempt without waiting for a slot.
func (ex *execution) startHedge(ctx context.Context) *Answer {
	if ex.cfg.Admission == nil {
		return ex.startAt(ctx, nil)
	}
	permit, ok := ex.cfg.Admission.TryAdmit(time.Now(), ex.admissionRequest(nil))
	if !ok {
		return refused(string(steering.ReasonOverload), 0)
	}
	refusal := ex.startAt(ctx, permit)
	if refusal != nil {
		permit.Release()
	}
	return refusal
}

// releaseSlot releases the slot of an ended attempt. Without a response, the
// endpoint may still execute the request until its deadline; a cancelled
// repeatable request ends as soon as the cancellation arrives.
func (ex *execution) releaseSlot(permit Permit, p *steering.Pick, res exchange.Result, took time.Duration) {
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
		until := ex.req.Deadline
		if stopped := time.Now().Add(p.RTT() + cancelDelay); res.Outcome == exchange.Abandoned && ex.req.Route.Repeatable && stopped.Before(until) {
			until = stopped
		}
		permit.ReleaseAt(until)
	}
}

// ReasonQuarantined is the reason for refusing a request that has crashed
// endpoints. The refusal has no Retry-After, because a retry is refused as
// well.
const ReasonQuarantined = "quarantined"

// checkQuarantine refuses a request that has crashed endpoints.
func (ex *execution) checkQuarantine() *Answer {
	q := ex.cfg.Quarantine
	if q == nil {
		return nil
	}
	ex.fingerprint = model.Fingerprint(ex.service, ex.req.Method, ex.req.Target, ex.req.Body, ex.req.MoreBody...)
	if ex.verdict = q.Check(ex.fingerprint); ex.verdict == VerdictRefuse {
		return refused(ReasonQuarantined, 0)
	}
	return nil
}

// quarantineStart reports to the quarantine that the request is about to be sent.
func (ex *execution) quarantineStart(p *steering.Pick) {
	if q := ex.cfg.Quarantine; q != nil {
		q.Started(ex.fingerprint, p.ID)
	}
}

// quarantineEnd reports to the quarantine how an attempt ended.
func (ex *execution) quarantineEnd(p *steering.Pick, res exchange.Result, took time.Duration) {
	q := ex.cfg.Quarantine
	if q == nil {
		return
	}
	switch {
	case res.Outcome == exchange.Answered:
		q.Finished(ex.fingerprint, p.ID, false)
	case res.ConnectionBroken(took):
		q.Finished(ex.fingerprint, p.ID, true)
	default:
		q.Cancelled(ex.fingerprint, p.ID)
	}
}
