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
	// markAfter is how long a holder is missing from the listings before it is
	// marked as missing in the capacity record. It keeps a single bad listing
	// from causing writes.
	markAfter = 2 * time.Second
	// rankDelay is the delay between the instances that can mark or reclaim
	// the same holder, so that one writes and the others see the result.
	rankDelay = 3 * time.Second
	// maxListingGap is the longest time between two listings for which an
	// instance that neither contains counts as missing all the time.
	maxListingGap = 15 * time.Second
	// settleTimeout is how long slots have no owner, or owners hold more than a
	// lowered capacity, before instances claim or relinquish slots beyond their
	// fair shares. It covers members that don't take part.
	settleTimeout = 30 * time.Second
	// rebalancePeriod is how long after a change of the members owners
	// relinquish slots above their fair share. It limits the number of writes
	// that a change causes.
	rebalancePeriod = 2 * time.Minute
)

// ownership holds what the instance knows about the owners of the slots in its
// region.
type ownership struct {
	// confirmed is when the instance was last known to hold its slots, or zero
	// if a confirmation is needed.
	confirmed time.Time
	// pausedAt is when a pause was last noticed. Only reads and listings that
	// began after it confirm the instance.
	pausedAt time.Time
	pauses   int
	// fenced means that a later process of the same instance took over.
	fenced  bool
	leaving bool
	// notBefore is when all requests of the previous process have ended.
	notBefore time.Time

	// caps are the capacities by the rules, raised is when each was last
	// raised.
	caps   map[model.Service]int
	raised map[model.Service]time.Time
	// firstRulesAt is when the instance got its first rules. They may be newer
	// than those that the owners know.
	firstRulesAt time.Time
	// claimAfter is when the rules are up to date again after a pause.
	claimAfter time.Time
	// former holds the capacities that were lowered recently.
	former map[model.Service]loweredCapacity

	// record is the capacity record as of a read that began at readAt, totals
	// its sums by position.
	record   *Record
	revision store.Revision
	totals   []int
	// kept is the number of slots that the instance owns and doesn't
	// relinquish; linkDivisor is at least the number that all instances own.
	kept, linkDivisor int
	readAt            time.Time
	// pending means that the result of a write that expects the revision
	// pendingAt is unknown.
	pending   bool
	pendingAt store.Revision
	// unresolved counts the slots that pending writes may have relinquished.
	unresolved map[model.Service]int
	// unsettled is since when the owned slots of a service have not summed to
	// its capacity.
	unsettled map[model.Service]time.Time

	// hadSlots is set once HasSlots has returned true.
	hadSlots bool
	// members are the live instances of the region, this one included.
	members          []model.InstanceID
	membersChangedAt time.Time
	restore          restoreState
	// lastListing is when a listing was last applied.
	lastListing time.Time
	// listedSince is since when each listing has contained this instance, or
	// zero if the latest did not.
	listedSince time.Time
	// missing is since when each holder has been missing from the listings,
	// marks are the marks of missing holders in the record.
	missing map[model.InstanceID]time.Time
	marks   map[model.InstanceID]mark
}

// loweredCapacity is the capacity of a service before it was lowered, and when
// it was.
type loweredCapacity struct {
	from int
	at   time.Time
}

// mark says at which version of the record a holder was marked as missing, and
// when this instance first saw the mark.
type mark struct {
	version uint64
	seen    time.Time
}

func (o *ownership) init() {
	o.former = make(map[model.Service]loweredCapacity)
	o.raised = make(map[model.Service]time.Time)
	o.unresolved = make(map[model.Service]int)
	o.unsettled = make(map[model.Service]time.Time)
	o.missing = make(map[model.InstanceID]time.Time)
	o.marks = make(map[model.InstanceID]mark)
}

// SetRules sets the capacities to those of the rules in force.
func (s *State) SetRules(now time.Time, set *rules.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	caps := make(map[model.Service]int)
	for k, n := range set.Capacity {
		if k.Region == s.cfg.Region {
			caps[k.Service] = n
		}
	}
	s.trackCapacityChanges(t, caps)
	s.own.caps = caps
	s.own.setDivisor()
	s.withhold(t)
}

