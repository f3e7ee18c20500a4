package capacity

import (
	"maps"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// maxIdleHints is the largest number of other instances that a reply names
	// for each wanted service.
	maxIdleHints = 4
	// contendedInterval is the shortest time between two contended loans, which
	// are loans of slots that the lender could use itself. Loans for requests
	// more urgent than the lender's own unmet ones are not limited.
	contendedInterval = time.Second
	// contendedUse is how long the borrower starts requests on a contended
	// loan. Loans cannot be recalled: when borrowers used them for the whole
	// term, most slots were on loan in an overload, and urgent requests at
	// instances without a slot waited for over 2 s.
	contendedUse = time.Second
	// reservationTTL is how long the next free slot is kept for a borrower
	// whose call waits for it.
	reservationTTL = 3 * slotPollInterval
)

// loanOut is a loan to another instance.
type loanOut struct {
	pool  *pool
	to    model.InstanceID
	count int
	// contended means that the lender could use the slot itself.
	contended bool
	// granted is when the loan was made, end when it ends unless it is renewed.
	granted, end time.Time
}

// Lend handles a Borrow call of a peer.
func (s *State) Lend(now time.Time, a *BorrowArgs) BorrowReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
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
		s.answerWant(t, a.From, w, &r)
	}
	return r
}

// mayLend reports whether loans made now end before other instances can
// reclaim this instance's slots.
func (s *State) mayLend(t time.Time) bool {
	return s.admitting(t) && !t.Add(LoanTerm).After(s.ownUntil(t))
}

func (s *State) renew(t time.Time, id LoanID, from model.InstanceID) bool {
	l := s.loansOut[id]
	if l == nil || l.to != from || l.pool.withheld > 0 {
		return false
	}
	// While own requests find no slot, a loan that has run for half its term
	// is not renewed, so that its slots come back.
	if l.pool.load.unmet(t) && t.Sub(l.granted) >= LoanTerm/2 {
		return false
	}
	l.end = t.Add(LoanTerm)
	return true
}

func (s *State) answerWant(t time.Time, to model.InstanceID, w Want, r *BorrowReply) {
	p := s.pools[w.Key]
	if p == nil || w.Key.Region != s.cfg.Region || w.Count <= 0 {
		s.addHints(t, to, w.Key, r)
		return
	}
	if n := min(s.idleSlots(t, p), w.Count); n > 0 {
		r.Loans = append(r.Loans, s.lend(t, p, to, n))
	} else if w.Have == 0 && p.load.mayLendContended(t, to, w.Priority) {
		s.lendContended(t, p, to, w, r)
	}
	if idle := s.idleSlots(t, p); idle > 0 {
		r.Idle = append(r.Idle, Idle{Instance: s.cfg.Self, Key: w.Key, Count: idle})
	}
	s.addHints(t, to, w.Key, r)
}

// idleSlots returns how many slots the instance can spare: the free ones, less
// those that its requests need to reach the recent peak again.
func (s *State) idleSlots(t time.Time, p *pool) int {
	if p.load.unmet(t) {
		return 0
	}
	keep := max(p.load.peak(t)-p.inUse(), 0)
	return max(p.free()-keep, 0)
}

// lendContended lends a peer without slots one slot that the lender could use
// itself, so that the requests at the peer are served too. If all slots are in
// use, the next one that becomes free is kept for the peer.
func (s *State) lendContended(t time.Time, p *pool, to model.InstanceID, w Want, r *BorrowReply) {
	if p.free() <= 0 {
		if p.used > 0 {
			p.load.reserve(t, to, w.Priority)
			r.waiting = append(r.waiting, w)
		}
		return
	}
	p.load.recordContended(t)
	l := s.lend(t, p, to, 1)
	s.loansOut[l.ID].contended = true
	p.contended++
	l.Use = contendedUse
	r.Loans = append(r.Loans, l)
}

func (s *State) lend(t time.Time, p *pool, to model.InstanceID, n int) Loan {
	s.seq++
	id := LoanID{Incarnation: s.cfg.Incarnation, Seq: s.seq}
	s.loansOut[id] = &loanOut{pool: p, to: to, count: n, granted: t, end: t.Add(LoanTerm)}
	p.lent += n
	s.borrow.nextExpiry = earlier(s.borrow.nextExpiry, t.Add(LoanTerm))
	return Loan{ID: id, Key: p.key, Count: n}
}

// addHints adds other possible lenders to the reply: instances that recently
// reported idle slots. If there are none and nothing was lent, a borrower of
// another region, which does not read the capacity record, gets some owners.
func (s *State) addHints(t time.Time, to model.InstanceID, k Key, r *BorrowReply) {
	idle := s.borrow.idle[k]
	n := 0
	for _, id := range slices.Sorted(maps.Keys(idle)) {
		count := idle[id]
		if id == to || t.Sub(count.seen) > idleReportTTL || n == maxIdleHints {
			continue
		}
		r.Idle = append(r.Idle, Idle{Instance: id, Key: k, Count: count.count})
		n++
	}
	if n == 0 && len(r.Loans) == 0 && !s.inRegion(to) {
		s.addOwnerHints(to, k, r)
	}
}

func (s *State) inRegion(id model.InstanceID) bool {
	_, ok := slices.BinarySearch(s.own.members, id)
	return ok
}

// addOwnerHints adds up to maxIdleHints owners, starting at a random place in
// the order of their IDs. Whether they have idle slots is not known, so each is
// reported with a count of 1.
func (s *State) addOwnerHints(to model.InstanceID, k Key, r *BorrowReply) {
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

// HandleReturn handles a Return call of a borrower: it takes back slots whose
// loans have not ended yet.
func (s *State) HandleReturn(now time.Time, a *ReturnArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now)
	for _, k := range a.Loans {
		l := s.loansOut[k.ID]
		if l == nil || l.to != a.From || k.Count < 0 || k.Count >= l.count {
			continue
		}
		if k.Count == 0 {
			s.endLoanOut(k.ID, l)
			continue
		}
		l.pool.lent -= l.count - k.Count
		l.count = k.Count
		s.notifyFreed(l.pool.key.Service)
	}
}

func (s *State) endLoanOut(id LoanID, l *loanOut) {
	l.pool.lent -= l.count
	if l.contended {
		l.pool.contended--
	}
	delete(s.loansOut, id)
	s.notifyFreed(l.pool.key.Service)
}
