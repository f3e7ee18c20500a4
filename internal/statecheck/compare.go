package statecheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"jujubestile.example/jujubestile/internal/desired"
)

// Change is a difference between two desired states.
type Change struct {
	// Change is "added", "removed" or "changed".
	Change string `json:"change"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name,omitempty"`
	// Field, Old and New are set for a changed field. Field is its name in the
	// encoding.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	object := objectName(c.Kind, c.Name)
	switch c.Change {
	case "added":
		return "+ " + object
	case "removed":
		return "- " + object
	}
	return fmt.Sprintf("~ %s, field %s: %s -> %s", object, c.Field, c.Old, c.New)
}

// value is a field of an object as text. Values that mean the same have the same text.
type value struct {
	field Field
	text  string
}

// object is a route, a service or the limits.
type object struct {
	name   string
	values []value
}

// Compare returns what next changes by meaning: the order of objects and of regions, the
// unit of times and the scale of weights do not matter. Both documents must be valid.
func Compare(old, next *Document) []Change {
	var out []Change
	add := func(k Kind, before, after []object) {
		for _, c := range compareObjects(k, before, after) {
			if c.Field != "" {
				_, c.Field = next.place(k, 0, Field(c.Field))
			}
			out = append(out, c)
		}
	}
	add(KindRoute, objects(old.Routes, routeObject), objects(next.Routes, routeObject))
	add(KindService, objects(old.Services, serviceObject), objects(next.Services, serviceObject))
	add(KindLimits, []object{limitsObject(old.State.Limits)}, []object{limitsObject(next.State.Limits)})
	return out
}

// CheckVersion returns a finding if instances with the old state in force would ignore
// the next one because its version is not higher. Equal states are no finding.
func CheckVersion(old, next *Document, changes []Change) []Finding {
	if next.State.Version > old.State.Version || next.State.Version == old.State.Version && len(changes) == 0 {
		return nil
	}
	line, field := next.place(KindState, 0, FieldVersion)
	return []Finding{{Error, "version-not-newer", line, KindState, "", field,
		fmt.Sprintf("the version %d is not above %d, which is in force, so instances ignore the state", next.State.Version, old.State.Version),
		"Raise the version"}}
}

// objects converts a list. A name that occurs again gets a number.
func objects[T any](list []T, convert func(T) object) []object {
	seen := map[string]int{}
	out := make([]object, 0, len(list))
	for _, item := range list {
		o := convert(item)
		seen[o.name]++
		if n := seen[o.name]; n > 1 {
			o.name = fmt.Sprintf("%s (%d)", o.name, n)
		}
		out = append(out, o)
	}
	return out
}

func compareObjects(k Kind, before, after []object) []Change {
	old := make(map[string]object, len(before))
	for _, o := range before {
		old[o.name] = o
	}
	var out []Change
	for _, o := range after {
		was, ok := old[o.name]
		delete(old, o.name)
		if !ok {
			out = append(out, Change{Change: "added", Kind: k, Name: o.name})
			continue
		}
		for i, v := range o.values {
			if was.values[i].text != v.text {
				out = append(out, Change{"changed", k, o.name, string(v.field), was.values[i].text, v.text})
			}
		}
	}
	for _, o := range before {
		if _, left := old[o.name]; left {
			out = append(out, Change{Change: "removed", Kind: k, Name: o.name})
		}
	}
	return out
}

func routeObject(r desired.Route) object {
	regions := slices.Compact(slices.Sorted(slices.Values(r.AllowedRegions)))
	return object{r.Name, []value{
		{FieldHost, quote(r.Host)}, {FieldPrefix, quote(r.Prefix)}, {FieldRepeatable, fmt.Sprint(r.Repeatable)},
		{FieldTimeout, r.Timeout.String()}, {FieldTarget, r.TargetLatency.String()}, {FieldRank, fmt.Sprint(r.Rank)},
		{FieldSplit, splitText(r.TrafficSplit)}, {FieldAttempts, fmt.Sprint(r.MaxAttempts)}, {FieldSticky, fmt.Sprint(r.Sticky)},
		{FieldRegions, fmt.Sprintf("%q", regions)},
	}}
}

func serviceObject(s desired.Service) object {
	return object{string(s.Name), []value{
		{FieldHealthPath, quote(s.HealthPath)}, {FieldConnections, fmt.Sprint(s.MaxConnections)},
		{FieldColdStart, s.ColdStart.String()}, {FieldColdRate, fmt.Sprint(s.ColdRate)},
	}}
}

func limitsObject(l desired.Limits) object {
	return object{"", []value{
		{FieldMaxHeader, fmt.Sprint(l.MaxHeaderBytes)}, {FieldMaxBody, fmt.Sprint(l.MaxBodyBytes)},
		{FieldHeaderTimeout, l.HeaderTimeout.String()}, {FieldIdleTimeout, l.IdleTimeout.String()},
	}}
}

func quote(s string) string { return fmt.Sprintf("%q", s) }

// splitText returns the shares of a traffic split. Without any weight the first service
// gets all requests.
func splitText(split []desired.WeightedService) string {
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	if total <= 0 && len(split) > 0 {
		return string(split[0].Service) + " 100%"
	}
	var parts []string
	sorted := slices.SortedStableFunc(slices.Values(split), func(a, b desired.WeightedService) int { return cmp.Compare(a.Service, b.Service) })
	for _, s := range sorted {
		if s.Weight > 0 {
			parts = append(parts, fmt.Sprintf("%s %.4g%%", s.Service, 100*s.Weight/total))
		}
	}
	return strings.Join(parts, ", ")
}
