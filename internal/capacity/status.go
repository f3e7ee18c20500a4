package capacity

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of the accounts for operators.
type Status struct {
	// Admitting reports whether requests may start. Confirmed is how long ago
	// the instance was last known to hold its slots, or negative if it is not.
	Admitting bool
	Confirmed time.Duration
	// Fenced means that a later process of the same instance took over. The
	// process does not admit again.
	Fenced bool
	// Pauses counts pauses over PauseLimit since the start.
	Pauses int
	// Version is that of the root record last read.
	Version uint64
	// Unresolved means that the result of a write is not known.
	Unresolved bool
	// LinkShare is the part of the budgets of the links from the own region.
	LinkShare float64
	Pools     []PoolStatus
}

// PoolStatus is the account of one (region, service), in slots.
type PoolStatus struct {
	Key Key
	// Owned are the slots by the root record, Withheld those of them that are
	// being given up, Lent those on loan to others.
	Owned, Withheld, Lent int
	// Borrowed are the slots on loan from others.
	Borrowed int
	// InUse are the requests in flight.
	InUse int
}

// Status returns the state of the accounts, sorted by region and service.
func (s *State) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.briefAt(s.enter(now))
	for _, p := range s.list {
		st.Pools = append(st.Pools, p.status())
	}
	slices.SortFunc(st.Pools, func(a, b PoolStatus) int {
		return cmp.Or(cmp.Compare(a.Key.Region, b.Key.Region), cmp.Compare(a.Key.Service, b.Key.Service))
	})
	return st
}

// brief returns the status without the pools.
func (s *State) brief(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.briefAt(s.enter(now))
}

func (s *State) briefAt(t time.Time) Status {
	o := &s.own
	st := Status{Admitting: s.admitting(t), Confirmed: -1, Fenced: o.fenced, Pauses: o.pauses, Unresolved: o.pending}
	if !o.confirmed.IsZero() {
		st.Confirmed = t.Sub(o.confirmed)
	}
	if o.record != nil {
		st.Version = o.record.Version
	}
	if o.mine > 0 {
		st.LinkShare = float64(o.mine) / float64(o.divisor)
	}
	return st
}

func (p *pool) status() PoolStatus {
	st := PoolStatus{Key: p.key, Owned: p.owned, Withheld: p.withheld, Lent: p.lent, InUse: p.inUse()}
	for _, l := range p.loans {
		st.Borrowed += l.count
	}
	return st
}
