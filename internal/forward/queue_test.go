package forward

import (
	"testing"
)

// The most urgent request must be first, and requests of the same rank keep
// their order.
func TestQueueOrder(t *testing.T) {
	l := newWaitQueues()
	bulk, normal, urgent := l.join("s", 2), l.join("s", 1), l.join("s", 0)
	later := l.join("s", 1)
	if l.join("s", 0) != nil {
		t.Fatal("the queue has no limit")
	}
	for i, p := range []*waiter{urgent, normal, later, bulk} {
		if !l.isFirst("s", p) {
			t.Fatalf("request %d is not first", i)
		}
		l.slotFreed("s")
		select {
		case <-p.wake:
		default:
			t.Fatalf("request %d was not woken for a free slot", i)
		}
		l.leave("s", p, true)
	}
	if l.waiting() != 0 {
		t.Fatalf("%d requests left in the queue", l.waiting())
	}
}

// Lasting overload: after waits that ended without a slot only one request
// may wait at a time, and more once waits succeed again.
func TestQueueIsLimitedWhileWaitsFail(t *testing.T) {
	l := newWaitQueues()
	for range 8 {
		l.leave("s", l.join("s", 1), false)
	}
	first := l.join("s", 1)
	if first == nil {
		t.Fatal("no request may wait, so a free slot would go unnoticed")
	}
	if l.join("s", 1) != nil {
		t.Fatal("a second request may wait although waits end without a slot")
	}
	l.leave("s", first, true)
	for range 8 {
		l.leave("s", l.join("s", 1), true)
	}
	a, b := l.join("s", 1), l.join("s", 1)
	if a == nil || b == nil {
		t.Fatal("only one request may wait although waits succeed")
	}
	if l.join("other", 1) == nil {
		t.Fatal("the queues of services are not separate")
	}
}
