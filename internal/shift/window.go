package shift

import (
	"math"
	"slices"
	"time"
)

// ringSize is the number of steps kept: the current step and the Steps steps
// before it.
const ringSize = Steps + 1

// refusedTableSize is the size of a service's table of refused requests. A
// request that another one displaces from the table may be counted twice.
const refusedTableSize = 256

// epsilon compensates for rounding errors of floating-point products, so that
// the integer part of 0.3 * 10 is 3.
const epsilon = 1e-9

// unknownVolume is the volume of a window with too few requests to measure
// shares, or of one that is not complete yet.
const unknownVolume = math.MaxInt32

// serviceWindow counts the requests of one service in a sliding window.
type serviceWindow struct {
	limit limit
	step  time.Duration
	// origin is the start time of step 0; seq is the number of the current step.
	origin    time.Time
	seq       int64
	buckets   [ringSize]bucket
	snapshots [ringSize]snapshot
	// refused and total are sums over the window.
	refused, total int
	tallies        [2]tally
	// phase is the random offset, from 0 to 1, of the systematic sampling.
	phase        float64
	refusedTable *[refusedTableSize]refusedRequest
}

// Indexes of the two tallies of a window. The bound must hold for both.
const (
	// sinceFailure leaves out the requests sent to a region before its latest
	// failure, so that the region's share grows from 0 when it returns.
	sinceFailure = 0
	// allSent includes them, so that a region that fails and returns within a
	// period does not get the cap's increase twice.
	allSent = 1
)

// tally holds the counts of sent requests by region, counted in one of the two
// ways.
type tally struct {
	// sent is the number of requests sent in the window.
	sent []int
	// minShare is the smallest share in the window.
	minShare []float64
}

// bucket holds the counts of one step. sent is by tally and region.
type bucket struct {
	sent    [2][]int32
	refused int32
}

// total returns the number of requests in the step, sent and refused.
func (b *bucket) total() int {
	n := int(b.refused)
	for _, c := range b.sent[allSent] {
		n += int(c)
	}
	return n
}

// snapshot is the state at the start of a step.
type snapshot struct {
	// shares are the shares by tally and region. They rise by at most the cap
	// within a period.
	shares [2][]float64
	// measured are the measured shares without that limit. They sum to 1 unless
	// requests were refused or a region failed.
	measured []float64
	// volume is decided(W) of the window that ended with the step before, or
	// unknownVolume.
	volume int
}

// refusedRequest is an entry of the table of refused requests. used is unset
// once the request has been sent.
type refusedRequest struct {
	id   uint64
	seq  int64
	used bool
}

func newServiceWindow(now time.Time, lim limit, shares []float64, phase float64) *serviceWindow {
	s := &serviceWindow{phase: phase, limit: lim}
	s.reset(now, shares)
	return s
}

// reset clears all counts and starts from the given shares.
func (s *serviceWindow) reset(now time.Time, shares []float64) {
	s.step = s.limit.period / Steps
	s.origin, s.seq = now, 0
	s.refused, s.total = 0, 0
	s.refusedTable = nil
	for k := range s.tallies {
		s.tallies[k] = tally{sent: make([]int, len(shares)), minShare: slices.Clone(shares)}
	}
	for i := range s.buckets {
		b, sn := &s.buckets[i], &s.snapshots[i]
		b.refused, sn.volume, sn.measured = 0, unknownVolume, slices.Clone(shares)
		for k := range s.tallies {
			b.sent[k] = make([]int32, len(shares))
			sn.shares[k] = slices.Clone(shares)
		}
	}
}

func (s *serviceWindow) setLimit(now time.Time, lim limit) {
	s.advance(now)
	periodChanged := lim.period != s.limit.period
	s.limit = lim
	if periodChanged {
		s.reset(now, slices.Clone(s.snapshotAt(s.seq).shares[sinceFailure]))
	}
}

