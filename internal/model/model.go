// Package model holds the value types that other packages share: identifiers,
// priorities, outcomes, endpoints and entry instances.
package model

import (
	"net/netip"
	"strconv"

	"github.com/juju/errors"
)

// Region is the name of a region, for example "lagos".
type Region string

// Domain is the name of a failure domain within a region, for example "lagos-a".
type Domain string

// Service is the name of a service that endpoints provide, for example "entries".
type Service string

// InstanceID identifies an entry instance. It stays the same when the process
// restarts at the same address.
type InstanceID string

// EndpointID identifies an endpoint of a service.
type EndpointID string

// Incarnation distinguishes the processes of one instance. It is the start time
// of the process in nanoseconds since the Unix epoch, so that a later process
// has a larger incarnation.
type Incarnation uint64

// Era counts how often the platform's store has come back from a copy. Revisions
// and leases of one era mean nothing in another one: the store gives their numbers
// out again. 0 means that the store does not report its era.
type Era uint64

// Priority is the priority class of a request. Requests with a smaller value are
// served first.
type Priority uint8

// The three priority classes.
const (
	// PriorityCritical is for entries, payments and withdrawals.
	PriorityCritical Priority = 1
	// PriorityNormal is for draws, heat sheets and start lists.
	PriorityNormal Priority = 2
	// PriorityBulk is for archives and pedigrees.
	PriorityBulk Priority = 3
)

// Priorities lists the priority classes, the most urgent first.
var Priorities = [...]Priority{PriorityCritical, PriorityNormal, PriorityBulk}

// Valid reports whether p is one of the priority classes.
func (p Priority) Valid() bool {
	return p >= PriorityCritical && p <= PriorityBulk
}

func (p Priority) String() string {
	return strconv.Itoa(int(p))
}

// ParsePriority parses "1", "2" or "3".
func ParsePriority(s string) (Priority, error) {
	n, err := strconv.Atoi(s)
	if err != nil || !Priority(n).Valid() || n > int(PriorityBulk) {
		return 0, errors.NotValidf("priority %q (allowed: 1, 2, 3)", s)
	}
	return Priority(n), nil
}

// Outcome tells a caller whether its request has run.
type Outcome string

const (
	// OutcomeAnswered means that an endpoint ran the request and its complete
	// response follows.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no endpoint has run the request or will run it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an endpoint may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Endpoint is a process that handles requests of one service.
type Endpoint struct {
	ID      EndpointID
	Service Service
	Region  Region
	Domain  Domain
	// Addr is the address on which the endpoint serves HTTP.
	Addr netip.AddrPort
	// Slots is how many requests the endpoint runs concurrently.
	Slots int
	// Leaving means that the endpoint must not get new requests.
	Leaving bool
}

// EntryInstance is an instance of this system in the platform's list.
type EntryInstance struct {
	ID     InstanceID
	Region Region
	Domain Domain
	// EntryAddr is the address on which the instance serves HTTP for callers.
	EntryAddr netip.AddrPort
	// PeerAddr is the address on which it serves calls of other instances.
	PeerAddr netip.AddrPort
	// ControlAddr is the address on which it serves HTTP for operators.
	ControlAddr netip.AddrPort
	// Leaving means that the platform is about to stop the instance.
	Leaving bool
}
