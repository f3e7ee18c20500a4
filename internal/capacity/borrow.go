package capacity

import (
	"maps"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// renewBefore is how long before its end a loan in use is renewed. It is
	// longer than the usual time from taking a slot to the request's deadline,
	// so that requests can use the loan without interruption.
	renewBefore = 7 * time.Second
	// returnAfter is how long slots of a loan stay idle before they are
	// returned. Near the end of a loan its slots are idle even while requests
	// wait, because the deadlines of the requests are after the end.
	returnAfter = 300 * time.Millisecond
	// returnContendedAfter is the same for a contended loan, whose lender could
	// use the slots itself.
	returnContendedAfter = 30 * time.Millisecond
	// sharedUse is how long requests less urgent than those that a contended
	// loan was asked for may start on it. They use slots that are more than the
	// urgent requests need.
	sharedUse = 100 * time.Millisecond
	// idleReportTTL is how long a peer's report of idle slots is used.
	idleReportTTL = time.Second
	// maxLendersAsked is how many peers one plan asks for slots of a pool.
	maxLendersAsked = 4
	// callsPerSecond and callBurst limit the Borrow calls of one instance. At
	// about 150 bytes each, 10 calls a second stay below 2 KB/s.
	callsPerSecond = 10
	callBurst      = 60
	// minRefusalWait and maxRefusalWait bound the wait, before jitter, until a
	// peer that lent nothing is asked again.
	minRefusalWait = 40 * time.Millisecond
	maxRefusalWait = time.Second
)

// Peer is another live instance.
type Peer struct {
	ID     model.InstanceID
	Region model.Region
	Domain model.Domain
}

// BorrowCall is a Borrow call that the driver has to make.
type BorrowCall struct {
	To   model.InstanceID
	Args BorrowArgs
	// began is when the terms of the loans in the reply start.
	began time.Time
}

// ReturnCall is a Return call that the driver has to make.
type ReturnCall struct {
	To   model.InstanceID
	Args ReturnArgs
}

// lenderKey identifies a service in a region at a peer.
type lenderKey struct {
	id  model.InstanceID
	key Key
}

// refusal is the backoff after a peer lent nothing.
type refusal struct {
	wait  time.Duration
	until time.Time
	// priority is that of the refused requests. More urgent ones don't wait.
	priority model.Priority
}

// idleCount is a report of idle slots and when it was received.
type idleCount struct {
	count int
	seen  time.Time
}

// borrowState holds what the instance needs to choose lenders and to limit its
// calls.
type borrowState struct {
	peers   map[model.Region][]Peer
	idle    map[Key]map[model.InstanceID]idleCount
	refused map[lenderKey]refusal
	// outstanding holds the wants whose calls have not got a reply yet.
	outstanding map[lenderKey]bool
	// noLenderAt is when the instance's own region last had no lender left to
	// ask.
	noLenderAt map[model.Service]time.Time
	// tokens is the number of tokens for Borrow calls in the token bucket,
	// which was last refilled at tokensAt.
	tokens   float64
	tokensAt time.Time
	// nextExpiry is not after the end of the first loan to end, lent or
	// borrowed.
	nextExpiry time.Time
}

func (b *borrowState) init() {
	b.peers = make(map[model.Region][]Peer)
	b.idle = make(map[Key]map[model.InstanceID]idleCount)
	b.refused = make(map[lenderKey]refusal)
	b.outstanding = make(map[lenderKey]bool)
	b.noLenderAt = make(map[model.Service]time.Time)
	b.tokens = callBurst
}

// prune deletes reports and refusals that have expired.
func (b *borrowState) prune(t time.Time) {
	for k, m := range b.idle {
		for id, c := range m {
			if t.Sub(c.seen) > idleReportTTL {
				delete(m, id)
			}
		}
		if len(m) == 0 {
			delete(b.idle, k)
		}
	}
	for k, r := range b.refused {
		if t.Sub(r.until) > maxRefusalWait {
			delete(b.refused, k)
		}
	}
}

