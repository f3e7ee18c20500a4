package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/model"
)

// Problem is an RFC 9457 problem details object with extension members.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is the known outcome of the request. The outcome "not-run" is final
	// for its key: the caller has to send the request again with a new key. Only
	// an opaque key (see ledger.Key) that could not be bound (type unbound) may
	// be used again.
	Outcome model.Outcome `json:"outcome"`
	// KeyPrefix is the prefix of the caller's next key for this instance.
	KeyPrefix string `json:"key_prefix,omitempty"`
	// Event is the number of the log event that contains the reason.
	Event int `json:"event,omitempty"`
	// RecordedStatus is the status of an endpoint's response that is no longer
	// stored.
	RecordedStatus int `json:"recorded_status,omitempty"`
	// Entries lists other instances if this one is draining or not ready.
	Entries []Entry `json:"entries,omitempty"`
	// retryAfter is sent as the Retry-After field if it is positive.
	retryAfter time.Duration
}

const (
	problemType   = "application/problem+json"
	problemPrefix = "urn:jujubestile:problem:"
)

func newProblem(status int, name, title string, o model.Outcome) *Problem {
	return &Problem{Type: problemPrefix + name, Title: title, Status: status, Outcome: o}
}

func (p *Problem) withDetail(text string) *Problem {
	p.Detail = text
	return p
}

func (p *Problem) withRetryAfter(d time.Duration) *Problem {
	p.retryAfter = d
	return p
}

// write sends the problem. It ignores write errors, because they cannot be
// reported to the caller.
func (p *Problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set(OutcomeHeader, string(p.Outcome))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// refusalProblem describes why the ledger refused a key.
func refusalProblem(r *ledger.Refusal) *Problem {
	switch r.Reason {
	case ledger.ReasonInvalid:
		return newProblem(http.StatusBadRequest, "invalid-key", "The Idempotency-Key is malformed", r.Outcome)
	case ledger.ReasonRunning:
		return newProblem(http.StatusConflict, "running", "A request with this key is still running", r.Outcome).withRetryAfter(time.Second)
	case ledger.ReasonReused:
		return newProblem(http.StatusUnprocessableEntity, "key-reused", "The key was used for another request", r.Outcome)
	case ledger.ReasonExpired:
		return newProblem(http.StatusGone, "key-expired", "The records of this key's epoch are discarded", r.Outcome)
	case ledger.ReasonUnbound:
		return newProblem(http.StatusServiceUnavailable, "unbound", "The key could not be bound to an instance", r.Outcome).withRetryAfter(time.Second)
	}
	return newProblem(http.StatusGatewayTimeout, "holder-lost", "The instance that holds the key is lost", r.Outcome)
}

// notRunProblem describes a request whose key is recorded as not run.
func notRunProblem() *Problem {
	return newProblem(http.StatusServiceUnavailable, "not-run", "The request has not run and its key is closed", model.OutcomeNotRun)
}

// responseGoneProblem describes a request that has run and whose response is no
// longer stored.
func responseGoneProblem(r *ledger.Result) *Problem {
	p := newProblem(http.StatusGone, "response-gone", "The request ran; its response is no longer kept", r.Outcome)
	p.RecordedStatus = r.Status
	return p
}
