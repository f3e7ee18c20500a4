package shift

import (
	"math"
	"time"
)

// reference is the reference model of the limiter for one service: it applies
// the definition to the full list of requests.
type reference struct {
	lim      limit
	start    time.Time
	phase    float64
	requests []decidedRequest
	// shares and measured are the shares at the start of each step, with and
	// without the limit to the cap.
	shares, measured map[int64][]float64
	// volumes are the volumes at the start of each step.
	volumes map[int64]int
	// opened is the latest step for which these are computed.
	opened int64
}

// decidedRequest is one request: its step and its region, or -1 if it was refused.
type decidedRequest struct {
	step   int64
	region int
	id     uint64
}

func newReference(now time.Time, lim limit, shares []float64, phase float64) *reference {
	n := &reference{lim: lim, start: now, phase: phase}
	n.shares, n.measured = map[int64][]float64{0: shares}, map[int64][]float64{0: shares}
	n.volumes = map[int64]int{0: unknownVolume}
	return n
}

func (n *reference) step(now time.Time) int64 {
	return int64(now.Sub(n.start) / (n.lim.period / Steps))
}

// counts returns the requests by region and the refused ones, except the given
// one, in the steps from first to last.
func (n *reference) counts(first, last int64, except uint64) (sent []int, refused int) {
	sent = make([]int, len(n.shares[0]))
	for _, d := range n.requests {
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

// decided returns decided(W) of a window that starts with step start, with more
// additional sent requests.
func (n *reference) decided(sent []int, refused int, start int64, more int) int {
	t := total(sent) + more
	return t + min(refused, max(n.volumes[start]-t, 0))
}

// openSteps computes the shares at the start of each step up to the given one.
func (n *reference) openSteps(to int64) {
	for n.opened < to {
		cur := n.opened
		start := max(cur-Steps, 0)
		sent, refused := n.counts(cur-Steps, cur, 0)
		volume := n.decided(sent, refused, start, 0)
		sent, refused = n.counts(cur-Steps+1, cur, 0)
		decided := total(sent) + refused
		n.opened++
		n.shares[n.opened], n.measured[n.opened], n.volumes[n.opened] = n.shares[cur], n.measured[cur], unknownVolume
		if decided == 0 || float64(decided)*n.lim.fraction < 1-epsilon {
			continue
		}
		if cur >= Steps {
			n.volumes[n.opened] = volume
		}
		base := n.shares[max(cur-Steps+1, 0)]
		shares, measured := make([]float64, len(sent)), make([]float64, len(sent))
		for i, c := range sent {
			measured[i] = float64(c) / float64(decided)
			shares[i] = min(measured[i], base[i]+n.lim.fraction)
		}
		n.shares[n.opened], n.measured[n.opened] = shares, measured
	}
}

// quota returns the requests sent by region in the window that ends with the
// request, and how many may be sent to region i.
func (n *reference) quota(step int64, i int, id uint64) (sent []int, most float64) {
	start := max(step-Steps, 0)
	sent, refused := n.counts(step-Steps, step, id)
	decided := float64(n.decided(sent, refused, start, 1))
	most = math.Floor((n.minShare(step, i)+n.lim.fraction)*decided + epsilon)
	if decided*n.lim.fraction >= float64(len(sent)) {
		return sent, most
	}
	below := total(n.measured[start][:i])
	sampled := math.Floor((below+n.measured[start][i])*decided+n.phase+epsilon) - math.Floor(below*decided+n.phase+epsilon)
	return sent, max(most, sampled)
}

// withinShorterWindow reports whether the request to region i is within the
// bound without the oldest step of the window.
func (n *reference) withinShorterWindow(step int64, i int, id uint64) bool {
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
	return float64(sent[i]+1) <= math.Floor((n.minShare(step, i)+n.lim.fraction)*float64(decided-oldest)+epsilon)
}

func (n *reference) minShare(step int64, i int) float64 {
	low := n.shares[step][i]
	for k := max(step-Steps, 0); k < step; k++ {
		low = min(low, n.shares[k][i])
	}
	return low
}

func (n *reference) allow(now time.Time, i int, id uint64) bool {
	step := n.step(now)
	n.openSteps(step)
	withinWindow := func(k int) bool {
		sent, most := n.quota(step, k, id)
		return float64(sent[k]+1) <= most && n.withinShorterWindow(step, k, id)
	}
	if !withinWindow(i) {
		return false
	}
	sent, refused := n.counts(step, step, id)
	_, offset := math.Modf(n.phase + float64(step)*(math.Phi-1))
	withinStep := func(k int, offset float64) bool {
		most := math.Floor((n.minShare(step, k)+n.lim.fraction)*float64(total(sent)+refused+1) + offset)
		return float64(sent[k]+1) <= most
	}
	if withinStep(i, offset) {
		return true
	}
	for k := range sent {
		if k != i && withinWindow(k) && withinStep(k, offset) {
			return false
		}
	}
	all, refusedAll := n.counts(step-Steps, step, id)
	decided := float64(n.decided(all, refusedAll, max(step-Steps, 0), 1))
	return decided*n.lim.fraction < float64(len(all)) || withinStep(i, 1-epsilon)
}

// add records a decided request; region -1 means that it was refused.
func (n *reference) add(now time.Time, region int, id uint64) {
	step := n.step(now)
	n.openSteps(step)
	for i, d := range n.requests {
		if d.id == id && d.region < 0 && step-d.step <= Steps {
			if region < 0 {
				return
			}
			n.requests = append(n.requests[:i:i], n.requests[i+1:]...)
			break
		}
	}
	n.requests = append(n.requests, decidedRequest{step, region, id})
}
