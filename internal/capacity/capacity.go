// Package capacity accounts for the slots of each (region, service): which
// this instance owns, which it has lent and borrowed, and which are in use.
//
// A slot is the right to have one request in flight in a region. The root
// record in the store says how many slots of each service each instance of a
// region owns. Instances lend idle slots to each other for LoanTerm. A State
// holds the accounts of one instance and does no I/O; a Driver connects it to
// the store, the other instances and the membership.
//
// The sum of the slots in use over all instances stays within the capacity
// because each slot has one holder at a time:
//   - an owner withholds slots before it writes that it gives them up, and
//     uses slots only after it has read that it owns them;
//   - a borrower counts a loan from before it asked, the lender from when it
//     answered, so the loan ends first at the borrower;
//   - a request gets a slot only if its deadline is before the end of the
//     loan, or before the slots of an owner can be reclaimed.
package capacity

import (
	"math/rand/v2"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// LoanTerm is how long a loan lasts. A longer term saves messages; a
	// shorter one returns the slots of crashed borrowers sooner.
	LoanTerm = 10 * time.Second
	// loanMargin ends a loan earlier at the borrower. It covers clocks whose
	// rates differ by up to 1 %.
	loanMargin = 100 * time.Millisecond
	// ConfirmationTTL is how long an instance admits after it was last confirmed.
	ConfirmationTTL = 30 * time.Second
	// ReclaimAfter is how long an instance must be missing from the platform's
	// list before others take its slots.
	ReclaimAfter = 60 * time.Second
	// reclaimMargin covers clocks whose rates differ by up to 1 %.
	reclaimMargin = 600 * time.Millisecond
	// ListLag bounds how much two instances' readings of the platform's list
	// differ in age. A confirmation by the list counts as that much older.
	ListLag = 5 * time.Second
	// PauseLimit is the longest gap between two uses of a State after which it
	// still admits without a new confirmation.
	PauseLimit = 5 * time.Second
	// MaxHold is the longest time from taking a slot to the request's
	// deadline. A restarted instance waits that long before it uses the slots
	// that its predecessor owned, because requests of the predecessor may
	// still run. Loans are shorter, so the wait covers them too.
	MaxHold = 30 * time.Second
	// RaiseDelay is how long a raised capacity is known before its slots are
	// claimed. Until all instances know it, link parts are computed from the
	// lower one; rules are in effect everywhere within 4 s.
	RaiseDelay = 10 * time.Second
)

// Key names a service in a region.
type Key = rules.RegionService

// Config describes the instance that a State belongs to.
type Config struct {
	Self        model.InstanceID
	Incarnation model.Incarnation
	Region      model.Region
	Domain      model.Domain
	// Rand spreads retries and the choice of lenders.
	Rand *rand.Rand
	// Freed is called after a slot of the service may have become free. It
	// must not block or call the State. It may be nil.
	Freed func(model.Service)
	// PlanDue is called when a request found no slot, or a loan can go back. It
	// must not block or call the State. It may be nil.
	PlanDue func()
}

// State holds the slot accounts of one instance. Its methods may be called
// concurrently. Times are readings of the instance's own clock.
type State struct {
	mu      sync.Mutex
	cfg     Config
	clk     clock
	started time.Time

	pools map[Key]*pool
	// list holds the pools in the order in which they were first used.
	list  []*pool
	timed timedReleases
	out   map[LoanID]*loanOut
	seq   uint64

	own ownership
	dem demand
}

// pool is the account of one (region, service).
type pool struct {
	key Key
	// owned is what the root record gives this instance. withheld are those
	// of them that are being given up.
	owned, withheld int
	// used are owned slots in use; lent are owned slots on loan to others.
	used, lent int
	// forced are those of them that are lent although requests wait for them.
	forced int
	loans  []*loanIn
	load   load
}

// New returns the accounts of an instance that starts at now. It owns nothing
// and is not confirmed.
func New(now time.Time, cfg Config) *State {
	s := &State{cfg: cfg, pools: make(map[Key]*pool), out: make(map[LoanID]*loanOut)}
	s.clk = newClock(now)
	s.started = s.clk.read(now)
	s.own.init()
	s.dem.init()
	return s
}

