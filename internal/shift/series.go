package shift

import (
	"math"
	"slices"
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
	// refused and total are sums over the window.
	refused, total int
	tracks         [2]track
	// phase is the offset of the systematic sampling.
	phase float64
	table *[refusedSlots]refusedID
}

// The tracks of a series. The bound has to hold for both.
const (
	// sinceLoss leaves out what was sent to a region before it was last lost,
	// so that its return is an increase from nothing.
	sinceLoss = 0
	// everything counts it, so that a region that is lost and returns within a
	// period does not get its increase twice.
	everything = 1
)

// track holds one way to count the requests of each region.
type track struct {
	// sent is the sum over the window.
	sent []int
	// low is the smallest share in the window.
	low []float64
}

// bucket holds the counts of one step, by track.
type bucket struct {
	sent    [2][]int32
	refused int32
}

// all returns the number of requests of the step.
func (b *bucket) all() int {
	n := int(b.refused)
	for _, c := range b.sent[everything] {
		n += int(c)
	}
	return n
}

// snapshot is the state at the opening of a step.
type snapshot struct {
	shares [2][]float64
	// seen are the shares as measured. They sum to 1 unless requests were
	// refused or a region was lost.
	seen []float64
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
	s.refused, s.total = 0, 0
	s.table = nil
	for k := range s.tracks {
		s.tracks[k] = track{sent: make([]int, len(shares)), low: slices.Clone(shares)}
	}
	for i := range s.buckets {
		b, sn := &s.buckets[i], &s.snaps[i]
		b.refused, sn.level, sn.seen = 0, unknownLevel, slices.Clone(shares)
		for k := range s.tracks {
			b.sent[k] = make([]int32, len(shares))
			sn.shares[k] = slices.Clone(shares)
		}
	}
}

func (s *series) setLimit(now time.Time, lim limit) {
	s.advance(now)
	periodChanged := lim.period != s.limit.period
	s.limit = lim
	if periodChanged {
		s.reset(now, slices.Clone(s.snap(s.seq).shares[sinceLoss]))
	}
}

// widen adds regions, to which nothing was sent.
func (s *series) widen(n int) {
	for i := range s.snaps {
		s.snaps[i].seen = append(s.snaps[i].seen, make([]float64, n-len(s.snaps[i].seen))...)
	}
	for k := range s.tracks {
		tr := &s.tracks[k]
		grow := n - len(tr.sent)
		tr.sent = append(tr.sent, make([]int, grow)...)
		tr.low = append(tr.low, make([]float64, grow)...)
		for i := range s.buckets {
			s.buckets[i].sent[k] = append(s.buckets[i].sent[k], make([]int32, grow)...)
			s.snaps[i].shares[k] = append(s.snaps[i].shares[k], make([]float64, grow)...)
		}
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
		copy(s.snaps[i].seen, last.seen)
		for k := range s.tracks {
			copy(s.snaps[i].shares[k], last.shares[k])
		}
		s.snaps[i].level = unknownLevel
	}
	s.setLow()
}

// open starts the next step: the oldest one leaves the window.
func (s *series) open() {
	next := s.seq + 1
	n, level := s.measured()
	old, sn := s.bucket(next), s.snap(next)
	var shares [2][]float64
	for k := range s.tracks {
		shares[k] = s.measure(k, n)
	}
	copy(sn.seen, s.snap(s.seq).seen)
	if n > 0 {
		s.parts(sn.seen, sinceLoss, n)
	}
	for k := range s.tracks {
		copy(sn.shares[k], shares[k])
		for i, c := range old.sent[k] {
			s.tracks[k].sent[i] -= int(c)
		}
	}
	s.total -= old.all() - int(old.refused)
	s.refused -= int(old.refused)
	old.refused = 0
	clear(old.sent[sinceLoss])
	clear(old.sent[everything])
	sn.level = level
	s.seq = next
	s.setLow()
}

// decided returns the number of requests in the window that count.
func (s *series) decided() int {
	n := s.total
	return n + min(s.refused, max(s.start().level-n, 0))
}

// decidedWith returns decided(W) after the request is sent. If it was counted
// as refused it no longer is.
func (s *series) decidedWith(id uint64) int {
	n := s.total + 1
	refused := s.refused
	if e := s.entry(id); e != nil && s.counts(e, id) {
		refused--
	}
	return n + min(refused, max(s.start().level-n, 0))
}

// measured returns the number of requests in the last Steps steps, or 0 if the
// shares stay as they are, and the level.
func (s *series) measured() (n, level int) {
	n = s.total + s.refused - s.bucket(s.seq+1).all()
	if n == 0 || s.limit.capped && float64(n)*s.limit.fraction < 1-epsilon {
		return 0, unknownLevel
	}
	level = s.decided()
	if s.seq < Steps {
		level = unknownLevel
	}
	if s.limit.held {
		n = 0
	}
	return n, level
}

// measure returns the shares of a track at the end of the current step. They
// cover the last Steps steps, which is the period, and are parts of all
// requests, also of refused ones above the level: a share that is measured too
// high would raise the bound. A share rises by at most the cap over that at the
// start of the period, also if the counts say more because they came in
// bursts. What that takes away goes to no other region: given to those below
// their former share, it let a share rise by 0.0525 with a cap of 0.05.
func (s *series) measure(k, n int) []float64 {
	if n == 0 {
		return s.snap(s.seq).shares[k]
	}
	base := s.snap(max(s.seq-Steps+1, 0)).shares[k]
	shares := make([]float64, len(base))
	s.parts(shares, k, n)
	for i := range shares {
		if s.limit.capped {
			shares[i] = min(shares[i], base[i]+s.limit.fraction)
		}
	}
	return shares
}

