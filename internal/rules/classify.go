package rules

import (
	"net/http"
	"strings"

	"jujubestile.example/jujubestile/internal/model"
)

// index maps requests to their priority and repeatable rules, so that Classify
// need not scan all rules.
type index struct {
	priorities map[RequestMatch]model.Priority
	repeatable map[RequestMatch]bool
}

func newIndex(s *Set) *index {
	x := &index{
		priorities: make(map[RequestMatch]model.Priority, len(s.Priorities)),
		repeatable: make(map[RequestMatch]bool, len(s.Repeatable)),
	}
	for _, k := range s.Priorities {
		x.priorities[k.Match.normalize()] = k.Priority
	}
	for _, k := range s.Repeatable {
		x.repeatable[k.normalize()] = true
	}
	return x
}

// normalize replaces an empty path prefix by the equivalent "/".
func (k RequestMatch) normalize() RequestMatch {
	if k.PathPrefix == "" {
		k.PathPrefix = "/"
	}
	return k
}

// Classify returns the priority of a request and whether the request is
// repeatable, that is, may run twice without harm. The priority is 0 for an
// unknown service. The path must be decoded and without . and .. segments; a
// query is ignored. A path prefix matches whole segments: /search matches
// /search/old but not /searches. GET, HEAD and OPTIONS, safe methods of RFC 9110,
// are always repeatable.
func (s *Set) Classify(service model.Service, method, path string) (model.Priority, bool) {
	priority, known := s.Services[service]
	if !known {
		return 0, false
	}
	x := s.index
	if x == nil {
		x = newIndex(s)
	}
	path, _, _ = strings.Cut(path, "?")
	if p, found := x.priority(service, method, path); found {
		priority = p
	}
	return priority, isSafeMethod(method) || x.isRepeatable(service, method, path)
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (x *index) priority(s model.Service, method, path string) (model.Priority, bool) {
	if len(x.priorities) == 0 {
		return 0, false
	}
	for prefix := path; prefix != ""; prefix = parentPath(prefix) {
		if p, found := x.priorities[RequestMatch{s, method, prefix}]; found {
			return p, true
		}
		if p, found := x.priorities[RequestMatch{s, "", prefix}]; found {
			return p, true
		}
	}
	return 0, false
}

func (x *index) isRepeatable(s model.Service, method, path string) bool {
	if len(x.repeatable) == 0 {
		return false
	}
	for prefix := path; prefix != ""; prefix = parentPath(prefix) {
		if x.repeatable[RequestMatch{s, method, prefix}] || x.repeatable[RequestMatch{s, "", prefix}] {
			return true
		}
	}
	return false
}

// parentPath returns the path without its last segment, or "" for the root.
func parentPath(path string) string {
	i := strings.LastIndexByte(path, '/')
	switch {
	case path == "/" || i < 0:
		return ""
	case i == 0:
		return "/"
	}
	return path[:i]
}

// RegionDrained reports whether the rules drain all failure domains of a
// region. It is false for an unknown region.
func (s *Set) RegionDrained(r model.Region) bool {
	domains := s.Regions[r]
	for _, d := range domains {
		if !s.DrainDomains[d] {
			return false
		}
	}
	return len(domains) > 0
}

// EndpointDrained reports whether the rules drain an endpoint or its failure
// domain.
func (s *Set) EndpointDrained(id model.EndpointID, d model.Domain) bool {
	return s.DrainEndpoints[id] || s.DrainDomains[d]
}

// InstanceDrained reports whether the rules drain an entry instance or its
// failure domain.
func (s *Set) InstanceDrained(id model.InstanceID, d model.Domain) bool {
	return s.DrainInstances[id] || s.DrainDomains[d]
}
