package forward

import (
	"strings"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// allows returns a function that reports whether an attempt that starts now may
// run in a region.
func (ex *execution) allows(permit Permit) func(model.Region) bool {
	route := ex.regionalRoute()
	if permit == nil {
		return route.Allows
	}
	region := permit.Region()
	return func(r model.Region) bool { return r == region && route.Allows(r) }
}

// regionalRoute returns the route that defines the allowed regions of an attempt
// that starts now. It is that of the desired state in force, which may exclude
// regions that were allowed when the request arrived. A request whose route has
// been removed meanwhile keeps it.
func (ex *execution) regionalRoute() *desired.Route {
	state := ex.cfg.State()
	if state == nil || state.Version == ex.req.Version {
		return ex.req.Route
	}
	path, _, _ := strings.Cut(ex.req.Target, "?")
	if route := state.Match(ex.req.Host, path); route != nil {
		return route
	}
	return ex.req.Route
}
