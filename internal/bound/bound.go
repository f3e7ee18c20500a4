// Package bound holds the memory budget of a process: what may be held for callers
// at a time. It does no I/O and reads no clock; its users bound their waits.
//
// Memory is charged before bytes are read. What does not fit waits in order of
// arrival, until its owner gives up.
package bound

import (
	"sync"
	"sync/atomic"
)

// Class says which part of the budget a charge may use.
type Class int

// Classes of charges.
const (
	// Small is for what every ordinary request needs. It may use the whole budget.
	Small Class = iota
	// Large is for bodies and bytes read ahead beyond what an ordinary request needs.
	// It leaves a reserve to Small.
	Large
	classes
)

// Limits are in bytes.
type Limits struct {
	// Total bounds all charges, Large those of class Large.
	Total, Large int64
	// Memory bounds the charges and what is uncharged together. 0 means no bound.
	Memory int64
}

// Budget is a bounded amount of memory. It is safe for concurrent use. A charge that
// fits takes no lock.
type Budget struct {
	limits      Limits
	used, large atomic.Int64
	// uncharged is what takes memory besides the charges, and collectedAt when it was
	// last measured for a waiter, in Unix nanoseconds.
	uncharged, collectedAt atomic.Int64
	watch                  atomic.Pointer[heapWatch]
	// waiting counts the waiters of each class.
	waiting [classes]atomic.Int64

	mu     sync.Mutex
	queues [classes][]*Waiter
}

// New returns an empty budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

// TryAcquire charges n bytes if they fit. Class Large does not overtake waiters, so
// that a stream of shorter bodies cannot keep out a long one.
func (b *Budget) TryAcquire(c Class, n int64) bool {
	if c == Large && b.waiting[Large].Load() > 0 {
		return false
	}
	if b.charge(c, n) {
		return true
	}
	b.wake() // The failed charge may have kept out a waiter for a moment.
	return false
}

// charge charges n bytes if they fit, without waking waiters.
func (b *Budget) charge(c Class, n int64) bool {
	if c == Large && b.large.Add(n) > b.limits.Large {
		b.large.Add(-n)
		return false
	}
	if b.used.Add(n) > b.total(c) {
		b.used.Add(-n)
		if c == Large {
			b.large.Add(-n)
		}
		return false
	}
	return true
}

// Force charges n bytes that are held already, and reports whether they fit.
func (b *Budget) Force(c Class, n int64) bool {
	fits := true
	if c == Large {
		fits = b.large.Add(n) <= b.limits.Large
	}
	return b.used.Add(n) <= b.total(c) && fits
}

// leastShare is the share of Limits.Total that is left for charges whatever is uncharged:
// without it a process would be of no use.
const leastShare = 0.25

// smallShare is the share of Limits.Total that class Large leaves to class Small besides
// connections, so that a header section finds memory beside long bodies.
const smallShare = 0.05

// total returns the bound of all charges at present, for a charge of the class.
func (b *Budget) total(c Class) int64 {
	if b.limits.Memory == 0 {
		return b.limits.Total
	}
	total := min(b.limits.Total, max(b.limits.Memory-b.uncharged.Load(), int64(leastShare*float64(b.limits.Total))))
	if c == Large {
		total -= int64(smallShare * float64(b.limits.Total))
	}
	return total
}

// SetUncharged sets how many bytes are in memory and not charged.
func (b *Budget) SetUncharged(n int64) {
	b.uncharged.Store(max(n, 0))
	b.wake()
}

// Uncharged returns the value of SetUncharged.
func (b *Budget) Uncharged() int64 { return b.uncharged.Load() }

// Release returns n bytes of an earlier charge.
func (b *Budget) Release(c Class, n int64) {
	if n == 0 {
		return
	}
	if c == Large {
		b.large.Add(-n)
	}
	b.used.Add(-n)
	b.wake()
}

// Used returns the charged bytes, of all classes and of class Large.
func (b *Budget) Used() (all, large int64) { return b.used.Load(), b.large.Load() }

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// Waiting returns the number of charges that wait.
func (b *Budget) Waiting() int64 { return b.waiting[Small].Load() + b.waiting[Large].Load() }

// Waiter is a charge that waits until it fits.
type Waiter struct {
	budget *Budget
	class  Class
	n      int64
	ready  chan struct{}
	// granted is guarded by the budget's mutex.
	granted bool
}

// Enqueue charges n bytes as soon as they fit. The caller must call Cancel when it no
// longer waits, unless Ready was closed.
func (b *Budget) Enqueue(c Class, n int64) *Waiter {
	w := &Waiter{budget: b, class: c, n: n, ready: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queues[c] = append(b.queues[c], w)
	b.waiting[c].Add(1)
	b.grant()
	if !w.granted && b.used.Load()+n <= b.limits.Total {
		b.collect()
	}
	return w
}

// Ready is closed once the bytes are charged.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Cancel ends the wait. It reports whether the bytes have been charged meanwhile, in
// which case they stay charged.
func (w *Waiter) Cancel() (granted bool) {
	b := w.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.granted {
		return true
	}
	for i, o := range b.queues[w.class] {
		if o == w {
			b.queues[w.class] = append(b.queues[w.class][:i:i], b.queues[w.class][i+1:]...)
			b.waiting[w.class].Add(-1)
			break
		}
	}
	b.grant() // Those behind it may fit.
	return false
}

// wake grants the charges that fit now, if any wait.
func (b *Budget) wake() {
	if b.Waiting() == 0 {
		return
	}
	b.mu.Lock()
	b.grant()
	b.mu.Unlock()
}

// grant charges waiters in order, class Small first, until one does not fit.
func (b *Budget) grant() {
	for c := range b.queues {
		for len(b.queues[c]) > 0 && b.charge(Class(c), b.queues[c][0].n) {
			w := b.queues[c][0]
			b.queues[c] = b.queues[c][1:]
			b.waiting[c].Add(-1)
			w.granted = true
			close(w.ready)
		}
	}
}
