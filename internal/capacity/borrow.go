package capacity

import (
	"maps"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// renewBefore is how long before its end a loan in use is renewed. It is
	// above the usual time from taking a slot to the request's deadline, so
	// that requests can use the loan without a break.
	renewBefore = 7 * time.Second
	// returnAfter is how long slots of a loan are idle before they go back.
	// Near the end of a loan they are idle although requests wait, because the
	// deadlines are after it.
	returnAfter = 300 * time.Millisecond
	// returnForcedAfter is the same for a loan whose lender has requests that
	// wait.
	returnForcedAfter = 30 * time.Millisecond
	// idleFresh is how long a peer's report of idle slots is believed.
	idleFresh = time.Second
	// maxAsks bounds the peers asked at once.
	maxAsks = 4
	// asksPerSecond and askBurst bound the messages of one instance. At about
	// 150 bytes each, 10 a second keep within 2 KB/s.
	asksPerSecond = 10
	askBurst      = 60
	// refusedMin and refusedMax bound the wait before a peer that lent
	// nothing is asked again.
	refusedMin = 40 * time.Millisecond
	refusedMax = time.Second
)

// loanIn is a loan from another instance.
type loanIn struct {
	id     LoanID
	lender model.InstanceID
	count  int
	used   int
	// end is when the last request on the loan ends.
	end time.Time
	// useUntil is when the last request on the loan starts, if not zero.
	useUntil time.Time
	// busy is when all slots of the loan were last in use.
	busy time.Time
	// asked is when a renewal was last asked for.
	asked time.Time
}

// Peer is another live instance.
type Peer struct {
	ID     model.InstanceID
	Region model.Region
	Domain model.Domain
}

// BorrowCall is one message to a peer that the driver sends.
type BorrowCall struct {
	To   model.InstanceID
	Args BorrowArgs
	// began is when the loans of the answer start.
	began time.Time
}

// ReturnCall is one early return that the driver sends.
type ReturnCall struct {
	To   model.InstanceID
	Args ReturnArgs
}

type lenderKey struct {
	id  model.InstanceID
	key Key
}

// refusal is a peer that lent nothing lately.
type refusal struct {
	wait  time.Duration
	until time.Time
	// priority is that of the refused request. A more urgent one does not
	// wait.
	priority model.Priority
}

type idleCount struct {
	count int
	seen  time.Time
}

// demand is what the instance knows about where slots can be borrowed.
type demand struct {
	peers      map[model.Region][]Peer
	idle       map[Key]map[model.InstanceID]idleCount
	refused    map[lenderKey]refusal
	asking     map[lenderKey]bool
	dry        map[model.Service]time.Time
	tokens     float64
	tokensAt   time.Time
	nextExpiry time.Time
}

func (d *demand) init() {
	d.peers = make(map[model.Region][]Peer)
	d.idle = make(map[Key]map[model.InstanceID]idleCount)
	d.refused = make(map[lenderKey]refusal)
	d.asking = make(map[lenderKey]bool)
	d.dry = make(map[model.Service]time.Time)
	d.tokens = askBurst
}

// prune forgets old reports and refusals.
func (d *demand) prune(t time.Time) {
	for k, m := range d.idle {
		for id, c := range m {
			if t.Sub(c.seen) > idleFresh {
				delete(m, id)
			}
		}
		if len(m) == 0 {
			delete(d.idle, k)
		}
	}
	for k, r := range d.refused {
		if t.Sub(r.until) > refusedMax {
			delete(d.refused, k)
		}
	}
}

// SetPeers takes the live instances of all regions that may lend. Leaving
// instances are not among them.
func (s *State) SetPeers(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dem.peers = make(map[model.Region][]Peer)
	for _, p := range peers {
		if p.ID != s.cfg.Self {
			s.dem.peers[p.Region] = append(s.dem.peers[p.Region], p)
		}
	}
}

// dropEnded forgets loans that have ended. Requests on them have ended too.
func (p *pool) dropEnded(t time.Time) {
	p.loans = slices.DeleteFunc(p.loans, func(l *loanIn) bool { return !t.Before(l.end) })
}

// Plan returns the messages by which the instance gets the slots that its
// requests lack and keeps the loans that it uses.
func (s *State) Plan(now time.Time) ([]BorrowCall, []ReturnCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	if s.own.fenced {
		return nil, nil
	}
	s.refill(t)
	asks := make(map[model.InstanceID]*BorrowArgs)
	returns := make(map[model.InstanceID]*ReturnArgs)
	for _, p := range s.list {
		s.planLoans(t, p, asks, returns)
		s.planWants(t, p, asks)
	}
	return s.messages(t, asks, returns)
}

func (s *State) refill(t time.Time) {
	d := &s.dem
	if !d.tokensAt.IsZero() {
		d.tokens = min(askBurst, d.tokens+t.Sub(d.tokensAt).Seconds()*asksPerSecond)
	}
	d.tokensAt = t
}