// parts sets to to the parts of n requests in the last Steps steps.
func (s *series) parts(to []float64, k, n int) {
	old := s.bucket(s.seq + 1).sent[k]
	for i, c := range s.tracks[k].sent {
		to[i] = min(float64(c-int(old[i]))/float64(n), 1)
	}
}

// oldest returns what the oldest step of the window adds to decided(W).
func (s *series) oldest() int {
	b := s.bucket(s.seq + 1)
	without := s.total - b.all() + int(b.refused)
	return s.decided() - without - min(s.refused-int(b.refused), max(s.start().level-without, 0))
}

// allow reports whether region i may get the request. Within a step it keeps
// to the bound as well, so that a shift does not send all requests of a few
// seconds to the region: rounded with an offset that differs by step, or, where
// no region keeps to both bounds, rounded up or not at all with few requests.
func (s *series) allow(i int, id uint64) bool {
	n := s.decidedWith(id)
	if !s.within(i, n) {
		return false
	}
	offset := s.stepPhase(s.seq)
	if s.evenly(i, id, offset) {
		return true
	}
	return (s.few(float64(n)) || s.evenly(i, id, 1-epsilon)) && !s.othersAllowed(i, n, id, offset)
}

// few reports whether rounding down by region could forbid all regions.
func (s *series) few(n float64) bool {
	return n*s.fraction() < float64(len(s.tracks[everything].sent))
}

// within reports whether region i keeps to the bound of the window. With so
// few requests that rounding down by region could forbid all regions, what the
// shares give without an increase is allowed too; else the bound also holds
// without the oldest step. A period starts within that step, whose last
// requests may be fewer to the region than its first.
func (s *series) within(i, decided int) bool {
	return s.trackWithin(sinceLoss, i, decided) && s.trackWithin(everything, i, decided)
}

func (s *series) trackWithin(k, i, decided int) bool {
	n := float64(decided)
	tr := &s.tracks[k]
	sent := tr.sent[i]
	bound := tr.low[i] + s.fraction()
	most := math.Floor(bound*n + epsilon)
	if s.few(n) {
		most = max(most, s.sampled(i, n))
		return float64(sent+1) <= most
	}
	shorter := sent - int(s.bucket(s.seq + 1).sent[k][i])
	mostShorter := math.Floor(bound*float64(decided-s.oldest()) + epsilon)
	return float64(sent+1) <= most && float64(shorter+1) <= mostShorter
}

// setLow computes the smallest share of each region in the window. It stands
// for the share at the start, because the request also counts in the windows
// that start later: of a share that falls and rises again within a period, the
// bound from the start let 0.264 pass in a period with a cap of 0.25.
func (s *series) setLow() {
	for k := range s.tracks {
		low := s.tracks[k].low
		copy(low, s.snap(s.seq).shares[k])
		for seq := max(s.seq-Steps, 0); seq < s.seq; seq++ {
			for i, sh := range s.snap(seq).shares[k] {
				low[i] = min(low[i], sh)
			}
		}
	}
}

func (s *series) fraction() float64 {
	if s.limit.held {
		return 0
	}
	return s.limit.fraction
}

// evenly reports whether region i keeps to the bound in the current step, with
// an offset from 0 to 1 before rounding down.
func (s *series) evenly(i int, id uint64, offset float64) bool {
	b := s.bucket(s.seq)
	n := b.all() + 1
	if e := s.entry(id); e != nil && s.counts(e, id) && e.seq == s.seq {
		n--
	}
	low := min(s.tracks[sinceLoss].low[i], s.tracks[everything].low[i])
	most := math.Floor((low+s.fraction())*float64(n) + offset)
	return float64(b.sent[everything][i]+1) <= most
}

// stepPhase returns the offset of the rounding in a step. It differs by step so
// that the steps of a window sum to the bound; rounded up in each step, most of
// a window's requests would be in its first steps.
func (s *series) stepPhase(seq int64) float64 {
	_, f := math.Modf(s.phase + float64(seq)*(math.Phi-1))
	return f
}

// othersAllowed reports whether the request may go to another region within
// both bounds.
func (s *series) othersAllowed(i, decided int, id uint64, offset float64) bool {
	for other := range s.tracks[everything].sent {
		if other != i && s.within(other, decided) && s.evenly(other, id, offset) {
			return true
		}
	}
	return false
}

// sampled returns the region's part of n requests by systematic sampling: the
// parts of all regions sum to n if the shares sum to 1.
func (s *series) sampled(i int, n float64) float64 {
	shares := s.start().seen
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

// count adds a sent request to the current step.
func (s *series) count(i int) {
	for k := range s.tracks {
		s.bucket(s.seq).sent[k][i]++
		s.tracks[k].sent[i]++
	}
	s.total++
}

// lose takes the shares of region i away.
func (s *series) lose(i int) {
	for b := range s.buckets {
		s.buckets[b].sent[sinceLoss][i] = 0
		s.snaps[b].shares[sinceLoss][i] = 0
		s.snaps[b].seen[i] = 0
	}
	s.tracks[sinceLoss].sent[i] = 0
	s.tracks[sinceLoss].low[i] = 0
}
