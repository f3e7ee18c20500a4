package forward

import (
	"testing"
)

// The most urgent request must be first, and requests of the same rank keep
// their order.
func TestQueueOrder(t *testing.T) {
	qs := newWaitQueues()
	bulk, normal, urgent := qs.join("s", 2), qs.join("s", 1), qs.join("s", 0)
	later := qs.join("s", 1)
	if qs.join("s", 0) != nil {
		t.Fatal("the queue has no limit")
	}
	for i, w := range []*waiter{urgent, normal, later, bulk} {
		if !qs.isFirst("s", w) {
			t.Fatalf("request %d is not first", i)
		}
		qs.slotFreed("s")
		select {
		case <-w.wake:
		default:
			t.Fatalf("request %d was not woken for a free slot", i)
		}
		qs.leave("s", w, true)
	}
	if qs.waiting() != 0 {
		t.Fatalf("%d requests left in the queue", qs.waiting())
	}
}

// Lasting overload: after waits that ended without a slot only one request
// may wait at a time, and more once waits succeed again.
func TestQueueIsLimitedWhileWaitsFail(t *testing.T) {
	qs := newWaitQueues()
	for range 8 {
		qs.leave("s", qs.join("s", 1), false)
	}
	first := qs.join("s", 1)
	if first == nil {
		t.Fatal("no request may wait, so a free slot would go unnoticed")
	}
	if qs.join("s", 1) != nil {
		t.Fatal("a second request may wait although waits end without a slot")
	}
	qs.leave("s", first, true)
	for range 8 {
		qs.leave("s", qs.join("s", 1), true)
	}
	a, b := qs.join("s", 1), qs.join("s", 1)
	if a == nil || b == nil {
		t.Fatal("only one request may wait although waits succeed")
	}
	if qs.join("other", 1) == nil {
		t.Fatal("the queues of services are not separate")
	}
}