// enter reads the clock and brings the accounts up to date. The caller holds
// the lock.
func (s *State) enter(now time.Time) time.Time {
	t := s.clk.read(now)
	if s.clk.paused {
		s.clk.paused = false
		s.own.confirmed = time.Time{}
		s.own.pausedAt = t
		clear(s.own.missing)
		s.own.inList = time.Time{}
		// The rules may have changed during the pause.
		s.own.claimAfter = t.Add(RaiseDelay)
		s.own.pauses++
	}
	s.expire(t)
	return t
}

// expire ends loans and timed releases that are due.
func (s *State) expire(t time.Time) {
	for s.timed.due(t) {
		s.release(s.timed.pop())
	}
	if t.Before(s.dem.nextExpiry) {
		return
	}
	s.dem.nextExpiry = t.Add(LoanTerm)
	for id, l := range s.out {
		if !t.Before(l.end) {
			s.endLoanOut(id, l)
			continue
		}
		s.dem.nextExpiry = earlier(s.dem.nextExpiry, l.end)
	}
	for _, p := range s.list {
		p.dropEnded(t)
		for _, l := range p.loans {
			s.dem.nextExpiry = earlier(s.dem.nextExpiry, l.end)
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

// free returns how many owned slots are idle. It is negative while slots are
// in use that the instance has to give up.
func (p *pool) free() int {
	return p.owned - p.withheld - p.used - p.lent
}

// Tick brings the accounts up to date. It is called several times a second,
// so that a pause of the process is noticed.
func (s *State) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	s.dem.prune(t)
}

// admitting reports whether the instance may start requests.
func (s *State) admitting(t time.Time) bool {
	return !s.own.fenced && !s.own.confirmed.IsZero() && t.Before(s.own.confirmed.Add(ConfirmationTTL))
}

// ownUntil returns when a request on an owned slot has to end at the latest.
func (s *State) ownUntil(t time.Time) time.Time {
	if t.Before(s.own.notBefore) {
		return time.Time{}
	}
	return s.own.confirmed.Add(ReclaimAfter - reclaimMargin)
}

// Take takes a slot that may be held until the deadline. It returns nil if
// there is none.
func (s *State) Take(now time.Time, k Key, pr model.Priority, deadline time.Time) *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	end := s.clk.convert(deadline)
	if !s.admitting(t) || end.After(t.Add(MaxHold)) {
		return nil
	}
	p := s.pool(k)
	slot := s.take(p, t, pr, end)
	if slot != nil {
		p.load.took(t, p.inUse())
	}
	return slot
}

func (s *State) take(p *pool, t time.Time, pr model.Priority, end time.Time) *Slot {
	if p.free() > p.load.promised(t, pr) && !end.After(s.ownUntil(t)) {
		p.used++
		return &Slot{state: s, pool: p, end: end}
	}
	for _, l := range p.loans {
		if l.fits(t, end) {
			l.used++
			return &Slot{state: s, pool: p, loan: l, end: end}
		}
	}
	return nil
}

// ReportUnmet records that a request found no slot, so that slots are borrowed. A
// spill is a need in a region that is only used if the own one has no slot; it
// is met when nobody lends in the own region.
func (s *State) ReportUnmet(now time.Time, k Key, pr model.Priority, spill bool) {
	s.mu.Lock()
	t := s.enter(now)
	s.pool(k).load.missed(t, pr, spill)
	s.mu.Unlock()
	if s.cfg.PlanDue != nil {
		s.cfg.PlanDue()
	}
}

// Free returns how many slots a request with the deadline could take.
func (s *State) Free(now time.Time, k Key, deadline time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
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
		if l.fits(t, end) {
			n += l.count - l.used
		}
	}
	return n
}

// Usable returns how many slots the instance may use now, free or taken.
func (s *State) Usable(now time.Time, k Key) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	p := s.pools[k]
	if p == nil || !s.admitting(t) {
		return 0
	}
	return s.usable(p, t)
}

func (s *State) usable(p *pool, t time.Time) int {
	n := 0
	if t.Before(s.ownUntil(t)) {
		n = max(p.owned-p.withheld-p.lent, 0)
	}
	for _, l := range p.loans {
		if !l.over(t) {
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
	return s.admitting(s.enter(now))
}

func (s *State) freed(svc model.Service) {
	if s.cfg.Freed != nil {
		s.cfg.Freed(svc)
	}
}
