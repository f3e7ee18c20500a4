// Package rules reads the operators' rules file: one rule a line, each with
// the comment of who asked for it.
package rules

import (
	"net/netip"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// RegionService names a service in a region.
type RegionService struct {
	Region  model.Region
	Service model.Service
}

// Link is a directed link between two regions.
type Link struct {
	From, To model.Region
}

// ShiftCap bounds how fast traffic of a service moves between regions.
type ShiftCap struct {
	// Fraction of the service's requests, from 0 to 1, by which a region's
	// share may grow within Period.
	Fraction float64
	Period   time.Duration
}

// RequestMatch selects requests of a service. An empty Method or PathPrefix selects
// all.
type RequestMatch struct {
	Service    model.Service
	Method     string
	PathPrefix string
}

// PriorityRule gives a kind of request its priority class.
type PriorityRule struct {
	Match    RequestMatch
	Priority model.Priority
}

// CallerBlock assigns a block of caller addresses to its near region.
type CallerBlock struct {
	Prefix netip.Prefix
	Region model.Region
}

// Set is a checked rules file. It is immutable.
type Set struct {
	// Regions maps each region to its failure domains.
	Regions map[model.Region][]model.Domain
	// Services maps each service to the priority of its requests.
	Services map[model.Service]model.Priority
	// Capacity is in slots: requests in flight at once.
	Capacity map[RegionService]int
	// Links is in bytes a second.
	Links map[Link]int64
	// Weights are fractions from 0 to 1 that sum to 1 for each service in it.
	Weights map[model.Service]map[model.Region]float64
	Shifts  map[model.Service]ShiftCap
	// Priorities are in the order of the file; the longest matching path
	// prefix wins, then the one with a method.
	Priorities []PriorityRule
	Repeatable []RequestMatch
	// Minimum is the fraction of slots, from 0 to 1, that a priority class
	// keeps in a flood of more urgent requests.
	Minimum        map[model.Priority]float64
	DrainEndpoints map[model.EndpointID]bool
	DrainInstances map[model.InstanceID]bool
	DrainDomains   map[model.Domain]bool
	Held           map[model.Service]bool
	Callers        []CallerBlock

	// index serves Classify. It is nil in a Set that was not parsed.
	index *index
}
