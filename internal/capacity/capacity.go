// Package capacity keeps track of the slots of each (region, service): which
// of them this instance owns, has lent and has borrowed, and which are in use.
//
// A slot is the right to have one request in flight in a region. The capacity
// record of a region, kept in the store, says how many slots of each service
// each instance of the region owns. Instances lend idle slots to each other
// for LoanTerm. A State tracks the slots of one instance and does no I/O; a
// Driver connects it to the store, the peers and the membership.
//
// The slots in use at all instances together never exceed the capacity,
// because each slot has one holder at a time:
//   - an owner stops using slots before it writes that it relinquishes them,
//     and starts using slots only after it has read that it owns them;
//   - a borrower counts the term of a loan from before it sent the call, the
//     lender from when it replied, so the loan ends first at the borrower;
//   - a request gets a borrowed slot only if its deadline is before the end of
//     the loan, and an owned slot only if its deadline is before other
//     instances can reclaim the slot.
package capacity

import (
	"math/rand/v2"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// LoanTerm is how long a loan lasts. A longer term saves calls; a shorter
	// one frees the slots of crashed borrowers sooner.
	LoanTerm = 10 * time.Second
	// loanMargin is how much earlier a loan ends at the borrower. It covers
	// clocks whose rates differ by up to 1 %.
	loanMargin = 100 * time.Millisecond
	// ConfirmationTTL is how long an instance may start requests after it was
	// last confirmed to hold its slots.
	ConfirmationTTL = 30 * time.Second
	// ReclaimAfter is how long an instance must be missing from the platform's
	// list before other instances take its slots.
	ReclaimAfter = 60 * time.Second
	// reclaimMargin is how long before ReclaimAfter requests on owned slots
	// have to end. It covers clocks whose rates differ by up to 1 %.
	reclaimMargin = 600 * time.Millisecond
	// ListLag is the largest difference in age between the listings of the
	// platform that two instances hold. A confirmation by a listing counts as
	// that much older.
	ListLag = 5 * time.Second
	// PauseLimit is the longest gap between two calls of a State's methods
	// after which it still admits requests without a new confirmation.
	PauseLimit = 5 * time.Second
	// MaxHold is the longest time from taking a slot to the request's
	// deadline. A restarted instance waits that long before it uses the slots
	// that its previous process owned, because requests of that process may
	// still run. Loans are shorter, so the wait covers them too.
	MaxHold = 30 * time.Second
	// RaiseDelay is how long an instance waits after a capacity was raised
	// before it claims the new slots. Instances that don't know the new
	// capacity yet compute their link shares (see State.LinkShare) from the
	// lower one; rules are in force on all instances within 4 s.
	RaiseDelay = 10 * time.Second
)

// Key identifies a service in a region.
type Key = rules.RegionService

// Config describes the instance that a State belongs to.
type Config struct {
	Self        model.InstanceID
	Incarnation model.Incarnation
	Region      model.Region
	Domain      model.Domain
	// Rand is the source of jitter and of the random order of lenders.
	Rand *rand.Rand
	// Freed is called after a slot of the service may have become free. It
	// must not block or call the State. It may be nil.
	Freed func(model.Service)
	// PlanDue is called when Plan should be called soon, because a request
	// found no slot or a loan can be returned. It must not block or call the
	// State. It may be nil.
	PlanDue func()
}

// State tracks the slots of one instance. Its methods may be called
// concurrently. The times passed to it are readings of the instance's own
// clock.
type State struct {
	mu      sync.Mutex
	cfg     Config
	clk     clock
	started time.Time

	pools map[Key]*pool
	// list holds the pools in the order in which they were created.
	list     []*pool
	timed    timedReleases
	loansOut map[LoanID]*loanOut
	seq      uint64

	own    ownership
	borrow borrowState
}

// pool counts the slots of one (region, service).
type pool struct {
	key Key
	// owned is the number of slots that this instance has by the capacity
	// record. withheld counts those of them that it is relinquishing.
	owned, withheld int
	// used counts owned slots in use, lent those on loan to other instances.
	used, lent int
	// contended counts the lent slots that this instance could use itself.
	contended int
	loans     []*loanIn
	load      load
}

// New returns the State of an instance that starts at now. It owns no slots
// and is not confirmed.
func New(now time.Time, cfg Config) *State {
	s := &State{cfg: cfg, pools: make(map[Key]*pool), loansOut: make(map[LoanID]*loanOut)}
	s.clk = newClock(now)
	s.started = s.clk.read(now)
	s.own.init()
	s.borrow.init()
	return s
}

// update reads the clock, applies what is due by then and returns the
// corrected time. The caller holds the lock.
func (s *State) update(now time.Time) time.Time {
	t := s.clk.read(now)
	if s.clk.paused {
		s.clk.paused = false
		s.own.confirmed = time.Time{}
		s.own.pausedAt = t
		clear(s.own.missing)
		s.own.listedSince = time.Time{}
		// The rules may have changed during the pause.
		s.own.claimAfter = t.Add(RaiseDelay)
		s.own.pauses++
	}
	s.expire(t)
	return t
}

