package capacity

import (
	"maps"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

const (
	// missingBeforeMark is how long an instance is missing from the list
	// before that is noted in the root record. It keeps one bad reading from
	// causing writes.
	missingBeforeMark = 2 * time.Second
	// rankDelay separates the instances that would reclaim the same slots, so
	// that one writes and the others see it done.
	rankDelay = 3 * time.Second
	// listGap is the longest time between two readings of the list over which
	// an instance counts as missing without a break.
	listGap = 15 * time.Second
	// settleFor is how long slots stay unowned, or owners stay above a lowered
	// capacity, before the fair parts no longer bound what an instance claims
	// or gives up. It covers members that do not take part.
	settleFor = 30 * time.Second
	// balanceFor is how long after a change of the members owners give up
	// slots above their fair part. It bounds the writes that a change causes.
	balanceFor = 2 * time.Minute
)

// ownership is what the instance knows of the root record of its region.
type ownership struct {
	// confirmed is when the instance was last known to hold its slots.
	confirmed time.Time
	// pausedAt is when a pause was last noticed. Only what was asked for
	// after it confirms.
	pausedAt time.Time
	pauses   int
	// fenced means that a later process of the same instance took over.
	fenced  bool
	leaving bool
	// notBefore is when requests of the predecessor have ended.
	notBefore time.Time

	caps   map[model.Service]int
	raised map[model.Service]time.Time
	// firstRules is when the first rules came. They may be newer than those of
	// the owners.
	firstRules time.Time
	// claimAfter is when the rules are known to be those in effect.
	claimAfter time.Time
	// former are the capacities before they were lowered.
	former map[model.Service]lowered

	record   *Record
	revision store.Revision
	totals   []int
	// mine is the number of slots that the instance owns and keeps; divisor
	// is at least the number that all instances own.
	mine, divisor int
	applied       time.Time
	// pending means that a write at pendingAt has an unknown result.
	pending   bool
	pendingAt store.Revision
	// unresolved are the slots that pending writes may have given up.
	unresolved map[model.Service]int
	// unsettled is since when a service's slots do not sum to its capacity.
	unsettled map[model.Service]time.Time

	members []model.InstanceID
	// joined is when the members last changed.
	joined time.Time
	listed time.Time
	// inList is since when each reading of the list held this instance, or
	// zero if the latest did not.
	inList  time.Time
	missing map[model.InstanceID]time.Time
	marks   map[model.InstanceID]mark
}

// lowered is a capacity that was lowered.
type lowered struct {
	from int
	at   time.Time
}

// mark is a note in the record that a holder is missing.
type mark struct {
	version uint64
	seen    time.Time
}

func (o *ownership) init() {
	o.former = make(map[model.Service]lowered)
	o.raised = make(map[model.Service]time.Time)
	o.unresolved = make(map[model.Service]int)
	o.unsettled = make(map[model.Service]time.Time)
	o.missing = make(map[model.InstanceID]time.Time)
	o.marks = make(map[model.InstanceID]mark)
}

// SetRules takes the capacities of the rules that are in effect.
func (s *State) SetRules(now time.Time, set *rules.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	caps := make(map[model.Service]int)
	for k, n := range set.Capacity {
		if k.Region == s.cfg.Region {
			caps[k.Service] = n
		}
	}
	s.noteChanges(t, caps)
	s.own.caps = caps
	s.own.setDivisor()
	s.withhold(t)
}

func (s *State) noteChanges(t time.Time, caps map[model.Service]int) {
	o := &s.own
	if o.caps == nil {
		o.firstRules = t
		return
	}
	for svc, n := range caps {
		if n > o.caps[svc] {
			o.raised[svc] = t
		}
	}
	for svc, n := range o.caps {
		if n > caps[svc] {
			o.former[svc] = lowered{from: max(n, o.former[svc].from), at: t}
		}
	}
}

// setDivisor computes the divisor of the link parts. A lowered capacity counts
// until a record is known that nobody with the former rules changes any more.
func (o *ownership) setDivisor() {
	counts := maps.Clone(o.caps)
	if counts == nil {
		counts = make(map[model.Service]int)
	}
	for svc, l := range o.former {
		if o.applied.Before(l.at.Add(RaiseDelay)) {
			counts[svc] = max(counts[svc], l.from)
		} else {
			delete(o.former, svc)
		}
	}
	if o.record != nil {
		for i, svc := range o.record.Services {
			counts[svc] = max(counts[svc], o.totals[i])
		}
	}
	o.divisor = 0
	for _, n := range counts {
		o.divisor += n
	}
}

// SetMembers takes the live instances of the own region.
func (s *State) SetMembers(now time.Time, ids []model.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	members := withSelf(ids, s.cfg.Self)
	slices.Sort(members)
	if !slices.Equal(members, s.own.members) {
		s.own.members, s.own.joined = members, t
	}
}

func withSelf(ids []model.InstanceID, self model.InstanceID) []model.InstanceID {
	out := make([]model.InstanceID, 0, len(ids)+1)
	for _, id := range ids {
		if id != self {
			out = append(out, id)
		}
	}
	return append(out, self)
}

// ReadClock returns the time at which an exchange with the store or the platform
// starts, for the method that takes its result.
func (s *State) ReadClock(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enter(now)
}

// ApplyListing takes a reading of the platform's list that began at started.
func (s *State) ApplyListing(now, started time.Time, ids map[model.InstanceID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	o := &s.own
	if t.Sub(o.listed) > listGap || started.Before(o.pausedAt) {
		clear(o.missing)
		o.inList = time.Time{}
	}
	o.listed = t
	s.noteSelf(t, started, ids[s.cfg.Self])
	s.noteMissing(t, ids)
}

// ConfirmedByListings reports whether readings of the platform's list confirm the
// instance without a break.
func (s *State) ConfirmedByListings(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	o := &s.own
	return !o.inList.IsZero() && o.listed.Sub(o.inList) >= listGap+ListLag && t.Sub(o.listed) < listGap
}

// noteSelf takes whether the list holds this instance. It confirms only once
// that lasted so long that each instance that reads the list without a gap has
// seen it too. Confirmed at the first reading after it was missing, the
// instance used slots that others took by their reading just before.
func (s *State) noteSelf(t, started time.Time, listed bool) {
	o := &s.own
	switch {
	case !listed:
		o.inList = time.Time{}
	case o.inList.IsZero():
		o.inList = t
	case t.Sub(o.inList) >= listGap+ListLag:
		s.confirm(started, ListLag)
	}
}

func (s *State) noteMissing(t time.Time, ids map[model.InstanceID]bool) {
	o := &s.own
	for id := range o.missing {
		if ids[id] {
			delete(o.missing, id)
		}
	}
	if o.record == nil {
		return
	}
	for id := range o.record.Holders {
		if _, known := o.missing[id]; !known && !ids[id] && id != s.cfg.Self {
			o.missing[id] = t
		}
	}
}

// confirm records that at started, less lag, the instance held its slots.
func (s *State) confirm(started time.Time, lag time.Duration) {
	o := &s.own
	if started.Before(o.pausedAt) {
		return
	}
	if at := started.Add(-lag); at.After(o.confirmed) {
		wasAdmitting := !o.confirmed.IsZero()
		o.confirmed = at
		if !wasAdmitting {
			s.freedAll()
		}
	}
}

func (s *State) freedAll() {
	for _, p := range s.list {
		s.freed(p.key.Service)
	}
}

// ApplyRecord takes a reading of the root record that began at started. A key that
// does not exist has revision store.Absent.
func (s *State) ApplyRecord(now, started time.Time, kv store.KeyValue) error {
	rec, err := ParseRecord(kv.Value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.enter(now), started, rec, kv.Revision)
	return nil
}

func (s *State) apply(t, started time.Time, rec *Record, rev store.Revision) {
	o := &s.own
	if o.pending && rev != o.pendingAt {
		// A write expecting another revision can no longer take effect.
		o.pending = false
		clear(o.unresolved)
	}
	o.record, o.revision, o.totals, o.applied = rec, rev, rec.totals(), started
	o.setDivisor()
	s.takeOwn(started)
	s.noteMarks(t)
	s.noteUnsettled(t)
	s.withhold(t)
}

// takeOwn takes the instance's own entry of the record.
func (s *State) takeOwn(started time.Time) {
	o := &s.own
	mine := o.record.Holders[s.cfg.Self]
	if mine != nil && mine.Incarnation > s.cfg.Incarnation {
		o.fenced = true
	}
	if mine != nil && mine.Incarnation < s.cfg.Incarnation {
		o.notBefore = s.started.Add(MaxHold)
	}
	if mine != nil && mine.Incarnation != s.cfg.Incarnation {
		s.setOwned(nil)
		return
	}
	s.setOwned(mine)
	if mine == nil || mine.Missing == 0 {
		s.confirm(started, 0)
	}
}

func (s *State) setOwned(h *Holder) {
	for _, p := range s.list {
		if p.key.Region == s.cfg.Region {
			s.setPool(p, h.at(s.own.record.index(p.key.Service)))
		}
	}
	if h == nil {
		return
	}
	for i, n := range h.Slots {
		if n > 0 {
			s.setPool(s.pool(Key{Region: s.cfg.Region, Service: s.own.record.Services[i]}), n)
		}
	}
}

func (s *State) setPool(p *pool, owned int) {
	grown := owned > p.owned
	p.owned = owned
	if grown {
		s.freed(p.key.Service)
	}
}

func (s *State) noteMarks(t time.Time) {
	o := &s.own
	for id, m := range o.marks {
		if h := o.record.Holders[id]; h == nil || h.Missing != m.version {
			delete(o.marks, id)
		}
	}
	for id, h := range o.record.Holders {
		if _, known := o.marks[id]; !known && h.Missing != 0 {
			o.marks[id] = mark{version: h.Missing, seen: t}
		}
	}
}

func (s *State) noteUnsettled(t time.Time) {
	o := &s.own
	for svc, n := range o.caps {
		if o.totalOf(svc) == n {
			delete(o.unsettled, svc)
		} else if _, known := o.unsettled[svc]; !known {
			o.unsettled[svc] = t
		}
	}
}

func (o *ownership) totalOf(svc model.Service) int {
	if i := o.record.index(svc); i >= 0 {
		return o.totals[i]
	}
	return 0
}

// Leave makes the instance give up its slots as they become idle.
func (s *State) Leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	s.own.leaving = true
	s.withhold(t)
}

// HasLeft reports whether the record holds nothing of the instance any more.
func (s *State) HasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.own
	return o.leaving && !o.pending && (o.record == nil || o.record.Holders[s.cfg.Self] == nil)
}

