// Package rules parses and formats the operators' rules file, computes the changes
// between two files, and classifies requests by the rules. Each rule is on a line of
// its own, followed by a comment that says who requested it.
package rules

import (
	"net/netip"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// RegionService identifies a service in a region.
type RegionService struct {
	Region  model.Region
	Service model.Service
}

// Link is a directed link between two regions.
type Link struct {
	From, To model.Region
}

// ShiftCap limits how fast traffic of a service moves between regions.
type ShiftCap struct {
	// Fraction is the part of the service's requests, from 0 to 1, by which a
	// region's share may grow within Period.
	Fraction float64
	Period   time.Duration
}

// RequestMatch selects requests of a service by method and path. An empty Method
// or PathPrefix matches all.
type RequestMatch struct {
	Service    model.Service
	Method     string
	PathPrefix string
}

// PriorityRule sets the priority of the requests that match.
type PriorityRule struct {
	Match    RequestMatch
	Priority model.Priority
}

// CallerBlock assigns an address block of callers to the region near them.
type CallerBlock struct {
	Prefix netip.Prefix
	Region model.Region
}

// Set is the content of a valid rules file. It is immutable.
type Set struct {
	// Regions maps each region to its failure domains.
	Regions map[model.Region][]model.Domain
	// Services maps each service to the priority of its requests.
	Services map[model.Service]model.Priority
	// Capacity is in slots. A slot is one request in flight.
	Capacity map[RegionService]int
	// Links maps each link to its rate in bytes per second.
	Links map[Link]int64
	// Weights holds the fraction of the requests for each region, from 0 to 1.
	// The fractions of one service sum to 1.
	Weights map[model.Service]map[model.Region]float64
	// Shifts has the caps of the services that have one.
	Shifts map[model.Service]ShiftCap
	// Priorities is in the order of the file. The rule with the longest matching
	// path prefix wins, and among these the one with a method.
	Priorities []PriorityRule
	// Repeatable selects the requests, besides those with a safe method, that may
	// run twice without harm.
	Repeatable []RequestMatch
	// Minimum is the fraction of slots, from 0 to 1, that requests of a priority
	// keep under a flood of more critical requests.
	Minimum map[model.Priority]float64
	// DrainEndpoints, DrainInstances and DrainDomains have the endpoints, entry
	// instances and failure domains that the rules drain.
	DrainEndpoints map[model.EndpointID]bool
	DrainInstances map[model.InstanceID]bool
	DrainDomains   map[model.Domain]bool
	// Held has the services whose traffic split between the regions is kept as it
	// is.
	Held    map[model.Service]bool
	Callers []CallerBlock

	// index is used by Classify. It is nil in a Set that Parse did not return.
	index *index
}
