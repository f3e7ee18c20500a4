package serve

import (
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/statecheck"
)

// CheckMachine returns what a check of the desired state must know of the instances and
// their machines.
func (s Settings) CheckMachine() statecheck.Machine {
	m := ListenerLimits()
	m.Memory, m.Grace = int64(s.Memory)<<20, time.Duration(s.Bounds.Grace)
	m.RetryRatio, m.RetrySlack, m.HasBudget = s.Bounds.RetryRatio, s.Bounds.RetrySlack, true
	for _, r := range s.Domains {
		if !slices.Contains(m.Regions, r) {
			m.Regions = append(m.Regions, r)
		}
	}
	return m
}

// ListenerLimits returns the limits that apply to callers whatever the settings are.
func ListenerLimits() statecheck.Machine {
	return statecheck.Machine{MaxHeader: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}
