package forward

import (
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Answer is the answer to a caller: the response of an endpoint, or a failure
// of this instance's own.
type Answer struct {
	// Response is the endpoint's response, which is relayed unchanged.
	Response *exchange.Result
	// Status is the HTTP status of a failure.
	Status int
	// Reason says in a fixed word how the request ended. It is written to logs
	// and metrics and, for a failure, sent to the caller as the problem type.
	Reason  string
	Outcome model.Outcome
	// RetryAfter is sent if it is positive.
	RetryAfter time.Duration
	// CallerGone means that the caller has disconnected and that no answer is
	// sent.
	CallerGone bool
	// Attempts is the number of attempts, and LastPick the pick of the last
	// one.
	Attempts int
	LastPick *steering.Pick
	// Expected is steering.Choice.Expected of a refused request, or 0.
	Expected time.Duration
}

// refused answers a request that was not run and will not be run.
func refused(reason string, after time.Duration) *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, Reason: reason, Outcome: model.OutcomeNotRun, RetryAfter: after}
}

// rejected answers a request that would be rejected on each retry as well, such
// as one without a route.
func rejected(status int, reason string) *Answer {
	return &Answer{Status: status, Reason: reason, Outcome: model.OutcomeNotRun}
}

// unknown answers a request that may have been run.
func unknown(status int, reason string) *Answer {
	return &Answer{Status: status, Reason: reason, Outcome: model.OutcomeUnknown}
}

// callerGone ends a request whose caller has disconnected.
func callerGone(o model.Outcome) *Answer {
	return &Answer{CallerGone: true, Reason: "caller-left", Outcome: o}
}

// FinalStatus returns the HTTP status of the answer.
func (a Answer) FinalStatus() int {
	if a.Response != nil {
		return a.Response.Status
	}
	return a.Status
}

// Event returns the log event for the answer.
func (a Answer) Event() events.Event {
	switch {
	case a.CallerGone:
		return events.CallerDisconnected
	case a.Response != nil && a.Response.Status < http.StatusInternalServerError:
		return events.RequestAnswered
	case a.Outcome == model.OutcomeNotRun:
		return events.RequestRefused
	}
	return events.RequestFailed
}

// promisesNotRun reports whether a caller takes the status as the promise that its
// request has not run. An endpoint that ran a request, or does not say that it did not,
// cannot promise that, so such a response is not relayed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
