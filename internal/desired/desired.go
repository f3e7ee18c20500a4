// Package desired holds the desired state that operators have accepted: routes,
// services and limits, with a version that orders the states.
package desired

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Version orders desired states. Zero means that there is none.
type Version uint64

// State is one version of the desired state. It is immutable once it is in use.
type State struct {
	Version  Version
	Limits   Limits
	Services map[model.Service]Service
	// Tenants lists the tenants. KeysRequired means that requests need the API key of
	// one of them, unless their route is public.
	Tenants      []Tenant
	KeysRequired bool
	hosts        map[string][]*Route
	keys         map[KeyHash]*Tenant
}

// Route defines how requests to one host with one path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable means that requests are idempotent: they may run more than once.
	Repeatable bool
	// Public means that requests need no API key.
	Public bool
	// Timeout limits the time from the arrival of a request to its response. 0
	// means that the state sets none.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value for
	// the caller.
	TargetLatency time.Duration
	// Rank is the priority of the route. 0 is the highest.
	Rank int
	// MaxAttempts is how many endpoints a request may be sent to.
	MaxAttempts int
	// Sticky means session affinity: a request runs faster at an endpoint that
	// has handled its object before.
	Sticky bool
	// AllowedRegions lists the regions in which the route may run. If it is
	// empty, the route may run in all.
	AllowedRegions []model.Region
	// TrafficSplit lists the services among which the route's requests are split.
	// A route with a single service has one element.
	TrafficSplit []WeightedService
}

// WeightedService is a service and its weight in a traffic split.
type WeightedService struct {
	Service model.Service
	Weight  float64
}

// Service describes the endpoints of a service.
type Service struct {
	Name model.Service
	// HealthPath is the path for health probes.
	HealthPath string
	// MaxConnections is how many connections an endpoint accepts from all
	// callers together.
	MaxConnections int
	// ColdStart is how long an endpoint is cold after its start, which means that
	// it handles fewer requests.
	ColdStart time.Duration
	// ColdRate is how many requests per second a cold endpoint can handle.
	ColdRate float64
}

// Limits holds the limits for callers: the size of headers and bodies, the time
// to send a header, and the idle time of a connection.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// FieldError is the fault of one field because of which an encoded state was
// rejected.
type FieldError struct {
	// Name is the name of the route, service or tenant, and Field that of the field as it is
	// encoded.
	Name, Field string
	Err         error
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%.60q: field %s: %v", e.Name, e.Field, e.Err)
}

// Unwrap returns the fault of the field's value.
func (e *FieldError) Unwrap() error { return e.Err }

// New returns a state. It indexes the routes by host for Match.
func New(v Version, routes []Route, services []Service, limits Limits) *State {
	s := &State{Version: v, Limits: limits,
		Services: make(map[model.Service]Service, len(services)), hosts: map[string][]*Route{}}
	for _, svc := range services {
		s.Services[svc.Name] = svc
	}
	for i := range routes {
		r := &routes[i]
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, rs := range s.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return s
}

// Match returns the route of the host with the longest prefix of the path, or
// nil if there is none.
func (s *State) Match(host, path string) *Route {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AllowedRegions returns the union of the allowed regions of the host's routes, to
// which callers may be sent. The second result is false if the host has no routes
// or one of them may run in all regions, so that callers may be sent anywhere.
func (s *State) AllowedRegions(host string) (map[model.Region]bool, bool) {
	routes := s.hosts[host]
	if len(routes) == 0 {
		return nil, false
	}
	allowed := map[model.Region]bool{}
	for _, r := range routes {
		if len(r.AllowedRegions) == 0 {
			return nil, false
		}
		for _, region := range r.AllowedRegions {
			allowed[region] = true
		}
	}
	return allowed, true
}

// Routes returns the number of routes.
func (s *State) Routes() int {
	n := 0
	for _, rs := range s.hosts {
		n += len(rs)
	}
	return n
}

// Allows reports whether the route may run in a region.
func (r *Route) Allows(region model.Region) bool {
	if len(r.AllowedRegions) == 0 {
		return true
	}
	for _, allowed := range r.AllowedRegions {
		if allowed == region {
			return true
		}
	}
	return false
}
