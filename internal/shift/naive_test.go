package shift

import (
	"math"
	"time"
)

// naive is the limiter by its definition on the full list of requests, one
// service, for comparison.
type naive struct {
	lim   limit
	start time.Time
	phase float64
	list  []decision
	// shares are bounded by the cap, seen as measured, at the opening of steps.
	shares, seen map[int64][]float64
	levels       map[int64]int
	opened       int64
}

// decision is one request: its step and its region, or -1 if it was refused.
type decision struct {
	step   int64
	region int
	id     uint64
}

func newNaive(now time.Time, lim limit, shares []float64, phase float64) *naive {
	n := &naive{lim: lim, start: now, phase: phase}
	n.shares, n.seen = map[int64][]float64{0: shares}, map[int64][]float64{0: shares}
	n.levels = map[int64]int{0: unknownLevel}
	return n
}

func (n *naive) step(now time.Time) int64 {
	return int64(now.Sub(n.start) / (n.lim.period / Steps))
}

// counts returns the requests by region and the refused ones in the steps from
// first to last.
func (n *naive) counts(first, last int64, except uint64) (sent []int, refused int) {
	sent = make([]int, len(n.shares[0]))
	for _, d := range n.list {
		if d.step < first || d.step > last {
			continue
		}
		if d.region >= 0 {
			sent[d.region]++
		} else if d.id != except {
			refused++
		}
	}
	return sent, refused
}

func total[T int | float64](list []T) T {
	var n T
	for _, c := range list {
		n += c
	}
	return n
}

func (n *naive) decided(sent []int, refused int, start int64, more int) int {
	t := total(sent) + more
	return t + min(refused, max(n.levels[start]-t, 0))
}

// open computes the shares at the opening of each step up to the given one.
func (n *naive) open(to int64) {
	for n.opened < to {
		cur := n.opened
		start := max(cur-Steps, 0)
		sent, refused := n.counts(cur-Steps, cur, 0)
		level := n.decided(sent, refused, start, 0)
		sent, refused = n.counts(cur-Steps+1, cur, 0)
		decided := total(sent) + refused
		n.opened++
		n.shares[n.opened], n.seen[n.opened], n.levels[n.opened] = n.shares[cur], n.seen[cur], unknownLevel
		if decided == 0 || float64(decided)*n.lim.fraction < 1-epsilon {
			continue
		}
		if cur >= Steps {
			n.levels[n.opened] = level
		}
		base := n.shares[max(cur-Steps+1, 0)]
		shares, seen := make([]float64, len(sent)), make([]float64, len(sent))
		for i, c := range sent {
			seen[i] = float64(c) / float64(decided)
			shares[i] = min(seen[i], base[i]+n.lim.fraction)
		}
		n.shares[n.opened], n.seen[n.opened] = shares, seen
	}
}

// bound returns the most requests that may go to region i in the window that
// ends with the request.
func (n *naive) bound(step int64, i int, id uint64) (sent []int, most float64) {
	start := max(step-Steps, 0)
	sent, refused := n.counts(step-Steps, step, id)
	decided := float64(n.decided(sent, refused, start, 1))
	most = math.Floor((n.low(step, i)+n.lim.fraction)*decided + epsilon)
	if decided*n.lim.fraction >= float64(len(sent)) {
		return sent, most
	}
	below := total(n.seen[start][:i])
	part := math.Floor((below+n.seen[start][i])*decided+n.phase+epsilon) - math.Floor(below*decided+n.phase+epsilon)
	return sent, max(most, part)
}

func (n *naive) shorter(step int64, i int, id uint64) bool {
	start := max(step-Steps, 0)
	all, refused := n.counts(step-Steps, step, id)
	decided := n.decided(all, refused, start, 1)
	if float64(decided)*n.lim.fraction < float64(len(all)) {
		return true
	}
	sent, _ := n.counts(step-Steps+1, step, id)
	whole, refusedAll := n.counts(step-Steps, step, 0)
	short, refusedShort := n.counts(step-Steps+1, step, 0)
	oldest := n.decided(whole, refusedAll, start, 0) - n.decided(short, refusedShort, start, 0)
	return float64(sent[i]+1) <= math.Floor((n.low(step, i)+n.lim.fraction)*float64(decided-oldest)+epsilon)
}

func (n *naive) low(step int64, i int) float64 {
	low := n.shares[step][i]
	for k := max(step-Steps, 0); k < step; k++ {
		low = min(low, n.shares[k][i])
	}
	return low
}

func (n *naive) allow(now time.Time, i int, id uint64) bool {
	step := n.step(now)
	n.open(step)
	within := func(k int) bool {
		sent, most := n.bound(step, k, id)
		return float64(sent[k]+1) <= most && n.shorter(step, k, id)
	}
	if !within(i) {
		return false
	}
	sent, refused := n.counts(step, step, id)
	_, phase := math.Modf(n.phase + float64(step)*(math.Phi-1))
	evenly := func(k int, offset float64) bool {
		most := math.Floor((n.low(step, k)+n.lim.fraction)*float64(total(sent)+refused+1) + offset)
		return float64(sent[k]+1) <= most
	}
	if evenly(i, phase) {
		return true
	}
	for k := range sent {
		if k != i && within(k) && evenly(k, phase) {
			return false
		}
	}
	all, refusedAll := n.counts(step-Steps, step, id)
	decided := float64(n.decided(all, refusedAll, max(step-Steps, 0), 1))
	return decided*n.lim.fraction < float64(len(all)) || evenly(i, 1-epsilon)
}

func (n *naive) add(now time.Time, region int, id uint64) {
	step := n.step(now)
	n.open(step)
	for i, d := range n.list {
		if d.id == id && d.region < 0 && step-d.step <= Steps {
			if region < 0 {
				return
			}
			n.list = append(n.list[:i:i], n.list[i+1:]...)
			break
		}
	}
	n.list = append(n.list, decision{step, region, id})
}
