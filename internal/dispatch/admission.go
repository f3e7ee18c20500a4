package dispatch

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Reason says in a fixed word why a request got its outcome.
type Reason string

// Reasons of a Result.
const (
	// ReasonAnswered: an endpoint answered.
	ReasonAnswered Reason = "answered"
	// ReasonQueueFull: the queue of the request's priority was full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline: the request could not finish before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonShiftCapped: only regions at their traffic shift cap had slots.
	ReasonShiftCapped Reason = "shift-capped"
	// ReasonCancelled: the caller gave up.
	ReasonCancelled Reason = "cancelled"
	// ReasonNoEndpoint: no endpoint of the service was left to try.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonNoIntent: the intent of a non-repeatable request was not recorded.
	ReasonNoIntent Reason = "no-intent"
	// ReasonRefused: the endpoints refused the request.
	ReasonRefused Reason = "refused"
	// ReasonNotSent: the endpoints could not be reached.
	ReasonNotSent Reason = "not-sent"
	// ReasonInterrupted: the request was sent and its answer was lost.
	ReasonInterrupted Reason = "interrupted"
	// ReasonPreempted: the request gave its slot to a more urgent one.
	ReasonPreempted Reason = "preempted"
	// ReasonRetryBudget: the service is failing, and the caller repeated the
	// request beyond the retry budget.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonQuarantined: requests of this kind crashed endpoints.
	ReasonQuarantined Reason = "quarantined"
)

// RefusalError is why an Admission gave no slot. Nothing was sent.
type RefusalError struct {
	Reason Reason
	// RetryAfter is when a repetition has a chance; 0 means no advice.
	RetryAfter time.Duration
}

func (e *RefusalError) Error() string {
	return "not admitted: " + string(e.Reason)
}

// Permit is a slot that an Admission gave. Exactly one of its release methods
// is called, once.
type Permit interface {
	Slot
	// Preemptible says that cancel ends the attempt to make room for a more
	// urgent request. Admission calls it at most once and without locks held;
	// the call may come after the release.
	Preemptible(cancel func())
	// Answered reports how long the slot was in use for an answered request.
	Answered(d time.Duration)
}

// Admission decides which request gets a slot next.
type Admission interface {
	// Admit waits for a slot. Its error is a *RefusalError.
	Admit(ctx context.Context, n Need) (Permit, error)
	// TryAdmit takes a slot only if one is free now and nobody waits for it.
	TryAdmit(now time.Time, n Need) (Permit, bool)
}

// Verdict is what a Quarantine says about a request.
type Verdict int

// The verdicts.
const (
	// VerdictAllow runs the request like any other.
	VerdictAllow Verdict = iota
	// VerdictIsolate runs it only on an endpoint without another request of
	// this instance.
	VerdictIsolate
	// VerdictRefuse refuses it.
	VerdictRefuse
)

// Quarantine keeps requests that crash endpoints away from more of them.
type Quarantine interface {
	Check(fingerprint uint64) Verdict
	// Started and one of Finished and Cancelled enclose each attempt. Crashed
	// means that the connection broke without an answer; otherwise the
	// endpoint has answered. Cancelled says nothing about the request: it did
	// not reach the endpoint, was refused or was cancelled.
	Started(fingerprint uint64, endpoint model.EndpointID)
	Finished(fingerprint uint64, endpoint model.EndpointID, crashed bool)
	Cancelled(fingerprint uint64, endpoint model.EndpointID)
}

// Isolator is a Balancer that can keep an endpoint for one request.
type Isolator interface {
	// PickAlone is like Pick, but returns only an endpoint without an
	// outstanding request, and keeps it out of Pick until Observe or Cancel.
	PickAlone(now time.Time, s model.Service, r model.Region, exclude []model.EndpointID) (model.Endpoint, bool)
}
