package capacity

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of the slot accounting, for operators.
type Status struct {
	// Admitting reports whether requests may start. Confirmed is how long ago
	// the instance was last known to hold its slots, or negative if it has to
	// be confirmed first.
	Admitting bool
	Confirmed time.Duration
	// Fenced means that a later process of the same instance took over. This
	// process does not admit requests again.
	Fenced bool
	// Pauses counts pauses over PauseLimit since the start.
	Pauses int
	// Version is that of the capacity record last read.
	Version uint64
	// Unresolved means that the result of a write of the capacity record is
	// unknown.
	Unresolved bool
	// LinkShare is the instance's share, from 0 to 1, of the budgets of the
	// links that leave its region.
	LinkShare float64
	Pools     []PoolStatus
}

// PoolStatus counts the slots of one (region, service).
type PoolStatus struct {
	Key Key
	// Owned counts the slots that the instance owns by the capacity record,
	// Withheld those of them that it is relinquishing, Lent those on loan to
	// other instances.
	Owned, Withheld, Lent int
	// Borrowed counts the slots on loan from other instances.
	Borrowed int
	// InUse counts the slots in use, which are the requests in flight.
	InUse int
}

// Status returns the state of the slot accounting. Its pools are sorted by
// region and service.
func (s *State) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.summaryAt(s.update(now))
	for _, p := range s.list {
		st.Pools = append(st.Pools, p.status())
	}
	slices.SortFunc(st.Pools, func(a, b PoolStatus) int {
		return cmp.Or(cmp.Compare(a.Key.Region, b.Key.Region), cmp.Compare(a.Key.Service, b.Key.Service))
	})
	return st
}

// summary returns the status without its pools.
func (s *State) summary(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.summaryAt(s.update(now))
}

func (s *State) summaryAt(t time.Time) Status {
	o := &s.own
	st := Status{Admitting: s.admitting(t), Confirmed: -1, Fenced: o.fenced, Pauses: o.pauses, Unresolved: o.pending}
	if !o.confirmed.IsZero() {
		st.Confirmed = t.Sub(o.confirmed)
	}
	if o.record != nil {
		st.Version = o.record.Version
	}
	if o.kept > 0 {
		st.LinkShare = float64(o.kept) / float64(o.linkDivisor)
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
