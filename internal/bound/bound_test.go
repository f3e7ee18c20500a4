package bound_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/bound"
)

// Guards against long bodies that take the reserve of small requests, and against a
// reserve that a long body cannot leave alone on the smallest machine.
func TestReserve(t *testing.T) {
	b := bound.New(bound.Limits{Total: 100, Large: 70})
	if !b.TryAcquire(bound.Large, 70) || b.TryAcquire(bound.Large, 1) {
		t.Fatal("class Large does not get exactly its part")
	}
	if !b.TryAcquire(bound.Small, 30) || b.TryAcquire(bound.Small, 1) {
		t.Fatal("class Small does not get exactly the rest")
	}
}

// Load pattern: a long body waits while shorter ones come and go. Guards against
// starvation of the long one, and against small requests that wait behind it.
func TestLongBodyIsNotOvertaken(t *testing.T) {
	b := bound.New(bound.Limits{Total: 100, Large: 70})
	b.TryAcquire(bound.Large, 40)
	w := b.Enqueue(bound.Large, 60)
	if b.TryAcquire(bound.Large, 10) {
		t.Error("a shorter body has overtaken a waiting one")
	}
	if !b.TryAcquire(bound.Small, 10) {
		t.Error("a small request waits behind a long body")
	}
	b.Release(bound.Large, 40)
	select {
	case <-w.Ready():
	default:
		t.Error("the waiting body was not granted")
	}
}

// Guards against bytes that stay charged after a wait has ended.
func TestCancelledWait(t *testing.T) {
	b := bound.New(bound.Limits{Total: 100, Large: 100})
	b.TryAcquire(bound.Large, 90)
	first, second := b.Enqueue(bound.Large, 50), b.Enqueue(bound.Large, 10)
	if first.Cancel() {
		t.Error("granted beyond the limit")
	}
	if !second.Cancel() {
		t.Error("one that fits still waits after the one before it has given up")
	}
	b.Release(bound.Large, 100)
	if all, large := b.Used(); all != 0 || large != 0 || b.Waiting() != 0 {
		t.Errorf("%d and %d bytes are charged at the end", all, large)
	}
}

// Load pattern: many requests at a time. Guards against lost wake-ups and a count
// that drifts.
func TestConcurrentCharges(t *testing.T) {
	b := bound.New(bound.Limits{Total: 1000, Large: 700})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, n := bound.Class(i%2), int64(50*(i%7+1))
			for range 2000 {
				if !b.TryAcquire(c, n) {
					<-b.Enqueue(c, n).Ready()
				}
				if all, _ := b.Used(); all > 1000+16*350 {
					t.Errorf("%d bytes charged", all)
				}
				b.Release(c, n)
			}
		}()
	}
	wg.Wait()
	if all, large := b.Used(); all != 0 || large != 0 {
		t.Errorf("%d and %d bytes are charged at the end", all, large)
	}
}

// Guards against charges beyond what memory is left besides what is not charged, and
// against a process that has none left for callers.
func TestUncharged(t *testing.T) {
	b := bound.New(bound.Limits{Total: 100, Large: 80, Memory: 120})
	b.SetUncharged(60)
	if b.TryAcquire(bound.Large, 56) || !b.TryAcquire(bound.Large, 55) || b.TryAcquire(bound.Small, 6) || !b.TryAcquire(bound.Small, 5) {
		t.Fatal("not exactly the rest was charged")
	}
	w := b.Enqueue(bound.Small, 10)
	b.SetUncharged(50)
	select {
	case <-w.Ready():
	default:
		t.Error("a waiter was not granted what is no longer taken")
	}
	b.Release(bound.Large, 55)
	b.Release(bound.Small, 15)
	b.SetUncharged(1000)
	if !b.TryAcquire(bound.Small, 25) || b.TryAcquire(bound.Small, 1) {
		t.Error("not a quarter is left")
	}
}

var kept []byte

// Guards against memory that is not charged and not seen, and against a value that stays
// after the memory has been freed.
func TestWatchHeap(t *testing.T) {
	const size = 64 << 20
	b := bound.New(bound.Limits{Total: 4 * size, Large: 4 * size, Memory: 4 * size})
	defer b.WatchHeap()()
	await := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d bytes are uncharged", what, b.Uncharged())
			}
			runtime.GC()
		}
	}
	await("nothing held", func() bool { return b.Uncharged() > 0 })
	b.TryAcquire(bound.Large, size)
	kept = make([]byte, size)
	runtime.GC()
	await("charged", func() bool { return b.Uncharged() < size })
	b.Release(bound.Large, size)
	await("not charged", func() bool { return b.Uncharged() >= size })
	kept = nil
	w := b.Enqueue(bound.Large, 4*size-size/2)
	select {
	case <-w.Ready():
	case <-time.After(10 * time.Second):
		t.Errorf("no collection for a waiter: %d bytes are uncharged", b.Uncharged())
	}
}

func BenchmarkAcquire(b *testing.B) {
	m := bound.New(bound.Limits{Total: 1 << 30, Large: 1 << 29})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.TryAcquire(bound.Small, 500)
			m.Release(bound.Small, 500)
		}
	})
}