// expire ends the loans and releases the slots whose time has come.
func (s *State) expire(t time.Time) {
	for s.timed.due(t) {
		s.release(s.timed.pop())
	}
	if t.Before(s.borrow.nextExpiry) {
		return
	}
	s.borrow.nextExpiry = t.Add(LoanTerm)
	for id, l := range s.loansOut {
		if !t.Before(l.end) {
			s.endLoanOut(id, l)
			continue
		}
		s.borrow.nextExpiry = earlier(s.borrow.nextExpiry, l.end)
	}
	for _, p := range s.list {
		p.dropEnded(t)
		for _, l := range p.loans {
			s.borrow.nextExpiry = earlier(s.borrow.nextExpiry, l.end)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (s *State) pool(k Key) *pool {
	p := s.pools[k]
	if p == nil {
		p = &pool{key: k}
		s.pools[k] = p
		s.list = append(s.list, p)
	}
	return p
}

// free returns how many owned slots are idle. It is negative while slots that
// the instance has to relinquish are in use.
func (p *pool) free() int {
	return p.owned - p.withheld - p.used - p.lent
}

// Tick applies what is due at now. It has to be called several times a
// second; a longer gap counts as a pause of the process (see PauseLimit).
func (s *State) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	s.borrow.prune(t)
}

// admitting reports whether the instance may start requests.
func (s *State) admitting(t time.Time) bool {
	return !s.own.fenced && !s.own.confirmed.IsZero() && t.Before(s.own.confirmed.Add(ConfirmationTTL))
}

// ownUntil returns the latest deadline of a request on an owned slot, or the
// zero time while requests of the previous process may still run.
func (s *State) ownUntil(t time.Time) time.Time {
	if t.Before(s.own.notBefore) {
		return time.Time{}
	}
	return s.own.confirmed.Add(ReclaimAfter - reclaimMargin)
}

// Take takes a slot for a request with the given deadline. It returns nil if
// none is available, if the instance may not start requests, or if the deadline
// is more than MaxHold away.
func (s *State) Take(now time.Time, k Key, pr model.Priority, deadline time.Time) *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	end := s.clk.convert(deadline)
	if !s.admitting(t) || end.After(t.Add(MaxHold)) {
		return nil
	}
	p := s.pool(k)
	slot := s.take(p, t, pr, end)
	if slot != nil {
		p.load.recordUse(t, p.inUse())
	}
	return slot
}

func (s *State) take(p *pool, t time.Time, pr model.Priority, end time.Time) *Slot {
	if p.free() > p.load.reservedSlots(t, pr) && !end.After(s.ownUntil(t)) {
		p.used++
		return &Slot{state: s, pool: p, end: end}
	}
	for _, l := range p.loans {
		if l.fits(t, pr, end) {
			l.used++
			return &Slot{state: s, pool: p, loan: l, end: end}
		}
	}
	return nil
}

// ReportUnmet records that a request found no slot, so that slots are
// borrowed. spill means that the region is used only when a preferred region
// has no slot; slots are then borrowed only if the instance's own region has
// none to lend.
func (s *State) ReportUnmet(now time.Time, k Key, pr model.Priority, spill bool) {
	s.mu.Lock()
	t := s.update(now)
	s.pool(k).load.recordMiss(t, pr, spill)
	s.mu.Unlock()
	if s.cfg.PlanDue != nil {
		s.cfg.PlanDue()
	}
}

// Free returns how many slots are available to a request with the given priority
// and deadline.
func (s *State) Free(now time.Time, k Key, pr model.Priority, deadline time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	p := s.pools[k]
	end := s.clk.convert(deadline)
	if p == nil || !s.admitting(t) || end.After(t.Add(MaxHold)) {
		return 0
	}
	n := 0
	if !end.After(s.ownUntil(t)) {
		n = max(p.free(), 0)
	}
	for _, l := range p.loans {
		if l.fits(t, pr, end) {
			n += l.count - l.used
		}
	}
	return n
}

// Usable returns how many slots, free or in use, the instance may use now for
// critical requests.
func (s *State) Usable(now time.Time, k Key) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	p := s.pools[k]
	if p == nil || !s.admitting(t) {
		return 0
	}
	return s.usable(p, t, model.PriorityCritical)
}

// usable returns how many slots, free or in use, requests of the priority may
// use at t.
func (s *State) usable(p *pool, t time.Time, pr model.Priority) int {
	n := 0
	if t.Before(s.ownUntil(t)) {
		n = max(p.owned-p.withheld-p.lent, 0)
	}
	for _, l := range p.loans {
		if l.open(t, pr) {
			n += l.count
		}
	}
	return n
}

// inUse returns how many requests hold a slot of the pool.
func (p *pool) inUse() int {
	n := p.used
	for _, l := range p.loans {
		n += l.used
	}
	return n
}

// Admitting reports whether the instance may start requests.
func (s *State) Admitting(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitting(s.update(now))
}

func (s *State) notifyFreed(svc model.Service) {
	if s.cfg.Freed != nil {
		s.cfg.Freed(svc)
	}
}
