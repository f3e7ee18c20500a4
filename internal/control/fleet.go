package control

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	ready, _ := s.Ready()
	head := s.State.Head()
	members := s.Fleet.Members(s.Now())
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, Status{
		Self:     s.Fleet.Self(),
		Ready:    ready,
		Revision: head.Revision,
		EditID:   head.EditID,
		Author:   head.Author,
		Members:  members,
	})
}

// requiredParam returns a query parameter. If it is missing or too long, it
// writes an error response and returns false.
func requiredParam(w http.ResponseWriter, r *http.Request, name string) (string, bool) {
	v := r.URL.Query().Get(name)
	if v == "" || len(v) > maxQueryBytes {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("the query needs %s with up to %d bytes", name, maxQueryBytes))
		return "", false
	}
	return v, true
}

// parseCaller parses a caller's IP address and unmaps it. If it is malformed, it
// writes an error response and returns false.
func parseCaller(w http.ResponseWriter, v string) (netip.Addr, bool) {
	a, err := netip.ParseAddr(v)
	if err != nil || a.Zone() != "" {
		writeError(w, http.StatusBadRequest, "caller is an IPv4 or IPv6 address without port or zone")
		return a, false
	}
	return a.Unmap(), true
}

func (s *server) entries(w http.ResponseWriter, r *http.Request) {
	v, ok := requiredParam(w, r, "caller")
	if !ok {
		return
	}
	caller, ok := parseCaller(w, v)
	if !ok {
		return
	}
	entries, ttl := s.Lookup.Entries(s.Now(), caller)
	writeJSON(w, Entries{Caller: caller.String(), TTL: ttl.Seconds(), Entries: nonNil(entries)})
}

func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	service, ok := requiredParam(w, r, "service")
	if !ok {
		return
	}
	method, ok := requiredParam(w, r, "method")
	if !ok {
		return
	}
	path, ok := requiredParam(w, r, "path")
	if !ok {
		return
	}
	if !strings.HasPrefix(path, "/") {
		writeError(w, http.StatusBadRequest, "path starts with /")
		return
	}
	set := s.State.Rules()
	if set == nil {
		writeError(w, http.StatusServiceUnavailable, "no rules are in force at this instance")
		return
	}
	x, known := s.explanation(set, model.Service(service), strings.ToUpper(method), path)
	if !known {
		writeError(w, http.StatusNotFound, fmt.Sprintf("the rules declare no service %.80q", service))
		return
	}
	if v := r.URL.Query().Get("caller"); v != "" {
		caller, ok := parseCaller(w, v)
		if !ok {
			return
		}
		x.Caller = caller.String()
		x.CallerRegion = callerRegion(set, caller)
	}
	writeJSON(w, x)
}

// explanation explains a request. It returns false if the rules do not declare
// the service.
func (s *server) explanation(set *rules.Set, service model.Service, method, path string) (Explanation, bool) {
	priority, repeatable := set.Classify(service, method, path)
	regions := s.Explainer.Regions(s.Now(), service)
	for i := range regions {
		v := &regions[i]
		v.Weight = set.Weights[service][v.Region]
		v.Capacity = set.Capacity[rules.RegionService{Region: v.Region, Service: service}]
		v.Drained = set.RegionDrained(v.Region)
	}
	return Explanation{
		Service:    service,
		Method:     method,
		Path:       path,
		Priority:   priority,
		Repeatable: repeatable,
		Held:       set.Held[service],
		Revision:   s.State.Head().Revision,
		Regions:    nonNil(regions),
	}, priority.Valid()
}

// callerRegion returns the region of the longest prefix in the rules' callers
// that contains the caller's address, or "" if none does.
func callerRegion(set *rules.Set, caller netip.Addr) model.Region {
	region, bits := model.Region(""), -1
	for _, c := range set.Callers {
		if c.Prefix.Bits() > bits && c.Prefix.Contains(caller) {
			region, bits = c.Region, c.Prefix.Bits()
		}
	}
	return region
}

func (s *server) drain(draining bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q DrainRequest
		if !readBody(w, r, &q) {
			return
		}
		if !rules.ValidTarget(string(q.Instance)) || !configsync.ValidAuthor(q.Author) {
			writeError(w, http.StatusUnprocessableEntity, "instance and author are needed, the author without quotes and backslashes")
			return
		}
		err := s.Drainer.SetDraining(r.Context(), q.Instance, draining, q.Author)
		switch {
		case errors.Is(err, errors.NotFound):
			writeError(w, http.StatusNotFound, fmt.Sprintf("no instance %s is known here", q.Instance))
		case err != nil:
			writeError(w, http.StatusServiceUnavailable, "the drain could not be changed: "+err.Error())
		default:
			writeJSON(w, DrainReply{Instance: q.Instance, Draining: draining})
		}
	}
}

// nonNil returns an empty slice instead of nil, which JSON would encode as null.
func nonNil[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}
