package capacity

import (
	"maps"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// maxIdleHints bounds the idle slots of third instances in a reply.
	maxIdleHints = 4
	// forcedEvery is the shortest time between two loans that an instance
	// makes although it could use the slots itself.
	forcedEvery = time.Second
	// forcedUse is how long the borrower uses such a loan. Loans cannot be
	// recalled, so with the whole term most slots were on loan in an overload
	// and urgent requests of instances without a slot waited for over 2 s.
	forcedUse = time.Second
	// promiseFor is how long a slot is kept for a borrower whose message waits
	// for it.
	promiseFor = 3 * waitPoll
)

// loanOut is a loan to another instance.
type loanOut struct {
	pool  *pool
	to    model.InstanceID
	count int
	// forced means that the lender could use the slot itself.
	forced bool
	// granted is when the loan was made, end when it ends unless renewed.
	granted, end time.Time
}

// Lend answers a peer that wants slots.
func (s *State) Lend(now time.Time, a *BorrowArgs) BorrowReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	var r BorrowReply
	if !s.mayLend(t) || len(a.Want) > maxItems || len(a.Renew) > maxItems {
		return r
	}
	for _, id := range a.Renew {
		if s.renew(t, id, a.From) {
			r.Renewed = append(r.Renewed, id)
		}
	}
	for _, w := range a.Want {
		s.lendOne(t, a.From, w, &r)
	}
	return r
}

// mayLend reports whether loans made now end before the own slots could be
// reclaimed.
func (s *State) mayLend(t time.Time) bool {
	return s.admitting(t) && !t.Add(LoanTerm).After(s.ownUntil(t))
}

func (s *State) renew(t time.Time, id LoanID, from model.InstanceID) bool {
	l := s.out[id]
	if l == nil || l.to != from || l.pool.withheld > 0 {
		return false
	}
	// A loan that the lender could use itself lasts one term.
	if l.pool.load.unmet(t) && t.Sub(l.granted) >= LoanTerm/2 {
		return false
	}
	l.end = t.Add(LoanTerm)
	return true
}

func (s *State) lendOne(t time.Time, to model.InstanceID, w Want, r *BorrowReply) {
	p := s.pools[w.Key]
	if p == nil || w.Key.Region != s.cfg.Region || w.Count <= 0 {
		s.hint(t, to, w.Key, r)
		return
	}
	if n := min(s.idleSlots(t, p), w.Count); n > 0 {
		r.Loans = append(r.Loans, s.lend(t, p, to, n))
	} else if w.Have == 0 && p.load.mayForce(t, to, w.Priority) {
		s.force(t, p, to, w, r)
	}
	if idle := s.idleSlots(t, p); idle > 0 {
		r.Idle = append(r.Idle, Idle{Instance: s.cfg.Self, Key: w.Key, Count: idle})
	}
	s.hint(t, to, w.Key, r)
}

// idleSlots returns the free slots less those that the instance keeps for its
// own requests: as many as it lately had in use.
func (s *State) idleSlots(t time.Time, p *pool) int {
	if p.load.unmet(t) {
		return 0
	}
	keep := max(p.load.peak(t)-p.inUse(), 0)
	return max(p.free()-keep, 0)
}

// force lends one slot, although the lender could use it, to a peer that has
// none, so that its requests are served too. If all are in use, the next one
// that becomes free is kept for the peer.
func (s *State) force(t time.Time, p *pool, to model.InstanceID, w Want, r *BorrowReply) {
	if p.free() <= 0 {
		if p.used > 0 {
			p.load.promise(t, to, w.Priority)
			r.waiting = append(r.waiting, w)
		}
		return
	}
	p.load.forced(t)
	l := s.lend(t, p, to, 1)
	s.out[l.ID].forced = true
	p.forced++
	l.Use = forcedUse
	r.Loans = append(r.Loans, l)
}

func (s *State) lend(t time.Time, p *pool, to model.InstanceID, n int) Loan {
	s.seq++
	id := LoanID{Incarnation: s.cfg.Incarnation, Seq: s.seq}
	s.out[id] = &loanOut{pool: p, to: to, count: n, granted: t, end: t.Add(LoanTerm)}
	p.lent += n
	s.dem.nextExpiry = earlier(s.dem.nextExpiry, t.Add(LoanTerm))
	return Loan{ID: id, Key: p.key, Count: n}
}

// hint adds others that may lend: those that lately had idle slots, and for a
// borrower of another region, which does not read the record, some owners.
func (s *State) hint(t time.Time, to model.InstanceID, k Key, r *BorrowReply) {
	idle := s.dem.idle[k]
	n := 0
	for _, id := range slices.Sorted(maps.Keys(idle)) {
		count := idle[id]
		if id == to || t.Sub(count.seen) > idleFresh || n == maxIdleHints {
			continue
		}
		r.Idle = append(r.Idle, Idle{Instance: id, Key: k, Count: count.count})
		n++
	}
	if n == 0 && len(r.Loans) == 0 && !s.inRegion(to) {
		s.hintOwners(to, k, r)
	}
}

func (s *State) inRegion(id model.InstanceID) bool {
	_, ok := slices.BinarySearch(s.own.members, id)
	return ok
}

// hintOwners adds owners from a random place in the order of their names.
func (s *State) hintOwners(to model.InstanceID, k Key, r *BorrowReply) {
	rec := s.own.record
	if rec == nil || k.Region != s.cfg.Region {
		return
	}
	i := rec.index(k.Service)
	var owners []model.InstanceID
	for id, h := range rec.Holders {
		if h.at(i) > 0 && id != to && id != s.cfg.Self {
			owners = append(owners, id)
		}
	}
	slices.Sort(owners)
	if len(owners) == 0 {
		return
	}
	from := s.cfg.Rand.IntN(len(owners))
	for n := range min(maxIdleHints, len(owners)) {
		r.Idle = append(r.Idle, Idle{Instance: owners[(from+n)%len(owners)], Key: k, Count: 1})
	}
}

// HandleReturn ends parts of loans that a borrower returns early.
func (s *State) HandleReturn(now time.Time, a *ReturnArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(now)
	for _, k := range a.Loans {
		l := s.out[k.ID]
		if l == nil || l.to != a.From || k.Count < 0 || k.Count >= l.count {
			continue
		}
		if k.Count == 0 {
			s.endLoanOut(k.ID, l)
			continue
		}
		l.pool.lent -= l.count - k.Count
		l.count = k.Count
		s.freed(l.pool.key.Service)
	}
}

func (s *State) endLoanOut(id LoanID, l *loanOut) {
	l.pool.lent -= l.count
	if l.forced {
		l.pool.forced--
	}
	delete(s.out, id)
	s.freed(l.pool.key.Service)
}