// addRegions extends the counts to n regions. Nothing was sent to the new ones.
func (s *serviceWindow) addRegions(n int) {
	for i := range s.snapshots {
		s.snapshots[i].measured = append(s.snapshots[i].measured, make([]float64, n-len(s.snapshots[i].measured))...)
	}
	for k := range s.tallies {
		ta := &s.tallies[k]
		grow := n - len(ta.sent)
		ta.sent = append(ta.sent, make([]int, grow)...)
		ta.minShare = append(ta.minShare, make([]float64, grow)...)
		for i := range s.buckets {
			s.buckets[i].sent[k] = append(s.buckets[i].sent[k], make([]int32, grow)...)
			s.snapshots[i].shares[k] = append(s.snapshots[i].shares[k], make([]float64, grow)...)
		}
	}
}

func (s *serviceWindow) bucketAt(seq int64) *bucket {
	return &s.buckets[seq%ringSize]
}

func (s *serviceWindow) snapshotAt(seq int64) *snapshot {
	return &s.snapshots[seq%ringSize]
}

// windowStart returns the snapshot at the start of the window. Until Steps steps
// have passed, that is the snapshot of step 0.
func (s *serviceWindow) windowStart() *snapshot {
	return s.snapshotAt(max(s.seq-Steps, 0))
}

// advance starts all steps up to now. A time before the current step is
// counted in the current step.
func (s *serviceWindow) advance(now time.Time) {
	target := int64(now.Sub(s.origin) / s.step)
	if target-s.seq > 2*ringSize {
		s.skipIdle(target)
	}
	for s.seq < target {
		s.openStep()
	}
}

// skipIdle advances to the target step after a time without requests that is
// longer than the window. It does not start each step in between.
func (s *serviceWindow) skipIdle(target int64) {
	for range ringSize {
		s.openStep()
	}
	last := *s.snapshotAt(s.seq)
	s.seq = target
	for i := range s.snapshots {
		copy(s.snapshots[i].measured, last.measured)
		for k := range s.tallies {
			copy(s.snapshots[i].shares[k], last.shares[k])
		}
		s.snapshots[i].volume = unknownVolume
	}
	s.updateMinShares()
}

// openStep starts the next step and removes the oldest one from the window.
func (s *serviceWindow) openStep() {
	next := s.seq + 1
	n, volume := s.periodCounts()
	old, sn := s.bucketAt(next), s.snapshotAt(next)
	var shares [2][]float64
	for k := range s.tallies {
		shares[k] = s.measureShares(k, n)
	}
	copy(sn.measured, s.snapshotAt(s.seq).measured)
	if n > 0 {
		s.fractions(sn.measured, sinceFailure, n)
	}
	for k := range s.tallies {
		copy(sn.shares[k], shares[k])
		for i, c := range old.sent[k] {
			s.tallies[k].sent[i] -= int(c)
		}
	}
	s.total -= old.total() - int(old.refused)
	s.refused -= int(old.refused)
	old.refused = 0
	clear(old.sent[sinceFailure])
	clear(old.sent[allSent])
	sn.volume = volume
	s.seq = next
	s.updateMinShares()
}

// decided returns decided(W): the number of sent requests in the window, plus
// refused ones up to the volume at the start of the window.
func (s *serviceWindow) decided() int {
	n := s.total
	return n + min(s.refused, max(s.windowStart().volume-n, 0))
}

// decidedIncluding returns decided(W) as it will be once the request is sent. A
// request counted as refused is then no longer counted as such.
func (s *serviceWindow) decidedIncluding(id uint64) int {
	n := s.total + 1
	refused := s.refused
	if e := s.refusedEntry(id); e != nil && s.countedInWindow(e, id) {
		refused--
	}
	return n + min(refused, max(s.windowStart().volume-n, 0))
}

// periodCounts returns the number n of requests in the last Steps steps, over
// which the shares are measured, or 0 if the shares stay as they are. volume is
// that of the current window, or unknownVolume.
func (s *serviceWindow) periodCounts() (n, volume int) {
	n = s.total + s.refused - s.bucketAt(s.seq+1).total()
	if n == 0 || s.limit.capped && float64(n)*s.limit.fraction < 1-epsilon {
		return 0, unknownVolume
	}
	volume = s.decided()
	if s.seq < Steps {
		volume = unknownVolume
	}
	if s.limit.held {
		n = 0
	}
	return n, volume
}

