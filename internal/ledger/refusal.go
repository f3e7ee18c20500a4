package ledger

import (
	"jujubestile.example/jujubestile/internal/model"
)

// Reason says why a key was refused.
type Reason string

// The reasons of a Refusal.
const (
	// ReasonInvalid: the key is malformed.
	ReasonInvalid Reason = "invalid-key"
	// ReasonRunning: another request runs under the key and did not end in
	// time.
	ReasonRunning Reason = "running"
	// ReasonReused: the key was used with another body.
	ReasonReused Reason = "key-reused"
	// ReasonExpired: the key's epoch is over and its records are discarded.
	ReasonExpired Reason = "key-expired"
	// ReasonHolderLost: the key's holder is unreachable, and the witness knows
	// of an intent without an outcome, or is unreachable or restarted too.
	ReasonHolderLost Reason = "holder-lost"
	// ReasonUnbound: the store could not bind a key of the caller's own form.
	ReasonUnbound Reason = "unbound"
)

// Refusal means that this request does not run. Outcome is what is known of
// the key: with unknown, an earlier request may have run under it.
type Refusal struct {
	Reason  Reason
	Outcome model.Outcome
	// NoBinding means that a key of the caller's own form had no binding in
	// the store. The request has then not run if the caller has sent the key
	// only once; an earlier request with it may still be on its way to another
	// instance.
	NoBinding bool
}

func (r *Refusal) Error() string {
	return "key refused: " + string(r.Reason) + ", outcome " + string(r.Outcome)
}

func refuse(reason Reason) *Refusal {
	return &Refusal{Reason: reason, Outcome: model.OutcomeUnknown}
}