// SetPeers sets the live instances of all regions that may lend. Leaving
// instances are not among them.
func (s *State) SetPeers(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrow.peers = make(map[model.Region][]Peer)
	for _, p := range peers {
		if p.ID != s.cfg.Self {
			s.borrow.peers[p.Region] = append(s.borrow.peers[p.Region], p)
		}
	}
}

// Plan returns the calls by which the instance borrows slots that its requests
// lack, renews loans in use and returns idle ones.
func (s *State) Plan(now time.Time) ([]BorrowCall, []ReturnCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	if s.own.fenced {
		return nil, nil
	}
	s.refillTokens(t)
	borrows := make(map[model.InstanceID]*BorrowArgs)
	returns := make(map[model.InstanceID]*ReturnArgs)
	for _, p := range s.list {
		s.planLoans(t, p, borrows, returns)
		s.planBorrowing(t, p, borrows)
	}
	return s.buildCalls(t, borrows, returns)
}

func (s *State) refillTokens(t time.Time) {
	b := &s.borrow
	if !b.tokensAt.IsZero() {
		b.tokens = min(callBurst, b.tokens+t.Sub(b.tokensAt).Seconds()*callsPerSecond)
	}
	b.tokensAt = t
}

func (s *State) buildCalls(t time.Time, borrows map[model.InstanceID]*BorrowArgs, returns map[model.InstanceID]*ReturnArgs) ([]BorrowCall, []ReturnCall) {
	var bcs []BorrowCall
	for _, to := range slices.Sorted(maps.Keys(borrows)) {
		a := borrows[to]
		a.From = s.cfg.Self
		bcs = append(bcs, BorrowCall{To: to, Args: *a, began: t})
		s.borrow.tokens--
	}
	var rcs []ReturnCall
	for _, to := range slices.Sorted(maps.Keys(returns)) {
		r := returns[to]
		r.From = s.cfg.Self
		rcs = append(rcs, ReturnCall{To: to, Args: *r})
	}
	return bcs, rcs
}

// planLoans renews loans in use and returns their idle slots.
func (s *State) planLoans(t time.Time, p *pool, borrows map[model.InstanceID]*BorrowArgs, returns map[model.InstanceID]*ReturnArgs) {
	for _, l := range p.loans {
		if l.used == l.count {
			l.lastBusy = t
		}
		if l.used < l.count && t.Sub(l.lastBusy) >= l.idleReturnDelay(t) {
			l.count = l.used
			addReturn(returns, l)
		}
		if l.count > 0 && l.useUntil.IsZero() && l.end.Sub(t) < renewBefore && t.Sub(l.renewalAsked) >= time.Second && s.borrow.tokens >= 1 {
			l.renewalAsked = t
			a := borrowArgsFor(borrows, l.lender)
			a.Renew = append(a.Renew, l.id)
		}
	}
	p.loans = slices.DeleteFunc(p.loans, func(l *loanIn) bool { return l.count == 0 })
}

func addReturn(returns map[model.InstanceID]*ReturnArgs, l *loanIn) {
	r := returns[l.lender]
	if r == nil {
		r = &ReturnArgs{}
		returns[l.lender] = r
	}
	r.Loans = append(r.Loans, Keep{ID: l.id, Count: l.count})
}

func borrowArgsFor(borrows map[model.InstanceID]*BorrowArgs, id model.InstanceID) *BorrowArgs {
	a := borrows[id]
	if a == nil {
		a = &BorrowArgs{}
		borrows[id] = a
	}
	return a
}

// planBorrowing asks for slots if requests have found none since the last
// plan.
func (s *State) planBorrowing(t time.Time, p *pool, borrows map[model.InstanceID]*BorrowArgs) {
	l := &p.load
	if !l.unmet(t) {
		l.misses = 0
	}
	if l.misses == 0 || !s.admitting(t) {
		l.want /= 2
		return
	}
	if l.spill && !s.ownRegionExhausted(t, p.key.Service) {
		return
	}
	lenders := s.lenders(t, p.key)
	if len(lenders) == 0 {
		s.recordNoLender(t, p.key)
		return
	}
	l.want = min(max(2*l.want, 1), maxWant, max(l.misses, 1))
	l.misses = 0
	s.splitWant(t, p, lenders, borrows)
}

