package forward

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// AdmissionRequest describes the slot that a request needs.
type AdmissionRequest struct {
	Service  model.Service
	Priority model.Priority
	// Deadline is when the request ends at the latest. A slot is only given
	// if it may be held until then.
	Deadline time.Time
	// Bytes is the request's size on links between regions.
	Bytes int
	// Exclude lists regions that the request cannot use.
	Exclude []model.Region
}

// Slot is the right to have one request in flight in a region. Exactly one of
// its release methods is called, once.
type Slot interface {
	Region() model.Region
	// Release returns the slot at once.
	Release()
	// ReleaseAt returns the slot at t. It is for requests without an answer,
	// which may still run at the endpoint until their deadline.
	ReleaseAt(t time.Time)
}

// Permit is a slot that a Gate gave.
type Permit interface {
	Slot
	// Preemptible says that cancel ends the attempt to make room for a more
	// urgent request. The Gate calls it at most once and without locks held;
	// the call may come after the release.
	Preemptible(cancel func())
	// Answered reports how long the slot was in use for an answered request.
	Answered(d time.Duration)
}

// AdmissionController decides which request gets a slot next, and in which region, where
// operators bound what a region takes.
type AdmissionController interface {
	// Admit waits for a slot. Its error is a *RefusalError.
	Admit(ctx context.Context, n AdmissionRequest) (Permit, error)
	// TryAdmit takes a slot only if one is free now and nobody waits for it.
	TryAdmit(now time.Time, n AdmissionRequest) (Permit, bool)
}

// Reason says in a fixed word why a Gate gave no slot.
type Reason string

// Reasons of a RefusalError.
const (
	// ReasonQueueFull: the queue of the request's priority was full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline: the request could not finish before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonShiftCapped: only regions at their traffic shift cap had slots.
	ReasonShiftCapped Reason = "shift-capped"
	// ReasonCancelled: the caller gave up.
	ReasonCancelled Reason = "cancelled"
)

// RefusalError is why a Gate gave no slot. Nothing was sent.
type RefusalError struct {
	Reason Reason
	// RetryAfter is when a repetition has a chance; 0 means no advice.
	RetryAfter time.Duration
}

func (e *RefusalError) Error() string {
	return "not admitted: " + string(e.Reason)
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
