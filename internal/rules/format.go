package rules

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"jujubestile.example/jujubestile/internal/model"
)

// Format returns a Set as a rules file in which the comment of every line names
// the requester. Parsing the result yields an equal Set.
func Format(s *Set, requester string) string {
	w := &writer{requester: requester}
	w.declarations(s)
	w.quantities(s)
	w.requestRules(s)
	w.drains(s)
	for _, c := range s.Callers {
		w.rule("callers %s %s", c.Prefix, c.Region)
	}
	return w.b.String()
}

type writer struct {
	b         strings.Builder
	requester string
}

func (w *writer) rule(format string, args ...any) {
	fmt.Fprintf(&w.b, format, args...)
	fmt.Fprintf(&w.b, " # %s\n", w.requester)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func (w *writer) declarations(s *Set) {
	for _, r := range sortedKeys(s.Regions) {
		names := make([]string, 0, len(s.Regions[r]))
		for _, d := range s.Regions[r] {
			names = append(names, string(d))
		}
		w.rule("region %s %s", r, strings.Join(names, ","))
	}
	for _, v := range sortedKeys(s.Services) {
		w.rule("service %s priority %s", v, s.Services[v])
	}
}

func (w *writer) quantities(s *Set) {
	for _, r := range sortedKeys(s.Regions) {
		for _, v := range sortedKeys(s.Services) {
			if n, ok := s.Capacity[RegionService{Region: r, Service: v}]; ok {
				w.rule("capacity %s %s %d", r, v, n)
			}
		}
		for _, to := range sortedKeys(s.Regions) {
			if rate, ok := s.Links[Link{From: r, To: to}]; ok {
				w.rule("link %s %s %s", r, to, formatRate(rate))
			}
		}
	}
	for _, v := range sortedKeys(s.Weights) {
		var fields strings.Builder
		for _, r := range sortedKeys(s.Weights[v]) {
			fmt.Fprintf(&fields, " %s=%s", r, formatFraction(s.Weights[v][r]))
		}
		w.rule("weights %s%s", v, fields.String())
	}
	for _, v := range sortedKeys(s.Shifts) {
		w.rule("shift %s max %s per %s", v, formatFraction(s.Shifts[v].Fraction), s.Shifts[v].Period)
	}
	for _, p := range sortedKeys(s.Minimum) {
		w.rule("minimum %s %s", p, formatFraction(s.Minimum[p]))
	}
}

func (w *writer) requestRules(s *Set) {
	for _, k := range s.Priorities {
		w.rule("priority %s %s %s %s", k.Match.Service, cmp.Or(k.Match.Method, "*"), cmp.Or(k.Match.PathPrefix, "/"), k.Priority)
	}
	for _, k := range s.Repeatable {
		w.rule("repeatable %s %s %s", k.Service, k.Method, cmp.Or(k.PathPrefix, "/"))
	}
}

func (w *writer) drains(s *Set) {
	writeDrains(w, "endpoint", s.DrainEndpoints)
	writeDrains(w, "instance", s.DrainInstances)
	writeDrains(w, "domain", s.DrainDomains)
	for _, v := range sortedKeys(s.Held) {
		if s.Held[v] {
			w.rule("hold %s", v)
		}
	}
}

func writeDrains[K model.EndpointID | model.InstanceID | model.Domain](w *writer, kind string, names map[K]bool) {
	for _, n := range sortedKeys(names) {
		if names[n] {
			w.rule("drain %s %s", kind, n)
		}
	}
}

func formatFraction(f float64) string {
	return formatUnits(int64(math.Round(f * fractionUnits)))
}

// formatUnits formats units of 1/fractionUnits as a percentage.
func formatUnits(units int64) string {
	s := fmt.Sprintf("%d.%03d", units/1000, units%1000)
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".") + "%"
}

// formatRate formats a rate in bytes per second as Kbit/s. 125 bytes are one
// Kbit.
func formatRate(bytes int64) string {
	milli := bytes * 8
	s := fmt.Sprintf("%d.%03d", milli/1000, milli%1000)
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".") + "Kbit/s"
}
