package capacity

import "time"

// claimTimeout is how long after its start an instance waits for slots without an
// owner before it relies on those that its peers lend. Claims fail while the store
// is down.
const claimTimeout = 20 * time.Second

// HasSlots reports whether requests can get slots: the instance has claimed its
// share of the slots in its region and owns slots that it may use, or a peer in
// the region is ready and may lend some. A region whose services have no capacity
// needs none. Once the result was true it stays true.
func (s *State) HasSlots(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	o := &s.own
	o.hadSlots = o.hadSlots || s.findsSlots(t)
	return o.hadSlots
}

func (s *State) findsSlots(t time.Time) bool {
	if s.own.caps == nil {
		return false
	}
	if !s.own.regionHasCapacity() {
		return true
	}
	return !s.claimPending(t) && (s.ownsUsable(t) || len(s.borrow.peers[s.cfg.Region]) > 0)
}

func (o *ownership) regionHasCapacity() bool {
	for _, n := range o.caps {
		if n > 0 {
			return true
		}
	}
	return false
}

// ownsUsable reports whether requests may use slots that the instance owns.
func (s *State) ownsUsable(t time.Time) bool {
	for _, p := range s.list {
		if p.key.Region == s.cfg.Region && p.owned > p.withheld && t.Before(s.ownUntil(t)) {
			return true
		}
	}
	return false
}

// claimPending reports whether the instance is about to claim slots that have no
// owner.
func (s *State) claimPending(t time.Time) bool {
	o := &s.own
	if o.record == nil || t.Sub(s.started) >= claimTimeout {
		return false
	}
	mine := o.record.Holders[s.cfg.Self]
	for svc, n := range o.caps {
		if n > o.totalOf(svc) && s.fairShare(svc) > mine.at(o.record.index(svc)) {
			return true
		}
	}
	return false
}
