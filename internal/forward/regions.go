package forward

import (
	"strings"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// allows returns a function that reports whether an attempt that starts now may
// run in a region.
func (ex *execution) allows(permit Permit) func(model.Region) bool {
	route, tenant := ex.regionalRoute(), ex.decision.Tenant
	if permit == nil {
		return func(r model.Region) bool { return route.Allows(r) && tenant.Allows(r) }
	}
	region := permit.Region()
	return func(r model.Region) bool { return r == region && route.Allows(r) && tenant.Allows(r) }
}

// regionalRoute returns the route that defines the allowed regions of an attempt
// that starts now. It is that of the desired state in force, which may exclude
// regions that were allowed when the request arrived.
func (ex *execution) regionalRoute() *desired.Route {
	return currentRoute(ex.cfg.State(), ex.req)
}

// currentRoute returns the request's route in a desired state, or nil. A request whose
// route has been removed meanwhile keeps it.
func currentRoute(state *desired.State, req *Request) *desired.Route {
	if state == nil || state.Version == req.Version {
		return req.Route
	}
	path, _, _ := strings.Cut(req.Target, "?")
	if route := state.Match(req.Host, path); route != nil {
		return route
	}
	return req.Route
}
