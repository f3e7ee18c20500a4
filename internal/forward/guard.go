package forward

import (
	"cmp"
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/events"
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Log is written to if it is not nil.
	Log *events.Logger
	// Memory bounds what is held for callers; the zero value means no bound.
	Memory bound.Limits
	// MaxHeader returns the limit of a header section in bytes, or 0 for none. It may
	// be nil.
	MaxHeader func() int
}

// Guard bounds the memory and descriptors that the callers of an instance take, on
// all of its listeners together. Under pressure it closes the connections that hold
// much and make no progress; without it, slow callers are served.
type Guard struct {
	cfg      GuardConfig
	budget   *bound.Budget
	counters bound.Counters
	// waiting counts requests that wait for memory.
	waiting atomic.Int64
	// relievedAt is when connections were last looked through, in Unix nanoseconds.
	relievedAt atomic.Int64
	sample     events.Limiter

	mu     sync.Mutex
	groups []*group
}

const (
	// ConnCost is what a connection takes: two goroutine stacks and the buffers of
	// net/http and of reading ahead. Measured: 26 KB.
	ConnCost = 32 << 10
	// headerWait is how long a header section may wait for memory.
	headerWait = time.Second
	// maxWaiting bounds the requests that wait for memory. What they have sent is in
	// the kernel's buffers meanwhile, up to SocketBuffer for each.
	maxWaiting = 128
	// SocketBuffer is the size of the kernel's buffers of a connection, for each
	// direction. At a round trip of 16 ms it carries 8 MB/s.
	SocketBuffer = 128 << 10
	// relieveInterval is the shortest time between two searches for connections to
	// close.
	relieveInterval = 20 * time.Millisecond
	// minStall is how long a connection must have made no progress to be closed for
	// its memory: more than a retransmission takes.
	minStall = 500 * time.Millisecond
	// guardLinesPerSecond limits the log lines.
	guardLinesPerSecond = 5
)

// NewGuard returns a guard without listeners.
func NewGuard(cfg GuardConfig) *Guard {
	if cfg.Memory == (bound.Limits{}) {
		cfg.Memory = bound.Limits{Total: math.MaxInt64 / 2, Large: math.MaxInt64 / 2}
	}
	return &Guard{cfg: cfg, budget: bound.New(cfg.Memory), sample: events.Limiter{PerSecond: guardLinesPerSecond}}
}

// Budget returns the memory budget.
func (g *Guard) Budget() *bound.Budget { return g.budget }

func (g *Guard) maxHeader() int {
	if g.cfg.MaxHeader == nil {
		return 0
	}
	return g.cfg.MaxHeader()
}

// await charges n bytes, and waits for them for a bounded time.
func (g *Guard) await(ctx context.Context, c bound.Class, n int64, wait time.Duration) bool {
	if g.budget.TryAcquire(c, n) {
		return true
	}
	limits := g.budget.Limits()
	if n > limits.Total || c == bound.Large && n > limits.Large {
		return false
	}
	defer g.waiting.Add(-1)
	if g.waiting.Add(1) > maxWaiting {
		return false
	}
	w := g.budget.Enqueue(c, n)
	end := time.NewTimer(wait)
	defer end.Stop()
	again := time.NewTicker(relieveInterval)
	defer again.Stop()
	for {
		g.relieve(n, time.Now())
		select {
		case <-w.Ready():
			return true
		case <-ctx.Done():
			return w.Cancel()
		case <-end.C:
			return w.Cancel()
		case <-again.C:
		}
	}
}

// force charges n bytes that are held already, and closes stalled connections if they
// do not fit.
func (g *Guard) force(c bound.Class, n int64) {
	if !g.budget.Force(c, n) {
		g.relieve(n, time.Now())
	}
}

