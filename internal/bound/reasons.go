package bound

import "sync/atomic"

// Reason says why a caller was refused or its connection closed.
type Reason int

// Reasons.
const (
	// BodyRefused: a body did not fit into the budget within the time to wait.
	BodyRefused Reason = iota
	// BodyTooLong: a body exceeds the limit of the desired state.
	BodyTooLong
	// BodyStalled: a body was not received before the request's deadline.
	BodyStalled
	// HeaderRefused: a header section did not fit within the time to wait.
	HeaderRefused
	// HeaderTooLong: a header section exceeds the limit by far.
	HeaderTooLong
	// SlowSender and SlowReader: the connection held memory and made no progress
	// while other requests waited for memory.
	SlowSender
	SlowReader
	// Unread: pipelined requests filled the memory while the caller read no answer.
	Unread
	// IdleClosed and UnusedClosed: the connection was idle for longest, or had sent
	// no request, while no descriptor was left.
	IdleClosed
	UnusedClosed
	// StalledClosed: the connection made no progress while no descriptor was left.
	StalledClosed
	// ResponseRefused: the response of an endpoint did not fit.
	ResponseRefused
	// ClosingEnded: a caller had not closed a connection that the instance had closed
	// before, while no descriptor was left.
	ClosingEnded
	// AnswerCut: a connection was closed before all of an answer had been received.
	AnswerCut
	reasons
)

// String returns the name for logs and metrics.
func (r Reason) String() string {
	return [...]string{"body-refused", "body-too-long", "body-stalled", "header-refused", "header-too-long", "slow-sender", "slow-reader",
		"unread", "idle", "unused", "stalled", "response-refused", "closing", "answer-cut"}[r]
}

// Counters counts refusals and closed connections by reason.
type Counters struct{ n [reasons]atomic.Int64 }

// Add counts one.
func (c *Counters) Add(r Reason) { c.n[r].Add(1) }

// Values returns the counts by name.
func (c *Counters) Values() map[string]int64 {
	out := make(map[string]int64, reasons)
	for r := range reasons {
		out[r.String()] = c.n[r].Load()
	}
	return out
}
