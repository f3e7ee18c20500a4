package bound

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"
)

// WatchHeap sets what is uncharged after each collection of garbage: the memory of the
// runtime beyond what is charged. It ends when stop is called.
func (b *Budget) WatchHeap() (stop func()) {
	w := &heapWatch{budget: b, samples: make([]metrics.Sample, len(heapMetrics))}
	for i, m := range heapMetrics {
		w.samples[i].Name = m.name
	}
	b.watch.Store(w)
	w.arm()
	return w.stop
}

// heapMetrics add up to the memory of the runtime without what it has returned, can
// return or can collect.
var heapMetrics = []struct {
	name string
	sign int64
}{
	{"/memory/classes/total:bytes", 1}, {"/memory/classes/heap/released:bytes", -1}, {"/memory/classes/heap/free:bytes", -1},
	{"/memory/classes/heap/objects:bytes", -1}, {"/gc/heap/live:bytes", 1},
}

// heapWatch measures the heap for a budget.
type heapWatch struct {
	budget *Budget

	mu      sync.Mutex
	samples []metrics.Sample
	stopped bool
	// calm is what was uncharged when little was charged.
	calm int64
}

// calmShare is the share of Limits.Total up to which little is charged.
const calmShare = 0.1

// arm has the heap measured after the next collection.
func (w *heapWatch) arm() {
	type cycle struct{ w *heapWatch }
	runtime.SetFinalizer(&cycle{w}, func(c *cycle) {
		if c.w.measure() {
			c.w.arm()
		}
	})
}

func (w *heapWatch) measure() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	metrics.Read(w.samples)
	taken := int64(0)
	for i, m := range heapMetrics {
		taken += m.sign * int64(w.samples[i].Value.Uint64())
	}
	used := w.budget.used.Load()
	uncharged := taken - used
	if float64(used) <= calmShare*float64(w.budget.limits.Total) {
		w.calm = uncharged
	}
	// Charges precede what they are for, so the difference may be too small.
	w.budget.SetUncharged(max(uncharged, w.calm))
	return true
}

// collectInterval is the shortest time between two collections for waiters.
const collectInterval = time.Second

// collect starts a collection, because what is uncharged may be out of date: without
// load, the next one is far away.
func (b *Budget) collect() {
	now, last := time.Now().UnixNano(), b.collectedAt.Load()
	w := b.watch.Load()
	if w != nil && now-last >= int64(collectInterval) && b.collectedAt.CompareAndSwap(last, now) {
		go func() {
			runtime.GC()
			w.measure() // The collection may have begun before arm.
		}()
	}
}

func (w *heapWatch) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
}
