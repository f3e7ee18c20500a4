package shift

import (
	"math"
	"time"
)

// ring is how many steps are kept: the window and the step that opens next.
const ring = Steps + 1

// refusedSlots is the size of the table of refused requests of a service. A
// request that falls out of it may be counted again.
const refusedSlots = 256

// epsilon absorbs the rounding of floating-point products, so that 0.3 of 10
// is 3.
const epsilon = 1e-9

// unknownLevel stands for the number of requests in a window that had too few
// to measure, or none yet.
const unknownLevel = math.MaxInt32

// series holds the counts of one service.
type series struct {
	limit limit
	step  time.Duration
	// origin is the start of step 0; seq is the current step.
	origin  time.Time
	seq     int64
	buckets [ring]bucket
	snaps   [ring]snapshot
	// sent, gone, refused and total are sums over the window.
	sent                 []int
	gone, refused, total int
	// phase is the offset of the systematic sampling.
	phase float64
	// low is the smallest share of each region in the window.
	low   []float64
	table *[refusedSlots]refusedID
}

// bucket holds the counts of one step.
type bucket struct {
	sent []int32
	// gone are requests that were sent to regions since lost.
	gone, refused int32
}

// snapshot is the state at the opening of a step.
type snapshot struct {
	shares []float64
	// level is decided(W) of the window before the step, or unknownLevel.
	level int
}

// refusedID is a refused request that has not been sent yet.
type refusedID struct {
	id   uint64
	seq  int64
	used bool
}

func newSeries(now time.Time, lim limit, shares []float64, phase float64) *series {
	s := &series{phase: phase, limit: lim}
	s.reset(now, shares)
	return s
}

// reset forgets all counts and starts from the given shares.
func (s *series) reset(now time.Time, shares []float64) {
	s.step = s.limit.period / Steps
	s.origin, s.seq = now, 0
	s.sent = make([]int, len(shares))
	s.gone, s.refused, s.total = 0, 0, 0
	s.table = nil
	s.low = append([]float64(nil), shares...)
	for i := range s.buckets {
		s.buckets[i] = bucket{sent: make([]int32, len(shares))}
		s.snaps[i] = snapshot{shares: append([]float64(nil), shares...), level: unknownLevel}
	}
}

func (s *series) setLimit(now time.Time, lim limit) {
	s.advance(now)
	periodChanged := lim.period != s.limit.period
	s.limit = lim
	if periodChanged {
		s.reset(now, s.snap(s.seq).shares)
	}
}

// widen adds regions, to which nothing was sent.
func (s *series) widen(n int) {
	grow := n - len(s.sent)
	s.sent = append(s.sent, make([]int, grow)...)
	s.low = append(s.low, make([]float64, grow)...)
	for i := range s.buckets {
		s.buckets[i].sent = append(s.buckets[i].sent, make([]int32, grow)...)
		s.snaps[i].shares = append(s.snaps[i].shares, make([]float64, grow)...)
	}
}

func (s *series) bucket(seq int64) *bucket {
	return &s.buckets[seq%ring]
}

func (s *series) snap(seq int64) *snapshot {
	return &s.snaps[seq%ring]
}

// start returns the snapshot at the start of the window. Before Steps steps
// have passed that is the start of the series.
func (s *series) start() *snapshot {
	return s.snap(max(s.seq-Steps, 0))
}

// advance opens the steps up to now. A reading older than the current step
// counts in it.
func (s *series) advance(now time.Time) {
	target := int64(now.Sub(s.origin) / s.step)
	if target-s.seq > 2*ring {
		s.skip(target)
	}
	for s.seq < target {
		s.open()
	}
}

// skip passes a time without requests in which the window has emptied.
func (s *series) skip(target int64) {
	for range ring {
		s.open()
	}
	last := *s.snap(s.seq)
	s.seq = target
	for i := range s.snaps {
		copy(s.snaps[i].shares, last.shares)
		s.snaps[i].level = unknownLevel
	}
	s.setLow()
}

// open starts the next step: the oldest one leaves the window.
func (s *series) open() {
	next := s.seq + 1
	shares, level := s.measure()
	old := s.bucket(next)
	for i, n := range old.sent {
		s.sent[i] -= int(n)
		s.total -= int(n)
		old.sent[i] = 0
	}
	s.gone -= int(old.gone)
	s.refused -= int(old.refused)
	old.gone, old.refused = 0, 0
	sn := s.snap(next)
	copy(sn.shares, shares)
	sn.level = level
	s.seq = next
	s.setLow()
}

// decided returns the number of requests in the window that count.
func (s *series) decided() int {
	n := s.total + s.gone
	return n + min(s.refused, max(s.start().level-n, 0))
}

// decidedWith returns decided(W) after the request is sent. If it was counted
// as refused it no longer is.
func (s *series) decidedWith(id uint64) int {
	n := s.total + s.gone + 1
	refused := s.refused
	if e := s.entry(id); e != nil && s.counts(e, id) {
		refused--
	}
	return n + min(refused, max(s.start().level-n, 0))
}

