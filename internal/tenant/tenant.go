// Package tenant decides whether a request may run by the API key that it carries, and
// how long an instance may rely on its desired state for that. It is pure code without
// I/O, which gets the time as an argument.
package tenant

import "jujubestile.example/jujubestile/internal/desired"

// Verdict is the result of a decision.
type Verdict int

const (
	// Open means that the desired state has no tenants.
	Open Verdict = iota
	// Public means that the route needs no API key.
	Public
	// Known means that a tenant has the key.
	Known
	// Unknown means that no tenant has the key, or that there is none.
	Unknown
	// Unproven means that the request needs a key and that this instance does not
	// know whether its desired state is recent enough to judge it.
	Unproven
)

// Request describes a request. Public is set if its route is public, and HasKey if it
// carries a key.
type Request struct {
	Public bool
	HasKey bool
	Key    desired.KeyHash
}

// Decision is the decision on a request. Tenant is nil unless the verdict is Known.
type Decision struct {
	Verdict Verdict
	Tenant  *desired.Tenant
}

// Allowed reports whether the request may run.
func (d Decision) Allowed() bool { return d.Verdict <= Known }

// HidesKey reports whether the caller's key is not sent to the endpoint.
func (d Decision) HidesKey() bool { return d.Verdict != Open }

// Decide decides on a request. proven reports whether the desired state s is recent
// enough to judge keys. Without that proof unknown keys are not rejected either, since
// they may be new.
func Decide(s *desired.State, r Request, proven func(desired.Version) bool) Decision {
	switch {
	case s == nil || !s.KeysRequired:
		return Decision{Verdict: Open}
	case r.Public:
		return Decision{Verdict: Public}
	case !proven(s.Version):
		return Decision{Verdict: Unproven}
	case !r.HasKey:
		return Decision{Verdict: Unknown}
	}
	if t := s.TenantOf(r.Key); t != nil {
		return Decision{Verdict: Known, Tenant: t}
	}
	return Decision{Verdict: Unknown}
}
