package forward

import (
	"context"
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/bound"
)

const (
	// fieldCost is what a field of a header section takes beyond its bytes, in the
	// request and in its copy for an attempt: a key, a slice and their place in a
	// map that is up to half empty.
	fieldCost = 250
	// valueCost is the same for a further value of a field.
	valueCost = 64
)

// chargeHeader charges n bytes that net/http is about to read, at the most that they
// can cost once parsed, if they belong to a header section. It waits while they do not
// fit and returns false if the connection should be closed. The caller holds the
// mutex, which is released during the wait.
func (a *guardedConn) chargeHeader(n int) bool {
	switch phase(a.phase.Load()) {
	case phaseIdle:
		a.enter(phaseHeader)
		a.headerBytes = 0
	case phaseHeader:
	default:
		return true
	}
	a.headerBytes += n
	if limit := a.guard.maxHeader(); limit > 0 && a.headerBytes > limit+headerMargin {
		a.guard.closed(a, bound.HeaderTooLong)
		return false
	}
	class := bound.Small
	if a.headerBytes > smallHeader {
		class = bound.Large
	}
	cost := int64(n) * headerCost
	if !a.guard.budget.TryAcquire(class, cost) {
		if !a.awaitUnlocked(class, cost) {
			a.guard.closed(a, bound.HeaderRefused)
			return false
		}
	}
	a.charges[class] += cost
	a.held.Add(cost)
	if a.closed {
		a.releaseHeader()
		return false
	}
	return true
}

// awaitUnlocked waits for memory without the mutex, which the caller holds before and
// after.
func (a *guardedConn) awaitUnlocked(class bound.Class, n int64) bool {
	a.mu.Unlock()
	defer a.mu.Lock() // Also after a panic, or the caller's unlock would end the process.
	return a.guard.await(context.Background(), class, n, headerWait)
}

// beginRequest replaces the charge for the header section by what its fields take, and
// returns that. It is held once.
func (a *guardedConn) beginRequest(h http.Header) *requestCharge {
	a.served.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.enter(phaseRunning)
	a.setOwesAnswer(true)
	if a.paused.Load() {
		a.cond.Broadcast() // More may be read ahead now.
	}
	actual := int64(2 * a.headerBytes)
	for _, values := range h {
		actual += fieldCost + valueCost*int64(len(values)-1)
	}
	for class := range a.charges {
		keep := min(a.charges[class], actual)
		actual -= keep
		a.refundHeader(bound.Class(class), a.charges[class]-keep)
	}
	if actual > 0 { // net/http had read the request along with the one before.
		a.charges[bound.Small] += actual
		a.held.Add(actual)
		a.guard.budget.Force(bound.Small, actual)
	}
	c := &requestCharge{guard: a.guard, conn: a, charged: a.charges}
	c.refs.Store(1)
	a.charges = [2]int64{}
	return c
}

// beginAnswer charges an answer of n bytes, which is held until the caller has taken it.
func (a *guardedConn) beginAnswer(n int64) {
	a.enter(phaseAnswer)
	a.held.Add(n)
	a.guard.force(bound.Small, n)
}

// endAnswer ends that charge.
func (a *guardedConn) endAnswer(n int64) {
	a.held.Add(-n)
	a.guard.budget.Release(bound.Small, n)
}

// endRequest ends a request. Its charge goes on as long as an attempt does.
func (a *guardedConn) endRequest() {
	a.mu.Lock()
	a.buf.release()
	a.enter(phaseIdle)
	a.whole.Store(false)
	if a.discarding {
		a.cond.Broadcast()
	}
	a.mu.Unlock()
}

func (a *guardedConn) releaseHeader() {
	for class := range a.charges {
		a.refundHeader(bound.Class(class), a.charges[class])
	}
}

func (a *guardedConn) refundHeader(class bound.Class, n int64) {
	a.charges[class] -= n
	a.held.Add(-n)
	a.guard.budget.Release(class, n)
}

// stalled returns how long the connection has made no progress.
func (a *guardedConn) stalled(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - a.progressAt.Load())
}
