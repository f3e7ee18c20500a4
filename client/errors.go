package client

import (
	"fmt"
	"time"
)

// NotRunError means that the request has not run and will not run. It is safe to
// send it again. If Request.Key was set, the key may be closed, and the request
// then needs a new one. That holds for all attempts.
type NotRunError struct {
	// Status, Title and Detail are from the last problem details response, if
	// there was one.
	Status        int
	Title, Detail string
	// Event is the number of the log event at the instance that gives the
	// reason.
	Event int
	// RetryAfter is the delay that the instance requested, or zero.
	RetryAfter time.Duration
	// Cause is the last connection error, or nil.
	Cause error
}

func (e *NotRunError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("request not run: %v", e.Cause)
	}
	return fmt.Sprintf("request not run: %s (status %d)", e.Title, e.Status)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownError means that the outcome is unknown: the request may have run, may
// be running, or may still run until its deadline.
type UnknownError struct {
	// Key is the request's idempotency key, with which the outcome can be
	// queried later. It is empty if the request had no key.
	Key string
	// Title describes the response of the instance. It is empty if there was no
	// complete response; Cause is then the error of the exchange.
	Title string
	Cause error
}

func (e *UnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("outcome unknown (key %q): %v", e.Key, e.Cause)
	}
	return fmt.Sprintf("outcome unknown (key %q): %s", e.Key, e.Title)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ResponseGoneError means that the request ran, but its response is no longer
// available: it was too large to keep for retries or has been discarded.
type ResponseGoneError struct {
	// Status is the status of the endpoint's response.
	Status int
}

func (e *ResponseGoneError) Error() string {
	return fmt.Sprintf("request ran with status %d; its response is no longer available", e.Status)
}
