package forward

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/linger"
)

// phase says what a connection is used for.
type phase int32

// String returns the name for logs.
func (p phase) String() string {
	return [...]string{"idle", "header", "running", "body", "answer", "closing"}[p]
}

const (
	// phaseIdle: no byte of the next request has been delivered.
	phaseIdle phase = iota
	// phaseHeader: a header section is being received.
	phaseHeader
	// phaseRunning: the instance handles a request; the caller is not awaited.
	phaseRunning
	// phaseBody: the body of a request is being received.
	phaseBody
	// phaseAnswer: an answer is being sent.
	phaseAnswer
	// phaseClosing: the instance has closed its side, and the caller has not yet.
	phaseClosing
)

const (
	// maxReadAhead bounds the bytes that are read before net/http requests them.
	// While a request is handled, up to maxPipelined bytes are read as far as they
	// fit into the budget: callers pipeline several requests of the largest header
	// section, and only reading shows everywhere that they have left. Beyond
	// maxPipelined bytes are read and discarded, and the connection ends with the
	// answer: the end of the connection may wait in the caller's kernel behind them.
	// The caller sends the requests that were not answered again.
	maxReadAhead = 16 << 10
	maxPipelined = 128 << 10
	// freeReadAhead is the part of the bytes read ahead that is not charged,
	// because ConnCost covers it.
	freeReadAhead = 4 << 10
	// departureInterval is how often a connection with more unread bytes is asked
	// whether its caller has left, without reading.
	departureInterval = 100 * time.Millisecond
	// headerCost is what a byte of a header section costs at most until it is
	// parsed: a field of four bytes takes a key, a value and their place in a map.
	headerCost = 64
	// smallHeader is the part of a header section that is charged to the reserve of
	// small requests.
	smallHeader = 4 << 10
	// headerMargin is how far a header section may exceed the limit of the desired
	// state: net/http reads bytes of the body along with it, and the request line
	// does not count there.
	headerMargin = 12 << 10
	// progressStep is the number of bytes after which a connection counts as having
	// made progress. Callers that send byte by byte make none.
	progressStep = 16 << 10
	// writeStep is the size of the pieces in which answers are written, so that the
	// progress of a large one is seen.
	writeStep = 64 << 10
)

// guardedConn is a connection of a caller that a goroutine reads in advance, and
// whose memory is charged to the budget of its guard.
type guardedConn struct {
	net.Conn
	guard *Guard
	group *group

	// phase, since (when it began, in Unix nanoseconds), progressAt and held (charged
	// bytes) are read by the guard when it chooses a connection to close.
	phase                   atomic.Int32
	since, progressAt, held atomic.Int64
	// moved counts the bytes since progressAt.
	moved atomic.Int64
	// served is set once a request has been received.
	served atomic.Bool
	// paused is set while bytes are left unread, whole once the request that is handled
	// has been received completely, until it is answered.
	paused, whole atomic.Bool
	// owesAnswer is set from the beginning of a request until its answer has been
	// written and another request may follow, or until the connection has ended. It
	// changes with the mutex held.
	owesAnswer atomic.Bool

	mu   sync.Mutex
	cond *sync.Cond
	buf  byteQueue
	// err is the error that ended reading. discarding means that all further bytes are
	// read without being held, and that the connection ends with the next answer.
	err        error
	discarding bool
	deadline   time.Time
	timer      *time.Timer
	cancel     context.CancelCauseFunc
	// closed is set by Close, ended once the descriptor is closed as well, aborted if
	// the connection is to be closed without the answer that it owes.
	closed, ended, aborted bool
	// request is the ID of the last request, for logs.
	request string
	// charges are the bytes charged for header sections, by class, and aheadCharge
	// those for bytes read ahead. headerBytes counts the bytes of a header section.
	charges     [2]int64
	aheadCharge int64
	headerBytes int
}

func newReadAheadConn(c net.Conn) *guardedConn {
	return NewGuard(GuardConfig{}).newConn(c, newGroup(0))
}

// newConn wraps an accepted connection.
func (g *Guard) newConn(c net.Conn, of *group) *guardedConn {
	a := &guardedConn{Conn: c, guard: g, group: of}
	a.cond = sync.NewCond(&a.mu)
	now := time.Now().UnixNano()
	a.since.Store(now)
	a.progressAt.Store(now)
	g.budget.Force(bound.Small, ConnCost)
	of.add(a)
	go a.readLoop()
	return a
}

// enter changes the phase.
func (a *guardedConn) enter(p phase) {
	now := time.Now().UnixNano()
	a.phase.Store(int32(p))
	a.since.Store(now)
	a.progressAt.Store(now)
	a.moved.Store(0)
}

// progress counts bytes that the caller has sent or taken.
func (a *guardedConn) progress(n int) {
	if a.moved.Add(int64(n)) >= progressStep {
		a.moved.Store(0)
		a.progressAt.Store(time.Now().UnixNano())
	}
}

// onEnd sets the function that is called when the connection ends.
func (a *guardedConn) onEnd(cancel context.CancelCauseFunc) {
	a.mu.Lock()
	a.cancel = cancel
	err := a.err
	a.mu.Unlock()
	if err != nil {
		cancel(err)
	}
}

// readLoop reads until the connection ends, and ends one that Close has left open.
func (a *guardedConn) readLoop() {
	a.readAhead()
	a.mu.Lock()
	lingers := a.closed && !a.ended
	a.mu.Unlock()
	if lingers {
		linger.Drain(a.Conn)
		a.closeNow()
	}
}