// measureShares returns the shares of tally k at the end of the current step,
// measured over the n requests of the last Steps steps, which are the period.
// These include all refused requests, also those beyond the volume, because a
// share that is measured too high would raise the bound.
//
// A share rises by at most the cap above its value at the start of the period,
// even if the counts are higher because requests came in bursts. The excess is
// not given to other regions: when regions below their former share got it, a
// share rose by 0.0525 with a cap of 0.05.
func (s *serviceWindow) measureShares(k, n int) []float64 {
	if n == 0 {
		return s.snapshotAt(s.seq).shares[k]
	}
	base := s.snapshotAt(max(s.seq-Steps+1, 0)).shares[k]
	shares := make([]float64, len(base))
	s.fractions(shares, k, n)
	for i := range shares {
		if s.limit.capped {
			shares[i] = min(shares[i], base[i]+s.limit.fraction)
		}
	}
	return shares
}

// fractions stores in to, by region, the requests sent in the last Steps steps
// divided by n.
func (s *serviceWindow) fractions(to []float64, k, n int) {
	old := s.bucketAt(s.seq + 1).sent[k]
	for i, c := range s.tallies[k].sent {
		to[i] = min(float64(c-int(old[i]))/float64(n), 1)
	}
}

// oldestStepDecided returns how much the oldest step of the window contributes
// to decided(W).
func (s *serviceWindow) oldestStepDecided() int {
	b := s.bucketAt(s.seq + 1)
	without := s.total - b.total() + int(b.refused)
	return s.decided() - without - min(s.refused-int(b.refused), max(s.windowStart().volume-without, 0))
}

// allow reports whether the request may go to region i. Besides the bound of
// the window, a bound applies to the current step, so that a shift does not send
// all requests of a few seconds to one region. The bound of the step is rounded
// with an offset that differs from step to step. If no other region is within
// both bounds, the bound of the step is rounded up, or does not apply if there
// are few requests.
func (s *serviceWindow) allow(i int, id uint64) bool {
	n := s.decidedIncluding(id)
	if !s.withinWindowBound(i, n) {
		return false
	}
	offset := s.stepOffset(s.seq)
	if s.withinStepBound(i, id, offset) {
		return true
	}
	return (s.fewRequests(float64(n)) || s.withinStepBound(i, id, 1-epsilon)) && !s.otherRegionAllowed(i, n, id, offset)
}

// fewRequests reports whether n requests are so few that rounding the bounds
// down could exclude all regions.
func (s *serviceWindow) fewRequests(n float64) bool {
	return n*s.maxIncrease() < float64(len(s.tallies[allSent].sent))
}

// withinWindowBound reports whether one more request to region i is within the
// bound of the window. If there are few requests (see fewRequests), each region
// may also get what its share gives without an increase. Otherwise the bound
// must also hold without the oldest step: the period starts somewhere within
// that step, and the step's requests to the region may lie before that.
func (s *serviceWindow) withinWindowBound(i, decided int) bool {
	return s.tallyWithinBound(sinceFailure, i, decided) && s.tallyWithinBound(allSent, i, decided)
}

func (s *serviceWindow) tallyWithinBound(k, i, decided int) bool {
	n := float64(decided)
	ta := &s.tallies[k]
	sent := ta.sent[i]
	bound := ta.minShare[i] + s.maxIncrease()
	most := math.Floor(bound*n + epsilon)
	if s.fewRequests(n) {
		most = max(most, s.sampledQuota(i, n))
		return float64(sent+1) <= most
	}
	shorter := sent - int(s.bucketAt(s.seq + 1).sent[k][i])
	mostShorter := math.Floor(bound*float64(decided-s.oldestStepDecided()) + epsilon)
	return float64(sent+1) <= most && float64(shorter+1) <= mostShorter
}

// updateMinShares computes the smallest share of each region in the window. The
// bound is computed from it and not from the share at the start of the window,
// because a request also counts in the windows that start later. With the share
// at the start, a share that fell and rose again within a period rose by 0.264
// with a cap of 0.25.
func (s *serviceWindow) updateMinShares() {
	for k := range s.tallies {
		low := s.tallies[k].minShare
		copy(low, s.snapshotAt(s.seq).shares[k])
		for seq := max(s.seq-Steps, 0); seq < s.seq; seq++ {
			for i, sh := range s.snapshotAt(seq).shares[k] {
				low[i] = min(low[i], sh)
			}
		}
	}
}