func (s *State) messages(t time.Time, asks map[model.InstanceID]*BorrowArgs, returns map[model.InstanceID]*ReturnArgs) ([]BorrowCall, []ReturnCall) {
	var as []BorrowCall
	for _, to := range slices.Sorted(maps.Keys(asks)) {
		a := asks[to]
		a.From = s.cfg.Self
		as = append(as, BorrowCall{To: to, Args: *a, began: t})
		s.dem.tokens--
	}
	var rs []ReturnCall
	for _, to := range slices.Sorted(maps.Keys(returns)) {
		r := returns[to]
		r.From = s.cfg.Self
		rs = append(rs, ReturnCall{To: to, Args: *r})
	}
	return as, rs
}

// planLoans renews loans in use and returns idle ones.
func (s *State) planLoans(t time.Time, p *pool, asks map[model.InstanceID]*BorrowArgs, returns map[model.InstanceID]*ReturnArgs) {
	for _, l := range p.loans {
		if l.used == l.count {
			l.busy = t
		}
		if l.used < l.count && t.Sub(l.busy) >= l.keepIdle(t) {
			l.count = l.used
			addReturn(returns, l)
		}
		if l.count > 0 && l.useUntil.IsZero() && l.end.Sub(t) < renewBefore && t.Sub(l.asked) >= time.Second && s.dem.tokens >= 1 {
			l.asked = t
			a := askOf(asks, l.lender)
			a.Renew = append(a.Renew, l.id)
		}
	}
	p.loans = slices.DeleteFunc(p.loans, func(l *loanIn) bool { return l.count == 0 })
}

// keepIdle returns how long idle slots of the loan are kept.
func (l *loanIn) keepIdle(t time.Time) time.Duration {
	switch {
	case l.over(t):
		return 0
	case !l.useUntil.IsZero():
		return returnForcedAfter
	}
	return returnAfter
}

// over reports whether no more requests start on the loan.
func (l *loanIn) over(t time.Time) bool {
	return !l.useUntil.IsZero() && !t.Before(l.useUntil)
}

// fits reports whether a request that ends at end may use a slot of the loan.
func (l *loanIn) fits(t, end time.Time) bool {
	return l.used < l.count && !end.After(l.end) && !l.over(t)
}

func addReturn(returns map[model.InstanceID]*ReturnArgs, l *loanIn) {
	r := returns[l.lender]
	if r == nil {
		r = &ReturnArgs{}
		returns[l.lender] = r
	}
	r.Loans = append(r.Loans, Keep{ID: l.id, Count: l.count})
}

func askOf(asks map[model.InstanceID]*BorrowArgs, id model.InstanceID) *BorrowArgs {
	a := asks[id]
	if a == nil {
		a = &BorrowArgs{}
		asks[id] = a
	}
	return a
}

// planWants asks for slots if requests found none since the last plan.
func (s *State) planWants(t time.Time, p *pool, asks map[model.InstanceID]*BorrowArgs) {
	l := &p.load
	if !l.unmet(t) {
		l.misses = 0
	}
	if l.misses == 0 || !s.admitting(t) {
		l.want /= 2
		return
	}
	if l.spill && !s.homeDry(t, p.key.Service) {
		return
	}
	lenders := s.lenders(t, p.key)
	if len(lenders) == 0 {
		s.noteDry(t, p.key)
		return
	}
	l.want = min(max(2*l.want, 1), maxWant, max(l.misses, 1))
	l.misses = 0
	s.spread(t, p, lenders, asks)
}

func (s *State) noteDry(t time.Time, k Key) {
	if k.Region == s.cfg.Region {
		s.dem.dry[k.Service] = t
	}
}

// homeDry reports whether no instance of the own region lends slots of the
// service.
func (s *State) homeDry(t time.Time, svc model.Service) bool {
	at, ok := s.dem.dry[svc]
	return ok && t.Sub(at) < refusedMax || s.own.caps[svc] == 0
}

// spread divides what is wanted among the lenders. Each is asked for half of
// it, because some have nothing to lend.
func (s *State) spread(t time.Time, p *pool, lenders []model.InstanceID, asks map[model.InstanceID]*BorrowArgs) {
	have := s.usable(p, t)
	if p.load.priority(t) != model.PriorityCritical {
		// What is lent under contention comes back soon. If owners asked for
		// a slot in its place, most slots would be on loan.
		have += p.forced
	}
	left := p.load.want
	for i, id := range lenders {
		if i == maxAsks || s.dem.tokens-float64(len(asks)) < 1+reserved(p.load.priority(t)) {
			return
		}
		n := max(ceilDiv(p.load.want, 2), 1)
		known := s.dem.idle[p.key][id].count
		if known > 0 {
			n = min(left, known)
		}
		a := askOf(asks, id)
		if len(a.Want) < maxItems {
			a.Want = append(a.Want, Want{Key: p.key, Count: n, Have: have, Priority: p.load.priority(t)})
			s.dem.asking[lenderKey{id, p.key}] = true
		}
		if left -= known; left <= 0 {
			return
		}
	}
}

