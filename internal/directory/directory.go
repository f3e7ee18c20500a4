// Package directory selects the entry instances that a lookup returns to a
// caller.
package directory

import (
	"net/netip"
	"sort"
	"time"

	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/model"
)

// Query is a lookup by a caller: the host of its requests, and where it runs.
type Query struct {
	Host   string
	Region model.Region
	Domain model.Domain
}

// Answer is the result of a lookup: the addresses of entry instances, the
// preferred ones first, and how long the caller may use them.
type Answer struct {
	Entries []netip.AddrPort
	TTL     time.Duration
}

const (
	// maxEntries bounds the number of addresses in an answer.
	maxEntries = 64
	// TTL is how long an answer may be used. A shorter TTL makes callers follow
	// changes sooner and costs more lookups.
	TTL = 1500 * time.Millisecond
)

// Choose returns the instances for a caller: those of its own region; if there
// are none, those of the allowed regions, in which the host's requests may run;
// if there are none either, all. Instances that are leaving or not ready are left
// out, and those of the caller's failure domain come first. If allowed is nil,
// all regions are allowed.
func Choose(q Query, instances []fleet.Presence, allowed map[model.Region]bool) Answer {
	local, inAllowed, rest := []fleet.Presence{}, []fleet.Presence{}, []fleet.Presence{}
	for _, p := range instances {
		switch {
		case p.Leaving || !p.Ready:
		case p.Region == q.Region:
			local = append(local, p)
		case allowed == nil || allowed[p.Region]:
			inAllowed = append(inAllowed, p)
		default:
			rest = append(rest, p)
		}
	}
	chosen := local
	if len(chosen) == 0 {
		chosen = inAllowed
	}
	if len(chosen) == 0 {
		chosen = rest
	}
	sort.Slice(chosen, func(i, j int) bool {
		if near := chosen[i].Domain == q.Domain; near != (chosen[j].Domain == q.Domain) {
			return near
		}
		return chosen[i].ID < chosen[j].ID
	})
	a := Answer{TTL: TTL}
	for _, p := range chosen[:min(len(chosen), maxEntries)] {
		a.Entries = append(a.Entries, p.Entry)
	}
	return a
}