// withhold keeps slots that have to be given up from being used or lent.
func (s *State) withhold(t time.Time) {
	s.own.mine = 0
	for _, p := range s.list {
		if p.key.Region != s.cfg.Region {
			continue
		}
		p.withheld = min(p.owned, max(s.surplus(t, p), s.own.unresolved[p.key.Service]))
		s.own.mine += p.owned - p.withheld
	}
}

// surplus returns how many of the owned slots the instance has to give up.
func (s *State) surplus(t time.Time, p *pool) int {
	o := &s.own
	if o.leaving {
		return p.owned
	}
	if o.caps == nil || o.record == nil || p.owned == 0 {
		return 0
	}
	svc := p.key.Service
	extra := p.owned - s.fair(svc)
	excess := o.totalOf(svc) - o.caps[svc]
	if excess <= 0 {
		return s.rebalance(t, extra, p.owned)
	}
	if o.longUnsettled(t, svc) {
		extra = max(extra, ceilDiv(p.owned*excess, o.totalOf(svc)))
	}
	return min(max(extra, 0), excess, p.owned)
}

// rebalance returns how many slots above its fair part the instance gives up
// after the members have changed. It is a small part at a time, because the
// slots are idle until another instance claims them.
func (s *State) rebalance(t time.Time, extra, owned int) int {
	if extra <= 0 || !s.own.balancing(t) || t.Sub(s.own.joined) < settleFor {
		return 0
	}
	return min(extra, max(owned/8, 1))
}

// balancing reports whether the members changed lately. While it lasts, slots
// go to instances below their fair part; after it, unowned slots go to any.
func (o *ownership) balancing(t time.Time) bool {
	return t.Sub(o.joined) < balanceFor
}

func (o *ownership) longUnsettled(t time.Time, svc model.Service) bool {
	since, ok := o.unsettled[svc]
	return ok && t.Sub(since) > settleFor
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}