func (s *State) trackCapacityChanges(t time.Time, caps map[model.Service]int) {
	o := &s.own
	if o.caps == nil {
		o.firstRulesAt = t
		return
	}
	for svc, n := range caps {
		if n > o.caps[svc] {
			o.raised[svc] = t
		}
	}
	for svc, n := range o.caps {
		if n > caps[svc] {
			o.former[svc] = loweredCapacity{from: max(n, o.former[svc].from), at: t}
		}
	}
}

// setDivisor computes the divisor of the link shares. A lowered capacity
// counts with its former value until a read of the record began RaiseDelay
// after the change: by then no instance claims slots by the former rules.
func (o *ownership) setDivisor() {
	counts := maps.Clone(o.caps)
	if counts == nil {
		counts = make(map[model.Service]int)
	}
	for svc, l := range o.former {
		if o.readAt.Before(l.at.Add(RaiseDelay)) {
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
	o.linkDivisor = 0
	for _, n := range counts {
		o.linkDivisor += n
	}
}

// SetMembers sets the live instances of this instance's region.
func (s *State) SetMembers(now time.Time, ids []model.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	members := withSelf(ids, s.cfg.Self)
	slices.Sort(members)
	if !slices.Equal(members, s.own.members) {
		s.own.members, s.own.membersChangedAt = members, t
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

// ReadClock returns the corrected time. Callers take it before a call of the
// store or the platform and pass it to the method that applies the result.
func (s *State) ReadClock(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.update(now)
}

// ApplyListing applies a listing of the platform whose read began at started.
func (s *State) ApplyListing(now, started time.Time, ids map[model.InstanceID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	o := &s.own
	if t.Sub(o.lastListing) > maxListingGap || started.Before(o.pausedAt) {
		clear(o.missing)
		o.listedSince = time.Time{}
	}
	o.lastListing, o.restore.listed = t, ids
	s.trackOwnListing(t, started, ids[s.cfg.Self])
	s.trackMissing(t, ids)
}

// ConfirmedByListings reports whether the latest listing of the platform
// confirms the instance and is recent.
func (s *State) ConfirmedByListings(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	o := &s.own
	return !o.listedSince.IsZero() && o.lastListing.Sub(o.listedSince) >= maxListingGap+ListLag && t.Sub(o.lastListing) < maxListingGap
}

// trackOwnListing records whether a listing contains this instance. Listings
// confirm the instance only after it has been listed for so long that every
// instance that reads the list without a gap has seen it too. When the first
// listing after an absence already confirmed the instance, it used slots that
// others reclaimed by their previous listing.
func (s *State) trackOwnListing(t, started time.Time, listed bool) {
	o := &s.own
	switch {
	case !listed:
		o.listedSince = time.Time{}
	case o.listedSince.IsZero():
		o.listedSince = t
	case t.Sub(o.listedSince) >= maxListingGap+ListLag:
		s.confirm(started, ListLag)
	}
}

func (s *State) trackMissing(t time.Time, ids map[model.InstanceID]bool) {
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

// confirm records that the instance held its slots at started, less lag.
func (s *State) confirm(started time.Time, lag time.Duration) {
	o := &s.own
	if started.Before(o.pausedAt) {
		return
	}
	if at := started.Add(-lag); at.After(o.confirmed) {
		wasAdmitting := !o.confirmed.IsZero()
		o.confirmed = at
		if !wasAdmitting {
			s.notifyAllFreed()
		}
	}
}

func (s *State) notifyAllFreed() {
	for _, p := range s.list {
		s.notifyFreed(p.key.Service)
	}
}

// ApplyRecord applies the capacity record as of a read that began at started.
// A key that does not exist has revision store.Absent.
func (s *State) ApplyRecord(now, started time.Time, kv store.KeyValue) error {
	rec, err := ParseRecord(kv.Value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyParsed(s.update(now), started, rec, kv)
	return nil
}

func (s *State) applyParsed(t, started time.Time, rec *Record, kv store.KeyValue) {
	o := &s.own
	rev := kv.Revision
	s.trackRestore(t, rec, kv.Era)
	if o.pending && rev != o.pendingAt {
		// The pending write expects an earlier revision and can no longer take
		// effect.
		o.pending = false
		clear(o.unresolved)
	}
	o.record, o.revision, o.totals, o.readAt = rec, rev, rec.totals(), started
	o.setDivisor()
	s.applyOwnEntry(started)
	s.trackMarks(t)
	s.trackUnsettled(t)
	s.withhold(t)
}

// applyOwnEntry applies the instance's own entry in the record.
func (s *State) applyOwnEntry(started time.Time) {
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
			s.setOwnedSlots(p, h.at(s.own.record.index(p.key.Service)))
		}
	}
	if h == nil {
		return
	}
	for i, n := range h.Slots {
		if n > 0 {
			s.setOwnedSlots(s.pool(Key{Region: s.cfg.Region, Service: s.own.record.Services[i]}), n)
		}
	}
}

func (s *State) setOwnedSlots(p *pool, owned int) {
	if !s.own.restore.since.IsZero() {
		owned = min(owned, p.owned)
	}
	grown := owned > p.owned
	p.owned = owned
	if grown {
		s.notifyFreed(p.key.Service)
	}
}

func (s *State) trackMarks(t time.Time) {
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

func (s *State) trackUnsettled(t time.Time) {
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

// Leave makes the instance relinquish its slots as they become idle.
func (s *State) Leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	s.own.leaving = true
	s.withhold(t)
}

// HasLeft reports whether a leaving instance has no entry in the record any
// more.
func (s *State) HasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &s.own
	return o.leaving && !o.pending && (o.record == nil || o.record.Holders[s.cfg.Self] == nil)
}

// withhold stops the use and the lending of slots that the instance has to
// relinquish.
func (s *State) withhold(t time.Time) {
	s.own.kept = 0
	for _, p := range s.list {
		if p.key.Region != s.cfg.Region {
			continue
		}
		p.withheld = min(p.owned, max(s.surplus(t, p), s.own.unresolved[p.key.Service]))
		s.own.kept += p.owned - p.withheld
	}
}

// surplus returns how many of the owned slots the instance has to relinquish.
func (s *State) surplus(t time.Time, p *pool) int {
	o := &s.own
	if o.leaving {
		return p.owned
	}
	if o.caps == nil || o.record == nil || p.owned == 0 {
		return 0
	}
	svc := p.key.Service
	extra := p.owned - s.fairShare(svc)
	excess := o.totalOf(svc) - o.caps[svc]
	if excess <= 0 {
		return s.rebalance(t, extra, p.owned)
	}
	if o.longUnsettled(t, svc) {
		extra = max(extra, ceilDiv(p.owned*excess, o.totalOf(svc)))
	}
	return min(max(extra, 0), excess, p.owned)
}

// rebalance returns how many slots above its fair share the instance
// relinquishes after the members have changed. They are few at a time, because
// slots are idle until another instance claims them.
func (s *State) rebalance(t time.Time, extra, owned int) int {
	if extra <= 0 || !s.own.rebalancing(t) || t.Sub(s.own.membersChangedAt) < settleTimeout {
		return 0
	}
	return min(extra, max(owned/8, 1))
}

// rebalancing reports whether the members changed within rebalancePeriod. In
// that time only instances below their fair share claim slots; after it, any
// instance claims slots that stay without an owner.
func (o *ownership) rebalancing(t time.Time) bool {
	return t.Sub(o.membersChangedAt) < rebalancePeriod
}

func (o *ownership) longUnsettled(t time.Time, svc model.Service) bool {
	since, ok := o.unsettled[svc]
	return ok && t.Sub(since) > settleTimeout
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}
