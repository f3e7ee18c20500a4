package ledger

import (
	"jujubestile.example/jujubestile/internal/model"
)

// Reason is the reason of a Refusal.
type Reason string

// The reasons of a Refusal.
const (
	// ReasonInvalid: the key is malformed.
	ReasonInvalid Reason = "invalid-key"
	// ReasonRunning: another request is running under the key and did not end
	// before the context was done.
	ReasonRunning Reason = "running"
	// ReasonReused: the key was used for a request with another fingerprint.
	ReasonReused Reason = "key-reused"
	// ReasonExpired: the records of the key's epoch are discarded, or the epoch
	// never began.
	ReasonExpired Reason = "key-expired"
	// ReasonHolderLost: the key's holder is unreachable, and the witness has
	// recorded an intent without an outcome or is itself unreachable or
	// restarted.
	ReasonHolderLost Reason = "holder-lost"
	// ReasonUnbound: an opaque key could not be bound to an instance.
	ReasonUnbound Reason = "unbound"
)

// Refusal is the error for a request that is not run. Outcome is the known
// outcome of the key: if it is "unknown", an earlier request may have run under
// the key.
type Refusal struct {
	Reason  Reason
	Outcome model.Outcome
	// NoBinding means that an opaque key had no binding in the store. If the
	// caller has sent the key only once, the request has not run. Otherwise an
	// earlier request with the key may still be in transit to another instance.
	NoBinding bool
}

func (r *Refusal) Error() string {
	return "key refused: " + string(r.Reason) + ", outcome " + string(r.Outcome)
}

func refuse(reason Reason) *Refusal {
	return &Refusal{Reason: reason, Outcome: model.OutcomeUnknown}
}