// relieve closes connections that hold memory and make no progress, those that hold
// most for longest first, until they have held n bytes.
func (g *Guard) relieve(n int64, now time.Time) {
	last := g.relievedAt.Load()
	if now.UnixNano()-last < int64(relieveInterval) || !g.relievedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	var stalled []candidate
	g.mu.Lock()
	groups := slices.Clone(g.groups)
	g.mu.Unlock()
	for _, of := range groups {
		stalled = of.collect(stalled, func(a *guardedConn) (bound.Reason, bool) { return a.stallReason(now) })
	}
	slices.SortFunc(stalled, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	for _, c := range stalled {
		if n <= 0 {
			return
		}
		held := c.conn.held.Load()
		if g.evict(c) {
			n -= held
		}
	}
}

// stallReason returns why the connection may be closed for its memory. It is false if
// it may not.
func (a *guardedConn) stallReason(now time.Time) (bound.Reason, bool) {
	if a.held.Load() == 0 || a.stalled(now) < minStall {
		return 0, false
	}
	switch phase(a.phase.Load()) {
	case phaseHeader, phaseBody:
		return bound.SlowSender, true
	case phaseAnswer:
		return bound.SlowReader, true
	case phaseIdle:
		return bound.Unread, true
	}
	return 0, false // The caller waits for an endpoint.
}

// candidate is a connection that may be closed, as it was when that was decided.
type candidate struct {
	conn              *guardedConn
	reason            bound.Reason
	since, progressAt int64
	// weight is the held memory times the time without progress.
	weight float64
}

// candidate returns the connection as one that may be closed.
func (a *guardedConn) candidate(r bound.Reason, now time.Time) candidate {
	return candidate{a, r, a.since.Load(), a.progressAt.Load(), float64(a.held.Load()) * float64(a.stalled(now))}
}

const errEvicted = errors.ConstError("connection closed to make room")

// evict closes a connection, unless it has moved on since that was decided: it may have
// sent a whole request by now, which must not be sent to an endpoint and then cut.
func (g *Guard) evict(c candidate) bool {
	a := c.conn
	a.mu.Lock()
	if a.since.Load() != c.since || a.progressAt.Load() != c.progressAt {
		a.mu.Unlock()
		return false
	}
	if a.err == nil {
		a.err = errEvicted
	}
	if a.cancel != nil {
		a.cancel(errEvicted)
	}
	a.mu.Unlock()
	g.closed(a, c.reason)
	a.closeNow()
	return true
}

// closed counts and logs a connection that is closed, or a request that is refused.
// a may be nil.
func (g *Guard) closed(a *guardedConn, r bound.Reason) {
	g.counters.Add(r)
	if g.cfg.Log == nil {
		return
	}
	now := time.Now()
	ok, suppressed := g.sample.Allow(now)
	if !ok {
		return
	}
	used, large := g.budget.Used()
	l := g.cfg.Log.Log(events.CallerBounded).Stringer("reason", r).Int64("memory_used", used).Int64("memory_large", large).Int64("waiting", g.waiting.Load())
	if a != nil {
		l = l.Stringer("caller", a.RemoteAddr()).Int64("held", a.held.Load()).Dur("stalled_ms", a.stalled(now))
	}
	if suppressed > 0 {
		l = l.Int("suppressed", suppressed)
	}
	l.Send()
}

// GuardStats are the metrics of a Guard.
type GuardStats struct {
	// Used and Large are the charged bytes, of all classes and of class Large, and
	// Waiting the number of requests that wait for memory.
	Used, Large, Waiting int64
	// Uncharged is what takes memory besides, in bytes.
	Uncharged int64
	Limits    bound.Limits
	// Connections is the number of connections, and Reasons the counts of refusals
	// and closed connections.
	Connections int
	Reasons     map[string]int64
}

// Stats returns the metrics.
func (g *Guard) Stats() GuardStats {
	used, large := g.budget.Used()
	s := GuardStats{Used: used, Large: large, Waiting: g.waiting.Load(), Uncharged: g.budget.Uncharged(), Limits: g.budget.Limits(), Reasons: g.counters.Values()}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, of := range g.groups {
		s.Connections += of.count()
	}
	return s
}

// ReserveResponse charges n bytes of a response that is being read, if they fit.
func (g *Guard) ReserveResponse(n int64) bool {
	if g.budget.TryAcquire(bound.Small, n) {
		return true
	}
	g.relieve(n, time.Now())
	if g.budget.TryAcquire(bound.Small, n) {
		return true
	}
	g.closed(nil, bound.ResponseRefused)
	return false
}

// ReleaseResponse ends such a charge.
func (g *Guard) ReleaseResponse(n int64) { g.budget.Release(bound.Small, n) }

// connOf returns the connection of a request, or nil if it was not accepted by a
// Listener.
func connOf(ctx context.Context) *guardedConn {
	a, _ := ctx.Value(connKey{}).(*guardedConn)
	return a
}

// unguarded returns a connection for a request that was not accepted by a Listener.
func unguarded() *guardedConn {
	a := &guardedConn{guard: NewGuard(GuardConfig{}), Conn: noConn{}, group: newGroup(0)}
	a.cond = sync.NewCond(&a.mu)
	return a
}

// noConn stands for a connection that only net/http knows.
type noConn struct{ net.Conn }

// RemoteAddr implements net.Conn.
func (noConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

type connKey struct{}

// ConnContext returns a context that is cancelled when the connection ends. It
// is for http.Server.ConnContext and needs connections accepted by a Listener;
// for others it returns ctx.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	a, ok := c.(*guardedConn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, connKey{}, a))
	a.onEnd(cancel)
	return ctx
}