// readAhead reads until the connection ends, and pauses while no more may be read
// ahead.
func (a *guardedConn) readAhead() {
	chunk := make([]byte, 4<<10)
	for {
		n, err := a.Conn.Read(chunk)
		a.mu.Lock()
		if !a.closed && !a.discarding {
			a.buf.push(chunk[:n])
		}
		if err != nil && a.err == nil {
			a.err = err
		}
		a.cond.Broadcast()
		a.awaitRoom()
		err = a.err
		cancel := a.cancel
		a.mu.Unlock()
		if err != nil {
			if cancel != nil {
				cancel(err)
			}
			return
		}
	}
}

// awaitRoom waits until more may be read ahead or the connection has ended. The
// caller holds the mutex.
func (a *guardedConn) awaitRoom() {
	for a.err == nil && !a.mayReadAhead() {
		a.paused.Store(true)
		if phase(a.phase.Load()) == phaseBody {
			a.cond.Wait() // The handler reads on, or ends the phase with resume.
			continue
		}
		wake := time.AfterFunc(departureInterval, a.wake)
		a.cond.Wait()
		if wake.Stop() || a.err != nil || a.mayReadAhead() {
			continue
		}
		if hasLeft(a.Conn) {
			a.err = errCallerLeft
			a.dropBuffer()
			a.cond.Broadcast()
		} else if a.whole.Load() && a.buf.len() >= maxPipelined {
			a.discarding = true
			a.dropBuffer()
		}
	}
	a.paused.Store(false)
}

// endsWithAnswer reports whether the connection is to be closed after the answer.
func (a *guardedConn) endsWithAnswer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.discarding
}

// resume ends the phase in which a body is received.
func (a *guardedConn) resume() {
	a.mu.Lock()
	a.enter(phaseRunning)
	if a.paused.Load() {
		a.cond.Broadcast() // More may be read ahead now.
	}
	a.mu.Unlock()
}

const errCallerLeft = errors.ConstError("the caller has closed its connection with requests unread")

// mayReadAhead reports whether another piece may be read, and charges the bytes that
// are held already.
func (a *guardedConn) mayReadAhead() bool {
	if a.discarding {
		return true
	}
	over := int64(max(a.buf.len()-freeReadAhead, 0))
	if over > a.aheadCharge {
		n := over - a.aheadCharge
		if !a.guard.budget.TryAcquire(bound.Large, n) {
			return false
		}
		a.aheadCharge = over
		a.held.Add(n)
	}
	limit := maxReadAhead
	if phase(a.phase.Load()) == phaseRunning {
		limit = maxPipelined
	}
	return a.buf.len() < limit
}

// refundAhead returns the charge for bytes that are no longer held. The caller holds
// the mutex.
func (a *guardedConn) refundAhead() {
	over := int64(max(a.buf.len()-freeReadAhead, 0))
	if n := a.aheadCharge - over; n > 0 {
		a.aheadCharge = over
		a.held.Add(-n)
		a.guard.budget.Release(bound.Large, n)
	}
}

func (a *guardedConn) dropBuffer() {
	a.buf = byteQueue{}
	a.refundAhead()
}

// Read implements net.Conn. Bytes of a header section are charged before net/http
// gets them.
func (a *guardedConn) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if !a.deadline.IsZero() && !time.Now().Before(a.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if a.buf.len() > 0 {
			n := min(len(p), a.buf.len())
			if !a.chargeHeader(n) {
				a.aborted = true
				return 0, os.ErrDeadlineExceeded // net/http closes the connection without an answer.
			}
			return a.deliver(p[:min(n, a.buf.len())]), nil
		}
		if a.err != nil {
			return 0, a.err
		}
		if a.discarding && !a.whole.Load() {
			return 0, io.EOF // The next request has been discarded.
		}
		a.cond.Wait()
	}
}

// deliver moves bytes from the buffer to p.
func (a *guardedConn) deliver(p []byte) int {
	n := a.buf.pop(p)
	a.refundAhead()
	a.progress(n)
	if a.paused.Load() {
		a.cond.Broadcast()
	}
	return n
}

// SetReadDeadline implements net.Conn.
func (a *guardedConn) SetReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		a.timer = time.AfterFunc(wait, a.wake)
	}
	a.cond.Broadcast()
	return nil
}

// wake wakes readers whose deadline has passed, and a paused read loop.
func (a *guardedConn) wake() {
	a.mu.Lock()
	a.cond.Broadcast()
	a.mu.Unlock()
}

// SetDeadline implements net.Conn.
func (a *guardedConn) SetDeadline(t time.Time) error {
	return errors.Trace(firstError(a.SetReadDeadline(t), a.Conn.SetWriteDeadline(t)))
}

// Write implements net.Conn.
func (a *guardedConn) Write(p []byte) (int, error) {
	a.mu.Lock()
	closed := a.closed
	a.mu.Unlock()
	if closed {
		return 0, a.closedError("write")
	}
	done := 0
	for done < len(p) {
		n, err := a.Conn.Write(p[done:min(done+writeStep, len(p))])
		done += n
		if err != nil {
			return done, err // Not wrapped: net/http checks its type.
		}
		a.progress(n)
	}
	return done, nil
}

// CloseWrite lets net/http close a connection after the last response without
// resetting it.
func (a *guardedConn) CloseWrite() error {
	if c, ok := a.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