// maxIncrease returns how much a share may rise in a period.
func (s *serviceWindow) maxIncrease() float64 {
	if s.limit.held {
		return 0
	}
	return s.limit.fraction
}

// withinStepBound reports whether one more request to region i is within the
// bound of the current step. offset, from 0 to 1, is added before the bound is
// rounded down.
func (s *serviceWindow) withinStepBound(i int, id uint64, offset float64) bool {
	b := s.bucketAt(s.seq)
	n := b.total() + 1
	if e := s.refusedEntry(id); e != nil && s.countedInWindow(e, id) && e.seq == s.seq {
		n--
	}
	low := min(s.tallies[sinceFailure].minShare[i], s.tallies[allSent].minShare[i])
	most := math.Floor((low+s.maxIncrease())*float64(n) + offset)
	return float64(b.sent[allSent][i]+1) <= most
}

// stepOffset returns the offset that is added before the bound of a step is
// rounded down. The offsets of successive steps are spread evenly, so that the
// bounds of the steps sum to that of the window. Rounded up in every step, they
// would allow most of a window's requests in its first steps.
func (s *serviceWindow) stepOffset(seq int64) float64 {
	_, f := math.Modf(s.phase + float64(seq)*(math.Phi-1))
	return f
}

// otherRegionAllowed reports whether the request may go to another region within
// both bounds.
func (s *serviceWindow) otherRegionAllowed(i, decided int, id uint64, offset float64) bool {
	for other := range s.tallies[allSent].sent {
		if other != i && s.withinWindowBound(other, decided) && s.withinStepBound(other, id, offset) {
			return true
		}
	}
	return false
}

// sampledQuota returns the number of n requests that region i gets by systematic
// sampling from the measured shares. The quotas of all regions sum to n if the
// shares sum to 1.
func (s *serviceWindow) sampledQuota(i int, n float64) float64 {
	shares := s.windowStart().measured
	below := 0.0
	for _, sh := range shares[:i] {
		below += sh
	}
	return math.Floor((below+shares[i])*n+s.phase+epsilon) - math.Floor(below*n+s.phase+epsilon)
}

// refusedEntry returns the request's entry in the table of refused requests, or
// nil if there is no table. The index is computed by Fibonacci hashing.
func (s *serviceWindow) refusedEntry(id uint64) *refusedRequest {
	if s.refusedTable == nil {
		return nil
	}
	return &s.refusedTable[id*0x9e3779b97f4a7c15>>56]
}

// countedInWindow reports whether the entry belongs to the request and its step
// is in the window.
func (s *serviceWindow) countedInWindow(e *refusedRequest, id uint64) bool {
	return e.used && e.id == id && s.seq-e.seq <= Steps
}

// countRefused adds a refused request to the current step unless the window
// already counts it as refused.
func (s *serviceWindow) countRefused(id uint64) {
	if s.refusedTable == nil {
		s.refusedTable = new([refusedTableSize]refusedRequest)
	}
	e := s.refusedEntry(id)
	if s.countedInWindow(e, id) {
		return
	}
	*e = refusedRequest{id: id, seq: s.seq, used: true}
	s.bucketAt(s.seq).refused++
	s.refused++
}

// uncountRefused removes a request that is now sent from the refused ones.
func (s *serviceWindow) uncountRefused(id uint64) {
	e := s.refusedEntry(id)
	if e == nil || !s.countedInWindow(e, id) {
		return
	}
	s.bucketAt(e.seq).refused--
	s.refused--
	e.used = false
}

// countSent adds a sent request to the current step.
func (s *serviceWindow) countSent(i int) {
	for k := range s.tallies {
		s.bucketAt(s.seq).sent[k][i]++
		s.tallies[k].sent[i]++
	}
	s.total++
}

// regionFailed sets the shares and the counts since the failure of region i to 0.
func (s *serviceWindow) regionFailed(i int) {
	for b := range s.buckets {
		s.buckets[b].sent[sinceFailure][i] = 0
		s.snapshots[b].shares[sinceFailure][i] = 0
		s.snapshots[b].measured[i] = 0
	}
	s.tallies[sinceFailure].sent[i] = 0
	s.tallies[sinceFailure].minShare[i] = 0
}
