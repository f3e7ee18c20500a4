package client

import (
	"fmt"
	"time"
)

// NotRunError means that the request has not run and will not run. Sending it
// again is safe.
type NotRunError struct {
	// Status, Title and Detail are those of the last problem details, if an
	// instance answered.
	Status        int
	Title, Detail string
	// Event is the number of the instance's log event with the reason.
	Event int
	// RetryAfter is the instance's wish, or zero.
	RetryAfter time.Duration
	// Cause is the last error of the connection, or nil.
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

// UnknownError means that the request may have run, may be running, or may
// still run until its deadline.
type UnknownError struct {
	// Key is the request's key, by which the outcome may be asked later. It is
	// empty for a request without one.
	Key   string
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

// ResponseGoneError means that the request ran, and that its response was too
// large to keep for a repeated question or has been discarded.
type ResponseGoneError struct {
	// Status is the endpoint's status.
	Status int
}

func (e *ResponseGoneError) Error() string {
	return fmt.Sprintf("request ran with status %d; its response is gone", e.Status)
}