func (s *State) recordNoLender(t time.Time, k Key) {
	if k.Region == s.cfg.Region {
		s.borrow.noLenderAt[k.Service] = t
	}
}

// ownRegionExhausted reports whether no instance of this instance's region lends
// slots of the service: none was left to ask recently, or the region has no
// capacity.
func (s *State) ownRegionExhausted(t time.Time, svc model.Service) bool {
	at, ok := s.borrow.noLenderAt[svc]
	return ok && t.Sub(at) < maxRefusalWait || s.own.caps[svc] == 0
}

// splitWant divides the wanted slots among the lenders. One that is known to
// have idle slots is asked for as many as it has; any other for half of what
// is wanted, because some have nothing to lend.
func (s *State) splitWant(t time.Time, p *pool, lenders []model.InstanceID, borrows map[model.InstanceID]*BorrowArgs) {
	have := s.usable(p, t, p.load.priority(t))
	if p.load.priority(t) != model.PriorityCritical {
		// Contended loans come back soon. If their owners borrowed slots in
		// place of them, most slots would be on loan.
		have += p.contended
	}
	left := p.load.want
	for i, id := range lenders {
		if i == maxLendersAsked || s.borrow.tokens-float64(len(borrows)) < 1+reservedTokens(p.load.priority(t)) {
			return
		}
		n := max(ceilDiv(p.load.want, 2), 1)
		known := s.borrow.idle[p.key][id].count
		if known > 0 {
			n = min(left, known)
		}
		a := borrowArgsFor(borrows, id)
		if len(a.Want) < maxItems {
			a.Want = append(a.Want, Want{Key: p.key, Count: n, Have: have, Priority: p.load.priority(t)})
			s.borrow.outstanding[lenderKey{id, p.key}] = true
		}
		if left -= known; left <= 0 {
			return
		}
	}
}

// reservedTokens returns how many Borrow calls requests of the priority leave
// to more urgent ones. Without this reserve, urgent requests at instances
// without a slot waited for 870 ms in an overload of bulk requests.
func reservedTokens(pr model.Priority) float64 {
	switch pr {
	case model.PriorityCritical:
		return 0
	case model.PriorityNormal:
		return callBurst / 4
	}
	return callBurst / 2
}

// lenders returns the peers to ask for slots, the best first: those that
// reported idle slots, then those in the same failure domain, then the others.
// Peers that rank the same are in random order.
func (s *State) lenders(t time.Time, k Key) []model.InstanceID {
	var ids []model.InstanceID
	score := make(map[model.InstanceID]int)
	for _, p := range s.borrow.peers[k.Region] {
		if !s.mayAsk(t, p.ID, k) {
			continue
		}
		ids = append(ids, p.ID)
		if c := s.borrow.idle[k][p.ID]; c.count > 0 && t.Sub(c.seen) <= idleReportTTL {
			score[p.ID] += 2
		}
		if p.Domain == s.cfg.Domain {
			score[p.ID]++
		}
	}
	s.cfg.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	slices.SortStableFunc(ids, func(a, b model.InstanceID) int { return score[b] - score[a] })
	return ids
}

// mayAsk reports whether to ask the peer for slots: no call to it is
// outstanding, it is not in backoff and it may own slots. For this instance's
// region, the capacity record says whether it does, provided that each slot has an
// owner there.
func (s *State) mayAsk(t time.Time, id model.InstanceID, k Key) bool {
	lk := lenderKey{id, k}
	if s.borrow.outstanding[lk] || s.refuses(t, lk) {
		return false
	}
	o := &s.own
	if k.Region != s.cfg.Region || o.record == nil {
		return true
	}
	i := o.record.index(k.Service)
	if i < 0 || o.totals[i] < o.caps[k.Service] {
		// Slots that have no owner in the record may have been claimed since.
		// When the store failed right after the first claims, an instance that
		// had read the record before them asked no peer for 20 s.
		return true
	}
	return o.record.Holders[id].at(i) > 0
}

