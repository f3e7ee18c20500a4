package forward

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/linger"
)

// Listener accepts connections that detect at once when the caller closes them.
// net/http stops reading a connection while it handles a request and a
// pipelined one is pending, and would not notice that the caller has
// disconnected. These connections therefore read ahead, up to a limit.
type Listener struct {
	net.Listener
	guard *Guard
	group *group
}

// Listener returns a listener whose connections are bounded by the guard. At most
// limit are open at a time; 0 means no limit.
func (g *Guard) Listener(ln net.Listener, limit int) Listener {
	l := Listener{Listener: ln, guard: g, group: newGroup(limit)}
	g.mu.Lock()
	g.groups = append(g.groups, l.group)
	g.mu.Unlock()
	return l
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	if l.guard != nil {
		l.guard.awaitRoom(l.group)
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // Not wrapped: net/http checks its type.
	}
	if l.guard == nil {
		return newReadAheadConn(c), nil
	}
	return l.guard.newConn(c, l.group), nil
}

// group is the set of open connections of a listener.
type group struct {
	limit int
	// owing counts the connections that owe an answer.
	owing atomic.Int64

	mu    sync.Mutex
	conns map[*guardedConn]struct{}
	// room gets a value when a connection is closed.
	room chan struct{}
}

func newGroup(limit int) *group {
	return &group{limit: limit, conns: map[*guardedConn]struct{}{}, room: make(chan struct{}, 1)}
}

func (of *group) add(a *guardedConn) {
	of.mu.Lock()
	of.conns[a] = struct{}{}
	of.mu.Unlock()
}

func (of *group) remove(a *guardedConn) {
	of.mu.Lock()
	delete(of.conns, a)
	of.mu.Unlock()
	select {
	case of.room <- struct{}{}:
	default:
	}
}

func (of *group) count() int {
	of.mu.Lock()
	defer of.mu.Unlock()
	return len(of.conns)
}

// all returns the open connections.
func (of *group) all() []*guardedConn {
	of.mu.Lock()
	defer of.mu.Unlock()
	return slices.Collect(maps.Keys(of.conns))
}

// collect appends the connections for which there is a reason to close them.
func (of *group) collect(out []candidate, why func(*guardedConn) (bound.Reason, bool)) []candidate {
	now := time.Now()
	of.mu.Lock()
	defer of.mu.Unlock()
	for a := range of.conns {
		c := a.candidate(0, now) // Before the reason, which then holds for it or is outdated.
		if r, ok := why(a); ok {
			c.reason = r
			out = append(out, c)
		}
	}
	return out
}

const (
	// roomInterval is how often a listener without room looks for a connection to
	// close.
	roomInterval = 50 * time.Millisecond
	// unusedAfter is the age from which a connection that has sent no whole request
	// is closed first: more than a round trip, and short, because it limits how fast
	// a listener gets rid of a flood of them. stalledAfter is the time without
	// progress from which one that sends or reads is closed last.
	unusedAfter  = 100 * time.Millisecond
	stalledAfter = time.Second
)

// awaitRoom returns once the listener may accept a connection. It closes one of the
// open ones if necessary and possible.
func (g *Guard) awaitRoom(of *group) {
	for of.limit > 0 && of.count() >= of.limit {
		if c, ok := of.leastUseful(time.Now()); ok {
			g.evict(c)
			continue
		}
		select {
		case <-of.room:
		case <-time.After(roomInterval):
		}
	}
}

// leastUseful returns the connection to close when there is no room: the oldest that
// has sent no whole request, or else the one that has waited longest for its caller to
// close it, or else the one that is idle for longest, or else the one that has made no
// progress for longest. It is false if all are in use. A connection whose caller still
// receives an answer counts as in use.
func (of *group) leastUseful(now time.Time) (candidate, bool) {
	var unused, closing, idle, stalled candidate
	older := func(c, than candidate) bool { return than.conn == nil || c.since < than.since }
	of.mu.Lock()
	defer of.mu.Unlock()
	for a := range of.conns {
		c := a.candidate(0, now) // Before the phase, which then holds for it or is outdated.
		switch p := phase(a.phase.Load()); p {
		case phaseIdle, phaseHeader:
			switch {
			case a.served.Load() && p == phaseIdle:
				if older(c, idle) && !a.receives(now) {
					idle = c
				}
			case time.Duration(now.UnixNano()-c.since) >= unusedAfter && older(c, unused):
				unused = c
			}
		case phaseClosing:
			if time.Duration(now.UnixNano()-c.since) >= unusedAfter && older(c, closing) && !a.receives(now) {
				closing = c
			}
		case phaseBody, phaseAnswer:
			if a.stalled(now) >= stalledAfter && older(c, stalled) {
				stalled = c
			}
		}
	}
	chosen := stalled
	chosen.reason = bound.StalledClosed
	switch {
	case unused.conn != nil:
		chosen = unused
		chosen.reason = bound.UnusedClosed
	case closing.conn != nil:
		chosen = closing
		chosen.reason = bound.ClosingEnded
	case idle.conn != nil:
		chosen = idle
		chosen.reason = bound.IdleClosed
	}
	return chosen, chosen.conn != nil
}

// receives reports whether the caller may still be receiving the last answer, whose
// handler has ended. A caller has stalledAfter for what is in the kernel's buffers then.
func (a *guardedConn) receives(now time.Time) bool {
	return a.stalled(now) < stalledAfter && (a.owesAnswer.Load() && phase(a.phase.Load()) == phaseIdle || linger.Unacknowledged(a.Conn) > 0)
}

// Handler returns a handler for a listener of the guard whose requests have no use
// for a body: it is not read.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a := connOf(r.Context()); a != nil {
			defer a.beginRequest(r.Header).end()
			defer a.endRequest()
			if r.ContentLength != 0 {
				a.closeUnread(w)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// closeUnread closes the connection after the answer without reading the body. net/http
// would read up to 256 KB of it otherwise, however slowly they arrive.
func (a *guardedConn) closeUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = a.SetReadDeadline(time.Now()) // Never fails.
}
