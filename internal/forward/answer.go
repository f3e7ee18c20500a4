package forward

import (
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Answer is what a caller gets: an endpoint's response, or a failure of our
// own.
type Answer struct {
	// Response is the endpoint's, passed on unchanged.
	Response *exchange.Result
	// Status is that of a failure.
	Status  int
	Reason  string
	Outcome model.Outcome
	// RetryAfter is sent if it is positive.
	RetryAfter time.Duration
	// CallerGone means that the caller has left and nothing is sent.
	CallerGone bool
	// Attempts is how many attempts were made; Last is the last one's endpoint.
	Attempts int
	LastPick *steering.Pick
	// Expected is the shortest expected time of a refused request.
	Expected time.Duration
}

// refused answers a request that has not run and never will.
func refused(reason string, after time.Duration) *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, Reason: reason, Outcome: model.OutcomeNotRun, RetryAfter: after}
}

// denied answers a request that is not permitted as it is.
func denied(status int, reason string) *Answer {
	return &Answer{Status: status, Reason: reason, Outcome: model.OutcomeNotRun}
}

// unknown answers a request that may have run.
func unknown(status int, reason string) *Answer {
	return &Answer{Status: status, Reason: reason, Outcome: model.OutcomeUnknown}
}

// callerLeft ends a request whose caller has left.
func callerLeft(o model.Outcome) *Answer {
	return &Answer{CallerGone: true, Reason: "caller-left", Outcome: o}
}

// FinalStatus is the status that the caller gets.
func (a Answer) FinalStatus() int {
	if a.Response != nil {
		return a.Response.Status
	}
	return a.Status
}

// Event is the log event of the answer.
func (a Answer) Event() events.Event {
	switch {
	case a.CallerGone:
		return events.CallerGone
	case a.Response != nil && a.Response.Status < http.StatusInternalServerError:
		return events.RequestAnswered
	case a.Outcome == model.OutcomeNotRun:
		return events.RequestRefused
	}
	return events.RequestFailed
}
