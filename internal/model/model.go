// Package model holds the value types that all other packages share:
// identifiers, priorities, outcomes, endpoints and entry instances.
package model

import (
	"net/netip"
	"strconv"

	"github.com/juju/errors"
)

// Region names a region, for example "lagos".
type Region string

// Domain names a failure domain inside a region, for example "lagos-a".
type Domain string

// Service names a service that endpoints provide, for example "entries".
type Service string

// InstanceID names an entry instance. It stays the same across restarts of
// the process at the same address.
type InstanceID string

// EndpointID names an endpoint of a service.
type EndpointID string

// Incarnation tells two processes of the same instance apart. It is the start
// time of the process in nanoseconds since the Unix epoch; the larger one is
// the later one.
type Incarnation uint64

// Priority is the priority class of a request. Smaller values are served
// first.
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

// Priorities lists all classes, the most urgent first.
var Priorities = [...]Priority{PriorityCritical, PriorityNormal, PriorityBulk}

// Valid reports whether p is one of the three classes.
func (p Priority) Valid() bool {
	return p >= PriorityCritical && p <= PriorityBulk
}

func (p Priority) String() string {
	return strconv.Itoa(int(p))
}

// ParsePriority reads "1", "2" or "3".
func ParsePriority(s string) (Priority, error) {
	n, err := strconv.Atoi(s)
	if err != nil || !Priority(n).Valid() || n > int(PriorityBulk) {
		return 0, errors.NotValidf("priority %q (allowed: 1, 2, 3)", s)
	}
	return Priority(n), nil
}

// Outcome tells a caller what became of its request.
type Outcome string

const (
	// OutcomeAnswered means that an endpoint ran the request and its whole
	// answer follows.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no endpoint ran the request or will run it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that an endpoint may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Endpoint is a process that runs requests of one service.
type Endpoint struct {
	ID      EndpointID
	Service Service
	Region  Region
	Domain  Domain
	// Addr is where the endpoint accepts HTTP.
	Addr netip.AddrPort
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Leaving means that the endpoint takes no new work.
	Leaving bool
}

// EntryInstance is an instance of this system as the platform lists it.
type EntryInstance struct {
	ID     InstanceID
	Region Region
	Domain Domain
	// EntryAddr is where the instance accepts callers' HTTP.
	EntryAddr netip.AddrPort
	// PeerAddr is where the instance accepts calls of other instances.
	PeerAddr netip.AddrPort
	// ControlAddr is where the instance accepts operators' HTTP.
	ControlAddr netip.AddrPort
	// Leaving means that the platform is about to stop the instance.
	Leaving bool
}
