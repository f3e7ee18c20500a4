package forward

import (
	"net"
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/linger"
)

// Close implements net.Conn. If the caller may not have received all yet, the connection
// ends for net/http alone, and the read loop closes it later.
func (a *guardedConn) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	a.closed = true
	lingers := a.mayLinger()
	if a.err == nil {
		a.err = a.closedError("read")
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.dropBuffer()
	a.releaseHeader()
	a.cond.Broadcast()
	if !lingers {
		return a.end()
	}
	a.enter(phaseClosing)
	a.setOwesAnswer(true)
	return a.Conn.SetReadDeadline(time.Unix(1, 0)) // Wakes the read loop.
}

// closedError returns the error of a net.TCPConn that is closed: net/http answers other
// errors of reading a request.
func (a *guardedConn) closedError(op string) error {
	return &net.OpError{Op: op, Net: "tcp", Source: a.LocalAddr(), Addr: a.RemoteAddr(), Err: net.ErrClosed}
}

// mayLinger reports whether the caller may send requests behind an answer that it has
// not received. The caller of this method holds the mutex.
func (a *guardedConn) mayLinger() bool {
	if a.err != nil {
		return false // The caller has left, or the guard closes the connection.
	}
	idle := phase(a.phase.Load()) == phaseIdle && !a.owesAnswer.Load()
	if idle || a.aborted {
		return linger.Unacknowledged(a.Conn) > 0
	}
	return true
}

// closeNow closes the connection whatever the caller has received.
func (a *guardedConn) closeNow() {
	_ = a.Close() // The caller sees the end of the connection.
	a.mu.Lock()
	_ = a.end()
	a.mu.Unlock()
}

// end closes the descriptor and ends all charges. The caller holds the mutex.
func (a *guardedConn) end() error {
	if a.ended {
		return nil
	}
	a.ended = true
	a.guard.logUnacknowledged(a.request, a.Conn)
	err := a.Conn.Close()
	a.setOwesAnswer(false)
	a.guard.budget.Release(bound.Small, ConnCost)
	a.group.remove(a)
	return err
}

// setOwesAnswer sets whether an answer is owed, which nothing is once the connection has
// ended. The caller holds the mutex.
func (a *guardedConn) setOwesAnswer(owes bool) {
	if a.owesAnswer.Load() == owes || owes && a.ended {
		return
	}
	a.owesAnswer.Store(owes)
	if owes {
		a.group.owing.Add(1)
	} else {
		a.group.owing.Add(-1)
	}
}

// abort makes Close end the connection without the answer that it owes.
func (a *guardedConn) abort() {
	a.mu.Lock()
	a.aborted = true
	a.mu.Unlock()
}

// ConnState is for http.Server.ConnState. It tells a connection that a Listener has
// accepted that its answer has been written and another request may follow.
func ConnState(c net.Conn, s http.ConnState) {
	a, ok := c.(*guardedConn)
	if !ok || s != http.StateIdle {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed { // Otherwise the read loop waits for the caller.
		a.setOwesAnswer(false)
	}
}
