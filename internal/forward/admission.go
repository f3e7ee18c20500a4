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
	// Deadline is the request's deadline. A slot is granted only if it may be
	// held until then.
	Deadline time.Time
	// Bytes is the size of the request on links between regions: that of its
	// target and body.
	Bytes int
	// Exclude lists regions that the request cannot use.
	Exclude []model.Region
}

// Slot is the right to have one request in flight in a region. (The slots of an
// endpoint, steering.Endpoint.Slots, are the requests that it runs
// concurrently.) One of the release methods must be called, exactly once.
type Slot interface {
	Region() model.Region
	// Release releases the slot immediately.
	Release()
	// ReleaseAt releases the slot at t. It is for requests without a response,
	// which the endpoint may execute until their deadline.
	ReleaseAt(t time.Time)
}

// Permit is a slot granted by an AdmissionController.
type Permit interface {
	Slot
	// Preemptible permits preemption: cancel ends the attempt to make room
	// for a more urgent request. The AdmissionController calls it at most
	// once, without holding locks, and possibly after the slot was released.
	Preemptible(cancel func())
	// Answered reports how long the slot was in use for an answered request.
	Answered(d time.Duration)
}

// AdmissionController decides which request gets the next slot, and in which
// region. It enforces the operators' limits on the load of a region.
type AdmissionController interface {
	// Admit waits for a slot. Its errors are of type *RefusalError.
	Admit(ctx context.Context, req AdmissionRequest) (Permit, error)
	// TryAdmit takes a slot only if one is free and no request waits for it.
	TryAdmit(now time.Time, req AdmissionRequest) (Permit, bool)
}

// Reason is the reason for refusing a slot.
type Reason string

// Reasons of a RefusalError.
const (
	// ReasonQueueFull means that the queue of the request's priority is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline means that the request could not finish before its
	// deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonShiftCapped means that slots are available only in regions that
	// have reached their cap on traffic shifts.
	ReasonShiftCapped Reason = "shift-capped"
	// ReasonCancelled means that the caller cancelled the request.
	ReasonCancelled Reason = "cancelled"
)

// RefusalError is returned if a request gets no slot. Nothing was sent.
type RefusalError struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed, or 0 if
	// unknown.
	RetryAfter time.Duration
}

func (e *RefusalError) Error() string {
	return "request not admitted: " + string(e.Reason)
}

// Verdict is the decision of a Quarantine on a request.
type Verdict int

// Verdicts of a Quarantine.
const (
	// VerdictAllow runs the request without restriction.
	VerdictAllow Verdict = iota
	// VerdictIsolate runs the request only on an endpoint without other
	// requests of this instance.
	VerdictIsolate
	// VerdictRefuse refuses the request.
	VerdictRefuse
)

// Quarantine limits the damage of requests that crash endpoints. It identifies
// requests by model.Fingerprint.
type Quarantine interface {
	// Check decides on a request. It is called before the first attempt.
	Check(fingerprint uint64) Verdict
	// Each attempt calls Started and then either Finished or Cancelled. For
	// Finished, crashed means that the connection broke without a response;
	// otherwise the endpoint has responded. Cancelled means that the attempt
	// says nothing about the request: it did not reach the endpoint, was
	// refused or was cancelled.
	Started(fingerprint uint64, endpoint model.EndpointID)
	Finished(fingerprint uint64, endpoint model.EndpointID, crashed bool)
	Cancelled(fingerprint uint64, endpoint model.EndpointID)
}