// reserved returns how many messages requests of the priority leave to more
// urgent ones. Without that, urgent requests of instances without a slot waited
// for 870 ms in an overload of bulk requests.
func reserved(pr model.Priority) float64 {
	switch pr {
	case model.PriorityCritical:
		return 0
	case model.PriorityNormal:
		return askBurst / 4
	}
	return askBurst / 2
}

// lenders returns the peers to ask for slots, the best first: those known to
// have idle slots, then those in the own failure domain, else in random order.
func (s *State) lenders(t time.Time, k Key) []model.InstanceID {
	var ids []model.InstanceID
	score := make(map[model.InstanceID]int)
	for _, p := range s.dem.peers[k.Region] {
		if !s.mayAsk(t, p.ID, k) {
			continue
		}
		ids = append(ids, p.ID)
		if c := s.dem.idle[k][p.ID]; c.count > 0 && t.Sub(c.seen) <= idleFresh {
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

// mayAsk reports whether the peer may have slots to lend. For the own region
// the root record says who owns any, if it shows an owner of each slot.
func (s *State) mayAsk(t time.Time, id model.InstanceID, k Key) bool {
	lk := lenderKey{id, k}
	if s.dem.asking[lk] || s.refuses(t, lk) {
		return false
	}
	o := &s.own
	if k.Region != s.cfg.Region || o.record == nil {
		return true
	}
	i := o.record.index(k.Service)
	if i < 0 || o.totals[i] < o.caps[k.Service] {
		// What the record shows as unowned may have been claimed since. When the
		// store failed right after the first claims, an instance that had read
		// the record before them asked nobody for 20 s.
		return true
	}
	return o.record.Holders[id].at(i) > 0
}

func (s *State) refuses(t time.Time, lk lenderKey) bool {
	r := s.dem.refused[lk]
	return t.Before(r.until) && s.pool(lk.key).load.priority(t) >= r.priority
}

// HandleBorrowReply takes a peer's answer, or no answer if reply is nil.
func (s *State) HandleBorrowReply(now time.Time, a BorrowCall, reply *BorrowReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	if reply == nil {
		reply = &BorrowReply{}
	}
	for _, w := range a.Args.Want {
		delete(s.dem.idle[w.Key], a.To)
	}
	got := make(map[Key]int)
	for _, l := range reply.Loans {
		if s.addLoan(t, a, l) {
			got[l.Key] += l.Count
		}
	}
	s.renewed(a, reply.Renewed)
	s.learnIdle(t, a.To, reply.Idle)
	for _, w := range a.Args.Want {
		s.answered(t, lenderKey{a.To, w.Key}, w.Priority, got[w.Key] > 0)
	}
}

// loanEnd returns when requests on a loan asked for at began have to end.
func loanEnd(began time.Time) time.Time {
	return began.Add(LoanTerm - loanMargin)
}

func (s *State) addLoan(t time.Time, a BorrowCall, l Loan) bool {
	end := loanEnd(a.began)
	wanted := slices.ContainsFunc(a.Args.Want, func(w Want) bool { return w.Key == l.Key && l.Count <= w.Count })
	if !wanted || l.Count <= 0 || !t.Before(end) {
		return false
	}
	p := s.pool(l.Key)
	in := &loanIn{id: l.ID, lender: a.To, count: l.Count, end: end, busy: t}
	if l.Use > 0 {
		in.useUntil = a.began.Add(l.Use)
	}
	p.loans = append(p.loans, in)
	s.dem.nextExpiry = earlier(s.dem.nextExpiry, end)
	s.freed(l.Key.Service)
	return true
}

func (s *State) renewed(a BorrowCall, ids []LoanID) {
	if len(ids) == 0 {
		return
	}
	end := loanEnd(a.began)
	for _, p := range s.list {
		for _, l := range p.loans {
			if l.lender == a.To && slices.Contains(ids, l.id) && slices.Contains(a.Args.Renew, l.id) && end.After(l.end) {
				l.end = end
				s.freed(p.key.Service)
			}
		}
	}
}

func (s *State) learnIdle(t time.Time, from model.InstanceID, idle []Idle) {
	for i, d := range idle {
		if i == maxItems || d.Instance == s.cfg.Self {
			continue
		}
		m := s.dem.idle[d.Key]
		if m == nil {
			m = make(map[model.InstanceID]idleCount)
			s.dem.idle[d.Key] = m
		}
		if _, known := m[d.Instance]; known && d.Instance != from {
			continue
		}
		m[d.Instance] = idleCount{count: d.Count, seen: t}
	}
}

// answered notes whether a peer lent. One that did not is asked again after a
// wait that doubles, with jitter.
func (s *State) answered(t time.Time, lk lenderKey, pr model.Priority, lent bool) {
	delete(s.dem.asking, lk)
	if lent {
		delete(s.dem.refused, lk)
		return
	}
	r := s.dem.refused[lk]
	r.priority = pr
	r.wait = min(max(2*r.wait, refusedMin), refusedMax)
	r.until = t.Add(r.wait/2 + time.Duration(s.cfg.Rand.Int64N(int64(r.wait))))
	s.dem.refused[lk] = r
}
