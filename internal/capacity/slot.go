package capacity

import (
	"container/heap"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Slot is a slot that a request holds. It implements forward.Slot.
type Slot struct {
	state *State
	pool  *pool
	// loan is nil for an owned slot.
	loan *loanIn
	// end is when the slot is released at the latest: the request's deadline,
	// or the time given to ReleaseAt.
	end  time.Time
	done bool
}

// Region returns the region that the slot belongs to.
func (sl *Slot) Region() model.Region {
	return sl.pool.key.Region
}

// Release returns the slot at once.
func (sl *Slot) Release() {
	s := sl.state
	s.mu.Lock()
	s.release(sl)
	s.mu.Unlock()
}

// ReleaseAt returns the slot at t, or at the request's deadline if that is
// earlier.
func (sl *Slot) ReleaseAt(t time.Time) {
	s := sl.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.clk.convert(t); at.Before(sl.end) {
		sl.end = at
	}
	heap.Push(&s.timed, sl)
}

func (s *State) release(sl *Slot) {
	if sl.done {
		return
	}
	sl.done = true
	if sl.loan != nil {
		sl.loan.used--
		s.planReturn(sl.loan)
	} else {
		sl.pool.used--
	}
	s.notifyFreed(sl.pool.key.Service)
}

// planReturn calls PlanDue if the loan is closed and no request uses it, so that
// it is returned without waiting for the next tick.
func (s *State) planReturn(l *loanIn) {
	if l.used == 0 && l.closed(s.clk.convert(s.clk.last)) && s.cfg.PlanDue != nil {
		s.cfg.PlanDue()
	}
}

// timedReleases is a heap of slots ordered by the time of their release.
type timedReleases []*Slot

func (h timedReleases) Len() int           { return len(h) }
func (h timedReleases) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h timedReleases) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timedReleases) Push(x any) { *h = append(*h, x.(*Slot)) }

// Pop implements heap.Interface.
func (h *timedReleases) Pop() any {
	last := len(*h) - 1
	sl := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return sl
}

func (h *timedReleases) due(t time.Time) bool {
	return len(*h) > 0 && !t.Before((*h)[0].end)
}

func (h *timedReleases) pop() *Slot {
	return heap.Pop(h).(*Slot)
}