// measure returns the shares at the end of the current step and the level.
// They cover the last Steps steps, which is the period. A share rises by at
// most the cap over that at the start of the period, also if the counts say
// more because they came in bursts. What that takes away goes to regions that
// are below their former share.
func (s *series) measure() ([]float64, int) {
	level := s.decided()
	before := s.snap(s.seq).shares
	n := level - s.oldest()
	if n <= 0 || s.limit.capped && float64(n)*s.limit.fraction < 1-epsilon {
		return before, unknownLevel
	}
	if s.limit.held {
		return before, level
	}
	base := s.snap(max(s.seq-Steps+1, 0)).shares
	old := s.bucket(s.seq + 1).sent
	shares := make([]float64, len(s.sent))
	taken := 0.0
	for i, c := range s.sent {
		shares[i] = min(float64(c-int(old[i]))/float64(n), 1)
		if top := base[i] + s.limit.fraction; s.limit.capped && shares[i] > top {
			taken += shares[i] - top
			shares[i] = top
		}
	}
	refill(shares, base, taken)
	return shares, level
}

// oldest returns what the oldest step of the window adds to decided(W).
func (s *series) oldest() int {
	b := s.bucket(s.seq + 1)
	n := int(b.gone)
	for _, c := range b.sent {
		n += int(c)
	}
	without := s.total + s.gone - n
	return s.decided() - without - min(s.refused-int(b.refused), max(s.start().level-without, 0))
}

func refill(shares, base []float64, taken float64) {
	room := 0.0
	for i := range shares {
		room += max(base[i]-shares[i], 0)
	}
	if taken <= 0 || room <= 0 {
		return
	}
	part := min(taken/room, 1)
	for i := range shares {
		shares[i] += part * max(base[i]-shares[i], 0)
	}
}

// allow reports whether region i may get the request. Within a step it keeps
// to the bound as well, rounded up, so that a shift does not send all requests
// of a few seconds to the region; that yields where no other region is allowed.
func (s *series) allow(i int, id uint64) bool {
	n := s.decidedWith(id)
	if !s.within(i, n) {
		return false
	}
	return s.evenly(i, id) || !s.othersWithin(i, n)
}

// within reports whether region i keeps to the bound of the window. With so
// few requests that rounding down by region could forbid all regions, what the
// shares give without an increase is allowed too.
func (s *series) within(i, decided int) bool {
	n := float64(decided)
	most := math.Floor((s.low[i]+s.fraction())*n + epsilon)
	if n*s.fraction() < float64(len(s.sent)) {
		most = max(most, s.sampled(i, n))
	}
	return float64(s.sent[i]+1) <= most
}

// setLow computes the smallest share of each region in the window. It stands
// for the share at the start, because the request also counts in the windows
// that start later: of a share that falls and rises again within a period, the
// bound from the start let 0.264 pass in a period with a cap of 0.25.
func (s *series) setLow() {
	copy(s.low, s.snap(s.seq).shares)
	for k := max(s.seq-Steps, 0); k < s.seq; k++ {
		for i, sh := range s.snap(k).shares {
			s.low[i] = min(s.low[i], sh)
		}
	}
}

func (s *series) fraction() float64 {
	if s.limit.held {
		return 0
	}
	return s.limit.fraction
}

// evenly reports whether region i keeps to the bound in the current step.
func (s *series) evenly(i int, id uint64) bool {
	b := s.bucket(s.seq)
	n := int(b.gone+b.refused) + 1
	for _, c := range b.sent {
		n += int(c)
	}
	if e := s.entry(id); e != nil && s.counts(e, id) && e.seq == s.seq {
		n--
	}
	most := math.Ceil((s.low[i]+s.fraction())*float64(n) - epsilon)
	return float64(b.sent[i]+1) <= most
}

func (s *series) othersWithin(i, decided int) bool {
	for k := range s.sent {
		if k != i && s.within(k, decided) {
			return true
		}
	}
	return false
}

// sampled returns the region's part of n requests by systematic sampling: the
// parts of all regions sum to n if the shares sum to 1.
func (s *series) sampled(i int, n float64) float64 {
	shares := s.start().shares
	below := 0.0
	for _, sh := range shares[:i] {
		below += sh
	}
	return math.Floor((below+shares[i])*n+s.phase+epsilon) - math.Floor(below*n+s.phase+epsilon)
}

// entry returns the request's place in the table of refused requests, or nil
// without a table. Ids are spread by Fibonacci hashing.
func (s *series) entry(id uint64) *refusedID {
	if s.table == nil {
		return nil
	}
	return &s.table[id*0x9e3779b97f4a7c15>>56]
}

// counts reports whether the entry is that of the request and its step is in
// the window.
func (s *series) counts(e *refusedID, id uint64) bool {
	return e.used && e.id == id && s.seq-e.seq <= Steps
}

// refuse counts a refused request once.
func (s *series) refuse(id uint64) {
	if s.table == nil {
		s.table = new([refusedSlots]refusedID)
	}
	e := s.entry(id)
	if s.counts(e, id) {
		return
	}
	*e = refusedID{id: id, seq: s.seq, used: true}
	s.bucket(s.seq).refused++
	s.refused++
}

// forget uncounts a refused request that is sent after all.
func (s *series) forget(id uint64) {
	e := s.entry(id)
	if e == nil || !s.counts(e, id) {
		return
	}
	s.bucket(e.seq).refused--
	s.refused--
	e.used = false
}

func (s *series) lose(i int) {
	for b := range s.buckets {
		s.buckets[b].gone += s.buckets[b].sent[i]
		s.buckets[b].sent[i] = 0
	}
	s.gone += s.sent[i]
	s.total -= s.sent[i]
	s.sent[i] = 0
	for k := range s.snaps {
		s.snaps[k].shares[i] = 0
	}
	s.low[i] = 0
}
