// Package desired holds the desired state that operators accept: routes,
// services and limits, with the version that orders its states.
package desired

import (
	"sort"
	"strings"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Version orders desired states. Zero means none.
type Version uint64

// State is one desired state. It is immutable once published.
type State struct {
	Version  Version
	Limits   Limits
	Services map[model.Service]Service
	hosts    map[string][]*Route
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full value.
	TargetLatency time.Duration
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// MaxAttempts is how many endpoints one request may be sent to.
	MaxAttempts int
	// Sticky routes run faster at an endpoint that has handled the object
	// before.
	Sticky bool
	// AllowedRegions are the regions in which the route may run. Empty: all.
	AllowedRegions []model.Region
	// TrafficSplit are the services that share the route's requests. A route with
	// one service has one part.
	TrafficSplit []WeightedService
}

// WeightedService is a service's share of the requests of a route.
type WeightedService struct {
	Service model.Service
	Weight  float64
}

// Service describes the endpoints of a service.
type Service struct {
	Name model.Service
	// HealthPath answers health probes.
	HealthPath string
	// MaxConnections is how many connections an endpoint accepts from all
	// callers together.
	MaxConnections int
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration
	// ColdRate is how many requests a second a cold endpoint tolerates.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// New returns a state with the routes indexed for Match.
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

// Match returns the route with the longest prefix of the path, or nil.
func (s *State) Match(host, path string) *Route {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AllowedRegions returns the regions in which every route of the host may run. The
// second result is false if a route of the host has no homes or the host has
// no routes, so that callers may be sent anywhere.
func (s *State) AllowedRegions(host string) (map[model.Region]bool, bool) {
	routes := s.hosts[host]
	if len(routes) == 0 {
		return nil, false
	}
	homes := map[model.Region]bool{}
	for _, r := range routes {
		if len(r.AllowedRegions) == 0 {
			return nil, false
		}
		for _, h := range r.AllowedRegions {
			homes[h] = true
		}
	}
	return homes, true
}

// Routes returns the number of routes.
func (s *State) Routes() int {
	n := 0
	for _, rs := range s.hosts {
		n += len(rs)
	}
	return n
}

// Allows reports whether the route may run in the region.
func (r *Route) Allows(region model.Region) bool {
	if len(r.AllowedRegions) == 0 {
		return true
	}
	for _, h := range r.AllowedRegions {
		if h == region {
			return true
		}
	}
	return false
}