func (s *State) refuses(t time.Time, lk lenderKey) bool {
	r := s.borrow.refused[lk]
	return t.Before(r.until) && s.pool(lk.key).load.priority(t) >= r.priority
}

// HandleBorrowReply applies a peer's reply to a Borrow call. A nil reply means
// that the call failed.
func (s *State) HandleBorrowReply(now time.Time, a BorrowCall, reply *BorrowReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	if reply == nil {
		reply = &BorrowReply{}
	}
	for _, w := range a.Args.Want {
		delete(s.borrow.idle[w.Key], a.To)
	}
	got := make(map[Key]int)
	for _, l := range reply.Loans {
		if s.addLoan(t, a, l) {
			got[l.Key] += l.Count
		}
	}
	s.extendLoans(a, reply.Renewed)
	s.recordIdle(t, a.To, reply.Idle)
	for _, w := range a.Args.Want {
		s.recordAnswer(t, lenderKey{a.To, w.Key}, w.Priority, got[w.Key] > 0)
	}
}

// loanEnd returns the latest deadline of requests on a loan that was asked for
// at began.
func loanEnd(began time.Time) time.Time {
	return began.Add(LoanTerm - loanMargin)
}

func (s *State) addLoan(t time.Time, a BorrowCall, l Loan) bool {
	end := loanEnd(a.began)
	want := slices.IndexFunc(a.Args.Want, func(w Want) bool { return w.Key == l.Key && l.Count <= w.Count })
	if want < 0 || l.Count <= 0 || !t.Before(end) {
		return false
	}
	p := s.pool(l.Key)
	in := &loanIn{id: l.ID, lender: a.To, count: l.Count, end: end, lastBusy: t}
	if l.Use > 0 {
		in.useUntil = a.began.Add(l.Use)
		in.priority, in.sharedUntil = a.Args.Want[want].Priority, t.Add(sharedUse)
	}
	p.loans = append(p.loans, in)
	s.borrow.nextExpiry = earlier(s.borrow.nextExpiry, end)
	s.notifyFreed(l.Key.Service)
	return true
}

func (s *State) extendLoans(a BorrowCall, ids []LoanID) {
	if len(ids) == 0 {
		return
	}
	end := loanEnd(a.began)
	for _, p := range s.list {
		for _, l := range p.loans {
			if l.lender == a.To && slices.Contains(ids, l.id) && slices.Contains(a.Args.Renew, l.id) && end.After(l.end) {
				l.end = end
				s.notifyFreed(p.key.Service)
			}
		}
	}
}

func (s *State) recordIdle(t time.Time, from model.InstanceID, idle []Idle) {
	for i, d := range idle {
		if i == maxItems || d.Instance == s.cfg.Self {
			continue
		}
		m := s.borrow.idle[d.Key]
		if m == nil {
			m = make(map[model.InstanceID]idleCount)
			s.borrow.idle[d.Key] = m
		}
		if _, known := m[d.Instance]; known && d.Instance != from {
			continue
		}
		m[d.Instance] = idleCount{count: d.Count, seen: t}
	}
}

// recordAnswer records whether a peer lent slots. A peer that did not is asked
// again after a wait that doubles each time, with jitter.
func (s *State) recordAnswer(t time.Time, lk lenderKey, pr model.Priority, lent bool) {
	delete(s.borrow.outstanding, lk)
	if lent {
		delete(s.borrow.refused, lk)
		return
	}
	r := s.borrow.refused[lk]
	r.priority = pr
	r.wait = min(max(2*r.wait, minRefusalWait), maxRefusalWait)
	r.until = t.Add(r.wait/2 + time.Duration(s.cfg.Rand.Int64N(int64(r.wait))))
	s.borrow.refused[lk] = r
}
